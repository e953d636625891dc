//! Routes with weighted services: the share of each, also while one of them is short of capacity or
//! one of its daemons drains.

#[path = "support/site.rs"]
mod site;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde_json::{Value, json};
use site::{TestSite, policy, service};
use standin::caller::Pool;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{interval, sleep};

/// The share of the second service.
const SHARE: f64 = 0.3;

/// The greatest difference of a share from its weight, and the same while a service is short of capacity.
const TOLERANCE: f64 = 0.1;
const SHORT_TOLERANCE: f64 = 0.2;

/// The time of a call, in milliseconds.
const CALL_MS: u64 = 20;

/// Returns the resources of a route that two services share. The second one's backend servers run
/// `slots` calls at once.
fn resources(slots: u32) -> Vec<Value> {
    let mut resources = vec![
        policy(0),
        json!(["route", "certs", { "prefix": "/certs", "service": "first", "request_kind": "low",
            "idempotent": false, "split": { "first": 70, "second": 30 } }]),
    ];
    resources.extend(service("first", 100));
    resources.extend(service("second", slots));
    resources
}

/// Starts an entry daemon, and daemons of both services.
async fn start(first: usize, second: usize, slots: u32) -> TestSite {
    let mut site = TestSite::start().await;
    site.add("entry", &[]).await;
    for _ in 0..first {
        site.add("first", &[]).await;
    }
    for _ in 0..second {
        site.add("second", &[]).await;
    }
    site.configure(&resources(slots)).await;
    site
}

/// Calls that ended with each outcome.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    served: usize,
    refused: usize,
}

/// Makes calls at a steady rate through the entry daemon.
async fn call(site: &TestSite, count: usize, pause: Duration) -> Outcomes {
    let pool = Arc::new(Pool::new(site.vms[0].outbound()));
    let mut calls = JoinSet::new();
    let mut ticks = interval(pause);
    for _ in 0..count {
        ticks.tick().await;
        let pool = Arc::clone(&pool);
        let path = format!("/certs?{CALL_MS}");
        let request = Request::get(path).header("host", "certs");
        let request = request.body(Full::<Bytes>::default()).unwrap();
        calls.spawn(async move { pool.call(request).await.unwrap().status().as_u16() });
    }
    let mut outcomes = Outcomes::default();
    for status in calls.join_all().await {
        match status {
            200 => outcomes.served += 1,
            503 => outcomes.refused += 1,
            other => panic!("a call ended with {other}"),
        }
    }
    outcomes
}

/// Counts the runs at the backend servers of VMs.
fn runs(site: &TestSite, vms: std::ops::Range<usize>) -> usize {
    let vms = site.vms[vms].iter();
    vms.map(|vm| vm.backend.received().len()).sum()
}

#[allow(clippy::cast_precision_loss, reason = "counts are small")]
fn share(part: usize, whole: usize) -> f64 {
    part as f64 / whole as f64
}

#[tokio::test(flavor = "multi_thread")]
async fn shares_by_weight() {
    let site = start(1, 1, 100).await;
    let outcomes = call(&site, 600, Duration::from_millis(3)).await;
    assert_eq!((outcomes.served, outcomes.refused), (600, 0));
    let second = share(runs(&site, 2..3), 600);
    assert!((second - SHARE).abs() <= TOLERANCE, "{second}");
}

/// The second service runs one call at a time and is sent three times as many: what is above its capacity
/// is refused there, and the other service gets no more than its share.
#[tokio::test(flavor = "multi_thread")]
async fn shares_short_of_capacity() {
    let site = start(1, 1, 1).await;
    let outcomes = call(&site, 600, Duration::from_millis(2)).await;
    let (first, second) = (runs(&site, 1..2), runs(&site, 2..3));
    assert!(
        outcomes.refused > 50,
        "the service was not short of capacity: {outcomes:?}"
    );
    assert_eq!(first + second, outcomes.served);
    let kept = share(first, 600);
    assert!(
        (kept - (1.0 - SHARE)).abs() <= TOLERANCE,
        "{kept}: calls were moved"
    );
    let sent = share(second + outcomes.refused, 600);
    assert!((sent - SHARE).abs() <= SHORT_TOLERANCE, "{sent}");
}

/// A service one of whose two daemons drains keeps its share.
#[tokio::test(flavor = "multi_thread")]
async fn shares_during_drain() {
    let site = start(1, 2, 100).await;
    let draining = Arc::clone(&site.vms[2].daemon);
    let drain = tokio::spawn(async move {
        sleep(Duration::from_millis(400)).await;
        draining.shut_down().await;
    });
    let outcomes = call(&site, 600, Duration::from_millis(3)).await;
    assert_eq!((outcomes.served, outcomes.refused), (600, 0));
    let second = share(runs(&site, 2..4), 600);
    assert!((second - SHARE).abs() <= TOLERANCE, "{second}");
    drain.await.unwrap();
}

/// A service all of whose daemons have left: its calls are refused and not moved.
#[tokio::test(flavor = "multi_thread")]
async fn shares_service_gone() {
    let site = start(1, 1, 100).await;
    site.vms[2].daemon.shut_down().await;
    let outcomes = call(&site, 300, Duration::from_millis(2)).await;
    assert_eq!(runs(&site, 1..2), outcomes.served);
    let refused = share(outcomes.refused, 300);
    assert!((refused - SHARE).abs() <= TOLERANCE, "{refused}");
}
