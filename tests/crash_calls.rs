//! A request that ends each backend server that runs it, and comes again at any daemon.

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
const KNOWN_AFTER: Duration = Duration::from_secs(3);

/// Runs that are allowed from then on.
const MAX_LATE_RUNS: usize = 3;

/// Time after which a backend server that has ended is back.
const RESTART_TIME: Duration = Duration::from_secs(1);

/// Time of each run.
const WORK: Duration = Duration::from_millis(40);

async fn start(upstreams: usize) -> (Mesh, Vec<Supervisor>) {
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
struct Repeated {
    method: &'static str,
    path: &'static str,
    body: &'static str,
    /// The start of the ids of its copies.
    id: &'static str,
}

const CRASHING: Repeated = Repeated {
    method: "GET",
    path: "/certs/lookup/crash",
    body: "",
    id: "crashing-",
};

const HARMLESS: Repeated = Repeated {
    method: "GET",
    path: "/certs/lookup/7",
    body: "",
    id: "harmless-",
};

impl Repeated {
    async fn send(self, address: SocketAddr, number: usize) -> anyhow::Result<Response<Bytes>> {
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
    fn repeat(
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
    fn runs(self, mesh: &Mesh) -> Vec<Run> {
        mesh.run_log.with_prefix(self.id)
    }
}

/// Returns the outbound addresses of all daemons.
fn addresses(mesh: &Mesh) -> Vec<SocketAddr> {
    let daemons = mesh.daemons.iter().chain(&mesh.entries);
    daemons.map(|daemon| daemon.outbound).collect()
}

/// Returns when the third backend server ended under a request.
fn third_crash(runs: &[Run]) -> Instant {
    let mut ends: Vec<Instant> = runs
        .iter()
        .filter_map(|run| run.ended)
        .filter(|(_, end)| *end == RunEnd::Crashed)
        .map(|(at, _)| at)
        .collect();
    ends.sort();
    ends[2]
}

/// Returns the number of runs that started late enough to be known as harmful.
fn late_runs(runs: &[Run]) -> usize {
    let known = third_crash(runs) + KNOWN_AFTER;
    runs.iter().filter(|run| run.started > known).count()
}

/// Returns the share of calls sent from `from` on that were served, in percent.
fn served_percent(calls: &[(Instant, Option<StatusCode>)], from: Instant) -> usize {
    let later: Vec<_> = calls.iter().filter(|(sent, _)| *sent > from).collect();
    let served = later.iter().filter(|(_, s)| *s == Some(StatusCode::OK));
    100 * served.count() / later.len().max(1)
}

/// Guards against a request that ends every backend server of its service again and again, since nothing
/// relates its copies to each other.
#[tokio::test(flavor = "multi_thread")]
async fn crash_repeated_request() {
    let (mesh, _supervisors) = start(4).await;
    let time = Duration::from_secs(10);
    let crashing = CRASHING.repeat(&addresses(&mesh), 40, time);
    let harmless = HARMLESS.repeat(&addresses(&mesh), 40, time);
    crashing.await.unwrap();
    let harmless = harmless.await.unwrap();
    let runs = CRASHING.runs(&mesh);
    assert!(late_runs(&runs) <= MAX_LATE_RUNS, "{}", late_runs(&runs));
    let restored = third_crash(&runs) + KNOWN_AFTER;
    assert!(served_percent(&harmless, restored) >= 95);
}
