//! The status of a change: whether it is accepted, and where it is in force.

use super::reply::{self, Fault};
use super::request::Query;
use crate::daemon::{Daemon, Phase};
use crate::error::{Category, Error};
use crate::generated::mesh as wire;
use crate::generated::mesh::mesh_client::MeshClient;
use crate::serve::Body;
use http::Response;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;

/// Greatest time that one request waits for a change to be in force.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// Tells whether a change is accepted, and on how many daemons it is in force.
pub async fn answer(daemon: &Daemon, id: &str, query: &Query) -> Result<Response<Body>, Fault> {
    let wait = Duration::from_millis(query.parsed("wait_ms")?.unwrap_or(0));
    let head = daemon.store.head().await?;
    let Some(version) = daemon.store.find(&head, id, None).await? else {
        let message = format!("change {id} is not in the log");
        return Err(Error::new(Category::Missing, message).into());
    };
    let waited = in_force(daemon, version, wait.min(MAX_WAIT));
    let (total, missing) = tokio::select! {
        found = waited => found,
        () = daemon.drain.reached(Phase::Draining) => in_force(daemon, version, Duration::ZERO).await,
    };
    Ok(reply::json(&json!({
        "change": id,
        "outcome": "accepted",
        "version": version,
        "daemons": total,
        "in_force": total - missing.len(),
        "missing": missing,
    })))
}

/// Asks every daemon known whether it applies a version.
async fn in_force(daemon: &Daemon, version: u64, wait: Duration) -> (usize, Vec<String>) {
    let fleet = daemon.fleet.load();
    let mut asked = Vec::new();
    for member in fleet.members().values() {
        let member = Arc::clone(member);
        asked.push(tokio::spawn(async move {
            let applies = ask(&member, version, wait).await.unwrap_or(false);
            (!applies).then(|| member.name.clone())
        }));
    }
    let total = asked.len();
    let mut missing = Vec::new();
    for answer in asked {
        missing.extend(answer.await.ok().flatten());
    }
    (total, missing)
}

async fn ask(member: &wire::Member, version: u64, wait: Duration) -> anyhow::Result<bool> {
    let endpoint = tonic::transport::Endpoint::from_shared(format!("http://{}", member.mesh))?
        .connect_timeout(Duration::from_secs(1))
        .timeout(wait + Duration::from_secs(2));
    let mut client = MeshClient::new(endpoint.connect().await?);
    let request = wire::StatusRequest {
        version,
        wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
        names: false,
    };
    Ok(client.status(request).await?.into_inner().applied > 0)
}
