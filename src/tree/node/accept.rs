//! Establishment of streams: admission, redirects, and rebalancing of children.

use super::{Effect, Node, TreeRole, is_relay};
use crate::event;
use crate::generated::mesh as wire;
use crate::generated::mesh::frame::Content;
use crate::snapshot::Stamp;
use crate::tree::link::{Link, LinkId, Side};
use crate::tree::rendezvous;
use crate::tree::target::Target;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of relays listed in a welcome or redirect.
const MAX_LISTED_RELAYS: usize = 64;

/// Minimum delay before a redirected daemon retries.
const REDIRECT_RETRY: Duration = Duration::from_millis(500);

/// Minimum time between two redirects of the same child for rebalancing.
const REBALANCE_INTERVAL: Duration = Duration::from_mins(5);

impl Node {
    /// Opens a stream to another daemon; the hello is the first message in its outbox.
    pub fn open(&mut self, side: Side, target: &Target, now: Instant) -> LinkId {
        let mut outbox = self.outbox(side, now);
        outbox.set_greeting(Content::Hello(self.hello(side, target.incarnation)));
        let id = self
            .links
            .insert(Link::new(side, &target.address, outbox, now));
        self.writable.insert(id);
        id
    }

    /// Admits a daemon that requests to attach and opens the stream to it.
    ///
    /// # Errors
    ///
    /// Fails with the redirect to send instead of a welcome when the daemon is not admitted.
    pub fn accept(
        &mut self,
        hello: &wire::Hello,
        now: Instant,
    ) -> Result<(LinkId, Vec<Effect>), wire::Redirect> {
        let side = if hello.peer { Side::Peer } else { Side::Child };
        self.admit(hello, side, now)?;
        let mut outbox = self.outbox(side, now);
        outbox.set_greeting(Content::Welcome(self.welcome(hello)));
        let have = Stamp::from_wire(hello.have.as_ref());
        outbox.set_remote_stamp(have);
        outbox.offer_newest();
        let (records, wanted) = self.members.diff(&hello.digests);
        outbox.add_members(&records, now);
        outbox.flush(now);
        outbox.request_domains(wanted, now);
        let mut link = Link::new(side, &hello.mesh, outbox, now);
        link.name.clone_from(&hello.name);
        link.incarnation = hello.incarnation;
        link.domain.clone_from(&hello.domain);
        link.relay = hello.relay;
        let mut effects = self.close_replaced(&link);
        let id = self.links.insert(link);
        self.writable.insert(id);
        if side == Side::Child {
            event!(ChildAttached, child = hello.name);
        } else {
            self.send_attached(id);
        }
        if have.version > self.newest().version {
            effects.push(Effect::RequestLater(id, have.version));
        }
        Ok((id, effects))
    }

    pub(super) fn on_welcome(
        &mut self,
        id: LinkId,
        welcome: wire::Welcome,
        now: Instant,
    ) -> Vec<Effect> {
        let theirs = Stamp::from_wire(welcome.newest.as_ref());
        let own = self.own_record.clone();
        let Some(link) = self.links.get_mut(id) else {
            return Vec::new();
        };
        link.name = welcome.name;
        link.domain = welcome.domain;
        link.relay = welcome.relay;
        link.incarnation = welcome.incarnation;
        link.outbox.set_remote_stamp(theirs);
        link.outbox.offer_newest();
        if link.side == Side::Parent {
            link.outbox.set_ack(self.own_ack.clone());
            if let Some(own) = own {
                link.outbox.add_members(&[own], now);
                link.outbox.flush(now);
            }
        }
        let peer = link.side == Side::Peer;
        self.writable.insert(id);
        self.merge_relays(welcome.relays);
        if peer {
            self.send_attached(id);
        }
        // The floor covers every version known to be accepted, and the other daemon has this one.
        let mut effects = vec![Effect::RaiseFloor(welcome.floor.max(theirs.version))];
        if theirs.version > self.newest().version {
            effects.push(Effect::RequestLater(id, theirs.version));
        }
        effects
    }

