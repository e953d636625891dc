//! Keeps a non-relay daemon attached to a relay, or makes it a relay when a slot is vacant.

use super::actor::{Message, TreeRef};
use super::backoff::{Backoff, jitter, jitter_around};
use super::discovery::{Discovery, KnownTargets, Step};
use super::lease::{self, RelayLease};
use super::link::Side;
use super::node::{TreeRole, is_relay};
use super::session::{self, End};
use super::target::Target;
use super::{Tree, bootstrap};
use crate::daemon::{Daemon, Phase};
use crate::event;
use crate::generated::mesh as wire;
use crate::generated::mesh::MemberState;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Bounds of the delay between two discovery rounds; see [`Backoff`].
const RETRY_MIN: Duration = Duration::from_millis(200);
const RETRY_MAX: Duration = Duration::from_secs(5);

/// Maximum random delay before a daemon that lost its relay runs relay discovery.
const LOST_JITTER: Duration = Duration::from_millis(200);

/// Maximum random delay before a daemon acquires a vacant slot, so that not all try at once.
const ACQUIRE_JITTER: Duration = Duration::from_millis(500);

/// Interval between relay discovery rounds of a fallback relay.
const FALLBACK_RETRY: Duration = Duration::from_secs(3);

/// Keeps this daemon attached to a relay whenever it holds no relay slot itself.
///
/// # Errors
///
/// Fails when the tree actor has stopped.
pub async fn run(daemon: &Daemon, tree: &Arc<Tree>, actor: &TreeRef) -> anyhow::Result<()> {
    bootstrap::init_floor(daemon, actor).await?;
    let uplink = Uplink {
        daemon,
        tree,
        actor,
    };
    let mut roles = tree.role.subscribe();
    loop {
        roles
            .wait_for(|role| !matches!(role, TreeRole::Relay(_)))
            .await?;
        uplink.discover_relay().await?;
    }
}

struct Uplink<'a> {
    daemon: &'a Daemon,
    tree: &'a Arc<Tree>,
    actor: &'a TreeRef,
}

