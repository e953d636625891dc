//! Admission control: which calls a backend server runs, which it queues, and which it refuses.
//!
//! The queue orders calls by weight, the greatest first. Within a weight, calls that can still meet
//! their latency objective go before those that will miss it anyway, so that a backlog does not
//! make every call late; among these, organisations take turns by their fair shares. A call that would
//! not end before its deadline is refused as soon as that is known.

use super::attempt::Load;
use super::shares::{ShareKey, Shares};
use crate::tree::backoff::TokenBucket;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// Smoothing factor of the service times: a new sample contributes 1/8 to a moving average.
const SMOOTHING: u32 = 8;

/// Maximum number of time classes with their own average; calls of further classes use the overall
/// average.
const MAX_TIME_CLASSES: usize = 256;

/// Upper bound of the longest wait of a call with an objective, as a share of the time left until
/// its deadline. Without this bound, calls waited until their deadlines and failed without having
/// run.
const MAX_WAIT_SHARE: f64 = 0.3;
/// Lower bound of that longest wait, as a share of the same time. It applies even if the call would
/// miss its objective after such a wait.
const WAIT_SHARE_FLOOR: f64 = 0.1;

/// The least share of a call's time that is left for its service when it starts. Service times vary, and
/// a call that is cut off at its deadline has used a slot for nothing.
const MIN_SERVICE_SHARE: f64 = 0.2;

/// Least `Retry-After` of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Greatest `Retry-After` of a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Rate of calls, per second, at which a backend server that states a lower limit is still tried: its
/// responses tell when the limit ends.
const MIN_RATE: f64 = 0.5;

/// Calls above the rate limit that may start at once, as a share of those of one second. At least one
/// call may.
const RATE_BURST_SHARE: f64 = 0.25;

/// The concurrency limit and the queue limit of a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limits {
    /// Calls that may run at once.
    pub slots: u32,
    /// Calls that may wait for a slot.
    pub queue: u32,
}

/// An admission request: the priority and time limits of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The priority; calls of greater weight run first.
    pub weight: u32,
    /// The time class, which selects the expected service time.
    pub time_class: u32,
    /// The time after which a response misses the latency objective, if there is one.
    pub objective: Option<Instant>,
    /// The time by which the call must have ended.
    pub deadline: Instant,
    /// The longest wait for a slot that the outbound side accepts; unlimited if `None`.
    pub wait_limit: Option<Duration>,
    /// The organisation whose share the call uses; `None` if the deployment has no organisations.
    pub share: Option<ShareKey>,
}

impl AdmissionRequest {
    /// Creates a request of time class 0 without an objective and a wait limit.
    #[must_use]
    pub fn new(weight: u32, deadline: Instant) -> Self {
        AdmissionRequest {
            weight,
            time_class: 0,
            objective: None,
            deadline,
            wait_limit: None,
            share: None,
        }
    }
}

/// Identifies a queued call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// The reason for which admission control refused a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Reason {
    /// The queue is full of calls of greater or equal weight, or the wait would exceed
    /// [`Admission::longest_wait`].
    #[error("backend server is full")]
    Full,
    /// The wait would exceed the outbound side's wait limit.
    #[error("backend server is busy")]
    Busy,
    /// The wait is due to the backend server's rate limit and would exceed the outbound side's wait
    /// limit, the deadline or [`Admission::longest_wait`].
    #[error("backend server limits its rate of calls")]
    RateLimited,
    /// The call would not end before its deadline.
    #[error("deadline cannot be met")]
    Late,
    /// The backend server or the daemon is draining.
    #[error("backend server is draining")]
    Draining,
}

/// The decision on an offered call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The call runs now and holds a slot.
    Run,
    /// The call is queued.
    Wait(Ticket),
    /// The call is refused.
    Refuse(Reason),
}

/// The queued calls that an event starts or refuses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QueueUpdate {
    /// Calls that run now and hold a slot.
    pub start: Vec<Ticket>,
    /// Calls that are refused, with the reason.
    pub refuse: Vec<(Ticket, Reason)>,
}

/// A position in the queue, which sorts by the fields in their order: greater weights first, then
/// calls that can meet their objective, then the earliest virtual start time of their organisation, then
/// the earliest due time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    weight: Reverse<u32>,
    misses_objective: bool,
    /// The virtual start time; zero without organisations.
    start: Duration,
    /// The objective, or the deadline if there is none or the call was expected to miss it.
    due: Instant,
    ticket: Ticket,
}

