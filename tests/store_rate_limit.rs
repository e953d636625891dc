//! The rate limit of a process for calls to the platform.

#[allow(dead_code, reason = "each test file uses a part")]
#[path = "store/fake.rs"]
mod fake;

use baobabstage::platform::{CALLS_PER_SECOND, Platform, PlatformError, RateLimitedPlatform};
use fake::Fake;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

fn platform(wait_limit: Duration) -> RateLimitedPlatform {
    RateLimitedPlatform::new(Arc::new(Fake::default()), wait_limit)
}

#[tokio::test(start_paused = true)]
async fn get_rate_limited() {
    let platform = platform(Duration::from_secs(1));
    let start = Instant::now();
    for _ in 0..CALLS_PER_SECOND {
        platform.get("head").await.unwrap();
    }
    assert_eq!(start.elapsed(), Duration::ZERO);
    platform.get("head").await.unwrap();
    let interval = Duration::from_secs(1) / CALLS_PER_SECOND;
    assert!(start.elapsed() >= interval, "{:?}", start.elapsed());
}

#[tokio::test(start_paused = true)]
async fn swap_over_limit() {
    let platform = platform(Duration::from_millis(1));
    for _ in 0..CALLS_PER_SECOND {
        platform.get("head").await.unwrap();
    }
    let result = platform.swap("key", 0, Some("value".into()), 0).await;
    assert!(
        matches!(result, Err(PlatformError::Unavailable(_))),
        "{result:?}"
    );
    tokio::time::advance(Duration::from_secs(1)).await;
    assert_eq!(platform.get("key").await, Ok(None));
}
