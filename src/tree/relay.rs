//! The work of a relay: its lease, the platform's newest version, and the other relays.

use super::actor::{Message, TreeRef};
use super::backoff::{Backoff, about};
use super::link::Side;
use super::node::{Role, is_relay};
use super::seek::SLOTS;
use super::target::Target;
use super::uplink::{relay_record, set_role};
use super::{Tree, lease, session};
use crate::daemon::{Daemon, Phase};
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

const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
const RETRY_MIN: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_secs(5);

/// The time between two looks at the relays that the platform lists.
const LIST_EVERY: Duration = Duration::from_secs(3);

/// The time until the first look after a vacant slot was seen. It grows up to [`LIST_EVERY`].
const VACANT_MIN: Duration = Duration::from_millis(500);

/// Time for a draining relay's last announcement to leave before its children are sent away.
const DISMISS_DELAY: Duration = Duration::from_millis(100);

/// Does the work of a relay whenever this daemon is one.
///
/// # Errors
///
/// Fails when the control state has stopped.
pub async fn run(daemon: &Daemon, tree: &Arc<Tree>, actor: &TreeRef) -> anyhow::Result<()> {
    let mut roles = tree.role.subscribe();
    loop {
        let role = *roles.wait_for(|role| is_relay(*role)).await?;
        let holds = matches!(role, Role::Relay(_));
        let work = async {
            tokio::try_join!(
                async {
                    if holds {
                        keep_lease(daemon, tree, actor).await
                    } else {
                        Ok(())
                    }
                },
                async {
                    if holds {
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
            () = left(&mut changed, role) => {}
        }
    }
}

async fn left(roles: &mut watch::Receiver<Role>, role: Role) {
    // The sender lives as long as the daemon.
    let _ = roles.wait_for(|now| *now != role).await;
}

/// Passes on the versions that this daemon itself accepts, even if the platform fails next.
///
/// # Errors
///
/// Fails when the control state has stopped.
pub async fn pass_accepted(daemon: &Daemon, actor: &TreeRef) -> anyhow::Result<()> {
    let mut newest = daemon.store.subscribe();
    loop {
        let snapshot = Arc::clone(&newest.borrow_and_update());
        if snapshot.version() > 0 {
            actor.call(|reply| Message::Loaded(snapshot, reply)).await?;
        }
        newest.changed().await?;
    }
}

/// Renews the lease. While the platform does not answer the daemon stays a relay.
async fn keep_lease(daemon: &Daemon, tree: &Tree, actor: &TreeRef) -> anyhow::Result<()> {
    let platform = daemon.store.platform().as_ref();
    loop {
        tokio::select! {
            () = sleep(lease::RENEW_EVERY) => {}
            () = daemon.drain.reached(Phase::Draining) => {
                sleep(DISMISS_DELAY).await;
                let held = lock(&tree.held).take();
                set_role(tree, actor, Role::Seeking).await?;
                if let Some(held) = held {
                    // Otherwise the lease lapses by itself.
                    let _ = lease::release(platform, held).await;
                }
                return Ok(());
            }
        }
        let Some(held) = *lock(&tree.held) else {
            return Ok(());
        };
        if lease::renew(platform, held).await != Ok(false) {
            continue;
        }
        match lease::acquire(platform, &relay_record(daemon, held.slot)).await {
            Ok(Some(held)) => *lock(&tree.held) = Some(held),
            Ok(None) => {
                *lock(&tree.held) = None;
                return set_role(tree, actor, Role::Seeking).await;
            }
            Err(_) => {}
        }
    }
}

/// Watches `head` and passes on each version that it names.
async fn follow_head(daemon: &Daemon, actor: &TreeRef) -> anyhow::Result<()> {
    let mut seen = None;
    let mut backoff = Backoff::new(RETRY_MIN, RETRY_MAX);
    loop {
        match read_head(daemon, actor, seen).await {
            Ok(revision) => {
                seen = Some(revision);
                backoff.reset();
            }
            Err(err) => {
                if err.category() != Category::Unavailable {
                    event!(SnapshotUnreadable, error = err);
                    // What the head named is gone, so it must have moved on.
                    seen = None;
                }
                let delay = backoff.delay(&mut rand::rng());
                sleep(delay).await;
            }
        }
    }
}

async fn read_head(daemon: &Daemon, actor: &TreeRef, seen: Option<u64>) -> Result<u64> {
    let head = match seen {
        Some(seen) => daemon.store.watch(seen, WATCH_TIMEOUT).await?,
        None => daemon.store.head().await?,
    };
    if head.revision != 0 && head.stamp().version > daemon.config.stamp().version {
        let snapshot = daemon.store.load(&head).await?;
        // A stopped control state ends this role anyway.
        let _ = actor.call(|reply| Message::Loaded(snapshot, reply)).await;
    }
    Ok(head.revision)
}

/// Attaches to the other relays, and has vacant slots of the failure domain taken.
async fn join_relays(daemon: &Daemon, tree: &Arc<Tree>, actor: &TreeRef) -> anyhow::Result<()> {
    let mut dials = Dials {
        tasks: JoinSet::new(),
        targets: BTreeSet::new(),
    };
    let mut turn = 0;
    let mut backoff = Backoff::new(VACANT_MIN, LIST_EVERY);
    let mut missing = BTreeSet::new();
    loop {
        let mut pause = about(LIST_EVERY);
        let listed = lease::list(daemon.store.platform().as_ref(), "").await;
        if let Ok(records) = listed {
            if let Some(slot) = vacant(daemon, tree, &records) {
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
            if dials_first(daemon, tree, &record) || before.contains(&record.name) {
                dials.start(tree, actor, Target::from(&record));
            }
            missing.insert(record.name);
        }
        dials.run_for(sleep(pause)).await;
    }
}

/// Tests whether this daemon is the one of the two that attaches: the one of lesser name, or a
/// stand-in, which the relays do not know. The other one waits for a round.
fn dials_first(daemon: &Daemon, tree: &Tree, record: &wire::RelayRecord) -> bool {
    tree.role() == Role::StandIn || daemon.identity.name < record.name
}

fn vacant(daemon: &Daemon, tree: &Tree, records: &[wire::RelayRecord]) -> Option<u32> {
    let Role::Relay(own) = tree.role() else {
        return None;
    };
    let domain = &daemon.identity.domain;
    let taken = |slot| {
        let mut records = records.iter();
        records.any(|record| record.domain == *domain && record.slot == slot)
    };
    (0..SLOTS).find(|slot| *slot != own && !taken(*slot))
}

/// The streams to other relays that this daemon has opened. They end when this is dropped.
struct Dials {
    tasks: JoinSet<Target>,
    targets: BTreeSet<Target>,
}

impl Dials {
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

    /// Notes streams that end, for a time.
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
