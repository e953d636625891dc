//! Watching the keys below a prefix.

use super::{Changes, Entry, KeyEvent, Platform, PlatformError};
use crate::event;
use std::time::Duration;
use tokio::sync::watch;

/// Wait of a watch after one that failed: its response shows soon whether the service was restored
/// meanwhile.
const PROBE_WAIT: Duration = Duration::from_millis(1);

/// An update of the keys below a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyUpdate {
    /// All existing keys: sent first, and again when changes were missed.
    Listing(Vec<Entry>),
    /// All existing keys after the platform was restored from an older copy.
    Restored(Vec<Entry>),
    /// The changes since the last update, in order; empty when the wait timed out.
    Events(Vec<KeyEvent>),
}

/// Watches the keys below a prefix without missing a change.
#[derive(Clone, Debug)]
pub struct PrefixWatcher {
    prefix: String,
    next_call: NextCall,
    /// Whether the last watch was answered.
    answered: bool,
}

#[derive(Clone, Copy, Debug)]
enum NextCall {
    List(ListingCause),
    /// Watches from the position up to which all changes were returned.
    Watch(Position),
}

/// A revision of the service, which has a meaning only until the service is restored.
#[derive(Clone, Copy, Debug)]
struct Position {
    revision: u64,
    /// The number of restores that had been noticed.
    restores: u64,
}

/// Why the keys are listed.
#[derive(Clone, Copy, Debug)]
enum ListingCause {
    First,
    Compacted,
    Restored,
}

/// The result of a watch after a position.
enum Watched {
    Events(Vec<KeyEvent>),
    /// Changes may have been missed, so the keys must be listed.
    Missed(ListingCause),
}

impl PrefixWatcher {
    /// Creates a watcher whose first update lists all keys.
    #[must_use]
    pub fn new(prefix: &str) -> Self {
        let prefix = prefix.to_owned();
        PrefixWatcher {
            prefix,
            next_call: NextCall::List(ListingCause::First),
            answered: true,
        }
    }

    /// Tests whether the next update is read at once as a listing, and not waited for.
    #[must_use]
    pub fn lists_next(&self) -> bool {
        matches!(self.next_call, NextCall::List(_))
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
        let mut restores = platform.restores();
        let cause = match self.next_call {
            NextCall::List(cause) => cause,
            NextCall::Watch(position) => {
                match self.watch(platform, position, wait, &mut restores).await? {
                    Watched::Events(events) => return Ok(KeyUpdate::Events(events)),
                    Watched::Missed(cause) => cause,
                }
            }
        };
        event!(
            KeysListed,
            prefix = self.prefix,
            why = format_args!("{cause:?}")
        );
        self.next_call = NextCall::List(cause);
        // Read before the listing: a restore during it makes the position invalid.
        let restores = *restores.borrow_and_update();
        let listing = platform.list(&self.prefix, false, 0).await?;
        self.next_call = NextCall::Watch(Position {
            revision: listing.revision,
            restores,
        });
        Ok(match cause {
            ListingCause::Restored => KeyUpdate::Restored(listing.entries),
            ListingCause::First | ListingCause::Compacted => KeyUpdate::Listing(listing.entries),
        })
    }

    /// Waits for changes after a position.
    async fn watch(
        &mut self,
        platform: &dyn Platform,
        position: Position,
        wait: Duration,
        restores: &mut watch::Receiver<u64>,
    ) -> Result<Watched, PlatformError> {
        if *restores.borrow_and_update() != position.restores {
            return Ok(Watched::Missed(ListingCause::Restored));
        }
        let wait = if self.answered { wait } else { PROBE_WAIT };
        self.answered = false;
        let changes = tokio::select! {
            biased;
            changes = platform.changes(&self.prefix, position.revision, wait) => changes?,
            Ok(()) = restores.changed() => return Ok(Watched::Missed(ListingCause::Restored)),
        };
        self.answered = true;
        if *restores.borrow() != position.restores {
            return Ok(Watched::Missed(ListingCause::Restored));
        }
        Ok(match changes {
            Changes::Events { events, revision } => {
                // The revision must not decrease, or changes would be returned again.
                let revision = revision.max(position.revision);
                self.next_call = NextCall::Watch(Position {
                    revision,
                    ..position
                });
                Watched::Events(events)
            }
            Changes::Forgotten => Watched::Missed(ListingCause::Compacted),
        })
    }
}
