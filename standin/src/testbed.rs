//! A small fleet of daemons with their stand-ins, for the demo, the bench and the tests.

use crate::backend::{Backend, Behaviour, RunLog};
use crate::caller;
use crate::fleet::{Launcher, Process};
use crate::platform::{Limits, Platform};
use anyhow::{Context as _, ensure};
use http::{Method, Request};
use http_body_util::Full;
use serde_json::Value;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// A loopback address with a port that the system chooses.
pub const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Time limit of each wait for the state of a daemon.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Time limit for a change to be in force, in milliseconds. It is longer than the time for which a
/// lost VM still counts as a member.
pub const WAIT_MS: u64 = 30_000;

/// A VM of the testbed: a daemon and the backend server beside it.
pub struct Vm {
    /// The name of both, unique within the testbed.
    pub name: String,
    /// The daemon's process.
    pub daemon: Process,
    /// The backend server.
    pub backend: Backend,
}

/// A platform and the VMs of one service.
pub struct Testbed {
    /// The platform.
    pub platform: Platform,
    /// The log of runs, shared by all backend servers.
    pub run_log: RunLog,
    /// The behaviour of backend servers started from now on.
    pub behaviour: Behaviour,
    /// The VMs, in the order of their start.
    pub vms: Vec<Vm>,
    launcher: Launcher,
    service: String,
}

impl Testbed {
    /// Starts a platform and no VM. VMs will run the backend servers of `service`.
    ///
    /// # Errors
    ///
    /// Fails when the platform's address cannot be bound.
    pub async fn new(launcher: Launcher, service: &str) -> anyhow::Result<Self> {
        Ok(Testbed {
            platform: Platform::start(LOOPBACK, Limits::default()).await?,
            run_log: RunLog::default(),
            behaviour: Behaviour::default(),
            vms: Vec::new(),
            launcher,
            service: service.into(),
        })
    }

    /// Starts a VM in a failure domain, with additional flags for the daemon.
    ///
    /// # Errors
    ///
    /// Fails when the daemon or its backend server cannot be started.
    pub async fn add(&mut self, name: &str, domain: &str, extra: &[&str]) -> anyhow::Result<()> {
        let run_log = self.run_log.clone();
        let backend = Backend::start(name, LOOPBACK, self.behaviour, run_log).await?;
        let flags = [
            ("--name", name.to_owned()),
            ("--domain", domain.into()),
            ("--region", "fi-south".into()),
            ("--service", self.service.clone()),
            ("--backend", backend.address().to_string()),
            ("--platform", self.platform.address().to_string()),
        ];
        let flags = flags.into_iter();
        let mut flags: Vec<String> = flags
            .flat_map(|(flag, value)| [flag.to_owned(), value])
            .collect();
        flags.extend(extra.iter().map(|flag| String::from(*flag)));
        let daemon = self.launcher.start(&flags).await.context("daemon")?;
        self.vms.push(Vm {
            name: name.into(),
            daemon,
            backend,
        });
        Ok(())
    }

    /// Waits until every daemon has `count` members that are ready for calls.
    ///
    /// # Errors
    ///
    /// Fails when a daemon does not have them within [`TIMEOUT`].
    pub async fn wait_ready(&self, count: usize) -> anyhow::Result<()> {
        for vm in &self.vms {
            let all_ready = |state: &Value| ready_members(state) == count;
            let what = format!("{count} ready members at {}", vm.name);
            vm.daemon.wait_state(&what, TIMEOUT, all_ready).await?;
        }
        Ok(())
    }

    /// Returns the operator addresses of every daemon, separated by commas.
    #[must_use]
    pub fn operators(&self) -> String {
        let addresses = self.vms.iter().map(|vm| vm.daemon.operator.to_string());
        addresses.collect::<Vec<_>>().join(",")
    }

    /// Submits a change in JSON to the daemon of a VM, given by index, and waits until it is in
    /// force everywhere. Returns its status.
    ///
    /// # Errors
    ///
    /// Fails when it is not accepted, or not in force everywhere within [`WAIT_MS`].
    pub async fn apply(&self, vm: usize, change: &str) -> anyhow::Result<Value> {
        let operator = self.vms[vm].daemon.operator;
        let accepted = self.post(vm, "/v1/changes", change).await?;
        let id = accepted["change"]
            .as_str()
            .context("the response has no change id")?;
        let path = format!("/v1/changes/{id}?wait_ms={WAIT_MS}");
        let response = caller::get(operator, &path).await?;
        let status: Value = serde_json::from_slice(response.body())?;
        ensure!(
            status["in_force"] == status["daemons"] && status["daemons"] != 0,
            "not in force everywhere: {status}"
        );
        Ok(status)
    }

    /// Sends a POST request to the operator API of a VM, given by index, and returns the JSON body.
    ///
    /// # Errors
    ///
    /// Fails when there is no response or its status is not a success.
    pub async fn post(&self, vm: usize, path: &str, body: &str) -> anyhow::Result<Value> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .body(Full::from(body.to_owned()))?;
        let response = caller::call(self.vms[vm].daemon.operator, request).await?;
        let text = String::from_utf8_lossy(response.body());
        ensure!(response.status().is_success(), "{path}: {text}");
        Ok(serde_json::from_slice(response.body())?)
    }
}

/// Returns the number of members in a state dump that are ready for calls.
#[must_use]
pub fn ready_members(state: &Value) -> usize {
    let members = state["members"]["members"].as_array();
    let members = members.map_or(&[][..], Vec::as_slice);
    let ready = members.iter().filter(|member| member["state"] == "READY");
    ready.count()
}
