//! Connections to one server, which carry one call at a time.
//!
//! A faulty server may write a response once more, later. A copy that arrives while the connection is idle
//! closes it. One that crosses the next request can be told from its response only by the request id, so a
//! connection that has carried a refused request does not carry that request again.

use super::text;
use super::upstream::{CONNECT_TIMEOUT, MAX_HEAD_LEN, UpstreamError, connect};
use crate::serve::{Body, BodyError};
use crate::sync::lock;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response};
use http_body::{Body as HttpBody, Frame, SizeHint};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::AbortHandle;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// How long before the end of a server's keep-alive timeout an idle connection is discarded.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);

/// Refused requests that a connection remembers; it is closed for one more.
const MAX_REFUSED: usize = 32;

/// Which idle connections a call may reuse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// None: the call gets a new connection.
    Never,
    /// Those that have been idle for no longer than this.
    Within(Duration),
}

/// A pool of HTTP/1 connections to one server, each used for one call at a time.
#[derive(Clone)]
pub struct BackendPool {
    address: SocketAddr,
    connect_timeout: Duration,
    idle: Arc<Mutex<Vec<Idle>>>,
    /// One permit for each connection that may still be opened.
    capacity: Arc<Semaphore>,
    /// The number of connections that may be open at once.
    max_open: Arc<Mutex<usize>>,
}

/// A connection without a call in flight.
struct Idle {
    connection: Connection,
    since: Instant,
    /// When to stop using it, if the server sent a keep-alive timeout.
    until: Option<Instant>,
}

/// A connection to a server. It is closed when it is dropped.
struct Connection {
    sender: http1::SendRequest<Body>,
    task: AbortHandle,
    /// The refused requests that it has carried.
    refused: Vec<RequestKey>,
}

/// A hash of a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RequestKey(u64);

impl RequestKey {
    fn new(id: &HeaderValue) -> Self {
        RequestKey(xxh3_64(id.as_bytes()))
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl BackendPool {
    /// Creates an empty pool with a limit of zero: it opens no connections until
    /// [`BackendPool::set_limit`].
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        BackendPool {
            address,
            connect_timeout: CONNECT_TIMEOUT,
            idle: Arc::default(),
            capacity: Arc::new(Semaphore::new(0)),
            max_open: Arc::default(),
        }
    }

    /// Sets the timeout to connect, for requests that have no other server to try.
    #[must_use]
    pub fn with_connect_timeout(self, connect_timeout: Duration) -> Self {
        BackendPool {
            connect_timeout,
            ..self
        }
    }

    /// Returns the server's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how many connections may be open at once. A lower limit closes all idle connections.
    pub fn set_limit(&self, limit: usize) {
        let mut max_open = lock(&self.max_open);
        if limit > *max_open {
            self.capacity.add_permits(limit - *max_open);
            *max_open = limit;
            return;
        }
        let surplus = *max_open - limit;
        if surplus == 0 {
            return;
        }
        drop(lock(&self.idle).drain(..));
        // The permits of connections that are still open are withdrawn by later calls.
        *max_open -= self.capacity.forget_permits(surplus);
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        drop(lock(&self.idle).drain(..));
    }

    /// Returns an idle connection or opens a new one.
    ///
    /// # Errors
    ///
    /// Fails with [`UpstreamError::NotSent`].
    pub async fn connection(&self, reuse: Reuse) -> Result<Lease, UpstreamError> {
        self.lease(reuse, None).await
    }

    /// Returns an idle connection on which the request with this id was not refused before, or opens a new one.
    ///
    /// # Errors
    ///
    /// Fails with [`UpstreamError::NotSent`].
    pub async fn connection_for(
        &self,
        reuse: Reuse,
        id: Option<&HeaderValue>,
    ) -> Result<Lease, UpstreamError> {
        self.lease(reuse, id.map(RequestKey::new)).await
    }

    async fn lease(&self, reuse: Reuse, key: Option<RequestKey>) -> Result<Lease, UpstreamError> {
        let connection = match self.take_idle(reuse, key) {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        Ok(Lease {
            address: self.address,
            connection,
            idle: Arc::clone(&self.idle),
        })
    }

    fn take_idle(&self, reuse: Reuse, key: Option<RequestKey>) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = lock(&self.idle);
        let usable = |idle: &Idle| idle.until.is_none_or(|until| now < until);
        idle.retain(|idle| idle.connection.sender.is_ready() && usable(idle));
        let Reuse::Within(max_idle) = reuse else {
            // At the limit, an idle connection is closed for the new one, as it would only grow
            // older.
            if self.capacity.available_permits() == 0 {
                idle.pop();
            }
            return None;
        };
        let newest = idle.last()?;
        // The newest is the last; all others have been idle for longer.
        if now.saturating_duration_since(newest.since) > max_idle {
            idle.clear();
            return None;
        }
        let carries = |idle: &Idle| key.is_none_or(|key| !idle.connection.refused.contains(&key));
        let Some(index) = idle.iter().rposition(carries) else {
            // At the limit, a connection is closed for the new one.
            if self.capacity.available_permits() == 0 {
                idle.pop();
            }
            return None;
        };
        let since = idle[index].since;
        (now.saturating_duration_since(since) <= max_idle).then(|| idle.remove(index).connection)
    }

    async fn connect(&self) -> Result<Connection, UpstreamError> {
        let not_sent = |err: String| UpstreamError::NotSent(self.address, err);
        let capacity = Arc::clone(&self.capacity).acquire_owned();
        let capacity = tokio::time::timeout(self.connect_timeout, capacity).await;
        let capacity = capacity.map_err(|_| not_sent("connection limit reached".into()))?;
        let capacity = capacity.map_err(|err| not_sent(err.to_string()))?;
        let io = connect(self.address, self.connect_timeout).await?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_LEN)
            .handshake(io)
            .await
            .map_err(|err| not_sent(err.to_string()))?;
        let task = tokio::spawn(run_connection(connection, capacity));
        let task = task.abort_handle();
        Ok(Connection {
            sender,
            task,
            refused: Vec::new(),
        })
    }
}

