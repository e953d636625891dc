//! The role that brings accepted versions, from the platform or through the distribution tree.

use crate::daemon::Daemon;
use crate::error::{Category, Result};
use crate::event;
use crate::exchange::{self, Knowledge};
use crate::kernel::{Plugin, Work};
use crate::platform::{self, Entry, Follower, News, PlatformError};
use crate::role::members::random_peer;
use crate::settings::Distribution;
use crate::site::{Given, Source};
use crate::tree::backoff::Backoff;
use crate::tree::{self, Tree};
use prometheus_client::registry::{Registry, Unit};
use rand::Rng;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{sleep, timeout};

const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which a watch on a given configuration waits. A connection that goes silent is found
/// by its end; until then peers tell of newer versions.
const GIVEN_WAIT: Duration = Duration::from_secs(30);
/// Time after a version in which further ones are gathered, so that a quick succession of versions
/// costs few calls.
const GATHER_TIME: Duration = Duration::from_secs(1);

/// Time between looks at whether a daemon reads the configuration itself.
const ROLE_CHECK: Duration = Duration::from_millis(500);

/// Time without a word from any peer after which a daemon reads the configuration itself: two
/// exchanges, so that one that fails is borne and a daemon cut off from its peers is behind for little.
const PEER_SILENCE: Duration = Duration::from_secs(2);

/// Time at the start for the platform to name the members, and for one of them to answer.
const MEETING_TIME: Duration = Duration::from_millis(500);

/// Greatest delay before a platform that does not answer is asked again for the configuration.
const GIVEN_RETRY_MAX: Duration = Duration::from_millis(500);

const RETRY_MIN: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_secs(5);

inventory::submit! {
    Plugin { name: "config", run, state, metrics }
}

fn run(daemon: Arc<Daemon>) -> Work {
    Box::pin(async move {
        match (&daemon.source, daemon.settings.distribution) {
            (Source::Given(given), _) => follow_given(&daemon, given).await,
            (Source::Own, Distribution::Direct) => watch_platform(&daemon).await,
            (Source::Own, Distribution::Tree) => tree::run(daemon).await,
        }
    })
}

fn state(daemon: &Daemon) -> serde_json::Value {
    let mut state = daemon.config.state();
    if daemon.settings.distribution == Distribution::Tree {
        let tree = Tree::of(daemon);
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
    let tree = Tree::of(daemon);
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

/// Follows a configuration that others write.
///
/// In a large failure domain some daemons read it from the platform, and the others get it from
/// their peers in a fraction of the bytes.
async fn follow_given(daemon: &Daemon, given: &Given) -> anyhow::Result<()> {
    let mut follower = Follower::new(&given.key);
    let mut backoff = Backoff::new(RETRY_MIN, GIVEN_RETRY_MAX);
    meet_peers(daemon).await;
    loop {
        if is_served_by_peers(daemon) {
            sleep(ROLE_CHECK).await;
            // What was passed over in the meantime need not be read one by one.
            follower = Follower::new(&given.key);
            continue;
        }
        let values = match follow(daemon, &mut follower, GIVEN_WAIT).await {
            Ok(News::All(entries)) => entries,
            Ok(News::Some(events)) => events.into_iter().filter_map(put).collect(),
            Err(err) => {
                event!(ConfigUnread, error = err, version = daemon.config.stamp());
                let delay = backoff.delay(&mut rand::rng());
                sleep(delay).await;
                continue;
            }
        };
        backoff.reset();
        let newest = values.iter().rev().find(|entry| entry.key == given.key);
        if let Some(entry) = newest {
            take_given(daemon, given, entry);
            let taken = daemon.config.stamp().version;
            sleep(GATHER_TIME).await;
            if Knowledge::of(daemon).newest_heard(daemon) > taken {
                // A watch would bring each version in between in full; a listing brings the newest.
                follower = Follower::new(&given.key);
            }
        }
    }
}

/// Asks a peer for the configuration, if the members are known by then and others read it.
async fn meet_peers(daemon: &Daemon) {
    let asked = timeout(MEETING_TIME, Knowledge::of(daemon).asked()).await;
    if asked.is_err() || is_reader(daemon) {
        return;
    }
    let Some(peer) = random_peer(daemon) else {
        return;
    };
    match timeout(MEETING_TIME, exchange::with_peer(daemon, peer)).await {
        Ok(Ok(())) => {}
        Ok(Err(err)) => event!(ExchangeFailed, peer = peer, error = err),
        Err(_) => event!(ExchangeFailed, peer = peer, error = "no answer in time"),
    }
}

/// Tests whether peers bring the configuration to this daemon.
pub(super) fn is_served_by_peers(daemon: &Daemon) -> bool {
    let known = daemon.config.stamp().version > 0;
    known && !is_reader(daemon) && Knowledge::of(daemon).heard_within(PEER_SILENCE)
}

fn is_reader(daemon: &Daemon) -> bool {
    let own = &daemon.identity;
    daemon.fleet.load().is_reader(&own.name, &own.domain)
}

/// Waits for what is new below a prefix. A watch that waits is given up when the platform answers
/// again after it had not, since its connection may have gone silent.
pub(super) async fn follow(
    daemon: &Daemon,
    follower: &mut Follower,
    wait: Duration,
) -> Result<News, PlatformError> {
    let mut back = daemon.platform_back.clone();
    back.mark_unchanged();
    let platform = daemon.store.platform();
    loop {
        tokio::select! {
            news = follower.next(platform.as_ref(), wait) => return news,
            Ok(()) = back.changed() => {}
        }
    }
}

fn put(event: platform::Event) -> Option<Entry> {
    match event {
        platform::Event::Put(entry) => Some(entry),
        platform::Event::Deleted(_) => None,
    }
}

/// Puts a version in force that was read from the platform. One that cannot be read changes
/// nothing.
fn take_given(daemon: &Daemon, given: &Given, entry: &Entry) {
    let knowledge = Knowledge::of(daemon);
    if let Err(err) = knowledge.take_given(daemon, given, &entry.value) {
        event!(SnapshotUnreadable, revision = entry.revision, error = err);
    }
}

/// Watches `head` and applies each version that it names.
async fn watch_platform(daemon: &Daemon) -> anyhow::Result<()> {
    let mut seen = None;
    let mut delay = RETRY_MIN;
    loop {
        match follow_head(daemon, seen).await {
            Ok(revision) => {
                seen = Some(revision);
                daemon.caught_up.store(true, Ordering::Relaxed);
                delay = RETRY_MIN;
            }
            Err(err) => {
                if err.category() != Category::Unavailable {
                    event!(SnapshotUnreadable, error = err);
                }
                let share = rand::rng().random_range(0.5..1.0);
                sleep(delay.mul_f64(share)).await;
                delay = (delay * 2).min(RETRY_MAX);
            }
        }
    }
}

async fn follow_head(daemon: &Daemon, seen: Option<u64>) -> Result<u64> {
    let head = match seen {
        Some(seen) => daemon.store.watch(seen, WATCH_TIMEOUT).await?,
        None => daemon.store.head().await?,
    };
    if head.revision != 0 && head.stamp() != daemon.config.stamp() {
        let snapshot = daemon.store.load(&head).await?;
        daemon.config.apply(snapshot)?;
    }
    Ok(head.revision)
}
