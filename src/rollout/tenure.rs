//! Who decides on a rollout: the daemon that writes the step record.
//!
//! The record's revision is the fencing token. The daemon that wrote last renews the record; the others write it
//! only once it has not changed for a time that depends on their rank.

use std::time::Duration;
use tokio::time::Instant;

/// Time between renewals of the step record.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a change of the step record after which the first candidate writes it.
pub const TAKEOVER: Duration = Duration::from_secs(2);

/// The additional time for each candidate before this one.
const RANK_DELAY: Duration = Duration::from_millis(500);

/// Time without a renewal by message after which a candidate reads the record, and the time between reads.
const READ_AFTER: Duration = Duration::from_millis(1_200);
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// What a daemon does next about the step record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing now.
    Wait,
    /// Read the record.
    Read,
    /// Decide, and write the record if the step has changed or is to be renewed.
    Decide,
    /// Write the record unchanged with this daemon as the decider, expecting this revision.
    TakeOver(u64),
}

/// What a daemon knows of the step record of one order.
#[derive(Clone, Debug)]
pub struct Tenure {
    started: Instant,
    /// The revision of the record when it was last read or written here; zero if there was none.
    revision: Option<u64>,
    /// Whether the record that was read is of an earlier order, so that nobody has decided on this one yet.
    is_earlier: bool,
    /// When it was last seen to change.
    changed: Instant,
    /// When it was last read, and when that was last tried.
    read: Option<Instant>,
    tried: Option<Instant>,
    /// When the last successful write of this daemon began, while it is the decider.
    wrote: Option<Instant>,
}

impl Tenure {
    /// Creates the state of an order that becomes known at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Tenure {
            started: now,
            revision: None,
            is_earlier: false,
            changed: now,
            read: None,
            tried: None,
            wrote: None,
        }
    }

    /// Returns what to do, given the place of this daemon among the candidates, `None` if it is none, and the last
    /// renewal of which another daemon has sent word.
    #[must_use]
    pub fn next(&self, now: Instant, rank: Option<u32>, renewed: Option<Instant>) -> Action {
        let Some(rank) = rank else {
            return Action::Wait;
        };
        if self.wrote.is_some() {
            return Action::Decide;
        }
        let age = |at: Instant| now.saturating_duration_since(at);
        let changed = renewed.map_or(self.changed, |at| at.max(self.changed));
        let read_due = self.tried.is_none_or(|at| age(at) >= READ_INTERVAL);
        let is_first = rank == 0 && self.tried.is_none();
        if read_due && (is_first || age(changed) >= READ_AFTER) {
            return Action::Read;
        }
        // A record that is not there, or is of an earlier order, needs no grace time at the first candidate.
        let is_unclaimed = self.is_earlier || self.revision == Some(0);
        let wait = if is_unclaimed && rank == 0 {
            Duration::ZERO
        } else {
            TAKEOVER + RANK_DELAY * rank
        };
        match self.revision {
            Some(revision) if age(changed) >= wait => Action::TakeOver(revision),
            _ => Action::Wait,
        }
    }

    /// Tests whether this daemon is the decider as far as it knows.
    #[must_use]
    pub fn decides(&self) -> bool {
        self.wrote.is_some()
    }

    /// Returns the revision that the next write expects; zero for an absent record.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision.unwrap_or(0)
    }

    /// Tests whether the record is due for a renewal by this daemon.
    #[must_use]
    pub fn is_due(&self, now: Instant) -> bool {
        self.wrote
            .is_some_and(|at| now.saturating_duration_since(at) >= RENEW_INTERVAL)
    }

    /// Records that the record could not be read.
    pub fn note_unread(&mut self, began: Instant) {
        self.tried = Some(began);
    }

    /// Records the revision that a read has found. Returns a time at which the record was surely older than it is
    /// now, if another daemon has written it between two reads.
    pub fn note_read(&mut self, began: Instant, revision: u64) -> Option<Instant> {
        self.tried = Some(began);
        let before = self.read.replace(began);
        if self.revision == Some(revision) {
            return None;
        }
        let is_first = self.revision.replace(revision).is_none();
        self.wrote = None;
        self.is_earlier = false;
        // The record may be old when it is first read; it counts from the time when the order became known.
        self.changed = if is_first { self.started } else { began };
        before.filter(|_| !is_first)
    }

    /// Records that the record last read is of an earlier order.
    pub fn note_earlier_order(&mut self) {
        self.is_earlier = true;
    }

    /// Records a successful write of this daemon that began at `began`.
    pub fn note_written(&mut self, began: Instant, revision: u64) {
        self.revision = Some(revision);
        self.is_earlier = false;
        self.changed = began;
        self.wrote = Some(began);
    }

    /// Records that another daemon has written the record, or that it is unknown who has: this daemon stops.
    pub fn note_lost(&mut self) {
        self.wrote = None;
        self.read = None;
        self.tried = None;
    }
}
