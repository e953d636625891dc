//! Which daemons of a failure domain read the configuration from the platform.

use super::{MIN_READERS, READERS};
use crate::generated::mesh as wire;
use crate::generated::mesh::MemberState;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Number of further daemons that try to read for each one that the platform does not answer, while none is
/// known that it answers. With four readers turned away, the first search asks twelve daemons: if the platform
/// answers a fifth of all, one of them is answered in 93 searches of 100.
const SEARCH_FACTOR: usize = 2;

/// Why a daemon with a slow link does not read at once, although few enough daemons precede it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StandIn {
    /// Others are away, and a daemon with a much faster link reads elsewhere.
    Away,
    /// All daemons with much faster links are shutting down. They read until they stop; meanwhile, news of one
    /// that has returned may still be on its way.
    Leaving,
}

/// Who reads from the platform for a failure domain.
#[derive(Clone, Debug, Default)]
pub(super) struct DomainReaders {
    /// The daemons that are not draining.
    order: Vec<ReaderOrder>,
    /// The number of those that the platform does not answer, which come last.
    lost: usize,
    /// The first of those that state that the platform answers them, at most [`READERS`].
    answered: Vec<ReaderOrder>,
    /// The first of the daemons that are draining and that the platform answers.
    leaving: Option<ReaderOrder>,
    /// Whether the platform answers none of the daemons that would read if it answered all.
    all_turned_away: bool,
}

/// The order in which daemons become readers: those first that the platform answers, then by the rates of
/// their links in powers of two, then by name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReaderOrder {
    platform_lost: bool,
    link: Reverse<u32>,
    name: String,
}

impl ReaderOrder {
    pub(super) fn of(member: &wire::Member) -> Self {
        let rate = member.link_mbps.checked_ilog2();
        ReaderOrder {
            platform_lost: member.platform_lost,
            link: Reverse(rate.map_or(0, |log| log + 1)),
            name: member.name.clone(),
        }
    }

    /// The order of a daemon whose record is not known.
    pub(super) fn unknown(name: &str) -> Self {
        ReaderOrder {
            platform_lost: false,
            link: Reverse(0),
            name: name.to_owned(),
        }
    }

    fn is_much_slower(&self, other: &ReaderOrder) -> bool {
        self.link.0 + 1 < other.link.0
    }

    /// The number of readers that may precede this daemon if it is to read, given the first of all.
    fn limit(&self, first: Option<&ReaderOrder>) -> usize {
        if first.is_some_and(|first| self.is_much_slower(first)) {
            MIN_READERS
        } else {
            READERS
        }
    }
}

impl DomainReaders {
    /// Returns who reads for each failure domain.
    pub(super) fn by_domain(
        members: &BTreeMap<String, Arc<wire::Member>>,
    ) -> BTreeMap<String, DomainReaders> {
        let mut domains: BTreeMap<String, DomainReaders> = BTreeMap::new();
        for member in members.values() {
            let readers = domains.entry(member.domain.clone()).or_default();
            readers.insert(member);
        }
        for readers in domains.values_mut() {
            readers.sort();
        }
        domains
    }

    fn insert(&mut self, member: &wire::Member) {
        let order = ReaderOrder::of(member);
        let is_lost = member.platform_lost;
        if member.state() == MemberState::Draining {
            let precedes = self.leaving.as_ref().is_none_or(|first| order < *first);
            if precedes && !is_lost {
                self.leaving = Some(order);
            }
            return;
        }
        if member.platform_answers && !is_lost {
            self.answered.push(order.clone());
        }
        self.order.push(order);
    }

    fn sort(&mut self) {
        self.order
            .sort_by(|a, b| (a.link, &a.name).cmp(&(b.link, &b.name)));
        let first = self.order.first();
        let mut usual = self.order.iter().enumerate();
        self.all_turned_away =
            usual.all(|(rank, reader)| reader.platform_lost || rank >= reader.limit(first));
        // Stable, so that the order by links and names remains among the others.
        self.order.sort_by_key(|reader| reader.platform_lost);
        self.lost = self.order.iter().filter(|r| r.platform_lost).count();
        self.answered.sort();
        self.answered.truncate(READERS);
    }

    /// Tests whether a daemon reads from the platform: one of the first, or one that the platform answers while
    /// it turns others away.
    pub(super) fn is_reader(&self, own: &ReaderOrder) -> bool {
        if self.rank(own) < own.limit(self.order.first()) {
            return true;
        }
        let limit = own.limit(self.answered.first());
        self.lost > 0 && self.answered.iter().take(limit).any(|reader| reader == own)
    }

    /// Tests whether a daemon tries to read, since the platform answers none of the daemons that would read if it
    /// answered all, and is not known to answer any other.
    pub(super) fn is_candidate(&self, own: &ReaderOrder) -> bool {
        let limit = own.limit(self.order.first()) + SEARCH_FACTOR * self.lost;
        self.all_turned_away
            && self.answered.is_empty()
            && !own.platform_lost
            && self.rank(own) < limit
    }

    fn rank(&self, own: &ReaderOrder) -> usize {
        self.order.partition_point(|reader| reader < own)
    }

    /// Tests whether the platform is known not to answer some daemon.
    pub(super) fn has_lost(&self) -> bool {
        self.lost > 0
    }

    /// Tests whether the platform does not answer a daemon whose link is more than twice as fast.
    pub(super) fn has_lost_faster(&self, own: &ReaderOrder) -> bool {
        let first = self.order.get(self.order.len() - self.lost..);
        let first = first.and_then(|lost| lost.first());
        first.is_some_and(|reader| own.is_much_slower(reader))
    }

    /// Tests whether the first reader has a link more than twice as fast, and is not known to be turned away.
    pub(super) fn has_faster(&self, own: &ReaderOrder) -> bool {
        let first = self.order.first();
        first.is_some_and(|reader| !reader.platform_lost && own.is_much_slower(reader))
    }

    /// Tests whether the platform is known to answer a daemon whose link is more than twice as fast.
    pub(super) fn has_answered_faster(&self, own: &ReaderOrder) -> bool {
        let first = self.answered.first();
        first.is_some_and(|reader| own.is_much_slower(reader))
    }

    /// Tests whether a daemon whose link is more than twice as fast is draining.
    pub(super) fn has_leaving_faster(&self, own: &ReaderOrder) -> bool {
        let leaving = self.leaving.as_ref();
        leaving.is_some_and(|reader| own.is_much_slower(reader))
    }

    /// Returns the names of the daemons that are to learn from a reader that the platform does not answer it:
    /// those that read in its place, until one is known that the platform answers.
    pub(super) fn successors(&self) -> impl Iterator<Item = &str> {
        let is_known = !self.answered.is_empty();
        let others = self.order.iter().filter(|reader| !reader.platform_lost);
        others
            .filter(move |reader| {
                !is_known && (self.is_reader(reader) || self.is_candidate(reader))
            })
            .map(|reader| reader.name.as_str())
    }
}
