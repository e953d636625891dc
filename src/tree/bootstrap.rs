//! Startup of a daemon: finding the minimum version that it may apply.

use super::actor::{Message, TreeRef};
use super::session::{CONNECT_TIMEOUT, MAX_FRAME_LEN};
use super::target::Target;
use crate::daemon::Daemon;
use crate::generated::mesh as wire;
use crate::generated::mesh::mesh_client::MeshClient;
use crate::generated::mesh::update::Content;
use crate::snapshot::Snapshot;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Maximum number of daemons queried at startup when the platform is unreachable.
const MAX_QUERIED: usize = 32;

/// Interval between checks whether the version in force has reached the floor.
const CATCH_UP_INTERVAL: Duration = Duration::from_secs(2);

/// Raises the floor to the newest version of the platform or, if that is unreachable, of the
/// configured daemons and the relays that they report.
pub(super) async fn init_floor(daemon: &Daemon, actor: &TreeRef) -> anyhow::Result<()> {
    let own = daemon.config.snapshot();
    if own.version() > 0 {
        actor.call(|reply| Message::Loaded(own, reply)).await?;
    }
    if let Ok(head) = daemon.store.head().await {
        daemon.config.raise_floor(head.stamp().version);
        return Ok(());
    }
    let peers = daemon.settings.peers.iter();
    let mut queried: BTreeSet<Target> = BTreeSet::new();
    let mut next: Vec<Target> = peers.map(|peer| Target::any(&peer.to_string())).collect();
    // The second iteration queries the relays that the peers reported.
    for _ in 0..2 {
        next.retain(|target| queried.len() < MAX_QUERIED && queried.insert(target.clone()));
        let responses = fetch_all(&daemon.identity.name, std::mem::take(&mut next)).await;
        for response in responses {
            next.extend(response.relays.iter().map(Target::from));
            apply_response(daemon, actor, response).await?;
        }
    }
    Ok(())
}

/// Reads the newest version from the platform while the version in force is below the floor.
///
/// The parent may be a relay that is partitioned from the platform, and lack a version that is
/// known here to be accepted.
pub(super) async fn catch_up(daemon: &Daemon, actor: &TreeRef) -> anyhow::Result<()> {
    loop {
        sleep(CATCH_UP_INTERVAL).await;
        if daemon.config.stamp().version >= daemon.config.floor() {
            continue;
        }
        if let Ok((_, snapshot)) = daemon.store.newest().await {
            actor.call(|reply| Message::Loaded(snapshot, reply)).await?;
        }
    }
}

/// Fetches the newest version of each daemon; leaves out the daemons that do not respond.
async fn fetch_all(name: &str, targets: Vec<Target>) -> Vec<wire::FetchResponse> {
    let mut queried = JoinSet::new();
    for target in targets {
        let name = name.to_owned();
        queried.spawn(async move { fetch(target, name).await.ok() });
    }
    queried.join_all().await.into_iter().flatten().collect()
}

async fn fetch(target: Target, name: String) -> anyhow::Result<wire::FetchResponse> {
    let address = format!("http://{}", target.address);
    let endpoint = tonic::transport::Endpoint::from_shared(address)?
        .connect_timeout(CONNECT_TIMEOUT)
        .timeout(CONNECT_TIMEOUT * 2);
    let client = MeshClient::new(endpoint.connect().await?);
    let mut client = client.max_decoding_message_size(MAX_FRAME_LEN);
    let request = wire::FetchRequest {
        have: None,
        name,
        target: target.incarnation,
    };
    Ok(client.fetch(request).await?.into_inner())
}

/// Takes over the floor, the relays and the version that another daemon has reported.
async fn apply_response(
    daemon: &Daemon,
    actor: &TreeRef,
    response: wire::FetchResponse,
) -> anyhow::Result<()> {
    daemon.config.raise_floor(response.floor);
    actor.send(Message::MergeRelays(response.relays));
    let content = response.update.and_then(|update| update.content);
    if let Some(Content::Full(packed)) = content
        && let Ok(snapshot) = Snapshot::unpack(&packed)
    {
        daemon.config.raise_floor(snapshot.version());
        let snapshot = Arc::new(snapshot);
        actor.call(|reply| Message::Loaded(snapshot, reply)).await?;
    }
    Ok(())
}
