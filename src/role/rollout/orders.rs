//! Reading the orders of rollouts.

use super::{fetch, knows_members, own_service, peers, record, spread};
use crate::daemon::{Daemon, watch_time};
use crate::event;
use crate::platform::{Entry, KeyEvent, KeyUpdate, PlatformError, PrefixWatcher};
use crate::role::config;
use crate::rollout::registry::{Merged, Rollout};
use crate::site::Rollouts;
use crate::tree::backoff::{Backoff, jitter_around, jitter_below};
use rand::seq::IteratorRandom;
use std::collections::BTreeMap;
use std::future::pending;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Time at start after which a daemon that is not served by peers follows the orders, and the pause between checks. No
/// change is missed meanwhile.
const START_TIMEOUT: Duration = Duration::from_secs(1);
const START_PAUSE: Duration = Duration::from_millis(100);

/// Bounds of the delay before a failed read is retried.
const RETRY_MIN: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_millis(500);

/// Time limit at start for learning of the orders; neither the platform nor a peer may answer.
const SYNC_TIMEOUT: Duration = Duration::from_secs(4);

/// Time limit for one attempt during that, and the pause after it.
const SYNC_ATTEMPT: Duration = Duration::from_secs(1);
const SYNC_PAUSE: Duration = Duration::from_millis(50);

/// Learns of the orders at start, from the platform or from another daemon of the service.
pub(super) async fn sync(daemon: &Daemon, source: &Rollouts, watcher: &mut PrefixWatcher) {
    let from = tokio::select! {
        () = sync_with_platform(daemon, source, watcher) => "platform",
        () = sync_with_peer(daemon, SYNC_PAUSE) => "peer",
        () = sleep(SYNC_TIMEOUT) => "none",
    };
    if from != "none" {
        daemon.rollouts.mark_informed();
    }
    let orders = daemon.rollouts.load().iter().count();
    event!(RolloutOrdersRead, from = from, orders = orders);
}

/// Receives the orders from another daemon after the time limit at start has passed without them. Does not return.
pub(super) async fn sync_late(daemon: &Daemon) {
    if !daemon.rollouts.is_informed() {
        sync_with_peer(daemon, SYNC_ATTEMPT).await;
        daemon.rollouts.mark_informed();
    }
    pending::<()>().await;
}

async fn sync_with_platform(daemon: &Daemon, source: &Rollouts, watcher: &mut PrefixWatcher) {
    let platform = daemon.store.platform();
    loop {
        let read = async {
            if watcher.lists_next() {
                let update = watcher.next(platform.as_ref(), SYNC_ATTEMPT).await?;
                apply_update(daemon, source, update, &BTreeMap::new());
            }
            read_own_record(daemon).await
        };
        match timeout(SYNC_ATTEMPT, read).await {
            Ok(Ok(())) => return,
            Ok(Err(err)) => event!(RolloutRecordFailed, key = source.orders, error = err),
            Err(_) => event!(
                RolloutRecordFailed,
                key = source.orders,
                error = "not read in time"
            ),
        }
        sleep(jitter_around(SYNC_PAUSE)).await;
    }
}

/// Reads the step record of the own service.
async fn read_own_record(daemon: &Daemon) -> Result<(), PlatformError> {
    let service = own_service(daemon);
    if daemon.rollouts.get(service).is_some() {
        record::read(daemon, service).await?;
    } else if !service.is_empty() {
        record::read_ended(daemon, service).await?;
    }
    Ok(())
}

/// Receives the orders of another daemon of the service that knows them, by attempts after a pause each.
async fn sync_with_peer(daemon: &Daemon, pause: Duration) {
    loop {
        sleep(jitter_around(pause)).await;
        let peers = peers(daemon, own_service(daemon)).into_iter();
        let peer = peers.choose(&mut rand::rng());
        if knows_members(daemon)
            && let Some(peer) = peer
            && fetch(daemon, peer, SYNC_ATTEMPT).await
        {
            return;
        }
    }
}

