//! Minimal HTTP clients for the demo, the bench and the tests.

use anyhow::Context as _;
use baobabstage::sync::lock;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::Mutex;
use tokio::net::TcpStream;

type Sender = http1::SendRequest<Full<Bytes>>;

/// Sends one request on a new connection and reads the whole response.
///
/// # Errors
///
/// Fails when there is no connection or no complete response. There is no time limit.
pub async fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> anyhow::Result<Response<Bytes>> {
    let mut sender = connect(address).await?;
    send(&mut sender, request).await
}

/// Sends one GET request on a new connection and reads the whole response.
///
/// # Errors
///
/// Fails as [`call`] does.
pub async fn get(address: SocketAddr, path: &str) -> anyhow::Result<Response<Bytes>> {
    let request = Request::get(path)
        .header("host", address.to_string())
        .body(Full::default())?;
    call(address, request).await
}

/// A pool of connections to one address, which grows with the number of concurrent calls.
pub struct Pool {
    address: SocketAddr,
    idle: Mutex<Vec<Sender>>,
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Pool {
            address,
            idle: Mutex::default(),
        }
    }

    /// Sends one request and reads the whole response.
    ///
    /// # Errors
    ///
    /// Fails when there is no connection or no complete response. There is no time limit.
    pub async fn call(&self, request: Request<Full<Bytes>>) -> anyhow::Result<Response<Bytes>> {
        let mut sender = match self.take_idle() {
            Some(sender) => sender,
            None => connect(self.address).await?,
        };
        let response = send(&mut sender, request).await?;
        lock(&self.idle).push(sender);
        Ok(response)
    }

    fn take_idle(&self) -> Option<Sender> {
        let mut idle = lock(&self.idle);
        while let Some(sender) = idle.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }
}

async fn connect(address: SocketAddr) -> anyhow::Result<Sender> {
    let stream = TcpStream::connect(address)
        .await
        .with_context(|| format!("connect to {address}"))?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    Ok(sender)
}

async fn send(
    sender: &mut Sender,
    request: Request<Full<Bytes>>,
) -> anyhow::Result<Response<Bytes>> {
    let (head, body) = sender.send_request(request).await?.into_parts();
    let body = body.collect().await?.to_bytes();
    Ok(Response::from_parts(head, body))
}
