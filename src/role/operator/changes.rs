//! Changes: checking, accepting, reverting and listing them.

use super::reply::{self, Fault};
use super::request::{Query, read_body};
use crate::change::Change;
use crate::daemon::Daemon;
use crate::error::{Category, Error};
use crate::event;
use crate::generated::mesh as wire;
use crate::serve::Body;
use crate::store::{KEPT_CHANGES, Outcome};
use http::request::Parts;
use http::{HeaderMap, Response, StatusCode, header};
use hyper::body::{Bytes, Incoming};
use serde_json::{Value, json};
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time in which a change is tried again before its outcome is told.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after which an operator is told that the outcome is unknown.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

const DEFAULT_LIMIT: usize = 100;

/// How a change is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Format {
    Json,
    Toml,
}

/// Reads the change in a request.
pub async fn read(head: &Parts, body: Incoming) -> Result<Change, Fault> {
    let format = format_of(&head.headers)?;
    let body = read_body(body).await?;
    let change = match format {
        Format::Json => Change::from_json(&body),
        Format::Toml => {
            let text = std::str::from_utf8(&body);
            let text =
                text.map_err(|err| Fault::bad_request(format!("request body is not UTF-8: {err}")));
            Change::from_toml(text?)
        }
    };
    change.map_err(Fault::not_accepted)
}

/// Refuses a body of another type than the JSON that is read.
pub fn require_json(headers: &HeaderMap) -> Result<(), Fault> {
    match format_of(headers)? {
        Format::Json => Ok(()),
        Format::Toml => Err(unsupported("application/toml")),
    }
}

fn format_of(headers: &HeaderMap) -> Result<Format, Fault> {
    let Some(kind) = headers.get(header::CONTENT_TYPE) else {
        return Ok(Format::Json);
    };
    let kind = kind.to_str().unwrap_or_default();
    let essence = kind.split(';').next().unwrap_or_default().trim();
    match essence.to_ascii_lowercase().as_str() {
        "application/json" => Ok(Format::Json),
        "application/toml" => Ok(Format::Toml),
        _ => Err(unsupported(kind)),
    }
}

fn unsupported(kind: &str) -> Fault {
    let message = format!("content type {kind:?} is not supported here");
    let error = Error::new(Category::Input, message);
    Fault::new(StatusCode::UNSUPPORTED_MEDIA_TYPE, error)
}

/// Accepts a change.
pub async fn submit(daemon: &Arc<Daemon>, change: Change) -> Outcome {
    let shared = Arc::clone(daemon);
    let id = change.id().to_owned();
    let deadline = Instant::now() + ACCEPT_TIMEOUT;
    let work = async move { shared.store.accept(&change, deadline).await };
    finish(id, work).await
}

/// Accepts the change that undoes an earlier one.
pub async fn revert(
    daemon: &Arc<Daemon>,
    target: String,
    query: &Query,
) -> Result<Response<Body>, Fault> {
    let id = query.get("id").map(ToOwned::to_owned);
    let id = id.unwrap_or_else(|| format!("revert-{target}"));
    crate::check::name("change", "id", &id).map_err(Fault::not_accepted)?;
    let shared = Arc::clone(daemon);
    let new = id.clone();
    let deadline = Instant::now() + ACCEPT_TIMEOUT;
    let work = async move { shared.store.revert(&target, &new, deadline).await };
    reply::outcome(finish(id.clone(), work).await, &id)
}

/// Runs the work on a change in a task of its own, so that it ends and is logged even when the
/// operator's connection does not last.
async fn finish(id: String, work: impl Future<Output = Outcome> + Send + 'static) -> Outcome {
    let task = tokio::spawn(async move {
        let outcome = work.await;
        log_outcome(&id, &outcome);
        outcome
    });
    match tokio::time::timeout(ANSWER_TIMEOUT, task).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(err)) => Outcome::Unknown(Error::new(Category::Internal, err)),
        Err(_) => Outcome::Unknown(Error::new(
            Category::Unknown,
            "the platform does not answer in time",
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

/// Tells what a change would do, and changes nothing.
pub async fn check(daemon: &Daemon, change: &Change) -> Result<Response<Body>, Fault> {
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
pub async fn history(daemon: &Daemon, query: &Query) -> Result<Response<Body>, Fault> {
    let limit = query.parsed("limit")?.unwrap_or(DEFAULT_LIMIT);
    let head = daemon.store.head().await?;
    let log = daemon.store.log(&head).await?;
    let newest = log.entries.iter().rev().take(limit.min(KEPT_CHANGES));
    let entries: Vec<Value> = newest.map(entry_json).collect();
    Ok(reply::json(&json!({ "changes": entries })))
}

fn entry_json(entry: &wire::LogEntry) -> Value {
    json!({
        "change": entry.change,
        "title": entry.title,
        "version": entry.stamp.as_ref().map(|stamp| stamp.version),
        "accepted_ms": entry.accepted_ms,
        "touched": entry.touched,
    })
}
