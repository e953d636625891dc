//! Which calls a backend server runs, which wait, and which are refused.

use super::attempt::Load;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// The share of a new service time in the moving average, as a divisor.
const AVERAGE_DIVISOR: u32 = 8;

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

/// A call that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// Why a call was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Reason {
    /// Calls of greater or equal weight fill the queue.
    #[error("backend server is full")]
    Full,
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

/// A place in the queue: greater weights first, then earlier deadlines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    weight: Reverse<u32>,
    deadline: Instant,
    ticket: Ticket,
}

/// The calls that run and wait at one backend server.
#[derive(Debug, Default)]
pub struct Admission {
    limits: Limits,
    running: u32,
    queue: BTreeSet<Place>,
    places: BTreeMap<Ticket, Place>,
    weights: BTreeMap<u32, u32>,
    issued: u64,
    service_time: Option<Duration>,
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

    /// Returns the time after which a refused caller may find a slot.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        let wait = self.wait(self.queued());
        wait.clamp(Duration::from_secs(1), MAX_RETRY_AFTER)
    }

    /// Offers a call. Another call that waits may be refused in its favour.
    pub fn offer(&mut self, now: Instant, weight: u32, deadline: Instant) -> (Decision, Turn) {
        let mut turn = Turn::default();
        if deadline <= now {
            return (Decision::Refuse(Reason::Late), turn);
        }
        if self.running < self.limits.slots && self.queue.is_empty() {
            self.running += 1;
            return (Decision::Run, turn);
        }
        let wait = self.wait(self.ahead(weight));
        if now + wait + self.service_time() > deadline {
            return (Decision::Refuse(Reason::Late), turn);
        }
        if self.queued() >= self.limits.queue {
            match self.lightest() {
                Some(last) if last.weight.0 < weight => {
                    self.remove(last.ticket);
                    turn.refuse.push((last.ticket, Reason::Full));
                }
                _ => return (Decision::Refuse(Reason::Full), turn),
            }
        }
        (Decision::Wait(self.enqueue(weight, deadline)), turn)
    }

    /// Ends a call that ran for this time, or that gave its slot back unused.
    pub fn finish(&mut self, now: Instant, ran: Option<Duration>) -> Turn {
        self.running = self.running.saturating_sub(1);
        if let Some(ran) = ran {
            let old = self.service_time.unwrap_or(ran);
            let new = old * (AVERAGE_DIVISOR - 1) + ran;
            self.service_time = Some(new / AVERAGE_DIVISOR);
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
            && let Some(last) = self.lightest()
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
            && let Some(place) = self.queue.first()
        {
            let place = *place;
            self.remove(place.ticket);
            if now + self.service_time() > place.deadline {
                turn.refuse.push((place.ticket, Reason::Late));
            } else {
                self.running += 1;
                turn.start.push(place.ticket);
            }
        }
        turn
    }

    /// Returns the time until a call with so many calls before it gets a slot.
    fn wait(&self, ahead: u32) -> Duration {
        self.service_time() * (ahead + 1) / self.limits.slots.max(1)
    }

    fn ahead(&self, weight: u32) -> u32 {
        self.weights.range(weight..).map(|(_, count)| count).sum()
    }

    fn queued(&self) -> u32 {
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }

    fn lightest(&self) -> Option<Place> {
        self.queue.last().copied()
    }

    fn enqueue(&mut self, weight: u32, deadline: Instant) -> Ticket {
        self.issued += 1;
        let ticket = Ticket(self.issued);
        let place = Place {
            weight: Reverse(weight),
            deadline,
            ticket,
        };
        self.queue.insert(place);
        self.places.insert(ticket, place);
        *self.weights.entry(weight).or_default() += 1;
        ticket
    }

    fn remove(&mut self, ticket: Ticket) -> bool {
        let Some(place) = self.places.remove(&ticket) else {
            return false;
        };
        self.queue.remove(&place);
        if let Some(count) = self.weights.get_mut(&place.weight.0) {
            *count -= 1;
        }
        true
    }
}
