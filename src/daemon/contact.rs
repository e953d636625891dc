//! When this daemon last had proof that its configuration is the newest.

use super::RuntimeLimits;
use crate::event;
use crate::sync::lock;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Fraction of the revocation time for which a watch of the platform lasts: proof is as old when the
/// watch ends, and twice as old when the next one does.
const WATCH_SHARE: u32 = 8;

/// Longest wait of any watch of the platform.
const MAX_WATCH_TIME: Duration = Duration::from_secs(30);

/// Part of the apply limit that is left for detecting and replacing a silent connection.
const RECOVERY_TIME: Duration = Duration::from_millis(1_400);

/// Longest wait of a watch on the members, as a multiple of the apply limit.
const MEMBER_WATCH_FACTOR: u32 = 4;

/// Age of the proof, in percent of the revocation time, from which regular exchanges are with daemons
/// that read from the platform.
const STALE_PERCENT: u32 = 30;

/// Age of the proof, in percent of the revocation time, from which a daemon reads the platform itself.
/// At 50, 16 daemons listed the configuration 3.5 times a second in all.
const DUE_PERCENT: u32 = 70;

/// When this daemon last had proof that its configuration is the newest.
///
/// The proof is a read of the platform that has ended, or the response of a peer that has proof
/// itself. Its time is that at which the read or the request began, so that delays on the way count
/// as age.
#[derive(Default)]
pub struct ContactCell {
    proven_at: Mutex<Option<Instant>>,
    /// Whether keyed calls were refused at the last check.
    closed: AtomicBool,
}

impl ContactCell {
    /// Records that the configuration in force was the newest at `at`.
    pub fn mark_current(&self, at: Instant) {
        let mut proven_at = lock(&self.proven_at);
        *proven_at = (*proven_at).max(Some(at));
    }

    /// Returns the age of the proof for a message to a peer: in milliseconds plus one, or zero without
    /// proof.
    #[must_use]
    pub fn to_wire(&self) -> u64 {
        let ms = self.age().map(|age| age.as_millis() + 1);
        ms.map_or(0, |ms| u64::try_from(ms).unwrap_or(u64::MAX))
    }

    /// Records the proof that a peer stated in the response to a request, which began at `started`. It
    /// covers the configuration in force here only if that is no older than the peer's.
    pub fn mark_from_wire(&self, started: Instant, current_ms: u64) {
        let age = current_ms.checked_sub(1).map(Duration::from_millis);
        if let Some(at) = age.and_then(|age| started.checked_sub(age)) {
            self.mark_current(at);
        }
    }

    /// Returns the time since the configuration in force was last known to be the newest; `None` if it
    /// never was.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        lock(&self.proven_at).map(|at| at.elapsed())
    }

    /// Tests whether keyed calls are refused: the settings require contact, and there has been none for
    /// the revocation time.
    pub fn is_closed(&self, limits: &RuntimeLimits) -> bool {
        let Some(limit) = limits.contact_limit else {
            return false;
        };
        let age = self.age();
        let closed = age.is_none_or(|age| age >= limit);
        if self.closed.swap(closed, Ordering::Relaxed) != closed {
            let ms = age.map_or(0, |age| age.as_millis());
            if closed {
                event!(ContactLost, age_ms = ms, known = age.is_some());
            } else {
                event!(ContactRegained, age_ms = ms);
            }
        }
        closed
    }

    /// Tests whether proof is old enough to ask a daemon that reads from the platform next.
    #[must_use]
    pub fn is_stale(&self, limits: &RuntimeLimits) -> bool {
        self.is_older(limits, STALE_PERCENT)
    }

    /// Tests whether this daemon has to obtain proof from the platform itself, since its peers have not
    /// provided any for long.
    #[must_use]
    pub fn is_due(&self, limits: &RuntimeLimits) -> bool {
        self.is_older(limits, DUE_PERCENT)
    }

    fn is_older(&self, limits: &RuntimeLimits, percent: u32) -> bool {
        let limit = limits.contact_limit.map(|limit| limit * percent / 100);
        limit.is_some_and(|limit| self.age().is_none_or(|age| age >= limit))
    }
}

/// Returns the longest time for which a watch of the platform, or the pause before one, lasts where the
/// settings require contact.
#[must_use]
pub fn renewal_time(limits: &RuntimeLimits) -> Option<Duration> {
    limits.contact_limit.map(|limit| limit / WATCH_SHARE)
}

/// Returns the longest wait of a watch on the configuration.
///
/// A connection may go silent without an end, which shows only when the response to a watch is missing. The
/// rest of the apply limit is for that, for the read on a new connection, and for telling the other daemons.
#[must_use]
pub fn watch_time(limits: &RuntimeLimits) -> Duration {
    let longest = limits.apply_limit.saturating_sub(RECOVERY_TIME);
    let longest = longest.max(limits.apply_limit / 4).min(MAX_WATCH_TIME);
    renewal_time(limits).map_or(longest, |time| time.min(longest))
}

/// Returns the longest wait of a watch on the members, which also reach every daemon by exchanges.
#[must_use]
pub fn member_watch_time(limits: &RuntimeLimits) -> Duration {
    (limits.apply_limit * MEMBER_WATCH_FACTOR).min(MAX_WATCH_TIME)
}
