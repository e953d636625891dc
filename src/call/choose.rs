//! Which of a service's upstreams takes a call.

use super::attempt::Load;
use super::idempotency::KeyId;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// The age at which a reported load counts for nothing.
const LOAD_AGE_MS: u64 = 1_000;

/// Load in percent of slots above which calls with long bodies go to other failure domains: some
/// wait costs less than carrying them.
const HEAVY_SPILL_PERCENT: u32 = 110;

/// Failures in a row after which an upstream is ejected.
const MAX_FAILURES: u32 = 3;

const EJECTION_MIN_MS: u64 = 1_000;
const EJECTION_MAX_MS: u64 = 30_000;

/// The share of calls that a new upstream starts with, in thousandths.
const COLD_SHARE: u64 = 100;

/// How much worse an upstream counts that may be out of reach.
const SUSPECT_PENALTY: u64 = 4;

/// How much slower an upstream counts whose slots are all taken, in percent.
const CROWD_PERCENT: u64 = 50;

/// How much worse an upstream counts that sheds calls itself.
const SHED_PENALTY: u64 = 4;

/// The greatest time for which an upstream counts as shedding.
const SHED_MAX: Duration = Duration::from_secs(5);

/// The share of a new answer time in the moving average, as a divisor.
const AVERAGE_DIVISOR: u64 = 8;

/// A pace like that of the others, in thousandths of their service times.
const SAME_PACE: u32 = 1_000;

/// Bounds of one comparison: service times of one kind differ by themselves.
const MIN_PACE: u32 = 200;
const MAX_PACE: u32 = 8_000;

/// The pace above which the upstream on the own VM is not preferred.
const LOCAL_PACE: u32 = 2_000;

/// The share of a new comparison in the pace, as a divisor.
const PACE_DIVISOR: u32 = 16;

/// The share of a new outcome in the share of faults, as a divisor.
const FAULT_DIVISOR: u32 = 6;

/// The time in which the share of faults halves by itself.
const FAULT_HALF_LIFE_MS: u64 = 2_000;

/// The share of faults, in thousandths, above which calls go to other failure domains.
const FAULTY: u32 = 150;

/// How much worse an upstream counts whose attempts all fail.
const FAULT_PENALTY: u64 = 20;

/// How an upstream is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Choice {
    /// One after the other.
    RoundRobin,
    /// The one of two random ones with fewer calls of this daemon in flight.
    TwoChoices,
    /// Two random ones compared by load and answer time, in the own failure domain first.
    #[default]
    Load,
}

/// How much a call costs to carry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Bulk {
    /// Little.
    #[default]
    Light,
    /// Its body is long: it stays in its failure domain for longer.
    Heavy,
}

/// The sizes that bear on the choice.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Calls that an upstream runs at once.
    pub slots: u32,
    /// Load in percent of slots above which calls go to other failure domains.
    pub spill_percent: u32,
    /// Share of the upstreams that are never ejected, in percent.
    pub keep_percent: u32,
    /// Time in which a new upstream's share of calls grows to its full size.
    pub warm: Duration,
}

/// What is fixed about an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Facts {
    /// The name of the daemon beside it.
    pub name: String,
    /// The incarnation of that daemon.
    pub incarnation: u64,
    /// Where that daemon takes calls.
    pub address: SocketAddr,
    /// Whether it is on the own VM.
    pub local: bool,
    /// Whether it is in the own failure domain.
    pub near: bool,
    /// Whether it may be out of reach.
    pub suspect: bool,
    /// When it joined, if it counts as cold.
    pub joined: Option<Instant>,
    /// Calls that it runs at once, where it says so itself.
    pub slots: Option<u32>,
}

/// What the answers of an upstream have shown. Kept across rebuilds of a [`Group`].
#[derive(Debug)]
pub struct Health {
    start: Instant,
    in_flight: AtomicU32,
    /// Calls of others that it runs or queues, as reported.
    others: AtomicU32,
    reported_ms: AtomicU64,
    answer_us: AtomicU64,
    /// How its service times compare with those of its service, in thousandths.
    pace: AtomicU32,
    /// The share of attempts that failed, in thousandths, as of `faulty_ms`.
    faulty: AtomicU32,
    faulty_ms: AtomicU64,
    failures: AtomicU32,
    ejected_ms: AtomicU64,
    shedding_ms: AtomicU64,
    leaving: AtomicBool,
}

