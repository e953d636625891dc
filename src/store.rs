//! The accepted versions in the platform: reading versions and accepting changes.
//!
//! A version's snapshot, log page and change record are immutable and written first. Then one
//! compare-and-swap of `head` makes all of them visible atomically. Any daemon may accept changes
//! at any time, without coordination.

mod accept;
mod prune;

use crate::change::{Applied, Change};
use crate::error::{Category, Error, Result};
use crate::generated::mesh as wire;
use crate::platform::{Changes, Entry, KeyEvent, Platform, PlatformError};
use crate::snapshot::{Snapshot, Stamp};
use prost::Message;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// The key whose value names the newest accepted version.
pub const HEAD_KEY: &str = "head";

/// Key prefixes of the immutable values: snapshot chunks, log pages and change records.
const SNAPSHOTS: &str = "snapshot/";
const LOGS: &str = "log/";
const CHANGES: &str = "change/";

/// Number of newest versions whose snapshots and log pages are retained.
pub const RETAINED_VERSIONS: u64 = 64;

/// Number of newest changes retained in the log, to detect repeated submissions and for reverts.
pub const RETAINED_CHANGES: usize = 1_024;

/// The outcome of submitting a change.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The change is accepted as this version.
    Accepted {
        /// The version that the change made.
        version: u64,
        /// Whether it had already been accepted before this call.
        repeated: bool,
    },
    /// The change was not accepted, for this reason.
    Refused(Error),
    /// It is unknown whether the change was or will be accepted.
    Unknown(Error),
}

/// The value of `head`, which names the newest accepted version.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    /// The decoded value.
    pub record: wire::Head,
    /// The revision of the key; zero if no version has been accepted yet.
    pub revision: u64,
}

impl Head {
    /// Returns the stamp, which is the version and its content hash.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        Stamp::from_wire(self.record.stamp.as_ref())
    }

    fn from_entry(entry: Option<Entry>) -> Result<Self> {
        let Some(entry) = entry else {
            let record = wire::Head::default();
            return Ok(Head {
                record,
                revision: 0,
            });
        };
        let record = decode(HEAD_KEY, &entry.value)?;
        let revision = entry.revision;
        Ok(Head { record, revision })
    }
}

/// Reads accepted versions and accepts changes.
pub struct Store {
    platform: Arc<dyn Platform>,
    /// The newest version that this daemon has read or accepted.
    newest: watch::Sender<Arc<Snapshot>>,
    /// Locked while old values are deleted, so that at most one pruning runs at a time.
    pruning: Arc<tokio::sync::Mutex<()>>,
}

impl Store {
    /// Creates a store on a platform.
    #[must_use]
    pub fn new(platform: Arc<dyn Platform>) -> Self {
        Store {
            platform,
            newest: watch::Sender::default(),
            pruning: Arc::default(),
        }
    }

    /// Returns the underlying platform.
    #[must_use]
    pub fn platform(&self) -> &Arc<dyn Platform> {
        &self.platform
    }

