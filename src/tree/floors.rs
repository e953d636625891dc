//! Version floors of the children.

use std::collections::BTreeMap;

/// Maximum number of daemons tracked.
pub const MAX_FLOORS: usize = 4_096;

/// The floor of each child, by name: the minimum version that it may apply after a restart.
///
/// This is the highest version that the child has acknowledged here, in any incarnation.
#[derive(Debug, Default)]
pub struct Floors {
    versions: BTreeMap<String, u64>,
}

impl Floors {
    /// Returns the floor of a daemon; zero if unknown.
    #[must_use]
    pub fn get(&self, name: &str) -> u64 {
        self.versions.get(name).copied().unwrap_or(0)
    }

    /// Raises the floor of a daemon to a version that it has in force.
    ///
    /// When more than [`MAX_FLOORS`] daemons are tracked, the one with the lowest version is
    /// removed, since it has been disconnected for longest.
    pub fn raise(&mut self, name: &str, version: u64) {
        match self.versions.get_mut(name) {
            Some(known) => *known = version.max(*known),
            None => {
                self.versions.insert(name.into(), version);
            }
        }
        if self.versions.len() > MAX_FLOORS {
            self.evict_lowest();
        }
    }

    fn evict_lowest(&mut self) {
        let lowest = self.versions.iter().min_by_key(|(_, version)| **version);
        if let Some(name) = lowest.map(|(name, _)| name.clone()) {
            self.versions.remove(&name);
        }
    }
}
