//! The inbound side: the only way to this daemon's own backend server.

use crate::call::upstream::{BackendPool, UpstreamError};
use crate::call::{self, Refusal};
use crate::daemon::{Daemon, Phase};
use crate::event;
use crate::kernel::{Plugin, Work};
use crate::serve::{Body, incoming, serve};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use prometheus_client::registry::Registry;
use std::sync::Arc;

inventory::submit! {
    Plugin { name: "inbound", run, state, metrics }
}

fn run(daemon: Arc<Daemon>) -> Work {
    Box::pin(async move {
        let backend = daemon.settings.backend.as_ref();
        let pool = backend.map(|backend| BackendPool::new(backend.address));
        let side = Arc::new(Inbound { pool });
        let shared = Arc::clone(&daemon);
        let handler = move |request| {
            let (daemon, side) = (Arc::clone(&shared), Arc::clone(&side));
            async move { side.answer(&daemon, request).await }
        };
        serve(
            &daemon.sockets.inbound,
            daemon.drain.clone(),
            Phase::Stopped,
            handler,
        )
        .await
    })
}

fn state(daemon: &Daemon) -> serde_json::Value {
    serde_json::json!({
        "address": daemon.addresses().inbound,
        "in_flight": daemon.drain.in_flight(),
    })
}

fn metrics(_: &Daemon, _: &mut Registry) {}

struct Inbound {
    pool: Option<BackendPool>,
}

impl Inbound {
    async fn answer(&self, daemon: &Daemon, request: Request<Incoming>) -> Response<Body> {
        let flight = daemon.drain.flight();
        let id = header_str(request.headers(), &call::REQUEST_ID);
        let id = id.unwrap_or_default().to_owned();
        let answer = match self.forward(daemon, request).await {
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
    ) -> Result<Response<Body>, Refusal> {
        let unavailable = |reason| Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason);
        if daemon.drain.phase() != Phase::Running {
            return Err(unavailable("backend server is draining"));
        }
        let meant = header_str(request.headers(), &call::INCARNATION);
        let own = daemon.identity.incarnation.to_string();
        if meant.is_some_and(|meant| meant != own) {
            return Err(unavailable("call is for another incarnation"));
        }
        let pool = self.pool.as_ref();
        let pool = pool.ok_or_else(|| unavailable("no backend server here"))?;
        let answer = pool.send(to_backend(request)).await;
        let mut answer = answer.map_err(|err| match err {
            UpstreamError::NotSent(..) => Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, err),
            UpstreamError::Lost(..) => Refusal::unknown(StatusCode::BAD_GATEWAY, err),
        })?;
        call::drop_hop_headers(answer.headers_mut());
        *answer.version_mut() = http::Version::HTTP_2;
        Ok(answer)
    }
}

fn header_str<'a>(headers: &'a HeaderMap, name: &http::HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn to_backend(request: Request<Incoming>) -> Request<Body> {
    let (mut head, body) = request.into_parts();
    call::drop_hop_headers(&mut head.headers);
    if let Some(authority) = head.uri.authority()
        && let Ok(host) = HeaderValue::from_str(authority.as_str())
    {
        head.headers.insert(header::HOST, host);
    }
    let path = head.uri.path_and_query().cloned();
    head.uri = path.map_or_else(http::Uri::default, http::Uri::from);
    head.version = http::Version::HTTP_11;
    head.headers.remove(call::INCARNATION);
    Request::from_parts(head, incoming(body))
}
