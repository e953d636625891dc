//! A chain of 21 services, each of which calls the next, with failures at the deepest.
//!
//! Measures retry amplification: without a common limit, retries at each level would multiply.

use super::mesh::{flags, send_change};
use crate::fleet::{Launcher, Process};
use crate::platform::{Limits, Platform};
use anyhow::Context as _;
use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

/// Number of services in the chain.
const DEPTH: usize = 21;

/// Calls at the top for each failure rate.
const CALLS: u32 = 400;

/// Concurrent callers at the top.
const CALLERS: u32 = 8;

/// Failure rates of the deepest service, in percent.
const FAIL_PERCENTS: [u32; 3] = [5, 30, 100];

/// Headers that backend servers copy from the incoming call to the next one. `x-request-id` is set
/// even if the others are not forwarded.
const FORWARDED_HEADERS: [&str; 3] = ["x-request-id", "x-baobab-deadline-ms", "x-baobab-retry"];

/// Time limit for the daemons to join.
const TIMEOUT: Duration = Duration::from_secs(30);

/// State shared by all services of the chain.
#[derive(Default)]
struct Chain {
    /// Outbound port of the daemon at each depth; zero until it has started.
    ports: Vec<AtomicU64>,
    /// Failure rate of the deepest service, in percent.
    fail_percent: AtomicU32,
    /// Calls received by the deepest service.
    deepest_calls: AtomicU32,
    /// Whether backend servers forward the deadline and retry headers.
    forward_headers: bool,
}

/// Retry amplification at one failure rate.
#[derive(Clone, Copy, Debug)]
pub struct Amplification {
    /// Failure rate of the deepest service, in percent.
    pub fail_percent: u32,
    /// Calls at the deepest service per call at the top.
    pub factor: f64,
    /// Successful calls at the top, in percent.
    pub success_percent: f64,
}

/// Measures retry amplification. Without `forward_headers`, backend servers drop the deadline and
/// retry headers.
///
/// # Errors
///
/// Fails when a process cannot be started or the chain is not ready within 30 seconds.
pub async fn run(forward_headers: bool) -> anyhow::Result<Vec<Amplification>> {
    let loopback: SocketAddr = ([127, 0, 0, 1], 0).into();
    let platform = Platform::start(loopback, Limits::default()).await?;
    let chain = Arc::new(Chain {
        ports: (0..DEPTH).map(|_| AtomicU64::new(0)).collect(),
        forward_headers,
        ..Chain::default()
    });
    let launcher = Launcher::current_exe()?;
    let mut daemons: Vec<Process> = Vec::new();
    for depth in 0..DEPTH {
        let backend = serve(depth, Arc::clone(&chain)).await?;
        let name = service_name(depth);
        let mut flags = flags(&name, "espoo", "fi-south", &platform);
        let backend_flags = ["--service", &name, "--backend", &backend.to_string()];
        flags.extend(backend_flags.map(ToOwned::to_owned));
        let daemon = launcher.start(&flags).await?;
        let port = u64::from(daemon.outbound.port());
        chain.ports[depth].store(port, Ordering::Relaxed);
        daemons.push(daemon);
    }
    for daemon in &daemons {
        let all_joined = |state: &Value| state["members"]["count"] == DEPTH;
        daemon.wait_state("members", TIMEOUT, all_joined).await?;
    }
    send_change(&daemons.iter().collect::<Vec<_>>(), &change()).await?;
    let mut results = Vec::new();
    for fail_percent in FAIL_PERCENTS {
        results.push(measure(&chain, daemons[0].outbound, fail_percent).await?);
    }
    Ok(results)
}

