//! Injection of the faults that the system has to tolerate.

use super::checks::{CheckCounts, Guarantee};
use super::fleet::FaultyFleet;
use super::traffic::Traffic;
use crate::backend::{Behaviour, Fault};
use crate::fault::Faults;
use crate::platform;
use anyhow::Context as _;
use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::index;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Time after which a leaving backend server must not receive new requests.
const LEAVE_TIME: Duration = Duration::from_secs(3);

/// Service time added before a daemon receives SIGTERM, so that calls are in flight.
const SLOW_WORK: Duration = Duration::from_secs(1);
/// Time between the slowdown and the signal to stop.
const SLOW_TIME: Duration = Duration::from_millis(500);
/// Time limit for a daemon to terminate after the signal.
const STOP_TIMEOUT: Duration = Duration::from_secs(40);

/// A fault to inject. VMs are given by their index in [`FaultyFleet::vms`].
#[derive(Clone, Debug)]
pub enum InjectedFault {
    /// Daemons are killed.
    Kill(Vec<usize>),
    /// Daemons are paused until the fault ends; their leases may expire meanwhile.
    Pause(Vec<usize>),
    /// The platform is down or slow, loses responses or executes writes late.
    Platform(platform::Faults),
    /// Faults on the links for calls from other daemons.
    Inbound(Vec<usize>, Faults),
    /// Faults on the links for attachments of other daemons.
    Mesh(Vec<usize>, Faults),
    /// Faults on the links to the platform.
    PlatformLink(Vec<usize>, Faults),
    /// All open connections between daemons are reset at the same time.
    Cut,
    /// Backend servers are killed.
    BackendKill(Vec<usize>),
    /// Backend servers send faulty responses.
    Answers(Vec<usize>, Fault),
    /// Backend servers report that they are draining.
    Drain(Vec<usize>),
    /// Daemons receive SIGTERM.
    Terminate(Vec<usize>),
}

impl InjectedFault {
    /// Picks a random fault for a fleet of `vms` VMs.
    #[must_use]
    pub fn random(rng: &mut StdRng, vms: usize) -> Self {
        let many = rng.random_range(1..=vms / 3);
        let few = rng.random_range(1..=3);
        let pick = |rng: &mut StdRng, count: usize| index::sample(rng, vms, count).into_vec();
        match rng.random_range(0..13) {
            0 | 1 => InjectedFault::Kill(pick(rng, many)),
            2 => InjectedFault::Pause(pick(rng, few)),
            3 | 4 => InjectedFault::Platform(random_platform(rng)),
            5 => InjectedFault::Inbound(pick(rng, few), Faults::random(rng)),
            6 => InjectedFault::Mesh(pick(rng, many), Faults::random(rng)),
            7 => InjectedFault::PlatformLink(pick(rng, many), Faults::random(rng)),
            8 => InjectedFault::Cut,
            9 => InjectedFault::BackendKill(pick(rng, few)),
            10 => InjectedFault::Answers(pick(rng, few), random_fault(rng)),
            11 => InjectedFault::Drain(pick(rng, 1)),
            _ => InjectedFault::Terminate(pick(rng, 1)),
        }
    }

    /// Starts the fault.
    ///
    /// # Errors
    ///
    /// Fails when a daemon cannot be killed.
    pub async fn begin(&self, fleet: &mut FaultyFleet) -> anyhow::Result<()> {
        match self {
            InjectedFault::Kill(vms) => {
                for vm in vms {
                    fleet.vms[*vm].kill().await?;
                }
            }
            InjectedFault::Pause(vms) => signal(fleet, vms, "STOP").await,
            InjectedFault::Terminate(vms) => {
                // Ensures that calls are in flight when the signal arrives.
                adjust(fleet, vms, |behaviour| behaviour.work += SLOW_WORK);
                sleep(SLOW_TIME).await;
                signal(fleet, vms, "TERM").await;
                adjust(fleet, vms, |behaviour| behaviour.work -= SLOW_WORK);
            }
            InjectedFault::Platform(faults) => fleet.platform.set_faults(*faults),
            InjectedFault::Inbound(vms, faults) => {
                for vm in vms {
                    fleet.vms[*vm].links.inbound.set(*faults);
                }
            }
            InjectedFault::Mesh(vms, faults) => {
                for vm in vms {
                    fleet.vms[*vm].links.mesh.set(*faults);
                }
            }
            InjectedFault::PlatformLink(vms, faults) => {
                for vm in vms {
                    fleet.vms[*vm].links.platform.set(*faults);
                }
            }
            InjectedFault::Cut => {
                for vm in &fleet.vms {
                    vm.links.mesh.reset_connections();
                    vm.links.inbound.reset_connections();
                }
            }
            InjectedFault::BackendKill(vms) => {
                for vm in vms {
                    fleet.vms[*vm].backend.stop();
                }
            }
            InjectedFault::Answers(vms, fault) => adjust(fleet, vms, |behaviour| {
                behaviour.fault = *fault;
                behaviour.fault_every = 3;
            }),
            InjectedFault::Drain(vms) => adjust(fleet, vms, |behaviour| behaviour.draining = true),
        }
        Ok(())
    }

