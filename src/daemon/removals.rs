//! The resources that recent versions have removed.

use crate::resource::ResourceKey;
use crate::snapshot::Snapshot;
use std::collections::BTreeMap;

/// Greatest number of removed resources that are kept.
const MAX_REMOVED: usize = 4_096;

/// The resources that recent versions have removed, for daemons that still have an older version.
#[derive(Debug, Default)]
pub(super) struct RemovalLog {
    /// The version after which removals are known; zero before the first version.
    since: u64,
    /// Removed resources, with the version in which each was found missing.
    removed: BTreeMap<ResourceKey, u64>,
}

impl RemovalLog {
    /// Records what a version has removed.
    pub(super) fn record(&mut self, old: &Snapshot, new: &Snapshot) {
        if self.since == 0 {
            self.since = new.version();
            return;
        }
        self.removed
            .retain(|key, _| !new.resources().contains_key(key));
        let gone = old.resources().keys();
        let gone = gone.filter(|key| !new.resources().contains_key(key));
        self.removed
            .extend(gone.map(|key| (key.clone(), new.version())));
        while self.removed.len() > MAX_REMOVED {
            self.forget_oldest();
        }
    }

    /// Returns the resources removed after a version, or `None` if they are not known.
    pub(super) fn after(&self, version: u64) -> Option<Vec<ResourceKey>> {
        if self.since == 0 || version < self.since {
            return None;
        }
        let removed = self.removed.iter().filter(|(_, at)| **at > version);
        Some(removed.map(|(key, _)| key.clone()).collect())
    }

    fn forget_oldest(&mut self) {
        let Some(oldest) = self.removed.values().min().copied() else {
            return;
        };
        self.removed.retain(|_, at| *at > oldest);
        self.since = self.since.max(oldest);
    }
}