/// The state of admission control of one backend server.
#[derive(Debug, Default)]
pub struct Admission {
    limits: Limits,
    /// A token for each call that the backend server's rate limit allows to start, if it has one.
    rate: Option<TokenBucket>,
    running: u32,
    queue: BTreeSet<Place>,
    entries: BTreeMap<Ticket, (Place, AdmissionRequest)>,
    /// Virtual times by weight: the calls of one weight must not advance the times of another, whose queued
    /// calls would go before newcomers.
    shares: BTreeMap<u32, Shares>,
    /// What queued calls were charged to their organisations.
    charges: BTreeMap<Ticket, Duration>,
    last_ticket: u64,
    /// The average of all calls; `None` before the first sample.
    service_time: Option<Duration>,
    /// The averages by time class.
    class_times: BTreeMap<u32, Duration>,
}

impl Admission {
    /// Creates a state without calls.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Admission {
            limits,
            ..Admission::default()
        }
    }

    /// Returns the current load of the backend server.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            running: self.running,
            queued: self.queued(),
            slots: self.limits.slots,
        }
    }

    /// Returns the average service time of all calls; zero before the first sample.
    #[must_use]
    pub fn service_time(&self) -> Duration {
        self.service_time.unwrap_or_default()
    }

    /// Returns the average service time of a time class; that of all calls if it has none.
    #[must_use]
    pub fn class_time(&self, class: u32) -> Duration {
        let current = self.class_times.get(&class).copied();
        current.unwrap_or_else(|| self.service_time())
    }

    /// Returns the time after which a refused caller may find a free slot, for `Retry-After`.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        let backlog = self
            .entries
            .values()
            .map(|(_, request)| self.class_time(request.time_class));
        let wait = self.slot_wait(backlog.sum());
        let rate = self.rate.as_ref();
        let token_wait = rate.map_or(Duration::ZERO, |rate| {
            rate.time_until_last(self.queued() + 1)
        });
        let wait = wait.max(token_wait);
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Returns why a call would be refused now because of its deadline or its expected wait, if it
    /// would be. Does not check the queue limit.
    #[must_use]
    pub fn refusal(&self, now: Instant, request: &AdmissionRequest) -> Option<Reason> {
        if request.deadline <= now {
            return Some(Reason::Late);
        }
        if self.has_room(now) && self.queue.is_empty() {
            return None;
        }
        let place = self.place(now, request);
        let wait = self.wait_at(now, place);
        let rate_limited = self.rate.is_some() && self.token_wait(now, place) >= wait;
        let reason = |reason| {
            if rate_limited {
                Reason::RateLimited
            } else {
                reason
            }
        };
        if request.wait_limit.is_some_and(|limit| wait > limit) {
            return Some(reason(Reason::Busy));
        }
        if now + wait + self.class_time(request.time_class) > request.deadline {
            return Some(reason(Reason::Late));
        }
        (wait > self.longest_wait(now, request)).then_some(reason(Reason::Full))
    }

    /// Offers a call. A queued call of smaller weight may be refused in its favour.
    ///
    /// Returns the decision and the queued calls that are refused because of it; these may include
    /// the offered call.
    pub fn offer(&mut self, now: Instant, request: &AdmissionRequest) -> (Decision, QueueUpdate) {
        let mut update = QueueUpdate::default();
        if request.deadline > now && self.has_room(now) && self.queue.is_empty() {
            let start = self.virtual_start(request);
            self.charge(request);
            self.start(now, request.weight, start);
            return (Decision::Run, update);
        }
        if let Some(reason) = self.refusal(now, request) {
            return (Decision::Refuse(reason), update);
        }
        let service_time = self.class_time(request.time_class);
        let place = self.place(now, request);
        let wait = self.wait_at(now, place);
        if self.queued() >= self.limits.queue {
            match self.queue.last().copied() {
                Some(last) if place.displaces(last, request.share.is_some()) => {
                    self.remove(last.ticket);
                    update.refuse.push((last.ticket, Reason::Full));
                }
                _ => return (Decision::Refuse(Reason::Full), update),
            }
        }
        self.last_ticket += 1;
        let misses_objective = request
            .objective
            .is_some_and(|at| now + wait + service_time > at);
        let place = Place {
            misses_objective,
            ticket: Ticket(self.last_ticket),
            ..place
        };
        if let Some(cost) = self.charge(request) {
            self.charges.insert(place.ticket, cost);
        }
        self.enqueue(place, *request);
        self.refuse_late(now, &mut update);
        (Decision::Wait(place.ticket), update)
    }

    /// Frees the slot of a call. `service_time` is `None` if the call was not sent, or if its time
    /// must not enter the averages.
    pub fn finish(
        &mut self,
        now: Instant,
        class: u32,
        service_time: Option<Duration>,
    ) -> QueueUpdate {
        self.running = self.running.saturating_sub(1);
        if let Some(service_time) = service_time {
            self.service_time = Some(average(self.service_time, service_time));
            let current = self.class_times.get(&class).copied();
            if current.is_some() || self.class_times.len() < MAX_TIME_CLASSES {
                self.class_times
                    .insert(class, average(current, service_time));
            }
        }
        let update = self.advance(now);
        if self.running == 0 && self.queue.is_empty() {
            self.shares.clear();
        }
        update
    }

    /// Removes a call from the queue; returns false if it is no longer queued.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.remove(ticket)
    }

    /// Changes the limits. Refuses the calls beyond a lowered queue limit, last ones first.
    pub fn set_limits(&mut self, now: Instant, limits: Limits) -> QueueUpdate {
        self.limits = limits;
        let mut update = self.advance(now);
        while self.queued() > limits.queue
            && let Some(last) = self.queue.last().copied()
        {
            self.remove(last.ticket);
            update.refuse.push((last.ticket, Reason::Full));
        }
        update
    }

    /// Changes the rate limit, in calls per second; `None` for no limit.
    pub fn set_rate(&mut self, now: Instant, rate: Option<f64>) -> QueueUpdate {
        let rate = rate.map(|rate| rate.max(MIN_RATE));
        let burst = |rate: f64| (rate * RATE_BURST_SHARE).max(1.0);
        match (&mut self.rate, rate) {
            (Some(bucket), Some(rate)) => bucket.resize(rate, burst(rate), now),
            (bucket, rate) => {
                *bucket = rate.map(|rate| TokenBucket::with_burst(rate, burst(rate), now));
            }
        }
        self.advance(now)
    }

    /// Returns when the rate limit allows the first queued call to start; `None` if no call waits for
    /// that.
    #[must_use]
    pub fn next_token(&self, now: Instant) -> Option<Instant> {
        let rate = self.rate.filter(|_| !self.queue.is_empty())?;
        (!rate.has_token(now)).then(|| now + rate.time_until(now, 1))
    }

    /// Refuses all queued calls.
    pub fn drain(&mut self) -> QueueUpdate {
        let tickets: Vec<Ticket> = self.entries.keys().copied().collect();
        let mut update = QueueUpdate::default();
        for ticket in tickets {
            self.remove(ticket);
            update.refuse.push((ticket, Reason::Draining));
        }
        update
    }

    /// Starts queued calls while the limits allow it, and refuses those that would miss their
    /// deadlines.
    pub fn advance(&mut self, now: Instant) -> QueueUpdate {
        let mut update = QueueUpdate::default();
        while self.has_room(now)
            && let Some(place) = self.queue.first().copied()
            && let Some((_, request)) = self.entries.get(&place.ticket).copied()
        {
            let service_time = self.class_time(request.time_class);
            let misses_objective = request.objective.is_some_and(|at| now + service_time > at);
            self.take(place.ticket);
            if now + service_time > request.deadline {
                self.refund(place.ticket, &request);
                update.refuse.push((place.ticket, Reason::Late));
            } else if misses_objective && !place.misses_objective && !self.queue.is_empty() {
                // Moves behind the calls of its weight that can still meet their objective.
                let due = request.deadline;
                let misses_objective = true;
                self.enqueue(
                    Place {
                        misses_objective,
                        due,
                        ..place
                    },
                    request,
                );
            } else {
                self.charges.remove(&place.ticket);
                self.start(now, request.weight, place.start);
                update.start.push(place.ticket);
            }
        }
        update
    }

    /// Refuses calls at the end of the queue that can no longer meet their deadlines. Calls further
    /// ahead are checked when a slot is free for them.
    fn refuse_late(&mut self, now: Instant, update: &mut QueueUpdate) {
        while let Some(last) = self.queue.last().copied()
            && let Some((_, request)) = self.entries.get(&last.ticket).copied()
        {
            let end = now + self.wait_at(now, last) + self.class_time(request.time_class);
            if end <= request.deadline {
                return;
            }
            self.remove(last.ticket);
            update.refuse.push((last.ticket, Reason::Late));
        }
    }

    /// Returns the longest time that a call may wait in the queue. Early refusal leaves the caller
    /// time to retry, and a short queue keeps the slots as busy as a long one.
    #[must_use]
    pub fn longest_wait(&self, now: Instant, request: &AdmissionRequest) -> Duration {
        let left = request.deadline.saturating_duration_since(now);
        let service_time = self.class_time(request.time_class);
        let Some(objective) = request.objective else {
            return left.saturating_sub(self.reserve(now, request));
        };
        let limit = left.mul_f64(MAX_WAIT_SHARE);
        let spare = objective.saturating_duration_since(now);
        let spare = spare.saturating_sub(service_time);
        limit.min(spare.max(left.mul_f64(WAIT_SHARE_FLOOR)))
    }

    /// Returns the time before the deadline by which a call that arrives now must have started.
    #[must_use]
    pub fn reserve(&self, now: Instant, request: &AdmissionRequest) -> Duration {
        let left = request.deadline.saturating_duration_since(now);
        self.class_time(request.time_class)
            .max(left.mul_f64(MIN_SERVICE_SHARE))
    }

    /// Returns the queue position that a call would get now.
    fn place(&self, now: Instant, request: &AdmissionRequest) -> Place {
        let service_time = self.class_time(request.time_class);
        let misses = request.objective.is_some_and(|at| now + service_time > at);
        let due = if misses {
            request.deadline
        } else {
            request.objective.unwrap_or(request.deadline)
        };
        Place {
            weight: Reverse(request.weight),
            misses_objective: misses,
            start: self.virtual_start(request),
            due,
            // Sorts after the queued calls that are otherwise equal; replaced when it is queued.
            ticket: Ticket(u64::MAX),
        }
    }

    /// Returns the expected wait of a call at a queue position.
    fn wait_at(&self, now: Instant, place: Place) -> Duration {
        let ahead = self.queue.range(..place);
        let times = ahead.filter_map(|other| self.entries.get(&other.ticket));
        let work = times.map(|(_, request)| self.class_time(request.time_class));
        self.slot_wait(work.sum()).max(self.token_wait(now, place))
    }

    /// Returns the expected wait behind `work` when all slots are in use: that work and one more
    /// call of average service time, divided by the slots.
    fn slot_wait(&self, work: Duration) -> Duration {
        (work + self.service_time()) / self.limits.slots.max(1)
    }

    /// Returns the wait of a call at a queue position that is due to the rate limit.
    fn token_wait(&self, now: Instant, place: Place) -> Duration {
        let Some(rate) = &self.rate else {
            return Duration::ZERO;
        };
        let ahead = self.queue.range(..place).count();
        rate.time_until(now, u32::try_from(ahead).unwrap_or(u32::MAX - 1) + 1)
    }

    /// Tests whether another call may start.
    fn has_room(&self, now: Instant) -> bool {
        let rate = self.rate.as_ref();
        self.running < self.limits.slots && rate.is_none_or(|rate| rate.has_token(now))
    }

    /// Takes a slot, and a token if the rate is limited.
    fn start(&mut self, now: Instant, weight: u32, start: Duration) {
        self.running += 1;
        if let Some(shares) = self.shares.get_mut(&weight) {
            shares.start(start);
        }
        if let Some(rate) = &mut self.rate {
            rate.take(now);
        }
    }

    fn queued(&self) -> u32 {
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    fn enqueue(&mut self, place: Place, request: AdmissionRequest) {
        self.queue.insert(place);
        self.entries.insert(place.ticket, (place, request));
    }

    /// Removes a queued call that does not run.
    fn remove(&mut self, ticket: Ticket) -> bool {
        let Some(request) = self.take(ticket) else {
            return false;
        };
        self.refund(ticket, &request);
        true
    }

    /// Takes a call out of the queue.
    fn take(&mut self, ticket: Ticket) -> Option<AdmissionRequest> {
        let (place, request) = self.entries.remove(&ticket)?;
        self.queue.remove(&place);
        Some(request)
    }

    fn virtual_start(&self, request: &AdmissionRequest) -> Duration {
        let shares = self.shares.get(&request.weight);
        let start = request.share.zip(shares);
        start.map_or(Duration::ZERO, |(key, shares)| shares.next_start(key))
    }

    fn charge(&mut self, request: &AdmissionRequest) -> Option<Duration> {
        let service_time = self.class_time(request.time_class);
        let key = request.share?;
        let shares = self.shares.entry(request.weight).or_default();
        Some(shares.charge(key, service_time))
    }

    fn refund(&mut self, ticket: Ticket, request: &AdmissionRequest) {
        if let (Some(key), Some(cost)) = (request.share, self.charges.remove(&ticket))
            && let Some(shares) = self.shares.get_mut(&request.weight)
        {
            shares.refund(key, cost);
        }
    }

    /// Returns the number of organisations that admission control keeps state of.
    #[must_use]
    pub fn organisations(&self) -> usize {
        self.shares.values().map(Shares::len).sum()
    }
}

impl Place {
    /// Tests whether a new call at this position is queued in place of the last one of a full queue. The
    /// due time does not count, so that calls of one organisation don't replace each other. Without
    /// organisations (`fair` is false), only the weight counts.
    fn displaces(&self, last: Place, fair: bool) -> bool {
        let order = |place: &Place| (place.weight, place.misses_objective, place.start);
        self.weight < last.weight || fair && order(self) < order(&last)
    }
}

fn average(old: Option<Duration>, new: Duration) -> Duration {
    old.map_or(new, |old| (old * (SMOOTHING - 1) + new) / SMOOTHING)
}
