//! Fleet of daemon processes under measurement.

use super::Options;
use super::timing::Timing;
use crate::caller;
use crate::fleet::{Launcher, Process};
use anyhow::{Context as _, bail, ensure};
use futures_util::stream::{FuturesUnordered, StreamExt};
use http::{Method, Request};
use http_body_util::Full;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Number of daemons that are started concurrently.
const START_BATCH: usize = 16;
/// Time limit for a daemon's response; exceeding it fails the run.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Address without a listener; this measurement makes no calls.
const NO_BACKEND: &str = "127.0.0.1:9";
/// Fleets with fewer daemons have two failure domains, others four.
const SMALL_FLEET: usize = 32;

/// Fleet of daemons for one size and mode.
pub struct Daemons {
    launcher: Launcher,
    mode: String,
    platform: SocketAddr,
    flags: Vec<String>,
    services: u32,
    timing: Timing,
    running: Vec<RunningDaemon>,
    /// Number of processes started so far; each gets a number that identifies its log lines.
    started: usize,
    /// Number of daemons at the start.
    size: usize,
}

/// A running daemon.
pub struct RunningDaemon {
    /// Process of the daemon.
    pub process: Process,
    /// Number in the daemon's name `vm-N`; a restarted daemon keeps it.
    vm: usize,
    /// Number of the process, which identifies its log lines.
    number: usize,
}

impl Daemons {
    /// Creates a fleet without daemons.
    pub fn new(
        mode: &str,
        platform: SocketAddr,
        options: &Options,
        timing: Timing,
    ) -> anyhow::Result<Self> {
        Ok(Daemons {
            launcher: Launcher::current_exe()?,
            mode: mode.into(),
            platform,
            flags: options.flags.split_whitespace().map(Into::into).collect(),
            services: options.services,
            timing,
            running: Vec::new(),
            started: 0,
            size: 0,
        })
    }

    /// Returns the number of running daemons.
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// Returns the running daemons.
    pub fn running(&self) -> &[RunningDaemon] {
        &self.running
    }

    /// Returns the address of the platform.
    pub fn platform(&self) -> SocketAddr {
        self.platform
    }

    /// Starts `size` daemons.
    pub async fn start(&mut self, size: usize) -> anyhow::Result<()> {
        self.size = size;
        for first in (0..size).step_by(START_BATCH) {
            let last = size.min(first + START_BATCH);
            let mut starting = FuturesUnordered::new();
            for index in first..last {
                starting.push(self.start_one(index, self.started + index - first));
            }
            let mut running = Vec::new();
            while let Some(started) = starting.next().await {
                running.push(started?);
            }
            drop(starting);
            running.sort_by_key(|running: &RunningDaemon| running.vm);
            self.started += running.len();
            self.running.extend(running);
        }
        Ok(())
    }

    async fn start_one(&self, vm: usize, number: usize) -> anyhow::Result<RunningDaemon> {
        let domains = if self.size < SMALL_FLEET { 2 } else { 4 };
        let domain = vm % domains;
        let service = vm % self.services.max(1) as usize;
        let flags = [
            ("--name", format!("vm-{vm}")),
            ("--domain", format!("domain-{domain}")),
            ("--region", format!("region-{}", domain % 2)),
            ("--service", format!("service-{service}")),
            ("--backend", NO_BACKEND.into()),
            ("--platform", self.platform.to_string()),
            ("--distribution", self.mode.clone()),
        ];
        let mut flags: Vec<String> = flags
            .into_iter()
            .flat_map(|(flag, value)| [flag.to_owned(), value])
            .collect();
        flags.extend(self.flags.iter().cloned());
        let timing = self.timing.clone();
        let observe = move |line: &str| timing.read(number, line);
        let process = self.launcher.start_observed(&flags, observe).await?;
        Ok(RunningDaemon {
            process,
            vm,
            number,
        })
    }

    /// Kills a daemon and starts it again with the same name.
    pub async fn restart(&mut self, index: usize) -> anyhow::Result<()> {
        let running = &mut self.running[index];
        running.process.kill().await?;
        let vm = running.vm;
        self.started += 1;
        let started = self.start_one(vm, self.started - 1).await?;
        self.running[index] = started;
        Ok(())
    }