impl Uplink<'_> {
    /// Repeats relay discovery and attachment until this daemon holds a relay slot itself.
    ///
    /// A redirect sets the minimum delay before the next round.
    async fn discover_relay(&self) -> anyhow::Result<()> {
        let identity = &self.daemon.identity;
        let mut discovery = Discovery::new(&identity.name, &identity.domain, &self.mesh());
        let mut backoff = Backoff::new(RETRY_MIN, RETRY_MAX);
        let mut min_delay = Duration::ZERO;
        loop {
            match discovery.step(&self.known_targets().await?) {
                Step::Dial(target) => match self.attach(&target).await? {
                    End::Redirected(redirect) => {
                        let count = redirect.relays.len();
                        event!(Redirected, from = target.address, relays = count);
                        min_delay = Duration::from_millis(u64::from(redirect.retry_ms));
                        discovery.redirected(&redirect.relays);
                    }
                    End::Promoted(slot) => {
                        if self.acquire(slot).await? {
                            return Ok(());
                        }
                        discovery.restart();
                    }
                    End::Lost(reason) => {
                        event!(Detached, address = target.address, reason = reason);
                        self.on_lost().await?;
                        backoff.reset();
                        discovery.restart();
                    }
                    End::Refused(reason) => {
                        let address = &target.address;
                        log::debug!(target: "baobabstage", "attach to {address} failed: {reason}");
                    }
                },
                Step::List => self.list(&mut discovery).await?,
                Step::Acquire(slot) => {
                    sleep(jitter(ACQUIRE_JITTER)).await;
                    if self.is_vacant(slot).await && self.acquire(slot).await? {
                        return Ok(());
                    }
                }
                Step::BecomeFallback => {
                    self.become_fallback().await?;
                    sleep(jitter_around(FALLBACK_RETRY)).await;
                    discovery.restart();
                }
                Step::Wait => {
                    let delay = backoff.delay(&mut rand::rng()).max(min_delay);
                    min_delay = Duration::ZERO;
                    sleep(delay).await;
                    discovery.restart();
                }
            }
        }
    }

    /// Attaches to a relay until the stream ends; the role is child from its welcome on.
    async fn attach(&self, target: &Target) -> anyhow::Result<End> {
        let (sender, welcome) = tokio::sync::oneshot::channel();
        let traffic = self.tree.traffic();
        let attached = session::attach(self.actor, traffic, target, Side::Parent, |welcome| {
            // The receiver is alive until the stream ends, so sending does not fail.
            let _ = sender.send(welcome.name.clone());
        });
        let update = async {
            if let Ok(name) = welcome.await {
                event!(Attached, relay = name, address = target.address);
                set_role(self.tree, self.actor, TreeRole::Child).await?;
            }
            std::future::pending::<anyhow::Result<()>>().await
        };
        tokio::select! {
            end = attached => Ok(end),
            failed = update => Err(failed.err().unwrap_or_else(|| anyhow::anyhow!("stream ended"))),
        }
    }

    /// Leaves the role of a child after its stream was lost, and waits for a random delay.
    async fn on_lost(&self) -> anyhow::Result<()> {
        if self.tree.role() == TreeRole::Child {
            set_role(self.tree, self.actor, TreeRole::Seeking).await?;
        }
        sleep(jitter(LOST_JITTER)).await;
        Ok(())
    }

    /// Lists the relays of the failure domain in the platform, for the discovery and the node.
    async fn list(&self, discovery: &mut Discovery) -> anyhow::Result<()> {
        let domain = &self.daemon.identity.domain;
        let listed = lease::list(self.daemon.store.platform().as_ref(), domain).await;
        match listed {
            Ok(records) => {
                discovery.on_listed(Some(&records));
                let domain = domain.clone();
                self.actor
                    .call(|reply| Message::Relays(domain, records, reply))
                    .await?;
            }
            Err(_) => discovery.on_listed(None),
        }
        Ok(())
    }

    /// Returns whether a slot is still vacant; false if the platform is unreachable.
    async fn is_vacant(&self, slot: u32) -> bool {
        let domain = &self.daemon.identity.domain;
        let listed = lease::list(self.daemon.store.platform().as_ref(), domain).await;
        let Ok(records) = listed else {
            return false;
        };
        let vacant = records.iter().all(|record| record.slot != slot);
        self.actor.send(Message::MergeRelays(records));
        vacant
    }

    /// Acquires a relay slot; false when another daemon holds it, the platform is unreachable, or
    /// this daemon is draining.
    async fn acquire(&self, slot: u32) -> anyhow::Result<bool> {
        if self.daemon.drain.phase() != Phase::Running {
            return Ok(false);
        }
        let platform = self.daemon.store.platform().as_ref();
        let record = relay_record(self.daemon, slot);
        let Ok(Some(relay_lease)) = lease::acquire(platform, &record).await else {
            return Ok(false);
        };
        become_relay(self.tree, self.actor, relay_lease).await?;
        Ok(true)
    }

    async fn become_fallback(&self) -> anyhow::Result<()> {
        if self.daemon.drain.phase() == Phase::Running && self.tree.role() != TreeRole::StandIn {
            event!(RelayStandIn, domain = self.daemon.identity.domain);
            set_role(self.tree, self.actor, TreeRole::StandIn).await?;
        }
        Ok(())
    }

    /// Returns the targets that this daemon knows now.
    async fn known_targets(&self) -> anyhow::Result<KnownTargets> {
        let relations = self.actor.call(Message::Relations).await?;
        let identity = &self.daemon.identity;
        let fleet = self.daemon.fleet.load();
        let domain_peers = fleet.members().values().filter(|member| {
            member.domain == identity.domain
                && member.name != identity.name
                && matches!(member.state(), MemberState::Ready | MemberState::Suspect)
        });
        Ok(KnownTargets {
            relays: relations.relays,
            domain_peers: domain_peers
                .map(|member| (member.name.clone(), Target::from(member.as_ref())))
                .collect(),
            configured_addresses: self
                .daemon
                .settings
                .peers
                .iter()
                .map(ToString::to_string)
                .collect(),
        })
    }

    fn mesh(&self) -> String {
        let bound = self.daemon.addresses().mesh;
        self.daemon.advertised_address(bound).to_string()
    }
}

/// Changes the role, first in the actor and then for the subscribers of [`Tree::role`].
pub(super) async fn set_role(tree: &Tree, actor: &TreeRef, role: TreeRole) -> anyhow::Result<()> {
    if tree.role() == role {
        return Ok(());
    }
    actor.call(|reply| Message::Role(role, reply)).await?;
    let before = tree.role.send_replace(role);
    if is_relay(role) {
        event!(RelayStarted, role = format_args!("{role:?}"));
    } else if is_relay(before) {
        event!(RelayEnded, role = format_args!("{role:?}"));
    }
    Ok(())
}

async fn become_relay(tree: &Tree, actor: &TreeRef, relay_lease: RelayLease) -> anyhow::Result<()> {
    *crate::sync::lock(&tree.relay_lease) = Some(relay_lease);
    set_role(tree, actor, TreeRole::Relay(relay_lease.slot)).await
}

/// Returns the record of this daemon as the holder of a relay slot.
pub(super) fn relay_record(daemon: &Daemon, slot: u32) -> wire::RelayRecord {
    wire::RelayRecord {
        name: daemon.identity.name.clone(),
        address: daemon
            .advertised_address(daemon.addresses().mesh)
            .to_string(),
        domain: daemon.identity.domain.clone(),
        incarnation: daemon.identity.incarnation,
        slot,
    }
}
