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
pub(super) const COLD: Duration = Duration::from_secs(3);
/// Factor by which a backend server is slow in that time.
pub(super) const COLD_FACTOR: f64 = 2.0;
/// Duration of the last slow call of that time, at a slow backend server, relative to the usual one.
const LAST_COLD_CALL: u32 = 3;
/// Time until a start is noticed, or until counts arrive.
const NOTICED: Duration = Duration::from_millis(400);
/// Time from its start until a backend server of a bad version has turned bad.
pub(super) const MATURE: Duration = Duration::from_millis(3_400);

/// Probability that a backend server of a good version is faulty by itself.
const FAULTY: f64 = 0.15;
/// Share of the responses that a bad version fails beyond those that the old one fails.
///
/// Less than the 0.3 of bad versions, since one that is bad under load is not bad all the time.
const BAD_FAILURES: f64 = 0.2;
/// The same for a version that is bad part of the time, as under a load that its backend servers reach now and then.
/// In one play that load was a quarter of the slots, the old version used 0.2 of its own, and 48 of 399 responses
/// of the new one had failed when its trial ended.
const PARTLY_BAD_FAILURES: f64 = 0.1;
/// The least error rate that is assumed of a good version, so that a single failure proves little.
const LEAST_FAILURES: f64 = 0.04;
/// Share of the old backend servers with the highest error rates that are left out of the comparison.
const TRIMMED: f64 = 0.2;
/// Latency ratio of a bad version: two fifths of its calls take about eight times as long.
const BAD_LATENCY: f64 = 4.0;
/// The least share of the calls of a bad version that are slow.
const SLOW_SHARE: f64 = 0.3;
/// Standard deviation of the logarithm of the latency ratio among good backend servers, which run at
/// 0.5 to 1.7 times the usual speed.
const LATENCY_SPREAD: f64 = 0.4;
/// Variance that a single call adds to it.
const LATENCY_NOISE: f64 = 0.5;
/// The least contribution of a backend server.
const LEAST_LLR: f64 = -2.5;
/// The age of the newest calls of the old version from which service times are not comparable any more.
const STALE: Duration = Duration::from_secs(3);
/// The age of the newest counts of a backend server up to which its short window is recent.
const REPORTING: Duration = Duration::from_millis(1_500);
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
    /// The proof that there is no defect, by the long window.
    pub(super) proof: Proof,
    /// The same by the short window, all routes together.
    pub(super) recent: Proof,
    /// The same by the short window, the routes each by itself.
    pub(super) recent_routes: Proof,
    /// The sum for failures that are rarer than those of the other hypotheses, all routes together. Each backend
    /// server contributes its last calls, also those that are no longer targets.
    pub(super) partly_failing: f64,
    /// Contribution of each backend server to the most likely defect.
    pub(super) votes: BTreeMap<ServerKey, f64>,
    /// Service time of the slowest route at the old version.
    pub(super) slowest: Duration,
}

/// The evidence for the least refuted defect. Evidence against a defect counts only where the backend server
/// has run long enough to have turned bad.
#[derive(Clone, Copy, Debug)]
pub(super) struct Proof {
    /// The sum.
    pub(super) llr: f64,
    /// The sum divided by the number of backend servers with calls.
    pub(super) each: f64,
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
    major: Vec<Option<u32>>,
}

/// The contributions of the backend servers to a hypothesis.
#[derive(Debug, Default)]
struct Sum {
    /// The sum of all contributions.
    all: f64,
    /// The sum without evidence against the defect from those that may still turn bad.
    mature: f64,
    /// The number of those in `mature`.
    counted: u32,
    votes: BTreeMap<ServerKey, f64>,
}

type Sums = BTreeMap<Hypothesis, Sum>;

/// Compares the versions. `started` has the start of each backend server of the new version, by daemon.
pub(super) fn compare(
    now: Instant,
    history: &History,
    started: &BTreeMap<String, Instant>,
) -> Verdict {
    let long_base = Baseline::new(now, history, LONG);
    let short_base = Baseline::new(now, history, SHORT);
    let long = sums(history.of(true), started, &long_base, LONG);
    let reporting = history.of(true);
    let reporting = reporting.filter(|(_, track)| track.newest() + REPORTING >= now);
    let short = sums(reporting, started, &short_base, SHORT);
    let mut worst: Option<(Hypothesis, f64)> = None;
    let mut votes = BTreeMap::new();
    for (hypothesis, sum) in long.iter().chain(&short) {
        if worst.is_none_or(|(_, known)| sum.all > known) {
            worst = Some((*hypothesis, sum.all));
            votes.clone_from(&sum.votes);
        }
    }
    Verdict {
        worst,
        proof: proof(&long, &[&[None], &long_base.major[..]].concat()),
        recent: proof(&short, &[None]),
        recent_routes: proof(&short, &long_base.major),
        partly_failing: partly_failing(history, &long_base),
        votes,
        slowest: long_base.slowest(),
    }
}

/// Weighs that the version fails part of the time, by the long window.
fn partly_failing(history: &History, baseline: &Baseline) -> f64 {
    let llr = |(_, track): (_, &Track)| {
        let mut total = Counts::default();
        for counts in track.window(LONG).values() {
            add(&mut total, counts);
        }
        failure_llr(&total, baseline.failures, PARTLY_BAD_FAILURES)
    };
    history.of(true).map(llr).sum()
}

