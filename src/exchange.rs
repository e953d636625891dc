//! Anti-entropy exchange of member records and the configuration between two daemons.
//!
//! A daemon contacts a random peer periodically, and immediately when a call or a response carries
//! a newer version than its own. Versions and records are ordered by numbers that only increase, so
//! an exchange that is duplicated, delayed or based on older state is harmless.

use crate::call::upstream::{BackendPool, Reuse, UpstreamError};
use crate::call::{EXCHANGE, number};
use crate::daemon::Daemon;
use crate::error::{Category, Error, Result};
use crate::event;
use crate::generated::mesh as wire;
use crate::generated::mesh::MemberState;
use crate::member::rank;
use crate::member::registry::MemberRegistry;
use crate::serve::{Body, full_body};
use crate::site::{ExternalConfig, Source};
use crate::snapshot::{MAX_SNAPSHOT_LEN, Snapshot, Stamp};
use crate::sync::lock;
use crate::tree::session::MAX_FRAME_LEN;
use crate::zlib;
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use prost::Message;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::Instant;

/// Time limit of a regular exchange for one message and its response, and of reading a request.
pub const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// An error of an exchange with another daemon.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The connection to the other daemon failed.
    #[error("{0}")]
    Peer(#[from] UpstreamError),
    /// The other daemon did not send its whole response within the time limit.
    #[error("{0} did not answer in time, {1} bytes of the response received")]
    TimedOut(SocketAddr, usize),
    /// The response is not a valid message.
    #[error("{0} sent an invalid exchange message: {1}")]
    Unreadable(SocketAddr, String),
}

/// A newer version that another daemon reported, and a daemon that has it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Hint {
    /// The version.
    pub version: u64,
    /// The address of a daemon that has it, if known.
    pub holder: Option<SocketAddr>,
}

/// The state that a daemon merges from the platform and from its peers.
#[derive(Default)]
pub struct ExchangeState {
    registry: Mutex<MemberRegistry>,
    /// The encoded configuration in force, where it is externally managed.
    external: Mutex<CachedValue>,
    hint: watch::Sender<Hint>,
    /// When a peer last sent a request or a response.
    last_exchange: Mutex<Option<Instant>>,
    /// Whether the platform has been queried for the members at least once.
    queried: watch::Sender<bool>,
}

/// A value to be sent to peers, compressed on first use.
enum CachedValue {
    Plain(Bytes),
    Packed(wire::Packed),
}

impl CachedValue {
    /// Returns the compressed value of the version with this stamp; compresses it on first use.
    fn pack(&mut self, stamp: Stamp) -> wire::Packed {
        if let CachedValue::Plain(value) = self {
            *self = CachedValue::Packed(wire::Packed {
                stamp: Some(stamp.to_wire()),
                data: zlib::compress(value).into(),
                length: value.len() as u64,
            });
        }
        match self {
            CachedValue::Packed(packed) => packed.clone(),
            CachedValue::Plain(_) => wire::Packed::default(),
        }
    }
}

impl Default for CachedValue {
    fn default() -> Self {
        CachedValue::Plain(Bytes::new())
    }
}

impl ExchangeState {
    /// Returns this component of a daemon.
    #[must_use]
    pub fn of(daemon: &Daemon) -> Arc<ExchangeState> {
        daemon.component(ExchangeState::default)
    }

    /// Returns a receiver that is notified when a peer reports a newer version.
    #[must_use]
    pub fn hints(&self) -> watch::Receiver<Hint> {
        self.hint.subscribe()
    }

    /// Returns the newest version that is in force here or that a peer reported.
    #[must_use]
    pub fn newest_known(&self, daemon: &Daemon) -> u64 {
        let reported = self.hint.borrow().version;
        reported.max(daemon.config.stamp().version)
    }

    /// Records that the platform has been queried for the members, whether it responded or not.
    pub fn mark_queried(&self) {
        self.queried.send_replace(true);
    }

    /// Waits until the platform has been queried for the members, whether it responded or not.
    pub async fn wait_queried(&self) {
        // The sender lives as long as `self`.
        let _ = self.queried.subscribe().wait_for(|queried| *queried).await;
    }

    /// Tests whether a peer has sent a request or a response within the last `time`.
    #[must_use]
    pub fn exchanged_within(&self, time: Duration) -> bool {
        lock(&self.last_exchange).is_some_and(|at| at.elapsed() <= time)
    }

