//! Responses to callers when backend servers' responses are crossed, late, truncated or lost.

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use standin::backend::{Behaviour, Fault, RunEnd, RunLog};
use standin::bench::calls::mesh::Mesh;
use standin::bench::calls::profile::Profile;
use standin::caller;
use standin::fleet::Launcher;
use std::time::Duration;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const TIMEOUT: Duration = Duration::from_secs(20);

async fn start(upstreams: usize) -> Mesh {
    let mut profile = Profile::by_name("certs").unwrap();
    profile.upstreams = upstreams;
    profile.domains = ["espoo"; 3];
    let launcher = Launcher::new(env!("CARGO_BIN_EXE_baobabd"));
    let mesh = Mesh::start(launcher, &profile, Behaviour::default());
    mesh.await.unwrap()
}

fn set_behaviour(mesh: &Mesh, behaviour: Behaviour) {
    for backend in &mesh.backends {
        backend.set(behaviour);
    }
}

fn fault(fault: Fault) -> Behaviour {
    Behaviour {
        fault,
        ..Behaviour::default()
    }
}

fn request(path: &str, id: &str, body: &'static str) -> http::request::Builder {
    let method = if body.is_empty() { "GET" } else { "POST" };
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", "certs")
        .header("x-request-id", id)
}

async fn issue(mesh: &Mesh, id: &str) -> anyhow::Result<Response<Bytes>> {
    let request = request("/certs/issue", id, "serial").body(Full::from("serial"));
    caller::call(mesh.entries[0].outbound, request.unwrap()).await
}

async fn lookup(mesh: &Mesh, id: &str) -> anyhow::Result<Response<Bytes>> {
    let request = request("/certs/lookup", id, "").body(Full::default());
    caller::call(mesh.entries[0].outbound, request.unwrap()).await
}

