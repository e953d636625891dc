//! Concurrent access to the configuration cell.

use baobabstage::daemon::ConfigCell;
use baobabstage::prelude::*;
use std::sync::mpsc;
use std::thread;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against a deadlock: one thread holds a borrow of the stamp and reads the floor, while
/// another applies a version and waits for the borrow to end.
#[test]
fn floor_during_apply() {
    let cell = Arc::new(ConfigCell::default());
    let receiver = cell.subscribe();
    let borrowed = receiver.borrow();
    let applying = Arc::clone(&cell);
    let snapshot = Arc::new(Snapshot::new(1, "one", BTreeMap::new()));
    let applied = thread::spawn(move || applying.apply(snapshot).unwrap());
    // From here on the other thread waits for `borrowed` to be dropped.
    while cell.table().stamp().version == 0 {
        thread::yield_now();
    }
    let (sender, floor) = mpsc::channel();
    let reading = Arc::clone(&cell);
    thread::spawn(move || sender.send(reading.floor()));
    let floor = floor.recv_timeout(TIMEOUT);
    drop(borrowed);
    assert_eq!(floor, Ok(1));
    assert!(applied.join().unwrap());
}

/// Guards against a version in force above the floor, for as long as applying it takes.
#[test]
fn floor_in_force() {
    const VERSIONS: u64 = 5_000;
    let cell = Arc::new(ConfigCell::default());
    let applying = Arc::clone(&cell);
    let applied = thread::spawn(move || {
        for version in 1..=VERSIONS {
            let snapshot = Snapshot::new(version, version.to_string(), BTreeMap::new());
            applying.apply(Arc::new(snapshot)).unwrap();
        }
    });
    let mut version = 0;
    while version < VERSIONS {
        version = cell.table().stamp().version;
        let floor = cell.floor();
        assert!(floor >= version, "floor {floor}, version {version}");
    }
    applied.join().unwrap();
}
