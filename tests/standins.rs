//! Tests of the stand-ins: each one applies its configured limits and faults.

use http::{Request, StatusCode};
use http_body_util::Full;
use standin::backend::{Backend, Behaviour, Fault, Report, RunEnd, RunLog, pattern};
use standin::caller;
use standin::fault::{Accept, Break, Control, FaultProxy, Faults, Pass};
use std::net::SocketAddr;
use std::time::Duration;
use test_case::test_case;

/// Time limit of each wait.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Returns a loopback address with a port that the system chooses.
fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn backend(behaviour: Behaviour) -> (Backend, RunLog) {
    let run_log = RunLog::default();
    let backend = Backend::start("certs-0", any(), behaviour, run_log.clone());
    (backend.await.unwrap(), run_log)
}

async fn call(backend: &Backend, id: &str) -> anyhow::Result<http::Response<bytes::Bytes>> {
    let request = Request::get("/certs/1").header("x-request-id", id);
    caller::call(backend.address(), request.body(Full::default())?).await
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::task::yield_now().await;
        }
    };
    let waited = tokio::time::timeout(Duration::from_secs(20), wait).await;
    assert!(waited.is_ok(), "{what}");
}

#[tokio::test]
async fn backend_queue_full() {
    let behaviour = Behaviour {
        slots: 1,
        queue: 1,
        fault: Fault::Stuck,
        ..Behaviour::default()
    };
    let (backend, run_log) = backend(behaviour).await;
    let mut pending = Vec::new();
    for id in ["a", "b"] {
        let backend = backend.clone();
        pending.push(tokio::spawn(
            async move { call(&backend, id).await.is_ok() },
        ));
    }
    wait_until("one call runs", || backend.running() == 1).await;
    let mut shed = Vec::new();
    for id in ["c", "d", "e"] {
        let call = tokio::time::timeout(Duration::from_millis(500), call(&backend, id));
        if let Ok(response) = call.await {
            shed.push(response.unwrap());
        }
    }
    assert!(shed.len() >= 2);
    assert_eq!(shed[0].status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(shed[0].headers()["retry-after"], "1");
    assert!(run_log.runs("c") + run_log.runs("d") + run_log.runs("e") <= 1);
    for call in pending {
        call.abort();
    }
    wait_until("the running call is cancelled", || {
        run_log.ended(RunEnd::Cancelled) > 0
    })
    .await;
}

#[test_case(Fault::Lost, 1; "lost")]
#[test_case(Fault::Truncated, 1; "truncated")]
#[tokio::test]
async fn backend_response_incomplete(fault: Fault, runs: u32) {
    let behaviour = Behaviour {
        fault,
        ..Behaviour::default()
    };
    let (backend, run_log) = backend(behaviour).await;
    assert!(call(&backend, "a").await.is_err());
    assert_eq!(run_log.runs("a"), runs);
    assert_eq!(run_log.ended(RunEnd::Done), 1);
}

#[tokio::test]
async fn backend_response_crossed() {
    let (backend, _) = backend(Behaviour::default()).await;
    call(&backend, "a").await.unwrap();
    backend.set(Behaviour {
        fault: Fault::Crossed,
        ..Behaviour::default()
    });
    let response = call(&backend, "b").await.unwrap();
    assert_eq!(response.headers()["x-request-id"], "a");
}

#[tokio::test]
async fn backend_response_streamed() {
    let (backend, _) = backend(Behaviour::default()).await;
    let response = caller::get(backend.address(), "/photos/bytes/100000")
        .await
        .unwrap();
    assert_eq!(response.body(), &pattern(100_000));
}

#[test_case(Report::Actual, 503; "actual")]
#[test_case(Report::Idle, 200; "idle")]
#[test_case(Report::Unhealthy, 503; "unhealthy")]
#[tokio::test]
async fn backend_health(report: Report, status: u16) {
    let behaviour = Behaviour {
        draining: true,
        report,
        ..Behaviour::default()
    };
    let (backend, _) = backend(behaviour).await;
    let response = caller::get(backend.address(), "/health").await.unwrap();
    assert_eq!(response.status(), status);
    backend.stop();
    wait_until("connections are closed", || backend.connections() == 0).await;
    assert!(caller::get(backend.address(), "/health").await.is_err());
}

/// Starts a backend server behind a fault proxy.
async fn proxied(behaviour: Behaviour) -> (SocketAddr, Control, Backend) {
    let (backend, _) = backend(behaviour).await;
    let (address, control) = FaultProxy::start(backend.address()).await.unwrap();
    (address, control, backend)
}

#[test_case(Faults::default(), true; "none")]
#[test_case(Faults { rate: 1_000_000, delay: Duration::from_millis(5), ..Faults::default() }, true; "slow")]
#[test_case(Faults { accept: Accept::Reset, ..Faults::default() }, false; "refused")]
#[test_case(Faults { break_after: Some((5_000, Break::Reset)), ..Faults::default() }, false; "reset")]
#[test_case(Faults { break_after: Some((5_000, Break::Close)), ..Faults::default() }, false; "closed")]
#[tokio::test]
async fn proxy_call(faults: Faults, complete: bool) {
    let (address, control, _backend) = proxied(Behaviour::default()).await;
    control.set(faults);
    let response = caller::get(address, "/bytes/50000");
    let response = tokio::time::timeout(TIMEOUT, response).await.unwrap();
    assert_eq!(response.is_ok(), complete, "{response:?}");
    if let Ok(response) = response {
        assert_eq!(response.body(), &pattern(50_000));
    }
}

#[test_case(Faults { accept: Accept::Silent, ..Faults::default() }, 0; "silent")]
#[test_case(Faults { pass: Pass::Up, ..Faults::default() }, 1; "one_way")]
#[test_case(Faults { pass: Pass::Down, ..Faults::default() }, 0; "other_way")]
#[test_case(Faults { stall_every: 1, ..Faults::default() }, 0; "stalled")]
#[tokio::test]
async fn proxy_stall(faults: Faults, runs: u32) {
    let (backend, run_log) = backend(Behaviour::default()).await;
    let (address, control) = FaultProxy::start(backend.address()).await.unwrap();
    control.set(faults);
    let pending = caller::get(address, "/certs/1");
    let pending = tokio::time::timeout(Duration::from_millis(300), pending);
    assert!(pending.await.is_err());
    assert_eq!(run_log.runs(""), runs);
    control.clear_faults();
    control.reset_connections();
    let response = caller::get(address, "/certs/1");
    let response = tokio::time::timeout(TIMEOUT, response).await;
    response.unwrap().unwrap();
}
