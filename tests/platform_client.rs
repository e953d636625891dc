//! The client of the platform's key-value service, over links with faults.

#[path = "support/backlog.rs"]
mod backlog;

use baobabstage::platform::{Client, ClientSettings, JsonDialect, Platform as _, PlatformError};
use standin::fault::{Accept, FaultProxy, Faults};
use standin::platform::{Limits, Platform};
use standin::testbed::LOOPBACK;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const KEY: &str = "config";
const VALUE_LEN: usize = 150_000;
const TIMEOUT: Duration = Duration::from_millis(500);

/// Returns a client with a time limit of [`TIMEOUT`] whose link to the platform has faults.
async fn client(platform: &Platform, faults: Faults) -> Client {
    let (address, link) = FaultProxy::start(platform.address()).await.unwrap();
    link.set(faults);
    client_at(address, TIMEOUT)
}

fn client_at(address: SocketAddr, timeout: Duration) -> Client {
    let settings = ClientSettings { address, timeout };
    Client::new(&settings, Arc::new(JsonDialect)).unwrap()
}

/// A response that takes longer than the time limit because of its length is received, since it makes
/// progress; a retry would take as long.
#[tokio::test]
async fn list_slow_link() {
    let platform = Platform::start(LOOPBACK, Limits::default()).await.unwrap();
    platform.write_uncounted(KEY, &"x".repeat(VALUE_LEN));
    let faults = Faults {
        rate: 100_000,
        ..Faults::default()
    };
    let client = client(&platform, faults).await;
    let started = Instant::now();
    let listing = client.list(KEY, false, 0).await.unwrap();
    assert_eq!(listing.entries[0].value.len(), VALUE_LEN);
    assert!(started.elapsed() > 2 * TIMEOUT, "{:?}", started.elapsed());
}

/// A service that accepts the connection and never responds is given up at the time limit.
#[tokio::test]
async fn list_silent_service() {
    let platform = Platform::start(LOOPBACK, Limits::default()).await.unwrap();
    let faults = Faults {
        accept: Accept::Silent,
        ..Faults::default()
    };
    let client = client(&platform, faults).await;
    let started = Instant::now();
    let result = client.list(KEY, false, 0).await;
    assert!(matches!(result, Err(PlatformError::Unavailable(_))));
    assert!(started.elapsed() < 2 * TIMEOUT, "{:?}", started.elapsed());
}

/// A connection that opens late, but within the time limit of a call, is used.
#[tokio::test]
async fn list_slow_connect() {
    let platform = Platform::start(LOOPBACK, Limits::default()).await.unwrap();
    platform.write_uncounted(KEY, "x");
    let address = backlog::listen_late(platform.address()).await;
    let client = client_at(address, 5 * TIMEOUT);
    let listing = client.list(KEY, false, 0).await.unwrap();
    assert_eq!(listing.entries.len(), 1);
}