    /// Kills a daemon and removes it from the fleet.
    pub async fn kill(&mut self, index: usize) -> anyhow::Result<()> {
        let mut running = self.running.remove(index);
        running.process.kill().await
    }

    /// Applies the initial configuration.
    pub async fn apply_initial(&self, services: u32) -> anyhow::Result<()> {
        let mut put = Vec::new();
        for index in 0..services {
            let name = format!("service-{index}");
            put.push(json!({ "kind": "policy", "name": name, "spec": {
                "kinds": { "lookup": 10, "issue": 100 } } }));
            put.push(json!({ "kind": "pool", "name": name, "spec": pool(12) }));
            put.push(json!({ "kind": "service", "name": name, "spec": {
                "pool": name, "policy": name } }));
            put.push(json!({ "kind": "route", "name": name, "spec": {
                "prefix": format!("/{name}"), "service": name, "request_kind": "lookup",
                "idempotent": true } }));
        }
        let body = json!({ "id": "seed", "title": "First configuration", "put": put });
        self.apply(0, "seed", body.to_string()).await?;
        Ok(())
    }

    /// Applies a change at a daemon and returns the version that contains it.
    pub async fn apply(&self, index: usize, id: &str, body: String) -> anyhow::Result<u64> {
        let request = Request::builder()
            .method(Method::POST)
            .uri("/v1/changes")
            .body(Full::from(body))?;
        let response = caller::call(self.running[index].process.operator, request);
        let response = timeout(RESPONSE_TIMEOUT, response).await;
        let response = response.with_context(|| format!("change {id}: no response"))??;
        let body: Value = serde_json::from_slice(response.body())?;
        ensure!(response.status().is_success(), "change {id}: {body}");
        body["version"].as_u64().context("no version")
    }

    /// Waits until a version is in force on every daemon; see [`Timing::converged`].
    pub async fn converged(&self, version: u64, deadline: Instant) -> Option<u64> {
        let numbers: Vec<usize> = self.running.iter().map(|daemon| daemon.number).collect();
        self.timing.converged(version, &numbers, deadline).await
    }

    /// Waits until every daemon has a configuration and exactly the running daemons as members.
    pub async fn wait_ready(&self, limit: Duration) -> anyhow::Result<()> {
        let deadline = Instant::now() + limit;
        for running in &self.running {
            loop {
                let state = timeout(RESPONSE_TIMEOUT, running.process.state()).await;
                let state = state.with_context(|| format!("vm-{}: no state", running.vm))??;
                if is_ready(&state, self.running.len()) {
                    break;
                }
                if Instant::now() >= deadline {
                    bail!(
                        "{} has version {} and {} of {} members",
                        state["admin"]["name"],
                        state["config"]["version"],
                        state["members"]["count"],
                        self.running.len()
                    );
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Returns the mean resident memory of a daemon, in units of 1024 KB.
    pub fn rss_mb(&self) -> f64 {
        super::sample::mean(self.running.iter().filter_map(|running| {
            let id = running.process.id()?;
            Some(super::sample::rss_kb(id)? as f64 / 1_024.0)
        }))
    }

    /// Kills every daemon.
    pub async fn stop(&mut self) {
        for running in &mut self.running {
            // Killing fails only for a process that has terminated already.
            let _ = running.process.kill().await;
        }
        self.running.clear();
    }
}

fn is_ready(state: &Value, count: usize) -> bool {
    let version = state["config"]["version"].as_u64().unwrap_or(0);
    version > 0 && state["members"]["count"].as_u64() == Some(count as u64)
}

/// Returns the body and the id of a change that resizes one pool to more than its initial 12 slots.
pub fn change(index: u32, service: u32) -> (String, String) {
    let id = format!("change-{index}");
    let name = format!("service-{service}");
    let put = json!([{ "kind": "pool", "name": name, "spec": pool(13 + index % 1_000) }]);
    let body = json!({ "id": id, "title": "Resize a pool", "put": put });
    (body.to_string(), id)
}

fn pool(slots: u32) -> Value {
    json!({ "slots": slots, "connections": 120 })
}
