//! Calls with an `Idempotency-Key` at the inbound side.

use super::{Inbound, unavailable};
use crate::call::body::Prefixed;
use crate::call::idempotency::{Begin, Ending, KEY, Kept, KeyError, KeyId, MAX_ANSWER_LEN};
use crate::call::{Refusal, Why};
use crate::daemon::{Daemon, Flight};
use crate::serve::{Body, BodyError, full};
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
    /// Returns the key of a request, if it has one and this side keeps its record.
    pub(super) fn key(&self, request: &Request<Body>) -> Option<KeyId> {
        let key = request.headers().get(KEY)?;
        Some(KeyId::new(self.service.as_ref()?, key.as_bytes()))
    }

    /// Tests whether a key is in the record.
    #[must_use]
    pub fn knows(&self, key: KeyId) -> bool {
        lock(&self.keys).knows(key)
    }

    /// Runs a call with a key, joins its first run, or answers from it.
    pub(super) async fn run_keyed(
        self: &Arc<Self>,
        daemon: &Arc<Daemon>,
        key: KeyId,
        request: Request<Body>,
        flight: Flight,
    ) -> Result<Response<Body>, Refusal> {
        let digest = digest(&request);
        let now = tokio::time::Instant::now();
        let id = request.headers().get(&daemon.names.request).cloned();
        let begin = lock(&self.keys).begin(now, key, digest);
        let kept = match begin {
            Begin::Run => {
                let (side, daemon) = (Arc::clone(self), Arc::clone(daemon));
                // The run goes on when its caller goes away, so that a repeat can be answered.
                let run = tokio::spawn(side.first_run(daemon, key, request, flight));
                let lost = |_| Refusal::unknown(StatusCode::BAD_GATEWAY, "run was broken off");
                return run.await.map_err(lost)?;
            }
            Begin::Join(receiver) => joined(receiver).await?,
            Begin::Answer(kept) => kept,
            Begin::Refuse(err) => return Err(refused(err)),
        };
        let mut answer = Response::new(full(kept.body.clone()));
        *answer.status_mut() = kept.status;
        *answer.headers_mut() = kept.headers.clone();
        if let Some(id) = id {
            answer.headers_mut().insert(&daemon.names.request, id);
        }
        Ok(answer)
    }

    async fn first_run(
        self: Arc<Self>,
        daemon: Arc<Daemon>,
        key: KeyId,
        request: Request<Body>,
        flight: Flight,
    ) -> Result<Response<Body>, Refusal> {
        let mut open = OpenKey {
            side: Arc::clone(&self),
            key,
            ending: Ending::Unknown,
        };
        let answer = match self.forward(&daemon, request, flight).await {
            Ok(answer) => answer,
            Err(refusal) => {
                if refusal.outcome == crate::call::Outcome::NotRun {
                    open.ending = Ending::NotRun;
                }
                return Err(refusal);
            }
        };
        let (answer, kept) = keep(answer).await?;
        if let Some(kept) = kept {
            let kept = Arc::new(kept);
            let sheds = kept.status == StatusCode::SERVICE_UNAVAILABLE
                && kept.headers.contains_key(header::RETRY_AFTER);
            open.ending = if sheds {
                Ending::Shed(kept)
            } else {
                Ending::Answered(kept)
            };
        }
        Ok(answer)
    }
}

/// A key whose run has not ended. It ends when this is dropped.
struct OpenKey {
    side: Arc<Inbound>,
    key: KeyId,
    ending: Ending,
}

impl Drop for OpenKey {
    fn drop(&mut self) {
        lock(&self.side.keys).end(self.key, &self.ending);
    }
}

async fn joined(mut receiver: watch::Receiver<Option<Ending>>) -> Result<Arc<Kept>, Refusal> {
    let ending = receiver.wait_for(Option::is_some).await;
    match ending.ok().and_then(|ending| ending.clone()) {
        Some(Ending::Answered(kept) | Ending::Shed(kept)) => Ok(kept),
        Some(Ending::NotRun) => Err(unavailable(
            "first call with this key did not run",
            Why::Other,
        )),
        Some(Ending::Unknown) | None => Err(refused(KeyError::Unknown)),
    }
}

fn refused(err: KeyError) -> Refusal {
    match err {
        // This request itself is refused for good, whatever became of the other one.
        KeyError::OtherRequest => Refusal::not_run(StatusCode::UNPROCESSABLE_ENTITY, err),
        KeyError::Unknown => Refusal::unknown(StatusCode::CONFLICT, err),
        KeyError::Full => unavailable(err, Why::Full),
    }
}

fn digest(request: &Request<Body>) -> u128 {
    let length = request.headers().get(header::CONTENT_LENGTH);
    let length = length.map_or(&b""[..], http::HeaderValue::as_bytes);
    let path = request.uri().path_and_query().map_or("/", |p| p.as_str());
    let mut text = format!("{} {path} ", request.method()).into_bytes();
    text.extend_from_slice(length);
    xxh3_128(&text)
}

/// Reads an answer whole if it is short. A long one passes on and is not kept.
async fn keep(answer: Response<Body>) -> Result<(Response<Body>, Option<Kept>), Refusal> {
    let (head, mut body) = answer.into_parts();
    let mut frames: VecDeque<Frame<Bytes>> = VecDeque::new();
    let mut data = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err: BodyError| {
            Refusal::unknown(
                StatusCode::BAD_GATEWAY,
                format!("answer was cut off: {err}"),
            )
        })?;
        let part = frame.data_ref().cloned();
        frames.push_back(frame);
        match part {
            Some(part) if data.len() + part.len() <= MAX_ANSWER_LEN => data.extend(part),
            _ => {
                let body = Body::new(Prefixed::new(frames, body));
                return Ok((Response::from_parts(head, body), None));
            }
        }
    }
    let body = Bytes::from(data);
    let kept = Kept {
        status: head.status,
        headers: head.headers.clone(),
        body: body.clone(),
    };
    Ok((Response::from_parts(head, full(body)), Some(kept)))
}
