//! Load balancing: selects the upstream of a service that receives a call.
//!
//! The default policy compares two random upstreams by estimated response time. It prefers the
//! own VM, then the own failure domain, and applies slow start, outlier ejection and locality
//! spillover.

use super::attempt::Load;
use super::idempotency::KeyId;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Age, in milliseconds, from which a reported load is ignored; its weight falls linearly to zero.
const LOAD_TTL_MS: u64 = 1_000;

/// Least spillover threshold for calls with large bodies, in percent of slots. A short wait for a
/// slot costs less than sending a large body to another failure domain.
const LARGE_SPILL_PERCENT: u32 = 110;

/// Consecutive failures after which an upstream is ejected.
const EJECTION_FAILURES: u32 = 3;

/// Length of the first ejection, in milliseconds; it doubles with each further failure.
const EJECTION_MIN_MS: u64 = 1_000;

/// Longest ejection, in milliseconds.
const EJECTION_MAX_MS: u64 = 30_000;

/// Slow start: share of its calls that a new upstream starts with, in thousandths.
const SLOW_START_SHARE: u64 = 100;

/// Penalty factor on the cost of an upstream that membership suspects to be unreachable.
const SUSPECT_PENALTY: u64 = 4;

/// Utilization penalty: percent added to the cost of an upstream when all its slots are in use.
const UTILIZATION_PENALTY_PERCENT: u64 = 50;

/// Penalty factor on the cost of an upstream that sheds load.
const SHED_PENALTY: u64 = 4;

/// Longest time for which an upstream is treated as shedding load, whatever it asks for.
const MAX_SHED_TIME: Duration = Duration::from_secs(5);

/// Smoothing factor of the response time: a new sample has a weight of 1/8 in the moving average.
const LATENCY_SMOOTHING: u64 = 8;

/// Latency ratio, in thousandths, of an upstream as fast as its peers; also the initial value.
const EVEN_RATIO: u32 = 1_000;

/// Bounds of one latency ratio sample, in thousandths. Service times vary within one time class,
/// so a single outlier must not dominate the average.
const MIN_RATIO: u32 = 200;
const MAX_RATIO: u32 = 8_000;

/// Latency ratio, in thousandths, above which the upstream on the own VM is not preferred.
const MAX_LOCAL_RATIO: u32 = 2_000;

/// Smoothing factor of the latency ratio: a new sample has a weight of 1/16.
const RATIO_SMOOTHING: u32 = 16;

/// Smoothing factor of the error rate: a new outcome has a weight of 1/6.
const ERROR_SMOOTHING: u32 = 6;

/// Half-life of the error rate without new outcomes, in milliseconds.
const ERROR_HALF_LIFE_MS: u64 = 2_000;

/// Error rate, in thousandths, from which calls spill over to other failure domains.
const SPILL_ERROR_RATE: u32 = 150;

/// Penalty factor per error rate: an upstream whose attempts all fail costs 1 + 20 times as much.
const ERROR_PENALTY: u64 = 20;

/// The load balancing policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BalancePolicy {
    /// Takes the upstreams in turn.
    RoundRobin,
    /// Takes the one of two random upstreams with fewer calls of this daemon in flight.
    TwoChoices,
    /// Compares two random upstreams by load and response time, in the own failure domain first.
    #[default]
    Load,
}

/// The body size class of a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BodySize {
    /// The body is short: the call spills over to other failure domains at the usual threshold.
    #[default]
    Small,
    /// The body is long: the call spills over only at a higher load, as it is expensive to send.
    Large,
}

/// The load balancing limits of one service, from its pool configuration.
#[derive(Clone, Copy, Debug)]
pub struct BalancingLimits {
    /// Concurrent calls per upstream, unless the upstream reports its own limit.
    pub slots: u32,
    /// Load, in percent of slots, from which calls spill over to other failure domains.
    pub spill_percent: u32,
    /// Least share of upstreams that are not ejected, in percent; below it, ejection is ignored.
    pub keep_percent: u32,
    /// Slow start: time in which a new upstream's share of calls grows to its full size.
    pub slow_start: Duration,
}

