//! A graceful shutdown interrupts no call, and every call gets a response.

#[path = "support/site.rs"]
mod site;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use serde_json::Value;
use site::{TestSite, policy, route, service};
use standin::backend::{Behaviour, pattern};
use standin::bench::calls::mesh::Mesh;
use standin::bench::calls::profile::Profile;
use standin::caller::{self, Pool};
use standin::fleet::Launcher;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const TIMEOUT: Duration = Duration::from_secs(20);

async fn start(upstreams: usize, behaviour: Behaviour) -> Mesh {
    let mut profile = Profile::by_name("certs").unwrap();
    profile.upstreams = upstreams;
    profile.domains = ["espoo"; 3];
    let launcher = Launcher::new(env!("CARGO_BIN_EXE_baobabd"));
    Mesh::start(launcher, &profile, behaviour).await.unwrap()
}

fn request(path: &str, id: &str) -> Request<Full<Bytes>> {
    Request::builder()
        .method("POST")
        .uri(path)
        .header("host", "certs")
        .header("x-request-id", id)
        .body(Full::from("serial"))
        .unwrap()
}

async fn call(address: SocketAddr, id: String) -> anyhow::Result<Response<Bytes>> {
    caller::call(address, request("/certs/issue", &id)).await
}

/// A long response that has started before the shutdown arrives complete.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_long_response() {
    let behaviour = Behaviour {
        chunk_delay: Duration::from_millis(40),
        ..Behaviour::default()
    };
    let mut mesh = start(1, behaviour).await;
    let address = mesh.entries[0].outbound;
    let len = 500_000;
    let path = format!("/certs/issue/bytes/{len}");
    let long = tokio::spawn(async move { caller::call(address, request(&path, "long")).await });
    let running = |state: &Value| state["inbound"]["running"] == 1;
    let state = mesh.daemons[0].wait_state("call runs", TIMEOUT, running);
    state.await.unwrap();
    mesh.daemons[0].signal("TERM").await.unwrap();
    mesh.entries[0].signal("TERM").await.unwrap();
    let response = long.await.unwrap().unwrap();
    assert_eq!(response.body(), &pattern(len));
    assert_eq!(mesh.daemons[0].wait().await.unwrap(), Some(0));
    assert_eq!(mesh.entries[0].wait().await.unwrap(), Some(0));
}

/// Calls made while a daemon shuts down all get complete responses from the others.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_under_load() {
    let behaviour = Behaviour {
        work: Duration::from_millis(5),
        ..Behaviour::default()
    };
    let mut mesh = start(3, behaviour).await;
    let address = mesh.entries[0].outbound;
    let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let callers: Vec<_> = (0..8)
        .map(|caller| {
            let stop = Arc::clone(&stop);
            tokio::spawn(async move {
                let mut number = 0;
                while !stop.load(std::sync::atomic::Ordering::Relaxed) {
                    let id = format!("call-{caller}-{number}");
                    let response = call(address, id.clone()).await.unwrap();
                    let end = format!(" {id} 6\n");
                    assert!(response.body().ends_with(end.as_bytes()), "{response:?}");
                    number += 1;
                }
            })
        })
        .collect();
    let daemon = &mut mesh.daemons[0];
    daemon.signal("TERM").await.unwrap();
    let signalled = Instant::now();
    assert_eq!(daemon.wait().await.unwrap(), Some(0));
    stop.store(true, std::sync::atomic::Ordering::Relaxed);
    for caller in callers {
        caller.await.unwrap();
    }
    let late = signalled + Duration::from_secs(3);
    assert_eq!(mesh.run_log.started_after("certs-0", late), 0);
}

/// An idle keep-alive connection does not hold up the shutdown.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_keep_alive() {
    let mut mesh = start(1, Behaviour::default()).await;
    let pool = Pool::new(mesh.entries[0].outbound);
    let response = pool.call(request("/certs/issue", "call-1")).await.unwrap();
    assert!(response.status().is_success());
    mesh.entries[0].signal("TERM").await.unwrap();
    assert_eq!(mesh.entries[0].wait().await.unwrap(), Some(0));
}

/// A call that is still queued when the process ends is refused as not run.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_queued_call() {
    let mut profile = Profile::by_name("certs").unwrap();
    profile.upstreams = 1;
    profile.slots = 1;
    profile.domains = ["espoo"; 3];
    let mut launcher = Launcher::new(env!("CARGO_BIN_EXE_baobabd"));
    launcher.arguments = vec!["--grace-ms".into(), "1800".into()];
    let behaviour = Behaviour {
        work: Duration::from_secs(8),
        ..Behaviour::default()
    };
    let mesh = Mesh::start(launcher, &profile, behaviour);
    let mut mesh = mesh.await.unwrap();
    let address = mesh.entries[0].outbound;
    let running_call = tokio::spawn(call(address, "runs".into()));
    let running = |state: &Value| state["inbound"]["running"] == 1;
    let state = mesh.daemons[0].wait_state("call runs", TIMEOUT, running);
    state.await.unwrap();
    let queued_call = tokio::spawn(call(address, "waits".into()));
    let queued = |state: &Value| state["inbound"]["queued"] == 1;
    let state = mesh.daemons[0].wait_state("call waits", TIMEOUT, queued);
    state.await.unwrap();
    mesh.entries[0].signal("TERM").await.unwrap();
    let response = queued_call.await.unwrap().unwrap();
    assert_eq!(response.status(), 503);
    assert_eq!(response.headers()["x-baobab-outcome"], "not-run");
    assert_eq!(mesh.run_log.runs("waits"), 0);
    assert_eq!(mesh.entries[0].wait().await.unwrap(), Some(0));
    // The running call is cut off at the end, and its outcome is unknown.
    let response = running_call.await.unwrap().unwrap();
    assert_eq!(response.status(), 502);
    assert_eq!(response.headers()["x-baobab-outcome"], "unknown");
}

