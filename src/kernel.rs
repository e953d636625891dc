//! The kernel: starts the registered roles and restarts them when they fail.

use crate::daemon::{Daemon, Phase};
use crate::error::{Category, Error, Result};
use crate::event;
use crate::sync::lock;
use prometheus_client::registry::Registry;
use ractor::{Actor, ActorProcessingErr, ActorRef, SupervisionEvent};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;
use tokio::time::Instant;

/// The future of a role's work. It must run until the process stops; ending earlier is a failure.
pub type RoleFuture = Pin<Box<dyn Future<Output = anyhow::Result<()>> + Send>>;

/// A role of the daemon, registered with [`inventory::submit!`].
pub struct Plugin {
    /// The name of the role and of its section in the state dump.
    pub name: &'static str,
    /// Creates the future of the role's work; called again at each restart.
    pub run: fn(Arc<Daemon>) -> RoleFuture,
    /// Returns the role's section of the state dump.
    pub state: fn(&Daemon) -> serde_json::Value,
    /// Registers the role's metrics.
    pub metrics: fn(&Daemon, &mut Registry),
}

inventory::collect!(Plugin);

/// Maximum number of failures of one role within [`FAILURE_WINDOW`]; one more ends the process.
const MAX_FAILURES: usize = 10;
/// Time for which a failure of a role counts.
const FAILURE_WINDOW: Duration = Duration::from_mins(1);
/// Delay before a failed role is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// Returns the registered roles, ordered by name.
#[must_use]
pub fn plugins() -> Vec<&'static Plugin> {
    let mut plugins: Vec<&Plugin> = inventory::iter::<Plugin>.into_iter().collect();
    plugins.sort_by_key(|plugin| plugin.name);
    plugins
}

/// The number of restarts per role, and the role that failed too often, if any.
#[derive(Default)]
pub struct Restarts {
    counts: Mutex<BTreeMap<&'static str, u64>>,
    /// The first role that failed too often.
    failed_role: OnceLock<&'static str>,
}

impl Restarts {
    /// Returns the number of restarts by role name.
    #[must_use]
    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        lock(&self.counts).clone()
    }

    fn count(&self, role: &'static str) {
        *lock(&self.counts).entry(role).or_default() += 1;
    }
}

/// Runs every role until the process is stopped.
///
/// # Errors
///
/// Fails with [`Category::Internal`] when a role fails too often, or when the supervisor itself
/// ends early.
pub async fn run(daemon: Arc<Daemon>) -> Result<()> {
    let restarts = daemon.component(Restarts::default);
    let arguments = (Arc::clone(&daemon), Arc::clone(&restarts));
    let supervisor = Actor::spawn(None, Supervisor, arguments).await;
    let (supervisor, mut handle) =
        supervisor.map_err(|err| Error::new(Category::Internal, format!("kernel: {err}")))?;
    let ended_early = tokio::select! {
        _ = &mut handle => daemon.drain.phase() != Phase::Stopped,
        () = daemon.drain.reached(Phase::Stopped) => false,
    };
    daemon.drain.advance(Phase::Stopped);
    supervisor.stop(None);
    if !handle.is_finished() {
        // Joining only fails if the task was cancelled.
        let _ = handle.await;
    }
    if let Some(role) = restarts.failed_role.get() {
        let message = format!("role {role} failed too often");
        return Err(Error::new(Category::Internal, message));
    }
    if ended_early {
        return Err(Error::new(Category::Internal, "supervisor ended early"));
    }
    Ok(())
}

/// The actor that starts the roles and restarts failed ones.
struct Supervisor;

/// The state of the [`Supervisor`].
struct Roles {
    daemon: Arc<Daemon>,
    restarts: Arc<Restarts>,
    running: BTreeMap<ractor::ActorId, &'static Plugin>,
    /// The times of the failures within [`FAILURE_WINDOW`], by role name.
    failures: BTreeMap<&'static str, Vec<Instant>>,
}

enum SupervisorMessage {
    /// Starts a role, also for the first time.
    Restart(&'static Plugin),
}

impl Actor for Supervisor {
    type Msg = SupervisorMessage;
    type State = Roles;
    type Arguments = (Arc<Daemon>, Arc<Restarts>);

