//! The leases of relay slots in the platform.
//!
//! A lease only spares work: it says which daemons read the platform and take children. No harm
//! comes from two daemons that both believe to hold one.

use super::seek::SLOTS;
use crate::generated::mesh as wire;
use crate::platform::{Platform, PlatformError, Swap};
use prost::Message;
use std::time::Duration;

/// The prefix of the keys of relay slots.
pub const PREFIX: &str = "relay/";

/// The time after which a lease lapses unless it is renewed.
pub const LEASE_TTL: Duration = Duration::from_secs(5);

/// The time between renewals.
pub const RENEW_EVERY: Duration = Duration::from_millis(1_500);

/// A lease that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// The relay slot.
    pub slot: u32,
    lease: u64,
}

/// Takes a vacant slot; `None` when another daemon holds it.
///
/// # Errors
///
/// Fails when the platform does not answer.
pub async fn acquire(
    platform: &dyn Platform,
    record: &wire::RelayRecord,
) -> Result<Option<Held>, PlatformError> {
    let key = key(&record.domain, record.slot);
    let value = record.encode_to_vec();
    let lease = platform.grant(LEASE_TTL).await?;
    let slot = record.slot;
    let swap = platform.swap(&key, 0, Some(value.clone().into()), lease);
    match swap.await {
        Ok(Swap::Done(_)) => return Ok(Some(Held { slot, lease })),
        Ok(Swap::Stale(_)) => {}
        Err(PlatformError::Unknown(_)) => {
            let entry = platform.get(&key).await?;
            if entry.is_some_and(|entry| entry.value == value) {
                return Ok(Some(Held { slot, lease }));
            }
        }
        Err(err) => return Err(err),
    }
    // An unused lease lapses by itself.
    let _ = platform.revoke(lease).await;
    Ok(None)
}

/// Extends a lease; false when it had lapsed.
///
/// # Errors
///
/// Fails when the platform does not answer.
pub async fn renew(platform: &dyn Platform, held: Held) -> Result<bool, PlatformError> {
    platform.renew(held.lease).await
}

/// Gives a lease up.
///
/// # Errors
///
/// Fails when the platform does not answer.
pub async fn release(platform: &dyn Platform, held: Held) -> Result<(), PlatformError> {
    platform.revoke(held.lease).await
}

/// Reads the relays of a failure domain, or of all with an empty name.
///
/// # Errors
///
/// Fails when the platform does not answer.
pub async fn list(
    platform: &dyn Platform,
    domain: &str,
) -> Result<Vec<wire::RelayRecord>, PlatformError> {
    let prefix = if domain.is_empty() {
        PREFIX.to_owned()
    } else {
        format!("{PREFIX}{domain}/")
    };
    let entries = platform.list(&prefix, false, 0).await?.entries;
    let records = entries.into_iter();
    let records = records.filter_map(|entry| wire::RelayRecord::decode(entry.value).ok());
    Ok(records.filter(|record| record.slot < SLOTS).collect())
}

fn key(domain: &str, slot: u32) -> String {
    format!("{PREFIX}{domain}/{slot}")
}
