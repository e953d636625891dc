//! Requests under which backend servers have ended, and when they may run again.
//!
//! When a backend server crashes, each request that it ran is suspected. A suspect runs alone: a backend
//! server never runs two of them at once, so the next crash tells which one is to blame. A request under which
//! [`HELD_FROM`] backend servers or more have ended is held: it is refused until a hold time has passed since
//! the last crash, which grows with their number, and then one run is tried. A completed run clears a
//! request at once.
//!
//! The records are a set of (request, instance that ended), so they can be merged in any order and more than
//! once.

use super::fingerprint::Fingerprint;
use super::idempotency::rendezvous_weight;
use crate::generated::mesh as wire;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

/// Number of crashes from which on a request is held.
pub const HELD_FROM: usize = 2;

/// Time for which a request is held after its last crash, by the number of crashes from [`HELD_FROM`] on;
/// the last one holds for all further ones.
const HOLD_TIMES: [Duration; 4] = [
    Duration::from_secs(2),
    Duration::from_secs(20),
    Duration::from_mins(2),
    Duration::from_mins(10),
];

/// Added to the hold time for each daemon of the service that may try the request earlier. By then the
/// result of the earlier run is known.
pub const TRY_INTERVAL: Duration = Duration::from_secs(3);

/// Time for which a crash is remembered.
const RETENTION: Duration = Duration::from_mins(30);

/// Maximum number of requests that are remembered.
const MAX_REQUESTS: usize = 512;

/// Maximum number of them that one caller sent, so that it cannot evict the others.
const MAX_PER_CALLER: usize = 128;

/// Maximum number of crashes that are remembered for a request.
const MAX_CRASHES: usize = 16;

/// Greatest length of a caller's name, a path or an instance in a record, in bytes.
const MAX_TEXT_LEN: usize = 128;

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is not suspected.
    Free,
    /// It may run while no other suspect does.
    Suspect,
    /// It is refused for this time.
    Held(Duration),
}

/// What operators read about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Description {
    /// The service that sent it.
    pub caller: String,
    /// The path without its query.
    pub path: String,
}

#[derive(Clone, Debug)]
struct Crash {
    at: Instant,
    cleared: bool,
}

#[derive(Clone, Debug)]
struct Suspect {
    description: Description,
    /// The crashes by the instances that ended.
    crashes: BTreeMap<String, Crash>,
}

impl Suspect {
    fn active(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.values().filter(|crash| !crash.cleared)
    }

    fn newest(&self) -> Option<Instant> {
        self.crashes.values().map(|crash| crash.at).max()
    }
}

/// The requests under which backend servers of one service have ended.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    requests: BTreeMap<Fingerprint, Suspect>,
}

impl Suspects {
    /// Decides whether a request may run now. `precedence` returns the number of daemons that may try a held
    /// request before this one.
    ///
    /// The crashes of all callers of a request count, but a caller under whose copies no backend server has
    /// ended is not refused for those of others.
    pub fn verdict(
        &self,
        now: Instant,
        request: Fingerprint,
        precedence: impl FnOnce() -> usize,
    ) -> Verdict {
        if self.requests.is_empty() {
            return Verdict::Free;
        }
        let crashes = self
            .copies(request.content)
            .flat_map(|(_, suspect)| suspect.active());
        let (mut count, mut last) = (0, None);
        for crash in crashes {
            count += 1;
            last = last.max(Some(crash.at));
        }
        let Some(last) = last else {
            return Verdict::Free;
        };
        if count < HELD_FROM || !self.is_suspected(request) {
            return Verdict::Suspect;
        }
        let hold = HOLD_TIMES[(count - HELD_FROM).min(HOLD_TIMES.len() - 1)];
        let precedence = u32::try_from(precedence()).unwrap_or(u32::MAX);
        let until = last + hold + TRY_INTERVAL.saturating_mul(precedence.min(1_000));
        let left = until.saturating_duration_since(now);
        if left.is_zero() {
            Verdict::Suspect
        } else {
            Verdict::Held(left)
        }
    }

