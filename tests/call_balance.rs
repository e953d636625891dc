//! Load balancing, the retry budget, retry limits and backoff.

use baobabstage::call::attempt::Load;
use baobabstage::call::balance::{
    BalancePolicy, BalancingLimits, BodySize, Group, Health, Index, Upstream, UpstreamInfo,
};
use baobabstage::call::budget::{Budget, Failure, RetryLimits, backoff};
use baobabstage::call::view::ServiceStats;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use test_case::test_case;
use tokio::time::Instant;

const LIMITS: BalancingLimits = BalancingLimits {
    slots: 10,
    spill_percent: 80,
    keep_percent: 50,
    slow_start: Duration::from_secs(10),
};

fn upstream(number: usize, same_domain: bool, now: Instant) -> Upstream {
    Upstream {
        info: UpstreamInfo {
            name: format!("certs-{number}"),
            incarnation: 1,
            address: ([127, 0, 0, 1], 1).into(),
            local: false,
            same_domain,
            suspect: false,
            joined: None,
            slots: None,
            version: String::new(),
        },
        health: Arc::new(Health::new(now)),
    }
}

fn upstreams(domain: usize, remote: usize, now: Instant) -> Vec<Upstream> {
    (0..domain + remote)
        .map(|number| upstream(number, number < domain, now))
        .collect()
}

/// Counts how often each upstream is chosen in 1,000 calls that end at once.
fn choices(group: &Group, now: Instant) -> BTreeMap<String, u32> {
    let mut rng = StdRng::seed_from_u64(1);
    let mut counts = BTreeMap::new();
    for _ in 0..1_000 {
        let index = group
            .choose(now, BalancePolicy::Load, rng.random(), &[])
            .unwrap();
        let name = &group.upstreams()[index.0].info.name;
        *counts.entry(name.clone()).or_default() += 1;
    }
    counts
}

fn eject(upstream: &Upstream, now: Instant) {
    for _ in 0..3 {
        upstream.health.fail(now);
    }
    assert!(upstream.health.is_ejected(now));
}

#[test]
fn choose_domain_spillover() {
    let now = Instant::now();
    let group = Group::new(upstreams(2, 4, now), LIMITS);
    let in_domain = |counts: &BTreeMap<String, u32>| {
        counts.get("certs-0").unwrap_or(&0) + counts.get("certs-1").unwrap_or(&0)
    };
    assert_eq!(in_domain(&choices(&group, now)), 1_000);
    let load = Load {
        running: 10,
        queued: 5,
        slots: 10,
    };
    for upstream in &group.upstreams()[..2] {
        upstream.health.report(now, load);
    }
    assert_eq!(in_domain(&choices(&group, now)), 0);
    let later = now + Duration::from_secs(2);
    assert_eq!(
        in_domain(&choices(&group, later)),
        1_000,
        "old load reports are ignored"
    );
}

#[test]
fn choose_ejected_panic_threshold() {
    let now = Instant::now();
    let group = Group::new(upstreams(4, 0, now), LIMITS);
    eject(&group.upstreams()[0], now);
    assert!(!choices(&group, now).contains_key("certs-0"));
    for upstream in &group.upstreams()[1..] {
        eject(upstream, now);
    }
    assert_eq!(choices(&group, now).len(), 4);
}

#[test]
fn choose_after_ejection() {
    let now = Instant::now();
    let group = Group::new(upstreams(2, 0, now), LIMITS);
    eject(&group.upstreams()[0], now);
    let later = now + Duration::from_secs(2);
    assert!(choices(&group, later).contains_key("certs-0"));
    group.upstreams()[0].health.fail(later);
    assert!(!choices(&group, later).contains_key("certs-0"));
    assert!(
        group.upstreams()[0]
            .health
            .succeed(Duration::from_millis(1))
    );
    assert!(choices(&group, later).contains_key("certs-0"));
}

#[test]
fn choose_draining() {
    let now = Instant::now();
    let group = Group::new(upstreams(1, 1, now), LIMITS);
    group.upstreams()[0].health.set_draining();
    assert_eq!(choices(&group, now).get("certs-0"), None);
    group.upstreams()[1].health.set_draining();
    let none = group.choose(now, BalancePolicy::Load, (0, 0), &[]);
    assert_eq!(none, None);
}

#[test_case(BalancePolicy::RoundRobin; "round robin")]
#[test_case(BalancePolicy::TwoChoices; "two choices")]
#[test_case(BalancePolicy::Load; "load")]
fn choose_untried(policy: BalancePolicy) {
    let now = Instant::now();
    let group = Group::new(upstreams(1, 3, now), LIMITS);
    let mut rng = StdRng::seed_from_u64(2);
    for _ in 0..100 {
        let mut tried: Vec<Index> = Vec::new();
        while let Some(index) = group.choose(now, policy, rng.random(), &tried) {
            assert!(!tried.contains(&index));
            tried.push(index);
        }
        assert_eq!(tried.len(), 4);
    }
}

#[test]
fn choose_slow_start() {
    let now = Instant::now();
    let mut all = upstreams(3, 0, now);
    all[0].info.joined = Some(now);
    let group = Group::new(all, LIMITS);
    for upstream in group.upstreams() {
        upstream.health.succeed(Duration::from_millis(10));
        for _ in 0..2 {
            upstream.health.begin();
        }
    }
    let during = choices(&group, now).get("certs-0").copied().unwrap_or(0);
    let after = choices(&group, now + Duration::from_secs(11))["certs-0"];
    assert!(
        during * 4 < after,
        "{during} during the slow start, {after} after it"
    );
}

