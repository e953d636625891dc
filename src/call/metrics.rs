//! Counters and latency histograms of calls, as exposed at the metrics address.

use super::RefusalReason;
use super::budget::Failure;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use std::sync::atomic::AtomicU64;
use std::time::Duration;
use tokio::time::Instant;

/// The outcome of a call to which the backend server responded.
pub const ANSWERED: &str = "answered";

/// Upper bounds of the buckets, in seconds: from the overhead of a daemon to the longest timeouts.
const BUCKETS: [f64; 12] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0,
];

/// The outcome of a call or an attempt; the field's name is the metric's label.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    outcome: &'static str,
}

/// How far an abandoned attempt had come; the field's name is the metric's label.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StageLabel {
    stage: &'static str,
}

/// The reason for a refusal; the field's name is the metric's label.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ReasonLabel {
    why: &'static str,
}

fn histogram() -> Histogram {
    Histogram::new(BUCKETS)
}

type LatencyFamily = Family<OutcomeLabel, Histogram, fn() -> Histogram>;

fn latency_family() -> LatencyFamily {
    Family::new_with_constructor(histogram as fn() -> Histogram)
}

/// The metrics of an outbound side.
pub struct OutboundMetrics {
    calls: LatencyFamily,
    attempts: Family<OutcomeLabel, Counter>,
    /// The time from a call's arrival until its caller disconnected.
    cancelled: Histogram,
    created: Instant,
    /// The time from the start until the first call was answered, in seconds; zero before.
    first_answer: Gauge<f64, AtomicU64>,
}

impl Default for OutboundMetrics {
    fn default() -> Self {
        OutboundMetrics {
            calls: latency_family(),
            attempts: Family::default(),
            cancelled: histogram(),
            created: Instant::now(),
            first_answer: Gauge::default(),
        }
    }
}

impl OutboundMetrics {
    /// Records a finished call. `outcome` is `answered` if the backend server responded, or else
    /// `not-run` or `unknown`.
    pub fn note_call(&self, outcome: &'static str, response_time: Duration) {
        let histogram = self.calls.get_or_create(&OutcomeLabel { outcome });
        histogram.observe(response_time.as_secs_f64());
        if outcome == ANSWERED && self.first_answer.get() == 0.0 {
            self.first_answer.set(self.created.elapsed().as_secs_f64());
        }
    }

    /// Records a call whose caller disconnected this long after its arrival.
    pub fn note_cancelled(&self, time: Duration) {
        self.cancelled.observe(time.as_secs_f64());
    }

    /// Records an attempt that did not yield the complete response to its call.
    pub fn note_failure(&self, failure: Failure) {
        let outcome = match failure {
            Failure::Leaving => "leaving",
            Failure::Refused => "refused",
            Failure::NotRun => "not-run",
            Failure::MayHaveRun => "unknown",
        };
        self.attempts.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        let help = "Time of calls from callers, by outcome";
        registry.register_with_unit("call", help, Unit::Seconds, self.calls.clone());
        let help = "Attempts that were not the answer to their calls, by outcome";
        registry.register("attempt_failures", help, self.attempts.clone());
        let help = "Time of calls until their callers disconnected, before a response";
        registry.register_with_unit(
            "cancelled_call",
            help,
            Unit::Seconds,
            self.cancelled.clone(),
        );
        let help = "Time from the start until the first call was answered; zero before";
        let gauge = self.first_answer.clone();
        registry.register_with_unit("first_answer", help, Unit::Seconds, gauge);
    }
}

/// The metrics of an inbound side.
pub struct InboundMetrics {
    queue: Histogram,
    backend: LatencyFamily,
    refusals: Family<ReasonLabel, Counter>,
    abandoned: Family<StageLabel, Counter>,
}

impl Default for InboundMetrics {
    fn default() -> Self {
        InboundMetrics {
            queue: histogram(),
            backend: latency_family(),
            refusals: Family::default(),
            abandoned: Family::default(),
        }
    }
}

impl InboundMetrics {
    /// Records a call that the backend server responded to: its wait for a slot, the time until the
    /// response began, and whether that was a server error.
    pub fn note_run(&self, waited: Duration, service_time: Duration, failed: bool) {
        self.queue.observe(waited.as_secs_f64());
        let outcome = if failed { "failed" } else { ANSWERED };
        let histogram = self.backend.get_or_create(&OutcomeLabel { outcome });
        histogram.observe(service_time.as_secs_f64());
    }

    /// Records a refused call.
    pub fn note_refusal(&self, reason: RefusalReason) {
        let why = reason.as_str();
        self.refusals.get_or_create(&ReasonLabel { why }).inc();
    }

    /// Records an attempt that its sender abandoned at a stage.
    pub fn note_abandoned(&self, stage: &'static str) {
        self.abandoned.get_or_create(&StageLabel { stage }).inc();
    }

    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        let help = "Time that calls waited for a slot of the backend server";
        registry.register_with_unit("queue", help, Unit::Seconds, self.queue.clone());
        let help = "Time until the backend server's answer began, by outcome";
        registry.register_with_unit("backend", help, Unit::Seconds, self.backend.clone());
        let help = "Calls refused before they reached the backend server, by reason";
        registry.register("refusals", help, self.refusals.clone());
        let help = "Attempts abandoned by their senders before a response, by stage";
        registry.register("abandoned", help, self.abandoned.clone());
    }
}