impl Health {
    /// Makes the state of an upstream that has not answered yet.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Health {
            start: now,
            in_flight: AtomicU32::new(0),
            others: AtomicU32::new(0),
            reported_ms: AtomicU64::new(0),
            answer_us: AtomicU64::new(0),
            pace: AtomicU32::new(SAME_PACE),
            faulty: AtomicU32::new(0),
            faulty_ms: AtomicU64::new(0),
            failures: AtomicU32::new(0),
            ejected_ms: AtomicU64::new(0),
            shedding_ms: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
        }
    }

    /// Counts a call as in flight.
    pub fn begin(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a call as ended.
    pub fn end(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the calls of this daemon in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Notes the load that an answer states.
    pub fn report(&self, now: Instant, load: Load) {
        let total = load.running + load.queued;
        let others = total.saturating_sub(self.in_flight());
        self.others.store(others, Ordering::Relaxed);
        self.reported_ms.store(self.millis(now), Ordering::Relaxed);
    }

    /// Notes an answer and the time that it took. Returns true when the upstream was ejected.
    pub fn succeed(&self, took: Duration) -> bool {
        let new = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        let old = self.answer_us.load(Ordering::Relaxed);
        let mixed = match old {
            0 => new,
            _ => (old * (AVERAGE_DIVISOR - 1) + new) / AVERAGE_DIVISOR,
        };
        self.answer_us.store(mixed.max(1), Ordering::Relaxed);
        if self.failures.load(Ordering::Relaxed) == 0 {
            return false;
        }
        self.failures.store(0, Ordering::Relaxed);
        self.ejected_ms.swap(0, Ordering::Relaxed) != 0
    }

    /// Notes how a service time compares with the average of its kind, in thousandths.
    pub fn compare(&self, ratio: u32) {
        let old = self.pace.load(Ordering::Relaxed);
        let ratio = ratio.clamp(MIN_PACE, MAX_PACE);
        let mixed = (old * (PACE_DIVISOR - 1) + ratio) / PACE_DIVISOR;
        self.pace.store(mixed.max(MIN_PACE), Ordering::Relaxed);
    }

    /// Tests whether the pace has been measured.
    fn is_paced(&self) -> bool {
        self.pace.load(Ordering::Relaxed) != SAME_PACE
    }

    /// Notes whether an attempt was of use, for the share of those that were not.
    pub fn rate(&self, now: Instant, good: bool) {
        let old = self.faults(now);
        let new = if good { 0 } else { 1_000 };
        let mixed = (old * (FAULT_DIVISOR - 1) + new) / FAULT_DIVISOR;
        self.faulty.store(mixed, Ordering::Relaxed);
        self.faulty_ms.store(self.millis(now), Ordering::Relaxed);
    }

    /// Returns the share of attempts that were of no use, in thousandths. It halves with time, so
    /// that an upstream that gets no calls for its faults is tried again.
    #[must_use]
    pub fn faults(&self, now: Instant) -> u32 {
        let age = self
            .millis(now)
            .saturating_sub(self.faulty_ms.load(Ordering::Relaxed));
        let halvings = age / FAULT_HALF_LIFE_MS;
        let faulty = self.faulty.load(Ordering::Relaxed);
        faulty
            .checked_shr(u32::try_from(halvings).unwrap_or(32))
            .unwrap_or(0)
    }

    /// Notes that no answer came. Returns the time of the ejection that follows, if one does.
    ///
    /// Calls that were under way together fail together, which is one failure and not many: once
    /// the upstream is ejected, further ones count only when it gets calls again.
    pub fn fail(&self, now: Instant) -> Option<Duration> {
        if self.is_ejected(now) {
            return None;
        }
        let failures = self.failures.fetch_add(1, Ordering::Relaxed) + 1;
        let over = failures.checked_sub(MAX_FAILURES)?;
        let time = (EJECTION_MIN_MS << over.min(8)).min(EJECTION_MAX_MS);
        let until = self.millis(now) + time;
        self.ejected_ms.store(until, Ordering::Relaxed);
        Some(Duration::from_millis(time))
    }

    /// Notes that the backend server itself sheds calls for a time.
    pub fn shed(&self, now: Instant, time: Duration) {
        let until = self.millis(now + time.min(SHED_MAX));
        self.shedding_ms.store(until, Ordering::Relaxed);
    }

    /// Notes that the upstream drains; it gets no further call.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    /// Tests whether the upstream drains.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Tests whether the upstream is ejected.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_ms.load(Ordering::Relaxed) > self.millis(now)
    }

    fn is_shedding(&self, now: Instant) -> bool {
        self.shedding_ms.load(Ordering::Relaxed) > self.millis(now)
    }

    /// Estimates the calls that the upstream runs or queues, in thousandths.
    fn load(&self, now: Instant) -> u64 {
        let age = self.millis(now);
        let age = age.saturating_sub(self.reported_ms.load(Ordering::Relaxed));
        let fresh = LOAD_AGE_MS.saturating_sub(age);
        let others = u64::from(self.others.load(Ordering::Relaxed));
        let others = others * 1_000 * fresh / LOAD_AGE_MS;
        u64::from(self.in_flight()) * 1_000 + others
    }

    fn millis(&self, now: Instant) -> u64 {
        let age = now.saturating_duration_since(self.start);
        // Zero stands for never.
        u64::try_from(age.as_millis()).unwrap_or(u64::MAX - 1) + 1
    }
}

