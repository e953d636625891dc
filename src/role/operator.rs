//! The role that serves the operator API.

mod changes;
mod reply;
mod request;
mod resources;
mod status;
mod watch;

use crate::daemon::{Daemon, Phase};
use crate::error::{Category, Error};
use crate::event;
use crate::kernel::{Plugin, RoleFuture};
use crate::quarantine::Quarantine;
use crate::serve::{Body, serve};
use crate::site::Source;
use http::request::Parts;
use http::{Method, Request, Response, header};
use hyper::body::Incoming;
use prometheus_client::registry::Registry;
use reply::ApiError;
use request::{Endpoint, Query};
use serde_json::{Value, json};
use std::sync::Arc;
use subtle::ConstantTimeEq;
use watch::Watchers;

inventory::submit! {
    Plugin { name: "operator", run, state, metrics }
}

fn run(daemon: Arc<Daemon>) -> RoleFuture {
    Box::pin(async move {
        let shared = Arc::clone(&daemon);
        let handler = move |request| {
            let daemon = Arc::clone(&shared);
            async move { handle(&daemon, request).await }
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
        "watchers": daemon.component(Watchers::default).count(),
    })
}

fn metrics(_: &Daemon, _: &mut Registry) {}

async fn handle(daemon: &Arc<Daemon>, request: Request<Incoming>) -> Response<Body> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    match route(daemon, request).await {
        Ok(response) => response,
        Err(err) => {
            let (status, error) = (err.status().as_u16(), err.error());
            event!(
                OperatorRefused,
                method = method,
                path = path,
                status = status,
                error = error,
            );
            err.into_response()
        }
    }
}

/// Authorises a request and dispatches it to its endpoint.
async fn route(
    daemon: &Arc<Daemon>,
    request: Request<Incoming>,
) -> Result<Response<Body>, ApiError> {
    if !is_authorised(daemon, &request) {
        return Err(ApiError::missing_token());
    }
    let (head, body) = request.into_parts();
    let endpoint = Endpoint::new(head.uri.path())?;
    if !endpoint.allows(&head.method) {
        return Err(ApiError::method_not_allowed(&head.method, endpoint.allow()));
    }
    if let Source::External(external) = &daemon.source
        && head.method != Method::GET
        && endpoint.is_configuration()
    {
        return Err(ApiError::externally_managed(&external.key));
    }
    let query = Query::new(head.uri.query().unwrap_or_default(), endpoint.parameters())?;
    match endpoint {
        Endpoint::Version => Ok(reply::json(&daemon.config.state())),
        Endpoint::Resources(kind) => Ok(resources::list(daemon, kind)),
        Endpoint::Resource(key) => match head.method {
            Method::PUT => resources::put(daemon, key, &head, &query, body).await,
            Method::DELETE => resources::delete(daemon, key, &head, &query).await,
            _ => resources::get(daemon, &key),
        },
        Endpoint::Watch => watch::start(daemon, &query),
        Endpoint::Changes => match head.method {
            Method::POST => post_change(daemon, &head, &query, body).await,
            _ => changes::history(daemon, &query).await,
        },
        Endpoint::Change(id) => status::get(daemon, &id, &query).await,
        Endpoint::Revert(id) => changes::revert(daemon, id, &query).await,
        Endpoint::Quarantine => Ok(reply::json(&Quarantine::of(daemon).state())),
        Endpoint::Quarantined(content) => release(daemon, content),
        Endpoint::Rollouts => Ok(reply::json(&daemon.rollouts.state())),
    }
}

/// Lets a request run again under which backend servers have ended.
fn release(daemon: &Daemon, content: u128) -> Result<Response<Body>, ApiError> {
    if Quarantine::of(daemon).release(content) {
        return Ok(reply::json(
            &json!({ "released": format!("{content:032x}") }),
        ));
    }
    let message = format!("request {content:032x} is not suspected at this daemon");
    Err(Error::new(Category::Missing, message).into())
}

async fn post_change(
    daemon: &Arc<Daemon>,
    head: &Parts,
    query: &Query,
    body: Incoming,
) -> Result<Response<Body>, ApiError> {
    let change = changes::read(head, body).await?;
    if query.flag("check")? {
        changes::check(daemon, &change).await
    } else {
        let id = change.id().to_owned();
        reply::outcome(changes::submit(daemon, change).await, &id)
    }
}

/// Tests whether a request bears the operator token, if one is set. Tokens are compared in constant
/// time, so that the response time does not reveal how much of a wrong one is right.
fn is_authorised(daemon: &Daemon, request: &Request<Incoming>) -> bool {
    let Some(token) = &daemon.settings.token else {
        return true;
    };
    let presented = request.headers().get(header::AUTHORIZATION);
    let presented = presented.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    presented.is_some_and(|presented| presented.ct_eq(token.as_bytes()).into())
}
