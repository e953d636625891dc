//! Fencing: the execution status of attempts in the record of an inbound side.

use baobabstage::call::attempt::{Attempt, AttemptId, AttemptIds};
use baobabstage::call::fence::{self, ArrivalError, ExecutionStatus, MAX_AGE, Record, WINDOW};
use std::time::Duration;
use test_case::test_case;
use tokio::time::Instant;

const ONE: AttemptId = AttemptId(1);

fn record() -> (Record, Instant) {
    let start = Instant::now();
    (Record::new(start, 100), start)
}

#[test]
fn fence_before_arrival() {
    let (mut record, now) = record();
    assert_eq!(record.fence(now, ONE, 0), ExecutionStatus::NeverRuns);
    assert_eq!(record.arrive(now, ONE, 0), Err(ArrivalError::Fenced));
}

#[test]
fn fence_waiting() {
    let (mut record, now) = record();
    record.arrive(now, ONE, 0).unwrap();
    assert_eq!(record.fence(now, ONE, 0), ExecutionStatus::NeverRuns);
    assert!(!record.dispatch(ONE));
}

#[test]
fn fence_running() {
    let (mut record, now) = record();
    record.arrive(now, ONE, 0).unwrap();
    assert!(record.dispatch(ONE));
    assert_eq!(record.fence(now, ONE, 0), ExecutionStatus::Running);
    record.finish(ONE);
    assert_eq!(record.fence(now, ONE, 0), ExecutionStatus::Ran);
}

#[test]
fn arrive_duplicate() {
    let (mut record, now) = record();
    record.arrive(now, ONE, 0).unwrap();
    assert_eq!(record.arrive(now, ONE, 0), Err(ArrivalError::Repeated));
}

#[test]
fn finish_cancelled() {
    let (mut record, now) = record();
    record.arrive(now, ONE, 0).unwrap();
    record.finish(ONE);
    assert!(!record.dispatch(ONE));
    assert_eq!(record.fence(now, ONE, 0), ExecutionStatus::NeverRuns);
}

#[test_case(Duration::ZERO; "fresh")]
#[test_case(MAX_AGE; "maximum age")]
fn arrive_age(age: Duration) {
    let (mut record, start) = record();
    assert_eq!(record.arrive(start + age, ONE, 0), Ok(()));
}

#[test]
fn arrive_too_old() {
    let (mut record, start) = record();
    let late = start + MAX_AGE + Duration::from_millis(1);
    assert_eq!(record.arrive(late, ONE, 0), Err(ArrivalError::TooOld));
}

/// Runs attempts one millisecond apart and returns the time after the last.
fn run_others(record: &mut Record, mut now: Instant, count: u128) -> Instant {
    for id in 2..count + 2 {
        let id = AttemptId(id);
        record.arrive(now, id, record.clock_ms(now)).unwrap();
        assert!(record.dispatch(id));
        record.finish(id);
        now += Duration::from_millis(1);
    }
    now
}

/// An attempt that ran and was pruned from the record must not be reported as never running.
#[test_case(1, WINDOW + Duration::from_secs(1); "by age")]
#[test_case(300, Duration::from_secs(1); "by number")]
fn fence_forgotten(others: u128, later: Duration) {
    let (mut record, start) = record();
    record.arrive(start, ONE, 0).unwrap();
    assert!(record.dispatch(ONE));
    record.finish(ONE);
    let now = run_others(&mut record, start + later, others);
    assert!(record.len() <= 100);
    assert_eq!(record.fence(now, ONE, 0), ExecutionStatus::Forgotten);
    assert_eq!(record.arrive(now, ONE, 0), Err(ArrivalError::TooOld));
}

/// An attempt must not run after its fence was pruned from the record.
#[test]
fn arrive_forgotten_fence() {
    let (mut record, start) = record();
    assert_eq!(record.fence(start, ONE, 0), ExecutionStatus::NeverRuns);
    let now = run_others(&mut record, start + Duration::from_secs(1), 300);
    assert_eq!(record.arrive(now, ONE, 0), Err(ArrivalError::TooOld));
}

#[test]
fn prune_running() {
    let (mut record, start) = record();
    record.arrive(start, ONE, 0).unwrap();
    assert!(record.dispatch(ONE));
    let now = run_others(&mut record, start + Duration::from_secs(1), 300);
    assert_eq!(record.fence(now, ONE, 0), ExecutionStatus::Running);
}

#[test]
fn attempt_round_trip() {
    let attempt = Attempt {
        id: AttemptId(u128::MAX),
        incarnation: 7,
        sent_ms: 8,
        weight: 9,
        idempotent: true,
        time_class: 77,
        objective_ms: 300,
        wait_limit_ms: Some(0),
    };
    assert_eq!(attempt.to_string().parse(), Ok(attempt));
}

/// Daemons that start at the same instant do not share the ids of their attempts: an inbound side
/// would take an attempt of one for a repeat of another's.
#[tokio::test(start_paused = true)]
async fn next_same_instant() {
    const DAEMONS: usize = 3_300;
    let daemons: Vec<AttemptIds> = (0..DAEMONS).map(|_| AttemptIds::default()).collect();
    let now = Instant::now();
    let mut record = Record::new(now, fence::CAPACITY);
    for ids in daemons.iter().chain(&daemons) {
        assert_eq!(record.arrive(now, ids.next(), 0), Ok(()));
    }
    assert_eq!(record.len(), 2 * DAEMONS);
}
