//! Which calls a backend server runs, which wait, and which are refused.
//!
//! Greater weights go first. Within a weight, calls that can still be answered within their
//! objective go before those that will be late anyway, so that a backlog does not make every call
//! late. A call that would not end before its deadline is refused as soon as that is known.

use super::attempt::Load;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// The share of a new service time in the moving averages, as a divisor.
const AVERAGE_DIVISOR: u32 = 8;

/// Kinds of calls whose service times are kept apart; the others share the common average.
const MAX_CLASSES: usize = 256;

/// The share of the time left to a call that it may spend in a queue, and the share that it may
/// spend even if its objective is missed by that.
const WAIT_SHARE: f64 = 0.3;
const MIN_WAIT_SHARE: f64 = 0.1;

/// The least time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The greatest time after which a refused caller is asked to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// How many calls may run and wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limits {
    /// Calls that run at once.
    pub slots: u32,
    /// Calls that wait for a slot.
    pub queue: u32,
}

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Greater goes first.
    pub weight: u32,
    /// The kind of call, for its service time.
    pub class: u32,
    /// When an answer counts as late, if ever.
    pub objective: Option<Instant>,
    /// When the call must have ended.
    pub deadline: Instant,
    /// The longest wait that the sender accepts here; any when absent.
    pub patience: Option<Duration>,
}

impl Demand {
    /// Makes a demand with nothing but a weight and a deadline.
    #[must_use]
    pub fn new(weight: u32, deadline: Instant) -> Self {
        Demand {
            weight,
            class: 0,
            objective: None,
            deadline,
            patience: None,
        }
    }
}

/// A call that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// Why a call was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Reason {
    /// Calls of greater or equal weight fill the queue.
    #[error("backend server is full")]
    Full,
    /// The call would wait for longer than its sender accepts here.
    #[error("backend server is busy")]
    Busy,
    /// The call would not end before its deadline.
    #[error("deadline cannot be met")]
    Late,
    /// The call is cancelled, or its backend server leaves.
    #[error("backend server is draining")]
    Draining,
}

/// What becomes of an offered call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It runs now.
    Run,
    /// It waits.
    Wait(Ticket),
    /// It is refused.
    Refuse(Reason),
}

/// What an event means for the calls that wait.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Turn {
    /// These run now.
    pub start: Vec<Ticket>,
    /// These are refused.
    pub refuse: Vec<(Ticket, Reason)>,
}

/// A place in the queue: greater weights first, then those not late, then those due earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    weight: Reverse<u32>,
    late: bool,
    due: Instant,
    ticket: Ticket,
}

/// The calls that run and wait at one backend server.
#[derive(Debug, Default)]
pub struct Admission {
    limits: Limits,
    running: u32,
    queue: BTreeSet<Place>,
    places: BTreeMap<Ticket, (Place, Demand)>,
    issued: u64,
    service_time: Option<Duration>,
    class_times: BTreeMap<u32, Duration>,
}

