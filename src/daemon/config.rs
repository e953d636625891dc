//! The configuration in force.

use super::removals::RemovalLog;
use crate::error::{Category, Error, Result};
use crate::event;
use crate::generated::mesh as wire;
use crate::snapshot::{Snapshot, Stamp};
use crate::sync::lock;
use crate::table::Table;
use arc_swap::ArcSwap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// The configuration in force: the version that this daemon last applied, compiled.
///
/// The version only increases.
#[derive(Default)]
pub struct ConfigCell {
    table: ArcSwap<Table>,
    stamp: watch::Sender<Stamp>,
    /// The minimum version that may be applied.
    ///
    /// Written under the lock of `state`, but read without it: a reader may hold a borrow of the
    /// stamp, and the holder of that lock may wait for the borrow to end.
    floor: AtomicU64,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// When a version was last applied.
    applied: Option<Instant>,
    /// The version last refused as invalid, and the error.
    refused: Option<(Stamp, String)>,
    removals: RemovalLog,
}

impl ConfigCell {
    /// Returns the compiled configuration in force.
    #[must_use]
    pub fn table(&self) -> Arc<Table> {
        self.table.load_full()
    }

    /// Returns the stamp in force: the version and the hash of its content.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        *self.stamp.borrow()
    }

    /// Returns the snapshot in force.
    #[must_use]
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(self.table().snapshot())
    }

    /// Returns a receiver that is notified of each applied version.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Stamp> {
        self.stamp.subscribe()
    }

    /// Applies a version atomically.
    ///
    /// Returns false when it is older than the one in force or the same.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Input`] when the snapshot is not valid, and with
    /// [`Category::Conflict`] when it is below the floor or has another hash than the same version
    /// in force. The configuration in force is unchanged then.
    pub fn apply(&self, snapshot: Arc<Snapshot>) -> Result<bool> {
        let mut state = lock(&self.state);
        let (new, now) = (snapshot.stamp(), self.stamp());
        if new.version < now.version || new == now {
            return Ok(false);
        }
        let floor = self.floor();
        if new.version == now.version || new.version < floor {
            let message = format!("version {new} does not follow {now} (floor {floor})");
            return Err(Error::new(Category::Conflict, message));
        }
        let previous = self.snapshot();
        match Table::compile(snapshot) {
            Ok(table) => {
                state.removals.record(&previous, table.snapshot());
                // Before the table, so that the floor is never below the version in force.
                self.floor.store(new.version, Ordering::Release);
                self.table.store(Arc::new(table));
            }
            Err(err) => {
                event!(VersionRefused, version = new, error = err);
                state.refused = Some((new, err.to_string()));
                return Err(err);
            }
        }
        state.applied = Some(Instant::now());
        event!(VersionApplied, version = new);
        self.stamp.send_replace(new);
        Ok(true)
    }

    /// Returns what has changed after a version: all resources if that is not known.
    #[must_use]
    pub fn changes_after(&self, version: u64) -> wire::Changes {
        let state = lock(&self.state);
        let snapshot = self.snapshot();
        match state.removals.after(version) {
            Some(removed) => snapshot.changes_after(version, removed),
            None => snapshot.changes_after(0, Vec::new()),
        }
    }

    /// Returns the time since a version was last applied; `None` before the first.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        lock(&self.state).applied.map(|at| at.elapsed())
    }

    /// Tests whether a version was the last one to be refused as invalid.
    #[must_use]
    pub fn has_refused(&self, version: u64) -> bool {
        let state = lock(&self.state);
        state
            .refused
            .as_ref()
            .is_some_and(|(stamp, _)| stamp.version == version)
    }

    /// Raises the floor: refuses every version below this one from now on.
    pub fn raise_floor(&self, version: u64) {
        let _state = lock(&self.state);
        self.floor.fetch_max(version, Ordering::AcqRel);
    }

    /// Returns the floor: the minimum version that may be applied.
    #[must_use]
    pub fn floor(&self) -> u64 {
        self.floor.load(Ordering::Acquire)
    }

    /// Returns the configuration's state as JSON for the state dump.
    #[must_use]
    pub fn state(&self) -> serde_json::Value {
        let state = lock(&self.state);
        let refused = state.refused.as_ref();
        serde_json::json!({
            "version": self.stamp().version,
            "stamp": self.stamp(),
            "floor": self.floor(),
            "applied_ms_ago": state.applied.map(|at| at.elapsed().as_millis()),
            "resources": self.table().snapshot().resources().len(),
            "refused": refused.map(|(stamp, error)| format!("{stamp}: {error}")),
        })
    }
}
