//! The time of day, in the unit in which other processes state it.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the time since the Unix epoch, in milliseconds.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
}
