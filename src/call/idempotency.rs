//! The record of `Idempotency-Key` headers at one inbound side.
//!
//! Each key belongs to one run of a call. A repeat with the same key joins that run while it is in
//! progress, and receives the stored response afterwards. A key is kept for [`KEY_TTL`]. Responses
//! longer than [`MAX_RESPONSE_LEN`], and the oldest ones beyond [`MAX_STORED_LEN`] in total, are
//! not kept; a repeat of such a call is refused as unknown.

use http::{HeaderMap, HeaderName, StatusCode};
use hyper::body::Bytes;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_128;

/// The request header that carries the idempotency key.
pub const KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// How long a key is kept; a repeat after that time runs again.
pub const KEY_TTL: Duration = Duration::from_mins(10);

/// Longest response body that is stored, in bytes.
pub const MAX_RESPONSE_LEN: usize = 64 * 1024;

/// Limit for all stored response bodies together, in bytes; the oldest are dropped beyond it.
pub const MAX_STORED_LEN: usize = 16 * 1024 * 1024;

/// Greatest number of keys. Beyond it, new keys are refused until others expire.
pub const MAX_KEYS: usize = 100_000;

/// The identity of an idempotency key: a hash of the service and the header value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyId(u128);

impl KeyId {
    /// Hashes the service's name and the key.
    #[must_use]
    pub fn new(service: &str, key: &[u8]) -> Self {
        let mut text = Vec::with_capacity(service.len() + 1 + key.len());
        text.extend_from_slice(service.as_bytes());
        text.push(0);
        text.extend_from_slice(key);
        KeyId(xxh3_128(&text))
    }

    /// Returns a daemon's weight for this key in rendezvous hashing: the daemon of the greatest
    /// weight owns the key.
    #[must_use]
    pub fn rendezvous_weight(self, daemon: &str) -> u128 {
        rendezvous_weight(self.0, daemon)
    }

    /// Returns the key as 32 hexadecimal digits, as sent between daemons.
    #[must_use]
    pub fn text(self) -> String {
        format!("{:032x}", self.0)
    }

    /// Parses a key as written by [`KeyId::text`].
    #[must_use]
    pub fn read(text: &str) -> Option<Self> {
        u128::from_str_radix(text, 16).ok().map(KeyId)
    }
}

/// Returns a daemon's weight for a hash in rendezvous hashing.
#[must_use]
pub fn rendezvous_weight(hash: u128, daemon: &str) -> u128 {
    let mut text = hash.to_be_bytes().to_vec();
    text.extend_from_slice(daemon.as_bytes());
    xxh3_128(&text)
}

/// A stored response.
#[derive(Clone, Debug)]
pub struct StoredResponse {
    /// The status code.
    pub status: StatusCode,
    /// The headers, as sent to the first caller.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// How the run of a call with a key ended.
#[derive(Clone, Debug)]
pub enum RunResult {
    /// The backend server returned this response.
    Responded(Arc<StoredResponse>),
    /// The backend server shed the call with this response and did not run it.
    Shed(Arc<StoredResponse>),
    /// It ran, or may have run, and its response is not stored or was lost.
    Unknown,
    /// The call did not run.
    NotRun,
}

/// How a call with a key proceeds.
#[derive(Debug)]
pub enum KeyDecision {
    /// It is the first with its key and runs.
    Run,
    /// The first run is still in progress; the receiver yields how it ends.
    Join(watch::Receiver<Option<RunResult>>),
    /// It receives the stored response of the first run.
    Respond(Arc<StoredResponse>),
    /// It is refused.
    Refuse(KeyError),
}

/// Why a call with a key is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The key was used for another request.
    #[error("idempotency key belongs to another request")]
    OtherRequest,
    /// The key was used, and the response of that run is not available.
    #[error("idempotency key was used before, and its answer is not kept")]
    Unknown,
    /// The record holds [`MAX_KEYS`] keys.
    #[error("too many idempotency keys")]
    Full,
}

