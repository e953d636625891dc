//! Who waits and who is refused under the load patterns of heavy days.

use baobabstage::call::admission::{Admission, Decision, Demand, Limits, Reason, Ticket};
use std::time::Duration;
use tokio::time::Instant;

const SLOTS: u32 = 4;
const WORK: Duration = Duration::from_millis(100);
const OBJECTIVE: Duration = Duration::from_millis(300);
const DEADLINE: Duration = Duration::from_millis(800);

fn demand(now: Instant, weight: u32) -> Demand {
    Demand {
        objective: Some(now + OBJECTIVE),
        ..Demand::new(weight, now + DEADLINE)
    }
}

/// Returns a state with all slots taken by calls whose times are known.
fn full(now: Instant) -> Admission {
    let mut admission = Admission::new(Limits {
        slots: SLOTS,
        queue: 1_000,
    });
    for _ in 0..SLOTS {
        assert_eq!(admission.offer(now, &demand(now, 1)).0, Decision::Run);
        admission.finish(now, 0, Some(WORK));
    }
    for _ in 0..SLOTS {
        assert_eq!(admission.offer(now, &demand(now, 1)).0, Decision::Run);
    }
    admission
}

fn waits(decision: Decision) -> Option<Ticket> {
    match decision {
        Decision::Wait(ticket) => Some(ticket),
        _ => None,
    }
}

/// A burst of three times the slots: what is taken ends within its objective, the rest is refused
/// at once with a time to come back that grows with the backlog.
#[test]
fn offer_burst_keeps_the_queue_as_long_as_the_objective() {
    let now = Instant::now();
    let mut admission = full(now);
    let idle = admission.retry_after();
    let decisions: Vec<Decision> = (0..30)
        .map(|_| admission.offer(now, &demand(now, 1)).0)
        .collect();
    let queued = decisions.iter().filter(|d| waits(**d).is_some()).count();
    let wait = WORK * u32::try_from(queued).unwrap() / SLOTS;
    assert!(queued > 0);
    assert!(wait + WORK <= OBJECTIVE, "{queued} wait");
    let refused = decisions
        .iter()
        .filter(|d| **d == Decision::Refuse(Reason::Full));
    assert_eq!(refused.count(), 30 - queued);
    assert!(admission.retry_after() > idle);
    assert!(admission.retry_after() >= wait);
}

/// Urgent calls wait for no less urgent ones, however long the queue is.
#[test]
fn offer_burst_of_less_urgent_calls_delays_no_urgent_one() {
    let now = Instant::now();
    let mut admission = full(now);
    while waits(admission.offer(now, &demand(now, 1)).0).is_some() {}
    let urgent = waits(admission.offer(now, &demand(now, 9)).0).unwrap();
    let turn = admission.finish(now + Duration::from_millis(10), 0, Some(WORK));
    assert_eq!(turn.start, [urgent]);
}

/// The upstream turned slow while calls waited: those that are late anyway let the others go first.
#[test]
fn finish_slow_upstream_serves_calls_that_are_still_in_time_first() {
    let now = Instant::now();
    let mut admission = full(now);
    let old = waits(admission.offer(now, &demand(now, 1)).0).unwrap();
    let later = now + Duration::from_millis(250);
    let young = waits(admission.offer(later, &demand(later, 1)).0).unwrap();
    let turn = admission.finish(later, 0, Some(WORK));
    assert_eq!(turn.start, [young]);
    let turn = admission.finish(later, 0, Some(WORK));
    assert_eq!(turn.start, [old]);
}

/// A call that would not end before its deadline is refused while it waits, not at its deadline.
#[test]
fn offer_backlog_refuses_what_urgent_calls_have_pushed_back_too_far() {
    let now = Instant::now();
    let mut admission = full(now);
    let short = Demand {
        objective: None,
        ..Demand::new(1, now + Duration::from_millis(160))
    };
    let ticket = waits(admission.offer(now, &short).0).unwrap();
    let mut refused = Vec::new();
    for _ in 0..8 {
        refused.extend(admission.offer(now, &demand(now, 9)).1.refuse);
    }
    assert_eq!(refused, [(ticket, Reason::Late)]);
}

/// While another upstream may have a free slot, a call does not queue at a busy one.
#[test]
fn offer_busy_sends_a_patient_call_elsewhere() {
    let now = Instant::now();
    let mut admission = full(now);
    let patient = Demand {
        patience: Some(Duration::ZERO),
        ..demand(now, 1)
    };
    assert_eq!(
        admission.offer(now, &patient).0,
        Decision::Refuse(Reason::Busy)
    );
    assert_eq!(admission.load().queued, 0);
    assert!(waits(admission.offer(now, &demand(now, 1)).0).is_some());
}

/// Long and short kinds of calls at one service: the wait is that of the kinds in the queue.
#[test]
fn offer_mixed_kinds_are_told_apart() {
    let now = Instant::now();
    let mut admission = full(now);
    for _ in 0..50 {
        admission.offer(now, &demand(now, 1));
        admission.finish(now, 7, Some(WORK * 10));
        admission.offer(now, &demand(now, 1));
        admission.finish(now, 8, Some(WORK / 10));
    }
    assert!(admission.class_time(7) > WORK * 9);
    assert!(admission.class_time(8) < WORK / 5);
    let long = Demand {
        class: 7,
        ..demand(now, 1)
    };
    let (decision, _) = admission.offer(now, &long);
    assert!(waits(decision).is_none(), "{decision:?}");
}
