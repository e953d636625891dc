//! The decision whether a call that arrives during a planned stop is accepted.

use baobabstage::call::durations::{CallDurations, OngoingCall};
use std::sync::Arc;
use std::time::Duration;
use test_case::test_case;
use tokio::time::{Instant, advance};

const CLASS: u32 = 1;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn begin(durations: &Arc<CallDurations>) -> OngoingCall {
    durations.begin(Instant::now(), CLASS)
}

/// Tests whether a call with a time limit of 30 s is accepted.
fn is_accepted(durations: &CallDurations, left: Duration) -> bool {
    durations.ends_within(Instant::now(), CLASS, ms(30_000), left)
}

async fn run(durations: &Arc<CallDurations>, time: Duration) {
    let call = begin(durations);
    advance(time).await;
    drop(call);
}

/// A call whose own time limit ends before the process does is accepted whatever is known.
#[test_case(1_000, true; "within")]
#[test_case(1_001, false; "beyond")]
#[tokio::test(start_paused = true)]
async fn ends_within_limit(limit_ms: u64, accepted: bool) {
    let durations = CallDurations::default();
    let now = Instant::now();
    assert_eq!(
        durations.ends_within(now, CLASS, ms(limit_ms), ms(1_000)),
        accepted
    );
}

/// Short calls are accepted almost to the end, and the longest of them decides.
#[tokio::test(start_paused = true)]
async fn ends_within_longest() {
    let durations = Arc::new(CallDurations::default());
    run(&durations, ms(20)).await;
    assert!(is_accepted(&durations, ms(30)));
    run(&durations, ms(1_000)).await;
    run(&durations, ms(20)).await;
    assert!(!is_accepted(&durations, ms(1_499)));
    assert!(is_accepted(&durations, ms(1_500)));
}

/// A mix of short and long calls: while a call in progress is older than all that have ended, the class has no
/// known limit. The first sample, or the average, would be far too short.
#[tokio::test(start_paused = true)]
async fn ends_within_older_call() {
    let durations = Arc::new(CallDurations::default());
    run(&durations, ms(20)).await;
    let long = begin(&durations);
    advance(ms(21)).await;
    run(&durations, ms(10)).await;
    assert!(!is_accepted(&durations, ms(5_000)));
    advance(ms(3_000)).await;
    drop(long);
    assert!(!is_accepted(&durations, ms(4_000)));
    assert!(is_accepted(&durations, ms(5_000)));
}

/// A process that has just started knows nothing of its calls.
#[tokio::test(start_paused = true)]
async fn ends_within_without_samples() {
    let durations = Arc::new(CallDurations::default());
    assert!(!is_accepted(&durations, ms(5_000)));
    let _call = begin(&durations);
    assert!(!is_accepted(&durations, ms(5_000)));
}

/// A slow phase is forgotten after two windows, and one window does not forget it.
#[test_case(29, false; "same_window")]
#[test_case(45, false; "next_window")]
#[test_case(95, true; "forgotten")]
#[tokio::test(start_paused = true)]
async fn ends_within_after(seconds: u64, accepted: bool) {
    let durations = Arc::new(CallDurations::default());
    run(&durations, ms(4_000)).await;
    for _ in 0..seconds {
        run(&durations, ms(1_000)).await;
    }
    assert_eq!(is_accepted(&durations, ms(2_000)), accepted);
}
