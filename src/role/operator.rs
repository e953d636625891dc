//! The role that answers operators.

use crate::change::Change;
use crate::daemon::{Daemon, Phase};
use crate::error::{Category, Error, Result};
use crate::event;
use crate::generated::mesh as wire;
use crate::kernel::{Plugin, Work};
use crate::serve::{Body, full, serve};
use crate::store::Outcome;
use crate::tree::force::in_force;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Bytes, Incoming};
use prometheus_client::registry::Registry;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use subtle::ConstantTimeEq;
use tokio::time::Instant;

const MAX_BODY_LEN: usize = 16 * 1024 * 1024;
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_WAIT: Duration = Duration::from_mins(5);

inventory::submit! {
    Plugin { name: "operator", run, state, metrics }
}

fn run(daemon: Arc<Daemon>) -> Work {
    Box::pin(async move {
        let shared = Arc::clone(&daemon);
        let handler = move |request| {
            let daemon = Arc::clone(&shared);
            async move { answer(&daemon, request).await }
        };
        serve(
            &daemon.sockets.operator,
            daemon.drain.clone(),
            Phase::Stopped,
            handler,
        )
        .await
    })
}

fn state(daemon: &Daemon) -> Value {
    json!({
        "address": daemon.addresses().operator,
        "token": daemon.settings.token.is_some(),
    })
}

fn metrics(_: &Daemon, _: &mut Registry) {}

type Answer = (StatusCode, Value);

async fn answer(daemon: &Daemon, request: Request<Incoming>) -> Response<Body> {
    let (status, body) = match handle(daemon, request).await {
        Ok(answer) => answer,
        Err(err) => {
            event!(OperatorRefused, "error={err}");
            (status_of(err.category()), error_body(&err))
        }
    };
    let mut answer = Response::new(full(format!("{body}\n")));
    *answer.status_mut() = status;
    let kind = header::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    answer
}

async fn handle(daemon: &Daemon, request: Request<Incoming>) -> Result<Answer> {
    if !authorised(daemon, &request) {
        let body =
            json!({ "error": { "category": "token", "message": "operator token is needed" } });
        return Ok((StatusCode::UNAUTHORIZED, body));
    }
    let (head, body) = request.into_parts();
    let query = query_of(head.uri.query().unwrap_or_default());
    let path: Vec<&str> = head.uri.path().split('/').skip(1).collect();
    match (&head.method, path.as_slice()) {
        (&Method::POST, ["v1", "changes"]) => {
            let change = Change::from_json(&read_body(body).await?)?;
            if query.get("check").is_some_and(|check| check == "true") {
                check(daemon, &change).await
            } else {
                let deadline = Instant::now() + ACCEPT_TIMEOUT;
                Ok(told(
                    &change_outcome(daemon, &change, deadline).await,
                    change.id(),
                ))
            }
        }
        (&Method::GET, ["v1", "changes"]) => history(daemon).await,
        (&Method::GET, ["v1", "changes", id]) => {
            let wait = query.get("wait_ms").and_then(|ms| ms.parse().ok());
            status(daemon, id, Duration::from_millis(wait.unwrap_or(0))).await
        }
        (&Method::POST, ["v1", "changes", id, "revert"]) => {
            let new = query.get("id").cloned();
            let new = new.unwrap_or_else(|| format!("revert-{id}"));
            let deadline = Instant::now() + ACCEPT_TIMEOUT;
            Ok(told(&daemon.store.revert(id, &new, deadline).await, &new))
        }
        (&Method::GET, ["v1", "version"]) => Ok((StatusCode::OK, daemon.config.state())),
        _ => Err(Error::new(
            Category::Missing,
            format!(
                "{} {} is not part of this API",
                head.method,
                head.uri.path()
            ),
        )),
    }
}

async fn change_outcome(daemon: &Daemon, change: &Change, deadline: Instant) -> Outcome {
    let outcome = daemon.store.accept(change, deadline).await;
    let id = change.id();
    match &outcome {
        Outcome::Accepted { version, .. } => {
            event!(ChangeAccepted, "change={id} version={version}");
        }
        Outcome::Refused(err) => event!(ChangeRefused, "change={id} error={err}"),
        Outcome::Unknown(err) => event!(ChangeUnknown, "change={id} error={err}"),
    }
    outcome
}

