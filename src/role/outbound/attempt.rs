//! A call on its way and what is learned from its attempts.

use crate::call::attempt::{Attempt, Load};
use crate::call::body::Replay;
use crate::call::budget::{Failure, Terms};
use crate::call::choose::Upstream;
use crate::call::fence::Fate;
use crate::call::idempotency::{KEY, KeyId};
use crate::call::upstream::{Link, UpstreamError};
use crate::call::view::{ServiceView, View};
use crate::call::{self, Outcome, Refusal, request};
use crate::daemon::Daemon;
use crate::event;
use crate::resource::KeyRecord;
use crate::serve::{Body, incoming};
use crate::table::RouteEntry;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which an upstream that sheds calls is passed over when it does not say.
const SHED_TIME: Duration = Duration::from_secs(1);

/// A call on its way.
pub(super) struct Call<'a> {
    pub(super) daemon: &'a Arc<Daemon>,
    pub(super) service: &'a ServiceView,
    pub(super) head: http::request::Parts,
    pub(super) body: Replay,
    pub(super) id: &'a str,
    pub(super) terms: Terms,
    pub(super) weight: u32,
    /// The idempotency key whose record an inbound side keeps.
    pub(super) key: Option<KeyId>,
}

/// An attempt that is not the whole answer to its call.
pub(super) struct Failed {
    pub(super) failure: Failure,
    /// What the caller is told when no other attempt follows.
    pub(super) answer: Box<Response<Body>>,
}

impl<'a> Call<'a> {
    pub(super) fn new(
        daemon: &'a Arc<Daemon>,
        view: &'a View,
        entry: &RouteEntry,
        request: Request<Incoming>,
        id: &'a str,
    ) -> Result<Self, Refusal> {
        let service = view.service(entry.service).ok_or_else(no_upstream)?;
        let policy = &view.table.service(entry.service).policy;
        request::check_length(request.headers(), policy.body_bytes)?;
        let left = call::number(request.headers(), &call::DEADLINE_MS);
        let left = left.map_or(entry.timeout, |ms| {
            entry.timeout.min(Duration::from_millis(ms))
        });
        service.budget.earn(policy.retry_percent);
        let terms = Terms {
            idempotent: entry.route.idempotent,
            owned_above: request.headers().contains_key(call::RETRY),
            replayable: true,
            attempts: entry.route.attempts,
            deadline: Instant::now() + left,
        };
        let key = request.headers().get(KEY);
        let recorded = !terms.idempotent && policy.key_record == KeyRecord::Inbound;
        let name = &view.table.service(entry.service).name;
        let key = key.filter(|_| recorded);
        let key = key.map(|key| KeyId::new(name, key.as_bytes()));
        let (head, body) = request.into_parts();
        Ok(Call {
            daemon,
            service,
            head: request::outgoing(head, id)?,
            body: Replay::new(incoming(body), policy.body_bytes),
            id,
            terms,
            weight: entry.weight,
            key,
        })
    }

    pub(super) fn request(&self, attempt: &Attempt) -> Result<Request<Body>, Refusal> {
        let mut head = self.head.clone();
        let value = HeaderValue::from_str(&attempt.to_string());
        let value = value.map_err(|err| Refusal::not_run(StatusCode::BAD_REQUEST, err))?;
        head.headers.insert(call::ATTEMPT, value);
        if self.key.is_some() {
            let record = HeaderValue::from_static("1");
            head.headers.insert(call::KEY_RECORD, record);
        }
        let left = request::left_ms(self.terms.deadline);
        head.headers.insert(call::DEADLINE_MS, left);
        Ok(Request::from_parts(head, self.body.attempt()))
    }

    pub(super) fn refused(&self, refusal: Refusal) -> Failed {
        let failure = match refusal.outcome {
            Outcome::NotRun => Failure::NotRun,
            Outcome::Unknown => Failure::MayHaveRun,
        };
        event!(CallRefused, request = self.id, reason = refusal.reason);
        let answer = Box::new(refusal.into_answer(self.id));
        Failed { failure, answer }
    }

