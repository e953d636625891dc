//! Keeping acknowledged leaves elsewhere than in this process, which may end at any time.
//!
//! They are stored in the platform under a key of this daemon. The key does not lapse with this daemon's entry,
//! since the backend server may outlive it by far. While the platform does not answer, peers keep them: this
//! daemon's record states them, and peers return them to the next process.

use crate::backend::{Leaves, Recalled};
use crate::daemon::Daemon;
use crate::event;
use crate::exchange::{self, ExchangeState};
use crate::generated::mesh as wire;
use crate::generated::mesh::MemberState;
use crate::platform::{PlatformError, Swap};
use crate::settings::Distribution;
use crate::tree::backoff::Backoff;
use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use prost::Message;
use rand::seq::IteratorRandom;
use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Prefix of the platform keys that hold the leaves, followed by the daemon's name.
const PREFIX: &str = "baobab/leave/";

/// Time for which leaves are stored after the last one. No report is on its way for as long.
const LEASE_TTL: Duration = Duration::from_mins(10);

/// Time within which a backend server expects its notice to be acknowledged, less the time for the response.
const RECORD_TIMEOUT: Duration = Duration::from_millis(850);

/// Time without a response of the platform after which the leave is sent to peers.
const PEER_DELAY: Duration = Duration::from_millis(150);

/// Number of peers to which it is sent, and of those that have to respond.
const PEERS_ASKED: usize = 4;
const PEERS_NEEDED: usize = 2;

/// Time between checks at start for a first exchange with a peer.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Bounds of the delay before a failed call to the platform is repeated.
const RETRY_MIN: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_secs(1);

/// Maximum number of attempts at a conditional write whose revision was stale.
const MAX_WRITE_ATTEMPTS: usize = 3;

/// The leaves of this daemon's backend server that the platform has.
#[derive(Default)]
pub(super) struct LeaveRecord {
    stored: watch::Sender<Leaves>,
}

impl LeaveRecord {
    /// Returns this component of a daemon.
    pub(super) fn of(daemon: &Daemon) -> Arc<LeaveRecord> {
        daemon.component(LeaveRecord::default)
    }

    /// Waits until the platform or enough peers keep the known leaves. Returns false if they do not in time.
    pub(super) async fn record(&self, daemon: &Daemon) -> bool {
        let leaves = daemon.backend.leaves().borrow().clone();
        let mut stored = self.stored.subscribe();
        let recorded = async {
            tokio::select! {
                // The sender lives as long as `self`.
                _ = stored.wait_for(|stored| stored.contains_all(&leaves)) => {}
                () = send_to_peers(daemon) => {}
            }
        };
        timeout(RECORD_TIMEOUT, recorded).await.is_ok()
    }

    /// Reads what earlier processes have stored, and stores each leave that becomes known. Does not return.
    pub(super) async fn run(&self, daemon: &Daemon) {
        let mut leaves = daemon.backend.leaves();
        // At a first start of all daemons there are no earlier processes.
        let mut revision = 0;
        if !daemon.settings.first_start {
            revision = self.recall(daemon).await;
        }
        daemon.backend.set_recalled(Recalled::Stored);
        tokio::join!(
            self.store(daemon, &mut leaves, &mut revision),
            recall_from_peers(daemon)
        );
    }

    /// Stores each leave that becomes known. Does not return.
    async fn store(
        &self,
        daemon: &Daemon,
        leaves: &mut watch::Receiver<Leaves>,
        revision: &mut u64,
    ) {
        let mut backoff = Backoff::new(RETRY_MIN, RETRY_MAX);
        let mut restores = daemon.store.platform().restores();
        loop {
            let wanted = leaves.borrow_and_update().clone();
            if self.stored.borrow().contains_all(&wanted) {
                tokio::select! {
                    Ok(()) = leaves.changed() => {}
                    // An older copy may lack them.
                    Ok(()) = restores.changed() => {
                        self.stored.send_replace(Leaves::default());
                    }
                    else => pending().await,
                }
                continue;
            }
            match write(daemon, revision, &wanted).await {
                Ok(()) => {
                    backoff.reset();
                    self.stored.send_replace(wanted);
                }
                Err(err) => {
                    event!(LeavesUnsaved, key = key(daemon), error = err);
                    let delay = backoff.delay(&mut rand::rng());
                    sleep(delay).await;
                }
            }
        }
    }

