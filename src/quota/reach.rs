//! Which owners a daemon reaches.
//!
//! A lost packet delays an answer by a retransmission or two, so a late answer alone is no sign of a lost owner.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// Time without any answer after which an answer is late, by more than one lost packet explains.
const LATE_TIME: Duration = Duration::from_millis(300);

/// Time without any answer after which an owner counts as silent: calls no longer wait for it.
pub const SILENT_TIME: Duration = Duration::from_millis(600);

/// Time without any answer after which an owner is passed over.
pub const PASS_TIME: Duration = Duration::from_secs(1);

/// An owner refuses connections if a query fails sooner than this; one whose packets are lost fails later.
const REFUSAL_TIME: Duration = Duration::from_millis(200);

/// The state of the owners that a daemon queries.
#[derive(Debug, Default)]
pub struct Reach {
    owners: BTreeMap<String, Owner>,
}

#[derive(Debug, Default)]
struct Owner {
    /// When the first query without a later answer was sent.
    waiting_since: Option<Instant>,
    /// Whether it has refused a connection since its last answer.
    refused: bool,
}

impl Reach {
    /// Records that an owner is queried.
    pub fn note_query(&mut self, now: Instant, owner: &str) {
        let owner = self.owners.entry(owner.to_owned()).or_default();
        owner.waiting_since.get_or_insert(now);
    }

    /// Records that an owner has answered.
    pub fn note_answer(&mut self, owner: &str) {
        self.owners.remove(owner);
    }

    /// Records that a query that was sent at `sent` has failed.
    pub fn note_failure(&mut self, now: Instant, owner: &str, sent: Instant) {
        let owner = self.owners.entry(owner.to_owned()).or_default();
        owner.refused |= now.saturating_duration_since(sent) < REFUSAL_TIME;
    }

    /// Forgets all owners but these.
    pub fn retain(&mut self, names: &BTreeSet<String>) {
        self.owners.retain(|owner, _| names.contains(owner));
    }

    /// Returns the time for which a call waits for an owner's answer at most.
    #[must_use]
    pub fn wait_limit(&self, now: Instant, owner: &str) -> Duration {
        SILENT_TIME.saturating_sub(self.silence(now, owner))
    }

    /// Tests whether an answer of an owner is late.
    #[must_use]
    pub fn is_late(&self, now: Instant, owner: &str) -> bool {
        self.silence(now, owner) >= LATE_TIME
    }

    /// Tests whether an owner is silent or refuses connections, so that calls do not wait for it.
    #[must_use]
    pub fn is_silent(&self, now: Instant, owner: &str) -> bool {
        self.silence(now, owner) >= SILENT_TIME || self.is_refused(owner)
    }

    /// Tests whether another owner is chosen in place of this one.
    #[must_use]
    pub fn is_passed_over(&self, now: Instant, owner: &str) -> bool {
        self.silence(now, owner) >= PASS_TIME || self.is_refused(owner)
    }

    fn is_refused(&self, owner: &str) -> bool {
        self.owners.get(owner).is_some_and(|owner| owner.refused)
    }

    fn silence(&self, now: Instant, owner: &str) -> Duration {
        let since = self.owners.get(owner).and_then(|owner| owner.waiting_since);
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}
