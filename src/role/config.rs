//! The role that brings accepted versions, from the platform or through the distribution tree.

use crate::daemon::Daemon;
use crate::error::{Category, Result};
use crate::event;
use crate::kernel::{Plugin, Work};
use crate::settings::Distribution;
use crate::tree::{self, Tree};
use prometheus_client::registry::{Registry, Unit};
use rand::Rng;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::sleep;

const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
const RETRY_MIN: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_secs(5);

inventory::submit! {
    Plugin { name: "config", run, state, metrics }
}

fn run(daemon: Arc<Daemon>) -> Work {
    Box::pin(async move {
        match daemon.settings.distribution {
            Distribution::Direct => watch_platform(&daemon).await,
            Distribution::Tree => tree::run(daemon).await,
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
