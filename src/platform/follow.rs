//! Following the keys below a prefix.

use super::{Changes, Entry, Event, Platform, PlatformError};
use std::time::Duration;

/// What is new below a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// All keys that there are: at the start, and when changes were missed.
    All(Vec<Entry>),
    /// The changes since, in order; none when the time was up.
    Some(Vec<Event>),
}

/// Follows the keys below a prefix without missing a change.
#[derive(Clone, Debug)]
pub struct Follower {
    prefix: String,
    /// The revision up to which all is known.
    seen: Option<u64>,
}

impl Follower {
    /// Makes a follower that starts with a listing.
    #[must_use]
    pub fn new(prefix: &str) -> Self {
        let prefix = prefix.to_owned();
        Follower { prefix, seen: None }
    }

    /// Waits for what is new, for a time at most.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer; the next call goes on from the same place.
    pub async fn next(
        &mut self,
        platform: &dyn Platform,
        wait: Duration,
    ) -> Result<News, PlatformError> {
        if let Some(seen) = self.seen {
            match platform.changes(&self.prefix, seen, wait).await? {
                Changes::Events { events, revision } => {
                    // A revision never goes back.
                    self.seen = Some(revision.max(seen));
                    return Ok(News::Some(events));
                }
                Changes::Forgotten => self.seen = None,
            }
        }
        let listing = platform.list(&self.prefix, false, 0).await?;
        self.seen = Some(listing.revision);
        Ok(News::All(listing.entries))
    }
}
