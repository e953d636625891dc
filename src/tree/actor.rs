//! The actor that owns a daemon's [`Node`].

use super::link::{LinkId, Side};
use super::node::{Effect, Node, TreeRole};
use super::outbox::Next;
use super::target::Target;
use super::{Tree, TreeError};
use crate::daemon::Daemon;
use crate::generated::mesh as wire;
use crate::generated::mesh::frame::Content;
use crate::snapshot::Snapshot;
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use slotmap::SecondaryMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Interval between calls of [`Node::tick`].
const TICK_INTERVAL: Duration = Duration::from_secs(1);

/// Time for a version reported by another daemon to arrive on its own before it is requested.
const REQUEST_DELAY: Duration = Duration::from_millis(100);

/// A handle that connects the tasks of one stream with the actor.
#[derive(Clone, Debug)]
pub struct Handle {
    /// The key of the stream in the node.
    pub id: LinkId,
    /// Notifies the writer that the outbox has something new to send.
    pub writer_wake: Arc<Notify>,
    /// Notifies the stream's task that the stream must be closed.
    pub close: Arc<Notify>,
}

/// A message to the actor.
///
/// Senders of frequent messages wait for the reply, which bounds the mailbox to a few messages per
/// stream.
#[derive(Debug)]
pub enum Message {
    /// Opens a stream from this daemon to another one.
    Open(Side, Target, RpcReplyPort<Handle>),
    /// Admits or redirects another daemon that attaches to this one.
    Accept(
        Box<wire::Hello>,
        RpcReplyPort<Result<Handle, wire::Redirect>>,
    ),
    /// Returns the next step for a stream's writer; `None` if the stream is closed.
    Next(LinkId, RpcReplyPort<Option<Next>>),
    /// Handles a message received on a stream.
    Received(LinkId, Box<Content>, RpcReplyPort<()>),
    /// Handles the end of a stream.
    Closed(LinkId),
    /// Adds a version that this daemon read from the platform or from another daemon, or accepted
    /// itself.
    Loaded(Arc<Snapshot>, RpcReplyPort<()>),
    /// Announces this daemon's own member record.
    Announce(Box<wire::Member>),
    /// Changes the role.
    Role(TreeRole, RpcReplyPort<()>),
    /// Replaces the known relays of a failure domain, or of all if the name is empty.
    Relays(String, Vec<wire::RelayRecord>, RpcReplyPort<()>),
    /// Adds relays reported by another daemon.
    MergeRelays(Vec<wire::RelayRecord>),
    /// Asks a child to acquire this vacant relay slot; the second value selects the child
    /// round-robin.
    Promote(u32, usize),
    /// Counts the daemons that have a version in force, see [`Node::status`]; the flag requests
    /// their names.
    Status(u64, bool, RpcReplyPort<wire::StatusResponse>),
    /// Returns the known relays and the names of the attached peers.
    Relations(RpcReplyPort<Relations>),
    /// Returns the floor of the named daemon: the highest version that it acknowledged here.
    Floor(String, RpcReplyPort<u64>),
    /// Requests a version on a stream if it is still missing here.
    RequestIfMissing(LinkId, u64),
    /// Runs periodic work.
    Tick,
}

/// The known relays and the attached peers.
#[derive(Clone, Debug, Default)]
pub struct Relations {
    /// The known relays of all failure domains.
    pub relays: Vec<wire::RelayRecord>,
    /// The names of the daemons that have a peer stream to this one.
    pub peers: Vec<String>,
}

/// The actor that owns a daemon's [`Node`].
pub struct TreeActor;

/// The state of a [`TreeActor`]: the node and the handles of its streams.
pub struct State {
    daemon: Arc<Daemon>,
    tree: Arc<Tree>,
    node: Node,
    handles: SecondaryMap<LinkId, Handle>,
}

impl Actor for TreeActor {
    type Msg = Message;
    type State = State;
    type Arguments = (Arc<Daemon>, Arc<Tree>, Node);

