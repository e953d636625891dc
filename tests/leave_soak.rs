//! Callers that leave, and backend servers that write refusals twice, under random restarts and pauses of
//! daemons.
//!
//! `LEAVE_SOAK_SEED` sets the first seed and `LEAVE_SOAK_RUNS` the number of runs.

use http::Request;
use http_body_util::Full;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use standin::backend::{Behaviour, Fault, RunLog};
use standin::bench::calls::mesh::Mesh;
use standin::bench::calls::profile::Profile;
use standin::caller;
use standin::fleet::Launcher;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, interval, sleep, timeout};

/// Time for which calls are made.
const TIME: Duration = Duration::from_secs(12);

/// Time for which faults are injected. After it, callers go on leaving in calm.
const FAULT_TIME: Duration = Duration::from_secs(7);

/// Time after a caller has left in which its request may still reach a backend server, or run there.
const LATE: Duration = Duration::from_millis(500);

/// Time around a fault of a daemon in which its cancellations may be late.
const FAULT_SLACK: Duration = Duration::from_secs(1);

fn number(variable: &str, default: u64) -> u64 {
    let value = std::env::var(variable).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

async fn start(rng: &mut StdRng) -> Mesh {
    let mut profile = Profile::by_name("certs").unwrap();
    profile.upstreams = rng.random_range(2..6);
    // More than the backend servers run, so that these refuse calls themselves.
    profile.slots = 6;
    let behaviour = Behaviour {
        work: Duration::from_millis(50),
        // Long enough that a call which is not cancelled ends late.
        spread: Duration::from_millis(600),
        seed: rng.random(),
        slots: 4,
        queue: 1,
        fault: Fault::RefusalCopied,
        ..Behaviour::default()
    };
    let launcher = Launcher::new(env!("CARGO_BIN_EXE_baobabd"));
    Mesh::start(launcher, &profile, behaviour).await.unwrap()
}

/// Sends a request that its caller abandons after a random time; returns when that was.
async fn leave(address: SocketAddr, id: String, mut rng: StdRng) -> Option<(String, Instant)> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let head = format!("host: certs\r\nx-request-id: {id}\r\n");
    let get = format!("GET /certs/lookup HTTP/1.1\r\n{head}\r\n");
    let mut requests = match rng.random_range(0..4) {
        0 => get,
        1 => get.clone() + &get.replace(&id, &format!("{id}-next")),
        2 => {
            let body = "x".repeat(rng.random_range(1..100_000));
            format!("POST /certs/issue HTTP/1.1\r\n{head}content-length: 300000\r\n\r\n{body}")
        }
        _ => format!("POST /certs/issue HTTP/1.1\r\n{head}content-length: 6\r\n\r\nserial"),
    };
    if rng.random_bool(0.3) {
        // A further request whose head is not complete.
        requests.push_str("GET /certs/lookup HTTP/1.1\r\nhost: ce");
    }
    stream.write_all(requests.as_bytes()).await.ok()?;
    sleep(Duration::from_millis(rng.random_range(0..500))).await;
    if rng.random_bool(0.5) {
        stream.set_zero_linger().ok()?;
    }
    drop(stream);
    Some((id, Instant::now()))
}

/// Makes a call whose caller waits; returns its id, its status and whether it was told as not run.
async fn stay(address: SocketAddr, id: String) -> Option<(String, u16, bool)> {
    let request = Request::post("/certs/issue")
        .header("host", "certs")
        .header("x-request-id", &id)
        .body(Full::from("serial"))
        .unwrap();
    let call = timeout(Duration::from_secs(10), caller::call(address, request));
    let response = call.await.ok()?.ok()?;
    let outcome = response.headers().get("x-baobab-outcome");
    let not_run = outcome.is_some_and(|outcome| outcome == "not-run");
    let status = response.status().as_u16();
    if status == 200 {
        let end = format!(" {id} 6\n");
        assert!(response.body().ends_with(end.as_bytes()), "{response:?}");
    }
    Some((id, status, not_run || status == 503))
}

