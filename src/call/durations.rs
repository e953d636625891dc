//! How long calls take from their arrival to the end of their responses.
//!
//! Answers the load of a planned stop: calls keep arriving until callers have noticed it. One that is cut off
//! at the end costs its caller all the time until then, and may have run; one that is refused at once can be made
//! elsewhere. So a call is accepted only if calls of its kind are known to end in the time left.

use crate::sync::lock;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// The longest call is remembered for one to two of these windows.
const WINDOW: Duration = Duration::from_secs(30);

/// Ratio of the time allowed for a call to the longest one known: the next may take longer than all before.
const MARGIN: f64 = 1.5;

/// Maximum number of time classes tracked. One more clears what is known of all others.
const MAX_CLASSES: usize = 256;

/// The durations of the calls of a service, by time class.
#[derive(Debug, Default)]
pub struct CallDurations {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    classes: BTreeMap<u32, Class>,
    /// Calls begun so far; tells calls apart that began at the same moment.
    count: u64,
}

#[derive(Debug)]
struct Class {
    /// When the current window began.
    since: Instant,
    /// The longest call that ended in the current window and in the one before, if any did.
    longest: [Option<Duration>; 2],
    /// The calls in progress, oldest first.
    running: BTreeSet<CallKey>,
}

type CallKey = (Instant, u64);

impl Class {
    fn new(now: Instant) -> Self {
        Class {
            since: now,
            longest: [None; 2],
            running: BTreeSet::new(),
        }
    }

    /// Starts a new window if the current one has ended.
    fn advance(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.since);
        if age < WINDOW {
            return;
        }
        let [current, _] = self.longest;
        self.longest = [None, current.filter(|_| age < 2 * WINDOW)];
        self.since = now;
    }

    /// Returns the longest duration known; `None` if no call has ended, or one in progress is older than all that
    /// have: how long such calls take is then not known.
    fn longest(&mut self, now: Instant) -> Option<Duration> {
        self.advance(now);
        let [current, previous] = self.longest;
        let longest = current.max(previous)?;
        let oldest = self.running.first().map(|(began, _)| *began);
        let age = oldest.map_or(Duration::ZERO, |began| now.saturating_duration_since(began));
        (age <= longest).then_some(longest)
    }
}

impl CallDurations {
    /// Records that a call has arrived. Its end is recorded when the returned value is dropped.
    #[must_use]
    pub fn begin(self: &Arc<Self>, now: Instant, class: u32) -> OngoingCall {
        let mut state = lock(&self.state);
        state.count += 1;
        let key = (now, state.count);
        let classes = &mut state.classes;
        if classes.len() >= MAX_CLASSES && !classes.contains_key(&class) {
            classes.clear();
        }
        let entry = classes.entry(class).or_insert_with(|| Class::new(now));
        entry.running.insert(key);
        OngoingCall {
            durations: Arc::clone(self),
            class,
            key,
        }
    }

    /// Tests whether a call that arrives now will end within `left`, by its time limit or by the calls of its
    /// class.
    #[must_use]
    pub fn ends_within(&self, now: Instant, class: u32, limit: Duration, left: Duration) -> bool {
        if limit <= left {
            return true;
        }
        let mut state = lock(&self.state);
        let longest = state.classes.get_mut(&class);
        let longest = longest.and_then(|class| class.longest(now));
        longest.is_some_and(|longest| longest.mul_f64(MARGIN) <= left)
    }

    fn end(&self, now: Instant, class: u32, key: CallKey) {
        let mut state = lock(&self.state);
        if let Some(class) = state.classes.get_mut(&class)
            && class.running.remove(&key)
        {
            class.advance(now);
            let time = now.saturating_duration_since(key.0);
            class.longest[0] = class.longest[0].max(Some(time));
        }
    }
}

/// A call in progress.
#[derive(Debug)]
pub struct OngoingCall {
    durations: Arc<CallDurations>,
    class: u32,
    key: CallKey,
}

impl Drop for OngoingCall {
    fn drop(&mut self) {
        self.durations.end(Instant::now(), self.class, self.key);
    }
}
