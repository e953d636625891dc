//! Connections to backend servers and to other daemons.

use super::{FENCE, HELLO, KEY_KNOWN, attempt::Attempt, fence::Fate, idempotency::KeyId};
use crate::serve::{Body, BodyError, full};
use crate::sync::lock;
use arc_swap::ArcSwapOption;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response};
use http_body::{Body as HttpBody, Frame, SizeHint};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::{http1, http2};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Time to connect. An opening packet that is lost is sent again only after a second, so waiting
/// longer than a few round trips gains little.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time for an inbound side to answer a question.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Data of one stream that may be under way between daemons, in bytes; small for the reason given at
/// the server's.
const STREAM_WINDOW: u32 = 16 * 1024;

/// Data of one connection that may be under way between daemons, in bytes.
const CONNECTION_WINDOW: u32 = 64 * 1024;

/// Time between probes of a connection between daemons that carries calls.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time for the answer to a probe. A daemon on a tenth of a core may be held up for more than a
/// second; calls on a connection that went silent wait for this long at most.
const PROBE_TIMEOUT: Duration = Duration::from_millis(2_500);

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Time before the end that a server states at which a connection is no longer used.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);

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

/// Which connections that were used before may be used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// None: the call gets a connection of its own.
    Never,
    /// Those idle for no longer than this.
    Within(Duration),
}

/// Connections to one server, each used for one call at a time.
#[derive(Clone)]
pub struct BackendPool {
    address: SocketAddr,
    idle: Arc<Mutex<Vec<Idle>>>,
    /// The connections that may still be opened.
    room: Arc<Semaphore>,
    most: Arc<Mutex<usize>>,
}

/// A connection on which nothing is under way.
struct Idle {
    connection: Connection,
    since: Instant,
    /// When the server closes it, if it has said so.
    until: Option<Instant>,
}

/// A connection to a server. It is closed when it is dropped.
struct Connection {
    sender: http1::SendRequest<Body>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl BackendPool {
    /// Makes an empty pool that opens no connections yet.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        BackendPool {
            address,
            idle: Arc::default(),
            room: Arc::new(Semaphore::new(0)),
            most: Arc::default(),
        }
    }

    /// Returns the server's address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how many connections may be open at once.
    pub fn set_limit(&self, limit: usize) {
        let mut most = lock(&self.most);
        if limit > *most {
            self.room.add_permits(limit - *most);
            *most = limit;
            return;
        }
        let surplus = *most - limit;
        if surplus == 0 {
            return;
        }
        drop(lock(&self.idle).drain(..));
        *most -= self.room.forget_permits(surplus);
    }

    /// Closes the connections on which nothing is under way.
    pub fn clear(&self) {
        drop(lock(&self.idle).drain(..));
    }

    /// Gets a connection on which nothing is under way.
    ///
    /// # Errors
    ///
    /// Fails with [`UpstreamError::NotSent`].
    pub async fn connection(&self, reuse: Reuse) -> Result<Lease, UpstreamError> {
        let connection = match self.take_idle(reuse) {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        Ok(Lease {
            address: self.address,
            connection,
            idle: Arc::clone(&self.idle),
        })
    }

    fn take_idle(&self, reuse: Reuse) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = lock(&self.idle);
        let usable = |idle: &Idle| idle.until.is_none_or(|until| now < until);
        idle.retain(|idle| idle.connection.sender.is_ready() && usable(idle));
        let Reuse::Within(most) = reuse else {
            // Its room is needed by the new connection, and it would only grow older.
            if self.room.available_permits() == 0 {
                idle.pop();
            }
            return None;
        };
        let newest = idle.last()?;
        if now.saturating_duration_since(newest.since) > most {
            idle.clear();
            return None;
        }
        idle.pop().map(|idle| idle.connection)
    }

    async fn connect(&self) -> Result<Connection, UpstreamError> {
        let not_sent = |err: String| UpstreamError::NotSent(self.address, err);
        let room = Arc::clone(&self.room).acquire_owned();
        let room = tokio::time::timeout(CONNECT_TIMEOUT, room).await;
        let room = room.map_err(|_| not_sent("too many connections".into()))?;
        let room = room.map_err(|err| not_sent(err.to_string()))?;
        let io = connect(self.address).await?;
        let (sender, connection) = http1::handshake(io)
            .await
            .map_err(|err| not_sent(err.to_string()))?;
        let task = tokio::spawn(run_connection(connection, room));
        let task = task.abort_handle();
        Ok(Connection { sender, task })
    }
}

async fn run_connection(
    connection: http1::Connection<TokioIo<TcpStream>, Body>,
    _room: OwnedSemaphorePermit,
) {
    // Its error also reaches the request at hand.
    let _ = connection.await;
}

