//! Adaptive throttling: sheds a share of the calls of a class that mostly fails at this backend server.
//!
//! A backend server that makes calls of its own fails a call when one of them fails. While the service
//! that it depends on is overloaded, calls that are bound to fail occupy slots here and load the
//! dependency further. As many are admitted as [`ACCEPT_FACTOR`] times those that succeed, so that the
//! admitted load follows what the dependency can serve and recovers with it.

use crate::sync::lock;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::Instant;

/// Calls admitted for each one that succeeds.
const ACCEPT_FACTOR: f64 = 1.5;

/// Calls of a class, after decay, below which none is shed: too few to tell.
const MIN_CALLS: f64 = 8.0;

/// Time in which the counts fall to half.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Maximum number of time classes that are tracked; one more clears all.
const MAX_CLASSES: usize = 256;

/// The recent calls of one time class. The counts decay.
#[derive(Clone, Copy, Debug)]
struct Counts {
    /// Calls that the backend server answered, and those that were shed.
    requests: f64,
    /// Calls that succeeded.
    accepts: f64,
    decayed: Instant,
}

impl Counts {
    fn decay(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.decayed);
        let factor = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.requests *= factor;
        self.accepts *= factor;
        self.decayed = now;
    }
}

/// The recent calls of one backend server, by time class.
#[derive(Debug, Default)]
pub struct Throttle {
    classes: Mutex<BTreeMap<u32, Counts>>,
}

impl Throttle {
    /// Decides whether a call is shed, and counts it if so; `draw` is a random number from 0 to 1.
    #[must_use]
    pub fn sheds(&self, now: Instant, time_class: u32, draw: f64) -> bool {
        let mut classes = lock(&self.classes);
        let counts = counts(&mut classes, now, time_class);
        if counts.requests < MIN_CALLS {
            return false;
        }
        let shed = draw < 1.0 - ACCEPT_FACTOR * counts.accepts / counts.requests;
        if shed {
            counts.requests += 1.0;
        }
        shed
    }

    /// Counts a call that the backend server has answered.
    pub fn record(&self, now: Instant, time_class: u32, succeeded: bool) {
        let mut classes = lock(&self.classes);
        let counts = counts(&mut classes, now, time_class);
        counts.requests += 1.0;
        if succeeded {
            counts.accepts += 1.0;
        }
    }
}

fn counts(classes: &mut BTreeMap<u32, Counts>, now: Instant, time_class: u32) -> &mut Counts {
    if classes.len() >= MAX_CLASSES && !classes.contains_key(&time_class) {
        classes.clear();
    }
    let counts = classes.entry(time_class).or_insert(Counts {
        requests: 0.0,
        accepts: 0.0,
        decayed: now,
    });
    counts.decay(now);
    counts
}
