//! A call that has a slot of the backend server, and its response to the outbound side.

use super::bounded::Bounded;
use crate::call;
use crate::call::attempt::AttemptId;
use crate::call::body::Guarded;
use crate::call::bulk::{self, BulkGuard};
use crate::call::fence::Record;
use crate::call::gate::Permit;
use crate::call::read_ahead::{ReadAhead, Receiver, Transfers};
use crate::daemon::InFlightGuard;
use crate::serve::Body;
use crate::sync::lock;
use http::{Request, Response};
use hyper::body::Body as _;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

/// An attempt in the record. It is marked as finished when this is dropped.
pub(super) struct RecordedAttempt {
    pub(super) id: AttemptId,
    pub(super) record: Arc<Mutex<Record>>,
}

impl RecordedAttempt {
    /// Marks the attempt as sent to the backend server; returns false if it was fenced before.
    pub(super) fn dispatch(&self) -> bool {
        lock(&self.record).dispatch(self.id)
    }
}

impl Drop for RecordedAttempt {
    fn drop(&mut self) {
        lock(&self.record).finish(self.id);
    }
}

/// A call that has a slot.
pub(super) struct RunningCall {
    pub(super) permit: Permit,
    pub(super) recorded: RecordedAttempt,
    /// The time spent in the queue.
    pub(super) waited: Duration,
    pub(super) buffer: Option<OwnedSemaphorePermit>,
    /// Held until the response has been passed on.
    pub(super) guards: (InFlightGuard, Option<BulkGuard>),
    pub(super) receiver: Receiver,
}

/// Marks a request of this daemon's own outbound side.
#[derive(Clone, Copy, Debug)]
pub struct LocalCall;

/// Returns whether a request's response goes to this daemon's own outbound side.
pub(super) fn receiver(request: &Request<Body>) -> Receiver {
    match request.extensions().get::<LocalCall>() {
        Some(LocalCall) => Receiver::Local,
        None => Receiver::Remote,
    }
}

/// Turns a backend server's response into the one to the outbound side.
///
/// The slot is freed when the backend server has sent the whole body. A body longer than
/// [`bulk::MIN_LEN`], or of unknown length, is read ahead of its receiver for that.
pub(super) fn to_outbound(
    response: Response<Bounded>,
    run: RunningCall,
    deadline: Instant,
    transfers: &Transfers,
) -> Response<Body> {
    let (mut head, body) = response.into_parts();
    call::drop_hop_headers(&mut head.headers);
    call::drop_reserved_headers(&mut head.headers, &[]);
    let ran_us = u64::try_from(run.permit.service_time().as_micros()).unwrap_or(u64::MAX);
    head.headers.insert(call::RAN, ran_us.into());
    head.version = http::Version::HTTP_2;
    let RunningCall {
        permit,
        recorded,
        buffer,
        guards,
        receiver,
        ..
    } = run;
    let is_short = body
        .size_hint()
        .upper()
        .is_some_and(|len| len <= bulk::MIN_LEN);
    let body = Guarded::new(body, (permit, recorded, buffer), deadline);
    let body = if is_short {
        Body::new(Guarded::new(body, guards, deadline))
    } else {
        let body = ReadAhead::start(body, transfers, receiver);
        Body::new(Guarded::new(body, guards, deadline))
    };
    Response::from_parts(head, body)
}