    /// Ends the fault; restarts killed daemons and replaces backend servers that have stopped.
    ///
    /// # Errors
    ///
    /// Fails when a daemon cannot be started or does not terminate within 40 seconds.
    pub async fn end(&self, fleet: &mut FaultyFleet) -> anyhow::Result<()> {
        match self {
            InjectedFault::Pause(vms) => signal(fleet, vms, "CONT").await,
            InjectedFault::Kill(vms) => restart(fleet, vms).await?,
            InjectedFault::BackendKill(vms) | InjectedFault::Drain(vms) => {
                for vm in vms {
                    fleet.replace_backend(*vm).await?;
                }
                restart(fleet, vms).await?;
            }
            InjectedFault::Terminate(vms) => {
                // If the same fault is in a round twice, ending the first has restarted the daemon.
                signal(fleet, vms, "TERM").await;
                for vm in vms {
                    if let Some(daemon) = &mut fleet.vms[*vm].daemon {
                        let ended = timeout(STOP_TIMEOUT, daemon.wait()).await;
                        ended.with_context(|| {
                            format!("{} does not terminate", fleet.vms[*vm].name)
                        })??;
                    }
                }
                restart(fleet, vms).await?;
            }
            InjectedFault::Answers(vms, _) => adjust(fleet, vms, |behaviour| {
                behaviour.fault = Fault::None;
            }),
            _ => {}
        }
        Ok(())
    }

    /// Checks the guarantees of leaving daemons and backend servers; called before the fault ends.
    ///
    /// `since` is the time at which the fault started. Another fault may interrupt calls, so the
    /// graceful shutdown is checked only if this is the only one.
    pub fn check(
        &self,
        fleet: &FaultyFleet,
        traffic: &Traffic,
        checks: &CheckCounts,
        since: Instant,
        only_fault: bool,
    ) {
        let (InjectedFault::Drain(vms) | InjectedFault::Terminate(vms)) = self else {
            return;
        };
        for vm in vms {
            let vm = &fleet.vms[*vm];
            let until = Instant::now();
            let late = fleet
                .run_log
                .started_within(&vm.name, since + LEAVE_TIME, until);
            checks.check(Guarantee::Leaving, late == 0, || {
                format!("{}: {late} new runs", vm.name)
            });
            if only_fault && let Some(daemon) = &vm.daemon {
                traffic.check_graceful(&fleet.run_log, daemon.outbound, &vm.name, since);
            }
        }
    }
}

fn adjust(fleet: &FaultyFleet, vms: &[usize], change: impl Fn(&mut Behaviour)) {
    for vm in vms {
        let backend = &fleet.vms[*vm].backend;
        let mut behaviour = backend.behaviour();
        change(&mut behaviour);
        backend.set(behaviour);
    }
}

async fn signal(fleet: &FaultyFleet, vms: &[usize], name: &str) {
    for vm in vms {
        if let Some(daemon) = &fleet.vms[*vm].daemon {
            // The process may have been terminated by another fault.
            let _ = daemon.signal(name).await;
        }
    }
}

async fn restart(fleet: &mut FaultyFleet, vms: &[usize]) -> anyhow::Result<()> {
    for vm in vms {
        fleet.restart(*vm).await?;
    }
    Ok(())
}

fn random_platform(rng: &mut StdRng) -> platform::Faults {
    let mut faults = platform::Faults::default();
    match rng.random_range(0..4) {
        0 => faults.down = true,
        1 => faults.delay = Duration::from_millis(rng.random_range(100..1_500)),
        2 => faults.lose_every = rng.random_range(1..4),
        _ => faults.late = Some((rng.random_range(1..4), Duration::from_secs(3))),
    }
    faults
}

fn random_fault(rng: &mut StdRng) -> Fault {
    match rng.random_range(0..5) {
        0 => Fault::Stuck,
        1 => Fault::Late(Duration::from_millis(rng.random_range(500..5_000))),
        2 => Fault::Truncated,
        3 => Fault::Crossed,
        _ => Fault::Lost,
    }
}
