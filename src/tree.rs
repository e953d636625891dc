//! The distribution tree: configuration and members reach daemons through relays.
//!
//! Decisions are in [`node`], [`seek`], [`outbox`], [`history`], [`choice`], [`backoff`] and
//! [`floors`], without sockets and clocks of their own. The rest moves messages for them.

pub mod actor;
pub mod backoff;
pub mod choice;
pub mod floors;
pub mod force;
pub mod history;
pub mod lease;
pub mod link;
pub mod node;
pub mod outbox;
pub mod relay;
pub mod seek;
pub mod session;
mod start;
pub mod target;
pub mod uplink;

use crate::daemon::Daemon;
use actor::{TreeActor, TreeRef};
use arc_swap::ArcSwap;
use node::{Node, NodeSettings, NodeState, Role};
use prometheus_client::metrics::counter::Counter;
use ractor::Actor;
use std::sync::{Arc, Mutex};
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::Instant;

/// A fault of the distribution tree in this daemon.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TreeError {
    /// The control state is not there, because the role is starting or stopping.
    #[error("distribution tree has stopped")]
    Stopped,
    /// Another daemon cannot be reached.
    #[error("daemon at {0}: {1}")]
    Connect(String, String),
    /// A daemon was asked to do something that its settings exclude.
    #[error("distribution is direct")]
    Direct,
}

/// Bytes of messages sent and received on streams, before compression and framing.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Bytes sent.
    pub sent: Counter,
    /// Bytes received.
    pub received: Counter,
    /// Messages sent.
    pub sent_messages: Counter,
    /// Messages received.
    pub received_messages: Counter,
}

impl Traffic {
    fn sent(&self, len: usize) {
        self.sent.inc_by(len as u64);
        self.sent_messages.inc();
    }

    fn received(&self, len: usize) {
        self.received.inc_by(len as u64);
        self.received_messages.inc();
    }
}

/// What the roles of one daemon share of the distribution tree.
#[derive(Default)]
pub struct Tree {
    actor: watch::Sender<Option<TreeRef>>,
    /// The role of this daemon.
    pub(crate) role: watch::Sender<Role>,
    /// Counts up whenever a daemon attached here has put a version in force.
    pub(crate) acknowledged: watch::Sender<u64>,
    /// The lease that this daemon holds as a relay.
    held: Mutex<Option<lease::Held>>,
    state: ArcSwap<NodeState>,
    traffic: Arc<Traffic>,
}

impl Tree {
    /// Returns the part of a daemon.
    #[must_use]
    pub fn of(daemon: &Daemon) -> Arc<Tree> {
        daemon.part(Tree::default)
    }

    /// Returns the actor that owns the control state.
    ///
    /// # Errors
    ///
    /// Fails while there is none.
    pub fn actor(&self) -> Result<TreeRef, TreeError> {
        self.actor.borrow().clone().ok_or(TreeError::Stopped)
    }

    /// Returns a receiver of the actor, which is another one after a failure.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Option<TreeRef>> {
        self.actor.subscribe()
    }

    /// Waits until this daemon has put in force the newest version that it can learn of.
    ///
    /// # Errors
    ///
    /// Does not fail while the process runs.
    pub async fn caught_up(&self, daemon: &Daemon) -> Result<(), TreeError> {
        let stopped = |_| TreeError::Stopped;
        let mut roles = self.role.subscribe();
        let mut stamps = daemon.config.subscribe();
        loop {
            let role = *roles
                .wait_for(|role| *role != Role::Seeking)
                .await
                .map_err(stopped)?;
            let version = stamps.borrow_and_update().version;
            // A relay that has just started has read the platform's newest version as well.
            if role != Role::Seeking && version >= daemon.config.floor() {
                return Ok(());
            }
            tokio::select! {
                changed = stamps.changed() => changed.map_err(stopped)?,
                changed = roles.changed() => changed.map_err(stopped)?,
            }
        }
    }

    /// Waits for the actor that owns the control state.
    ///
    /// # Errors
    ///
    /// Does not fail while the process runs.
    pub async fn started(&self) -> Result<TreeRef, TreeError> {
        let mut actor = self.actor.subscribe();
        let found = actor.wait_for(Option::is_some).await;
        let found = found.map_err(|_| TreeError::Stopped)?;
        found.clone().ok_or(TreeError::Stopped)
    }

    /// Returns the bytes sent and received.
    #[must_use]
    pub fn traffic(&self) -> &Arc<Traffic> {
        &self.traffic
    }

    /// Returns the state as last published.
    #[must_use]
    pub fn state(&self) -> Arc<NodeState> {
        self.state.load_full()
    }

    /// Returns the role of this daemon.
    #[must_use]
    pub fn role(&self) -> Role {
        *self.role.borrow()
    }
}

/// Takes part in the tree until the process ends.
///
/// # Errors
///
/// Fails when the control state has failed; the role is started again then.
pub async fn run(daemon: Arc<Daemon>) -> anyhow::Result<()> {
    let tree = Tree::of(&daemon);
    tree.role.send_replace(Role::Seeking);
    let settings = &daemon.settings;
    let node = Node::new(
        daemon.identity.clone(),
        daemon.advertised(daemon.addresses().mesh).to_string(),
        NodeSettings {
            window: settings.batch_window,
            heartbeat: settings.heartbeat,
            max_children: settings.max_children,
            admissions: settings.admissions,
        },
        Instant::now(),
    );
    let arguments = (Arc::clone(&daemon), Arc::clone(&tree), node);
    let (actor, handle) = Actor::spawn(None, TreeActor, arguments).await?;
    let stop = StopOnDrop(actor.clone());
    tree.actor.send_replace(Some(TreeRef::new(actor)));
    let work = async {
        let actor = tree.actor()?;
        tokio::try_join!(
            uplink::run(&daemon, &tree, &actor),
            relay::run(&daemon, &tree, &actor),
            relay::pass_accepted(&daemon, &actor),
            start::catch_up(&daemon, &actor),
        )?;
        Ok(())
    };
    let outcome = tokio::select! {
        outcome = work => outcome,
        ended = handle => Err(anyhow::anyhow!("control state has ended: {ended:?}")),
    };
    tree.actor.send_replace(None);
    drop(stop);
    outcome
}

/// Stops the actor when the role's task is dropped.
struct StopOnDrop(ractor::ActorRef<actor::Message>);

impl Drop for StopOnDrop {
    fn drop(&mut self) {
        self.0.stop(None);
    }
}