    async fn pre_start(
        &self,
        myself: ActorRef<SupervisorMessage>,
        (daemon, restarts): Self::Arguments,
    ) -> std::result::Result<Roles, ActorProcessingErr> {
        for plugin in plugins() {
            myself.send_message(SupervisorMessage::Restart(plugin))?;
        }
        Ok(Roles {
            daemon,
            restarts,
            running: BTreeMap::new(),
            failures: BTreeMap::new(),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<SupervisorMessage>,
        message: SupervisorMessage,
        roles: &mut Roles,
    ) -> std::result::Result<(), ActorProcessingErr> {
        let SupervisorMessage::Restart(plugin) = message;
        let arguments = (plugin, Arc::clone(&roles.daemon));
        match Actor::spawn_linked(None, Role, arguments, myself.get_cell()).await {
            Ok((role, _)) => {
                roles.running.insert(role.get_id(), plugin);
            }
            Err(err) => roles.role_failed(&myself, plugin, &err.to_string()),
        }
        Ok(())
    }

    async fn handle_supervisor_evt(
        &self,
        myself: ActorRef<SupervisorMessage>,
        event: SupervisionEvent,
        roles: &mut Roles,
    ) -> std::result::Result<(), ActorProcessingErr> {
        let (id, reason) = match event {
            SupervisionEvent::ActorFailed(cell, err) => (cell.get_id(), err.to_string()),
            SupervisionEvent::ActorTerminated(cell, _, reason) => {
                (cell.get_id(), reason.unwrap_or_default())
            }
            _ => return Ok(()),
        };
        let Some(plugin) = roles.running.remove(&id) else {
            return Ok(());
        };
        roles.role_failed(&myself, plugin, &reason);
        Ok(())
    }
}

impl Roles {
    /// Restarts a failed role after [`RESTART_DELAY`], or ends the process if it failed too often.
    fn role_failed(
        &mut self,
        supervisor: &ActorRef<SupervisorMessage>,
        plugin: &'static Plugin,
        reason: &str,
    ) {
        if self.daemon.drain.phase() == Phase::Stopped {
            return;
        }
        event!(RoleFailed, role = plugin.name, error = reason);
        if self.count_failure(plugin.name) > MAX_FAILURES {
            event!(RoleGivenUp, role = plugin.name);
            // Only the first role that failed too often is reported.
            let _ = self.restarts.failed_role.set(plugin.name);
            self.daemon.drain.advance(Phase::Stopped);
            return;
        }
        self.restarts.count(plugin.name);
        supervisor.send_after(RESTART_DELAY, move || SupervisorMessage::Restart(plugin));
    }

    /// Records a failure of a role, and returns the number of those within [`FAILURE_WINDOW`].
    fn count_failure(&mut self, name: &'static str) -> usize {
        let failures = self.failures.entry(name).or_default();
        failures.retain(|at| at.elapsed() < FAILURE_WINDOW);
        failures.push(Instant::now());
        failures.len()
    }
}

/// The actor that runs the work of one role.
struct Role;

enum RoleMessage {
    /// The work of the role has ended or panicked.
    Ended(anyhow::Result<()>),
}

impl Actor for Role {
    type Msg = RoleMessage;
    type State = tokio::task::AbortHandle;
    type Arguments = (&'static Plugin, Arc<Daemon>);

    async fn pre_start(
        &self,
        myself: ActorRef<RoleMessage>,
        (plugin, daemon): Self::Arguments,
    ) -> std::result::Result<Self::State, ActorProcessingErr> {
        // The future is created within the task, so that a panic in `run` only ends the task.
        let task = tokio::spawn(async move { (plugin.run)(daemon).await });
        let abort = task.abort_handle();
        tokio::spawn(async move {
            let ended = task.await.unwrap_or_else(|err| Err(err.into()));
            // The actor may already have been stopped.
            let _ = myself.send_message(RoleMessage::Ended(ended));
        });
        Ok(abort)
    }

    async fn handle(
        &self,
        myself: ActorRef<RoleMessage>,
        message: RoleMessage,
        _: &mut Self::State,
    ) -> std::result::Result<(), ActorProcessingErr> {
        let RoleMessage::Ended(ended) = message;
        // An error fails this actor, which the supervisor is notified of.
        ended?;
        myself.stop(Some("ended".into()));
        Ok(())
    }

    async fn post_stop(
        &self,
        _: ActorRef<RoleMessage>,
        task: &mut Self::State,
    ) -> std::result::Result<(), ActorProcessingErr> {
        task.abort();
        Ok(())
    }
}
