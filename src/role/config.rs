//! The role that obtains accepted versions from the platform, from peers or through the
//! distribution tree, and applies them.

use crate::daemon::{Daemon, renewal_time, watch_time};
use crate::error::{Category, Result};
use crate::event;
use crate::exchange::{self, ExchangeState};
use crate::kernel::{Plugin, RoleFuture};
use crate::member::StandIn;
use crate::platform::{self, Entry, KeyUpdate, PlatformError, PrefixWatcher};
use crate::role::members::reader_or_any;
use crate::settings::Distribution;
use crate::site::{ExternalConfig, Source};
use crate::tree::backoff::{Backoff, jitter_around, jitter_below};
use crate::tree::{self, Tree};
use prometheus_client::registry::{Registry, Unit};
use rand::Rng;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Pause after a version as a multiple of the time that reading one took, and its bounds. A quick
/// succession of versions then needs few platform calls and a small share of the link.
const PAUSE_FACTOR: u32 = 5;
const PAUSE_MIN: Duration = Duration::from_millis(400);
const PAUSE_MAX: Duration = Duration::from_secs(2);

/// Time between checks whether this daemon has to read the configuration from the platform itself.
pub(super) const READER_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time without an exchange with any peer, or without a version that peers reported, after which a
/// daemon reads the configuration itself.
///
/// Exchanges fail first where this daemon's own link is congested. Reading the whole configuration
/// over it delays them further, so the limit covers several exchanges.
const PEER_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after such a read has failed.
const FALLBACK_RETRY: Duration = Duration::from_secs(2);

/// Time after which a daemon with a slow link reads in place of others that are away. A restart takes a few
/// seconds from the announcement to the next start, and reading would take a good part of that.
const STAND_IN_DELAY: Duration = Duration::from_secs(8);

/// The same while all daemons with fast links are shutting down: they serve callers, and read, for 2.5 s more.
/// News of a daemon that has returned arrives by regular exchanges, one a second.
const LEAVING_DELAY: Duration = Duration::from_secs(2);

/// Time limit at start for reading the members from the platform, and the same again for the
/// exchange with one of them.
const STARTUP_PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time limit at a first start for reading the members.
const FIRST_START_TIMEOUT: Duration = Duration::from_secs(4);

/// Time for which a starting daemon asks peers for the configuration, and the interval. If none has
/// it by then, the daemon reads it itself.
const STARTUP_FETCH_TIME: Duration = Duration::from_secs(1);
const STARTUP_FETCH_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum delay before a failed read of an externally managed configuration is retried.
const EXTERNAL_RETRY_MAX: Duration = Duration::from_millis(500);

/// Bounds of the delay before a failed read of the configuration is retried.
const RETRY_MIN: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_secs(5);

inventory::submit! {
    Plugin { name: "config", run, state, metrics }
}

fn run(daemon: Arc<Daemon>) -> RoleFuture {
    Box::pin(async move {
        match (&daemon.source, daemon.settings.distribution) {
            (Source::External(external), _) => follow_external(&daemon, external).await,
            (Source::Operators, Distribution::Direct) => watch_platform(&daemon).await,
            (Source::Operators, Distribution::Tree) => tree::run(daemon).await,
        }
    })
}

fn state(daemon: &Daemon) -> serde_json::Value {
    let mut state = daemon.config.state();
    if daemon.settings.distribution == Distribution::Tree {
        let tree = Tree::of_daemon(daemon);
        let traffic = tree.traffic();
        state["tree"] = serde_json::json!(*tree.state());
        state["tree"]["sent_bytes"] = traffic.sent.get().into();
        state["tree"]["received_bytes"] = traffic.received.get().into();
        state["tree"]["sent_messages"] = traffic.sent_messages.get().into();
        state["tree"]["received_messages"] = traffic.received_messages.get().into();
    }
    state
}

fn metrics(daemon: &Daemon, registry: &mut Registry) {
    let tree = Tree::of_daemon(daemon);
    let traffic = tree.traffic();
    let registry = registry.sub_registry_with_prefix("tree");
    registry.register_with_unit(
        "sent",
        "Messages sent on streams of the distribution tree",
        Unit::Bytes,
        traffic.sent.clone(),
    );
    registry.register_with_unit(
        "received",
        "Messages received on streams of the distribution tree",
        Unit::Bytes,
        traffic.received.clone(),
    );
    registry.register(
        "sent_messages",
        "Messages sent on streams of the distribution tree",
        traffic.sent_messages.clone(),
    );
    registry.register(
        "received_messages",
        "Messages received on streams of the distribution tree",
        traffic.received_messages.clone(),
    );
}

