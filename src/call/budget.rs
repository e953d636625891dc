//! When a failed attempt is followed by another.

use crate::sync::lock;
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::Instant;

/// Retries that a budget saves up, unless it is made otherwise.
const MAX_RETRIES: f64 = 50.0;

/// Retries that a new budget allows, unless it is made otherwise.
const FIRST_RETRIES: f64 = 10.0;

const BACKOFF_MIN: Duration = Duration::from_millis(5);
const BACKOFF_MAX: Duration = Duration::from_millis(250);

/// The retries that calls to one service may make, as a share of first attempts and a number of
/// them in each window of time.
#[derive(Debug)]
pub struct Budget {
    state: Mutex<Tokens>,
}

#[derive(Debug)]
struct Tokens {
    left: f64,
    most: f64,
    /// Retries that are added in a second.
    rate: f64,
    filled: Option<Instant>,
}

impl Default for Budget {
    fn default() -> Self {
        Budget {
            state: Mutex::new(Tokens {
                left: FIRST_RETRIES,
                most: MAX_RETRIES,
                rate: 0.0,
                filled: None,
            }),
        }
    }
}

impl Budget {
    /// Allows so many retries in each window besides those earned.
    pub fn resize(&self, extra: f64, window: Duration) {
        // What is saved and what is added within one window together make up the number.
        let half = extra / 2.0;
        let mut tokens = lock(&self.state);
        tokens.most = half.max(1.0);
        tokens.left = tokens.left.min(tokens.most);
        tokens.rate = half / window.as_secs_f64().max(1.0);
    }

    /// Counts a first attempt, which earns a part of a retry, in percent.
    pub fn earn(&self, percent: u32) {
        let mut tokens = lock(&self.state);
        tokens.left = (tokens.left + f64::from(percent) / 100.0).min(tokens.most);
    }

    /// Takes a retry; false when none is left.
    pub fn spend(&self) -> bool {
        let mut tokens = lock(&self.state);
        tokens.fill(Instant::now());
        // Sums of hundredths fall short by rounding.
        if tokens.left < 1.0 - 1e-6 {
            return false;
        }
        tokens.left = (tokens.left - 1.0).max(0.0);
        true
    }

    /// Takes what a retry after a failure costs; false when that is not left.
    ///
    /// An attempt that never reached a backend server costs nothing.
    pub fn pay(&self, failure: Failure) -> bool {
        matches!(failure, Failure::Leaving | Failure::Refused) || self.spend()
    }

    /// Returns the number of retries at hand.
    #[must_use]
    pub fn left(&self) -> u32 {
        let left = lock(&self.state).left + 1e-6;
        // The sign and the size are bounded by `most`.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let left = left as u32;
        left
    }
}

impl Tokens {
    fn fill(&mut self, now: Instant) {
        let since = self.filled.replace(now).unwrap_or(now);
        let time = now.saturating_duration_since(since).as_secs_f64();
        self.left = (self.left + self.rate * time).min(self.most);
    }
}

/// What is known of an attempt that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The upstream drains and has not run the attempt.
    Leaving,
    /// The attempt was refused before anything of it reached the backend server.
    Refused,
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
            Failure::Leaving | Failure::Refused | Failure::NotRun => true,
            Failure::MayHaveRun => self.idempotent && !self.owned_above,
        };
        safe && self.replayable && made < self.attempts && now < self.deadline
    }
}

/// Returns the time to wait before the next attempt; `jitter` is in 0 to 1.
///
/// Another upstream is asked at once after the first refusal.
#[must_use]
pub fn backoff(made: u32, failure: Failure, jitter: f64) -> Duration {
    let free = matches!(failure, Failure::Leaving | Failure::Refused);
    if free || made <= 1 && failure == Failure::NotRun {
        return Duration::ZERO;
    }
    let doubled = BACKOFF_MIN.saturating_mul(1 << made.min(16));
    doubled.min(BACKOFF_MAX).mul_f64(jitter)
}
