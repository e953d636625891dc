//! A stand-in for a backend server that records each run of each call.

use baobabstage::sync::lock;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::sleep;

/// How a backend server behaves.
#[derive(Clone, Copy, Debug, Default)]
pub struct Behaviour {
    /// Time that a call takes.
    pub work: Duration,
}

/// The runs of each request id, shared by backend servers.
#[derive(Clone, Default)]
pub struct Ledger {
    runs: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl Ledger {
    /// Returns how often a call was run.
    #[must_use]
    pub fn runs(&self, request_id: &str) -> u32 {
        let runs = lock(&self.runs);
        runs.get(request_id).copied().unwrap_or(0)
    }

    fn record(&self, request_id: &str) {
        let mut runs = lock(&self.runs);
        *runs.entry(request_id.into()).or_default() += 1;
    }
}

/// A running backend server.
#[derive(Clone)]
pub struct Backend {
    /// The name that it answers with.
    pub name: String,
    address: SocketAddr,
}

impl Backend {
    /// Starts a backend server on an address; port zero lets the system choose.
    ///
    /// It answers each call with its name, the request id and the body's length.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(
        name: &str,
        address: SocketAddr,
        behaviour: Behaviour,
        ledger: Ledger,
    ) -> anyhow::Result<Self> {
        let listener = tokio::net::TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let name = name.to_owned();
        let shared: Arc<str> = name.as_str().into();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let _ = stream.set_nodelay(true);
                let (name, ledger) = (Arc::clone(&shared), ledger.clone());
                let service = service_fn(move |request| {
                    answer(Arc::clone(&name), behaviour, ledger.clone(), request)
                });
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                tokio::spawn(connection);
            }
        });
        Ok(Backend { name, address })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn answer(
    name: Arc<str>,
    behaviour: Behaviour,
    ledger: Ledger,
    request: Request<Incoming>,
) -> anyhow::Result<Response<Full<Bytes>>> {
    let id = request.headers().get("x-request-id");
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
    let id = id.to_owned();
    ledger.record(&id);
    let body = request.into_body().collect().await?.to_bytes();
    sleep(behaviour.work).await;
    let text = format!("{name} {id} {}\n", body.len());
    let answer = Response::builder().header("x-request-id", id);
    Ok(answer.body(Full::new(text.into()))?)
}
