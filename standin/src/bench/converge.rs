//! Measures convergence time and control bytes of a fleet of real daemons.
#![allow(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]

mod daemons;
mod model;
mod plot;
mod report;
mod sample;
mod timing;

use crate::platform::{Limits, Platform};
use anyhow::{Context as _, ensure};
use daemons::Daemons;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use report::Report;
use sample::Meter;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;
use timing::Timing;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{Instant, sleep, sleep_until};

const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const READY_TIMEOUT: Duration = Duration::from_mins(1);
const CONVERGE_TIMEOUT: Duration = Duration::from_secs(10);
const SETTLE: Duration = Duration::from_secs(2);
/// Longer than a relay's lease, so that the restarts have left no slot vacant.
const RELAYS_SETTLE: Duration = Duration::from_secs(8);
const WINDOW: Duration = Duration::from_secs(6);
const RESTARTS_PER_SECOND: u32 = 2;
/// Bounds of the time between two changes, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 50..350;

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Numbers of daemons, separated by commas.
    pub daemons: String,
    /// Modes, separated by commas.
    pub modes: String,
    /// Changes in a run.
    pub changes: u32,
    /// The seed.
    pub seed: u64,
    /// A file to write JSON lines to.
    pub json: Option<String>,
    /// A file to write a plot to.
    pub plot: Option<String>,
    /// Services in the configuration, each with a policy, a pool and a route.
    pub services: u32,
    /// Kill a relay during one change.
    pub kill_relay: bool,
    /// Further flags of each daemon, separated by blanks.
    pub flags: String,
    /// Measure the decision logic in memory instead.
    pub model: bool,
}

/// Runs the measurement.
///
/// # Errors
///
/// Fails when a daemon cannot be started or does not become ready.
pub fn main(options: &Options) -> anyhow::Result<()> {
    if options.model {
        return model::run(options);
    }
    tokio::runtime::Runtime::new()?.block_on(async {
        // The daemons end with what holds them, so that none outlives the bench.
        tokio::select! {
            outcome = run(options) => outcome,
            terminated = terminated() => terminated,
        }
    })
}

/// Waits for a signal that ends the bench.
async fn terminated() -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    anyhow::bail!("ended by a signal")
}

async fn run(options: &Options) -> anyhow::Result<()> {
    let mut reports = Vec::new();
    println!("{}", report::heading());
    for size in options.daemons.split(',') {
        let size = size.trim().parse().context("--daemons")?;
        for mode in options.modes.split(',') {
            let report = measure(options, mode.trim(), size).await;
            let report = report.with_context(|| format!("{mode} with {size} daemons"))?;
            println!("{}", report.row());
            reports.push(report);
        }
    }
    println!("{}", report::legend());
    if let Some(file) = &options.json {
        report::write_json(file, &reports)?;
    }
    if let Some(file) = &options.plot {
        plot::write(file, &reports)?;
    }
    Ok(())
}

async fn measure(options: &Options, mode: &str, size: usize) -> anyhow::Result<Report> {
    let platform = Platform::start(ANY, Limits::default()).await?;
    let timing = Timing::default();
    let mut daemons = Daemons::new(mode, platform.address(), options, timing.clone())?;
    daemons.start(size).await?;
    daemons.seed(options.services).await?;
    let started = Instant::now();
    daemons.wait_ready(READY_TIMEOUT).await?;
    let mut report = Report::new(mode, size, started.elapsed());
    sleep(SETTLE).await;

    let mut meter = Meter::start(&platform, &daemons)?;
    meter.wait(&daemons, WINDOW).await?;
    report.idle = meter.stop(&platform, &daemons)?;
    let mut rng = StdRng::seed_from_u64(options.seed);
    changes(options, &platform, &mut daemons, &mut rng, &mut report).await?;
    churn(&platform, &mut daemons, &mut rng, &mut report).await?;
    if options.kill_relay && mode == "tree" {
        sleep(RELAYS_SETTLE).await;
        kill_relay(&mut daemons, &mut report).await?;
    }
    report.rss_mb = daemons.rss_mb();
    daemons.stop().await;
    Ok(report)
}

/// Applies changes at seeded times and measures when each is in force.
async fn changes(
    options: &Options,
    platform: &Platform,
    daemons: &mut Daemons,
    rng: &mut StdRng,
    report: &mut Report,
) -> anyhow::Result<()> {
    let mut meter = Meter::start(platform, daemons)?;
    let mut versions = Vec::new();
    for index in 0..options.changes {
        sleep(Duration::from_millis(rng.random_range(GAP_MS))).await;
        meter.read(daemons)?;
        let entry = rng.random_range(0..daemons.len());
        let (body, id) = daemons::change(index, rng.random_range(0..options.services));
        report.change_len = body.len();
        match daemons.apply(entry, &id, body).await {
            Ok(version) => versions.push(version),
            Err(err) => {
                eprintln!("bench: change {id}: {err:#}");
                report.failed += 1;
            }
        }
    }
    let ends = Instant::now() + CONVERGE_TIMEOUT;
    for version in versions {
        match daemons.converged(version, ends).await {
            Some(millis) => report.record(millis),
            None => report.failed += 1,
        }
    }
    meter.wait(daemons, SETTLE).await?;
    report.changing = meter.stop(platform, daemons)?;
    report.changes = options.changes;
    Ok(())
}

/// Restarts daemons at a steady rate and measures what the others spend.
async fn churn(
    platform: &Platform,
    daemons: &mut Daemons,
    rng: &mut StdRng,
    report: &mut Report,
) -> anyhow::Result<()> {
    let mut meter = Meter::start(platform, daemons)?;
    let ends = Instant::now() + WINDOW;
    let mut next = Instant::now();
    while next < ends {
        let index = rng.random_range(0..daemons.len());
        daemons.restart(index).await?;
        report.restarts += 1;
        next += Duration::from_secs(1) / RESTARTS_PER_SECOND;
        meter.read(daemons)?;
        sleep_until(next).await;
    }
    report.churn = meter.stop(platform, daemons)?;
    let settled = Instant::now();
    match daemons.wait_ready(READY_TIMEOUT).await {
        Ok(()) => report.settle_ms = settled.elapsed().as_millis(),
        Err(err) => {
            eprintln!("bench: after restarts: {err:#}");
            report.failed += 1;
        }
    }
    Ok(())
}

/// Kills a relay just before a change is applied.
async fn kill_relay(daemons: &mut Daemons, report: &mut Report) -> anyhow::Result<()> {
    let relays = sample::relays(daemons)?;
    let Some(victim) = relays.first().copied() else {
        eprintln!("bench: no relay to kill");
        report.failed += 1;
        return Ok(());
    };
    let entry = (0..daemons.len()).find(|index| !relays.contains(index));
    let entry = entry.context("no child to apply a change at")?;
    daemons.kill(victim).await?;
    let (body, id) = daemons::change(u32::MAX, 0);
    let version = daemons.apply(entry, &id, body).await?;
    ensure!(version > 0, "change {id} has no version");
    let ends = Instant::now() + CONVERGE_TIMEOUT;
    report.killed_ms = daemons.converged(version, ends).await;
    if report.killed_ms.is_none() {
        report.failed += 1;
    }
    Ok(())
}
