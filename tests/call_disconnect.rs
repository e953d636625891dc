//! Callers that leave while their requests wait, run or are half sent: nothing reaches a backend server
//! after that, and none goes on working.

#[path = "support/site.rs"]
mod site;

use bytes::Bytes;
use futures_util::stream;
use http::Request;
use http_body::Frame;
use http_body_util::{BodyExt, Empty, StreamBody, combinators::UnsyncBoxBody};
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use site::{TestSite, policy, route, service, wait_until};
use std::convert::Infallible;
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;
use test_case::{test_case, test_matrix};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

/// Time after a caller has left in which its request may still reach a backend server, or run there.
const LATE: Duration = Duration::from_millis(500);

/// Time that the call takes that occupies the only slot, in milliseconds.
const HOLD_MS: u64 = 1_500;

/// The VM of a backend server of another service, and that of the only backend server that is called.
const OTHER_VM: usize = 0;
const OWN_VM: usize = 1;

#[derive(Clone, Copy, Debug)]
enum Close {
    Fin,
    Rst,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Queued,
    QueuedPipelined,
    Running,
    RunningPipelined,
    QueuedHalfUpload,
    QueuedUpload,
}

impl State {
    fn is_running(self) -> bool {
        matches!(self, State::Running | State::RunningPipelined)
    }

    fn requests(self) -> Vec<u8> {
        let get = |path: &str| format!("GET {path} HTTP/1.1\r\nhost: certs\r\n\r\n");
        let post = |len: usize, sent: usize| {
            let head = format!("POST /certs/left HTTP/1.1\r\nhost: certs\r\ncontent-length: {len}");
            format!("{head}\r\n\r\n{}", "x".repeat(sent))
        };
        let text = match self {
            State::Queued => get("/certs/left"),
            State::QueuedPipelined => get("/certs/left") + &get("/certs/left/next"),
            State::Running => get("/certs/left?3000"),
            State::RunningPipelined => get("/certs/left?3000") + &get("/certs/left/next"),
            State::QueuedHalfUpload => post(4_000_000, 600_000),
            State::QueuedUpload => post(300_000, 300_000),
        };
        text.into_bytes()
    }
}

/// Starts two daemons and a backend server with one slot beside the second.
async fn start() -> TestSite {
    let mut site = TestSite::start().await;
    site.add("other", &[]).await;
    site.add("certs", &[]).await;
    let mut resources = vec![
        policy(64),
        route("/certs", "certs", false),
        route("/parent", "other", false),
    ];
    resources.extend(service("certs", 1));
    resources.extend(service("other", 8));
    site.configure(&resources).await;
    site.wait_served("/certs/ready").await;
    site
}

/// Waits until the backend server that is called has received a request.
async fn wait_received(site: &TestSite, path: &str) {
    let backend = &site.vms[OWN_VM].backend;
    wait_until(|| backend.received().iter().any(|r| r.path.contains(path))).await;
}

/// Occupies the only slot for [`HOLD_MS`].
async fn hold(site: &TestSite) -> TcpStream {
    let mut holder = TcpStream::connect(site.vms[OWN_VM].outbound())
        .await
        .unwrap();
    let request = format!("GET /certs/hold?{HOLD_MS} HTTP/1.1\r\nhost: certs\r\n\r\n");
    holder.write_all(request.as_bytes()).await.unwrap();
    wait_received(site, "hold").await;
    holder
}

/// Occupies the slot if the call that is cancelled shall wait for it.
async fn hold_unless_running(site: &TestSite, state: State) -> Option<TcpStream> {
    if state.is_running() {
        return None;
    }
    Some(hold(site).await)
}

fn close(stream: TcpStream, how: Close) {
    if matches!(how, Close::Rst) {
        stream.set_zero_linger().unwrap();
    }
    drop(stream);
}

/// Asserts that no request of a caller that left reached the backend server late or was worked on late.
async fn assert_nothing_late(site: &TestSite, left: Instant) {
    sleep(Duration::from_millis(HOLD_MS) + LATE).await;
    let backend = &site.vms[OWN_VM].backend;
    let received = backend.received().into_iter();
    let late = received.filter(|r| r.path.contains("left") && r.at > left + LATE);
    let late: Vec<_> = late.map(|r| (r.path, r.at - left)).collect();
    assert!(late.is_empty(), "arrived late: {late:?}");
    let ended = backend.ended();
    for request in backend.received() {
        let in_time = |(path, at): &&(String, Instant)| *path == request.path && *at < left + LATE;
        let is_left = request.path.contains("left");
        assert!(
            !is_left || ended.iter().any(|end| in_time(&end)),
            "{} was worked on late",
            request.path
        );
    }
}

/// A call goes on, or starts, after its caller has left, if bytes of the caller are unread behind it: the end
/// of the connection is seen only once they have been read.
#[test_matrix(
    [OTHER_VM, OWN_VM],
    [Close::Fin, Close::Rst],
    [State::Queued, State::QueuedPipelined, State::Running, State::RunningPipelined,
     State::QueuedHalfUpload, State::QueuedUpload]
)]
#[tokio::test(flavor = "multi_thread")]
async fn cancel_http1(entry: usize, how: Close, state: State) {
    let site = start().await;
    let holder = hold_unless_running(&site, state).await;
    let mut stream = TcpStream::connect(site.vms[entry].outbound())
        .await
        .unwrap();
    stream.write_all(&state.requests()).await.unwrap();
    if state.is_running() {
        wait_received(&site, "left").await;
    }
    sleep(Duration::from_millis(200)).await;
    close(stream, how);
    assert_nothing_late(&site, Instant::now()).await;
    drop(holder);
}

type H2Body = UnsyncBoxBody<Bytes, Infallible>;

