//! Rate limits for the calls of one process to the platform.

use super::{Answer, Changes, Entry, Listing, Platform, PlatformError, Swap};
use crate::event;
use crate::sync::lock;
use crate::tree::backoff::{Bucket, jitter};
use bytes::Bytes;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

/// Maximum calls of a process per second; the burst is the calls of one second.
pub const CALLS_PER_SECOND: u32 = 50;

/// Maximum repeated reads per second; the burst is the retries of one second.
pub const RETRIES_PER_SECOND: u32 = 5;

/// Maximum random delay before a failed read is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// A platform with a rate limit that all roles of the process share.
///
/// A call beyond the limit waits for a token, for at most the configured wait limit; then it fails
/// as unavailable, without effect. A failed read is repeated once within the retry limit. A write
/// is never repeated here.
pub struct Budget {
    inner: Arc<dyn Platform>,
    patience: Duration,
    buckets: Mutex<Buckets>,
    lost: AtomicBool,
    /// Incremented when the platform responds again after a failure.
    back: watch::Sender<u64>,
}

struct Buckets {
    calls: Bucket,
    retries: Bucket,
}

impl Budget {
    /// Limits the calls to a platform; a call waits for a token for at most `patience`.
    #[must_use]
    pub fn new(inner: Arc<dyn Platform>, patience: Duration) -> Self {
        let now = Instant::now();
        Budget {
            inner,
            patience,
            buckets: Mutex::new(Buckets {
                calls: Bucket::new(CALLS_PER_SECOND, now),
                retries: Bucket::new(RETRIES_PER_SECOND, now),
            }),
            lost: AtomicBool::new(false),
            back: watch::Sender::default(),
        }
    }

    /// Returns a receiver that is notified when the platform responds again after a failure.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.back.subscribe()
    }

    /// Waits for a token for a call.
    async fn turn(&self) -> Result<(), PlatformError> {
        let deadline = Instant::now() + self.patience;
        let taken = timeout_at(deadline, async {
            while let Some(wait) = self.take() {
                sleep(wait).await;
            }
        });
        let spent = |_| PlatformError::Unavailable("rate limit of this process exceeded".into());
        taken.await.map_err(spent)
    }

    /// Takes a token, or returns the time to wait for one.
    fn take(&self) -> Option<Duration> {
        let mut buckets = lock(&self.buckets);
        let taken = buckets.calls.take(Instant::now());
        (!taken).then(|| buckets.calls.wait())
    }

    fn may_retry(&self) -> bool {
        lock(&self.buckets).retries.take(Instant::now())
    }

    /// Makes a call once a token is available. Its future is not created before that.
    async fn write<'a, T>(
        &'a self,
        call: impl FnOnce() -> Answer<'a, T>,
    ) -> Result<T, PlatformError> {
        self.turn().await?;
        let answer = call().await;
        self.note(answer.as_ref().err());
        answer
    }

    async fn read<'a, T>(&'a self, call: impl Fn() -> Answer<'a, T>) -> Result<T, PlatformError> {
        self.turn().await?;
        let mut answer = call().await;
        if matches!(answer, Err(PlatformError::Unavailable(_))) && self.may_retry() {
            sleep(jitter(RETRY_DELAY)).await;
            self.turn().await?;
            answer = call().await;
        }
        self.note(answer.as_ref().err());
        answer
    }

    /// Logs when the platform stops responding, and when it responds again.
    fn note(&self, error: Option<&PlatformError>) {
        match error {
            Some(err @ (PlatformError::Unavailable(_) | PlatformError::Unknown(_))) => {
                if !self.lost.swap(true, Ordering::Relaxed) {
                    event!(PlatformLost, error = err);
                }
            }
            Some(PlatformError::Refused(_)) | None => {
                if self.lost.swap(false, Ordering::Relaxed) {
                    event!(PlatformBack);
                    self.back.send_modify(|count| *count += 1);
                }
            }
        }
    }
}

impl Platform for Budget {
    fn get<'a>(&'a self, key: &'a str) -> Answer<'a, Option<Entry>> {
        Box::pin(self.read(move || self.inner.get(key)))
    }

    fn list<'a>(&'a self, prefix: &'a str, keys_only: bool, limit: u32) -> Answer<'a, Listing> {
        Box::pin(self.read(move || self.inner.list(prefix, keys_only, limit)))
    }

    fn swap<'a>(
        &'a self,
        key: &'a str,
        expected: u64,
        value: Option<Bytes>,
        lease: u64,
    ) -> Answer<'a, Swap> {
        Box::pin(self.write(move || self.inner.swap(key, expected, value, lease)))
    }

    fn changes<'a>(&'a self, prefix: &'a str, after: u64, wait: Duration) -> Answer<'a, Changes> {
        // Not repeated here, because callers of a watch retry anyway.
        Box::pin(self.write(move || self.inner.changes(prefix, after, wait)))
    }

    fn grant(&self, ttl: Duration) -> Answer<'_, u64> {
        Box::pin(self.write(move || self.inner.grant(ttl)))
    }

    fn renew(&self, lease: u64) -> Answer<'_, bool> {
        Box::pin(self.write(move || self.inner.renew(lease)))
    }

    fn revoke(&self, lease: u64) -> Answer<'_, ()> {
        Box::pin(self.write(move || self.inner.revoke(lease)))
    }
}
