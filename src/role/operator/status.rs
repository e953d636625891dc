//! The endpoint for the status of a change: whether it is accepted, and where it is in force.

use super::reply::{self, ApiError};
use super::request::Query;
use crate::daemon::{Daemon, Phase};
use crate::error::{Category, Error};
use crate::serve::Body;
use crate::tree::rollout::wait_in_force;
use http::Response;
use serde_json::json;
use std::time::Duration;

/// Longest time for which one request waits for a change to be in force on every daemon.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// Returns whether a change is accepted, and on how many daemons it is in force.
///
/// Waits until it is in force on every daemon, for at most `wait_ms` and [`MAX_WAIT`]; a drain of
/// this daemon ends the wait early.
///
/// # Errors
///
/// Fails when the change is not in the change log, or the platform does not respond.
pub async fn get(daemon: &Daemon, id: &str, query: &Query) -> Result<Response<Body>, ApiError> {
    let wait = Duration::from_millis(query.parsed("wait_ms")?.unwrap_or(0));
    let head = daemon.store.head().await?;
    let Some(version) = daemon.store.find(&head, id, None).await? else {
        let message = format!("change {id} is not in the log");
        return Err(Error::new(Category::Missing, message).into());
    };
    let waited = wait_in_force(daemon, version, wait.min(MAX_WAIT));
    let (total, missing) = tokio::select! {
        counted = waited => counted,
        () = daemon.drain.reached(Phase::Draining) => wait_in_force(daemon, version, Duration::ZERO).await,
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
