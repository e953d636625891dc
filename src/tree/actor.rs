//! The actor that owns a daemon's [`Node`].

use super::link::{LinkId, Side};
use super::node::{Effect, Node, Role};
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

/// Time between two runs of [`Node::tick`].
const TICK: Duration = Duration::from_secs(1);

/// Time in which a version that was heard of may come by itself before it is asked for.
const GRACE: Duration = Duration::from_millis(100);

/// A stream that the actor knows.
#[derive(Clone, Debug)]
pub struct Handle {
    /// The stream's key.
    pub id: LinkId,
    /// Wakes the writer when there is something to send.
    pub woken: Arc<Notify>,
    /// Wakes the stream's task when the stream shall end.
    pub ended: Arc<Notify>,
}

/// A message to the actor.
///
/// Whoever sends one waits for the answer, so the mailbox holds at most a few messages for each
/// stream.
#[derive(Debug)]
pub enum Message {
    /// This daemon attaches to another one.
    Open(Side, Target, RpcReplyPort<Handle>),
    /// Another daemon attaches.
    Accept(
        Box<wire::Hello>,
        RpcReplyPort<Result<Handle, wire::Redirect>>,
    ),
    /// A writer asks for the next message of a stream.
    Next(LinkId, RpcReplyPort<Option<Next>>),
    /// A message came.
    Received(LinkId, Box<Content>, RpcReplyPort<()>),
    /// A stream has ended.
    Closed(LinkId),
    /// A version was read from the platform, or accepted by this daemon.
    Loaded(Arc<Snapshot>, RpcReplyPort<()>),
    /// This daemon announces itself.
    Announce(Box<wire::Member>),
    /// The role has changed.
    Role(Role, RpcReplyPort<()>),
    /// The platform lists these relays of a failure domain, or of all without a name.
    Relays(String, Vec<wire::RelayRecord>, RpcReplyPort<()>),
    /// Another daemon knows these relays.
    LearnRelays(Vec<wire::RelayRecord>),
    /// Asks a child to take a vacant relay slot.
    Promote(u32, usize),
    /// Counts the daemons that have put a version in force.
    Status(u64, bool, RpcReplyPort<wire::StatusResponse>),
    /// Reads the relays and the names of peers.
    Relations(RpcReplyPort<Relations>),
    /// Reads what is known for another daemon that starts.
    Floor(String, RpcReplyPort<u64>),
    /// Asks for a version that was heard of.
    Check(LinkId, u64),
    /// Does what is due.
    Tick,
}

/// The relays known and the peers attached.
#[derive(Clone, Debug, Default)]
pub struct Relations {
    /// The relays known.
    pub relays: Vec<wire::RelayRecord>,
    /// The names of the daemons that are peers.
    pub peers: Vec<String>,
}

/// The actor that owns a daemon's [`Node`].
pub struct TreeActor;

/// The state of a [`TreeActor`].
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
        myself.send_interval(TICK, || Message::Tick);
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
        let effects = state.answer(message, Instant::now());
        state.act(&myself, effects);
        state.wake();
        Ok(())
    }
}

