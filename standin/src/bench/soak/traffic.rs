//! Callers that record the outcome of each call, and the checks of these records.

use super::checks::{CheckCounts, Guarantee};
use crate::backend::{RunEnd, RunLog, pattern};
use crate::caller;
use baobabstage::sync::lock;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

/// Time after which a caller disconnects.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// Response body length of a photo, in bytes.
const PHOTO_LEN: usize = 60_000;
/// Request body length of an upload, in bytes.
const UPLOAD_LEN: usize = 20_000;

/// Result of a call as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A successful response.
    Answered,
    /// Reported as not executed.
    NotRun,
    /// An error response that leaves open whether the call was executed.
    Unknown,
    /// No complete response before the timeout.
    NoResponse,
}

/// A completed call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Request id, unique within a run.
    pub id: String,
    /// Outbound address of the daemon that the call was sent to.
    pub entry: SocketAddr,
    /// Whether the call may be executed more than once.
    pub idempotent: bool,
    /// Time of sending.
    pub started: Instant,
    /// Time at which the response was complete or the call failed.
    pub ended: Instant,
    /// Result seen by the caller.
    pub outcome: Outcome,
    /// Body of an error response, or the connection error; empty on success.
    pub reason: String,
}

/// Callers of a set of services; clones share their state.
#[derive(Clone)]
pub struct Traffic {
    /// Outbound addresses of the running daemons.
    pub entries: watch::Sender<Vec<SocketAddr>>,
    calls: Arc<Mutex<Vec<Call>>>,
    services: Arc<Vec<String>>,
    checks: CheckCounts,
}

#[derive(Clone, Copy)]
enum Kind {
    Lookup,
    Issue,
    Photo,
    Upload,
}

impl Traffic {
    /// Creates callers of these services, without a completed call.
    #[must_use]
    pub fn new(services: Vec<String>, checks: CheckCounts) -> Self {
        Traffic {
            entries: watch::Sender::default(),
            calls: Arc::default(),
            services: Arc::new(services),
            checks,
        }
    }

    /// Starts a caller that makes one call at a time until the task is aborted.
    #[must_use]
    pub fn caller(&self, seed: u64, pause: Duration) -> tokio::task::JoinHandle<()> {
        let traffic = self.clone();
        tokio::spawn(async move {
            let mut rng = StdRng::seed_from_u64(seed);
            for number in 0_u64.. {
                let kind = *[Kind::Lookup, Kind::Issue, Kind::Photo, Kind::Upload]
                    .choose(&mut rng)
                    .unwrap_or(&Kind::Lookup);
                let id = format!("call-{seed}-{number}");
                let service = traffic.services.choose(&mut rng).cloned();
                let entry = traffic.entries.borrow().choose(&mut rng).copied();
                if let (Some(entry), Some(service)) = (entry, service) {
                    traffic.call(entry, &service, kind, id).await;
                }
                sleep(pause.mul_f64(rng.random_range(0.5..1.5))).await;
            }
        })
    }

    async fn call(&self, entry: SocketAddr, service: &str, kind: Kind, id: String) {
        let started = Instant::now();
        let response = timeout(
            CALL_TIMEOUT,
            caller::call(entry, request(service, kind, &id)),
        );
        let (outcome, reason) = match response.await {
            Ok(Ok(response)) => (self.classify(&response, kind, &id), reason(&response)),
            Ok(Err(err)) => (Outcome::NoResponse, err.to_string()),
            Err(err) => (Outcome::NoResponse, err.to_string()),
        };
        lock(&self.calls).push(Call {
            id,
            entry,
            idempotent: !matches!(kind, Kind::Issue),
            started,
            ended: Instant::now(),
            outcome,
            reason,
        });
    }

    /// Classifies a response and checks [`Guarantee::OwnAnswer`].
    fn classify(&self, response: &Response<Bytes>, kind: Kind, id: &str) -> Outcome {
        if response.status().is_success() {
            let matches = matches_request(response, kind, id);
            let len = response.body().len();
            self.checks.check(Guarantee::OwnAnswer, matches, || {
                format!(
                    "{id}: response does not match the request, {len} bytes, {:?}",
                    response.headers()
                )
            });
            return Outcome::Answered;
        }
        let outcome = response.headers().get("x-baobab-outcome");
        match outcome.map(http::HeaderValue::as_bytes) {
            Some(b"not-run") => Outcome::NotRun,
            _ => Outcome::Unknown,
        }
    }

    /// Returns the completed calls.
    #[must_use]
    pub fn calls(&self) -> Vec<Call> {
        lock(&self.calls).clone()
    }

    /// Compares the outcomes of all calls with the runs that the backend servers recorded.
    pub fn check(&self, run_log: &RunLog) {
        for call in self.calls() {
            let runs = run_log.runs(&call.id);
            if call.outcome == Outcome::NotRun {
                self.checks.check(Guarantee::NotRun, runs == 0, || {
                    format!(
                        "{}: reported as not run ({}), ran {runs} times, idempotent: {}",
                        call.id, call.reason, call.idempotent
                    )
                });
            }
            if !call.idempotent {
                self.checks.check(Guarantee::AtMostOnce, runs <= 1, || {
                    format!("{}: ran {runs} times", call.id)
                });
            }
        }
    }

    /// Checks that calls in flight at an entry daemon, or at its backend server `name`, were not
    /// interrupted by a shutdown that was requested at the time `at`.
    pub fn check_graceful(&self, run_log: &RunLog, entry: SocketAddr, name: &str, at: Instant) {
        for call in self.calls() {
            let in_flight = call.started < at && call.ended > at;
            if call.entry == entry && in_flight {
                let interrupted = call.outcome == Outcome::NoResponse && run_log.runs(&call.id) > 0;
                self.checks.check(Guarantee::Graceful, !interrupted, || {
                    format!("{}: interrupted at {name}", call.id)
                });
            }
        }
        for (id, run) in run_log.running_at(name, at) {
            let interrupted = run.ended.is_some_and(|(_, how)| how == RunEnd::Cancelled);
            self.checks.check(Guarantee::Graceful, !interrupted, || {
                format!("{id}: interrupted at the backend server of {name}")
            });
        }
    }
}

fn reason(response: &Response<Bytes>) -> String {
    if response.status().is_success() {
        return String::new();
    }
    String::from_utf8_lossy(response.body()).into_owned()
}

fn request(service: &str, kind: Kind, id: &str) -> Request<Full<Bytes>> {
    let (method, path, len) = match kind {
        Kind::Lookup => ("GET", format!("/{service}/lookup"), 0),
        Kind::Issue => ("POST", format!("/{service}/issue"), 10),
        Kind::Photo => ("GET", format!("/{service}/lookup/bytes/{PHOTO_LEN}"), 0),
        Kind::Upload => ("POST", format!("/{service}/upload"), UPLOAD_LEN),
    };
    let request = Request::builder().method(method).uri(path);
    let request = request.header("host", service).header("x-request-id", id);
    let body = Full::from(vec![b'x'; len]);
    request.body(body).expect("the parts are valid")
}

fn matches_request(response: &Response<Bytes>, kind: Kind, id: &str) -> bool {
    let len = match kind {
        Kind::Lookup => 0,
        Kind::Issue => 10,
        Kind::Upload => UPLOAD_LEN,
        Kind::Photo => {
            let header = response.headers().get("x-request-id");
            let own = header.is_some_and(|header| header == id);
            return own && response.body() == &pattern(PHOTO_LEN);
        }
    };
    response
        .body()
        .ends_with(format!(" {id} {len}\n").as_bytes())
}
