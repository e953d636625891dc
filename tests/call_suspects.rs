//! Requests under which backend servers have ended: when they are held, merged, cleared and forgotten.

use baobabstage::call::body::prefetch;
use baobabstage::call::fingerprint::{BODY_LEN, Fingerprint};
use baobabstage::call::suspects::{Description, Suspects, Verdict, precedence};
use baobabstage::generated::mesh as wire;
use baobabstage::serve::full_body;
use http::Request;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::time::Duration;
use test_case::test_case;
use tokio::time::Instant;

/// The first daemon of the service that may try a held request.
const FIRST: usize = 0;

fn description(caller: &str) -> Description {
    Description {
        caller: caller.into(),
        path: "/gallery".into(),
    }
}

fn request(content: u128, caller: &str) -> Fingerprint {
    Fingerprint::of_caller(content, caller)
}

/// Records that these instances ended while they ran request 1 of the caller "browser".
fn crashed(now: Instant, instances: &[&str]) -> Suspects {
    let mut suspects = Suspects::default();
    for instance in instances {
        suspects.record(
            now,
            request(1, "browser"),
            &description("browser"),
            instance,
        );
    }
    suspects
}

fn verdict(suspects: &Suspects, now: Instant, request: Fingerprint) -> Verdict {
    suspects.verdict(now, request, || FIRST)
}

#[test_case(0, Verdict::Free)]
#[test_case(1, Verdict::Suspect)]
#[test_case(2, Verdict::Held(Duration::from_secs(2)))]
#[test_case(3, Verdict::Held(Duration::from_secs(20)))]
#[test_case(4, Verdict::Held(Duration::from_mins(2)))]
#[test_case(5, Verdict::Held(Duration::from_mins(10)))]
#[test_case(9, Verdict::Held(Duration::from_mins(10)))]
fn verdict_crashes(count: usize, expected: Verdict) {
    let now = Instant::now();
    let instances: Vec<String> = (0..count).map(|n| format!("i-{n}")).collect();
    let instances: Vec<&str> = instances.iter().map(String::as_str).collect();
    let suspects = crashed(now, &instances);
    assert_eq!(verdict(&suspects, now, request(1, "browser")), expected);
    assert_eq!(
        verdict(&suspects, now, request(2, "browser")),
        Verdict::Free
    );
}

/// The loss of a backend server counts once, however often and by whomever it is reported.
#[test]
fn verdict_repeated_reports() {
    let now = Instant::now();
    let mut suspects = crashed(now, &["i-1", "i-1", "i-1"]);
    let record = suspects.record_of(now, request(1, "browser")).unwrap();
    assert!(!suspects.merge(now, record));
    assert_eq!(
        verdict(&suspects, now, request(1, "browser")),
        Verdict::Suspect
    );
}

/// After the hold time one run is tried: by the first daemon, and by each further one only if the earlier ones
/// have not tried it.
#[test]
fn verdict_hold_passed() {
    let now = Instant::now();
    let suspects = crashed(now, &["i-1", "i-2", "i-3"]);
    let later = now + Duration::from_secs(21);
    let copy = request(1, "browser");
    assert_eq!(suspects.verdict(later, copy, || 0), Verdict::Suspect);
    let left = Verdict::Held(Duration::from_secs(2));
    assert_eq!(suspects.verdict(later, copy, || 1), left);
    let left = Verdict::Held(Duration::from_secs(5));
    assert_eq!(suspects.verdict(later, copy, || 2), left);
}

/// A request that comes 40 times a second, to a service of 100 daemons that all hear of each crash, ends no more
/// than three backend servers in the 15 minutes after the third crash.
#[test]
fn verdict_endless_repeats() {
    let start = Instant::now();
    let mut suspects = crashed(start, &["i-1", "i-2", "i-3"]);
    let copy = request(1, "browser");
    let mut tries = 0;
    for tick in 0..36_000_u64 {
        let now = start + Duration::from_millis(25 * tick);
        let daemon = usize::try_from(tick % 100).unwrap();
        if suspects.verdict(now, copy, || daemon) == Verdict::Suspect {
            tries += 1;
            let instance = format!("tried-{tick}");
            suspects.record(now, copy, &description("browser"), &instance);
        }
    }
    assert!((1..=3).contains(&tries), "{tries}");
}

