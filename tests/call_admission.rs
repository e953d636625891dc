//! Admission control: priorities, deadlines, slots, and callers that disconnect.

use baobabstage::call::admission::{
    Admission, AdmissionRequest, Decision, Limits, QueueUpdate, Reason,
};
use baobabstage::call::gate::Gate;
use std::time::Duration;
use test_case::test_case;
use tokio::time::Instant;

const MINUTE: Duration = Duration::from_mins(1);

fn busy(now: Instant, queue: u32) -> Admission {
    let mut admission = Admission::new(Limits { slots: 1, queue });
    assert_eq!(
        admission
            .offer(now, &AdmissionRequest::new(1, now + MINUTE))
            .0,
        Decision::Run
    );
    admission.finish(now, 0, Some(Duration::from_millis(100)));
    assert_eq!(
        admission
            .offer(now, &AdmissionRequest::new(1, now + MINUTE))
            .0,
        Decision::Run
    );
    admission
}

#[test]
fn offer_priority_order() {
    let now = Instant::now();
    let mut admission = busy(now, 2);
    let (Decision::Wait(heavy), _) =
        admission.offer(now, &AdmissionRequest::new(100, now + MINUTE))
    else {
        panic!("call is not queued");
    };
    let (Decision::Wait(light), _) = admission.offer(now, &AdmissionRequest::new(10, now + MINUTE))
    else {
        panic!("call is not queued");
    };
    let (decision, _) = admission.offer(now, &AdmissionRequest::new(10, now + MINUTE));
    assert_eq!(decision, Decision::Refuse(Reason::Full));
    let (decision, update) = admission.offer(now, &AdmissionRequest::new(50, now + MINUTE));
    let Decision::Wait(middle) = decision else {
        panic!("not queued in place of a call of smaller weight");
    };
    assert_eq!(update.refuse, [(light, Reason::Full)]);
    assert_eq!(admission.finish(now, 0, None).start, [heavy]);
    assert_eq!(admission.finish(now, 0, None).start, [middle]);
}

#[test]
fn offer_deadline() {
    let now = Instant::now();
    let mut admission = busy(now, 10);
    let deadline = now + Duration::from_millis(150);
    let (decision, _) = admission.offer(now, &AdmissionRequest::new(1, deadline));
    assert_eq!(decision, Decision::Refuse(Reason::Late));
    let (decision, _) = admission.offer(
        now,
        &AdmissionRequest::new(1, now + Duration::from_millis(250)),
    );
    assert!(matches!(decision, Decision::Wait(_)));
}

#[test]
fn finish_deadline() {
    let now = Instant::now();
    let mut admission = busy(now, 10);
    let (Decision::Wait(first), _) = admission.offer(
        now,
        &AdmissionRequest::new(1, now + Duration::from_millis(300)),
    ) else {
        panic!("call is not queued");
    };
    let (Decision::Wait(second), _) = admission.offer(now, &AdmissionRequest::new(1, now + MINUTE))
    else {
        panic!("call is not queued");
    };
    let update = admission.finish(now + Duration::from_millis(250), 0, None);
    let expected = QueueUpdate {
        start: vec![second],
        refuse: vec![(first, Reason::Late)],
    };
    assert_eq!(update, expected);
}

#[test_case(1; "one slot")]
#[test_case(9; "nine slots")]
fn offer_slot_limit(slots: u32) {
    let now = Instant::now();
    let mut admission = Admission::new(Limits {
        slots,
        queue: 1_000,
    });
    for weight in 0..100 {
        let _ = admission.offer(now, &AdmissionRequest::new(weight, now + MINUTE));
        assert!(admission.load().running <= slots);
    }
    for _ in 0..100 {
        admission.finish(now, 0, None);
        assert!(admission.load().running <= slots);
    }
    assert_eq!(admission.load().running, 0);
}

#[tokio::test(start_paused = true)]
async fn admit_refusal() {
    let gate = Gate::default();
    gate.set_limits(Limits { slots: 1, queue: 1 });
    let deadline = Instant::now() + MINUTE;
    let permit = gate
        .admit(&AdmissionRequest::new(1, deadline))
        .await
        .unwrap();
    let light = tokio::spawn({
        let gate = gate.clone();
        async move {
            gate.admit(&AdmissionRequest::new(1, deadline))
                .await
                .map(drop)
        }
    });
    tokio::task::yield_now().await;
    let heavy = tokio::spawn({
        let gate = gate.clone();
        async move {
            gate.admit(&AdmissionRequest::new(2, deadline))
                .await
                .map(drop)
        }
    });
    let started = Instant::now();
    let rejected = light.await.unwrap().unwrap_err();
    assert_eq!(rejected.reason, Reason::Full);
    // There is no service time sample yet, so the least `Retry-After` applies.
    assert_eq!(rejected.retry_after, Duration::from_millis(50));
    assert_eq!(started.elapsed(), Duration::ZERO);
    drop(permit);
    heavy.await.unwrap().unwrap();
    assert_eq!(gate.load().running, 0);
}

