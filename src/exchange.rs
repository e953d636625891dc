//! What two daemons tell each other, to find out what each has missed.
//!
//! A daemon asks a random peer now and then, and at once when a call or an answer states a newer
//! version than its own. Versions and records carry numbers that only go up, so it does no harm
//! when an exchange comes twice, late, or from a daemon that knows less.

use crate::call::upstream::{BackendPool, Reuse, UpstreamError};
use crate::call::{EXCHANGE, number};
use crate::daemon::Daemon;
use crate::error::{Category, Error, Result};
use crate::event;
use crate::generated::mesh as wire;
use crate::member::book::Book;
use crate::serve::{Body, full};
use crate::site::{Given, Source};
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

/// Time for one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A fault of an exchange with another daemon.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The other daemon did not answer.
    #[error("{0}")]
    Peer(#[from] UpstreamError),
    /// The other daemon did not answer in time.
    #[error("{0} did not answer in time")]
    Late(SocketAddr),
    /// What it said cannot be read.
    #[error("{0} sent an exchange that cannot be read: {1}")]
    Unreadable(SocketAddr, String),
}

/// A newer version that was heard of, and who has it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Hint {
    /// The version.
    pub version: u64,
    /// A daemon that has it, if it is known.
    pub holder: Option<SocketAddr>,
}

/// What this daemon has learned from the platform and from its peers.
#[derive(Default)]
pub struct Knowledge {
    book: Mutex<Book>,
    /// The value of the configuration in force, where others write it.
    given: Mutex<Held>,
    hint: watch::Sender<Hint>,
    /// When a peer last asked or answered.
    heard: Mutex<Option<Instant>>,
    /// Whether the platform has been asked for the members once.
    asked: watch::Sender<bool>,
}

/// A value that peers ask for, compressed once it has been asked for.
enum Held {
    Plain(Bytes),
    Packed(wire::Packed),
}

impl Held {
    /// Compresses the value, which is that of a version.
    fn pack(&mut self, stamp: Stamp) -> wire::Packed {
        if let Held::Plain(value) = self {
            *self = Held::Packed(wire::Packed {
                stamp: Some(stamp.to_wire()),
                data: zlib::compress(value).into(),
                length: value.len() as u64,
            });
        }
        match self {
            Held::Packed(packed) => packed.clone(),
            Held::Plain(_) => wire::Packed::default(),
        }
    }
}

impl Default for Held {
    fn default() -> Self {
        Held::Plain(Bytes::new())
    }
}

impl Knowledge {
    /// Returns the part of a daemon.
    #[must_use]
    pub fn of(daemon: &Daemon) -> Arc<Knowledge> {
        daemon.part(Knowledge::default)
    }

    /// Returns a receiver that wakes when a newer version is heard of.
    #[must_use]
    pub fn hints(&self) -> watch::Receiver<Hint> {
        self.hint.subscribe()
    }

    /// Returns the newest version that is in force here or that was heard of.
    #[must_use]
    pub fn newest_heard(&self, daemon: &Daemon) -> u64 {
        let heard = self.hint.borrow().version;
        heard.max(daemon.config.stamp().version)
    }

    /// Notes that the platform has been asked for the members, whether it answered or not.
    pub fn note_asked(&self) {
        self.asked.send_replace(true);
    }

    /// Waits until the platform has been asked for the members.
    pub async fn asked(&self) {
        // The sender lives as long as `self`.
        let _ = self.asked.subscribe().wait_for(|asked| *asked).await;
    }

    /// Tests whether a peer has asked or answered within a time.
    #[must_use]
    pub fn heard_within(&self, time: Duration) -> bool {
        lock(&self.heard).is_some_and(|at| at.elapsed() <= time)
    }

    /// Changes the members, and puts the fleet in force when something has changed.
    pub fn change(&self, daemon: &Daemon, change: impl FnOnce(&mut Book, Instant) -> bool) {
        let mut book = lock(&self.book);
        if change(&mut book, Instant::now()) {
            daemon.fleet.replace(book.fleet());
        }
    }

    /// Notes the version in force at another daemon.
    pub fn hear_version(&self, daemon: &Daemon, headers: &HeaderMap, holder: Option<SocketAddr>) {
        let Some(version) = number(headers, &crate::call::VERSION) else {
            return;
        };
        if version <= daemon.config.stamp().version {
            return;
        }
        self.hint.send_if_modified(|hint| {
            let newer = version > hint.version;
            if newer {
                *hint = Hint { version, holder };
            }
            newer
        });
    }

    /// Answers another daemon.
    pub fn answer(&self, daemon: &Daemon, asked: wire::Exchange) -> wire::Exchange {
        let wants = asked.wants;
        let other = Stamp::from_wire(asked.stamp.as_ref());
        let digest = asked.digest;
        let told = !asked.members.is_empty();
        self.take(daemon, asked);
        let mut answer = self.greet(daemon);
        let differs = answer.digest != digest;
        if differs || wants {
            answer.members = lock(&self.book).records();
        }
        let mine = daemon.config.stamp();
        answer.config = self.config_after(daemon, other);
        answer.wants = differs && !told || other.version > mine.version;
        answer
    }

    /// Takes in what another daemon said.
    fn take(&self, daemon: &Daemon, said: wire::Exchange) {
        *lock(&self.heard) = Some(Instant::now());
        self.change(daemon, |book, now| {
            let mut changed = false;
            for record in said.members.into_iter().chain(said.sender) {
                if record.name != daemon.identity.name && !record.name.is_empty() {
                    changed |= book.hear(record, now);
                }
            }
            changed
        });
        if let Some(packed) = said.config
            && let Err(err) = self.take_config(daemon, &packed)
        {
            event!(SnapshotUnreadable, error = err);
        }
    }

