//! Guarantees of the system, with the number of checks and violations of each.

use baobabstage::sync::lock;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex};

/// A guarantee that must hold under all faults; the variant's name is printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Guarantee {
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

impl Guarantee {
    /// All guarantees, in the order of the documentation and of the printed table.
    pub const ALL: [Guarantee; 9] = [
        Guarantee::VersionUp,
        Guarantee::NoDangling,
        Guarantee::Whole,
        Guarantee::OwnAnswer,
        Guarantee::NotRun,
        Guarantee::AtMostOnce,
        Guarantee::Leaving,
        Guarantee::Graceful,
        Guarantee::InForce,
    ];
}

#[derive(Default)]
struct Count {
    checked: u64,
    violations: Vec<String>,
}

/// Number of checks and the violations of each guarantee; clones share their state.
#[derive(Clone, Default)]
pub struct CheckCounts {
    counts: Arc<Mutex<BTreeMap<Guarantee, Count>>>,
}

impl CheckCounts {
    /// Counts a check; on a violation, prints and stores the message returned by `detail`.
    pub fn check(&self, guarantee: Guarantee, holds: bool, detail: impl FnOnce() -> String) {
        let mut counts = lock(&self.counts);
        let count = counts.entry(guarantee).or_default();
        count.checked += 1;
        if !holds {
            let detail = detail();
            eprintln!("guarantee violated: {guarantee:?}: {detail}");
            count.violations.push(detail);
        }
    }

    /// Returns the number of checks of a guarantee.
    #[must_use]
    pub fn checked(&self, guarantee: Guarantee) -> u64 {
        lock(&self.counts)
            .get(&guarantee)
            .map_or(0, |count| count.checked)
    }

    /// Returns the violations of all guarantees, one message each.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        let counts = lock(&self.counts);
        let violations = counts.iter().flat_map(|(guarantee, count)| {
            let details = count.violations.iter();
            details.map(move |detail| format!("{guarantee:?}: {detail}"))
        });
        violations.collect()
    }
}

impl fmt::Display for CheckCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = lock(&self.counts);
        writeln!(f, "| promise | checks | broken |")?;
        writeln!(f, "|---|---|---|")?;
        for guarantee in Guarantee::ALL {
            let count = counts.get(&guarantee);
            let checked = count.map_or(0, |count| count.checked);
            let violations = count.map_or(0, |count| count.violations.len());
            writeln!(f, "| {guarantee:?} | {checked} | {violations} |")?;
        }
        Ok(())
    }
}
