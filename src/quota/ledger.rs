//! The accounts of the organisations that a daemon owns.

use super::{Grant, Limit, OwnerList};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// The share of an organisation's burst that all its accounts hold together at most. The rest covers the tokens that
/// are still valid elsewhere and the shares of daemons that no owner answers.
const BURST_SHARE: f64 = 0.35;

/// The share of that with which an account begins: an owner before may have handed out the rest.
const START_SHARE: f64 = 0.1;

/// Least time of a refusal.
const MIN_RETRY: Duration = Duration::from_millis(50);

/// Time after which an account that nobody asked is forgotten. By then it would be full again.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// The most accounts that are kept; beyond, idle ones are dropped first.
const MAX_ACCOUNTS: usize = 4_096;

/// Time for which the shares lent to this daemon are kept as counted: counting them takes longer than a decision.
const COUNT_TIME: Duration = Duration::from_millis(50);

/// A contact of another daemon, or of this one with itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Contact {
    /// The incarnation of the sender, and the number of its contact. A late contact changes nothing.
    pub order: (u64, u64),
    /// The number of members in the sender's fleet.
    pub members: usize,
    /// The end of the time for which the sender lends its share.
    pub until: Instant,
    /// The lists by which the receiver must be an owner to count the sender.
    pub lists: Vec<OwnerList>,
}

/// The accounts of the organisations that a daemon owns, and the shares that daemons lend to it.
#[derive(Debug)]
pub struct Ledger {
    /// The name of this daemon.
    name: String,
    accounts: BTreeMap<String, Account>,
    contacts: BTreeMap<String, Contact>,
    /// The sum of the shares lent by the same lists, and when they were counted.
    lent: Vec<(Vec<OwnerList>, f64)>,
    counted_at: Option<Instant>,
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
    /// Creates the ledger of the daemon with this name.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Ledger {
            name: name.to_owned(),
            accounts: BTreeMap::new(),
            contacts: BTreeMap::new(),
            lent: Vec::new(),
            counted_at: None,
        }
    }

    /// Records a contact of a daemon, unless a later one is known.
    pub fn note_contact(&mut self, now: Instant, sender: &str, contact: Contact) {
        if let Some(last) = self.contacts.get_mut(sender) {
            if last.order < contact.order {
                *last = contact;
            }
            return;
        }
        self.contacts.retain(|_, last| now < last.until);
        self.contacts.insert(sender.to_owned(), contact);
    }

    /// Hands out tokens of an organisation: one if there is one, and more, up to `wanted`, only from what is left.
    /// The account is refilled by the shares of the `members` that are lent to it.
    pub fn request(
        &mut self,
        now: Instant,
        organisation: &str,
        limit: Limit,
        wanted: u32,
        members: usize,
    ) -> Grant {
        let share = self.share(now, organisation, members);
        let rate = limit.rate * share;
        let capacity = (limit.burst * BURST_SHARE * share).max(1.0);
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
        let most = (account.tokens - 1.0) / 10.0;
        let extra = f64::from(wanted.saturating_sub(1)).min(most).floor();
        account.tokens -= 1.0 + extra;
        // Below `wanted`.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let extra = extra as u32;
        Grant::Tokens(1 + extra)
    }

    /// Returns the part of an organisation's rate by which its account is refilled here, at most 1.
    #[must_use]
    pub fn share(&mut self, now: Instant, organisation: &str, members: usize) -> f64 {
        let is_counted = |at: Instant| now.saturating_duration_since(at) < COUNT_TIME;
        if !self.counted_at.is_some_and(is_counted) {
            self.count(now, members);
        }
        let is_owner = |list: &OwnerList| list.owner(organisation) == Some(&self.name);
        let lent = self.lent.iter();
        let lent = lent.filter(|(lists, _)| lists.iter().all(is_owner));
        lent.map(|(_, share)| share).sum::<f64>().min(1.0)
    }

    /// Returns the number of daemons that have been in contact of late.
    #[must_use]
    pub fn contacts(&self, now: Instant) -> usize {
        let contacts = self.contacts.values();
        contacts.filter(|contact| now < contact.until).count()
    }

    /// Iterates over the accounts with the tokens that were left when they were last asked for.
    pub fn accounts(&self) -> impl Iterator<Item = (&str, f64)> {
        let accounts = self.accounts.iter();
        accounts.map(|(name, account)| (name.as_str(), account.tokens))
    }

    /// Sums the shares that are lent until they are counted again. Of the two numbers of members, the greater one
    /// counts: the fleet of a process that has just started is incomplete.
    fn count(&mut self, now: Instant, members: usize) {
        let mut lent: BTreeMap<&[OwnerList], f64> = BTreeMap::new();
        let next = now + COUNT_TIME;
        let contacts = self.contacts.values();
        for contact in contacts.filter(|contact| next <= contact.until && !contact.lists.is_empty())
        {
            let members = contact.members.max(members).max(1);
            let members = u32::try_from(members).unwrap_or(u32::MAX);
            *lent.entry(&contact.lists).or_default() += 1.0 / f64::from(members);
        }
        let lent = lent
            .into_iter()
            .map(|(lists, share)| (lists.to_vec(), share));
        self.lent = lent.collect();
        self.counted_at = Some(now);
    }

    fn drop_idle(&mut self, now: Instant) {
        if self.accounts.len() < MAX_ACCOUNTS {
            return;
        }
        self.accounts
            .retain(|_, account| now.saturating_duration_since(account.refilled) <= IDLE_TIME);
    }
}
