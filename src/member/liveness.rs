//! The judgement of a failure domain's relays on which of its daemons still live.

use super::set::MemberSet;
use super::superseded;
use crate::event;
use crate::generated::mesh as wire;
use crate::generated::mesh::MemberState;
use std::collections::{BTreeMap, BTreeSet};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Which daemons are attached, and since when others are not.
#[derive(Debug, Default)]
pub(super) struct Liveness {
    relay: bool,
    /// The incarnations attached here, by name.
    attached: BTreeMap<String, u64>,
    /// The keys that other relays of the failure domain have attached, by relay.
    vouched: BTreeMap<String, BTreeSet<u64>>,
    /// Since when a daemon has no stream, by name.
    alone: BTreeMap<String, Instant>,
    /// The services whose backend servers are kept though they would go.
    kept: BTreeSet<String>,
}

impl Liveness {
    pub(super) fn start(&mut self) {
        self.relay = true;
    }

    pub(super) fn attach(&mut self, name: &str, incarnation: u64) {
        self.relay = true;
        let held = self.attached.entry(name.into()).or_default();
        *held = incarnation.max(*held);
        self.alone.remove(name);
    }

    /// Notes the end of a stream, unless one of a later incarnation has taken its place.
    pub(super) fn detach(&mut self, name: &str, incarnation: u64, now: Instant) {
        if self.attached.get(name) == Some(&incarnation) {
            self.attached.remove(name);
            self.alone.insert(name.into(), now);
        }
    }

    /// Forgets that a daemon had no stream, since it has announced itself anew.
    pub(super) fn renew(&mut self, name: &str) {
        self.alone.remove(name);
    }

    pub(super) fn attached(&self) -> Vec<u64> {
        let attached = self.attached.iter();
        attached
            .map(|(name, incarnation)| attachment_key(name, *incarnation))
            .collect()
    }

    pub(super) fn vouch(&mut self, relay: &str, keys: Vec<u64>) {
        self.vouched
            .insert(relay.into(), keys.into_iter().collect());
    }

    pub(super) fn unvouch(&mut self, relay: &str) {
        self.vouched.remove(relay);
    }

    pub(super) fn holds(&self, name: &str, incarnation: u64, key: u64) -> bool {
        self.attached.get(name) == Some(&incarnation)
            || self.vouched.values().any(|keys| keys.contains(&key))
    }
}

/// Returns the key by which relays of a failure domain name an attached daemon to each other.
pub(super) fn attachment_key(name: &str, incarnation: u64) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), incarnation)
}

impl MemberSet {
    /// Suspects and removes daemons without a stream.
    pub(super) fn judge(&mut self, now: Instant) -> Vec<wire::Member> {
        if !self.liveness.relay {
            return Vec::new();
        }
        self.find_alone(now);
        let mut changed = self.remove_superseded(now);
        let mut due: BTreeMap<String, Vec<wire::Member>> = BTreeMap::new();
        for (name, since) in self.liveness.alone.clone() {
            let alone = now.saturating_duration_since(since);
            let Some(record) = self.live_record(&name).cloned() else {
                self.liveness.alone.remove(&name);
                continue;
            };
            if alone >= self.settings.keep_limit {
                changed.extend(self.raise(&record, MemberState::Gone, now));
            } else if alone >= self.settings.gone_after {
                due.entry(record.service.clone()).or_default().push(record);
            } else if alone >= self.settings.suspect_after {
                changed.extend(self.suspect(&record, now));
            }
        }
        changed.extend(self.remove_due(due, now));
        changed
    }

    /// Starts the time of each daemon of this failure domain that no relay of it has attached.
    fn find_alone(&mut self, now: Instant) {
        let mut attached = Vec::new();
        let mut alone = Vec::new();
        for (name, entry) in &self.entries {
            if entry.gone.is_some() {
                continue;
            }
            if self.is_attached(&entry.record) {
                attached.push(name.clone());
            } else if entry.record.domain == self.domain {
                alone.push(name.clone());
            }
        }
        for name in attached {
            self.liveness.alone.remove(&name);
        }
        for name in alone {
            self.liveness.alone.entry(name).or_insert(now);
        }
    }

    /// Removes the daemons of this failure domain whose address a later process has taken over.
    fn remove_superseded(&mut self, now: Instant) -> Vec<wire::Member> {
        let live = self.entries.values().filter(|entry| entry.gone.is_none());
        let mut changed = Vec::new();
        for name in superseded(live.map(|entry| &entry.record)) {
            let record = self.live_record(&name).cloned();
            if let Some(record) = record.filter(|record| {
                record.domain == self.domain && self.liveness.alone.contains_key(&name)
            }) {
                changed.extend(self.raise(&record, MemberState::Gone, now));
            }
        }
        changed
    }

    /// Raises a record to `SUSPECT`. One that drains goes instead: a suspect may get new calls.
    fn suspect(&mut self, record: &wire::Member, now: Instant) -> Vec<wire::Member> {
        match record.state() {
            MemberState::Ready => {
                event!(MemberSuspected, member = record.name);
                self.raise(record, MemberState::Suspect, now)
            }
            MemberState::Draining => self.raise(record, MemberState::Gone, now),
            MemberState::Suspect | MemberState::Gone => Vec::new(),
        }
    }

    /// Removes what is due, but for the services that would lose too much at once.
    fn remove_due(
        &mut self,
        due: BTreeMap<String, Vec<wire::Member>>,
        now: Instant,
    ) -> Vec<wire::Member> {
        let mut changed = Vec::new();
        let mut kept = BTreeSet::new();
        for (service, records) in due {
            let keep = !service.is_empty() && self.loses_too_much(&service, now);
            if keep && !self.liveness.kept.contains(&service) {
                event!(MembersKept, service = service, count = records.len());
            }
            for record in records {
                changed.extend(if keep {
                    self.suspect(&record, now)
                } else {
                    self.raise(&record, MemberState::Gone, now)
                });
            }
            if keep {
                kept.insert(service);
            }
        }
        self.liveness.kept = kept;
        changed
    }

    /// Tests whether too great a share of a service's backend servers is suspected or has vanished
    /// lately.
    fn loses_too_much(&self, service: &str, now: Instant) -> bool {
        let (mut lost, mut total) = (0, 0);
        for entry in self.entries.values() {
            if entry.record.service != service {
                continue;
            }
            let lately = |at| now.saturating_duration_since(at) < self.settings.vanish_window;
            match (entry.gone, entry.record.state()) {
                (Some(gone), _) if gone.vanished && lately(gone.at) => {
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
        entry.gone.is_none().then_some(entry.record.as_ref())
    }
}
