//! The role that receives reports from this daemon's backend server.

use super::inbound::{self, health};
use crate::backend::{Report, ReportOutcome, ReportedState, Stage};
use crate::daemon::{Daemon, Phase};
use crate::event;
use crate::kernel::{Plugin, RoleFuture};
use crate::serve::{Body, full_body, serve};
use crate::site::{Leave, ReportRequest, Reports};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use prometheus_client::registry::Registry;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum length of a report, in bytes.
const MAX_REPORT_LEN: usize = 64 * 1024;

/// Time limit for reading a report.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

inventory::submit! {
    Plugin { name: "reports", run, state, metrics }
}

fn run(daemon: Arc<Daemon>) -> RoleFuture {
    Box::pin(async move {
        let (Some(socket), Some(reports)) = (&daemon.sockets.reports, &daemon.reports) else {
            daemon.drain.reached(Phase::Stopped).await;
            return Ok(());
        };
        let (shared, reports) = (Arc::clone(&daemon), reports.clone());
        let handler = move |request| {
            let (daemon, reports) = (Arc::clone(&shared), reports.clone());
            async move { handle(&daemon, &reports, request).await }
        };
        serve(socket, daemon.drain.clone(), Phase::Stopped, handler).await
    })
}

fn state(daemon: &Daemon) -> Value {
    let backend = daemon.backend.load();
    json!({
        "stage": format!("{:?}", backend.stage).to_lowercase(),
        "instance": backend.instance,
        "born_ms": backend.born_ms,
        "sequence": backend.sequence,
        "slots": backend.slots,
    })
}

fn metrics(_: &Daemon, _: &mut Registry) {}

async fn handle(daemon: &Daemon, reports: &Reports, request: Request<Incoming>) -> Response<Body> {
    let (head, body) = request.into_parts();
    let body = Limited::new(body, MAX_REPORT_LEN).collect();
    let body = match tokio::time::timeout(READ_TIMEOUT, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(err)) => return refusal_response(StatusCode::BAD_REQUEST, &err.to_string()),
        Err(_) => return refusal_response(StatusCode::REQUEST_TIMEOUT, "not sent in time"),
    };
    match (reports.decode)(&head.method, head.uri.path(), &body) {
        Some(Ok(ReportRequest::Report(report))) => handle_report(daemon, &report).await,
        Some(Ok(ReportRequest::Leave(leave))) => handle_leave(daemon, &leave),
        Some(Err(err)) => refusal_response(StatusCode::BAD_REQUEST, &err.to_string()),
        None => refusal_response(StatusCode::NOT_FOUND, "no such call"),
    }
}

async fn handle_report(daemon: &Daemon, report: &Report) -> Response<Body> {
    let unknown = daemon.backend.load().stage == Stage::Unknown;
    // A report may be late, and after a start there is no earlier state to compare it with. The
    // health endpoint confirms it then.
    let healthy = unknown && health::confirms_instance(daemon, &report.instance).await;
    let outcome = daemon.backend.report(Instant::now(), report, healthy);
    match outcome {
        ReportOutcome::New => {
            if report.state == ReportedState::Ready {
                inbound::component(daemon).mark_reachable();
            }
            empty_response()
        }
        ReportOutcome::Unproven | ReportOutcome::Old => {
            event!(
                ReportIgnored,
                reason = format_args!("{outcome:?}"),
                instance = report.instance,
                sequence = report.sequence,
                born_ms = report.born_ms,
            );
            empty_response()
        }
        ReportOutcome::Foreign => {
            let reason = "report is about another backend server";
            refusal_response(StatusCode::BAD_REQUEST, reason)
        }
    }
}

fn handle_leave(daemon: &Daemon, leave: &Leave) -> Response<Body> {
    if !daemon.backend.leave(leave) {
        event!(ReportIgnored, reason = "leave", instance = leave.instance);
    }
    empty_response()
}

fn empty_response() -> Response<Body> {
    let mut response = Response::new(full_body("{}"));
    let json = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, json);
    response
}

fn refusal_response(status: StatusCode, reason: &str) -> Response<Body> {
    event!(ReportRefused, reason = reason);
    let mut response = Response::new(full_body(json!({ "error": reason }).to_string()));
    *response.status_mut() = status;
    response
}
