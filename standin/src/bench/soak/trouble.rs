//! Faults of the kinds that the system has to live with, begun and ended.

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

/// Time after which a leaving backend server gets no new work.
const LEAVE_TIME: Duration = Duration::from_secs(3);

const SLOW_WORK: Duration = Duration::from_secs(1);
const SLOW_TIME: Duration = Duration::from_millis(500);
const STOP_TIME: Duration = Duration::from_secs(40);

/// A fault.
#[derive(Clone, Debug)]
pub enum Trouble {
    /// Daemons are killed.
    Kill(Vec<usize>),
    /// Daemons are paused, longer than a lease may last.
    Pause(Vec<usize>),
    /// The platform shows faults.
    Platform(platform::Faults),
    /// Calls from other daemons meet faults.
    Inbound(Vec<usize>, Faults),
    /// Attachments of other daemons meet faults.
    Mesh(Vec<usize>, Faults),
    /// Calls to the platform meet faults.
    PlatformLink(Vec<usize>, Faults),
    /// Open streams between daemons are cut at once.
    Cut,
    /// Backend servers are killed.
    BackendKill(Vec<usize>),
    /// Answers of backend servers have faults.
    Answers(Vec<usize>, Fault),
    /// Backend servers ask for no new calls.
    Drain(Vec<usize>),
    /// Daemons are told to stop.
    Terminate(Vec<usize>),
}

impl Trouble {
    /// Chooses a fault among this number of VMs by seed.
    #[must_use]
    pub fn random(rng: &mut StdRng, vms: usize) -> Self {
        let herd = rng.random_range(1..=vms / 3);
        let few = rng.random_range(1..=3);
        let some = |rng: &mut StdRng, count: usize| index::sample(rng, vms, count).into_vec();
        match rng.random_range(0..13) {
            0 | 1 => Trouble::Kill(some(rng, herd)),
            2 => Trouble::Pause(some(rng, few)),
            3 | 4 => Trouble::Platform(random_platform(rng)),
            5 => Trouble::Inbound(some(rng, few), Faults::random(rng)),
            6 => Trouble::Mesh(some(rng, herd), Faults::random(rng)),
            7 => Trouble::PlatformLink(some(rng, herd), Faults::random(rng)),
            8 => Trouble::Cut,
            9 => Trouble::BackendKill(some(rng, few)),
            10 => Trouble::Answers(some(rng, few), random_fault(rng)),
            11 => Trouble::Drain(some(rng, 1)),
            _ => Trouble::Terminate(some(rng, 1)),
        }
    }

    /// Brings the fault about.
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
                // Calls shall be in flight when the signal comes.
                behave(world, vms, |behaviour| behaviour.work += SLOW_WORK);
                sleep(SLOW_TIME).await;
                signal(world, vms, "TERM").await;
                behave(world, vms, |behaviour| behaviour.work -= SLOW_WORK);
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
                    vm.links.mesh.cut();
                    vm.links.inbound.cut();
                }
            }
            Trouble::BackendKill(vms) => {
                for vm in vms {
                    world.vms[*vm].backend.stop();
                }
            }
            Trouble::Answers(vms, fault) => behave(world, vms, |behaviour| {
                behaviour.fault = *fault;
                behaviour.fault_every = 3;
            }),
            Trouble::Drain(vms) => behave(world, vms, |behaviour| behaviour.draining = true),
        }
        Ok(())
    }

    /// Ends the fault; what was killed or has left is replaced.
    ///
    /// # Errors
    ///
    /// Fails when a daemon cannot be started.
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
                for vm in vms {
                    if let Some(daemon) = &mut world.vms[*vm].daemon {
                        let ended = timeout(STOP_TIME, daemon.ended()).await;
                        ended
                            .with_context(|| format!("{} does not stop", world.vms[*vm].name))??;
                    }
                }
                restart(world, vms).await?;
            }
            Trouble::Answers(vms, _) => behave(world, vms, |behaviour| {
                behaviour.fault = Fault::None;
            }),
            _ => {}
        }
        Ok(())
    }

    /// Checks what holds while the fault lasts, at its end.
    pub fn check(
        &self,
        world: &World,
        traffic: &Traffic,
        tally: &Tally,
        since: Instant,
        alone: bool,
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
            if alone && let Some(daemon) = &vm.daemon {
                traffic.check_graceful(&world.ledger, daemon.outbound, &vm.name, since);
            }
        }
    }
}

fn behave(world: &World, vms: &[usize], change: impl Fn(&mut Behaviour)) {
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
            // Another fault may have ended the process.
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
