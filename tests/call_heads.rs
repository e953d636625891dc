//! Responses that stop in their heads, or between daemons at any byte, must not reach a caller as complete.

#[path = "support/site.rs"]
mod site;

use baobabstage::header_names::HeaderNames;
use baobabstage::sync::lock;
use http::{HeaderName, Request};
use http_body_util::Full;
use hyper::body::Bytes;
use site::{Recorder, TestSite, policy, route, service};
use standin::caller;
use standin::testbed::LOOPBACK;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use test_case::{test_case, test_matrix};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The daemons: one beside another service's backend server, and one beside the faulty one.
const OTHER_VM: usize = 0;
const OWN_VM: usize = 1;

/// What the backend server sends, up to a given number of bytes.
#[derive(Clone)]
struct Cut {
    response: Arc<Mutex<(String, usize)>>,
    /// Responses that were cut.
    cut: Arc<AtomicUsize>,
}

const WHOLE: &str = "HTTP/1.1 200 OK\r\nx-seal: 1\r\ncontent-length: 2\r\n\r\nok";

impl Cut {
    /// Starts a backend server that answers `/certs/ready` whole, and cuts all other responses. It closes the
    /// connection after a cut one.
    async fn start() -> (Self, SocketAddr) {
        let listener = TcpListener::bind(LOOPBACK).await.unwrap();
        let address = listener.local_addr().unwrap();
        let server = Cut {
            response: Arc::default(),
            cut: Arc::default(),
        };
        let cut = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = server.clone();
                tokio::spawn(async move { server.serve(stream).await });
            }
        });
        (cut, address)
    }

    async fn serve(&self, mut stream: TcpStream) -> Option<()> {
        loop {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                head.push(stream.read_u8().await.ok()?);
            }
            if head.starts_with(b"GET /certs/ready") {
                stream.write_all(WHOLE.as_bytes()).await.ok()?;
                continue;
            }
            let (response, len) = lock(&self.response).clone();
            let (first, second) = response.as_bytes()[..len].split_at(len / 2);
            stream.write_all(first).await.ok()?;
            tokio::task::yield_now().await;
            stream.write_all(second).await.ok()?;
            self.cut.fetch_add(1, Ordering::Relaxed);
            return None;
        }
    }
}

async fn start() -> (TestSite, Cut) {
    let mut site = TestSite::start().await;
    site.add("other", &[]).await;
    let (cut, address) = Cut::start().await;
    let names = HeaderNames {
        response_seal: Some(HeaderName::from_static("x-seal")),
        ..HeaderNames::default()
    };
    site.add_beside("certs", Recorder::default(), address, names, &[])
        .await;
    configure(&site).await;
    (site, cut)
}

async fn configure(site: &TestSite) {
    let mut resources = vec![policy(64), route("/certs", "certs", false)];
    resources.extend(service("certs", 20));
    resources.extend(service("other", 8));
    site.configure(&resources).await;
    site.wait_served("/certs/ready").await;
}

/// Returns the status and the body of a complete response.
async fn call(address: SocketAddr, path: &str) -> Option<(u16, Bytes)> {
    let request = Request::get(path).header("host", "certs");
    let response = caller::call(address, request.body(Full::default()).unwrap()).await;
    let (head, body) = response.ok()?.into_parts();
    Some((head.status.as_u16(), body))
}

/// A backend server stops at each byte of its response's head, or right after it, and closes. A header cut in its
/// value could make the response look short and complete: `content-length: 12` of `1234`.
#[test_matrix([OTHER_VM, OWN_VM], [false, true], [
    "HTTP/1.1 200 OK\r\nx-seal: 1\r\ncontent-length: 1234\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: 0012\r\nx-seal: 1\r\n\r\n",
    "HTTP/1.1 200 OK\r\nx-seal: 1\r\ntransfer-encoding: chunked\r\n\r\n",
])]
#[tokio::test(flavor = "multi_thread")]
async fn cut_head(entry: usize, kept: bool, head: &str) {
    let (site, cut) = start().await;
    let address = site.vms[entry].outbound();
    for len in 0..=head.len() {
        if kept {
            // Leaves a connection to the backend server that the next call uses.
            let ready = call(address, "/certs/ready").await;
            let is_served = ready.is_some_and(|(status, _)| status == 200);
            assert!(is_served || len > 0, "the first call is served");
        }
        *lock(&cut.response) = (head.to_owned(), len);
        let response = call(address, "/certs/cut").await;
        let is_success = response.as_ref().is_some_and(|(status, _)| *status < 300);
        assert!(!is_success, "{len} bytes of {head:?}: {response:?}");
    }
    let cut = cut.cut.load(Ordering::Relaxed);
    assert!(2 * cut > head.len(), "only {cut} responses were cut");
}

/// A proxy before a daemon's inbound side that ends a connection once a number of bytes have gone to the senders.
#[derive(Clone, Default)]
struct CuttingProxy {
    target: Arc<Mutex<Option<SocketAddr>>>,
    /// Bytes left until the next cut.
    left: Arc<Mutex<usize>>,
}

impl CuttingProxy {
    async fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind(LOOPBACK).await.unwrap();
        let address = listener.local_addr().unwrap();
        let proxy = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let proxy = proxy.clone();
                tokio::spawn(async move { proxy.forward(stream).await });
            }
        });
        address
    }

    async fn forward(&self, sender: TcpStream) -> Option<()> {
        let target = *lock(&self.target);
        let receiver = TcpStream::connect(target?).await.ok()?;
        let (mut from_sender, mut to_sender) = sender.into_split();
        let (mut from_receiver, mut to_receiver) = receiver.into_split();
        let responses = async {
            let mut part = vec![0; 16 * 1024];
            loop {
                let len = from_receiver.read(&mut part).await.ok()?;
                let sent = self.take(len);
                to_sender.write_all(&part[..sent]).await.ok()?;
                if sent < len || len == 0 {
                    return None::<()>;
                }
            }
        };
        tokio::select! {
            _ = tokio::io::copy(&mut from_sender, &mut to_receiver) => {}
            _ = responses => {}
        }
        Some(())
    }

    /// Returns how many of `len` bytes may pass.
    fn take(&self, len: usize) -> usize {
        let mut left = lock(&self.left);
        let taken = len.min(*left);
        *left -= taken;
        taken
    }
}

/// The connection between two daemons ends at each byte of the inbound side's stream.
#[test_case(600; "short_body")]
#[test_case(40_000; "body_read_ahead")]
#[tokio::test(flavor = "multi_thread")]
async fn cut_between_daemons(body_len: usize) {
    let mut site = TestSite::start().await;
    site.add("other", &[]).await;
    let proxy = CuttingProxy::default();
    *lock(&proxy.left) = usize::MAX;
    let advertised = proxy.start().await.to_string();
    site.add("certs", &[("ADVERTISE_INBOUND", &advertised)])
        .await;
    *lock(&proxy.target) = Some(site.vms[OWN_VM].daemon.addresses().inbound);
    configure(&site).await;
    let address = site.vms[OTHER_VM].outbound();
    let (mut whole, mut partial) = (0, 0);
    for step in 0..200 {
        *lock(&proxy.left) = step * (body_len + 800) / 190;
        let path = format!("/certs/{step}?0,{body_len}");
        match call(address, &path).await {
            Some((200, body)) => {
                assert_eq!(body.len(), body_len, "after {step} steps");
                whole += 1;
            }
            Some((status, _)) => assert!(status >= 500, "{status}"),
            None => partial += 1,
        }
    }
    assert!(whole > 0, "no response was whole");
    assert!(whole < 200 && partial < 200, "{whole} whole, {partial} cut");
}
