//! The most recent versions of a daemon, and the updates that lead to the newest.

use crate::error::Result;
use crate::generated::mesh as wire;
use crate::generated::mesh::update::Content;
use crate::snapshot::{Snapshot, Stamp};
use prost::Message;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Maximum number of snapshots retained, including the newest. Older ones are bases of deltas.
pub const MAX_SNAPSHOTS: usize = 16;

/// Maximum total length of the encoded snapshots, in bytes. The newest is always retained.
pub const MAX_TOTAL_LEN: usize = 32 * 1024 * 1024;

/// The most recent versions of a daemon, and the cached updates that lead to the newest.
#[derive(Debug)]
pub struct History {
    /// Oldest first, each with its encoded length in bytes.
    snapshots: VecDeque<(Arc<Snapshot>, usize)>,
    /// Cached updates to the newest version, by base version.
    updates: BTreeMap<Stamp, wire::Update>,
}

impl Default for History {
    fn default() -> Self {
        let empty = Arc::new(Snapshot::default());
        History {
            snapshots: VecDeque::from([(empty, 0)]),
            updates: BTreeMap::new(),
        }
    }
}

impl History {
    /// Returns the snapshot of the newest version; that of version zero, before any is added, is
    /// empty.
    ///
    /// # Panics
    ///
    /// Does not panic, because the newest version is always retained.
    #[must_use]
    pub fn newest(&self) -> &Arc<Snapshot> {
        let newest = self.snapshots.back();
        &newest.expect("the newest version is always retained").0
    }

    /// Returns the stamp of the newest version.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        self.newest().stamp()
    }

    /// Adds a version and evicts the oldest beyond the limits; false if it is not newer.
    pub fn add(&mut self, snapshot: Arc<Snapshot>) -> bool {
        if snapshot.version() <= self.stamp().version {
            return false;
        }
        let len = snapshot.encode().len();
        self.snapshots.push_back((snapshot, len));
        self.updates.clear();
        let mut total: usize = self.snapshots.iter().map(|(_, len)| len).sum();
        while self.snapshots.len() > 1
            && (self.snapshots.len() > MAX_SNAPSHOTS || total > MAX_TOTAL_LEN)
        {
            let evicted = self.snapshots.pop_front();
            total -= evicted.map_or(0, |(_, len)| len);
        }
        true
    }

    /// Returns the update from a base version to the newest; `None` if the base is not older.
    ///
    /// The update is a delta if the base is still retained and the delta is shorter than the full
    /// snapshot.
    pub fn update_from(&mut self, base: Stamp) -> Option<wire::Update> {
        if base.version >= self.stamp().version {
            return None;
        }
        if let Some(update) = self.updates.get(&base) {
            return Some(update.clone());
        }
        let update = self.build_update(base);
        self.updates.insert(base, update.clone());
        Some(update)
    }

    /// Builds the snapshot that an update leads to, and verifies its hash. An update without
    /// content leads to the newest version.
    ///
    /// # Errors
    ///
    /// Fails when the update is corrupt, or when its base is not retained.
    pub fn decode_update(&self, update: wire::Update) -> Result<Arc<Snapshot>> {
        let snapshot = match update.content {
            Some(Content::Full(packed)) => Snapshot::unpack(&packed)?,
            Some(Content::Delta(delta)) => {
                let base = Stamp::from_wire(delta.base.as_ref());
                // If the base is not retained, the newest one yields the error of a wrong base.
                let base = self.find(base).unwrap_or_else(|| self.newest());
                base.apply_delta(delta)?
            }
            None => return Ok(Arc::clone(self.newest())),
        };
        Ok(Arc::new(snapshot))
    }

    fn build_update(&self, base: Stamp) -> wire::Update {
        let newest = self.newest();
        let delta = self.find(base).map(|base| newest.delta_from(base));
        let content = match delta {
            Some(delta) if base.version > 0 => Content::Delta(delta),
            _ => Content::Full(newest.pack()),
        };
        choose_shorter(content, newest)
    }

    fn find(&self, stamp: Stamp) -> Option<&Arc<Snapshot>> {
        let mut snapshots = self.snapshots.iter().map(|(snapshot, _)| snapshot);
        snapshots.find(|snapshot| snapshot.stamp() == stamp)
    }
}

/// Replaces a delta by the full snapshot if that is shorter.
fn choose_shorter(content: Content, newest: &Snapshot) -> wire::Update {
    let update = wire::Update {
        content: Some(content),
    };
    let delta = matches!(update.content, Some(Content::Delta(_)));
    if !delta || update.encoded_len() <= MAX_UNCOMPARED_LEN {
        return update;
    }
    let full = wire::Update {
        content: Some(Content::Full(newest.pack())),
    };
    if full.encoded_len() < update.encoded_len() {
        full
    } else {
        update
    }
}

/// Deltas up to this length, in bytes, are sent without a comparison with the full snapshot.
/// The comparison compresses the snapshot.
const MAX_UNCOMPARED_LEN: usize = 4_096;
