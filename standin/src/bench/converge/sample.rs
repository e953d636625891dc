//! What the daemons spend: bytes at their sockets, processor time, platform calls.
//!
//! Bytes are read from the kernel's counters of each open TCP socket (`ss -tinp`), which costs the
//! daemons nothing. They are payload bytes, the framing of HTTP/2 included, the headers of TCP and
//! IP left out. The sockets are read several times a second, and only what a connection carries
//! between its last reading and its end is missed.

use super::daemons::Daemons;
use super::report::{Share, Traffic};
use crate::platform::{Calls, Platform};
use anyhow::Context as _;
use std::collections::{BTreeMap, BTreeSet};
use std::process::Command;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Length of the processor clock's tick in seconds.
const TICK_SECONDS: f64 = 0.01;
const PAGE_KB: u64 = 4;
const READ_EVERY: Duration = Duration::from_millis(300);

/// Counts what is spent from its making on.
pub struct Meter {
    started: Instant,
    calls: Calls,
    cpu: BTreeMap<u32, f64>,
    sockets: BTreeMap<Key, Count>,
    read: Instant,
}

/// A socket: its process and both addresses.
type Key = (u32, String, String);

#[derive(Clone, Copy)]
struct Count {
    first: u64,
    last: u64,
    kind: Kind,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// To the platform.
    Platform,
    /// To another daemon.
    Attached,
    /// From another daemon.
    Accepted,
}

impl Meter {
    /// Starts to count.
    pub fn start(platform: &Platform, daemons: &Daemons) -> anyhow::Result<Self> {
        let mut sockets = sockets(daemons)?;
        for count in sockets.values_mut() {
            count.first = count.last;
        }
        let ids = daemons.running().iter().filter_map(|one| one.process.id());
        Ok(Meter {
            started: Instant::now(),
            calls: platform.calls(),
            cpu: ids.map(|id| (id, cpu_seconds(id).unwrap_or(0.0))).collect(),
            sockets,
            read: Instant::now(),
        })
    }

    /// Reads the sockets if the last reading is old enough.
    pub fn read(&mut self, daemons: &Daemons) -> anyhow::Result<()> {
        if self.read.elapsed() < READ_EVERY {
            return Ok(());
        }
        self.read_now(daemons)
    }

    /// Waits for a time, and reads the sockets meanwhile.
    pub async fn wait(&mut self, daemons: &Daemons, time: Duration) -> anyhow::Result<()> {
        let ends = Instant::now() + time;
        while Instant::now() < ends {
            sleep(READ_EVERY.min(ends - Instant::now())).await;
            self.read(daemons)?;
        }
        Ok(())
    }

    /// Returns what daemons that ran all the time have spent.
    pub fn stop(mut self, platform: &Platform, daemons: &Daemons) -> anyhow::Result<Traffic> {
        self.read_now(daemons)?;
        let seconds = self.started.elapsed().as_secs_f64();
        let ids = daemons.running().iter().filter_map(|one| one.process.id());
        let (mut children, mut relays) = (Vec::new(), Vec::new());
        for id in ids {
            let Some(before) = self.cpu.get(&id) else {
                continue;
            };
            let spent = Spent {
                core: (cpu_seconds(id).unwrap_or(*before) - before) / seconds,
                mesh: self.bytes(id, |kind| kind != Kind::Platform) / seconds,
                platform: self.bytes(id, |kind| kind == Kind::Platform) / seconds,
            };
            let group = if self.is_relay(id) {
                &mut relays
            } else {
                &mut children
            };
            group.push(spent);
        }
        Ok(Traffic {
            seconds,
            child: share(&children),
            relay: share(&relays),
            calls: difference(&platform.calls(), &self.calls),
        })
    }

    fn read_now(&mut self, daemons: &Daemons) -> anyhow::Result<()> {
        for (key, count) in sockets(daemons)? {
            let known = self.sockets.entry(key).or_insert(count);
            known.last = count.last.max(known.last);
        }
        self.read = Instant::now();
        Ok(())
    }

    fn bytes(&self, id: u32, wanted: impl Fn(Kind) -> bool) -> f64 {
        let sockets = self.sockets.iter();
        let own = sockets.filter(|((process, ..), count)| *process == id && wanted(count.kind));
        own.map(|(_, count)| (count.last - count.first) as f64)
            .sum()
    }

    fn is_relay(&self, id: u32) -> bool {
        let mut sockets = self.sockets.iter();
        sockets.any(|((process, ..), count)| *process == id && count.kind == Kind::Accepted)
    }
}

/// What one daemon has spent in a second.
struct Spent {
    core: f64,
    mesh: f64,
    platform: f64,
}

fn share(daemons: &[Spent]) -> Share {
    let total = |one: &Spent| one.mesh + one.platform;
    Share {
        count: daemons.len(),
        bytes_s: mean(daemons.iter().map(total)),
        max_bytes_s: daemons.iter().map(total).fold(0.0, f64::max),
        mesh_bytes_s: mean(daemons.iter().map(|one| one.mesh)),
        core: mean(daemons.iter().map(|one| one.core)),
    }
}

/// Returns the running daemons to which others are attached, by their place.
pub fn relays(daemons: &Daemons) -> anyhow::Result<Vec<usize>> {
    let accepting: BTreeSet<u32> = sockets(daemons)?
        .into_iter()
        .filter(|(_, count)| count.kind == Kind::Accepted)
        .map(|((process, ..), _)| process)
        .collect();
    let running = daemons.running().iter().enumerate();
    Ok(running
        .filter(|(_, one)| one.process.id().is_some_and(|id| accepting.contains(&id)))
        .map(|(place, _)| place)
        .collect())
}

/// Reads the sockets to the platform and between daemons.
fn sockets(daemons: &Daemons) -> anyhow::Result<BTreeMap<Key, Count>> {
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

fn read_socket(line: &str, platform: &str, meshes: &BTreeSet<String>) -> Option<(Key, Count)> {
    let mut fields = line.split_whitespace();
    let local = fields.nth(3)?;
    let remote = fields.next()?;
    let kind = if meshes.contains(local) {
        Kind::Accepted
    } else if remote == platform {
        Kind::Platform
    } else if meshes.contains(remote) {
        Kind::Attached
    } else {
        return None;
    };
    let (_, process) = line.split_once("pid=")?;
    let process = process.split(',').next()?.parse().ok()?;
    let count = |name: &str| {
        let value = line.split_whitespace().find_map(|f| f.strip_prefix(name));
        value
            .and_then(|value| value.parse::<u64>().ok())
            .unwrap_or(0)
    };
    let last = count("bytes_sent:") + count("bytes_received:");
    let count = Count {
        first: 0,
        last,
        kind,
    };
    Some(((process, local.into(), remote.into()), count))
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