/// The identity, location and reported state of an upstream; fixed within one [`Group`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamInfo {
    /// The name of the daemon beside the backend server.
    pub name: String,
    /// The incarnation of that daemon.
    pub incarnation: u64,
    /// The inbound address of that daemon.
    pub address: SocketAddr,
    /// Whether it is on this daemon's VM.
    pub local: bool,
    /// Whether it is in this daemon's failure domain.
    pub same_domain: bool,
    /// Whether membership suspects it to be unreachable.
    pub suspect: bool,
    /// When it joined, if slow start applies to it.
    pub joined: Option<Instant>,
    /// Concurrent calls that it allows, if it reports a limit of its own.
    pub slots: Option<u32>,
    /// The version of the backend server; empty if it has not reported one.
    pub version: String,
}

/// The load, latency and failures observed at an upstream. Survives rebuilds of a [`Group`].
///
/// Points in time are milliseconds as returned by `millis`; zero means never.
#[derive(Debug)]
pub struct Health {
    start: Instant,
    in_flight: AtomicU32,
    /// Calls from other daemons that it runs or queues, as last reported.
    others: AtomicU32,
    reported_ms: AtomicU64,
    /// Moving average of the response time, in microseconds; zero until the first response.
    response_us: AtomicU64,
    /// Service time relative to the service's average for the time class, in thousandths.
    latency_ratio: AtomicU32,
    /// The share of failed attempts, in thousandths, as of `error_ms`.
    error_rate: AtomicU32,
    error_ms: AtomicU64,
    /// Consecutive failures.
    failures: AtomicU32,
    /// When the ejection ends.
    ejected_ms: AtomicU64,
    /// When the upstream is no longer treated as shedding load.
    shedding_ms: AtomicU64,
    draining: AtomicBool,
}

impl Health {
    /// Creates the state of an upstream without any response yet.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Health {
            start: now,
            in_flight: AtomicU32::new(0),
            others: AtomicU32::new(0),
            reported_ms: AtomicU64::new(0),
            response_us: AtomicU64::new(0),
            latency_ratio: AtomicU32::new(EVEN_RATIO),
            error_rate: AtomicU32::new(0),
            error_ms: AtomicU64::new(0),
            failures: AtomicU32::new(0),
            ejected_ms: AtomicU64::new(0),
            shedding_ms: AtomicU64::new(0),
            draining: AtomicBool::new(false),
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

    /// Returns the number of this daemon's calls in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Records the load that a response reports.
    pub fn report(&self, now: Instant, load: Load) {
        let total = load.running + load.queued;
        let others = total.saturating_sub(self.in_flight());
        self.others.store(others, Ordering::Relaxed);
        self.reported_ms.store(self.millis(now), Ordering::Relaxed);
    }

    /// Records a response and its response time. Returns true if the upstream had been ejected.
    pub fn succeed(&self, response_time: Duration) -> bool {
        let new = u64::try_from(response_time.as_micros()).unwrap_or(u64::MAX);
        let old = self.response_us.load(Ordering::Relaxed);
        let mixed = match old {
            0 => new,
            _ => (old * (LATENCY_SMOOTHING - 1) + new) / LATENCY_SMOOTHING,
        };
        self.response_us.store(mixed.max(1), Ordering::Relaxed);
        if self.failures.load(Ordering::Relaxed) == 0 {
            return false;
        }
        self.failures.store(0, Ordering::Relaxed);
        self.ejected_ms.swap(0, Ordering::Relaxed) != 0
    }

