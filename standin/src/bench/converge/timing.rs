//! When each daemon put each version in force, read from its log lines.

use baobabstage::sync::lock;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep};

const POLL: Duration = Duration::from_millis(20);

/// The log lines of all daemons that tell of versions; all clocks are this machine's.
#[derive(Clone, Debug, Default)]
pub struct Timing {
    seen: Arc<Mutex<Seen>>,
}

#[derive(Debug, Default)]
struct Seen {
    /// When versions were put in force, as (milliseconds, version), by process.
    applied: BTreeMap<usize, Vec<(u64, u64)>>,
    /// When a version was accepted, in milliseconds.
    accepted: BTreeMap<u64, u64>,
}

impl Timing {
    /// Reads a log line of a process.
    pub fn read(&self, process: usize, line: &str) {
        let Some(time) = number(line, "time_ms=") else {
            return;
        };
        let Some(version) = number(line, " version=") else {
            return;
        };
        let mut seen = lock(&self.seen);
        if line.contains(" event=200 ") {
            let applied = seen.applied.entry(process).or_default();
            applied.push((time, version));
        } else if line.contains(" event=202 ") {
            seen.accepted.entry(version).or_insert(time);
        }
    }

    /// Waits until these processes enforce a version or a later one.
    ///
    /// Returns the milliseconds since its acceptance, or `None` when the time is up.
    pub async fn converged(&self, version: u64, processes: &[usize], ends: Instant) -> Option<u64> {
        loop {
            if let Some(millis) = self.time_of(version, processes) {
                return Some(millis);
            }
            if Instant::now() >= ends {
                self.print_missing(version, processes);
                return None;
            }
            sleep(POLL).await;
        }
    }

    fn time_of(&self, version: u64, processes: &[usize]) -> Option<u64> {
        let seen = lock(&self.seen);
        let accepted = *seen.accepted.get(&version)?;
        let mut last = accepted;
        for process in processes {
            last = last.max(seen.first(*process, version)?);
        }
        Some(last - accepted)
    }

    fn print_missing(&self, version: u64, processes: &[usize]) {
        let seen = lock(&self.seen);
        let missing = processes.iter();
        let missing: Vec<&usize> = missing
            .filter(|process| seen.first(**process, version).is_none())
            .collect();
        let accepted = seen.accepted.get(&version);
        eprintln!("bench: version {version} (accepted: {accepted:?}) is missing at {missing:?}");
    }
}

impl Seen {
    fn first(&self, process: usize, version: u64) -> Option<u64> {
        let applied = self.applied.get(&process)?;
        let found = applied.iter().find(|(_, applied)| *applied >= version);
        found.map(|(time, _)| *time)
    }
}

/// Reads the digits that follow a text.
fn number(line: &str, before: &str) -> Option<u64> {
    let (_, rest) = line.split_once(before)?;
    let end = rest.find(|c: char| !c.is_ascii_digit());
    rest[..end.unwrap_or(rest.len())].parse().ok()
}
