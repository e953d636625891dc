//! Daemons that are all killed at once and started again at their addresses.

use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::json;
use standin::backend::{Backend, Behaviour, RunLog};
use standin::bench::calls::mesh::{flags, send_change};
use standin::caller;
use standin::fleet::{Launcher, Process};
use standin::platform::{Limits, Platform};
use standin::testbed::LOOPBACK;
use std::net::SocketAddr;
use std::time::Duration;
use test_case::test_case;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep, timeout};

/// Concurrent calls that a backend server runs, and the time of each.
const SLOTS: u32 = 4;
const WORK: Duration = Duration::from_millis(20);

/// Time between two calls at a daemon. All daemons together send a tenth of what the backend servers
/// have room for.
const CALL_INTERVAL: Duration = Duration::from_millis(50);

/// Time in which calls are counted together.
const WINDOW: Duration = Duration::from_millis(100);

/// Bound of the time from the start of the last daemon until nine in ten calls are served.
const MAX_RECOVERY: Duration = Duration::from_secs(1);

/// Held by the test that runs, since several fleets at once would compete for the processors.
static RUNNING: Mutex<()> = Mutex::const_new(());

/// Port of the inbound listeners, each on a loopback address of its own. It is below the ephemeral ports, so
/// that no connection takes it while a daemon is down.
const INBOUND_PORT: u16 = 7_200;

struct Vm {
    name: String,
    inbound: SocketAddr,
    backend: Backend,
    daemon: Process,
}

struct Herd {
    platform: Platform,
    launcher: Launcher,
    vms: Vec<Vm>,
}

impl Herd {
    /// Starts daemons on loopback addresses of a network that no other process of this test uses.
    async fn start(network: u8, count: u8) -> Herd {
        let process = std::process::id().to_be_bytes()[3] | 1;
        let platform = Platform::start(LOOPBACK, Limits::default()).await.unwrap();
        let launcher = Launcher::new(env!("CARGO_BIN_EXE_baobabd"));
        let behaviour = Behaviour {
            work: WORK,
            ..Behaviour::default()
        };
        let mut vms = Vec::new();
        for index in 0..count {
            let name = format!("vm-{index}");
            let inbound = SocketAddr::from(([127, process, network, index + 1], INBOUND_PORT));
            let backend = Backend::start(&name, LOOPBACK, behaviour, RunLog::default());
            let backend = backend.await.unwrap();
            let flags = daemon_flags(&name, inbound, &platform, &backend);
            let daemon = launcher.start(&flags).await.unwrap();
            vms.push(Vm {
                name,
                inbound,
                backend,
                daemon,
            });
        }
        let daemons: Vec<&Process> = vms.iter().map(|vm| &vm.daemon).collect();
        send_change(&daemons, &change()).await.unwrap();
        for daemon in daemons {
            let joined = |state: &serde_json::Value| state["members"]["count"] == u64::from(count);
            let limit = Duration::from_secs(30);
            daemon.wait_state("members", limit, joined).await.unwrap();
        }
        Herd {
            platform,
            launcher,
            vms,
        }
    }

    /// Kills the daemons in a range at once, and starts them again at their addresses.
    async fn restart(&mut self, range: std::ops::Range<usize>) {
        for vm in &mut self.vms[range.clone()] {
            vm.daemon.kill().await.unwrap();
        }
        let launcher = &self.launcher;
        let starts = self.vms[range.clone()].iter().map(|vm| {
            let flags = daemon_flags(&vm.name, vm.inbound, &self.platform, &vm.backend);
            async move { launcher.start(&flags).await.unwrap() }
        });
        let daemons = futures_util::future::join_all(starts).await;
        for (vm, daemon) in self.vms[range].iter_mut().zip(daemons) {
            vm.daemon = daemon;
        }
    }
}

fn daemon_flags(
    name: &str,
    inbound: SocketAddr,
    platform: &Platform,
    backend: &Backend,
) -> Vec<String> {
    let mut flags = flags(name, "espoo", "fi-south", platform);
    let mut add = |flag: &str, value: String| flags.extend([flag.to_owned(), value]);
    add("--distribution", "direct".into());
    add("--service", "certs".into());
    add("--backend", backend.address().to_string());
    add("--inbound", inbound.to_string());
    flags
}

fn change() -> serde_json::Value {
    json!({"id": "setup", "put": [
        {"kind": "policy", "name": "p", "spec": {"kinds": {"lookup": 1}}},
        {"kind": "pool", "name": "certs", "spec": {"slots": SLOTS, "connections": 40}},
        {"kind": "service", "name": "certs", "spec": {"pool": "certs", "policy": "p"}},
        {"kind": "route", "name": "lookup", "spec": {"prefix": "/certs", "service": "certs",
            "request_kind": "lookup", "idempotent": true, "timeout_ms": 1000}},
    ]})
}

/// Sends a call each [`CALL_INTERVAL`] until `end`, and returns when each was sent and whether it was served.
async fn call_regularly(address: SocketAddr, end: Instant) -> Vec<(Instant, bool)> {
    let mut calls = Vec::new();
    while Instant::now() < end {
        let sent = Instant::now();
        calls.push(tokio::spawn(async move {
            let request = Request::get("/certs/7").header("host", "certs");
            let request = request.body(Full::default()).unwrap();
            let response = timeout(Duration::from_secs(1), caller::call(address, request)).await;
            let served =
                matches!(response, Ok(Ok(response)) if response.status() == StatusCode::OK);
            (sent, served)
        }));
        sleep(CALL_INTERVAL).await;
    }
    let calls = futures_util::future::join_all(calls).await;
    calls.into_iter().map(Result::unwrap).collect()
}

/// Returns the time from `start` until the first window of which nine in ten calls are served, as are those
/// of all later ones.
fn recovery_time(calls: &[(Instant, bool)], start: Instant, end: Instant) -> Duration {
    let mut recovered = start;
    let mut from = start;
    while from < end {
        let window = calls
            .iter()
            .filter(|(sent, _)| *sent >= from && *sent < from + WINDOW);
        let (sent, served) = window.fold((0, 0), |(sent, served), (_, ok)| {
            (sent + 1, served + usize::from(*ok))
        });
        if 10 * served < 9 * sent {
            recovered = from + WINDOW;
        }
        from += WINDOW;
    }
    recovered - start
}

/// Guards against calls that are refused for seconds since the platform's entries are those of the processes
/// before, whose addresses other incarnations use.
#[test_case(1, 0..40; "all")]
#[test_case(2, 0..4; "tenth")]
#[test_case(3, 1..40; "all_but_one")]
#[tokio::test(flavor = "multi_thread")]
async fn restart_herd(network: u8, range: std::ops::Range<usize>) {
    let _running = RUNNING.lock().await;
    let mut herd = Herd::start(network, 40).await;
    herd.restart(range).await;
    let started = Instant::now();
    let end = started + Duration::from_secs(4);
    let callers = herd
        .vms
        .iter()
        .map(|vm| call_regularly(vm.daemon.outbound, end));
    let calls: Vec<_> = futures_util::future::join_all(callers)
        .await
        .into_iter()
        .flatten()
        .collect();
    let time = recovery_time(&calls, started, end);
    let served = calls.iter().filter(|(_, served)| *served).count();
    println!(
        "recovered after {time:?}; served {served} of {}",
        calls.len()
    );
    assert!(time < MAX_RECOVERY, "{time:?}");
}
