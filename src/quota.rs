//! Quotas of organisations over all daemons.
//!
//! Each organisation with a limit has an owner among the daemons, which keeps its account in a [`Ledger`]. The
//! outbound sides take tokens from it, one for each call, and keep a few for a moment in their [`Holdings`].
//! `docs/design/quota.md` tells what bounds the sum over all daemons.

mod holdings;
mod ledger;

pub use holdings::{Holdings, Taken};
pub use ledger::Ledger;

use crate::generated::mesh as wire;
use crate::member::Fleet;
use std::cmp::Reverse;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Time for which a token may be used after the owner has handed it out.
pub const TOKEN_TIME: Duration = Duration::from_millis(300);

/// Time between the contacts of a daemon with each owner. It grows with the fleet, so that an owner hears of
/// at most [`MAX_CONTACT_RATE`] daemons a second.
pub const CONTACT_INTERVAL: Duration = Duration::from_millis(500);

/// Contacts a second at one owner.
pub const MAX_CONTACT_RATE: u32 = 200;

/// Contact intervals after which a daemon that has not asked no longer counts for the refill.
pub const CONTACT_INTERVALS: u32 = 2;

/// The number of daemons among which the owners are chosen: few, so that each is asked often by all daemons.
pub const MAX_OWNERS: usize = 8;

/// The limit of an organisation's calls over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Calls a second.
    pub rate: f64,
    /// Further calls at once.
    pub burst: f64,
}

/// The answer of an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// This many tokens, at least one unless none were asked for.
    Tokens(u32),
    /// None; the account has a token again after this time.
    Exhausted(Duration),
}

impl Grant {
    /// Formats the grant as a header value.
    #[must_use]
    pub fn to_text(self) -> String {
        match self {
            Grant::Tokens(count) => format!("+{count}"),
            Grant::Exhausted(time) => format!("-{}", time.as_millis()),
        }
    }

    /// Parses a header value.
    #[must_use]
    pub fn read(text: &str) -> Option<Self> {
        let (sign, number) = text.split_at_checked(1)?;
        match sign {
            "+" => Some(Grant::Tokens(number.parse().ok()?)),
            "-" => Some(Grant::Exhausted(Duration::from_millis(
                number.parse().ok()?,
            ))),
            _ => None,
        }
    }
}

/// Returns the time between contacts for a fleet of this size.
#[must_use]
pub fn contact_interval(members: usize) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    CONTACT_INTERVAL.max(Duration::from_secs(1) * members / MAX_CONTACT_RATE)
}

/// Returns the daemons among which owners are chosen: those with the fastest links, by name.
#[must_use]
pub fn owners(fleet: &Fleet) -> Vec<&wire::Member> {
    let members = fleet.members().values().map(AsRef::as_ref);
    let mut members: Vec<&wire::Member> = members
        .filter(|member| member.state() == wire::MemberState::Ready)
        .collect();
    let speed = |member: &wire::Member| member.link_mbps.checked_ilog2().map_or(0, |log| log + 1);
    members.sort_by(|a, b| (Reverse(speed(a)), &a.name).cmp(&(Reverse(speed(b)), &b.name)));
    members.truncate(MAX_OWNERS);
    members
}

/// Orders the owners for an organisation by rendezvous hashing: the first one is asked, and the next when it
/// does not answer.
pub fn sort_by_precedence(owners: &mut [&wire::Member], organisation: &str) {
    owners.sort_by_key(|owner| {
        let key = format!("{} {organisation}", owner.name);
        (Reverse(xxh3_64(key.as_bytes())), owner.name.clone())
    });
}
