//! Growing delays with jitter, and budgets of events per second.

use rand::Rng;
use std::time::Duration;
use tokio::time::Instant;

/// A delay that doubles up to a bound.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    least: Duration,
    greatest: Duration,
    next: Duration,
}

impl Backoff {
    /// Makes a backoff between two delays.
    #[must_use]
    pub fn new(least: Duration, greatest: Duration) -> Self {
        Backoff {
            least,
            greatest,
            next: least,
        }
    }

    /// Starts again from the least delay.
    pub fn reset(&mut self) {
        self.next = self.least;
    }

    /// Returns a delay between half of the present bound and all of it, and doubles the bound.
    pub fn delay(&mut self, rng: &mut impl Rng) -> Duration {
        let delay = self.next.mul_f64(rng.random_range(0.5..=1.0));
        self.next = (self.next * 2).min(self.greatest);
        delay
    }
}

/// Returns a random time between none and this one.
#[must_use]
pub fn jitter(greatest: Duration) -> Duration {
    greatest.mul_f64(rand::rng().random_range(0.0..1.0))
}

/// Returns a random time near this one, up to a quarter less or more.
#[must_use]
pub fn about(time: Duration) -> Duration {
    time.mul_f64(rand::rng().random_range(0.75..1.25))
}

/// A token bucket: so many events a second, with one second's worth in hand.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate: f64,
    tokens: f64,
    filled: Instant,
}

impl Bucket {
    /// Makes a full bucket.
    #[must_use]
    pub fn new(rate: u32, now: Instant) -> Self {
        let rate = f64::from(rate);
        Bucket {
            rate,
            tokens: rate,
            filled: now,
        }
    }

    /// Takes a token if there is one.
    pub fn take(&mut self, now: Instant) -> bool {
        self.fill(now);
        let taken = self.tokens >= 1.0;
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }

    /// Returns the time until the next token.
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