/// Follows the orders in the platform, on the daemons that read from it. The watcher continues after the listing at
/// start, if there was one.
pub(super) async fn follow(daemon: &Daemon, source: &Rollouts, mut watcher: PrefixWatcher) {
    let mut backoff = Backoff::new(RETRY_MIN, RETRY_MAX);
    // A daemon counts as a reader until it has the configuration and exchanges with peers.
    let started = Instant::now();
    while started.elapsed() < START_TIMEOUT && !config::is_served_by_peers(daemon) {
        sleep(START_PAUSE).await;
    }
    loop {
        if config::is_served_by_peers(daemon) {
            sleep(config::READER_CHECK_INTERVAL).await;
            watcher = PrefixWatcher::new(source.orders);
            continue;
        }
        let known = known_orders(daemon);
        // An order must be known as soon as a version of the configuration.
        let wait = jitter_below(watch_time(&daemon.limits.load()));
        match config::follow_prefix(daemon, &mut watcher, wait).await {
            Ok(update) => {
                backoff.reset();
                apply_update(daemon, source, update, &known);
                if !daemon.rollouts.is_informed()
                    && let Ok(Ok(())) = timeout(SYNC_ATTEMPT, read_own_record(daemon)).await
                {
                    daemon.rollouts.mark_informed();
                }
            }
            Err(err) => {
                event!(RolloutRecordFailed, key = source.orders, error = err);
                let delay = backoff.delay(&mut rand::rng());
                sleep(delay).await;
            }
        }
    }
}

/// Returns the revisions of the known orders by service.
fn known_orders(daemon: &Daemon) -> BTreeMap<String, u64> {
    let rollouts = daemon.rollouts.load();
    let orders = rollouts.iter().map(|known| &known.order);
    orders
        .map(|order| (order.service.clone(), order.revision))
        .collect()
}

/// Applies changed orders, and spreads what is new. `known` are the orders known before a listing began: of those,
/// one that it lacks was deleted.
fn apply_update(
    daemon: &Daemon,
    source: &Rollouts,
    update: KeyUpdate,
    known: &BTreeMap<String, u64>,
) {
    match update {
        KeyUpdate::Listing(entries) => {
            for entry in &entries {
                apply(daemon, source, entry);
            }
            for (service, revision) in known {
                let key = format!("{}{service}", source.orders);
                let same = |known: &Rollout| known.order.revision == *revision;
                let is_listed = entries.iter().any(|entry| entry.key == key);
                if !is_listed
                    && daemon
                        .rollouts
                        .get(service)
                        .is_some_and(|known| same(&known))
                {
                    remove(daemon, service);
                }
            }
        }
        // An older copy may lack an order that is still to be carried out.
        KeyUpdate::Restored(entries) => {
            for entry in &entries {
                apply(daemon, source, entry);
            }
        }
        KeyUpdate::Events(events) => {
            for event in events {
                match event {
                    KeyEvent::Put(entry) => apply(daemon, source, &entry),
                    KeyEvent::Deleted(key) => {
                        remove(daemon, key.strip_prefix(source.orders).unwrap_or_default());
                    }
                }
            }
        }
    }
}

/// Applies an order that was read from the platform. One that cannot be decoded is logged and changes nothing.
fn apply(daemon: &Daemon, source: &Rollouts, entry: &Entry) {
    let order = match (source.decode)(entry) {
        Ok(order) => order,
        Err(err) => {
            event!(
                RolloutOrderIgnored,
                key = entry.key,
                revision = entry.revision,
                error = err
            );
            return;
        }
    };
    let service = order.service.clone();
    let is_configured = daemon.config.stamp().version > 0;
    if is_configured && daemon.config.table().service_named(&service).is_none() {
        event!(
            RolloutOrderIgnored,
            key = entry.key,
            revision = entry.revision,
            error = "service is not configured"
        );
        return;
    }
    let rollout = Rollout::new(order, Instant::now());
    if daemon.rollouts.merge(rollout) == Merged::Changed
        && let Some(rollout) = daemon.rollouts.get(&service)
    {
        spread(daemon, &rollout);
    }
}

fn remove(daemon: &Daemon, service: &str) {
    if daemon.rollouts.remove(service)
        && let Some(rollout) = daemon.rollouts.get(service)
    {
        spread(daemon, &rollout);
    }
}