/// Opens an HTTP/2 connection and sends a request, whose body never ends if it is an upload. Returns the call
/// and a handle of the connection's socket.
async fn send_http2(address: SocketAddr, state: State) -> (JoinHandle<()>, std::net::TcpStream) {
    let stream = TcpStream::connect(address)
        .await
        .unwrap()
        .into_std()
        .unwrap();
    let socket = stream.try_clone().unwrap();
    let io = TokioIo::new(TcpStream::from_std(stream).unwrap());
    let handshake = http2::handshake(TokioExecutor::new(), io);
    let (mut sender, connection) = handshake.await.unwrap();
    tokio::spawn(connection);
    let path = if state.is_running() {
        "http://certs/certs/left?3000"
    } else {
        "http://certs/certs/left"
    };
    let upload = state == State::QueuedHalfUpload;
    let body: H2Body = if upload {
        let first = stream::once(async { Ok(Frame::data(Bytes::from(vec![b'x'; 40_000]))) });
        let rest = stream::pending();
        StreamBody::new(stream::StreamExt::chain(first, rest)).boxed_unsync()
    } else {
        Empty::new().boxed_unsync()
    };
    let method = if upload { "POST" } else { "GET" };
    let request = Request::builder().method(method).uri(path).body(body);
    let response = tokio::spawn(async move {
        let _ = sender.send_request(request.unwrap()).await;
    });
    (response, socket)
}

/// A call of a caller that cancels its HTTP/2 stream, or closes the connection, ends at once.
#[test_matrix(
    [OTHER_VM, OWN_VM],
    [true, false],
    [State::Queued, State::Running, State::QueuedHalfUpload]
)]
#[tokio::test(flavor = "multi_thread")]
async fn cancel_http2(entry: usize, whole_connection: bool, state: State) {
    let site = start().await;
    let holder = hold_unless_running(&site, state).await;
    let (call, socket) = send_http2(site.vms[entry].outbound(), state).await;
    if state.is_running() {
        wait_received(&site, "left").await;
    }
    sleep(Duration::from_millis(200)).await;
    if whole_connection {
        socket.shutdown(Shutdown::Both).unwrap();
    } else {
        call.abort();
    }
    assert_nothing_late(&site, Instant::now()).await;
    drop(holder);
}

/// A call that a backend server makes for a caller ends with the call of the caller, at each hop.
#[test_case(Close::Fin; "fin")]
#[test_case(Close::Rst; "rst")]
#[tokio::test(flavor = "multi_thread")]
async fn cancel_nested(how: Close) {
    let site = start().await;
    site.vms[OTHER_VM]
        .backend
        .call_nested(site.vms[OTHER_VM].outbound());
    let mut stream = TcpStream::connect(site.vms[OWN_VM].outbound())
        .await
        .unwrap();
    let request = "GET /parent/certs/left?3000 HTTP/1.1\r\nhost: certs\r\n\r\n".repeat(2);
    stream.write_all(request.as_bytes()).await.unwrap();
    wait_received(&site, "left").await;
    close(stream, how);
    assert_nothing_late(&site, Instant::now()).await;
}

/// A response that has begun ends when its caller leaves, though a further request is unread.
#[test_case(Close::Fin; "fin")]
#[test_case(Close::Rst; "rst")]
#[tokio::test(flavor = "multi_thread")]
async fn cancel_during_response(how: Close) {
    const LEN: usize = 50_000_000;
    let site = start().await;
    let mut stream = TcpStream::connect(site.vms[OTHER_VM].outbound())
        .await
        .unwrap();
    let request = format!("GET /certs/long?0,{LEN} HTTP/1.1\r\nhost: certs\r\n\r\n").repeat(2);
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut part = vec![0; 1_000];
    stream.read_exact(&mut part).await.unwrap();
    close(stream, how);
    let left = Instant::now();
    // The slot is free at once, for a call of another caller.
    let mut next = TcpStream::connect(site.vms[OWN_VM].outbound())
        .await
        .unwrap();
    let request = "GET /certs/next HTTP/1.1\r\nhost: certs\r\nconnection: close\r\n\r\n";
    next.write_all(request.as_bytes()).await.unwrap();
    let mut response = String::new();
    let read = timeout(Duration::from_secs(20), next.read_to_string(&mut response));
    read.await.unwrap().unwrap();
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(left.elapsed() < LATE, "{:?}", left.elapsed());
}

/// A caller that stays gets its responses in order, with further requests and an upload behind.
#[test_case(OTHER_VM; "other_vm")]
#[test_case(OWN_VM; "own_vm")]
#[tokio::test(flavor = "multi_thread")]
async fn keep_pipelined(entry: usize) {
    let site = start().await;
    let holder = hold(&site).await;
    let mut stream = TcpStream::connect(site.vms[entry].outbound())
        .await
        .unwrap();
    let get = |path: &str| format!("GET {path} HTTP/1.1\r\nhost: certs\r\n\r\n");
    let body = "x".repeat(300_000);
    let upload = format!(
        "POST /certs/3 HTTP/1.1\r\nhost: certs\r\nconnection: close\r\ncontent-length: 300000\r\n\r\n{body}"
    );
    let requests = get("/certs/1") + &get("/certs/2?100") + &upload;
    stream.write_all(requests.as_bytes()).await.unwrap();
    let mut text = String::new();
    let read = timeout(Duration::from_secs(20), stream.read_to_string(&mut text));
    read.await.unwrap().unwrap();
    let bodies: Vec<_> = text
        .split("HTTP/1.1 200")
        .skip(1)
        .map(|part| part.split("\r\n\r\n").nth(1).unwrap())
        .collect();
    assert_eq!(bodies, ["/certs/1", "/certs/2?100", "/certs/3"]);
    drop(holder);
}
