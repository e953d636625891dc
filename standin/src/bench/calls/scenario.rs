//! What happens during a run.

use super::load::{Callers, Made, Stretch};
use super::mesh::Mesh;
use super::profile::{Profile, SPREAD, WORK};
use crate::backend::{Behaviour, Report};
use anyhow::bail;
use std::time::Duration;
use tokio::time::sleep;

/// How much longer calls take at a slow backend server.
const SLOW_FACTOR: u32 = 5;

/// How much more than its capacity a service is offered.
const FLASH_FACTOR: f64 = 3.0;

/// Time in which a new backend server is cold.
const COLD_TIME: Duration = Duration::from_secs(3);

/// A stretch of load by name, with the calls made.
pub type Done = (&'static str, Stretch, Vec<Made>);

/// What happens during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Nothing.
    Even,
    /// One backend server is slow.
    Slow,
    /// One backend server is slow and says that it is idle.
    Liar,
    /// A backend server joins that is slow at first.
    Cold,
    /// A failure domain is lost.
    DomainLost,
    /// The load is three times the capacity.
    Flash,
    /// Calls that are not idempotent name an idempotency key.
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

    /// Returns the name.
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
    /// Fails when there is none.
    pub fn named(name: &str) -> anyhow::Result<Self> {
        let found = Scenario::ALL.into_iter().find(|s| s.name() == name);
        let Some(scenario) = found else {
            let names = Scenario::ALL.map(Scenario::name).join(", ");
            bail!("scenario {name}: none of {names}");
        };
        Ok(scenario)
    }

    /// Makes the calls of the scenario.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be started.
    pub async fn run(
        self,
        mesh: &mut Mesh,
        callers: &Callers,
        profile: &Profile,
        stretch: Stretch,
    ) -> anyhow::Result<Vec<Done>> {
        let usual = Behaviour {
            work: WORK,
            spread: SPREAD,
            slots: profile.slots,
            ..Behaviour::default()
        };
        for backend in &mesh.backends {
            backend.set(usual);
        }
        match self {
            Scenario::Even => {}
            Scenario::Slow => mesh.backends[0].set(slow(usual)),
            Scenario::Liar => mesh.backends[0].set(Behaviour {
                report: Report::Idle,
                tell_load: true,
                ..slow(usual)
            }),
            Scenario::Cold => return cold(mesh, callers, profile, stretch, usual).await,
            Scenario::DomainLost => return domain_lost(mesh, callers, profile, stretch).await,
            Scenario::Flash => return Ok(flash(callers, profile, stretch).await),
            Scenario::Keyed => return keyed(mesh, callers, profile, stretch).await,
        }
        let calls = callers.run(profile, stretch).await;
        Ok(vec![("load", stretch, calls)])
    }
}

fn slow(usual: Behaviour) -> Behaviour {
    Behaviour {
        work: usual.work * SLOW_FACTOR,
        spread: usual.spread * SLOW_FACTOR,
        ..usual
    }
}

async fn cold(
    mesh: &mut Mesh,
    callers: &Callers,
    profile: &Profile,
    stretch: Stretch,
    usual: Behaviour,
) -> anyhow::Result<Vec<Done>> {
    let join = async {
        sleep(stretch.time / 4).await;
        let cold = Behaviour {
            cold: COLD_TIME,
            cold_factor: SLOW_FACTOR * 2,
            ..usual
        };
        mesh.add(cold).await
    };
    let (calls, joined) = tokio::join!(callers.run(profile, stretch), join);
    joined?;
    Ok(vec![("load", stretch, calls)])
}

async fn domain_lost(
    mesh: &mut Mesh,
    callers: &Callers,
    profile: &Profile,
    stretch: Stretch,
) -> anyhow::Result<Vec<Done>> {
    let loss = async {
        sleep(stretch.time / 2).await;
        for index in (0..mesh.daemons.len()).step_by(profile.domains.len()) {
            mesh.backends[index].stop();
            mesh.daemons[index].kill().await?;
        }
        anyhow::Ok(())
    };
    let (calls, done) = tokio::join!(callers.run(profile, stretch), loss);
    done?;
    Ok(vec![("load", stretch, calls)])
}

async fn flash(callers: &Callers, profile: &Profile, stretch: Stretch) -> Vec<Done> {
    let time = stretch.time / 2;
    let at_capacity = Stretch {
        rate: profile.capacity(),
        time,
        ..stretch
    };
    let over = Stretch {
        rate: profile.capacity() * FLASH_FACTOR,
        seed: stretch.seed + 1,
        ..at_capacity
    };
    let before = callers.run(profile, at_capacity).await;
    let during = callers.run(profile, over).await;
    vec![("capacity", at_capacity, before), ("flash", over, during)]
}

/// Compares calls without and with keys, and two writes to the platform.
async fn keyed(
    mesh: &Mesh,
    callers: &Callers,
    profile: &Profile,
    stretch: Stretch,
) -> anyhow::Result<Vec<Done>> {
    for backend in &mesh.backends {
        backend.set(Behaviour::default());
    }
    let time = stretch.time / 2;
    let plain = Stretch { time, ..stretch };
    let keyed = Stretch {
        seed: stretch.seed + 1,
        keyed: true,
        ..plain
    };
    let before = callers.run(profile, plain).await;
    let with_keys = callers.run(profile, keyed).await;
    println!("two writes to the platform: {:?}", mesh.write_time().await?);
    Ok(vec![("plain", plain, before), ("keyed", keyed, with_keys)])
}
