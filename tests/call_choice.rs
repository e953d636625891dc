//! Which upstream takes a call, and when another attempt follows.

use baobabstage::call::attempt::Load;
use baobabstage::call::budget::{Budget, Failure, Terms, backoff};
use baobabstage::call::choose::{Bulk, Choice, Facts, Group, Health, Index, Sizes, Upstream};
use baobabstage::call::view::Times;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use test_case::test_case;
use tokio::time::Instant;

const SIZES: Sizes = Sizes {
    slots: 10,
    spill_percent: 80,
    keep_percent: 50,
    warm: Duration::from_secs(10),
};

fn upstream(number: usize, near: bool, now: Instant) -> Upstream {
    Upstream {
        facts: Facts {
            name: format!("certs-{number}"),
            incarnation: 1,
            address: ([127, 0, 0, 1], 1).into(),
            local: false,
            near,
            suspect: false,
            joined: None,
            slots: None,
        },
        health: Arc::new(Health::new(now)),
    }
}

fn upstreams(near: usize, far: usize, now: Instant) -> Vec<Upstream> {
    (0..near + far)
        .map(|number| upstream(number, number < near, now))
        .collect()
}

/// Counts the choices of a thousand calls that end at once.
fn share(group: &Group, now: Instant) -> BTreeMap<String, u32> {
    let mut rng = StdRng::seed_from_u64(1);
    let mut counts = BTreeMap::new();
    for _ in 0..1_000 {
        let index = group.choose(now, Choice::Load, rng.random(), &[]).unwrap();
        let name = &group.upstreams()[index.0].facts.name;
        *counts.entry(name.clone()).or_default() += 1;
    }
    counts
}

fn fail(upstream: &Upstream, now: Instant) {
    for _ in 0..3 {
        upstream.health.fail(now);
    }
    assert!(upstream.health.is_ejected(now));
}

#[test]
fn choose_own_failure_domain_until_it_is_loaded() {
    let now = Instant::now();
    let group = Group::new(upstreams(2, 4, now), SIZES);
    let near = |counts: &BTreeMap<String, u32>| {
        counts.get("certs-0").unwrap_or(&0) + counts.get("certs-1").unwrap_or(&0)
    };
    assert_eq!(near(&share(&group, now)), 1_000);
    let load = Load {
        running: 10,
        queued: 5,
        slots: 10,
    };
    for upstream in &group.upstreams()[..2] {
        upstream.health.report(now, load);
    }
    assert_eq!(near(&share(&group, now)), 0);
    let later = now + Duration::from_secs(2);
    assert_eq!(
        near(&share(&group, later)),
        1_000,
        "old reports count for nothing"
    );
}

#[test]
fn choose_passes_over_ejected_upstreams_down_to_a_floor() {
    let now = Instant::now();
    let group = Group::new(upstreams(4, 0, now), SIZES);
    fail(&group.upstreams()[0], now);
    assert!(!share(&group, now).contains_key("certs-0"));
    for upstream in &group.upstreams()[1..] {
        fail(upstream, now);
    }
    assert_eq!(share(&group, now).len(), 4);
}

#[test]
fn choose_takes_an_ejected_upstream_back() {
    let now = Instant::now();
    let group = Group::new(upstreams(2, 0, now), SIZES);
    fail(&group.upstreams()[0], now);
    let later = now + Duration::from_secs(2);
    assert!(share(&group, later).contains_key("certs-0"));
    group.upstreams()[0].health.fail(later);
    assert!(!share(&group, later).contains_key("certs-0"));
    assert!(
        group.upstreams()[0]
            .health
            .succeed(Duration::from_millis(1))
    );
    assert!(share(&group, later).contains_key("certs-0"));
}

#[test]
fn choose_never_takes_one_that_leaves() {
    let now = Instant::now();
    let group = Group::new(upstreams(1, 1, now), SIZES);
    group.upstreams()[0].health.leave();
    assert_eq!(share(&group, now).get("certs-0"), None);
    group.upstreams()[1].health.leave();
    let none = group.choose(now, Choice::Load, (0, 0), &[]);
    assert_eq!(none, None);
}

