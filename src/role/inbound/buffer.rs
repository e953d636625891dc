//! Bodies of requests that are read before their calls take a slot.

use super::Inbound;
use super::admit::admission_refusal;
use crate::call::admission::AdmissionRequest;
use crate::call::body::{CutOffError, prefetch};
use crate::call::fingerprint::{self, Fingerprint};
use crate::call::{self, Refusal};
use crate::daemon::Daemon;
use crate::serve::{Body, BodyError};
use http::{Request, StatusCode};
use hyper::body::Body as _;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout_at;

/// Longest part of a request's body that is buffered before its call requests a slot, in bytes.
const MAX_BUFFERED_LEN: usize = 512 * 1024;

/// Calls whose bodies are buffered at once; further bodies are streamed to the backend server. With
/// [`MAX_BUFFERED_LEN`] this limits the memory for bodies to 8 MiB.
const MAX_BUFFERED_BODIES: usize = 16;

/// Creates the permits for bodies that are buffered at once.
pub(super) fn permits() -> Arc<Semaphore> {
    Arc::new(Semaphore::new(MAX_BUFFERED_BODIES))
}

impl Inbound {
    /// Buffers a request's body before its call takes a slot, as the slot would be idle until the
    /// body has arrived, and returns the fingerprint of the request. A call that would be refused now is
    /// refused before its body is read. Of a body that is not buffered, the part in the fingerprint is read.
    pub(super) async fn buffer_body(
        &self,
        daemon: &Daemon,
        request: Request<Body>,
        admission: &AdmissionRequest,
    ) -> Result<(Request<Body>, Fingerprint, Option<OwnedSemaphorePermit>), Refusal> {
        let (head, body) = request.into_parts();
        let caller = call::text(&head.headers, &daemon.names.calling_service());
        let caller = caller.unwrap_or_default();
        if body.is_end_stream() {
            let fingerprint = Fingerprint::new(&head, caller, None);
            return Ok((Request::from_parts(head, body), fingerprint, None));
        }
        self.gate.check(admission).map_err(admission_refusal)?;
        let permit = Arc::clone(&self.body_buffers).try_acquire_owned().ok();
        let len = if permit.is_some() {
            MAX_BUFFERED_LEN
        } else {
            fingerprint::BODY_LEN
        };
        let body = timeout_at(admission.deadline, prefetch(body, len)).await;
        let late = |_| {
            Refusal::not_run(
                StatusCode::GATEWAY_TIMEOUT,
                "request body did not arrive in time",
            )
        };
        let body = body.map_err(late)?.map_err(|err| body_refusal(&err))?;
        let fingerprint = Fingerprint::new(&head, caller, Some(&body));
        let request = Request::from_parts(head, Body::new(body));
        Ok((request, fingerprint, permit))
    }
}

/// Refuses a call whose body was cut off or is too long.
fn body_refusal(err: &BodyError) -> Refusal {
    let status = match err.downcast_ref() {
        Some(CutOffError::TooLong(_)) => StatusCode::PAYLOAD_TOO_LARGE,
        _ => StatusCode::BAD_REQUEST,
    };
    Refusal::not_run(status, err)
}
