//! Measures the acceptance of changes: latency, platform calls and conflicts between operators.

use crate::caller;
use crate::fleet::Launcher;
use crate::platform::Calls;
use crate::testbed::Testbed;
use anyhow::{Context as _, ensure};
use hdrhistogram::Histogram;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Options of a run, set by the command line.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of concurrent operators, assigned to the daemons in turn.
    pub operators: usize,
    /// Number of changes that each operator sends, one at a time.
    pub changes: usize,
    /// Whether all operators change the same resource, conditional on the revision that they read.
    pub same: bool,
}

/// Numbers of changes by outcome, of one operator or of all.
#[derive(Default)]
struct Outcomes {
    accepted: usize,
    conflicts: usize,
    unavailable: usize,
    unknown: usize,
    /// Latencies of the accepted changes.
    latencies: Vec<Duration>,
}

/// Runs the measurement and prints the results.
///
/// # Errors
///
/// Fails when a daemon cannot be started, or a response has an unexpected status or body.
pub fn main(options: Options) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(run(options))
}

async fn run(options: Options) -> anyhow::Result<()> {
    let mut testbed = Testbed::new(Launcher::current_exe()?, "certs").await?;
    for index in 0..options.daemons {
        let domain = ["espoo", "vantaa", "lahti"][index % 3];
        testbed.add(&format!("certs-{index}"), domain, &[]).await?;
    }
    testbed.wait_ready(options.daemons).await?;
    let before = testbed.platform.calls();
    let started = Instant::now();
    let mut tasks = Vec::new();
    for operator in 0..options.operators {
        let address = testbed.vms[operator % testbed.vms.len()].daemon.operator;
        tasks.push(tokio::spawn(send_changes(address, operator, options)));
    }
    let mut all = Outcomes::default();
    for task in tasks {
        let outcomes = task.await??;
        all.accepted += outcomes.accepted;
        all.conflicts += outcomes.conflicts;
        all.unavailable += outcomes.unavailable;
        all.unknown += outcomes.unknown;
        all.latencies.extend(outcomes.latencies);
    }
    let elapsed = started.elapsed();
    print(options, &all, elapsed, before, testbed.platform.calls())
}

/// Sends the changes of one operator and counts their outcomes.
async fn send_changes(
    address: SocketAddr,
    operator: usize,
    options: Options,
) -> anyhow::Result<Outcomes> {
    let name = if options.same {
        "shared".to_owned()
    } else {
        format!("pool-{operator}")
    };
    let mut outcomes = Outcomes::default();
    for index in 0..options.changes {
        let based_on = revision(address, &name).await?;
        let change = json!({ "id": format!("o{operator}-c{index}"), "put": [{
            "kind": "pool", "name": name,
            "based_on": if options.same { Some(based_on) } else { None },
            "spec": { "slots": operator + 1, "connections": index + 1 } }] });
        let started = Instant::now();
        let request = Request::post("/v1/changes").body(Full::from(change.to_string()))?;
        let response = caller::call(address, request).await?;
        match response.status() {
            StatusCode::OK => {
                outcomes.accepted += 1;
                outcomes.latencies.push(started.elapsed());
            }
            StatusCode::CONFLICT => outcomes.conflicts += 1,
            StatusCode::SERVICE_UNAVAILABLE => outcomes.unavailable += 1,
            StatusCode::GATEWAY_TIMEOUT => outcomes.unknown += 1,
            other => anyhow::bail!("{other}: {:?}", response.body()),
        }
    }
    Ok(outcomes)
}

/// Returns the revision of a pool in force at a daemon, or zero if the pool does not exist.
async fn revision(address: SocketAddr, name: &str) -> anyhow::Result<u64> {
    let response = caller::get(address, &format!("/v1/resources/pool/{name}")).await?;
    if response.status() == StatusCode::NOT_FOUND {
        return Ok(0);
    }
    ensure!(
        response.status().is_success(),
        "read pool {name}: {}",
        response.status()
    );
    let body: Value = serde_json::from_slice(response.body())?;
    body["revision"].as_u64().context("no revision")
}

fn print(
    options: Options,
    all: &Outcomes,
    elapsed: Duration,
    before: Calls,
    after: Calls,
) -> anyhow::Result<()> {
    let mut histogram = Histogram::<u64>::new(3)?;
    for latency in &all.latencies {
        histogram.record(u64::try_from(latency.as_micros())?)?;
    }
    let ms = |quantile| {
        let micros = histogram.value_at_quantile(quantile);
        Duration::from_micros(micros).as_secs_f64() * 1_000.0
    };
    let sent = options.operators * options.changes;
    println!(
        "daemons {}, operators {}, changes sent {sent}",
        options.daemons, options.operators
    );
    println!(
        "accepted {}, conflicts {}, unavailable {}, unknown {}",
        all.accepted, all.conflicts, all.unavailable, all.unknown
    );
    println!("took {:.1} s", elapsed.as_secs_f64());
    println!(
        "latency of accepted changes, ms: p50 {:.1}, p99 {:.1}, max {:.1}",
        ms(0.5),
        ms(0.99),
        ms(1.0)
    );
    println!(
        "platform calls: {} gets, {} swaps, {} refused by the rate limits",
        after.gets - before.gets,
        after.swaps - before.swaps,
        after.refused - before.refused
    );
    Ok(())
}
