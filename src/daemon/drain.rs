//! Graceful shutdown: the phase of the process and the calls in flight.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::{Notify, watch};

/// How far a graceful shutdown has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// New calls are taken.
    #[default]
    Running,
    /// Calls of callers are still taken, those of other daemons refused: the process is no longer
    /// ready, and callers have not all heard of it yet.
    Leaving,
    /// New calls are refused; those in flight run on.
    Draining,
    /// The process ends soon: calls that no backend server works on are refused.
    Ending,
    /// No call is in flight; connections of callers and daemons are ended.
    Closing,
    /// The process ends.
    Stopped,
}

/// The phase of the process, the calls in flight and the connections that carry calls.
#[derive(Clone, Default)]
pub struct Drain {
    phase: Arc<watch::Sender<Phase>>,
    flights: Arc<Count>,
    connections: Arc<Count>,
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
        Flight::new(&self.flights)
    }

    /// Counts a connection that carries calls until the value returned is dropped.
    #[must_use]
    pub fn connection(&self) -> Flight {
        Flight::new(&self.connections)
    }

    /// Returns the number of calls in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.flights.now.load(Ordering::SeqCst)
    }

    /// Returns the number of connections that carry calls.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.now.load(Ordering::SeqCst)
    }

    /// Waits until no call is in flight.
    pub async fn landed(&self) {
        self.flights.emptied().await;
    }

    /// Waits until no connection carries calls.
    pub async fn closed(&self) {
        self.connections.emptied().await;
    }
}

/// A number that can be waited on to reach zero.
#[derive(Default)]
struct Count {
    now: AtomicUsize,
    empty: Notify,
}

impl Count {
    async fn emptied(&self) {
        loop {
            let mut emptied = std::pin::pin!(self.empty.notified());
            emptied.as_mut().enable();
            if self.now.load(Ordering::SeqCst) == 0 {
                return;
            }
            emptied.await;
        }
    }
}

/// A call in flight, or a connection.
pub struct Flight {
    count: Arc<Count>,
}

impl Flight {
    fn new(count: &Arc<Count>) -> Self {
        count.now.fetch_add(1, Ordering::SeqCst);
        let count = Arc::clone(count);
        Flight { count }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        if self.count.now.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.count.empty.notify_waiters();
        }
    }
}
