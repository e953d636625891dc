//! The distribution tree: relays distribute configuration and member records to daemons.
//!
//! [`node`], [`discovery`], [`outbox`], [`history`], [`rendezvous`], [`backoff`] and [`floors`]
//! hold the logic and use neither sockets nor a clock of their own. The other modules do the I/O.

pub mod actor;
pub mod backoff;
mod bootstrap;
pub mod discovery;
pub mod floors;
pub mod history;
pub mod lease;
pub mod link;
pub mod node;
pub mod outbox;
pub mod relay;
pub mod rendezvous;
pub mod rollout;
pub mod session;
pub mod target;
pub mod uplink;

use crate::daemon::Daemon;
use actor::{TreeActor, TreeRef};
use arc_swap::ArcSwap;
use node::{Node, NodeSettings, NodeState, TreeRole};
use prometheus_client::metrics::counter::Counter;
use ractor::Actor;
use std::sync::{Arc, Mutex};
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::Instant;

/// An error of the distribution tree in this daemon.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TreeError {
    /// The actor that owns the control state is not running, because the role is starting or
    /// stopping.
    #[error("distribution tree has stopped")]
    Stopped,
    /// The daemon at this address cannot be reached, for the stated reason.
    #[error("daemon at {0}: {1}")]
    Connect(String, String),
    /// A tree operation was requested while the settings select direct distribution.
    #[error("distribution is direct")]
    Direct,
}

/// Traffic on streams between daemons. Bytes are counted before compression and framing.
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

/// State of the distribution tree that the roles of one daemon share.
#[derive(Default)]
pub struct Tree {
    actor: watch::Sender<Option<TreeRef>>,
    /// This daemon's role in the tree.
    pub(crate) role: watch::Sender<TreeRole>,
    /// Incremented whenever this daemon or an attached one acknowledges a version.
    pub(crate) acknowledged: watch::Sender<u64>,
    /// The relay slot lease that this daemon holds, if any.
    relay_lease: Mutex<Option<lease::RelayLease>>,
    state: ArcSwap<NodeState>,
    traffic: Arc<Traffic>,
}

impl Tree {
    /// Returns the tree state of a daemon, which all of its roles share.
    #[must_use]
    pub fn of_daemon(daemon: &Daemon) -> Arc<Tree> {
        daemon.component(Tree::default)
    }

    /// Returns the actor that owns the control state.
    ///
    /// # Errors
    ///
    /// Fails with [`TreeError::Stopped`] while no actor runs.
    pub fn actor(&self) -> Result<TreeRef, TreeError> {
        self.actor.borrow().clone().ok_or(TreeError::Stopped)
    }

    /// Returns a receiver of the actor; `None` while it is not running. The actor is replaced when
    /// the role restarts.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Option<TreeRef>> {
        self.actor.subscribe()
    }

    /// Waits until the newest version that this daemon can discover is in force here.
    ///
    /// # Errors
    ///
    /// Does not fail while the process runs.
    pub async fn wait_caught_up(&self, daemon: &Daemon) -> Result<(), TreeError> {
        let stopped = |_| TreeError::Stopped;
        let mut roles = self.role.subscribe();
        let mut stamps = daemon.config.subscribe();
        loop {
            let role = *roles
                .wait_for(|role| *role != TreeRole::Seeking)
                .await
                .map_err(stopped)?;
            let version = stamps.borrow_and_update().version;
            // This also covers a relay that has just started: its floor was raised to the
            // platform's newest version at startup.
            if role != TreeRole::Seeking && version >= daemon.config.floor() {
                return Ok(());
            }
            tokio::select! {
                changed = stamps.changed() => changed.map_err(stopped)?,
                changed = roles.changed() => changed.map_err(stopped)?,
            }
        }
    }

    /// Waits until the actor that owns the control state is running, and returns it.
    ///
    /// # Errors
    ///
    /// Does not fail while the process runs.
    pub async fn wait_started(&self) -> Result<TreeRef, TreeError> {
        let mut actor = self.actor.subscribe();
        let running = actor.wait_for(Option::is_some).await;
        let running = running.map_err(|_| TreeError::Stopped)?;
        running.clone().ok_or(TreeError::Stopped)
    }

    /// Returns the traffic counters.
    #[must_use]
    pub fn traffic(&self) -> &Arc<Traffic> {
        &self.traffic
    }

    /// Returns the most recently published node state, for the state dump.
    #[must_use]
    pub fn state(&self) -> Arc<NodeState> {
        self.state.load_full()
    }

    /// Returns this daemon's current role in the tree.
    #[must_use]
    pub fn role(&self) -> TreeRole {
        *self.role.borrow()
    }
}

/// Runs this daemon's node of the distribution tree until the process ends.
///
/// # Errors
///
/// Fails when the actor that owns the control state fails; the kernel then restarts the role.
pub async fn run(daemon: Arc<Daemon>) -> anyhow::Result<()> {
    let tree = Tree::of_daemon(&daemon);
    tree.role.send_replace(TreeRole::Seeking);
    let settings = &daemon.settings;
    let node = Node::new(
        daemon.identity.clone(),
        daemon
            .advertised_address(daemon.addresses().mesh)
            .to_string(),
        NodeSettings {
            batch_window: settings.batch_window,
            heartbeat: settings.heartbeat,
            max_children: settings.max_children,
            admission_rate: settings.admissions,
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
            relay::forward_accepted(&daemon, &actor),
            bootstrap::catch_up(&daemon, &actor),
        )?;
        Ok(())
    };
    let outcome = tokio::select! {
        outcome = work => outcome,
        ended = handle => Err(anyhow::anyhow!("tree actor has stopped: {ended:?}")),
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
