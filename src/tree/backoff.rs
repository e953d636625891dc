//! Exponential backoff with jitter, and token buckets.

use rand::Rng;
use std::time::Duration;
use tokio::time::Instant;

/// An exponential backoff with jitter.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    /// The upper bound of the next delay.
    bound: Duration,
}

impl Backoff {
    /// Creates a backoff whose bound doubles from `initial` up to `max`. Delays are random, and the
    /// first may be as short as half of `initial`.
    #[must_use]
    pub fn new(initial: Duration, max: Duration) -> Self {
        Backoff {
            initial,
            max,
            bound: initial,
        }
    }

    /// Resets the bound to its initial value.
    pub fn reset(&mut self) {
        self.bound = self.initial;
    }

    /// Returns a random delay between half of the bound and the bound, and doubles the bound.
    pub fn delay(&mut self, rng: &mut impl Rng) -> Duration {
        let delay = self.bound.mul_f64(rng.random_range(0.5..=1.0));
        self.bound = (self.bound * 2).min(self.max);
        delay
    }
}

/// Returns a random duration between zero and `max`.
#[must_use]
pub fn jitter(max: Duration) -> Duration {
    max.mul_f64(rand::rng().random_range(0.0..1.0))
}

/// Returns a random duration within 25 % of this one.
#[must_use]
pub fn jitter_around(time: Duration) -> Duration {
    time.mul_f64(rand::rng().random_range(0.75..1.25))
}

/// A token bucket. Its burst size is the number of tokens of one second.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    /// Tokens per second.
    rate: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket that is refilled with `rate` tokens per second. The rate must not be
    /// zero, or [`TokenBucket::time_until_next`] panics.
    #[must_use]
    pub fn new(rate: u32, now: Instant) -> Self {
        let rate = f64::from(rate);
        TokenBucket {
            rate,
            tokens: rate,
            refilled_at: now,
        }
    }

    /// Takes a token; false if none is available.
    pub fn take(&mut self, now: Instant) -> bool {
        self.refill(now);
        let taken = self.tokens >= 1.0;
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }

    /// Returns the time until the next token, as of the last call of [`TokenBucket::take`].
    #[must_use]
    pub fn time_until_next(&self) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0);
        Duration::from_secs_f64(missing / self.rate)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.rate);
        self.refilled_at = now;
    }
}