    /// Returns a receiver of the newest version that this daemon has read or accepted.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.newest.subscribe()
    }

    /// Reads `head`.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Unavailable`] when the platform does not respond.
    pub async fn head(&self) -> Result<Head> {
        let entry = self.platform.get(HEAD_KEY).await.map_err(from_platform)?;
        Head::from_entry(entry)
    }

    /// Waits until the revision of `head` differs from `seen_revision`, or until the timeout, and
    /// returns `head`.
    ///
    /// # Errors
    ///
    /// Fails as [`Store::head`] does.
    pub async fn watch(&self, seen_revision: u64, timeout: Duration) -> Result<Head> {
        let changes = self
            .platform
            .changes(HEAD_KEY, seen_revision, timeout)
            .await;
        if let Changes::Events { events, .. } = changes.map_err(from_platform)? {
            let put = events.into_iter().rev().find_map(|event| match event {
                KeyEvent::Put(entry) if entry.key == HEAD_KEY => Some(entry),
                _ => None,
            });
            if put.is_some() {
                return Head::from_entry(put);
            }
        }
        self.head().await
    }

    /// Reads the snapshot that a head names.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Missing`] when a value is absent, which means that the version was
    /// pruned and `head` must be read again, and with [`Category::Conflict`] when the hash does not
    /// match.
    pub async fn load(&self, head: &Head) -> Result<Arc<Snapshot>> {
        let stamp = head.stamp();
        let cached = self.cached();
        if cached.stamp() == stamp {
            return Ok(cached);
        }
        if let Some(snapshot) = self.load_from_change(head, &cached).await {
            self.cache(&snapshot);
            return Ok(snapshot);
        }
        let mut data = Vec::new();
        for chunk in 0..head.record.chunks {
            let key = chunk_key(stamp, chunk);
            let entry = self.platform.get(&key).await.map_err(from_platform)?;
            let entry = entry.ok_or_else(|| missing_key(&key))?;
            data.extend_from_slice(&entry.value);
        }
        let snapshot = Arc::new(Snapshot::decode(&data)?);
        if snapshot.stamp() != stamp {
            let message = format!("snapshot {stamp} decodes to {}", snapshot.stamp());
            return Err(Error::new(Category::Conflict, message));
        }
        self.cache(&snapshot);
        Ok(snapshot)
    }

    /// Builds the next version from `base` and the change record, which is much shorter than a
    /// snapshot; `None` if it is not the next version or the hash does not match.
    async fn load_from_change(&self, head: &Head, base: &Snapshot) -> Option<Arc<Snapshot>> {
        let stamp = head.stamp();
        if base.version() + 1 != stamp.version {
            return None;
        }
        let record: wire::ChangeRecord = self.record(&change_key(stamp)).await.ok()?;
        let mut delta = wire::Delta {
            base: Some(base.stamp().to_wire()),
            stamp: Some(stamp.to_wire()),
            change: record.change,
            ..wire::Delta::default()
        };
        for effect in record.effects {
            let (kind, name) = (effect.kind, effect.name);
            match effect.after {
                Some(body) => delta.upserts.push(wire::Resource {
                    kind,
                    name,
                    revision: stamp.version,
                    body,
                }),
                None => delta.removals.push(wire::ResourceKey { kind, name }),
            }
        }
        base.apply_delta(delta).ok().map(Arc::new)
    }

    /// Reads the newest accepted version with its head.
    ///
    /// # Errors
    ///
    /// Fails as [`Store::load`] does.
    pub async fn newest(&self) -> Result<(Head, Arc<Snapshot>)> {
        let head = self.head().await?;
        let snapshot = self.load(&head).await?;
        Ok((head, snapshot))
    }

    /// Reads the log of accepted changes, oldest first.
    ///
    /// # Errors
    ///
    /// Fails as [`Store::load`] does.
    pub async fn log(&self, head: &Head) -> Result<wire::LogPage> {
        if head.revision == 0 {
            return Ok(wire::LogPage::default());
        }
        self.record(&head.record.log).await
    }

    /// Reads the effects of an accepted change.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Missing`] when the change is not in the log.
    pub async fn change_record(&self, id: &str) -> Result<wire::ChangeRecord> {
        let head = self.head().await?;
        let log = self.log(&head).await?;
        let entry = log.entries.iter().find(|entry| entry.change == id);
        let entry = entry.ok_or_else(|| {
            Error::new(Category::Missing, format!("change {id} is not in the log"))
        })?;
        self.record(&entry.record).await
    }

    /// Applies a change to the newest version without accepting it.
    ///
    /// # Errors
    ///
    /// Fails as [`Change::apply`] and [`Store::load`] do.
    pub async fn check(&self, change: &Change) -> Result<Applied> {
        let (head, base) = self.newest().await?;
        match change.apply(&base) {
            Ok(applied) => Ok(applied),
            Err(err) => Err(self.explain_refusal(&head, change, err).await),
        }
    }

    /// Returns the version that a change made, if it is in the log. Without a `digest`, the id
    /// alone identifies the change.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Conflict`] when the id was used by a change with another digest.
    pub async fn find(&self, head: &Head, id: &str, digest: Option<u128>) -> Result<Option<u64>> {
        let log = self.log(head).await?;
        find_change(&log, id, digest)
    }

    /// Reads and decodes the value of a key.
    async fn record<T: Message + Default>(&self, key: &str) -> Result<T> {
        let entry = self.platform.get(key).await.map_err(from_platform)?;
        let entry = entry.ok_or_else(|| missing_key(key))?;
        decode(key, &entry.value)
    }

    /// Adds the id of the intervening change to a conflict, if the log can be read.
    async fn explain_refusal(&self, head: &Head, change: &Change, err: Error) -> Error {
        let base = self.cached();
        match self.log(head).await {
            Ok(log) => explain_conflict(&log, change, &base, err),
            Err(_) => err,
        }
    }

    fn cached(&self) -> Arc<Snapshot> {
        Arc::clone(&self.newest.borrow())
    }

    /// Caches a version if it is newer than the cached one, so that it need not be read from the
    /// platform, and notifies the receivers of [`Store::subscribe`].
    pub fn cache(&self, snapshot: &Arc<Snapshot>) {
        self.newest.send_if_modified(|newest| {
            let newer = newest.version() < snapshot.version();
            if newer {
                *newest = Arc::clone(snapshot);
            }
            newer
        });
    }
}

