//! Mesh membership: the known daemons and the backend servers beside them.

pub mod batch;
mod liveness;
pub mod registry;
mod set;

pub use set::{MemberSet, SetSettings};

use crate::generated::mesh as wire;
use crate::generated::mesh::MemberState;
use serde_json::{Value, json};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The maximum number of daemons of a failure domain that read the configuration from the platform.
///
/// More than one, so that losing some of them at once does not delay the others; few, so that a
/// large failure domain avoids most of the platform traffic.
pub const READERS: usize = 4;

/// The minimum number, where the others have much slower links: over those a version takes longer to
/// read than to get from a peer.
pub const MIN_READERS: usize = 2;

/// The ordering key of one daemon's records: incarnation, sequence, state, compared in this order.
pub type Rank = (u64, u64, i32);

/// Returns the rank of a record; of two records with the same name, the one with the greater rank
/// wins.
#[must_use]
pub fn rank(member: &wire::Member) -> Rank {
    (member.incarnation, member.sequence, member.state)
}

/// An immutable view of the known daemons, with the upstreams of each service.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    members: BTreeMap<String, Arc<wire::Member>>,
    services: BTreeMap<String, Vec<Arc<wire::Member>>>,
    readers: BTreeMap<String, DomainReaders>,
}

/// Who reads from the platform for a failure domain.
#[derive(Clone, Debug, Default)]
struct DomainReaders {
    /// The daemons that come first, at most [`READERS`], in order.
    first: Vec<ReaderOrder>,
    /// The first of those that the platform does not answer.
    lost: Option<ReaderOrder>,
}

/// The order in which daemons become readers: those first that the platform answers, then by the rates of
/// their links in powers of two, then by name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReaderOrder {
    platform_lost: bool,
    link: Reverse<u32>,
    name: String,
}

impl ReaderOrder {
    fn of(member: &wire::Member) -> Self {
        let rate = member.link_mbps.checked_ilog2();
        ReaderOrder {
            platform_lost: member.platform_lost,
            link: Reverse(rate.map_or(0, |log| log + 1)),
            name: member.name.clone(),
        }
    }

    fn is_much_slower(&self, other: &ReaderOrder) -> bool {
        self.link.0 + 1 < other.link.0
    }
}

impl Fleet {
    /// Creates a fleet from records, keeping the one with the greatest rank for each name.
    #[must_use]
    pub fn new(records: impl IntoIterator<Item = wire::Member>) -> Self {
        let mut members: BTreeMap<String, Arc<wire::Member>> = BTreeMap::new();
        for record in records {
            let known = members.get(&record.name);
            if known.is_none_or(|known| rank(known) < rank(&record)) {
                members.insert(record.name.clone(), Arc::new(record));
            }
        }
        Fleet::from_members(members)
    }

    /// Creates a fleet from the current record of each name.
    ///
    /// Removed members and those whose inbound address a later process uses are left out.
    pub(crate) fn from_members(mut members: BTreeMap<String, Arc<wire::Member>>) -> Self {
        members.retain(|_, member| member.state() != MemberState::Gone);
        for name in superseded(members.values()) {
            members.remove(&name);
        }
        let mut services: BTreeMap<String, Vec<Arc<wire::Member>>> = BTreeMap::new();
        for member in members.values() {
            if takes_calls(member) {
                let list = services.entry(member.service.clone()).or_default();
                list.push(Arc::clone(member));
            }
        }
        Fleet {
            readers: domain_readers(&members),
            members,
            services,
        }
    }

    /// Returns every daemon that has not been removed, by name.
    #[must_use]
    pub fn members(&self) -> &BTreeMap<String, Arc<wire::Member>> {
        &self.members
    }

