//! Requests that are sent again and again, some of which end each backend server that runs them.

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use standin::backend::{Backend, Behaviour, Run, RunEnd, Supervisor};
use standin::bench::calls::mesh::Mesh;
use standin::bench::calls::profile::Profile;
use standin::caller;
use standin::fleet::Launcher;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, interval, timeout};

/// Time after the third crash from which on the request counts as known.
pub const KNOWN_AFTER: Duration = Duration::from_secs(3);

/// Runs that are allowed from then on.
const MAX_LATE_RUNS: usize = 3;

/// Time after which a backend server that has ended is back.
pub const RESTART_TIME: Duration = Duration::from_secs(1);

/// Time of each run.
const WORK: Duration = Duration::from_millis(40);

pub async fn start(upstreams: usize) -> (Mesh, Vec<Supervisor>) {
    let mut profile = Profile::by_name("certs").unwrap();
    profile.upstreams = upstreams;
    let launcher = Launcher::new(env!("CARGO_BIN_EXE_baobabd"));
    let behaviour = Behaviour {
        work: WORK,
        ..Behaviour::default()
    };
    let mesh = Mesh::start(launcher, &profile, behaviour).await.unwrap();
    let supervise = |backend: &Backend| backend.supervise(RESTART_TIME);
    let supervisors = mesh.backends.iter().map(supervise).collect();
    (mesh, supervisors)
}

/// A request that comes again: all its copies have the same method, path and body.
#[derive(Clone, Copy)]
pub struct Repeated {
    pub method: &'static str,
    pub path: &'static str,
    pub body: &'static str,
    /// The start of the ids of its copies.
    pub id: &'static str,
}

pub const CRASHING: Repeated = Repeated {
    method: "GET",
    path: "/certs/lookup/crash",
    body: "",
    id: "crashing-",
};

pub const HARMLESS: Repeated = Repeated {
    method: "GET",
    path: "/certs/lookup/7",
    body: "",
    id: "harmless-",
};

impl Repeated {
    pub async fn send(self, address: SocketAddr, number: usize) -> anyhow::Result<Response<Bytes>> {
        let request = Request::builder()
            .method(self.method)
            .uri(self.path)
            .header("host", "certs")
            .header("x-request-id", format!("{}{number}", self.id))
            .body(Full::from(self.body))?;
        timeout(Duration::from_secs(5), caller::call(address, request)).await?
    }

    /// Sends a copy to each address in turn for `time`, `rate` a second, and returns when each was sent and
    /// the status that it got, if any.
    pub fn repeat(
        self,
        addresses: &[SocketAddr],
        rate: u32,
        time: Duration,
    ) -> JoinHandle<Vec<(Instant, Option<StatusCode>)>> {
        let addresses = addresses.to_vec();
        tokio::spawn(async move {
            let end = Instant::now() + time;
            let mut ticks = interval(Duration::from_secs(1) / rate);
            let mut calls = Vec::new();
            for (number, address) in addresses.iter().cycle().enumerate() {
                ticks.tick().await;
                if Instant::now() >= end {
                    break;
                }
                let sent = Instant::now();
                let address = *address;
                calls.push(tokio::spawn(async move {
                    let response = self.send(address, number).await;
                    (sent, response.ok().map(|response| response.status()))
                }));
            }
            let mut statuses = Vec::new();
            for call in calls {
                statuses.push(call.await.unwrap());
            }
            statuses
        })
    }

    /// Returns the runs of all its copies.
    pub fn runs(self, mesh: &Mesh) -> Vec<Run> {
        mesh.run_log.with_prefix(self.id)
    }
}

/// Returns when the third backend server ended under a request, if three did.
pub fn third_crash(runs: &[Run]) -> Option<Instant> {
    let mut ends: Vec<Instant> = runs
        .iter()
        .filter_map(|run| run.ended)
        .filter(|(_, end)| *end == RunEnd::Crashed)
        .map(|(at, _)| at)
        .collect();
    ends.sort();
    ends.get(2).copied()
}

/// Asserts that a request no longer ran once it was known as harmful, but for a few tries.
pub fn assert_quarantined(request: Repeated, mesh: &Mesh) {
    let runs = request.runs(mesh);
    assert!(!runs.is_empty());
    let Some(third) = third_crash(&runs) else {
        return;
    };
    let late = runs.iter().filter(|run| run.started > third + KNOWN_AFTER);
    let late = late.count();
    assert!(late <= MAX_LATE_RUNS, "{late} of {} runs", runs.len());
}

/// Asserts that of the calls sent from `from` on, at least `percent` were served.
pub fn assert_served(calls: &[(Instant, Option<StatusCode>)], from: Instant, percent: usize) {
    let later: Vec<_> = calls.iter().filter(|(sent, _)| *sent > from).collect();
    let served = later.iter().filter(|(_, s)| *s == Some(StatusCode::OK));
    let failed = later.iter().filter(|(_, s)| *s != Some(StatusCode::OK));
    let failed: Vec<_> = failed
        .map(|(sent, status)| (*sent - from, status))
        .collect();
    assert!(
        100 * served.count() >= percent * later.len(),
        "of {} calls: {failed:?}",
        later.len()
    );
}
