//! The instances of a backend server that leave.
//!
//! Once acknowledged, a leave holds for the rest of the instance's life, also after a restart of the daemon.

use crate::generated::mesh as wire;

/// The maximum number of instances that are remembered; the oldest is dropped first.
pub const MAX_LEAVES: usize = 16;

/// Instances that leave, with their start times. A later start of an instance is not covered.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Leaves {
    /// Newest last, each with its start time in milliseconds since the Unix epoch.
    instances: Vec<(String, u64)>,
}

impl Leaves {
    /// Adds an instance that started at `born_ms`; returns whether it was new.
    pub fn insert(&mut self, instance: &str, born_ms: u64) -> bool {
        if self.contains(instance, born_ms) {
            return false;
        }
        self.instances.retain(|(id, _)| id != instance);
        if self.instances.len() == MAX_LEAVES {
            self.instances.remove(0);
        }
        self.instances.push((instance.to_owned(), born_ms));
        true
    }

    /// Adds all of `other`; returns whether any was new.
    pub fn merge(&mut self, other: &Leaves) -> bool {
        let instances = other.instances.iter();
        instances.fold(false, |new, (id, born_ms)| self.insert(id, *born_ms) | new)
    }

    /// Tests whether this start of an instance, or a later one, leaves.
    #[must_use]
    pub fn contains(&self, instance: &str, born_ms: u64) -> bool {
        let mut instances = self.instances.iter();
        instances.any(|(id, born)| id == instance && *born >= born_ms)
    }

    /// Tests whether all of `other` is contained.
    #[must_use]
    pub fn contains_all(&self, other: &Leaves) -> bool {
        let mut instances = other.instances.iter();
        instances.all(|(id, born_ms)| self.contains(id, *born_ms))
    }

    /// Tests whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    /// Encodes the leaves for a message.
    #[must_use]
    pub fn to_wire(&self) -> Vec<wire::Leave> {
        let instances = self.instances.iter();
        instances
            .map(|(instance, born_ms)| wire::Leave {
                instance: instance.clone(),
                born_ms: *born_ms,
            })
            .collect()
    }

    /// Decodes the leaves of a message.
    #[must_use]
    pub fn from_wire(leaves: &[wire::Leave]) -> Self {
        let mut decoded = Leaves::default();
        for leave in leaves {
            decoded.insert(&leave.instance, leave.born_ms);
        }
        decoded
    }
}