/// An upstream of a [`Group`].
#[derive(Clone, Debug)]
pub struct Upstream {
    /// What is fixed about it.
    pub facts: Facts,
    /// What its answers have shown.
    pub health: Arc<Health>,
}

impl Upstream {
    /// Rates the upstream by the time in which it would answer; less is better.
    fn cost(&self, now: Instant, sizes: &Sizes, answer_us: u64) -> u64 {
        let slots = u64::from(self.slots(sizes)) * 1_000;
        let load = self.health.load(now) + 1_000;
        // Up to its slots an upstream slows down somewhat; beyond, calls wait for each other.
        let queue = load.saturating_sub(slots) * 1_000 / slots;
        let crowd = (load.min(slots) * 1_000 / slots).pow(2) * CROWD_PERCENT / 100_000;
        let pace = u64::from(self.health.pace.load(Ordering::Relaxed));
        let mut cost = (1_000 + crowd + queue * 2) * answer_us.max(1) * pace / 1_000;
        if self.facts.suspect {
            cost = cost.saturating_mul(SUSPECT_PENALTY);
        }
        if self.health.is_shedding(now) {
            cost = cost.saturating_mul(SHED_PENALTY);
        }
        let faults = u64::from(self.health.faults(now));
        cost = cost.saturating_mul(1_000 + faults * FAULT_PENALTY) / 1_000;
        cost.saturating_mul(1_000) / self.warmth(now, sizes)
    }

    fn slots(&self, sizes: &Sizes) -> u32 {
        self.facts.slots.unwrap_or(sizes.slots).max(1)
    }

    /// Tests whether this upstream is rated better than another.
    fn beats(&self, other: &Upstream, now: Instant, sizes: &Sizes) -> bool {
        // Where the pace is known, answer times differ by the mix of calls alone.
        let paced = self.health.is_paced() || other.health.is_paced();
        let own_us = self.health.answer_us.load(Ordering::Relaxed);
        let other_us = other.health.answer_us.load(Ordering::Relaxed);
        // One that has not answered yet is rated by its load alone.
        let (own_us, other_us) = match (own_us, other_us) {
            (0, _) | (_, 0) => (1_000, 1_000),
            _ if paced => (1_000, 1_000),
            both => both,
        };
        self.cost(now, sizes, own_us) < other.cost(now, sizes, other_us)
    }

    /// Returns the share of calls that a new upstream takes, in thousandths.
    fn warmth(&self, now: Instant, sizes: &Sizes) -> u64 {
        let Some(joined) = self.facts.joined else {
            return 1_000;
        };
        let age = now.saturating_duration_since(joined);
        if age >= sizes.warm {
            return 1_000;
        }
        let share = age.as_millis() * 1_000 / sizes.warm.as_millis().max(1);
        u64::try_from(share).unwrap_or(1_000).max(COLD_SHARE)
    }

