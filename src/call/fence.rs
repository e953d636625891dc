//! Fencing: the record of recent attempts at one inbound side.
//!
//! After a lost response, the sender asks for the execution status of the attempt; one that has not
//! run is barred from running by the same request. The inbound side's clock counts milliseconds
//! since its start. Each attempt states when it was sent by that clock, which distinguishes an
//! attempt that may have been pruned from the record from one that never arrived.

use super::attempt::AttemptId;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// How long an attempt stays in the record after its arrival.
pub const WINDOW: Duration = Duration::from_mins(2);

/// Greatest age of an arriving attempt that is accepted. Shorter than [`WINDOW`] to allow for clock
/// drift.
pub const MAX_AGE: Duration = Duration::from_mins(1);

/// Greatest number of attempts in the record; the oldest are pruned beyond it.
pub const CAPACITY: usize = 65_536;

/// The state of an attempt in the record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// It has arrived and was not sent to the backend server.
    Waiting,
    /// It was sent to the backend server and has not ended.
    Running,
    /// It was sent to the backend server and has ended.
    Ran,
    /// It is barred from running, or ended without being sent.
    Fenced,
}

/// The execution status of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// It was sent to the backend server and has ended.
    Ran,
    /// It was sent to the backend server and has not ended.
    Running,
    /// It was not sent to the backend server and is barred from running.
    NeverRuns,
    /// It may have been pruned from the record, so it may have run.
    Forgotten,
}

impl ExecutionStatus {
    /// Returns the value of the [`FENCE`](super::FENCE) header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            ExecutionStatus::Ran => "ran",
            ExecutionStatus::Running => "running",
            ExecutionStatus::NeverRuns => "never-runs",
            ExecutionStatus::Forgotten => "forgotten",
        }
    }

    /// Parses the value of the [`FENCE`](super::FENCE) header.
    #[must_use]
    pub fn read(text: &str) -> Option<Self> {
        let all = [
            ExecutionStatus::Ran,
            ExecutionStatus::Running,
            ExecutionStatus::NeverRuns,
            ExecutionStatus::Forgotten,
        ];
        all.into_iter().find(|status| status.as_str() == text)
    }
}

/// The reason for which an arriving attempt is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ArrivalError {
    /// The attempt was fenced before it arrived.
    #[error("attempt was cancelled by its sender")]
    Fenced,
    /// The attempt has arrived before.
    #[error("duplicate attempt")]
    Repeated,
    /// The attempt is older than [`MAX_AGE`], or may have been pruned from the record.
    #[error("attempt is too old")]
    TooOld,
}

/// The recent attempts received by one incarnation of a daemon.
#[derive(Debug)]
pub struct Record {
    /// The origin of the inbound side's clock.
    start: Instant,
    /// Greatest number of attempts, except those that wait or run.
    capacity: usize,
    states: BTreeMap<AttemptId, State>,
    /// Attempts by the time in milliseconds when they were recorded, oldest first.
    order: VecDeque<(u64, AttemptId)>,
    /// Attempts sent before this time may have been pruned.
    horizon_ms: u64,
}

impl Record {
    /// Creates an empty record whose clock starts now.
    #[must_use]
    pub fn new(now: Instant, capacity: usize) -> Self {
        Record {
            start: now,
            capacity,
            states: BTreeMap::new(),
            order: VecDeque::new(),
            horizon_ms: 0,
        }
    }

    /// Returns the inbound side's clock, in milliseconds.
    #[must_use]
    pub fn clock_ms(&self, now: Instant) -> u64 {
        millis(now.saturating_duration_since(self.start))
    }

    /// Records the arrival of an attempt.
    ///
    /// # Errors
    ///
    /// Fails if the attempt must not run.
    pub fn arrive(
        &mut self,
        now: Instant,
        id: AttemptId,
        sent_ms: u64,
    ) -> Result<(), ArrivalError> {
        match self.states.get(&id) {
            Some(State::Fenced) => return Err(ArrivalError::Fenced),
            Some(_) => return Err(ArrivalError::Repeated),
            None => {}
        }
        let age = self.clock_ms(now).saturating_sub(sent_ms);
        if sent_ms < self.horizon_ms || age > millis(MAX_AGE) {
            return Err(ArrivalError::TooOld);
        }
        self.insert(now, id, State::Waiting);
        Ok(())
    }

    /// Marks an attempt as sent to the backend server; returns false if it must not be sent.
    pub fn dispatch(&mut self, id: AttemptId) -> bool {
        match self.states.get_mut(&id) {
            Some(state @ State::Waiting) => {
                *state = State::Running;
                true
            }
            _ => false,
        }
    }

    /// Marks an attempt as ended. One that was not dispatched is barred from running.
    pub fn finish(&mut self, id: AttemptId) {
        if let Some(state) = self.states.get_mut(&id) {
            *state = match *state {
                State::Running | State::Ran => State::Ran,
                State::Waiting | State::Fenced => State::Fenced,
            };
        }
    }

    /// Returns the execution status of an attempt. One that was not dispatched is barred from
    /// running.
    pub fn fence(&mut self, now: Instant, id: AttemptId, sent_ms: u64) -> ExecutionStatus {
        match self.states.get(&id) {
            Some(State::Ran) => ExecutionStatus::Ran,
            Some(State::Running) => ExecutionStatus::Running,
            Some(State::Fenced) => ExecutionStatus::NeverRuns,
            Some(State::Waiting) => {
                self.states.insert(id, State::Fenced);
                ExecutionStatus::NeverRuns
            }
            None if sent_ms < self.horizon_ms => ExecutionStatus::Forgotten,
            None => {
                self.insert(now, id, State::Fenced);
                ExecutionStatus::NeverRuns
            }
        }
    }

    /// Returns the number of attempts in the record.
    #[must_use]
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Tests whether the record is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    fn insert(&mut self, now: Instant, id: AttemptId, state: State) {
        let now_ms = self.clock_ms(now);
        self.prune(now_ms);
        self.states.insert(id, state);
        self.order.push_back((now_ms, id));
    }

    /// Removes attempts that are older than [`WINDOW`] or beyond the capacity. Those that wait or
    /// run are kept.
    fn prune(&mut self, now_ms: u64) {
        let oldest = now_ms.saturating_sub(millis(WINDOW));
        for _ in 0..self.order.len() {
            let Some(&(recorded_ms, id)) = self.order.front() else {
                return;
            };
            if recorded_ms >= oldest && self.order.len() < self.capacity {
                return;
            }
            self.order.pop_front();
            let state = self.states.get(&id);
            if matches!(state, Some(State::Waiting | State::Running)) {
                self.order.push_back((now_ms, id));
                continue;
            }
            self.states.remove(&id);
            self.horizon_ms = self.horizon_ms.max(recorded_ms + 1);
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