    fn take_config(&self, daemon: &Daemon, packed: &wire::Packed) -> Result<()> {
        match &daemon.source {
            Source::Own => {
                let snapshot = Snapshot::unpack(packed)?;
                daemon.config.apply(Arc::new(snapshot)).map(drop)
            }
            Source::Given(given) => {
                let value = zlib::decompress(&packed.data, MAX_SNAPSHOT_LEN);
                let value = value.map_err(|err| Error::new(Category::Input, err))?;
                if put_in_force(daemon, given, &value)? {
                    *lock(&self.given) = Held::Packed(packed.clone());
                }
                Ok(())
            }
        }
    }

    /// Puts a version in force that others wrote, unless it is older than the one in force.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be read; nothing is changed then. A version that is read but not valid
    /// is logged where it is refused.
    pub fn take_given(&self, daemon: &Daemon, given: &Given, value: &Bytes) -> Result<()> {
        if put_in_force(daemon, given, value)? {
            *lock(&self.given) = Held::Plain(value.clone());
        }
        Ok(())
    }

    /// Returns the configuration in force when it is newer than a stamp.
    fn config_after(&self, daemon: &Daemon, other: Stamp) -> Option<wire::Packed> {
        if daemon.config.stamp().version <= other.version {
            return None;
        }
        match &daemon.source {
            Source::Own => Some(daemon.config.snapshot().pack()),
            Source::Given(_) => Some(lock(&self.given).pack(daemon.config.stamp())),
        }
    }

    fn greet(&self, daemon: &Daemon) -> wire::Exchange {
        let own = daemon.record();
        self.change(daemon, |book, now| book.hear(own.clone(), now));
        wire::Exchange {
            sender: Some(own),
            stamp: Some(daemon.config.stamp().to_wire()),
            digest: lock(&self.book).digest(),
            members: Vec::new(),
            config: None,
            wants: false,
        }
    }
}

/// Puts a version in force; returns false when it is not newer or not valid, which is logged.
fn put_in_force(daemon: &Daemon, given: &Given, value: &[u8]) -> Result<bool> {
    let before = daemon.config.snapshot();
    let snapshot = (given.decode)(value, &before)?;
    let Ok(applied) = daemon.config.apply(Arc::new(snapshot)) else {
        return Ok(false);
    };
    daemon.caught_up.store(true, Ordering::Relaxed);
    Ok(applied)
}

/// Exchanges with the daemon whose inbound side listens at an address.
///
/// # Errors
///
/// Fails when it does not answer; nothing is changed then.
pub async fn with_peer(daemon: &Daemon, peer: SocketAddr) -> Result<(), ExchangeError> {
    let knowledge = Knowledge::of(daemon);
    let answer = ask(peer, knowledge.greet(daemon)).await?;
    let other = Stamp::from_wire(answer.stamp.as_ref());
    let wants = answer.wants;
    knowledge.take(daemon, answer);
    if wants {
        let mut more = knowledge.greet(daemon);
        more.members = lock(&knowledge.book).records();
        more.config = knowledge.config_after(daemon, other);
        let answer = ask(peer, more).await?;
        knowledge.take(daemon, answer);
    }
    Ok(())
}

async fn ask(peer: SocketAddr, said: wire::Exchange) -> Result<wire::Exchange, ExchangeError> {
    let exchange = async {
        // A connection of its own for each, so that one that went silent is never used again.
        let pool = BackendPool::new(peer);
        pool.set_limit(1);
        let mut request = Request::new(full(said.encode_to_vec()));
        *request.method_mut() = http::Method::POST;
        let headers = request.headers_mut();
        headers.insert(EXCHANGE, HeaderValue::from_static("1"));
        headers.insert(header::HOST, HeaderValue::from_static("inbound"));
        let answer = pool.connection(Reuse::Never).await?.send(request).await?;
        let body = Limited::new(answer.into_body(), MAX_FRAME_LEN)
            .collect()
            .await;
        let body = body.map_err(|err| UpstreamError::Lost(peer, err.to_string()))?;
        wire::Exchange::decode(body.to_bytes())
            .map_err(|err| ExchangeError::Unreadable(peer, err.to_string()))
    };
    let answer = tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await;
    answer.unwrap_or(Err(ExchangeError::Late(peer)))
}

async fn read(mut body: Body) -> Result<wire::Exchange, String> {
    let mut data = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| err.to_string())?;
        data.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
        if data.len() > MAX_FRAME_LEN {
            return Err("longer than allowed".into());
        }
    }
    wire::Exchange::decode(data).map_err(|err| err.to_string())
}

/// Answers an exchange that another daemon has begun.
pub async fn serve(daemon: &Daemon, request: Request<Body>) -> Response<Body> {
    let asked = tokio::time::timeout(EXCHANGE_TIMEOUT, read(request.into_body())).await;
    let asked = asked.unwrap_or_else(|_| Err("not sent in time".into()));
    let mut answer = match asked {
        Ok(asked) => {
            let said = Knowledge::of(daemon).answer(daemon, asked);
            Response::new(full(said.encode_to_vec()))
        }
        Err(err) => {
            event!(ExchangeFailed, error = err);
            let mut answer = Response::new(full(""));
            *answer.status_mut() = StatusCode::BAD_REQUEST;
            answer
        }
    };
    // One exchange a connection.
    let close = HeaderValue::from_static("close");
    answer.headers_mut().insert(header::CONNECTION, close);
    answer
}
