//! Connections to other daemons.

use super::{
    FENCE, HELLO, KEY_KNOWN, QUOTA, QUOTA_CONTACT, QUOTA_OWNERS, attempt::Attempt,
    fence::ExecutionStatus, idempotency::KeyId,
};
use crate::generated::mesh as wire;
use crate::quota::Grant;
use crate::serve::{Body, full_body};
use crate::sync::lock;
use crate::transfer::receive;
use arc_swap::ArcSwapOption;
use http::{HeaderName, HeaderValue, Request, Response};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use prost::Message as _;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Timeout to connect for a call, which has another upstream to try. A lost SYN packet is retransmitted only
/// after a second, so a longer timeout than a few round trips gains little.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Timeout for a query to an inbound side, such as a fence.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// HTTP/2 flow-control window of one stream between daemons, in bytes. Small, so that long bodies
/// queue at their sender and not on a slow link; the server's window in `serve` gives the figures.
const STREAM_WINDOW: u32 = 16 * 1024;

/// HTTP/2 flow-control window of one connection between daemons, in bytes.
const CONNECTION_WINDOW: u32 = 64 * 1024;

/// Interval of HTTP/2 keep-alive pings on a connection between daemons that carries calls.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout for the response to a ping; a call on a connection that stops responding waits no longer
/// than this. A daemon limited to a tenth of a core may be delayed for more than a second.
const PROBE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Greatest length of the head of a server's response, in bytes.
pub(super) const MAX_HEAD_LEN: usize = 64 * 1024;

/// Greatest length of a member record in the response to a hello, in bytes.
const MAX_RECORD_LEN: usize = 16 * 1024;

/// The reason for which a call to an upstream has no response.
#[derive(Debug, Error)]
pub enum UpstreamError {
    /// The request was not sent.
    #[error("{0} cannot be reached: {1}")]
    NotSent(SocketAddr, String),
    /// The request was sent, at least in part.
    #[error("{0} did not answer: {1}")]
    Lost(SocketAddr, String),
    /// The request was sent, and what came back exceeds the length of a response's head.
    #[error("{0} sent no response but {MAX_HEAD_LEN} other bytes")]
    Endless(SocketAddr),
}

/// The reason for which a [`Link`] cannot send.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The daemon cannot be reached.
    #[error(transparent)]
    Unreachable(#[from] UpstreamError),
    /// Another incarnation of the daemon answers, whose record this is.
    #[error("another incarnation answers: {}", .0.incarnation)]
    Replaced(Box<wire::Member>),
}

pub(super) async fn connect(
    address: SocketAddr,
    limit: Duration,
) -> Result<TokioIo<TcpStream>, UpstreamError> {
    let not_sent = |err: String| UpstreamError::NotSent(address, err);
    let stream = tokio::time::timeout(limit, TcpStream::connect(address)).await;
    let stream = stream
        .map_err(|_| not_sent("no answer in time".into()))?
        .map_err(|err| not_sent(err.to_string()))?;
    stream
        .set_nodelay(true)
        .map_err(|err| not_sent(err.to_string()))?;
    Ok(TokioIo::new(stream))
}

/// A multiplexed HTTP/2 connection to another daemon's inbound side, opened on first use.
pub struct Link {
    address: SocketAddr,
    incarnation: u64,
    session: ArcSwapOption<Session>,
    /// The daemon that has replaced the one that this link is for, once a hello has shown it.
    successor: Mutex<Option<Successor>>,
    /// Held while a connection is opened, so that calls share one attempt to connect.
    connect_lock: tokio::sync::Mutex<()>,
    /// The number of failed attempts to connect. A call that waits for the lock detects by it that
    /// the attempt of another call failed.
    failures: AtomicU64,
    /// When the link was last used, in milliseconds since it was created.
    used_ms: AtomicU64,
    created: Instant,
}

/// The record of a daemon's later incarnation, and the connection on which it sent it.
struct Successor {
    record: wire::Member,
    /// Until the link to that incarnation takes it over.
    session: Option<Arc<Session>>,
}

/// An open connection, with the inbound side's clock when it was opened.
struct Session {
    sender: http2::SendRequest<Body>,
    /// The inbound side's clock at `at`, in milliseconds.
    clock_ms: u64,
    at: Instant,
}

impl Link {
    /// Creates a link to one incarnation of a daemon; opens no connection yet.
    #[must_use]
    pub fn new(address: SocketAddr, incarnation: u64) -> Self {
        Link {
            address,
            incarnation,
            session: ArcSwapOption::empty(),
            successor: Mutex::default(),
            connect_lock: tokio::sync::Mutex::default(),
            failures: AtomicU64::new(0),
            used_ms: AtomicU64::new(0),
            created: Instant::now(),
        }
    }

