//! Comparison of the new version of a service with the old one.
//!
//! For each route, and for all routes together, two hypotheses are weighed: that the version fails, and that
//! it is slow. Each backend server contributes the logarithm of a likelihood ratio, which is bounded above
//! because any backend server of a good version may be faulty itself.

use super::history::{History, Routes, Track};
use super::{Counts, ServerKey};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// The window that shows a change soon.
pub(super) const SHORT: Duration = Duration::from_secs(1);
/// The window that contains enough calls of a route with little traffic.
pub(super) const LONG: Duration = Duration::from_millis(2_500);
/// Time from its start in which a backend server is slow.
const COLD: Duration = Duration::from_secs(3);
/// Natural logarithm of the factor by which a backend server is slow in that time.
const COLD_LOG: f64 = std::f64::consts::LN_2;
/// Time from its start until a backend server of a bad version has turned bad.
const MATURE: Duration = Duration::from_millis(3_400);

/// Probability that a backend server of a good version is faulty by itself.
const FAULTY: f64 = 0.15;
/// Share of the responses that a bad version fails beyond those that the old one fails.
const BAD_FAILURES: f64 = 0.35;
/// The least error rate that is assumed of a good version, so that a single failure proves little.
const LEAST_FAILURES: f64 = 0.05;
/// Share of the old backend servers with the highest error rates that are left out of the comparison.
const TRIMMED: f64 = 0.2;
/// Latency ratio of a bad version: a third of its calls takes about eight times as long.
const BAD_LATENCY: f64 = 3.5;
/// Standard deviation of the logarithm of the latency ratio among good backend servers, which run at
/// 0.5 to 1.7 times the usual speed.
const LATENCY_SPREAD: f64 = 0.4;
/// Variance that a single call adds to it.
const LATENCY_NOISE: f64 = 0.5;
/// The least contribution of a backend server.
const LEAST_LLR: f64 = -2.5;
/// The age of the newest calls of the old version from which service times are not comparable any more.
const STALE: Duration = Duration::from_secs(3);
/// A route with less than this share of the calls need not be proven good.
const MINOR_ROUTE: f64 = 0.05;

/// A way in which a version is bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Defect {
    /// Responses are failures.
    Failures,
    /// Responses take long.
    Latency,
}

/// A defect of one route, or of all routes together (`None`).
pub(super) type Hypothesis = (Option<u32>, Defect);

/// The evidence for and against a bad version, as sums of logarithms of likelihood ratios.
#[derive(Clone, Debug)]
pub(super) struct Verdict {
    /// The most likely defect with its sum. Positive: more likely bad than good.
    pub(super) worst: Option<(Hypothesis, f64)>,
    /// The greatest sum in the long window, counting evidence against a defect only from backend servers that
    /// have run long enough to have turned bad.
    pub(super) proof: f64,
    /// The same in the short window.
    pub(super) recent_proof: f64,
    /// Contribution of each backend server to the most likely defect.
    pub(super) votes: BTreeMap<ServerKey, f64>,
    /// Service time of the slowest route at the old version.
    pub(super) slowest: Duration,
}

impl Verdict {
    /// The sum of the most likely defect, or 0.
    pub(super) fn worst_llr(&self) -> f64 {
        self.worst.map_or(0.0, |(_, llr)| llr)
    }
}

/// The old version in a window.
#[derive(Debug, Default)]
struct Baseline {
    /// Error rate and mean service time in microseconds, by route.
    routes: BTreeMap<u32, (f64, Option<f64>)>,
    /// Error rate of all routes together.
    failures: f64,
    /// Routes that have to be proven good.
    major: Vec<u32>,
}

/// Sums of one window.
struct Sums {
    all: BTreeMap<Hypothesis, f64>,
    mature: BTreeMap<Hypothesis, f64>,
    votes: BTreeMap<Hypothesis, BTreeMap<ServerKey, f64>>,
}

