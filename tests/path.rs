//! End to end: a change is accepted and applied by each daemon, and calls are routed by it.

use http::{Method, Request};
use http_body_util::Full;
use serde_json::Value;
use standin::backend::{Backend, Behaviour, RunLog};
use standin::caller;
use standin::fleet::{Launcher, Process};
use standin::platform::{Limits, Platform};
use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;
use test_case::test_case;

const TIMEOUT: Duration = Duration::from_secs(20);

const CHANGE: &str = r#"
id = "add-certs"
title = "Certificate lookups"

[[put]]
kind = "policy"
name = "records"
spec = { kinds = { lookup = 10, issue = 100 } }

[[put]]
kind = "pool"
name = "certs"
spec = { slots = 12, connections = 120 }

[[put]]
kind = "service"
name = "certs"
spec = { pool = "certs", policy = "records" }

[[put]]
kind = "route"
name = "lookup"
spec = { prefix = "/certs", service = "certs", request_kind = "lookup", idempotent = true }
"#;

/// Returns a loopback address with a port that the system chooses.
fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn start_daemon(platform: &Platform, mode: &str, name: &str, backend: &Backend) -> Process {
    let flags = [
        format!("--name={name}"),
        "--domain=espoo".into(),
        "--region=fi-south".into(),
        "--service=certs".into(),
        format!("--backend={}", backend.address()),
        format!("--platform={}", platform.address()),
        format!("--distribution={mode}"),
    ];
    let flags: Vec<String> = flags
        .iter()
        .filter_map(|flag| flag.split_once('='))
        .flat_map(|(flag, value)| [flag.to_owned(), value.to_owned()])
        .collect();
    let launcher = Launcher::new(env!("CARGO_BIN_EXE_baobabd"));
    launcher.start(&flags).await.unwrap()
}

async fn baobabctl(daemon: &Process, arguments: &[&str]) -> (Option<i32>, Value) {
    let output = tokio::process::Command::new(env!("CARGO_BIN_EXE_baobabctl"))
        .env("BAOBAB_DAEMONS", daemon.operator.to_string())
        .env("BAOBAB_OUTPUT", "json")
        .args(arguments)
        .output()
        .await
        .unwrap();
    let body = serde_json::from_slice(&output.stdout).unwrap_or_default();
    (output.status.code(), body)
}

#[test_case("direct"; "direct")]
#[test_case("tree"; "tree")]
#[tokio::test(flavor = "multi_thread")]
async fn change_to_call(mode: &str) {
    let platform = Platform::start(any_port(), Limits::default())
        .await
        .unwrap();
    let run_log = RunLog::default();
    let mut daemons = Vec::new();
    for name in ["certs-0", "certs-1", "certs-2"] {
        let behaviour = Behaviour::default();
        let backend = Backend::start(name, any_port(), behaviour, run_log.clone());
        let backend = backend.await.unwrap();
        daemons.push(start_daemon(&platform, mode, name, &backend).await);
    }
    for daemon in &daemons {
        let has_members = |state: &Value| state["members"]["count"] == 3;
        let state = daemon.wait_state("three members", TIMEOUT, has_members);
        state.await.unwrap();
    }

    let mut file = tempfile();
    file.1.write_all(CHANGE.as_bytes()).unwrap();
    let (code, body) = baobabctl(&daemons[0], &["apply", &file.0]).await;
    assert_eq!(code, Some(0), "{body}");
    let (code, body) = baobabctl(&daemons[1], &["wait", "add-certs"]).await;
    assert_eq!((code, &body["in_force"]), (Some(0), &3.into()), "{body}");

    for index in 0..30 {
        let id = format!("call-{index}");
        let request = Request::builder()
            .method(Method::POST)
            .uri("/certs/7")
            .header("x-request-id", &id)
            .body(Full::from("0123456789"))
            .unwrap();
        let daemon = &daemons[index % 3];
        let response = caller::call(daemon.outbound, request).await.unwrap();
        let text = String::from_utf8_lossy(response.body()).into_owned();
        assert!(text.ends_with(&format!(" {id} 10\n")), "{text}");
        assert_eq!(run_log.runs(&id), 1);
    }
    let response = caller::get(daemons[0].outbound, "/elsewhere")
        .await
        .unwrap();
    assert_eq!(response.status(), 404);
    assert_eq!(response.headers()["x-baobab-outcome"], "not-run");
}

fn tempfile() -> (String, std::fs::File) {
    let name = format!(
        "baobabstage-{}-{:x}.toml",
        std::process::id(),
        rand::random::<u64>()
    );
    let path = std::env::temp_dir().join(name);
    let file = std::fs::File::create(&path).unwrap();
    (path.to_string_lossy().into_owned(), file)
}
