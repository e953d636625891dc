//! Graceful shutdown: the phase of the process, and counters of calls and connections.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::{Notify, watch};

/// The phases of a graceful shutdown, in order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// New calls are accepted.
    #[default]
    Running,
    /// Calls of local callers are still accepted, those of other daemons are refused: the process
    /// reports itself as not ready, but not all callers have noticed yet.
    Leaving,
    /// New calls are refused; those in flight continue.
    Draining,
    /// The process ends soon: calls that no backend server is processing are refused.
    Ending,
    /// No call is in flight, or the time limit has passed; connections that carry calls are closed.
    Closing,
    /// The remaining listeners close, and the process ends.
    Stopped,
}

/// The phase of the process, with counters of calls in flight and of connections that carry calls.
#[derive(Clone, Default)]
pub struct Drain {
    phase: Arc<watch::Sender<Phase>>,
    calls: Arc<Counter>,
    connections: Arc<Counter>,
}

impl Drain {
    /// Returns the current phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Returns a receiver that is notified of each change of phase.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Moves to a later phase; a phase not later than the current one is ignored.
    pub fn advance(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let later = phase > *current;
            if later {
                *current = phase;
            }
            later
        });
    }

    /// Waits until a phase or a later one is reached.
    pub async fn reached(&self, phase: Phase) {
        let mut phases = self.subscribe();
        // The sender lives as long as `self`.
        let _ = phases.wait_for(|current| *current >= phase).await;
    }

    /// Counts a call in flight until the returned guard is dropped.
    #[must_use]
    pub fn begin_call(&self) -> InFlightGuard {
        InFlightGuard::new(&self.calls)
    }

    /// Counts a connection that carries calls until the returned guard is dropped.
    #[must_use]
    pub fn connection(&self) -> InFlightGuard {
        InFlightGuard::new(&self.connections)
    }

    /// Returns the number of calls in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.calls.value.load(Ordering::SeqCst)
    }

    /// Returns the number of connections that carry calls.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.value.load(Ordering::SeqCst)
    }

    /// Waits until no call is in flight.
    pub async fn calls_ended(&self) {
        self.calls.wait_zero().await;
    }

    /// Waits until no connection that carries calls is open.
    pub async fn connections_closed(&self) {
        self.connections.wait_zero().await;
    }
}

/// A counter with a notification when it reaches zero.
#[derive(Default)]
struct Counter {
    value: AtomicUsize,
    zero: Notify,
}

impl Counter {
    async fn wait_zero(&self) {
        loop {
            let mut zero = std::pin::pin!(self.zero.notified());
            // Registered before the check, so that a notification between the two is not lost.
            zero.as_mut().enable();
            if self.value.load(Ordering::SeqCst) == 0 {
                return;
            }
            zero.await;
        }
    }
}

/// A guard that counts a call in flight or a connection until it is dropped.
pub struct InFlightGuard {
    counter: Arc<Counter>,
}

impl InFlightGuard {
    fn new(counter: &Arc<Counter>) -> Self {
        counter.value.fetch_add(1, Ordering::SeqCst);
        let counter = Arc::clone(counter);
        InFlightGuard { counter }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if self.counter.value.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.counter.zero.notify_waiters();
        }
    }
}