/// Compares the versions. `started` has the start of each backend server of the new version, by daemon.
pub(super) fn compare(
    now: Instant,
    history: &History,
    started: &BTreeMap<String, Instant>,
) -> Verdict {
    let long_base = Baseline::new(now, history, LONG);
    let short_base = Baseline::new(now, history, SHORT);
    let long = sums(history, started, &long_base, LONG);
    let short = sums(history, started, &short_base, SHORT);
    let mut worst: Option<(Hypothesis, f64)> = None;
    let mut votes = BTreeMap::new();
    for window in [&long, &short] {
        for (hypothesis, llr) in &window.all {
            if worst.is_none_or(|(_, known)| *llr > known) {
                worst = Some((*hypothesis, *llr));
                votes.clone_from(&window.votes[hypothesis]);
            }
        }
    }
    Verdict {
        worst,
        proof: proof(&long, &long_base),
        recent_proof: proof(&short, &long_base),
        votes,
        slowest: long_base.slowest(),
    }
}

/// The greatest sum over the defects of the routes that have to be proven good.
fn proof(sums: &Sums, baseline: &Baseline) -> f64 {
    let routes = baseline.major.iter().map(|route| Some(*route));
    let all = routes.chain([None]).flat_map(|route| {
        let failures = sums.mature.get(&(route, Defect::Failures));
        // Without a contemporary old version there is no statement on latency.
        let latency = sums.mature.get(&(route, Defect::Latency));
        [Some(failures.copied().unwrap_or(0.0)), latency.copied()]
    });
    all.flatten().fold(f64::NEG_INFINITY, f64::max)
}

fn sums(
    history: &History,
    started: &BTreeMap<String, Instant>,
    baseline: &Baseline,
    window: Duration,
) -> Sums {
    let mut sums = Sums {
        all: BTreeMap::new(),
        mature: BTreeMap::new(),
        votes: BTreeMap::new(),
    };
    for (key, track) in history.of(true) {
        let start = started.get(&key.daemon).copied();
        let cold = start.is_some_and(|start| track.newest() < start + COLD + window);
        let mature = start.is_some_and(|start| track.newest() >= start + MATURE + SHORT);
        for (hypothesis, llr) in contributions(&track.window(window), baseline, cold) {
            *sums.all.entry(hypothesis).or_default() += llr;
            let counted = if mature || llr > 0.0 { llr } else { 0.0 };
            *sums.mature.entry(hypothesis).or_default() += counted;
            let votes = sums.votes.entry(hypothesis).or_default();
            votes.insert(key.clone(), llr);
        }
    }
    sums
}

/// The contributions of one backend server.
#[allow(clippy::cast_precision_loss)]
fn contributions(routes: &Routes, baseline: &Baseline, cold: bool) -> Vec<(Hypothesis, f64)> {
    let mut all = Vec::new();
    let mut total = Counts::default();
    let mut expected = 0.0;
    let mut timed = Counts::default();
    for (route, counts) in routes.iter().filter(|(_, counts)| counts.calls > 0) {
        let (failures, mean) = baseline.routes.get(route).copied().unwrap_or_default();
        let llr = failure_llr(counts, failures);
        all.push(((Some(*route), Defect::Failures), llr));
        add(&mut total, counts);
        if let Some(mean) = mean {
            let usual = mean * (counts.calls - counts.failures) as f64;
            let llr = latency_llr(counts, usual, cold);
            all.push(((Some(*route), Defect::Latency), llr));
            add(&mut timed, counts);
            expected += usual;
        }
    }
    if total.calls > 0 {
        let llr = failure_llr(&total, baseline.failures);
        all.push(((None, Defect::Failures), llr));
    }
    if expected > 0.0 {
        let llr = latency_llr(&timed, expected, cold);
        all.push(((None, Defect::Latency), llr));
    }
    all
}

fn add(total: &mut Counts, counts: &Counts) {
    total.calls += counts.calls;
    total.failures += counts.failures;
    total.time_us += counts.time_us;
}

/// Weighs that a backend server fails as a bad version does against the error rate of the old version.
#[allow(clippy::cast_precision_loss)]
fn failure_llr(counts: &Counts, old: f64) -> f64 {
    let good = old.clamp(LEAST_FAILURES, 0.9);
    let bad = good + (1.0 - good) * BAD_FAILURES;
    let failures = counts.failures.min(counts.calls) as f64;
    let successes = counts.calls as f64 - failures;
    bounded(failures * (bad / good).ln() + successes * ((1.0 - bad) / (1.0 - good)).ln())
}

