//! Results of a run, and the checks of the guarantees.

use super::load::{CallResult, Outcome, Target, histogram};
use super::profile::Profile;
use crate::backend::RunLog;
use serde_json::{Value, json};

/// Results of a run; the fields are written to JSON under their own names.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Name of the profile.
    pub profile: String,
    /// Name of the scenario.
    pub scenario: String,
    /// Scheduled calls per second in the last phase.
    pub offered_per_s: f64,
    /// Complete responses per second in the last phase.
    pub goodput_per_s: f64,
    /// Difference between the median latencies through the mesh and directly, in milliseconds.
    pub added_p50_ms: f64,
    /// The same difference at the 99th percentile, in milliseconds.
    pub added_p99_ms: f64,
    /// Calls per CPU second, where the CPU time is that of all daemons, on the outbound and the
    /// inbound side.
    pub calls_per_core: f64,
    /// Calls reported as "not run".
    pub not_run: usize,
    /// Calls whose execution is unknown to the caller.
    pub unknown: usize,
    /// Non-idempotent calls that were executed more than once.
    pub runs_twice: usize,
    /// Calls reported as "not run" that were executed.
    pub not_run_but_run: usize,
    /// Calls that got another call's response, a truncated one, or a response without being executed.
    pub wrong_answers: usize,
}

impl Report {
    /// Returns the results as a JSON object.
    #[must_use]
    pub fn to_json(&self) -> Value {
        json!({
            "profile": self.profile,
            "scenario": self.scenario,
            "offered_per_s": self.offered_per_s,
            "goodput_per_s": self.goodput_per_s,
            "added_p50_ms": self.added_p50_ms,
            "added_p99_ms": self.added_p99_ms,
            "calls_per_core": self.calls_per_core,
            "not_run": self.not_run,
            "unknown": self.unknown,
            "runs_twice": self.runs_twice,
            "not_run_but_run": self.not_run_but_run,
            "wrong_answers": self.wrong_answers,
        })
    }

    /// Returns each violated guarantee as `name: count`, with the number of calls that violated it.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        let counts = [
            ("runs_twice", self.runs_twice),
            ("not_run_but_run", self.not_run_but_run),
            ("wrong_answers", self.wrong_answers),
        ];
        let violated = counts.into_iter().filter(|(_, count)| *count > 0);
        violated
            .map(|(name, count)| format!("{name}: {count}"))
            .collect()
    }

    /// Counts the outcomes of calls through the mesh and compares them with the runs that the backend
    /// servers recorded.
    pub fn count(&mut self, profile: &Profile, calls: &[CallResult], run_log: &RunLog) {
        let mesh = calls.iter().filter(|call| call.target == Target::Mesh);
        for call in mesh {
            let runs = run_log.runs(&call.id);
            match call.outcome {
                Outcome::NotRun => self.not_run += 1,
                Outcome::Unknown => self.unknown += 1,
                Outcome::Wrong => self.wrong_answers += 1,
                Outcome::Answered | Outcome::Shed => {}
            }
            if call.outcome == Outcome::NotRun && runs > 0 {
                self.not_run_but_run += 1;
            }
            if call.outcome == Outcome::Answered && runs == 0 {
                self.wrong_answers += 1;
            }
            if runs > 1 && !profile.kinds[call.kind].idempotent {
                self.runs_twice += 1;
            }
        }
    }
}

/// Prints a line for each request kind.
pub fn print_kinds(profile: &Profile, calls: &[CallResult], seconds: f64) {
    println!(
        "  {:<10} {:>9} {:>9} {:>8} {:>8} {:>8} {:>8} {:>8} {:>6}",
        "kind",
        "offered/s",
        "goodput/s",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "not-run",
        "unknown",
        "shed"
    );
    for (index, kind) in profile.kinds.iter().enumerate() {
        let of_kind = |call: &&CallResult| call.kind == index && call.target == Target::Mesh;
        let count = |outcome: Outcome| {
            let calls = calls.iter().filter(of_kind);
            calls.filter(|call| call.outcome == outcome).count()
        };
        let offered = calls.iter().filter(of_kind).count();
        let answered = calls.iter().filter(of_kind);
        let answered = histogram(answered.filter(|call| call.outcome == Outcome::Answered));
        println!(
            "  {:<10} {:>9.0} {:>9.0} {:>8.2} {:>8.2} {:>8.2} {:>8} {:>8} {:>6}",
            kind.name,
            per_second(offered, seconds),
            per_second(count(Outcome::Answered), seconds),
            millis(answered.value_at_quantile(0.5)),
            millis(answered.value_at_quantile(0.99)),
            millis(answered.value_at_quantile(0.999)),
            count(Outcome::NotRun),
            count(Outcome::Unknown),
            count(Outcome::Shed),
        );
    }
}

/// Returns the rate of `count` events in `seconds`.
#[must_use]
pub fn per_second(count: usize, seconds: f64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX)) / seconds
}

/// Converts microseconds to milliseconds.
#[must_use]
pub fn millis(us: u64) -> f64 {
    f64::from(u32::try_from(us).unwrap_or(u32::MAX)) / 1_000.0
}
