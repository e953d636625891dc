//! The figures of a run, as a table and as JSON lines.

use crate::platform::Calls;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::io::Write as _;
use std::time::Duration;

/// What daemons spent in a time; rates are means over daemons unless said otherwise.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// The length of the time.
    pub seconds: f64,
    /// Bytes sent and received by a child in a second.
    pub child_bytes_s: f64,
    /// The same of the child that spent most.
    pub child_max_bytes_s: f64,
    /// Bytes sent and received by a relay in a second.
    pub relay_bytes_s: f64,
    /// The same of the relay that spent most.
    pub relay_max_bytes_s: f64,
    /// The number of relays.
    pub relays: usize,
    /// Share of a core that a daemon used.
    pub core_share: f64,
    /// Share of a core that a relay used.
    pub relay_core_share: f64,
    /// Calls to the platform, by kind.
    pub calls: Calls,
}

/// The figures for one mode and size.
pub struct Report {
    mode: String,
    size: usize,
    ready: Duration,
    times: Histogram<u64>,
    /// What was spent while nothing happened.
    pub idle: Traffic,
    /// What was spent during the changes.
    pub changing: Traffic,
    /// What was spent while daemons restarted, by the others.
    pub churn: Traffic,
    /// Changes applied.
    pub changes: u32,
    /// The length of a change as submitted.
    pub change_len: usize,
    /// Daemons restarted.
    pub restarts: u32,
    /// Time from the last restart until every daemon knew exactly the running ones.
    pub settle_ms: u128,
    /// Convergence of the change during which a relay was killed.
    pub killed_ms: Option<u64>,
    /// Mean resident memory of a daemon.
    pub rss_mb: f64,
    /// Changes and waits that failed.
    pub failed: u32,
}

impl Report {
    /// Makes a report without figures.
    pub fn new(mode: &str, size: usize, ready: Duration) -> Self {
        Report {
            mode: mode.into(),
            size,
            ready,
            times: Histogram::new(3).expect("three digits are valid"),
            idle: Traffic::default(),
            changing: Traffic::default(),
            churn: Traffic::default(),
            changes: 0,
            change_len: 0,
            restarts: 0,
            settle_ms: 0,
            killed_ms: None,
            rss_mb: 0.0,
            failed: 0,
        }
    }

    /// Records the convergence time of a change.
    pub fn record(&mut self, millis: u64) {
        self.times.saturating_record(millis);
    }

    /// Returns the mode.
    pub fn mode(&self) -> &str {
        &self.mode
    }

    /// Returns the number of daemons.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Returns the greatest share of convergence times in milliseconds below which 99 % are.
    pub fn p99_ms(&self) -> u64 {
        self.times.value_at_quantile(0.99)
    }

    /// Returns the bytes that a change costs one daemon, above its idle traffic.
    pub fn change_bytes(&self) -> f64 {
        let all = |traffic: &Traffic| {
            let relays = traffic.relays as f64;
            let children = self.size as f64 - relays;
            traffic.child_bytes_s * children + traffic.relay_bytes_s * relays
        };
        let above = (all(&self.changing) - all(&self.idle)) * self.changing.seconds;
        above / f64::from(self.changes.max(1)) / self.size as f64
    }

    /// Returns a line of the table.
    pub fn row(&self) -> String {
        format!(
            "{:<7}{:>8}{:>8}{:>8}{:>8}{:>9.0}{:>9.0}{:>9.0}{:>9.0}{:>9.0}{:>7.2}{:>7.2}{:>7.1}{:>8}{:>8}{:>7}",
            self.mode,
            self.size,
            self.times.value_at_quantile(0.5),
            self.p99_ms(),
            self.times.max(),
            self.change_bytes(),
            self.idle.child_bytes_s,
            self.idle.relay_bytes_s,
            self.churn.child_bytes_s,
            self.churn.relay_bytes_s,
            100.0 * self.idle.core_share,
            100.0 * self.idle.relay_core_share,
            self.rss_mb,
            format!("{:.1}", rate(&self.idle)),
            self.killed_ms.map_or("-".into(), |ms| ms.to_string()),
            self.failed,
        )
    }

    fn json(&self) -> Value {
        json!({
            "mode": self.mode,
            "daemons": self.size,
            "ready_ms": self.ready.as_millis(),
            "converge_p50_ms": self.times.value_at_quantile(0.5),
            "converge_p99_ms": self.p99_ms(),
            "converge_max_ms": self.times.max(),
            "converge_killed_ms": self.killed_ms,
            "changes": self.changes,
            "change_len": self.change_len,
            "change_bytes": self.change_bytes(),
            "child_bytes_s": self.idle.child_bytes_s,
            "relay_bytes_s": self.idle.relay_bytes_s,
            "platform_calls_s": rate(&self.idle),
            "core_share": self.idle.core_share,
            "rss_mb": self.rss_mb,
            "failed": self.failed,
            "restarts": self.restarts,
            "settle_ms": self.settle_ms,
            "idle": traffic_json(&self.idle),
            "changing": traffic_json(&self.changing),
            "churn": traffic_json(&self.churn),
        })
    }
}

fn rate(traffic: &Traffic) -> f64 {
    traffic.calls.total() as f64 / traffic.seconds.max(f64::MIN_POSITIVE)
}

fn traffic_json(traffic: &Traffic) -> Value {
    let per_second = |count: u64| count as f64 / traffic.seconds.max(f64::MIN_POSITIVE);
    json!({
        "seconds": traffic.seconds,
        "child_bytes_s": traffic.child_bytes_s,
        "child_max_bytes_s": traffic.child_max_bytes_s,
        "relay_bytes_s": traffic.relay_bytes_s,
        "relay_max_bytes_s": traffic.relay_max_bytes_s,
        "relays": traffic.relays,
        "core_share": traffic.core_share,
        "relay_core_share": traffic.relay_core_share,
        "gets_s": per_second(traffic.calls.gets),
        "lists_s": per_second(traffic.calls.lists),
        "watches_s": per_second(traffic.calls.watches),
        "swaps_s": per_second(traffic.calls.swaps),
        "leases_s": per_second(traffic.calls.leases),
        "refused_s": per_second(traffic.calls.refused),
    })
}

/// Returns the heading of the table.
pub fn heading() -> &'static str {
    "mode    daemons  p50 ms  p99 ms  max ms B/change  child/s  relay/s churn-ch  churn-r  cpu%  \
     r-cpu% rss MB calls/s kill ms failed"
}

/// Returns what the columns mean.
pub fn legend() -> &'static str {
    "p50, p99, max: from acceptance until every daemon enforces the change (log lines, 1 ms)\n\
     B/change: bytes sent and received by a daemon for a change, above its idle traffic\n\
     child/s, relay/s: bytes sent and received in a second, idle; churn: with 2 restarts a second\n\
     cpu%, r-cpu%: share of a core, idle, of all daemons and of relays; calls/s: to the platform"
}

/// Writes one JSON object a line.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub fn write_json(file: &str, reports: &[Report]) -> anyhow::Result<()> {
    let mut file = std::fs::File::create(file)?;
    for report in reports {
        writeln!(file, "{}", report.json())?;
    }
    Ok(())
}
