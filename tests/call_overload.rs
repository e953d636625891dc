//! Queueing and load shedding under bursts, mixed priorities and slow backend servers.

use baobabstage::call::admission::{Admission, AdmissionRequest, Decision, Limits, Reason, Ticket};
use std::time::Duration;
use tokio::time::Instant;

const SLOTS: u32 = 4;
const WORK: Duration = Duration::from_millis(100);
const OBJECTIVE: Duration = Duration::from_millis(300);
const DEADLINE: Duration = Duration::from_millis(800);

fn request(now: Instant, weight: u32) -> AdmissionRequest {
    AdmissionRequest {
        objective: Some(now + OBJECTIVE),
        ..AdmissionRequest::new(weight, now + DEADLINE)
    }
}

/// Returns a state with all slots in use and a measured service time.
fn full(now: Instant) -> Admission {
    let mut admission = Admission::new(Limits {
        slots: SLOTS,
        queue: 1_000,
    });
    for _ in 0..SLOTS {
        assert_eq!(admission.offer(now, &request(now, 1)).0, Decision::Run);
        admission.finish(now, 0, Some(WORK));
    }
    for _ in 0..SLOTS {
        assert_eq!(admission.offer(now, &request(now, 1)).0, Decision::Run);
    }
    admission
}

fn ticket(decision: Decision) -> Option<Ticket> {
    match decision {
        Decision::Wait(ticket) => Some(ticket),
        _ => None,
    }
}

/// A burst exceeds the slots many times over: queued calls must end within their objective; the
/// rest is refused at once, with a `Retry-After` that grows with the backlog.
#[test]
fn offer_burst() {
    let now = Instant::now();
    let mut admission = full(now);
    let idle = admission.retry_after();
    let decisions: Vec<Decision> = (0..30)
        .map(|_| admission.offer(now, &request(now, 1)).0)
        .collect();
    let queued = decisions.iter().filter(|d| ticket(**d).is_some()).count();
    let wait = WORK * u32::try_from(queued).unwrap() / SLOTS;
    assert!(queued > 0);
    assert!(wait + WORK <= OBJECTIVE, "{queued} queued");
    let refused = decisions
        .iter()
        .filter(|d| **d == Decision::Refuse(Reason::Full));
    assert_eq!(refused.count(), 30 - queued);
    assert!(admission.retry_after() > idle);
    assert!(admission.retry_after() >= wait);
}

/// Calls of greater weight must not wait for calls of smaller weight, however long the queue is.
#[test]
fn offer_burst_priority() {
    let now = Instant::now();
    let mut admission = full(now);
    while ticket(admission.offer(now, &request(now, 1)).0).is_some() {}
    let urgent = ticket(admission.offer(now, &request(now, 9)).0).unwrap();
    let update = admission.finish(now + Duration::from_millis(10), 0, Some(WORK));
    assert_eq!(update.start, [urgent]);
}

/// The backend server slows down while calls wait: calls that miss their objective anyway must not
/// delay those that can still meet it.
#[test]
fn finish_slow_backend() {
    let now = Instant::now();
    let mut admission = full(now);
    let late = ticket(admission.offer(now, &request(now, 1)).0).unwrap();
    let later = now + Duration::from_millis(250);
    let in_time = ticket(admission.offer(later, &request(later, 1)).0).unwrap();
    let update = admission.finish(later, 0, Some(WORK));
    assert_eq!(update.start, [in_time]);
    let update = admission.finish(later, 0, Some(WORK));
    assert_eq!(update.start, [late]);
}

/// A queued call that can no longer meet its deadline is refused at once, not at its deadline.
#[test]
fn offer_backlog_deadline() {
    let now = Instant::now();
    let mut admission = full(now);
    let short = AdmissionRequest {
        objective: None,
        ..AdmissionRequest::new(1, now + Duration::from_millis(160))
    };
    let ticket = ticket(admission.offer(now, &short).0).unwrap();
    let mut refused = Vec::new();
    for _ in 0..8 {
        refused.extend(admission.offer(now, &request(now, 9)).1.refuse);
    }
    assert_eq!(refused, [(ticket, Reason::Late)]);
}

/// A call with a wait limit of zero must not queue, as another upstream may have a free slot.
#[test]
fn offer_wait_limit() {
    let now = Instant::now();
    let mut admission = full(now);
    let limited = AdmissionRequest {
        wait_limit: Some(Duration::ZERO),
        ..request(now, 1)
    };
    assert_eq!(
        admission.offer(now, &limited).0,
        Decision::Refuse(Reason::Busy)
    );
    assert_eq!(admission.load().queued, 0);
    assert!(ticket(admission.offer(now, &request(now, 1)).0).is_some());
}

/// A service has long and short kinds of calls: the expected wait depends on the kinds in
/// the queue.
#[test]
fn offer_mixed_kinds() {
    let now = Instant::now();
    let mut admission = full(now);
    for _ in 0..50 {
        admission.offer(now, &request(now, 1));
        admission.finish(now, 7, Some(WORK * 10));
        admission.offer(now, &request(now, 1));
        admission.finish(now, 8, Some(WORK / 10));
    }
    assert!(admission.class_time(7) > WORK * 9);
    assert!(admission.class_time(8) < WORK / 5);
    let long = AdmissionRequest {
        time_class: 7,
        ..request(now, 1)
    };
    let (decision, _) = admission.offer(now, &long);
    assert!(ticket(decision).is_none(), "{decision:?}");
}

/// A backend server in need states a tenth of the rate at which calls arrive: in every window of four
/// seconds it gets at most what it stated and the burst, the most urgent calls first, and the rest is
/// refused at once.
#[test]
fn offer_rate_limited_burst() {
    const RATE: f64 = 9.0;
    const WINDOW: Duration = Duration::from_secs(4);
    const STEP: Duration = Duration::from_millis(11);
    let start = Instant::now();
    let mut admission = Admission::new(Limits {
        slots: 9,
        queue: 100,
    });
    admission.set_rate(start, Some(RATE));
    let mut starts = Vec::new();
    let mut weights = std::collections::BTreeMap::new();
    let (mut urgent, mut refused) = (0, 0);
    for step in 0..1_000_u32 {
        let now = start + STEP * step;
        let mut began = admission.advance(now).start;
        let weight = 1 + step % 2;
        match admission.offer(now, &request(now, weight)) {
            (Decision::Run, _) => {
                starts.push(now);
                urgent += weight - 1;
                admission.finish(now, 0, Some(WORK));
            }
            (Decision::Wait(ticket), update) => {
                weights.insert(ticket, weight);
                began.extend(update.start);
            }
            (Decision::Refuse(reason), _) => {
                assert_eq!(reason, Reason::RateLimited);
                refused += 1;
            }
        }
        for ticket in began {
            starts.push(now);
            urgent += weights[&ticket] - 1;
            admission.finish(now, 0, Some(WORK));
        }
    }
    for (place, first) in starts.iter().enumerate() {
        let window = starts[place..].iter().filter(|at| **at < *first + WINDOW);
        let count = u32::try_from(window.count()).unwrap();
        assert!(
            f64::from(count) <= RATE * WINDOW.as_secs_f64() + 3.0,
            "{count}"
        );
    }
    let all = u32::try_from(starts.len()).unwrap();
    assert!(f64::from(all) > RATE * 11.0 * 0.9, "{all} calls");
    assert!(urgent * 10 > all * 9, "{urgent} urgent calls of {all}");
    assert!(refused > 800, "{refused} refused");
}
