//! Deleting the values of old versions.

use super::{CHANGES, KEPT_CHANGES, KEPT_VERSIONS, LOGS, SNAPSHOTS, Store};
use crate::event;
use crate::platform::{Platform, PlatformError, Swap};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Versions between two runs.
const PRUNE_EVERY: u64 = 16;

/// Keys of one kind looked at in a run, the oldest first.
const MAX_KEYS: u32 = 256;

/// The time between two deletions, which leaves the budget of the process to others.
const PAUSE: Duration = Duration::from_millis(50);

impl Store {
    /// Deletes old values after the acceptance of a version, now and then and in the background.
    pub(super) fn prune_after(&self, version: u64) {
        if !version.is_multiple_of(PRUNE_EVERY) {
            return;
        }
        let Ok(guard) = Arc::clone(&self.pruning).try_lock_owned() else {
            return;
        };
        let platform = Arc::clone(&self.platform);
        tokio::spawn(async move {
            // What is left over is deleted after a later version.
            if let Ok(count) = prune(platform.as_ref(), version).await {
                event!(Pruned, count = count, version = version);
            }
            drop(guard);
        });
    }

    /// Deletes the values that no daemon reads any more once a version is accepted.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer; what was deleted until then stays so.
    pub async fn prune(&self, version: u64) -> Result<usize, PlatformError> {
        prune(self.platform.as_ref(), version).await
    }
}

async fn prune(platform: &dyn Platform, version: u64) -> Result<usize, PlatformError> {
    let kinds = [
        (SNAPSHOTS, KEPT_VERSIONS),
        (LOGS, KEPT_VERSIONS),
        (CHANGES, KEPT_CHANGES as u64),
    ];
    let mut count = 0;
    for (prefix, kept) in kinds {
        let keys = platform.list(prefix, true, MAX_KEYS).await?.entries;
        for entry in keys {
            let old = version_of(&entry.key, prefix).is_some_and(|of| of + kept <= version);
            if !old {
                continue;
            }
            let deleted = platform.swap(&entry.key, entry.revision, None, 0).await?;
            count += usize::from(matches!(deleted, Swap::Done(_)));
            sleep(PAUSE).await;
        }
    }
    Ok(count)
}

/// Reads the version from a key; `None` when the key is of another form.
fn version_of(key: &str, prefix: &str) -> Option<u64> {
    let rest = key.strip_prefix(prefix)?;
    let (version, _) = rest.split_once('/')?;
    version.parse().ok()
}
