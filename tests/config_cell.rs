//! The configuration cell never waits for those who look at it.

use baobabstage::daemon::ConfigCell;
use baobabstage::prelude::*;
use std::sync::mpsc;
use std::thread;

const TIMEOUT: Duration = Duration::from_secs(20);

/// A daemon once hung for good: one thread held the stamp and asked for the floor, another put a
/// version in force.
#[test]
fn floor_is_read_while_a_version_is_applied() {
    let cell = Arc::new(ConfigCell::default());
    let receiver = cell.subscribe();
    let seen = receiver.borrow();
    let applying = Arc::clone(&cell);
    let snapshot = Arc::new(Snapshot::new(1, "one", BTreeMap::new()));
    let applied = thread::spawn(move || applying.apply(snapshot).unwrap());
    // From here on the other thread waits for `seen` to be dropped.
    while cell.table().stamp().version == 0 {
        thread::yield_now();
    }
    let (sender, floor) = mpsc::channel();
    let asking = Arc::clone(&cell);
    thread::spawn(move || sender.send(asking.floor()));
    let floor = floor.recv_timeout(TIMEOUT);
    drop(seen);
    assert_eq!(floor, Ok(1));
    assert!(applied.join().unwrap());
}