    /// Returns the daemons whose backend servers take calls for a service, ordered by name.
    #[must_use]
    pub fn upstreams(&self, service: &str) -> &[Arc<wire::Member>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Tests whether a daemon reads the configuration from the platform for its failure domain.
    ///
    /// It does while few enough daemons that are not draining precede it: those that the platform
    /// answers, those with faster links, and then by name. Up to [`READERS`] may read; where a daemon's
    /// link is slower than half of the first one's, up to [`MIN_READERS`].
    #[must_use]
    pub fn is_reader(&self, name: &str, domain: &str) -> bool {
        let Some(DomainReaders { first, .. }) = self.readers.get(domain) else {
            return true;
        };
        let own = self.reader_order(name);
        let is_slow = first
            .first()
            .is_some_and(|fastest| own.is_much_slower(fastest));
        let limit = if is_slow { MIN_READERS } else { READERS };
        first.iter().filter(|reader| **reader < own).count() < limit
    }

    /// Tests whether a reader only stands in for others while they are away: the platform answers a daemon
    /// whose link is more than twice as fast, in any failure domain, and turns no such daemon of the own
    /// one away. Versions arrive from there in the meantime.
    #[must_use]
    pub fn is_stand_in(&self, name: &str, domain: &str) -> bool {
        let own = self.reader_order(name);
        let lost = self.readers.get(domain).and_then(|own| own.lost.as_ref());
        let mut fastest = self
            .readers
            .values()
            .filter_map(|other| other.first.first());
        lost.is_none_or(|lost| !own.is_much_slower(lost))
            && fastest.any(|reader| !reader.platform_lost && own.is_much_slower(reader))
    }

    fn reader_order(&self, name: &str) -> ReaderOrder {
        match self.members.get(name) {
            Some(member) => ReaderOrder::of(member),
            None => ReaderOrder {
                platform_lost: false,
                link: Reverse(0),
                name: name.to_owned(),
            },
        }
    }

    /// Returns the fleet as JSON for the state dump.
    #[must_use]
    pub fn state(&self) -> Value {
        let members: Vec<Value> = self.members.values().map(|m| member_state(m)).collect();
        json!({ "count": members.len(), "members": members })
    }
}

/// Returns who reads for each failure domain.
fn domain_readers(
    members: &BTreeMap<String, Arc<wire::Member>>,
) -> BTreeMap<String, DomainReaders> {
    let mut domains: BTreeMap<String, DomainReaders> = BTreeMap::new();
    for member in members.values() {
        if member.state() != MemberState::Draining {
            let readers = domains.entry(member.domain.clone()).or_default();
            readers.first.push(ReaderOrder::of(member));
        }
    }
    for readers in domains.values_mut() {
        readers.first.sort();
        let mut lost = readers.first.iter().filter(|reader| reader.platform_lost);
        readers.lost = lost.next().cloned();
        readers.first.truncate(READERS);
    }
    domains
}

/// Tests whether new calls may be sent to a member: it has a service and is ready or suspected.
#[must_use]
pub fn takes_calls(member: &wire::Member) -> bool {
    let state = member.state();
    !member.service.is_empty() && matches!(state, MemberState::Ready | MemberState::Suspect)
}

/// Returns the names of the members whose inbound address is used by a later incarnation.
pub(crate) fn superseded<'a>(members: impl Iterator<Item = &'a Arc<wire::Member>>) -> Vec<String> {
    let mut holders: BTreeMap<&str, &wire::Member> = BTreeMap::new();
    let mut names = Vec::new();
    for member in members.filter(|member| !member.inbound.is_empty()) {
        let start_order = |member: &wire::Member| (member.incarnation, member.name.clone());
        let Some(holder) = holders.get_mut(member.inbound.as_str()) else {
            holders.insert(&member.inbound, member);
            continue;
        };
        if start_order(holder) < start_order(member) {
            names.push(holder.name.clone());
            *holder = member;
        } else {
            names.push(member.name.clone());
        }
    }
    names
}

fn member_state(member: &wire::Member) -> Value {
    json!({
        "name": member.name,
        "incarnation": member.incarnation,
        "sequence": member.sequence,
        "state": member.state().as_str_name(),
        "service": member.service,
        "domain": member.domain,
        "region": member.region,
        "inbound": member.inbound,
        "mesh": member.mesh,
        "link_mbps": member.link_mbps,
        "platform_lost": member.platform_lost,
        "version": member.version,
    })
}