/// Calls of very different durations arrive during a planned stop. None is passed on and then cut off, and those
/// that will not end in time are refused at once.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_late_calls() {
    const GRACE_MS: u64 = 4_000;
    let mut site = TestSite::start().await;
    site.add("other", &[("GRACE_MS", &GRACE_MS.to_string())])
        .await;
    site.add("certs", &[]).await;
    let mut resources = vec![policy(64), route("/certs", "certs", false)];
    resources.extend(service("certs", 200));
    resources.extend(service("other", 8));
    site.configure(&resources).await;
    site.wait_served("/certs/ready").await;
    let (address, start) = (site.vms[0].outbound(), Instant::now());
    let signal_at = Duration::from_millis(500);
    let calls = (0..25_u32).flat_map(|number| {
        [20, 1_200, 3_000].map(|work| {
            tokio::spawn(async move {
                let at = start + number * Duration::from_millis(100);
                tokio::time::sleep_until(at).await;
                let path = format!("/certs/{number}?{work}");
                let response = call_path(address, &path).await;
                (path, at - start, start.elapsed(), response)
            })
        })
    });
    let calls: Vec<_> = calls.collect();
    tokio::time::sleep_until(start + signal_at).await;
    let daemon = Arc::clone(&site.vms[0].daemon);
    let stopped = tokio::spawn(async move { daemon.shut_down().await });
    let mut served = 0;
    for call in calls {
        let (path, sent, ended, response) = call.await.unwrap();
        let received = site.vms[1].backend.received();
        if received.iter().any(|request| request.path == path) {
            assert_eq!(
                response,
                Some(200),
                "{path} sent at {sent:?}: cut off at {ended:?}"
            );
            served += 1;
        } else {
            let waited = ended.saturating_sub(sent);
            assert!(
                waited < Duration::from_millis(500),
                "{path} waited {waited:?}"
            );
        }
    }
    // Those before the signal at least.
    assert!(served >= 15, "{served} served");
    stopped.await.unwrap();
}

/// Returns the status of the response to a call; `None` without a complete response.
async fn call_path(address: SocketAddr, path: &str) -> Option<u16> {
    let request = Request::post(path).header("host", "certs");
    let response = caller::call(address, request.body(Full::default()).unwrap()).await;
    response.ok().map(|response| response.status().as_u16())
}

/// A backend server that reports a drain gets no new calls, and its daemon drains.
#[tokio::test(flavor = "multi_thread")]
async fn drain_by_backend() {
    let mesh = start(2, Behaviour::default()).await;
    let draining = Behaviour {
        draining: true,
        ..Behaviour::default()
    };
    mesh.backends[0].set(draining);
    let drained = |state: &Value| state["admin"]["phase"] == "draining";
    let state = mesh.daemons[0].wait_state("daemon drains", TIMEOUT, drained);
    state.await.unwrap();
    let since = Instant::now();
    for number in 0..30 {
        let response = call(mesh.entries[0].outbound, format!("call-{number}")).await;
        let response = response.unwrap();
        assert!(response.body().starts_with(b"certs-1 "), "{response:?}");
    }
    assert_eq!(mesh.run_log.started_after("certs-0", since), 0);
}

/// A closed standard output does not hold up the shutdown.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_closed_log() {
    let mut child = tokio::process::Command::new(env!("CARGO_BIN_EXE_baobabd"))
        .args(["--domain", "espoo", "--region", "fi-south"])
        .args(["--platform", "127.0.0.1:1"])
        .stdout(std::process::Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .unwrap();
    let stdout = child.stdout.take().unwrap();
    let mut lines = tokio::io::AsyncBufReadExt::lines(tokio::io::BufReader::new(stdout));
    while let Some(line) = lines.next_line().await.unwrap() {
        if line.contains("name=Started") || line.contains("Started") {
            break;
        }
    }
    drop(lines);
    let id = child.id().unwrap().to_string();
    let sent = tokio::process::Command::new("kill")
        .args(["-TERM", &id])
        .status();
    assert!(sent.await.unwrap().success());
    let ended = tokio::time::timeout(TIMEOUT, child.wait()).await;
    assert_eq!(ended.unwrap().unwrap().code(), Some(0));
}
