//! Attempts and fences over a connection between daemons that breaks.

use baobabstage::call::attempt::{Attempt, AttemptId};
use baobabstage::call::fence::ExecutionStatus;
use baobabstage::call::upstream::Link;
use baobabstage::call::{ATTEMPT, DEADLINE_MS, OUTCOME, REQUEST_ID};
use baobabstage::serve::{Body, full_body};
use http::{HeaderValue, Request};
use standin::backend::{Behaviour, Fault};
use standin::bench::calls::mesh::Mesh;
use standin::bench::calls::profile::Profile;
use standin::fault::{Control, FaultProxy};
use standin::fleet::Launcher;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const TIMEOUT: Duration = Duration::from_secs(20);

/// Returns a link to the daemon of the only upstream, through a proxy that can reset connections.
async fn start(behaviour: Behaviour) -> (Mesh, Arc<Link>, Control, u64) {
    let mut profile = Profile::by_name("certs").unwrap();
    profile.upstreams = 1;
    profile.domains = ["espoo"; 3];
    let launcher = Launcher::new(env!("CARGO_BIN_EXE_baobabd"));
    let mesh = Mesh::start(launcher, &profile, behaviour).await.unwrap();
    let state = mesh.daemons[0].state().await.unwrap();
    let incarnation = state["admin"]["incarnation"].as_u64().unwrap();
    let proxy = FaultProxy::start(mesh.daemons[0].inbound).await;
    let (address, control) = proxy.unwrap();
    let link = Arc::new(Link::new(address, incarnation));
    (mesh, link, control, incarnation)
}

fn attempt(number: u128, incarnation: u64, sent_ms: u64) -> Attempt {
    Attempt {
        id: AttemptId(number),
        incarnation,
        sent_ms,
        weight: 1,
        idempotent: false,
        time_class: 0,
        objective_ms: 0,
        wait_limit_ms: None,
    }
}

fn request(attempt: &Attempt, id: &'static str) -> Request<Body> {
    let value = HeaderValue::from_str(&attempt.to_string()).unwrap();
    Request::post("http://certs/certs/issue")
        .header(ATTEMPT, value)
        .header(DEADLINE_MS, 5_000)
        .header(REQUEST_ID, id)
        .body(full_body("serial"))
        .unwrap()
}

/// Sends an attempt and returns the outcome header of the response; empty if the response has none,
/// `None` if there is no response.
async fn send(link: &Link, attempt: &Attempt, id: &'static str) -> Option<String> {
    let ready = link.ready().await.unwrap();
    let response = ready.send(request(attempt, id)).await.ok()?;
    let outcome = response.headers().get(OUTCOME);
    let outcome = outcome.map_or("", |outcome| outcome.to_str().unwrap());
    Some(outcome.to_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn fence_before_arrival() {
    let (mesh, link, _, incarnation) = start(Behaviour::default()).await;
    let sent_ms = link.ready().await.unwrap().sent_ms;
    let attempt = attempt(1, incarnation, sent_ms);
    assert_eq!(link.fence(&attempt).await, Some(ExecutionStatus::NeverRuns));
    let outcome = send(&link, &attempt, "call-1").await;
    assert_eq!(outcome.as_deref(), Some("not-run"));
    assert_eq!(mesh.run_log.runs("call-1"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn fence_after_lost_connection() {
    let late = Behaviour {
        fault: Fault::Late(Duration::from_secs(2)),
        ..Behaviour::default()
    };
    let (mesh, link, control, incarnation) = start(late).await;
    let sent_ms = link.ready().await.unwrap().sent_ms;
    let attempt = attempt(1, incarnation, sent_ms);
    let sending = tokio::spawn({
        let link = Arc::clone(&link);
        async move { send(&link, &attempt, "call-1").await }
    });
    let deadline = Instant::now() + TIMEOUT;
    while mesh.run_log.runs("call-1") == 0 {
        assert!(Instant::now() < deadline, "call did not run in time");
        sleep(Duration::from_millis(5)).await;
    }
    control.reset_connections();
    assert_eq!(sending.await.unwrap(), None, "response was not lost");
    let status = link.fence(&attempt).await;
    assert!(
        matches!(
            status,
            Some(ExecutionStatus::Ran | ExecutionStatus::Running)
        ),
        "{status:?}"
    );
    let outcome = send(&link, &attempt, "call-1").await;
    assert_eq!(outcome.as_deref(), Some("unknown"), "duplicate attempt");
    assert_eq!(mesh.run_log.runs("call-1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn attempt_other_incarnation() {
    let (mesh, link, _, incarnation) = start(Behaviour::default()).await;
    let sent_ms = link.ready().await.unwrap().sent_ms;
    let attempt = attempt(1, incarnation - 1, sent_ms);
    let outcome = send(&link, &attempt, "call-1").await;
    assert_eq!(outcome.as_deref(), Some("not-run"));
    assert_eq!(link.fence(&attempt).await, Some(ExecutionStatus::Forgotten));
    assert_eq!(mesh.run_log.runs("call-1"), 0);
}

/// Calls to an unresponsive daemon share one connection attempt, so they fail together and not one
/// after the other.
#[tokio::test(start_paused = true)]
async fn ready_unresponsive() {
    let silent = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let link = Arc::new(Link::new(silent.local_addr().unwrap(), 1));
    let started = Instant::now();
    let calls: Vec<_> = (0..5)
        .map(|_| {
            let link = Arc::clone(&link);
            tokio::spawn(async move { link.ready().await.is_err() })
        })
        .collect();
    for call in calls {
        assert!(call.await.unwrap());
    }
    assert!(started.elapsed() < Duration::from_secs(3));
}