    /// Records a latency ratio: a service time relative to its class average, in thousandths.
    pub fn record_latency_ratio(&self, ratio: u32) {
        let old = self.latency_ratio.load(Ordering::Relaxed);
        let ratio = ratio.clamp(MIN_RATIO, MAX_RATIO);
        let mixed = (old * (RATIO_SMOOTHING - 1) + ratio) / RATIO_SMOOTHING;
        self.latency_ratio
            .store(mixed.max(MIN_RATIO), Ordering::Relaxed);
    }

    /// Tests whether the latency ratio has been measured.
    fn has_ratio(&self) -> bool {
        self.latency_ratio.load(Ordering::Relaxed) != EVEN_RATIO
    }

    /// Updates the error rate by an attempt that succeeded or failed.
    pub fn record_outcome(&self, now: Instant, succeeded: bool) {
        let old = self.error_rate(now);
        let new = if succeeded { 0 } else { 1_000 };
        let mixed = (old * (ERROR_SMOOTHING - 1) + new) / ERROR_SMOOTHING;
        self.error_rate.store(mixed, Ordering::Relaxed);
        self.error_ms.store(self.millis(now), Ordering::Relaxed);
    }

    /// Returns the error rate of attempts, in thousandths. It decays with time, so that an upstream
    /// that gets no calls because of its errors is tried again.
    #[must_use]
    pub fn error_rate(&self, now: Instant) -> u32 {
        let age = self
            .millis(now)
            .saturating_sub(self.error_ms.load(Ordering::Relaxed));
        let halvings = age / ERROR_HALF_LIFE_MS;
        let rate = self.error_rate.load(Ordering::Relaxed);
        rate.checked_shr(u32::try_from(halvings).unwrap_or(32))
            .unwrap_or(0)
    }

    /// Records an attempt without a response. Returns the ejection time if the upstream is ejected.
    ///
    /// Calls that were in flight together fail together, which is one failure of the upstream and
    /// not many: while it is ejected, further failures are not counted.
    pub fn fail(&self, now: Instant) -> Option<Duration> {
        if self.is_ejected(now) {
            return None;
        }
        let failures = self.failures.fetch_add(1, Ordering::Relaxed) + 1;
        let excess = failures.checked_sub(EJECTION_FAILURES)?;
        let time = (EJECTION_MIN_MS << excess.min(8)).min(EJECTION_MAX_MS);
        let until = self.millis(now) + time;
        self.ejected_ms.store(until, Ordering::Relaxed);
        Some(Duration::from_millis(time))
    }

    /// Records that the backend server itself sheds load, for `time`, limited to [`MAX_SHED_TIME`].
    pub fn shed(&self, now: Instant, time: Duration) {
        let until = self.millis(now + time.min(MAX_SHED_TIME));
        self.shedding_ms.store(until, Ordering::Relaxed);
    }

    /// Records that the upstream is draining; it receives no further calls.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Tests whether the upstream is draining.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Tests whether the upstream is ejected.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_ms.load(Ordering::Relaxed) > self.millis(now)
    }

    fn is_shedding(&self, now: Instant) -> bool {
        self.shedding_ms.load(Ordering::Relaxed) > self.millis(now)
    }

    /// Estimates the calls that the upstream runs or queues, in thousandths of a call.
    fn load(&self, now: Instant) -> u64 {
        let age = self.millis(now);
        let age = age.saturating_sub(self.reported_ms.load(Ordering::Relaxed));
        let fresh = LOAD_TTL_MS.saturating_sub(age);
        let others = u64::from(self.others.load(Ordering::Relaxed));
        let others = others * 1_000 * fresh / LOAD_TTL_MS;
        u64::from(self.in_flight()) * 1_000 + others
    }

    fn millis(&self, now: Instant) -> u64 {
        let age = now.saturating_duration_since(self.start);
        // Zero means never.
        u64::try_from(age.as_millis()).unwrap_or(u64::MAX - 1) + 1
    }
}

/// An upstream of a [`Group`].
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its identity, location and reported state.
    pub info: UpstreamInfo,
    /// Its observed load, latency and failures.
    pub health: Arc<Health>,
}

