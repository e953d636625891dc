//! The tokens that an outbound side holds.

use super::{Limit, TOKEN_TIME};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a daemon asks for tokens in advance.
const ADVANCE: Duration = Duration::from_millis(200);

/// Time for which the share that a daemon uses on its own accumulates.
const OWN_TIME: Duration = Duration::from_secs(1);

/// The share of an organisation's burst that daemons may use, all together, while owners do not answer, and the time
/// in which they may use it once.
const RESERVE_SHARE: f64 = 0.375;
const RESERVE_TIME: Duration = Duration::from_secs(5);

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
    /// This daemon's own share, and its part of the reserve.
    own: Allowance,
    reserve: Allowance,
}

/// Calls that may run without a token.
#[derive(Debug, Default)]
struct Allowance {
    /// When a call was last decided on; before the first one, the allowance is full.
    taken_at: Option<Instant>,
    calls: f64,
}

impl Allowance {
    /// Decides on a call, given the calls a second and at most. Less than one is used up by chance.
    fn take(&mut self, now: Instant, rate: f64, most: f64, sample: f64) -> bool {
        let elapsed = self.taken_at.replace(now);
        let elapsed = elapsed.map(|at| now.saturating_duration_since(at));
        self.calls = elapsed.map_or(most, |elapsed| {
            (self.calls + rate * elapsed.as_secs_f64()).min(most)
        });
        if self.calls >= 1.0 {
            self.calls -= 1.0;
            return true;
        }
        sample < std::mem::take(&mut self.calls)
    }
}

fn count(members: usize) -> f64 {
    f64::from(u32::try_from(members.max(1)).unwrap_or(u32::MAX))
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
            own: Allowance::default(),
            reserve: Allowance::default(),
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

    /// Decides on a call by this daemon's own share of the limit, while no owner may count it. `sample` is uniformly
    /// distributed in 0 to 1: most shares are below one call, and chance keeps their sum over all daemons.
    pub fn take_own(
        &mut self,
        now: Instant,
        organisation: &str,
        limit: Limit,
        members: usize,
        sample: f64,
    ) -> bool {
        let rate = limit.rate / count(members);
        let most = rate * OWN_TIME.as_secs_f64();
        self.held(now, organisation)
            .own
            .take(now, rate, most, sample)
    }

    /// Decides on a call by this daemon's part of the reserve, while an owner that may count this daemon does not
    /// answer. The reserve of all daemons together is a share of the burst in any [`RESERVE_TIME`].
    pub fn take_reserve(
        &mut self,
        now: Instant,
        organisation: &str,
        limit: Limit,
        members: usize,
        sample: f64,
    ) -> bool {
        let most = limit.burst * RESERVE_SHARE / count(members);
        let rate = most / RESERVE_TIME.as_secs_f64();
        let held = self.held(now, organisation);
        held.reserve.take(now, rate, most, sample)
    }

    fn held(&mut self, now: Instant, organisation: &str) -> &mut Held {
        if self.held.len() >= MAX_HELD && !self.held.contains_key(organisation) {
            self.held.retain(|_, held| !held.is_idle(now));
        }
        let held = self.held.entry(organisation.to_owned());
        held.or_insert_with(|| Held::new(now))
    }
}