    /// Returns the floor of a daemon: the highest version that it has acknowledged here, below
    /// which it must not apply any after a restart. Zero if unknown.
    #[must_use]
    pub fn floor_of(&self, name: &str) -> u64 {
        self.floors.get(name)
    }

    /// Redirects every child to other relays.
    pub(super) fn redirect_children(&mut self) {
        let redirect = self.redirect_to_relays(REDIRECT_RETRY);
        for (id, link) in &mut self.links {
            if link.side == Side::Child {
                link.outbox.redirect(redirect.clone());
                self.writable.insert(id);
            }
        }
    }

    /// Redirects to the other relay of the failure domain some of the children that rank it first.
    pub(super) fn rebalance(&mut self, now: Instant) {
        if !matches!(self.role, TreeRole::Relay(_)) {
            return;
        }
        self.rebalanced
            .retain(|_, at| now.saturating_duration_since(*at) < REBALANCE_INTERVAL);
        let Some(other) = self.other_relay() else {
            return;
        };
        // This runs at every tick, that is once per second.
        let max_moves = (self.settings.admission_rate as usize / 4).max(1);
        let mut sent = 0;
        for (id, link) in &mut self.links {
            if sent == max_moves {
                return;
            }
            let mut choices = [self.mesh_address.as_str(), other.address.as_str()];
            rendezvous::rank(&link.name, &mut choices);
            let moves = link.side == Side::Child && choices[0] == other.address;
            if !moves || self.rebalanced.contains_key(&link.name) {
                continue;
            }
            self.rebalanced.insert(link.name.clone(), now);
            link.outbox.redirect(wire::Redirect {
                relays: vec![other.clone()],
                retry_ms: 0,
            });
            self.writable.insert(id);
            sent += 1;
        }
    }

    /// Asks a child to acquire a vacant relay slot of this failure domain; false if there is no
    /// child. `turn` selects the child round-robin.
    pub fn promote(&mut self, slot: u32, turn: usize) -> bool {
        let domain = &self.identity.domain;
        let children = self.links.iter_mut();
        let mut children: Vec<_> = children
            .filter(|(_, link)| link.side == Side::Child && link.domain == *domain)
            .collect();
        children.sort_by(|(_, a), (_, b)| a.name.cmp(&b.name));
        let count = children.len();
        if count == 0 {
            return false;
        }
        let (id, link) = &mut children[turn % count];
        link.outbox.promote(slot);
        self.writable.insert(*id);
        true
    }

    fn admit(
        &mut self,
        hello: &wire::Hello,
        side: Side,
        now: Instant,
    ) -> Result<(), wire::Redirect> {
        // Zero accepts any incarnation.
        if hello.target != 0 && hello.target != self.identity.incarnation {
            // The hello is meant for an earlier daemon at this address. Its sender may belong to
            // another fleet, so it must not receive this fleet's relays.
            return Err(wire::Redirect::default());
        }
        // A daemon that accepted its own parent as a child would form a cycle.
        let is_parent = self.links.values().any(|link| {
            link.side == Side::Parent && (link.name == hello.name || link.address == hello.mesh)
        });
        if hello.name == self.identity.name || is_parent {
            return Err(self.redirect_to_relays(REDIRECT_RETRY));
        }
        if side == Side::Peer {
            let mut links = self.links.values();
            // A stream to an earlier incarnation does not count: its daemon has restarted.
            let duplicate = links.any(|link| {
                link.side == side
                    && link.name == hello.name
                    && link.incarnation >= hello.incarnation
            });
            // Of two streams between the same relays, the one opened by the lower name is kept.
            let redundant = duplicate && hello.name > self.identity.name;
            let admitted = is_relay(self.role) && !redundant;
            return admitted
                .then_some(())
                .ok_or_else(|| self.redirect_to_relays(REDIRECT_RETRY));
        }
        let superseded = self.links.values().any(|link| {
            link.name == hello.name && link.side == side && link.incarnation > hello.incarnation
        });
        let children = self.links.values().filter(|link| link.side == Side::Child);
        let at_capacity = children.count() >= self.settings.max_children as usize;
        if self.role == TreeRole::Seeking || superseded || at_capacity {
            return Err(self.redirect_to_relays(REDIRECT_RETRY));
        }
        if !self.admission_bucket.take(now) {
            let wait = self.admission_bucket.time_until_next();
            return Err(self.redirect_to_relays(wait.max(REDIRECT_RETRY)));
        }
        Ok(())
    }