/// A connection to the backend server for one call.
pub struct Lease {
    address: SocketAddr,
    connection: Connection,
    idle: Arc<Mutex<Vec<Idle>>>,
}

impl Lease {
    /// Sends a request. The connection is used again only after a whole answer.
    ///
    /// # Errors
    ///
    /// Fails with [`UpstreamError::NotSent`] only when nothing of the request was sent.
    pub async fn send(
        mut self,
        request: Request<Body>,
    ) -> Result<Response<Returning>, UpstreamError> {
        let answer = self.connection.sender.try_send_request(request).await;
        let answer = answer.map_err(|mut err| match err.take_message() {
            Some(_) => UpstreamError::NotSent(self.address, err.into_error().to_string()),
            None => UpstreamError::Lost(self.address, err.into_error().to_string()),
        })?;
        let (head, body) = answer.into_parts();
        let until = kept_until(&head.headers, Instant::now());
        let mut body = Returning {
            body,
            lease: Some(self),
            until,
        };
        if body.body.is_end_stream() {
            body.give_back();
        }
        Ok(Response::from_parts(head, body))
    }
}

/// An answer's body that gives its connection back when it has ended.
///
/// The connection is closed when the body is dropped before.
pub struct Returning {
    body: Incoming,
    lease: Option<Lease>,
    until: Option<Instant>,
}

