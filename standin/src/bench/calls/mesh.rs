//! A service under measurement: daemons with backend servers, and entry daemons for the callers.

use super::profile::Profile;
use crate::backend::{Backend, Behaviour, RunLog};
use crate::caller;
use crate::fleet::{Launcher, Process};
use crate::platform::{Limits, Platform};
use anyhow::ensure;
use baobabstage::platform::{Client, ClientSettings, JsonDialect, Platform as _, Swap};
use http::{Method, Request};
use http_body_util::Full;
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time limit of each wait for the state of a daemon, and of a platform call.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Number of keys written to measure the time of a write.
const WRITE_SAMPLES: usize = 100;

/// Loopback address with any free port.
const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// A running service.
pub struct Mesh {
    /// Runs by request id, recorded by all backend servers.
    pub run_log: RunLog,
    /// Backend servers in order of their start.
    pub backends: Vec<Backend>,
    /// Daemons of the backend servers, in the same order.
    pub daemons: Vec<Process>,
    /// Daemons without a backend server, one per failure domain; callers connect to them.
    pub entries: Vec<Process>,
    platform: Platform,
    launcher: Launcher,
    profile: Profile,
}

impl Mesh {
    /// Starts the daemons and backend servers, and waits until the configuration is in force and
    /// every daemon has all members.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be started, or a wait times out.
    pub async fn start(
        launcher: Launcher,
        profile: &Profile,
        behaviour: Behaviour,
    ) -> anyhow::Result<Self> {
        let platform = Platform::start(LOOPBACK, Limits::default()).await?;
        let mut mesh = Mesh {
            run_log: RunLog::default(),
            backends: Vec::new(),
            daemons: Vec::new(),
            entries: Vec::new(),
            platform,
            launcher,
            profile: profile.clone(),
        };
        for index in 0..profile.upstreams {
            mesh.add(seeded(behaviour, index)).await?;
        }
        for domain in BTreeSet::from(profile.domains) {
            let flags = mesh.flags(&format!("entry-{domain}"), domain);
            let entry = mesh.launcher.start(&flags).await?;
            mesh.entries.push(entry);
        }
        mesh.apply_change(&profile.change()).await?;
        mesh.wait_members(mesh.daemons.len() + mesh.entries.len())
            .await?;
        Ok(mesh)
    }

    /// Starts another backend server with its daemon; does not wait for the other daemons.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be started.
    pub async fn add(&mut self, behaviour: Behaviour) -> anyhow::Result<()> {
        let index = self.backends.len();
        let name = format!("{}-{index}", self.profile.service);
        let backend = Backend::start(&name, LOOPBACK, behaviour, self.run_log.clone()).await?;
        let flags = self.upstream_flags(index, &backend);
        self.daemons.push(self.launcher.start(&flags).await?);
        self.backends.push(backend);
        Ok(())
    }

    /// Kills the daemon of a backend server, given by its index, and starts it again.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be killed or started.
    pub async fn restart(&mut self, index: usize) -> anyhow::Result<()> {
        self.daemons[index].kill().await?;
        let flags = self.upstream_flags(index, &self.backends[index]);
        self.daemons[index] = self.launcher.start(&flags).await?;
        Ok(())
    }

    /// Kills the daemons of all backend servers at once, and starts them again.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be killed or started.
    pub async fn restart_all(&mut self) -> anyhow::Result<()> {
        for daemon in &mut self.daemons {
            daemon.kill().await?;
        }
        for index in 0..self.daemons.len() {
            let flags = self.upstream_flags(index, &self.backends[index]);
            self.daemons[index] = self.launcher.start(&flags).await?;
        }
        Ok(())
    }

    fn upstream_flags(&self, index: usize, backend: &Backend) -> Vec<String> {
        let name = &backend.name;
        let mut flags = self.flags(name, self.profile.domain(index));
        flags.extend([
            "--service".into(),
            self.profile.service.into(),
            "--backend".into(),
            backend.address().to_string(),
            "--backend-health".into(),
            "/health".into(),
        ]);
        flags
    }

