//! The edge to the platform's key-value service.

mod budget;
mod client;

pub use budget::{Budget, CALLS_PER_SECOND, RETRIES_PER_SECOND};
pub use client::{Client, ClientSettings};

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

    /// Lists the keys below a prefix, without values if `keys_only`, at most `limit` if not zero.
    fn list<'a>(&'a self, prefix: &'a str, keys_only: bool, limit: u32) -> Answer<'a, Vec<Entry>>;

    /// Writes a key (deletes it without a value) if it has the expected revision, zero for absent.
    ///
    /// A `lease` other than zero binds the key to that lease.
    fn swap<'a>(
        &'a self,
        key: &'a str,
        expected: u64,
        value: Option<Bytes>,
        lease: u64,
    ) -> Answer<'a, Swap>;

    /// Waits until a key has a revision other than `seen`, or until the time is up.
    fn watch<'a>(&'a self, key: &'a str, seen: u64, timeout: Duration)
    -> Answer<'a, Option<Entry>>;

    /// Starts a lease and returns its number.
    fn grant(&self, ttl: Duration) -> Answer<'_, u64>;

    /// Extends a lease; false when it had lapsed.
    fn renew(&self, lease: u64) -> Answer<'_, bool>;

    /// Ends a lease.
    fn revoke(&self, lease: u64) -> Answer<'_, ()>;
}
