//! Requests under which backend servers have ended, and when they may run again.
//!
//! When a backend server crashes, each request that it ran is suspected. A suspect runs alone: a backend
//! server never runs two of them at once, so the next crash tells which one is to blame. A request under which
//! [`HELD_FROM`] backend servers or more have ended is held: it is refused until a hold time has passed since
//! the last crash, and then it is tried by one daemon of the service at a time. A completed run clears a
//! request at once.
//!
//! The hold time grows with the number of tries that have failed, not with the number of crashes: any number of
//! backend servers may end at the same moment for another reason, while they all run a popular request. A run
//! is a try if the request was held by what its daemon knew when the run began. Each crash has the number of
//! its try, so daemons that restart learn it with the records.
//!
//! The records are a set of (request, instance that ended), so they can be merged in any order and more than
//! once.

use super::fingerprint::Fingerprint;
use super::idempotency::rendezvous_weight;
use crate::generated::mesh as wire;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

/// Number of crashes from which on a request is held.
pub const HELD_FROM: usize = 2;

/// Time in which a crash is detected and reported to the other daemons, a report that is sent again included.
pub const REPORT_TIME: Duration = Duration::from_secs(1);

/// Time for which a daemon may begin a try in its turn. The next turn begins once a try at the end of this time
/// has run and was reported.
pub const TURN_TIME: Duration = Duration::from_millis(500);

/// Time for which a request is held after its last crash, by the number of tries that have failed; the last
/// one holds for all further tries. By the end of the first, all runs that were in progress are reported. The
/// others add up to more than [`RETENTION`], so at most three tries fall within it.
const HOLD_TIMES: [Duration; 4] = [
    REPORT_TIME,
    Duration::from_secs(30),
    Duration::from_mins(5),
    Duration::from_mins(25),
];

/// Greatest time of a run that a turn waits for.
const MAX_RUN_TIME: Duration = Duration::from_secs(10);

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
    /// It is refused for this time here, and another daemon may try it now.
    Elsewhere {
        /// Time until the next turn.
        left: Duration,
        /// The number of the turn, for [`turn_owner`].
        turn: u64,
    },
}

/// A run of a request that a crash has ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct LostRun {
    /// What [`Suspects::next_try`] returned when the run began.
    pub try_number: u32,
    /// Time from its start to its loss.
    pub time: Duration,
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
    /// The run that it ended.
    run: LostRun,
}

impl Crash {
    /// The order in which crashes are kept if there are too many: those of late tries decide the hold time.
    fn rank<'a>(&self, instance: &'a str) -> (bool, u32, &'a str) {
        (!self.cleared, self.run.try_number, instance)
    }

    /// Merges another record of the same crash; returns whether it changes what is known.
    fn merge(&mut self, other: &Crash) -> bool {
        let is_later = other.run.try_number > self.run.try_number;
        let is_longer = other.run.time > self.run.time;
        let changed = is_later || is_longer || other.cleared && !self.cleared;
        self.cleared |= other.cleared;
        self.run.time = self.run.time.max(other.run.time);
        // A backend server that does not report its instance may end again under the same name.
        if is_later {
            self.run.try_number = other.run.try_number;
            self.at = other.at;
        }
        changed
    }
}

/// The crashes of a request that are not cleared, those of all its callers.
#[derive(Default)]
struct Summary {
    /// Number of instances that ended.
    count: usize,
    last: Option<Instant>,
    /// Number of tries that have failed.
    tries: u32,
    /// Time of the longest run that ended so.
    longest_run: Duration,
}

impl Summary {
    fn is_held(&self) -> bool {
        self.count >= HELD_FROM
    }

    /// Returns the time from the start of one daemon's turn to that of the next one.
    fn turn_interval(&self) -> Duration {
        TURN_TIME + self.longest_run.min(MAX_RUN_TIME) + REPORT_TIME
    }
}

#[derive(Clone, Debug)]
struct Suspect {
    description: Description,
    /// The crashes by the instances that ended.
    crashes: BTreeMap<String, Crash>,
}

impl Suspect {
    fn active(&self) -> impl Iterator<Item = (&str, &Crash)> {
        let crashes = self.crashes.iter();
        let crashes = crashes.map(|(instance, crash)| (instance.as_str(), crash));
        crashes.filter(|(_, crash)| !crash.cleared)
    }

