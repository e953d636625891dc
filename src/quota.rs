//! Quotas of organisations over all daemons.
//!
//! Each organisation with a limit has an owner among the daemons, which keeps its account in a [`Ledger`]. The
//! outbound sides take tokens from it, one for each call, and keep a few for a moment in their [`Holdings`].
//! `docs/design/quota.md` tells what bounds the sum over all daemons.

mod client;
mod holdings;
mod ledger;
mod lending;
mod owners;
mod reach;

pub use client::{QuotaClient, lend_time};
pub use holdings::{Holdings, Taken};
pub use ledger::{Contact, Ledger};
pub use lending::{Claim, Lending};
pub use owners::{MAX_OWNERS, OwnerList, owners};
pub use reach::{PASS_TIME, Reach, SILENT_TIME};

use std::time::Duration;

/// Time for which a token may be used after the owner has handed it out.
pub const TOKEN_TIME: Duration = Duration::from_millis(300);

/// Time between the contacts of a daemon with each owner. It grows with the fleet, so that an owner hears of
/// at most [`MAX_CONTACT_RATE`] daemons a second.
pub const CONTACT_INTERVAL: Duration = Duration::from_millis(500);

/// Contacts a second at one owner.
pub const MAX_CONTACT_RATE: u32 = 200;

/// Contact intervals for which a contact lends a daemon's share.
pub const CONTACT_INTERVALS: u32 = 2;

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
