//! A call on its way and what is learned from its attempts.

use crate::call::attempt::{Attempt, Load};
use crate::call::body::Replay;
use crate::call::budget::{Failure, Terms};
use crate::call::choose::{Bulk, Upstream};
use crate::call::fence::Fate;
use crate::call::idempotency::{KEY, KeyId};
use crate::call::upstream::{Link, UpstreamError};
use crate::call::view::{ServiceView, View};
use crate::call::{self, Outcome, Refusal, Why, request};
use crate::daemon::{Daemon, Phase};
use crate::event;
use crate::exchange::Knowledge;
use crate::resource::KeyRecord;
use crate::serve::{Body, incoming};
use crate::table::{RouteEntry, ServiceId};
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::{Body as _, Incoming};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which an upstream that sheds calls is passed over when it does not say.
const SHED_TIME: Duration = Duration::from_secs(1);

/// The time after which a caller may come back when an upstream could not be reached.
const UNREACHED_RETRY: Duration = Duration::from_millis(200);

/// How many times its typical time a call may take before the end of the process cuts it off. Times
/// of work vary, and this side knows the way to the upstream only in part.
const SAFETY_FACTOR: u32 = 6;

/// Time for an inbound side to say what became of an attempt, while the caller waits and once its
/// time is up.
const FENCE_TIME: Duration = Duration::from_millis(800);
const LATE_FENCE_TIME: Duration = Duration::from_millis(150);

/// The longest wait for a slot that an attempt accepts while other upstreams may have one free.
const FIRST_PATIENCE: Duration = Duration::ZERO;

/// Upstreams that may say that they are busy before an attempt waits in a queue.
const MAX_BUSY: u32 = 2;

/// The longest body that is offered to an upstream that may be busy, in bytes.
const MAX_OFFERED_LEN: u64 = 16 * 1024;

/// A call on its way.
pub(super) struct Call<'a> {
    pub(super) daemon: &'a Arc<Daemon>,
    pub(super) service: &'a ServiceView,
    pub(super) head: http::request::Parts,
    pub(super) body: Replay,
    pub(super) id: &'a str,
    pub(super) terms: Terms,
    pub(super) weight: u32,
    pub(super) class: u32,
    objective: Option<Instant>,
    /// Whether the body is short enough to be offered here and there.
    short: bool,
    /// The idempotency key whose record an inbound side keeps.
    pub(super) key: Option<KeyId>,
}

/// An attempt that is not the whole answer to its call.
pub(super) struct Failed {
    pub(super) failure: Failure,
    pub(super) why: Why,
    /// What the caller is told when no other attempt follows.
    pub(super) answer: Box<Response<Body>>,
}

/// Why an attempt is no longer waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stop {
    /// Its deadline has passed.
    Late,
    /// This process ends, and the attempt has not run and never will.
    Ending,
    /// This process ends, and nobody says what became of the attempt.
    CutOff,
}

impl<'a> Call<'a> {
    pub(super) fn new(
        daemon: &'a Arc<Daemon>,
        view: &'a View,
        entry: &RouteEntry,
        id_of_service: ServiceId,
        request: Request<Incoming>,
        id: &'a str,
    ) -> Result<Self, Refusal> {
        let names = &daemon.names;
        let service = view.service(id_of_service).ok_or_else(no_upstream)?;
        let entry_of = view.table.service(id_of_service);
        let policy = &entry_of.policy;
        request::check_length(request.headers(), policy.body_bytes)?;
        let now = Instant::now();
        let left = call::number(request.headers(), &names.deadline);
        let left = left.map_or(entry.timeout, |ms| {
            entry.timeout.min(Duration::from_millis(ms))
        });
        service.budget.earn(policy.retry_percent);
        let terms = Terms {
            idempotent: entry.route().idempotent,
            owned_above: request.headers().contains_key(call::RETRY),
            replayable: true,
            attempts: entry.route().attempts,
            deadline: now + left,
        };
        let key = request.headers().get(KEY);
        let recorded = !terms.idempotent && policy.key_record == KeyRecord::Inbound;
        let key = key.filter(|_| recorded);
        let key = key.map(|key| KeyId::new(&entry_of.name, key.as_bytes()));
        let (head, body) = request.into_parts();
        let upper = body.size_hint().upper();
        let own = daemon.settings.backend.as_ref();
        let own = own.map(|backend| backend.service.as_str());
        Ok(Call {
            daemon,
            service,
            head: request::outgoing(head, id, names, own)?,
            body: Replay::new(incoming(body), policy.body_bytes),
            id,
            terms,
            weight: entry.weight,
            class: entry.class,
            objective: entry.objective.map(|time| now + time),
            short: upper.is_some_and(|len| len <= MAX_OFFERED_LEN),
            key,
        })
    }

