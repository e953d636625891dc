//! The edge to the platform's key-value service.

mod budget;
mod client;
mod dialect;
mod follow;

pub use budget::{Budget, CALLS_PER_SECOND, RETRIES_PER_SECOND};
pub use client::{Client, ClientSettings};
pub use dialect::{Call, Dialect, Message, Plain, Reply, plain};
pub use follow::{Follower, News};

use bytes::Bytes;
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;
use thiserror::Error;

/// The greatest length of a value, in bytes.
pub const MAX_VALUE_LEN: usize = 1_000_000;

/// A fault at the platform's edge.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PlatformError {
    /// The call had no effect.
    #[error("platform unavailable: {0}")]
    Unavailable(String),
    /// The call may have taken effect, now or later.
    #[error("platform answer lost: {0}")]
    Unknown(String),
    /// The platform refused the call as wrong.
    #[error("platform refused the call: {0}")]
    Refused(String),
}

/// A future returned by a [`Platform`].
pub type Answer<'a, T> = Pin<Box<dyn Future<Output = Result<T, PlatformError>> + Send + 'a>>;

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value; empty in listings of keys only.
    pub value: Bytes,
    /// Counts up with each write to the service.
    pub revision: u64,
}

/// The keys below a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The keys found, in order.
    pub entries: Vec<Entry>,
    /// The revision of the service before the first key was read. Later changes may be in part
    /// included, since long listings are read in pages.
    pub revision: u64,
}

/// A change of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The key was written.
    Put(Entry),
    /// The key was deleted, or its lease has ended.
    Deleted(String),
}

/// What happened below a prefix after a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// These changes, in order; none when the time was up.
    Events {
        /// The changes.
        events: Vec<Event>,
        /// The revision to go on from.
        revision: u64,
    },
    /// The service no longer has changes that old; the keys must be listed anew.
    Forgotten,
}

/// The outcome of a compare-and-swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Swap {
    /// The key was written and has this revision.
    Done(u64),
    /// The key had this other revision; nothing was written.
    Stale(u64),
}

/// The calls that baobabstage makes to the platform's key-value service.
pub trait Platform: Send + Sync {
    /// Reads a key; `None` when it is absent.
    fn get<'a>(&'a self, key: &'a str) -> Answer<'a, Option<Entry>>;

    /// Lists the keys below a prefix, at most `limit` if not zero; values may be left out if
    /// `keys_only`.
    fn list<'a>(&'a self, prefix: &'a str, keys_only: bool, limit: u32) -> Answer<'a, Listing>;

    /// Writes a key (deletes it without a value) if it has the expected revision, zero for absent.
    ///
    /// A `lease` other than zero binds the key to that lease; the call is refused when the lease
    /// has ended.
    fn swap<'a>(
        &'a self,
        key: &'a str,
        expected: u64,
        value: Option<Bytes>,
        lease: u64,
    ) -> Answer<'a, Swap>;

    /// Waits until something below a prefix has changed after a revision, or until the time is up.
    fn changes<'a>(&'a self, prefix: &'a str, after: u64, wait: Duration) -> Answer<'a, Changes>;

    /// Starts a lease and returns its number.
    fn grant(&self, ttl: Duration) -> Answer<'_, u64>;

    /// Extends a lease; false when it had lapsed.
    fn renew(&self, lease: u64) -> Answer<'_, bool>;

    /// Ends a lease.
    fn revoke(&self, lease: u64) -> Answer<'_, ()>;
}
