//! The control state of one daemon in the distribution tree.
//!
//! A node takes messages and the time, and answers with [`Effect`]s and filled outboxes. Whoever
//! owns it moves the messages.

mod accept;
mod exchange;
mod status;

pub use status::{LinkState, NodeState};

use super::backoff::Bucket;
use super::floors::Floors;
use super::history::History;
use super::link::{Link, LinkId, Side};
use super::outbox::{Beat, Next, Outbox};
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

/// Heartbeats that may be missed before a stream counts as dead.
pub const MISSED_HEARTBEATS: u32 = 3;

/// Heartbeat intervals of the daemon that attached, against those of the daemon attached to.
///
/// It answers each heartbeat at once, so its own timer only matters when none comes.
const ANSWER_FACTOR: f64 = 1.5;

/// What a daemon is in the distribution tree.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// It looks for a relay and takes no children.
    #[default]
    Seeking,
    /// It is attached to a relay.
    Child,
    /// It takes the place of a relay that cannot be found.
    StandIn,
    /// It holds the lease of a relay slot.
    Relay(u32),
}

/// Limits and times of a [`Node`].
#[derive(Clone, Copy, Debug)]
pub struct NodeSettings {
    /// Time in which changes of members are gathered.
    pub window: Duration,
    /// Time between heartbeats on an idle stream.
    pub heartbeat: Duration,
    /// Greatest number of children.
    pub max_children: u32,
    /// Children admitted in a second.
    pub admissions: u32,
}

/// What the owner of a [`Node`] has to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Put this version in force.
    Apply(Arc<Snapshot>),
    /// Refuse every version below this one.
    Floor(u64),
    /// Take over the members.
    Fleet,
    /// End this stream.
    Close(LinkId),
    /// After a short time, call [`Node::ask`] for this stream and version.
    Check(LinkId, u64),
    /// Wake those who wait for acknowledgements.
    Acknowledged,
}

/// The control state of one daemon in the distribution tree.
#[derive(Debug)]
pub struct Node {
    me: Identity,
    mesh: String,
    settings: NodeSettings,
    role: Role,
    history: History,
    members: MemberSet,
    digest: u64,
    links: SlotMap<LinkId, Link>,
    /// Streams with something new to send.
    woken: BTreeSet<LinkId>,
    floors: Floors,
    admissions: Bucket,
    /// The relays known, by failure domain and slot.
    relays: BTreeMap<(String, u32), wire::RelayRecord>,
    own: Option<wire::Member>,
    /// What this daemon itself has put in force, or refused.
    ack: wire::Ack,
    /// Children sent to the other relay, and when.
    moved: BTreeMap<String, Instant>,
    attached: Vec<u64>,
}

impl Node {
    /// Makes a node that knows nothing yet.
    #[must_use]
    pub fn new(me: Identity, mesh: String, settings: NodeSettings, now: Instant) -> Self {
        Node {
            members: MemberSet::new(&me.domain, SetSettings::default()),
            me,
            mesh,
            settings,
            role: Role::default(),
            history: History::default(),
            digest: 0,
            links: SlotMap::with_key(),
            woken: BTreeSet::new(),
            floors: Floors::default(),
            admissions: Bucket::new(settings.admissions, now),
            relays: BTreeMap::new(),
            own: None,
            ack: wire::Ack::default(),
            moved: BTreeMap::new(),
            attached: Vec::new(),
        }
    }

    /// Returns the role.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// Changes the role. A daemon that no longer is a relay sends its children elsewhere.
    pub fn set_role(&mut self, role: Role, now: Instant) -> Vec<Effect> {
        let before = std::mem::replace(&mut self.role, role);
        if is_relay(role) {
            self.members.start_relay();
            let own = self.own.clone();
            return own.map_or_else(Vec::new, |own| self.announce(own, now));
        }
        self.members.stop_relay();
        self.attached.clear();
        if is_relay(before) {
            self.dismiss();
        }
        Vec::new()
    }

    /// Returns the newest version known.
    #[must_use]
    pub fn newest(&self) -> Stamp {
        self.history.stamp()
    }

    /// Returns the members known.
    #[must_use]
    pub fn members(&self) -> &MemberSet {
        &self.members
    }

    /// Returns the relays known.
    #[must_use]
    pub fn relays(&self) -> Vec<wire::RelayRecord> {
        self.relays.values().cloned().collect()
    }

    /// Replaces the relays known of a failure domain, or of all without a name.
    pub fn set_relays(&mut self, domain: &str, records: Vec<wire::RelayRecord>) {
        let stays = |of: &str| !domain.is_empty() && of != domain;
        self.relays.retain(|(of, _), _| stays(of));
        self.learn_relays(records);
    }

    /// Adds relays that another daemon knows.
    pub fn learn_relays(&mut self, records: Vec<wire::RelayRecord>) {
        for record in records {
            let key = (record.domain.clone(), record.slot);
            self.relays.insert(key, record);
        }
    }

    /// Takes the streams that have something new to send.
    pub fn take_woken(&mut self) -> BTreeSet<LinkId> {
        std::mem::take(&mut self.woken)
    }