    /// Returns the number of crashes of a request, those of all its callers.
    #[must_use]
    pub fn crashes(&self, content: u128) -> usize {
        let copies = self.copies(content);
        copies.flat_map(|(_, suspect)| suspect.active()).count()
    }

    /// Tests whether a request has had crashes enough to be held, cleared ones included.
    #[must_use]
    pub fn has_been_held(&self, content: u128) -> bool {
        let copies = self.copies(content);
        let crashes = copies.map(|(_, suspect)| suspect.crashes.len());
        crashes.sum::<usize>() >= HELD_FROM
    }

    /// Tests whether a backend server has ended under a request of this caller.
    #[must_use]
    pub fn is_suspected(&self, request: Fingerprint) -> bool {
        let suspect = self.requests.get(&request);
        suspect.is_some_and(|suspect| suspect.active().next().is_some())
    }

    /// Records that an instance ended while it ran a request; returns whether that is new.
    pub fn record(
        &mut self,
        now: Instant,
        request: Fingerprint,
        description: &Description,
        instance: &str,
    ) -> bool {
        let crash = Crash {
            at: now,
            cleared: false,
        };
        self.insert(request, description, truncated(instance), crash)
    }

    /// Clears a request of this caller: it has completed a run. Returns whether it was suspected.
    pub fn clear(&mut self, request: Fingerprint) -> bool {
        let Some(suspect) = self.requests.get_mut(&request) else {
            return false;
        };
        let mut changed = false;
        for crash in suspect.crashes.values_mut() {
            changed |= !std::mem::replace(&mut crash.cleared, true);
        }
        changed
    }

    /// Clears the request with this content hash for all its callers; returns those that were suspected.
    pub fn release(&mut self, content: u128) -> Vec<Fingerprint> {
        let copies: Vec<Fingerprint> = self.copies(content).map(|(key, _)| *key).collect();
        copies
            .into_iter()
            .filter(|copy| self.clear(*copy))
            .collect()
    }

    /// Merges a record of another daemon; returns whether anything was new. An invalid or old one is ignored.
    pub fn merge(&mut self, now: Instant, record: wire::CrashRecord) -> bool {
        let Ok(content) = <[u8; 16]>::try_from(record.content.as_ref()) else {
            return false;
        };
        let description = Description {
            caller: truncated(&record.caller).to_owned(),
            path: truncated(&record.path).to_owned(),
        };
        let request = Fingerprint::of_caller(u128::from_be_bytes(content), &description.caller);
        let mut changed = false;
        for crash in record.crashes {
            let age = Duration::from_millis(crash.age_ms);
            let Some(at) = now.checked_sub(age).filter(|_| age < RETENTION) else {
                continue;
            };
            let instance = truncated(&crash.instance);
            let crash = Crash {
                at,
                cleared: crash.cleared,
            };
            changed |= self.insert(request, &description, instance, crash);
        }
        changed
    }

    /// Returns the record of a request.
    #[must_use]
    pub fn record_of(&self, now: Instant, request: Fingerprint) -> Option<wire::CrashRecord> {
        let suspect = self.requests.get(&request)?;
        Some(to_wire(now, request, suspect))
    }

    /// Returns all records.
    #[must_use]
    pub fn records(&self, now: Instant) -> Vec<wire::CrashRecord> {
        let requests = self.requests.iter();
        requests
            .map(|(request, suspect)| to_wire(now, *request, suspect))
            .collect()
    }

