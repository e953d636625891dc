//! A log of each run of each call, which tests compare with the callers' responses.

use baobabstage::sync::lock;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use tokio::time::Instant;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The work was done.
    Done,
    /// The connection was closed before the work was done.
    Cancelled,
    /// The deadline passed before the work was done.
    Expired,
    /// The run ended the backend server.
    Crashed,
}

/// One execution of a call.
#[derive(Clone, Debug)]
pub struct Run {
    /// The name of the backend server.
    pub backend: String,
    /// When the run started.
    pub started: Instant,
    /// When and how the run ended; absent while it is running.
    pub ended: Option<(Instant, RunEnd)>,
}

/// The runs of each request id. Clones share one log, so that several backend servers can use
/// it.
#[derive(Clone, Default)]
pub struct RunLog {
    runs: Arc<Mutex<BTreeMap<String, Vec<Run>>>>,
}

impl RunLog {
    /// Returns the number of runs of a call, complete or not.
    #[must_use]
    pub fn runs(&self, request_id: &str) -> u32 {
        let count = lock(&self.runs).get(request_id).map_or(0, Vec::len);
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns the runs of a call, in the order of their start.
    #[must_use]
    pub fn history(&self, request_id: &str) -> Vec<Run> {
        lock(&self.runs)
            .get(request_id)
            .cloned()
            .unwrap_or_default()
    }

    /// Returns the number of runs that a backend server started after a point in time.
    #[must_use]
    pub fn started_after(&self, backend: &str, since: Instant) -> usize {
        let runs = lock(&self.runs);
        let matches = |run: &&Run| run.backend == backend && run.started > since;
        runs.values().flatten().filter(matches).count()
    }

    /// Returns the number of runs that a backend server started between two points in time.
    #[must_use]
    pub fn started_within(&self, backend: &str, since: Instant, until: Instant) -> usize {
        let runs = lock(&self.runs);
        let matches =
            |run: &&Run| run.backend == backend && run.started > since && run.started < until;
        runs.values().flatten().filter(matches).count()
    }

    /// Returns the runs that were in progress at a backend server at a point in time, with their
    /// request ids.
    #[must_use]
    pub fn running_at(&self, backend: &str, at: Instant) -> Vec<(String, Run)> {
        let runs = lock(&self.runs);
        let mut found = Vec::new();
        for (id, list) in runs.iter() {
            let matches = |run: &&Run| {
                let open = run.ended.is_none_or(|(ended, _)| ended > at);
                run.backend == backend && run.started < at && open
            };
            found.extend(
                list.iter()
                    .filter(matches)
                    .map(|run| (id.clone(), run.clone())),
            );
        }
        found
    }

    /// Returns the runs of all calls whose request ids start with a prefix, in the order of their start.
    #[must_use]
    pub fn with_prefix(&self, prefix: &str) -> Vec<Run> {
        let runs = lock(&self.runs);
        let matching = runs.iter().filter(|(id, _)| id.starts_with(prefix));
        let mut found: Vec<Run> = matching.flat_map(|(_, list)| list.clone()).collect();
        found.sort_by_key(|run| run.started);
        found
    }

    /// Returns the number of runs that ended in the given manner.
    #[must_use]
    pub fn ended(&self, end: RunEnd) -> usize {
        let runs = lock(&self.runs);
        let matches = |run: &&Run| run.ended.is_some_and(|(_, how)| how == end);
        runs.values().flatten().filter(matches).count()
    }

    /// Records the start of a run. The returned guard records its end.
    pub(super) fn start(&self, request_id: &str, backend: &str) -> OpenRun {
        let run = Run {
            backend: backend.into(),
            started: Instant::now(),
            ended: None,
        };
        let mut runs = lock(&self.runs);
        let list = runs.entry(request_id.into()).or_default();
        list.push(run);
        OpenRun {
            run_log: self.clone(),
            request_id: request_id.into(),
            index: list.len() - 1,
            end: RunEnd::Cancelled,
        }
    }
}

/// A run that has not ended. Dropping it without [`OpenRun::end`] records the run as cancelled.
pub(super) struct OpenRun {
    run_log: RunLog,
    request_id: String,
    index: usize,
    end: RunEnd,
}

impl OpenRun {
    pub(super) fn end(mut self, end: RunEnd) {
        self.end = end;
    }
}

impl Drop for OpenRun {
    fn drop(&mut self) {
        let mut runs = lock(&self.run_log.runs);
        if let Some(list) = runs.get_mut(&self.request_id) {
            list[self.index].ended = Some((Instant::now(), self.end));
        }
    }
}
