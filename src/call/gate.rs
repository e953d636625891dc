//! Waiting for a slot of the backend server.

use super::admission::{Admission, Decision, Demand, Limits, Reason, Ticket, Turn};
use super::attempt::Load;
use crate::sync::lock;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// How much longer than expected a call may wait before it is refused after all.
const OVERSTAY: f64 = 1.5;

/// A call was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct Rejected {
    /// Why.
    pub reason: Reason,
    /// When to come back.
    pub retry_after: Duration,
}

type Grant = Result<Permit, Rejected>;

#[derive(Default)]
struct State {
    admission: Admission,
    waiting: BTreeMap<Ticket, (u32, oneshot::Sender<Grant>)>,
    limits: Option<Limits>,
}

/// The way to one backend server.
#[derive(Clone, Default)]
pub struct Gate {
    state: Arc<Mutex<State>>,
}

impl Gate {
    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Fails as soon as it is known that the call gets none in time.
    pub async fn admit(&self, demand: &Demand) -> Result<Permit, Rejected> {
        match self.offer(demand) {
            Offer::Decided(grant) => grant,
            Offer::Waits(waiting) => waiting.grant().await,
        }
    }

    /// Checks that a call would not be refused now.
    ///
    /// # Errors
    ///
    /// Fails when it would be.
    pub fn check(&self, demand: &Demand) -> Result<(), Rejected> {
        let state = lock(&self.state);
        let refusal = state.admission.refusal(Instant::now(), demand);
        refusal.map_or(Ok(()), |reason| Err(state.rejected(reason)))
    }

    fn offer(&self, demand: &Demand) -> Offer<'_> {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let (decision, turn) = state.admission.offer(now, demand);
        let untaken = self.take_turn(&mut state, turn);
        let offer = match decision {
            Decision::Run => Offer::Decided(Ok(self.permit(demand.class))),
            Decision::Refuse(reason) => Offer::Decided(Err(state.rejected(reason))),
            Decision::Wait(ticket) => {
                let (sender, receiver) = oneshot::channel();
                state.waiting.insert(ticket, (demand.class, sender));
                let longest = state.admission.longest_wait(now, demand);
                let last = demand
                    .deadline
                    .checked_sub(state.admission.class_time(demand.class));
                let latest = last.unwrap_or(now).min(now + longest.mul_f64(OVERSTAY));
                Offer::Waits(Waiting {
                    gate: self,
                    ticket,
                    receiver,
                    latest,
                })
            }
        };
        drop(state);
        drop(untaken);
        offer
    }

    /// Puts limits in force.
    pub fn set_limits(&self, limits: Limits) {
        let mut state = lock(&self.state);
        if state.limits == Some(limits) {
            return;
        }
        state.limits = Some(limits);
        let turn = state.admission.set_limits(Instant::now(), limits);
        let untaken = self.take_turn(&mut state, turn);
        drop(state);
        drop(untaken);
    }

    /// Refuses every call that waits.
    pub fn drain(&self) {
        let mut state = lock(&self.state);
        let turn = state.admission.drain();
        let untaken = self.take_turn(&mut state, turn);
        drop(state);
        drop(untaken);
    }

    /// Returns how loaded the backend server is.
    #[must_use]
    pub fn load(&self) -> Load {
        lock(&self.state).admission.load()
    }

    fn permit(&self, class: u32) -> Permit {
        Permit {
            gate: self.clone(),
            class,
            since: Instant::now(),
            used: false,
        }
    }

    fn finish(&self, class: u32, ran: Option<Duration>) {
        let mut state = lock(&self.state);
        let turn = state.admission.finish(Instant::now(), class, ran);
        let untaken = self.take_turn(&mut state, turn);
        drop(state);
        drop(untaken);
    }

    /// Tells the calls that waited. What they no longer take is returned, to be dropped unlocked.
    fn take_turn(&self, state: &mut State, turn: Turn) -> Vec<Grant> {
        let mut untaken = Vec::new();
        for ticket in turn.start {
            match state.waiting.remove(&ticket) {
                Some((class, sender)) => {
                    untaken.extend(sender.send(Ok(self.permit(class))).err());
                }
                None => untaken.push(Ok(self.permit(0))),
            }
        }
        for (ticket, reason) in turn.refuse {
            let rejected = state.rejected(reason);
            if let Some((_, sender)) = state.waiting.remove(&ticket) {
                untaken.extend(sender.send(Err(rejected)).err());
            }
        }
        untaken
    }
}

impl State {
    fn rejected(&self, reason: Reason) -> Rejected {
        Rejected {
            reason,
            retry_after: self.admission.retry_after(),
        }
    }
}

enum Offer<'a> {
    Decided(Grant),
    Waits(Waiting<'a>),
}

/// A call that waits. It leaves the queue when its caller goes away.
struct Waiting<'a> {
    gate: &'a Gate,
    ticket: Ticket,
    receiver: oneshot::Receiver<Grant>,
    /// The last time at which the call may start.
    latest: Instant,
}

impl Waiting<'_> {
    async fn grant(mut self) -> Grant {
        let grant = tokio::time::timeout_at(self.latest, &mut self.receiver).await;
        match grant {
            Ok(grant) => grant.unwrap_or_else(|_| Err(self.too_late())),
            Err(_) if self.cancel() => Err(self.too_late()),
            // It was decided at the same moment.
            Err(_) => {
                let grant = (&mut self.receiver).await;
                grant.unwrap_or_else(|_| Err(self.too_late()))
            }
        }
    }

    fn too_late(&self) -> Rejected {
        lock(&self.gate.state).rejected(Reason::Late)
    }

    fn cancel(&self) -> bool {
        let mut state = lock(&self.gate.state);
        state.waiting.remove(&self.ticket);
        state.admission.cancel(self.ticket)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.cancel();
    }
}

/// A slot of the backend server, held until it is dropped.
pub struct Permit {
    gate: Gate,
    class: u32,
    since: Instant,
    used: bool,
}

impl Permit {
    /// Notes that the call was sent, so that its time counts.
    pub fn mark_used(&mut self) {
        self.used = true;
        self.since = Instant::now();
    }

    /// Notes that the time of the call says nothing of the backend server.
    pub fn mark_void(&mut self) {
        self.used = false;
    }

    /// Returns the time since the call was sent.
    #[must_use]
    pub fn ran(&self) -> Duration {
        self.since.elapsed()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let ran = self.used.then(|| self.since.elapsed());
        self.gate.finish(self.class, ran);
    }
}
