//! The inbound side while its backend server is unreachable, and after its return.

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use standin::backend::{Backend, Behaviour};
use standin::bench::calls::mesh::Mesh;
use standin::bench::calls::profile::Profile;
use standin::caller;
use standin::fleet::Launcher;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time within which calls to a backend server that is back must succeed again.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

async fn call(mesh: &Mesh, id: &str) -> Response<Bytes> {
    let request = Request::get("/certs/lookup")
        .header("host", "certs")
        .header("x-request-id", id)
        .body(Full::default())
        .unwrap();
    caller::call(mesh.entries[0].outbound, request)
        .await
        .unwrap()
}

/// A backend server that refused connections gets calls again once it is back, without a restart of
/// its daemon.
#[tokio::test(flavor = "multi_thread")]
async fn check_backend_back() {
    let mut profile = Profile::by_name("certs").unwrap();
    profile.upstreams = 1;
    profile.domains = ["espoo"; 3];
    let launcher = Launcher::new(env!("CARGO_BIN_EXE_baobabd"));
    let mut mesh = Mesh::start(launcher, &profile, Behaviour::default())
        .await
        .unwrap();
    assert_eq!(call(&mesh, "before").await.status(), StatusCode::OK);
    let old = mesh.backends.remove(0);
    let (name, address) = (old.name.clone(), old.address());
    old.stop();
    sleep(Duration::from_millis(100)).await;
    for n in 0..3 {
        let response = call(&mesh, &format!("stopped-{n}")).await;
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    }
    let _new = Backend::start(&name, address, Behaviour::default(), mesh.run_log.clone())
        .await
        .unwrap();
    let deadline = Instant::now() + RECOVERY_TIME;
    let mut number = 0;
    while call(&mesh, &format!("back-{number}")).await.status() != StatusCode::OK {
        assert!(Instant::now() < deadline, "no call succeeded in time");
        number += 1;
        sleep(Duration::from_millis(100)).await;
    }
}
