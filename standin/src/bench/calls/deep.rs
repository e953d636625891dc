//! A call tree of 21 services, each of which calls the next, with failures at the deepest.

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

/// The number of services on the way.
const DEPTH: usize = 21;

/// Calls made at the top for each share of failures.
const CALLS: u32 = 400;

/// Calls in flight at the top.
const CALLERS: u32 = 8;

/// The shares of failures at the deepest service, in percent.
const SHARES: [u32; 3] = [5, 30, 100];

/// The headers that backend servers pass on.
const PASSED_ON: [&str; 3] = ["x-request-id", "x-baobab-deadline-ms", "x-baobab-retry"];

const TIMEOUT: Duration = Duration::from_secs(30);

/// What the services share.
#[derive(Default)]
struct Tree {
    /// Where the service of each depth finds the next.
    daemons: Vec<AtomicU64>,
    fail_percent: AtomicU32,
    /// Calls that arrived at the deepest service.
    arrived: AtomicU32,
    pass_on: bool,
}

/// The calls that arrived at the deepest service for each call at the top.
#[derive(Clone, Copy, Debug)]
pub struct Amplification {
    /// The share of failures, in percent.
    pub fail_percent: u32,
    /// Calls at the deepest service for each at the top.
    pub factor: f64,
    /// Whole answers at the top, in percent.
    pub answered_percent: f64,
}

/// Measures how retries multiply. Without `pass_on` backend servers drop the headers.
///
/// # Errors
///
/// Fails when a process cannot be started.
pub async fn run(pass_on: bool) -> anyhow::Result<Vec<Amplification>> {
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    let platform = Platform::start(any, Limits::default()).await?;
    let tree = Arc::new(Tree {
        daemons: (0..DEPTH).map(|_| AtomicU64::new(0)).collect(),
        pass_on,
        ..Tree::default()
    });
    let launcher = Launcher::itself()?;
    let mut daemons: Vec<Process> = Vec::new();
    for depth in 0..DEPTH {
        let backend = serve(depth, Arc::clone(&tree)).await?;
        let name = service(depth);
        let mut flags = flags(&name, "espoo", "fi-south", &platform);
        let own = ["--service", &name, "--backend", &backend.to_string()];
        flags.extend(own.map(ToOwned::to_owned));
        let daemon = launcher.start(&flags).await?;
        let port = u64::from(daemon.outbound.port());
        tree.daemons[depth].store(port, Ordering::Relaxed);
        daemons.push(daemon);
    }
    for daemon in &daemons {
        let knows_all = |state: &Value| state["members"]["count"] == DEPTH;
        daemon.wait_state("members", TIMEOUT, knows_all).await?;
    }
    send_change(&daemons.iter().collect::<Vec<_>>(), &change()).await?;
    let mut all = Vec::new();
    for fail_percent in SHARES {
        all.push(measure(&tree, daemons[0].outbound, fail_percent).await?);
    }
    Ok(all)
}

async fn measure(tree: &Tree, top: SocketAddr, fail_percent: u32) -> anyhow::Result<Amplification> {
    tree.fail_percent.store(fail_percent, Ordering::Relaxed);
    tree.arrived.store(0, Ordering::Relaxed);
    let pool = Arc::new(crate::caller::Pool::new(top));
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let pool = Arc::clone(&pool);
        callers.push(tokio::spawn(async move {
            let mut answered = 0;
            for number in 0..CALLS / CALLERS {
                let id = format!("{fail_percent}-{caller}-{number}");
                let request = request(0, &id, &HeaderMap::new());
                let answer = pool.call(request).await;
                answered += u32::from(answer.is_ok_and(|a| a.status().is_success()));
            }
            answered
        }));
    }
    let mut answered = 0;
    for caller in callers {
        answered += caller.await?;
    }
    let arrived = tree.arrived.load(Ordering::Relaxed);
    Ok(Amplification {
        fail_percent,
        factor: f64::from(arrived) / f64::from(CALLS),
        answered_percent: f64::from(answered) * 100.0 / f64::from(CALLS),
    })
}

fn service(depth: usize) -> String {
    format!("depth-{depth}")
}

fn change() -> Value {
    let mut put = vec![
        json!({"kind": "policy", "name": "policy", "spec": {"kinds": {"call": 10}}}),
        json!({"kind": "pool", "name": "pool", "spec": {"slots": 100, "connections": 100}}),
    ];
    for depth in 0..DEPTH {
        let name = service(depth);
        put.push(json!({"kind": "service", "name": name, "spec": {
            "pool": "pool", "policy": "policy"}}));
        put.push(json!({"kind": "route", "name": name, "spec": {
            "prefix": format!("/{name}"), "service": name, "request_kind": "call",
            "idempotent": true, "timeout_ms": 5_000}}));
    }
    json!({"id": "tree", "title": "A call tree", "put": put})
}

fn request(depth: usize, id: &str, from: &HeaderMap) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    let path = format!("/{}", service(depth));
    *request.uri_mut() = path.parse().unwrap_or_default();
    let headers = request.headers_mut();
    for name in PASSED_ON {
        if let Some(value) = from.get(name) {
            headers.insert(name, value.clone());
        }
    }
    headers.insert("host", http::HeaderValue::from_static("bench"));
    if let Ok(id) = http::HeaderValue::from_str(id) {
        headers.insert("x-request-id", id);
    }
    request
}

/// Starts the service of a depth.
async fn serve(depth: usize, tree: Arc<Tree>) -> anyhow::Result<SocketAddr> {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let pool: Arc<tokio::sync::OnceCell<crate::caller::Pool>> = Arc::default();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let (tree, pool) = (Arc::clone(&tree), Arc::clone(&pool));
            let service = service_fn(move |request| {
                let (tree, pool) = (Arc::clone(&tree), Arc::clone(&pool));
                async move { answer(depth, &tree, &pool, request).await }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::spawn(connection);
        }
    });
    Ok(address)
}

async fn answer(
    depth: usize,
    tree: &Tree,
    pool: &tokio::sync::OnceCell<crate::caller::Pool>,
    request: Request<Incoming>,
) -> anyhow::Result<Response<Full<Bytes>>> {
    let id = request.headers().get("x-request-id");
    let id = id.and_then(|id| id.to_str().ok()).context("no id")?;
    let status = if depth + 1 == DEPTH {
        tree.arrived.fetch_add(1, Ordering::Relaxed);
        let fails = rand::random_range(0..100) < tree.fail_percent.load(Ordering::Relaxed);
        if fails {
            StatusCode::BAD_GATEWAY
        } else {
            StatusCode::OK
        }
    } else {
        let pool = pool.get_or_init(|| async {
            let port = tree.daemons[depth].load(Ordering::Relaxed);
            let port = u16::try_from(port).unwrap_or_default();
            crate::caller::Pool::new(([127, 0, 0, 1], port).into())
        });
        let none = HeaderMap::new();
        let passed = if tree.pass_on {
            request.headers()
        } else {
            &none
        };
        let next = self::request(depth + 1, id, passed);
        let answer = pool.await.call(next).await;
        answer.map_or(StatusCode::BAD_GATEWAY, |answer| answer.status())
    };
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    let id = http::HeaderValue::from_str(id)?;
    answer.headers_mut().insert("x-request-id", id);
    Ok(answer)
}