impl Upstream {
    /// Estimates the response time, with penalties applied; the lower cost wins.
    fn cost(&self, now: Instant, limits: &BalancingLimits, response_us: u64) -> u64 {
        let slots = u64::from(self.slots(limits)) * 1_000;
        let load = self.health.load(now) + 1_000;
        // Up to its slots, an upstream slows down with the square of its utilization; beyond that,
        // calls wait in its queue.
        let queue = load.saturating_sub(slots) * 1_000 / slots;
        let utilization = load.min(slots) * 1_000 / slots;
        let penalty = utilization.pow(2) * UTILIZATION_PENALTY_PERCENT / 100_000;
        let latency_ratio = u64::from(self.health.latency_ratio.load(Ordering::Relaxed));
        let mut cost = (1_000 + penalty + queue * 2) * response_us.max(1) * latency_ratio / 1_000;
        if self.info.suspect {
            cost = cost.saturating_mul(SUSPECT_PENALTY);
        }
        if self.health.is_shedding(now) {
            cost = cost.saturating_mul(SHED_PENALTY);
        }
        let error_rate = u64::from(self.health.error_rate(now));
        cost = cost.saturating_mul(1_000 + error_rate * ERROR_PENALTY) / 1_000;
        cost.saturating_mul(1_000) / self.slow_start_share(now, limits)
    }

    fn slots(&self, limits: &BalancingLimits) -> u32 {
        self.info.slots.unwrap_or(limits.slots).max(1)
    }

    /// Tests whether this upstream has a lower cost than another.
    fn is_better(&self, other: &Upstream, now: Instant, limits: &BalancingLimits) -> bool {
        // With a measured latency ratio, response times add nothing: they differ only because the
        // upstreams serve a different mix of calls.
        let measured = self.health.has_ratio() || other.health.has_ratio();
        let own_us = self.health.response_us.load(Ordering::Relaxed);
        let other_us = other.health.response_us.load(Ordering::Relaxed);
        // An upstream without a response yet is compared by its load alone.
        let (own_us, other_us) = match (own_us, other_us) {
            (0, _) | (_, 0) => (1_000, 1_000),
            _ if measured => (1_000, 1_000),
            both => both,
        };
        self.cost(now, limits, own_us) < other.cost(now, limits, other_us)
    }

    /// Returns the slow-start share of calls, in thousandths; 1,000 once slow start is over.
    fn slow_start_share(&self, now: Instant, limits: &BalancingLimits) -> u64 {
        let Some(joined) = self.info.joined else {
            return 1_000;
        };
        let age = now.saturating_duration_since(joined);
        if age >= limits.slow_start {
            return 1_000;
        }
        let share = age.as_millis() * 1_000 / limits.slow_start.as_millis().max(1);
        u64::try_from(share).unwrap_or(1_000).max(SLOW_START_SHARE)
    }

    /// Tests whether calls should spill over to other failure domains.
    fn should_spill(&self, now: Instant, limits: &BalancingLimits, size: BodySize) -> bool {
        let percent = match size {
            BodySize::Small => limits.spill_percent,
            BodySize::Large => limits.spill_percent.max(LARGE_SPILL_PERCENT),
        };
        let threshold = u64::from(self.slots(limits)) * u64::from(percent) * 10;
        let faulty = self.health.error_rate(now) >= SPILL_ERROR_RATE;
        self.health.load(now) >= threshold || self.health.is_shedding(now) || faulty
    }
}

/// The position of an upstream in a [`Group`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Index(pub usize);

/// The upstreams of one service, those in the own failure domain first.
#[derive(Debug)]
pub struct Group {
    upstreams: Vec<Upstream>,
    /// The number of upstreams in the own failure domain.
    domain_count: usize,
    limits: BalancingLimits,
    round_robin: AtomicU32,
}

/// The two random draws of one choice.
pub type Draws = (u32, u32);