    /// Returns a hash over all records, equal for equal records.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut digest = 0;
        for (request, suspect) in &self.requests {
            for (instance, crash) in &suspect.crashes {
                let mut hasher = Xxh3::new();
                hasher.update(&request.content.to_be_bytes());
                hasher.update(&request.caller.to_be_bytes());
                hasher.update(&[u8::from(crash.cleared)]);
                hasher.update(instance.as_bytes());
                digest ^= hasher.digest();
            }
        }
        digest
    }

    /// Forgets the requests whose last crash is older than [`RETENTION`].
    pub fn expire(&mut self, now: Instant) {
        self.requests.retain(|_, suspect| {
            let newest = suspect.newest();
            newest.is_some_and(|at| now.saturating_duration_since(at) < RETENTION)
        });
    }

    /// Returns the number of requests that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Tests whether no request is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the requests that are suspected as JSON for the state dump.
    #[must_use]
    pub fn state(&self, now: Instant) -> Value {
        let suspects = self.requests.iter();
        let suspects = suspects.filter(|(request, _)| self.is_suspected(**request));
        let suspects = suspects.map(|(request, suspect)| {
            let ages = suspect.active().map(|crash| {
                let age = now.saturating_duration_since(crash.at);
                u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
            });
            let instances = suspect.crashes.iter().filter(|(_, crash)| !crash.cleared);
            let instances = instances.map(|(instance, _)| instance.as_str());
            json!({
                "request": format!("{:032x}", request.content),
                "caller": suspect.description.caller,
                "path": suspect.description.path,
                "instances": instances.collect::<Vec<_>>(),
                "ages_ms": ages.collect::<Vec<_>>(),
                "held": self.crashes(request.content) >= HELD_FROM,
            })
        });
        suspects.collect()
    }

    /// Returns the copies of a request that different callers sent.
    fn copies(&self, content: u128) -> impl Iterator<Item = (&Fingerprint, &Suspect)> {
        let first = Fingerprint { content, caller: 0 };
        let last = Fingerprint {
            content,
            caller: u64::MAX,
        };
        self.requests.range(first..=last)
    }

    fn insert(
        &mut self,
        request: Fingerprint,
        description: &Description,
        instance: &str,
        crash: Crash,
    ) -> bool {
        if !self.requests.contains_key(&request) {
            self.make_room(request.caller);
        }
        let suspect = self.requests.entry(request).or_insert_with(|| Suspect {
            description: Description {
                caller: truncated(&description.caller).to_owned(),
                path: truncated(&description.path).to_owned(),
            },
            crashes: BTreeMap::new(),
        });
        if let Some(known) = suspect.crashes.get_mut(instance) {
            let changed = crash.cleared && !known.cleared;
            known.cleared |= crash.cleared;
            return changed;
        }
        if suspect.crashes.len() >= MAX_CRASHES {
            return false;
        }
        suspect.crashes.insert(instance.to_owned(), crash);
        true
    }

    /// Evicts a request for another one of `caller`: of the same caller if it has its full share.
    fn make_room(&mut self, caller: u64) {
        let own = self.requests.keys().filter(|key| key.caller == caller);
        let own_is_full = own.count() >= MAX_PER_CALLER;
        if !own_is_full && self.requests.len() < MAX_REQUESTS {
            return;
        }
        let candidates = self.requests.iter();
        let candidates = candidates.filter(|(key, _)| !own_is_full || key.caller == caller);
        // Those with the fewest crashes first, and of these the oldest.
        let victim = candidates
            .min_by_key(|(_, suspect)| (suspect.active().count(), suspect.newest()))
            .map(|(key, _)| *key);
        if let Some(victim) = victim {
            self.requests.remove(&victim);
        }
    }
}

/// Returns the number of daemons of a service that may try a held request before the one named `own`, given
/// its content hash.
#[must_use]
pub fn precedence(content: u128, own: &str, upstreams: &[Arc<wire::Member>]) -> usize {
    let weight = |name: &str| rendezvous_weight(content, name);
    let own = weight(own);
    let others = upstreams.iter();
    others.filter(|other| weight(&other.name) > own).count()
}

fn to_wire(now: Instant, request: Fingerprint, suspect: &Suspect) -> wire::CrashRecord {
    let crashes = suspect.crashes.iter().map(|(instance, crash)| {
        let age = now.saturating_duration_since(crash.at);
        wire::Crash {
            instance: instance.clone(),
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            cleared: crash.cleared,
        }
    });
    wire::CrashRecord {
        content: request.content.to_be_bytes().to_vec().into(),
        caller: suspect.description.caller.clone(),
        path: suspect.description.path.clone(),
        crashes: crashes.collect(),
    }
}

/// Returns the start of a text, at most [`MAX_TEXT_LEN`] bytes.
fn truncated(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_TEXT_LEN)]
}
