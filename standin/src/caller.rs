//! Small HTTP clients for the demo, the bench and the tests.

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

/// Makes one call on a connection of its own and reads the whole answer.
///
/// # Errors
///
/// Fails when the connection or the answer is cut off.
pub async fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> anyhow::Result<Response<Bytes>> {
    let mut sender = connect(address).await?;
    send(&mut sender, request).await
}

/// Makes one call without a body.
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

/// Connections to one address that are kept for further calls.
pub struct Pool {
    address: SocketAddr,
    idle: Mutex<Vec<Sender>>,
}

impl Pool {
    /// Makes an empty pool.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Pool {
            address,
            idle: Mutex::default(),
        }
    }

    /// Makes one call and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Fails when the connection or the answer is cut off.
    pub async fn call(&self, request: Request<Full<Bytes>>) -> anyhow::Result<Response<Bytes>> {
        let mut sender = match self.take_idle() {
            Some(sender) => sender,
            None => connect(self.address).await?,
        };
        let answer = send(&mut sender, request).await?;
        lock(&self.idle).push(sender);
        Ok(answer)
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
