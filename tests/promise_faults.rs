//! Each guarantee under the faults that may break it, with real processes behind fault proxies.
//!
//! Every observation is compared with the accepted versions and the runs of each request id.

use standin::backend::Fault;
use standin::bench::soak::Soak;
use standin::bench::soak::oracle::Promise;
use standin::bench::soak::trouble::Trouble;
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

fn platform_down() -> Trouble {
    Trouble::Platform(platform::Faults {
        down: true,
        ..platform::Faults::default()
    })
}

fn lossy_platform(lose_every: u32, late: Option<(u32, Duration)>) -> Trouble {
    Trouble::Platform(platform::Faults {
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
fn restarts() -> Vec<Vec<Trouble>> {
    vec![
        vec![Trouble::Pause(vec![4, 5]), Trouble::Cut],
        vec![platform_down(), Trouble::Kill(vec![0, 1, 2])],
        vec![Trouble::Kill(vec![0, 1, 2]), Trouble::Pause(vec![3, 6])],
    ]
}

/// Configuration streams break in mid-message while routes and their services are added and
/// removed.
fn torn_updates() -> Vec<Vec<Trouble>> {
    vec![
        vec![Trouble::Mesh(all_daemons(), cut_after(300, Break::Reset))],
        vec![Trouble::PlatformLink(
            all_daemons(),
            cut_after(900, Break::Close),
        )],
        vec![
            Trouble::Mesh(all_daemons(), one_way(Pass::Down)),
            Trouble::Cut,
        ],
    ]
}

/// Backend servers respond late, incompletely, or with the responses of other calls.
fn wrong_responses() -> Vec<Vec<Trouble>> {
    vec![
        vec![Trouble::Answers(all_daemons(), Fault::Crossed)],
        vec![Trouble::Answers(all_daemons(), Fault::Truncated)],
        vec![
            Trouble::Answers(all_daemons(), Fault::Late(Duration::from_secs(4))),
            Trouble::Inbound(all_daemons(), cut_after(30_000, Break::Close)),
        ],
    ]
}

/// Responses are lost after the run, between daemons and at backend servers.
fn lost_responses() -> Vec<Vec<Trouble>> {
    vec![
        vec![Trouble::Answers(all_daemons(), Fault::Lost)],
        vec![Trouble::Inbound(
            all_daemons(),
            cut_after(2_000, Break::Reset),
        )],
        vec![
            Trouble::Inbound(all_daemons(), one_way(Pass::Up)),
            Trouble::Cut,
        ],
        vec![
            Trouble::BackendKill(vec![0, 1, 2, 3]),
            Trouble::Kill(vec![5]),
        ],
    ]
}

/// Backend servers drain, and daemons receive SIGTERM.
fn drains() -> Vec<Vec<Trouble>> {
    vec![
        vec![Trouble::Drain(vec![0, 5])],
        vec![Trouble::Terminate(vec![2])],
        vec![Trouble::Terminate(vec![1, 7])],
        vec![Trouble::Terminate(vec![3]), Trouble::Terminate(vec![3])],
    ]
}

/// Operators submit changes concurrently while writes are lost or late, or relays are paused.
fn lost_writes() -> Vec<Vec<Trouble>> {
    vec![
        vec![lossy_platform(2, None)],
        vec![lossy_platform(0, Some((2, Duration::from_secs(2))))],
        vec![lossy_platform(3, None), Trouble::Pause(vec![0, 1])],
        vec![platform_down()],
    ]
}

#[test_case(restarts(), &[Promise::VersionUp, Promise::InForce]; "restarts")]
#[test_case(torn_updates(), &[Promise::NoDangling, Promise::Whole]; "torn_updates")]
#[test_case(wrong_responses(), &[Promise::OwnAnswer, Promise::AtMostOnce]; "wrong_responses")]
#[test_case(lost_responses(), &[Promise::NotRun, Promise::AtMostOnce]; "lost_responses")]
#[test_case(drains(), &[Promise::Leaving, Promise::Graceful]; "drains")]
#[test_case(lost_writes(), &[Promise::InForce, Promise::VersionUp]; "lost_writes")]
#[tokio::test(flavor = "multi_thread")]
async fn promises_under_faults(rounds: Vec<Vec<Trouble>>, promises: &[Promise]) {
    let launcher = Launcher::new(env!("CARGO_BIN_EXE_baobabd"));
    let mut soak = Soak::start(launcher, DAEMONS).await.unwrap();
    let tasks = soak.start_load(1);
    for troubles in rounds {
        soak.round(&troubles, ROUND).await.unwrap();
    }
    for task in tasks {
        task.abort();
    }
    soak.finish();
    assert!(soak.tally.broken().is_empty(), "{:#?}", soak.tally.broken());
    for promise in promises {
        assert!(soak.tally.checked(*promise) > 0, "{promise:?}: no check");
    }
}
