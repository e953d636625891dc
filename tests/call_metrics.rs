//! Counters and latency histograms of calls in the Prometheus text format.

use baobabstage::call::RefusalReason;
use baobabstage::call::budget::Failure;
use baobabstage::call::metrics::{InboundMetrics, OutboundMetrics};
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use std::time::Duration;

fn text(register: impl FnOnce(&mut Registry)) -> String {
    let mut registry = Registry::with_prefix("baobab");
    register(&mut registry);
    let mut text = String::new();
    encode(&mut text, &registry).unwrap();
    text
}

fn assert_lines(text: &str, lines: &[&str]) {
    for line in lines {
        assert!(text.lines().any(|l| l == *line), "{line}: {text}");
    }
}

#[test]
fn outbound_outcomes() {
    let metrics = OutboundMetrics::default();
    metrics.note_call("answered", Duration::from_millis(20));
    metrics.note_call("answered", Duration::from_millis(300));
    metrics.note_call("not-run", Duration::from_millis(1));
    metrics.note_failure(Failure::Refused);
    let text = text(|registry| metrics.register(registry));
    assert_lines(
        &text,
        &[
            "# TYPE baobab_call_seconds histogram",
            "baobab_call_seconds_count{outcome=\"answered\"} 2",
            "baobab_call_seconds_bucket{le=\"0.025\",outcome=\"answered\"} 1",
            "baobab_call_seconds_count{outcome=\"not-run\"} 1",
            "baobab_attempt_failures_total{outcome=\"refused\"} 1",
        ],
    );
}

#[test]
fn inbound_runs_and_refusals() {
    let metrics = InboundMetrics::default();
    metrics.note_run(Duration::ZERO, Duration::from_millis(90), false);
    metrics.note_run(Duration::from_millis(40), Duration::from_millis(90), true);
    metrics.note_refusal(RefusalReason::Full);
    let text = text(|registry| metrics.register(registry));
    assert_lines(
        &text,
        &[
            "baobab_queue_seconds_count 2",
            "baobab_queue_seconds_bucket{le=\"0.05\"} 2",
            "baobab_backend_seconds_count{outcome=\"answered\"} 1",
            "baobab_backend_seconds_count{outcome=\"failed\"} 1",
            "baobab_refusals_total{why=\"full\"} 1",
        ],
    );
}
