//! The registry of members, merged from the platform's listing and from peers' records.
//!
//! Some daemons follow the platform's listing, the primary source; the others learn from their
//! peers. A daemon that the platform refuses to register sends its record to its peers, with a higher
//! sequence each second, and so stays a member. A daemon that follows the listing removes a record
//! that neither source has renewed for [`MISSING_TIME`]. The rank (incarnation, sequence, state) of a
//! removed record is kept and sent to peers, so that they remove it as well and an older copy still
//! circulating among them does not restore it.

use super::{Fleet, Rank, rank};
use crate::backend::Leaves;
use crate::generated::mesh as wire;
use crate::generated::mesh::MemberState;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Time without renewal after which a member that the platform does not list is removed.
///
/// Daemons whose lease expired while the platform was unreachable write their entries again within
/// two seconds of its recovery, and peers receive them about a second later.
pub const MISSING_TIME: Duration = Duration::from_secs(4);

/// Added to [`MISSING_TIME`] after the platform was restored from an older copy: daemons whose entries
/// the copy lacks write them again at the next renewal of their leases at the latest.
pub const RESTORE_EXTENSION: Duration = Duration::from_secs(4);

/// Time for which the ranks of removed members are kept, to reject older copies of their records.
const TOMBSTONE_TIME: Duration = Duration::from_mins(2);

/// Time for which the leave of a backend server is kept after it was last stated.
const LEAVE_TIME: Duration = Duration::from_mins(10);

/// Number of buckets into which members are divided by a hash of their names. Two daemons exchange
/// the records of those buckets only whose digests differ.
pub const BUCKETS: usize = 32;

#[derive(Clone, Debug)]
struct Entry {
    record: Arc<wire::Member>,
    /// Whether the platform lists it.
    listed: bool,
    /// When it was last listed, removed from the listing, or received with a higher rank.
    updated: Instant,
}

/// The registry of members, merged from the platform's listing and from peers' records.
#[derive(Clone, Debug, Default)]
pub struct MemberRegistry {
    /// Whether this daemon follows the platform's listing.
    following: bool,
    entries: BTreeMap<String, Entry>,
    /// The ranks of removed members, and when they were removed.
    removed: BTreeMap<String, (Rank, Instant)>,
    /// The instances of each daemon's backend server that leave by its records, and when they were last stated. A
    /// later process of the daemon may not know of them.
    leaves: BTreeMap<String, (Leaves, Instant)>,
    /// Members that share their inbound address with others: the incarnation, and whether it answers there.
    checked: BTreeMap<String, (u64, bool)>,
}

impl MemberRegistry {
    /// Merges a record that the platform lists.
    ///
    /// Returns whether the members have changed; unlike in [`MemberRegistry::merge_reported`], a
    /// higher sequence alone counts as a change.
    pub fn merge_listed(&mut self, record: wire::Member, now: Instant) -> bool {
        self.following = true;
        self.note_leave(&record, now);
        // The platform is the primary source: its listing overrides a tombstone of any rank.
        self.removed.remove(&record.name);
        let name = record.name.clone();
        match self.entries.get_mut(&name) {
            // The platform may have an older record until the newer one is written to it.
            Some(entry) if rank(&entry.record) >= rank(&record) => {
                entry.listed = true;
                entry.updated = now;
                false
            }
            _ => self.apply(record, true, now),
        }
    }

    /// Merges a complete listing of the platform; members that it lacks are marked as unlisted.
    ///
    /// Returns whether the members have changed, as [`MemberRegistry::merge_listed`] does.
    pub fn merge_listing(&mut self, records: Vec<wire::Member>, now: Instant) -> bool {
        let names: BTreeSet<String> = records.iter().map(|r| r.name.clone()).collect();
        let is_first = !self.following;
        let mut changed = false;
        for record in records {
            changed |= self.merge_listed(record, now);
        }
        for (name, entry) in &mut self.entries {
            // A first listing starts the time for members that only peers have reported.
            if (entry.listed || is_first) && !names.contains(name) {
                entry.listed = false;
                entry.updated = now;
            }
        }
        self.following = true;
        changed
    }

