//! The response to a caller when one attempt may have run and another did not.

use http::Request;
use http_body_util::Full;
use serde_json::Value;
use standin::backend::{Behaviour, Fault};
use standin::bench::soak::fleet::{FaultyFleet, submit};
use standin::bench::soak::operators::declaration;
use standin::caller;
use standin::fleet::Launcher;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);
const SITE: (&str, &str) = ("fi-south", "espoo");

/// One upstream loses its responses after the run, the other's backend server is unreachable. A
/// call that ran at the first must not be reported as not run because of the second.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_after_run() {
    let launcher = Launcher::new(env!("CARGO_BIN_EXE_baobabd"));
    let mut fleet = FaultyFleet::start(launcher).await.unwrap();
    let losing = Behaviour {
        fault: Fault::Lost,
        ..Behaviour::default()
    };
    fleet.add("certs-0", "certs", SITE, losing).await.unwrap();
    let behaviour = Behaviour::default();
    fleet
        .add("certs-1", "certs", SITE, behaviour)
        .await
        .unwrap();
    let daemon = fleet.vms[0].daemon.as_ref().unwrap();
    let change = declaration(&[("certs", 12, 120)]);
    let reply = submit(daemon.operator, &change).await.unwrap();
    assert_eq!(reply["outcome"], "accepted");
    for (_, daemon) in fleet.running() {
        let ready =
            |state: &Value| state["config"]["version"] == 1 && state["members"]["count"] == 2;
        daemon.wait_state("start", TIMEOUT, ready).await.unwrap();
    }
    fleet.vms[1].backend.stop();

    let mut ran = 0;
    for number in 0..30 {
        let id = format!("call-{number}");
        let request = Request::get("/certs/lookup").header("x-request-id", &id);
        let request = request.header("host", "certs").body(Full::default());
        let response = caller::call(daemon.outbound, request.unwrap()).await;
        let response = response.unwrap();
        let runs = fleet.run_log.runs(&id);
        ran += runs;
        if response.headers()["x-baobab-outcome"] == "not-run" {
            assert_eq!(runs, 0, "{id}: {response:?}");
        }
    }
    assert!(ran > 0, "no call ran");
}
