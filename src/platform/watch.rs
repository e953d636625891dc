//! Watching the keys below a prefix.

use super::{Changes, Entry, KeyEvent, Platform, PlatformError};
use crate::event;
use std::time::Duration;

/// An update of the keys below a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyUpdate {
    /// All existing keys: sent first, and again when changes were missed.
    Listing(Vec<Entry>),
    /// The changes since the last update, in order; empty when the wait timed out.
    Events(Vec<KeyEvent>),
}

/// Watches the keys below a prefix without missing a change.
#[derive(Clone, Debug)]
pub struct PrefixWatcher {
    prefix: String,
    /// The revision up to which all changes were returned.
    revision: Option<u64>,
}

impl PrefixWatcher {
    /// Creates a watcher whose first update lists all keys.
    #[must_use]
    pub fn new(prefix: &str) -> Self {
        let prefix = prefix.to_owned();
        PrefixWatcher {
            prefix,
            revision: None,
        }
    }

    /// Waits for the next update, for at most `wait`.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond; the next call continues from the same revision.
    pub async fn next(
        &mut self,
        platform: &dyn Platform,
        wait: Duration,
    ) -> Result<KeyUpdate, PlatformError> {
        if let Some(after) = self.revision {
            match platform.changes(&self.prefix, after, wait).await? {
                Changes::Events { events, revision } => {
                    // The revision must never decrease, or changes would be returned again.
                    self.revision = Some(revision.max(after));
                    return Ok(KeyUpdate::Events(events));
                }
                Changes::Forgotten => self.revision = None,
            }
            event!(
                KeysListed,
                prefix = self.prefix,
                after = after,
                why = "changes were compacted"
            );
        }
        let listing = platform.list(&self.prefix, false, 0).await?;
        self.revision = Some(listing.revision);
        Ok(KeyUpdate::Listing(listing.entries))
    }
}
