//! The proof that the configuration in force is the newest, and its age.

use baobabstage::daemon::{ContactCell, RuntimeLimits, member_watch_time, watch_time};
use std::time::Duration;
use test_case::test_case;
use tokio::time::{Instant, advance};

const REVOKE_TIME: Duration = Duration::from_secs(5);

const APPLY_LIMIT: Duration = Duration::from_secs(3);

fn limits(contact_limit: Option<Duration>) -> RuntimeLimits {
    RuntimeLimits {
        grace: None,
        retry_extra: 0,
        retry_window: Duration::from_secs(10),
        contact_limit,
        apply_limit: APPLY_LIMIT,
    }
}

/// Without proof, or with proof of the time allowed, keyed calls are refused.
#[test_case(None => (true, true, true); "none")]
#[test_case(Some(0) => (false, false, false); "new")]
#[test_case(Some(1_499) => (false, false, false); "before stale")]
#[test_case(Some(1_500) => (false, true, false); "stale")]
#[test_case(Some(3_500) => (false, true, true); "due")]
#[test_case(Some(4_999) => (false, true, true); "before closed")]
#[test_case(Some(5_000) => (true, true, true); "closed")]
#[tokio::test(start_paused = true)]
async fn is_closed(age_ms: Option<u64>) -> (bool, bool, bool) {
    let contact = ContactCell::default();
    if let Some(ms) = age_ms {
        contact.mark_current(Instant::now());
        advance(Duration::from_millis(ms)).await;
    }
    let limits = limits(Some(REVOKE_TIME));
    let state = (
        contact.is_closed(&limits),
        contact.is_stale(&limits),
        contact.is_due(&limits),
    );
    contact.mark_current(Instant::now());
    assert!(!contact.is_closed(&limits), "new proof opens it again");
    state
}

#[test_case(false; "without proof")]
#[test_case(true; "with old proof")]
#[tokio::test(start_paused = true)]
async fn is_closed_not_required(proven: bool) {
    let contact = ContactCell::default();
    if proven {
        contact.mark_current(Instant::now());
        advance(REVOKE_TIME * 10).await;
    }
    let limits = limits(None);
    assert!(!contact.is_closed(&limits) && !contact.is_stale(&limits) && !contact.is_due(&limits));
}

/// A late response must not make older proof count as newer.
#[tokio::test(start_paused = true)]
async fn mark_current_late() {
    let contact = ContactCell::default();
    let early = Instant::now();
    advance(Duration::from_secs(2)).await;
    contact.mark_current(Instant::now());
    contact.mark_current(early);
    assert_eq!(contact.age(), Some(Duration::ZERO));
}

/// The age at the peer and the time of the request add up; a peer without proof gives none.
#[tokio::test(start_paused = true)]
async fn mark_from_wire_age() {
    advance(Duration::from_mins(1)).await;
    let (peer, own) = (ContactCell::default(), ContactCell::default());
    let started = Instant::now();
    own.mark_from_wire(started, peer.to_wire());
    assert_eq!(own.age(), None);
    peer.mark_current(Instant::now());
    advance(Duration::from_millis(700)).await;
    let started = Instant::now();
    let age_at_peer = peer.to_wire();
    advance(Duration::from_millis(300)).await;
    own.mark_from_wire(started, age_at_peer);
    assert_eq!(own.age(), Some(Duration::from_secs(1)));
}

/// A connection that goes silent under a watch is found in the apply limit, and keyed calls may need it earlier.
#[test_case(Duration::from_secs(3), None => (1_600, 12_000); "apply limit")]
#[test_case(Duration::from_secs(1), None => (250, 4_000); "short apply limit")]
#[test_case(Duration::from_secs(3), Some(REVOKE_TIME) => (625, 12_000); "revocation time")]
#[test_case(Duration::from_mins(5), None => (30_000, 30_000); "longest wait")]
fn watch_time_limits(apply_limit: Duration, contact_limit: Option<Duration>) -> (u128, u128) {
    let limits = RuntimeLimits {
        apply_limit,
        ..limits(contact_limit)
    };
    let members = member_watch_time(&limits);
    (watch_time(&limits).as_millis(), members.as_millis())
}
