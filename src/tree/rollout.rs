//! The progress of a rollout: which daemons have a version in force.

use super::Tree;
use super::session::CONNECT_TIMEOUT;
use crate::daemon::Daemon;
use crate::generated::mesh as wire;
use crate::generated::mesh::mesh_client::MeshClient;
use crate::settings::Distribution;
use crate::sync::lock;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};
use tonic::transport::{Channel, Endpoint};

/// Maximum number of open channels to other daemons; all are closed before one more is opened.
const MAX_CHANNELS: usize = 256;

/// Maximum number of daemons queried directly because no relay reported them.
const MAX_QUERIED: usize = 64;

/// Maximum wait of one status request to a relay.
const MAX_ROUND_WAIT: Duration = Duration::from_secs(2);

/// Pause before the next round of queries while daemons are missing.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// Open channels to other daemons, by address.
#[derive(Default)]
struct Channels {
    open: Mutex<BTreeMap<String, Channel>>,
}

/// Returns the number of known daemons, and the names of those without the version in force.
///
/// Repeats the queries until no daemon is missing or `wait` has elapsed.
pub async fn wait_in_force(daemon: &Daemon, version: u64, wait: Duration) -> (usize, Vec<String>) {
    let deadline = Instant::now() + wait;
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let applied = query_all(daemon, version, remaining.min(MAX_ROUND_WAIT)).await;
        let fleet = daemon.fleet.load();
        let members = fleet.members();
        let missing: Vec<String> = members
            .keys()
            .filter(|name| !applied.contains(*name))
            .cloned()
            .collect();
        if missing.is_empty() || Instant::now() + ROUND_PAUSE >= deadline {
            return (members.len(), missing);
        }
        sleep(ROUND_PAUSE).await;
    }
}

/// Returns the names of the daemons that have a version in force.
async fn query_all(daemon: &Daemon, version: u64, wait: Duration) -> BTreeSet<String> {
    let fleet = daemon.fleet.load();
    let relays = match daemon.settings.distribution {
        Distribution::Tree => relays(daemon).await,
        Distribution::Direct => fleet.members().values().map(|m| m.mesh.clone()).collect(),
    };
    let mut applied = query(daemon, relays, version, wait).await;
    if daemon.settings.distribution == Distribution::Tree {
        // A daemon that is switching relays is reported by neither of them, so it is queried
        // directly.
        let unreported = fleet.members().values();
        let unreported = unreported.filter(|member| !applied.contains(&member.name));
        let unreported: Vec<String> = unreported
            .take(MAX_QUERIED)
            .map(|m| m.mesh.clone())
            .collect();
        applied.extend(query(daemon, unreported, version, Duration::ZERO).await);
    }
    applied
}

/// Returns the mesh addresses of the known relays.
async fn relays(daemon: &Daemon) -> Vec<String> {
    let Ok(actor) = Tree::of_daemon(daemon).actor() else {
        return Vec::new();
    };
    let relations = actor.call(super::actor::Message::Relations).await;
    let relays = relations.map(|relations| relations.relays);
    let relays = relays.unwrap_or_default().into_iter();
    relays.map(|relay| relay.address).collect()
}

/// Queries the daemons at these mesh addresses; those that do not respond report nothing.
async fn query(
    daemon: &Daemon,
    addresses: Vec<String>,
    version: u64,
    wait: Duration,
) -> BTreeSet<String> {
    let mut queries = JoinSet::new();
    for address in addresses {
        let Some(channel) = channel(daemon, &address) else {
            continue;
        };
        queries.spawn(query_one(channel, version, wait));
    }
    queries.join_all().await.into_iter().flatten().collect()
}

async fn query_one(channel: Channel, version: u64, wait: Duration) -> Vec<String> {
    let request = wire::StatusRequest {
        version,
        wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        names: true,
    };
    let mut client = MeshClient::new(channel);
    let limit = wait + CONNECT_TIMEOUT;
    match tokio::time::timeout(limit, client.status(request)).await {
        Ok(Ok(response)) => response.into_inner().names,
        Ok(Err(_)) | Err(_) => Vec::new(),
    }
}

/// Returns the open channel to an address or creates one; `None` if the address is invalid.
fn channel(daemon: &Daemon, address: &str) -> Option<Channel> {
    let channels = daemon.component(Channels::default);
    let mut open = lock(&channels.open);
    if let Some(channel) = open.get(address) {
        return Some(channel.clone());
    }
    if open.len() >= MAX_CHANNELS {
        open.clear();
    }
    let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
    let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true);
    let channel = endpoint.connect_lazy();
    open.insert(address.to_owned(), channel.clone());
    Some(channel)
}
