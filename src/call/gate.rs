//! The asynchronous side of admission control: waiting for a slot of the backend server.

use super::admission::{
    Admission, AdmissionRequest, Decision, Limits, QueueUpdate, Reason, Ticket,
};
use super::attempt::Load;
use crate::sync::lock;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A queued call is refused after this many times [`Admission::longest_wait`]. Its expected wait
/// was within that limit when it was queued, but service times vary.
const WAIT_TOLERANCE: f64 = 1.5;

/// The call was refused and did not reach the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct Rejected {
    /// The reason.
    pub reason: Reason,
    /// The time after which a retry may find a slot.
    pub retry_after: Duration,
}

/// The result of an admission request.
type Grant = Result<Permit, Rejected>;

#[derive(Default)]
struct State {
    admission: Admission,
    /// The time class of each queued call and the channel that its task waits on.
    waiting: BTreeMap<Ticket, (u32, oneshot::Sender<Grant>)>,
    /// The limits in force, to detect a change; `None` before the first.
    limits: Option<Limits>,
    /// The time for which a task waits until the next token of the rate limit.
    scheduled: Option<Instant>,
}

/// Limits the concurrent calls to one backend server; all clones share the same slots.
#[derive(Clone, Default)]
pub struct Gate {
    state: Arc<Mutex<State>>,
}

impl Gate {
    /// Waits for a slot. If the future is dropped, the call leaves the queue.
    ///
    /// # Errors
    ///
    /// Fails as soon as it is known that the call gets no slot in time.
    pub async fn admit(&self, request: &AdmissionRequest) -> Result<Permit, Rejected> {
        match self.offer(request) {
            Offer::Decided(grant) => grant,
            Offer::Queued(waiting) => waiting.grant().await,
        }
    }

    /// Checks whether a call would be admitted or queued now; takes no slot.
    ///
    /// # Errors
    ///
    /// Fails if the call would be refused.
    pub fn check(&self, request: &AdmissionRequest) -> Result<(), Rejected> {
        let state = lock(&self.state);
        let refusal = state.admission.refusal(Instant::now(), request);
        refusal.map_or(Ok(()), |reason| Err(state.rejected(reason)))
    }

