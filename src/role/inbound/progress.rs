//! Attempts that are abandoned by their senders.

use crate::call::metrics::InboundMetrics;
use crate::event;
use http::HeaderValue;
use tokio::time::Instant;

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptStage {
    /// Its body is being received.
    Body,
    /// It waits for a slot of the backend server.
    Queue,
    /// It has a slot.
    Run,
}

impl AttemptStage {
    /// Returns the stage's label in metrics and logs.
    fn as_str(self) -> &'static str {
        match self {
            AttemptStage::Body => "body",
            AttemptStage::Queue => "queue",
            AttemptStage::Run => "run",
        }
    }
}

/// The progress of an attempt. One that is dropped before [`Progress::end`] was abandoned, which is logged
/// and counted.
pub(super) struct Progress<'a> {
    metrics: &'a InboundMetrics,
    id: Option<HeaderValue>,
    started: Instant,
    /// `None` once the attempt has its response or refusal.
    stage: Option<AttemptStage>,
}

impl<'a> Progress<'a> {
    /// Begins the progress of an attempt of the call with this request id.
    pub(super) fn new(metrics: &'a InboundMetrics, id: Option<&HeaderValue>) -> Self {
        Progress {
            metrics,
            id: id.cloned(),
            started: Instant::now(),
            stage: Some(AttemptStage::Body),
        }
    }

    /// Sets the stage that the attempt has reached.
    pub(super) fn reach(&mut self, stage: AttemptStage) {
        self.stage = Some(stage);
    }

    /// Ends the progress with a response or a refusal.
    pub(super) fn end(mut self) {
        self.stage = None;
    }
}

impl Drop for Progress<'_> {
    fn drop(&mut self) {
        let Some(stage) = self.stage else {
            return;
        };
        self.metrics.note_abandoned(stage.as_str());
        let id = self.id.as_ref().and_then(|id| id.to_str().ok());
        event!(
            AttemptAbandoned,
            request = id.unwrap_or_default(),
            stage = stage.as_str(),
            ms = self.started.elapsed().as_millis(),
        );
    }
}
