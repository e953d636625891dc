//! Recent counts of each backend server, from which the counts of a time window are derived.

use super::{Counts, Evidence, ServerKey};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Samples older than this, relative to the newest of the same server, are dropped.
const KEPT: Duration = Duration::from_secs(3);

/// Time within which the reports of all daemons reach a decider that takes over.
const FIRST_REPORTS: Duration = Duration::from_millis(1_250);

/// Counts by time class, which stands for a route.
pub(super) type Routes = BTreeMap<u32, Counts>;

/// The recent counts of one backend server.
#[derive(Debug)]
pub(super) struct Track {
    /// Whether the backend server has the version of the order.
    pub(super) new: bool,
    /// Whether the first sample has all calls since counting began.
    from_zero: bool,
    /// Cumulative counts with the time at which they arrived. Never empty.
    samples: VecDeque<(Instant, Routes)>,
}

impl Track {
    /// The time at which the newest counts arrived.
    pub(super) fn newest(&self) -> Instant {
        self.samples.back().expect("a track has a sample").0
    }

    /// The counts of the last `length` before the newest sample. Where no sample is that old, these are all
    /// counts since counting began.
    pub(super) fn window(&self, length: Duration) -> Routes {
        let (newest, routes) = self.samples.back().expect("a track has a sample");
        let base = self.before(*newest - length);
        difference(routes, base)
    }

    /// Tests whether the calls of a window of this length are known.
    pub(super) fn covers(&self, length: Duration) -> bool {
        self.from_zero || self.before(self.newest() - length).is_some()
    }

    /// The calls a second over the last `length`. Where no sample is that old, the rate is that since the first
    /// sample, or over all of `length` if that sample has all calls.
    #[allow(clippy::cast_precision_loss)]
    fn rate(&self, now: Instant, length: Duration) -> f64 {
        let since = now - length;
        let (first_at, first) = &self.samples[0];
        let (base, time) = match self.before(since) {
            Some(base) => (total(base), length),
            None if self.from_zero => (0, length),
            None => (total(first), now - *first_at),
        };
        let calls = self.calls().saturating_sub(base);
        if calls == 0 {
            return 0.0;
        }
        calls as f64 / time.as_secs_f64()
    }

    /// The counts that have arrived since `since`. What was counted before the first sample is left out.
    fn grown_since(&self, since: Instant) -> Routes {
        let (first, newest) = (&self.samples[0].1, &self.samples[self.samples.len() - 1].1);
        difference(newest, Some(self.before(since).unwrap_or(first)))
    }

    /// All calls since counting began.
    pub(super) fn calls(&self) -> u64 {
        total(&self.samples.back().expect("a track has a sample").1)
    }

    fn before(&self, time: Instant) -> Option<&Routes> {
        let mut older = self.samples.iter().rev();
        older.find(|(at, _)| *at <= time).map(|(_, routes)| routes)
    }

    fn push(&mut self, now: Instant, routes: &Routes) {
        if self
            .samples
            .back()
            .is_some_and(|(_, known)| known == routes)
        {
            return;
        }
        self.samples.push_back((now, routes.clone()));
        while self.samples.len() > 2 && self.samples[1].0 + KEPT <= now {
            self.samples.pop_front();
        }
    }
}

/// The recent counts of all backend servers of a service.
#[derive(Debug, Default)]
pub(super) struct History {
    /// When counts were first recorded.
    begun: Option<Instant>,
    tracks: BTreeMap<ServerKey, Track>,
}

impl History {
    /// Records the counts that have changed since the last call.
    pub(super) fn record(&mut self, now: Instant, evidence: &Evidence, version: &str) {
        let begun = *self.begun.get_or_insert(now);
        for (key, counts) in evidence.servers() {
            if let Some(track) = self.tracks.get_mut(key) {
                track.push(now, &counts.routes);
                continue;
            }
            let track = Track {
                new: counts.version == version,
                from_zero: now > begun + FIRST_REPORTS,
                samples: VecDeque::from([(now, counts.routes.clone())]),
            };
            self.tracks.insert(key.clone(), track);
        }
    }

    /// Iterates over the backend servers of the version of the order, or over the others.
    pub(super) fn of(&self, new: bool) -> impl Iterator<Item = (&ServerKey, &Track)> {
        self.tracks
            .iter()
            .filter(move |(_, track)| track.new == new)
    }

    /// Calls to the version of the order since counting began.
    pub(super) fn exposure(&self) -> u64 {
        self.of(true).map(|(_, track)| track.calls()).sum()
    }

    /// Calls to the service since counting began.
    pub(super) fn calls(&self) -> u64 {
        self.tracks.values().map(Track::calls).sum()
    }

    /// Tests whether counts have been recorded for `length`.
    pub(super) fn spans(&self, now: Instant, length: Duration) -> bool {
        self.begun.is_some_and(|begun| now >= begun + length)
    }

    /// Calls a second to the service over the last `length`.
    pub(super) fn rate(&self, now: Instant, length: Duration) -> f64 {
        let tracks = self.tracks.values();
        tracks.map(|track| track.rate(now, length)).sum()
    }

    /// Slots of the old version that were in use on average over the last `length`. Failed calls, whose times are
    /// not counted, are taken to have lasted as long as the others of their route.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn busy(&self, now: Instant, length: Duration) -> f64 {
        let mut routes = Routes::new();
        for (_, track) in self.of(false) {
            for (route, counts) in track.grown_since(now - length) {
                let sum = routes.entry(route).or_default();
                sum.calls += counts.calls;
                sum.failures += counts.failures;
                sum.time_us += counts.time_us;
            }
        }
        let time = |counts: &Counts| {
            let timed = counts.calls.saturating_sub(counts.failures).max(1);
            counts.time_us as f64 * counts.calls as f64 / timed as f64
        };
        routes.values().map(time).sum::<f64>() / 1e6 / length.as_secs_f64()
    }
}

fn total(routes: &Routes) -> u64 {
    routes.values().map(|counts| counts.calls).sum()
}

fn difference(newest: &Routes, base: Option<&Routes>) -> Routes {
    let since = |(class, counts): (&u32, &Counts)| {
        let base = base.and_then(|base| base.get(class)).copied();
        let base = base.unwrap_or_default();
        let counts = Counts {
            calls: counts.calls.saturating_sub(base.calls),
            failures: counts.failures.saturating_sub(base.failures),
            time_us: counts.time_us.saturating_sub(base.time_us),
        };
        (*class, counts)
    };
    newest.iter().map(since).collect()
}