impl Group {
    /// Creates a group from the upstreams in any order.
    #[must_use]
    pub fn new(mut upstreams: Vec<Upstream>, limits: BalancingLimits) -> Self {
        upstreams.sort_by_key(|upstream| !upstream.info.same_domain);
        let domain_count = upstreams.partition_point(|upstream| upstream.info.same_domain);
        Group {
            upstreams,
            domain_count,
            limits,
            round_robin: AtomicU32::new(0),
        }
    }

    /// Creates a group of some of these upstreams, with the same limits and in the same order.
    #[must_use]
    pub fn subset(&self, kept: impl Fn(&UpstreamInfo) -> bool) -> Self {
        let upstreams = self
            .upstreams
            .iter()
            .filter(|upstream| kept(&upstream.info));
        Group::new(upstreams.cloned().collect(), self.limits)
    }

    /// Returns the upstreams, in the order of their indices.
    #[must_use]
    pub fn upstreams(&self) -> &[Upstream] {
        &self.upstreams
    }

    /// Chooses an upstream that has not been tried yet; `None` if there is none.
    #[must_use]
    pub fn choose(
        &self,
        now: Instant,
        policy: BalancePolicy,
        draws: Draws,
        tried: &[Index],
    ) -> Option<Index> {
        self.choose_for(now, policy, draws, tried, BodySize::Small)
    }

    /// Chooses an upstream as [`Group::choose`] does, for a call of the given body size class.
    #[must_use]
    pub fn choose_for(
        &self,
        now: Instant,
        policy: BalancePolicy,
        draws: Draws,
        tried: &[Index],
        size: BodySize,
    ) -> Option<Index> {
        let all = 0..self.upstreams.len();
        match policy {
            BalancePolicy::RoundRobin => {
                let start = self.round_robin.fetch_add(1, Ordering::Relaxed);
                self.next_usable(now, all, start, tried)
            }
            BalancePolicy::TwoChoices => {
                let better =
                    |a: &Upstream, b: &Upstream| a.health.in_flight() < b.health.in_flight();
                self.better_of_two(now, all, draws, tried, better)
            }
            BalancePolicy::Load => self.best(now, draws, tried, size),
        }
    }

    /// Returns the upstreams that are not draining in rendezvous hashing order: the owner of the
    /// idempotency key first.
    #[must_use]
    pub fn by_key(&self, key: KeyId) -> Vec<Index> {
        let places = (0..self.upstreams.len()).map(Index);
        let accepting = |index: &Index| !self.upstreams[index.0].health.is_draining();
        let mut places: Vec<Index> = places.filter(accepting).collect();
        places.sort_by_cached_key(|index| {
            let name = &self.upstreams[index.0].info.name;
            std::cmp::Reverse(key.rendezvous_weight(name))
        });
        places
    }

    fn best(&self, now: Instant, draws: Draws, tried: &[Index], size: BodySize) -> Option<Index> {
        if let Some(local) = self.free_local(now, tried, size) {
            return Some(local);
        }
        let better = |a: &Upstream, b: &Upstream| a.is_better(b, now, &self.limits);
        let peer = self.better_of_two(now, 0..self.domain_count, draws, tried, better);
        // Both random picks may be loaded while other upstreams of the failure domain are not.
        let peer = peer.map(|index| self.replace_loaded(now, index, tried, size));
        let loaded = |index: Index| self.upstreams[index.0].should_spill(now, &self.limits, size);
        if peer.is_some_and(|index| !loaded(index)) {
            return peer;
        }
        let remote = self.domain_count..self.upstreams.len();
        let remote = self.better_of_two(now, remote, draws, tried, better);
        match (peer, remote) {
            (Some(peer), Some(remote)) => Some(self.pick(peer, remote, better)),
            (peer, remote) => peer.or(remote),
        }
    }

