//! Execution of calls with an `Idempotency-Key` at the inbound side.

use super::{Inbound, unavailable};
use crate::call::body::Prefixed;
use crate::call::idempotency::{
    KEY, KeyDecision, KeyError, KeyId, MAX_RESPONSE_LEN, RunResult, StoredResponse,
};
use crate::call::{Refusal, RefusalReason};
use crate::daemon::{Daemon, InFlightGuard};
use crate::serve::{Body, BodyError, full_body};
use crate::sync::lock;
use http::{Request, Response, StatusCode, header};
use http_body::Frame;
use http_body_util::BodyExt;
use hyper::body::Bytes;
use std::collections::VecDeque;
use std::sync::Arc;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_128;

impl Inbound {
    /// Returns the key of a request; `None` without the header or without a backend server here.
    pub(super) fn key(&self, request: &Request<Body>) -> Option<KeyId> {
        let key = request.headers().get(KEY)?;
        Some(KeyId::new(self.service.as_ref()?, key.as_bytes()))
    }

    /// Tests whether this inbound side has a record of a key.
    #[must_use]
    pub fn has_key(&self, key: KeyId) -> bool {
        lock(&self.keys).contains(key)
    }

    /// Runs the first call with a key. A repeated call waits for the first run to end and gets its
    /// response.
    pub(super) async fn run_keyed(
        self: &Arc<Self>,
        daemon: &Arc<Daemon>,
        key: KeyId,
        request: Request<Body>,
        call_guard: InFlightGuard,
    ) -> Result<Response<Body>, Refusal> {
        let digest = digest(&request);
        let now = tokio::time::Instant::now();
        let request_id = request.headers().get(&daemon.names.request).cloned();
        let decision = lock(&self.keys).begin(now, key, digest);
        let stored = match decision {
            KeyDecision::Run => {
                let (inbound, daemon) = (Arc::clone(self), Arc::clone(daemon));
                // The run continues when its caller disconnects, so that a repeated call gets its
                // response.
                let run = tokio::spawn(inbound.first_run(daemon, key, request, call_guard));
                let lost = |_| Refusal::unknown(StatusCode::BAD_GATEWAY, "run was aborted");
                return run.await.map_err(lost)?;
            }
            KeyDecision::Join(receiver) => await_first_run(receiver).await?,
            KeyDecision::Respond(stored) => stored,
            KeyDecision::Refuse(err) => return Err(key_refusal(err)),
        };
        let mut response = Response::new(full_body(stored.body.clone()));
        *response.status_mut() = stored.status;
        *response.headers_mut() = stored.headers.clone();
        // The stored response has the id of the first request.
        if let Some(request_id) = request_id {
            response
                .headers_mut()
                .insert(&daemon.names.request, request_id);
        }
        Ok(response)
    }

    async fn first_run(
        self: Arc<Self>,
        daemon: Arc<Daemon>,
        key: KeyId,
        request: Request<Body>,
        call_guard: InFlightGuard,
    ) -> Result<Response<Body>, Refusal> {
        let mut run = KeyRun {
            inbound: Arc::clone(&self),
            key,
            result: RunResult::Unknown,
        };
        let response = match self.forward(&daemon, request, call_guard).await {
            Ok(response) => response,
            Err(refusal) => {
                if refusal.outcome == crate::call::Outcome::NotRun {
                    run.result = RunResult::NotRun;
                }
                return Err(refusal);
            }
        };
        let (response, stored) = buffer_response(response).await?;
        if let Some(stored) = stored {
            let stored = Arc::new(stored);
            // A call that the backend server shed did not run, so its key becomes free again.
            let is_shed = stored.status == StatusCode::SERVICE_UNAVAILABLE
                && stored.headers.contains_key(header::RETRY_AFTER);
            run.result = if is_shed {
                RunResult::Shed(stored)
            } else {
                RunResult::Responded(stored)
            };
        }
        Ok(response)
    }
}

/// Guard of the first run of a key. It records the result when it is dropped, so that a run that
/// panics or is aborted ends as unknown.
struct KeyRun {
    inbound: Arc<Inbound>,
    key: KeyId,
    result: RunResult,
}

impl Drop for KeyRun {
    fn drop(&mut self) {
        lock(&self.inbound.keys).end(self.key, &self.result);
    }
}

async fn await_first_run(
    mut receiver: watch::Receiver<Option<RunResult>>,
) -> Result<Arc<StoredResponse>, Refusal> {
    let result = receiver.wait_for(Option::is_some).await;
    match result.ok().and_then(|result| result.clone()) {
        Some(RunResult::Responded(stored) | RunResult::Shed(stored)) => Ok(stored),
        Some(RunResult::NotRun) => Err(unavailable(
            "first call with this key did not run",
            RefusalReason::Other,
        )),
        Some(RunResult::Unknown) | None => Err(key_refusal(KeyError::Unknown)),
    }
}

fn key_refusal(err: KeyError) -> Refusal {
    match err {
        // This request never runs, whatever the outcome of the one that used the key first.
        KeyError::OtherRequest => Refusal::not_run(StatusCode::UNPROCESSABLE_ENTITY, err),
        KeyError::Unknown => Refusal::unknown(StatusCode::CONFLICT, err),
        KeyError::Full => unavailable(err, RefusalReason::Full),
    }
}

/// Returns a hash of the method, the path and `Content-Length`, if any, to detect a key that is
/// used for another request. The body is not hashed, as it has not been read yet.
fn digest(request: &Request<Body>) -> u128 {
    let length = request.headers().get(header::CONTENT_LENGTH);
    let length = length.map_or(&b""[..], http::HeaderValue::as_bytes);
    let path = request.uri().path_and_query().map_or("/", |p| p.as_str());
    let mut text = format!("{} {path} ", request.method()).into_bytes();
    text.extend_from_slice(length);
    xxh3_128(&text)
}

/// Buffers a response of up to [`MAX_RESPONSE_LEN`] bytes to store it. A longer one, or one with
/// trailers, is streamed and not stored; the result of its key is then unknown.
async fn buffer_response(
    response: Response<Body>,
) -> Result<(Response<Body>, Option<StoredResponse>), Refusal> {
    let (head, mut body) = response.into_parts();
    let mut frames: VecDeque<Frame<Bytes>> = VecDeque::new();
    let mut data = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err: BodyError| {
            Refusal::unknown(
                StatusCode::BAD_GATEWAY,
                format!("response was cut off: {err}"),
            )
        })?;
        let chunk = frame.data_ref().cloned();
        frames.push_back(frame);
        match chunk {
            Some(chunk) if data.len() + chunk.len() <= MAX_RESPONSE_LEN => data.extend(chunk),
            _ => {
                let body = Body::new(Prefixed::new(frames, body));
                return Ok((Response::from_parts(head, body), None));
            }
        }
    }
    let body = Bytes::from(data);
    let stored = StoredResponse {
        status: head.status,
        headers: head.headers.clone(),
        body: body.clone(),
    };
    Ok((Response::from_parts(head, full_body(body)), Some(stored)))
}
