//! The configuration in force, used by several tasks at once.

use baobabstage::daemon::ConfigCell;
use baobabstage::snapshot::Snapshot;
use std::collections::BTreeMap;
use std::sync::{Arc, mpsc};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);

#[test]
fn floor_while_stamp_is_borrowed() {
    let cell = Arc::new(ConfigCell::default());
    let mut stamps = cell.subscribe();
    let borrowed = stamps.borrow_and_update();
    let writer = Arc::clone(&cell);
    let applied = std::thread::spawn(move || {
        let snapshot = Snapshot::new(1, "change", BTreeMap::new());
        writer.apply(Arc::new(snapshot)).unwrap()
    });
    // The table is swapped just before `apply` waits for the borrow to end.
    while cell.table().stamp().version == 0 {
        std::thread::yield_now();
    }
    let (sender, receiver) = mpsc::channel();
    let reader = Arc::clone(&cell);
    std::thread::spawn(move || sender.send(reader.floor()));
    let floor = receiver.recv_timeout(TIMEOUT);
    drop(borrowed);
    assert!(applied.join().unwrap());
    assert!(floor.is_ok(), "floor waits for the borrow");
}
