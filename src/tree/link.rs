//! The control state of one stream to another daemon.

use super::outbox::Outbox;
use crate::snapshot::Stamp;
use slotmap::new_key_type;
use tokio::time::Instant;

new_key_type! {
    /// The key of a stream in a [`super::node::Node`].
    pub struct LinkId;
}

/// The relation of the other daemon to this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// It receives versions and member records from this daemon.
    Child,
    /// Both are relays, and exchange versions and member records.
    Peer,
    /// This daemon receives versions and member records from it.
    Parent,
}

/// The control state of one stream to another daemon, at this end.
#[derive(Debug)]
pub struct Link {
    /// The relation of the other daemon to this one.
    pub side: Side,
    /// Its name; empty until its welcome arrives.
    pub name: String,
    /// Its incarnation; zero until its welcome arrives.
    pub incarnation: u64,
    /// Its failure domain; empty until its welcome arrives.
    pub domain: String,
    /// Its mesh address.
    pub address: String,
    /// Whether it held a relay lease when the stream was opened.
    pub relay: bool,
    /// The messages to send to it.
    pub outbox: Outbox,
    /// The newest version that it has acknowledged as in force.
    pub applied: Stamp,
    /// When the last message was received.
    pub last_received: Instant,
    /// Whether the digest of the last heartbeat differed from this daemon's. Reset once the
    /// difference has lasted for two heartbeats.
    pub digest_differs: bool,
}

impl Link {
    /// Creates the state of a stream before the first message is received.
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
            last_received: now,
            digest_differs: false,
        }
    }
}