    /// Tests whether its load calls for other failure domains.
    fn is_loaded(&self, now: Instant, sizes: &Sizes, bulk: Bulk) -> bool {
        let percent = match bulk {
            Bulk::Light => sizes.spill_percent,
            Bulk::Heavy => sizes.spill_percent.max(HEAVY_SPILL_PERCENT),
        };
        let most = u64::from(self.slots(sizes)) * u64::from(percent) * 10;
        let faulty = self.health.faults(now) >= FAULTY;
        self.health.load(now) >= most || self.health.is_shedding(now) || faulty
    }
}

/// A place in a [`Group`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Index(pub usize);

/// The upstreams of one service, those of the own failure domain first.
#[derive(Debug)]
pub struct Group {
    upstreams: Vec<Upstream>,
    near: usize,
    sizes: Sizes,
    next: AtomicU32,
}

/// Two random numbers for one choice.
pub type Dice = (u32, u32);

impl Group {
    /// Makes a group.
    #[must_use]
    pub fn new(mut upstreams: Vec<Upstream>, sizes: Sizes) -> Self {
        upstreams.sort_by_key(|upstream| !upstream.facts.near);
        let near = upstreams.partition_point(|upstream| upstream.facts.near);
        Group {
            upstreams,
            near,
            sizes,
            next: AtomicU32::new(0),
        }
    }

    /// Returns the upstreams, in the order of their indices.
    #[must_use]
    pub fn upstreams(&self) -> &[Upstream] {
        &self.upstreams
    }

    /// Chooses an upstream that is not among those tried; `None` when there is none.
    #[must_use]
    pub fn choose(
        &self,
        now: Instant,
        choice: Choice,
        dice: Dice,
        tried: &[Index],
    ) -> Option<Index> {
        self.choose_for(now, choice, dice, tried, Bulk::Light)
    }

    /// Chooses an upstream as [`Group::choose`] does, for a call of some bulk.
    #[must_use]
    pub fn choose_for(
        &self,
        now: Instant,
        choice: Choice,
        dice: Dice,
        tried: &[Index],
        bulk: Bulk,
    ) -> Option<Index> {
        let all = 0..self.upstreams.len();
        match choice {
            Choice::RoundRobin => {
                let turn = self.next.fetch_add(1, Ordering::Relaxed);
                self.usable(now, all, turn, tried)
            }
            Choice::TwoChoices => {
                let beats =
                    |a: &Upstream, b: &Upstream| a.health.in_flight() < b.health.in_flight();
                self.better(now, all, dice, tried, beats)
            }
            Choice::Load => self.near_first(now, dice, tried, bulk),
        }
    }

    /// Returns the upstreams that take calls, the one that a key belongs to first.
    #[must_use]
    pub fn by_key(&self, key: KeyId) -> Vec<Index> {
        let places = (0..self.upstreams.len()).map(Index);
        let staying = |index: &Index| !self.upstreams[index.0].health.is_leaving();
        let mut places: Vec<Index> = places.filter(staying).collect();
        places.sort_by_cached_key(|index| {
            let name = &self.upstreams[index.0].facts.name;
            std::cmp::Reverse(key.rating(name))
        });
        places
    }

    fn near_first(&self, now: Instant, dice: Dice, tried: &[Index], bulk: Bulk) -> Option<Index> {
        if let Some(local) = self.local(now, tried, bulk) {
            return Some(local);
        }
        let beats = |a: &Upstream, b: &Upstream| a.beats(b, now, &self.sizes);
        let near = self.better(now, 0..self.near, dice, tried, beats);
        // Both may be loaded by chance while others of the failure domain are not.
        let near = near.map(|index| self.least_loaded(now, index, tried, bulk));
        let loaded = |index: Index| self.upstreams[index.0].is_loaded(now, &self.sizes, bulk);
        if near.is_some_and(|index| !loaded(index)) {
            return near;
        }
        let far = self.near..self.upstreams.len();
        let far = self.better(now, far, dice, tried, beats);
        match (near, far) {
            (Some(near), Some(far)) => Some(self.pick(near, far, beats)),
            (near, far) => near.or(far),
        }
    }

