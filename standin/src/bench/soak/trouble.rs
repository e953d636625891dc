//! Injection of the faults that the system has to tolerate.

use super::oracle::{Promise, Tally};
use super::traffic::Traffic;
use super::world::World;
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

/// A fault to inject. VMs are given by their index in [`World::vms`].
#[derive(Clone, Debug)]
pub enum Trouble {
    /// Daemons are killed.
    Kill(Vec<usize>),
    /// Daemons are paused for longer than a lease may last.
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

impl Trouble {
    /// Picks a random fault for a fleet of `vms` VMs.
    #[must_use]
    pub fn random(rng: &mut StdRng, vms: usize) -> Self {
        let many = rng.random_range(1..=vms / 3);
        let few = rng.random_range(1..=3);
        let pick = |rng: &mut StdRng, count: usize| index::sample(rng, vms, count).into_vec();
        match rng.random_range(0..13) {
            0 | 1 => Trouble::Kill(pick(rng, many)),
            2 => Trouble::Pause(pick(rng, few)),
            3 | 4 => Trouble::Platform(random_platform(rng)),
            5 => Trouble::Inbound(pick(rng, few), Faults::random(rng)),
            6 => Trouble::Mesh(pick(rng, many), Faults::random(rng)),
            7 => Trouble::PlatformLink(pick(rng, many), Faults::random(rng)),
            8 => Trouble::Cut,
            9 => Trouble::BackendKill(pick(rng, few)),
            10 => Trouble::Answers(pick(rng, few), random_fault(rng)),
            11 => Trouble::Drain(pick(rng, 1)),
            _ => Trouble::Terminate(pick(rng, 1)),
        }
    }

    /// Starts the fault.
    ///
    /// # Errors
    ///
    /// Fails when a daemon cannot be killed.
    pub async fn begin(&self, world: &mut World) -> anyhow::Result<()> {
        match self {
            Trouble::Kill(vms) => {
                for vm in vms {
                    world.vms[*vm].kill().await?;
                }
            }
            Trouble::Pause(vms) => signal(world, vms, "STOP").await,
            Trouble::Terminate(vms) => {
                // Ensures that calls are in flight when the signal arrives.
                adjust(world, vms, |behaviour| behaviour.work += SLOW_WORK);
                sleep(SLOW_TIME).await;
                signal(world, vms, "TERM").await;
                adjust(world, vms, |behaviour| behaviour.work -= SLOW_WORK);
            }
            Trouble::Platform(faults) => world.platform.set_faults(*faults),
            Trouble::Inbound(vms, faults) => {
                for vm in vms {
                    world.vms[*vm].links.inbound.set(*faults);
                }
            }
            Trouble::Mesh(vms, faults) => {
                for vm in vms {
                    world.vms[*vm].links.mesh.set(*faults);
                }
            }
            Trouble::PlatformLink(vms, faults) => {
                for vm in vms {
                    world.vms[*vm].links.platform.set(*faults);
                }
            }
            Trouble::Cut => {
                for vm in &world.vms {
                    vm.links.mesh.reset_connections();
                    vm.links.inbound.reset_connections();
                }
            }
            Trouble::BackendKill(vms) => {
                for vm in vms {
                    world.vms[*vm].backend.stop();
                }
            }
            Trouble::Answers(vms, fault) => adjust(world, vms, |behaviour| {
                behaviour.fault = *fault;
                behaviour.fault_every = 3;
            }),
            Trouble::Drain(vms) => adjust(world, vms, |behaviour| behaviour.draining = true),
        }
        Ok(())
    }

    /// Ends the fault; restarts killed daemons and replaces backend servers that have stopped.
    ///
    /// # Errors
    ///
    /// Fails when a daemon cannot be started or does not terminate within 40 seconds.
    pub async fn end(&self, world: &mut World) -> anyhow::Result<()> {
        match self {
            Trouble::Pause(vms) => signal(world, vms, "CONT").await,
            Trouble::Kill(vms) => restart(world, vms).await?,
            Trouble::BackendKill(vms) | Trouble::Drain(vms) => {
                for vm in vms {
                    world.replace_backend(*vm).await?;
                }
                restart(world, vms).await?;
            }
            Trouble::Terminate(vms) => {
                // If the same fault is in a round twice, ending the first has restarted the daemon.
                signal(world, vms, "TERM").await;
                for vm in vms {
                    if let Some(daemon) = &mut world.vms[*vm].daemon {
                        let ended = timeout(STOP_TIMEOUT, daemon.wait()).await;
                        ended.with_context(|| {
                            format!("{} does not terminate", world.vms[*vm].name)
                        })??;
                    }
                }
                restart(world, vms).await?;
            }
            Trouble::Answers(vms, _) => adjust(world, vms, |behaviour| {
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
        world: &World,
        traffic: &Traffic,
        tally: &Tally,
        since: Instant,
        only_fault: bool,
    ) {
        let (Trouble::Drain(vms) | Trouble::Terminate(vms)) = self else {
            return;
        };
        for vm in vms {
            let vm = &world.vms[*vm];
            let until = Instant::now();
            let late = world
                .ledger
                .started_within(&vm.name, since + LEAVE_TIME, until);
            tally.check(Promise::Leaving, late == 0, || {
                format!("{}: {late} new runs", vm.name)
            });
            if only_fault && let Some(daemon) = &vm.daemon {
                traffic.check_graceful(&world.ledger, daemon.outbound, &vm.name, since);
            }
        }
    }
}

fn adjust(world: &World, vms: &[usize], change: impl Fn(&mut Behaviour)) {
    for vm in vms {
        let backend = &world.vms[*vm].backend;
        let mut behaviour = backend.behaviour();
        change(&mut behaviour);
        backend.set(behaviour);
    }
}

async fn signal(world: &World, vms: &[usize], name: &str) {
    for vm in vms {
        if let Some(daemon) = &world.vms[*vm].daemon {
            // The process may have been terminated by another fault.
            let _ = daemon.signal(name).await;
        }
    }
}

async fn restart(world: &mut World, vms: &[usize]) -> anyhow::Result<()> {
    for vm in vms {
        world.restart(*vm).await?;
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