    /// Returns the next message of a stream; `None` when the stream has been closed.
    pub fn next(&mut self, link: LinkId, now: Instant) -> Option<Next> {
        let beat = Beat {
            version: self.history.stamp().version,
            digest: self.digest,
        };
        let link = self.links.get_mut(link)?;
        Some(link.outbox.next(&mut self.history, beat, now))
    }

    /// Notes that a stream has ended.
    pub fn closed(&mut self, id: LinkId, now: Instant) -> Vec<Effect> {
        let Some(link) = self.links.remove(id) else {
            return Vec::new();
        };
        match link.side {
            Side::Child => {
                event!(ChildDetached, child = link.name);
                let mut others = self.links.values();
                let again =
                    others.any(|other| other.side == Side::Child && other.name == link.name);
                // The daemon may have attached anew before its old stream ended.
                if again {
                    return Vec::new();
                }
                self.members.detach(&link.name, link.incarnation, now);
                Vec::new()
            }
            Side::Peer => {
                self.members.unvouch(&link.name);
                Vec::new()
            }
            Side::Parent => Vec::new(),
        }
    }

    /// Takes in a message.
    pub fn receive(&mut self, id: LinkId, content: Content, now: Instant) -> Vec<Effect> {
        let Some(link) = self.links.get_mut(id) else {
            return Vec::new();
        };
        link.heard = now;
        match content {
            Content::Welcome(welcome) => self.welcomed(id, welcome, now),
            Content::Update(update) => self.updated(id, update, now),
            Content::Ack(ack) => self.acked(id, &ack),
            Content::Need(need) => {
                let have = Stamp::from_wire(need.have.as_ref());
                link.outbox.set_has(have);
                link.outbox.offer();
                self.woken.insert(id);
                Vec::new()
            }
            Content::Members(update) => self.exchanged(id, update, now),
            Content::Heartbeat(beat) => self.heard_beat(id, &beat, now),
            Content::Attached(attached) => {
                if link.domain == self.me.domain {
                    self.members.vouch(&link.name, attached.keys);
                }
                Vec::new()
            }
            // The reader of the stream acts on these itself.
            Content::Hello(_) | Content::Redirect(_) | Content::Promote(_) => Vec::new(),
        }
    }

    /// Takes in a version that this daemon has read or accepted itself.
    pub fn load(&mut self, snapshot: Arc<Snapshot>, now: Instant) -> Vec<Effect> {
        self.take(snapshot, None, now)
    }

    /// Notes what became of the newest version in this daemon, and tells the relay.
    pub fn applied(&mut self, stamp: Stamp, error: String) -> Vec<Effect> {
        let stamp = Some(stamp.to_wire());
        self.ack = wire::Ack { stamp, error };
        for (id, link) in &mut self.links {
            if link.side == Side::Parent {
                link.outbox.ack(self.ack.clone());
                self.woken.insert(id);
            }
        }
        vec![Effect::Acknowledged]
    }

    /// Asks the other side of a stream for the version that it told of, if still missing.
    pub fn ask(&mut self, id: LinkId, version: u64) {
        let have = self.history.stamp();
        if let Some(link) = self.links.get_mut(id)
            && version > have.version
        {
            link.outbox.need(have);
            self.woken.insert(id);
        }
    }

    fn take(&mut self, snapshot: Arc<Snapshot>, from: Option<LinkId>, now: Instant) -> Vec<Effect> {
        if !self.history.add(Arc::clone(&snapshot)) {
            return Vec::new();
        }
        for (id, link) in &mut self.links {
            match link.side {
                Side::Child => link.outbox.offer(),
                Side::Peer | Side::Parent if Some(id) != from => link.outbox.beat_at(now),
                Side::Peer | Side::Parent => continue,
            }
            self.woken.insert(id);
        }
        vec![Effect::Apply(snapshot)]
    }

    fn updated(&mut self, id: LinkId, update: wire::Update, now: Instant) -> Vec<Effect> {
        let full = matches!(update.content, Some(UpdateContent::Full(_)));
        match self.history.open(update) {
            Ok(snapshot) => {
                let stamp = snapshot.stamp();
                if let Some(link) = self.links.get_mut(id) {
                    link.outbox.raise_has(stamp);
                }
                self.take(snapshot, Some(id), now)
            }
            Err(err) => {
                event!(DeltaRefused, full = full, error = err);
                // Asking again for what came damaged as a whole might go on for ever.
                if full {
                    return vec![Effect::Close(id)];
                }
                if let Some(link) = self.links.get_mut(id) {
                    link.outbox.need(Stamp::default());
                    self.woken.insert(id);
                }
                Vec::new()
            }
        }
    }

    fn acked(&mut self, id: LinkId, ack: &wire::Ack) -> Vec<Effect> {
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
            Side::Parent => self.settings.heartbeat.mul_f64(ANSWER_FACTOR),
        };
        Outbox::new(self.settings.window, heartbeat, now)
    }
}

/// Where records of members come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// This daemon itself.
    Own,
    /// A stream.
    Link(LinkId),
}

/// Tests whether a daemon of this role serves others as a relay.
#[must_use]
pub fn is_relay(role: Role) -> bool {
    matches!(role, Role::Relay(_) | Role::StandIn)
}
