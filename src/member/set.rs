//! The records of all daemons that one daemon knows, merged without regard to their order.
//!
//! Of two records of one name the one of greater rank holds, so merging is commutative,
//! associative and idempotent. Only a daemon itself raises its sequence; a relay raises the state
//! to `SUSPECT` and then `GONE` at the same sequence, and an announcement of the next sequence
//! beats both. A record that has gone stays as a tombstone for a bounded time, so that a late
//! copy of the record does not bring it back. A copy that comes later still ends up with the
//! relays of its failure domain, which find it attached to none of them; see `liveness`.

use super::liveness::{Liveness, attachment_key};
use super::{Fleet, rank};
use crate::generated::mesh as wire;
use crate::generated::mesh::MemberState;
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use tokio::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// The greatest number of tombstones kept; the oldest go first.
const MAX_TOMBSTONES: usize = 4_096;

/// Times and shares of a [`MemberSet`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SetSettings {
    /// Time without a stream after which a relay suspects a daemon.
    pub suspect_after: Duration,
    /// Time without a stream after which a relay removes a daemon.
    pub gone_after: Duration,
    /// Time for which a tombstone is kept.
    pub tombstone: Duration,
    /// Share of a service's backend servers that may vanish within the window, in percent.
    pub vanish_percent: usize,
    /// Time within which vanished backend servers count together.
    pub vanish_window: Duration,
    /// Time after which even kept backend servers are removed.
    pub keep_limit: Duration,
}

impl Default for SetSettings {
    fn default() -> Self {
        SetSettings {
            suspect_after: Duration::from_secs(3),
            gone_after: Duration::from_secs(15),
            tombstone: Duration::from_mins(10),
            vanish_percent: 50,
            vanish_window: Duration::from_secs(30),
            keep_limit: Duration::from_mins(10),
        }
    }
}

/// A record with what is known about its end.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) record: Arc<wire::Member>,
    hash: u64,
    pub(super) gone: Option<Tombstone>,
}

/// When and how a member went.
#[derive(Clone, Copy, Debug)]
pub(super) struct Tombstone {
    pub(super) at: Instant,
    /// It replaced a record that some daemon still held, so it is sent on synchronisation.
    replaced: bool,
    /// The daemon was lost; it did not leave by itself.
    pub(super) vanished: bool,
}

/// The records of all daemons known.
#[derive(Debug)]
pub struct MemberSet {
    pub(super) domain: String,
    pub(super) settings: SetSettings,
    pub(super) entries: BTreeMap<String, Entry>,
    pub(super) liveness: Liveness,
    /// The sum of record hashes of each failure domain, tombstones left out.
    digests: BTreeMap<String, DomainSum>,
}

#[derive(Debug, Default)]
struct DomainSum {
    digest: u64,
    names: BTreeSet<String>,
}

impl MemberSet {
    /// Makes an empty set for a daemon of a failure domain.
    #[must_use]
    pub fn new(domain: &str, settings: SetSettings) -> Self {
        MemberSet {
            domain: domain.into(),
            settings,
            entries: BTreeMap::new(),
            liveness: Liveness::default(),
            digests: BTreeMap::new(),
        }
    }

    /// Takes in records, and returns those that changed the set, to be passed on.
    pub fn merge(&mut self, records: Vec<wire::Member>, now: Instant) -> Vec<wire::Member> {
        let mut changed = Vec::new();
        for record in records {
            if self.insert(&record, now) {
                changed.push(record);
            }
        }
        changed
    }

    /// Takes in the record of a daemon whose stream this relay holds; a relay attaches itself too.
    ///
    /// Returns the records that changed the set.
    pub fn attach(&mut self, record: wire::Member, now: Instant) -> Vec<wire::Member> {
        self.liveness.attach(&record.name, record.incarnation);
        self.merge(vec![record], now)
    }

    /// Notes that a daemon's stream has ended.
    ///
    /// The daemon may attach to another relay, so nothing changes before [`MemberSet::sweep`] finds
    /// that it has not.
    pub fn detach(&mut self, name: &str, incarnation: u64, now: Instant) {
        self.liveness.detach(name, incarnation, now);
    }

