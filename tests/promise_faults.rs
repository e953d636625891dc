//! Each guarantee under the faults that may break it, with real processes behind fault proxies.
//!
//! Every observation is compared with the accepted versions and the runs of each request id.

use standin::backend::Fault;
use standin::bench::soak::Soak;
use standin::bench::soak::checks::Guarantee;
use standin::bench::soak::injection::InjectedFault;
use standin::fault::{Break, Faults, Pass};
use standin::fleet::Launcher;
use standin::platform;
use std::time::Duration;
use test_case::test_case;

const DAEMONS: usize = 8;
const ROUND: Duration = Duration::from_secs(4);

fn all_daemons() -> Vec<usize> {
    (0..DAEMONS).collect()
}

fn platform_down() -> InjectedFault {
    InjectedFault::Platform(platform::Faults {
        down: true,
        ..platform::Faults::default()
    })
}

fn lossy_platform(lose_every: u32, late: Option<(u32, Duration)>) -> InjectedFault {
    InjectedFault::Platform(platform::Faults {
        lose_every,
        late,
        ..platform::Faults::default()
    })
}

fn cut_after(bytes: u64, how: Break) -> Faults {
    Faults {
        break_after: Some((bytes, how)),
        ..Faults::default()
    }
}

fn one_way(pass: Pass) -> Faults {
    Faults {
        pass,
        ..Faults::default()
    }
}

/// Daemons restart while the platform is down and their peers are stale.
fn restarts() -> Vec<Vec<InjectedFault>> {
    vec![
        vec![InjectedFault::Pause(vec![4, 5]), InjectedFault::Cut],
        vec![platform_down(), InjectedFault::Kill(vec![0, 1, 2])],
        vec![
            InjectedFault::Kill(vec![0, 1, 2]),
            InjectedFault::Pause(vec![3, 6]),
        ],
    ]
}

/// Configuration streams break in mid-message while routes and their services are added and
/// removed.
fn torn_updates() -> Vec<Vec<InjectedFault>> {
    vec![
        vec![InjectedFault::Mesh(
            all_daemons(),
            cut_after(300, Break::Reset),
        )],
        vec![InjectedFault::PlatformLink(
            all_daemons(),
            cut_after(900, Break::Close),
        )],
        vec![
            InjectedFault::Mesh(all_daemons(), one_way(Pass::Down)),
            InjectedFault::Cut,
        ],
    ]
}

/// Backend servers respond late, incompletely, or with the responses of other calls.
fn wrong_responses() -> Vec<Vec<InjectedFault>> {
    vec![
        vec![InjectedFault::Answers(all_daemons(), Fault::Crossed)],
        vec![InjectedFault::Answers(all_daemons(), Fault::Truncated)],
        vec![
            InjectedFault::Answers(all_daemons(), Fault::Late(Duration::from_secs(4))),
            InjectedFault::Inbound(all_daemons(), cut_after(30_000, Break::Close)),
        ],
    ]
}

/// Responses are lost after the run, between daemons and at backend servers.
fn lost_responses() -> Vec<Vec<InjectedFault>> {
    vec![
        vec![InjectedFault::Answers(all_daemons(), Fault::Lost)],
        vec![InjectedFault::Inbound(
            all_daemons(),
            cut_after(2_000, Break::Reset),
        )],
        vec![
            InjectedFault::Inbound(all_daemons(), one_way(Pass::Up)),
            InjectedFault::Cut,
        ],
        vec![
            InjectedFault::BackendKill(vec![0, 1, 2, 3]),
            InjectedFault::Kill(vec![5]),
        ],
    ]
}

/// Backend servers drain, and daemons receive SIGTERM.
fn drains() -> Vec<Vec<InjectedFault>> {
    vec![
        vec![InjectedFault::Drain(vec![0, 5])],
        vec![InjectedFault::Terminate(vec![2])],
        vec![InjectedFault::Terminate(vec![1, 7])],
        vec![
            InjectedFault::Terminate(vec![3]),
            InjectedFault::Terminate(vec![3]),
        ],
    ]
}

/// Operators submit changes concurrently while writes are lost or late, or relays are paused.
fn lost_writes() -> Vec<Vec<InjectedFault>> {
    vec![
        vec![lossy_platform(2, None)],
        vec![lossy_platform(0, Some((2, Duration::from_secs(2))))],
        vec![lossy_platform(3, None), InjectedFault::Pause(vec![0, 1])],
        vec![platform_down()],
    ]
}

#[test_case(restarts(), &[Guarantee::VersionUp, Guarantee::InForce]; "restarts")]
#[test_case(torn_updates(), &[Guarantee::NoDangling, Guarantee::Whole]; "torn_updates")]
#[test_case(wrong_responses(), &[Guarantee::OwnAnswer, Guarantee::AtMostOnce]; "wrong_responses")]
#[test_case(lost_responses(), &[Guarantee::NotRun, Guarantee::AtMostOnce]; "lost_responses")]
#[test_case(drains(), &[Guarantee::Leaving, Guarantee::Graceful]; "drains")]
#[test_case(lost_writes(), &[Guarantee::InForce, Guarantee::VersionUp]; "lost_writes")]
#[tokio::test(flavor = "multi_thread")]
async fn guarantees_under_faults(rounds: Vec<Vec<InjectedFault>>, guarantees: &[Guarantee]) {
    let launcher = Launcher::new(env!("CARGO_BIN_EXE_baobabd"));
    let mut soak = Soak::start(launcher, DAEMONS).await.unwrap();
    let tasks = soak.start_load(1);
    for faults in rounds {
        soak.run_round(&faults, ROUND).await.unwrap();
    }
    for task in tasks {
        task.abort();
    }
    soak.check_all();
    assert!(
        soak.checks.violations().is_empty(),
        "{:#?}",
        soak.checks.violations()
    );
    for guarantee in guarantees {
        assert!(
            soak.checks.checked(*guarantee) > 0,
            "{guarantee:?}: no check"
        );
    }
}
