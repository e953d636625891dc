//! Whether the backend server can be given calls, by the results of earlier ones.

use super::unavailable;
use crate::call::{Refusal, RefusalReason};
use crate::event;
use crate::sync::lock;
use std::fmt::Display;
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a backend server that is marked as down receives no calls.
const DOWN_TIME: Duration = Duration::from_millis(400);

/// Whether the backend server can be given calls.
#[derive(Debug, Default)]
pub(super) struct Reachability {
    /// Until when it is not, if it is marked as down.
    down_until: Mutex<Option<Instant>>,
}

impl Reachability {
    /// Checks that the backend server is not marked as down.
    ///
    /// Checked once for each call: the first call after [`DOWN_TIME`] probes whether the backend
    /// server is usable again, and further ones are refused meanwhile.
    pub(super) fn check(&self) -> Result<(), Refusal> {
        let mut down_until = lock(&self.down_until);
        let Some(until) = *down_until else {
            return Ok(());
        };
        let now = Instant::now();
        if now < until {
            return Err(unavailable(
                "backend server is unreachable",
                RefusalReason::Down,
            ));
        }
        *down_until = Some(now + DOWN_TIME);
        Ok(())
    }

    /// Marks the backend server as down for [`DOWN_TIME`].
    pub(super) fn mark_down(&self, reason: impl Display) {
        let mut down_until = lock(&self.down_until);
        if down_until.is_none() {
            event!(BackendUnhealthy, error = reason);
        }
        *down_until = Some(Instant::now() + DOWN_TIME);
    }

    /// Records that the backend server has responded or has reported that it is ready.
    pub(super) fn mark_up(&self) {
        *lock(&self.down_until) = None;
    }
}
