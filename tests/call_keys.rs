//! Calls with an `Idempotency-Key` run once, however often they are repeated.

use baobabstage::call::idempotency::{
    KEY_TTL, KeyDecision, KeyError, KeyId, Keys, MAX_RESPONSE_LEN, MAX_STORED_LEN, RunResult,
    StoredResponse,
};
use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;
use standin::backend::{Behaviour, Fault};
use standin::bench::calls::mesh::Mesh;
use standin::bench::calls::profile::Profile;
use standin::caller;
use standin::fleet::Launcher;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use test_case::test_case;
use tokio::time::Instant;

fn stored(len: usize) -> Arc<StoredResponse> {
    Arc::new(StoredResponse {
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        body: vec![0; len].into(),
    })
}

fn key(number: usize) -> KeyId {
    KeyId::new("certs", number.to_string().as_bytes())
}

#[test]
fn begin_repeat() {
    let (mut keys, now) = (Keys::default(), Instant::now());
    assert!(matches!(keys.begin(now, key(1), 7), KeyDecision::Run));
    let KeyDecision::Join(receiver) = keys.begin(now, key(1), 7) else {
        panic!("repeat does not join the first run");
    };
    keys.end(key(1), &RunResult::Responded(stored(3)));
    assert!(
        matches!(&*receiver.borrow(), Some(RunResult::Responded(stored)) if stored.body.len() == 3)
    );
    assert!(matches!(
        keys.begin(now, key(1), 7),
        KeyDecision::Respond(_)
    ));
    let other = keys.begin(now, key(1), 8);
    assert!(matches!(other, KeyDecision::Refuse(KeyError::OtherRequest)));
}

#[test_case(&RunResult::NotRun, true; "not run")]
#[test_case(&RunResult::Shed(stored(1)), true; "shed")]
#[test_case(&RunResult::Unknown, false; "unknown")]
fn end_by_outcome(result: &RunResult, free: bool) {
    let (mut keys, now) = (Keys::default(), Instant::now());
    assert!(matches!(keys.begin(now, key(1), 7), KeyDecision::Run));
    keys.end(key(1), result);
    assert_eq!(matches!(keys.begin(now, key(1), 7), KeyDecision::Run), free);
}

#[test]
fn end_stored_limit() {
    let (mut keys, now) = (Keys::default(), Instant::now());
    let count = MAX_STORED_LEN / MAX_RESPONSE_LEN;
    for number in 0..=count {
        assert!(matches!(keys.begin(now, key(number), 7), KeyDecision::Run));
        keys.end(key(number), &RunResult::Responded(stored(MAX_RESPONSE_LEN)));
    }
    let oldest = keys.begin(now, key(0), 7);
    assert!(matches!(oldest, KeyDecision::Refuse(KeyError::Unknown)));
    assert!(matches!(
        keys.begin(now, key(1), 7),
        KeyDecision::Respond(_)
    ));
    let later = now + KEY_TTL + Duration::from_secs(1);
    assert!(matches!(keys.begin(later, key(0), 7), KeyDecision::Run));
    assert!(!keys.contains(key(1)));
}

async fn start(behaviour: Behaviour) -> Mesh {
    let mut profile = Profile::by_name("certs").unwrap();
    profile.upstreams = 3;
    profile.domains = ["espoo", "vantaa", "espoo"];
    let launcher = Launcher::new(env!("CARGO_BIN_EXE_baobabd"));
    Mesh::start(launcher, &profile, behaviour).await.unwrap()
}

async fn issue(address: SocketAddr, id: &str, key: &str) -> anyhow::Result<Response<Bytes>> {
    let request = Request::post("/certs/issue")
        .header("host", "certs")
        .header("x-request-id", id)
        .header("idempotency-key", key)
        .body(Full::from("serial"))?;
    caller::call(address, request).await
}

fn runs(mesh: &Mesh, ids: &[String]) -> u32 {
    ids.iter().map(|id| mesh.run_log.runs(id)).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn repeat_at_any_daemon() {
    let behaviour = Behaviour {
        work: Duration::from_millis(50),
        ..Behaviour::default()
    };
    let mesh = start(behaviour).await;
    let mut calls = Vec::new();
    let ids: Vec<String> = (0..12).map(|number| format!("call-{number}")).collect();
    for (number, id) in ids.iter().enumerate() {
        let daemons = [&mesh.daemons, &mesh.entries];
        let daemons: Vec<_> = daemons.into_iter().flatten().collect();
        let address = daemons[number % daemons.len()].outbound;
        let id = id.clone();
        calls.push(tokio::spawn(async move {
            issue(address, &id, "serial-7").await
        }));
    }
    let mut bodies = Vec::new();
    for (call, id) in calls.into_iter().zip(&ids) {
        let response = call.await.unwrap().unwrap();
        assert_eq!(response.status(), 200, "{response:?}");
        assert_eq!(response.headers()["x-request-id"], id.as_str());
        bodies.push(response.into_body());
    }
    bodies.dedup();
    assert_eq!(bodies.len(), 1);
    assert_eq!(runs(&mesh, &ids), 1);
}

/// A key's owner changes when daemons join; repeats must still find the record of the first run.
#[tokio::test(flavor = "multi_thread")]
async fn repeat_while_daemons_join() {
    let mut mesh = start(Behaviour::default()).await;
    let entry = mesh.entries[0].outbound;
    let ids: Vec<String> = (0..40).map(|number| format!("call-{number}")).collect();
    for id in &ids {
        let response = issue(entry, id, id).await.unwrap();
        assert_eq!(response.status(), 200, "{response:?}");
    }
    for _ in 0..2 {
        mesh.add(Behaviour::default()).await.unwrap();
    }
    mesh.wait_members(7).await.unwrap();
    for id in &ids {
        let response = issue(entry, &format!("{id}-again"), id).await.unwrap();
        assert_eq!(response.status(), 200, "{response:?}");
        assert_eq!(mesh.run_log.runs(id), 1);
        assert_eq!(mesh.run_log.runs(&format!("{id}-again")), 0);
    }
}

/// The first caller disconnects; its run continues and its response goes to the repeat.
#[tokio::test(flavor = "multi_thread")]
async fn repeat_after_disconnect() {
    let mesh = start(Behaviour {
        fault: Fault::Late(Duration::from_millis(400)),
        ..Behaviour::default()
    });
    let mesh = mesh.await;
    let entry = mesh.entries[0].outbound;
    let first = issue(entry, "call-1", "serial-7");
    let first = tokio::time::timeout(Duration::from_millis(200), first);
    assert!(first.await.is_err());
    let response = issue(entry, "call-2", "serial-7").await.unwrap();
    assert!(response.body().ends_with(b" call-1 6\n"), "{response:?}");
    assert_eq!(runs(&mesh, &["call-1".into(), "call-2".into()]), 1);
}

/// The first response is lost, so a repeat is refused as unknown and must not run.
#[tokio::test(flavor = "multi_thread")]
async fn repeat_after_lost_response() {
    let mesh = start(Behaviour {
        fault: Fault::Lost,
        ..Behaviour::default()
    });
    let mesh = mesh.await;
    let entry = mesh.entries[0].outbound;
    for id in ["call-1", "call-2"] {
        let response = issue(entry, id, "serial-7").await.unwrap();
        assert_eq!(
            response.headers()["x-baobab-outcome"],
            "unknown",
            "{response:?}"
        );
    }
    assert_eq!(runs(&mesh, &["call-1".into(), "call-2".into()]), 1);
}