fn told(outcome: &Outcome, id: &str) -> Answer {
    match outcome {
        Outcome::Accepted { version, repeated } => (
            StatusCode::OK,
            json!({ "outcome": "accepted", "change": id, "version": version, "repeated": repeated }),
        ),
        Outcome::Refused(err) => {
            let mut body = error_body(err);
            body["outcome"] = "not-accepted".into();
            (status_of(err.category()), body)
        }
        Outcome::Unknown(err) => {
            let mut body = error_body(err);
            body["outcome"] = "unknown".into();
            (StatusCode::GATEWAY_TIMEOUT, body)
        }
    }
}

async fn check(daemon: &Daemon, change: &Change) -> Result<Answer> {
    let applied = daemon.store.check(change).await?;
    let effects: Vec<Value> = applied.record.effects.iter().map(effect_json).collect();
    let body = json!({
        "change": change.id(),
        "version": applied.snapshot.version(),
        "effects": effects,
    });
    Ok((StatusCode::OK, body))
}

fn effect_json(effect: &wire::Effect) -> Value {
    let spec = |body: &Option<Bytes>| {
        let body = body.as_ref()?;
        serde_json::from_slice::<Value>(body).ok()
    };
    json!({
        "kind": effect.kind,
        "name": effect.name,
        "before": spec(&effect.before),
        "after": spec(&effect.after),
    })
}

async fn history(daemon: &Daemon) -> Result<Answer> {
    let head = daemon.store.head().await?;
    let log = daemon.store.log(&head).await?;
    let entries: Vec<Value> = log.entries.iter().rev().map(entry_json).collect();
    Ok((StatusCode::OK, json!({ "changes": entries })))
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

/// Tells whether a change is accepted, and on how many daemons it is in force.
async fn status(daemon: &Daemon, id: &str, wait: Duration) -> Result<Answer> {
    let head = daemon.store.head().await?;
    let Some(version) = daemon.store.find(&head, id, None).await? else {
        let message = format!("change {id} is not in the log");
        return Err(Error::new(Category::Missing, message));
    };
    let (total, missing) = in_force(daemon, version, wait.min(MAX_WAIT)).await;
    let body = json!({
        "change": id,
        "outcome": "accepted",
        "version": version,
        "daemons": total,
        "in_force": total - missing.len(),
        "missing": missing,
    });
    Ok((StatusCode::OK, body))
}

async fn read_body(body: Incoming) -> Result<Bytes> {
    let body = Limited::new(body, MAX_BODY_LEN).collect().await;
    body.map(http_body_util::Collected::to_bytes)
        .map_err(|err| Error::new(Category::Input, format!("request body: {err}")))
}

fn authorised(daemon: &Daemon, request: &Request<Incoming>) -> bool {
    let Some(token) = &daemon.settings.token else {
        return true;
    };
    let given = request.headers().get(header::AUTHORIZATION);
    let given = given.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    given.is_some_and(|given| given.ct_eq(token.as_bytes()).into())
}

fn query_of(query: &str) -> BTreeMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(key, value)| (key.into(), value.into()))
        .collect()
}

fn error_body(err: &Error) -> Value {
    json!({
        "error": { "category": category_name(err.category()), "message": err.to_string() },
    })
}

fn category_name(category: Category) -> &'static str {
    match category {
        Category::Input => "input",
        Category::Conflict => "conflict",
        Category::Missing => "missing",
        Category::Unavailable => "unavailable",
        Category::Unknown => "unknown",
        Category::Internal => "internal",
    }
}

fn status_of(category: Category) -> StatusCode {
    match category {
        Category::Input => StatusCode::UNPROCESSABLE_ENTITY,
        Category::Conflict => StatusCode::CONFLICT,
        Category::Missing => StatusCode::NOT_FOUND,
        Category::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
        Category::Unknown => StatusCode::GATEWAY_TIMEOUT,
        Category::Internal => StatusCode::INTERNAL_SERVER_ERROR,
    }
}
