//! The registry of members, merged from the platform's listing and from peers' records.

use baobabstage::generated::mesh as wire;
use baobabstage::generated::mesh::MemberState;
use baobabstage::member::registry::{MISSING_TIME, MemberRegistry, RESTORE_EXTENSION};
use std::time::Duration;
use test_case::test_case;
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
fn buckets_same_records() {
    let now = Instant::now();
    let (mut one, mut two) = (MemberRegistry::default(), MemberRegistry::default());
    one.merge_listed(member("a", 1, 1), now);
    one.merge_reported(member("b", 1, 1), now);
    assert_ne!(one.buckets(), two.buckets());
    for record in one.records_for(&two.buckets()) {
        two.merge_reported(record, now);
    }
    assert_eq!(one.buckets(), two.buckets());
    assert!(one.records_for(&two.buckets()).is_empty());
}

/// Of a large fleet, only the records near a changed one are sent.
#[test]
fn records_for_one_change() {
    const MEMBERS: usize = 3_200;
    let now = Instant::now();
    let mut one = MemberRegistry::default();
    for index in 0..MEMBERS {
        one.merge_reported(member(&format!("vm-{index}"), 1, 1), now);
    }
    let mut two = one.clone();
    one.merge_reported(member("vm-7", 1, 2), now);
    let records = one.records_for(&two.buckets());
    assert!(records.len() < MEMBERS / 16, "{}", records.len());
    for record in records {
        two.merge_reported(record, now);
    }
    assert_eq!(one.buckets(), two.buckets());
}

/// A daemon that does not follow the listing keeps members until a peer reports their removal.
#[test]
fn expire_not_following() {
    let start = Instant::now();
    let (mut reader, mut other) = (MemberRegistry::default(), MemberRegistry::default());
    reader.merge_listing(vec![member("a", 1, 3)], start);
    other.merge_reported(member("a", 1, 3), start);
    let later = start + MISSING_TIME * 2;
    assert!(!other.expire(later));
    reader.mark_unlisted("a", start);
    assert!(reader.expire(later));
    for record in reader.records_for(&other.buckets()) {
        other.merge_reported(record, later);
    }
    assert_eq!(names(&other), Vec::<String>::new());
    assert!(!other.merge_reported(member("a", 1, 3), later));
    assert!(other.merge_reported(member("a", 1, 4), later));
}

/// A peer that wrongly removed a member does not remove it where the platform lists it.
#[test]
fn merge_reported_gone_but_listed() {
    let now = Instant::now();
    let mut registry = MemberRegistry::default();
    registry.merge_listing(vec![member("a", 1, 3)], now);
    let gone = wire::Member {
        state: MemberState::Gone.into(),
        ..member("a", 1, 3)
    };
    assert!(!registry.merge_reported(gone.clone(), now));
    assert_eq!(names(&registry), ["a"]);
    registry.stop_following();
    assert!(registry.merge_reported(gone, now));
    assert_eq!(names(&registry), Vec::<String>::new());
}

/// A daemon that begins to follow the listing gives members that only peers reported the same time
/// as those that have just lapsed.
#[test]
fn merge_listing_first() {
    let start = Instant::now();
    let mut registry = MemberRegistry::default();
    registry.merge_reported(member("a", 1, 1), start);
    let later = start + Duration::from_mins(1);
    registry.merge_listing(Vec::new(), later);
    assert!(!registry.expire(later + SECOND));
    assert!(registry.expire(later + MISSING_TIME));
}

/// After the platform came back from an older copy, daemons write their entries again one after the
/// other, as each notices it: none of them is removed meanwhile.
#[test]
fn merge_restored_missing() {
    let start = Instant::now();
    let mut registry = MemberRegistry::default();
    registry.merge_listing(vec![member("a", 1, 1), member("b", 1, 1)], start);
    registry.merge_restored(Vec::new(), start + SECOND);
    // The longest time between two renewals, and the pause between two updates of a reader.
    let noticed = start + SECOND + Duration::from_millis(3_750 + 2_000);
    assert!(!registry.expire(noticed));
    registry.merge_listed(member("a", 1, 2), noticed);
    assert!(registry.expire(start + SECOND + MISSING_TIME + RESTORE_EXTENSION));
    assert_eq!(names(&registry), ["a"]);
}

/// The copy still has the entry of a daemon that was removed since.
#[test]
fn merge_restored_removed() {
    let start = Instant::now();
    let mut registry = MemberRegistry::default();
    registry.merge_listing(vec![member("a", 1, 3)], start);
    registry.mark_unlisted("a", start);
    let later = start + MISSING_TIME;
    assert!(registry.expire(later));
    assert!(!registry.merge_restored(vec![member("a", 1, 3)], later));
    assert_eq!(names(&registry), Vec::<String>::new());
    assert!(registry.merge_listed(member("a", 1, 4), later));
    assert_eq!(names(&registry), ["a"]);
}

/// Guards against a record that hides a daemon by claiming its address: it does so only once it is found to answer
/// there, and is left out if it does not.
#[test_case(None => vec!["a", "odd"]; "not checked")]
#[test_case(Some(true) => vec!["odd"]; "answers")]
#[test_case(Some(false) => vec!["a"]; "does not answer")]
fn fleet_shared_address(answers: Option<bool>) -> Vec<&'static str> {
    let now = Instant::now();
    let mut registry = MemberRegistry::default();
    let claiming = wire::Member {
        inbound: "a:1".into(),
        ..member("odd", u64::MAX, 1)
    };
    registry.merge_listing(vec![member("a", 1, 1), member("b", 1, 1)], now);
    assert!(registry.unchecked().is_empty());
    registry.merge_reported(claiming.clone(), now);
    assert_eq!(registry.unchecked().len(), 2);
    if let Some(answers) = answers {
        registry.set_checked(&claiming, answers);
    }
    let members = names(&registry);
    let known = ["a", "odd"].into_iter();
    known
        .filter(|name| members.iter().any(|member| member == name))
        .collect()
}
