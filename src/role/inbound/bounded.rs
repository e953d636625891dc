//! A limit for the length of a backend server's response.

use super::crash::MonitoredRun;
use super::reachability::Reachability;
use crate::call::body::CutOffError;
use crate::call::pool::PooledBody;
use crate::rollout::counters::CountedRun;
use crate::serve::BodyError;
use http_body::{Body as HttpBody, Frame, SizeHint};
use hyper::body::Bytes;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

/// A response body that fails beyond its limit, which marks the backend server as down.
///
/// Its connection is closed then, since the body is dropped before its end.
pub(super) struct Bounded {
    body: PooledBody,
    limit: u64,
    /// Bytes that may still follow.
    left: u64,
    reachability: Arc<Reachability>,
    /// The run, until the body has ended.
    run: Option<MonitoredRun>,
    /// The count of the run for a rollout, until the body has ended.
    counted: Option<CountedRun>,
}

impl Bounded {
    pub(super) fn new(
        body: PooledBody,
        limit: u64,
        reachability: Arc<Reachability>,
        run: MonitoredRun,
        counted: Option<CountedRun>,
    ) -> Self {
        let mut bounded = Bounded {
            body,
            limit,
            left: limit,
            reachability,
            run: Some(run),
            counted,
        };
        bounded.end_if_complete();
        bounded
    }

    fn end_if_complete(&mut self) {
        if self.body.is_end_stream() {
            self.complete();
        }
    }

    fn complete(&mut self) {
        if let Some(run) = self.run.take() {
            run.complete();
        }
        if let Some(counted) = self.counted.take() {
            counted.complete();
        }
    }
}

impl HttpBody for Bounded {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = std::task::ready!(Pin::new(&mut self.body).poll_frame(cx));
        match &frame {
            Some(Ok(frame)) => {
                let len = frame.data_ref().map_or(0, Bytes::len) as u64;
                let Some(left) = self.left.checked_sub(len) else {
                    if let Some(counted) = self.counted.take() {
                        counted.fail();
                    }
                    let err = CutOffError::TooLong(self.limit);
                    self.reachability.mark_down(err);
                    return Poll::Ready(Some(Err(err.into())));
                };
                self.left = left;
                self.end_if_complete();
            }
            Some(Err(_)) => {
                if let Some(run) = self.run.take() {
                    run.lose_body();
                }
                if let Some(counted) = self.counted.take() {
                    counted.fail();
                }
            }
            None => self.complete(),
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
