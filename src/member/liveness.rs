//! Failure detection: the relays of a failure domain suspect and remove its lost daemons.

use super::set::MemberSet;
use super::superseded;
use crate::event;
use crate::generated::mesh as wire;
use crate::generated::mesh::MemberState;
use std::collections::{BTreeMap, BTreeSet};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Which daemons are attached to a relay, and since when others are detached.
#[derive(Debug, Default)]
pub(super) struct Liveness {
    /// Whether this daemon is a relay; only relays detect lost daemons.
    relay: bool,
    /// The incarnations attached here, by name.
    attached: BTreeMap<String, u64>,
    /// The attachment keys of the other relays of the failure domain, by relay.
    peer_keys: BTreeMap<String, BTreeSet<u64>>,
    /// Since when a daemon is attached to no relay, by name.
    detached: BTreeMap<String, Instant>,
    /// The services whose detached backend servers are kept, since the service would lose too many
    /// at once.
    kept: BTreeSet<String>,
}

impl Liveness {
    pub(super) fn start(&mut self) {
        self.relay = true;
    }

    pub(super) fn attach(&mut self, name: &str, incarnation: u64) {
        self.relay = true;
        let attached = self.attached.entry(name.into()).or_default();
        *attached = incarnation.max(*attached);
        self.detached.remove(name);
    }

    /// Records the end of a stream, unless a later incarnation has attached since.
    pub(super) fn detach(&mut self, name: &str, incarnation: u64, now: Instant) {
        if self.attached.get(name) == Some(&incarnation) {
            self.attached.remove(name);
            self.detached.insert(name.into(), now);
        }
    }

    /// Restarts the time limits of a detached daemon, which has announced itself again.
    pub(super) fn clear_detached(&mut self, name: &str) {
        self.detached.remove(name);
    }

    /// Returns the attachment keys of the daemons attached here.
    pub(super) fn attached_keys(&self) -> Vec<u64> {
        let attached = self.attached.iter();
        attached
            .map(|(name, incarnation)| attachment_key(name, *incarnation))
            .collect()
    }

    pub(super) fn set_peer_keys(&mut self, relay: &str, keys: Vec<u64>) {
        self.peer_keys
            .insert(relay.into(), keys.into_iter().collect());
    }

    pub(super) fn remove_peer_keys(&mut self, relay: &str) {
        self.peer_keys.remove(relay);
    }

    pub(super) fn is_attached(&self, name: &str, incarnation: u64, key: u64) -> bool {
        self.attached.get(name) == Some(&incarnation)
            || self.peer_keys.values().any(|keys| keys.contains(&key))
    }
}

/// Returns the key that identifies an attached daemon between the relays of a failure domain.
pub(super) fn attachment_key(name: &str, incarnation: u64) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), incarnation)
}

impl MemberSet {
    /// Suspects and removes the detached daemons whose time limits have passed.
    pub(super) fn check_liveness(&mut self, now: Instant) -> Vec<wire::Member> {
        if !self.liveness.relay {
            return Vec::new();
        }
        self.find_detached(now);
        let mut changed = self.remove_superseded(now);
        let mut due: BTreeMap<String, Vec<wire::Member>> = BTreeMap::new();
        for (name, since) in self.liveness.detached.clone() {
            let detached = now.saturating_duration_since(since);
            let Some(record) = self.live_record(&name).cloned() else {
                self.liveness.detached.remove(&name);
                continue;
            };
            if detached >= self.settings.keep_limit {
                changed.extend(self.downgrade(&record, MemberState::Gone, now));
            } else if detached >= self.settings.gone_after {
                due.entry(record.service.clone()).or_default().push(record);
            } else if detached >= self.settings.suspect_after {
                changed.extend(self.suspect(&record, now));
            }
        }
        changed.extend(self.remove_due(due, now));
        changed
    }

    /// Starts the time limits of each daemon of this failure domain that no relay has attached.
    fn find_detached(&mut self, now: Instant) {
        let mut attached = Vec::new();
        let mut detached = Vec::new();
        for (name, entry) in &self.entries {
            if entry.tombstone.is_some() {
                continue;
            }
            if self.is_attached(&entry.record) {
                attached.push(name.clone());
            } else if entry.record.domain == self.domain {
                detached.push(name.clone());
            }
        }
        for name in attached {
            self.liveness.detached.remove(&name);
        }
        for name in detached {
            self.liveness.detached.entry(name).or_insert(now);
        }
    }

    /// Removes the detached daemons of this failure domain whose address a later process uses.
    fn remove_superseded(&mut self, now: Instant) -> Vec<wire::Member> {
        let live = self
            .entries
            .values()
            .filter(|entry| entry.tombstone.is_none());
        let mut changed = Vec::new();
        for name in superseded(live.map(|entry| &entry.record), |_| true) {
            let record = self.live_record(&name).cloned();
            if let Some(record) = record.filter(|record| {
                record.domain == self.domain && self.liveness.detached.contains_key(&name)
            }) {
                changed.extend(self.downgrade(&record, MemberState::Gone, now));
            }
        }
        changed
    }

    /// Changes a ready record to `SUSPECT`.
    ///
    /// A draining one is removed instead, since a suspect may get new calls.
    fn suspect(&mut self, record: &wire::Member, now: Instant) -> Vec<wire::Member> {
        match record.state() {
            MemberState::Ready => {
                event!(MemberSuspected, member = record.name);
                self.downgrade(record, MemberState::Suspect, now)
            }
            MemberState::Draining => self.downgrade(record, MemberState::Gone, now),
            MemberState::Suspect | MemberState::Gone => Vec::new(),
        }
    }

    /// Removes the daemons that are due, except in services that would lose too many at once.
    fn remove_due(
        &mut self,
        due: BTreeMap<String, Vec<wire::Member>>,
        now: Instant,
    ) -> Vec<wire::Member> {
        let mut changed = Vec::new();
        let mut kept = BTreeSet::new();
        for (service, records) in due {
            let keep = !service.is_empty() && self.exceeds_loss(&service, now);
            if keep && !self.liveness.kept.contains(&service) {
                event!(MembersKept, service = service, count = records.len());
            }
            for record in records {
                changed.extend(if keep {
                    self.suspect(&record, now)
                } else {
                    self.downgrade(&record, MemberState::Gone, now)
                });
            }
            if keep {
                kept.insert(service);
            }
        }
        self.liveness.kept = kept;
        changed
    }

    /// Tests whether more than `vanish_percent` of a service's backend servers are suspected or
    /// were lost within the window.
    fn exceeds_loss(&self, service: &str, now: Instant) -> bool {
        let (mut lost, mut total) = (0, 0);
        for entry in self.entries.values() {
            if entry.record.service != service {
                continue;
            }
            let recent = |at| now.saturating_duration_since(at) < self.settings.vanish_window;
            match (entry.tombstone, entry.record.state()) {
                (Some(tombstone), _) if tombstone.vanished && recent(tombstone.at) => {
                    lost += 1;
                    total += 1;
                }
                (None, MemberState::Suspect) => {
                    lost += 1;
                    total += 1;
                }
                (None, MemberState::Ready) => total += 1,
                _ => {}
            }
        }
        lost * 100 > total * self.settings.vanish_percent
    }

    fn live_record(&self, name: &str) -> Option<&wire::Member> {
        let entry = self.entries.get(name)?;
        entry.tombstone.is_none().then_some(entry.record.as_ref())
    }
}
