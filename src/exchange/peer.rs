//! The messages of an exchange, and how they are transferred.

use super::{ExchangeState, Hint};
use crate::call::EXCHANGE;
use crate::call::pool::{BackendPool, Reuse};
use crate::call::upstream::UpstreamError;
use crate::daemon::Daemon;
use crate::event;
use crate::generated::mesh as wire;
use crate::serve::{Body, full_body};
use crate::snapshot::Stamp;
use crate::sync::lock;
use crate::transfer::{ReceiveError, receive};
use crate::tree::session::MAX_FRAME_LEN;
use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request, Response, StatusCode, header};
use prost::Message;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, timeout};

/// Time without a byte after which a transfer is given up.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// An error of an exchange with another daemon.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The connection to the other daemon failed.
    #[error("{0}")]
    Peer(#[from] UpstreamError),
    /// The other daemon did not respond in time, or stopped sending after this number of bytes.
    #[error("{0} did not answer in time, {1} bytes of the response received")]
    TimedOut(SocketAddr, usize),
    /// The response is not a valid message.
    #[error("{0} sent an invalid exchange message: {1}")]
    Unreadable(SocketAddr, String),
}

/// Runs an exchange with the daemon whose inbound listener has the address `peer`.
///
/// A second message follows when the peer's response asks for member records or the configuration.
/// A response must begin within the time `limit`.
///
/// # Errors
///
/// Fails when the peer does not respond. What was merged from a first response stays.
pub async fn with_peer(
    daemon: &Daemon,
    peer: SocketAddr,
    limit: Duration,
) -> Result<(), ExchangeError> {
    let state = ExchangeState::of(daemon);
    let started = Instant::now();
    let receiver = name_of(daemon, peer);
    let receiver = receiver.as_deref();
    let response = send(peer, state.summary(daemon, receiver), limit).await?;
    let other = Stamp::from_wire(response.stamp.as_ref());
    let current_ms = response.current_ms;
    let (wants, whole) = (response.wants, response.whole);
    let buckets = response.buckets.clone();
    let rollout_digest = response.rollout_digest;
    state.merge(daemon, response);
    if wants || state.mismatched.load(Ordering::Relaxed) {
        let mut more = state.summary(daemon, receiver);
        if wants {
            more.members = lock(&state.registry).records_for(&buckets);
        }
        more.newer = state.changes_after(daemon, other, whole);
        if wants && more.rollout_digest != rollout_digest {
            more.rollouts = daemon.rollouts.messages();
        }
        let response = send(peer, more, limit).await?;
        state.merge(daemon, response);
    }
    if daemon.config.stamp().version >= other.version {
        daemon.contact.mark_from_wire(started, current_ms);
    }
    // The peer has not sent its version.
    let report = Hint {
        version: other.version,
        holder: None,
    };
    state.note_report(daemon, report);
    Ok(())
}

/// Returns the name of the daemon whose inbound listener has the address `peer`, if it is known.
fn name_of(daemon: &Daemon, peer: SocketAddr) -> Option<String> {
    let peer = peer.to_string();
    let fleet = daemon.fleet.load();
    let mut members = fleet.members().values();
    let member = members.find(|member| member.inbound == peer);
    member.map(|member| member.name.clone())
}

async fn send(
    peer: SocketAddr,
    message: wire::Exchange,
    limit: Duration,
) -> Result<wire::Exchange, ExchangeError> {
    let data = post(peer, EXCHANGE, message.encode_to_vec(), limit).await?;
    wire::Exchange::decode(data).map_err(|err| ExchangeError::Unreadable(peer, err.to_string()))
}

/// Sends a message, marked by a header, to the daemon whose inbound listener has the address `peer`, and
/// returns the response.
///
/// # Errors
///
/// Fails when the response does not begin within `limit`, or is not complete.
pub async fn post(
    peer: SocketAddr,
    mark: HeaderName,
    message: Vec<u8>,
    limit: Duration,
) -> Result<Bytes, ExchangeError> {
    let request = async {
        // Each message opens its own connection, so that an unresponsive one is never reused.
        let pool = BackendPool::new(peer).with_connect_timeout(limit);
        pool.set_limit(1);
        let mut request = Request::new(full_body(message));
        *request.method_mut() = http::Method::POST;
        let headers = request.headers_mut();
        headers.insert(mark, HeaderValue::from_static("1"));
        headers.insert(header::HOST, HeaderValue::from_static("inbound"));
        pool.connection(Reuse::Never).await?.send(request).await
    };
    let response = timeout(limit, request).await;
    let response = response.map_err(|_| ExchangeError::TimedOut(peer, 0))??;
    let data = receive(response.into_body(), MAX_FRAME_LEN, STALL_TIMEOUT).await;
    data.map_err(|err| match err {
        ReceiveError::Stalled(received) => ExchangeError::TimedOut(peer, received),
        err => UpstreamError::Lost(peer, err.to_string()).into(),
    })
}

/// Serves a message of another daemon; responds with 400 when it is invalid or late.
pub async fn serve(daemon: &Daemon, request: Request<Body>) -> Response<Body> {
    let message = receive(request.into_body(), MAX_FRAME_LEN, STALL_TIMEOUT).await;
    let message = message.map_err(|err| err.to_string());
    let message =
        message.and_then(|data| wire::Exchange::decode(data).map_err(|err| err.to_string()));
    let mut response = match message {
        Ok(message) => {
            let content = ExchangeState::of(daemon).respond(daemon, message);
            Response::new(full_body(content.encode_to_vec()))
        }
        Err(err) => {
            event!(ExchangeFailed, error = err);
            let mut response = Response::new(full_body(""));
            *response.status_mut() = StatusCode::BAD_REQUEST;
            response
        }
    };
    // A connection carries one message and its response only.
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(header::CONNECTION, close);
    response
}