async fn measure(
    chain: &Chain,
    top: SocketAddr,
    fail_percent: u32,
) -> anyhow::Result<Amplification> {
    chain.fail_percent.store(fail_percent, Ordering::Relaxed);
    chain.deepest_calls.store(0, Ordering::Relaxed);
    let pool = Arc::new(crate::caller::Pool::new(top));
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let pool = Arc::clone(&pool);
        callers.push(tokio::spawn(async move {
            let mut succeeded = 0;
            for number in 0..CALLS / CALLERS {
                let id = format!("{fail_percent}-{caller}-{number}");
                let request = request(0, &id, &HeaderMap::new());
                let response = pool.call(request).await;
                succeeded += u32::from(response.is_ok_and(|r| r.status().is_success()));
            }
            succeeded
        }));
    }
    let mut succeeded = 0;
    for caller in callers {
        succeeded += caller.await?;
    }
    let deepest_calls = chain.deepest_calls.load(Ordering::Relaxed);
    Ok(Amplification {
        fail_percent,
        factor: f64::from(deepest_calls) / f64::from(CALLS),
        success_percent: f64::from(succeeded) * 100.0 / f64::from(CALLS),
    })
}

fn service_name(depth: usize) -> String {
    format!("depth-{depth}")
}

fn change() -> Value {
    let mut put = vec![
        json!({"kind": "policy", "name": "policy", "spec": {"kinds": {"call": 10}}}),
        json!({"kind": "pool", "name": "pool", "spec": {"slots": 100, "connections": 100}}),
    ];
    for depth in 0..DEPTH {
        let name = service_name(depth);
        put.push(json!({"kind": "service", "name": name, "spec": {
            "pool": "pool", "policy": "policy"}}));
        put.push(json!({"kind": "route", "name": name, "spec": {
            "prefix": format!("/{name}"), "service": name, "request_kind": "call",
            "idempotent": true, "timeout_ms": 5_000}}));
    }
    json!({"id": "tree", "title": "A call tree", "put": put})
}

/// Builds a call to the service at a depth with the forwarded headers of the incoming call.
fn request(depth: usize, id: &str, incoming: &HeaderMap) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    let path = format!("/{}", service_name(depth));
    *request.uri_mut() = path.parse().unwrap_or_default();
    let headers = request.headers_mut();
    for name in FORWARDED_HEADERS {
        if let Some(value) = incoming.get(name) {
            headers.insert(name, value.clone());
        }
    }
    headers.insert("host", http::HeaderValue::from_static("bench"));
    if let Ok(id) = http::HeaderValue::from_str(id) {
        headers.insert("x-request-id", id);
    }
    request
}

/// Starts the backend server at a depth and returns its address.
async fn serve(depth: usize, chain: Arc<Chain>) -> anyhow::Result<SocketAddr> {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let pool: Arc<tokio::sync::OnceCell<crate::caller::Pool>> = Arc::default();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let (chain, pool) = (Arc::clone(&chain), Arc::clone(&pool));
            let service = service_fn(move |request| {
                let (chain, pool) = (Arc::clone(&chain), Arc::clone(&pool));
                async move { respond(depth, &chain, &pool, request).await }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::spawn(connection);
        }
    });
    Ok(address)
}

async fn respond(
    depth: usize,
    chain: &Chain,
    pool: &tokio::sync::OnceCell<crate::caller::Pool>,
    request: Request<Incoming>,
) -> anyhow::Result<Response<Full<Bytes>>> {
    let id = request.headers().get("x-request-id");
    let id = id
        .and_then(|id| id.to_str().ok())
        .context("no x-request-id")?;
    let status = if depth + 1 == DEPTH {
        chain.deepest_calls.fetch_add(1, Ordering::Relaxed);
        let fails = rand::random_range(0..100) < chain.fail_percent.load(Ordering::Relaxed);
        if fails {
            StatusCode::BAD_GATEWAY
        } else {
            StatusCode::OK
        }
    } else {
        let pool = pool.get_or_init(|| async {
            let port = chain.ports[depth].load(Ordering::Relaxed);
            let port = u16::try_from(port).unwrap_or_default();
            crate::caller::Pool::new(([127, 0, 0, 1], port).into())
        });
        let no_headers = HeaderMap::new();
        let forwarded = if chain.forward_headers {
            request.headers()
        } else {
            &no_headers
        };
        let next_request = self::request(depth + 1, id, forwarded);
        let response = pool.await.call(next_request).await;
        response.map_or(StatusCode::BAD_GATEWAY, |response| response.status())
    };
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    let id = http::HeaderValue::from_str(id)?;
    response.headers_mut().insert("x-request-id", id);
    Ok(response)
}
