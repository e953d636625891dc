//! The control state of one daemon in the distribution tree.
//!
//! A node is a state machine: it takes messages and the current time, returns [`Effect`]s and
//! fills one outbox per stream. Its owner transports the messages.

mod accept;
mod exchange;
mod status;

pub use status::{NodeState, ParentState};

use super::backoff::TokenBucket;
use super::floors::Floors;
use super::history::History;
use super::link::{Link, LinkId, Side};
use super::outbox::{HeartbeatState, Next, Outbox};
use crate::daemon::Identity;
use crate::event;
use crate::generated::mesh as wire;
use crate::generated::mesh::frame::Content;
use crate::generated::mesh::update::Content as UpdateContent;
use crate::member::{MemberSet, SetSettings};
use crate::snapshot::{Snapshot, Stamp};
use slotmap::SlotMap;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Heartbeat intervals without any message after which a stream is closed.
pub const MAX_MISSED_HEARTBEATS: u32 = 3;

/// Heartbeat interval towards a parent, relative to the configured interval.
///
/// A child responds to each heartbeat of its parent at once, so its own timer only matters when
/// none arrives.
const PARENT_HEARTBEAT_FACTOR: f64 = 1.5;

/// A daemon's role in the distribution tree.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TreeRole {
    /// It is running relay discovery and accepts no children.
    #[default]
    Seeking,
    /// It is attached to a relay.
    Child,
    /// It is the fallback relay: it accepts children without a lease because no relay was found.
    /// The events log this variant under its name.
    StandIn,
    /// It holds the lease of a relay slot.
    Relay(u32),
}

/// Limits and intervals of a [`Node`].
#[derive(Clone, Copy, Debug)]
pub struct NodeSettings {
    /// Time for which member changes are batched before they are sent.
    pub batch_window: Duration,
    /// Interval between heartbeats on an idle stream.
    pub heartbeat: Duration,
    /// Maximum number of attached children.
    pub max_children: u32,
    /// Maximum number of children admitted per second; must not be zero.
    pub admission_rate: u32,
}

/// An action that the owner of a [`Node`] must perform.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Put this version in force.
    Apply(Arc<Snapshot>),
    /// Raise the floor: refuse every version below this one.
    RaiseFloor(u64),
    /// Publish the changed member set.
    MembersChanged,
    /// Close this stream.
    Close(LinkId),
    /// After a short delay, call [`Node::request_if_missing`] with this stream and version. The
    /// update may already be on its way, and then need not be requested.
    RequestLater(LinkId, u64),
    /// Notify the tasks that wait for acknowledgements.
    Acknowledged,
}

/// The control state of one daemon in the distribution tree.
#[derive(Debug)]
pub struct Node {
    identity: Identity,
    mesh_address: String,
    settings: NodeSettings,
    role: TreeRole,
    history: History,
    members: MemberSet,
    /// The digest over all member records, compared with that of each received heartbeat.
    members_digest: u64,
    /// The open streams to other daemons, including those whose welcome has not arrived yet.
    links: SlotMap<LinkId, Link>,
    /// Streams whose outbox has something new to send.
    writable: BTreeSet<LinkId>,
    floors: Floors,
    admission_bucket: TokenBucket,
    /// The known relays, by failure domain and slot.
    relays: BTreeMap<(String, u32), wire::RelayRecord>,
    /// The member record that this daemon last announced.
    own_record: Option<wire::Member>,
    /// The version that this daemon itself last applied, or refused with an error.
    own_ack: wire::Ack,
    /// When each child, by name, was last redirected to the other relay of the failure domain.
    rebalanced: BTreeMap<String, Instant>,
    /// The attachment keys (hashes of name and incarnation) last sent to the peers.
    shared_keys: Vec<u64>,
}

impl Node {
    /// Creates a node without versions, members, relays or streams.
    #[must_use]
    pub fn new(
        identity: Identity,
        mesh_address: String,
        settings: NodeSettings,
        now: Instant,
    ) -> Self {
        Node {
            members: MemberSet::new(&identity.domain, SetSettings::default()),
            identity,
            mesh_address,
            settings,
            role: TreeRole::default(),
            history: History::default(),
            members_digest: 0,
            links: SlotMap::with_key(),
            writable: BTreeSet::new(),
            floors: Floors::default(),
            admission_bucket: TokenBucket::new(settings.admission_rate, now),
            relays: BTreeMap::new(),
            own_record: None,
            own_ack: wire::Ack::default(),
            rebalanced: BTreeMap::new(),
            shared_keys: Vec::new(),
        }
    }

