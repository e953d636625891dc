//! Guarantees of the system, with the number of checks and violations of each.

use baobabstage::sync::lock;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex};

/// A guarantee that must hold under all faults; the variant's name is printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    /// A daemon never returns to an older version.
    VersionUp,
    /// No resource refers to one that the daemon does not have.
    NoDangling,
    /// A version is applied completely or not at all.
    Whole,
    /// A successful response is complete and belongs to the caller's own request.
    OwnAnswer,
    /// A request reported as "not run" was not executed.
    NotRun,
    /// A non-idempotent request is executed at most once.
    AtMostOnce,
    /// A leaving backend server receives no new requests after a few seconds.
    Leaving,
    /// A graceful shutdown does not interrupt requests in flight.
    Graceful,
    /// An accepted version is in force everywhere within seconds and is not lost.
    InForce,
}

impl Promise {
    /// All guarantees, in the order of the documentation and of the printed table.
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
    violations: Vec<String>,
}

/// Number of checks and the violations of each guarantee; clones share their state.
#[derive(Clone, Default)]
pub struct Tally {
    counts: Arc<Mutex<BTreeMap<Promise, Count>>>,
}

impl Tally {
    /// Counts a check; on a violation, prints and stores the message returned by `detail`.
    pub fn check(&self, promise: Promise, holds: bool, detail: impl FnOnce() -> String) {
        let mut counts = lock(&self.counts);
        let count = counts.entry(promise).or_default();
        count.checked += 1;
        if !holds {
            let detail = detail();
            eprintln!("guarantee violated: {promise:?}: {detail}");
            count.violations.push(detail);
        }
    }

    /// Returns the number of checks of a guarantee.
    #[must_use]
    pub fn checked(&self, promise: Promise) -> u64 {
        lock(&self.counts)
            .get(&promise)
            .map_or(0, |count| count.checked)
    }

    /// Returns the violations of all guarantees, one message each.
    #[must_use]
    pub fn broken(&self) -> Vec<String> {
        let counts = lock(&self.counts);
        let broken = counts.iter().flat_map(|(promise, count)| {
            let details = count.violations.iter();
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
            let broken = count.map_or(0, |count| count.violations.len());
            writeln!(f, "| {promise:?} | {checked} | {broken} |")?;
        }
        Ok(())
    }
}