/// Starts calls at a rate for [`TIME`], each at the next of the addresses.
fn repeat<T: Send + 'static, F: Future<Output = T> + Send + 'static>(
    addresses: &[SocketAddr],
    rate: u32,
    call: impl Fn(SocketAddr, usize) -> F + Send + 'static,
) -> JoinHandle<Vec<T>> {
    let addresses = addresses.to_vec();
    tokio::spawn(async move {
        let end = Instant::now() + TIME;
        let mut ticks = interval(Duration::from_secs(1) / rate);
        let mut calls = Vec::new();
        for (number, address) in addresses.iter().cycle().enumerate() {
            ticks.tick().await;
            if Instant::now() >= end {
                break;
            }
            calls.push(tokio::spawn(call(*address, number)));
        }
        let mut results = Vec::new();
        for call in calls {
            results.push(call.await.unwrap());
        }
        results
    })
}

/// Injects faults until the time has passed, and returns when each began and ended.
async fn inject(mesh: &mut Mesh, rng: &mut StdRng) -> Vec<(Instant, Instant)> {
    let end = Instant::now() + FAULT_TIME;
    let mut faults = Vec::new();
    while Instant::now() < end {
        sleep(Duration::from_millis(rng.random_range(300..3_000))).await;
        if Instant::now() >= end {
            break;
        }
        let (begin, index) = (Instant::now(), rng.random_range(0..mesh.daemons.len()));
        if rng.random_bool(0.5) {
            mesh.restart(index).await.unwrap();
        } else {
            let daemons = [&mesh.daemons[index], &mesh.entries[0]];
            let daemon = daemons[usize::from(rng.random_bool(0.3))];
            daemon.signal("STOP").await.unwrap();
            sleep(Duration::from_millis(rng.random_range(100..1_500))).await;
            daemon.signal("CONT").await.unwrap();
        }
        faults.push((begin, Instant::now()));
    }
    faults
}

/// Asserts that no request of a caller that left ran late; those that left around a fault are not checked.
fn assert_nothing_late(
    run_log: &RunLog,
    left: &[(String, Instant)],
    faults: &[(Instant, Instant)],
) {
    let mut checked = 0;
    for (id, at) in left {
        let is_near = |(begin, end): &(Instant, Instant)| {
            *at + LATE + FAULT_SLACK > *begin && *at < *end + FAULT_SLACK
        };
        if faults.iter().any(is_near) {
            continue;
        }
        checked += 1;
        for run in [id.clone(), format!("{id}-next")]
            .iter()
            .flat_map(|id| run_log.history(id))
        {
            let ended = run
                .ended
                .map(|(ended, _)| ended.saturating_duration_since(*at));
            assert!(
                run.started < *at + LATE,
                "{id} started {:?} late",
                run.started - *at
            );
            assert!(
                ended.is_some_and(|late| late < LATE),
                "{id} ended {ended:?} late"
            );
        }
    }
    assert!(checked > 20, "only {checked} callers left in calm");
}

async fn run(seed: u64) {
    println!("seed {seed}");
    let mut rng = StdRng::seed_from_u64(seed);
    let mut mesh = start(&mut rng).await;
    let entries: Vec<_> = mesh.entries.iter().map(|entry| entry.outbound).collect();
    let leavers = repeat(
        &entries,
        rng.random_range(20..80),
        move |address, number| {
            let rng = StdRng::seed_from_u64(seed << 20 | number as u64);
            leave(address, format!("left-{number}"), rng)
        },
    );
    let stayers = repeat(&entries, rng.random_range(5..12), |address, number| {
        stay(address, format!("stays-{number}"))
    });
    let faults = inject(&mut mesh, &mut rng).await;
    let left: Vec<_> = leavers.await.unwrap().into_iter().flatten().collect();
    let answered: Vec<_> = stayers.await.unwrap().into_iter().flatten().collect();
    sleep(Duration::from_secs(2)).await;
    let refused: u32 = mesh
        .backends
        .iter()
        .map(standin::backend::Backend::shed)
        .sum();
    for (id, status, not_run) in &answered {
        let runs = mesh.run_log.runs(id);
        assert!(runs <= 1, "{id} ran {runs} times");
        assert!(
            !(*not_run && runs > 0),
            "{id} was refused with {status}, but ran"
        );
    }
    assert_nothing_late(&mesh.run_log, &left, &faults);
    let served = answered
        .iter()
        .filter(|(_, status, _)| *status == 200)
        .count();
    println!(
        "  {} left, {served} of {} served, {refused} refused by backend servers",
        left.len(),
        answered.len()
    );
    assert!(
        served * 4 > answered.len(),
        "{served} of {}",
        answered.len()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn leave_random_faults() {
    let first = number("LEAVE_SOAK_SEED", 1);
    for seed in first..first + number("LEAVE_SOAK_RUNS", 1) {
        run(seed).await;
    }
}
