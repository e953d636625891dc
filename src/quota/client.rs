//! How a daemon takes tokens: from those that it holds, from an owner, or by its own share.

use super::holdings::{Holdings, Taken};
use super::lending::{Claim, Lending};
use super::reach::Reach;
use super::{CONTACT_INTERVALS, Grant, Limit, OwnerList, contact_interval};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

/// Longest time after which a refused call may be repeated, and for which the owner is not asked again.
const MAX_EXHAUSTED: Duration = Duration::from_millis(100);

/// Contacts that follow quickly after the owners reached have changed, and the time between them. They end what
/// earlier ones have lent to other owners.
const QUICK_CONTACTS: u32 = 3;
const QUICK_INTERVAL: Duration = Duration::from_millis(100);

/// The outbound side of quotas: what a daemon holds and has lent, and which owners it reaches.
#[derive(Debug)]
pub struct QuotaClient {
    holdings: Holdings,
    lending: Lending,
    reach: Reach,
    /// The owners reached at the last contacts.
    reached: OwnerList,
    /// The contacts that are still to follow quickly.
    quick: u32,
}

impl QuotaClient {
    /// Creates the state of a process that starts now.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        QuotaClient {
            holdings: Holdings::default(),
            lending: Lending::new(now),
            reach: Reach::default(),
            reached: OwnerList::default(),
            quick: 0,
        }
    }

    /// Takes a token for a call, from those held.
    pub fn take(&mut self, now: Instant, organisation: &str) -> Taken {
        self.holdings.take(now, organisation)
    }

    /// Returns the token of a call that was refused.
    pub fn give_back(&mut self, now: Instant, organisation: &str) {
        self.holdings.give_back(now, organisation);
    }

    /// Returns those of the owners that are not passed over.
    #[must_use]
    pub fn reached(&self, now: Instant, owners: &OwnerList) -> OwnerList {
        let reached = owners
            .names()
            .filter(|owner| !self.reach.is_passed_over(now, owner));
        OwnerList::new(reached.map(ToOwned::to_owned))
    }

    /// Records that an owner is asked for tokens; returns the time for which the call waits for its answer.
    pub fn ask(&mut self, now: Instant, owner: &str) -> Duration {
        let limit = self.reach.wait_limit(now, owner);
        self.reach.note_query(now, owner);
        limit
    }

    /// Applies an owner's answer to a request of `asked` for a call.
    ///
    /// # Errors
    ///
    /// Fails with the time after which there is a token, if the call gets none.
    pub fn note_grant(
        &mut self,
        now: Instant,
        asked: Instant,
        organisation: &str,
        grant: Grant,
    ) -> Result<(), Duration> {
        match grant {
            Grant::Tokens(count) => {
                let spare = count.saturating_sub(1);
                self.holdings.deposit(now, asked, organisation, spare);
                Ok(())
            }
            Grant::Exhausted(time) => {
                let pause = time.min(MAX_EXHAUSTED);
                self.holdings.note_exhausted(now, organisation, pause);
                Err(time)
            }
        }
    }

    /// Records that an owner has answered a query.
    pub fn note_answer(&mut self, owner: &str) {
        self.reach.note_answer(owner);
    }

    /// Records that a query of an owner, sent at `sent`, has failed.
    pub fn note_failure(&mut self, now: Instant, owner: &str, sent: Instant) {
        self.reach.note_failure(now, owner, sent);
    }

    /// Records that the process of an owner has ended.
    pub fn note_end(&mut self, owner: &str) {
        self.lending.note_end(owner);
    }

    /// Decides on a call that no owner has answered: by this daemon's own share of the limit if it is not lent, and by
    /// the reserve if the owner is silent. `owner` is the one that was asked, and `sample` is uniformly distributed in
    /// 0 to 1.
    ///
    /// # Errors
    ///
    /// Fails with the time after which the call may be repeated.
    pub fn take_alone(
        &mut self,
        now: Instant,
        owner: Option<&str>,
        organisation: &str,
        limit: Limit,
        members: usize,
        sample: f64,
    ) -> Result<(), Duration> {
        let taken = if !self.lending.is_lent(now, organisation) {
            let holdings = &mut self.holdings;
            holdings.take_own(now, organisation, limit, members, sample)
        } else if owner.is_none_or(|owner| self.reach.is_silent(now, owner)) {
            let holdings = &mut self.holdings;
            holdings.take_reserve(now, organisation, limit, members, sample)
        } else {
            false
        };
        if taken { Ok(()) } else { Err(MAX_EXHAUSTED) }
    }

    /// Decides on a call to which an owner gave no token, by this daemon's own share if that owner does not have it
    /// yet, nor any other. `sample` is uniformly distributed in 0 to 1.
    pub fn take_unlent(
        &mut self,
        now: Instant,
        organisation: &str,
        limit: Limit,
        members: usize,
        sample: f64,
    ) -> bool {
        !self.lending.is_lent(now, organisation)
            && self
                .holdings
                .take_own(now, organisation, limit, members, sample)
    }

    /// Makes the regular contacts with the owners, and with those to which the share is still lent. Returns them with
    /// the time until the next ones.
    pub fn contacts(
        &mut self,
        now: Instant,
        owners: &OwnerList,
        members: usize,
    ) -> (Vec<(String, Claim)>, Duration) {
        let current = self.reached(now, owners);
        if current != self.reached {
            self.reached = current.clone();
            self.quick = QUICK_CONTACTS;
        }
        let mut names: BTreeSet<String> = owners.names().map(ToOwned::to_owned).collect();
        names.extend(self.lending.owners().map(ToOwned::to_owned));
        self.reach.retain(&names);
        self.lending.retain(&names);
        let time = lend_time(members);
        let contacts = names.into_iter().map(|name| {
            let is_late = self.reach.is_late(now, &name);
            self.reach.note_query(now, &name);
            let claim = self.lending.lend(now, &name, &current, time, is_late);
            (name, claim)
        });
        (contacts.collect(), self.next_pause(members))
    }

    fn next_pause(&mut self, members: usize) -> Duration {
        let interval = contact_interval(members);
        if self.quick == 0 {
            return interval;
        }
        self.quick -= 1;
        QUICK_INTERVAL.min(interval)
    }

    /// Records that an owner has answered a contact.
    pub fn note_contact(&mut self, owner: &str, number: u64) {
        self.reach.note_answer(owner);
        self.lending.note_answer(owner, number);
    }
}

/// Returns the time for which a contact lends the share in a fleet of this size.
#[must_use]
pub fn lend_time(members: usize) -> Duration {
    contact_interval(members) * CONTACT_INTERVALS
}
