//! The kernel: starts the roles that registered themselves and starts them again when they fail.

use crate::daemon::{Daemon, Phase};
use crate::error::{Category, Error, Result};
use crate::event;
use prometheus_client::registry::Registry;
use ractor::{Actor, ActorProcessingErr, ActorRef, SupervisionEvent};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The work of a role; it ends when the process does.
pub type Work = Pin<Box<dyn Future<Output = anyhow::Result<()>> + Send>>;

/// A role of the daemon. Roles register themselves with [`inventory::submit!`].
pub struct Plugin {
    /// The role's name, and its section in the state dump.
    pub name: &'static str,
    /// Starts the role's work.
    pub run: fn(Arc<Daemon>) -> Work,
    /// Describes the role for the state dump.
    pub state: fn(&Daemon) -> serde_json::Value,
    /// Registers the role's metrics.
    pub metrics: fn(&Daemon, &mut Registry),
}

inventory::collect!(Plugin);

/// Failures of one role within [`FAILURE_WINDOW`] after which the process ends.
const MAX_FAILURES: usize = 10;
const FAILURE_WINDOW: Duration = Duration::from_mins(1);
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// Returns the registered roles, ordered by name.
#[must_use]
pub fn plugins() -> Vec<&'static Plugin> {
    let mut plugins: Vec<&Plugin> = inventory::iter::<Plugin>.into_iter().collect();
    plugins.sort_by_key(|plugin| plugin.name);
    plugins
}

/// Runs every role until the process is stopped.
///
/// # Errors
///
/// Fails with [`Category::Internal`] when a role fails again and again.
pub async fn run(daemon: Arc<Daemon>) -> Result<()> {
    let supervisor = Actor::spawn(None, Supervisor, Arc::clone(&daemon)).await;
    let (supervisor, handle) =
        supervisor.map_err(|err| Error::new(Category::Internal, format!("kernel: {err}")))?;
    daemon.drain.reached(Phase::Stopped).await;
    let failed = supervisor.get_status() == ractor::ActorStatus::Stopped;
    supervisor.stop(None);
    // The handle only ends with an error when the task was cancelled.
    let _ = handle.await;
    if failed {
        let message = "a role fails again and again";
        return Err(Error::new(Category::Internal, message));
    }
    Ok(())
}

/// Starts the roles and starts failed ones again.
struct Supervisor;

struct Roles {
    daemon: Arc<Daemon>,
    running: BTreeMap<ractor::ActorId, &'static Plugin>,
    failures: BTreeMap<&'static str, Vec<Instant>>,
}

enum SupervisorMessage {
    Restart(&'static Plugin),
}

impl Actor for Supervisor {
    type Msg = SupervisorMessage;
    type State = Roles;
    type Arguments = Arc<Daemon>;

    async fn pre_start(
        &self,
        myself: ActorRef<SupervisorMessage>,
        daemon: Arc<Daemon>,
    ) -> std::result::Result<Roles, ActorProcessingErr> {
        for plugin in plugins() {
            myself.send_message(SupervisorMessage::Restart(plugin))?;
        }
        Ok(Roles {
            daemon,
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
        let (role, _) = Actor::spawn_linked(None, Role, arguments, myself.get_cell()).await?;
        roles.running.insert(role.get_id(), plugin);
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
        if roles.daemon.drain.phase() == Phase::Stopped {
            return Ok(());
        }
        event!(RoleFailed, "role={} error={reason:?}", plugin.name);
        if roles.count_failure(plugin.name) > MAX_FAILURES {
            event!(RoleGivenUp, "role={}", plugin.name);
            myself.stop(None);
            roles.daemon.drain.advance(Phase::Stopped);
            return Ok(());
        }
        myself.send_after(RESTART_DELAY, move || SupervisorMessage::Restart(plugin));
        Ok(())
    }
}

impl Roles {
    fn count_failure(&mut self, name: &'static str) -> usize {
        let failures = self.failures.entry(name).or_default();
        failures.retain(|at| at.elapsed() < FAILURE_WINDOW);
        failures.push(Instant::now());
        failures.len()
    }
}

/// Runs the work of one role.
struct Role;

enum RoleMessage {
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
        let task = tokio::spawn((plugin.run)(daemon));
        let abort = task.abort_handle();
        tokio::spawn(async move {
            let ended = task.await.unwrap_or_else(|err| Err(err.into()));
            // The actor may have been stopped meanwhile.
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
