//! The daemons among which the owners of accounts are chosen.

use crate::generated::mesh as wire;
use crate::member::Fleet;
use std::cmp::Reverse;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// The number of daemons among which the owners are chosen: few, so that each is asked often by all daemons.
pub const MAX_OWNERS: usize = 8;

/// Returns the daemons among which owners are chosen: those with the fastest links, by name.
#[must_use]
pub fn owners(fleet: &Fleet) -> Vec<Arc<wire::Member>> {
    let members = fleet.members().values();
    let mut members: Vec<&Arc<wire::Member>> = members
        .filter(|member| member.state() == wire::MemberState::Ready)
        .collect();
    let speed = |member: &wire::Member| member.link_mbps.checked_ilog2().map_or(0, |log| log + 1);
    members.sort_by(|a, b| (Reverse(speed(a)), &a.name).cmp(&(Reverse(speed(b)), &b.name)));
    members.truncate(MAX_OWNERS);
    members.into_iter().cloned().collect()
}

/// The names of the daemons among which a daemon chooses the owner of each account.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct OwnerList {
    names: Arc<[String]>,
}

impl OwnerList {
    /// Creates a list.
    #[must_use]
    pub fn new(names: impl IntoIterator<Item = String>) -> Self {
        OwnerList {
            names: names.into_iter().collect(),
        }
    }

    /// Returns the owner of an organisation's account, by rendezvous hashing; `None` if the list is empty.
    #[must_use]
    pub fn owner(&self, organisation: &str) -> Option<&str> {
        let names = self.names.iter().map(String::as_str);
        names.max_by_key(|name| {
            let key = format!("{name} {organisation}");
            (xxh3_64(key.as_bytes()), Reverse(*name))
        })
    }

    /// Iterates over the names.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.names.iter().map(String::as_str)
    }

    /// Formats the list for a header: names, which contain no commas, separated by commas.
    #[must_use]
    pub fn to_text(&self) -> String {
        self.names.join(",")
    }

    /// Parses a list from a header.
    #[must_use]
    pub fn read(text: &str) -> Self {
        let names = text.split(',').filter(|name| !name.is_empty());
        OwnerList::new(names.map(ToOwned::to_owned))
    }
}