    /// Updates the member registry, and replaces the daemon's fleet if `update` returns true, which
    /// means that the members have changed.
    pub fn update_members(
        &self,
        daemon: &Daemon,
        update: impl FnOnce(&mut MemberRegistry, Instant) -> bool,
    ) {
        let mut registry = lock(&self.registry);
        if update(&mut registry, Instant::now()) {
            daemon.fleet.replace(registry.fleet());
        }
    }

    /// Records that this daemon no longer follows the platform's listing of the members.
    pub fn stop_following(&self) {
        lock(&self.registry).stop_following();
    }

    /// Reads the version in force at another daemon from headers, and publishes a hint if newer.
    pub fn note_version(&self, daemon: &Daemon, headers: &HeaderMap, holder: Option<SocketAddr>) {
        let Some(version) = number(headers, &crate::call::VERSION) else {
            return;
        };
        if version <= daemon.config.stamp().version {
            return;
        }
        self.hint.send_if_modified(|hint| {
            let is_newer = version > hint.version;
            if is_newer {
                *hint = Hint { version, holder };
                event!(
                    VersionReported,
                    version = version,
                    current = daemon.config.stamp().version
                );
            }
            is_newer
        });
    }

    /// Merges another daemon's request, and returns the response.
    pub fn respond(&self, daemon: &Daemon, mut request: wire::Exchange) -> wire::Exchange {
        let wants = request.wants;
        let other = Stamp::from_wire(request.stamp.as_ref());
        let buckets = std::mem::take(&mut request.buckets);
        let has_members = !request.members.is_empty();
        self.merge(daemon, request);
        let mut response = self.summary(daemon);
        let differs = response.buckets != buckets;
        if differs || wants {
            response.members = lock(&self.registry).records_for(&buckets);
        }
        let own = daemon.config.stamp();
        response.config = self.config_after(daemon, other);
        // Asks for a second message: with the sender's records, unless this one had them, or with
        // its newer configuration.
        response.wants = differs && !has_members || other.version > own.version;
        response
    }

    /// Merges the records and the configuration of a received message.
    fn merge(&self, daemon: &Daemon, message: wire::Exchange) {
        *lock(&self.last_exchange) = Some(Instant::now());
        let sender = message.sender.as_ref().map(|record| record.name.clone());
        self.update_members(daemon, |registry, now| {
            let mut changed = false;
            for record in message.members.into_iter().chain(message.sender) {
                if record.name == daemon.identity.name {
                    refute_removal(daemon, &record);
                } else if !record.name.is_empty() {
                    changed |= registry.merge_reported(record, now);
                }
            }
            changed
        });
        let Some(packed) = message.config else {
            return;
        };
        let version = Stamp::from_wire(packed.stamp.as_ref()).version;
        let origin = sender.as_deref().unwrap_or("a peer");
        log_received(daemon, version, origin, packed.data.len());
        if let Err(err) = self.apply_packed(daemon, &packed) {
            event!(SnapshotUnreadable, error = err);
        }
    }

    fn apply_packed(&self, daemon: &Daemon, packed: &wire::Packed) -> Result<()> {
        match &daemon.source {
            Source::Operators => {
                let snapshot = Snapshot::unpack(packed)?;
                daemon.config.apply(Arc::new(snapshot)).map(drop)
            }
            Source::External(external) => {
                let value = zlib::decompress(&packed.data, MAX_SNAPSHOT_LEN);
                let value = value.map_err(|err| Error::new(Category::Input, err))?;
                if decode_and_apply(daemon, external, &value)? {
                    *lock(&self.external) = CachedValue::Packed(packed.clone());
                }
                Ok(())
            }
        }
    }

    /// Applies a version of an externally managed configuration, unless it is not newer than the
    /// one in force.
    ///
    /// # Errors
    ///
    /// Fails when the value cannot be decoded; nothing is changed then. A version that decodes but
    /// is refused is logged and does not fail.
    pub fn apply_external(
        &self,
        daemon: &Daemon,
        external: &ExternalConfig,
        value: &Bytes,
    ) -> Result<()> {
        if decode_and_apply(daemon, external, value)? {
            *lock(&self.external) = CachedValue::Plain(value.clone());
        }
        Ok(())
    }