    /// Returns the upstream on the own VM while it has free slots: calls to it use no network link.
    fn free_local(&self, now: Instant, tried: &[Index], size: BodySize) -> Option<Index> {
        let place = self.upstreams.iter().position(|u| u.info.local)?;
        let upstream = &self.upstreams[place];
        let (health, index) = (&upstream.health, Index(place));
        let slow = health.latency_ratio.load(Ordering::Relaxed) > MAX_LOCAL_RATIO;
        let starting = upstream.slow_start_share(now, &self.limits) < 1_000;
        let usable = !health.is_draining() && !health.is_ejected(now) && !upstream.info.suspect;
        let spare = !slow && !starting && !upstream.should_spill(now, &self.limits, size);
        (usable && spare && !tried.contains(&index)).then_some(index)
    }

    /// Replaces a loaded upstream by one in the own failure domain that is not loaded, if any.
    fn replace_loaded(&self, now: Instant, index: Index, tried: &[Index], size: BodySize) -> Index {
        if !self.upstreams[index.0].should_spill(now, &self.limits, size) {
            return index;
        }
        let peers = (0..self.domain_count)
            .map(Index)
            .filter(|index| !tried.contains(index));
        let mut usable = peers.filter(|index| {
            let health = &self.upstreams[index.0].health;
            !health.is_draining() && !health.is_ejected(now)
        });
        let free =
            usable.find(|index| !self.upstreams[index.0].should_spill(now, &self.limits, size));
        free.unwrap_or(index)
    }

    /// Returns the better of two random upstreams of a range ("power of two choices").
    fn better_of_two(
        &self,
        now: Instant,
        range: std::ops::Range<usize>,
        draws: Draws,
        tried: &[Index],
        better: impl Fn(&Upstream, &Upstream) -> bool,
    ) -> Option<Index> {
        let one = self.next_usable(now, range.clone(), draws.0, tried)?;
        if range.len() == 1 {
            return Some(one);
        }
        // The second search starts at a random position after the first pick.
        let width = u32::try_from(range.len() - 1).unwrap_or(u32::MAX);
        let step = 1 + draws.1 % width;
        let from = u32::try_from(one.0 - range.start).unwrap_or(0) + step;
        let two = self.next_usable(now, range, from, tried)?;
        Some(self.pick(one, two, better))
    }

    fn pick(&self, one: Index, two: Index, better: impl Fn(&Upstream, &Upstream) -> bool) -> Index {
        let (a, b) = (&self.upstreams[one.0], &self.upstreams[two.0]);
        if better(b, a) { two } else { one }
    }

    /// Returns the first usable upstream of a range, searching from `from` and wrapping at the end.
    ///
    /// Skips ejected upstreams unless too many are ejected or no other upstream is left.
    fn next_usable(
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
        let mut fallback = None;
        let untried = places.filter(|index| {
            !tried.contains(index) && !self.upstreams[index.0].health.is_draining()
        });
        for index in untried {
            let ejected = self.upstreams[index.0].health.is_ejected(now);
            if !ejected || self.ignores_ejection(now) {
                return Some(index);
            }
            fallback.get_or_insert(index);
        }
        if range.len() == self.upstreams.len() || self.none_usable(now, tried) {
            return fallback;
        }
        None
    }

    /// Tests whether so many upstreams are ejected that ejection is ignored (panic threshold).
    fn ignores_ejection(&self, now: Instant) -> bool {
        let ejected = self.upstreams.iter();
        let ejected = ejected.filter(|u| u.health.is_ejected(now)).count();
        let kept = self.upstreams.len() - ejected;
        kept * 100 < self.upstreams.len() * self.limits.keep_percent as usize
    }

    fn none_usable(&self, now: Instant, tried: &[Index]) -> bool {
        let mut all = self.upstreams.iter().enumerate();
        all.all(|(place, u)| {
            u.health.is_ejected(now) || u.health.is_draining() || tried.contains(&Index(place))
        })
    }
}
