//! Mesh membership: the known daemons and the backend servers beside them.

pub mod batch;
mod liveness;
mod readers;
pub mod registry;
mod set;

pub use readers::StandIn;
pub use set::{MemberSet, SetSettings};

use crate::generated::mesh as wire;
use crate::generated::mesh::MemberState;
use readers::{DomainReaders, ReaderOrder};
use serde_json::{Value, json};
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
        Fleet::from_members(members, |_| true)
    }

    /// Creates a fleet from the current record of each name.
    ///
    /// Removed members and those whose inbound address a later process uses are left out, if that is known to
    /// answer there.
    pub(crate) fn from_members(
        mut members: BTreeMap<String, Arc<wire::Member>>,
        answers: impl Fn(&wire::Member) -> bool,
    ) -> Self {
        members.retain(|_, member| member.state() != MemberState::Gone);
        for name in superseded(members.values(), answers) {
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
            readers: DomainReaders::by_domain(&members),
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
    ///
    /// So do those that state that the platform answers them while it turns others away.
    #[must_use]
    pub fn is_reader(&self, name: &str, domain: &str) -> bool {
        let Some(readers) = self.readers.get(domain) else {
            return true;
        };
        readers.is_reader(&self.reader_order(name))
    }

    /// Tests whether a daemon that is no reader tries to read: the platform answers none of the daemons that
    /// would read if it answered all, and is not known to answer any other.
    ///
    /// The number of these daemons grows with that of the ones turned away, so that the search takes a few steps
    /// whatever their share.
    #[must_use]
    pub fn is_candidate(&self, name: &str, domain: &str) -> bool {
        let readers = self.readers.get(domain);
        readers.is_some_and(|readers| readers.is_candidate(&self.reader_order(name)))
    }

    /// Tests whether the platform is known not to answer some daemon of a failure domain.
    #[must_use]
    pub fn has_lost_platform(&self, domain: &str) -> bool {
        let readers = self.readers.get(domain);
        readers.is_some_and(DomainReaders::has_lost)
    }

    /// Returns the daemons that are to learn at once that the platform no longer answers a reader of their
    /// failure domain, since they read in its place. There are none once the platform is known to answer one
    /// of them.
    #[must_use]
    pub fn successors(&self, domain: &str) -> Vec<Arc<wire::Member>> {
        let readers = self.readers.get(domain);
        let names = readers.into_iter().flat_map(DomainReaders::successors);
        names
            .filter_map(|name| self.members.get(name).cloned())
            .collect()
    }

    /// Returns the daemons of a failure domain to which a reader sends each version: a part of those that do not read
    /// from the platform. Each reader has a part of its own.
    #[must_use]
    pub fn dependents(&self, name: &str, domain: &str) -> Vec<Arc<wire::Member>> {
        let members = self.members.values();
        let members = members.filter(|member| member.domain == domain);
        let (readers, others): (Vec<_>, Vec<_>) =
            members.partition(|member| self.is_reader(&member.name, domain));
        let Some(part) = readers.iter().position(|reader| reader.name == name) else {
            return Vec::new();
        };
        let part = others.into_iter().skip(part).step_by(readers.len());
        part.cloned().collect()
    }

    /// Returns the daemons other than this one that read from the platform, of all failure domains.
    #[must_use]
    pub fn other_readers(&self, name: &str) -> Vec<Arc<wire::Member>> {
        let members = self.members.values();
        let readers = members
            .filter(|member| member.name != name && self.is_reader(&member.name, &member.domain));
        readers.cloned().collect()
    }

    /// Tests whether a reader only stands in for others while they are away: a daemon whose link is more than
    /// twice as fast, in any failure domain, states that the platform answers it while it turns others away,
    /// or is not known to be turned away, as no such daemon of the own one is. Versions arrive from there in
    /// the meantime.
    #[must_use]
    pub fn is_stand_in(&self, name: &str, domain: &str) -> bool {
        let own = self.reader_order(name);
        let mut domains = self.readers.values();
        if domains.clone().any(|other| other.has_answered_faster(&own)) {
            return true;
        }
        let readers = self.readers.get(domain);
        !readers.is_some_and(|readers| readers.has_lost_faster(&own))
            && domains.any(|other| other.has_faster(&own))
    }

    /// Returns why a reader or candidate does not read at once, if it has to wait.
    #[must_use]
    pub fn stand_in(&self, name: &str, domain: &str) -> Option<StandIn> {
        if self.is_stand_in(name, domain) {
            return Some(StandIn::Away);
        }
        let own = self.reader_order(name);
        let readers = self.readers.get(domain);
        let has_lost = readers.is_some_and(|readers| readers.has_lost_faster(&own));
        let mut domains = self.readers.values();
        let is_leaving = !has_lost && domains.any(|other| other.has_leaving_faster(&own));
        is_leaving.then_some(StandIn::Leaving)
    }

    fn reader_order(&self, name: &str) -> ReaderOrder {
        let member = self.members.get(name);
        member.map_or_else(|| ReaderOrder::unknown(name), |m| ReaderOrder::of(m))
    }

    /// Returns the fleet as JSON for the state dump.
    #[must_use]
    pub fn state(&self) -> Value {
        let members: Vec<Value> = self.members.values().map(|m| member_state(m)).collect();
        json!({ "count": members.len(), "members": members })
    }
}

/// Tests whether new calls may be sent to a member: it has a service and is ready or suspected.
#[must_use]
pub fn takes_calls(member: &wire::Member) -> bool {
    let state = member.state();
    !member.service.is_empty() && matches!(state, MemberState::Ready | MemberState::Suspect)
}

/// Returns the names of the members whose inbound address is used by a later incarnation that `answers` there.
pub(crate) fn superseded<'a>(
    members: impl Iterator<Item = &'a Arc<wire::Member>> + Clone,
    answers: impl Fn(&wire::Member) -> bool,
) -> Vec<String> {
    let members = members.filter(|member| !member.inbound.is_empty());
    let mut holders = BTreeMap::new();
    for member in members.clone().filter(|member| answers(member)) {
        let order = start_order(member);
        let holder = holders.entry(member.inbound.as_str()).or_insert(order);
        *holder = order.max(*holder);
    }
    let superseded = members.filter(|member| {
        let holder = holders.get(member.inbound.as_str());
        holder.is_some_and(|holder| start_order(member) < *holder)
    });
    superseded.map(|member| member.name.clone()).collect()
}

/// The order of the processes at one address, by their start.
fn start_order(member: &wire::Member) -> (u64, &str) {
    (member.incarnation, &member.name)
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
        "platform_answers": member.platform_answers,
        "version": member.version,
    })
}