    async fn pre_start(
        &self,
        myself: ActorRef<Message>,
        (daemon, tree, node): Self::Arguments,
    ) -> Result<State, ActorProcessingErr> {
        myself.send_interval(TICK_INTERVAL, || Message::Tick);
        let handles = SecondaryMap::new();
        Ok(State {
            daemon,
            tree,
            node,
            handles,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        let effects = state.handle_message(message, Instant::now());
        state.run_effects(&myself, effects);
        state.wake_writers();
        Ok(())
    }
}

impl State {
    fn handle_message(&mut self, message: Message, now: Instant) -> Vec<Effect> {
        match message {
            Message::Open(side, target, reply) => {
                let id = self.node.open(side, &target, now);
                send_reply(reply, self.add_handle(id));
            }
            Message::Accept(hello, reply) => match self.node.accept(&hello, now) {
                Ok((id, effects)) => {
                    send_reply(reply, Ok(self.add_handle(id)));
                    self.publish();
                    return effects;
                }
                Err(redirect) => send_reply(reply, Err(redirect)),
            },
            Message::Next(id, reply) => send_reply(reply, self.node.next(id, now)),
            Message::Received(id, content, reply) => {
                let greeted = matches!(*content, Content::Welcome(_));
                let effects = self.node.receive(id, *content, now);
                send_reply(reply, ());
                if greeted {
                    self.publish();
                }
                return effects;
            }
            Message::Closed(id) => {
                self.handles.remove(id);
                let effects = self.node.closed(id, now);
                self.publish();
                return effects;
            }
            Message::Loaded(snapshot, reply) => {
                let effects = self.node.add_local_version(snapshot, now);
                send_reply(reply, ());
                return effects;
            }
            Message::Announce(record) => return self.node.announce(*record, now),
            Message::Role(role, reply) => {
                let effects = self.node.set_role(role, now);
                self.publish();
                send_reply(reply, ());
                return effects;
            }
            Message::Relays(domain, records, reply) => {
                self.node.set_relays(&domain, records);
                send_reply(reply, ());
            }
            Message::MergeRelays(records) => self.node.merge_relays(records),
            Message::Promote(slot, turn) => {
                self.node.promote(slot, turn);
            }
            Message::Status(version, names, reply) => {
                send_reply(reply, self.node.status(version, names));
            }
            Message::Relations(reply) => {
                let relays = self.node.relays();
                let peers = self.node.peer_names();
                send_reply(reply, Relations { relays, peers });
            }
            Message::Floor(name, reply) => send_reply(reply, self.node.floor_of(&name)),
            Message::RequestIfMissing(id, version) => self.node.request_if_missing(id, version),
            Message::Tick => {
                let effects = self.node.tick(now);
                self.publish();
                return effects;
            }
        }
        Vec::new()
    }

    fn run_effects(&mut self, myself: &ActorRef<Message>, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Apply(snapshot) => self.apply(snapshot),
                Effect::RaiseFloor(version) => self.daemon.config.raise_floor(version),
                Effect::MembersChanged => self.daemon.fleet.replace(self.node.members().fleet()),
                Effect::Close(id) => {
                    if let Some(handle) = self.handles.get(id) {
                        handle.close.notify_one();
                    }
                }
                Effect::RequestLater(id, version) => {
                    myself.send_after(REQUEST_DELAY, move || {
                        Message::RequestIfMissing(id, version)
                    });
                }
                Effect::Acknowledged => self.tree.acknowledged.send_modify(|count| *count += 1),
            }
        }
    }

    /// Puts a version in force. The node distributes it further even if this daemon refuses it.
    fn apply(&mut self, snapshot: Arc<Snapshot>) {
        let stamp = snapshot.stamp();
        self.daemon.store.cache(&snapshot);
        let error = match self.daemon.config.apply(snapshot) {
            Ok(_) => String::new(),
            Err(err) => err.to_string(),
        };
        // Recording a result has no effect but the acknowledgement.
        for effect in self.node.record_apply_result(stamp, error) {
            if matches!(effect, Effect::Acknowledged) {
                self.tree.acknowledged.send_modify(|count| *count += 1);
            }
        }
        self.publish();
    }

    fn add_handle(&mut self, id: LinkId) -> Handle {
        let handle = Handle {
            id,
            writer_wake: Arc::default(),
            close: Arc::default(),
        };
        self.handles.insert(id, handle.clone());
        handle
    }

    fn wake_writers(&mut self) {
        for id in self.node.take_writable() {
            if let Some(handle) = self.handles.get(id) {
                handle.writer_wake.notify_one();
            }
        }
    }

    /// Publishes the state of the node for the state dump.
    fn publish(&self) {
        self.tree.state.store(Arc::new(self.node.state()));
    }
}

fn send_reply<T>(reply: RpcReplyPort<T>, value: T)
where
    T: Send + 'static,
{
    // The caller may have been cancelled.
    let _ = reply.send(value);
}

/// A reference to the tree actor of this daemon.
#[derive(Clone)]
pub struct TreeRef {
    actor: ActorRef<Message>,
}

impl TreeRef {
    pub(super) fn new(actor: ActorRef<Message>) -> Self {
        TreeRef { actor }
    }

    /// Sends a message without waiting for a reply; it is dropped if the actor has stopped.
    pub fn send(&self, message: Message) {
        let _ = self.actor.send_message(message);
    }

    /// Sends a message and waits for the reply.
    ///
    /// # Errors
    ///
    /// Fails when the actor has stopped.
    pub async fn call<T: Send + 'static>(
        &self,
        message: impl FnOnce(RpcReplyPort<T>) -> Message,
    ) -> Result<T, TreeError> {
        let reply = self.actor.call(message, None).await;
        match reply {
            Ok(ractor::rpc::CallResult::Success(value)) => Ok(value),
            _ => Err(TreeError::Stopped),
        }
    }
}
