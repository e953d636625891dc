//! When a failed attempt is followed by another.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// What one retry takes from a budget.
const RETRY_COST: u32 = 100;

/// Retries that a full budget allows at once.
const MAX_RETRIES: u32 = 50;

/// Retries that a new budget allows.
const FIRST_RETRIES: u32 = 10;

const BACKOFF_MIN: Duration = Duration::from_millis(5);
const BACKOFF_MAX: Duration = Duration::from_millis(250);

/// The retries that calls to one service may make, as a share of first attempts.
#[derive(Debug)]
pub struct Budget {
    tokens: AtomicU32,
}

impl Default for Budget {
    fn default() -> Self {
        Budget {
            tokens: AtomicU32::new(FIRST_RETRIES * RETRY_COST),
        }
    }
}

impl Budget {
    /// Counts a first attempt, which earns a part of a retry, in percent.
    pub fn earn(&self, percent: u32) {
        let most = MAX_RETRIES * RETRY_COST;
        if self.tokens.load(Ordering::Relaxed) >= most {
            return;
        }
        let add = |tokens: u32| Some((tokens + percent).min(most));
        // The closure always returns a value.
        let _ = self
            .tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes a retry; false when none is left.
    pub fn spend(&self) -> bool {
        let take = |tokens: u32| tokens.checked_sub(RETRY_COST);
        let taken = self
            .tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        taken.is_ok()
    }

    /// Takes what a retry after a failure costs; false when that is not left.
    ///
    /// An upstream that drains refuses each sender a few times at most, so that is free.
    pub fn pay(&self, failure: Failure) -> bool {
        failure == Failure::Leaving || self.spend()
    }

    /// Returns the number of retries at hand.
    #[must_use]
    pub fn left(&self) -> u32 {
        self.tokens.load(Ordering::Relaxed) / RETRY_COST
    }
}

/// What is known of an attempt that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The upstream drains and has not run the attempt.
    Leaving,
    /// It is proved that the attempt did not run.
    NotRun,
    /// The attempt may have run.
    MayHaveRun,
}

/// What a call allows.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Whether the call may run more than once without harm.
    pub idempotent: bool,
    /// Whether retries of attempts that may have run belong to a caller further up.
    pub owned_above: bool,
    /// Whether the request's body can be sent again.
    pub replayable: bool,
    /// Greatest number of attempts.
    pub attempts: u32,
    /// When the call must have ended.
    pub deadline: Instant,
}

impl Terms {
    /// Tests whether another attempt may follow, budget aside.
    #[must_use]
    pub fn allow(&self, now: Instant, made: u32, failure: Failure) -> bool {
        let safe = match failure {
            Failure::Leaving | Failure::NotRun => true,
            Failure::MayHaveRun => self.idempotent && !self.owned_above,
        };
        safe && self.replayable && made < self.attempts && now < self.deadline
    }

    /// Returns when an attempt is given up, given how many were made before.
    #[must_use]
    pub fn attempt_deadline(&self, now: Instant, made: u32) -> Instant {
        let more = self.idempotent && !self.owned_above && self.replayable;
        if !more || made + 1 >= self.attempts {
            return self.deadline;
        }
        now + self.deadline.saturating_duration_since(now) / 2
    }
}

/// Returns the time to wait before the next attempt; `jitter` is in 0 to 1.
///
/// Another upstream is asked at once after the first refusal.
#[must_use]
pub fn backoff(made: u32, failure: Failure, jitter: f64) -> Duration {
    if failure == Failure::Leaving || made <= 1 && failure == Failure::NotRun {
        return Duration::ZERO;
    }
    let doubled = BACKOFF_MIN.saturating_mul(1 << made.min(16));
    doubled.min(BACKOFF_MAX).mul_f64(jitter)
}
