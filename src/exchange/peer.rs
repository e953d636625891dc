//! The messages of an exchange, and how they are transferred.

use super::ExchangeState;
use crate::call::EXCHANGE;
use crate::call::upstream::{BackendPool, Reuse, UpstreamError};
use crate::daemon::Daemon;
use crate::event;
use crate::generated::mesh as wire;
use crate::serve::{Body, full_body};
use crate::snapshot::Stamp;
use crate::sync::lock;
use crate::tree::session::MAX_FRAME_LEN;
use bytes::{Bytes, BytesMut};
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body::Body as HttpBody;
use http_body_util::BodyExt;
use prost::Message;
use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, timeout, timeout_at};

/// Time without a byte after which a transfer is given up.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time limit of a transfer of any length.
const MAX_TRANSFER_TIME: Duration = Duration::from_secs(10);

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
    let response = send(peer, state.summary(daemon), limit).await?;
    let other = Stamp::from_wire(response.stamp.as_ref());
    let (wants, whole) = (response.wants, response.whole);
    let buckets = response.buckets.clone();
    state.merge(daemon, response);
    if wants || state.mismatched.load(Ordering::Relaxed) {
        let mut more = state.summary(daemon);
        if wants {
            more.members = lock(&state.registry).records_for(&buckets);
        }
        more.newer = state.changes_after(daemon, other, whole);
        let response = send(peer, more, limit).await?;
        state.merge(daemon, response);
    }
    Ok(())
}

async fn send(
    peer: SocketAddr,
    message: wire::Exchange,
    limit: Duration,
) -> Result<wire::Exchange, ExchangeError> {
    let request = async {
        // Each exchange opens its own connection, so that an unresponsive one is never reused.
        let pool = BackendPool::new(peer);
        pool.set_limit(1);
        let mut request = Request::new(full_body(message.encode_to_vec()));
        *request.method_mut() = http::Method::POST;
        let headers = request.headers_mut();
        headers.insert(EXCHANGE, HeaderValue::from_static("1"));
        headers.insert(header::HOST, HeaderValue::from_static("inbound"));
        pool.connection(Reuse::Never).await?.send(request).await
    };
    let response = timeout(limit, request).await;
    let response = response.map_err(|_| ExchangeError::TimedOut(peer, 0))??;
    let data = receive(response.into_body()).await;
    let data = data.map_err(|err| match err {
        ReceiveError::Stalled(received) => ExchangeError::TimedOut(peer, received),
        ReceiveError::Failed(reason) => UpstreamError::Lost(peer, reason).into(),
    })?;
    wire::Exchange::decode(data).map_err(|err| ExchangeError::Unreadable(peer, err.to_string()))
}

/// The reason for which a message was not received completely.
#[derive(Debug, Error)]
enum ReceiveError {
    /// No more bytes arrived after this number, or too slowly.
    #[error("stalled after {0} bytes")]
    Stalled(usize),
    #[error("{0}")]
    Failed(String),
}

/// Receives a message, for as long as its bytes keep arriving.
///
/// The time limit applies to each part. A limit for the whole would end every transfer that a slow
/// link cannot complete by then, and the next attempt would begin anew.
async fn receive<B>(mut body: B) -> Result<Bytes, ReceiveError>
where
    B: HttpBody<Data = Bytes> + Unpin,
    B::Error: Display,
{
    let deadline = Instant::now() + MAX_TRANSFER_TIME;
    let mut data = BytesMut::new();
    loop {
        let until = deadline.min(Instant::now() + STALL_TIMEOUT);
        let frame = timeout_at(until, body.frame()).await;
        let frame = frame.map_err(|_| ReceiveError::Stalled(data.len()))?;
        let Some(frame) = frame else {
            return Ok(data.freeze());
        };
        let frame = frame.map_err(|err| ReceiveError::Failed(err.to_string()))?;
        data.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
        if data.len() > MAX_FRAME_LEN {
            let reason = format!("longer than {MAX_FRAME_LEN} bytes");
            return Err(ReceiveError::Failed(reason));
        }
    }
}

/// Serves a message of another daemon; responds with 400 when it is invalid or late.
pub async fn serve(daemon: &Daemon, request: Request<Body>) -> Response<Body> {
    let message = receive(request.into_body()).await;
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
