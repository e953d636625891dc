//! Members as the platform lists them and as other daemons tell of them.
//!
//! The platform's listing is the first source. A daemon that the platform turns away tells its
//! peers of itself, under a greater number each second, and so stays a member. A record that is in
//! neither source for [`MISSING_TIME`] has gone; its number is kept, so that an older record that
//! still goes round does not bring it back.

use super::{Fleet, Rank, rank};
use crate::generated::mesh as wire;
use crate::generated::mesh::MemberState;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

/// Time for which a member holds that the platform no longer lists: entries that lapsed while the
/// platform was away are written again within two seconds of its return, and peers hear of them
/// about a second later.
pub const MISSING_TIME: Duration = Duration::from_secs(4);

/// Time for which the numbers of members that have gone are kept.
const GONE_TIME: Duration = Duration::from_mins(2);

#[derive(Clone, Debug)]
struct Known {
    record: Arc<wire::Member>,
    listed: bool,
    /// When it was last listed or told of under a greater number.
    news: Instant,
}

/// Members as the platform lists them and as other daemons tell of them.
#[derive(Clone, Debug, Default)]
pub struct Book {
    known: BTreeMap<String, Known>,
    /// The numbers of members that have gone, and since when.
    gone: BTreeMap<String, (Rank, Instant)>,
}

impl Book {
    /// Takes in a record from the platform; true when the members have changed.
    pub fn list(&mut self, record: wire::Member, now: Instant) -> bool {
        self.gone.remove(&record.name);
        let name = record.name.clone();
        match self.known.get_mut(&name) {
            // The platform may hold an older record while the newer one is on its way there.
            Some(known) if rank(&known.record) >= rank(&record) => {
                known.listed = true;
                known.news = now;
                false
            }
            _ => self.insert(record, true, now),
        }
    }

    /// Takes in a whole listing of the platform; true when the members have changed.
    pub fn list_all(&mut self, records: Vec<wire::Member>, now: Instant) -> bool {
        let names: BTreeSet<String> = records.iter().map(|r| r.name.clone()).collect();
        let mut changed = false;
        for record in records {
            changed |= self.list(record, now);
        }
        for (name, known) in &mut self.known {
            if known.listed && !names.contains(name) {
                known.listed = false;
                known.news = now;
            }
        }
        changed
    }

    /// Notes that the platform no longer lists a member.
    pub fn unlist(&mut self, name: &str, now: Instant) {
        if let Some(known) = self.known.get_mut(name) {
            known.listed = false;
            known.news = now;
        }
    }

    /// Takes in a record that another daemon told; true when the members have changed.
    pub fn hear(&mut self, record: wire::Member, now: Instant) -> bool {
        let new = rank(&record);
        if let Some((old, _)) = self.gone.get(&record.name)
            && *old >= new
        {
            return false;
        }
        match self.known.get(&record.name) {
            Some(known) if rank(&known.record) >= new => false,
            Some(known) => {
                let listed = known.listed;
                let same = same_but_number(&known.record, &record);
                self.insert(record, listed, now) && !same
            }
            None => self.insert(record, false, now),
        }
    }

    /// Drops the members that nobody has told of for too long; true when there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let age = |at: Instant| now.saturating_duration_since(at);
        let before = self.known.len();
        let gone = &mut self.gone;
        self.known.retain(|name, known| {
            let stays = known.listed || age(known.news) < MISSING_TIME;
            if !stays {
                gone.insert(name.clone(), (rank(&known.record), now));
            }
            stays
        });
        gone.retain(|_, (_, at)| age(*at) < GONE_TIME);
        self.known.len() != before
    }

    /// Returns the members.
    #[must_use]
    pub fn fleet(&self) -> Fleet {
        let records = self.known.iter();
        Fleet::from_members(
            records
                .map(|(name, known)| (name.clone(), Arc::clone(&known.record)))
                .collect(),
        )
    }

    /// Returns the records to tell another daemon.
    #[must_use]
    pub fn records(&self) -> Vec<wire::Member> {
        let records = self.known.values();
        records.map(|known| (*known.record).clone()).collect()
    }

    /// Returns a hash over the records, equal for daemons that know the same.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for (name, known) in &self.known {
            let (incarnation, sequence, state) = rank(&known.record);
            hasher.update(name.as_bytes());
            hasher.update(&incarnation.to_be_bytes());
            hasher.update(&sequence.to_be_bytes());
            hasher.update(&state.to_be_bytes());
        }
        hasher.digest()
    }

    fn insert(&mut self, record: wire::Member, listed: bool, now: Instant) -> bool {
        if record.state() == MemberState::Gone {
            self.gone.insert(record.name.clone(), (rank(&record), now));
            return self.known.remove(&record.name).is_some();
        }
        let known = Known {
            record: Arc::new(record),
            listed,
            news: now,
        };
        self.known.insert(known.record.name.clone(), known);
        true
    }
}

fn same_but_number(one: &wire::Member, two: &wire::Member) -> bool {
    let mut one = one.clone();
    one.sequence = two.sequence;
    one == *two
}
