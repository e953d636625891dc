//! The state of the backend server beside a daemon, from its reports.

use baobabstage::backend::{BackendCell, Report, ReportOutcome, ReportedState, Stage};
use baobabstage::site::Leave;
use std::net::SocketAddr;
use std::time::Duration;
use test_case::test_case;
use tokio::time::Instant;

const SERVICE: &str = "certs";

fn address() -> SocketAddr {
    ([10, 0, 0, 1], 8_000).into()
}

fn cell() -> BackendCell {
    BackendCell::reporting(SERVICE, address())
}

fn report(instance: &str, born_ms: u64, sequence: u64) -> Report {
    Report {
        instance: instance.into(),
        born_ms,
        sequence,
        state: ReportedState::Ready,
        service: SERVICE.into(),
        address: address(),
        slots: 12,
        version: "v1".into(),
        slow_start: Duration::ZERO,
    }
}

fn draining(report: Report) -> Report {
    let state = ReportedState::Draining;
    Report { state, ..report }
}

fn apply(cell: &BackendCell, report: &Report) -> ReportOutcome {
    cell.report(Instant::now(), report, true)
}

fn leave(instance: &str, born_ms: u64) -> Leave {
    Leave {
        instance: instance.into(),
        born_ms: Some(born_ms),
    }
}

#[test]
fn report_ready() {
    let cell = cell();
    assert_eq!(cell.load().stage, Stage::Unknown);
    assert_eq!(apply(&cell, &report("a", 1, 1)), ReportOutcome::New);
    let backend = cell.load();
    assert_eq!(backend.stage, Stage::Ready);
    assert_eq!(backend.slots, Some(12));
    assert_eq!(backend.version, "v1");
    assert_eq!(backend.instance.as_deref(), Some("a"));
}

#[test_case(&Report { service: "benchlab".into(), ..report("b", 2, 1) }; "another service")]
#[test_case(&Report { address: ([10, 0, 0, 2], 8_000).into(), ..report("b", 2, 1) }; "another address")]
fn report_foreign(other: &Report) {
    let cell = cell();
    apply(&cell, &report("a", 1, 1));
    assert_eq!(apply(&cell, other), ReportOutcome::Foreign);
    assert_eq!(cell.load().instance.as_deref(), Some("a"));
}

#[test_case(&report("a", 5, 3); "lower sequence")]
#[test_case(&report("a", 4, 9); "earlier start")]
#[test_case(&report("old", 4, 9); "earlier instance")]
fn report_old(late: &Report) {
    let cell = cell();
    apply(&cell, &draining(report("a", 5, 3)));
    assert_eq!(apply(&cell, late), ReportOutcome::Old);
    assert_eq!(cell.load().stage, Stage::Leaving);
}

#[test]
fn report_later_start() {
    let cell = cell();
    apply(&cell, &draining(report("a", 5, 9)));
    assert_eq!(apply(&cell, &report("a", 6, 1)), ReportOutcome::New);
    assert_eq!(cell.load().stage, Stage::Ready);
}

/// After a restart of the daemon a single report may be an old one that arrived late.
#[test]
fn report_unconfirmed() {
    let cell = cell();
    let now = Instant::now();
    let first = report("a", 1, 7);
    assert_eq!(cell.report(now, &first, false), ReportOutcome::Unproven);
    assert_eq!(cell.load().stage, Stage::Unknown);
    assert_eq!(cell.report(now, &first, false), ReportOutcome::Old);
    let second = report("a", 1, 8);
    assert_eq!(cell.report(now, &second, false), ReportOutcome::New);
    assert_eq!(cell.load().stage, Stage::Ready);
}

#[test]
fn leave_then_report() {
    let cell = cell();
    apply(&cell, &report("a", 1, 1));
    assert!(cell.leave(&leave("a", 1)));
    apply(&cell, &report("a", 1, 2));
    assert_eq!(cell.load().stage, Stage::Leaving);
}

#[test]
fn leave_before_report() {
    let cell = cell();
    assert!(cell.leave(&leave("a", 1)));
    apply(&cell, &report("a", 1, 5));
    assert_eq!(cell.load().stage, Stage::Leaving);
}

#[test]
fn leave_earlier_start() {
    let cell = cell();
    apply(&cell, &report("a", 5, 1));
    assert!(!cell.leave(&leave("a", 4)));
    assert!(!cell.leave(&leave("old", 4)));
    assert_eq!(cell.load().stage, Stage::Ready);
}

#[test]
fn restore_leave_other_start() {
    let cell = cell();
    cell.restore_leave("a", 5);
    apply(&cell, &report("a", 5, 9));
    assert_eq!(cell.load().stage, Stage::Leaving);
    apply(&cell, &report("a", 6, 1));
    assert_eq!(cell.load().stage, Stage::Ready);
}

#[test]
fn note_mismatch_until_report() {
    let cell = cell();
    apply(&cell, &report("a", 1, 1));
    cell.note_mismatch("a");
    assert_eq!(cell.load().stage, Stage::Unknown);
    apply(&cell, &report("b", 2, 1));
    assert_eq!(cell.load().stage, Stage::Ready);
}
