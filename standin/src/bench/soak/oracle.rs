//! What must always hold, and how often it was seen to hold or not.

use baobabstage::sync::lock;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex};

/// What must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// No daemon moves back to an older version.
    VersionUp,
    /// No route points at a resource that the daemon lacks.
    NoDangling,
    /// A version is applied whole or not at all.
    Whole,
    /// A caller gets the whole answer to its own request.
    OwnAnswer,
    /// A request told not run was not run.
    NotRun,
    /// A request that is not idempotent runs at most once.
    AtMostOnce,
    /// A leaving backend server gets no new work after a few seconds.
    Leaving,
    /// A graceful shutdown cuts off no request in flight.
    Graceful,
    /// An accepted version is in force everywhere within seconds and stays.
    InForce,
}

impl Promise {
    /// Every promise, in the order of the documents.
    pub const ALL: [Promise; 9] = [
        Promise::VersionUp,
        Promise::NoDangling,
        Promise::Whole,
        Promise::OwnAnswer,
        Promise::NotRun,
        Promise::AtMostOnce,
        Promise::Leaving,
        Promise::Graceful,
        Promise::InForce,
    ];
}

#[derive(Default)]
struct Count {
    checked: u64,
    broken: Vec<String>,
}

/// How often each promise was checked, and where it was broken.
#[derive(Clone, Default)]
pub struct Tally {
    counts: Arc<Mutex<BTreeMap<Promise, Count>>>,
}

impl Tally {
    /// Counts a check; `detail` tells of a broken promise.
    pub fn check(&self, promise: Promise, holds: bool, detail: impl FnOnce() -> String) {
        let mut counts = lock(&self.counts);
        let count = counts.entry(promise).or_default();
        count.checked += 1;
        if !holds {
            let detail = detail();
            eprintln!("broken: {promise:?}: {detail}");
            count.broken.push(detail);
        }
    }

    /// Returns how often a promise was checked.
    #[must_use]
    pub fn checked(&self, promise: Promise) -> u64 {
        lock(&self.counts)
            .get(&promise)
            .map_or(0, |count| count.checked)
    }

    /// Returns where a promise was broken.
    #[must_use]
    pub fn broken(&self) -> Vec<String> {
        let counts = lock(&self.counts);
        let broken = counts.iter().flat_map(|(promise, count)| {
            let details = count.broken.iter();
            details.map(move |detail| format!("{promise:?}: {detail}"))
        });
        broken.collect()
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = lock(&self.counts);
        writeln!(f, "| promise | checks | broken |")?;
        writeln!(f, "|---|---|---|")?;
        for promise in Promise::ALL {
            let count = counts.get(&promise);
            let checked = count.map_or(0, |count| count.checked);
            let broken = count.map_or(0, |count| count.broken.len());
            writeln!(f, "| {promise:?} | {checked} | {broken} |")?;
        }
        Ok(())
    }
}
