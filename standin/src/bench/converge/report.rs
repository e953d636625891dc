//! Results of a run, as a table and as JSON lines.

use crate::platform::Calls;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::io::Write as _;
use std::time::Duration;

/// Resource usage per second of the daemons of one role; means unless noted otherwise.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Number of daemons with this role.
    pub count: usize,
    /// Bytes exchanged with the platform and with other daemons, sent and received, per second.
    pub bytes_s: f64,
    /// Maximum of `bytes_s` over the daemons.
    pub max_bytes_s: f64,
    /// Bytes exchanged with other daemons, per second.
    pub mesh_bytes_s: f64,
    /// CPU time as a fraction of a core.
    pub core: f64,
}

/// Resource usage of the fleet during a measurement.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetUsage {
    /// Duration of the measurement.
    pub seconds: f64,
    /// Daemons to which no other daemon is attached.
    pub child: Usage,
    /// Daemons to which others are attached.
    pub relay: Usage,
    /// Calls to the platform during the measurement, by kind.
    pub calls: Calls,
}

impl FleetUsage {
    /// Returns the sum of a rate over all daemons, multiplied by the duration.
    fn total(&self, rate: impl Fn(&Usage) -> f64) -> f64 {
        let all = |usage| rate(usage) * usage.count as f64;
        (all(&self.child) + all(&self.relay)) * self.seconds
    }

    /// Returns the mean CPU time of a daemon as a fraction of a core.
    fn core(&self) -> f64 {
        let count = (self.child.count + self.relay.count).max(1) as f64;
        self.total(|usage| usage.core) / self.seconds.max(f64::MIN_POSITIVE) / count
    }
}

/// Results for one mode and fleet size.
pub struct Report {
    mode: String,
    size: usize,
    ready: Duration,
    times: Histogram<u64>,
    /// Resource usage without changes or restarts.
    pub idle: FleetUsage,
    /// Resource usage during the changes.
    pub changing: FleetUsage,
    /// Resource usage during the restarts, of the daemons that were not restarted.
    pub churn: FleetUsage,
    /// Number of changes submitted.
    pub changes: u32,
    /// Length of a change's request body in bytes.
    pub change_len: usize,
    /// Number of restarts.
    pub restarts: u32,
    /// Time from the last restart until every daemon had exactly the running ones as members.
    pub settle_ms: u128,
    /// Convergence time of the change during which a relay was killed; `None` if it was not
    /// measured or not reached.
    pub killed_ms: Option<u64>,
    /// Mean resident memory of a daemon, in units of 1024 KB.
    pub rss_mb: f64,
    /// Number of changes and waits that failed.
    pub failed: u32,
}

impl Report {
    /// Creates a report without results except the time until the fleet was ready.
    pub fn new(mode: &str, size: usize, ready: Duration) -> Self {
        Report {
            mode: mode.into(),
            size,
            ready,
            times: Histogram::new(3).expect("three digits are valid"),
            idle: FleetUsage::default(),
            changing: FleetUsage::default(),
            churn: FleetUsage::default(),
            changes: 0,
            change_len: 0,
            restarts: 0,
            settle_ms: 0,
            killed_ms: None,
            rss_mb: 0.0,
            failed: 0,
        }
    }

    /// Records the convergence time of a change in milliseconds.
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

    /// Returns the 99th percentile of the convergence times, in milliseconds.
    pub fn p99_ms(&self) -> u64 {
        self.times.value_at_quantile(0.99)
    }

    /// Returns the bytes per change and daemon, in excess of the idle traffic.
    pub fn change_bytes(&self) -> f64 {
        self.excess_per_change(|usage| usage.bytes_s)
    }

    /// Returns the part of [`Report::change_bytes`] between daemons; each byte counts at both ends.
    fn mesh_change_bytes(&self) -> f64 {
        self.excess_per_change(|usage| usage.mesh_bytes_s)
    }

    fn excess_per_change(&self, rate: impl Fn(&Usage) -> f64 + Copy) -> f64 {
        let idle = self.idle.total(rate) / self.idle.seconds * self.changing.seconds;
        let excess = self.changing.total(rate) - idle;
        excess / f64::from(self.changes.max(1)) / self.size as f64
    }

