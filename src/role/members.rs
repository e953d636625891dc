//! The role that announces this daemon and learns of the others.

use crate::daemon::{Daemon, Phase};
use crate::generated::mesh as wire;
use crate::generated::mesh::MemberState;
use crate::kernel::{Plugin, Work};
use crate::member::Fleet;
use crate::platform::{PlatformError, Swap};
use crate::settings::Distribution;
use crate::tree::Tree;
use crate::tree::actor::Message;
use prometheus_client::registry::Registry;
use prost::Message as _;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::sleep;

const PREFIX: &str = "member/";
const LEASE_TTL: Duration = Duration::from_secs(10);
const RENEW_EVERY: Duration = Duration::from_secs(3);
const LIST_EVERY: Duration = Duration::from_secs(1);

inventory::submit! {
    Plugin { name: "members", run, state, metrics }
}

fn run(daemon: Arc<Daemon>) -> Work {
    Box::pin(async move {
        match daemon.settings.distribution {
            Distribution::Direct => {
                tokio::try_join!(announce(&daemon), list(&daemon))?;
                Ok(())
            }
            Distribution::Tree => announce_in_tree(&daemon).await,
        }
    })
}

fn state(daemon: &Daemon) -> serde_json::Value {
    daemon.fleet.load().state()
}

fn metrics(_: &Daemon, _: &mut Registry) {}

/// Announces this daemon through the distribution tree once it is ready, and when it drains.
async fn announce_in_tree(daemon: &Daemon) -> anyhow::Result<()> {
    let tree = Tree::of(daemon);
    let mut phases = daemon.drain.subscribe();
    let mut actors = tree.subscribe();
    loop {
        let actor = tree.started().await?;
        tree.caught_up(daemon).await?;
        daemon.caught_up.store(true, Ordering::Relaxed);
        actors.mark_unchanged();
        let phase = *phases.borrow_and_update();
        let record = match phase {
            Phase::Running => daemon.member(1, MemberState::Ready),
            Phase::Draining | Phase::Closing | Phase::Stopped => {
                daemon.member(2, MemberState::Draining)
            }
        };
        actor.send(Message::Announce(Box::new(record)));
        // A control state that is started again knows nothing of this daemon.
        tokio::select! {
            changed = phases.changed() => changed?,
            changed = actors.changed() => changed?,
        }
    }
}

/// Keeps a key in the platform that holds this daemon's record.
async fn announce(daemon: &Daemon) -> anyhow::Result<()> {
    let mut phases = daemon.drain.subscribe();
    let mut lease = None;
    loop {
        let draining = *phases.borrow_and_update() != Phase::Running;
        let renewed = match lease {
            Some(lease) => daemon.store.platform().renew(lease).await,
            None => Ok(false),
        };
        if renewed != Ok(true) || draining {
            lease = write_record(daemon, draining).await.ok().or(lease);
        }
        tokio::select! {
            () = sleep(RENEW_EVERY) => {}
            _ = phases.changed() => {}
        }
    }
}

async fn write_record(daemon: &Daemon, draining: bool) -> Result<u64, PlatformError> {
    let platform = daemon.store.platform();
    let key = format!("{PREFIX}{}", daemon.identity.name);
    let (sequence, state) = if draining {
        (2, MemberState::Draining)
    } else {
        (1, MemberState::Ready)
    };
    let value = daemon.member(sequence, state).encode_to_vec();
    let lease = platform.grant(LEASE_TTL).await?;
    let mut expected = 0;
    loop {
        let swap = platform.swap(&key, expected, Some(value.clone().into()), lease);
        match swap.await? {
            Swap::Done(_) => return Ok(lease),
            Swap::Stale(revision) => expected = revision,
        }
    }
}

/// Reads every daemon's key again and again.
async fn list(daemon: &Daemon) -> anyhow::Result<()> {
    loop {
        if let Ok(entries) = daemon.store.platform().list(PREFIX, false, 0).await {
            let records = entries.into_iter();
            let records = records.filter_map(|entry| wire::Member::decode(entry.value).ok());
            daemon.fleet.replace(Fleet::new(records));
        }
        sleep(LIST_EVERY).await;
    }
}
