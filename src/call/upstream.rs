//! Connections to backend servers and to other daemons.

use crate::serve::{Body, BodyError, incoming};
use crate::sync::lock;
use http::{Request, Response};
use http_body::{Body as HttpBody, Frame, SizeHint};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::{http1, http2};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;

/// Time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a call to an upstream has no answer.
#[derive(Debug, Error)]
pub enum UpstreamError {
    /// The request was not sent.
    #[error("{0} cannot be reached: {1}")]
    NotSent(SocketAddr, String),
    /// The request was sent, at least in part.
    #[error("{0} did not answer: {1}")]
    Lost(SocketAddr, String),
}

async fn connect(address: SocketAddr) -> Result<TokioIo<TcpStream>, UpstreamError> {
    let not_sent = |err: String| UpstreamError::NotSent(address, err);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream
        .map_err(|_| not_sent("no answer in time".into()))?
        .map_err(|err| not_sent(err.to_string()))?;
    stream
        .set_nodelay(true)
        .map_err(|err| not_sent(err.to_string()))?;
    Ok(TokioIo::new(stream))
}

/// Connections to one backend server, each used for one call at a time.
#[derive(Clone)]
pub struct BackendPool {
    address: SocketAddr,
    idle: Arc<Mutex<Vec<http1::SendRequest<Body>>>>,
}

impl BackendPool {
    /// Makes an empty pool.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        BackendPool {
            address,
            idle: Arc::default(),
        }
    }

    /// Sends a request. A connection is used again only after a whole answer.
    ///
    /// # Errors
    ///
    /// Fails with [`UpstreamError::NotSent`] only when nothing of the request was sent.
    pub async fn send(&self, request: Request<Body>) -> Result<Response<Body>, UpstreamError> {
        let mut sender = match self.take_idle() {
            Some(sender) => sender,
            None => self.connect().await?,
        };
        let answer = sender.try_send_request(request).await;
        let answer = answer.map_err(|mut err| match err.take_message() {
            Some(_) => UpstreamError::NotSent(self.address, err.into_error().to_string()),
            None => UpstreamError::Lost(self.address, err.into_error().to_string()),
        })?;
        let (head, body) = answer.into_parts();
        let body = Returning {
            body,
            sender: Some(sender),
            idle: Arc::clone(&self.idle),
        };
        Ok(Response::from_parts(head, Body::new(body)))
    }

    fn take_idle(&self) -> Option<http1::SendRequest<Body>> {
        let mut idle = lock(&self.idle);
        while let Some(sender) = idle.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    async fn connect(&self) -> Result<http1::SendRequest<Body>, UpstreamError> {
        let io = connect(self.address).await?;
        let (sender, connection) = http1::handshake(io)
            .await
            .map_err(|err| UpstreamError::NotSent(self.address, err.to_string()))?;
        // Its error also reaches the request at hand.
        tokio::spawn(connection);
        Ok(sender)
    }
}

/// A body that gives its connection back when it has ended.
struct Returning {
    body: Incoming,
    sender: Option<http1::SendRequest<Body>>,
    idle: Arc<Mutex<Vec<http1::SendRequest<Body>>>>,
}

impl Returning {
    fn give_back(&mut self) {
        let Some(mut sender) = self.sender.take() else {
            return;
        };
        let idle = Arc::clone(&self.idle);
        tokio::spawn(async move {
            if sender.ready().await.is_ok() {
                lock(&idle).push(sender);
            }
        });
    }
}

impl HttpBody for Returning {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        match &frame {
            Poll::Ready(None) => self.give_back(),
            Poll::Ready(Some(Ok(_))) if self.body.is_end_stream() => self.give_back(),
            Poll::Ready(Some(Err(_))) => self.sender = None,
            _ => {}
        }
        frame.map_err(Into::into)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for Returning {
    fn drop(&mut self) {
        // An empty body is not polled; an unfinished one closes its connection.
        if self.body.is_end_stream() {
            self.give_back();
        }
    }
}

/// Multiplexed connections to other daemons, one for each address.
#[derive(Clone, Default)]
pub struct MeshPool {
    open: Arc<Mutex<BTreeMap<SocketAddr, http2::SendRequest<Body>>>>,
}

impl MeshPool {
    /// Sends a request to a daemon's inbound side.
    ///
    /// # Errors
    ///
    /// Fails with [`UpstreamError::NotSent`] only when nothing of the request was sent.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
    ) -> Result<Response<Body>, UpstreamError> {
        let mut sender = self.sender(address).await?;
        sender
            .ready()
            .await
            .map_err(|err| UpstreamError::NotSent(address, err.to_string()))?;
        let answer = sender.try_send_request(request).await;
        let answer = answer.map_err(|mut err| match err.take_message() {
            Some(_) => UpstreamError::NotSent(address, err.into_error().to_string()),
            None => UpstreamError::Lost(address, err.into_error().to_string()),
        })?;
        Ok(answer.map(incoming))
    }

    async fn sender(&self, address: SocketAddr) -> Result<http2::SendRequest<Body>, UpstreamError> {
        if let Some(sender) = self.open_sender(address) {
            return Ok(sender);
        }
        let io = connect(address).await?;
        let (sender, connection) = http2::Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .adaptive_window(true)
            .handshake(io)
            .await
            .map_err(|err| UpstreamError::NotSent(address, err.to_string()))?;
        tokio::spawn(connection);
        let mut open = lock(&self.open);
        open.insert(address, sender.clone());
        Ok(sender)
    }

    fn open_sender(&self, address: SocketAddr) -> Option<http2::SendRequest<Body>> {
        let mut open = lock(&self.open);
        let sender = open.get(&address)?;
        if sender.is_closed() {
            open.remove(&address);
            return None;
        }
        Some(sender.clone())
    }
}