impl Admission {
    /// Makes an idle state.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Admission {
            limits,
            ..Admission::default()
        }
    }

    /// Returns how loaded the backend server is.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            running: self.running,
            queued: self.queued(),
            slots: self.limits.slots,
        }
    }

    /// Returns the average time that a call holds its slot.
    #[must_use]
    pub fn service_time(&self) -> Duration {
        self.service_time.unwrap_or_default()
    }

    /// Returns the average time that a call of a kind holds its slot.
    #[must_use]
    pub fn class_time(&self, class: u32) -> Duration {
        let known = self.class_times.get(&class).copied();
        known.unwrap_or_else(|| self.service_time())
    }

    /// Returns the time after which a refused caller may find a slot.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        let backlog = self
            .places
            .values()
            .map(|(_, demand)| self.class_time(demand.class));
        let wait = self.wait(backlog.sum());
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Returns why a call would be refused now by the time that it would wait, if it would.
    #[must_use]
    pub fn refusal(&self, now: Instant, demand: &Demand) -> Option<Reason> {
        if demand.deadline <= now {
            return Some(Reason::Late);
        }
        if self.running < self.limits.slots && self.queue.is_empty() {
            return None;
        }
        let wait = self.wait_at(self.place(now, demand));
        if demand.patience.is_some_and(|patience| wait > patience) {
            return Some(Reason::Busy);
        }
        if now + wait + self.class_time(demand.class) > demand.deadline {
            return Some(Reason::Late);
        }
        (wait > self.longest_wait(now, demand)).then_some(Reason::Full)
    }

    /// Offers a call. Another call that waits may be refused in its favour.
    pub fn offer(&mut self, now: Instant, demand: &Demand) -> (Decision, Turn) {
        let mut turn = Turn::default();
        if demand.deadline > now && self.running < self.limits.slots && self.queue.is_empty() {
            self.running += 1;
            return (Decision::Run, turn);
        }
        if let Some(reason) = self.refusal(now, demand) {
            return (Decision::Refuse(reason), turn);
        }
        let own = self.class_time(demand.class);
        let place = self.place(now, demand);
        let wait = self.wait_at(place);
        if self.queued() >= self.limits.queue {
            match self.queue.last().copied() {
                Some(last) if last.weight.0 < demand.weight => {
                    self.remove(last.ticket);
                    turn.refuse.push((last.ticket, Reason::Full));
                }
                _ => return (Decision::Refuse(Reason::Full), turn),
            }
        }
        self.issued += 1;
        let late = demand.objective.is_some_and(|at| now + wait + own > at);
        let place = Place {
            late,
            ticket: Ticket(self.issued),
            ..place
        };
        self.enqueue(place, *demand);
        self.refuse_hopeless(now, &mut turn);
        (Decision::Wait(place.ticket), turn)
    }

    /// Ends a call of a kind that ran for this time, or that gave its slot back unused.
    pub fn finish(&mut self, now: Instant, class: u32, ran: Option<Duration>) -> Turn {
        self.running = self.running.saturating_sub(1);
        if let Some(ran) = ran {
            self.service_time = Some(average(self.service_time, ran));
            let known = self.class_times.get(&class).copied();
            if known.is_some() || self.class_times.len() < MAX_CLASSES {
                self.class_times.insert(class, average(known, ran));
            }
        }
        self.advance(now)
    }

    /// Takes a call out of the queue; false when it no longer waits.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        self.remove(ticket)
    }

    /// Changes the limits.
    pub fn set_limits(&mut self, now: Instant, limits: Limits) -> Turn {
        self.limits = limits;
        let mut turn = self.advance(now);
        while self.queued() > limits.queue
            && let Some(last) = self.queue.last().copied()
        {
            self.remove(last.ticket);
            turn.refuse.push((last.ticket, Reason::Full));
        }
        turn
    }

    /// Refuses every call that waits.
    pub fn drain(&mut self) -> Turn {
        let tickets: Vec<Ticket> = self.places.keys().copied().collect();
        let mut turn = Turn::default();
        for ticket in tickets {
            self.remove(ticket);
            turn.refuse.push((ticket, Reason::Draining));
        }
        turn
    }

    fn advance(&mut self, now: Instant) -> Turn {
        let mut turn = Turn::default();
        while self.running < self.limits.slots
            && let Some(place) = self.queue.first().copied()
            && let Some((_, demand)) = self.places.get(&place.ticket).copied()
        {
            let own = self.class_time(demand.class);
            let missed = demand.objective.is_some_and(|at| now + own > at);
            self.remove(place.ticket);
            if now + own > demand.deadline {
                turn.refuse.push((place.ticket, Reason::Late));
            } else if missed && !place.late && !self.queue.is_empty() {
                let due = demand.deadline;
                let late = true;
                self.enqueue(Place { late, due, ..place }, demand);
            } else {
                self.running += 1;
                turn.start.push(place.ticket);
            }
        }
        turn
    }

    /// Refuses the calls at the end of the queue that would not end before their deadlines.
    fn refuse_hopeless(&mut self, now: Instant, turn: &mut Turn) {
        while let Some(last) = self.queue.last().copied()
            && let Some((_, demand)) = self.places.get(&last.ticket).copied()
        {
            let end = now + self.wait_at(last) + self.class_time(demand.class);
            if end <= demand.deadline {
                return;
            }
            self.remove(last.ticket);
            turn.refuse.push((last.ticket, Reason::Late));
        }
    }

    /// Returns the longest time that a call waits here. A caller that is refused earlier than that
    /// has time left to come back, and a short queue keeps the slots as busy as a long one.
    #[must_use]
    pub fn longest_wait(&self, now: Instant, demand: &Demand) -> Duration {
        let left = demand.deadline.saturating_duration_since(now);
        let own = self.class_time(demand.class);
        let Some(objective) = demand.objective else {
            return left.saturating_sub(own);
        };
        let most = left.mul_f64(WAIT_SHARE);
        let spare = objective.saturating_duration_since(now);
        let spare = spare.saturating_sub(own);
        most.min(spare.max(left.mul_f64(MIN_WAIT_SHARE)))
    }

    /// Returns the place that a call would get now.
    fn place(&self, now: Instant, demand: &Demand) -> Place {
        let own = self.class_time(demand.class);
        let missed = demand.objective.is_some_and(|at| now + own > at);
        let due = if missed {
            demand.deadline
        } else {
            demand.objective.unwrap_or(demand.deadline)
        };
        Place {
            weight: Reverse(demand.weight),
            late: missed,
            due,
            ticket: Ticket(u64::MAX),
        }
    }

    /// Returns the time until a call at a place gets a slot.
    fn wait_at(&self, place: Place) -> Duration {
        let ahead = self.queue.range(..place);
        let times = ahead.filter_map(|other| self.places.get(&other.ticket));
        self.wait(times.map(|(_, demand)| self.class_time(demand.class)).sum())
    }

    /// Returns the time until a slot is free behind so much work, all slots being taken now.
    fn wait(&self, work: Duration) -> Duration {
        (work + self.service_time()) / self.limits.slots.max(1)
    }

    fn queued(&self) -> u32 {
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    fn enqueue(&mut self, place: Place, demand: Demand) {
        self.queue.insert(place);
        self.places.insert(place.ticket, (place, demand));
    }

    fn remove(&mut self, ticket: Ticket) -> bool {
        let Some((place, _)) = self.places.remove(&ticket) else {
            return false;
        };
        self.queue.remove(&place)
    }
}

fn average(old: Option<Duration>, new: Duration) -> Duration {
    old.map_or(new, |old| {
        (old * (AVERAGE_DIVISOR - 1) + new) / AVERAGE_DIVISOR
    })
}
