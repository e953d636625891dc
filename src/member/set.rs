//! The replicated set of member records, merged independently of their order.
//!
//! Of two records with the same name, the one with the greater rank wins, so merging is
//! commutative, associative and idempotent. Only a daemon itself increments its sequence; a relay
//! changes the state to `SUSPECT` and then `GONE` at the same sequence, and an announcement with
//! the next sequence outranks both. A removed record stays as a tombstone for a bounded time, so that a
//! late copy of the record does not restore it. A copy that arrives after that time reaches the
//! relays of its failure domain, which remove it because none of them has it attached; see
//! `liveness`.

use super::liveness::{Liveness, attachment_key};
use super::{Fleet, rank};
use crate::generated::mesh as wire;
use crate::generated::mesh::MemberState;
use prost::Message;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use tokio::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// The maximum number of tombstones; the oldest are dropped first.
const MAX_TOMBSTONES: usize = 4_096;

/// Time limits and thresholds of a [`MemberSet`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SetSettings {
    /// Time without a stream after which a relay suspects a daemon.
    pub suspect_after: Duration,
    /// Time without a stream after which a relay removes a daemon.
    pub gone_after: Duration,
    /// Time for which a tombstone is kept before it is dropped.
    pub tombstone: Duration,
    /// The percentage of a service's backend servers that may be lost within `vanish_window`; when
    /// more are lost, they are kept as suspects.
    pub vanish_percent: usize,
    /// Time within which lost backend servers are counted together.
    pub vanish_window: Duration,
    /// Time without a stream after which a daemon is removed even if its service loses too many.
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

/// A record, its hash and its tombstone if it was removed.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) record: Arc<wire::Member>,
    /// The hash that counts in the digest; zero for a tombstone.
    hash: u64,
    pub(super) tombstone: Option<Tombstone>,
}

/// When and how a member was removed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Tombstone {
    pub(super) at: Instant,
    /// Whether other daemons may still have the live record, since this set had or received it.
    /// Only then is the tombstone sent on synchronisation.
    replaced: bool,
    /// Whether the daemon was lost without draining first.
    pub(super) vanished: bool,
}

/// The records of all known daemons, with digests for synchronisation.
#[derive(Debug)]
pub struct MemberSet {
    pub(super) domain: String,
    pub(super) settings: SetSettings,
    pub(super) entries: BTreeMap<String, Entry>,
    pub(super) liveness: Liveness,
    /// The digest of each failure domain; tombstones do not count.
    digests: BTreeMap<String, DomainSum>,
}

#[derive(Debug, Default)]
struct DomainSum {
    /// The wrapping sum of the record hashes.
    digest: u64,
    names: BTreeSet<String>,
}

impl MemberSet {
    /// Creates an empty set for a daemon of a failure domain.
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

    /// Merges records, and returns those that changed the set, to be forwarded.
    pub fn merge(&mut self, records: Vec<wire::Member>, now: Instant) -> Vec<wire::Member> {
        let mut changed = Vec::new();
        for record in records {
            if self.insert(&record, now) {
                changed.push(record);
            }
        }
        changed
    }

    /// Merges the record of a daemon attached to this relay; a relay attaches itself too.
    ///
    /// Returns the records that changed the set.
    pub fn attach(&mut self, record: wire::Member, now: Instant) -> Vec<wire::Member> {
        self.liveness.attach(&record.name, record.incarnation);
        self.merge(vec![record], now)
    }

    /// Records that a daemon's stream has ended.
    ///
    /// The daemon may attach to another relay, so its record changes only when
    /// [`MemberSet::sweep`] finds that it has not done so in time.
    pub fn detach(&mut self, name: &str, incarnation: u64, now: Instant) {
        self.liveness.detach(name, incarnation, now);
    }

    /// Returns the current record of a name, including that of a tombstone.
    #[must_use]
    pub fn record(&self, name: &str) -> Option<&wire::Member> {
        self.entries.get(name).map(|entry| entry.record.as_ref())
    }

    /// Returns the sequence with which a daemon must announce itself again to refute its record.
    ///
    /// Returns `None` while the current record does not outrank the daemon's own.
    #[must_use]
    pub fn refutation(&self, own: &wire::Member) -> Option<u64> {
        let known = self.record(&own.name)?;
        let outranked = known.incarnation == own.incarnation && rank(known) > rank(own);
        outranked.then_some(known.sequence + 1)
    }

    /// Returns the digest of each failure domain that has live records.
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

