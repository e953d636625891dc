//! VMs with a fault proxy on each link of their daemons.

use crate::backend::{Backend, Behaviour, RunLog};
use crate::caller;
use crate::fault::{Control, FaultProxy};
use crate::fleet::{Launcher, Process};
use crate::platform::{Limits, Platform};
use crate::testbed::LOOPBACK;
use anyhow::Context as _;
use http::{Method, Request};
use http_body_util::Full;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Time limit for a request to the operator API.
pub const OPERATOR_TIMEOUT: Duration = Duration::from_secs(12);

/// Controls of the fault proxies on the links of a daemon.
#[derive(Clone)]
pub struct Links {
    /// Link for calls from other daemons.
    pub inbound: Control,
    /// Link for attachments of other daemons.
    pub mesh: Control,
    /// Link to the platform.
    pub platform: Control,
    /// Link to the backend server.
    pub backend: Control,
}

/// A VM: a daemon and its backend server.
pub struct Vm {
    /// Name of the daemon and of the backend server.
    pub name: String,
    /// Process of the daemon; `None` after it has been killed.
    pub daemon: Option<Process>,
    /// Backend server.
    pub backend: Backend,
    /// Fault proxies on the daemon's links.
    pub links: Links,
    flags: Vec<String>,
}

/// A platform and a fleet of VMs.
pub struct FaultyFleet {
    /// Platform stand-in.
    pub platform: Platform,
    /// Runs by request id, recorded by all backend servers.
    pub run_log: RunLog,
    /// VMs in order of their start.
    pub vms: Vec<Vm>,
    launcher: Launcher,
}

impl FaultyFleet {
    /// Starts a platform without VMs.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound.
    pub async fn start(launcher: Launcher) -> anyhow::Result<Self> {
        Ok(FaultyFleet {
            platform: Platform::start(LOOPBACK, Limits::default()).await?,
            run_log: RunLog::default(),
            vms: Vec::new(),
            launcher,
        })
    }

    /// Starts a VM; does not wait for the other daemons.
    ///
    /// # Errors
    ///
    /// Fails when the daemon or the backend server cannot be started.
    pub async fn add(
        &mut self,
        name: &str,
        service: &str,
        (region, domain): (&str, &str),
        behaviour: Behaviour,
    ) -> anyhow::Result<()> {
        let backend = Backend::start(name, LOOPBACK, behaviour, self.run_log.clone()).await?;
        let (inbound, inbound_control) = FaultProxy::start(LOOPBACK).await?;
        let (mesh, mesh_control) = FaultProxy::start(LOOPBACK).await?;
        let (platform, platform_control) = FaultProxy::start(self.platform.address()).await?;
        let (backend_address, backend_control) = FaultProxy::start(backend.address()).await?;
        let flags = [
            ("--name", name.to_owned()),
            ("--domain", domain.into()),
            ("--region", region.into()),
            ("--service", service.into()),
            ("--backend", backend_address.to_string()),
            ("--backend-health", "/health".into()),
            ("--platform", platform.to_string()),
            ("--advertise-inbound", inbound.to_string()),
            ("--advertise-mesh", mesh.to_string()),
            ("--heartbeat-ms", "1000".into()),
        ];
        let flags = flags.into_iter();
        self.vms.push(Vm {
            name: name.into(),
            daemon: None,
            backend,
            links: Links {
                inbound: inbound_control,
                mesh: mesh_control,
                platform: platform_control,
                backend: backend_control,
            },
            flags: flags
                .flat_map(|(flag, value)| [flag.to_owned(), value])
                .collect(),
        });
        self.restart(self.vms.len() - 1).await
    }

    /// Starts a VM's daemon, after killing the running one if there is one.
    ///
    /// # Errors
    ///
    /// Fails when the daemon cannot be started.
    pub async fn restart(&mut self, index: usize) -> anyhow::Result<()> {
        let vm = &mut self.vms[index];
        vm.kill().await?;
        let daemon = self.launcher.start(&vm.flags).await;
        let daemon = daemon.with_context(|| format!("daemon {}", vm.name))?;
        vm.links.inbound.set_target(daemon.inbound);
        vm.links.mesh.set_target(daemon.mesh);
        vm.daemon = Some(daemon);
        Ok(())
    }

    /// Replaces a VM's backend server by a new one with the same behaviour, not draining.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound.
    pub async fn replace_backend(&mut self, index: usize) -> anyhow::Result<()> {
        let vm = &mut self.vms[index];
        let behaviour = Behaviour {
            draining: false,
            ..vm.backend.behaviour()
        };
        vm.backend.stop();
        vm.backend = Backend::start(&vm.name, LOOPBACK, behaviour, self.run_log.clone()).await?;
        vm.links.backend.set_target(vm.backend.address());
        Ok(())
    }

    /// Returns the running daemons with the indices of their VMs.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Process)> {
        let vms = self.vms.iter().enumerate();
        vms.filter_map(|(index, vm)| Some((index, vm.daemon.as_ref()?)))
    }

    /// Clears the faults of all links and of the platform.
    pub fn clear_faults(&self) {
        self.platform.set_faults(crate::platform::Faults::default());
        for vm in &self.vms {
            for control in vm.links.all() {
                control.clear_faults();
            }
        }
    }
}

impl Vm {
    /// Kills the daemon if it is running.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be killed.
    pub async fn kill(&mut self) -> anyhow::Result<()> {
        if let Some(mut daemon) = self.daemon.take() {
            daemon.kill().await?;
        }
        Ok(())
    }
}

impl Links {
    /// Returns the controls of all links.
    #[must_use]
    pub fn all(&self) -> [&Control; 4] {
        [&self.inbound, &self.mesh, &self.platform, &self.backend]
    }
}

/// Submits a change in JSON and returns the body of the response, whatever its status.
///
/// # Errors
///
/// Fails when there is no response within the time limit or it is not JSON.
pub async fn submit(operator: SocketAddr, change: &Value) -> anyhow::Result<Value> {
    let request = Request::builder()
        .method(Method::POST)
        .uri("/v1/changes")
        .header("content-type", "application/json")
        .body(Full::from(change.to_string()))?;
    let response = timeout(OPERATOR_TIMEOUT, caller::call(operator, request)).await??;
    Ok(serde_json::from_slice(response.body())?)
}

/// Reads a path of an operator API and returns the body of the response, whatever its status.
///
/// # Errors
///
/// Fails when there is no response within the time limit or it is not JSON.
pub async fn get(operator: SocketAddr, path: &str) -> anyhow::Result<Value> {
    let response = timeout(OPERATOR_TIMEOUT, caller::get(operator, path)).await??;
    Ok(serde_json::from_slice(response.body())?)
}
