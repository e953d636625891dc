//! Which daemon writes the step record of a rollout, without a network.

use baobabstage::rollout::tenure::{Action, RENEW_INTERVAL, TAKEOVER, Tenure};
use std::time::Duration;
use test_case::test_case;
use tokio::time::{Instant, advance};

/// The first candidate begins at once, without a grace time for a decider that there never was.
#[tokio::test(start_paused = true)]
async fn next_first_candidate() {
    let mut tenure = Tenure::new(Instant::now());
    assert_eq!(tenure.next(Instant::now(), Some(0), None), Action::Read);
    tenure.note_read(Instant::now(), 0);
    assert_eq!(
        tenure.next(Instant::now(), Some(0), None),
        Action::TakeOver(0)
    );
}

/// The record of an earlier order must not delay the first candidate of the next one; the others still wait for it.
#[test_case(0, Action::TakeOver(12))]
#[test_case(1, Action::Wait)]
#[tokio::test(start_paused = true)]
async fn next_after_earlier_order(rank: u32, expected: Action) {
    let mut tenure = Tenure::new(Instant::now());
    tenure.note_read(Instant::now(), 12);
    tenure.note_earlier_order();
    assert_eq!(tenure.next(Instant::now(), Some(rank), None), expected);
    // Another daemon has written the record of this order since.
    tenure.note_read(Instant::now(), 13);
    assert_eq!(tenure.next(Instant::now(), Some(rank), None), Action::Wait);
}

/// Returns the time after which a candidate takes over a record that nobody changes.
async fn takeover(rank: u32, revision: u64) -> Duration {
    let start = Instant::now();
    let mut tenure = Tenure::new(start);
    loop {
        match tenure.next(Instant::now(), Some(rank), None) {
            Action::Read => _ = tenure.note_read(Instant::now(), revision),
            Action::TakeOver(expected) => {
                assert_eq!(expected, revision);
                return start.elapsed();
            }
            _ => advance(Duration::from_millis(50)).await,
        }
        assert!(start.elapsed() < Duration::from_secs(10));
    }
}

/// A decider that was killed must be replaced, by one candidate after the other.
#[test_case(0, TAKEOVER)]
#[test_case(1, TAKEOVER + Duration::from_millis(500))]
#[test_case(2, TAKEOVER + Duration::from_secs(1))]
#[tokio::test(start_paused = true)]
async fn next_takeover(rank: u32, expected: Duration) {
    assert_eq!(takeover(rank, 12).await, expected);
}

/// A decider that renews the record must not be replaced, whether its messages arrive or not.
#[test_case(true; "by messages")]
#[test_case(false; "by reads")]
#[tokio::test(start_paused = true)]
async fn next_renewed(messages: bool) {
    let start = Instant::now();
    let mut tenure = Tenure::new(start);
    let mut reads = 0;
    while start.elapsed() < Duration::from_secs(20) {
        let seconds = start.elapsed().as_secs();
        let renewed = messages.then(|| start + Duration::from_secs(seconds));
        match tenure.next(Instant::now(), Some(0), renewed) {
            Action::Read => {
                reads += 1;
                tenure.note_read(Instant::now(), 10 + seconds);
            }
            Action::Wait => {}
            action => panic!("{action:?} after {:?}", start.elapsed()),
        }
        advance(Duration::from_millis(100)).await;
    }
    assert!(if messages { reads == 1 } else { reads > 10 });
}

/// A decider renews its record, and one that has lost it does not decide on.
#[tokio::test(start_paused = true)]
async fn next_after_loss() {
    let mut tenure = Tenure::new(Instant::now());
    tenure.note_read(Instant::now(), 12);
    tenure.note_written(Instant::now(), 13);
    assert!(!tenure.is_due(Instant::now()));
    advance(RENEW_INTERVAL).await;
    assert!(tenure.is_due(Instant::now()));
    assert_eq!(tenure.next(Instant::now(), Some(0), None), Action::Decide);
    tenure.note_lost();
    assert_eq!(tenure.next(Instant::now(), Some(0), None), Action::Read);
    tenure.note_read(Instant::now(), 14);
    assert_eq!(tenure.next(Instant::now(), Some(0), None), Action::Wait);
}

/// A daemon that drains or has lost its backend server does not decide.
#[tokio::test(start_paused = true)]
async fn next_no_candidate() {
    let mut tenure = Tenure::new(Instant::now());
    tenure.note_written(Instant::now(), 13);
    assert_eq!(tenure.next(Instant::now(), None, None), Action::Wait);
}

/// While the platform is away, a candidate tries to read the record now and then, not all the time.
#[tokio::test(start_paused = true)]
async fn next_unread() {
    let start = Instant::now();
    let mut tenure = Tenure::new(start);
    let mut reads = 0;
    while start.elapsed() < Duration::from_secs(10) {
        match tenure.next(Instant::now(), Some(0), None) {
            Action::Read => {
                reads += 1;
                tenure.note_unread(Instant::now());
            }
            action => assert_eq!(action, Action::Wait),
        }
        advance(Duration::from_millis(20)).await;
    }
    assert!((10..=20).contains(&reads), "{reads}");
}