/// Copies of several callers count together, but a caller without a crash is not refused.
#[test]
fn verdict_callers() {
    let now = Instant::now();
    let mut suspects = crashed(now, &["i-1", "i-2"]);
    let other = request(1, "booking");
    assert_eq!(verdict(&suspects, now, other), Verdict::Suspect);
    suspects.record(now, other, &description("booking"), "i-3");
    let held = Verdict::Held(Duration::from_secs(20));
    assert_eq!(verdict(&suspects, now, other), held);
    assert_eq!(verdict(&suspects, now, request(1, "browser")), held);
}

#[test]
fn clear_completed() {
    let now = Instant::now();
    let mut suspects = crashed(now, &["i-1", "i-2", "i-3"]);
    assert!(suspects.clear(request(1, "browser")));
    assert!(!suspects.clear(request(1, "browser")));
    assert_eq!(
        verdict(&suspects, now, request(1, "browser")),
        Verdict::Free
    );
}

/// A late copy of a record does not undo that the request was cleared; a new crash counts.
#[test]
fn clear_late_report() {
    let now = Instant::now();
    let mut suspects = crashed(now, &["i-1", "i-2"]);
    let copy = request(1, "browser");
    let late = suspects.record_of(now, copy).unwrap();
    suspects.clear(copy);
    assert!(!suspects.merge(now, late));
    assert_eq!(verdict(&suspects, now, copy), Verdict::Free);
    suspects.record(now, copy, &description("browser"), "i-3");
    assert_eq!(verdict(&suspects, now, copy), Verdict::Suspect);
}

#[test]
fn release_all_callers() {
    let now = Instant::now();
    let mut suspects = crashed(now, &["i-1", "i-2"]);
    suspects.record(now, request(1, "booking"), &description("booking"), "i-3");
    assert_eq!(suspects.release(1).len(), 2);
    assert!(suspects.release(1).is_empty());
    for caller in ["browser", "booking"] {
        assert_eq!(verdict(&suspects, now, request(1, caller)), Verdict::Free);
    }
}

/// Daemons that merge the same records in any order, some of them twice, agree.
#[test]
fn merge_any_order() {
    for seed in 0..60 {
        let mut rng = StdRng::seed_from_u64(seed);
        let now = Instant::now();
        let mut records = Vec::new();
        for _ in 0..40 {
            let mut one = Suspects::default();
            let caller = ["browser", "booking"][rng.random_range(0..2)];
            let copy = request(rng.random_range(0..5), caller);
            let instance = format!("i-{}", rng.random_range(0..10));
            one.record(now, copy, &description(caller), &instance);
            if rng.random_range(0..4) == 0 {
                one.clear(copy);
            }
            records.extend(one.records(now));
        }
        let merged = |records: &[wire::CrashRecord]| {
            let mut suspects = Suspects::default();
            for record in records {
                suspects.merge(now, record.clone());
            }
            suspects
        };
        let first = merged(&records);
        records.shuffle(&mut rng);
        let repeated = records[..10].to_vec();
        records.extend(repeated);
        let second = merged(&records);
        assert_eq!(first.digest(), second.digest(), "seed {seed}");
        for content in 0..5 {
            let copy = request(content, "browser");
            let verdicts = [&first, &second].map(|suspects| verdict(suspects, now, copy));
            assert_eq!(verdicts[0], verdicts[1], "seed {seed}");
        }
    }
}

#[test]
fn merge_invalid() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    let mut record = crashed(now, &["i-1"]).records(now).remove(0);
    record.content = record.content.slice(..3);
    assert!(!suspects.merge(now, record));
    let mut record = crashed(now, &["i-1"]).records(now).remove(0);
    record.crashes[0].age_ms = u64::MAX;
    assert!(!suspects.merge(now, record));
    assert!(suspects.is_empty());
}

