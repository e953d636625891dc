//! The stand-ins show the limits and faults that they are asked for.

use http::{Request, StatusCode};
use http_body_util::Full;
use standin::backend::{Backend, Behaviour, Ending, Fault, Ledger, Report, pattern};
use standin::caller;
use std::net::SocketAddr;
use std::time::Duration;
use test_case::test_case;

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn backend(behaviour: Behaviour) -> (Backend, Ledger) {
    let ledger = Ledger::default();
    let backend = Backend::start("certs-0", any(), behaviour, ledger.clone());
    (backend.await.unwrap(), ledger)
}

async fn call(backend: &Backend, id: &str) -> anyhow::Result<http::Response<bytes::Bytes>> {
    let request = Request::get("/certs/1").header("x-request-id", id);
    caller::call(backend.address(), request.body(Full::default())?).await
}

async fn until(what: &str, condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::task::yield_now().await;
        }
    };
    let waited = tokio::time::timeout(Duration::from_secs(20), wait).await;
    assert!(waited.is_ok(), "{what}");
}

#[tokio::test]
async fn backend_sheds_above_queue() {
    let behaviour = Behaviour {
        slots: 1,
        queue: 1,
        fault: Fault::Stuck,
        ..Behaviour::default()
    };
    let (backend, ledger) = backend(behaviour).await;
    let mut held = Vec::new();
    for id in ["a", "b"] {
        let backend = backend.clone();
        held.push(tokio::spawn(
            async move { call(&backend, id).await.is_ok() },
        ));
    }
    until("one call runs", || backend.running() == 1).await;
    let mut shed = Vec::new();
    for id in ["c", "d", "e"] {
        let call = tokio::time::timeout(Duration::from_millis(500), call(&backend, id));
        if let Ok(answer) = call.await {
            shed.push(answer.unwrap());
        }
    }
    assert!(shed.len() >= 2);
    assert_eq!(shed[0].status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(shed[0].headers()["retry-after"], "1");
    assert!(ledger.runs("c") + ledger.runs("d") + ledger.runs("e") <= 1);
    for call in held {
        call.abort();
    }
    until("the run is cancelled", || {
        ledger.ended(Ending::Cancelled) > 0
    })
    .await;
}

#[test_case(Fault::Lost, 1; "lost")]
#[test_case(Fault::Truncated, 1; "truncated")]
#[tokio::test]
async fn backend_breaks_answer(fault: Fault, runs: u32) {
    let behaviour = Behaviour {
        fault,
        ..Behaviour::default()
    };
    let (backend, ledger) = backend(behaviour).await;
    assert!(call(&backend, "a").await.is_err());
    assert_eq!(ledger.runs("a"), runs);
    assert_eq!(ledger.ended(Ending::Done), 1);
}

#[tokio::test]
async fn backend_crosses_answers() {
    let (backend, _) = backend(Behaviour::default()).await;
    call(&backend, "a").await.unwrap();
    backend.set(Behaviour {
        fault: Fault::Crossed,
        ..Behaviour::default()
    });
    let answer = call(&backend, "b").await.unwrap();
    assert_eq!(answer.headers()["x-request-id"], "a");
}

#[tokio::test]
async fn backend_streams_whole() {
    let (backend, _) = backend(Behaviour::default()).await;
    let answer = caller::get(backend.address(), "/photos/bytes/100000")
        .await
        .unwrap();
    assert_eq!(answer.body(), &pattern(100_000));
}

#[test_case(Report::Truth, 503; "truth")]
#[test_case(Report::Idle, 200; "idle")]
#[test_case(Report::Sick, 503; "sick")]
#[tokio::test]
async fn backend_health(report: Report, status: u16) {
    let behaviour = Behaviour {
        draining: true,
        report,
        ..Behaviour::default()
    };
    let (backend, _) = backend(behaviour).await;
    let answer = caller::get(backend.address(), "/health").await.unwrap();
    assert_eq!(answer.status(), status);
    backend.stop();
    until("connections are closed", || backend.connections() == 0).await;
    assert!(caller::get(backend.address(), "/health").await.is_err());
}
