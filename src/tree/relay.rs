//! Tasks of a relay: renewing its lease, following `head` in the platform, and peering with the
//! other relays.

use super::actor::{Message, TreeRef};
use super::backoff::{Backoff, jitter_around, jitter_below};
use super::discovery::RELAY_SLOTS;
use super::link::Side;
use super::node::{TreeRole, is_relay};
use super::target::Target;
use super::uplink::{relay_record, set_role};
use super::{Tree, lease, session};
use crate::daemon::{Daemon, Phase, watch_time};
use crate::error::{Category, Result};
use crate::event;
use crate::generated::mesh as wire;
use crate::sync::lock;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Bounds of the delay after a failed read of `head`; see [`Backoff`].
const RETRY_MIN: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_secs(5);

/// Interval between listings of the relays in the platform, varied by a random 25 %.
const LIST_INTERVAL: Duration = Duration::from_secs(3);

/// Delay before the next listing after a vacant slot was found. It grows up to [`LIST_INTERVAL`].
const VACANT_LIST_MIN: Duration = Duration::from_millis(500);

/// Time for a draining relay's last announcement to be sent before its children are redirected.
const REDIRECT_DELAY: Duration = Duration::from_millis(100);

/// Runs the tasks of a relay whenever this daemon has a relay role.
///
/// # Errors
///
/// Fails when the tree actor has stopped.
pub async fn run(daemon: &Daemon, tree: &Arc<Tree>, actor: &TreeRef) -> anyhow::Result<()> {
    let mut roles = tree.role.subscribe();
    loop {
        let role = *roles.wait_for(|role| is_relay(*role)).await?;
        let holds_lease = matches!(role, TreeRole::Relay(_));
        let work = async {
            tokio::try_join!(
                async {
                    if holds_lease {
                        keep_lease(daemon, tree, actor).await
                    } else {
                        Ok(())
                    }
                },
                async {
                    if holds_lease {
                        follow_head(daemon, actor).await
                    } else {
                        Ok(())
                    }
                },
                join_relays(daemon, tree, actor),
            )
        };
        let mut changed = tree.role.subscribe();
        tokio::select! {
            failed = work => { failed?; }
            () = role_changed(&mut changed, role) => {}
        }
    }
}

/// Waits until the role differs from this one.
async fn role_changed(roles: &mut watch::Receiver<TreeRole>, role: TreeRole) {
    // The sender lives as long as the daemon.
    let _ = roles.wait_for(|now| *now != role).await;
}

/// Distributes the versions that this daemon accepts or reads, even if the platform fails next.
///
/// # Errors
///
/// Fails when the tree actor has stopped.
pub async fn forward_accepted(daemon: &Daemon, actor: &TreeRef) -> anyhow::Result<()> {
    let mut newest = daemon.store.subscribe();
    loop {
        let snapshot = Arc::clone(&newest.borrow_and_update());
        if snapshot.version() > 0 {
            actor.call(|reply| Message::Loaded(snapshot, reply)).await?;
        }
        newest.changed().await?;
    }
}

/// Renews the lease until the daemon drains or another daemon holds the slot. The daemon remains a
/// relay while the platform does not respond.
async fn keep_lease(daemon: &Daemon, tree: &Tree, actor: &TreeRef) -> anyhow::Result<()> {
    let platform = daemon.store.platform().as_ref();
    loop {
        tokio::select! {
            () = sleep(lease::RENEW_INTERVAL) => {}
            () = daemon.drain.reached(Phase::Draining) => {
                sleep(REDIRECT_DELAY).await;
                let relay_lease = lock(&tree.relay_lease).take();
                set_role(tree, actor, TreeRole::Seeking).await?;
                if let Some(relay_lease) = relay_lease {
                    // If the release fails, the lease expires on its own.
                    let _ = lease::release(platform, relay_lease).await;
                }
                return Ok(());
            }
        }
        let Some(relay_lease) = *lock(&tree.relay_lease) else {
            return Ok(());
        };
        if lease::renew(platform, relay_lease).await != Ok(false) {
            continue;
        }
        match lease::acquire(platform, &relay_record(daemon, relay_lease.slot)).await {
            Ok(Some(relay_lease)) => *lock(&tree.relay_lease) = Some(relay_lease),
            Ok(None) => {
                *lock(&tree.relay_lease) = None;
                return set_role(tree, actor, TreeRole::Seeking).await;
            }
            Err(_) => {}
        }
    }
}

/// Watches `head` in the platform and loads each version that it names.
async fn follow_head(daemon: &Daemon, actor: &TreeRef) -> anyhow::Result<()> {
    let mut seen_revision = None;
    let mut backoff = Backoff::new(RETRY_MIN, RETRY_MAX);
    loop {
        match read_head(daemon, actor, seen_revision).await {
            Ok(revision) => {
                seen_revision = Some(revision);
                backoff.reset();
            }
            Err(err) => {
                if err.category() != Category::Unavailable {
                    event!(SnapshotUnreadable, error = err);
                    // The values that `head` named are gone, so `head` must have moved on.
                    seen_revision = None;
                }
                let delay = backoff.delay(&mut rand::rng());
                sleep(delay).await;
            }
        }
    }
}

