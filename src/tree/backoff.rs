//! Exponential backoff with jitter, and token buckets.

use rand::Rng;
use std::time::Duration;
use tokio::time::Instant;

/// An exponential backoff with jitter.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    least: Duration,
    greatest: Duration,
    next: Duration,
}

impl Backoff {
    /// Creates a backoff whose bound grows from `least` to `greatest`.
    #[must_use]
    pub fn new(least: Duration, greatest: Duration) -> Self {
        Backoff {
            least,
            greatest,
            next: least,
        }
    }

    /// Resets the bound to its minimum.
    pub fn reset(&mut self) {
        self.next = self.least;
    }

    /// Returns a random delay between half of the bound and the bound, and doubles the bound.
    pub fn delay(&mut self, rng: &mut impl Rng) -> Duration {
        let delay = self.next.mul_f64(rng.random_range(0.5..=1.0));
        self.next = (self.next * 2).min(self.greatest);
        delay
    }
}

/// Returns a random duration between zero and `greatest`.
#[must_use]
pub fn jitter(greatest: Duration) -> Duration {
    greatest.mul_f64(rand::rng().random_range(0.0..1.0))
}

/// Returns a random duration within 25 % of this one.
#[must_use]
pub fn about(time: Duration) -> Duration {
    time.mul_f64(rand::rng().random_range(0.75..1.25))
}

/// A token bucket. Its burst size is the number of tokens of one second.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate: f64,
    tokens: f64,
    filled: Instant,
}

impl Bucket {
    /// Creates a full bucket that is refilled with `rate` tokens per second.
    #[must_use]
    pub fn new(rate: u32, now: Instant) -> Self {
        let rate = f64::from(rate);
        Bucket {
            rate,
            tokens: rate,
            filled: now,
        }
    }

    /// Takes a token; false if none is available.
    pub fn take(&mut self, now: Instant) -> bool {
        self.fill(now);
        let taken = self.tokens >= 1.0;
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }

    /// Returns the time until the next token, as of the last call of [`Bucket::take`].
    #[must_use]
    pub fn wait(&self) -> Duration {
        let short = (1.0 - self.tokens).max(0.0);
        Duration::from_secs_f64(short / self.rate)
    }

    fn fill(&mut self, now: Instant) {
        let past = now.saturating_duration_since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + past * self.rate).min(self.rate);
        self.filled = now;
    }
}
