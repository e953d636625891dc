//! Scenarios: the faults and load patterns of a run.

use super::load::{CallResult, Callers, Phase};
use super::mesh::Mesh;
use super::profile::{Profile, SPREAD, WORK};
use crate::backend::{Behaviour, Report};
use anyhow::bail;
use std::time::Duration;
use tokio::time::sleep;

/// Factor on the service time of a slow backend server.
const SLOW_FACTOR: u32 = 5;

/// Offered load of the flash crowd, as a multiple of the capacity.
const OVERLOAD_FACTOR: f64 = 3.0;

/// Time during which a new backend server is slow.
const SLOW_START_TIME: Duration = Duration::from_secs(3);

/// A phase with its name and the completed calls.
pub type PhaseResult = (&'static str, Phase, Vec<CallResult>);

/// Fault or load pattern of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Constant load without faults.
    Even,
    /// One backend server is slow.
    Slow,
    /// One backend server is slow but reports that it is idle.
    Liar,
    /// A backend server joins and is slow at first.
    Cold,
    /// All VMs with a backend server in one failure domain are killed halfway through the run.
    DomainLost,
    /// A flash crowd: the load rises from the capacity to three times the capacity.
    Flash,
    /// Non-idempotent calls carry an idempotency key in the second half.
    Keyed,
}

impl Scenario {
    const ALL: [Scenario; 7] = [
        Scenario::Even,
        Scenario::Slow,
        Scenario::Liar,
        Scenario::Cold,
        Scenario::DomainLost,
        Scenario::Flash,
        Scenario::Keyed,
    ];

    /// Returns the name used on the command line and in reports.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Scenario::Even => "even",
            Scenario::Slow => "slow",
            Scenario::Liar => "liar",
            Scenario::Cold => "cold",
            Scenario::DomainLost => "domain-lost",
            Scenario::Flash => "flash",
            Scenario::Keyed => "keyed",
        }
    }

    /// Finds a scenario by name.
    ///
    /// # Errors
    ///
    /// Fails when no scenario has this name.
    pub fn by_name(name: &str) -> anyhow::Result<Self> {
        let found = Scenario::ALL.into_iter().find(|s| s.name() == name);
        let Some(scenario) = found else {
            let names = Scenario::ALL.map(Scenario::name).join(", ");
            bail!("unknown scenario {name}, expected one of {names}");
        };
        Ok(scenario)
    }

    /// Prepares the backend servers and runs the phases of the scenario.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be started.
    pub async fn run(
        self,
        mesh: &mut Mesh,
        callers: &Callers,
        profile: &Profile,
        phase: Phase,
    ) -> anyhow::Result<Vec<PhaseResult>> {
        let normal = Behaviour {
            work: WORK,
            spread: SPREAD,
            slots: profile.slots,
            ..Behaviour::default()
        };
        for backend in &mesh.backends {
            backend.set(normal);
        }
        match self {
            Scenario::Even => {}
            Scenario::Slow => mesh.backends[0].set(slow(normal)),
            Scenario::Liar => mesh.backends[0].set(Behaviour {
                report: Report::Idle,
                report_load: true,
                ..slow(normal)
            }),
            Scenario::Cold => return slow_start(mesh, callers, profile, phase, normal).await,
            Scenario::DomainLost => return domain_lost(mesh, callers, profile, phase).await,
            Scenario::Flash => return Ok(flash(callers, profile, phase).await),
            Scenario::Keyed => return keyed(mesh, callers, profile, phase).await,
        }
        let calls = callers.run(profile, phase).await;
        Ok(vec![("load", phase, calls)])
    }
}

fn slow(normal: Behaviour) -> Behaviour {
    Behaviour {
        work: normal.work * SLOW_FACTOR,
        spread: normal.spread * SLOW_FACTOR,
        ..normal
    }
}

async fn slow_start(
    mesh: &mut Mesh,
    callers: &Callers,
    profile: &Profile,
    phase: Phase,
    normal: Behaviour,
) -> anyhow::Result<Vec<PhaseResult>> {
    let join = async {
        sleep(phase.time / 4).await;
        let behaviour = Behaviour {
            slow_start: SLOW_START_TIME,
            slow_factor: SLOW_FACTOR * 2,
            ..normal
        };
        mesh.add(behaviour).await
    };
    let (calls, joined) = tokio::join!(callers.run(profile, phase), join);
    joined?;
    Ok(vec![("load", phase, calls)])
}

async fn domain_lost(
    mesh: &mut Mesh,
    callers: &Callers,
    profile: &Profile,
    phase: Phase,
) -> anyhow::Result<Vec<PhaseResult>> {
    let loss = async {
        sleep(phase.time / 2).await;
        // Upstreams are distributed in turn, so these are all of the first failure domain.
        for index in (0..mesh.daemons.len()).step_by(profile.domains.len()) {
            mesh.backends[index].stop();
            mesh.daemons[index].kill().await?;
        }
        anyhow::Ok(())
    };
    let (calls, killed) = tokio::join!(callers.run(profile, phase), loss);
    killed?;
    Ok(vec![("load", phase, calls)])
}

async fn flash(callers: &Callers, profile: &Profile, phase: Phase) -> Vec<PhaseResult> {
    let time = phase.time / 2;
    let at_capacity = Phase {
        rate: profile.capacity(),
        time,
        ..phase
    };
    let over = Phase {
        rate: profile.capacity() * OVERLOAD_FACTOR,
        seed: phase.seed + 1,
        ..at_capacity
    };
    let before = callers.run(profile, at_capacity).await;
    let during = callers.run(profile, over).await;
    vec![("capacity", at_capacity, before), ("flash", over, during)]
}

/// Runs calls without and with idempotency keys, and measures two writes to the platform for
/// comparison.
async fn keyed(
    mesh: &Mesh,
    callers: &Callers,
    profile: &Profile,
    phase: Phase,
) -> anyhow::Result<Vec<PhaseResult>> {
    for backend in &mesh.backends {
        backend.set(Behaviour::default());
    }
    let time = phase.time / 2;
    let plain = Phase { time, ..phase };
    let keyed = Phase {
        seed: phase.seed + 1,
        keyed: true,
        ..plain
    };
    let before = callers.run(profile, plain).await;
    let with_keys = callers.run(profile, keyed).await;
    println!(
        "two writes to the platform, one after the other: {:?}",
        mesh.write_time().await?
    );
    Ok(vec![("plain", plain, before), ("keyed", keyed, with_keys)])
}
