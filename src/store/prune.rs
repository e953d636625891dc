//! Deletion of the values of old versions.

use super::{CHANGES, LOGS, RETAINED_CHANGES, RETAINED_VERSIONS, SNAPSHOTS, Store};
use crate::event;
use crate::platform::{Platform, PlatformError, Swap};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Number of accepted versions between two pruning runs.
const PRUNE_INTERVAL: u64 = 16;

/// Maximum number of keys per prefix examined in a run, oldest first.
const MAX_KEYS: u32 = 256;

/// Pause between deletions, which leaves the platform call budget to other calls.
const DELETE_PAUSE: Duration = Duration::from_millis(50);

impl Store {
    /// Starts pruning in the background once every [`PRUNE_INTERVAL`] accepted versions.
    pub(super) fn prune_after(&self, version: u64) {
        if !version.is_multiple_of(PRUNE_INTERVAL) {
            return;
        }
        let Ok(guard) = Arc::clone(&self.pruning).try_lock_owned() else {
            return;
        };
        let platform = Arc::clone(&self.platform);
        tokio::spawn(async move {
            // What could not be deleted is left to a later run.
            if let Ok(count) = prune(platform.as_ref(), version).await {
                event!(Pruned, count = count, version = version);
            }
            drop(guard);
        });
    }

    /// Deletes the values that are beyond retention once `version` is accepted, and returns their
    /// number. Each run examines a limited number of keys.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond; values deleted until then remain deleted.
    pub async fn prune(&self, version: u64) -> Result<usize, PlatformError> {
        prune(self.platform.as_ref(), version).await
    }
}

async fn prune(platform: &dyn Platform, version: u64) -> Result<usize, PlatformError> {
    let kinds = [
        (SNAPSHOTS, RETAINED_VERSIONS),
        (LOGS, RETAINED_VERSIONS),
        (CHANGES, RETAINED_CHANGES as u64),
    ];
    let mut count = 0;
    for (prefix, retained) in kinds {
        let keys = platform.list(prefix, true, MAX_KEYS).await?.entries;
        for entry in keys {
            let key_version = version_of(&entry.key, prefix);
            let old = key_version.is_some_and(|number| number + retained <= version);
            if !old {
                continue;
            }
            let deleted = platform.swap(&entry.key, entry.revision, None, 0).await?;
            count += usize::from(matches!(deleted, Swap::Done(_)));
            sleep(DELETE_PAUSE).await;
        }
    }
    Ok(count)
}

/// Parses the version from a key; `None` if the key has another format.
fn version_of(key: &str, prefix: &str) -> Option<u64> {
    let rest = key.strip_prefix(prefix)?;
    let (version, _) = rest.split_once('/')?;
    version.parse().ok()
}
