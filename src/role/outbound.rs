//! The outbound side: takes calls from callers and chooses where they go.

use crate::call::upstream::{MeshPool, UpstreamError};
use crate::call::{self, Refusal};
use crate::daemon::{Daemon, Phase};
use crate::event;
use crate::kernel::{Plugin, Work};
use crate::serve::{Body, incoming, serve};
use crate::table::RouteEntry;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use prometheus_client::registry::Registry;
use rand::Rng;
use std::net::SocketAddr;
use std::sync::Arc;

inventory::submit! {
    Plugin { name: "outbound", run, state, metrics }
}

fn run(daemon: Arc<Daemon>) -> Work {
    Box::pin(async move {
        let side = daemon.part(Outbound::default);
        let shared = Arc::clone(&daemon);
        let handler = move |request| {
            let (daemon, side) = (Arc::clone(&shared), Arc::clone(&side));
            async move { side.answer(&daemon, request).await }
        };
        serve(
            &daemon.sockets.outbound,
            daemon.drain.clone(),
            Phase::Draining,
            handler,
        )
        .await
    })
}

fn state(daemon: &Daemon) -> serde_json::Value {
    serde_json::json!({ "address": daemon.addresses().outbound })
}

fn metrics(_: &Daemon, _: &mut Registry) {}

#[derive(Default)]
struct Outbound {
    pool: MeshPool,
}

impl Outbound {
    async fn answer(&self, daemon: &Daemon, request: Request<Incoming>) -> Response<Body> {
        let flight = daemon.drain.flight();
        let id = request_id(&request);
        let answer = match self.forward(daemon, request, &id).await {
            Ok(answer) => answer,
            Err(refusal) => {
                event!(CallRefused, "request={id} reason={:?}", refusal.reason);
                refusal.into_answer(&id)
            }
        };
        drop(flight);
        answer
    }

    async fn forward(
        &self,
        daemon: &Daemon,
        request: Request<Incoming>,
        id: &str,
    ) -> Result<Response<Body>, Refusal> {
        let table = daemon.config.table();
        let entry = find_route(&table, &request)?;
        let service = table.service(entry.service);
        let fleet = daemon.fleet.load();
        let upstreams = fleet.upstreams(&service.name);
        if upstreams.is_empty() {
            let reason = format!("service {} has no backend server", service.name);
            return Err(Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason).retry_after(1));
        }
        let member = &upstreams[rand::rng().random_range(0..upstreams.len())];
        let address: SocketAddr = member.inbound.parse().map_err(|_| {
            let reason = format!("address of {} is not valid", member.name);
            Refusal::not_run(StatusCode::BAD_GATEWAY, reason)
        })?;
        let request = outgoing(request, entry, id, member.incarnation)?;
        let sent = self.pool.send(address, request);
        let answer = tokio::time::timeout(entry.timeout, sent).await;
        let answer = answer
            .map_err(|_| Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, "no answer in time"))?;
        answer.map_err(|err| match err {
            UpstreamError::NotSent(..) => Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, err),
            UpstreamError::Lost(..) => Refusal::unknown(StatusCode::BAD_GATEWAY, err),
        })
    }
}

fn find_route<'a>(
    table: &'a crate::table::Table,
    request: &Request<Incoming>,
) -> Result<&'a RouteEntry, Refusal> {
    let host = request.uri().host().or_else(|| {
        let host = request.headers().get(header::HOST)?.to_str().ok()?;
        Some(host.rsplit_once(':').map_or(host, |(name, _)| name))
    });
    let path = request.uri().path();
    let entry = table.route(host, path, request.method().as_str());
    entry.ok_or_else(|| Refusal::not_run(StatusCode::NOT_FOUND, format!("no route for {path}")))
}

fn request_id(request: &Request<Incoming>) -> String {
    let given = request.headers().get(call::REQUEST_ID);
    let given = given.and_then(|value| value.to_str().ok());
    given.map_or_else(
        || format!("{:032x}", rand::random::<u128>()),
        ToOwned::to_owned,
    )
}

fn outgoing(
    request: Request<Incoming>,
    entry: &RouteEntry,
    id: &str,
    incarnation: u64,
) -> Result<Request<Body>, Refusal> {
    let bad = |err: &dyn std::fmt::Display| Refusal::not_run(StatusCode::BAD_REQUEST, err);
    let (mut head, body) = request.into_parts();
    call::drop_hop_headers(&mut head.headers);
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let host = head.headers.remove(header::HOST);
    let authority = host.as_ref().and_then(|host| host.to_str().ok());
    let authority = authority.or(head.uri.host()).unwrap_or("localhost");
    head.uri = http::Uri::builder()
        .scheme("http")
        .authority(authority)
        .path_and_query(path)
        .build()
        .map_err(|err| bad(&err))?;
    head.version = http::Version::HTTP_2;
    let id = HeaderValue::from_str(id).map_err(|err| bad(&err))?;
    head.headers.insert(call::REQUEST_ID, id);
    head.headers.insert(call::INCARNATION, incarnation.into());
    let left = u64::try_from(entry.timeout.as_millis()).unwrap_or(u64::MAX);
    head.headers.insert(call::DEADLINE_MS, left.into());
    Ok(Request::from_parts(head, incoming(body)))
}
