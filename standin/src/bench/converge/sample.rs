//! Measures the resource usage of the daemons: bytes at their sockets, CPU time, platform calls.
//!
//! Bytes are read from the kernel's counters of each open TCP socket (`ss -tinp`), without overhead
//! for the daemons. They are payload bytes: HTTP/2 framing is included, TCP and IP headers are not.
//! The sockets are read several times per second; only the bytes that a connection transfers
//! between its last reading and its end are missed.

use super::daemons::Daemons;
use super::report::{FleetUsage, Usage};
use crate::platform::{Calls, Platform};
use anyhow::Context as _;
use std::collections::{BTreeMap, BTreeSet};
use std::process::Command;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Clock tick of the CPU times in `/proc`, in seconds; assumes `CLK_TCK` = 100.
const TICK_SECONDS: f64 = 0.01;
/// Size of a memory page, in units of 1024 bytes; assumes pages of 4 KiB.
const PAGE_KB: u64 = 4;
/// Minimum time between two readings of the sockets.
const READ_INTERVAL: Duration = Duration::from_millis(300);

/// Measures the resource usage from its creation until [`Meter::stop`].
pub struct Meter {
    started: Instant,
    calls: Calls,
    /// CPU time at the start in seconds, by process id.
    cpu_seconds: BTreeMap<u32, f64>,
    sockets: BTreeMap<SocketKey, SocketBytes>,
    last_read: Instant,
}

/// Process id, local address and remote address of a socket.
type SocketKey = (u32, String, String);

#[derive(Clone, Copy)]
/// Byte counter of a socket at the first and the last reading; the first is zero for a socket
/// that was opened during the measurement.
struct SocketBytes {
    first: u64,
    last: u64,
    kind: SocketKind,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum SocketKind {
    /// Connection to the platform.
    Platform,
    /// Attachment to another daemon.
    Attached,
    /// Attachment accepted from another daemon.
    Accepted,
}

impl Meter {
    /// Starts a measurement with the current counters.
    pub fn start(platform: &Platform, daemons: &Daemons) -> anyhow::Result<Self> {
        let mut sockets = sockets(daemons)?;
        for bytes in sockets.values_mut() {
            bytes.first = bytes.last;
        }
        let pids = daemons
            .running()
            .iter()
            .filter_map(|daemon| daemon.process.id());
        Ok(Meter {
            started: Instant::now(),
            calls: platform.calls(),
            cpu_seconds: pids
                .map(|pid| (pid, cpu_seconds(pid).unwrap_or(0.0)))
                .collect(),
            sockets,
            last_read: Instant::now(),
        })
    }

    /// Reads the sockets if the last reading is older than `READ_INTERVAL`.
    pub fn read_if_due(&mut self, daemons: &Daemons) -> anyhow::Result<()> {
        if self.last_read.elapsed() < READ_INTERVAL {
            return Ok(());
        }
        self.read(daemons)
    }

    /// Waits for a time while reading the sockets regularly.
    pub async fn wait(&mut self, daemons: &Daemons, time: Duration) -> anyhow::Result<()> {
        let deadline = Instant::now() + time;
        while Instant::now() < deadline {
            sleep(READ_INTERVAL.min(deadline - Instant::now())).await;
            self.read_if_due(daemons)?;
        }
        Ok(())
    }

    /// Returns the mean usage of the daemons that ran during the whole measurement, and the total
    /// number of platform calls.
    pub fn stop(mut self, platform: &Platform, daemons: &Daemons) -> anyhow::Result<FleetUsage> {
        self.read(daemons)?;
        let seconds = self.started.elapsed().as_secs_f64();
        let pids = daemons
            .running()
            .iter()
            .filter_map(|daemon| daemon.process.id());
        let (mut children, mut relays) = (Vec::new(), Vec::new());
        for pid in pids {
            let Some(before) = self.cpu_seconds.get(&pid) else {
                continue;
            };
            let usage = DaemonUsage {
                cpu_cores: (cpu_seconds(pid).unwrap_or(*before) - before) / seconds,
                mesh_bytes_s: self.bytes(pid, |kind| kind != SocketKind::Platform) / seconds,
                platform_bytes_s: self.bytes(pid, |kind| kind == SocketKind::Platform) / seconds,
            };
            let group = if self.is_relay(pid) {
                &mut relays
            } else {
                &mut children
            };
            group.push(usage);
        }
        Ok(FleetUsage {
            seconds,
            child: mean_usage(&children),
            relay: mean_usage(&relays),
            calls: difference(&platform.calls(), &self.calls),
        })
    }

    fn read(&mut self, daemons: &Daemons) -> anyhow::Result<()> {
        for (key, bytes) in sockets(daemons)? {
            let entry = self.sockets.entry(key).or_insert(bytes);
            entry.last = bytes.last.max(entry.last);
        }
        self.last_read = Instant::now();
        Ok(())
    }