impl Returning {
    fn give_back(&mut self) {
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

/// Returns when a server closes an idle connection, less a margin for what is under way then.
fn kept_until(headers: &HeaderMap, now: Instant) -> Option<Instant> {
    let value = super::text(headers, &KEEP_ALIVE)?;
    let mut parts = value.split(',').map(str::trim);
    let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
    let seconds: u64 = seconds.parse().ok()?;
    let time = Duration::from_secs(seconds);
    Some(now + time.saturating_sub(KEEP_ALIVE_MARGIN.min(time / 2)))
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

/// A multiplexed connection to another daemon's inbound side, opened when it is needed.
pub struct Link {
    address: SocketAddr,
    incarnation: u64,
    open: ArcSwapOption<Open>,
    opening: tokio::sync::Mutex<()>,
    /// Connections that could not be opened.
    failures: AtomicU64,
    /// When the link was last used, in milliseconds since it was made.
    used_ms: AtomicU64,
    made: Instant,
}

/// An open connection with the inbound side's clock as it was when the connection was opened.
struct Open {
    sender: http2::SendRequest<Body>,
    clock_ms: u64,
    at: Instant,
}

impl Link {
    /// Makes a link to an incarnation of a daemon.
    #[must_use]
    pub fn new(address: SocketAddr, incarnation: u64) -> Self {
        Link {
            address,
            incarnation,
            open: ArcSwapOption::empty(),
            opening: tokio::sync::Mutex::default(),
            failures: AtomicU64::new(0),
            used_ms: AtomicU64::new(0),
            made: Instant::now(),
        }
    }

    /// Closes the connection if it has not been used for a time. Calls under way are not cut off.
    pub fn close_idle(&self, time: Duration) {
        let used = Duration::from_millis(self.used_ms.load(Ordering::Relaxed));
        if self.made.elapsed().saturating_sub(used) > time {
            self.reset();
        }
    }

    /// Returns where the inbound side listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Gets ready to send.
    ///
    /// # Errors
    ///
    /// Fails with [`UpstreamError::NotSent`].
    pub async fn ready(&self) -> Result<Ready, UpstreamError> {
        let used = u64::try_from(self.made.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.used_ms.store(used, Ordering::Relaxed);
        let open = self.open().await?;
        let passed = u64::try_from(open.at.elapsed().as_millis()).unwrap_or(u64::MAX);
        let mut sender = open.sender.clone();
        sender
            .ready()
            .await
            .map_err(|err| UpstreamError::NotSent(self.address, err.to_string()))?;
        Ok(Ready {
            address: self.address,
            sent_ms: open.clock_ms + passed,
            sender,
        })
    }

    /// Asks the inbound side what became of an attempt, and bars it from running if it has not.
    pub async fn fence(&self, attempt: &Attempt) -> Option<Fate> {
        let fate = self.ask(FENCE, &attempt.to_string()).await?;
        Fate::read(&fate)
    }

    /// Asks the inbound side whether a key is in its record.
    pub async fn knows(&self, key: KeyId) -> Option<bool> {
        let known = self.ask(KEY_KNOWN, &key.text()).await?;
        Some(known == "1")
    }

    /// Asks a question in a header and returns the same header of the answer.
    async fn ask(&self, name: HeaderName, value: &str) -> Option<String> {
        let value = HeaderValue::from_str(value).ok()?;
        let ask = async {
            let mut request = Request::new(full(Bytes::new()));
            *request.uri_mut() = http::Uri::from_static("http://inbound/");
            request.headers_mut().insert(&name, value);
            let answer = self.ready().await.ok()?.send(request).await.ok()?;
            super::text(answer.headers(), &name).map(ToOwned::to_owned)
        };
        let answer = tokio::time::timeout(ASK_TIMEOUT, ask).await;
        if answer.is_err() {
            // It may have gone silent for good.
            self.reset();
        }
        answer.ok()?
    }

    /// Opens a new connection for the next call.
    pub fn reset(&self) {
        self.open.store(None);
    }

    async fn open(&self) -> Result<Arc<Open>, UpstreamError> {
        if let Some(open) = self.usable() {
            return Ok(open);
        }
        let failures = self.failures.load(Ordering::Relaxed);
        let _opening = self.opening.lock().await;
        if let Some(open) = self.usable() {
            return Ok(open);
        }
        // Calls that waited for one attempt to connect share its failure.
        if self.failures.load(Ordering::Relaxed) != failures {
            return Err(self.not_sent("no connection just now"));
        }
        let open = tokio::time::timeout(CONNECT_TIMEOUT, self.connect()).await;
        let open = open.unwrap_or_else(|_| Err(self.not_sent("no answer in time")));
        if open.is_err() {
            self.failures.fetch_add(1, Ordering::Relaxed);
        }
        let open = open?;
        let open = Arc::new(open);
        self.open.store(Some(Arc::clone(&open)));
        Ok(open)
    }

    fn usable(&self) -> Option<Arc<Open>> {
        let open = self.open.load_full()?;
        (!open.sender.is_closed()).then_some(open)
    }

    async fn connect(&self) -> Result<Open, UpstreamError> {
        let io = connect(self.address).await?;
        let (mut sender, connection) = http2::Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .initial_stream_window_size(STREAM_WINDOW)
            .initial_connection_window_size(CONNECTION_WINDOW)
            .max_send_buf_size(STREAM_WINDOW as usize)
            .keep_alive_interval(PROBE_INTERVAL)
            .keep_alive_timeout(PROBE_TIMEOUT)
            .handshake(io)
            .await
            .map_err(|err| self.not_sent(&err.to_string()))?;
        tokio::spawn(connection);
        let mut request = Request::new(full(Bytes::new()));
        *request.uri_mut() = http::Uri::from_static("http://inbound/");
        let asked = HeaderValue::from_static("1");
        request.headers_mut().insert(HELLO, asked);
        let answer = sender.send_request(request).await;
        let answer = answer.map_err(|err| self.not_sent(&err.to_string()))?;
        let (incarnation, clock_ms) =
            read_hello(&answer).ok_or_else(|| self.not_sent("answer to hello is not valid"))?;
        if incarnation != self.incarnation {
            return Err(self.not_sent("another incarnation is there"));
        }
        let at = Instant::now();
        Ok(Open {
            sender,
            clock_ms,
            at,
        })
    }

    fn not_sent(&self, reason: &str) -> UpstreamError {
        UpstreamError::NotSent(self.address, reason.into())
    }
}

/// Writes an inbound side's incarnation and clock.
#[must_use]
pub fn hello(incarnation: u64, clock_ms: u64) -> String {
    format!("{incarnation}.{clock_ms}")
}

fn read_hello<B>(answer: &Response<B>) -> Option<(u64, u64)> {
    let (incarnation, clock_ms) = super::text(answer.headers(), &HELLO)?.split_once('.')?;
    Some((incarnation.parse().ok()?, clock_ms.parse().ok()?))
}

/// A connection to another daemon that takes a request now.
pub struct Ready {
    address: SocketAddr,
    /// The inbound side's clock at this time, at the most.
    pub sent_ms: u64,
    sender: http2::SendRequest<Body>,
}

impl Ready {
    /// Sends a request.
    ///
    /// # Errors
    ///
    /// Fails with [`UpstreamError::NotSent`] only when nothing of the request was sent.
    pub async fn send(
        mut self,
        request: Request<Body>,
    ) -> Result<Response<Incoming>, UpstreamError> {
        let answer = self.sender.try_send_request(request).await;
        answer.map_err(|mut err| match err.take_message() {
            Some(_) => UpstreamError::NotSent(self.address, err.into_error().to_string()),
            None => UpstreamError::Lost(self.address, err.into_error().to_string()),
        })
    }
}
