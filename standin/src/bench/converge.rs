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

/// Loopback address with any free port.
const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const READY_TIMEOUT: Duration = Duration::from_mins(1);
/// Time limit for changes to be in force on every daemon, from the last one submitted.
const CONVERGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between measurements, in which the traffic of the previous one ends.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Longer than a relay's lease, so that every relay slot is taken again after the restarts.
const RELAY_SETTLE_TIME: Duration = Duration::from_secs(8);
/// Duration of each of the measurements of idle traffic and of restarts.
const WINDOW: Duration = Duration::from_secs(6);
const RESTARTS_PER_SECOND: u32 = 2;
/// Range of the random time between two changes, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 50..350;

/// Options of a run, set by the command line.
#[derive(Clone, Debug)]
pub struct Options {
    /// Fleet sizes to measure, separated by commas.
    pub daemons: String,
    /// Distribution modes to measure, separated by commas.
    pub modes: String,
    /// Number of changes for each size and mode.
    pub changes: u32,
    /// Seed of the schedule of changes and restarts.
    pub seed: u64,
    /// Path of a file that receives the results as JSON lines.
    pub json: Option<String>,
    /// Path of a file that receives a plot of the results, as SVG.
    pub plot: Option<String>,
    /// Number of services in the configuration, each with a policy, a pool and a route.
    pub services: u32,
    /// Whether to kill a relay during one change; in `tree` mode only.
    pub kill_relay: bool,
    /// Additional flags of each daemon, separated by whitespace.
    pub flags: String,
    /// Whether to measure member records, snapshots and tables in memory instead, without daemons.
    pub model: bool,
}

/// Runs the measurement.
///
/// # Errors
///
/// Fails when a daemon cannot be started or does not become ready, or on a signal.
pub fn main(options: &Options) -> anyhow::Result<()> {
    if options.model {
        return model::run(options);
    }
    tokio::runtime::Runtime::new()?.block_on(async {
        // Dropping the future kills the daemons, so that none outlives the bench on a signal.
        tokio::select! {
            outcome = run(options) => outcome,
            terminated = terminated() => terminated,
        }
    })
}

/// Waits for SIGTERM or SIGINT and returns an error.
async fn terminated() -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    anyhow::bail!("terminated by a signal")
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
    let platform = Platform::start(LOOPBACK, Limits::default()).await?;
    let timing = Timing::default();
    let mut daemons = Daemons::new(mode, platform.address(), options, timing.clone())?;
    daemons.start(size).await?;
    daemons.apply_initial(options.services).await?;
    let started = Instant::now();
    daemons.wait_ready(READY_TIMEOUT).await?;
    let mut report = Report::new(mode, size, started.elapsed());
    sleep(SETTLE_TIME).await;

    let mut meter = Meter::start(&platform, &daemons)?;
    meter.wait(&daemons, WINDOW).await?;
    report.idle = meter.stop(&platform, &daemons)?;
    let mut rng = StdRng::seed_from_u64(options.seed);
    measure_changes(options, &platform, &mut daemons, &mut rng, &mut report).await?;
    measure_churn(&platform, &mut daemons, &mut rng, &mut report).await?;
    if options.kill_relay && mode == "tree" {
        sleep(RELAY_SETTLE_TIME).await;
        kill_relay(&mut daemons, &mut report).await?;
    }
    report.rss_mb = daemons.rss_mb();
    daemons.stop().await;
    Ok(report)
}

/// Applies changes at random times and measures how long each takes to be in force everywhere.
async fn measure_changes(
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
        meter.read_if_due(daemons)?;
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
    let deadline = Instant::now() + CONVERGE_TIMEOUT;
    for version in versions {
        match daemons.converged(version, deadline).await {
            Some(millis) => report.record(millis),
            None => report.failed += 1,
        }
    }
    meter.wait(daemons, SETTLE_TIME).await?;
    report.changing = meter.stop(platform, daemons)?;
    report.changes = options.changes;
    Ok(())
}

/// Restarts daemons at a constant rate and measures the resource usage of the others.
async fn measure_churn(
    platform: &Platform,
    daemons: &mut Daemons,
    rng: &mut StdRng,
    report: &mut Report,
) -> anyhow::Result<()> {
    let mut meter = Meter::start(platform, daemons)?;
    let deadline = Instant::now() + WINDOW;
    let mut next = Instant::now();
    while next < deadline {
        let index = rng.random_range(0..daemons.len());
        daemons.restart(index).await?;
        report.restarts += 1;
        next += Duration::from_secs(1) / RESTARTS_PER_SECOND;
        meter.read_if_due(daemons)?;
        sleep_until(next).await;
    }
    report.churn = meter.stop(platform, daemons)?;
    let last_restart = Instant::now();
    match daemons.wait_ready(READY_TIMEOUT).await {
        Ok(()) => report.settle_ms = last_restart.elapsed().as_millis(),
        Err(err) => {
            eprintln!("bench: not ready after the restarts: {err:#}");
            report.failed += 1;
        }
    }
    Ok(())
}

/// Kills a relay immediately before a change is applied.
async fn kill_relay(daemons: &mut Daemons, report: &mut Report) -> anyhow::Result<()> {
    let relays = sample::relays(daemons)?;
    let Some(relay) = relays.first().copied() else {
        eprintln!("bench: no relay to kill");
        report.failed += 1;
        return Ok(());
    };
    let entry = (0..daemons.len()).find(|index| !relays.contains(index));
    let entry = entry.context("no daemon other than relays to apply a change at")?;
    daemons.kill(relay).await?;
    // No other change has this index, so its id is unique.
    let (body, id) = daemons::change(u32::MAX, 0);
    let version = daemons.apply(entry, &id, body).await?;
    ensure!(version > 0, "change {id} has no version");
    let deadline = Instant::now() + CONVERGE_TIMEOUT;
    report.killed_ms = daemons.converged(version, deadline).await;
    if report.killed_ms.is_none() {
        report.failed += 1;
    }
    Ok(())
}