#[test]
fn expire_old() {
    let now = Instant::now();
    let mut suspects = crashed(now, &["i-1", "i-2", "i-3"]);
    suspects.expire(now + Duration::from_mins(29));
    assert_eq!(suspects.len(), 1);
    suspects.expire(now + Duration::from_mins(31));
    assert!(suspects.is_empty());
}

/// A caller that crashes backend servers with ever new requests evicts no record of another caller.
#[test]
fn record_many_of_one_caller() {
    let now = Instant::now();
    let mut suspects = crashed(now, &["i-1"]);
    for content in 100..2_000 {
        let instance = format!("i-{content}");
        let late = now + Duration::from_millis(1);
        suspects.record(
            late,
            request(content, "mad"),
            &description("mad"),
            &instance,
        );
    }
    assert!(suspects.is_suspected(request(1, "browser")));
    assert!(suspects.is_suspected(request(1_999, "mad")));
    assert!(suspects.len() <= 129, "{}", suspects.len());
}

/// Of the requests of one caller, those with several crashes are kept longest.
#[test]
fn record_evicts_fewest_crashes() {
    let now = Instant::now();
    let mut suspects = crashed(now, &["i-1", "i-2"]);
    for content in 100..2_000 {
        let late = now + Duration::from_millis(1);
        let copy = request(content, "browser");
        suspects.record(late, copy, &description("browser"), "i-3");
    }
    assert!(suspects.is_suspected(request(1, "browser")));
}

#[test]
fn precedence_each_once() {
    let member = |name: String| {
        Arc::new(wire::Member {
            name,
            ..wire::Member::default()
        })
    };
    let members: Vec<_> = (0..20).map(|n| member(format!("vm-{n}"))).collect();
    let ranks = members.iter().map(|own| precedence(7, &own.name, &members));
    let mut ranks: Vec<usize> = ranks.collect();
    ranks.sort_unstable();
    assert_eq!(ranks, (0..20).collect::<Vec<_>>());
}

async fn fingerprint(method: &str, uri: &str, body: Vec<u8>, caller: &str) -> Fingerprint {
    let request = Request::builder().method(method).uri(uri);
    let request = request.header("content-length", body.len());
    let (head, ()) = request
        .header("x-request-id", rand::random::<u64>())
        .body(())
        .unwrap()
        .into_parts();
    let body = prefetch(full_body(body), BODY_LEN).await.unwrap();
    Fingerprint::new(&head, caller, Some(&body))
}

#[tokio::test]
async fn fingerprint_copies() {
    let base = || fingerprint("POST", "http://a.example/x?y=1", vec![1; 40_000], "s");
    assert_eq!(base().await, base().await);
    let others = [
        fingerprint("PUT", "http://a.example/x?y=1", vec![1; 40_000], "s").await,
        fingerprint("POST", "http://b.example/x?y=1", vec![1; 40_000], "s").await,
        fingerprint("POST", "http://a.example/x?y=2", vec![1; 40_000], "s").await,
        fingerprint("POST", "http://a.example/x?y=1", vec![1; 40_001], "s").await,
        fingerprint("POST", "http://a.example/x?y=1", vec![2; 40_000], "s").await,
        fingerprint("POST", "http://a.example/x?y=1", vec![1; 40_000], "t").await,
    ];
    for other in others {
        assert_ne!(base().await, other);
    }
}

/// The fingerprint does not depend on how the body arrived in parts.
#[tokio::test]
async fn fingerprint_body_read_further() {
    let (head, ()) = Request::post("/x").body(()).unwrap().into_parts();
    let short = prefetch(full_body(vec![1; 60_000]), BODY_LEN)
        .await
        .unwrap();
    let long = prefetch(full_body(vec![1; 60_000]), 500_000).await.unwrap();
    let fingerprints = [short, long].map(|body| Fingerprint::new(&head, "s", Some(&body)));
    assert_eq!(fingerprints[0], fingerprints[1]);
}