    /// Creates a link to a later incarnation of the daemon at the same address. The connection on which a
    /// hello found that incarnation is used again.
    #[must_use]
    pub fn succeeded_by(&self, incarnation: u64) -> Self {
        let link = Link::new(self.address, incarnation);
        let mut successor = lock(&self.successor);
        let successor = successor
            .as_mut()
            .filter(|successor| successor.record.incarnation == incarnation);
        link.session
            .store(successor.and_then(|successor| successor.session.take()));
        link
    }

    /// Closes the connection if it has not been used for `time`. Calls in flight are not cut off.
    pub fn close_idle(&self, time: Duration) {
        let used = Duration::from_millis(self.used_ms.load(Ordering::Relaxed));
        if self.created.elapsed().saturating_sub(used) > time {
            self.reset();
        }
    }

    /// Returns the address of the inbound side.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens the connection if there is none, and waits until it accepts a request.
    ///
    /// # Errors
    ///
    /// Fails when the daemon cannot be reached or has been replaced; nothing was sent.
    pub async fn ready(&self) -> Result<Ready, LinkError> {
        let used = u64::try_from(self.created.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.used_ms.store(used, Ordering::Relaxed);
        let session = self.open().await?;
        let elapsed_ms = u64::try_from(session.at.elapsed().as_millis()).unwrap_or(u64::MAX);
        let mut sender = session.sender.clone();
        sender
            .ready()
            .await
            .map_err(|err| UpstreamError::NotSent(self.address, err.to_string()))?;
        Ok(Ready {
            address: self.address,
            sent_ms: session.clock_ms + elapsed_ms,
            sender,
        })
    }

    /// Requests the execution status of an attempt, and bars it from running if it has not started.
    ///
    /// Returns `None` if the query fails.
    pub async fn fence(&self, attempt: &Attempt) -> Option<ExecutionStatus> {
        let status = self.query(FENCE, &attempt.to_string()).await?;
        ExecutionStatus::read(&status)
    }

    /// Returns whether an idempotency key is in the inbound side's record; `None` if the query
    /// fails.
    pub async fn has_key(&self, key: KeyId) -> Option<bool> {
        let known = self.query(KEY_KNOWN, &key.text()).await?;
        Some(known == "1")
    }

    /// Requests tokens of an organisation from the daemon that owns its account; `None` if the query fails. The
    /// owner gives no answer, `Some(None)`, where it does not know of a limit.
    pub async fn request_tokens(&self, request: &str) -> Option<Option<Grant>> {
        Some(Grant::read(&self.query(QUOTA, request).await?))
    }

    /// Lends this daemon's share to an owner of accounts. `contact` formats the contact, given a lower bound of the
    /// owner's clock. Like a query, it is sent once more if it fails.
    ///
    /// # Errors
    ///
    /// Fails when the owner does not answer, or has been replaced.
    pub async fn contact_owner(
        &self,
        contact: impl Fn(u64) -> String,
        lists: &str,
    ) -> Result<(), LinkError> {
        match self.contact_once(&contact, lists).await {
            Err(LinkError::Unreachable(_)) => {
                self.reset();
                self.contact_once(&contact, lists).await
            }
            result => result,
        }
    }

    async fn contact_once(
        &self,
        contact: impl Fn(u64) -> String,
        lists: &str,
    ) -> Result<(), LinkError> {
        let ready = self.ready().await?;
        let value = |text: &str| {
            let value = HeaderValue::from_str(text);
            value.map_err(|err| self.not_sent(&err.to_string()))
        };
        let mut request = query_request();
        let headers = request.headers_mut();
        headers.insert(QUOTA_CONTACT, value(&contact(ready.sent_ms))?);
        headers.insert(QUOTA_OWNERS, value(lists)?);
        let response = ready.send(request).await?;
        match super::text(response.headers(), &QUOTA_CONTACT) {
            Some("1") => Ok(()),
            _ => Err(UpstreamError::Lost(self.address, "contact not accepted".into()).into()),
        }
    }

    /// Sends a query in a header and returns the same header of the response.
    ///
    /// Queries are idempotent. One that fails is sent once more on a new connection: a connection
    /// that was just lost still counts as open until its task has noticed.
    async fn query(&self, name: HeaderName, value: &str) -> Option<String> {
        let value = HeaderValue::from_str(value).ok()?;
        let query = async {
            if let Some(response) = self.query_once(&name, &value).await {
                return Some(response);
            }
            self.reset();
            self.query_once(&name, &value).await
        };
        let response = tokio::time::timeout(QUERY_TIMEOUT, query).await;
        if response.is_err() {
            // The connection may be dead; the next call opens a new one.
            self.reset();
        }
        response.ok()?
    }

    async fn query_once(&self, name: &HeaderName, value: &HeaderValue) -> Option<String> {
        let mut request = query_request();
        request.headers_mut().insert(name, value.clone());
        let response = self.ready().await.ok()?.send(request).await.ok()?;
        super::text(response.headers(), name).map(ToOwned::to_owned)
    }

    /// Discards the connection, so that the next call opens a new one.
    pub fn reset(&self) {
        self.session.store(None);
    }

    async fn open(&self) -> Result<Arc<Session>, LinkError> {
        if let Some(session) = self.current() {
            return Ok(session);
        }
        let failures = self.failures.load(Ordering::Relaxed);
        let _guard = self.connect_lock.lock().await;
        if let Some(session) = self.current() {
            return Ok(session);
        }
        self.check_replaced()?;
        // Calls that waited for the same attempt to connect share its failure.
        if self.failures.load(Ordering::Relaxed) != failures {
            return Err(self.not_sent("connection attempt failed").into());
        }
        let session = tokio::time::timeout(CONNECT_TIMEOUT, self.connect()).await;
        let session = session.unwrap_or_else(|_| Err(self.not_sent("no answer in time").into()));
        if session.is_err() {
            self.failures.fetch_add(1, Ordering::Relaxed);
        }
        let session = session?;
        let session = Arc::new(session);
        self.session.store(Some(Arc::clone(&session)));
        Ok(session)
    }

    /// Fails once a hello has shown that another incarnation uses the address.
    fn check_replaced(&self) -> Result<(), LinkError> {
        match &*lock(&self.successor) {
            Some(successor) => Err(LinkError::Replaced(Box::new(successor.record.clone()))),
            None => Ok(()),
        }
    }

    fn current(&self) -> Option<Arc<Session>> {
        let session = self.session.load_full()?;
        (!session.sender.is_closed()).then_some(session)
    }

    async fn connect(&self) -> Result<Session, LinkError> {
        let io = connect(self.address, CONNECT_TIMEOUT).await?;
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
        let mut request = query_request();
        request.headers_mut().insert(HELLO, self.incarnation.into());
        let response = sender.send_request(request).await;
        let response = response.map_err(|err| self.not_sent(&err.to_string()))?;
        let (incarnation, clock_ms) =
            read_hello(&response).ok_or_else(|| self.not_sent("invalid response to hello"))?;
        let session = Session {
            sender,
            clock_ms,
            at: Instant::now(),
        };
        if incarnation == self.incarnation {
            return Ok(session);
        }
        let record = read_record(response, incarnation).await;
        let record = record.ok_or_else(|| self.not_sent("incarnation does not match"))?;
        let err = LinkError::Replaced(Box::new(record.clone()));
        *lock(&self.successor) = Some(Successor {
            record,
            session: Some(Arc::new(session)),
        });
        Err(err)
    }

    fn not_sent(&self, reason: &str) -> UpstreamError {
        UpstreamError::NotSent(self.address, reason.into())
    }
}

/// Returns a request to an inbound side itself, which headers describe.
fn query_request() -> Request<Body> {
    let mut request = Request::new(full_body(Bytes::new()));
    *request.uri_mut() = http::Uri::from_static("http://inbound/");
    request
}

/// Formats the value of the [`HELLO`] header of a response: incarnation and clock.
#[must_use]
pub fn hello(incarnation: u64, clock_ms: u64) -> String {
    format!("{incarnation}.{clock_ms}")
}

/// Reads the record of the daemon that has answered a hello for another incarnation.
async fn read_record(response: Response<Incoming>, incarnation: u64) -> Option<wire::Member> {
    let body = receive(response.into_body(), MAX_RECORD_LEN, CONNECT_TIMEOUT);
    let record = wire::Member::decode(body.await.ok()?).ok()?;
    (record.incarnation == incarnation).then_some(record)
}

fn read_hello<B>(response: &Response<B>) -> Option<(u64, u64)> {
    let (incarnation, clock_ms) = super::text(response.headers(), &HELLO)?.split_once('.')?;
    Some((incarnation.parse().ok()?, clock_ms.parse().ok()?))
}

/// A connection to another daemon that accepts a request now.
pub struct Ready {
    address: SocketAddr,
    /// A lower bound of the inbound side's clock now, in milliseconds, for [`Attempt::sent_ms`].
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
        let response = self.sender.try_send_request(request).await;
        response.map_err(|mut err| match err.take_message() {
            Some(_) => UpstreamError::NotSent(self.address, err.into_error().to_string()),
            None => UpstreamError::Lost(self.address, err.into_error().to_string()),
        })
    }
}
