//! Graceful shutdown: the phase of the process and the calls in flight.

use std::sync::Arc;
use tokio::sync::watch;

/// How far a graceful shutdown has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// New calls are taken.
    #[default]
    Running,
    /// New calls are refused; those in flight run on.
    Draining,
    /// The process ends.
    Stopped,
}

/// The phase of the process and the calls in flight.
#[derive(Clone, Default)]
pub struct Drain {
    phase: Arc<watch::Sender<Phase>>,
    flights: Arc<watch::Sender<usize>>,
}

impl Drain {
    /// Returns the phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Returns a receiver of the phase.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Moves to a later phase; an earlier one is passed over.
    pub fn advance(&self, phase: Phase) {
        self.phase.send_if_modified(|now| {
            let later = phase > *now;
            if later {
                *now = phase;
            }
            later
        });
    }

    /// Waits until a phase is reached.
    pub async fn reached(&self, phase: Phase) {
        let mut phases = self.subscribe();
        // The sender lives as long as `self`.
        let _ = phases.wait_for(|now| *now >= phase).await;
    }

    /// Counts a call until the value returned is dropped.
    #[must_use]
    pub fn flight(&self) -> Flight {
        self.flights.send_modify(|count| *count += 1);
        let flights = Arc::clone(&self.flights);
        Flight { flights }
    }

    /// Returns the number of calls in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        *self.flights.borrow()
    }

    /// Waits until no call is in flight.
    pub async fn landed(&self) {
        let mut flights = self.flights.subscribe();
        let _ = flights.wait_for(|count| *count == 0).await;
    }
}

/// A call in flight.
pub struct Flight {
    flights: Arc<watch::Sender<usize>>,
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.flights.send_modify(|count| *count -= 1);
    }
}
