//! Fair shares of a backend server's time between organisations, by start-time fair queueing.
//!
//! Each call gets a virtual start time when it is offered: the end of its organisation's previous call, or
//! the virtual time of now if that is later. Calls run in the order of these times, so that an
//! organisation that was idle is neither behind nor ahead of the others.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// The least virtual time of a call, so that calls count before the first service time is measured.
const MIN_COST: Duration = Duration::from_millis(1);

/// Maximum number of organisations with a virtual time ahead. Beyond it, the one that is ahead least is
/// forgotten and starts at the virtual time of now. Twice the design target of 1,000 organisations.
const MAX_ORGANISATIONS: usize = 2_000;

/// Identifies an organisation by a hash of its name; two names with the same hash share one share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShareKey(u64);

impl ShareKey {
    /// Returns the key of an organisation; `None` stands for all calls without one.
    #[must_use]
    pub fn new(organisation: Option<&str>) -> Self {
        let mut hasher = DefaultHasher::new();
        organisation.hash(&mut hasher);
        ShareKey(hasher.finish())
    }
}

/// The virtual times of one backend server.
#[derive(Debug, Default)]
pub struct Shares {
    now: Duration,
    /// The virtual end of the last call of each organisation that is ahead of `now`.
    ends: BTreeMap<ShareKey, Duration>,
    /// The same, by time.
    by_end: BTreeSet<(Duration, ShareKey)>,
}

impl Shares {
    /// Returns the virtual start time that the organisation's next call would get.
    #[must_use]
    pub fn next_start(&self, key: ShareKey) -> Duration {
        let end = self.ends.get(&key).copied();
        end.unwrap_or_default().max(self.now)
    }

    /// Charges a call to its organisation; returns what was charged.
    pub fn charge(&mut self, key: ShareKey, service_time: Duration) -> Duration {
        let cost = service_time.max(MIN_COST);
        self.set_end(key, self.next_start(key) + cost);
        if self.ends.len() > MAX_ORGANISATIONS
            && let Some((_, least)) = self.by_end.first().copied()
        {
            self.set_end(least, Duration::ZERO);
        }
        cost
    }

    /// Takes back the charge for a call that did not run.
    pub fn refund(&mut self, key: ShareKey, cost: Duration) {
        let end = self.next_start(key);
        self.set_end(key, end.saturating_sub(cost));
    }

    /// Advances the virtual time to the start of a call, and drops what is no longer ahead.
    pub fn start(&mut self, start: Duration) {
        self.now = self.now.max(start);
        while let Some((end, key)) = self.by_end.first().copied()
            && end <= self.now
        {
            self.set_end(key, Duration::ZERO);
        }
    }

    /// Returns the number of organisations with state.
    #[must_use]
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Tests whether no organisation has state.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Sets the virtual end of an organisation; removes it if that is not ahead.
    fn set_end(&mut self, key: ShareKey, end: Duration) {
        if let Some(old) = self.ends.remove(&key) {
            self.by_end.remove(&(old, key));
        }
        if end > self.now {
            self.ends.insert(key, end);
            self.by_end.insert((end, key));
        }
    }
}