    /// Reads the leaves that earlier processes have stored, and returns the revision of the key.
    async fn recall(&self, daemon: &Daemon) -> u64 {
        let mut backoff = Backoff::new(RETRY_MIN, RETRY_MAX);
        let key = key(daemon);
        let entry = loop {
            match daemon.store.platform().get(&key).await {
                Ok(Some(entry)) => break entry,
                Ok(None) => return 0,
                Err(err) => event!(LeavesUnsaved, key = key, error = err),
            }
            let delay = backoff.delay(&mut rand::rng());
            sleep(delay).await;
        };
        match wire::Leaves::decode(entry.value) {
            Ok(record) => {
                let leaves = Leaves::from_wire(&record.leaves);
                daemon.backend.restore_leaves(&leaves);
                self.stored.send_replace(leaves);
            }
            Err(err) => event!(LeavesUnsaved, key = key, error = err),
        }
        entry.revision
    }
}

/// Waits for a first exchange with a peer, which states the leaves that it has received, unless there is no peer.
async fn recall_from_peers(daemon: &Daemon) {
    if daemon.settings.distribution == Distribution::Direct {
        let exchange = ExchangeState::of(daemon);
        exchange.wait_queried().await;
        let is_alone = || {
            daemon
                .fleet
                .load()
                .members()
                .keys()
                .all(|name| *name == daemon.identity.name)
        };
        while !is_alone() && !exchange.exchanged_within(Duration::MAX) {
            sleep(PEER_CHECK_INTERVAL).await;
        }
    }
    daemon.backend.set_recalled(Recalled::All);
}

fn key(daemon: &Daemon) -> String {
    format!("{PREFIX}{}", daemon.identity.name)
}

async fn write(daemon: &Daemon, revision: &mut u64, leaves: &Leaves) -> Result<(), PlatformError> {
    let platform = daemon.store.platform();
    let lease = platform.grant(LEASE_TTL).await?;
    let record = wire::Leaves {
        leaves: leaves.to_wire(),
    };
    let value = Bytes::from(record.encode_to_vec());
    let key = key(daemon);
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let swap = platform.swap(&key, *revision, Some(value.clone()), lease);
        match swap.await? {
            Swap::Done(written) => {
                *revision = written;
                return Ok(());
            }
            Swap::Stale(current) => *revision = current,
        }
    }
    let reason = "key is written by another process as well";
    Err(PlatformError::Unavailable(reason.into()))
}

/// Sends this daemon's record, which states that the backend server leaves, to some peers; returns once enough of
/// them have responded.
async fn send_to_peers(daemon: &Daemon) {
    sleep(PEER_DELAY).await;
    if !daemon.record().left {
        pending::<()>().await;
    }
    let peers = random_peers(daemon);
    let needed = PEERS_NEEDED.min(peers.len());
    let exchanges = peers
        .iter()
        .map(|peer| exchange::with_peer(daemon, *peer, RECORD_TIMEOUT));
    let mut exchanges: FuturesUnordered<_> = exchanges.collect();
    let mut responses = 0;
    while let Some(result) = exchanges.next().await {
        match result {
            Ok(()) => responses += 1,
            Err(err) => event!(ExchangeFailed, error = err),
        }
        if responses >= needed {
            event!(LeavesKeptByPeers, peers = responses);
            return;
        }
    }
    pending::<()>().await;
}

/// Returns the addresses of random other daemons that are not shutting down.
fn random_peers(daemon: &Daemon) -> Vec<SocketAddr> {
    let fleet = daemon.fleet.load();
    let others = fleet.members().values().filter(|member| {
        member.name != daemon.identity.name && member.state() != MemberState::Draining
    });
    let addresses = others.filter_map(|member| member.inbound.parse().ok());
    addresses.choose_multiple(&mut rand::rng(), PEERS_ASKED)
}
