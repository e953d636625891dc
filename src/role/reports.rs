//! The role that takes reports of the backend server beside this daemon.

use super::inbound::health;
use crate::backend::Report;
use crate::backend::{Stage, Taken};
use crate::daemon::{Daemon, Phase};
use crate::event;
use crate::kernel::{Plugin, Work};
use crate::serve::{Body, full, serve};
use crate::site::{Leave, ReportCall, Reports};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use prometheus_client::registry::Registry;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Greatest length of a report, in bytes.
const MAX_REPORT_LEN: usize = 64 * 1024;

/// Time for a backend server to send its report.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

inventory::submit! {
    Plugin { name: "reports", run, state, metrics }
}

fn run(daemon: Arc<Daemon>) -> Work {
    Box::pin(async move {
        let (Some(socket), Some(reports)) = (&daemon.sockets.reports, &daemon.reports) else {
            daemon.drain.reached(Phase::Stopped).await;
            return Ok(());
        };
        let (shared, reports) = (Arc::clone(&daemon), reports.clone());
        let handler = move |request| {
            let (daemon, reports) = (Arc::clone(&shared), reports.clone());
            async move { answer(&daemon, &reports, request).await }
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

async fn answer(daemon: &Daemon, reports: &Reports, request: Request<Incoming>) -> Response<Body> {
    let (head, body) = request.into_parts();
    let body = Limited::new(body, MAX_REPORT_LEN).collect();
    let body = match tokio::time::timeout(READ_TIMEOUT, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(err)) => return refused(StatusCode::BAD_REQUEST, &err.to_string()),
        Err(_) => return refused(StatusCode::REQUEST_TIMEOUT, "not sent in time"),
    };
    match (reports.decode)(&head.method, head.uri.path(), &body) {
        Some(Ok(ReportCall::Report(report))) => take_report(daemon, &report).await,
        Some(Ok(ReportCall::Leave(leave))) => take_leave(daemon, &leave),
        Some(Err(err)) => refused(StatusCode::BAD_REQUEST, &err.to_string()),
        None => refused(StatusCode::NOT_FOUND, "no such call"),
    }
}

async fn take_report(daemon: &Daemon, report: &Report) -> Response<Body> {
    let unknown = daemon.backend.load().stage == Stage::Unknown;
    // A report may be late. After a start nothing else is known to hold against it.
    let healthy = unknown && health::confirms(daemon, &report.instance).await;
    let taken = daemon.backend.report(Instant::now(), report, healthy);
    match taken {
        Taken::New => taken_in(),
        Taken::Unproven | Taken::Old => {
            event!(
                ReportIgnored,
                reason = format_args!("{taken:?}"),
                instance = report.instance,
                sequence = report.sequence,
                born_ms = report.born_ms,
            );
            taken_in()
        }
        Taken::Foreign => {
            let reason = "report is about another backend server";
            refused(StatusCode::BAD_REQUEST, reason)
        }
    }
}

fn take_leave(daemon: &Daemon, leave: &Leave) -> Response<Body> {
    if !daemon.backend.leave(leave) {
        event!(ReportIgnored, reason = "leave", instance = leave.instance);
    }
    taken_in()
}

fn taken_in() -> Response<Body> {
    let mut answer = Response::new(full("{}"));
    let json = http::HeaderValue::from_static("application/json");
    answer
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, json);
    answer
}

fn refused(status: StatusCode, reason: &str) -> Response<Body> {
    event!(ReportRefused, reason = reason);
    let mut answer = Response::new(full(json!({ "error": reason }).to_string()));
    *answer.status_mut() = status;
    answer
}
