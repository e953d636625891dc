//! Retry policy: the retry budget, the limits of one call, and the backoff.

use crate::sync::lock;
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::Instant;

/// Greatest number of retries that a budget accumulates, unless it is resized.
const MAX_TOKENS: f64 = 50.0;

/// Retries that a new budget starts with.
const INITIAL_TOKENS: f64 = 10.0;

/// Base of the exponential backoff: doubled for each failed attempt, so 10 ms after the first.
const BACKOFF_MIN: Duration = Duration::from_millis(5);

/// Longest backoff, before jitter.
const BACKOFF_MAX: Duration = Duration::from_millis(250);

/// The retry budget of one service: a token bucket that first attempts fill by a share of a retry
/// each, and that can be refilled at a fixed rate as well.
#[derive(Debug)]
pub struct Budget {
    state: Mutex<Tokens>,
}

#[derive(Debug)]
struct Tokens {
    /// Retries available now.
    available: f64,
    /// Capacity, in retries.
    capacity: f64,
    /// Refill rate, in retries per second.
    rate: f64,
    /// When the refill was last applied.
    refilled: Option<Instant>,
}

impl Default for Budget {
    fn default() -> Self {
        Budget {
            state: Mutex::new(Tokens {
                available: INITIAL_TOKENS,
                capacity: MAX_TOKENS,
                rate: 0.0,
                refilled: None,
            }),
        }
    }
}

impl Budget {
    /// Sets the capacity and the refill rate to allow `extra` retries in each `window`, besides
    /// those that first attempts earn.
    pub fn resize(&self, extra: f64, window: Duration) {
        // A window can use a full bucket and what is refilled meanwhile: each gets one half.
        let half = extra / 2.0;
        let mut tokens = lock(&self.state);
        tokens.capacity = half.max(1.0);
        tokens.available = tokens.available.min(tokens.capacity);
        tokens.rate = half / window.as_secs_f64().max(1.0);
    }

    /// Restores the initial capacity, which only first attempts fill.
    pub fn reset(&self) {
        let mut tokens = lock(&self.state);
        tokens.capacity = MAX_TOKENS;
        tokens.rate = 0.0;
    }

    /// Counts a first attempt, which adds `percent` hundredths of a retry to the budget.
    pub fn earn(&self, percent: u32) {
        let mut tokens = lock(&self.state);
        tokens.available = (tokens.available + f64::from(percent) / 100.0).min(tokens.capacity);
    }

    /// Takes one retry from the budget; returns false and takes nothing if less than one is left.
    pub fn spend(&self) -> bool {
        let mut tokens = lock(&self.state);
        tokens.refill(Instant::now());
        // Sums of hundredths can fall short of 1.0 by rounding errors.
        if tokens.available < 1.0 - 1e-6 {
            return false;
        }
        tokens.available = (tokens.available - 1.0).max(0.0);
        true
    }

    /// Charges the budget for a retry after a failure; returns false if the budget is exhausted.
    ///
    /// A retry costs nothing if the failed attempt never reached a backend server.
    pub fn pay(&self, failure: Failure) -> bool {
        matches!(failure, Failure::Leaving | Failure::Refused) || self.spend()
    }

    /// Returns the number of whole retries left.
    #[must_use]
    pub fn left(&self) -> u32 {
        let left = lock(&self.state).available + 1e-6;
        // The value lies between zero and `capacity`.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let left = left as u32;
        left
    }
}

impl Tokens {
    fn refill(&mut self, now: Instant) {
        let since = self.refilled.replace(now).unwrap_or(now);
        let time = now.saturating_duration_since(since).as_secs_f64();
        self.available = (self.available + self.rate * time).min(self.capacity);
    }
}

/// What is known of a failed attempt. The variants appear in the log under their own names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The upstream is draining and did not run the attempt.
    Leaving,
    /// The attempt was refused before anything of it reached the backend server.
    Refused,
    /// The attempt is proven not to have run.
    NotRun,
    /// The attempt may have run.
    MayHaveRun,
}

/// The retry limits of a call.
#[derive(Clone, Copy, Debug)]
pub struct RetryLimits {
    /// Whether the call may run more than once without harm.
    pub idempotent: bool,
    /// Whether a caller further up the call tree retries attempts that may have run.
    pub retried_by_caller: bool,
    /// Whether the request's body can be sent again.
    pub replayable: bool,
    /// Greatest number of attempts, the first one included.
    pub attempts: u32,
    /// The time by which the call must have ended.
    pub deadline: Instant,
}

impl RetryLimits {
    /// Tests whether another attempt may follow; the budget is checked separately.
    #[must_use]
    pub fn allows(&self, now: Instant, attempts_made: u32, failure: Failure) -> bool {
        let safe = match failure {
            Failure::Leaving | Failure::Refused | Failure::NotRun => true,
            Failure::MayHaveRun => self.idempotent && !self.retried_by_caller,
        };
        safe && self.replayable && attempts_made < self.attempts && now < self.deadline
    }
}

/// Returns the delay before the next attempt; `jitter` is a random factor from 0 to 1.
///
/// There is no delay after a refusal, nor after the first attempt if it did not run: the next
/// attempt goes to another upstream.
#[must_use]
pub fn backoff(attempts_made: u32, failure: Failure, jitter: f64) -> Duration {
    let immediate = matches!(failure, Failure::Leaving | Failure::Refused);
    if immediate || attempts_made <= 1 && failure == Failure::NotRun {
        return Duration::ZERO;
    }
    let doubled = BACKOFF_MIN.saturating_mul(1 << attempts_made.min(16));
    doubled.min(BACKOFF_MAX).mul_f64(jitter)
}
