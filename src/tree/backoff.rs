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

/// Returns a random time of 80 % to all of `longest`. Watches of several daemons then do not end together, and
/// the first one that returns a version serves all.
#[must_use]
pub fn jitter_below(longest: Duration) -> Duration {
    longest.mul_f64(rand::rng().random_range(0.8..=1.0))
}

/// Tolerance of comparisons of token counts, for rounding errors.
const ROUNDING: f64 = 1e-6;

/// A token bucket.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    /// Tokens per second.
    rate: f64,
    /// Greatest number of tokens.
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket that is refilled with `rate` tokens per second and holds those of one
    /// second. The rate must not be zero, or [`TokenBucket::time_until_next`] panics.
    #[must_use]
    pub fn new(rate: u32, now: Instant) -> Self {
        TokenBucket::with_burst(f64::from(rate), f64::from(rate), now)
    }

    /// Creates a full bucket that is refilled with `rate` tokens per second and holds `burst` tokens.
    #[must_use]
    pub fn with_burst(rate: f64, burst: f64, now: Instant) -> Self {
        TokenBucket {
            rate,
            burst,
            tokens: burst,
            refilled_at: now,
        }
    }

    /// Takes a token; false if none is available.
    pub fn take(&mut self, now: Instant) -> bool {
        self.refill(now);
        let taken = self.has_token(now);
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }

    /// Tests whether a token is available.
    #[must_use]
    pub fn has_token(&self, now: Instant) -> bool {
        self.tokens_at(now) >= 1.0 - ROUNDING
    }

    /// Returns the time until the next token, as of the last call of [`TokenBucket::take`].
    #[must_use]
    pub fn time_until_next(&self) -> Duration {
        self.time_until_last(1)
    }

    /// Returns the same as [`TokenBucket::time_until`], as of the last call of [`TokenBucket::take`].
    #[must_use]
    pub fn time_until_last(&self, count: u32) -> Duration {
        self.time_until(self.refilled_at, count)
    }

    /// Returns the time from `now` until `count` tokens have been available, if others wait for the
    /// ones before the last.
    #[must_use]
    pub fn time_until(&self, now: Instant, count: u32) -> Duration {
        let missing = (f64::from(count) - self.tokens_at(now)).max(0.0);
        Duration::from_secs_f64(missing / self.rate)
    }

    /// Changes the rate and the burst size, and drops the tokens above the latter.
    pub fn resize(&mut self, rate: f64, burst: f64, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    fn refill(&mut self, now: Instant) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = now;
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        (self.tokens + elapsed.as_secs_f64() * self.rate).min(self.burst)
    }
}