    /// Refuses a call that would be cut off by the end of this process.
    pub(super) fn check_time_left(&self) -> Result<(), Refusal> {
        let Some(left) = self.daemon.time_left() else {
            return Ok(());
        };
        let typical = self.service.times.typical(self.class);
        let now = Instant::now();
        let longest = self.terms.deadline.saturating_duration_since(now);
        let expected = if typical.is_zero() {
            longest
        } else {
            longest.min(typical * SAFETY_FACTOR)
        };
        if expected <= left {
            return Ok(());
        }
        let reason = "daemon ends before the call would";
        let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason);
        Err(refusal.retry_after(Duration::ZERO).why(Why::Leaving))
    }

    /// Waits for something that is needed before the attempt is sent.
    pub(super) async fn await_unsent<F: Future>(&self, wait: F) -> Result<F::Output, Stop> {
        tokio::select! {
            done = wait => Ok(done),
            () = tokio::time::sleep_until(self.terms.deadline) => Err(Stop::Late),
            () = self.daemon.drain.reached(Phase::Ending) => Err(Stop::Ending),
        }
    }

    /// Waits for the answer to an attempt. Near the end of this process `fence` bars the attempt from
    /// running if it has not, as its caller would be cut off before it is answered.
    pub(super) async fn await_answer<F: Future>(
        &self,
        answer: F,
        fence: impl AsyncFnOnce() -> Option<Fate>,
    ) -> Result<F::Output, Stop> {
        let mut answer = std::pin::pin!(answer);
        let deadline = self.terms.deadline;
        tokio::select! {
            answer = &mut answer => return Ok(answer),
            () = tokio::time::sleep_until(deadline) => return Err(Stop::Late),
            () = self.daemon.drain.reached(Phase::Ending) => {}
        }
        if fence().await == Some(Fate::NeverRuns) {
            return Err(Stop::Ending);
        }
        tokio::select! {
            answer = answer => Ok(answer),
            () = tokio::time::sleep_until(deadline) => Err(Stop::Late),
            () = self.daemon.drain.reached(Phase::Closing) => Err(Stop::CutOff),
        }
    }

    /// Returns the longest wait that an attempt accepts, after so many upstreams were busy.
    pub(super) fn patience(&self, busy: u32, untried: usize) -> Option<Duration> {
        let elsewhere = busy < MAX_BUSY && untried > 1;
        let offered = elsewhere && self.short && self.key.is_none();
        offered.then_some(FIRST_PATIENCE)
    }

    /// Returns how much the call costs to carry.
    pub(super) fn bulk(&self) -> Bulk {
        if self.short { Bulk::Light } else { Bulk::Heavy }
    }

    /// Tests whether a backend server's own failure is worth another attempt.
    fn retries_faults(&self) -> bool {
        let idempotent = self.daemon.names.seal.is_some() && self.terms.idempotent;
        idempotent && !self.service.times.is_faulty()
    }

    /// Returns the time left until an answer counts as late, in milliseconds; zero for never.
    pub(super) fn objective_ms(&self) -> u32 {
        let Some(objective) = self.objective else {
            return 0;
        };
        let left = objective.saturating_duration_since(Instant::now());
        u32::try_from(left.as_millis()).unwrap_or(u32::MAX).max(1)
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
        let version = self.daemon.config.stamp().version;
        head.headers.insert(call::VERSION, version.into());
        Ok(Request::from_parts(head, self.body.attempt()))
    }

    pub(super) fn refused(&self, refusal: Refusal) -> Failed {
        let failure = match refusal.outcome {
            Outcome::NotRun => Failure::Refused,
            Outcome::Unknown => Failure::MayHaveRun,
        };
        let why = refusal.why;
        let answer = Box::new(refusal.into_answer(self.id, &self.daemon.names));
        Failed {
            failure,
            why,
            answer,
        }
    }

    pub(super) fn not_sent(&self, upstream: &Upstream, err: &UpstreamError) -> Failed {
        note_failure(upstream);
        self.log_failed(upstream, "not sent", &err.to_string());
        let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, err);
        self.refused(refusal.retry_after(UNREACHED_RETRY))
    }

    pub(super) fn late(&self, upstream: &Upstream) -> Failed {
        note_failure(upstream);
        let reason = "no connection in time";
        self.log_failed(upstream, "not sent", reason);
        let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason);
        self.refused(refusal.retry_after(UNREACHED_RETRY))
    }

    /// Says that the call has not run and that this process ends.
    pub(super) fn ending(&self, upstream: &Upstream) -> Failed {
        let reason = "daemon ends";
        self.log_failed(upstream, "not run", reason);
        let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason);
        self.refused(refusal.retry_after(Duration::ZERO).why(Why::Leaving))
    }

    /// Says that this process ends before the answer has come.
    pub(super) fn cut_off(&self, upstream: &Upstream) -> Failed {
        self.unknown(upstream, StatusCode::BAD_GATEWAY, "daemon ends")
    }

    /// Asks the inbound side what became of an attempt, and bars it from running if it has not.
    pub(super) async fn fence(&self, link: &Link, attempt: &Attempt) -> Option<Fate> {
        let late = Instant::now() >= self.terms.deadline;
        let time = if late { LATE_FENCE_TIME } else { FENCE_TIME };
        let fate = tokio::time::timeout(time, link.fence(attempt)).await;
        fate.ok().flatten()
    }

    pub(super) fn unknown(&self, upstream: &Upstream, status: StatusCode, reason: &str) -> Failed {
        self.log_failed(upstream, "unknown", reason);
        event!(CallUnknown, request = self.id, reason = reason);
        let refusal = Refusal::unknown(status, reason);
        self.refused(refusal)
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
            return self.unknown(upstream, StatusCode::PAYLOAD_TOO_LARGE, reason);
        }
        note_failure(upstream);
        let fate = self.fence(link, attempt).await;
        event!(
            AttemptFenced,
            request = self.id,
            upstream = upstream.facts.name,
            fate = fate.map_or("no answer", Fate::as_str),
        );
        if late {
            return self.overdue(upstream, fate);
        }
        if fate == Some(Fate::NeverRuns) {
            self.log_failed(upstream, "not run", reason);
            let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason);
            return self.refused(refusal.retry_after(UNREACHED_RETRY));
        }
        self.unknown(upstream, StatusCode::BAD_GATEWAY, reason)
    }

    /// Says what has become of a call whose time is up.
    pub(super) fn overdue(&self, upstream: &Upstream, fate: Option<Fate>) -> Failed {
        let reason = "no answer in time";
        if fate == Some(Fate::NeverRuns) {
            self.log_failed(upstream, "not run", reason);
            let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason);
            return self.refused(refusal.retry_after(UNREACHED_RETRY));
        }
        self.unknown(upstream, StatusCode::GATEWAY_TIMEOUT, reason)
    }

    fn log_failed(&self, upstream: &Upstream, outcome: &str, reason: &str) {
        let left = self.terms.deadline;
        let left = left.saturating_duration_since(Instant::now());
        event!(
            AttemptFailed,
            request = self.id,
            upstream = upstream.facts.name,
            outcome = outcome,
            left_ms = left.as_millis(),
            reason = reason,
        );
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
    let (names, health) = (&call.daemon.names, &upstream.health);
    let headers = answer.headers();
    let knowledge = Knowledge::of(call.daemon);
    knowledge.hear_version(call.daemon, headers, Some(upstream.facts.address));
    let load = call::text(headers, &call::LOAD);
    if let Some(load) = load.and_then(|load| load.parse::<Load>().ok()) {
        health.report(now, load);
    }
    // A failure may come sooner than an answer would.
    let served = !answer.status().is_server_error();
    if let Some(us) = call::number(headers, &call::RAN).filter(|_| served) {
        let ran = Duration::from_micros(us);
        health.compare(call.service.times.note(call.class, ran));
    }
    let outcome = Outcome::of(headers);
    if outcome.is_none() {
        let fault = answer.status() == StatusCode::INTERNAL_SERVER_ERROR;
        call.service.times.note_fault(fault);
    }
    let why = Why::of(headers);
    let sheds = answer.status() == StatusCode::SERVICE_UNAVAILABLE && outcome.is_none();
    if sheds && headers.contains_key(header::RETRY_AFTER) {
        health.shed(now, call::read_retry_after(headers).unwrap_or(SHED_TIME));
    }
    let leaving = headers.contains_key(call::DRAIN);
    if leaving {
        health.leave();
    }
    let asked = call.head.headers.get(&names.request);
    let answered = headers.get(&names.request);
    if answered.is_some() && answered != asked {
        event!(
            AnswerMismatched,
            request = call.id,
            answer = format_args!("{answered:?}")
        );
        note_failure(upstream);
        let reason = "answer belongs to another call";
        return Err(call.unknown(upstream, StatusCode::BAD_GATEWAY, reason));
    }
    call::drop_reserved_headers(answer.headers_mut(), &[call::OUTCOME]);
    let failure = match (outcome, answer.status()) {
        (Some(Outcome::NotRun), _) if why == Why::Shed => Failure::NotRun,
        (Some(Outcome::NotRun), _) if leaving => Failure::Leaving,
        (Some(Outcome::NotRun), _) => Failure::Refused,
        (Some(Outcome::Unknown), _)
        | (
            None,
            StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT,
        ) => Failure::MayHaveRun,
        (None, StatusCode::INTERNAL_SERVER_ERROR) if call.retries_faults() => Failure::MayHaveRun,
        (None, _) => {
            health.rate(now, true);
            if health.succeed(now - started) {
                event!(UpstreamRestored, upstream = upstream.facts.name);
            }
            return Ok(answer);
        }
    };
    if why == Why::Down {
        note_failure(upstream);
    } else if matches!(failure, Failure::NotRun | Failure::MayHaveRun) {
        health.rate(now, false);
    }
    if why != Why::Busy {
        event!(
            AttemptRefused,
            request = call.id,
            upstream = upstream.facts.name,
            failure = format_args!("{failure:?}"),
            why = why.as_str(),
            status = answer.status().as_u16(),
        );
    }
    let answer = Box::new(answer);
    Err(Failed {
        failure,
        why,
        answer,
    })
}

fn note_failure(upstream: &Upstream) {
    let now = Instant::now();
    upstream.health.rate(now, false);
    if let Some(time) = upstream.health.fail(now) {
        let name = &upstream.facts.name;
        event!(UpstreamEjected, upstream = name, ms = time.as_millis());
    }
}

pub(super) fn no_upstream() -> Refusal {
    let reason = "service has no backend server";
    Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason).retry_after(UNREACHED_RETRY)
}
