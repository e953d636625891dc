//! Addresses of daemons to attach to.

use crate::generated::mesh as wire;

/// A daemon to attach to.
///
/// Addresses are reused by later processes, also of other fleets. So the target includes the
/// expected incarnation, and a daemon with another incarnation refuses the stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Target {
    /// The mesh address.
    pub address: String,
    /// The expected incarnation; zero if only the address is known, from the settings.
    pub incarnation: u64,
}

impl Target {
    /// Returns a target that accepts any incarnation at an address from the settings.
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