/// The state of a key's run.
#[derive(Debug)]
enum State {
    Running(watch::Sender<Option<RunResult>>),
    /// It has ended, and its response is stored.
    Stored(Arc<StoredResponse>),
    /// It ran, or may have run, and its response is not stored.
    Unknown,
}

#[derive(Debug)]
struct Entry {
    /// Identifies the request that the key belongs to.
    digest: u128,
    state: State,
}

/// The keys of recent calls with the state of their runs.
#[derive(Debug, Default)]
pub struct Keys {
    entries: BTreeMap<KeyId, Entry>,
    /// Keys by the time when they were recorded, oldest first.
    order: VecDeque<(Instant, KeyId)>,
    /// Keys with a stored response, oldest first.
    stored: VecDeque<KeyId>,
    /// Length of all stored response bodies together, in bytes.
    stored_len: usize,
}

impl Keys {
    /// Begins a call with a key. A key that was used with a different `digest` belongs to another
    /// request and is refused.
    pub fn begin(&mut self, now: Instant, key: KeyId, digest: u128) -> KeyDecision {
        self.prune(now);
        if let Some(entry) = self.entries.get(&key) {
            if entry.digest != digest {
                return KeyDecision::Refuse(KeyError::OtherRequest);
            }
            return match &entry.state {
                State::Running(sender) => KeyDecision::Join(sender.subscribe()),
                State::Stored(stored) => KeyDecision::Respond(Arc::clone(stored)),
                State::Unknown => KeyDecision::Refuse(KeyError::Unknown),
            };
        }
        if self.entries.len() >= MAX_KEYS {
            return KeyDecision::Refuse(KeyError::Full);
        }
        let state = State::Running(watch::Sender::new(None));
        self.entries.insert(key, Entry { digest, state });
        self.order.push_back((now, key));
        KeyDecision::Run
    }

    /// Ends the run of a key. A key whose call did not run becomes free again.
    pub fn end(&mut self, key: KeyId, result: &RunResult) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        let state = match result {
            RunResult::Responded(stored) => {
                self.stored_len += stored.body.len();
                self.stored.push_back(key);
                State::Stored(Arc::clone(stored))
            }
            RunResult::Shed(_) | RunResult::Unknown | RunResult::NotRun => State::Unknown,
        };
        let previous = std::mem::replace(&mut entry.state, state);
        if let State::Running(sender) = previous {
            sender.send_replace(Some(result.clone()));
        }
        if matches!(result, RunResult::Shed(_) | RunResult::NotRun) {
            self.entries.remove(&key);
        }
        self.drop_oldest();
    }

    /// Tests whether a key is in the record.
    #[must_use]
    pub fn contains(&self, key: KeyId) -> bool {
        self.entries.contains_key(&key)
    }

    /// Drops the oldest stored responses beyond [`MAX_STORED_LEN`]; their keys are kept.
    fn drop_oldest(&mut self) {
        while self.stored_len > MAX_STORED_LEN
            && let Some(key) = self.stored.pop_front()
        {
            if let Some(entry) = self.entries.get_mut(&key)
                && let State::Stored(stored) = &entry.state
            {
                self.stored_len -= stored.body.len();
                entry.state = State::Unknown;
            }
        }
    }

    /// Removes the keys that are older than [`KEY_TTL`]; those whose runs are in progress are kept.
    fn prune(&mut self, now: Instant) {
        while let Some((recorded, key)) = self.order.front().copied()
            && now.saturating_duration_since(recorded) > KEY_TTL
        {
            self.order.pop_front();
            let entry = self.entries.get(&key);
            if let Some(State::Running(_)) = entry.map(|entry| &entry.state) {
                self.order.push_back((now, key));
                continue;
            }
            if let Some(State::Stored(stored)) = self.entries.remove(&key).map(|e| e.state) {
                self.stored_len -= stored.body.len();
            }
        }
        while let Some(key) = self.stored.front()
            && !self.entries.contains_key(key)
        {
            self.stored.pop_front();
        }
    }
}
