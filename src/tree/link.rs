//! One stream to another daemon, as the control state sees it.

use super::outbox::Outbox;
use crate::snapshot::Stamp;
use slotmap::new_key_type;
use tokio::time::Instant;

new_key_type! {
    /// A stream of a [`super::node::Node`].
    pub struct LinkId;
}

/// What the daemon at the other side is to this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// It gets versions and members from this daemon.
    Child,
    /// It exchanges versions and members with this daemon, a relay as well.
    Peer,
    /// This daemon gets versions and members from it.
    Parent,
}

/// One stream to another daemon.
#[derive(Debug)]
pub struct Link {
    /// What the other daemon is to this one.
    pub side: Side,
    /// Its name; empty until it has answered.
    pub name: String,
    /// Its incarnation; zero when not known.
    pub incarnation: u64,
    /// Its failure domain.
    pub domain: String,
    /// Its mesh address.
    pub address: String,
    /// Whether it holds a relay lease.
    pub relay: bool,
    /// What is to be sent to it.
    pub outbox: Outbox,
    /// The newest version that it has put in force.
    pub applied: Stamp,
    /// When the last message came.
    pub heard: Instant,
    /// Whether the last heartbeat had another digest than this daemon.
    pub differs: bool,
}

impl Link {
    /// Makes a link to a daemon that has not answered yet.
    #[must_use]
    pub fn new(side: Side, address: &str, outbox: Outbox, now: Instant) -> Self {
        Link {
            side,
            name: String::new(),
            incarnation: 0,
            domain: String::new(),
            address: address.into(),
            relay: false,
            outbox,
            applied: Stamp::default(),
            heard: now,
            differs: false,
        }
    }
}