#[tokio::test(start_paused = true)]
async fn admit_disconnect() {
    let gate = Gate::default();
    gate.set_limits(Limits { slots: 1, queue: 4 });
    let deadline = Instant::now() + MINUTE;
    let permit = gate
        .admit(&AdmissionRequest::new(1, deadline))
        .await
        .unwrap();
    let request = AdmissionRequest::new(1, deadline);
    let waiting = tokio::time::timeout(Duration::from_secs(1), gate.admit(&request));
    assert!(waiting.await.is_err());
    assert_eq!(gate.load().queued, 0);
    drop(permit);
    drop(
        gate.admit(&AdmissionRequest::new(1, deadline))
            .await
            .unwrap(),
    );
    assert_eq!(gate.load().running, 0);
}

/// No call ends while the queue waits for the rate limit: it is served by time alone.
#[tokio::test(start_paused = true)]
async fn admit_rate_limited() {
    let gate = Gate::default();
    gate.set_limits(Limits {
        slots: 10,
        queue: 10,
    });
    gate.set_rate(Some(2.0));
    let start = Instant::now();
    let request = AdmissionRequest::new(1, start + MINUTE);
    let mut permits = Vec::new();
    for _ in 0..3 {
        permits.push(gate.admit(&request).await.unwrap());
    }
    assert!(start.elapsed() >= Duration::from_secs(1));
    assert!(start.elapsed() < Duration::from_millis(1_100));
    gate.set_rate(None);
    permits.push(gate.admit(&request).await.unwrap());
    assert!(start.elapsed() < Duration::from_millis(1_100));
}

/// Slots become free while there is no token, and later a token arrives while no call ends.
#[tokio::test(start_paused = true)]
async fn admit_rate_limited_slots_full() {
    let gate = Gate::default();
    gate.set_limits(Limits {
        slots: 1,
        queue: 10,
    });
    gate.set_rate(Some(1.0));
    let start = Instant::now();
    let request = AdmissionRequest::new(1, start + MINUTE);
    let first = gate.admit(&request).await.unwrap();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let waiting = async |gate: Gate| gate.admit(&request).await.unwrap();
    let (second, third) = (waiting(gate.clone()), waiting(gate.clone()));
    let end = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        drop(first);
    };
    let second = async { drop(second.await) };
    let third = async { drop(third.await) };
    tokio::join!(end, second, third);
    assert!(start.elapsed() >= Duration::from_millis(2_500));
    assert!(start.elapsed() < Duration::from_millis(2_700));
}

/// A limit is raised while a call waits for the token of the lower one: it starts by the new rate.
#[tokio::test(start_paused = true)]
async fn admit_rate_limit_raised() {
    let gate = Gate::default();
    gate.set_limits(Limits {
        slots: 10,
        queue: 10,
    });
    gate.set_rate(Some(0.5));
    let start = Instant::now();
    let request = AdmissionRequest::new(1, start + MINUTE);
    let _first = gate.admit(&request).await.unwrap();
    let raise = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        gate.set_rate(Some(20.0));
    };
    let (second, ()) = tokio::join!(gate.admit(&request), raise);
    assert!(second.is_ok());
    assert!(
        start.elapsed() <= Duration::from_millis(160),
        "{:?}",
        start.elapsed()
    );
}

/// Clients call at five times the rate that the backend server states: a call that gets its token just
/// before its deadline would be cut off by it, so calls start early enough or not at all.
#[tokio::test(start_paused = true)]
async fn admit_above_rate_limit() {
    const TIME: Duration = Duration::from_millis(500);
    const SERVICE_TIME: Duration = Duration::from_millis(50);
    let gate = Gate::default();
    gate.set_limits(Limits {
        slots: 4,
        queue: 512,
    });
    gate.set_rate(Some(10.0));
    let mut calls = tokio::task::JoinSet::new();
    for _ in 0..100 {
        let gate = gate.clone();
        calls.spawn(async move {
            let deadline = Instant::now() + TIME;
            let mut permit = gate.admit(&AdmissionRequest::new(1, deadline)).await.ok()?;
            permit.mark_used();
            let left = deadline.saturating_duration_since(Instant::now());
            tokio::time::sleep(SERVICE_TIME / 50).await;
            Some(left)
        });
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let started: Vec<_> = calls.join_all().await.into_iter().flatten().collect();
    assert!(started.len() >= 20, "{} calls", started.len());
    assert!(
        started.iter().all(|left| *left >= SERVICE_TIME),
        "{started:?}"
    );
}
