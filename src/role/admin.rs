//! The role that serves `/metrics`, `/state`, `/healthz` and `/readyz`, and the readiness endpoint
//! of the platform.

mod metrics;

use crate::daemon::{Daemon, Phase};
use crate::kernel::{Plugin, RoleFuture, plugins};
use crate::serve::{Body, full_body, serve};
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

fn run(daemon: Arc<Daemon>) -> RoleFuture {
    Box::pin(async move {
        let registry = Arc::new(registry(&daemon));
        let shared = Arc::clone(&daemon);
        let handler = move |request: Request<Incoming>| {
            let response = handle(&shared, &registry, &request);
            async move { response }
        };
        let drain = daemon.drain.clone();
        let admin = serve(&daemon.sockets.admin, drain, Phase::Stopped, handler);
        tokio::try_join!(admin, serve_readiness(Arc::clone(&daemon)))?;
        Ok(())
    })
}

/// Serves the endpoint where the platform checks whether this daemon accepts calls, if there is
/// one.
async fn serve_readiness(daemon: Arc<Daemon>) -> anyhow::Result<()> {
    let (Some(socket), Some(readiness)) = (&daemon.sockets.ready, &daemon.readiness) else {
        return Ok(());
    };
    let (shared, path) = (Arc::clone(&daemon), readiness.path.clone());
    let handler = move |request: Request<Incoming>| {
        let response = match (request.uri().path() == path, is_ready(&shared)) {
            (false, _) => text_response(StatusCode::NOT_FOUND, "no such page\n"),
            (true, true) => text_response(StatusCode::OK, "ready\n"),
            (true, false) => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        };
        async move { response }
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

fn handle(daemon: &Daemon, registry: &Registry, request: &Request<Incoming>) -> Response<Body> {
    if request.method() != Method::GET {
        let mut response = text_response(StatusCode::METHOD_NOT_ALLOWED, "only GET is allowed\n");
        let allow = header::HeaderValue::from_static("GET");
        response.headers_mut().insert(header::ALLOW, allow);
        return response;
    }
    match request.uri().path() {
        "/healthz" => text_response(StatusCode::OK, "ok\n"),
        "/readyz" if is_ready(daemon) => text_response(StatusCode::OK, "ready\n"),
        "/readyz" => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        "/state" => json_response(&dump(daemon)),
        "/metrics" => metrics_response(registry),
        _ => text_response(StatusCode::NOT_FOUND, "no such page\n"),
    }
}

fn metrics_response(registry: &Registry) -> Response<Body> {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = prometheus_client::encoding::text::encode(&mut text, registry);
    let mut response = text_response(StatusCode::OK, text);
    let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    let kind = header::HeaderValue::from_static(kind);
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// Tests whether the daemon accepts calls and has caught up with the newest version that the
/// platform or its peers know.
#[must_use]
pub fn is_ready(daemon: &Daemon) -> bool {
    daemon.caught_up.load(Ordering::Relaxed) && daemon.drain.phase() == Phase::Running
}

/// Returns the state of every role, by the role's name, as served at `/state`.
#[must_use]
pub fn dump(daemon: &Daemon) -> Value {
    let sections = plugins().into_iter();
    sections
        .map(|plugin| (plugin.name.to_owned(), (plugin.state)(daemon)))
        .collect()
}

fn text_response(status: StatusCode, text: impl Into<hyper::body::Bytes>) -> Response<Body> {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
}

fn json_response(value: &Value) -> Response<Body> {
    let mut response = Response::new(full_body(value.to_string()));
    let kind = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