/// The greatest sum over the defects of `routes`.
fn proof(sums: &Sums, routes: &[Option<u32>]) -> Proof {
    let mut worst = Proof {
        llr: f64::NEG_INFINITY,
        each: f64::NEG_INFINITY,
    };
    for route in routes {
        for defect in [Defect::Failures, Defect::Latency] {
            let sum = sums.get(&(*route, defect));
            // Without a contemporary old version there is no statement on latency.
            if sum.is_none() && defect == Defect::Latency {
                continue;
            }
            let (llr, counted) = sum.map_or((0.0, 0), |sum| (sum.mature, sum.counted));
            worst.llr = worst.llr.max(llr);
            worst.each = worst.each.max(llr / f64::from(counted.max(1)));
        }
    }
    worst
}

fn sums<'a>(
    tracks: impl Iterator<Item = (&'a ServerKey, &'a Track)>,
    started: &BTreeMap<String, Instant>,
    baseline: &Baseline,
    window: Duration,
) -> Sums {
    let mut sums = Sums::new();
    for (key, track) in tracks {
        let start = started.get(&key.daemon).copied();
        let usual = start.map_or(COLD_FACTOR, |start| {
            usual_latency(start, track, baseline, window)
        });
        let mature = start.is_some_and(|start| track.newest() >= start + MATURE + SHORT);
        let mature = mature && track.covers(SHORT);
        for (hypothesis, llr) in contributions(&track.window(window), baseline, usual) {
            let sum = sums.entry(hypothesis).or_default();
            sum.all += llr;
            if mature || llr > 0.0 {
                sum.mature += llr;
                sum.counted += 1;
            }
            sum.votes.insert(key.clone(), llr);
        }
    }
    sums
}

/// The latency ratio of a good backend server, parts of whose window are of the time after its start.
fn usual_latency(start: Instant, track: &Track, baseline: &Baseline, window: Duration) -> f64 {
    if !track.covers(window) {
        return COLD_FACTOR;
    }
    let last_cold = start + COLD + NOTICED + LAST_COLD_CALL * baseline.slowest();
    let cold = (last_cold + window).saturating_duration_since(track.newest());
    1.0 + (COLD_FACTOR - 1.0) * cold.div_duration_f64(window).min(1.0)
}

/// The contributions of one backend server.
#[allow(clippy::cast_precision_loss)]
fn contributions(routes: &Routes, baseline: &Baseline, cold: f64) -> Vec<(Hypothesis, f64)> {
    let mut all = Vec::new();
    let mut total = Counts::default();
    let mut expected = 0.0;
    let mut timed = Counts::default();
    for (route, counts) in routes.iter().filter(|(_, counts)| counts.calls > 0) {
        let (failures, mean) = baseline.routes.get(route).copied().unwrap_or_default();
        let llr = failure_llr(counts, failures, BAD_FAILURES);
        all.push(((Some(*route), Defect::Failures), llr));
        add(&mut total, counts);
        if let Some(mean) = mean {
            let usual = cold * mean * (counts.calls - counts.failures) as f64;
            let llr = latency_llr(counts, usual);
            all.push(((Some(*route), Defect::Latency), llr));
            add(&mut timed, counts);
            expected += usual;
        }
    }
    if total.calls > 0 {
        let llr = failure_llr(&total, baseline.failures, BAD_FAILURES);
        all.push(((None, Defect::Failures), llr));
    }
    if expected > 0.0 {
        let llr = latency_llr(&timed, expected);
        all.push(((None, Defect::Latency), llr));
    }
    all
}

fn add(total: &mut Counts, counts: &Counts) {
    total.calls += counts.calls;
    total.failures += counts.failures;
    total.time_us += counts.time_us;
}

/// Weighs that a backend server fails a share `more` of its responses beyond the error rate of the old version
/// against that rate.
#[allow(clippy::cast_precision_loss)]
fn failure_llr(counts: &Counts, old: f64, more: f64) -> f64 {
    let good = old.clamp(LEAST_FAILURES, 0.9);
    let bad = good + (1.0 - good) * more;
    let failures = counts.failures.min(counts.calls) as f64;
    let successes = counts.calls as f64 - failures;
    bounded(failures * (bad / good).ln() + successes * ((1.0 - bad) / (1.0 - good)).ln())
}

/// Weighs that a backend server is as slow as a bad version against the service time of the old version,
/// `usual` for the same calls.
#[allow(clippy::cast_precision_loss)]
fn latency_llr(counts: &Counts, usual: f64) -> f64 {
    let timed = counts.calls.saturating_sub(counts.failures) as f64;
    if timed < 1.0 || usual <= 0.0 {
        return 0.0;
    }
    let ratio = (counts.time_us.max(1) as f64 / usual).ln();
    let variance = LATENCY_SPREAD.powi(2) + LATENCY_NOISE / timed;
    let good = ratio.max(0.0);
    let bad = (ratio - BAD_LATENCY.ln()).min(0.0);
    let llr = (good.powi(2) - bad.powi(2)) / (2.0 * variance);
    // A few calls of a bad version may all be among those that are not slow.
    bounded(llr.max(timed * (1.0 - SLOW_SHARE).ln()))
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
                baseline.major.push(Some(route));
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
