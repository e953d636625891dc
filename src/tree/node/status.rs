//! Status of a node: acknowledgement counts and the state dump.

use super::{Node, TreeRole};
use crate::generated::mesh as wire;
use crate::snapshot::Stamp;
use crate::tree::link::Side;
use serde::Serialize;

/// Maximum number of lagging daemons that are named in a status response.
const MAX_LAGGARDS: usize = 32;

/// The state of a node in the state dump.
#[derive(Clone, Debug, Default, Serialize)]
pub struct NodeState {
    /// The role: `seeking`, `child`, `stand-in` or `relay-` and the slot.
    pub role: String,
    /// The stamp of the newest known version.
    pub newest: Stamp,
    /// The number of attached children.
    pub children: usize,
    /// The number of streams to other relays.
    pub peers: usize,
    /// The relay that this daemon is attached to.
    pub parent: Option<ParentState>,
    /// The known relays, as `domain/slot name`.
    pub relays: Vec<String>,
    /// The digest over all member records.
    pub digest: u64,
}

/// The parent of a daemon in the state dump.
#[derive(Clone, Debug, Serialize)]
pub struct ParentState {
    /// Its name.
    pub name: String,
    /// Its mesh address.
    pub address: String,
    /// Whether it holds a relay lease.
    pub relay: bool,
}

impl Node {
    /// Counts this daemon and its children, and how many of them have `version` or a newer one in
    /// force.
    ///
    /// Names a limited number of the others and, if `with_names` is set, all that have it.
    #[must_use]
    pub fn status(&self, version: u64, with_names: bool) -> wire::StatusResponse {
        // After a refusal, zero is reported: the older version in force is not recorded here.
        let own = if self.own_ack.error.is_empty() {
            Stamp::from_wire(self.own_ack.stamp.as_ref()).version
        } else {
            0
        };
        let mut daemons = vec![(self.identity.name.as_str(), own)];
        let children = self.links.values().filter(|link| link.side == Side::Child);
        daemons.extend(children.map(|link| (link.name.as_str(), link.applied.version)));
        let (current, lagging): (Vec<_>, Vec<_>) = daemons
            .into_iter()
            .partition(|(_, applied)| *applied >= version);
        let owned = |(name, _): &(&str, u64)| (*name).to_owned();
        wire::StatusResponse {
            attached: u32::try_from(current.len() + lagging.len()).unwrap_or(u32::MAX),
            applied: u32::try_from(current.len()).unwrap_or(u32::MAX),
            laggards: lagging.iter().take(MAX_LAGGARDS).map(owned).collect(),
            names: if with_names {
                current.iter().map(owned).collect()
            } else {
                Vec::new()
            },
            version: own,
        }
    }

    /// Returns the state for the state dump.
    #[must_use]
    pub fn state(&self) -> NodeState {
        let count = |side| self.links.values().filter(|link| link.side == side).count();
        let mut parents = self.links.values().filter(|link| link.side == Side::Parent);
        // The name is empty until the welcome arrives, so the daemon is not attached yet.
        let parent = parents.find(|link| !link.name.is_empty());
        let relays = self.relays.values();
        NodeState {
            role: role_name(self.role),
            newest: self.newest(),
            children: count(Side::Child),
            peers: count(Side::Peer),
            parent: parent.map(|link| ParentState {
                name: link.name.clone(),
                address: link.address.clone(),
                relay: link.relay,
            }),
            relays: relays
                .map(|relay| format!("{}/{} {}", relay.domain, relay.slot, relay.name))
                .collect(),
            digest: self.members_digest,
        }
    }

    /// Returns the names of the daemons that have a peer stream to this one.
    #[must_use]
    pub fn peer_names(&self) -> Vec<String> {
        let peers = self.links.values().filter(|link| link.side == Side::Peer);
        peers.map(|link| link.name.clone()).collect()
    }
}

fn role_name(role: TreeRole) -> String {
    match role {
        TreeRole::Seeking => "seeking".into(),
        TreeRole::Child => "child".into(),
        TreeRole::StandIn => "stand-in".into(),
        TreeRole::Relay(slot) => format!("relay-{slot}"),
    }
}
