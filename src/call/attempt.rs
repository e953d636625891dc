//! The attempt and load headers that daemons and backend servers exchange.

use std::fmt;
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};

/// Identifies an attempt: the upper 64 bits are a random number of the sending process, the lower
/// 64 bits the number of the attempt within that process.
///
/// Start times would not do in place of random numbers: daemons that are started together share
/// them, and a clock that is set back repeats them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId(pub u128);

/// Generates the ids of one process's attempts.
#[derive(Debug)]
pub struct AttemptIds {
    /// The random number of this process.
    origin: u64,
    /// The number of the next attempt.
    next: AtomicU64,
}

impl AttemptIds {
    /// Returns an id that was not returned before.
    pub fn next(&self) -> AttemptId {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        AttemptId(u128::from(self.origin) << 64 | u128::from(number))
    }
}

impl Default for AttemptIds {
    fn default() -> Self {
        AttemptIds {
            origin: rand::random(),
            next: AtomicU64::new(0),
        }
    }
}

/// One attempt of a call at one inbound side, as sent in the [`ATTEMPT`](super::ATTEMPT) header:
/// eight fields separated by dots, in the order of the fields below.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The attempt's identifier, in hexadecimal.
    pub id: AttemptId,
    /// The incarnation of the daemon that the attempt is sent to; another one does not run it.
    pub incarnation: u64,
    /// A lower bound of the time when the attempt was sent, in milliseconds of the inbound side's
    /// clock.
    pub sent_ms: u64,
    /// The weight of the request kind: calls of greater weight run first.
    pub weight: u32,
    /// Whether the call may safely run more than once.
    pub idempotent: bool,
    /// The time class, a hash of the route's name. Calls of one class are expected to have similar
    /// service times.
    pub time_class: u32,
    /// The time left until the latency objective is missed, in milliseconds; zero if there is none.
    pub objective_ms: u32,
    /// The longest wait for a slot that the outbound side accepts, in milliseconds; unlimited if
    /// `None`.
    pub wait_limit_ms: Option<u32>,
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let AttemptId(id) = self.id;
        let idempotent = u8::from(self.idempotent);
        write!(
            f,
            "{id:x}.{}.{}.{}.{idempotent}.{}.{}.",
            self.incarnation, self.sent_ms, self.weight, self.time_class, self.objective_ms
        )?;
        match self.wait_limit_ms {
            Some(limit) => write!(f, "{limit}"),
            None => f.write_str("-"),
        }
    }
}

impl FromStr for Attempt {
    type Err = AttemptError;

    fn from_str(s: &str) -> Result<Self, AttemptError> {
        parse_attempt(s).ok_or(AttemptError)
    }
}

/// The text is not a valid attempt header.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("attempt header is not valid")]
pub struct AttemptError;

fn parse_attempt(s: &str) -> Option<Attempt> {
    let mut fields = s.split('.');
    let attempt = Attempt {
        id: AttemptId(u128::from_str_radix(fields.next()?, 16).ok()?),
        incarnation: fields.next()?.parse().ok()?,
        sent_ms: fields.next()?.parse().ok()?,
        weight: fields.next()?.parse().ok()?,
        idempotent: fields.next()? == "1",
        time_class: fields.next()?.parse().ok()?,
        objective_ms: fields.next()?.parse().ok()?,
        wait_limit_ms: match fields.next()? {
            "-" => None,
            limit => Some(limit.parse().ok()?),
        },
    };
    fields.next().is_none().then_some(attempt)
}

/// The load of a backend server, as sent in the [`LOAD`](super::LOAD) header: three numbers
/// separated by slashes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Calls that it runs now.
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
        parse_load(s).ok_or(LoadError)
    }
}

/// The text is not a valid load header.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("load header is not valid")]
pub struct LoadError;

fn parse_load(s: &str) -> Option<Load> {
    let mut fields = s.splitn(3, '/');
    Some(Load {
        running: fields.next()?.parse().ok()?,
        queued: fields.next()?.parse().ok()?,
        slots: fields.next()?.parse().ok()?,
    })
}