    pub(super) fn not_sent(&self, upstream: &Upstream, err: &UpstreamError) -> Failed {
        note_failure(upstream);
        let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, err);
        self.refused(refusal.retry_after(1))
    }

    pub(super) fn late(&self, upstream: &Upstream) -> Failed {
        note_failure(upstream);
        let reason = "no connection in time";
        let refusal = Refusal::not_run(StatusCode::GATEWAY_TIMEOUT, reason);
        self.refused(refusal.retry_after(1))
    }

    pub(super) fn unknown(&self, status: StatusCode, reason: &str) -> Failed {
        event!(CallUnknown, request = self.id, reason = reason);
        let answer = Refusal::unknown(status, reason).into_answer(self.id);
        let answer = Box::new(answer);
        let failure = Failure::MayHaveRun;
        Failed { failure, answer }
    }

    /// Finds out what can be said of an attempt whose answer was lost.
    pub(super) async fn lost(
        &self,
        upstream: &Upstream,
        link: &Link,
        attempt: &Attempt,
        reason: &str,
    ) -> Failed {
        let late = Instant::now() >= self.terms.deadline;
        if self.body.has_failed() {
            let reason = "request body was broken off or is too long";
            return self.unknown(StatusCode::PAYLOAD_TOO_LARGE, reason);
        }
        note_failure(upstream);
        if !self.terms.idempotent && !late && link.fence(attempt).await == Some(Fate::NeverRuns) {
            let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason);
            return self.refused(refusal.retry_after(1));
        }
        let status = if late {
            StatusCode::GATEWAY_TIMEOUT
        } else {
            StatusCode::BAD_GATEWAY
        };
        self.unknown(status, reason)
    }
}

/// Decides whether an answer is the caller's, and learns from it.
pub(super) fn judge(
    call: &Call<'_>,
    upstream: &Upstream,
    mut answer: Response<Body>,
    started: Instant,
) -> Result<Response<Body>, Failed> {
    let now = Instant::now();
    let headers = answer.headers();
    let load = call::text(headers, &call::LOAD);
    if let Some(load) = load.and_then(|load| load.parse::<Load>().ok()) {
        upstream.health.report(now, load);
    }
    let outcome = Outcome::of(headers);
    let sheds = answer.status() == StatusCode::SERVICE_UNAVAILABLE && outcome.is_none();
    if sheds && let Some(after) = headers.get(header::RETRY_AFTER) {
        upstream.health.shed(now, read_retry_after(after));
    }
    let leaving = headers.contains_key(call::DRAIN);
    if leaving {
        upstream.health.leave();
    }
    let asked = call.head.headers.get(call::REQUEST_ID);
    let answered = headers.get(call::REQUEST_ID);
    if answered.is_some() && answered != asked {
        event!(
            AnswerMismatched,
            request = call.id,
            answer = format_args!("{answered:?}")
        );
        note_failure(upstream);
        return Err(call.unknown(StatusCode::BAD_GATEWAY, "answer belongs to another call"));
    }
    call::drop_reserved_headers(answer.headers_mut(), &[call::OUTCOME]);
    let failure = match (outcome, answer.status()) {
        (Some(Outcome::NotRun), _) if leaving => Failure::Leaving,
        (Some(Outcome::NotRun), _) => Failure::NotRun,
        (Some(Outcome::Unknown), _)
        | (
            None,
            StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT,
        ) => Failure::MayHaveRun,
        (None, _) => {
            if upstream.health.succeed(now - started) {
                event!(UpstreamRestored, upstream = upstream.facts.name);
            }
            return Ok(answer);
        }
    };
    let answer = Box::new(answer);
    Err(Failed { failure, answer })
}

fn note_failure(upstream: &Upstream) {
    if let Some(time) = upstream.health.fail(Instant::now()) {
        let name = &upstream.facts.name;
        event!(UpstreamEjected, upstream = name, ms = time.as_millis());
    }
}

fn read_retry_after(value: &HeaderValue) -> Duration {
    let seconds = value.to_str().ok().and_then(|text| text.parse().ok());
    seconds.map_or(SHED_TIME, Duration::from_secs)
}

pub(super) fn no_upstream() -> Refusal {
    let reason = "service has no backend server";
    Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason).retry_after(1)
}