    /// Closes older streams of a daemon that attaches again.
    fn close_replaced(&self, new: &Link) -> Vec<Effect> {
        let links = self.links.iter();
        let replaced = links.filter(|(_, link)| link.side == new.side && link.name == new.name);
        replaced.map(|(id, _)| Effect::Close(id)).collect()
    }

    /// Builds a redirect to the known relays, those of this failure domain first.
    fn redirect_to_relays(&self, retry: Duration) -> wire::Redirect {
        let mut records: Vec<_> = self.relays.values().collect();
        records.retain(|record| record.address != self.mesh_address);
        records.sort_by_key(|record| record.domain != self.identity.domain);
        wire::Redirect {
            relays: records
                .into_iter()
                .take(MAX_LISTED_RELAYS)
                .cloned()
                .collect(),
            retry_ms: u32::try_from(retry.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Returns the other relay of this failure domain, if a stream to it is open.
    fn other_relay(&self) -> Option<wire::RelayRecord> {
        let mut links = self.links.values();
        let other = links.find(|link| {
            link.side == Side::Peer && link.relay && link.domain == self.identity.domain
        });
        other.map(|link| wire::RelayRecord {
            name: link.name.clone(),
            address: link.address.clone(),
            domain: link.domain.clone(),
            incarnation: link.incarnation,
            // Unknown on a stream, and not used by a daemon that is redirected.
            slot: 0,
        })
    }

    /// Builds the hello for a daemon; `target` is its expected incarnation, or zero for any.
    fn hello(&self, side: Side, target: u64) -> wire::Hello {
        wire::Hello {
            name: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            domain: self.identity.domain.clone(),
            region: self.identity.region.clone(),
            mesh: self.mesh_address.clone(),
            peer: side == Side::Peer,
            have: Some(self.newest().to_wire()),
            digests: self.members.digests(),
            relay: matches!(self.role, TreeRole::Relay(_)),
            target,
        }
    }

    fn welcome(&self, hello: &wire::Hello) -> wire::Welcome {
        wire::Welcome {
            name: self.identity.name.clone(),
            floor: self.floors.get(&hello.name),
            newest: Some(self.newest().to_wire()),
            relays: self
                .relays
                .values()
                .take(MAX_LISTED_RELAYS)
                .cloned()
                .collect(),
            domain: self.identity.domain.clone(),
            relay: matches!(self.role, TreeRole::Relay(_)),
            incarnation: self.identity.incarnation,
        }
    }

    /// Sends the attachment keys of the daemons attached here to a peer; does nothing if the peer
    /// is in another failure domain.
    fn send_attached(&mut self, id: LinkId) {
        let keys = self.members.attached();
        if let Some(link) = self.links.get_mut(id)
            && link.domain == self.identity.domain
        {
            link.outbox.set_attached(keys);
            self.writable.insert(id);
        }
    }

    /// Sends the attachment keys to the peers in this failure domain if they have changed.
    pub(super) fn share_attached(&mut self) {
        let keys = self.members.attached();
        if keys == self.shared_keys || !is_relay(self.role) {
            return;
        }
        let links = self.links.iter();
        let peers = links.filter(|(_, link)| link.side == Side::Peer);
        let peers: Vec<LinkId> = peers.map(|(id, _)| id).collect();
        for id in peers {
            self.send_attached(id);
        }
        self.shared_keys = keys;
    }
}
