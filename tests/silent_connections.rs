//! Connections to the platform that go silent: they stay open, and neither carry bytes nor end.

#[path = "support/external.rs"]
#[allow(dead_code, reason = "other tests use more of it")]
mod external;

use baobabstage::daemon::{Daemon, Phase};
use baobabstage::platform::{Client, Platform as _};
use external::{KEY, client, start_with};
use standin::fault::{Control, FaultProxy};
use standin::platform::{Limits, Platform};
use standin::testbed::LOOPBACK;
use std::sync::Arc;
use std::time::Duration;
use test_case::test_case;
use tokio::time::{Instant, sleep, sleep_until};

/// Many more than read from the platform.
const DAEMONS: usize = 24;

/// Time within which a version is in force.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Time after which a daemon whose connections have gone silent must be in contact again.
const RECONNECT_TIME: Duration = Duration::from_secs(3);

/// Time within which all daemons have a first version and know each other.
const START_TIME: Duration = Duration::from_secs(15);

/// A platform, and daemons that reach it over one path.
struct Fleet {
    _platform: Platform,
    store: Client,
    path: Control,
    daemons: Vec<Arc<Daemon>>,
    version: u64,
}

impl Fleet {
    async fn start(first_start: bool) -> Fleet {
        let platform = Platform::start(LOOPBACK, Limits::default()).await.unwrap();
        let store = client(&platform);
        store.swap(KEY, 0, Some("1".into()), 0).await.unwrap();
        let (address, path) = FaultProxy::start(platform.address()).await.unwrap();
        let millis = |time: Duration| time.as_millis().to_string();
        let settings = [
            ("BAOBAB_APPLY_MS", millis(APPLY_TIME)),
            ("BAOBAB_RECONNECT_MS", millis(RECONNECT_TIME)),
        ];
        let daemons = 0..DAEMONS;
        let daemons = daemons.map(|index| start_with(address, index, first_start, &settings));
        Fleet {
            daemons: daemons.collect(),
            _platform: platform,
            store,
            path,
            version: 1,
        }
    }

    async fn write_version(&mut self) {
        self.version += 1;
        let entry = self.store.get(KEY).await.unwrap().unwrap();
        let value = Some(self.version.to_string().into());
        let swap = self.store.swap(KEY, entry.revision, value, 0);
        swap.await.unwrap();
    }

    /// Waits until the newest version is in force on each daemon, until `deadline` at most.
    async fn wait_in_force(&self, deadline: Instant) {
        let stamp = |daemon: &Arc<Daemon>| daemon.config.stamp().version;
        while !self.daemons.iter().all(|d| stamp(d) == self.version) {
            let versions: Vec<u64> = self.daemons.iter().map(stamp).collect();
            assert!(
                Instant::now() < deadline,
                "{versions:?}, not {}",
                self.version
            );
            sleep(Duration::from_millis(10)).await;
        }
    }

    async fn wait_started(&self) {
        let deadline = Instant::now() + START_TIME;
        self.wait_in_force(deadline).await;
        while self
            .daemons
            .iter()
            .any(|d| d.fleet.load().members().len() < DAEMONS)
        {
            assert!(Instant::now() < deadline, "not started in time");
            sleep(Duration::from_millis(50)).await;
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for daemon in &self.daemons {
            daemon.drain.advance(Phase::Stopped);
        }
    }
}

/// Guards against a version that comes into force as late as watches end that wait on silent connections. It is
/// accepted just before, right after, or a second after the connections go silent, several times in a row.
#[test_case(Duration::ZERO; "all connections")]
#[test_case(Duration::from_millis(700); "idle connections")]
#[test_case(Duration::from_secs(4); "connections idle for long")]
#[tokio::test(flavor = "multi_thread")]
async fn follow_external_silent(min_idle: Duration) {
    let mut fleet = Fleet::start(false).await;
    fleet.wait_started().await;
    for delay_ms in [1_000, 0, 1_000, 300] {
        // Watches wait again after the version before.
        sleep(min_idle + Duration::from_millis(1_300)).await;
        fleet.path.silence_connections(min_idle);
        let deadline = Instant::now() + RECONNECT_TIME;
        sleep(Duration::from_millis(delay_ms)).await;
        fleet.write_version().await;
        fleet.wait_in_force(deadline).await;
        sleep_until(deadline).await;
    }
}

/// Guards against a first version that is late since connections go silent, again and again, while the daemons
/// start.
#[test_case(true; "first start")]
#[test_case(false; "restart")]
#[tokio::test(flavor = "multi_thread")]
async fn follow_external_silent_at_start(first_start: bool) {
    let mut fleet = Fleet::start(first_start).await;
    for _ in 0..6 {
        sleep(Duration::from_millis(400)).await;
        fleet.path.silence_connections(Duration::ZERO);
    }
    let deadline = Instant::now() + RECONNECT_TIME;
    fleet.write_version().await;
    fleet.wait_in_force(deadline).await;
}
