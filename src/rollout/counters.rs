//! Counts of the calls of the backend server beside this daemon during a rollout.

use super::{Order, ServerCounts};
use crate::event;
use crate::sync::lock;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// Failures of a backend server of the ordered version from which its daemon may refuse further calls before any
/// decision, and the share of its calls that they exceed then, in thousandths. Bad versions fail 300 of 1,000 or
/// more.
const STOP_FAILURES: u64 = 20;
const STOP_SHARE: u64 = 250;

/// Counts of calls since an order; nothing is counted without one.
#[derive(Debug, Default)]
pub struct Counters {
    /// The revision of the order for which calls are counted; zero for none.
    order: AtomicU64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// The ordered version.
    version: String,
    /// The counts by instance of the backend server.
    servers: BTreeMap<String, ServerCounts>,
    /// Whether the failures exceed the bound.
    stopped: bool,
}

impl Counters {
    /// Starts to count for an order, from zero unless it is counted for already.
    pub fn start(&self, order: &Order) {
        let mut state = lock(&self.state);
        if self.order.swap(order.revision, Ordering::Relaxed) == order.revision {
            return;
        }
        *state = State {
            version: order.version.clone(),
            ..State::default()
        };
    }

    /// Stops counting.
    pub fn end(&self) {
        self.order.store(0, Ordering::Relaxed);
    }

    /// Returns the counts for an order by instance; `None` if they are for another one.
    #[must_use]
    pub fn counts(&self, order: u64) -> Option<BTreeMap<String, ServerCounts>> {
        let state = lock(&self.state);
        (self.order.load(Ordering::Relaxed) == order).then(|| state.servers.clone())
    }

    /// Tests whether the own backend server fails so many calls that it takes no more of them.
    #[must_use]
    pub fn is_stopped(&self, order: u64) -> bool {
        self.order.load(Ordering::Relaxed) == order && lock(&self.state).stopped
    }

    /// Starts to count a call that is sent to the backend server now; `None` if nothing is counted.
    #[must_use]
    pub fn begin(
        self: &Arc<Self>,
        instance: &str,
        version: &str,
        time_class: u32,
        deadline: Instant,
    ) -> Option<CountedRun> {
        let order = self.order.load(Ordering::Relaxed);
        (order != 0).then(|| CountedRun {
            counters: Arc::clone(self),
            order,
            instance: instance.to_owned(),
            version: version.to_owned(),
            time_class,
            started: Instant::now(),
            deadline,
            response: None,
            ended: false,
        })
    }

    fn record(&self, run: &CountedRun, failed: bool, time: Duration) {
        let mut state = lock(&self.state);
        if self.order.load(Ordering::Relaxed) != run.order {
            return;
        }
        let server = state.servers.entry(run.instance.clone()).or_default();
        server.version.clone_from(&run.version);
        let counts = server.routes.entry(run.time_class).or_default();
        counts.calls += 1;
        counts.failures += u64::from(failed);
        if !failed {
            counts.time_us += u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        }
        let calls: u64 = server.routes.values().map(|counts| counts.calls).sum();
        let failures: u64 = server.routes.values().map(|counts| counts.failures).sum();
        let exceeds = failures >= STOP_FAILURES && failures * 1_000 > calls * STOP_SHARE;
        if exceeds && run.version == state.version && !state.stopped {
            state.stopped = true;
            event!(
                RolloutStopped,
                order = run.order,
                instance = run.instance,
                version = run.version,
                calls = calls,
                failures = failures,
            );
        }
    }
}

/// A call at the backend server that is counted once it ends. When dropped before, it counts as failed after its
/// deadline, and by its response if there was one; else its caller has given it up, and it is not counted.
#[derive(Debug)]
pub struct CountedRun {
    counters: Arc<Counters>,
    order: u64,
    instance: String,
    version: String,
    time_class: u32,
    started: Instant,
    deadline: Instant,
    /// Whether the response is a failure, and the time until it began.
    response: Option<(bool, Duration)>,
    ended: bool,
}

impl CountedRun {
    /// Records the beginning of the response.
    pub fn set_response(&mut self, failed: bool) {
        self.response = Some((failed, self.started.elapsed()));
    }

    /// Counts the call with its whole response.
    pub fn complete(mut self) {
        self.end(false);
    }

    /// Counts the call as failed: its response was lost, broken or another call's.
    pub fn fail(mut self) {
        self.end(true);
    }

    /// Counts nothing: the backend server did not run the call.
    pub fn cancel(mut self) {
        self.ended = true;
    }

    fn end(&mut self, broken: bool) {
        self.ended = true;
        let (failed, time) = self.response.unwrap_or((true, self.started.elapsed()));
        self.counters.record(self, failed || broken, time);
    }
}

impl Drop for CountedRun {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let late = Instant::now() >= self.deadline;
        if late || self.response.is_some() {
            self.end(late);
        }
    }
}
