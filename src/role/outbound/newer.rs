//! Calls for routes that a newer version of the configuration may have.

use crate::call::{Refusal, request};
use crate::daemon::Daemon;
use crate::event;
use crate::exchange::ExchangeState;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// Longest wait of a call for a version that a peer has reported.
const MAX_WAIT: Duration = Duration::from_millis(300);

/// Calls that may wait at once. The version is fetched whether calls wait or not, so unknown routes
/// cause no exchanges.
const MAX_WAITING: usize = 32;

/// The suggested delay before a call is repeated whose route the newer version may have.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// Delays calls for unknown routes while this daemon knows that its configuration is out of date.
pub(super) struct NewerRoutes {
    waiting: Semaphore,
    waits: Counter,
}

impl Default for NewerRoutes {
    fn default() -> Self {
        NewerRoutes {
            waiting: Semaphore::new(MAX_WAITING),
            waits: Counter::default(),
        }
    }
}

impl NewerRoutes {
    /// Waits for the newest version that was reported, for a limited time, if only that version may have
    /// the route of a request.
    pub(super) async fn wait(&self, daemon: &Daemon, id: &str, newest: u64) {
        let Ok(_permit) = self.waiting.try_acquire() else {
            return;
        };
        self.waits.inc();
        let mut applied = daemon.config.subscribe();
        let newer = applied.wait_for(|stamp| stamp.version >= newest);
        let in_force = timeout(MAX_WAIT, newer).await.is_ok();
        event!(
            RouteAwaited,
            request = id,
            newest = newest,
            version = daemon.config.stamp().version,
            applied = in_force
        );
    }

    /// Registers the metrics.
    pub(super) fn register(&self, registry: &mut Registry) {
        let help = "Calls that waited for a newer version, since their route was not known";
        registry.register("route_waits", help, self.waits.clone());
    }
}

/// Returns the newest version that was reported, if it is newer than the one in force and that one does
/// not have the request's route.
pub(super) fn awaited_version(daemon: &Daemon, request: &Request<Incoming>) -> Option<u64> {
    let newest = newer_version(daemon)?;
    let table = daemon.config.table();
    let known = request::find_route(&table, request);
    known.is_err_and(|err| is_unknown(&err)).then_some(newest)
}

/// Turns the refusal of a call for an unknown route into one that allows a retry while a newer version
/// is known, which may have the route.
pub(super) fn refusal(daemon: &Daemon, refusal: Refusal) -> Refusal {
    match newer_version(daemon) {
        Some(newest) if is_unknown(&refusal) => {
            let reason = format!("{}; version {newest} is not in force yet", refusal.reason);
            Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason).with_retry_after(RETRY_AFTER)
        }
        _ => refusal,
    }
}

/// Returns the newest version that was reported, if it is newer than the one in force.
fn newer_version(daemon: &Daemon) -> Option<u64> {
    let newest = ExchangeState::of(daemon).newest_known(daemon);
    (newest > daemon.config.stamp().version).then_some(newest)
}

fn is_unknown(refusal: &Refusal) -> bool {
    refusal.status == StatusCode::NOT_FOUND
}
