//! The platform comes back from an older copy: its revisions go back and are given out again.

#[path = "support/external.rs"]
#[allow(dead_code, reason = "other tests use more of it")]
mod external;

use baobabstage::daemon::{Daemon, Phase};
use baobabstage::generated::mesh as wire;
use baobabstage::generated::mesh::MemberState;
use external::{KEY, start};
use prost::Message as _;
use standin::platform::{Limits, Platform};
use standin::testbed::LOOPBACK;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time within which an accepted version must be in force.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// More keys than the daemon has written itself.
const OTHER_WRITES: usize = 30;

/// Time within which a daemon's entry must be correct again after a restore.
const ENTRY_TIME: Duration = Duration::from_secs(2);

async fn wait_for_version(daemon: &Arc<Daemon>, version: u64) {
    let deadline = Instant::now() + APPLY_TIME;
    while daemon.config.stamp().version != version {
        assert!(Instant::now() < deadline, "version {version} is late");
        sleep(Duration::from_millis(10)).await;
    }
}

fn write_others(platform: &Platform) {
    for index in 0..OTHER_WRITES {
        platform.write_uncounted(&format!("other/{index}"), "");
    }
}

/// A watch that continues after the restore from a revision that is given out a second time misses
/// the versions written below it.
#[tokio::test]
async fn next_version_below_old_revision() {
    let platform = Platform::start(LOOPBACK, Limits::default()).await.unwrap();
    platform.write_uncounted(KEY, "3");
    let daemon = start(&platform, 0, false);
    wait_for_version(&daemon, 3).await;
    let copy = platform.copy();
    write_others(&platform);
    platform.write_uncounted(KEY, "5");
    wait_for_version(&daemon, 5).await;
    // The watch is pending again.
    sleep(Duration::from_millis(1_200)).await;
    platform.restore(copy);
    platform.write_uncounted(KEY, "5");
    platform.write_uncounted(KEY, "7");
    write_others(&platform);
    wait_for_version(&daemon, 7).await;
    daemon.drain.advance(Phase::Stopped);
}

fn stored_state(platform: &Platform) -> Option<MemberState> {
    let value = platform.read_uncounted("baobab/member/vm-00")?;
    Some(wire::Member::decode(value).unwrap().state())
}

async fn wait_for_state(platform: &Platform, state: MemberState) {
    let deadline = Instant::now() + ENTRY_TIME;
    while stored_state(platform) != Some(state) {
        assert!(Instant::now() < deadline, "entry is not {state:?}");
        sleep(Duration::from_millis(10)).await;
    }
}

/// The restored copy has the daemon's lease and an older record: the renewals succeed, and the entry
/// states that a leaving daemon is ready.
#[tokio::test]
async fn refresh_older_entry() {
    let platform = Platform::start(LOOPBACK, Limits::default()).await.unwrap();
    platform.write_uncounted(KEY, "3");
    let daemon = start(&platform, 0, false);
    wait_for_state(&platform, MemberState::Ready).await;
    let copy = platform.copy();
    daemon.drain.advance(Phase::Leaving);
    wait_for_state(&platform, MemberState::Draining).await;
    platform.restore(copy);
    wait_for_state(&platform, MemberState::Draining).await;
    daemon.drain.advance(Phase::Stopped);
}
