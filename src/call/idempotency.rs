//! The record of `Idempotency-Key` headers at one inbound side.
//!
//! A key belongs to one run. A repeat joins that run or gets its answer again. Each key is kept for
//! [`KEY_TIME`]; long answers and those beyond [`MAX_KEPT_LEN`] are not kept, and a repeat of such a
//! call is refused as unknown.

use http::{HeaderMap, HeaderName, StatusCode};
use hyper::body::Bytes;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_128;

/// The header that names a key.
pub const KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// The time for which a key is kept.
pub const KEY_TIME: Duration = Duration::from_mins(10);

/// The greatest length of an answer that is kept, in bytes.
pub const MAX_ANSWER_LEN: usize = 64 * 1024;

/// The greatest length of all answers that are kept, in bytes.
pub const MAX_KEPT_LEN: usize = 16 * 1024 * 1024;

/// The greatest number of keys. No key is taken beyond it until others have aged.
pub const MAX_KEYS: usize = 100_000;

/// A key of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyId(u128);

impl KeyId {
    /// Makes the identity of a key.
    #[must_use]
    pub fn new(service: &str, key: &[u8]) -> Self {
        let mut text = Vec::with_capacity(service.len() + 1 + key.len());
        text.extend_from_slice(service.as_bytes());
        text.push(0);
        text.extend_from_slice(key);
        KeyId(xxh3_128(&text))
    }

    /// Rates a daemon for this key; the key belongs to the daemon of greatest rating.
    #[must_use]
    pub fn rating(self, daemon: &str) -> u128 {
        let mut text = self.0.to_be_bytes().to_vec();
        text.extend_from_slice(daemon.as_bytes());
        xxh3_128(&text)
    }

    /// Returns the key as text.
    #[must_use]
    pub fn text(self) -> String {
        format!("{:032x}", self.0)
    }

    /// Reads a key from text.
    #[must_use]
    pub fn read(text: &str) -> Option<Self> {
        u128::from_str_radix(text, 16).ok().map(KeyId)
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Kept {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// How the run of a key ended.
#[derive(Clone, Debug)]
pub enum Ending {
    /// With this answer.
    Answered(Arc<Kept>),
    /// The backend server refused it with this answer.
    Shed(Arc<Kept>),
    /// It ran, and its answer is not kept or not known.
    Unknown,
    /// It did not run.
    NotRun,
}

/// What becomes of a call with a key.
#[derive(Debug)]
pub enum Begin {
    /// It runs.
    Run,
    /// The first run is still under way; its ending is told here.
    Join(watch::Receiver<Option<Ending>>),
    /// The first run's answer.
    Answer(Arc<Kept>),
    /// It is refused.
    Refuse(KeyError),
}

/// Why a call with a key is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The key was used for another request.
    #[error("idempotency key belongs to another request")]
    OtherRequest,
    /// The first run's answer is not known any more.
    #[error("idempotency key was used before, and its answer is not kept")]
    Unknown,
    /// The record is full.
    #[error("too many idempotency keys")]
    Full,
}

#[derive(Debug)]
enum State {
    Running(watch::Sender<Option<Ending>>),
    Answered(Arc<Kept>),
    Unknown,
}

#[derive(Debug)]
struct Entry {
    digest: u128,
    state: State,
}

/// The keys of recent calls.
#[derive(Debug, Default)]
pub struct Keys {
    entries: BTreeMap<KeyId, Entry>,
    order: VecDeque<(Instant, KeyId)>,
    /// Keys with an answer, oldest first.
    answered: VecDeque<KeyId>,
    kept_len: usize,
}

impl Keys {
    /// Begins a call. `digest` tells different requests apart.
    pub fn begin(&mut self, now: Instant, key: KeyId, digest: u128) -> Begin {
        self.prune(now);
        if let Some(entry) = self.entries.get(&key) {
            if entry.digest != digest {
                return Begin::Refuse(KeyError::OtherRequest);
            }
            return match &entry.state {
                State::Running(sender) => Begin::Join(sender.subscribe()),
                State::Answered(kept) => Begin::Answer(Arc::clone(kept)),
                State::Unknown => Begin::Refuse(KeyError::Unknown),
            };
        }
        if self.entries.len() >= MAX_KEYS {
            return Begin::Refuse(KeyError::Full);
        }
        let state = State::Running(watch::Sender::new(None));
        self.entries.insert(key, Entry { digest, state });
        self.order.push_back((now, key));
        Begin::Run
    }

    /// Ends the run of a key. A key whose call did not run is free again.
    pub fn end(&mut self, key: KeyId, ending: &Ending) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        let state = match ending {
            Ending::Answered(kept) => {
                self.kept_len += kept.body.len();
                self.answered.push_back(key);
                State::Answered(Arc::clone(kept))
            }
            Ending::Shed(_) | Ending::Unknown | Ending::NotRun => State::Unknown,
        };
        let before = std::mem::replace(&mut entry.state, state);
        if let State::Running(sender) = before {
            sender.send_replace(Some(ending.clone()));
        }
        if matches!(ending, Ending::Shed(_) | Ending::NotRun) {
            self.entries.remove(&key);
        }
        self.drop_answers();
    }

    /// Tests whether a key is in the record.
    #[must_use]
    pub fn knows(&self, key: KeyId) -> bool {
        self.entries.contains_key(&key)
    }

    /// Drops the oldest answers beyond the greatest length; their keys stay.
    fn drop_answers(&mut self) {
        while self.kept_len > MAX_KEPT_LEN
            && let Some(key) = self.answered.pop_front()
        {
            if let Some(entry) = self.entries.get_mut(&key)
                && let State::Answered(kept) = &entry.state
            {
                self.kept_len -= kept.body.len();
                entry.state = State::Unknown;
            }
        }
    }

    fn prune(&mut self, now: Instant) {
        while let Some((noted, key)) = self.order.front().copied()
            && now.saturating_duration_since(noted) > KEY_TIME
        {
            self.order.pop_front();
            let entry = self.entries.get(&key);
            if let Some(State::Running(_)) = entry.map(|entry| &entry.state) {
                self.order.push_back((now, key));
                continue;
            }
            if let Some(State::Answered(kept)) = self.entries.remove(&key).map(|e| e.state) {
                self.kept_len -= kept.body.len();
            }
        }
        while let Some(key) = self.answered.front()
            && !self.entries.contains_key(key)
        {
            self.answered.pop_front();
        }
    }
}
