//! A request that ends each backend server that runs it, and comes again at any daemon.

#[path = "support/repeated.rs"]
mod repeated;

use http::{Request, StatusCode};
use http_body_util::Full;
use repeated::{
    CRASHING, HARMLESS, KNOWN_AFTER, RESTART_TIME, Repeated, assert_quarantined, assert_served,
    start, third_crash,
};
use standin::backend::Supervisor;
use standin::bench::calls::mesh::Mesh;
use standin::caller;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Returns the outbound addresses of all daemons.
fn addresses(mesh: &Mesh) -> Vec<SocketAddr> {
    let daemons = mesh.daemons.iter().chain(&mesh.entries);
    daemons.map(|daemon| daemon.outbound).collect()
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
    assert_quarantined(CRASHING, &mesh);
    let third = third_crash(&CRASHING.runs(&mesh)).unwrap();
    assert_served(&harmless, third + KNOWN_AFTER, 95);
}

/// Two requests that end backend servers, one of them with a body and not idempotent, at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn crash_two_requests() {
    let (mesh, _supervisors) = start(4).await;
    let other = Repeated {
        method: "POST",
        path: "/certs/issue/crash",
        body: "serial",
        id: "issue-",
    };
    let time = Duration::from_secs(10);
    let requests = [CRASHING, other].map(|request| (request, addresses(&mesh)));
    let calls = requests.map(|(request, addresses)| request.repeat(&addresses, 20, time));
    for calls in calls {
        calls.await.unwrap();
    }
    for request in [CRASHING, other] {
        assert_quarantined(request, &mesh);
    }
}

/// Guards against one call that ends one backend server after another by its retries.
#[tokio::test(flavor = "multi_thread")]
async fn crash_single_call() {
    let (mesh, _supervisors) = start(4).await;
    let address = mesh.entries[0].outbound;
    let response = CRASHING.send(address, 0).await.unwrap();
    // It has run, so the response must not state otherwise.
    assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
    let runs = CRASHING.runs(&mesh);
    assert!(runs.len() <= 2, "{}", runs.len());
    // The next copy is refused at once, as not run, with the time when to come back.
    let response = CRASHING.send(mesh.entries[1].outbound, 1).await.unwrap();
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.headers()["x-baobab-outcome"], "not-run");
    assert!(response.headers().contains_key("retry-after"));
    assert_eq!(mesh.run_log.runs("crashing-1"), 0);
}

/// Guards against daemons that forget a crashing request when they restart, one after another.
#[tokio::test(flavor = "multi_thread")]
async fn crash_daemons_restarted() {
    let (mut mesh, _supervisors) = start(4).await;
    let entries: Vec<_> = mesh.entries.iter().map(|entry| entry.outbound).collect();
    CRASHING
        .repeat(&entries, 40, Duration::from_secs(3))
        .await
        .unwrap();
    let crashing = CRASHING.repeat(&entries, 40, Duration::from_secs(12));
    for index in 0..mesh.daemons.len() {
        mesh.restart(index).await.unwrap();
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
    crashing.await.unwrap();
    assert_quarantined(CRASHING, &mesh);
}

/// A popular harmless request is in progress at all backend servers when they end, three times in a row, and is
/// still served each time they are back.
#[tokio::test(flavor = "multi_thread")]
async fn crash_waves_popular_request() {
    let (mesh, supervisors) = start(4).await;
    let time = Duration::from_secs(13);
    let started = Instant::now();
    let harmless = HARMLESS.repeat(&addresses(&mesh), 80, time);
    let mut back = Vec::new();
    for wave in 1..=3 {
        tokio::time::sleep_until(started + Duration::from_secs(4 * wave - 2)).await;
        supervisors.iter().for_each(Supervisor::stop);
        back.push(Instant::now() + RESTART_TIME + Duration::from_secs(1));
    }
    let calls = harmless.await.unwrap();
    for from in back {
        // The next wave cuts off the calls that are in progress then.
        let until = from + Duration::from_millis(1_800);
        let wave: Vec<_> = calls
            .iter()
            .filter(|(sent, _)| *sent < until)
            .copied()
            .collect();
        assert_served(&wave, from, 98);
    }
}

/// Guards against a crashing request that is forgotten when all daemons of its service end at once.
#[tokio::test(flavor = "multi_thread")]
async fn crash_all_daemons_killed() {
    let (mut mesh, _supervisors) = start(4).await;
    let entries: Vec<_> = mesh.entries.iter().map(|entry| entry.outbound).collect();
    let storm = CRASHING.repeat(&entries, 40, Duration::from_secs(4));
    storm.await.unwrap();
    mesh.restart_all().await.unwrap();
    let storm = CRASHING.repeat(&entries, 40, Duration::from_secs(8));
    storm.await.unwrap();
    assert_quarantined(CRASHING, &mesh);
}

/// An operator lets a held request run again, by any daemon of the service.
#[tokio::test(flavor = "multi_thread")]
async fn crash_released_by_operator() {
    let (mesh, _supervisors) = start(4).await;
    let address = mesh.entries[0].outbound;
    for number in 0..2 {
        CRASHING.send(address, number).await.unwrap();
    }
    let operator = mesh.daemons[0].operator;
    let response = caller::get(operator, "/v1/quarantine").await.unwrap();
    let suspects: serde_json::Value = serde_json::from_slice(response.body()).unwrap();
    let hash = suspects[0]["request"].as_str().unwrap().to_owned();
    assert_eq!(suspects[0]["path"], CRASHING.path);
    assert_eq!(suspects[0]["held"], true);
    let release = || {
        let request = Request::delete(format!("/v1/quarantine/{hash}")).header("host", "operator");
        caller::call(operator, request.body(Full::default()).unwrap())
    };
    assert_eq!(release().await.unwrap().status(), StatusCode::OK);
    assert_eq!(release().await.unwrap().status(), StatusCode::NOT_FOUND);
    let before = CRASHING.runs(&mesh).len();
    // Until the report has reached the other daemons.
    tokio::time::sleep(Duration::from_millis(500)).await;
    CRASHING.send(address, 9).await.unwrap();
    assert!(CRASHING.runs(&mesh).len() > before);
}

/// Guards against a harmless request that is refused for minutes, since its first runs were in progress at all
/// backend servers when these ended at once.
#[tokio::test(flavor = "multi_thread")]
async fn crash_first_runs_of_popular_request() {
    let (mesh, supervisors) = start(4).await;
    let harmless = HARMLESS.repeat(&addresses(&mesh), 200, Duration::from_secs(12));
    tokio::time::sleep(Duration::from_millis(30)).await;
    supervisors.iter().for_each(Supervisor::stop);
    // The backend servers are back, and the request can have been tried by several daemons.
    let again = Instant::now() + Duration::from_secs(8);
    assert_served(&harmless.await.unwrap(), again, 95);
}
