//! Acceptance of changes: the compare-and-swap of `head`, and how its outcome is established.

use super::{
    HEAD_KEY, LOGS, Outcome, RETAINED_CHANGES, Store, change_key, chunk_key, explain_conflict,
    find_change, from_platform,
};
use crate::change::{Applied, Change};
use crate::error::{Category, Error, Result};
use crate::generated::mesh as wire;
use crate::platform::{MAX_VALUE_LEN, PlatformError, Swap};
use crate::snapshot::Snapshot;
use crate::tree::backoff::Backoff;
use crate::unix_time::unix_ms;
use bytes::Bytes;
use futures_util::future::try_join_all;
use prost::Message;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Bounds of the delay between two attempts to accept a change; see [`Backoff`].
const RETRY_MIN: Duration = Duration::from_millis(20);
const RETRY_MAX: Duration = Duration::from_millis(500);

/// Maximum number of resources listed per change in the log.
const MAX_TOUCHED: usize = 64;

/// While a log page exceeds the value limit, one in this many entries, the oldest, is dropped at a
/// time.
const TRIM_DIVISOR: usize = 16;

/// Maximum number of writes of one immutable value per attempt to accept a change.
const WRITE_ATTEMPTS: usize = 3;

/// What is known about the last swap of `head` that was sent.
enum HeadSwap {
    /// No swap was sent that may have taken effect or may still do so.
    NotSent,
    /// Its response was lost: it may have taken effect, or may still do so.
    Unresolved(PendingSwap),
    /// It can no longer take effect; the log shows whether it did.
    Settled,
}

/// A compare-and-swap of `head`, kept to be sent again unchanged.
#[derive(Clone)]
struct PendingSwap {
    /// The revision that `head` must have.
    expected: u64,
    /// The encoded new value of `head`.
    value: Bytes,
    /// The version that the value names.
    snapshot: Arc<Snapshot>,
}

impl Store {
    /// Accepts a change, or finds that it was already accepted; retries until the deadline.
    ///
    /// A change that loses a race is applied again to the version that won, unless it names a
    /// revision of a resource that the other change modified.
    pub async fn accept(&self, change: &Change, deadline: Instant) -> Outcome {
        let mut backoff = Backoff::new(RETRY_MIN, RETRY_MAX);
        let mut last_swap = HeadSwap::NotSent;
        loop {
            let error = match self.try_accept(change, &mut last_swap).await {
                Ok(outcome) => return outcome,
                Err(error) => error,
            };
            let delay = backoff.delay(&mut rand::rng());
            if Instant::now() + delay >= deadline {
                return match last_swap {
                    HeadSwap::NotSent => outcome_of_error(error),
                    HeadSwap::Unresolved(_) | HeadSwap::Settled => Outcome::Unknown(error),
                };
            }
            sleep(delay).await;
        }
    }

    /// Accepts the revert of the earlier change `target`, under the new id `id`.
    pub async fn revert(&self, target: &str, id: &str, deadline: Instant) -> Outcome {
        let change = async {
            let record = self.change_record(target).await?;
            let (head, now) = self.newest().await?;
            if let Some(version) = self.find(&head, id, None).await? {
                if is_revert_of(&self.change_record(id).await?, &record) {
                    return Ok(Err(version));
                }
                let message =
                    format!("change id {id} was already used and does not revert {target}");
                return Err(Error::new(Category::Conflict, message));
            }
            Change::revert_of(&record, id, &now).map(Ok)
        };
        match change.await {
            Ok(Ok(change)) => self.accept(&change, deadline).await,
            Ok(Err(version)) => Outcome::Accepted {
                version,
                repeated: true,
            },
            Err(err) => outcome_of_error(err),
        }
    }

    /// Makes one attempt to accept a change. The caller retries on every error.
    async fn try_accept(&self, change: &Change, last_swap: &mut HeadSwap) -> Result<Outcome> {
        if let HeadSwap::Unresolved(swap) = last_swap {
            let swap = swap.clone();
            match self.swap_head(swap, last_swap).await {
                Ok(Some(outcome)) => return Ok(outcome),
                // The log, which is read next, shows whether an earlier send had taken effect.
                Ok(None) => {}
                Err(err) => return Err(err),
            }
        }
        let head = self.head().await?;
        let log = self.log(&head).await?;
        match find_change(&log, change.id(), Some(change.digest())) {
            Ok(Some(version)) => {
                let repeated = matches!(last_swap, HeadSwap::NotSent);
                return Ok(Outcome::Accepted { version, repeated });
            }
            Ok(None) => *last_swap = HeadSwap::NotSent,
            Err(err) => return Ok(Outcome::Refused(err)),
        }
        let base = self.load(&head).await?;
        let applied = match change.apply(&base) {
            Ok(applied) => applied,
            Err(err) => return Ok(Outcome::Refused(explain_conflict(&log, change, &base, err))),
        };
        let next = self.write_version(log, change, &applied).await?;
        let swap = PendingSwap {
            expected: head.revision,
            value: Bytes::from(next.encode_to_vec()),
            snapshot: Arc::new(applied.snapshot),
        };
        let outcome = self.swap_head(swap, last_swap).await?;
        outcome.ok_or_else(|| {
            let message = "head was changed by a concurrent change; too many concurrent changes";
            Error::new(Category::Unavailable, message)
        })
    }

