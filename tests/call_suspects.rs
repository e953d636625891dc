//! Requests under which backend servers have ended: when they are held, merged, cleared and forgotten.

use baobabstage::call::body::prefetch;
use baobabstage::call::fingerprint::{BODY_LEN, Fingerprint};
use baobabstage::call::suspects::{
    Description, LostRun, REPORT_TIME, Suspects, TURN_TIME, Verdict, has_turn, turn_owner,
};
use baobabstage::generated::mesh as wire;
use baobabstage::serve::full_body;
use http::Request;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use test_case::test_case;
use tokio::time::Instant;

/// Time of each run.
const RUN_TIME: Duration = Duration::from_millis(40);

/// A run that began before the request was held.
const FIRST: LostRun = LostRun {
    try_number: 0,
    time: RUN_TIME,
};

fn run(try_number: u32) -> LostRun {
    LostRun {
        try_number,
        ..FIRST
    }
}

fn description(caller: &str) -> Description {
    Description {
        caller: caller.into(),
        path: "/gallery".into(),
    }
}

fn request(content: u128, caller: &str) -> Fingerprint {
    Fingerprint::of_caller(content, caller)
}

/// Records that these instances ended at the same time while they ran request 1 of the caller "browser".
fn crashed(now: Instant, instances: &[&str]) -> Suspects {
    let mut suspects = Suspects::default();
    for instance in instances {
        suspects.record(
            now,
            request(1, "browser"),
            &description("browser"),
            instance,
            FIRST,
        );
    }
    suspects
}

/// Records that an instance ended under a run of request 1 that begins now.
fn tried(suspects: &mut Suspects, now: Instant, instance: &str) {
    let number = suspects.next_try(1);
    let copy = request(1, "browser");
    suspects.record(now, copy, &description("browser"), instance, run(number));
}

fn verdict(suspects: &Suspects, now: Instant, request: Fingerprint) -> Verdict {
    suspects.verdict(now, request, || false, |_| true)
}

/// Guards against a harmless request that is refused for minutes, since many backend servers ended at the same
/// time during its runs.
#[test_case(0, Verdict::Free)]
#[test_case(1, Verdict::Suspect)]
#[test_case(2, Verdict::Held(REPORT_TIME))]
#[test_case(3, Verdict::Held(REPORT_TIME))]
#[test_case(40, Verdict::Held(REPORT_TIME))]
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

#[test_case(0, REPORT_TIME)]
#[test_case(1, Duration::from_secs(30))]
#[test_case(2, Duration::from_mins(5))]
#[test_case(3, Duration::from_mins(25))]
#[test_case(30, Duration::from_mins(25))]
fn verdict_tries(count: usize, hold: Duration) {
    let now = Instant::now();
    let mut suspects = crashed(now, &["i-1", "i-2"]);
    for number in 0..count {
        tried(&mut suspects, now, &format!("tried-{number}"));
    }
    let copy = request(1, "browser");
    assert_eq!(verdict(&suspects, now, copy), Verdict::Held(hold));
    assert_eq!(verdict(&suspects, now + hold, copy), Verdict::Suspect);
}

/// Guards against a try that is not counted, since many instances had ended under the request before.
#[test]
fn verdict_tries_after_many_crashes() {
    let now = Instant::now();
    let instances: Vec<String> = (0..100).map(|n| format!("i-{n}")).collect();
    let instances: Vec<&str> = instances.iter().map(String::as_str).collect();
    let mut suspects = crashed(now, &instances);
    let later = now + Duration::from_secs(3);
    tried(&mut suspects, later, "a");
    let held = Verdict::Held(Duration::from_secs(30));
    assert_eq!(verdict(&suspects, later, request(1, "browser")), held);
}

