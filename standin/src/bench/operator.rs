//! Measures the acceptance of changes: time, platform calls, and operators who race each other.

use crate::caller;
use crate::fleet::Launcher;
use crate::platform::Calls;
use crate::scene::Scene;
use anyhow::{Context as _, ensure};
use hdrhistogram::Histogram;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// What is run.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The number of daemons.
    pub daemons: usize,
    /// Operators who send changes at once, each at its own daemon.
    pub operators: usize,
    /// Changes that each operator sends, one after the other.
    pub changes: usize,
    /// Whether all operators change the same resource, based on the revision that they read.
    pub same: bool,
}

/// What one operator, or all of them, were told.
#[derive(Default)]
struct Tally {
    accepted: usize,
    conflicts: usize,
    unavailable: usize,
    unknown: usize,
    times: Vec<Duration>,
}

/// Runs the measurement and prints what was seen.
///
/// # Errors
///
/// Fails when the scene cannot be started or an answer is not understood.
pub fn main(options: Options) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(run(options))
}

async fn run(options: Options) -> anyhow::Result<()> {
    let mut scene = Scene::new(Launcher::itself()?, "certs").await?;
    for index in 0..options.daemons {
        let domain = ["espoo", "vantaa", "lahti"][index % 3];
        scene.add(&format!("certs-{index}"), domain, &[]).await?;
    }
    scene.settle(options.daemons).await?;
    let before = scene.platform.calls();
    let started = Instant::now();
    let mut tasks = Vec::new();
    for operator in 0..options.operators {
        let address = scene.vms[operator % scene.vms.len()].daemon.operator;
        tasks.push(tokio::spawn(operate(address, operator, options)));
    }
    let mut all = Tally::default();
    for task in tasks {
        let tally = task.await??;
        all.accepted += tally.accepted;
        all.conflicts += tally.conflicts;
        all.unavailable += tally.unavailable;
        all.unknown += tally.unknown;
        all.times.extend(tally.times);
    }
    let took = started.elapsed();
    print(options, &all, took, before, scene.platform.calls())
}

async fn operate(address: SocketAddr, operator: usize, options: Options) -> anyhow::Result<Tally> {
    let name = if options.same {
        "shared".to_owned()
    } else {
        format!("pool-{operator}")
    };
    let mut tally = Tally::default();
    for index in 0..options.changes {
        let based_on = revision(address, &name).await?;
        let change = json!({ "id": format!("o{operator}-c{index}"), "put": [{
            "kind": "pool", "name": name,
            "based_on": if options.same { Some(based_on) } else { None },
            "spec": { "slots": operator + 1, "connections": index + 1 } }] });
        let started = Instant::now();
        let request = Request::post("/v1/changes").body(Full::from(change.to_string()))?;
        let answer = caller::call(address, request).await?;
        match answer.status() {
            StatusCode::OK => {
                tally.accepted += 1;
                tally.times.push(started.elapsed());
            }
            StatusCode::CONFLICT => tally.conflicts += 1,
            StatusCode::SERVICE_UNAVAILABLE => tally.unavailable += 1,
            StatusCode::GATEWAY_TIMEOUT => tally.unknown += 1,
            other => anyhow::bail!("{other}: {:?}", answer.body()),
        }
    }
    Ok(tally)
}

/// Returns the revision in force at a daemon; zero when the pool does not exist.
async fn revision(address: SocketAddr, name: &str) -> anyhow::Result<u64> {
    let answer = caller::get(address, &format!("/v1/resources/pool/{name}")).await?;
    if answer.status() == StatusCode::NOT_FOUND {
        return Ok(0);
    }
    ensure!(answer.status().is_success(), "read: {}", answer.status());
    let body: Value = serde_json::from_slice(answer.body())?;
    body["revision"].as_u64().context("no revision")
}

fn print(
    options: Options,
    all: &Tally,
    took: Duration,
    before: Calls,
    after: Calls,
) -> anyhow::Result<()> {
    let mut times = Histogram::<u64>::new(3)?;
    for time in &all.times {
        times.record(u64::try_from(time.as_micros())?)?;
    }
    let ms = |quantile| {
        let micros = times.value_at_quantile(quantile);
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
    println!("took {:.1} s", took.as_secs_f64());
    println!(
        "accepted in, ms: p50 {:.1}, p99 {:.1}, max {:.1}",
        ms(0.5),
        ms(0.99),
        ms(1.0)
    );
    println!(
        "platform calls: {} gets, {} swaps, {} refused for its limits",
        after.gets - before.gets,
        after.swaps - before.swaps,
        after.refused - before.refused
    );
    Ok(())
}
