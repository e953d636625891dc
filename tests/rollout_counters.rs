//! Counts of calls during a rollout, without a network.

use baobabstage::rollout::Order;
use baobabstage::rollout::counters::Counters;
use std::sync::Arc;
use std::time::Duration;
use test_case::test_case;
use tokio::time::{Instant, advance};

const TIMEOUT: Duration = Duration::from_secs(2);

fn counters() -> Arc<Counters> {
    let counters = Arc::<Counters>::default();
    counters.start(&order(7));
    counters
}

fn order(revision: u64) -> Order {
    Order {
        service: "shop".into(),
        version: "v2".into(),
        duration: Duration::from_secs(14),
        revision,
    }
}

/// Runs a call of 10 ms at the instance, whose response has a server error if `failed`.
async fn run(counters: &Arc<Counters>, version: &str, failed: bool) {
    let mut run = counters
        .begin("i-1", version, 3, Instant::now() + TIMEOUT)
        .unwrap();
    advance(Duration::from_millis(10)).await;
    run.set_response(failed);
    run.complete();
}

/// Returns the calls, the failures and the time in milliseconds.
fn sums(counters: &Counters) -> (u64, u64, u64) {
    let counts = counters.counts(7).unwrap();
    let routes = counts.values().flat_map(|server| server.routes.values());
    routes.fold((0, 0, 0), |sum, counts| {
        let ms = counts.time_us / 1_000;
        (sum.0 + counts.calls, sum.1 + counts.failures, sum.2 + ms)
    })
}

/// Calls that never end must not be missing from the evidence, and those that their callers give up must not count
/// against the version.
#[test_case(true, TIMEOUT, (1, 1, 0); "deadline")]
#[test_case(true, Duration::from_millis(10), (0, 0, 0); "caller gone")]
#[test_case(false, Duration::from_millis(10), (1, 0, 10); "caller gone in body")]
#[tokio::test(start_paused = true)]
async fn drop_run(stuck: bool, time: Duration, expected: (u64, u64, u64)) {
    let counters = counters();
    let mut run = counters
        .begin("i-1", "v2", 3, Instant::now() + TIMEOUT)
        .unwrap();
    advance(time).await;
    if !stuck {
        run.set_response(false);
    }
    drop(run);
    assert_eq!(sums(&counters), expected);
}

/// The time of failed calls must not count: service times are compared over the calls that did not fail, and failures
/// that take long would make a server look slow.
#[tokio::test(start_paused = true)]
async fn count_runs() {
    let counters = counters();
    run(&counters, "v2", false).await;
    run(&counters, "v2", true).await;
    assert_eq!(sums(&counters), (2, 1, 10));
    counters.start(&order(7));
    assert_eq!(sums(&counters), (2, 1, 10));
    counters.start(&order(8));
    assert!(counters.counts(7).is_none());
    assert!(counters.counts(8).unwrap().is_empty());
    counters.end();
    assert!(counters.begin("i-1", "v2", 3, Instant::now()).is_none());
}

/// A very bad version is stopped before any decision; a backend server of another version never is.
#[test_case("v2", 20, 59, true; "more than a quarter")]
#[test_case("v2", 20, 60, false; "a quarter")]
#[test_case("v2", 19, 0, false; "few")]
#[test_case("v1", 40, 0, false; "other version")]
#[tokio::test(start_paused = true)]
async fn stop_failing(version: &str, failures: usize, successes: usize, stops: bool) {
    let counters = counters();
    for _ in 0..successes {
        run(&counters, version, false).await;
    }
    for _ in 0..failures {
        run(&counters, version, true).await;
    }
    assert_eq!(counters.is_stopped(7), stops);
}
