//! Accepting changes: the compare-and-swap of `head`, and the proof of what became of it.

use super::{
    HEAD_KEY, KEPT_CHANGES, LOGS, Outcome, Store, change_key, chunk_key, explain_conflict,
    find_change, from_platform,
};
use crate::change::{Applied, Change};
use crate::error::{Category, Error, Result};
use crate::generated::mesh as wire;
use crate::platform::{MAX_VALUE_LEN, PlatformError, Swap};
use crate::snapshot::Snapshot;
use crate::tree::backoff::Backoff;
use bytes::Bytes;
use futures_util::future::try_join_all;
use prost::Message;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::{Instant, sleep};

const RETRY_MIN: Duration = Duration::from_millis(20);
const RETRY_MAX: Duration = Duration::from_millis(500);

/// Greatest number of resources that the log names for one change.
const MAX_TOUCHED: usize = 64;

/// The part of a log page that is dropped, as its reciprocal, when the page does not fit.
const TRIM_PART: usize = 16;

/// Attempts to write one immutable value within an attempt to accept a change.
const WRITE_ATTEMPTS: usize = 3;

/// What is known of the swap of `head` that was sent last.
enum Sent {
    /// None was sent that could have taken effect, or could still.
    None,
    /// It may take effect, now or later.
    Open(Swapping),
    /// It can no longer take effect; whether it has is in the log.
    Settled,
}

/// A swap of `head`.
#[derive(Clone)]
struct Swapping {
    expected: u64,
    value: Bytes,
    snapshot: Arc<Snapshot>,
}

impl Store {
    /// Accepts a change, or finds that it already is.
    ///
    /// A change that loses a race is applied to the version that won, unless the two touch the
    /// same resource at a named revision.
    pub async fn accept(&self, change: &Change, deadline: Instant) -> Outcome {
        let mut backoff = Backoff::new(RETRY_MIN, RETRY_MAX);
        let mut sent = Sent::None;
        loop {
            let error = match self.try_accept(change, &mut sent).await {
                Ok(outcome) => return outcome,
                Err(error) => error,
            };
            let delay = backoff.delay(&mut rand::rng());
            if Instant::now() + delay >= deadline {
                return match sent {
                    Sent::None => given_up(error),
                    Sent::Open(_) | Sent::Settled => Outcome::Unknown(error),
                };
            }
            sleep(delay).await;
        }
    }

    /// Accepts the change that undoes an earlier one.
    pub async fn revert(&self, target: &str, id: &str, deadline: Instant) -> Outcome {
        let change = async {
            let record = self.change_record(target).await?;
            let (head, now) = self.newest().await?;
            if let Some(version) = self.find(&head, id, None).await? {
                if undoes(&self.change_record(id).await?, &record) {
                    return Ok(Err(version));
                }
                let message =
                    format!("change id {id} belongs to a change that does not undo {target}");
                return Err(Error::new(Category::Conflict, message));
            }
            Change::inverse(&record, id, &now).map(Ok)
        };
        match change.await {
            Ok(Ok(change)) => self.accept(&change, deadline).await,
            Ok(Err(version)) => Outcome::Accepted {
                version,
                repeated: true,
            },
            Err(err) => given_up(err),
        }
    }

    /// Makes one attempt.
    async fn try_accept(&self, change: &Change, sent: &mut Sent) -> Result<Outcome> {
        if let Sent::Open(swapping) = sent {
            let swapping = swapping.clone();
            match self.swap_head(swapping, sent).await {
                Ok(Some(outcome)) => return Ok(outcome),
                // The log tells whether it had taken effect before.
                Ok(None) => {}
                Err(err) => return Err(err),
            }
        }
        let head = self.head().await?;
        let log = self.log(&head).await?;
        match find_change(&log, change.id(), Some(change.digest())) {
            Ok(Some(version)) => {
                let repeated = matches!(sent, Sent::None);
                return Ok(Outcome::Accepted { version, repeated });
            }
            Ok(None) => *sent = Sent::None,
            Err(err) => return Ok(Outcome::Refused(err)),
        }
        let base = self.load(&head).await?;
        let applied = match change.apply(&base) {
            Ok(applied) => applied,
            Err(err) => return Ok(Outcome::Refused(explain_conflict(&log, change, &base, err))),
        };
        let next = self.write_version(log, change, &applied).await?;
        let swapping = Swapping {
            expected: head.revision,
            value: Bytes::from(next.encode_to_vec()),
            snapshot: Arc::new(applied.snapshot),
        };
        let outcome = self.swap_head(swapping, sent).await?;
        outcome.ok_or_else(|| {
            let message = "head has moved on; too many changes at once";
            Error::new(Category::Unavailable, message)
        })
    }

    /// Sends a swap of `head`; `None` when another change has moved it.
    ///
    /// A swap without a known outcome is sent again as it was. The revision it expects is used up
    /// by the first swap that takes effect, so it takes effect once at most.
    async fn swap_head(&self, swapping: Swapping, sent: &mut Sent) -> Result<Option<Outcome>> {
        let (expected, value) = (swapping.expected, swapping.value.clone());
        match self.platform.swap(HEAD_KEY, expected, Some(value), 0).await {
            Ok(Swap::Done(_)) => {
                let version = swapping.snapshot.version();
                self.note(&swapping.snapshot);
                self.prune_after(version);
                Ok(Some(Outcome::Accepted {
                    version,
                    repeated: false,
                }))
            }
            Ok(Swap::Stale(_)) => {
                if matches!(sent, Sent::Open(_)) {
                    *sent = Sent::Settled;
                }
                Ok(None)
            }
            Err(err @ PlatformError::Unknown(_)) => {
                *sent = Sent::Open(swapping);
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

    /// Writes an immutable value; one that is already there has the same content by its key, so a
    /// write whose answer was lost is repeated at once.
    async fn write_once(&self, key: String, value: Bytes) -> Result<()> {
        if value.len() > MAX_VALUE_LEN {
            let message = format!("{key}: {} bytes; at most {MAX_VALUE_LEN}", value.len());
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

/// Tells what is known when the platform could not be read to the end.
///
/// Tests whether one change left every resource of another as it was before.
fn undoes(later: &wire::ChangeRecord, earlier: &wire::ChangeRecord) -> bool {
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

/// An earlier submission under the same id may have been accepted, or still be on its way.
fn given_up(error: Error) -> Outcome {
    match error.category() {
        Category::Unavailable | Category::Unknown | Category::Internal => Outcome::Unknown(error),
        Category::Input | Category::Conflict | Category::Missing => Outcome::Refused(error),
    }
}

/// Encodes the newest changes of a log, as many as are kept and fit into a value.
fn trimmed_page(mut log: wire::LogPage) -> Vec<u8> {
    let surplus = log.entries.len().saturating_sub(KEPT_CHANGES);
    log.entries.drain(..surplus);
    let mut page = log.encode_to_vec();
    while page.len() > MAX_VALUE_LEN && log.entries.len() > 1 {
        let surplus = log.entries.len().div_ceil(TRIM_PART);
        log.entries.drain(..surplus);
        page = log.encode_to_vec();
    }
    page
}

/// Names the resources that a change touches, and how many more there are.
fn touched(change: &Change) -> Vec<String> {
    let operations = change.operations();
    let named = operations.iter().take(MAX_TOUCHED);
    let mut touched: Vec<String> = named.map(|op| op.key.to_string()).collect();
    if operations.len() > MAX_TOUCHED {
        touched.push(format!("and {} more", operations.len() - MAX_TOUCHED));
    }
    touched
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
}