#[test_case(Choice::RoundRobin; "round robin")]
#[test_case(Choice::TwoChoices; "two choices")]
#[test_case(Choice::Load; "load")]
fn choose_passes_over_those_tried(choice: Choice) {
    let now = Instant::now();
    let group = Group::new(upstreams(1, 3, now), SIZES);
    let mut rng = StdRng::seed_from_u64(2);
    for _ in 0..100 {
        let mut tried: Vec<Index> = Vec::new();
        while let Some(index) = group.choose(now, choice, rng.random(), &tried) {
            assert!(!tried.contains(&index));
            tried.push(index);
        }
        assert_eq!(tried.len(), 4);
    }
}

#[test]
fn choose_starts_a_new_upstream_slowly() {
    let now = Instant::now();
    let mut all = upstreams(3, 0, now);
    all[0].facts.joined = Some(now);
    let group = Group::new(all, SIZES);
    for upstream in group.upstreams() {
        upstream.health.succeed(Duration::from_millis(10));
        for _ in 0..2 {
            upstream.health.begin();
        }
    }
    let cold = share(&group, now).get("certs-0").copied().unwrap_or(0);
    let warm = share(&group, now + Duration::from_secs(11))["certs-0"];
    assert!(cold * 4 < warm, "{cold} cold, {warm} warm");
}

#[test]
fn choose_prefers_the_faster_and_the_trusted() {
    let now = Instant::now();
    let mut all = upstreams(3, 0, now);
    all[0].facts.suspect = true;
    let group = Group::new(all, SIZES);
    for (upstream, ms) in group.upstreams().iter().zip([10, 100, 10]) {
        upstream.health.succeed(Duration::from_millis(ms));
    }
    let counts = share(&group, now);
    assert!(counts["certs-2"] > 600, "{counts:?}");
}

/// A backend server that sheds calls itself is loaded, not broken.
/// A connection that breaks with nine calls on it is one failure of the upstream, not nine.
#[test]
fn fail_calls_that_were_under_way_together() {
    let now = Instant::now();
    let health = Health::new(now);
    for _ in 0..12 {
        health.fail(now);
    }
    assert!(health.is_ejected(now));
    let later = now + Duration::from_millis(1_100);
    assert!(!health.is_ejected(later));
    assert_eq!(health.fail(later), Some(Duration::from_secs(2)));
}

#[test]
fn choose_avoids_one_that_sheds_but_does_not_eject_it() {
    let now = Instant::now();
    let group = Group::new(upstreams(2, 0, now), SIZES);
    let first = &group.upstreams()[0];
    first.health.shed(now, Duration::from_mins(1));
    assert!(!first.health.is_ejected(now));
    assert_eq!(share(&group, now).get("certs-0"), None);
    assert!(share(&group, now + Duration::from_secs(6)).contains_key("certs-0"));
}

/// One grey upstream: it fails half of its attempts while its health is good.
#[test]
fn choose_grey_upstream_loses_its_share_and_gets_it_back() {
    let now = Instant::now();
    let group = Group::new(upstreams(3, 0, now), SIZES);
    let grey = &group.upstreams()[0];
    for attempt in 0..20 {
        grey.health.rate(now, attempt % 2 == 0);
    }
    let share_at = |now| share(&group, now).get("certs-0").copied().unwrap_or(0);
    assert!(share_at(now) < 50, "{}", share_at(now));
    let later = now + Duration::from_secs(20);
    assert!(share_at(later) > 200, "{}", share_at(later));
}

/// Half the fleet slow: calls go where they end sooner.
#[test]
fn choose_half_the_fleet_slow_prefers_the_other_half() {
    let now = Instant::now();
    let group = Group::new(upstreams(4, 0, now), SIZES);
    for (place, upstream) in group.upstreams().iter().enumerate() {
        upstream.health.succeed(Duration::from_millis(100));
        for _ in 0..40 {
            let ratio = if place < 2 { 3_000 } else { 1_001 };
            upstream.health.compare(ratio);
        }
    }
    let counts = share(&group, now);
    let slow = counts.get("certs-0").unwrap_or(&0) + counts.get("certs-1").unwrap_or(&0);
    assert!(slow < 250, "{counts:?}");
}

