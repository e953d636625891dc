//! Leases on relay slots in the platform.
//!
//! A lease is an optimization: it decides which daemons read the platform and accept children.
//! Correctness does not depend on it, so two daemons may both believe that they hold the same slot.

use super::discovery::RELAY_SLOTS;
use crate::generated::mesh as wire;
use crate::platform::{Platform, PlatformError, Swap};
use prost::Message;
use std::time::Duration;

/// Key prefix of the relay slots.
pub const PREFIX: &str = "relay/";

/// Time after which a lease expires unless it is renewed.
pub const LEASE_TTL: Duration = Duration::from_secs(5);

/// Interval between renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(1_500);

/// A lease on a relay slot that this daemon holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayLease {
    /// The relay slot.
    pub slot: u32,
    /// The id of the lease in the platform.
    lease: u64,
}

/// Acquires a vacant slot; `None` when another daemon holds it.
///
/// # Errors
///
/// Fails when the platform does not respond.
pub async fn acquire(
    platform: &dyn Platform,
    record: &wire::RelayRecord,
) -> Result<Option<RelayLease>, PlatformError> {
    let key = key(&record.domain, record.slot);
    let value = record.encode_to_vec();
    let lease = platform.grant(LEASE_TTL).await?;
    let slot = record.slot;
    let swap = platform.swap(&key, 0, Some(value.clone().into()), lease);
    match swap.await {
        Ok(Swap::Done(_)) => return Ok(Some(RelayLease { slot, lease })),
        Ok(Swap::Stale(_)) => {}
        // The key shows whether the swap has taken effect.
        Err(PlatformError::Unknown(_)) => {
            let entry = platform.get(&key).await?;
            if entry.is_some_and(|entry| entry.value == value) {
                return Ok(Some(RelayLease { slot, lease }));
            }
        }
        Err(err) => return Err(err),
    }
    // If this fails, the unused lease expires on its own.
    let _ = platform.revoke(lease).await;
    Ok(None)
}

/// Renews a lease; false when it had expired.
///
/// # Errors
///
/// Fails when the platform does not respond.
pub async fn renew(
    platform: &dyn Platform,
    relay_lease: RelayLease,
) -> Result<bool, PlatformError> {
    platform.renew(relay_lease.lease).await
}

/// Releases a lease, which deletes the key of the slot.
///
/// # Errors
///
/// Fails when the platform does not respond.
pub async fn release(
    platform: &dyn Platform,
    relay_lease: RelayLease,
) -> Result<(), PlatformError> {
    platform.revoke(relay_lease.lease).await
}

/// Lists the relays of a failure domain, or of all if `domain` is empty. Values that cannot be
/// decoded are left out.
///
/// # Errors
///
/// Fails when the platform does not respond.
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
    Ok(records.filter(|record| record.slot < RELAY_SLOTS).collect())
}

/// Returns the key of a relay slot.
fn key(domain: &str, slot: u32) -> String {
    format!("{PREFIX}{domain}/{slot}")
}