    fn offer(&self, request: &AdmissionRequest) -> Offer<'_> {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let (decision, update) = state.admission.offer(now, request);
        let undelivered = self.notify_queued(&mut state, update);
        let offer = match decision {
            Decision::Run => Offer::Decided(Ok(self.permit(request.time_class))),
            Decision::Refuse(reason) => Offer::Decided(Err(state.rejected(reason))),
            Decision::Wait(ticket) => {
                let (sender, receiver) = oneshot::channel();
                state.waiting.insert(ticket, (request.time_class, sender));
                let longest = state.admission.longest_wait(now, request);
                let reserve = state.admission.reserve(now, request);
                let latest_start = request.deadline.checked_sub(reserve);
                let latest = latest_start
                    .unwrap_or(now)
                    .min(now + longest.mul_f64(WAIT_TOLERANCE));
                Offer::Queued(QueuedCall {
                    gate: self,
                    ticket,
                    receiver,
                    latest,
                })
            }
        };
        self.schedule(&mut state);
        drop(state);
        drop(undelivered);
        offer
    }

    /// Applies new limits. Queued calls may start or be refused as a result.
    pub fn set_limits(&self, limits: Limits) {
        let mut state = lock(&self.state);
        if state.limits == Some(limits) {
            return;
        }
        state.limits = Some(limits);
        let update = state.admission.set_limits(Instant::now(), limits);
        let undelivered = self.notify_queued(&mut state, update);
        drop(state);
        drop(undelivered);
    }

    /// Sets the rate limit of the backend server, in calls per second; `None` for no limit.
    pub fn set_rate(&self, rate: Option<f64>) {
        self.update(|admission| admission.set_rate(Instant::now(), rate));
    }

    /// Schedules the start of the next queued call when the rate limit holds it back: no other event
    /// may follow by then.
    fn schedule(&self, state: &mut State) {
        let Some(at) = state.admission.next_token(Instant::now()) else {
            return;
        };
        if state.scheduled.is_some_and(|earlier| earlier <= at) {
            return;
        }
        state.scheduled = Some(at);
        let weak = Arc::downgrade(&self.state);
        tokio::spawn(async move {
            tokio::time::sleep_until(at).await;
            if let Some(state) = weak.upgrade() {
                // Kept if a task waits for an earlier token, since the limit was raised meanwhile.
                lock(&state).scheduled.take_if(|scheduled| *scheduled == at);
                Gate { state }.update(|admission| admission.advance(Instant::now()));
            }
        });
    }

    /// Changes the admission state, and starts or refuses the queued calls that this affects.
    fn update(&self, change: impl FnOnce(&mut Admission) -> QueueUpdate) {
        let mut state = lock(&self.state);
        let update = change(&mut state.admission);
        let undelivered = self.notify_queued(&mut state, update);
        self.schedule(&mut state);
        drop(state);
        drop(undelivered);
    }

    /// Refuses all queued calls; running calls are not affected.
    pub fn drain(&self) {
        self.update(Admission::drain);
    }

    /// Returns the current load of the backend server.
    #[must_use]
    pub fn load(&self) -> Load {
        lock(&self.state).admission.load()
    }

    fn permit(&self, class: u32) -> Permit {
        Permit {
            gate: self.clone(),
            time_class: class,
            started: Instant::now(),
            is_sample: false,
        }
    }

    fn finish(&self, class: u32, service_time: Option<Duration>) {
        self.update(|admission| admission.finish(Instant::now(), class, service_time));
    }

    /// Notifies the queued calls that start or are refused. Returns the results that no task
    /// receives any more: dropping a permit locks the state, so the caller drops them unlocked.
    fn notify_queued(&self, state: &mut State, update: QueueUpdate) -> Vec<Grant> {
        let mut undelivered = Vec::new();
        for ticket in update.start {
            match state.waiting.remove(&ticket) {
                Some((class, sender)) => {
                    undelivered.extend(sender.send(Ok(self.permit(class))).err());
                }
                // No task waits for it: the permit is dropped unused, so its class does not matter.
                None => undelivered.push(Ok(self.permit(0))),
            }
        }
        for (ticket, reason) in update.refuse {
            let rejected = state.rejected(reason);
            if let Some((_, sender)) = state.waiting.remove(&ticket) {
                undelivered.extend(sender.send(Err(rejected)).err());
            }
        }
        undelivered
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

/// The result of offering a call: decided at once, or queued.
enum Offer<'a> {
    Decided(Grant),
    Queued(QueuedCall<'a>),
}

/// A queued call. It leaves the queue when it is dropped, as when its caller disconnects.
struct QueuedCall<'a> {
    gate: &'a Gate,
    ticket: Ticket,
    receiver: oneshot::Receiver<Grant>,
    /// The last time at which the call may start.
    latest: Instant,
}

impl QueuedCall<'_> {
    async fn grant(mut self) -> Grant {
        let grant = tokio::time::timeout_at(self.latest, &mut self.receiver).await;
        match grant {
            Ok(grant) => grant.unwrap_or_else(|_| Err(self.too_late())),
            Err(_) if self.cancel() => Err(self.too_late()),
            // The call was granted or refused just as the timer fired.
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

impl Drop for QueuedCall<'_> {
    fn drop(&mut self) {
        self.cancel();
    }
}

/// A permit to use one slot of the backend server; the slot is freed when it is dropped.
pub struct Permit {
    gate: Gate,
    time_class: u32,
    /// When the call was sent, or admitted if it was not sent yet.
    started: Instant,
    /// Whether the service time enters the averages.
    is_sample: bool,
}

impl Permit {
    /// Marks the call as sent and starts its service time, a sample for the averages.
    pub fn mark_used(&mut self) {
        self.is_sample = true;
        self.started = Instant::now();
    }

    /// Excludes the call's service time from the averages: it does not reflect the backend server.
    pub fn exclude_sample(&mut self) {
        self.is_sample = false;
    }

    /// Returns the time since [`Permit::mark_used`], or since admission if the call was not sent.
    #[must_use]
    pub fn service_time(&self) -> Duration {
        self.started.elapsed()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let service_time = self.is_sample.then(|| self.started.elapsed());
        self.gate.finish(self.time_class, service_time);
    }
}