    /// Returns the role in the distribution tree.
    #[must_use]
    pub fn role(&self) -> TreeRole {
        self.role
    }

    /// Changes the role. A daemon that stops being a relay redirects its children.
    pub fn set_role(&mut self, role: TreeRole, now: Instant) -> Vec<Effect> {
        let before = std::mem::replace(&mut self.role, role);
        if is_relay(role) {
            self.members.start_relay();
            // The announcement also marks this daemon as attached to itself, as every relay is.
            let own = self.own_record.clone();
            return own.map_or_else(Vec::new, |own| self.announce(own, now));
        }
        self.members.stop_relay();
        self.shared_keys.clear();
        if is_relay(before) {
            self.redirect_children();
        }
        Vec::new()
    }

    /// Returns the stamp of the newest known version.
    #[must_use]
    pub fn newest(&self) -> Stamp {
        self.history.stamp()
    }

    /// Returns the known members.
    #[must_use]
    pub fn members(&self) -> &MemberSet {
        &self.members
    }

    /// Returns the known relays of all failure domains.
    #[must_use]
    pub fn relays(&self) -> Vec<wire::RelayRecord> {
        self.relays.values().cloned().collect()
    }

    /// Replaces the known relays of a failure domain, or of all if `domain` is empty.
    pub fn set_relays(&mut self, domain: &str, records: Vec<wire::RelayRecord>) {
        let keep = |relay_domain: &str| !domain.is_empty() && relay_domain != domain;
        self.relays
            .retain(|(relay_domain, _), _| keep(relay_domain));
        self.merge_relays(records);
    }

    /// Adds or updates relays reported by another daemon.
    pub fn merge_relays(&mut self, records: Vec<wire::RelayRecord>) {
        for record in records {
            let key = (record.domain.clone(), record.slot);
            self.relays.insert(key, record);
        }
    }

    /// Removes and returns the streams that have something new to send.
    pub fn take_writable(&mut self) -> BTreeSet<LinkId> {
        std::mem::take(&mut self.writable)
    }

    /// Returns the next step for the writer of a stream; `None` when the stream is closed.
    pub fn next(&mut self, link: LinkId, now: Instant) -> Option<Next> {
        let heartbeat = HeartbeatState {
            version: self.history.stamp().version,
            digest: self.members_digest,
        };
        let link = self.links.get_mut(link)?;
        Some(link.outbox.next(&mut self.history, heartbeat, now))
    }

    /// Handles the end of a stream. Its daemon no longer counts as attached unless it reattached.
    pub fn closed(&mut self, id: LinkId, now: Instant) -> Vec<Effect> {
        let Some(link) = self.links.remove(id) else {
            return Vec::new();
        };
        match link.side {
            Side::Child => {
                event!(ChildDetached, child = link.name);
                let mut others = self.links.values();
                let reattached =
                    others.any(|other| other.side == Side::Child && other.name == link.name);
                // The daemon may have reattached before its old stream ended.
                if reattached {
                    return Vec::new();
                }
                self.members.detach(&link.name, link.incarnation, now);
                Vec::new()
            }
            Side::Peer => {
                self.members.clear_attached(&link.name);
                Vec::new()
            }
            Side::Parent => Vec::new(),
        }
    }

    /// Handles a message received on a stream.
    pub fn receive(&mut self, id: LinkId, content: Content, now: Instant) -> Vec<Effect> {
        let Some(link) = self.links.get_mut(id) else {
            return Vec::new();
        };
        link.last_received = now;
        match content {
            Content::Welcome(welcome) => self.on_welcome(id, welcome, now),
            Content::Update(update) => self.on_update(id, update, now),
            Content::Ack(ack) => self.on_ack(id, &ack),
            Content::Need(need) => {
                let have = Stamp::from_wire(need.have.as_ref());
                link.outbox.set_remote_stamp(have);
                link.outbox.offer_newest();
                self.writable.insert(id);
                Vec::new()
            }
            Content::Members(update) => self.on_members(id, update, now),
            Content::Heartbeat(heartbeat) => self.on_heartbeat(id, &heartbeat, now),
            Content::Attached(attached) => {
                // The relays of a failure domain detect the lost daemons of their own domain only.
                if link.domain == self.identity.domain {
                    self.members.mark_attached(&link.name, attached.keys);
                }
                Vec::new()
            }
            // The task that reads the stream handles these.
            Content::Hello(_) | Content::Redirect(_) | Content::Promote(_) => Vec::new(),
        }
    }

