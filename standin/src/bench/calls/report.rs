//! What a run has shown.

use super::load::{Made, Told, Way, histogram};
use super::profile::Profile;
use crate::backend::Ledger;
use serde_json::{Value, json};

/// The figures of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The profile's name.
    pub profile: String,
    /// The scenario's name.
    pub scenario: String,
    /// Calls scheduled a second.
    pub offered_per_s: f64,
    /// Whole answers a second.
    pub goodput_per_s: f64,
    /// Added time of calls by the mesh, in milliseconds.
    pub added_p50_ms: f64,
    /// Added time of calls by the mesh at the 99th percentile, in milliseconds.
    pub added_p99_ms: f64,
    /// Calls for each second of processor time of the daemons, both hops together.
    pub calls_per_core: f64,
    /// Calls told "not run".
    pub not_run: usize,
    /// Calls told "unknown".
    pub unknown: usize,
    /// Calls that are not idempotent and ran twice.
    pub runs_twice: usize,
    /// Calls told "not run" that ran.
    pub not_run_but_run: usize,
    /// Calls with the answer of another, or a part of one, taken as whole.
    pub wrong_answers: usize,
}

impl Report {
    /// Writes the figures as JSON.
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

    /// Returns the promises that were broken.
    #[must_use]
    pub fn broken(&self) -> Vec<String> {
        let counts = [
            ("runs_twice", self.runs_twice),
            ("not_run_but_run", self.not_run_but_run),
            ("wrong_answers", self.wrong_answers),
        ];
        let broken = counts.into_iter().filter(|(_, count)| *count > 0);
        broken
            .map(|(name, count)| format!("{name}: {count}"))
            .collect()
    }

    /// Counts what the callers of the mesh were told against the record of runs.
    pub fn count(&mut self, profile: &Profile, calls: &[Made], ledger: &Ledger) {
        let mesh = calls.iter().filter(|call| call.way == Way::Mesh);
        for call in mesh {
            let runs = ledger.runs(&call.id);
            match call.told {
                Told::NotRun => self.not_run += 1,
                Told::Unknown => self.unknown += 1,
                Told::Wrong => self.wrong_answers += 1,
                Told::Answered | Told::Shed => {}
            }
            if call.told == Told::NotRun && runs > 0 {
                self.not_run_but_run += 1;
            }
            if call.told == Told::Answered && runs == 0 {
                self.wrong_answers += 1;
            }
            if runs > 1 && !profile.kinds[call.kind].idempotent {
                self.runs_twice += 1;
            }
        }
    }
}

/// Prints a line for each request kind.
pub fn print_kinds(profile: &Profile, calls: &[Made], seconds: f64) {
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
        let own = |call: &&Made| call.kind == index && call.way == Way::Mesh;
        let told = |told: Told| calls.iter().filter(own).filter(|c| c.told == told).count();
        let offered = calls.iter().filter(own).count();
        let answered = calls.iter().filter(own);
        let answered = histogram(answered.filter(|call| call.told == Told::Answered));
        println!(
            "  {:<10} {:>9.0} {:>9.0} {:>8.2} {:>8.2} {:>8.2} {:>8} {:>8} {:>6}",
            kind.name,
            per_second(offered, seconds),
            per_second(told(Told::Answered), seconds),
            millis(answered.value_at_quantile(0.5)),
            millis(answered.value_at_quantile(0.99)),
            millis(answered.value_at_quantile(0.999)),
            told(Told::NotRun),
            told(Told::Unknown),
            told(Told::Shed),
        );
    }
}

/// Returns a count as a rate.
#[must_use]
pub fn per_second(count: usize, seconds: f64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX)) / seconds
}

/// Returns microseconds as milliseconds.
#[must_use]
pub fn millis(us: u64) -> f64 {
    f64::from(u32::try_from(us).unwrap_or(u32::MAX)) / 1_000.0
}
