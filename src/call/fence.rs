//! The record of recent attempts at one inbound side.
//!
//! The inbound side's clock counts milliseconds since its start. An attempt states when it was
//! sent by that clock, so that an attempt which may have left the record is told apart from one
//! that never came.

use super::attempt::AttemptId;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// The time for which an attempt is remembered after it came.
pub const WINDOW: Duration = Duration::from_mins(2);

/// The greatest age of an attempt that is taken. Below [`WINDOW`], so that clocks may drift.
pub const MAX_AGE: Duration = Duration::from_mins(1);

/// The greatest number of attempts remembered.
pub const CAPACITY: usize = 65_536;

/// What is known of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Waiting,
    Running,
    Ran,
    Fenced,
}

/// What became of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It was sent to the backend server, and that has ended.
    Ran,
    /// It was sent to the backend server.
    Running,
    /// It was not sent to the backend server and never will be.
    NeverRuns,
    /// The record no longer reaches back to it.
    Forgotten,
}

impl Fate {
    /// Returns the fate as written in the [`FENCE`](super::FENCE) header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Fate::Ran => "ran",
            Fate::Running => "running",
            Fate::NeverRuns => "never-runs",
            Fate::Forgotten => "forgotten",
        }
    }

    /// Reads a fate.
    #[must_use]
    pub fn read(text: &str) -> Option<Self> {
        let all = [Fate::Ran, Fate::Running, Fate::NeverRuns, Fate::Forgotten];
        all.into_iter().find(|fate| fate.as_str() == text)
    }
}

/// Why an attempt is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ArrivalError {
    /// The attempt was fenced before it came.
    #[error("attempt was given up by its sender")]
    Fenced,
    /// The attempt came before.
    #[error("attempt came a second time")]
    Repeated,
    /// The attempt was sent too long ago.
    #[error("attempt is too old")]
    TooOld,
}

/// The recent attempts of one incarnation.
#[derive(Debug)]
pub struct Record {
    start: Instant,
    capacity: usize,
    states: BTreeMap<AttemptId, State>,
    /// Attempts by the time they were noted, oldest first.
    order: VecDeque<(u64, AttemptId)>,
    /// Attempts sent before this time may have been forgotten.
    horizon_ms: u64,
}

impl Record {
    /// Makes an empty record whose clock starts now.
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

    /// Returns the inbound side's clock.
    #[must_use]
    pub fn clock_ms(&self, now: Instant) -> u64 {
        millis(now.saturating_duration_since(self.start))
    }

    /// Notes that an attempt has come.
    ///
    /// # Errors
    ///
    /// Fails when it must not run.
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
        self.note(now, id, State::Waiting);
        Ok(())
    }

    /// Notes that an attempt is about to be sent to the backend server; false when it must not.
    pub fn dispatch(&mut self, id: AttemptId) -> bool {
        match self.states.get_mut(&id) {
            Some(state @ State::Waiting) => {
                *state = State::Running;
                true
            }
            _ => false,
        }
    }

    /// Notes that an attempt has ended. One that was not dispatched never will be.
    pub fn finish(&mut self, id: AttemptId) {
        if let Some(state) = self.states.get_mut(&id) {
            *state = match *state {
                State::Running | State::Ran => State::Ran,
                State::Waiting | State::Fenced => State::Fenced,
            };
        }
    }

    /// Answers what became of an attempt. One that was not dispatched never will be.
    pub fn fence(&mut self, now: Instant, id: AttemptId, sent_ms: u64) -> Fate {
        match self.states.get(&id) {
            Some(State::Ran) => Fate::Ran,
            Some(State::Running) => Fate::Running,
            Some(State::Fenced) => Fate::NeverRuns,
            Some(State::Waiting) => {
                self.states.insert(id, State::Fenced);
                Fate::NeverRuns
            }
            None if sent_ms < self.horizon_ms => Fate::Forgotten,
            None => {
                self.note(now, id, State::Fenced);
                Fate::NeverRuns
            }
        }
    }

    /// Returns the number of attempts remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Tests whether no attempt is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    fn note(&mut self, now: Instant, id: AttemptId, state: State) {
        let now_ms = self.clock_ms(now);
        self.prune(now_ms);
        self.states.insert(id, state);
        self.order.push_back((now_ms, id));
    }

    /// Forgets what is old or too much. What still waits or runs is kept.
    fn prune(&mut self, now_ms: u64) {
        let oldest = now_ms.saturating_sub(millis(WINDOW));
        for _ in 0..self.order.len() {
            let Some(&(noted_ms, id)) = self.order.front() else {
                return;
            };
            if noted_ms >= oldest && self.order.len() < self.capacity {
                return;
            }
            self.order.pop_front();
            let state = self.states.get(&id);
            if matches!(state, Some(State::Waiting | State::Running)) {
                self.order.push_back((now_ms, id));
                continue;
            }
            self.states.remove(&id);
            self.horizon_ms = self.horizon_ms.max(noted_ms + 1);
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
