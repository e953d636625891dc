//! The registry of members, merged from the platform's listing and from peers' records.

use baobabstage::generated::mesh as wire;
use baobabstage::generated::mesh::MemberState;
use baobabstage::member::book::{Book, MISSING_TIME};
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

fn names(registry: &Book) -> Vec<String> {
    registry.fleet().members().keys().cloned().collect()
}

#[test]
fn list_all_missing() {
    let start = Instant::now();
    let mut registry = Book::default();
    registry.list_all(vec![member("a", 1, 1), member("b", 1, 1)], start);
    // The platform was unreachable, and the leases of all entries have expired meanwhile.
    let back = start + Duration::from_mins(1);
    registry.list_all(Vec::new(), back);
    assert!(!registry.expire(back + SECOND));
    assert_eq!(names(&registry), ["a", "b"]);
    // One entry is written again, the other is not.
    registry.list(member("a", 1, 1), back + SECOND);
    assert!(registry.expire(back + MISSING_TIME));
    assert_eq!(names(&registry), ["a"]);
}

#[test]
fn merge_removed() {
    let start = Instant::now();
    let mut registry = Book::default();
    registry.list(member("a", 1, 3), start);
    registry.unlist("a", start);
    let later = start + MISSING_TIME;
    assert!(registry.expire(later));
    for old in [member("a", 1, 2), member("a", 1, 3)] {
        assert!(!registry.merge(old, later));
    }
    assert_eq!(names(&registry), Vec::<String>::new());
    assert!(registry.merge(member("a", 2, 1), later));
    assert_eq!(names(&registry), ["a"]);
}

/// The platform refuses one daemon and serves the others.
#[test]
fn merge_unlisted() {
    let start = Instant::now();
    let mut registry = Book::default();
    registry.list(member("a", 1, 1), start);
    registry.unlist("a", start);
    let mut now = start;
    for sequence in 2..20 {
        now += SECOND;
        registry.merge(member("a", 1, sequence), now);
        assert!(!registry.expire(now));
    }
    assert!(registry.expire(now + MISSING_TIME));
}

#[test]
fn list_older_record() {
    let now = Instant::now();
    let mut registry = Book::default();
    let draining = wire::Member {
        state: MemberState::Draining.into(),
        ..member("a", 1, 2)
    };
    registry.merge(draining, now);
    assert!(!registry.list(member("a", 1, 1), now));
    assert_eq!(registry.fleet().upstreams("certs").len(), 0);
}

#[test]
fn digest_same_records() {
    let now = Instant::now();
    let (mut one, mut two) = (Book::default(), Book::default());
    one.list(member("a", 1, 1), now);
    one.merge(member("b", 1, 1), now);
    assert_ne!(one.digest(), two.digest());
    for record in one.records() {
        two.merge(record, now);
    }
    assert_eq!(one.digest(), two.digest());
}