#[test]
fn choose_slow_and_suspect() {
    let now = Instant::now();
    let mut all = upstreams(3, 0, now);
    all[0].info.suspect = true;
    let group = Group::new(all, LIMITS);
    for (upstream, ms) in group.upstreams().iter().zip([10, 100, 10]) {
        upstream.health.succeed(Duration::from_millis(ms));
    }
    let counts = choices(&group, now);
    assert!(counts["certs-2"] > 600, "{counts:?}");
}

/// A connection that breaks with nine calls in flight is one failure of the upstream, not nine: the
/// further failures must not lengthen its ejection.
#[test]
fn fail_concurrent_calls() {
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

/// A backend server that sheds load is overloaded, not broken.
#[test]
fn choose_shedding() {
    let now = Instant::now();
    let group = Group::new(upstreams(2, 0, now), LIMITS);
    let first = &group.upstreams()[0];
    first.health.shed(now, Duration::from_mins(1));
    assert!(!first.health.is_ejected(now));
    assert_eq!(choices(&group, now).get("certs-0"), None);
    assert!(choices(&group, now + Duration::from_secs(6)).contains_key("certs-0"));
}

/// An upstream fails half of its attempts while its health checks pass (grey failure).
#[test]
fn choose_grey_failure() {
    let now = Instant::now();
    let group = Group::new(upstreams(3, 0, now), LIMITS);
    let failing = &group.upstreams()[0];
    for attempt in 0..20 {
        failing.health.record_outcome(now, attempt % 2 == 0);
    }
    let share_at = |now| choices(&group, now).get("certs-0").copied().unwrap_or(0);
    assert!(share_at(now) < 50, "{}", share_at(now));
    let later = now + Duration::from_secs(20);
    assert!(share_at(later) > 200, "{}", share_at(later));
}

/// Half of the upstreams are slow: most calls go to the fast half.
#[test]
fn choose_half_slow() {
    let now = Instant::now();
    let group = Group::new(upstreams(4, 0, now), LIMITS);
    for (index, upstream) in group.upstreams().iter().enumerate() {
        upstream.health.succeed(Duration::from_millis(100));
        for _ in 0..40 {
            let ratio = if index < 2 { 3_000 } else { 1_001 };
            upstream.health.record_latency_ratio(ratio);
        }
    }
    let counts = choices(&group, now);
    let slow = counts.get("certs-0").unwrap_or(&0) + counts.get("certs-1").unwrap_or(&0);
    assert!(slow < 250, "{counts:?}");
}

/// Network links are slow: calls stay on their VM while its upstream has free slots.
#[test]
fn choose_own_vm() {
    let now = Instant::now();
    let mut all = upstreams(3, 3, now);
    all[1].info.local = true;
    let group = Group::new(all, LIMITS);
    let local = |now| choices(&group, now).get("certs-1").copied().unwrap_or(0);
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

/// Calls with large bodies wait for a slot in the own failure domain instead of spilling over.
#[test]
fn choose_large_body() {
    let now = Instant::now();
    let group = Group::new(upstreams(2, 2, now), LIMITS);
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
        let draws = rng.random();
        let large = group.choose_for(now, BalancePolicy::Load, draws, &[], BodySize::Large);
        assert!(large.unwrap().0 < 2);
        let small = group.choose_for(now, BalancePolicy::Load, draws, &[], BodySize::Small);
        assert!(small.unwrap().0 >= 2);
    }
}

/// A service fails because of the calls that it makes: retries would only repeat those calls.
#[test]
fn record_outcome_service_and_upstream() {
    let stats = ServiceStats::default();
    for call in 0..400 {
        stats.record_outcome(call % 20 == 0);
    }
    assert!(!stats.is_faulty());
    for call in 0..100 {
        stats.record_outcome(call % 3 == 0);
    }
    assert!(stats.is_faulty());
    for _ in 0..200 {
        stats.record_outcome(false);
    }
    assert!(!stats.is_faulty());
}

/// The limit for all daemons together holds if each daemon spends at most its share per window.
#[tokio::test(start_paused = true)]
async fn resize_retries_per_window() {
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
fn budget_retry_share() {
    let budget = Budget::default();
    while budget.spend() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.earn(10);
        retries += u32::from(budget.spend());
    }
    assert_eq!(retries, 100);
    assert!(budget.pay(Failure::Leaving), "a drain costs nothing");
}

fn retry_limits(now: Instant) -> RetryLimits {
    RetryLimits {
        idempotent: true,
        retried_by_caller: false,
        replayable: true,
        attempts: 3,
        deadline: now + Duration::from_secs(1),
    }
}

#[test_case(|_| (), Failure::MayHaveRun, true; "idempotent")]
#[test_case(|t| t.idempotent = false, Failure::MayHaveRun, false; "not idempotent")]
#[test_case(|t| t.idempotent = false, Failure::NotRun, true; "not idempotent and not run")]
#[test_case(|t| t.retried_by_caller = true, Failure::MayHaveRun, false; "retried by a caller")]
#[test_case(|t| t.retried_by_caller = true, Failure::NotRun, true; "retried by a caller and not run")]
#[test_case(|t| t.replayable = false, Failure::NotRun, false; "body not replayable")]
#[test_case(|t| t.attempts = 1, Failure::NotRun, false; "no attempt left")]
fn allows_by_failure(change: fn(&mut RetryLimits), failure: Failure, allowed: bool) {
    let now = Instant::now();
    let mut limits = retry_limits(now);
    change(&mut limits);
    assert_eq!(limits.allows(now, 1, failure), allowed);
    assert!(!limits.allows(limits.deadline, 1, failure));
}

#[test]
fn backoff_growth() {
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
