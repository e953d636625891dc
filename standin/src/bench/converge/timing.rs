//! Times at which each daemon put each version in force, read from its log lines.

use baobabstage::sync::lock;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep};

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Version events in the log lines of all daemons. All timestamps are of this machine's clock and
/// can be compared.
#[derive(Clone, Debug, Default)]
pub struct Timing {
    events: Arc<Mutex<VersionEvents>>,
}

#[derive(Debug, Default)]
struct VersionEvents {
    /// Timestamps in milliseconds and versions put in force, by process number.
    applied: BTreeMap<usize, Vec<(u64, u64)>>,
    /// Timestamp of the acceptance of each version, in milliseconds.
    accepted: BTreeMap<u64, u64>,
}

impl Timing {
    /// Records the event of a log line of a process; ignores other lines.
    ///
    /// Event 200 is `VersionApplied`, event 202 is `ChangeAccepted`.
    pub fn read(&self, process: usize, line: &str) {
        let Some(time) = number(line, "time_ms=") else {
            return;
        };
        let Some(version) = number(line, " version=") else {
            return;
        };
        let mut events = lock(&self.events);
        if line.contains(" event=200 ") {
            let applied = events.applied.entry(process).or_default();
            applied.push((time, version));
        } else if line.contains(" event=202 ") {
            events.accepted.entry(version).or_insert(time);
        }
    }

    /// Waits until a version or a later one is in force at these processes.
    ///
    /// Returns the milliseconds from its acceptance until the last process had it, or `None` after
    /// the deadline.
    pub async fn converged(
        &self,
        version: u64,
        processes: &[usize],
        deadline: Instant,
    ) -> Option<u64> {
        loop {
            if let Some(millis) = self.convergence_ms(version, processes) {
                return Some(millis);
            }
            if Instant::now() >= deadline {
                self.print_missing(version, processes);
                return None;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    fn convergence_ms(&self, version: u64, processes: &[usize]) -> Option<u64> {
        let events = lock(&self.events);
        let accepted = *events.accepted.get(&version)?;
        let mut last = accepted;
        for process in processes {
            last = last.max(events.applied_ms(*process, version)?);
        }
        Some(last - accepted)
    }

    fn print_missing(&self, version: u64, processes: &[usize]) {
        let events = lock(&self.events);
        let missing = processes.iter();
        let missing: Vec<&usize> = missing
            .filter(|process| events.applied_ms(**process, version).is_none())
            .collect();
        let accepted = events.accepted.get(&version);
        eprintln!("bench: version {version} (accepted: {accepted:?}) is missing at {missing:?}");
    }
}

impl VersionEvents {
    /// Returns the time at which a process first had this version or a later one in force.
    fn applied_ms(&self, process: usize, version: u64) -> Option<u64> {
        let applied = self.applied.get(&process)?;
        let found = applied.iter().find(|(_, applied)| *applied >= version);
        found.map(|(time, _)| *time)
    }
}

/// Parses the number that follows a prefix.
fn number(line: &str, prefix: &str) -> Option<u64> {
    let (_, rest) = line.split_once(prefix)?;
    let end = rest.find(|c: char| !c.is_ascii_digit());
    rest[..end.unwrap_or(rest.len())].parse().ok()
}