    /// Returns a row of the table; the columns are those of [`heading`].
    pub fn row(&self) -> String {
        let Report { idle, churn, .. } = self;
        let killed = self.killed_ms.map_or("-".into(), |ms| ms.to_string());
        let fields = [
            self.mode.clone(),
            self.size.to_string(),
            self.times.value_at_quantile(0.5).to_string(),
            self.p99_ms().to_string(),
            self.times.max().to_string(),
            format!("{:.0}", self.change_bytes()),
            format!("{:.0}", self.mesh_change_bytes()),
            format!("{:.0}", idle.child.bytes_s),
            format!("{:.0}", idle.relay.bytes_s),
            format!("{:.0}", churn.child.bytes_s),
            format!("{:.0}", churn.relay.bytes_s),
            format!("{:.2}", 100.0 * idle.core()),
            format!("{:.2}", 100.0 * idle.relay.core),
            format!("{:.1}", self.rss_mb),
            format!("{:.1}", call_rate(idle)),
            killed,
            self.settle_ms.to_string(),
            self.failed.to_string(),
        ];
        fields.map(|field| format!("{field:>9}")).concat()
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
            "mesh_change_bytes": self.mesh_change_bytes(),
            "child_bytes_s": self.idle.child.bytes_s,
            "relay_bytes_s": self.idle.relay.bytes_s,
            "platform_calls_s": call_rate(&self.idle),
            "core_share": self.idle.core(),
            "rss_mb": self.rss_mb,
            "failed": self.failed,
            "restarts": self.restarts,
            "settle_ms": self.settle_ms,
            "idle": fleet_json(&self.idle),
            "changing": fleet_json(&self.changing),
            "churn": fleet_json(&self.churn),
        })
    }
}

/// Returns the calls to the platform per second.
fn call_rate(usage: &FleetUsage) -> f64 {
    usage.calls.total() as f64 / usage.seconds.max(f64::MIN_POSITIVE)
}

fn fleet_json(fleet: &FleetUsage) -> Value {
    let per_second = |count: u64| count as f64 / fleet.seconds.max(f64::MIN_POSITIVE);
    json!({
        "seconds": fleet.seconds,
        "child": usage_json(&fleet.child),
        "relay": usage_json(&fleet.relay),
        "gets_s": per_second(fleet.calls.gets),
        "lists_s": per_second(fleet.calls.lists),
        "watches_s": per_second(fleet.calls.watches),
        "swaps_s": per_second(fleet.calls.swaps),
        "leases_s": per_second(fleet.calls.leases),
        "refused_s": per_second(fleet.calls.refused),
    })
}

fn usage_json(usage: &Usage) -> Value {
    json!({
        "count": usage.count,
        "bytes_s": usage.bytes_s,
        "max_bytes_s": usage.max_bytes_s,
        "mesh_bytes_s": usage.mesh_bytes_s,
        "core": usage.core,
    })
}

/// Returns the header row of the table.
pub fn heading() -> String {
    let names = [
        "mode", "daemons", "p50 ms", "p99 ms", "max ms", "B/change", "mesh B/c", "child/s",
        "relay/s", "churn-c", "churn-r", "core %", "r-core %", "RSS MB", "calls/s", "kill ms",
        "settle", "failed",
    ];
    names.map(|name| format!("{name:>9}")).concat()
}

/// Returns the explanation of the columns.
pub fn legend() -> &'static str {
    "p50, p99, max: from acceptance until in force on every daemon (from log lines, to 1 ms)\n\
     B/change: bytes sent and received per change and daemon, in excess of its idle traffic;\n\
     mesh B/c: of these, bytes between daemons\n\
     child/s, relay/s: bytes sent and received per second, idle; churn: at 2 restarts per second\n\
     core %, r-core %: CPU usage, idle, mean of all daemons and relays; calls/s: to the platform\n\
     kill ms: convergence while a relay is killed; settle: ms from the last restart until all ready"
}

/// Writes one JSON object per line.
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