    /// Returns the configuration in force if its version is newer than that of `other`.
    fn config_after(&self, daemon: &Daemon, other: Stamp) -> Option<wire::Packed> {
        if daemon.config.stamp().version <= other.version {
            return None;
        }
        match &daemon.source {
            Source::Operators => Some(daemon.config.snapshot().pack()),
            Source::External(_) => Some(lock(&self.external).pack(daemon.config.stamp())),
        }
    }

    /// Returns a message with this daemon's own record, stamp and digest, without member records.
    fn summary(&self, daemon: &Daemon) -> wire::Exchange {
        let own = daemon.record();
        self.update_members(daemon, |registry, now| {
            registry.merge_reported(own.clone(), now)
        });
        wire::Exchange {
            sender: Some(own),
            stamp: Some(daemon.config.stamp().to_wire()),
            buckets: lock(&self.registry).buckets(),
            members: Vec::new(),
            config: None,
            wants: false,
        }
    }
}

/// Logs the arrival of a version that is newer than the one in force.
fn log_received(daemon: &Daemon, version: u64, origin: &str, len: usize) {
    let current = daemon.config.stamp().version;
    if version > current {
        event!(
            VersionReceived,
            version = version,
            from = origin,
            current = current,
            bytes = len
        );
    }
}

/// Increments the sequence of this daemon's record if a peer has removed it, so that its next record
/// outranks the removal.
fn refute_removal(daemon: &Daemon, record: &wire::Member) {
    if record.state() == MemberState::Gone && rank(record) >= rank(&daemon.record()) {
        event!(RemovalRefuted, sequence = record.sequence);
        daemon.increment_sequence();
    }
}

/// Decodes and applies a version of an externally managed configuration.
///
/// Returns false when it is not newer, or when it is refused; an invalid one is logged.
fn decode_and_apply(daemon: &Daemon, external: &ExternalConfig, value: &[u8]) -> Result<bool> {
    let previous = daemon.config.snapshot();
    let snapshot = (external.decode)(value, &previous)?;
    let Ok(applied) = daemon.config.apply(Arc::new(snapshot)) else {
        return Ok(false);
    };
    daemon.caught_up.store(true, Ordering::Relaxed);
    Ok(applied)
}

/// Runs an exchange with the daemon whose inbound listener has the address `peer`.
///
/// A second message follows when the peer's response asks for member records or the configuration.
/// Each message and its response are limited to the time `limit`.
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
    let wants = response.wants;
    let buckets = response.buckets.clone();
    state.merge(daemon, response);
    if wants {
        let mut more = state.summary(daemon);
        more.members = lock(&state.registry).records_for(&buckets);
        more.config = state.config_after(daemon, other);
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
    let mut received = BytesMut::new();
    let exchange = async {
        // Each exchange opens its own connection, so that an unresponsive one is never reused.
        let pool = BackendPool::new(peer);
        pool.set_limit(1);
        let mut request = Request::new(full_body(message.encode_to_vec()));
        *request.method_mut() = http::Method::POST;
        let headers = request.headers_mut();
        headers.insert(EXCHANGE, HeaderValue::from_static("1"));
        headers.insert(header::HOST, HeaderValue::from_static("inbound"));
        let response = pool.connection(Reuse::Never).await?.send(request).await?;
        let mut body = Limited::new(response.into_body(), MAX_FRAME_LEN);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|err| UpstreamError::Lost(peer, err.to_string()))?;
            received.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
        }
        Ok::<(), ExchangeError>(())
    };
    match tokio::time::timeout(limit, exchange).await {
        Ok(result) => result?,
        Err(_) => return Err(ExchangeError::TimedOut(peer, received.len())),
    }
    wire::Exchange::decode(received.freeze())
        .map_err(|err| ExchangeError::Unreadable(peer, err.to_string()))
}

async fn read(mut body: Body) -> Result<wire::Exchange, String> {
    let mut data = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| err.to_string())?;
        data.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
        if data.len() > MAX_FRAME_LEN {
            return Err(format!("longer than {MAX_FRAME_LEN} bytes"));
        }
    }
    wire::Exchange::decode(data).map_err(|err| err.to_string())
}

/// Serves a message of another daemon; responds with 400 when it is invalid or late.
pub async fn serve(daemon: &Daemon, request: Request<Body>) -> Response<Body> {
    let message = tokio::time::timeout(EXCHANGE_TIMEOUT, read(request.into_body())).await;
    let message = message.unwrap_or_else(|_| Err("not received in time".into()));
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