fn outcome(response: &Response<Bytes>) -> &str {
    let outcome = response.headers().get("x-baobab-outcome");
    outcome.map_or("", |outcome| outcome.to_str().unwrap())
}

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = tokio::time::Instant::now() + TIMEOUT;
    while !condition() {
        assert!(
            tokio::time::Instant::now() < deadline,
            "{what}: not in time"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn all_runs_ended(run_log: &RunLog, id: &str, end: RunEnd) -> bool {
    let runs = run_log.history(id);
    let matches = |run: &standin::backend::Run| run.ended.is_some_and(|(_, how)| how == end);
    !runs.is_empty() && runs.iter().all(matches)
}

#[test_case(Fault::Lost; "lost")]
#[test_case(Fault::Crossed; "crossed")]
#[tokio::test(flavor = "multi_thread")]
async fn response_unknown(case: Fault) {
    let mesh = start(2).await;
    set_behaviour(&mesh, fault(case));
    let response = issue(&mesh, "call-1").await.unwrap();
    assert_eq!(outcome(&response), "unknown", "{response:?}");
    let body: serde_json::Value = serde_json::from_slice(response.body()).unwrap();
    assert_eq!(body["request_id"], "call-1");
    assert_eq!(body["outcome"], "unknown");
    assert_eq!(mesh.run_log.runs("call-1"), 1);
}

/// A truncated response never reaches the caller as a complete one.
#[tokio::test(flavor = "multi_thread")]
async fn response_truncated() {
    let mesh = start(1).await;
    set_behaviour(&mesh, fault(Fault::Truncated));
    for number in 0..5 {
        let id = format!("call-{number}");
        let path = format!("/certs/lookup/bytes/{}", 10_000 * number);
        let request = request(&path, &id, "").body(Full::default()).unwrap();
        if let Ok(response) = caller::call(mesh.entries[0].outbound, request).await {
            assert_eq!(outcome(&response), "unknown", "{response:?}");
        }
    }
    set_behaviour(&mesh, Behaviour::default());
    let response = lookup(&mesh, "call-9").await.unwrap();
    assert!(response.body().ends_with(b" call-9 0\n"), "{response:?}");
}

/// A response that arrives after the deadline is not taken for that of a later call.
#[tokio::test(flavor = "multi_thread")]
async fn response_late() {
    let mesh = start(1).await;
    set_behaviour(&mesh, fault(Fault::Late(Duration::from_millis(300))));
    let late = request("/certs/issue", "late", "serial").header("x-baobab-deadline-ms", "50");
    let late = late.body(Full::from("serial")).unwrap();
    let response = caller::call(mesh.entries[0].outbound, late).await.unwrap();
    assert_eq!(
        (response.status().as_u16(), outcome(&response)),
        (504, "unknown")
    );
    let run_log = mesh.run_log.clone();
    wait_until("late run cancelled", || {
        all_runs_ended(&run_log, "late", RunEnd::Cancelled)
    })
    .await;
    set_behaviour(&mesh, Behaviour::default());
    for number in 0..20 {
        let id = format!("call-{number}");
        let response = issue(&mesh, &id).await.unwrap();
        let end = format!(" {id} 6\n");
        assert!(response.body().ends_with(end.as_bytes()), "{response:?}");
    }
}

/// An idempotent call is retried at another upstream after its response was lost.
#[tokio::test(flavor = "multi_thread")]
async fn retry_lost_response() {
    let mesh = start(2).await;
    mesh.backends[0].set(fault(Fault::Lost));
    for number in 0..10 {
        let id = format!("call-{number}");
        let response = lookup(&mesh, &id).await.unwrap();
        let end = format!(" {id} 0\n");
        assert!(response.body().ends_with(end.as_bytes()), "{response:?}");
    }
}

/// The daemon of the VM that runs a call is killed before the response.
#[tokio::test(flavor = "multi_thread")]
async fn response_vm_lost() {
    let mut mesh = start(2).await;
    set_behaviour(&mesh, fault(Fault::Late(Duration::from_secs(1))));
    let entry = mesh.entries[0].outbound;
    let call = tokio::spawn(async move {
        let request = request("/certs/issue", "call-1", "serial").body(Full::from("serial"));
        caller::call(entry, request.unwrap()).await
    });
    let run_log = mesh.run_log.clone();
    wait_until("call runs", || run_log.runs("call-1") == 1).await;
    let name = run_log.history("call-1")[0].backend.clone();
    let index = mesh.backends.iter().position(|b| b.name == name).unwrap();
    mesh.daemons[index].kill().await.unwrap();
    let response = call.await.unwrap().unwrap();
    assert_eq!(outcome(&response), "unknown", "{response:?}");
    assert_eq!(run_log.runs("call-1"), 1);
}

/// A run is cancelled, and its slot released, when the caller disconnects.
#[tokio::test(flavor = "multi_thread")]
async fn caller_disconnect() {
    let mesh = start(1).await;
    set_behaviour(&mesh, fault(Fault::Stuck));
    let call = tokio::time::timeout(Duration::from_millis(500), issue(&mesh, "call-1"));
    assert!(call.await.is_err());
    let run_log = mesh.run_log.clone();
    wait_until("run cancelled", || {
        all_runs_ended(&run_log, "call-1", RunEnd::Cancelled)
    })
    .await;
    let idle = |state: &serde_json::Value| state["inbound"]["running"] == 0;
    let state = mesh.daemons[0].wait_state("slot is free", TIMEOUT, idle);
    state.await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn body_too_long() {
    let mesh = start(1).await;
    let change = serde_json::json!({"id": "limit", "title": "Limit bodies", "put": [
        {"kind": "policy", "name": "policy", "spec": {
            "kinds": {"lookup": 10, "issue": 100}, "body_bytes": 5}}]});
    mesh.apply_change(&change).await.unwrap();
    let response = issue(&mesh, "call-1").await.unwrap();
    assert_eq!(
        (response.status().as_u16(), outcome(&response)),
        (413, "not-run")
    );
    assert_eq!(mesh.run_log.runs("call-1"), 0);
}

/// Headers that are reserved for daemons are ignored when callers send them, and removed from
/// responses.
#[test_case("x-baobab-fence", "1.1.0.1.1"; "fence")]
#[test_case("x-baobab-hello", "1"; "hello")]
#[test_case("x-baobab-attempt", "1.1.0.1.1"; "attempt")]
#[tokio::test(flavor = "multi_thread")]
async fn reserved_header(name: &str, value: &str) {
    let mesh = start(1).await;
    let request = request("/certs/issue", "call-1", "serial").header(name, value);
    let request = request.body(Full::from("serial")).unwrap();
    let response = caller::call(mesh.daemons[0].outbound, request).await;
    let response = response.unwrap();
    assert!(response.body().ends_with(b" call-1 6\n"), "{response:?}");
    let reserved = response.headers().keys();
    let reserved: Vec<_> = reserved
        .filter(|n| n.as_str().starts_with("x-baobab"))
        .collect();
    assert!(reserved.is_empty(), "{reserved:?}");
}

/// A request whose framing is malformed or ambiguous gets no success, and no run of it completes.
#[test_case("content-length: 3\r\ncontent-length: 4\r\n\r\nabcd"; "two_lengths")]
#[test_case("content-length: +3\r\n\r\nabc"; "signed_length")]
#[test_case("transfer-encoding: chunked, identity\r\n\r\n0\r\n\r\n"; "chunks_not_last")]
#[test_case("transfer-encoding: chunked\r\n\r\nxyz\r\nabc\r\n0\r\n\r\n"; "bad_chunk")]
#[test_case("content length: 3\r\n\r\nabc"; "space_in_name")]
#[tokio::test(flavor = "multi_thread")]
async fn malformed_request(rest: &str) {
    let mesh = start(1).await;
    let mut stream = TcpStream::connect(mesh.entries[0].outbound).await.unwrap();
    let head = "POST /certs/issue HTTP/1.1\r\nhost: certs\r\nx-request-id: call-1\r\n";
    let text = format!("{head}connection: close\r\n{rest}");
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    let read = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut response));
    let _ = read.await.unwrap();
    let response = String::from_utf8_lossy(&response);
    assert!(!response.starts_with("HTTP/1.1 2"), "{response}");
    for run in mesh.run_log.history("call-1") {
        let (_, how) = run.ended.unwrap();
        assert_eq!(how, RunEnd::Cancelled, "{response}");
    }
}

/// With both framings present, the HTTP library ignores the length, as RFC 9112 requires, and the
/// request is forwarded with a framing of its own.
#[test_case("content-length: 3\r\ntransfer-encoding: chunked\r\n"; "length_first")]
#[test_case("transfer-encoding: chunked\r\ncontent-length: 3\r\n"; "chunks_first")]
#[tokio::test(flavor = "multi_thread")]
async fn request_length_and_chunks(lines: &str) {
    let mesh = start(1).await;
    let mut stream = TcpStream::connect(mesh.entries[0].outbound).await.unwrap();
    let head = "POST /certs/issue HTTP/1.1\r\nhost: certs\r\nx-request-id: call-1\r\n";
    let body = "1\r\na\r\n0\r\n\r\n";
    let text = format!("{head}connection: close\r\n{lines}\r\n{body}");
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    let read = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut response));
    read.await.unwrap().unwrap();
    let response = String::from_utf8_lossy(&response);
    assert!(response.contains(" call-1 1\n"), "{response}");
    assert_eq!(mesh.run_log.runs("call-1"), 1);
}
