//! The platform calls by which a fleet finds and keeps its members: what a first start of all daemons
//! at once and a quiet time after it cost.

#[path = "support/external.rs"]
mod external;

use baobabstage::daemon::{Daemon, Phase};
use baobabstage::exchange::ExchangeState;
use baobabstage::platform::Platform as _;
use baobabstage::site::Source;
use external::{KEY, client, start};
use standin::platform::{Limits, Platform};
use standin::testbed::LOOPBACK;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const DAEMONS: usize = 16;

/// The daemons of a failure domain that read from the platform.
const READERS: u64 = baobabstage::member::READERS as u64;

/// Time within which a first start must end on every daemon.
const START_TIME: Duration = Duration::from_secs(8);

/// Time within which a reported version is fetched although its holder is silent: the grace for the
/// platform, one time limit, a pause, and an exchange.
const FETCH_TIME: Duration = Duration::from_millis(1_250);

/// Each daemon announces itself and lists the members once; only the readers read the configuration
/// and follow the members.
#[tokio::test]
async fn first_start_calls() {
    let platform = Platform::start(LOOPBACK, Limits::default()).await.unwrap();
    let config = client(&platform);
    config.swap(KEY, 0, Some("3".into()), 0).await.unwrap();
    let daemons: Vec<_> = (0..DAEMONS)
        .map(|index| start(&platform, index, true))
        .collect();
    let deadline = Instant::now() + START_TIME;
    let is_started = |daemon: &Arc<Daemon>| {
        daemon.config.stamp().version == 3 && daemon.fleet.load().members().len() == DAEMONS
    };
    while !daemons.iter().all(is_started) {
        assert!(Instant::now() < deadline, "not started in time");
        sleep(Duration::from_millis(50)).await;
    }
    let all = DAEMONS as u64;
    let started = platform.calls();
    assert_eq!(started.gets, 0, "{started:?}");
    assert!(started.lists <= all + READERS + 2, "{started:?}");
    assert!(started.watches <= 4 * READERS, "{started:?}");
    assert!(started.swaps <= all + 1, "{started:?}");
    // At rest, the platform sees the renewals of the leases and hardly anything else.
    sleep(Duration::from_secs(6)).await;
    let after = platform.calls();
    assert!(after.lists - started.lists <= 1, "{after:?}");
    assert!(after.watches - started.watches <= 3 * READERS, "{after:?}");
    assert!(after.leases - started.leases <= 3 * all, "{after:?}");
    for daemon in daemons {
        daemon.drain.advance(Phase::Stopped);
    }
}

/// The holder of a newer version falls silent: the version is fetched from another peer at once and
/// not by the next regular exchanges.
#[tokio::test]
async fn fetch_version_silent_holder() {
    let platform = Platform::start(LOOPBACK, Limits::default()).await.unwrap();
    let daemons: Vec<_> = (0..3).map(|index| start(&platform, index, false)).collect();
    let known = |daemon: &Arc<Daemon>| daemon.fleet.load().members().len() == 3;
    let deadline = Instant::now() + START_TIME;
    while !daemons.iter().all(known) {
        assert!(Instant::now() < deadline, "not started in time");
        sleep(Duration::from_millis(20)).await;
    }
    let silent = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let holder = silent.local_addr().unwrap();
    let last = &daemons[2];
    for version in 9..17_u64 {
        for daemon in &daemons[..2] {
            let Source::External(external) = &daemon.source else {
                panic!("the configuration is not externally managed");
            };
            ExchangeState::of(daemon)
                .apply_external(daemon, external, &version.to_string().into())
                .unwrap();
        }
        let started = Instant::now();
        let mut headers = http::HeaderMap::new();
        headers.insert(baobabstage::call::VERSION, version.into());
        ExchangeState::of(last).note_version(last, &headers, Some(holder));
        while last.config.stamp().version != version {
            assert!(started.elapsed() < FETCH_TIME, "{version} not fetched");
            sleep(Duration::from_millis(5)).await;
        }
    }
    for daemon in daemons {
        daemon.drain.advance(Phase::Stopped);
    }
}