    /// Sends a swap of `head`; `None` if `head` no longer has the expected revision.
    ///
    /// A swap with unknown outcome is sent again unchanged. The first one that takes effect changes
    /// the revision that both expect, so the change takes effect at most once.
    async fn swap_head(
        &self,
        swap: PendingSwap,
        last_swap: &mut HeadSwap,
    ) -> Result<Option<Outcome>> {
        let (expected, value) = (swap.expected, swap.value.clone());
        match self.platform.swap(HEAD_KEY, expected, Some(value), 0).await {
            Ok(Swap::Done(_)) => {
                let version = swap.snapshot.version();
                self.cache(&swap.snapshot);
                self.prune_after(version);
                Ok(Some(Outcome::Accepted {
                    version,
                    repeated: false,
                }))
            }
            Ok(Swap::Stale(_)) => {
                if matches!(last_swap, HeadSwap::Unresolved(_)) {
                    *last_swap = HeadSwap::Settled;
                }
                Ok(None)
            }
            Err(err @ PlatformError::Unknown(_)) => {
                *last_swap = HeadSwap::Unresolved(swap);
                Err(from_platform(err))
            }
            Err(err) => Err(from_platform(err)),
        }
    }

    /// Writes the immutable values of a version and returns the head that names them.
    async fn write_version(
        &self,
        mut log: wire::LogPage,
        change: &Change,
        applied: &Applied,
    ) -> Result<wire::Head> {
        let stamp = applied.snapshot.stamp();
        let mut values = Vec::new();
        let mut chunks = 0;
        let mut rest = Bytes::from(applied.snapshot.encode());
        while !rest.is_empty() {
            let part = rest.split_to(rest.len().min(MAX_VALUE_LEN));
            values.push((chunk_key(stamp, chunks), part));
            chunks += 1;
        }
        let record = change_key(stamp);
        values.push((record.clone(), applied.record.encode_to_vec().into()));
        log.entries.push(wire::LogEntry {
            stamp: Some(stamp.to_wire()),
            change: change.id().into(),
            title: change.title().into(),
            accepted_ms: unix_ms(),
            digest: Bytes::copy_from_slice(&change.digest().to_be_bytes()),
            record,
            touched: touched(change),
        });
        let page = trimmed_page(log);
        let hash = xxhash_rust::xxh3::xxh3_128(&page);
        let log = format!("{LOGS}{:012}/{hash:032x}", stamp.version);
        values.push((log.clone(), page.into()));
        try_join_all(
            values
                .into_iter()
                .map(|(key, value)| self.write_once(key, value)),
        )
        .await?;
        Ok(wire::Head {
            stamp: Some(stamp.to_wire()),
            change: change.id().into(),
            chunks,
            log,
        })
    }

    /// Writes an immutable value. The key determines the content, so an existing value needs no
    /// write, and a write whose response was lost is repeated at once.
    async fn write_once(&self, key: String, value: Bytes) -> Result<()> {
        if value.len() > MAX_VALUE_LEN {
            let len = value.len();
            let message = format!("value of {key} is {len} bytes long; limit is {MAX_VALUE_LEN}");
            return Err(Error::new(Category::Input, message));
        }
        let mut attempt = 1;
        loop {
            match self.platform.swap(&key, 0, Some(value.clone()), 0).await {
                Ok(_) => return Ok(()),
                Err(PlatformError::Unknown(_)) if attempt < WRITE_ATTEMPTS => attempt += 1,
                Err(err) => return Err(from_platform(err)),
            }
        }
    }
}

/// Returns whether `later` restored every resource that `earlier` changed.
fn is_revert_of(later: &wire::ChangeRecord, earlier: &wire::ChangeRecord) -> bool {
    let later: BTreeMap<_, _> = later
        .effects
        .iter()
        .map(|effect| {
            (
                (&effect.kind, &effect.name),
                (&effect.after, &effect.before),
            )
        })
        .collect();
    let earlier: BTreeMap<_, _> = earlier
        .effects
        .iter()
        .map(|effect| {
            (
                (&effect.kind, &effect.name),
                (&effect.before, &effect.after),
            )
        })
        .collect();
    later == earlier
}

/// Maps an error that ended a submission to its outcome.
///
/// If the platform could not be read, the outcome is unknown even when this call has sent no swap:
/// an earlier submission under the same id may have been accepted, or may still take effect.
fn outcome_of_error(error: Error) -> Outcome {
    match error.category() {
        Category::Unavailable | Category::Unknown | Category::Internal => Outcome::Unknown(error),
        Category::Input | Category::Conflict | Category::Missing => Outcome::Refused(error),
    }
}

/// Encodes the newest log entries: at most [`RETAINED_CHANGES`], and as many as fit into a value.
fn trimmed_page(mut log: wire::LogPage) -> Vec<u8> {
    let surplus = log.entries.len().saturating_sub(RETAINED_CHANGES);
    log.entries.drain(..surplus);
    let mut page = log.encode_to_vec();
    while page.len() > MAX_VALUE_LEN && log.entries.len() > 1 {
        let surplus = log.entries.len().div_ceil(TRIM_DIVISOR);
        log.entries.drain(..surplus);
        page = log.encode_to_vec();
    }
    page
}

/// Lists the resources that a change touches, and the number of those beyond [`MAX_TOUCHED`].
fn touched(change: &Change) -> Vec<String> {
    let operations = change.operations();
    let named = operations.iter().take(MAX_TOUCHED);
    let mut touched: Vec<String> = named.map(|op| op.key.to_string()).collect();
    if operations.len() > MAX_TOUCHED {
        touched.push(format!("and {} more", operations.len() - MAX_TOUCHED));
    }
    touched
}
