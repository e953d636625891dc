//! Calls for routes and API keys that a newer version of the configuration may have.

use super::keys;
use crate::call::access::{self, Access, KeyRefusal, PresentedKey};
use crate::call::{Refusal, request};
use crate::daemon::Daemon;
use crate::event;
use crate::exchange::ExchangeState;
use crate::table::Table;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::timeout;

/// Longest wait of a call for a version that a peer has reported.
const MAX_WAIT: Duration = Duration::from_millis(300);

/// Calls that may wait at once, for routes and for keys each. The version is fetched whether calls wait
/// or not, so unknown routes and keys cause no exchanges.
const MAX_WAITING: usize = 32;

/// The suggested delay before a call is repeated whose route the newer version may have.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// What the version in force lacks for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Missing {
    Route,
    Key,
}

/// A newer version that a call waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Awaited {
    newest: u64,
    missing: Missing,
}

/// Delays calls for unknown routes or keys while this daemon knows that its configuration is out of date.
pub(super) struct NewerVersions {
    routes: Waiting,
    keys: Waiting,
}

impl Default for NewerVersions {
    fn default() -> Self {
        NewerVersions {
            routes: Waiting::new(),
            keys: Waiting::new(),
        }
    }
}

/// The calls that wait for one reason.
struct Waiting {
    permits: Semaphore,
    waits: Counter,
}

impl Waiting {
    fn new() -> Self {
        Waiting {
            permits: Semaphore::new(MAX_WAITING),
            waits: Counter::default(),
        }
    }
}

impl NewerVersions {
    /// Waits for the newest version that was reported, for a limited time, if only that version may have
    /// what a call needs.
    pub(super) async fn wait(&self, daemon: &Daemon, id: &str, awaited: Awaited) {
        let Awaited { newest, missing } = awaited;
        let waiting = match missing {
            Missing::Route => &self.routes,
            Missing::Key => &self.keys,
        };
        let Ok(_permit) = waiting.permits.try_acquire() else {
            return;
        };
        waiting.waits.inc();
        let mut applied = daemon.config.subscribe();
        let newer = applied.wait_for(|stamp| stamp.version >= newest);
        let in_force = timeout(MAX_WAIT, newer).await.is_ok();
        let version = daemon.config.stamp().version;
        match missing {
            Missing::Route => event!(
                RouteAwaited,
                request = id,
                newest = newest,
                version = version,
                applied = in_force
            ),
            Missing::Key => event!(
                KeyAwaited,
                request = id,
                newest = newest,
                version = version,
                applied = in_force
            ),
        }
    }

    /// Registers the metrics.
    pub(super) fn register(&self, registry: &mut Registry) {
        let help = "Calls that waited for a newer version, since their route was not known";
        registry.register("route_waits", help, self.routes.waits.clone());
        let help = "Calls that waited for a newer version, since their API key was not known";
        registry.register("key_waits", help, self.keys.waits.clone());
    }
}

/// Returns the newest version that was reported, if it is newer than the one in force and that one does
/// not have the request's route or key.
pub(super) fn awaited_version(
    daemon: &Daemon,
    request: &Request<Incoming>,
    key: PresentedKey,
) -> Option<Awaited> {
    let table = daemon.config.table();
    let newest = newer_version(daemon, &table)?;
    let missing = match request::find_route(&table, request) {
        Ok(entry) => {
            let access = access::decide(
                &table,
                entry.route().public,
                key,
                keys::currency(daemon, &table),
            );
            (access == Access::Refused(KeyRefusal::Outdated)).then_some(Missing::Key)
        }
        Err(err) => is_unknown(&err).then_some(Missing::Route),
    };
    missing.map(|missing| Awaited { newest, missing })
}

/// Turns the refusal of a call for an unknown route into one that allows a retry while a newer version
/// is known, which may have the route.
pub(super) fn refusal(daemon: &Daemon, table: &Table, refusal: Refusal) -> Refusal {
    match newer_version(daemon, table) {
        Some(newest) if is_unknown(&refusal) => {
            let reason = format!("{}; version {newest} is not in force yet", refusal.reason);
            Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason).with_retry_after(RETRY_AFTER)
        }
        _ => refusal,
    }
}

/// Returns the newest version that was reported or is in force, if it is newer than the table by which the call
/// is decided: another one may have come into force meanwhile.
pub(super) fn newer_version(daemon: &Daemon, table: &Table) -> Option<u64> {
    let newest = ExchangeState::of(daemon).newest_known(daemon);
    (newest > table.stamp().version).then_some(newest)
}

fn is_unknown(refusal: &Refusal) -> bool {
    refusal.status == StatusCode::NOT_FOUND
}