    /// Adds a version that did not arrive on a stream: this daemon read it from the platform,
    /// fetched it at startup, or accepted it itself.
    pub fn add_local_version(&mut self, snapshot: Arc<Snapshot>, now: Instant) -> Vec<Effect> {
        self.add_version(snapshot, None, now)
    }

    /// Records whether this daemon applied or refused a version, and sends the result to the
    /// parent. An empty `error` means applied, as in the wire message.
    pub fn record_apply_result(&mut self, stamp: Stamp, error: String) -> Vec<Effect> {
        let stamp = Some(stamp.to_wire());
        self.own_ack = wire::Ack { stamp, error };
        for (id, link) in &mut self.links {
            if link.side == Side::Parent {
                link.outbox.set_ack(self.own_ack.clone());
                self.writable.insert(id);
            }
        }
        vec![Effect::Acknowledged]
    }

    /// Requests a version that the other side of a stream reported, if it is still missing here.
    pub fn request_if_missing(&mut self, id: LinkId, version: u64) {
        let have = self.history.stamp();
        if let Some(link) = self.links.get_mut(id)
            && version > have.version
        {
            link.outbox.request_update(have);
            self.writable.insert(id);
        }
    }

    fn add_version(
        &mut self,
        snapshot: Arc<Snapshot>,
        from: Option<LinkId>,
        now: Instant,
    ) -> Vec<Effect> {
        if !self.history.add(Arc::clone(&snapshot)) {
            return Vec::new();
        }
        for (id, link) in &mut self.links {
            match link.side {
                Side::Child => link.outbox.offer_newest(),
                // A heartbeat reports the version; a receiver that lacks it sends a request.
                Side::Peer | Side::Parent if Some(id) != from => link.outbox.send_heartbeat(now),
                Side::Peer | Side::Parent => continue,
            }
            self.writable.insert(id);
        }
        vec![Effect::Apply(snapshot)]
    }

    fn on_update(&mut self, id: LinkId, update: wire::Update, now: Instant) -> Vec<Effect> {
        let full = matches!(update.content, Some(UpdateContent::Full(_)));
        match self.history.decode_update(update) {
            Ok(snapshot) => {
                let stamp = snapshot.stamp();
                if let Some(link) = self.links.get_mut(id) {
                    link.outbox.raise_remote_stamp(stamp);
                }
                self.add_version(snapshot, Some(id), now)
            }
            Err(err) => {
                event!(DeltaRefused, full = full, error = err);
                // Requesting a damaged full snapshot again could loop without end.
                if full {
                    return vec![Effect::Close(id)];
                }
                if let Some(link) = self.links.get_mut(id) {
                    // An empty stamp as the base requests a full snapshot.
                    link.outbox.request_update(Stamp::default());
                    self.writable.insert(id);
                }
                Vec::new()
            }
        }
    }

    fn on_ack(&mut self, id: LinkId, ack: &wire::Ack) -> Vec<Effect> {
        let stamp = Stamp::from_wire(ack.stamp.as_ref());
        let Some(link) = self.links.get_mut(id) else {
            return Vec::new();
        };
        if !ack.error.is_empty() {
            event!(
                VersionRefused,
                child = link.name,
                version = stamp,
                error = ack.error
            );
            return Vec::new();
        }
        link.applied = link.applied.max(stamp);
        self.floors.raise(&link.name, stamp.version);
        vec![Effect::Acknowledged]
    }

    fn outbox(&self, side: Side, now: Instant) -> Outbox {
        let heartbeat = match side {
            Side::Child | Side::Peer => self.settings.heartbeat,
            Side::Parent => self.settings.heartbeat.mul_f64(PARENT_HEARTBEAT_FACTOR),
        };
        Outbox::new(self.settings.batch_window, heartbeat, now)
    }
}

/// The origin of member records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// This daemon itself.
    Own,
    /// The daemon at the other end of this stream.
    Link(LinkId),
}

/// Returns whether a daemon in this role acts as a relay, with or without a lease.
///
/// The `relay` fields of [`Link`] and of the messages are true for the holder of a lease only.
#[must_use]
pub fn is_relay(role: TreeRole) -> bool {
    matches!(role, TreeRole::Relay(_) | TreeRole::StandIn)
}
