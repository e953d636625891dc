//! Members by the platform's listing and by what peers tell.

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

fn names(book: &Book) -> Vec<String> {
    book.fleet().members().keys().cloned().collect()
}

#[test]
fn list_all_keeps_what_is_missing_for_a_while() {
    let start = Instant::now();
    let mut book = Book::default();
    book.list_all(vec![member("a", 1, 1), member("b", 1, 1)], start);
    // The platform was away, and every entry has lapsed meanwhile.
    let back = start + Duration::from_mins(1);
    book.list_all(Vec::new(), back);
    assert!(!book.expire(back + SECOND));
    assert_eq!(names(&book), ["a", "b"]);
    // One is written again, the other not.
    book.list(member("a", 1, 1), back + SECOND);
    assert!(book.expire(back + MISSING_TIME));
    assert_eq!(names(&book), ["a"]);
}

#[test]
fn hear_does_not_bring_back_what_has_gone() {
    let start = Instant::now();
    let mut book = Book::default();
    book.list(member("a", 1, 3), start);
    book.unlist("a", start);
    let later = start + MISSING_TIME;
    assert!(book.expire(later));
    for old in [member("a", 1, 2), member("a", 1, 3)] {
        assert!(!book.hear(old, later));
    }
    assert_eq!(names(&book), Vec::<String>::new());
    assert!(book.hear(member("a", 2, 1), later));
    assert_eq!(names(&book), ["a"]);
}

/// The platform turns one daemon away and serves the others.
#[test]
fn hear_keeps_a_member_that_the_platform_turns_away() {
    let start = Instant::now();
    let mut book = Book::default();
    book.list(member("a", 1, 1), start);
    book.unlist("a", start);
    let mut now = start;
    for sequence in 2..20 {
        now += SECOND;
        book.hear(member("a", 1, sequence), now);
        assert!(!book.expire(now));
    }
    assert!(book.expire(now + MISSING_TIME));
}

#[test]
fn list_takes_no_older_record() {
    let now = Instant::now();
    let mut book = Book::default();
    let draining = wire::Member {
        state: MemberState::Draining.into(),
        ..member("a", 1, 2)
    };
    book.hear(draining, now);
    assert!(!book.list(member("a", 1, 1), now));
    assert_eq!(book.fleet().upstreams("certs").len(), 0);
}

#[test]
fn digest_agrees_for_the_same_records() {
    let now = Instant::now();
    let (mut one, mut two) = (Book::default(), Book::default());
    one.list(member("a", 1, 1), now);
    one.hear(member("b", 1, 1), now);
    assert_ne!(one.digest(), two.digest());
    for record in one.records() {
        two.hear(record, now);
    }
    assert_eq!(one.digest(), two.digest());
}
