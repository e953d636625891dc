//! Rate limits for the calls of one process to the platform.

use super::{Changes, Entry, Listing, Platform, PlatformError, PlatformFuture, Swap};
use crate::event;
use crate::sync::lock;
use crate::tree::backoff::{TokenBucket, jitter};
use bytes::Bytes;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Maximum number of calls of a process per second; the burst is the calls of one second.
pub const CALLS_PER_SECOND: u32 = 50;

/// Maximum number of repeated reads of a process per second; the burst is the retries of one
/// second.
pub const RETRIES_PER_SECOND: u32 = 5;

/// Maximum random delay before a failed read is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// A platform with a rate limit that all roles of the process share.
///
/// A call beyond the limit waits for a token, for at most the configured wait limit; then it fails
/// as unavailable, without effect. A failed read is repeated once within the retry limit. A write
/// is never repeated here.
pub struct RateLimitedPlatform {
    inner: Arc<dyn Platform>,
    wait_limit: Duration,
    /// Time for which the response to a watch may be late; longer than any watch if not set.
    watch_margin: Duration,
    buckets: Mutex<Buckets>,
    /// Whether the last call failed because the platform did not respond.
    failing: AtomicBool,
    /// Incremented when the platform responds again after a failure.
    recovered: watch::Sender<u64>,
}

struct Buckets {
    calls: TokenBucket,
    retries: TokenBucket,
}

impl RateLimitedPlatform {
    /// Limits the calls to a platform; a call waits for a token for at most `wait_limit`.
    #[must_use]
    pub fn new(inner: Arc<dyn Platform>, wait_limit: Duration) -> Self {
        let now = Instant::now();
        RateLimitedPlatform {
            inner,
            wait_limit,
            watch_margin: Duration::MAX,
            buckets: Mutex::new(Buckets {
                calls: TokenBucket::new(CALLS_PER_SECOND, now),
                retries: TokenBucket::new(RETRIES_PER_SECOND, now),
            }),
            failing: AtomicBool::new(false),
            recovered: watch::Sender::default(),
        }
    }

    /// Sets the time for which the response to a watch may be late. After that the connection counts as dead and
    /// the watch fails as unavailable.
    ///
    /// A watch whose wait is no longer than `margin` has the time limit of the inner platform, so that one that
    /// follows a failed one succeeds where all responses are slow.
    #[must_use]
    pub fn with_watch_margin(self, margin: Duration) -> Self {
        RateLimitedPlatform {
            watch_margin: margin,
            ..self
        }
    }

    /// Returns a receiver that is notified when the platform responds again after a failure.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.recovered.subscribe()
    }

    /// Waits for a token for a call.
    async fn wait_for_token(&self) -> Result<(), PlatformError> {
        let deadline = Instant::now() + self.wait_limit;
        let taken = timeout_at(deadline, async {
            while let Some(wait) = self.take_token() {
                sleep(wait).await;
            }
        });
        let exceeded = |_| PlatformError::Unavailable("rate limit of this process exceeded".into());
        taken.await.map_err(exceeded)
    }

    /// Takes a token, or returns the time to wait for one.
    fn take_token(&self) -> Option<Duration> {
        let mut buckets = lock(&self.buckets);
        let taken = buckets.calls.take(Instant::now());
        (!taken).then(|| buckets.calls.time_until_next())
    }

    /// Takes a retry token; false if none is available.
    fn may_retry(&self) -> bool {
        lock(&self.buckets).retries.take(Instant::now())
    }

    /// Makes a call once a token is available. Its future is not created before that, since a
    /// platform may start a call when its future is created.
    async fn write<'a, T>(
        &'a self,
        call: impl FnOnce() -> PlatformFuture<'a, T>,
    ) -> Result<T, PlatformError> {
        self.wait_for_token().await?;
        let result = call().await;
        self.record_result(result.as_ref().err());
        result
    }

    /// Makes a read-only call once a token is available, and repeats it once if it failed as
    /// unavailable.
    async fn read<'a, T>(
        &'a self,
        call: impl Fn() -> PlatformFuture<'a, T>,
    ) -> Result<T, PlatformError> {
        self.wait_for_token().await?;
        let mut result = call().await;
        if matches!(result, Err(PlatformError::Unavailable(_))) && self.may_retry() {
            sleep(jitter(RETRY_DELAY)).await;
            self.wait_for_token().await?;
            result = call().await;
        }
        self.record_result(result.as_ref().err());
        result
    }

    /// Logs when the platform stops responding, and when it responds again.
    fn record_result(&self, error: Option<&PlatformError>) {
        match error {
            Some(err @ (PlatformError::Unavailable(_) | PlatformError::Unknown(_))) => {
                if !self.failing.swap(true, Ordering::Relaxed) {
                    event!(PlatformLost, error = err);
                }
            }
            Some(PlatformError::Refused(_)) | None => {
                if self.failing.swap(false, Ordering::Relaxed) {
                    event!(PlatformBack);
                    self.recovered.send_modify(|count| *count += 1);
                }
            }
        }
    }
}

impl Platform for RateLimitedPlatform {
    fn get<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, Option<Entry>> {
        Box::pin(self.read(move || self.inner.get(key)))
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
        keys_only: bool,
        limit: u32,
    ) -> PlatformFuture<'a, Listing> {
        Box::pin(self.read(move || self.inner.list(prefix, keys_only, limit)))
    }

    fn swap<'a>(
        &'a self,
        key: &'a str,
        expected: u64,
        value: Option<Bytes>,
        lease: u64,
    ) -> PlatformFuture<'a, Swap> {
        Box::pin(self.write(move || self.inner.swap(key, expected, value, lease)))
    }

    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
        wait: Duration,
    ) -> PlatformFuture<'a, Changes> {
        // Not repeated here, because callers of a watch retry anyway.
        Box::pin(self.write(move || {
            let changes = self.inner.changes(prefix, after, wait);
            if wait <= self.watch_margin {
                return changes;
            }
            Box::pin(async move {
                let changes = timeout(wait + self.watch_margin, changes).await;
                let late = |_| PlatformError::Unavailable("watch not answered in time".into());
                changes.map_err(late)?
            })
        }))
    }

    fn grant(&self, ttl: Duration) -> PlatformFuture<'_, u64> {
        Box::pin(self.write(move || self.inner.grant(ttl)))
    }

    fn renew(&self, lease: u64) -> PlatformFuture<'_, bool> {
        Box::pin(self.write(move || self.inner.renew(lease)))
    }

    fn revoke(&self, lease: u64) -> PlatformFuture<'_, ()> {
        Box::pin(self.write(move || self.inner.revoke(lease)))
    }

    fn restores(&self) -> watch::Receiver<u64> {
        self.inner.restores()
    }
}