    /// Removes the crash of the least rank if there are too many, and returns its instance.
    fn evict_crash(&mut self) -> Option<String> {
        if self.crashes.len() <= MAX_CRASHES {
            return None;
        }
        let crashes = self.crashes.iter();
        let least = crashes.min_by_key(|(instance, crash)| crash.rank(instance));
        let instance = least.map(|(instance, _)| instance.clone())?;
        self.crashes.remove(&instance);
        Some(instance)
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
    /// Decides whether a request may run now. `has_turn` tests whether this daemon has the turn with the given
    /// number to try a held request.
    ///
    /// The crashes of all callers of a request count, but a caller under whose copies no backend server has
    /// ended is not refused for those of others. Its copies run freely on an instance on which one has
    /// completed (`has_completed`).
    pub fn verdict(
        &self,
        now: Instant,
        request: Fingerprint,
        has_completed: impl FnOnce() -> bool,
        has_turn: impl FnOnce(u64) -> bool,
    ) -> Verdict {
        if self.requests.is_empty() {
            return Verdict::Free;
        }
        let summary = self.summary(request.content);
        let Some(last) = summary.last else {
            return Verdict::Free;
        };
        let is_suspected = self.is_suspected(request);
        if !is_suspected && has_completed() {
            return Verdict::Free;
        }
        if !summary.is_held() || !is_suspected {
            return Verdict::Suspect;
        }
        let tries = usize::try_from(summary.tries).unwrap_or(usize::MAX);
        let tried_from = last + HOLD_TIMES[tries.min(HOLD_TIMES.len() - 1)];
        let Some(passed) = now.checked_duration_since(tried_from) else {
            return Verdict::Held(tried_from - now);
        };
        let interval = summary.turn_interval();
        let turn = u64::try_from(passed.as_millis() / interval.as_millis());
        let turn = turn.unwrap_or(u64::MAX);
        let in_turn = millis_mod(passed, interval);
        let left = interval.saturating_sub(in_turn);
        if in_turn >= TURN_TIME {
            Verdict::Held(left)
        } else if has_turn(turn) {
            Verdict::Suspect
        } else {
            Verdict::Elsewhere { left, turn }
        }
    }

    /// Returns the number of instances that ended under a request, those of all its callers.
    #[must_use]
    pub fn crashes(&self, content: u128) -> usize {
        self.summary(content).count
    }

    /// Returns the number of the try that a run of a request is if it begins now; zero if the request is not
    /// held.
    #[must_use]
    pub fn next_try(&self, content: u128) -> u32 {
        let summary = self.summary(content);
        if summary.is_held() {
            summary.tries.saturating_add(1)
        } else {
            0
        }
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
        run: LostRun,
    ) -> bool {
        let crash = Crash {
            at: now,
            cleared: false,
            run,
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
                run: LostRun {
                    try_number: crash.try_number,
                    time: Duration::from_millis(crash.run_ms),
                },
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
                hasher.update(&crash.run.try_number.to_be_bytes());
                hasher.update(&millis(crash.run.time).to_be_bytes());
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
            let ages = suspect.active().map(|(_, crash)| {
                let age = now.saturating_duration_since(crash.at);
                millis(age)
            });
            let instances = suspect.active().map(|(instance, _)| instance);
            let summary = self.summary(request.content);
            json!({
                "request": format!("{:032x}", request.content),
                "caller": suspect.description.caller,
                "path": suspect.description.path,
                "instances": instances.collect::<Vec<_>>(),
                "ages_ms": ages.collect::<Vec<_>>(),
                "held": summary.is_held(),
                "tries": summary.tries,
            })
        });
        suspects.collect()
    }

    fn summary(&self, content: u128) -> Summary {
        let mut summary = Summary::default();
        let mut instances = BTreeSet::new();
        let copies = self.copies(content);
        for (instance, crash) in copies.flat_map(|(_, suspect)| suspect.active()) {
            // An instance may have run copies of several callers when it ended.
            instances.insert(instance);
            summary.last = summary.last.max(Some(crash.at));
            summary.tries = summary.tries.max(crash.run.try_number);
            summary.longest_run = summary.longest_run.max(crash.run.time);
        }
        summary.count = instances.len();
        summary
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
            return known.merge(&crash);
        }
        suspect.crashes.insert(instance.to_owned(), crash);
        suspect.evict_crash().as_deref() != Some(instance)
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

/// Tests whether a turn to try a held request, given its content hash, is that of the daemon named `own`.
///
/// Rendezvous hashing for each turn: a daemon that is missing from the list of another one changes the turns of
/// no third one.
#[must_use]
pub fn has_turn(content: u128, turn: u64, own: &str, upstreams: &[Arc<wire::Member>]) -> bool {
    let mut others = upstreams.iter().filter(|other| other.name != own);
    let own_weight = turn_weight(content, turn, own);
    others.all(|other| turn_weight(content, turn, &other.name) < own_weight)
}

/// Returns the name of the daemon whose turn it is to try a held request.
#[must_use]
pub fn turn_owner(content: u128, turn: u64, upstreams: &[Arc<wire::Member>]) -> Option<&str> {
    let names = upstreams.iter().map(|upstream| upstream.name.as_str());
    names.max_by_key(|name| turn_weight(content, turn, name))
}

fn turn_weight(content: u128, turn: u64, name: &str) -> u128 {
    rendezvous_weight(content ^ u128::from(turn), name)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the remainder of a division, in whole milliseconds.
fn millis_mod(time: Duration, interval: Duration) -> Duration {
    let millis = time.as_millis() % interval.as_millis();
    Duration::from_millis(u64::try_from(millis).unwrap_or_default())
}

fn to_wire(now: Instant, request: Fingerprint, suspect: &Suspect) -> wire::CrashRecord {
    let crashes = suspect.crashes.iter().map(|(instance, crash)| {
        let age = now.saturating_duration_since(crash.at);
        wire::Crash {
            instance: instance.clone(),
            age_ms: millis(age),
            cleared: crash.cleared,
            try_number: crash.run.try_number,
            run_ms: millis(crash.run.time),
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