    /// Merges a complete listing of the platform that was just restored from an older copy.
    ///
    /// Members that the copy lacks are kept for [`RESTORE_EXTENSION`] longer, and those removed since
    /// it was made stay removed until they announce themselves again.
    ///
    /// Returns whether the members have changed, as [`MemberRegistry::merge_listed`] does.
    pub fn merge_restored(&mut self, mut records: Vec<wire::Member>, now: Instant) -> bool {
        records.retain(|record| {
            let removed = self.removed.get(&record.name);
            removed.is_none_or(|(removed, _)| *removed < rank(record))
        });
        let changed = self.merge_listing(records, now);
        let missing = self.entries.values_mut().filter(|entry| !entry.listed);
        for entry in missing {
            entry.updated = entry.updated.max(now + RESTORE_EXTENSION);
        }
        changed
    }

    /// Records that this daemon no longer follows the platform's listing. Until the next listing,
    /// members are removed only when peers report their removal.
    pub fn stop_following(&mut self) {
        self.following = false;
        for entry in self.entries.values_mut() {
            entry.listed = false;
        }
    }

    /// Records that the platform no longer lists a member; it is kept for [`MISSING_TIME`].
    pub fn mark_unlisted(&mut self, name: &str, now: Instant) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.listed = false;
            entry.updated = now;
        }
    }

    /// Merges a record that another daemon sent.
    ///
    /// Returns whether the members have changed; a higher sequence alone is not a change. The removal
    /// of a member that the platform lists is ignored.
    pub fn merge_reported(&mut self, record: wire::Member, now: Instant) -> bool {
        self.note_leave(&record, now);
        let new = rank(&record);
        let known = self.entries.get(&record.name);
        if record.state() == MemberState::Gone && known.is_some_and(|entry| entry.listed) {
            return false;
        }
        if let Some((old, _)) = self.removed.get(&record.name)
            && *old >= new
        {
            return false;
        }
        match self.entries.get(&record.name) {
            Some(entry) if rank(&entry.record) >= new => false,
            Some(entry) => {
                let listed = entry.listed;
                let same = equal_except_sequence(&entry.record, &record);
                self.apply(record, listed, now) && !same
            }
            None => self.apply(record, false, now),
        }
    }

    /// Removes the members that no source has renewed for [`MISSING_TIME`], if this daemon follows
    /// the platform's listing.
    ///
    /// Returns whether any was removed.
    pub fn expire(&mut self, now: Instant) -> bool {
        let age = |at: Instant| now.saturating_duration_since(at);
        let before = self.entries.len();
        let (removed, following) = (&mut self.removed, self.following);
        self.entries.retain(|name, entry| {
            let keep = !following || entry.listed || age(entry.updated) < MISSING_TIME;
            if !keep {
                removed.insert(name.clone(), (rank(&entry.record), now));
            }
            keep
        });
        removed.retain(|_, (_, at)| age(*at) < TOMBSTONE_TIME);
        self.leaves.retain(|_, (_, at)| age(*at) < LEAVE_TIME);
        let entries = &self.entries;
        self.checked.retain(|name, _| entries.contains_key(name));
        self.entries.len() != before
    }

    /// Returns the instances of a daemon's backend server that leave, by the records of that daemon.
    #[must_use]
    pub fn leaves_of(&self, name: &str) -> Leaves {
        let leaves = self.leaves.get(name);
        leaves.map_or_else(Leaves::default, |(leaves, _)| leaves.clone())
    }

    fn note_leave(&mut self, record: &wire::Member, now: Instant) {
        if let Some(leave) = stated_leave(record) {
            let (leaves, at) = self
                .leaves
                .entry(record.name.clone())
                .or_insert_with(|| (Leaves::default(), now));
            leaves.merge(&leave);
            *at = now;
        }
    }

    /// Returns the members as a [`Fleet`], without those whose inbound address another process has.
    #[must_use]
    pub fn fleet(&self) -> Fleet {
        let records = self.entries.iter();
        let records = records.filter(|(_, entry)| self.answers(&entry.record) != Some(false));
        Fleet::from_members(
            records
                .map(|(name, entry)| (name.clone(), Arc::clone(&entry.record)))
                .collect(),
            |member| self.answers(member) == Some(true),
        )
    }

    /// Returns the members that share their inbound address with another one, and of which it is not known whether
    /// they answer there. A record alone proves nothing: another writer may have left it.
    #[must_use]
    pub fn unchecked(&self) -> Vec<Arc<wire::Member>> {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        let records = self.entries.values().map(|entry| &entry.record);
        let records = records.filter(|record| !record.inbound.is_empty());
        for record in records.clone() {
            *counts.entry(&record.inbound).or_default() += 1;
        }
        let is_shared = |record: &&Arc<wire::Member>| counts[record.inbound.as_str()] > 1;
        let shared = records.filter(is_shared);
        let unchecked = shared.filter(|record| self.answers(record).is_none());
        unchecked.cloned().collect()
    }

    /// Records whether a member answers at its inbound address.
    pub fn set_checked(&mut self, member: &wire::Member, answers: bool) {
        let checked = (member.incarnation, answers);
        self.checked.insert(member.name.clone(), checked);
    }

    fn answers(&self, member: &wire::Member) -> Option<bool> {
        let checked = self.checked.get(&member.name);
        let checked = checked.filter(|(incarnation, _)| *incarnation == member.incarnation);
        checked.map(|(_, answers)| *answers)
    }

    /// Returns the records to send to another daemon, given the bucket digests that it sent, and the
    /// ranks of removed members as records with the state `Gone`. Without digests, all are returned.
    #[must_use]
    pub fn records_for(&self, other: &[u64]) -> Vec<wire::Member> {
        let own = self.buckets();
        let differs = |name: &str| {
            let bucket = bucket_of(name);
            other.len() != BUCKETS || other[bucket] != own[bucket]
        };
        let entries = self.entries.iter().filter(|(name, _)| differs(name));
        let records = entries.map(|(_, entry)| (*entry.record).clone());
        let removed = self.removed.iter().filter(|(name, _)| differs(name));
        let removed = removed.map(|(name, ((incarnation, sequence, _), _))| wire::Member {
            name: name.clone(),
            incarnation: *incarnation,
            sequence: *sequence,
            state: MemberState::Gone.into(),
            ..wire::Member::default()
        });
        records.chain(removed).collect()
    }

    /// Returns a digest of the names and ranks of the members in each bucket. Two registries have the
    /// same digests if they have the same records.
    #[must_use]
    pub fn buckets(&self) -> Vec<u64> {
        let mut buckets = vec![0; BUCKETS];
        for (name, entry) in &self.entries {
            let (incarnation, sequence, state) = rank(&entry.record);
            let mut hasher = Xxh3::new();
            hasher.update(name.as_bytes());
            hasher.update(&incarnation.to_be_bytes());
            hasher.update(&sequence.to_be_bytes());
            hasher.update(&state.to_be_bytes());
            buckets[bucket_of(name)] ^= hasher.digest();
        }
        buckets
    }

    /// Stores a record, or removes the member if its state is `Gone`.
    ///
    /// Returns whether a record was stored or removed.
    fn apply(&mut self, record: wire::Member, listed: bool, now: Instant) -> bool {
        if record.state() == MemberState::Gone {
            self.removed
                .insert(record.name.clone(), (rank(&record), now));
            return self.entries.remove(&record.name).is_some();
        }
        let entry = Entry {
            record: Arc::new(record),
            listed,
            updated: now,
        };
        self.entries.insert(entry.record.name.clone(), entry);
        true
    }
}

/// Returns the leave of a backend server that a record states, if it does.
#[must_use]
pub fn stated_leave(record: &wire::Member) -> Option<Leaves> {
    let mut leaves = Leaves::default();
    let is_stated = record.left && !record.instance.is_empty();
    is_stated.then(|| leaves.insert(&record.instance, record.born_ms))?;
    Some(leaves)
}

/// Returns the bucket of a member.
fn bucket_of(name: &str) -> usize {
    let hash = xxh3_64(name.as_bytes()) % BUCKETS as u64;
    usize::try_from(hash).unwrap_or(0)
}

fn equal_except_sequence(a: &wire::Member, b: &wire::Member) -> bool {
    let mut a = a.clone();
    a.sequence = b.sequence;
    a == *b
}