/// Even load on a fleet with slow links: calls stay on their VM while it has slots to spare.
#[test]
fn choose_upstream_on_the_own_vm_until_it_is_loaded() {
    let now = Instant::now();
    let mut all = upstreams(3, 3, now);
    all[1].facts.local = true;
    let group = Group::new(all, SIZES);
    let local = |now| share(&group, now).get("certs-1").copied().unwrap_or(0);
    assert_eq!(local(now), 1_000);
    let health = &group.upstreams()[1].health;
    for _ in 0..8 {
        health.begin();
    }
    assert!(local(now) < 500, "{}", local(now));
    for _ in 0..8 {
        health.end();
    }
    for _ in 0..3 {
        health.fail(now);
    }
    assert_eq!(local(now), 0, "ejected");
}

/// Long bodies wait for a slot near by rather than cross failure domains.
#[test]
fn choose_heavy_call_stays_near_for_longer() {
    let now = Instant::now();
    let group = Group::new(upstreams(2, 2, now), SIZES);
    let load = Load {
        running: 10,
        queued: 0,
        slots: 10,
    };
    for upstream in &group.upstreams()[..2] {
        upstream.health.report(now, load);
    }
    let mut rng = StdRng::seed_from_u64(3);
    for _ in 0..100 {
        let dice = rng.random();
        let heavy = group.choose_for(now, Choice::Load, dice, &[], Bulk::Heavy);
        assert!(heavy.unwrap().0 < 2);
        let light = group.choose_for(now, Choice::Load, dice, &[], Bulk::Light);
        assert!(light.unwrap().0 >= 2);
    }
}

/// A service whose own calls fail: repeats would only make those calls again.
#[test]
fn note_fault_tells_a_faulty_service_from_one_faulty_upstream() {
    let times = Times::default();
    for answer in 0..400 {
        times.note_fault(answer % 20 == 0);
    }
    assert!(!times.is_faulty());
    for answer in 0..100 {
        times.note_fault(answer % 3 == 0);
    }
    assert!(times.is_faulty());
    for _ in 0..200 {
        times.note_fault(false);
    }
    assert!(!times.is_faulty());
}

/// What all daemons may spend together in a window is kept by each keeping its part.
#[tokio::test(start_paused = true)]
async fn resize_bounds_retries_in_each_window() {
    let budget = Budget::default();
    let window = Duration::from_secs(10);
    budget.resize(6.0, window);
    for _ in 0..5 {
        let mut spent = 0;
        for _ in 0..100 {
            spent += u32::from(budget.spend());
            tokio::time::advance(window / 100).await;
        }
        assert!(spent <= 6, "{spent}");
    }
}

#[test]
fn budget_bounds_retries_to_a_share() {
    let budget = Budget::default();
    while budget.spend() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.earn(10);
        retries += u32::from(budget.spend());
    }
    assert_eq!(retries, 100);
    assert!(budget.pay(Failure::Leaving), "a drain is free");
}

fn terms(now: Instant) -> Terms {
    Terms {
        idempotent: true,
        owned_above: false,
        replayable: true,
        attempts: 3,
        deadline: now + Duration::from_secs(1),
    }
}

#[test_case(|_| (), Failure::MayHaveRun, true; "idempotent")]
#[test_case(|t| t.idempotent = false, Failure::MayHaveRun, false; "not idempotent")]
#[test_case(|t| t.idempotent = false, Failure::NotRun, true; "not idempotent and not run")]
#[test_case(|t| t.owned_above = true, Failure::MayHaveRun, false; "owned above")]
#[test_case(|t| t.owned_above = true, Failure::NotRun, true; "owned above and not run")]
#[test_case(|t| t.replayable = false, Failure::NotRun, false; "body is gone")]
#[test_case(|t| t.attempts = 1, Failure::NotRun, false; "no attempt left")]
fn terms_allow(change: fn(&mut Terms), failure: Failure, allowed: bool) {
    let now = Instant::now();
    let mut terms = terms(now);
    change(&mut terms);
    assert_eq!(terms.allow(now, 1, failure), allowed);
    assert!(!terms.allow(terms.deadline, 1, failure));
}

#[test]
fn backoff_grows_with_jitter() {
    assert_eq!(backoff(1, Failure::NotRun, 1.0), Duration::ZERO);
    assert_eq!(
        backoff(1, Failure::MayHaveRun, 0.5),
        Duration::from_millis(5)
    );
    assert_eq!(backoff(2, Failure::NotRun, 1.0), Duration::from_millis(20));
    assert_eq!(
        backoff(30, Failure::NotRun, 1.0),
        Duration::from_millis(250)
    );
}