    /// Waits until every daemon has `count` members.
    ///
    /// # Errors
    ///
    /// Fails when a daemon does not reach this count within 30 seconds.
    pub async fn wait_members(&self, count: usize) -> anyhow::Result<()> {
        for daemon in self.daemons.iter().chain(&self.entries) {
            let all_joined = |state: &Value| state["members"]["count"] == count;
            daemon.wait_state("members", TIMEOUT, all_joined).await?;
        }
        Ok(())
    }

    /// Applies a change and waits until it is in force on every daemon.
    ///
    /// # Errors
    ///
    /// Fails when the change is refused or is not in force within 30 seconds.
    pub async fn apply_change(&self, change: &Value) -> anyhow::Result<()> {
        let daemons: Vec<&Process> = self.daemons.iter().chain(&self.entries).collect();
        send_change(&daemons, change).await
    }

    /// Returns the median time of two consecutive writes of a key to the platform.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not respond.
    pub async fn write_time(&self) -> anyhow::Result<Duration> {
        let settings = ClientSettings {
            address: self.platform.address(),
            timeout: TIMEOUT,
        };
        let client = Client::new(&settings, Arc::new(JsonDialect))?;
        let mut times = Vec::new();
        for number in 0..WRITE_SAMPLES {
            let key = format!("bench/{number}");
            let started = std::time::Instant::now();
            let Swap::Done(revision) = client.swap(&key, 0, Some("a".into()), 0).await? else {
                continue;
            };
            client.swap(&key, revision, Some("b".into()), 0).await?;
            times.push(started.elapsed());
        }
        times.sort();
        Ok(times.get(times.len() / 2).copied().unwrap_or_default())
    }

    /// Returns the CPU time that the running daemons have used since their start.
    #[must_use]
    pub fn cpu_time(&self) -> Duration {
        let daemons = self.daemons.iter().chain(&self.entries);
        daemons.filter_map(|daemon| cpu_time(daemon.id()?)).sum()
    }

    fn flags(&self, name: &str, domain: &str) -> Vec<String> {
        flags(name, domain, self.profile.region, &self.platform)
    }
}

/// Applies a change at the first daemon and waits until it is in force on all of them.
///
/// # Errors
///
/// Fails when the change is refused or is not in force within 30 seconds.
pub async fn send_change(daemons: &[&Process], change: &Value) -> anyhow::Result<()> {
    let request = Request::builder()
        .method(Method::POST)
        .uri("/v1/changes")
        .body(Full::from(change.to_string()))?;
    let response = caller::call(daemons[0].operator, request).await?;
    ensure!(
        response.status().is_success(),
        "apply change: {:?}",
        response.body()
    );
    let body: Value = serde_json::from_slice(response.body())?;
    let version = body["version"].as_u64().unwrap_or(1);
    for daemon in daemons {
        let applied = |state: &Value| state["config"]["version"].as_u64() >= Some(version);
        daemon.wait_state("configuration", TIMEOUT, applied).await?;
    }
    Ok(())
}

/// Returns the command-line flags of a daemon without a backend server.
#[must_use]
pub fn flags(name: &str, domain: &str, region: &str, platform: &Platform) -> Vec<String> {
    let flags = [
        ("--name", name.to_owned()),
        ("--domain", domain.into()),
        ("--region", region.into()),
        ("--platform", platform.address().to_string()),
    ];
    let flags = flags.into_iter();
    flags
        .flat_map(|(flag, value)| [flag.to_owned(), value])
        .collect()
}

/// Adds the index of a backend server to the seed, so that the random times differ between servers.
fn seeded(behaviour: Behaviour, index: usize) -> Behaviour {
    Behaviour {
        seed: behaviour.seed + index as u64,
        ..behaviour
    }
}

/// Returns the CPU time that a process has used, in user and kernel mode.
fn cpu_time(id: u32) -> Option<Duration> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The program's name in parentheses may contain spaces.
    let (_, fields) = stat.rsplit_once(") ")?;
    let mut fields = fields.split(' ').skip(USER_TIME_FIELD);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(Duration::from_millis((user + system) * TICK_MS))
}

/// Position of `utime` in `/proc/PID/stat`, counted from the field after the program's name.
const USER_TIME_FIELD: usize = 11;

/// Clock tick of the CPU times in `/proc`, in milliseconds; assumes `CLK_TCK` = 100.
const TICK_MS: u64 = 10;
