//! Measures calls at an open-loop rate.
//!
//! Each run first measures the time that the mesh adds: calls that cost the backend servers nothing
//! are made by the mesh and directly, in random order. Then comes the load of the scenario.

mod deep;
mod load;
pub mod mesh;
pub mod profile;
mod report;
mod scenario;

use crate::backend::Behaviour;
use crate::fleet::Launcher;
use load::{Callers, Made, Stretch, Told, Way, histogram};
use mesh::Mesh;
use profile::Profile;
use report::{Report, millis, per_second, print_kinds};
use scenario::Scenario;
use std::io::Write;
use std::time::Duration;

/// Calls a second while the added time is measured, half of them direct.
const LATENCY_RATE: f64 = 2_000.0;

/// The length of that measurement.
const LATENCY_TIME: Duration = Duration::from_secs(6);

/// Calls before a measurement, which open connections.
const WARM_UP: Duration = Duration::from_secs(1);

/// The share of the capacity that is offered by default.
const DEFAULT_LOAD: f64 = 0.6;

/// Threads that run the callers and the backend servers.
const WORKERS: usize = 4;

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The profile's name.
    pub profile: String,
    /// What happens during the run.
    pub scenario: Option<String>,
    /// Calls a second.
    pub rate: Option<u32>,
    /// Length of the run in seconds.
    pub seconds: u32,
    /// The seed.
    pub seed: u64,
    /// A file to write JSON lines to.
    pub json: Option<String>,
}

/// Runs the measurement.
///
/// # Errors
///
/// Fails when a daemon cannot be started or a promise is broken.
pub fn main(options: &Options) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .enable_all()
        .build()?;
    if let Some(name @ ("deep" | "deep-alone")) = options.scenario.as_deref() {
        return runtime.block_on(run_deep(name == "deep", options.json.as_ref()));
    }
    let report = runtime.block_on(run(options))?;
    if let Some(path) = &options.json {
        let mut file = std::fs::File::create(path)?;
        writeln!(file, "{}", report.to_json())?;
    }
    let broken = report.broken();
    anyhow::ensure!(broken.is_empty(), "promises broken: {}", broken.join(", "));
    Ok(())
}

/// Measures how retries multiply over a call tree. In `deep-alone` no header is passed on.
async fn run_deep(pass_on: bool, json: Option<&String>) -> anyhow::Result<()> {
    let mut lines = String::new();
    for found in deep::run(pass_on).await? {
        println!(
            "{:>3}% fail: {:.3} calls at depth 21 for each at the top, {:.1}% answered",
            found.fail_percent, found.factor, found.answered_percent
        );
        let line = serde_json::json!({
            "scenario": "deep",
            "headers_passed_on": pass_on,
            "fail_percent": found.fail_percent,
            "calls_at_depth": found.factor,
            "answered_percent": found.answered_percent,
        });
        lines += &line.to_string();
        lines.push('\n');
    }
    if let Some(path) = json {
        std::fs::write(path, lines)?;
    }
    Ok(())
}

async fn run(options: &Options) -> anyhow::Result<Report> {
    let profile = Profile::named(&options.profile)?;
    let scenario = Scenario::named(options.scenario.as_deref().unwrap_or("even"))?;
    let mut mesh = Mesh::start(Launcher::itself()?, &profile, Behaviour::default()).await?;
    let entries: Vec<_> = mesh.entries.iter().map(|entry| entry.outbound).collect();
    let direct: Vec<_> = mesh
        .backends
        .iter()
        .map(crate::backend::Backend::address)
        .collect();
    let callers = Callers::new(&entries, &direct);
    let mut report = Report {
        profile: profile.service.into(),
        scenario: scenario.name().into(),
        ..Report::default()
    };
    measure_added(&mesh, &callers, &profile, options.seed, &mut report).await;
    let rate = options
        .rate
        .map_or(profile.capacity() * DEFAULT_LOAD, f64::from);
    let time = Duration::from_secs(options.seconds.into());
    let stretch = Stretch {
        rate,
        time,
        direct: 0,
        seed: options.seed + 2,
        keyed: false,
    };
    let stretches = scenario.run(&mut mesh, &callers, &profile, stretch).await?;
    for (name, stretch, calls) in &stretches {
        let seconds = stretch.time.as_secs_f64();
        report.count(&profile, calls, &mesh.ledger);
        report.offered_per_s = stretch.rate;
        let whole = calls.iter().filter(|call| call.told == Told::Answered);
        report.goodput_per_s = per_second(whole.count(), seconds);
        println!(
            "{} {} {name}: offered {:.0}/s, goodput {:.0}/s",
            report.profile, report.scenario, stretch.rate, report.goodput_per_s
        );
        print_kinds(&profile, calls, seconds);
    }
    println!("{}", report.to_json());
    Ok(report)
}

/// Measures the time that the mesh adds to calls that cost the backend servers nothing.
async fn measure_added(
    mesh: &Mesh,
    callers: &Callers,
    profile: &Profile,
    seed: u64,
    report: &mut Report,
) {
    let mut stretch = Stretch {
        rate: LATENCY_RATE,
        time: WARM_UP,
        direct: 50,
        seed,
        keyed: false,
    };
    callers.run(profile, stretch).await;
    stretch.time = LATENCY_TIME;
    stretch.seed = seed + 1;
    let cpu_before = mesh.cpu_time();
    let calls = callers.run(profile, stretch).await;
    let cpu = mesh.cpu_time().saturating_sub(cpu_before);
    report.count(profile, &calls, &mesh.ledger);
    let by_mesh = calls.iter().filter(|call| call.way == Way::Mesh).count();
    let by_mesh = f64::from(u32::try_from(by_mesh).unwrap_or(u32::MAX));
    report.calls_per_core = by_mesh / cpu.as_secs_f64();
    let of = |way: Way| {
        let whole = |call: &&Made| call.way == way && call.told == Told::Answered;
        histogram(calls.iter().filter(whole))
    };
    let (by_mesh, direct) = (of(Way::Mesh), of(Way::Direct));
    let added = |quantile: f64| {
        let mesh = millis(by_mesh.value_at_quantile(quantile));
        mesh - millis(direct.value_at_quantile(quantile))
    };
    report.added_p50_ms = added(0.5);
    report.added_p99_ms = added(0.99);
    println!(
        "{} calls at {LATENCY_RATE}/s without work, time in ms",
        calls.len()
    );
    println!(
        "  {:.0} calls a second for each core of the daemons",
        report.calls_per_core
    );
    for quantile in [0.5, 0.9, 0.99, 0.999] {
        println!(
            "  p{:<5} mesh {:>7.3} direct {:>7.3} added {:>7.3}",
            quantile * 100.0,
            millis(by_mesh.value_at_quantile(quantile)),
            millis(direct.value_at_quantile(quantile)),
            added(quantile)
        );
    }
}