/// Weighs that a backend server is as slow as a bad version against the service time of the old version,
/// `usual` for the same calls.
#[allow(clippy::cast_precision_loss)]
fn latency_llr(counts: &Counts, usual: f64, cold: bool) -> f64 {
    let timed = counts.calls.saturating_sub(counts.failures) as f64;
    if timed < 1.0 || usual <= 0.0 {
        return 0.0;
    }
    let cold = if cold { COLD_LOG } else { 0.0 };
    let ratio = (counts.time_us.max(1) as f64 / usual).ln() - cold;
    let variance = LATENCY_SPREAD.powi(2) + LATENCY_NOISE / timed;
    let good = ratio.max(0.0);
    let bad = (ratio - BAD_LATENCY.ln()).min(0.0);
    bounded((good.powi(2) - bad.powi(2)) / (2.0 * variance))
}

/// Bounds the logarithm of a likelihood ratio by the probability that the backend server itself is faulty.
fn bounded(llr: f64) -> f64 {
    let ratio = llr.clamp(-50.0, 50.0).exp();
    (-((1.0 - FAULTY) / ratio + FAULTY).ln()).max(LEAST_LLR)
}

impl Baseline {
    #[allow(clippy::cast_precision_loss)]
    fn new(now: Instant, history: &History, window: Duration) -> Self {
        let old: Vec<&Track> = history.of(false).map(|(_, track)| track).collect();
        let fresh = old.iter().any(|track| track.newest() + STALE > now);
        let windows: Vec<Routes> = old.iter().map(|track| track.window(window)).collect();
        let mut routes: BTreeMap<u32, Vec<Counts>> = BTreeMap::new();
        let mut totals = Vec::new();
        for counts in &windows {
            let mut total = Counts::default();
            for (route, counts) in counts.iter().filter(|(_, counts)| counts.calls > 0) {
                routes.entry(*route).or_default().push(*counts);
                add(&mut total, counts);
            }
            totals.push(total);
        }
        let all = totals.iter().map(|counts| counts.calls).sum::<u64>() as f64;
        let mut baseline = Baseline {
            failures: failure_rate(&mut totals),
            ..Baseline::default()
        };
        for (route, mut counts) in routes {
            let calls = counts.iter().map(|counts| counts.calls).sum::<u64>() as f64;
            if calls >= MINOR_ROUTE * all {
                baseline.major.push(route);
            }
            let time = median_time(&counts).filter(|_| fresh);
            let values = (failure_rate(&mut counts), time);
            baseline.routes.insert(route, values);
        }
        baseline
    }

    fn slowest(&self) -> Duration {
        let times = self.routes.values().filter_map(|(_, time)| *time);
        Duration::from_secs_f64(times.fold(0.0, f64::max) / 1e6)
    }
}

/// The error rate without the backend servers that fail most.
#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]
fn failure_rate(counts: &mut [Counts]) -> f64 {
    let rate = |counts: &Counts| counts.failures as f64 / counts.calls.max(1) as f64;
    counts.sort_by(|a, b| rate(a).total_cmp(&rate(b)));
    let kept = (counts.len() as f64 * (1.0 - TRIMMED)).ceil() as usize;
    let mut total = Counts::default();
    for counts in &counts[..kept] {
        add(&mut total, counts);
    }
    rate(&total)
}

/// The median of the mean service times of backend servers.
#[allow(clippy::cast_precision_loss)]
fn median_time(counts: &[Counts]) -> Option<f64> {
    let timed = counts
        .iter()
        .filter(|counts| counts.calls > counts.failures);
    let mean = |counts: &Counts| counts.time_us as f64 / (counts.calls - counts.failures) as f64;
    let mut means: Vec<f64> = timed.map(mean).collect();
    means.sort_by(f64::total_cmp);
    means.get(means.len() / 2).copied()
}
