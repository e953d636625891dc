//! The tokens that an outbound side holds.

use super::{Limit, TOKEN_TIME};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a daemon asks for tokens in advance.
const ADVANCE: Duration = Duration::from_millis(200);

/// The share of `rate / members` that a daemon uses while no owner answers it.
const ALONE_SHARE: f64 = 0.5;

/// Time for which that share accumulates.
const ALONE_TIME: Duration = Duration::from_secs(1);

/// The most organisations for which tokens are held; beyond, those without a valid token are dropped.
const MAX_HELD: usize = 1_024;

/// The outcome of taking a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// The call may run.
    Token,
    /// The owner has refused a call a moment ago; there is a token after this time at the earliest.
    Exhausted(Duration),
    /// The owner is to be asked for this many tokens.
    Ask(u32),
}

/// The tokens that an outbound side holds, by organisation.
#[derive(Debug, Default)]
pub struct Holdings {
    held: BTreeMap<String, Held>,
}

#[derive(Debug)]
struct Held {
    /// Tokens with the time until which they are valid, oldest first.
    tokens: VecDeque<(Instant, u32)>,
    /// Until when the owner need not be asked again, since it had none.
    exhausted_until: Instant,
    /// Calls a second, as an average that decays within a second.
    demand: f64,
    seen: Instant,
    /// The part of a call that this daemon may let run on its own.
    alone: f64,
    alone_at: Instant,
}

impl Held {
    /// Takes the oldest valid token, if there is one.
    fn take(&mut self, now: Instant) -> bool {
        while let Some((valid_until, count)) = self.tokens.front_mut() {
            if now < *valid_until && *count > 0 {
                *count -= 1;
                return true;
            }
            self.tokens.pop_front();
        }
        false
    }

    fn is_idle(&self, now: Instant) -> bool {
        let is_valid = |(valid_until, _): &(Instant, u32)| now < *valid_until;
        !self.tokens.iter().any(is_valid) && now >= self.exhausted_until
    }

    fn new(now: Instant) -> Self {
        Held {
            tokens: VecDeque::new(),
            exhausted_until: now,
            demand: 0.0,
            seen: now,
            alone: 0.0,
            alone_at: now,
        }
    }
}

impl Holdings {
    /// Takes a token for a call.
    pub fn take(&mut self, now: Instant, organisation: &str) -> Taken {
        let held = self.held(now, organisation);
        let elapsed = now.saturating_duration_since(held.seen).as_secs_f64();
        held.demand = held.demand * (-elapsed).exp() + 1.0;
        held.seen = now;
        if held.take(now) {
            return Taken::Token;
        }
        if now < held.exhausted_until {
            return Taken::Exhausted(held.exhausted_until - now);
        }
        // Positive, and far below the greatest u32.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let advance = (held.demand * ADVANCE.as_secs_f64()) as u32;
        Taken::Ask(1 + advance)
    }

    /// Adds tokens that the owner handed out when it was asked at `asked`.
    pub fn deposit(&mut self, now: Instant, asked: Instant, organisation: &str, tokens: u32) {
        // The owner may have handed them out as early as it was asked.
        let batch = (asked + TOKEN_TIME, tokens);
        self.held(now, organisation).tokens.push_back(batch);
    }

    /// Returns the token of a call that was refused. It can be used again while the newest ones are valid.
    pub fn give_back(&mut self, now: Instant, organisation: &str) {
        if let Some((_, count)) = self.held(now, organisation).tokens.back_mut() {
            *count = count.saturating_add(1);
        }
    }

    /// Records that the owner had no token, and has none for `time`.
    pub fn note_exhausted(&mut self, now: Instant, organisation: &str, time: Duration) {
        self.held(now, organisation).exhausted_until = now + time;
    }

    /// Decides on a call while no owner answers, by this daemon's own share of the limit. `sample` is uniformly
    /// distributed in 0 to 1: most shares are below one call, and chance keeps their sum over all daemons.
    pub fn take_alone(
        &mut self,
        now: Instant,
        organisation: &str,
        limit: Limit,
        members: usize,
        sample: f64,
    ) -> bool {
        let members = u32::try_from(members.max(1)).unwrap_or(u32::MAX);
        let rate = limit.rate * ALONE_SHARE / f64::from(members);
        let held = self.held(now, organisation);
        let elapsed = now.saturating_duration_since(held.alone_at);
        held.alone += rate * elapsed.min(ALONE_TIME).as_secs_f64();
        held.alone = held.alone.min((rate * ALONE_TIME.as_secs_f64()).max(1.0));
        held.alone_at = now;
        if held.alone >= 1.0 {
            held.alone -= 1.0;
            return true;
        }
        let chance = held.alone;
        held.alone = 0.0;
        sample < chance
    }

    fn held(&mut self, now: Instant, organisation: &str) -> &mut Held {
        if self.held.len() >= MAX_HELD && !self.held.contains_key(organisation) {
            self.held.retain(|_, held| !held.is_idle(now));
        }
        let held = self.held.entry(organisation.to_owned());
        held.or_insert_with(|| Held::new(now))
    }
}
