//! The role that answers `/metrics`, `/state`, `/healthz` and `/readyz`.

mod metrics;

use crate::daemon::{Daemon, Phase};
use crate::kernel::{Plugin, Work, plugins};
use crate::serve::{Body, full, serve};
use http::{Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use metrics::CoreMetrics;
use prometheus_client::registry::Registry;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::Ordering;

inventory::submit! {
    Plugin { name: "admin", run, state, metrics }
}

fn run(daemon: Arc<Daemon>) -> Work {
    Box::pin(async move {
        let registry = Arc::new(registry(&daemon));
        let shared = Arc::clone(&daemon);
        let handler = move |request: Request<Incoming>| {
            let answer = answer(&shared, &registry, &request);
            async move { answer }
        };
        let drain = daemon.drain.clone();
        let admin = serve(&daemon.sockets.admin, drain, Phase::Stopped, handler);
        tokio::try_join!(admin, serve_readiness(Arc::clone(&daemon)))?;
        Ok(())
    })
}

/// Answers the platform's question whether calls are taken.
async fn serve_readiness(daemon: Arc<Daemon>) -> anyhow::Result<()> {
    let (Some(socket), Some(readiness)) = (&daemon.sockets.ready, &daemon.readiness) else {
        return Ok(());
    };
    let (shared, path) = (Arc::clone(&daemon), readiness.path.clone());
    let handler = move |request: Request<Incoming>| {
        let answer = match (request.uri().path() == path, is_ready(&shared)) {
            (false, _) => plain(StatusCode::NOT_FOUND, "no such page\n"),
            (true, true) => plain(StatusCode::OK, "ready\n"),
            (true, false) => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        };
        async move { answer }
    };
    serve(socket, daemon.drain.clone(), Phase::Stopped, handler).await
}

fn state(daemon: &Daemon) -> Value {
    let addresses = daemon.addresses();
    json!({
        "name": daemon.identity.name,
        "incarnation": daemon.identity.incarnation,
        "domain": daemon.identity.domain,
        "region": daemon.identity.region,
        "ready": is_ready(daemon),
        "phase": format!("{:?}", daemon.drain.phase()).to_lowercase(),
        "in_flight": daemon.drain.in_flight(),
        "outbound": addresses.outbound,
        "inbound": addresses.inbound,
        "mesh": addresses.mesh,
        "operator": addresses.operator,
        "admin": addresses.admin,
    })
}

fn metrics(_: &Daemon, _: &mut Registry) {}

fn registry(daemon: &Arc<Daemon>) -> Registry {
    let mut registry = Registry::with_prefix("baobab");
    let core = CoreMetrics::new(Arc::clone(daemon));
    registry.register_collector(Box::new(core));
    for plugin in plugins() {
        (plugin.metrics)(daemon, &mut registry);
    }
    registry
}

fn answer(daemon: &Daemon, registry: &Registry, request: &Request<Incoming>) -> Response<Body> {
    if request.method() != Method::GET {
        let mut answer = plain(StatusCode::METHOD_NOT_ALLOWED, "only GET is allowed\n");
        let allow = header::HeaderValue::from_static("GET");
        answer.headers_mut().insert(header::ALLOW, allow);
        return answer;
    }
    match request.uri().path() {
        "/healthz" => plain(StatusCode::OK, "ok\n"),
        "/readyz" if is_ready(daemon) => plain(StatusCode::OK, "ready\n"),
        "/readyz" => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        "/state" => json_answer(&dump(daemon)),
        "/metrics" => metrics_answer(registry),
        _ => plain(StatusCode::NOT_FOUND, "no such page\n"),
    }
}

fn metrics_answer(registry: &Registry) -> Response<Body> {
    let mut text = String::new();
    // Writing to a string does not fail.
    let _ = prometheus_client::encoding::text::encode(&mut text, registry);
    let mut answer = plain(StatusCode::OK, text);
    let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    let kind = header::HeaderValue::from_static(kind);
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    answer
}

/// Tests whether the daemon has caught up with the newest version that it can learn of, and takes
/// calls.
#[must_use]
pub fn is_ready(daemon: &Daemon) -> bool {
    daemon.caught_up.load(Ordering::Relaxed) && daemon.drain.phase() == Phase::Running
}

/// Returns the state dump of every role.
#[must_use]
pub fn dump(daemon: &Daemon) -> Value {
    let sections = plugins().into_iter();
    sections
        .map(|plugin| (plugin.name.to_owned(), (plugin.state)(daemon)))
        .collect()
}

fn plain(status: StatusCode, text: impl Into<hyper::body::Bytes>) -> Response<Body> {
    let mut answer = Response::new(full(text));
    *answer.status_mut() = status;
    answer
}

fn json_answer(value: &Value) -> Response<Body> {
    let mut answer = Response::new(full(value.to_string()));
    let kind = header::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    answer
}
