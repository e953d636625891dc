//! The state of the backend server beside a daemon, from its reports.

use baobabstage::backend::{
    BackendCell, Leaves, MAX_LEAVES, REPORT_DELAY, Recalled, Report, ReportOutcome, ReportedState,
    Stage,
};
use baobabstage::site::Leave;
use std::net::SocketAddr;
use std::time::Duration;
use test_case::test_case;
use tokio::time::Instant;

const SERVICE: &str = "certs";
const DOMAIN: &str = "espoo";

/// The time at which notices arrive, in milliseconds since the Unix epoch.
const NOW_MS: u64 = 1_000;

fn address() -> SocketAddr {
    ([10, 0, 0, 1], 8_000).into()
}

fn cell() -> BackendCell {
    BackendCell::reporting(SERVICE, DOMAIN, address())
}

fn report(instance: &str, born_ms: u64, sequence: u64) -> Report {
    Report {
        instance: instance.into(),
        born_ms,
        sequence,
        state: ReportedState::Ready,
        service: SERVICE.into(),
        domain: DOMAIN.into(),
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
#[test_case(&Report { domain: "vantaa".into(), ..report("b", 2, 1) }; "another failure domain")]
#[test_case(&Report { address: ([10, 0, 0, 2], 8_000).into(), ..report("b", 2, 1) }; "another address")]
#[test_case(&report("a", u64::MAX, 1); "start in the future")]
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
    cell.set_recalled(Recalled::All);
    let now = Instant::now();
    let first = report("a", 1, 7);
    assert_eq!(cell.report(now, &first, false), ReportOutcome::Unproven);
    assert_eq!(cell.load().stage, Stage::Unknown);
    assert_eq!(cell.report(now, &first, false), ReportOutcome::Old);
    let second = report("a", 1, 8);
    assert_eq!(cell.report(now, &second, false), ReportOutcome::New);
    assert_eq!(cell.load().stage, Stage::Ready);
}

/// Guards against a second late report that makes an instance ready which left before the restart: it proves no
/// more than the first while a leave may be unknown, and until no report can be on its way any longer.
#[test_case(Recalled::Nothing; "platform and peers silent")]
#[test_case(Recalled::Stored; "peers silent")]
fn report_repeated_unrecalled(recalled: Recalled) {
    let cell = cell();
    cell.set_recalled(recalled);
    let now = Instant::now();
    for (sequence, after) in [(7, Duration::ZERO), (8, REPORT_DELAY * 9 / 10)] {
        let late = report("a", 1, sequence);
        let outcome = cell.report(now + after, &late, false);
        assert_eq!(outcome, ReportOutcome::Unproven);
        assert_eq!(cell.load().stage, Stage::Unknown);
    }
    let later = now + REPORT_DELAY + Duration::from_secs(1);
    let current = report("a", 1, 9);
    assert_eq!(cell.report(later, &current, false), ReportOutcome::New);
    assert_eq!(cell.load().stage, Stage::Ready);
}

#[test]
fn leave_then_report() {
    let cell = cell();
    apply(&cell, &report("a", 1, 1));
    assert!(cell.leave(&leave("a", 1), NOW_MS));
    apply(&cell, &report("a", 1, 2));
    assert_eq!(cell.load().stage, Stage::Leaving);
}

#[test]
fn leave_before_report() {
    let cell = cell();
    assert!(cell.leave(&leave("a", 1), NOW_MS));
    apply(&cell, &report("a", 1, 5));
    assert_eq!(cell.load().stage, Stage::Leaving);
}

#[test]
fn leave_earlier_start() {
    let cell = cell();
    apply(&cell, &report("a", 5, 1));
    assert!(!cell.leave(&leave("a", 4), NOW_MS));
    assert!(!cell.leave(&leave("old", 4), NOW_MS));
    assert_eq!(cell.load().stage, Stage::Ready);
}

/// Returns what a later process of the daemon restores.
fn recorded(cell: &BackendCell) -> Leaves {
    Leaves::from_wire(&cell.leaves().borrow().to_wire())
}

#[test]
fn restore_leaves_other_start() {
    let first = cell();
    first.leave(&leave("a", 5), NOW_MS);
    let cell = cell();
    cell.restore_leaves(&recorded(&first));
    apply(&cell, &report("a", 5, 9));
    assert_eq!(cell.load().stage, Stage::Leaving);
    apply(&cell, &report("a", 6, 1));
    assert_eq!(cell.load().stage, Stage::Ready);
}

/// What an earlier process has acknowledged may become known only after a report: it holds nevertheless.
#[test]
fn restore_leaves_after_report() {
    let first = cell();
    apply(&first, &draining(report("a", 5, 3)));
    let cell = cell();
    apply(&cell, &report("a", 5, 2));
    cell.restore_leaves(&recorded(&first));
    assert_eq!(cell.load().stage, Stage::Leaving);
}

/// Guards against a leave that is forgotten at the second restart, since the first one recorded nothing.
#[test]
fn restore_leaves_twice() {
    let mut cell = cell();
    cell.leave(&leave("a", 5), NOW_MS);
    for _ in 0..3 {
        let next = self::cell();
        next.restore_leaves(&recorded(&cell));
        cell = next;
    }
    apply(&cell, &report("a", 5, 9));
    assert_eq!(cell.load().stage, Stage::Leaving);
}

/// A notice without a start time holds for the start before it, also where no report has named the instance.
#[test]
fn leave_without_start() {
    let notice = Leave {
        born_ms: None,
        ..leave("a", 0)
    };
    let cell = cell();
    assert!(cell.leave(&notice, NOW_MS));
    apply(&cell, &report("a", NOW_MS - 1, 5));
    assert_eq!(cell.load().stage, Stage::Leaving);
    apply(&cell, &report("a", NOW_MS + 1, 1));
    assert_eq!(cell.load().stage, Stage::Ready);
}

/// A later instance leaves too: the earlier ones stay known, as many as are remembered.
#[test]
fn leave_several_instances() {
    let cell = cell();
    let instances = 0..=u64::try_from(MAX_LEAVES).unwrap();
    for number in instances.clone() {
        let name = format!("i-{number}");
        apply(&cell, &report(&name, number + 1, 1));
        cell.leave(&leave(&name, number + 1), NOW_MS);
    }
    let leaves = recorded(&cell);
    let known = |number: &u64| leaves.contains(&format!("i-{number}"), number + 1);
    let forgotten: Vec<u64> = instances.filter(|number| !known(number)).collect();
    assert_eq!(forgotten, [0]);
}

/// Guards against a report of draining that is acknowledged and ignored, since another writer's report had a greater
/// number.
#[test]
fn report_draining_below_sequence() {
    let cell = cell();
    apply(&cell, &report("a", 5, u64::MAX));
    assert_eq!(apply(&cell, &report("a", 5, 12)), ReportOutcome::Old);
    assert_eq!(
        apply(&cell, &draining(report("a", 5, 13))),
        ReportOutcome::New
    );
    assert_eq!(cell.load().stage, Stage::Leaving);
    assert!(recorded(&cell).contains("a", 5));
}

/// Guards against a slow start that ends beyond the range of the clock.
#[test]
fn report_endless_slow_start() {
    let cell = cell();
    let slow_start = Duration::MAX;
    let report = Report {
        slow_start,
        ..report("a", 1, 1)
    };
    assert_eq!(apply(&cell, &report), ReportOutcome::New);
    let until = cell.load().slow_until.unwrap();
    assert!(until <= Instant::now() + Duration::from_hours(2));
}

/// Guards against a backend server that stays out of service since another writer reported a later instance: once that
/// one turns out not to be there, reports of the real one count again.
#[test]
fn note_mismatch_earlier_start() {
    let cell = cell();
    apply(&cell, &report("a", 5, 1));
    apply(&cell, &report("b", 9, 1));
    assert_eq!(apply(&cell, &report("a", 5, 2)), ReportOutcome::Old);
    cell.note_mismatch("b");
    assert_eq!(cell.load().stage, Stage::Unknown);
    let late = report("a", 5, 3);
    let now = Instant::now();
    assert_eq!(cell.report(now, &late, false), ReportOutcome::Unproven);
    assert_eq!(apply(&cell, &report("a", 5, 4)), ReportOutcome::New);
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
