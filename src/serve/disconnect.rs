//! Detection of callers that close their connection while its requests are not read.
//!
//! The HTTP library finds the end of a stream when it has read all bytes before it. It does not read while
//! a call is in progress and a further request, or the call's own body, waits in its buffer or in the
//! socket. The kernel reports the end as soon as it has arrived.

use super::{Body, BodyError};
use crate::event;
use http::Response;
use http_body::{Body as HttpBody, Frame, SizeHint};
use hyper::body::Bytes;
use std::future::{Future, pending};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::Interest;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::Instant;

/// The caller has closed its connection, or its sending half.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("caller has closed the connection")]
pub(super) struct Disconnected;

/// Resolves when a caller has closed its connection or its sending half, whatever is still unread.
pub(super) struct Disconnect {
    closed: Pin<Box<dyn Future<Output = ()> + Send>>,
}

impl Disconnect {
    /// Waits for the end of what a caller sends.
    pub(super) fn of(reader: Arc<OwnedReadHalf>) -> Self {
        Disconnect {
            closed: Box::pin(closed(reader)),
        }
    }

    /// Waits for the response to a call, and drops the call when its caller disconnects.
    ///
    /// # Errors
    ///
    /// Fails when the caller has disconnected before the response.
    pub(super) async fn cancel<F>(mut self, call: F) -> Result<Response<Body>, Disconnected>
    where
        F: Future<Output = Response<Body>>,
    {
        let started = Instant::now();
        let response = tokio::select! {
            // A call whose caller has left before it was first polled does not start.
            biased;
            () = &mut self.closed => {
                event!(CallerLeft, ms = started.elapsed().as_millis());
                return Err(Disconnected);
            }
            response = call => response,
        };
        if response.body().is_end_stream() {
            return Ok(response);
        }
        Ok(response.map(|body| {
            let disconnect = self;
            Body::new(AttendedBody { body, disconnect })
        }))
    }
}

async fn closed(reader: Arc<OwnedReadHalf>) {
    // Urgent data is never reported, as the stream is not registered for it, so this interest means the
    // peer's end alone. Interest in reading would resolve for unread bytes.
    if let Ok(ready) = reader.ready(Interest::PRIORITY).await
        && !ready.is_read_closed()
    {
        pending::<()>().await;
    }
}

/// The body of a response, which fails when the caller disconnects.
struct AttendedBody {
    body: Body,
    disconnect: Disconnect,
}

impl HttpBody for AttendedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.disconnect.closed.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(Disconnected.into())));
        }
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
