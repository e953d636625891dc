//! Requests that end backend servers, under random restarts and pauses of daemons and random ends of backend
//! servers.
//!
//! `CRASH_SOAK_SEED` sets the first seed and `CRASH_SOAK_RUNS` the number of runs.

#[path = "support/repeated.rs"]
mod repeated;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use repeated::{CRASHING, HARMLESS, Repeated, assert_quarantined, assert_served, start};
use standin::backend::Supervisor;
use standin::bench::calls::mesh::Mesh;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time for which faults are injected.
const TIME: Duration = Duration::from_secs(14);

/// Time after the faults until all backend servers are back and take calls.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Requests that end backend servers; a run has one to three of them.
const REQUESTS: [Repeated; 3] = [
    CRASHING,
    Repeated {
        method: "POST",
        path: "/certs/issue/crash",
        body: "serial",
        id: "issue-",
    },
    Repeated {
        method: "GET",
        path: "/certs/lookup/other/crash",
        body: "",
        id: "other-",
    },
];

fn number(variable: &str, default: u64) -> u64 {
    let value = std::env::var(variable).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Injects faults until the time has passed.
async fn inject(mesh: &mut Mesh, supervisors: &[Supervisor], rng: &mut StdRng) {
    let end = Instant::now() + TIME;
    while Instant::now() < end {
        sleep(Duration::from_millis(rng.random_range(300..2_500))).await;
        let index = rng.random_range(0..supervisors.len());
        match rng.random_range(0..4) {
            0 => mesh.restart(index).await.unwrap(),
            1 => {
                let daemon = &mesh.daemons[index];
                daemon.signal("STOP").await.unwrap();
                sleep(Duration::from_millis(rng.random_range(200..3_000))).await;
                daemon.signal("CONT").await.unwrap();
            }
            2 => supervisors[index].stop(),
            _ => supervisors.iter().for_each(Supervisor::stop),
        }
    }
}

async fn run(seed: u64) {
    println!("seed {seed}");
    let mut rng = StdRng::seed_from_u64(seed);
    let (mut mesh, supervisors) = start(rng.random_range(3..6)).await;
    let requests = &REQUESTS[..rng.random_range(1..=REQUESTS.len())];
    // Daemons without a backend server are not restarted.
    let entries: Vec<_> = mesh.entries.iter().map(|entry| entry.outbound).collect();
    let harmless = HARMLESS.repeat(&entries, 40, TIME);
    let mut calls = Vec::new();
    for request in requests {
        calls.push(request.repeat(&entries, rng.random_range(2..40), TIME));
    }
    inject(&mut mesh, &supervisors, &mut rng).await;
    for calls in calls {
        calls.await.unwrap();
    }
    for request in requests {
        assert_quarantined(*request, &mesh);
    }
    harmless.await.unwrap();
    // Harmless requests are served again once the last faults are over.
    sleep(SETTLE_TIME).await;
    let settled = Instant::now();
    let harmless = HARMLESS.repeat(&entries, 40, Duration::from_secs(2));
    assert_served(&harmless.await.unwrap(), settled, 95);
}

#[tokio::test(flavor = "multi_thread")]
async fn crash_random_faults() {
    let first = number("CRASH_SOAK_SEED", 1);
    for seed in first..first + number("CRASH_SOAK_RUNS", 1) {
        run(seed).await;
    }
}
