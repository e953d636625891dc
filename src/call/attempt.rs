//! What one daemon tells another about an attempt, and how loaded a backend server is.

use std::fmt;
use std::str::FromStr;

/// Tells attempts apart; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId(pub u128);

/// One try of a call at one inbound side. Written as eight fields with dots between.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The attempt.
    pub id: AttemptId,
    /// The incarnation of the daemon that the attempt is for.
    pub incarnation: u64,
    /// When the attempt was sent, at the latest, by the inbound side's clock in milliseconds.
    pub sent_ms: u64,
    /// The weight of the request kind.
    pub weight: u32,
    /// Whether the call may run more than once without harm.
    pub idempotent: bool,
    /// The kind of call, as a hash of its route's name: calls of a kind take similar times.
    pub class: u32,
    /// The time left until an answer counts as late, in milliseconds; zero when it never does.
    pub objective_ms: u32,
    /// The longest wait for a slot that the sender accepts, in milliseconds; any when absent.
    pub patience_ms: Option<u32>,
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let AttemptId(id) = self.id;
        let idempotent = u8::from(self.idempotent);
        write!(
            f,
            "{id:x}.{}.{}.{}.{idempotent}.{}.{}.",
            self.incarnation, self.sent_ms, self.weight, self.class, self.objective_ms
        )?;
        match self.patience_ms {
            Some(patience) => write!(f, "{patience}"),
            None => f.write_str("-"),
        }
    }
}

impl FromStr for Attempt {
    type Err = AttemptError;

    fn from_str(s: &str) -> Result<Self, AttemptError> {
        read(s).ok_or(AttemptError)
    }
}

/// The text is not an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("attempt header is not valid")]
pub struct AttemptError;

fn read(s: &str) -> Option<Attempt> {
    let mut fields = s.split('.');
    let attempt = Attempt {
        id: AttemptId(u128::from_str_radix(fields.next()?, 16).ok()?),
        incarnation: fields.next()?.parse().ok()?,
        sent_ms: fields.next()?.parse().ok()?,
        weight: fields.next()?.parse().ok()?,
        idempotent: fields.next()? == "1",
        class: fields.next()?.parse().ok()?,
        objective_ms: fields.next()?.parse().ok()?,
        patience_ms: match fields.next()? {
            "-" => None,
            patience => Some(patience.parse().ok()?),
        },
    };
    fields.next().is_none().then_some(attempt)
}

/// The load of a backend server. Written as three numbers with slashes between.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Calls that it runs.
    pub running: u32,
    /// Calls that wait for a slot.
    pub queued: u32,
    /// Calls that it may run at once.
    pub slots: u32,
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.running, self.queued, self.slots)
    }
}

impl FromStr for Load {
    type Err = LoadError;

    fn from_str(s: &str) -> Result<Self, LoadError> {
        read_load(s).ok_or(LoadError)
    }
}

/// The text is not a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("load header is not valid")]
pub struct LoadError;

fn read_load(s: &str) -> Option<Load> {
    let mut fields = s.splitn(3, '/');
    Some(Load {
        running: fields.next()?.parse().ok()?,
        queued: fields.next()?.parse().ok()?,
        slots: fields.next()?.parse().ok()?,
    })
}
