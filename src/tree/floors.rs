//! The greatest version that each child is known to have put in force.

use std::collections::BTreeMap;

/// Greatest number of daemons remembered.
pub const MAX_FLOORS: usize = 4_096;

/// The greatest version that each child is known to have put in force, in any incarnation.
#[derive(Debug, Default)]
pub struct Floors {
    versions: BTreeMap<String, u64>,
}

impl Floors {
    /// Returns the greatest version of a daemon; zero when it is not known.
    #[must_use]
    pub fn get(&self, name: &str) -> u64 {
        self.versions.get(name).copied().unwrap_or(0)
    }

    /// Notes that a daemon has put a version in force.
    ///
    /// When too many are remembered, the one with the least version is forgotten: it is the one
    /// that has been away for longest.
    pub fn raise(&mut self, name: &str, version: u64) {
        match self.versions.get_mut(name) {
            Some(known) => *known = version.max(*known),
            None => {
                self.versions.insert(name.into(), version);
            }
        }
        if self.versions.len() > MAX_FLOORS {
            self.forget_least();
        }
    }

    fn forget_least(&mut self) {
        let least = self.versions.iter().min_by_key(|(_, version)| **version);
        if let Some(name) = least.map(|(name, _)| name.clone()) {
            self.versions.remove(&name);
        }
    }
}
