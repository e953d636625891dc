//! The role that receives reports from this daemon's backend server.

mod leaves;

use self::leaves::LeaveRecord;
use super::inbound::{self, health};
use crate::backend::{Report, ReportOutcome, ReportedState, Stage, is_future};
use crate::daemon::{Daemon, Phase};
use crate::event;
use crate::kernel::{Plugin, RoleFuture};
use crate::serve::{Body, full_body, serve};
use crate::site::{Leave, ReportRequest, Reports};
use crate::unix_time::unix_ms;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use prometheus_client::registry::Registry;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Maximum length of a report, in bytes.
const MAX_REPORT_LEN: usize = 64 * 1024;

/// Time limit for reading a report.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which the handling of a report waits for the leaves that earlier processes have acknowledged.
const RECALL_WAIT: Duration = Duration::from_millis(300);

/// Time after the start from which they are no longer waited for.
const RECALL_TIMEOUT: Duration = Duration::from_secs(1);

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
        let record = LeaveRecord::of(&daemon);
        tokio::select! {
            ended = serve(socket, daemon.drain.clone(), Phase::Stopped, handler) => ended,
            () = record.run(&daemon) => Ok(()),
        }
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
    let body = match timeout(READ_TIMEOUT, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(err)) => return refusal_response(StatusCode::BAD_REQUEST, &err.to_string()),
        Err(_) => return refusal_response(StatusCode::REQUEST_TIMEOUT, "not sent in time"),
    };
    match (reports.decode)(&head.method, head.uri.path(), &body) {
        Some(Ok(ReportRequest::Report(report))) => handle_report(daemon, &report).await,
        Some(Ok(ReportRequest::Leave(leave))) => handle_leave(daemon, &leave).await,
        Some(Err(err)) => refusal_response(StatusCode::BAD_REQUEST, &err.to_string()),
        None => refusal_response(StatusCode::NOT_FOUND, "no such call"),
    }
}

async fn handle_report(daemon: &Daemon, report: &Report) -> Response<Body> {
    let known = daemon.backend.load();
    let is_ready = report.state == ReportedState::Ready;
    let healthy = match known.stage {
        // A report may be late, and after a start there is no earlier state to compare it with. The health endpoint
        // confirms it then, unless the instance has left before.
        Stage::Unknown if is_ready && is_recalled(daemon).await => {
            let health = health::request(daemon).await;
            health.is_some_and(|health| health.confirms(&report.instance))
        }
        // A report of another instance than the one that takes calls may be another writer's.
        Stage::Ready if known.instance.as_ref() != Some(&report.instance) => {
            let health = health::request(daemon).await;
            let instance = health.and_then(|health| health.instance);
            if instance.is_some() && instance == known.instance {
                return ignore_foreign(report, "health endpoint names the known instance");
            }
            false
        }
        _ => false,
    };
    let outcome = daemon.backend.report(Instant::now(), report, healthy);
    match outcome {
        ReportOutcome::New => {
            if report.state == ReportedState::Ready {
                inbound::component(daemon).mark_reachable();
            }
        }
        ReportOutcome::Unproven | ReportOutcome::Old => {
            event!(
                ReportIgnored,
                reason = format_args!("{outcome:?}"),
                instance = report.instance,
                sequence = report.sequence,
                born_ms = report.born_ms,
            );
        }
        ReportOutcome::Foreign => {
            return ignore_foreign(report, "report is not of this daemon's backend server");
        }
    }
    match report.state {
        ReportedState::Ready => empty_response(),
        ReportedState::Draining => acknowledge_leave(daemon).await,
    }
}

fn ignore_foreign(report: &Report, reason: &str) -> Response<Body> {
    event!(
        ReportIgnored,
        reason = reason,
        instance = report.instance,
        sequence = report.sequence,
        born_ms = report.born_ms,
    );
    refusal_response(StatusCode::BAD_REQUEST, reason)
}

/// Tests whether the leaves that earlier processes have stored are known, or the platform has not answered since the
/// start; they may have come from peers meanwhile.
async fn is_recalled(daemon: &Daemon) -> bool {
    let limit = RECALL_WAIT.min(RECALL_TIMEOUT.saturating_sub(daemon.backend.age()));
    let recalled = timeout(limit, daemon.backend.wait_recalled()).await;
    recalled.is_ok() || daemon.backend.age() >= RECALL_TIMEOUT
}

async fn handle_leave(daemon: &Daemon, leave: &Leave) -> Response<Body> {
    if leave.born_ms.is_some_and(is_future) {
        event!(
            ReportIgnored,
            reason = "start in the future",
            instance = leave.instance
        );
        return refusal_response(StatusCode::BAD_REQUEST, "start is in the future");
    }
    if !daemon.backend.leave(leave, unix_ms()) {
        event!(ReportIgnored, reason = "leave", instance = leave.instance);
    }
    acknowledge_leave(daemon).await
}

/// Acknowledges a leave once it is kept elsewhere too. The acknowledgement binds later processes of this daemon,
/// so a leave that only this one has recorded is not acknowledged; calls to the instance end in any case.
async fn acknowledge_leave(daemon: &Daemon) -> Response<Body> {
    if LeaveRecord::of(daemon).record(daemon).await {
        return empty_response();
    }
    refusal_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "leave is not recorded yet, repeat it",
    )
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