impl State {
    fn answer(&mut self, message: Message, now: Instant) -> Vec<Effect> {
        match message {
            Message::Open(side, target, reply) => {
                let id = self.node.open(side, &target, now);
                answer(reply, self.add(id));
            }
            Message::Accept(hello, reply) => match self.node.accept(&hello, now) {
                Ok((id, effects)) => {
                    answer(reply, Ok(self.add(id)));
                    self.publish();
                    return effects;
                }
                Err(redirect) => answer(reply, Err(redirect)),
            },
            Message::Next(id, reply) => answer(reply, self.node.next(id, now)),
            Message::Received(id, content, reply) => {
                let greeted = matches!(*content, Content::Welcome(_));
                let effects = self.node.receive(id, *content, now);
                answer(reply, ());
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
                let effects = self.node.load(snapshot, now);
                answer(reply, ());
                return effects;
            }
            Message::Announce(record) => return self.node.announce(*record, now),
            Message::Role(role, reply) => {
                let effects = self.node.set_role(role, now);
                self.publish();
                answer(reply, ());
                return effects;
            }
            Message::Relays(domain, records, reply) => {
                self.node.set_relays(&domain, records);
                answer(reply, ());
            }
            Message::LearnRelays(records) => self.node.learn_relays(records),
            Message::Promote(slot, turn) => {
                self.node.promote(slot, turn);
            }
            Message::Status(version, names, reply) => {
                answer(reply, self.node.status(version, names));
            }
            Message::Relations(reply) => {
                let relays = self.node.relays();
                let peers = self.node.peer_names();
                answer(reply, Relations { relays, peers });
            }
            Message::Floor(name, reply) => answer(reply, self.node.floor_of(&name)),
            Message::Check(id, version) => self.node.ask(id, version),
            Message::Tick => {
                let effects = self.node.tick(now);
                self.publish();
                return effects;
            }
        }
        Vec::new()
    }

    fn act(&mut self, myself: &ActorRef<Message>, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Apply(snapshot) => self.apply(snapshot),
                Effect::Floor(version) => self.daemon.config.raise_floor(version),
                Effect::Fleet => self.daemon.fleet.replace(self.node.members().fleet()),
                Effect::Close(id) => {
                    if let Some(handle) = self.handles.get(id) {
                        handle.ended.notify_one();
                    }
                }
                Effect::Check(id, version) => {
                    myself.send_after(GRACE, move || Message::Check(id, version));
                }
                Effect::Acknowledged => self.tree.acknowledged.send_modify(|count| *count += 1),
            }
        }
    }

    /// Puts a version in force. The daemon's own refusal does not keep it from passing on.
    fn apply(&mut self, snapshot: Arc<Snapshot>) {
        let stamp = snapshot.stamp();
        self.daemon.store.note(&snapshot);
        let error = match self.daemon.config.apply(snapshot) {
            Ok(_) => String::new(),
            Err(err) => err.to_string(),
        };
        for effect in self.node.applied(stamp, error) {
            if matches!(effect, Effect::Acknowledged) {
                self.tree.acknowledged.send_modify(|count| *count += 1);
            }
        }
        self.publish();
    }

    fn add(&mut self, id: LinkId) -> Handle {
        let handle = Handle {
            id,
            woken: Arc::default(),
            ended: Arc::default(),
        };
        self.handles.insert(id, handle.clone());
        handle
    }

    fn wake(&mut self) {
        for id in self.node.take_woken() {
            if let Some(handle) = self.handles.get(id) {
                handle.woken.notify_one();
            }
        }
    }

    fn publish(&self) {
        self.tree.state.store(Arc::new(self.node.state()));
    }
}

fn answer<T>(reply: RpcReplyPort<T>, value: T)
where
    T: Send + 'static,
{
    // The one who asked may have gone meanwhile.
    let _ = reply.send(value);
}

/// A handle to the actor of this daemon.
#[derive(Clone)]
pub struct TreeRef {
    actor: ActorRef<Message>,
}

impl TreeRef {
    pub(super) fn new(actor: ActorRef<Message>) -> Self {
        TreeRef { actor }
    }

    /// Sends a message that is not answered; one sent to a stopped actor is dropped.
    pub fn send(&self, message: Message) {
        let _ = self.actor.send_message(message);
    }

    /// Sends a message and waits for the answer.
    ///
    /// # Errors
    ///
    /// Fails when the actor has stopped.
    pub async fn call<T: Send + 'static>(
        &self,
        message: impl FnOnce(RpcReplyPort<T>) -> Message,
    ) -> Result<T, TreeError> {
        let called = self.actor.call(message, None).await;
        match called {
            Ok(ractor::rpc::CallResult::Success(value)) => Ok(value),
            _ => Err(TreeError::Stopped),
        }
    }
}