    /// Compares the digests of each failure domain with those of another set.
    ///
    /// Returns the records of the failure domains that differ, and the names of these domains. The
    /// other set's records of them are needed too, since this set may lack some; digests do not
    /// cover tombstones.
    #[must_use]
    pub fn diff(&self, theirs: &[wire::DomainDigest]) -> (Vec<wire::Member>, Vec<String>) {
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

    /// Returns the records of a failure domain, with the tombstones that others may lack.
    #[must_use]
    pub fn records_of(&self, domain: &str) -> Vec<wire::Member> {
        let Some(sum) = self.digests.get(domain) else {
            return Vec::new();
        };
        let entries = sum.names.iter().filter_map(|name| self.entries.get(name));
        entries
            .filter(|entry| entry.tombstone.is_none_or(|tombstone| tombstone.replaced))
            .map(|entry| entry.record.as_ref().clone())
            .collect()
    }

    /// Returns the daemons that have not been removed.
    #[must_use]
    pub fn fleet(&self) -> Fleet {
        let entries = self.entries.iter();
        let members = entries
            .filter(|(_, entry)| entry.tombstone.is_none())
            .map(|(name, entry)| (name.clone(), Arc::clone(&entry.record)))
            .collect();
        Fleet::from_members(members, |_| true)
    }

    /// Starts detecting lost daemons of this failure domain, as one of its relays.
    pub fn start_relay(&mut self) {
        self.liveness.start();
    }

    /// Stops detecting lost daemons, when this daemon is no longer a relay.
    pub fn stop_relay(&mut self) {
        self.liveness = Liveness::default();
    }

    /// Returns the attachment key of each daemon attached here, for the other relays.
    #[must_use]
    pub fn attached(&self) -> Vec<u64> {
        self.liveness.attached_keys()
    }

    /// Sets the attachment keys of another relay of the failure domain, replacing earlier ones.
    pub fn mark_attached(&mut self, relay: &str, keys: Vec<u64>) {
        self.liveness.set_peer_keys(relay, keys);
    }

    /// Removes the attachment keys of another relay, which is unreachable.
    pub fn clear_attached(&mut self, relay: &str) {
        self.liveness.remove_peer_keys(relay);
    }

    /// Applies the time limits, and returns the records that changed.
    ///
    /// A relay suspects and then removes the daemons of its failure domain that none of the
    /// domain's relays has attached. Every daemon drops expired tombstones.
    pub fn sweep(&mut self, now: Instant) -> Vec<wire::Member> {
        let changed = self.check_liveness(now);
        self.drop_tombstones(now);
        changed
    }

    /// Changes a record to a worse state at the same sequence.
    pub(super) fn downgrade(
        &mut self,
        record: &wire::Member,
        state: MemberState,
        now: Instant,
    ) -> Vec<wire::Member> {
        let mut downgraded = record.clone();
        downgraded.set_state(state);
        self.merge(vec![downgraded], now)
    }

    fn domain_digest(&self, domain: &str) -> u64 {
        self.digests.get(domain).map_or(0, |sum| sum.digest)
    }

    /// Stores a record if it outranks the known one of its name; returns whether it was stored.
    fn insert(&mut self, record: &wire::Member, now: Instant) -> bool {
        let known = self.entries.get_mut(&record.name);
        if let Some(known) = known
            && !outranks(record, &known.record)
        {
            // A daemon still has the live record that the tombstone replaces.
            if let Some(tombstone) = &mut known.tombstone
                && !tombstone.replaced
                && record.state() != MemberState::Gone
            {
                tombstone.replaced = true;
                tombstone.at = now;
            }
            return false;
        }
        let previous = self.entries.get(&record.name);
        let alive = previous.filter(|entry| entry.tombstone.is_none());
        let announced = alive.is_none_or(|entry| generation(&entry.record) != generation(record));
        let vanished = alive.is_some_and(|entry| {
            generation(&entry.record) == generation(record)
                && entry.record.state() != MemberState::Draining
        });
        let tombstone = (record.state() == MemberState::Gone).then_some(Tombstone {
            at: now,
            replaced: alive.is_some(),
            vanished,
        });
        if announced {
            self.liveness.clear_detached(&record.name);
        }
        self.remove(&record.name.clone());
        let hash = match tombstone {
            Some(_) => 0,
            None => xxh3_64(&record.encode_to_vec()),
        };
        let sum = self.digests.entry(record.domain.clone()).or_default();
        sum.digest = sum.digest.wrapping_add(hash);
        sum.names.insert(record.name.clone());
        let record = Arc::new(record.clone());
        let entry = Entry {
            record,
            hash,
            tombstone,
        };
        self.entries.insert(entry.record.name.clone(), entry);
        true
    }

    /// Removes an entry, also from the digest of its failure domain.
    fn remove(&mut self, name: &str) {
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

    /// Drops expired tombstones, and the oldest ones above [`MAX_TOMBSTONES`].
    fn drop_tombstones(&mut self, now: Instant) {
        let entries = self.entries.iter();
        let mut tombstones: Vec<(Instant, String)> = entries
            .filter_map(|(name, entry)| Some((entry.tombstone?.at, name.clone())))
            .collect();
        tombstones.sort();
        let surplus = tombstones.len().saturating_sub(MAX_TOMBSTONES);
        for (index, (at, name)) in tombstones.into_iter().enumerate() {
            if index < surplus || now.saturating_duration_since(at) >= self.settings.tombstone {
                self.remove(&name);
            }
        }
    }

    /// Tests whether a relay of this failure domain has the daemon attached.
    pub(super) fn is_attached(&self, record: &wire::Member) -> bool {
        let key = attachment_key(&record.name, record.incarnation);
        self.liveness
            .is_attached(&record.name, record.incarnation, key)
    }
}

/// Tests whether a record wins over the known one of its name; the encoded content breaks ties.
fn outranks(record: &wire::Member, known: &wire::Member) -> bool {
    match rank(record).cmp(&rank(known)) {
        std::cmp::Ordering::Less => false,
        std::cmp::Ordering::Greater => true,
        std::cmp::Ordering::Equal => {
            record != known && record.encode_to_vec() > known.encode_to_vec()
        }
    }
}

/// Returns the numbers that only the daemon itself increments: incarnation and sequence.
fn generation(record: &wire::Member) -> (u64, u64) {
    (record.incarnation, record.sequence)
}
