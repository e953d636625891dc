//! The figures of a run, as a table and as JSON lines.

use crate::platform::Calls;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::io::Write as _;
use std::time::Duration;

/// What daemons of one role spent in a second; means over them unless said otherwise.
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    /// The number of daemons.
    pub count: usize,
    /// Bytes sent and received, to the platform and to other daemons.
    pub bytes_s: f64,
    /// The same of the daemon that spent most.
    pub max_bytes_s: f64,
    /// Bytes sent to and received from other daemons.
    pub mesh_bytes_s: f64,
    /// Share of a core.
    pub core: f64,
}

/// What the fleet spent in a time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// The length of the time.
    pub seconds: f64,
    /// The daemons that no other is attached to.
    pub child: Share,
    /// The daemons that others are attached to.
    pub relay: Share,
    /// Calls to the platform, by kind.
    pub calls: Calls,
}

impl Traffic {
    /// Returns the bytes of all daemons.
    fn bytes(&self, rate: impl Fn(&Share) -> f64) -> f64 {
        let all = |share| rate(share) * share.count as f64;
        (all(&self.child) + all(&self.relay)) * self.seconds
    }

    /// Returns the mean share of a core.
    fn core(&self) -> f64 {
        let count = (self.child.count + self.relay.count).max(1) as f64;
        self.bytes(|share| share.core) / self.seconds.max(f64::MIN_POSITIVE) / count
    }
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
        self.change_cost(|share| share.bytes_s)
    }

    /// Returns the part of [`Report::change_bytes`] between daemons, where each byte counts twice.
    fn mesh_change_bytes(&self) -> f64 {
        self.change_cost(|share| share.mesh_bytes_s)
    }

    fn change_cost(&self, rate: impl Fn(&Share) -> f64 + Copy) -> f64 {
        let idle = self.idle.bytes(rate) / self.idle.seconds * self.changing.seconds;
        let above = self.changing.bytes(rate) - idle;
        above / f64::from(self.changes.max(1)) / self.size as f64
    }

    /// Returns a line of the table.
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
            format!("{:.1}", rate(idle)),
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
            "platform_calls_s": rate(&self.idle),
            "core_share": self.idle.core(),
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
        "child": share_json(&traffic.child),
        "relay": share_json(&traffic.relay),
        "gets_s": per_second(traffic.calls.gets),
        "lists_s": per_second(traffic.calls.lists),
        "watches_s": per_second(traffic.calls.watches),
        "swaps_s": per_second(traffic.calls.swaps),
        "leases_s": per_second(traffic.calls.leases),
        "refused_s": per_second(traffic.calls.refused),
    })
}

fn share_json(share: &Share) -> Value {
    json!({
        "count": share.count,
        "bytes_s": share.bytes_s,
        "max_bytes_s": share.max_bytes_s,
        "mesh_bytes_s": share.mesh_bytes_s,
        "core": share.core,
    })
}

/// Returns the heading of the table.
pub fn heading() -> String {
    let names = [
        "mode", "daemons", "p50 ms", "p99 ms", "max ms", "B/change", "mesh B/c", "child/s",
        "relay/s", "churn-c", "churn-r", "core %", "r-core %", "RSS MB", "calls/s", "kill ms",
        "settle", "failed",
    ];
    names.map(|name| format!("{name:>9}")).concat()
}

/// Returns what the columns mean.
pub fn legend() -> &'static str {
    "p50, p99, max: from acceptance until every daemon enforces the change (log lines, 1 ms)\n\
     B/change: bytes sent and received by a daemon for a change, above its idle traffic;\n\
     mesh B/c: of these, bytes between daemons\n\
     child/s, relay/s: bytes sent and received in a second, idle; churn: with 2 restarts a second\n\
     core %, r-core %: of a core, idle, by all daemons and by relays; calls/s: to the platform\n\
     kill ms: convergence while a relay is killed; settle: ms from the last restart until all agree"
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
