//! What the daemons have spent so far: bytes at their sockets, processor time, platform calls.
//!
//! Bytes are read from the kernel's counters of each open TCP socket (`ss -tinp`), which costs the
//! daemons nothing. They are payload bytes, the framing of HTTP/2 included, the headers of TCP and
//! IP left out. Connections that were opened and closed between two samples are missed.

use super::daemons::Daemons;
use super::report::Traffic;
use crate::platform::{Calls, Platform};
use anyhow::Context as _;
use std::collections::{BTreeMap, BTreeSet};
use std::process::Command;
use tokio::time::Instant;

/// Length of the processor clock's tick in seconds.
const TICK_SECONDS: f64 = 0.01;
const PAGE_KB: u64 = 4;

/// The counters at one time.
pub struct Sample {
    at: Instant,
    calls: Calls,
    daemons: BTreeMap<u32, Spent>,
}

#[derive(Clone, Copy, Default)]
struct Spent {
    bytes: u64,
    seconds: f64,
    relay: bool,
}

impl Sample {
    /// Reads the counters of all running daemons.
    pub fn take(platform: &Platform, daemons: &Daemons) -> anyhow::Result<Self> {
        let sockets = sockets(daemons)?;
        let mut spent: BTreeMap<u32, Spent> = BTreeMap::new();
        for id in daemons.running().iter().filter_map(|one| one.process.id()) {
            let seconds = cpu_seconds(id).unwrap_or(0.0);
            let one = Spent {
                seconds,
                ..Spent::default()
            };
            spent.insert(id, one);
        }
        for socket in sockets {
            if let Some(one) = spent.get_mut(&socket.process) {
                one.bytes += socket.bytes;
                one.relay |= socket.accepted;
            }
        }
        Ok(Sample {
            at: Instant::now(),
            calls: platform.calls(),
            daemons: spent,
        })
    }

    /// Returns what was spent from this sample to a later one, by daemons that run at both.
    pub fn until(&self, later: &Sample) -> Traffic {
        let seconds = (later.at - self.at).as_secs_f64();
        let (mut children, mut relays, mut shares) = (Vec::new(), Vec::new(), Vec::new());
        let mut relay_shares = Vec::new();
        for (id, before) in &self.daemons {
            let Some(after) = later.daemons.get(id) else {
                continue;
            };
            let rate = after.bytes.saturating_sub(before.bytes) as f64 / seconds;
            let share = (after.seconds - before.seconds) / seconds;
            shares.push(share);
            if before.relay || after.relay {
                relays.push(rate);
                relay_shares.push(share);
            } else {
                children.push(rate);
            }
        }
        Traffic {
            seconds,
            child_bytes_s: mean(children.iter().copied()),
            child_max_bytes_s: max(&children),
            relay_bytes_s: mean(relays.iter().copied()),
            relay_max_bytes_s: max(&relays),
            relays: relays.len(),
            core_share: mean(shares.iter().copied()),
            relay_core_share: mean(relay_shares.iter().copied()),
            calls: difference(&later.calls, &self.calls),
        }
    }
}

/// Returns the running daemons to which others are attached, by their place.
pub fn relays(daemons: &Daemons) -> anyhow::Result<Vec<usize>> {
    let sockets = sockets(daemons)?;
    let accepting: BTreeSet<u32> = sockets
        .iter()
        .filter(|socket| socket.accepted)
        .map(|socket| socket.process)
        .collect();
    let running = daemons.running().iter().enumerate();
    Ok(running
        .filter(|(_, one)| one.process.id().is_some_and(|id| accepting.contains(&id)))
        .map(|(place, _)| place)
        .collect())
}

struct Socket {
    process: u32,
    bytes: u64,
    /// The daemon accepted it at its mesh address.
    accepted: bool,
}

/// Reads the sockets to the platform and between daemons.
fn sockets(daemons: &Daemons) -> anyhow::Result<Vec<Socket>> {
    let output = Command::new("ss").arg("-tinpH").output().context("ss")?;
    let text = String::from_utf8_lossy(&output.stdout).replace("\n\t", " ");
    let running = daemons.running().iter();
    let meshes: BTreeSet<String> = running.map(|one| one.process.mesh.to_string()).collect();
    let platform = daemons.platform().to_string();
    Ok(text
        .lines()
        .filter_map(|line| read_socket(line, &platform, &meshes))
        .collect())
}

fn read_socket(line: &str, platform: &str, meshes: &BTreeSet<String>) -> Option<Socket> {
    let mut fields = line.split_whitespace();
    let local = fields.nth(3)?;
    let remote = fields.next()?;
    let accepted = meshes.contains(local);
    if !accepted && remote != platform && !meshes.contains(remote) {
        return None;
    }
    let (_, process) = line.split_once("pid=")?;
    let process = process.split(',').next()?.parse().ok()?;
    let count = |name: &str| {
        let value = line.split_whitespace().find_map(|f| f.strip_prefix(name));
        value.and_then(|value| value.parse().ok()).unwrap_or(0)
    };
    let bytes: u64 = count("bytes_sent:") + count("bytes_received:");
    Some(Socket {
        process,
        bytes,
        accepted,
    })
}

/// Returns the processor time that a process has used.
fn cpu_seconds(id: u32) -> Option<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The command in parentheses may hold blanks.
    let (_, rest) = stat.rsplit_once(") ")?;
    let ticks = rest.split(' ').skip(11).take(2);
    let ticks: f64 = ticks.filter_map(|field| field.parse::<f64>().ok()).sum();
    Some(ticks * TICK_SECONDS)
}

/// Returns the resident memory of a process in kilobytes.
pub fn rss_kb(id: u32) -> Option<u64> {
    let statm = std::fs::read_to_string(format!("/proc/{id}/statm")).ok()?;
    let pages: u64 = statm.split(' ').nth(1)?.parse().ok()?;
    Some(pages * PAGE_KB)
}

/// Returns the mean, or zero of nothing.
pub fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    if count == 0.0 { 0.0 } else { sum / count }
}

fn max(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
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