/// Follows an externally managed configuration.
///
/// In a large failure domain only some daemons read it from the platform. The others receive it
/// from their peers, which costs a fraction of the bytes.
async fn follow_external(daemon: &Daemon, external: &ExternalConfig) -> anyhow::Result<()> {
    let mut watcher = PrefixWatcher::new(&external.key);
    let mut backoff = Backoff::new(RETRY_MIN, EXTERNAL_RETRY_MAX);
    let mut read_time = Duration::ZERO;
    let mut fleet = daemon.fleet.subscribe();
    let mut has_failed = false;
    fetch_from_peer(daemon).await;
    loop {
        fleet.mark_unchanged();
        if is_served_by_peers(daemon) {
            has_failed = false;
            let state = ExchangeState::of(daemon);
            state.record_platform(daemon, daemon.platform_lost.load(Ordering::Relaxed), false);
            // A reader that the platform turns away tells this daemon by an exchange, which changes the fleet.
            let _ = timeout(READER_CHECK_INTERVAL, fleet.changed()).await;
            // A new watcher skips the versions written meanwhile and reads only the newest.
            watcher = PrefixWatcher::new(&external.key);
            continue;
        }
        let started = Instant::now();
        let lists = watcher.lists_next();
        let wait = jitter_below(watch_time(&daemon.limits.load()));
        let entries = match follow_prefix(daemon, &mut watcher, wait).await {
            Ok(KeyUpdate::Listing(entries) | KeyUpdate::Restored(entries)) => entries,
            Ok(KeyUpdate::Events(events)) => events.into_iter().filter_map(put_entry).collect(),
            Err(err) => {
                event!(ConfigUnread, error = err, version = daemon.config.stamp());
                // A failed listing has been repeated, a failed watch has not.
                if (lists || has_failed) && is_configured(daemon) && is_reader(daemon) {
                    record_loss(daemon);
                }
                has_failed = true;
                let delay = if is_configured(daemon) && !is_reader(daemon) {
                    jitter_around(FALLBACK_RETRY)
                } else {
                    backoff.delay(&mut rand::rng())
                };
                sleep(delay).await;
                continue;
            }
        };
        backoff.reset();
        let was_lost = std::mem::take(&mut has_failed);
        record_answer(daemon);
        if lists {
            read_time = started.elapsed();
        }
        let newest = entries.iter().rev().find(|entry| entry.key == external.key);
        if let Some(entry) = newest {
            let previous = daemon.config.stamp().version;
            apply_external(daemon, external, entry);
            daemon.contact.mark_current(started);
            let applied = daemon.config.stamp().version;
            if was_lost && applied > previous {
                ExchangeState::of(daemon).set_late(applied);
            }
            let pause = read_pause(read_time);
            // Where keyed calls depend on it, the proof that there is no newer version is renewed in time.
            let renewal = renewal_time(&daemon.limits.load());
            sleep(renewal.map_or(pause, |time| time.min(pause))).await;
            if ExchangeState::of(daemon).newest_known(daemon) > applied {
                // A watch would deliver each version in between in full; a listing has only the
                // newest.
                watcher = PrefixWatcher::new(&external.key);
            }
        } else {
            daemon.contact.mark_current(started);
        }
    }
}

/// Returns the pause after reading a version. It is random, so that the readers of a failure domain read at
/// different times; each passes what it has read to the others.
fn read_pause(read_time: Duration) -> Duration {
    let pause = (read_time * PAUSE_FACTOR).clamp(PAUSE_MIN, PAUSE_MAX);
    pause.mul_f64(rand::rng().random_range(0.5..1.5))
}

/// Fetches the configuration from a peer, if the members are known in time and this daemon is not
/// one of those that read it from the platform.
async fn fetch_from_peer(daemon: &Daemon) {
    let limit = if daemon.settings.first_start {
        FIRST_START_TIMEOUT
    } else {
        STARTUP_PEER_TIMEOUT
    };
    let queried = timeout(limit, ExchangeState::of(daemon).wait_queried()).await;
    if queried.is_err() || is_reader(daemon) {
        return;
    }
    let until = Instant::now() + STARTUP_FETCH_TIME;
    while daemon.config.stamp().version == 0 && Instant::now() < until {
        let Some(peer) = reader_or_any(daemon) else {
            return;
        };
        if let Err(err) = exchange::with_peer(daemon, peer, STARTUP_PEER_TIMEOUT).await {
            event!(ExchangeFailed, peer = peer, error = err);
        }
        sleep(STARTUP_FETCH_INTERVAL).await;
    }
}

/// Tests whether this daemon receives the configuration from its peers, and so does not read it
/// from the platform.
pub(super) fn is_served_by_peers(daemon: &Daemon) -> bool {
    let state = ExchangeState::of(daemon);
    is_configured(daemon)
        && !is_reader(daemon)
        && state.exchanged_within(PEER_TIMEOUT)
        && !daemon.contact.is_due(&daemon.limits.load())
        && !state.is_behind(daemon, PEER_TIMEOUT)
}

