//! Calls whose responses are long.
//!
//! Their responses wait for the link to other daemons after they have left their slots. A limit on
//! the calls in progress keeps that backlog short, so that a call which would wait too long is refused
//! before it has run.

use crate::sync::lock;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};

/// Length of a response, in bytes, above which it counts as long.
pub const MIN_LEN: u64 = 16 * 1024;

/// Calls beyond the slots that may be in progress: their responses are being sent or wait for that.
const BACKLOG: u32 = 4;

/// Smoothing factor of the lengths: a new sample has a weight of 1/8.
const SMOOTHING: u64 = 8;

/// Maximum number of time classes whose lengths are known.
const MAX_CLASSES: usize = 256;

/// The calls with long responses at one inbound side.
#[derive(Debug, Default)]
pub struct BulkCalls {
    in_progress: Arc<AtomicU32>,
    /// The average length of the responses of each time class, in bytes.
    lengths: Mutex<BTreeMap<u32, u64>>,
}

impl BulkCalls {
    /// Records the length of a response, in bytes.
    pub fn record_length(&self, time_class: u32, len: u64) {
        let mut lengths = lock(&self.lengths);
        if lengths.len() >= MAX_CLASSES && !lengths.contains_key(&time_class) {
            return;
        }
        let average = lengths.entry(time_class).or_insert(len);
        *average = (*average * (SMOOTHING - 1) + len) / SMOOTHING;
    }

    /// Tests whether responses of a time class are long on average.
    #[must_use]
    pub fn is_bulk(&self, time_class: u32) -> bool {
        lock(&self.lengths)
            .get(&time_class)
            .is_some_and(|len| *len > MIN_LEN)
    }

    /// Admits a call until the guard is dropped; `None` if too many are in progress.
    #[must_use]
    pub fn admit(&self, slots: u32) -> Option<BulkGuard> {
        let limit = slots.saturating_add(BACKLOG);
        let count = self.in_progress.fetch_add(1, Ordering::Relaxed);
        let guard = BulkGuard(Arc::clone(&self.in_progress));
        (count < limit).then_some(guard)
    }
}

/// Counts a call as in progress until it is dropped.
#[derive(Debug)]
pub struct BulkGuard(Arc<AtomicU32>);

impl Drop for BulkGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
