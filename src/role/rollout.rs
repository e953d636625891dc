//! The role that follows the orders of rollouts, spreads orders and steps, and decides where it is this daemon's
//! turn.

mod decider;
mod orders;
mod record;
mod status;

use crate::daemon::{Daemon, Phase};
use crate::event;
use crate::exchange::ExchangeState;
use crate::generated::mesh as wire;
use crate::kernel::{Plugin, RoleFuture};
use crate::platform::PrefixWatcher;
use crate::rollout::registry::Rollout;
use crate::rollout::{self, ServerKey, phase_name, wire as convert};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time limit for the response of another daemon.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between reports of evidence to the decider.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Pause after newer steps were requested from a daemon.
const FETCH_PAUSE: Duration = Duration::from_millis(100);

inventory::submit! {
    Plugin { name: "rollouts", run, state, metrics }
}

fn run(daemon: Arc<Daemon>) -> RoleFuture {
    Box::pin(async move {
        let Some(source) = daemon.ordered_rollouts else {
            daemon.rollouts.mark_informed();
            daemon.rollouts.mark_synced();
            daemon.drain.reached(Phase::Stopped).await;
            return Ok(());
        };
        let mut watcher = PrefixWatcher::new(source.orders);
        if daemon.settings.first_start {
            daemon.rollouts.mark_informed();
        } else if !daemon.rollouts.is_synced() {
            orders::sync(&daemon, &source, &mut watcher).await;
        }
        daemon.rollouts.mark_synced();
        tokio::select! {
            () = orders::follow(&daemon, &source, watcher) => {}
            () = orders::sync_late(&daemon) => {}
            () = fetch_newer(&daemon) => {}
            () = count_and_report(&daemon) => {}
            () = decider::run(&daemon, &source) => {}
            () = daemon.drain.reached(Phase::Stopped) => {}
        }
        Ok(())
    })
}

fn state(daemon: &Daemon) -> serde_json::Value {
    daemon.rollouts.state()
}

/// The labels of a rollout. Services are limited in number by the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Labels {
    service: String,
    phase: &'static str,
}

#[derive(Default)]
struct Metrics {
    share: Family<Labels, Gauge>,
}

fn metrics(daemon: &Daemon, registry: &mut Registry) {
    let metrics = daemon.component(Metrics::default);
    registry.register(
        "rollout_share",
        "Share of the calls that go to the ordered version by the newest step, in thousandths",
        metrics.share.clone(),
    );
}

/// Sets the share of each service's rollout in the metrics.
fn update_metrics(daemon: &Daemon) {
    let metrics = daemon.component(Metrics::default);
    metrics.share.clear();
    for rollout in daemon.rollouts.load().iter() {
        let labels = Labels {
            service: rollout.order.service.clone(),
            phase: phase_name(rollout.phase()),
        };
        let share = rollout.step().map_or(0, |step| step.share);
        metrics.share.get_or_create(&labels).set(share.into());
    }
}

/// Returns the service of this daemon's backend server; empty without one.
fn own_service(daemon: &Daemon) -> &str {
    let backend = daemon.settings.backend.as_ref();
    backend.map_or("", |backend| backend.service.as_str())
}

/// Returns the rollout of this daemon's own service.
fn own_rollout(daemon: &Daemon) -> Option<Arc<Rollout>> {
    daemon.rollouts.get(own_service(daemon))
}

/// Returns the inbound addresses of the other daemons of a service.
fn peers(daemon: &Daemon, service: &str) -> Vec<SocketAddr> {
    let fleet = daemon.fleet.load();
    let members = fleet.members().values();
    let others = members.filter(|m| m.service == service && m.name != daemon.identity.name);
    others
        .filter_map(|member| member.inbound.parse().ok())
        .collect()
}

/// Sends a rollout to all other daemons of its service, without waiting. One that misses it receives it with the
/// next renewal, by an exchange or after the mark of a response.
fn spread(daemon: &Daemon, rollout: &Rollout) {
    let report = Arc::new(wire::RolloutReport {
        rollouts: vec![convert::encode(rollout, Instant::now())],
        ..wire::RolloutReport::default()
    });
    for peer in peers(daemon, &rollout.order.service) {
        let report = Arc::clone(&report);
        tokio::spawn(async move {
            if let Err(err) = rollout::send(peer, &report, RESPONSE_TIMEOUT).await {
                event!(RolloutReportFailed, peer = peer, error = err);
            }
        });
    }
}

/// Requests the orders and steps of another daemon; returns whether it knows all of them.
async fn fetch(daemon: &Daemon, peer: SocketAddr, limit: Duration) -> bool {
    let request = wire::RolloutReport {
        wants: true,
        ..wire::RolloutReport::default()
    };
    match rollout::send(peer, &request, limit).await {
        Ok(response) => {
            daemon.rollouts.merge_messages(response.rollouts);
            response.synced
        }
        Err(err) => {
            event!(RolloutReportFailed, peer = peer, error = err);
            false
        }
    }
}

/// Requests newer orders and steps from daemons that have stated them on responses.
async fn fetch_newer(daemon: &Daemon) {
    let mut holders = daemon.rollouts.holders();
    while holders.changed().await.is_ok() {
        let holder = *holders.borrow_and_update();
        if let Some(holder) = holder {
            fetch(daemon, holder, RESPONSE_TIMEOUT).await;
            sleep(FETCH_PAUSE).await;
        }
    }
}

/// Counts the calls of the own backend server while its service has an order, and reports them to the decider.
async fn count_and_report(daemon: &Daemon) {
    let mut changes = daemon.rollouts.changes();
    loop {
        changes.mark_unchanged();
        daemon.rollouts.update_counters(own_service(daemon));
        update_metrics(daemon);
        let active = own_rollout(daemon).filter(|rollout| !rollout.phase().is_final());
        let Some(rollout) = active else {
            if changes.changed().await.is_err() {
                return;
            }
            continue;
        };
        report(daemon, &rollout).await;
        tokio::select! {
            () = sleep(REPORT_INTERVAL) => {}
            _ = changes.changed() => {}
        }
    }
}

/// Sends the own counts to the decider.
async fn report(daemon: &Daemon, rollout: &Rollout) {
    let order = rollout.order.revision;
    let Some(published) = &rollout.published else {
        return;
    };
    let counts = daemon.rollouts.counters().counts(order).unwrap_or_default();
    let counts = counts.into_iter().map(|(instance, counts)| {
        let key = ServerKey {
            daemon: daemon.identity.name.clone(),
            incarnation: daemon.identity.incarnation,
            instance,
        };
        (key, counts)
    });
    if published.decider == daemon.identity.name {
        counts.for_each(|(key, counts)| daemon.rollouts.merge_evidence(order, key, counts));
        return;
    }
    let fleet = daemon.fleet.load();
    let decider = fleet.members().get(&published.decider);
    let Some(peer) = decider.and_then(|member| member.inbound.parse().ok()) else {
        return;
    };
    let evidence = counts.map(|(key, counts)| convert::encode_counts(order, &key, &counts));
    let report = wire::RolloutReport {
        evidence: evidence.collect(),
        ..wire::RolloutReport::default()
    };
    if !report.evidence.is_empty()
        && let Err(err) = rollout::send(peer, &report, REPORT_INTERVAL).await
    {
        event!(RolloutReportFailed, peer = peer, error = err);
    }
}

/// Tests whether this daemon has learnt of the other members, if there are any.
fn knows_members(daemon: &Daemon) -> bool {
    ExchangeState::of(daemon).is_queried()
}
