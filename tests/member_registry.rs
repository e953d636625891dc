//! The registry of members, merged from the platform's listing and from peers' records.

use baobabstage::generated::mesh as wire;
use baobabstage::generated::mesh::MemberState;
use baobabstage::member::registry::{MISSING_TIME, MemberRegistry};
use std::time::Duration;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

fn member(name: &str, incarnation: u64, sequence: u64) -> wire::Member {
    wire::Member {
        name: name.into(),
        incarnation,
        sequence,
        service: "certs".into(),
        inbound: format!("{name}:1"),
        state: MemberState::Ready.into(),
        ..wire::Member::default()
    }
}

fn names(registry: &MemberRegistry) -> Vec<String> {
    registry.fleet().members().keys().cloned().collect()
}

#[test]
fn merge_listing_missing() {
    let start = Instant::now();
    let mut registry = MemberRegistry::default();
    registry.merge_listing(vec![member("a", 1, 1), member("b", 1, 1)], start);
    // The platform was unreachable, and the leases of all entries have expired meanwhile.
    let reconnected = start + Duration::from_mins(1);
    registry.merge_listing(Vec::new(), reconnected);
    assert!(!registry.expire(reconnected + SECOND));
    assert_eq!(names(&registry), ["a", "b"]);
    // One entry is written again, the other is not.
    registry.merge_listed(member("a", 1, 1), reconnected + SECOND);
    assert!(registry.expire(reconnected + MISSING_TIME));
    assert_eq!(names(&registry), ["a"]);
}

#[test]
fn merge_reported_removed() {
    let start = Instant::now();
    let mut registry = MemberRegistry::default();
    registry.merge_listed(member("a", 1, 3), start);
    registry.mark_unlisted("a", start);
    let later = start + MISSING_TIME;
    assert!(registry.expire(later));
    for old in [member("a", 1, 2), member("a", 1, 3)] {
        assert!(!registry.merge_reported(old, later));
    }
    assert_eq!(names(&registry), Vec::<String>::new());
    assert!(registry.merge_reported(member("a", 2, 1), later));
    assert_eq!(names(&registry), ["a"]);
}

/// The platform refuses one daemon and serves the others.
#[test]
fn merge_reported_unlisted() {
    let start = Instant::now();
    let mut registry = MemberRegistry::default();
    registry.merge_listed(member("a", 1, 1), start);
    registry.mark_unlisted("a", start);
    let mut now = start;
    for sequence in 2..20 {
        now += SECOND;
        registry.merge_reported(member("a", 1, sequence), now);
        assert!(!registry.expire(now));
    }
    assert!(registry.expire(now + MISSING_TIME));
}

#[test]
fn merge_listed_older() {
    let now = Instant::now();
    let mut registry = MemberRegistry::default();
    let draining = wire::Member {
        state: MemberState::Draining.into(),
        ..member("a", 1, 2)
    };
    registry.merge_reported(draining, now);
    assert!(!registry.merge_listed(member("a", 1, 1), now));
    assert_eq!(registry.fleet().upstreams("certs").len(), 0);
}

#[test]
fn digest_same_records() {
    let now = Instant::now();
    let (mut one, mut two) = (MemberRegistry::default(), MemberRegistry::default());
    one.merge_listed(member("a", 1, 1), now);
    one.merge_reported(member("b", 1, 1), now);
    assert_ne!(one.digest(), two.digest());
    for record in one.records() {
        two.merge_reported(record, now);
    }
    assert_eq!(one.digest(), two.digest());
}
