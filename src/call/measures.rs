//! Counters and latency histograms of calls, for the metrics address.

use super::Why;
use super::budget::Failure;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use std::time::Duration;

/// Upper bounds of the buckets, in seconds: from what a daemon adds to the longest timeouts.
const BUCKETS: [f64; 12] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0,
];

/// What became of a call or an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    outcome: &'static str,
}

/// Why a call was refused.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CauseLabel {
    why: &'static str,
}

fn histogram() -> Histogram {
    Histogram::new(BUCKETS)
}

type Times = Family<OutcomeLabel, Histogram, fn() -> Histogram>;

fn times() -> Times {
    Family::new_with_constructor(histogram as fn() -> Histogram)
}

/// What an outbound side measures.
pub struct Outgoing {
    calls: Times,
    attempts: Family<OutcomeLabel, Counter>,
}

impl Default for Outgoing {
    fn default() -> Self {
        Outgoing {
            calls: times(),
            attempts: Family::default(),
        }
    }
}

impl Outgoing {
    /// Notes a call that was answered: by its backend server, as not run, or as unknown.
    pub fn note_call(&self, outcome: &'static str, took: Duration) {
        let times = self.calls.get_or_create(&OutcomeLabel { outcome });
        times.observe(took.as_secs_f64());
    }

    /// Notes an attempt that was not the whole answer to its call.
    pub fn note_failure(&self, failure: Failure) {
        let outcome = match failure {
            Failure::Leaving => "leaving",
            Failure::Refused => "refused",
            Failure::NotRun => "not-run",
            Failure::MayHaveRun => "unknown",
        };
        self.attempts.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Registers what is measured.
    pub fn register(&self, registry: &mut Registry) {
        let help = "Time of calls from callers, by outcome";
        registry.register_with_unit("call", help, Unit::Seconds, self.calls.clone());
        let help = "Attempts that were not the answer to their calls, by outcome";
        registry.register("attempt_failures", help, self.attempts.clone());
    }
}

/// What an inbound side measures.
pub struct Incoming {
    queue: Histogram,
    backend: Times,
    refusals: Family<CauseLabel, Counter>,
}

impl Default for Incoming {
    fn default() -> Self {
        Incoming {
            queue: histogram(),
            backend: times(),
            refusals: Family::default(),
        }
    }
}

impl Incoming {
    /// Notes a call that the backend server has answered, and how long it waited for its slot.
    pub fn note_run(&self, waited: Duration, ran: Duration, failed: bool) {
        self.queue.observe(waited.as_secs_f64());
        let outcome = if failed { "failed" } else { "answered" };
        let times = self.backend.get_or_create(&OutcomeLabel { outcome });
        times.observe(ran.as_secs_f64());
    }

    /// Notes a call that was refused.
    pub fn note_refusal(&self, why: Why) {
        let why = why.as_str();
        self.refusals.get_or_create(&CauseLabel { why }).inc();
    }

    /// Registers what is measured.
    pub fn register(&self, registry: &mut Registry) {
        let help = "Time that calls waited for a slot of the backend server";
        registry.register_with_unit("queue", help, Unit::Seconds, self.queue.clone());
        let help = "Time until the backend server's answer began, by outcome";
        registry.register_with_unit("backend", help, Unit::Seconds, self.backend.clone());
        let help = "Calls refused before they reached the backend server, by reason";
        registry.register("refusals", help, self.refusals.clone());
    }
}
