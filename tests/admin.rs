//! The admin endpoints and the operator token, with a daemon inside the test process.

use baobabstage::daemon::{Daemon, Phase};
use baobabstage::kernel;
use baobabstage::settings::{Flags, Settings, TOKEN_VARIABLE};
use http::{Request, StatusCode, header};
use http_body_util::Full;
use standin::caller;
use standin::platform::{Faults, Limits, Platform};
use standin::testbed::{LOOPBACK, TIMEOUT};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use test_case::test_case;

fn start(platform: &Platform, extra: &[(&str, &str)]) -> Arc<Daemon> {
    let address = platform.address().to_string();
    let defaults = [
        ("BAOBAB_NAME", "certs-0"),
        ("BAOBAB_DOMAIN", "espoo"),
        ("BAOBAB_REGION", "fi-south"),
        ("BAOBAB_PLATFORM", &address),
    ];
    let variables = defaults.iter().chain(extra);
    let variables: BTreeMap<String, String> = variables
        .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
        .collect();
    let settings = Settings::new(&Flags::default(), &variables).unwrap();
    let daemon = Daemon::new(settings).unwrap();
    tokio::spawn(kernel::run(Arc::clone(&daemon)));
    daemon
}

async fn page(daemon: &Daemon, path: &str) -> (StatusCode, String) {
    let response = caller::get(daemon.addresses().admin, path).await.unwrap();
    let text = String::from_utf8(response.body().to_vec()).unwrap();
    (response.status(), text)
}

async fn wait_ready(daemon: &Daemon, status: StatusCode) {
    let reached = async {
        while page(daemon, "/readyz").await.0 != status {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, reached).await.unwrap();
}

#[test_case("direct"; "direct")]
#[test_case("tree"; "tree")]
#[tokio::test(flavor = "multi_thread")]
async fn readyz_phases(mode: &str) {
    let platform = Platform::start(LOOPBACK, Limits::default()).await.unwrap();
    platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let daemon = start(&platform, &[("BAOBAB_DISTRIBUTION", mode)]);
    assert_eq!(page(&daemon, "/healthz").await.0, StatusCode::OK);
    let (status, text) = page(&daemon, "/readyz").await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{text}");
    platform.set_faults(Faults::default());
    wait_ready(&daemon, StatusCode::OK).await;
    daemon.drain.advance(Phase::Draining);
    wait_ready(&daemon, StatusCode::SERVICE_UNAVAILABLE).await;
    assert_eq!(page(&daemon, "/healthz").await.0, StatusCode::OK);
    daemon.drain.advance(Phase::Stopped);
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_and_state() {
    let platform = Platform::start(LOOPBACK, Limits::default()).await.unwrap();
    let daemon = start(&platform, &[]);
    wait_ready(&daemon, StatusCode::OK).await;
    let (status, text) = page(&daemon, "/metrics").await;
    assert_eq!(status, StatusCode::OK);
    let names = [
        "baobab_config_version 0\n",
        "baobab_config_floor_version 0\n",
        "baobab_ready 1\n",
        "baobab_calls_in_flight 0\n",
        "baobab_uptime_seconds ",
        "# TYPE baobab_members gauge\n",
        "# TYPE baobab_role_restarts counter\n",
        "baobab_log_events_total{number=\"101\"} ",
    ];
    for name in names {
        assert!(text.contains(name), "{name}: {text}");
    }
    let (_, text) = page(&daemon, "/state").await;
    let state: serde_json::Value = serde_json::from_str(&text).unwrap();
    let roles = [
        "admin", "config", "inbound", "members", "mesh", "operator", "outbound",
    ];
    for role in roles {
        assert!(state[role].is_object(), "{role}: {text}");
    }
    assert_eq!(page(&daemon, "/other").await.0, StatusCode::NOT_FOUND);
    daemon.drain.advance(Phase::Stopped);
}

#[test_case(None, 401; "none")]
#[test_case(Some("Bearer secre"), 401; "shorter")]
#[test_case(Some("Bearer secret2"), 401; "longer")]
#[test_case(Some("Bearer Secret"), 401; "other_case")]
#[test_case(Some("Basic secret"), 401; "other_scheme")]
#[test_case(Some("Bearer "), 401; "empty")]
#[test_case(Some("Bearer secret"), 200; "right")]
#[tokio::test(flavor = "multi_thread")]
async fn operator_token(authorization: Option<&str>, status: u16) {
    let platform = Platform::start(LOOPBACK, Limits::default()).await.unwrap();
    let daemon = start(&platform, &[(TOKEN_VARIABLE, "secret")]);
    let mut request = Request::get("/v1/version");
    if let Some(authorization) = authorization {
        request = request.header(header::AUTHORIZATION, authorization);
    }
    let request = request.body(Full::default()).unwrap();
    let response = caller::call(daemon.addresses().operator, request).await;
    let response = response.unwrap();
    assert_eq!(response.status().as_u16(), status);
    let challenged = response.headers().contains_key(header::WWW_AUTHENTICATE);
    assert_eq!(challenged, status == 401);
    daemon.drain.advance(Phase::Stopped);
}
