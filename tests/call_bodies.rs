//! Request and response bodies are proxied completely, in bounded memory.

use bytes::Bytes;
use futures_util::StreamExt;
use http::Request;
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::client::conn::{http1, http2};
use hyper_util::rt::{TokioExecutor, TokioIo};
use standin::backend::Behaviour;
use standin::bench::calls::mesh::Mesh;
use standin::bench::calls::profile::Profile;
use standin::fleet::Launcher;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;
use test_case::test_case;
use tokio::net::TcpStream;

const MB: usize = 1_000_000;
const TIMEOUT: Duration = Duration::from_secs(20);

/// Length of a chunk of an uploaded body, in bytes.
const CHUNK_LEN: usize = 64 * 1024;

/// Limit for the peak memory of a daemon, in KiB; well below the size of one body.
const MAX_MEMORY_KIB: u64 = 64 * 1024;

type Body = http_body_util::combinators::BoxBody<Bytes, Infallible>;

async fn start() -> Mesh {
    start_with_slots(9).await
}

async fn start_with_slots(slots: u32) -> Mesh {
    let mut profile = Profile::by_name("lathegallery").unwrap();
    profile.upstreams = 1;
    profile.slots = slots;
    profile.domains = ["howrah"; 3];
    let launcher = Launcher::new(env!("CARGO_BIN_EXE_baobabd"));
    let mesh = Mesh::start(launcher, &profile, Behaviour::default());
    let mesh = mesh.await.unwrap();
    let change = serde_json::json!({"id": "slow", "title": "Time for photos", "put": [
        {"kind": "route", "name": "photo", "spec": {
            "prefix": "/lathegallery/photo", "service": "lathegallery",
            "request_kind": "photo", "idempotent": false, "timeout_ms": 120_000}}]});
    mesh.apply_change(&change).await.unwrap();
    mesh
}

fn upload(len: usize) -> Body {
    let chunk = Bytes::from(vec![7; CHUNK_LEN]);
    let count = len.div_ceil(CHUNK_LEN);
    let chunks = futures_util::stream::iter(0..count).map(move |index| {
        let end = (len - index * CHUNK_LEN).min(CHUNK_LEN);
        Ok(Frame::data(chunk.slice(..end)))
    });
    BodyExt::boxed(StreamBody::new(chunks))
}

async fn send(address: SocketAddr, h2: bool, request: Request<Body>) -> (u16, usize, Bytes) {
    let io = TokioIo::new(TcpStream::connect(address).await.unwrap());
    let response = if h2 {
        let (mut sender, connection) = http2::handshake(TokioExecutor::new(), io).await.unwrap();
        tokio::spawn(connection);
        sender.send_request(request).await.unwrap()
    } else {
        let (mut sender, connection) = http1::handshake(io).await.unwrap();
        tokio::spawn(connection);
        sender.send_request(request).await.unwrap()
    };
    let status = response.status().as_u16();
    let mut body = response.into_body();
    let (mut len, mut start) = (0, Bytes::new());
    while let Some(frame) = body.frame().await {
        let data = frame.unwrap().into_data().unwrap_or_default();
        if len == 0 {
            start = data.clone();
        }
        len += data.len();
    }
    (status, len, start)
}

fn request(path: &str, body: Body) -> Request<Body> {
    Request::post(format!("http://gallery{path}"))
        .header("host", "gallery")
        .header("x-request-id", "photo-1")
        .body(body)
        .unwrap()
}

/// Returns the peak resident memory of a process, in KiB.
fn peak_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmHWM"))
        .unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

#[test_case(false; "http1")]
#[test_case(true; "http2")]
#[tokio::test(flavor = "multi_thread")]
async fn large_body(h2: bool) {
    let mesh = start().await;
    let entry = &mesh.entries[0];
    let len = 100 * MB;
    let sent = request("/lathegallery/photo/1", upload(len));
    let (status, _, start) = send(entry.outbound, h2, sent).await;
    assert_eq!(status, 200, "{start:?}");
    let end = format!(" photo-1 {len}\n");
    assert!(start.ends_with(end.as_bytes()), "{start:?}");
    let path = format!("/lathegallery/photo/bytes/{len}");
    let sent = request(&path, upload(1));
    let (status, received, start) = send(entry.outbound, h2, sent).await;
    let start = &start[..start.len().min(200)];
    assert_eq!((status, received), (200, len), "{start:?}");
    for daemon in [&mesh.entries[0], &mesh.daemons[0]] {
        let peak = peak_kib(daemon.id().unwrap());
        assert!(peak < MAX_MEMORY_KIB, "{peak} KiB");
    }
}

/// A slow upload must not hold the only slot of the backend server: another call completes
/// meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn slow_upload() {
    let mesh = start_with_slots(1).await;
    let address = mesh.entries[0].outbound;
    let first = futures_util::stream::once(async { Ok(Frame::data(Bytes::from(vec![7; 1_000]))) });
    let stalled = first.chain(futures_util::stream::pending());
    let slow = request(
        "/lathegallery/photo/1",
        BodyExt::boxed(StreamBody::new(stalled)),
    );
    let slow = tokio::spawn(send(address, false, slow));
    let arrived = |state: &serde_json::Value| state["inbound"]["attempts_remembered"] == 1;
    let state = mesh.daemons[0].wait_state("upload begins", TIMEOUT, arrived);
    state.await.unwrap();
    let other = request("/lathegallery/photo/2", upload(1));
    let other = tokio::time::timeout(TIMEOUT, send(address, false, other));
    assert_eq!(other.await.unwrap().0, 200);
    slow.abort();
}