/// Adds the id of the intervening change to a conflict; other errors stay as they are.
fn explain_conflict(log: &wire::LogPage, change: &Change, base: &Snapshot, err: Error) -> Error {
    if err.category() != Category::Conflict {
        return err;
    }
    let stale = change.operations().iter().find_map(|op| {
        let revision = base.resources().get(&op.key)?.revision;
        (op.based_on.is_some_and(|based_on| based_on != revision)).then_some(revision)
    });
    let entry = stale.and_then(|revision| {
        let version = |entry: &&wire::LogEntry| entry.stamp.as_ref().map(|s| s.version);
        log.entries
            .iter()
            .find(|entry| version(entry) == Some(revision))
    });
    match entry {
        Some(entry) => {
            let message = format!("{err}; changed by change {}", entry.change);
            err.with_message(message)
        }
        None => err,
    }
}

/// Returns the version that a change in the log made; see [`Store::find`].
fn find_change(log: &wire::LogPage, id: &str, digest: Option<u128>) -> Result<Option<u64>> {
    let Some(entry) = log.entries.iter().find(|entry| entry.change == id) else {
        return Ok(None);
    };
    if let Some(digest) = digest
        && entry.digest.as_ref() != digest.to_be_bytes()
    {
        let message = format!("change id {id} was already used by another change");
        return Err(Error::new(Category::Conflict, message));
    }
    Ok(entry.stamp.as_ref().map(|stamp| stamp.version))
}

/// Returns the key of the record of the change that made a version.
fn change_key(stamp: Stamp) -> String {
    format!("{CHANGES}{:012}/{stamp}", stamp.version)
}

/// Returns the key of one chunk of a snapshot.
fn chunk_key(stamp: Stamp, chunk: u32) -> String {
    let Stamp { version, hash } = stamp;
    format!("{SNAPSHOTS}{version:012}/{hash:032x}/{chunk}")
}

fn decode<T: Message + Default>(key: &str, value: &[u8]) -> Result<T> {
    T::decode(value).map_err(|err| {
        let message = format!("failed to decode value of {key}: {err}");
        Error::new(Category::Internal, message)
    })
}

/// Returns the error for a key that a head or a log entry names but that is absent.
fn missing_key(key: &str) -> Error {
    Error::new(
        Category::Missing,
        format!("key {key} does not exist in the platform"),
    )
}

fn from_platform(err: PlatformError) -> Error {
    let category = match &err {
        PlatformError::Unavailable(_) => Category::Unavailable,
        PlatformError::Unknown(_) => Category::Unknown,
        PlatformError::Refused(_) => Category::Input,
    };
    Error::new(category, err)
}
