//! Measures calls at an open-loop rate.
//!
//! Each run first measures the latency that the mesh adds: calls without work at the backend
//! servers go through the mesh or directly, in random order. Then the load of the scenario follows.

mod deep;
mod load;
pub mod mesh;
pub mod profile;
mod report;
mod scenario;

use crate::backend::Behaviour;
use crate::fleet::Launcher;
use load::{CallResult, Callers, Outcome, Phase, Target, histogram};
use mesh::Mesh;
use profile::Profile;
use report::{Report, millis, per_second, print_kinds};
use scenario::Scenario;
use std::io::Write;
use std::time::Duration;

/// Calls per second while the added latency is measured, half of them direct.
const LATENCY_RATE: f64 = 2_000.0;

/// Duration of the measurement of added latency.
const LATENCY_TIME: Duration = Duration::from_secs(6);

/// Duration of the unmeasured calls that open the connections.
const WARM_UP_TIME: Duration = Duration::from_secs(1);

/// Offered load by default, as a share of the profile's capacity.
const DEFAULT_UTILIZATION: f64 = 0.6;

/// Runtime threads shared by the callers and the backend servers.
const WORKER_THREADS: usize = 4;

/// Options of a run, set by the command line.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the profile; see [`Profile::by_name`].
    pub profile: String,
    /// Name of the scenario; `even` if absent.
    pub scenario: Option<String>,
    /// Offered calls per second; a share of the profile's capacity if absent.
    pub rate: Option<u32>,
    /// Length of the run in seconds.
    pub seconds: u32,
    /// Seed of the call schedule.
    pub seed: u64,
    /// Path of a file that receives the results as JSON lines.
    pub json: Option<String>,
}

/// Runs the measurement.
///
/// # Errors
///
/// Fails when the profile or scenario is unknown, a daemon cannot be started or a guarantee is
/// violated.
pub fn main(options: &Options) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
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
    let violations = report.violations();
    anyhow::ensure!(
        violations.is_empty(),
        "guarantees violated: {}",
        violations.join(", ")
    );
    Ok(())
}

/// Measures the retry amplification of a call chain. In the scenario `deep-alone` the deadline and
/// retry headers are not forwarded.
async fn run_deep(forward_headers: bool, json: Option<&String>) -> anyhow::Result<()> {
    let mut lines = String::new();
    for result in deep::run(forward_headers).await? {
        println!(
            "{:>3}% failures: {:.3} calls at depth 21 per call at the top, {:.1}% answered",
            result.fail_percent, result.factor, result.success_percent
        );
        let line = serde_json::json!({
            "scenario": "deep",
            "headers_passed_on": forward_headers,
            "fail_percent": result.fail_percent,
            "calls_at_depth": result.factor,
            "answered_percent": result.success_percent,
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
    let profile = Profile::by_name(&options.profile)?;
    let scenario = Scenario::by_name(options.scenario.as_deref().unwrap_or("even"))?;
    let mut mesh = Mesh::start(Launcher::current_exe()?, &profile, Behaviour::default()).await?;
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
    measure_overhead(&mesh, &callers, &profile, options.seed, &mut report).await;
    let rate = options
        .rate
        .map_or(profile.capacity() * DEFAULT_UTILIZATION, f64::from);
    let time = Duration::from_secs(options.seconds.into());
    let phase = Phase {
        rate,
        time,
        direct: 0,
        // The seed is part of the request ids; the latency measurement uses the first two.
        seed: options.seed + 2,
        keyed: false,
    };
    let phases = scenario.run(&mut mesh, &callers, &profile, phase).await?;
    for (name, phase, calls) in &phases {
        let seconds = phase.time.as_secs_f64();
        report.count(&profile, calls, &mesh.run_log);
        report.offered_per_s = phase.rate;
        let answered = calls
            .iter()
            .filter(|call| call.outcome == Outcome::Answered);
        report.goodput_per_s = per_second(answered.count(), seconds);
        println!(
            "{} {} {name}: offered {:.0}/s, goodput {:.0}/s",
            report.profile, report.scenario, phase.rate, report.goodput_per_s
        );
        print_kinds(&profile, calls, seconds);
    }
    println!("{}", report.to_json());
    Ok(report)
}

/// Measures the latency that the mesh adds to calls without work at the backend servers.
async fn measure_overhead(
    mesh: &Mesh,
    callers: &Callers,
    profile: &Profile,
    seed: u64,
    report: &mut Report,
) {
    let mut phase = Phase {
        rate: LATENCY_RATE,
        time: WARM_UP_TIME,
        direct: 50,
        seed,
        keyed: false,
    };
    callers.run(profile, phase).await;
    phase.time = LATENCY_TIME;
    phase.seed = seed + 1;
    let cpu_before = mesh.cpu_time();
    let calls = callers.run(profile, phase).await;
    let cpu = mesh.cpu_time().saturating_sub(cpu_before);
    report.count(profile, &calls, &mesh.run_log);
    let mesh_calls = calls
        .iter()
        .filter(|call| call.target == Target::Mesh)
        .count();
    let mesh_calls = f64::from(u32::try_from(mesh_calls).unwrap_or(u32::MAX));
    report.calls_per_core = mesh_calls / cpu.as_secs_f64();
    let latencies = |target: Target| {
        let answered =
            |call: &&CallResult| call.target == target && call.outcome == Outcome::Answered;
        histogram(calls.iter().filter(answered))
    };
    let (mesh_latency, direct_latency) = (latencies(Target::Mesh), latencies(Target::Direct));
    let added = |quantile: f64| {
        let mesh = millis(mesh_latency.value_at_quantile(quantile));
        mesh - millis(direct_latency.value_at_quantile(quantile))
    };
    report.added_p50_ms = added(0.5);
    report.added_p99_ms = added(0.99);
    println!(
        "{} calls at {LATENCY_RATE}/s without work, latency in ms",
        calls.len()
    );
    println!(
        "  {:.0} calls per CPU second of the daemons",
        report.calls_per_core
    );
    for quantile in [0.5, 0.9, 0.99, 0.999] {
        println!(
            "  p{:<5} mesh {:>7.3} direct {:>7.3} added {:>7.3}",
            quantile * 100.0,
            millis(mesh_latency.value_at_quantile(quantile)),
            millis(direct_latency.value_at_quantile(quantile)),
            added(quantile)
        );
    }
}
