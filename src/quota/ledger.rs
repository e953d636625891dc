//! The accounts of the organisations that a daemon owns.

use super::{CONTACT_INTERVALS, Grant, Limit, contact_interval};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// The share of an organisation's burst that its account holds at most. The rest covers the tokens that are
/// still valid elsewhere and the shares of daemons that no owner answers.
const BURST_SHARE: f64 = 0.35;

/// The share of that with which an account begins: an owner before may have handed out the rest.
const START_SHARE: f64 = 0.1;

/// Least time of a refusal.
const MIN_RETRY: Duration = Duration::from_millis(50);

/// Time after which an account that nobody asked is forgotten. By then it would be full again.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// The most accounts that are kept; beyond, idle ones are dropped first.
const MAX_ACCOUNTS: usize = 4_096;

/// Time for which the number of daemons in contact is kept: counting them takes longer than a decision.
const COUNT_TIME: Duration = Duration::from_millis(50);

/// The accounts of the organisations that a daemon owns, and the daemons that have asked it of late.
#[derive(Debug, Default)]
pub struct Ledger {
    accounts: BTreeMap<String, Account>,
    contacts: BTreeMap<String, Instant>,
    /// The share of the members in contact, and when it was counted.
    counted: Option<(Instant, f64)>,
}

#[derive(Debug)]
struct Account {
    /// Tokens that can be handed out.
    tokens: f64,
    /// When they were last refilled.
    refilled: Instant,
    /// Refusals since the last refill that handed out a token; they wait for the same tokens.
    waiting: u32,
}

impl Ledger {
    /// Records that a daemon is in contact with this one.
    pub fn note_contact(&mut self, now: Instant, daemon: &str, members: usize) {
        let limit = contact_interval(members) * CONTACT_INTERVALS;
        if let Some(last) = self.contacts.get_mut(daemon) {
            *last = now;
            return;
        }
        self.contacts
            .retain(|_, last| now.saturating_duration_since(*last) <= limit);
        self.contacts.insert(daemon.to_owned(), now);
    }

    /// Hands out tokens of an organisation to a daemon that wants some: one if there is one, and more only from
    /// what is left. The refill grows with the share of the `members` that are in contact.
    pub fn request(
        &mut self,
        now: Instant,
        daemon: &str,
        organisation: &str,
        limit: Limit,
        wanted: u32,
        members: usize,
    ) -> Grant {
        self.note_contact(now, daemon, members);
        let rate = limit.rate * self.recent_share(now, members);
        let capacity = (limit.burst * BURST_SHARE).max(1.0);
        self.drop_idle(now);
        let account = self.accounts.entry(organisation.to_owned());
        let account = account.or_insert_with(|| Account {
            tokens: (capacity * START_SHARE).max(1.0),
            refilled: now,
            waiting: 0,
        });
        let elapsed = now.saturating_duration_since(account.refilled);
        account.tokens = (account.tokens + rate * elapsed.as_secs_f64()).min(capacity);
        account.refilled = now;
        if account.tokens < 1.0 {
            account.waiting = account.waiting.saturating_add(1);
            let missing = f64::from(account.waiting) - account.tokens;
            let time = Duration::try_from_secs_f64(missing / rate.max(f64::MIN_POSITIVE));
            return Grant::Exhausted(time.unwrap_or(Duration::MAX).clamp(MIN_RETRY, IDLE_TIME));
        }
        account.waiting = 0;
        // A daemon gets at most a tenth of what is there beyond its first token: many may ask at once.
        let spare = (account.tokens - 1.0) / 10.0;
        let extra = f64::from(wanted.saturating_sub(1)).min(spare).floor();
        account.tokens -= 1.0 + extra;
        // Below `wanted`.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let extra = extra as u32;
        Grant::Tokens(1 + extra)
    }

    fn recent_share(&mut self, now: Instant, members: usize) -> f64 {
        if let Some((at, share)) = self.counted
            && now.saturating_duration_since(at) < COUNT_TIME
        {
            return share;
        }
        let share = self.contact_share(now, members);
        self.counted = Some((now, share));
        share
    }

    /// Returns the share of the members that have been in contact of late, at most 1.
    #[must_use]
    pub fn contact_share(&self, now: Instant, members: usize) -> f64 {
        let limit = contact_interval(members) * CONTACT_INTERVALS;
        let contacts = self.contacts.values();
        let recent = contacts.filter(|last| now.saturating_duration_since(**last) <= limit);
        let recent = u32::try_from(recent.count()).unwrap_or(u32::MAX);
        let members = u32::try_from(members.max(1)).unwrap_or(u32::MAX);
        (f64::from(recent) / f64::from(members)).min(1.0)
    }

    /// Iterates over the accounts with the tokens that were left when they were last asked for.
    pub fn accounts(&self) -> impl Iterator<Item = (&str, f64)> {
        let accounts = self.accounts.iter();
        accounts.map(|(name, account)| (name.as_str(), account.tokens))
    }

    fn drop_idle(&mut self, now: Instant) {
        if self.accounts.len() < MAX_ACCOUNTS {
            return;
        }
        self.accounts
            .retain(|_, account| now.saturating_duration_since(account.refilled) <= IDLE_TIME);
    }
}
