//! The role that answers operators.

mod changes;
mod reply;
mod request;
mod resources;
mod status;
mod watch;

use crate::daemon::{Daemon, Phase};
use crate::event;
use crate::kernel::{Plugin, Work};
use crate::serve::{Body, serve};
use crate::site::Source;
use http::request::Parts;
use http::{Method, Request, Response, header};
use hyper::body::Incoming;
use prometheus_client::registry::Registry;
use reply::Fault;
use request::{Endpoint, Query};
use serde_json::{Value, json};
use std::sync::Arc;
use subtle::ConstantTimeEq;
use watch::Watchers;

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
        "watchers": daemon.part(Watchers::default).count(),
    })
}

fn metrics(_: &Daemon, _: &mut Registry) {}

async fn answer(daemon: &Arc<Daemon>, request: Request<Incoming>) -> Response<Body> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    match handle(daemon, request).await {
        Ok(answer) => answer,
        Err(fault) => {
            let (status, error) = (fault.status().as_u16(), fault.error());
            event!(
                OperatorRefused,
                method = method,
                path = path,
                status = status,
                error = error,
            );
            fault.into_answer()
        }
    }
}

async fn handle(daemon: &Arc<Daemon>, request: Request<Incoming>) -> Result<Response<Body>, Fault> {
    if !authorised(daemon, &request) {
        return Err(Fault::no_token());
    }
    let (head, body) = request.into_parts();
    let endpoint = Endpoint::new(head.uri.path())?;
    if !endpoint.allows(&head.method) {
        return Err(Fault::method(&head.method, endpoint.allow()));
    }
    if let Source::Given(given) = &daemon.source
        && head.method != Method::GET
    {
        return Err(Fault::given(&given.key));
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
        Endpoint::Change(id) => status::answer(daemon, &id, &query).await,
        Endpoint::Revert(id) => changes::revert(daemon, id, &query).await,
    }
}

async fn post_change(
    daemon: &Arc<Daemon>,
    head: &Parts,
    query: &Query,
    body: Incoming,
) -> Result<Response<Body>, Fault> {
    let change = changes::read(head, body).await?;
    if query.flag("check")? {
        changes::check(daemon, &change).await
    } else {
        let id = change.id().to_owned();
        reply::outcome(changes::submit(daemon, change).await, &id)
    }
}

fn authorised(daemon: &Daemon, request: &Request<Incoming>) -> bool {
    let Some(token) = &daemon.settings.token else {
        return true;
    };
    let given = request.headers().get(header::AUTHORIZATION);
    let given = given.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    given.is_some_and(|given| given.ct_eq(token.as_bytes()).into())
}
