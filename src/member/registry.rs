//! The registry of members, merged from the platform's listing and from peers' records.
//!
//! The platform's listing is the primary source. A daemon that the platform refuses to register
//! sends its record to its peers, with a higher sequence each second, and so stays a member. A
//! record that neither source has renewed for [`MISSING_TIME`] is removed; its rank (incarnation,
//! sequence, state) is kept, so that an older copy still circulating among peers does not restore
//! it.

use super::{Fleet, Rank, rank};
use crate::generated::mesh as wire;
use crate::generated::mesh::MemberState;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

/// Time without renewal after which a member that the platform does not list is removed.
///
/// Daemons whose lease expired while the platform was unreachable write their entries again within
/// two seconds of its recovery, and peers receive them about a second later.
pub const MISSING_TIME: Duration = Duration::from_secs(4);

/// Time for which the ranks of removed members are kept, to reject older copies of their records.
const TOMBSTONE_TIME: Duration = Duration::from_mins(2);

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
    entries: BTreeMap<String, Entry>,
    /// The ranks of removed members, and when they were removed.
    removed: BTreeMap<String, (Rank, Instant)>,
}

impl MemberRegistry {
    /// Merges a record that the platform lists.
    ///
    /// Returns whether the members have changed; unlike in [`MemberRegistry::merge_reported`], a
    /// higher sequence alone counts as a change.
    pub fn merge_listed(&mut self, record: wire::Member, now: Instant) -> bool {
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
        let mut changed = false;
        for record in records {
            changed |= self.merge_listed(record, now);
        }
        for (name, entry) in &mut self.entries {
            if entry.listed && !names.contains(name) {
                entry.listed = false;
                entry.updated = now;
            }
        }
        changed
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
    /// Returns whether the members have changed; a higher sequence alone is not a change.
    pub fn merge_reported(&mut self, record: wire::Member, now: Instant) -> bool {
        let new = rank(&record);
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

    /// Removes the members that no source has renewed for [`MISSING_TIME`].
    ///
    /// Returns whether any was removed.
    pub fn expire(&mut self, now: Instant) -> bool {
        let age = |at: Instant| now.saturating_duration_since(at);
        let before = self.entries.len();
        let removed = &mut self.removed;
        self.entries.retain(|name, entry| {
            let keep = entry.listed || age(entry.updated) < MISSING_TIME;
            if !keep {
                removed.insert(name.clone(), (rank(&entry.record), now));
            }
            keep
        });
        removed.retain(|_, (_, at)| age(*at) < TOMBSTONE_TIME);
        self.entries.len() != before
    }

    /// Returns the members as a [`Fleet`], without those whose inbound address a later process has.
    #[must_use]
    pub fn fleet(&self) -> Fleet {
        let records = self.entries.iter();
        Fleet::from_members(
            records
                .map(|(name, entry)| (name.clone(), Arc::clone(&entry.record)))
                .collect(),
        )
    }

    /// Returns the records to send to another daemon.
    #[must_use]
    pub fn records(&self) -> Vec<wire::Member> {
        let records = self.entries.values();
        records.map(|entry| (*entry.record).clone()).collect()
    }

    /// Returns a hash of the names and ranks, equal for registries with the same records.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for (name, entry) in &self.entries {
            let (incarnation, sequence, state) = rank(&entry.record);
            hasher.update(name.as_bytes());
            hasher.update(&incarnation.to_be_bytes());
            hasher.update(&sequence.to_be_bytes());
            hasher.update(&state.to_be_bytes());
        }
        hasher.digest()
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

fn equal_except_sequence(a: &wire::Member, b: &wire::Member) -> bool {
    let mut a = a.clone();
    a.sequence = b.sequence;
    a == *b
}