fn is_configured(daemon: &Daemon) -> bool {
    daemon.config.stamp().version > 0
}

/// Records that the platform has answered this daemon, and whether it reads in place of others that the platform
/// does not answer.
pub(super) fn record_answer(daemon: &Daemon) {
    let state = ExchangeState::of(daemon);
    state.set_turned_away(false);
    let answers = daemon.platform_answers.load(Ordering::Relaxed);
    state.record_platform(daemon, false, answers);
    let has_lost = daemon
        .fleet
        .load()
        .has_lost_platform(&daemon.identity.domain);
    state.record_platform(daemon, false, has_lost && is_reader(daemon));
}

/// Records that the platform does not answer this daemon, which reads from it: others are told, and read in its
/// place.
pub(super) fn record_loss(daemon: &Daemon) {
    let state = ExchangeState::of(daemon);
    state.record_platform(daemon, true, false);
    state.set_turned_away(true);
}

/// Tests whether this daemon reads from the platform for its failure domain.
pub(super) fn is_reader(daemon: &Daemon) -> bool {
    let own = &daemon.identity;
    let fleet = daemon.fleet.load();
    let is_chosen =
        fleet.is_reader(&own.name, &own.domain) || fleet.is_candidate(&own.name, &own.domain);
    let stand_in = fleet.stand_in(&own.name, &own.domain);
    let stand_in = stand_in.filter(|_| is_chosen);
    let delay = match stand_in {
        Some(StandIn::Leaving) => LEAVING_DELAY,
        Some(StandIn::Away) | None => STAND_IN_DELAY,
    };
    let is_due = ExchangeState::of(daemon).stands_in_for(stand_in, delay);
    is_chosen && (stand_in.is_none() || is_due)
}

/// Waits for changes below the watcher's prefix.
///
/// A pending watch is abandoned when the platform recovers from an outage, since its connection may
/// be dead.
pub(super) async fn follow_prefix(
    daemon: &Daemon,
    watcher: &mut PrefixWatcher,
    wait: Duration,
) -> Result<KeyUpdate, PlatformError> {
    let mut recovered = daemon.platform_recovered.clone();
    recovered.mark_unchanged();
    let platform = daemon.store.platform();
    loop {
        tokio::select! {
            update = watcher.next(platform.as_ref(), wait) => return update,
            Ok(()) = recovered.changed() => {}
        }
    }
}

fn put_entry(event: platform::KeyEvent) -> Option<Entry> {
    match event {
        platform::KeyEvent::Put(entry) => Some(entry),
        platform::KeyEvent::Deleted(_) => None,
    }
}

/// Applies a version that was read from the platform. One that cannot be decoded is logged and
/// changes nothing.
fn apply_external(daemon: &Daemon, external: &ExternalConfig, entry: &Entry) {
    let state = ExchangeState::of(daemon);
    event!(
        VersionReceived,
        from = "platform",
        revision = entry.revision,
        current = daemon.config.stamp().version,
        bytes = entry.value.len()
    );
    if let Err(err) = state.apply_external(daemon, external, &entry.value) {
        event!(SnapshotUnreadable, revision = entry.revision, error = err);
    }
}

/// Watches `head` and applies each version that it refers to.
async fn watch_platform(daemon: &Daemon) -> anyhow::Result<()> {
    let mut seen = None;
    let mut delay = RETRY_MIN;
    loop {
        let started = Instant::now();
        match follow_head(daemon, seen).await {
            Ok(revision) => {
                daemon.contact.mark_current(started);
                seen = Some(revision);
                daemon.caught_up.store(true, Ordering::Relaxed);
                delay = RETRY_MIN;
            }
            Err(err) => {
                if err.category() != Category::Unavailable {
                    event!(SnapshotUnreadable, error = err);
                }
                let jitter = rand::rng().random_range(0.5..1.0);
                sleep(delay.mul_f64(jitter)).await;
                delay = (delay * 2).min(RETRY_MAX);
            }
        }
    }
}

/// Waits until the revision of `head` is newer than `seen`, applies the version that `head` refers
/// to, and returns the revision of `head`.
async fn follow_head(daemon: &Daemon, seen: Option<u64>) -> Result<u64> {
    let head = match seen {
        Some(seen) => {
            let wait = jitter_below(watch_time(&daemon.limits.load()));
            daemon.store.watch(seen, wait).await?
        }
        None => daemon.store.head().await?,
    };
    if head.revision != 0 && head.stamp() != daemon.config.stamp() {
        let snapshot = daemon.store.load(&head).await?;
        daemon.config.apply(snapshot)?;
    }
    Ok(head.revision)
}