    /// Returns the record that holds for a name, also one that has gone.
    #[must_use]
    pub fn record(&self, name: &str) -> Option<&wire::Member> {
        self.entries.get(name).map(|entry| entry.record.as_ref())
    }

    /// Returns the sequence with which a daemon must announce itself again.
    ///
    /// It is `None` while the record that holds says no worse than the daemon's own.
    #[must_use]
    pub fn refutation(&self, own: &wire::Member) -> Option<u64> {
        let known = self.record(&own.name)?;
        let beaten = known.incarnation == own.incarnation && rank(known) > rank(own);
        beaten.then_some(known.sequence + 1)
    }

    /// Returns the digest of each failure domain's records.
    #[must_use]
    pub fn digests(&self) -> Vec<wire::DomainDigest> {
        let sums = self.digests.iter();
        sums.filter(|(_, sum)| sum.digest != 0)
            .map(|(domain, sum)| wire::DomainDigest {
                domain: domain.clone(),
                digest: sum.digest,
            })
            .collect()
    }

    /// Returns the digest of all records.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let domains = self.digests().into_iter();
        domains
            .map(|domain| xxh3_64(&domain.encode_to_vec()))
            .fold(0, u64::wrapping_add)
    }

    /// Compares with another set's digests.
    ///
    /// Returns the records of the failure domains that differ, and the names of those, of which
    /// this set may lack something: the other's digest does not count its tombstones.
    #[must_use]
    pub fn newer_than(&self, theirs: &[wire::DomainDigest]) -> (Vec<wire::Member>, Vec<String>) {
        let theirs: BTreeMap<&str, u64> = theirs
            .iter()
            .map(|their| (their.domain.as_str(), their.digest))
            .collect();
        let domains: BTreeSet<&str> = self
            .digests
            .keys()
            .map(String::as_str)
            .chain(theirs.keys().copied())
            .collect();
        let differing = domains.into_iter().filter(|domain| {
            let their = theirs.get(domain).copied().unwrap_or(0);
            self.domain_digest(domain) != their
        });
        let wanted: Vec<String> = differing.map(Into::into).collect();
        let records = wanted.iter().flat_map(|domain| self.records_of(domain));
        let records = records.collect();
        (records, wanted)
    }

    /// Returns the records of a failure domain, with the tombstones that others may need.
    #[must_use]
    pub fn records_of(&self, domain: &str) -> Vec<wire::Member> {
        let Some(sum) = self.digests.get(domain) else {
            return Vec::new();
        };
        let entries = sum.names.iter().filter_map(|name| self.entries.get(name));
        entries
            .filter(|entry| entry.gone.is_none_or(|gone| gone.replaced))
            .map(|entry| entry.record.as_ref().clone())
            .collect()
    }

    /// Returns the daemons that have not gone.
    #[must_use]
    pub fn fleet(&self) -> Fleet {
        let entries = self.entries.iter();
        let members = entries
            .filter(|(_, entry)| entry.gone.is_none())
            .map(|(name, entry)| (name.clone(), Arc::clone(&entry.record)))
            .collect();
        Fleet::from_members(members)
    }

    /// Starts to judge the daemons of this failure domain as one of its relays.
    pub fn start_relay(&mut self) {
        self.liveness.start();
    }

    /// Leaves the judging to the relays.
    pub fn stop_relay(&mut self) {
        self.liveness = Liveness::default();
    }

    /// Returns a key for each daemon attached here, for the other relays of the failure domain.
    #[must_use]
    pub fn attached(&self) -> Vec<u64> {
        self.liveness.attached()
    }

    /// Notes what another relay of the failure domain has attached; replaces what it said before.
    pub fn vouch(&mut self, relay: &str, keys: Vec<u64>) {
        self.liveness.vouch(relay, keys);
    }

    /// Forgets what another relay had attached, since it is out of reach.
    pub fn unvouch(&mut self, relay: &str) {
        self.liveness.unvouch(relay);
    }

    /// Does what is due, and returns the records that changed.
    ///
    /// A relay suspects and removes the daemons of its failure domain that no relay of it has
    /// attached. Every daemon drops old tombstones.
    pub fn sweep(&mut self, now: Instant) -> Vec<wire::Member> {
        let changed = self.judge(now);
        self.bury(now);
        changed
    }

    /// Raises a record to a worse state at the same sequence.
    pub(super) fn raise(
        &mut self,
        record: &wire::Member,
        state: MemberState,
        now: Instant,
    ) -> Vec<wire::Member> {
        let mut raised = record.clone();
        raised.set_state(state);
        self.merge(vec![raised], now)
    }

    fn domain_digest(&self, domain: &str) -> u64 {
        self.digests.get(domain).map_or(0, |sum| sum.digest)
    }

    fn insert(&mut self, record: &wire::Member, now: Instant) -> bool {
        let known = self.entries.get_mut(&record.name);
        if let Some(known) = known
            && !beats(record, &known.record)
        {
            // Somebody still holds what the tombstone replaces.
            if let Some(gone) = &mut known.gone
                && !gone.replaced
                && record.state() != MemberState::Gone
            {
                gone.replaced = true;
                gone.at = now;
            }
            return false;
        }
        let previous = self.entries.get(&record.name);
        let alive = previous.filter(|entry| entry.gone.is_none());
        let renewed = alive.is_none_or(|entry| life(&entry.record) != life(record));
        let vanished = alive.is_some_and(|entry| {
            life(&entry.record) == life(record) && entry.record.state() != MemberState::Draining
        });
        let gone = (record.state() == MemberState::Gone).then_some(Tombstone {
            at: now,
            replaced: alive.is_some(),
            vanished,
        });
        if renewed {
            self.liveness.renew(&record.name);
        }
        self.forget(&record.name.clone());
        let hash = match gone {
            Some(_) => 0,
            None => xxh3_64(&record.encode_to_vec()),
        };
        let sum = self.digests.entry(record.domain.clone()).or_default();
        sum.digest = sum.digest.wrapping_add(hash);
        sum.names.insert(record.name.clone());
        let record = Arc::new(record.clone());
        let entry = Entry { record, hash, gone };
        self.entries.insert(entry.record.name.clone(), entry);
        true
    }

    /// Drops an entry and takes it out of its failure domain's digest.
    fn forget(&mut self, name: &str) {
        let Some(entry) = self.entries.remove(name) else {
            return;
        };
        let domain = &entry.record.domain;
        let Some(sum) = self.digests.get_mut(domain) else {
            return;
        };
        sum.digest = sum.digest.wrapping_sub(entry.hash);
        sum.names.remove(name);
        if sum.names.is_empty() {
            self.digests.remove(domain);
        }
    }

    /// Drops the tombstones that are too old or too many.
    fn bury(&mut self, now: Instant) {
        let entries = self.entries.iter();
        let mut stones: Vec<(Instant, String)> = entries
            .filter_map(|(name, entry)| Some((entry.gone?.at, name.clone())))
            .collect();
        stones.sort();
        let surplus = stones.len().saturating_sub(MAX_TOMBSTONES);
        for (index, (at, name)) in stones.into_iter().enumerate() {
            if index < surplus || now.saturating_duration_since(at) >= self.settings.tombstone {
                self.forget(&name);
            }
        }
    }

    /// Tests whether a relay of this failure domain holds the daemon's stream.
    pub(super) fn is_attached(&self, record: &wire::Member) -> bool {
        let key = attachment_key(&record.name, record.incarnation);
        self.liveness.holds(&record.name, record.incarnation, key)
    }
}

/// Tests whether one record of a name holds against another; content breaks ties.
fn beats(record: &wire::Member, known: &wire::Member) -> bool {
    match rank(record).cmp(&rank(known)) {
        std::cmp::Ordering::Less => false,
        std::cmp::Ordering::Greater => true,
        std::cmp::Ordering::Equal => {
            record != known && record.encode_to_vec() > known.encode_to_vec()
        }
    }
}

/// Returns what a daemon itself raises: its incarnation and sequence.
fn life(record: &wire::Member) -> (u64, u64) {
    (record.incarnation, record.sequence)
}
