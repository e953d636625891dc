//! A daemon to attach to.

use crate::generated::mesh as wire;

/// A daemon to attach to.
///
/// Addresses are used again by later processes, also of other fleets. So a daemon says which
/// incarnation it means, and any other one refuses it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Target {
    /// The mesh address.
    pub address: String,
    /// The incarnation; zero where only the address is known, from the settings.
    pub incarnation: u64,
}

impl Target {
    /// Returns the target of an address from the settings.
    #[must_use]
    pub fn any(address: &str) -> Self {
        Target {
            address: address.into(),
            incarnation: 0,
        }
    }
}

impl AsRef<str> for Target {
    fn as_ref(&self) -> &str {
        &self.address
    }
}

impl From<&wire::RelayRecord> for Target {
    fn from(record: &wire::RelayRecord) -> Self {
        Target {
            address: record.address.clone(),
            incarnation: record.incarnation,
        }
    }
}

impl From<&wire::Member> for Target {
    fn from(member: &wire::Member) -> Self {
        Target {
            address: member.mesh.clone(),
            incarnation: member.incarnation,
        }
    }
}
