//! What a daemon believes of the backend server beside it.

use baobabstage::backend::{BackendCell, Report, Stage, Taken, Word};
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
        word: Word::Ready,
        service: SERVICE.into(),
        address: address(),
        slots: 12,
        warm: Duration::ZERO,
    }
}

fn draining(report: Report) -> Report {
    let word = Word::Draining;
    Report { word, ..report }
}

fn take(cell: &BackendCell, report: &Report) -> Taken {
    cell.report(Instant::now(), report, true)
}

fn leave(instance: &str, born_ms: u64) -> Leave {
    Leave {
        instance: instance.into(),
        born_ms: Some(born_ms),
    }
}

#[test]
fn report_makes_it_ready() {
    let cell = cell();
    assert_eq!(cell.load().stage, Stage::Unknown);
    assert_eq!(take(&cell, &report("a", 1, 1)), Taken::New);
    let backend = cell.load();
    assert_eq!(backend.stage, Stage::Ready);
    assert_eq!(backend.slots, Some(12));
    assert_eq!(backend.instance.as_deref(), Some("a"));
}

#[test_case(&Report { service: "benchlab".into(), ..report("b", 2, 1) }; "another service")]
#[test_case(&Report { address: ([10, 0, 0, 2], 8_000).into(), ..report("b", 2, 1) }; "another address")]
fn report_foreign(other: &Report) {
    let cell = cell();
    take(&cell, &report("a", 1, 1));
    assert_eq!(take(&cell, other), Taken::Foreign);
    assert_eq!(cell.load().instance.as_deref(), Some("a"));
}

#[test_case(&report("a", 5, 3); "sent before")]
#[test_case(&report("a", 4, 9); "earlier start under the same name")]
#[test_case(&report("old", 4, 9); "earlier instance")]
fn report_old(late: &Report) {
    let cell = cell();
    take(&cell, &draining(report("a", 5, 3)));
    assert_eq!(take(&cell, late), Taken::Old);
    assert_eq!(cell.load().stage, Stage::Leaving);
}

#[test]
fn report_of_a_later_start_replaces() {
    let cell = cell();
    take(&cell, &draining(report("a", 5, 9)));
    assert_eq!(take(&cell, &report("a", 6, 1)), Taken::New);
    assert_eq!(cell.load().stage, Stage::Ready);
}

/// After a start of the daemon a single report may be an old one that was late.
#[test]
fn report_unproven_until_confirmed() {
    let cell = cell();
    let now = Instant::now();
    let first = report("a", 1, 7);
    assert_eq!(cell.report(now, &first, false), Taken::Unproven);
    assert_eq!(cell.load().stage, Stage::Unknown);
    assert_eq!(cell.report(now, &first, false), Taken::Old);
    let second = report("a", 1, 8);
    assert_eq!(cell.report(now, &second, false), Taken::New);
    assert_eq!(cell.load().stage, Stage::Ready);
}

#[test]
fn leave_holds_against_later_reports() {
    let cell = cell();
    take(&cell, &report("a", 1, 1));
    assert!(cell.leave(&leave("a", 1)));
    take(&cell, &report("a", 1, 2));
    assert_eq!(cell.load().stage, Stage::Leaving);
}

#[test]
fn leave_before_any_report() {
    let cell = cell();
    assert!(cell.leave(&leave("a", 1)));
    take(&cell, &report("a", 1, 5));
    assert_eq!(cell.load().stage, Stage::Leaving);
}

#[test]
fn leave_of_an_earlier_start_changes_nothing() {
    let cell = cell();
    take(&cell, &report("a", 5, 1));
    assert!(!cell.leave(&leave("a", 4)));
    assert!(!cell.leave(&leave("old", 4)));
    assert_eq!(cell.load().stage, Stage::Ready);
}

#[test]
fn recall_holds_for_that_start_alone() {
    let cell = cell();
    cell.recall("a", 5);
    take(&cell, &report("a", 5, 9));
    assert_eq!(cell.load().stage, Stage::Leaving);
    take(&cell, &report("a", 6, 1));
    assert_eq!(cell.load().stage, Stage::Ready);
}

#[test]
fn mismatch_waits_for_the_next_report() {
    let cell = cell();
    take(&cell, &report("a", 1, 1));
    cell.mismatch("a");
    assert_eq!(cell.load().stage, Stage::Unknown);
    take(&cell, &report("b", 2, 1));
    assert_eq!(cell.load().stage, Stage::Ready);
}
