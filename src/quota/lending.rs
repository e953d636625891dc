//! The share of a daemon in the refill of each account, which it lends to one owner at a time.
//!
//! An owner refills an account by the shares that are lent to it. Each contact lends for a limited time and states
//! the lists of owners from which the sender chooses: the receiver counts the sender for an organisation only if it
//! is the owner by all of them. Of two contacts that may be in force at the same time, the later one states a list
//! of the earlier one, so that no two receivers are the owner by all lists of theirs.

use super::OwnerList;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// Lists that a contact states at most. With more of them in force, nothing is lent until some have lapsed.
const MAX_LISTS: usize = 4;

/// What a contact states.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Increases with each contact of this process.
    pub number: u64,
    /// The end of the time for which the share is lent.
    pub until: Instant,
    /// The lists by which the receiver must be an owner to count the sender; empty to lend nothing.
    pub lists: Vec<OwnerList>,
}

/// The shares that a daemon has lent.
#[derive(Debug)]
pub struct Lending {
    started: Instant,
    last_number: u64,
    /// What each owner may have of this daemon, oldest first.
    lent: BTreeMap<String, Vec<Loan>>,
    /// The owners that have answered, and so no longer count an earlier process of this daemon.
    answered: BTreeSet<String>,
}

/// A share that is lent by one contact.
#[derive(Debug)]
struct Loan {
    claim: Claim,
    /// The list in use when it was made, one of those stated.
    current: OwnerList,
}

impl Lending {
    /// Creates the state of a process that starts now and has lent nothing.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Lending {
            started: now,
            last_number: 0,
            lent: BTreeMap::new(),
            answered: BTreeSet::new(),
        }
    }

    /// Makes a contact with an owner, which lends the share for `time`, or nothing if the owner `is_late` with an
    /// answer: what it has lapses then, while it is found out whether it is reached. `current` is the list in use.
    pub fn lend(
        &mut self,
        now: Instant,
        owner: &str,
        current: &OwnerList,
        time: Duration,
        is_late: bool,
    ) -> Claim {
        self.drop_lapsed(now);
        let lists = if is_late || self.may_be_lent_before(now, current, time) {
            Vec::new()
        } else {
            self.lists(current)
        };
        self.last_number += 1;
        let claim = Claim {
            number: self.last_number,
            until: now + time,
            lists,
        };
        if !claim.lists.is_empty() {
            let loan = Loan {
                claim: claim.clone(),
                current: current.clone(),
            };
            self.lent.entry(owner.to_owned()).or_default().push(loan);
        }
        claim
    }

    /// Records that an owner has answered a contact: it no longer counts this daemon by an earlier one.
    pub fn note_answer(&mut self, owner: &str, number: u64) {
        self.answered.insert(owner.to_owned());
        if let Some(loans) = self.lent.get_mut(owner) {
            loans.retain(|loan| loan.claim.number >= number);
        }
    }

    /// Records that the process of an owner has ended.
    pub fn note_end(&mut self, owner: &str) {
        self.lent.remove(owner);
    }

    /// Tests whether an owner may count this daemon for an organisation.
    pub fn is_lent(&mut self, now: Instant, organisation: &str) -> bool {
        self.drop_lapsed(now);
        self.lent.iter().any(|(owner, loans)| {
            let is_owner = |list: &OwnerList| list.owner(organisation) == Some(owner);
            let mut loans = loans.iter();
            loans.any(|loan| loan.claim.lists.iter().all(is_owner))
        })
    }

    /// Forgets which owners have answered, but for these.
    pub fn retain(&mut self, names: &BTreeSet<String>) {
        self.answered.retain(|owner| names.contains(owner));
    }

    /// Returns the owners to which the share is lent.
    pub fn owners(&self) -> impl Iterator<Item = &str> {
        self.lent.keys().map(String::as_str)
    }

    /// Returns the lists that the next contact states.
    fn lists(&self, current: &OwnerList) -> Vec<OwnerList> {
        let mut lists = vec![current.clone()];
        for loan in self.lent.values().flatten() {
            if !loan.claim.lists.contains(current) && !lists.contains(&loan.current) {
                lists.push(loan.current.clone());
            }
        }
        if lists.len() > MAX_LISTS {
            lists.clear();
        }
        lists
    }

    /// Tests whether an owner may still count an earlier process of this daemon.
    fn may_be_lent_before(&self, now: Instant, current: &OwnerList, time: Duration) -> bool {
        let has_answered = |owner: &str| self.answered.contains(owner);
        now.saturating_duration_since(self.started) < time && !current.names().all(has_answered)
    }

    fn drop_lapsed(&mut self, now: Instant) {
        self.lent.retain(|_, loans| {
            loans.retain(|loan| now < loan.claim.until);
            !loans.is_empty()
        });
    }
}
