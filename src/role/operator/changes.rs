//! Endpoints that check, accept, revert and list changes.

use super::reply::{self, ApiError};
use super::request::{Query, read_body};
use crate::change::Change;
use crate::daemon::Daemon;
use crate::error::{Category, Error};
use crate::event;
use crate::generated::mesh as wire;
use crate::serve::Body;
use crate::store::{Outcome, RETAINED_CHANGES};
use http::request::Parts;
use http::{HeaderMap, Response, StatusCode, header};
use hyper::body::{Bytes, Incoming};
use serde_json::{Value, json};
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time within which new attempts to accept a change are started.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after which an operator receives the outcome `unknown`. Longer than [`ACCEPT_TIMEOUT`],
/// since an attempt that starts before that time limit may end after it.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);

/// Number of changes listed when a request sets no limit.
const DEFAULT_HISTORY_LIMIT: usize = 100;

/// The content types in which a change may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Format {
    Json,
    Toml,
}

/// Reads the change in a request body.
///
/// # Errors
///
/// Fails when the content type is not supported, or the body is too long or not a valid change.
pub async fn read(head: &Parts, body: Incoming) -> Result<Change, ApiError> {
    let format = format_of(&head.headers)?;
    let body = read_body(body).await?;
    let change = match format {
        Format::Json => Change::from_json(&body),
        Format::Toml => {
            let text = std::str::from_utf8(&body);
            let text = text
                .map_err(|err| ApiError::bad_request(format!("request body is not UTF-8: {err}")));
            Change::from_toml(text?)
        }
    };
    change.map_err(ApiError::not_accepted)
}

/// Checks that the `Content-Type` header, if present, is `application/json`.
///
/// # Errors
///
/// Fails with status 415 for any other content type.
pub fn require_json(headers: &HeaderMap) -> Result<(), ApiError> {
    match format_of(headers)? {
        Format::Json => Ok(()),
        Format::Toml => Err(unsupported("application/toml")),
    }
}

fn format_of(headers: &HeaderMap) -> Result<Format, ApiError> {
    let Some(content_type) = headers.get(header::CONTENT_TYPE) else {
        return Ok(Format::Json);
    };
    let content_type = content_type.to_str().unwrap_or_default();
    let essence = content_type.split(';').next().unwrap_or_default().trim();
    match essence.to_ascii_lowercase().as_str() {
        "application/json" => Ok(Format::Json),
        "application/toml" => Ok(Format::Toml),
        _ => Err(unsupported(content_type)),
    }
}

fn unsupported(content_type: &str) -> ApiError {
    let message = format!("content type {content_type:?} is not supported here");
    let error = Error::new(Category::Input, message);
    ApiError::new(StatusCode::UNSUPPORTED_MEDIA_TYPE, error)
}

/// Submits a change to the store, with retries for [`ACCEPT_TIMEOUT`]. The outcome is logged.
pub async fn submit(daemon: &Arc<Daemon>, change: Change) -> Outcome {
    let shared = Arc::clone(daemon);
    let id = change.id().to_owned();
    let deadline = Instant::now() + ACCEPT_TIMEOUT;
    let work = async move { shared.store.accept(&change, deadline).await };
    run_detached(id, work).await
}

/// Submits the change that reverts the change `target`.
///
/// # Errors
///
/// Fails when the change is not accepted or its outcome is unknown.
pub async fn revert(
    daemon: &Arc<Daemon>,
    target: String,
    query: &Query,
) -> Result<Response<Body>, ApiError> {
    let id = query.get("id").map(ToOwned::to_owned);
    let id = id.unwrap_or_else(|| format!("revert-{target}"));
    crate::check::name("change", "id", &id).map_err(ApiError::not_accepted)?;
    let shared = Arc::clone(daemon);
    let new_id = id.clone();
    let deadline = Instant::now() + ACCEPT_TIMEOUT;
    let work = async move { shared.store.revert(&target, &new_id, deadline).await };
    reply::outcome(run_detached(id.clone(), work).await, &id)
}

/// Runs the work on a change in a separate task, so that it completes and is logged even when the
/// operator disconnects or [`RESPONSE_TIMEOUT`] passes.
async fn run_detached(id: String, work: impl Future<Output = Outcome> + Send + 'static) -> Outcome {
    let task = tokio::spawn(async move {
        let outcome = work.await;
        log_outcome(&id, &outcome);
        outcome
    });
    match tokio::time::timeout(RESPONSE_TIMEOUT, task).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(err)) => Outcome::Unknown(Error::new(Category::Internal, err)),
        Err(_) => Outcome::Unknown(Error::new(
            Category::Unknown,
            "the platform did not answer in time",
        )),
    }
}

fn log_outcome(id: &str, outcome: &Outcome) {
    match outcome {
        Outcome::Accepted { version, .. } => {
            event!(ChangeAccepted, change = id, version = version);
        }
        Outcome::Refused(err) => event!(ChangeRefused, change = id, error = err),
        Outcome::Unknown(err) => event!(ChangeUnknown, change = id, error = err),
    }
}

/// Returns the effects that a change would have, without submitting it.
///
/// # Errors
///
/// Fails when the change would not be accepted, or the platform does not respond.
pub async fn check(daemon: &Daemon, change: &Change) -> Result<Response<Body>, ApiError> {
    let applied = daemon.store.check(change).await?;
    let effects: Vec<Value> = applied.record.effects.iter().map(effect_json).collect();
    Ok(reply::json(&json!({
        "change": change.id(),
        "version": applied.snapshot.version(),
        "effects": effects,
    })))
}

fn effect_json(effect: &wire::Effect) -> Value {
    let spec = |body: &Option<Bytes>| {
        let body = body.as_ref()?;
        serde_json::from_slice::<Value>(body).ok()
    };
    let action = match (&effect.before, &effect.after) {
        (None, _) => "create",
        (Some(_), None) => "delete",
        (Some(before), Some(after)) if before == after => "keep",
        (Some(_), Some(_)) => "replace",
    };
    json!({
        "action": action,
        "kind": effect.kind,
        "name": effect.name,
        "before": spec(&effect.before),
        "after": spec(&effect.after),
    })
}

/// Lists accepted changes, newest first.
///
/// # Errors
///
/// Fails when the limit is not a number, or the change log cannot be read from the platform.
pub async fn history(daemon: &Daemon, query: &Query) -> Result<Response<Body>, ApiError> {
    let limit = query.parsed("limit")?.unwrap_or(DEFAULT_HISTORY_LIMIT);
    let head = daemon.store.head().await?;
    let change_log = daemon.store.log(&head).await?;
    let newest = change_log
        .entries
        .iter()
        .rev()
        .take(limit.min(RETAINED_CHANGES));
    let entries: Vec<Value> = newest.map(change_json).collect();
    Ok(reply::json(&json!({ "changes": entries })))
}

fn change_json(entry: &wire::LogEntry) -> Value {
    json!({
        "change": entry.change,
        "title": entry.title,
        "version": entry.stamp.as_ref().map(|stamp| stamp.version),
        "accepted_ms": entry.accepted_ms,
        "touched": entry.touched,
    })
}
