//! Runs the main job on embedded stand-ins: a change is applied, waited for and used by calls.

use anyhow::{Context as _, ensure};
use http::{Method, Request};
use http_body_util::Full;
use serde_json::Value;
use standin::backend::{Backend, Behaviour, Ledger};
use standin::caller;
use standin::fleet::{self, Launcher, Process};
use standin::platform::{Limits, Platform};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const TIMEOUT: Duration = Duration::from_secs(15);
const CALLS: usize = 200;

const CHANGE: &str = r#"{
    "id": "demo-1",
    "title": "Certificate lookups",
    "put": [
        {"kind": "policy", "name": "records", "spec": {"kinds": {"lookup": 10, "issue": 100}}},
        {"kind": "pool", "name": "certs", "spec": {"slots": 12, "connections": 120}},
        {"kind": "service", "name": "certs", "spec": {"pool": "certs", "policy": "records"}},
        {"kind": "route", "name": "lookup", "spec": {
            "prefix": "/certs", "service": "certs", "request_kind": "lookup", "idempotent": true}}
    ]
}"#;

fn main() -> ExitCode {
    if let Some(exit) = fleet::run_as_daemon() {
        return exit;
    }
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("demo: {err:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run() -> anyhow::Result<()> {
    let platform = Platform::start(ANY, Limits::default()).await?;
    let ledger = Ledger::default();
    let launcher = Launcher::itself()?;
    let mut daemons: Vec<Process> = Vec::new();
    let mut backends = Vec::new();
    for index in 0..6 {
        let name = format!("certs-{index}");
        let backend = Backend::start(&name, ANY, Behaviour::default(), ledger.clone()).await?;
        let domain = if index < 3 { "espoo" } else { "vantaa" };
        let flags = [
            ("--name", name),
            ("--domain", domain.into()),
            ("--region", "fi-south".into()),
            ("--service", "certs".into()),
            ("--backend", backend.address().to_string()),
            ("--platform", platform.address().to_string()),
        ];
        let flags: Vec<String> = flags
            .into_iter()
            .flat_map(|(flag, value)| [flag.to_owned(), value])
            .collect();
        daemons.push(launcher.start(&flags).await?);
        backends.push(backend);
    }
    for daemon in &daemons {
        let knows_all = |state: &Value| state["members"]["count"] == 6;
        daemon.wait_state("six members", TIMEOUT, knows_all).await?;
    }
    let started = std::time::Instant::now();
    let request = Request::builder()
        .method(Method::POST)
        .uri("/v1/changes")
        .body(Full::from(CHANGE))?;
    let answer = caller::call(daemons[0].operator, request).await?;
    ensure!(answer.status().is_success(), "apply: {:?}", answer.body());
    let answer = caller::get(daemons[5].operator, "/v1/changes/demo-1?wait_ms=10000").await?;
    let status: Value = serde_json::from_slice(answer.body())?;
    ensure!(status["in_force"] == 6, "not in force everywhere: {status}");
    println!("change in force on 6 daemons after {:?}", started.elapsed());
    for index in 0..CALLS {
        let daemon = &daemons[index % daemons.len()];
        let answer = caller::get(daemon.outbound, "/certs/1")
            .await
            .context("call")?;
        ensure!(answer.status().is_success(), "call: {answer:?}");
    }
    println!("{CALLS} calls answered");
    Ok(())
}