    /// Returns the upstream on the own VM while it has slots to spare: calls to it cross no link.
    fn local(&self, now: Instant, tried: &[Index], bulk: Bulk) -> Option<Index> {
        let place = self.upstreams.iter().position(|u| u.facts.local)?;
        let upstream = &self.upstreams[place];
        let (health, index) = (&upstream.health, Index(place));
        let slow = health.pace.load(Ordering::Relaxed) > LOCAL_PACE;
        let cold = upstream.warmth(now, &self.sizes) < 1_000;
        let usable = !health.is_leaving() && !health.is_ejected(now) && !upstream.facts.suspect;
        let spare = !slow && !cold && !upstream.is_loaded(now, &self.sizes, bulk);
        (usable && spare && !tried.contains(&index)).then_some(index)
    }

    /// Returns an upstream near by that is not loaded, in place of one that is.
    fn least_loaded(&self, now: Instant, index: Index, tried: &[Index], bulk: Bulk) -> Index {
        if !self.upstreams[index.0].is_loaded(now, &self.sizes, bulk) {
            return index;
        }
        let near = (0..self.near)
            .map(Index)
            .filter(|index| !tried.contains(index));
        let mut usable = near.filter(|index| {
            let health = &self.upstreams[index.0].health;
            !health.is_leaving() && !health.is_ejected(now)
        });
        let free = usable.find(|index| !self.upstreams[index.0].is_loaded(now, &self.sizes, bulk));
        free.unwrap_or(index)
    }

    /// Returns the better of two random upstreams of a range.
    fn better(
        &self,
        now: Instant,
        range: std::ops::Range<usize>,
        dice: Dice,
        tried: &[Index],
        beats: impl Fn(&Upstream, &Upstream) -> bool,
    ) -> Option<Index> {
        let one = self.usable(now, range.clone(), dice.0, tried)?;
        if range.len() == 1 {
            return Some(one);
        }
        // The second draw is among the places after the first.
        let width = u32::try_from(range.len() - 1).unwrap_or(u32::MAX);
        let step = 1 + dice.1 % width;
        let from = u32::try_from(one.0 - range.start).unwrap_or(0) + step;
        let two = self.usable(now, range, from, tried)?;
        Some(self.pick(one, two, beats))
    }

    fn pick(&self, one: Index, two: Index, beats: impl Fn(&Upstream, &Upstream) -> bool) -> Index {
        let (a, b) = (&self.upstreams[one.0], &self.upstreams[two.0]);
        if beats(b, a) { two } else { one }
    }

    /// Returns the first usable upstream of a range from a place on, around its end.
    ///
    /// Ejected ones are passed over unless too many are ejected, and taken when nothing is left.
    fn usable(
        &self,
        now: Instant,
        range: std::ops::Range<usize>,
        from: u32,
        tried: &[Index],
    ) -> Option<Index> {
        let len = range.len();
        if len == 0 {
            return None;
        }
        let from = from as usize % len;
        let places = (0..len).map(|step| Index(range.start + (from + step) % len));
        let mut last = None;
        let untried = places
            .filter(|index| !tried.contains(index) && !self.upstreams[index.0].health.is_leaving());
        for index in untried {
            let ejected = self.upstreams[index.0].health.is_ejected(now);
            if !ejected || self.keeps_ejected(now) {
                return Some(index);
            }
            last.get_or_insert(index);
        }
        if range.len() == self.upstreams.len() || self.none_usable(now, tried) {
            return last;
        }
        None
    }

    /// Tests whether so many are ejected that ejection no longer counts.
    fn keeps_ejected(&self, now: Instant) -> bool {
        let ejected = self.upstreams.iter();
        let ejected = ejected.filter(|u| u.health.is_ejected(now)).count();
        let kept = self.upstreams.len() - ejected;
        kept * 100 < self.upstreams.len() * self.sizes.keep_percent as usize
    }

    fn none_usable(&self, now: Instant, tried: &[Index]) -> bool {
        let mut all = self.upstreams.iter().enumerate();
        all.all(|(place, u)| {
            u.health.is_ejected(now) || u.health.is_leaving() || tried.contains(&Index(place))
        })
    }
}