/// Reads `head`, or waits for it to change if a revision has been seen, and loads its version if it
/// is newer than the one in force. Returns the revision of `head`.
async fn read_head(daemon: &Daemon, actor: &TreeRef, seen_revision: Option<u64>) -> Result<u64> {
    let head = match seen_revision {
        Some(seen_revision) => {
            let wait = jitter_below(watch_time(&daemon.limits.load()));
            daemon.store.watch(seen_revision, wait).await?
        }
        None => daemon.store.head().await?,
    };
    if head.revision != 0 && head.stamp().version > daemon.config.stamp().version {
        let snapshot = daemon.store.load(&head).await?;
        // If the actor has stopped, the role ends anyway.
        let _ = actor.call(|reply| Message::Loaded(snapshot, reply)).await;
    }
    Ok(head.revision)
}

/// Attaches to the other relays, and asks children to acquire vacant slots of the failure domain.
async fn join_relays(daemon: &Daemon, tree: &Arc<Tree>, actor: &TreeRef) -> anyhow::Result<()> {
    let mut streams = PeerStreams {
        tasks: JoinSet::new(),
        targets: BTreeSet::new(),
    };
    let mut turn = 0;
    let mut backoff = Backoff::new(VACANT_LIST_MIN, LIST_INTERVAL);
    // The relays without a stream in the previous round, by name.
    let mut missing = BTreeSet::new();
    loop {
        let mut pause = jitter_around(LIST_INTERVAL);
        let listed = lease::list(daemon.store.platform().as_ref(), "").await;
        if let Ok(records) = listed {
            if let Some(slot) = vacant_slot(daemon, tree, &records) {
                actor.send(Message::Promote(slot, turn));
                turn += 1;
                pause = backoff.delay(&mut rand::rng());
            }
            actor
                .call(|reply| Message::Relays(String::new(), records, reply))
                .await?;
        }
        let relations = actor.call(Message::Relations).await?;
        let relays = relations.relays.into_iter();
        let relays: Vec<_> = relays
            .filter(|record| record.name != daemon.identity.name)
            .filter(|record| !relations.peers.contains(&record.name))
            .collect();
        let before = std::mem::take(&mut missing);
        for record in relays {
            if opens_stream(daemon, tree, &record) || before.contains(&record.name) {
                streams.start(tree, actor, Target::from(&record));
            }
            missing.insert(record.name);
        }
        streams.run_for(sleep(pause)).await;
    }
}

/// Returns whether this daemon, and not the other relay, opens the stream between the two.
///
/// That is the one with the lower name, or a fallback relay, which other relays do not find in the
/// platform.
/// The other one only opens the stream if it is still missing in the next round.
fn opens_stream(daemon: &Daemon, tree: &Tree, record: &wire::RelayRecord) -> bool {
    tree.role() == TreeRole::StandIn || daemon.identity.name < record.name
}

/// Returns the vacant relay slot of this failure domain, if this daemon holds the other one.
fn vacant_slot(daemon: &Daemon, tree: &Tree, records: &[wire::RelayRecord]) -> Option<u32> {
    let TreeRole::Relay(own) = tree.role() else {
        return None;
    };
    let domain = &daemon.identity.domain;
    let taken = |slot| {
        let mut records = records.iter();
        records.any(|record| record.domain == *domain && record.slot == slot)
    };
    (0..RELAY_SLOTS).find(|slot| *slot != own && !taken(*slot))
}

/// The streams to other relays that this daemon has opened. Dropping this closes them.
struct PeerStreams {
    tasks: JoinSet<Target>,
    targets: BTreeSet<Target>,
}

impl PeerStreams {
    /// Opens a stream to a relay unless one to the same target is open.
    fn start(&mut self, tree: &Arc<Tree>, actor: &TreeRef, target: Target) {
        if !self.targets.insert(target.clone()) {
            return;
        }
        let (actor, traffic) = (actor.clone(), Arc::clone(tree.traffic()));
        self.tasks.spawn(async move {
            session::attach(&actor, &traffic, &target, Side::Peer, |_| {}).await;
            target
        });
    }

    /// Removes the streams that end until the pause is over.
    async fn run_for(&mut self, pause: tokio::time::Sleep) {
        tokio::pin!(pause);
        loop {
            tokio::select! {
                () = &mut pause => return,
                Some(ended) = self.tasks.join_next() => {
                    if let Ok(target) = ended {
                        self.targets.remove(&target);
                    }
                }
            }
        }
    }
}
