//! Endpoints that read resources, and that create, replace or delete a single one.
//!
//! A write is submitted as a change with one operation.

use super::changes;
use super::reply::{self, ApiError};
use super::request::{Query, read_body};
use crate::change::{Change, Operation};
use crate::daemon::Daemon;
use crate::error::{Category, Error};
use crate::resource::{Kind, ResourceKey, Spec};
use crate::serve::Body;
use crate::snapshot::Resource;
use crate::store::Outcome;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use hyper::body::Incoming;
use serde_json::{Value, json};
use std::sync::Arc;

/// The request header that sets the id of the change made by a `PUT` or `DELETE`.
const CHANGE_HEADER: &str = "x-baobab-change";

/// Returns a resource in the JSON form that operators receive.
pub fn resource_json(key: &ResourceKey, resource: &Resource) -> Value {
    let spec = serde_json::from_slice::<Value>(&resource.body());
    json!({
        "kind": key.kind,
        "name": key.name,
        "revision": resource.revision,
        "spec": spec.unwrap_or_default(),
    })
}

/// Lists the resources in force, of one kind or all.
pub fn list(daemon: &Daemon, kind: Option<Kind>) -> Response<Body> {
    let snapshot = daemon.config.snapshot();
    let selected = snapshot
        .resources()
        .iter()
        .filter(|(key, _)| kind.is_none_or(|kind| kind == key.kind));
    let resources: Vec<Value> = selected.map(|(key, res)| resource_json(key, res)).collect();
    reply::json(&json!({ "version": snapshot.version(), "resources": resources }))
}

/// Returns one resource in force, with its revision as `ETag`.
///
/// # Errors
///
/// Fails when the version in force has no such resource.
pub fn get(daemon: &Daemon, key: &ResourceKey) -> Result<Response<Body>, ApiError> {
    let snapshot = daemon.config.snapshot();
    let Some(resource) = snapshot.resources().get(key) else {
        let version = snapshot.version();
        let message = format!("{key} does not exist in version {version}");
        return Err(Error::new(Category::Missing, message)
            .in_resource(key)
            .into());
    };
    let mut response = reply::json(&resource_json(key, resource));
    let tag = format!("\"{}\"", resource.revision);
    if let Ok(tag) = HeaderValue::from_str(&tag) {
        response.headers_mut().insert(header::ETAG, tag);
    }
    Ok(response)
}

/// Creates or replaces one resource.
///
/// # Errors
///
/// Fails when the body or a header is not valid, and when the change is not accepted: with status
/// 412 if the resource is not at the revision of the precondition.
pub async fn put(
    daemon: &Arc<Daemon>,
    key: ResourceKey,
    head: &Parts,
    query: &Query,
    body: Incoming,
) -> Result<Response<Body>, ApiError> {
    changes::require_json(&head.headers)?;
    let body = read_body(body).await?;
    let spec = Spec::from_json(key.kind, &body).map_err(|err| {
        let message = format!("{key}: {err}");
        ApiError::not_accepted(err.with_message(message).in_resource(&key))
    })?;
    submit_operation(daemon, key, Some(Arc::new(spec)), head, query).await
}

/// Deletes one resource.
///
/// # Errors
///
/// Fails like [`put`].
pub async fn delete(
    daemon: &Arc<Daemon>,
    key: ResourceKey,
    head: &Parts,
    query: &Query,
) -> Result<Response<Body>, ApiError> {
    submit_operation(daemon, key, None, head, query).await
}

/// Submits a change with one operation: stores `spec`, or deletes the resource if `spec` is `None`.
async fn submit_operation(
    daemon: &Arc<Daemon>,
    key: ResourceKey,
    spec: Option<Arc<Spec>>,
    head: &Parts,
    query: &Query,
) -> Result<Response<Body>, ApiError> {
    let id = change_id(&head.headers, query)?;
    let based_on = precondition(&head.headers)?;
    let verb = if spec.is_some() { "Put" } else { "Delete" };
    let title = format!("{verb} {key}");
    let operation = Operation {
        key,
        based_on,
        spec,
    };
    let change =
        Change::new(id.as_str(), title, vec![operation]).map_err(ApiError::not_accepted)?;
    let outcome = changes::submit(daemon, change).await;
    // A conflict without a resource is about the change id, not about the precondition.
    let stale = matches!(&outcome, Outcome::Refused(err)
        if err.category() == Category::Conflict && err.resource().is_some());
    reply::outcome(outcome, &id).map_err(|err| {
        if stale && based_on.is_some() {
            err.with_status(StatusCode::PRECONDITION_FAILED)
        } else {
            err
        }
    })
}

/// Returns the change id from the query or the header, or a random one.
fn change_id(headers: &HeaderMap, query: &Query) -> Result<String, ApiError> {
    if let Some(id) = query.get("change") {
        return Ok(id.to_owned());
    }
    match headers.get(CHANGE_HEADER) {
        Some(id) => match id.to_str() {
            Ok(id) => Ok(id.to_owned()),
            Err(err) => Err(ApiError::bad_request(format!(
                "header {CHANGE_HEADER}: {err}"
            ))),
        },
        None => Ok(format!("api-{:032x}", rand::random::<u128>())),
    }
}

/// Returns the revision that the resource must have, from `If-Match` or `If-None-Match`: zero if it
/// must not exist, `None` without a precondition.
fn precondition(headers: &HeaderMap) -> Result<Option<u64>, ApiError> {
    let if_match = headers.get(header::IF_MATCH);
    let if_none = headers.get(header::IF_NONE_MATCH);
    match (if_match, if_none) {
        (None, None) => Ok(None),
        (Some(tag), None) => parse_revision(tag).map(Some),
        (None, Some(tag)) if tag == "*" => Ok(Some(0)),
        (None, Some(_)) => Err(ApiError::bad_request(
            "header if-none-match: only * is supported",
        )),
        (Some(_), Some(_)) => Err(ApiError::bad_request(
            "headers if-match and if-none-match are mutually exclusive",
        )),
    }
}

/// Parses the revision in a single strong `ETag`; `*` and lists are not supported.
fn parse_revision(tag: &HeaderValue) -> Result<u64, ApiError> {
    let text = tag.to_str().unwrap_or_default();
    let quoted = text.strip_prefix('"').and_then(|t| t.strip_suffix('"'));
    let revision = quoted.and_then(|text| text.parse().ok());
    let revision = revision.filter(|revision| *revision > 0);
    revision.ok_or_else(|| {
        ApiError::bad_request(format!(
            "header if-match: {text:?} is not a single strong ETag"
        ))
    })
}