    fn bytes(&self, pid: u32, wanted: impl Fn(SocketKind) -> bool) -> f64 {
        let sockets = self.sockets.iter();
        let own = sockets.filter(|((owner, ..), bytes)| *owner == pid && wanted(bytes.kind));
        own.map(|(_, bytes)| (bytes.last - bytes.first) as f64)
            .sum()
    }

    fn is_relay(&self, pid: u32) -> bool {
        let mut sockets = self.sockets.iter();
        sockets.any(|((owner, ..), bytes)| *owner == pid && bytes.kind == SocketKind::Accepted)
    }
}

/// Mean resource usage of one daemon; bytes are sent and received ones, per second.
struct DaemonUsage {
    /// CPU time as a fraction of a core.
    cpu_cores: f64,
    mesh_bytes_s: f64,
    platform_bytes_s: f64,
}

fn mean_usage(daemons: &[DaemonUsage]) -> Usage {
    let total = |daemon: &DaemonUsage| daemon.mesh_bytes_s + daemon.platform_bytes_s;
    Usage {
        count: daemons.len(),
        bytes_s: mean(daemons.iter().map(total)),
        max_bytes_s: daemons.iter().map(total).fold(0.0, f64::max),
        mesh_bytes_s: mean(daemons.iter().map(|daemon| daemon.mesh_bytes_s)),
        core: mean(daemons.iter().map(|daemon| daemon.cpu_cores)),
    }
}

/// Returns the indices of the running daemons to which others are attached.
pub fn relays(daemons: &Daemons) -> anyhow::Result<Vec<usize>> {
    let accepting: BTreeSet<u32> = sockets(daemons)?
        .into_iter()
        .filter(|(_, bytes)| bytes.kind == SocketKind::Accepted)
        .map(|((pid, ..), _)| pid)
        .collect();
    let running = daemons.running().iter().enumerate();
    Ok(running
        .filter(|(_, daemon)| {
            daemon
                .process
                .id()
                .is_some_and(|pid| accepting.contains(&pid))
        })
        .map(|(index, _)| index)
        .collect())
}

/// Reads the byte counters of the connections to the platform and between daemons.
fn sockets(daemons: &Daemons) -> anyhow::Result<BTreeMap<SocketKey, SocketBytes>> {
    let output = Command::new("ss").arg("-tinpH").output().context("ss")?;
    let text = String::from_utf8_lossy(&output.stdout).replace("\n\t", " ");
    let running = daemons.running().iter();
    let meshes: BTreeSet<String> = running
        .map(|daemon| daemon.process.mesh.to_string())
        .collect();
    let platform = daemons.platform().to_string();
    Ok(text
        .lines()
        .filter_map(|line| parse_socket(line, &platform, &meshes))
        .collect())
}

/// Parses a line of `ss`; returns `None` for other connections.
fn parse_socket(
    line: &str,
    platform: &str,
    meshes: &BTreeSet<String>,
) -> Option<(SocketKey, SocketBytes)> {
    let mut fields = line.split_whitespace();
    // State, Recv-Q and Send-Q precede the local address.
    let local = fields.nth(3)?;
    let remote = fields.next()?;
    let kind = if meshes.contains(local) {
        SocketKind::Accepted
    } else if remote == platform {
        SocketKind::Platform
    } else if meshes.contains(remote) {
        SocketKind::Attached
    } else {
        return None;
    };
    let (_, pid) = line.split_once("pid=")?;
    let pid = pid.split(',').next()?.parse().ok()?;
    let count = |name: &str| {
        let value = line.split_whitespace().find_map(|f| f.strip_prefix(name));
        value
            .and_then(|value| value.parse::<u64>().ok())
            .unwrap_or(0)
    };
    let last = count("bytes_sent:") + count("bytes_received:");
    let bytes = SocketBytes {
        first: 0,
        last,
        kind,
    };
    Some(((pid, local.into(), remote.into()), bytes))
}

/// Returns the CPU time that a process has used, in user and kernel mode.
fn cpu_seconds(pid: u32) -> Option<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The command in parentheses may contain spaces.
    let (_, rest) = stat.rsplit_once(") ")?;
    // The fields utime and stime, 14 and 15 in proc(5).
    let ticks = rest.split(' ').skip(11).take(2);
    let ticks: f64 = ticks.filter_map(|field| field.parse::<f64>().ok()).sum();
    Some(ticks * TICK_SECONDS)
}

/// Returns the resident memory of a process in kilobytes.
pub fn rss_kb(pid: u32) -> Option<u64> {
    let statm = std::fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
    // The second field is the number of resident pages.
    let pages: u64 = statm.split(' ').nth(1)?.parse().ok()?;
    Some(pages * PAGE_KB)
}

/// Returns the mean, or zero without values.
pub fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    if count == 0.0 { 0.0 } else { sum / count }
}

fn difference(later: &Calls, earlier: &Calls) -> Calls {
    Calls {
        gets: later.gets - earlier.gets,
        lists: later.lists - earlier.lists,
        watches: later.watches - earlier.watches,
        swaps: later.swaps - earlier.swaps,
        leases: later.leases - earlier.leases,
        refused: later.refused - earlier.refused,
    }
}