/// Guards against one end of a backend server that counts as several, since it ran copies of several callers.
#[test]
fn verdict_callers_of_one_instance() {
    let now = Instant::now();
    let mut suspects = crashed(now, &["i-1"]);
    let other = request(1, "booking");
    suspects.record(now, other, &description("booking"), "i-1", FIRST);
    assert_eq!(suspects.crashes(1), 1);
    assert_eq!(verdict(&suspects, now, other), Verdict::Suspect);
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

/// After the hold time one run is tried by the daemon whose turn it is, and not at the end of the turn.
#[test]
fn verdict_hold_passed() {
    let now = Instant::now();
    let suspects = crashed(now, &["i-1", "i-2", "i-3"]);
    let copy = request(1, "browser");
    let interval = TURN_TIME + RUN_TIME + REPORT_TIME;
    let verdict = |at, has_turn: &dyn Fn(u64) -> bool| {
        suspects.verdict(now + REPORT_TIME + at, copy, || false, has_turn)
    };
    for number in 0..4 {
        let start = interval * number;
        let turn = u64::from(number);
        let own = move |other| other == turn;
        let last = TURN_TIME.saturating_sub(Duration::from_millis(1));
        for time in [Duration::ZERO, last] {
            assert_eq!(verdict(start + time, &own), Verdict::Suspect);
            let left = interval.saturating_sub(time);
            let elsewhere = Verdict::Elsewhere { left, turn };
            assert_eq!(verdict(start + time, &|other| !own(other)), elsewhere);
        }
        let left = interval.saturating_sub(TURN_TIME);
        let after = verdict(start + TURN_TIME, &|_| true);
        assert_eq!(after, Verdict::Held(left));
    }
}

/// A request that comes 40 times a second, to a service of 100 daemons that all receive each record, ends no more
/// than three backend servers in the 15 minutes after the third crash.
#[test]
fn verdict_endless_repeats() {
    let start = Instant::now();
    let mut suspects = crashed(start, &["i-1", "i-2", "i-3"]);
    let copy = request(1, "browser");
    let members = members(100);
    let mut tries = 0;
    for tick in 0..36_000_u64 {
        let now = start + Duration::from_millis(25 * tick);
        let daemon = format!("vm-{}", tick % 100);
        let has_turn = |turn| has_turn(1, turn, &daemon, &members);
        if suspects.verdict(now, copy, || false, has_turn) == Verdict::Suspect {
            tries += 1;
            tried(&mut suspects, now, &format!("tried-{tick}"));
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
    let number = suspects.next_try(1);
    suspects.record(now, other, &description("booking"), "i-3", run(number));
    let held = Verdict::Held(Duration::from_secs(30));
    assert_eq!(verdict(&suspects, now, other), held);
    assert_eq!(verdict(&suspects, now, request(1, "browser")), held);
}

/// Guards against harmless copies of one caller that run one at a time for as long as those of another caller
/// are held.
#[test]
fn verdict_callers_completed() {
    let now = Instant::now();
    let suspects = crashed(now, &["i-1", "i-2"]);
    let never = |_| false;
    let other = request(1, "booking");
    assert_eq!(suspects.verdict(now, other, || true, never), Verdict::Free);
    let own = suspects.verdict(now, request(1, "browser"), || true, never);
    assert_eq!(own, Verdict::Held(REPORT_TIME));
}

/// Guards against tries that are not counted, since the backend server ended again under the same name.
#[test]
fn record_same_instance() {
    let now = Instant::now();
    let mut suspects = crashed(now, &["i-1", "i-2"]);
    let later = now + Duration::from_secs(10);
    tried(&mut suspects, later, "i-1");
    let held = Verdict::Held(Duration::from_secs(30));
    assert_eq!(verdict(&suspects, later, request(1, "browser")), held);
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
    suspects.record(now, copy, &description("browser"), "i-3", FIRST);
    assert_eq!(verdict(&suspects, now, copy), Verdict::Suspect);
}

#[test]
fn release_all_callers() {
    let now = Instant::now();
    let mut suspects = crashed(now, &["i-1", "i-2"]);
    let other = request(1, "booking");
    suspects.record(now, other, &description("booking"), "i-3", FIRST);
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
            let number = rng.random_range(0..3);
            one.record(now, copy, &description(caller), &instance, run(number));
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
            FIRST,
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
        suspects.record(late, copy, &description("browser"), "i-3", FIRST);
    }
    assert!(suspects.is_suspected(request(1, "browser")));
}

fn members(count: usize) -> Vec<Arc<wire::Member>> {
    let member = |number| {
        Arc::new(wire::Member {
            name: format!("vm-{number}"),
            ..wire::Member::default()
        })
    };
    (0..count).map(member).collect()
}

fn owners(turn: u64, members: &[Arc<wire::Member>]) -> Vec<&str> {
    let owners = members.iter().map(|member| member.name.as_str());
    let owners = owners.filter(|own| has_turn(7, turn, own, members));
    owners.collect()
}

#[test]
fn turn_owner_has_turn() {
    let members = members(20);
    for turn in 0..400 {
        let owner = owners(turn, &members)[0];
        assert_eq!(turn_owner(7, turn, &members), Some(owner));
    }
    assert_eq!(turn_owner(7, 0, &[]), None);
}

/// Each turn is that of one daemon, and each daemon has one.
#[test]
fn has_turn_one_daemon() {
    let members = members(20);
    let mut seen = BTreeSet::new();
    for turn in 0..400 {
        let owners = owners(turn, &members);
        assert_eq!(owners.len(), 1, "turn {turn}");
        seen.extend(owners);
    }
    assert_eq!(seen.len(), 20);
}

/// Guards against daemons that take the same turn, since one of them lacks a third daemon that has restarted.
#[test]
fn has_turn_member_missing() {
    let all = members(20);
    for turn in 0..400 {
        let owner = owners(turn, &all)[0];
        let less: Vec<_> = all.iter().skip(1).cloned().collect();
        if owner != all[0].name {
            assert_eq!(owners(turn, &less), [owner], "turn {turn}");
        }
    }
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