async fn run_connection(
    connection: http1::Connection<TokioIo<TcpStream>, Body>,
    _capacity: OwnedSemaphorePermit,
) {
    // The request in flight reports the same error.
    let _ = connection.await;
}

/// A connection taken from the pool for one call.
pub struct Lease {
    address: SocketAddr,
    connection: Connection,
    idle: Arc<Mutex<Vec<Idle>>>,
}

impl Lease {
    /// Sends a request. The connection returns to the pool only after a complete response.
    ///
    /// # Errors
    ///
    /// Fails with [`UpstreamError::NotSent`] only when nothing of the request was sent.
    pub async fn send(self, request: Request<Body>) -> Result<Response<PooledBody>, UpstreamError> {
        let mut response = self.send_once(request).await?;
        response.body_mut().keep_connection();
        Ok(response)
    }

    /// Sends a request whose response is checked. The connection is closed after the response, unless
    /// [`PooledBody::keep_connection`] or [`PooledBody::keep_after_refusal`] is called.
    ///
    /// # Errors
    ///
    /// Fails as [`Lease::send`] does.
    pub async fn send_once(
        mut self,
        request: Request<Body>,
    ) -> Result<Response<PooledBody>, UpstreamError> {
        let response = self.connection.sender.try_send_request(request).await;
        let response = response.map_err(|mut err| match err.take_message() {
            Some(_) => UpstreamError::NotSent(self.address, err.into_error().to_string()),
            None if err.error().is_parse_too_large() => UpstreamError::Endless(self.address),
            None => UpstreamError::Lost(self.address, err.into_error().to_string()),
        })?;
        let (head, body) = response.into_parts();
        let until = idle_until(&head.headers, Instant::now());
        let body = PooledBody {
            body,
            lease: Some(self),
            until,
            kept: false,
        };
        Ok(Response::from_parts(head, body))
    }
}

/// A response body that returns its connection to the pool when it has ended.
///
/// The connection is closed if the body is dropped before its end.
pub struct PooledBody {
    body: Incoming,
    /// The connection, until it is returned to the pool or closed.
    lease: Option<Lease>,
    /// When to stop using the connection, if the server sent a keep-alive timeout.
    until: Option<Instant>,
    /// Whether the connection returns to the pool.
    kept: bool,
}

impl PooledBody {
    /// Returns the connection to the pool once the response has ended.
    pub fn keep_connection(&mut self) {
        self.kept = true;
        if self.body.is_end_stream() {
            self.release();
        }
    }

    /// Does the same after the server has refused the request with this id. The connection will not carry that
    /// request again, as a copy of the refusal would be taken for the response to it.
    pub fn keep_after_refusal(&mut self, id: &HeaderValue) {
        let Some(lease) = &mut self.lease else {
            return;
        };
        let refused = &mut lease.connection.refused;
        if refused.len() < MAX_REFUSED {
            refused.push(RequestKey::new(id));
            self.keep_connection();
        }
    }

    fn release(&mut self) {
        if !self.kept {
            // Closes the connection.
            self.lease = None;
        }
        let Some(Lease {
            mut connection,
            idle,
            ..
        }) = self.lease.take()
        else {
            return;
        };
        let until = self.until;
        let put = move |connection| {
            let since = Instant::now();
            lock(&idle).push(Idle {
                connection,
                since,
                until,
            });
        };
        if connection.sender.is_ready() {
            put(connection);
            return;
        }
        tokio::spawn(async move {
            if connection.sender.ready().await.is_ok() {
                put(connection);
            }
        });
    }
}

/// Returns when to stop using an idle connection: the server's keep-alive timeout less a margin for
/// a request in flight at that moment.
fn idle_until(headers: &HeaderMap, now: Instant) -> Option<Instant> {
    let value = text(headers, &KEEP_ALIVE)?;
    let mut parts = value.split(',').map(str::trim);
    let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
    let seconds: u64 = seconds.parse().ok()?;
    let time = Duration::from_secs(seconds);
    Some(now + time.saturating_sub(KEEP_ALIVE_MARGIN.min(time / 2)))
}

impl HttpBody for PooledBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        match &frame {
            Poll::Ready(None) => self.release(),
            Poll::Ready(Some(Ok(_))) if self.body.is_end_stream() => self.release(),
            Poll::Ready(Some(Err(_))) => self.lease = None,
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
