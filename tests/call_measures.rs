//! Counters and latency histograms of calls as Prometheus reads them.

use baobabstage::call::Why;
use baobabstage::call::budget::Failure;
use baobabstage::call::measures::{Incoming, Outgoing};
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
fn outgoing_calls_by_outcome() {
    let measures = Outgoing::default();
    measures.note_call("answered", Duration::from_millis(20));
    measures.note_call("answered", Duration::from_millis(300));
    measures.note_call("not-run", Duration::from_millis(1));
    measures.note_failure(Failure::Refused);
    let text = text(|registry| measures.register(registry));
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
fn incoming_waits_runs_and_refusals() {
    let measures = Incoming::default();
    measures.note_run(Duration::ZERO, Duration::from_millis(90), false);
    measures.note_run(Duration::from_millis(40), Duration::from_millis(90), true);
    measures.note_refusal(Why::Full);
    let text = text(|registry| measures.register(registry));
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
