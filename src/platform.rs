//! Access to the platform's key-value service.
//!
//! [`Platform`] is the set of calls. [`Client`] makes them over HTTP, and a [`Dialect`] encodes
//! them for the protocol of a given service.

mod client;
mod dialect;
mod prefix_watcher;
mod rate_limit;
mod unreadable;

pub use client::{Client, ClientSettings};
pub use dialect::{Call, Dialect, HttpCall, JsonDialect, Reply, json_dialect};
pub use prefix_watcher::{KeyUpdate, PrefixWatcher};
pub use rate_limit::{CALLS_PER_SECOND, RETRIES_PER_SECOND, RateLimitedPlatform};
pub use unreadable::skip_unreadable;

use bytes::Bytes;
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::watch;

/// Maximum length of a value, in bytes.
pub const MAX_VALUE_LEN: usize = 1_000_000;

/// An error of a call to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// The platform could not be reached or did not carry out the call; the call had no effect.
    #[error("platform unavailable: {0}")]
    Unavailable(String),
    /// The response was lost: the call may have taken effect, or may still do so.
    #[error("platform response lost: {0}")]
    Unknown(String),
    /// The platform rejected the call as invalid, or the client did: its settings are invalid, the type
    /// of the response does not match the call, or the entry that was asked for cannot be read. Repeating
    /// the call does not help.
    #[error("platform rejected the call: {0}")]
    Refused(String),
}

/// A future returned by a [`Platform`].
pub type PlatformFuture<'a, T> =
    Pin<Box<dyn Future<Output = Result<T, PlatformError>> + Send + 'a>>;

/// A key with its value and revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value; empty in listings of keys only.
    pub value: Bytes,
    /// The service-wide revision that the last write of this key produced. Each write of any key
    /// increments the revision.
    pub revision: u64,
}

/// The keys below a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The keys found, in order.
    pub entries: Vec<Entry>,
    /// The revision of the service before the first key was read. Long listings are read in pages,
    /// so later changes may be partly included.
    pub revision: u64,
}

/// A change of a key, as returned by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyEvent {
    /// The key was written.
    Put(Entry),
    /// The key was deleted, or its lease ended.
    Deleted(String),
}

/// The result of a watch: the changes of keys below a prefix after a revision.
///
/// These are writes to the key-value service, not the changes that operators submit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// The changes in order; empty when the wait timed out.
    Events {
        /// The changes.
        events: Vec<KeyEvent>,
        /// The revision from which to continue.
        revision: u64,
    },
    /// The service has compacted the changes since that revision; the keys must be listed again.
    Forgotten,
}

/// The outcome of a compare-and-swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Swap {
    /// The key was written or deleted at this revision.
    Done(u64),
    /// The key had this revision instead of the expected one, zero if absent; nothing was written.
    Stale(u64),
}

/// The calls that baobabstage makes to the platform's key-value service.
pub trait Platform: Send + Sync {
    /// Reads a key; `None` when it is absent.
    fn get<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, Option<Entry>>;

    /// Lists the keys below a prefix in order, at most `limit` if not zero; values may be omitted
    /// if `keys_only` is set.
    fn list<'a>(
        &'a self,
        prefix: &'a str,
        keys_only: bool,
        limit: u32,
    ) -> PlatformFuture<'a, Listing>;

    /// Writes a key, or deletes it if `value` is `None`, provided that it has the expected
    /// revision; zero expects an absent key.
    ///
    /// A nonzero `lease` binds the key to that lease; the call is rejected if the lease has ended.
    fn swap<'a>(
        &'a self,
        key: &'a str,
        expected: u64,
        value: Option<Bytes>,
        lease: u64,
    ) -> PlatformFuture<'a, Swap>;

    /// Returns the changes later than revision `after` to the keys below a prefix; waits for up to
    /// `wait` if there are none yet.
    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
        wait: Duration,
    ) -> PlatformFuture<'a, Changes>;

    /// Starts a lease that expires after `ttl` unless it is renewed, and returns its id.
    fn grant(&self, ttl: Duration) -> PlatformFuture<'_, u64>;

    /// Renews a lease; false when it had expired.
    fn renew(&self, lease: u64) -> PlatformFuture<'_, bool>;

    /// Ends a lease, which deletes the keys bound to it.
    fn revoke(&self, lease: u64) -> PlatformFuture<'_, ()>;

    /// Returns a receiver of the number of times that the service was found restored from an older
    /// copy. What was read or written before may no longer hold: keys, leases and revisions of then
    /// may be gone, and the revisions are used again.
    fn restores(&self) -> watch::Receiver<u64>;
}
