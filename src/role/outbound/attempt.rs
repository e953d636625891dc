//! A call in progress, and the classification of its attempts' responses.

use crate::call::access::{self, CallOrganisation};
use crate::call::attempt::{Attempt, Load};
use crate::call::balance::{BodySize, Upstream};
use crate::call::body::Replay;
use crate::call::budget::{Failure, RetryLimits};
use crate::call::fence::ExecutionStatus;
use crate::call::idempotency::{KEY, KeyId};
use crate::call::split::Side;
use crate::call::upstream::{Link, UpstreamError};
use crate::call::view::{ServiceView, View};
use crate::call::{self, Outcome, Refusal, RefusalReason, request};
use crate::daemon::{Daemon, Phase};
use crate::event;
use crate::exchange::ExchangeState;
use crate::generated::mesh as wire;
use crate::resource::KeyRecord;
use crate::serve::{Body, streaming_body};
use crate::sync::lock;
use crate::table::{RouteEntry, ServiceId};
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::{Body as _, Incoming};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// Time for which an upstream counts as shedding load when its refusal has no readable
/// `Retry-After`.
const DEFAULT_SHED_TIME: Duration = Duration::from_secs(1);

/// The `Retry-After` of a call that did not run, as no upstream could be reached or none exists.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Time before the cut-off of a shutdown at which the deadline of a call ends that is accepted during it, so
/// that a backend server's own response at the deadline still arrives.
const CUTOFF_MARGIN: Duration = Duration::from_millis(100);

/// Timeout of a fence request before the call's deadline.
const FENCE_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of a fence request after the call's deadline.
const LATE_FENCE_TIMEOUT: Duration = Duration::from_millis(150);

/// Longest wait for a slot that an attempt accepts while another upstream may have a free slot: about
/// what a further offer costs on a busy link.
const OFFER_WAIT_LIMIT: Duration = Duration::from_millis(10);

/// Busy refusals after which an attempt waits in an upstream's queue instead.
const MAX_BUSY_REFUSALS: u32 = 2;

/// Longest body of a call that is offered to upstreams that may be busy, in bytes.
const MAX_OFFERED_LEN: u64 = 16 * 1024;

/// A call in progress, shared by all its attempts.
pub(super) struct Call<'a> {
    pub(super) daemon: &'a Arc<Daemon>,
    /// The upstreams that the call may be sent to.
    pub(super) service: Arc<ServiceView>,
    /// Which upstreams of the service these are, during a rollout.
    pub(super) side: Side,
    /// The upstreams of other versions, where those of the ordered one are tried first.
    pub(super) fallback: Option<Arc<ServiceView>>,
    /// The mark of attempts at the ordered version.
    pub(super) mark: Option<HeaderValue>,
    pub(super) head: http::request::Parts,
    pub(super) body: Replay,
    /// The request id.
    pub(super) id: &'a str,
    pub(super) retry_limits: RetryLimits,
    /// The organisation whose API key the call presented, if any.
    pub(super) organisation: Option<CallOrganisation>,
    /// The priority; calls of greater weight run first.
    pub(super) weight: u32,
    /// The class by which service times are averaged.
    pub(super) time_class: u32,
    /// The time after which a response misses the latency objective, if there is one.
    objective: Option<Instant>,
    /// Whether the body is at most [`MAX_OFFERED_LEN`] long.
    short_body: bool,
    /// The idempotency key, if an inbound side keeps a record of it.
    pub(super) key: Option<KeyId>,
    /// The instances of backend servers that ended while they ran earlier attempts.
    pub(super) crashed: Mutex<Vec<HeaderValue>>,
}

/// An attempt that did not yield the call's response.
pub(super) struct FailedAttempt {
    pub(super) failure: Failure,
    pub(super) reason_code: RefusalReason,
    /// The response to the caller when no other attempt follows.
    pub(super) response: Box<Response<Body>>,
    /// The instance of the backend server that ended while it ran the attempt.
    pub(super) crashed: Option<HeaderValue>,
    /// The name of the daemon that may run the call now, if it was refused as quarantined.
    pub(super) turn_owner: Option<HeaderValue>,
    /// The record of the daemon that uses the upstream's address now, if another incarnation answered.
    pub(super) replaced_by: Option<Box<wire::Member>>,
}

/// Why waiting for an attempt was stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopReason {
    /// The call's deadline has passed.
    DeadlineExceeded,
    /// This process is shutting down, and the attempt has not run and never will.
    ShuttingDown,
    /// This process is shutting down, and the attempt's execution status is unknown.
    CutOff,
}

impl<'a> Call<'a> {
    pub(super) fn new(
        daemon: &'a Arc<Daemon>,
        view: &View,
        entry: &RouteEntry,
        service_id: ServiceId,
        organisation: Option<CallOrganisation>,
        request: Request<Incoming>,
        id: &'a str,
    ) -> Result<Self, Refusal> {
        let names = &daemon.names;
        let service = view.service(service_id).ok_or_else(no_upstream)?;
        let service_entry = view.table.service(service_id);
        let policy = &service_entry.policy;
        request::check_length(request.headers(), policy.body_bytes)?;
        let now = Instant::now();
        let timeout = call::number(request.headers(), &names.deadline);
        let timeout = timeout.map_or(entry.timeout, |ms| {
            entry.timeout.min(Duration::from_millis(ms))
        });
        service.budget.earn(policy.retry_percent);
        let retry_limits = RetryLimits {
            idempotent: entry.route().idempotent,
            retried_by_caller: request.headers().contains_key(call::RETRY),
            replayable: true,
            attempts: entry.route().attempts,
            deadline: now + timeout,
        };
        let key = request.headers().get(KEY);
        let records_key = !retry_limits.idempotent && policy.key_record == KeyRecord::Inbound;
        let key = key.filter(|_| records_key);
        let key = key.map(|key| KeyId::new(&service_entry.name, key.as_bytes()));
        let (head, body) = request.into_parts();
        let max_len = body.size_hint().upper();
        let body = if view.table.checks_keys() {
            access::without_key_trailers(streaming_body(body), names)
        } else {
            streaming_body(body)
        };
        let caller = daemon.settings.backend.as_ref();
        let caller = caller.map(|backend| backend.service.as_str());
        let weight = organisation
            .as_ref()
            .and_then(|organisation| view.table.organisation_weight(organisation.id, service_id));
        Ok(Call {
            daemon,
            service: Arc::clone(service),
            side: Side::All,
            fallback: None,
            mark: None,
            head: request::shared_head(head, id, names, caller)?,
            body: Replay::new(body, policy.body_bytes),
            id,
            retry_limits,
            weight: weight.unwrap_or(entry.weight),
            organisation,
            time_class: entry.time_class,
            objective: entry.objective.map(|time| now + time),
            short_body: max_len.is_some_and(|len| len <= MAX_OFFERED_LEN),
            key,
            crashed: Mutex::default(),
        })
    }

    /// Refuses a call that is likely to be cut off by the shutdown of this process, and shortens the deadline of
    /// one that is accepted during it.
    pub(super) fn check_time_left(&mut self) -> Result<(), Refusal> {
        let Some(left) = self.daemon.time_left() else {
            return Ok(());
        };
        let left = left.saturating_sub(CUTOFF_MARGIN);
        let now = Instant::now();
        let limit = self.retry_limits.deadline.saturating_duration_since(now);
        let durations = &self.service.durations;
        if durations.ends_within(now, self.time_class, limit, left) {
            self.retry_limits.deadline = now + limit.min(left);
            return Ok(());
        }
        let reason = "daemon shuts down before the call would end";
        let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason);
        Err(refusal
            .with_retry_after(Duration::ZERO)
            .with_reason(RefusalReason::Leaving))
    }

    /// Waits for `wait`, which must be done before the attempt is sent, until the deadline or the
    /// shutdown.
    pub(super) async fn await_unsent<F: Future>(&self, wait: F) -> Result<F::Output, StopReason> {
        tokio::select! {
            done = wait => Ok(done),
            () = tokio::time::sleep_until(self.retry_limits.deadline) => {
                Err(StopReason::DeadlineExceeded)
            }
            () = self.daemon.drain.reached(Phase::Ending) => Err(StopReason::ShuttingDown),
        }
    }

    /// Waits for the response to an attempt.
    ///
    /// Shortly before this process ends, `fence` prevents the attempt from running if it has not
    /// started yet, since the caller would be cut off before the response.
    pub(super) async fn await_response<F: Future>(
        &self,
        response: F,
        fence: impl AsyncFnOnce() -> Option<ExecutionStatus>,
    ) -> Result<F::Output, StopReason> {
        let mut response = std::pin::pin!(response);
        let deadline = self.retry_limits.deadline;
        tokio::select! {
            response = &mut response => return Ok(response),
            () = tokio::time::sleep_until(deadline) => return Err(StopReason::DeadlineExceeded),
            () = self.daemon.drain.reached(Phase::Ending) => {}
        }
        if fence().await == Some(ExecutionStatus::NeverRuns) {
            return Err(StopReason::ShuttingDown);
        }
        tokio::select! {
            response = response => Ok(response),
            () = tokio::time::sleep_until(deadline) => Err(StopReason::DeadlineExceeded),
            () = self.daemon.drain.reached(Phase::Closing) => Err(StopReason::CutOff),
        }
    }

    /// Returns the longest wait for a slot that the next attempt accepts, given the numbers of busy
    /// refusals and of untried upstreams; `None` if it may wait until the deadline.
    pub(super) fn wait_limit(&self, busy_refusals: u32, untried: usize) -> Option<Duration> {
        let others_left = busy_refusals < MAX_BUSY_REFUSALS && untried > 1;
        let offered = others_left && self.short_body && self.key.is_none();
        offered.then_some(OFFER_WAIT_LIMIT)
    }

    /// Returns the body size class, which decides how long the call stays in its failure domain.
    pub(super) fn body_size(&self) -> BodySize {
        if self.short_body {
            BodySize::Small
        } else {
            BodySize::Large
        }
    }

    /// Tests whether an internal server error (500) of a backend server is retried.
    ///
    /// Not if the service as a whole fails calls: another attempt would be unlikely to help, and
    /// would repeat the calls that the failed attempt made.
    fn retries_server_errors(&self) -> bool {
        let idempotent = self.daemon.names.response_seal.is_some() && self.retry_limits.idempotent;
        idempotent && !self.service.stats.is_faulty()
    }

    /// Returns the time left until the latency objective, in milliseconds and at least 1; zero when
    /// the route has none.
    pub(super) fn objective_ms(&self) -> u32 {
        let Some(objective) = self.objective else {
            return 0;
        };
        let left = objective.saturating_duration_since(Instant::now());
        u32::try_from(left.as_millis()).unwrap_or(u32::MAX).max(1)
    }

    /// Builds the request of an attempt.
    pub(super) fn request(&self, attempt: &Attempt) -> Result<Request<Body>, Refusal> {
        let mut head = self.head.clone();
        for instance in &*lock(&self.crashed) {
            head.headers.append(call::CRASHED, instance.clone());
        }
        let value = HeaderValue::from_str(&attempt.to_string());
        let value = value.map_err(|err| Refusal::not_run(StatusCode::BAD_REQUEST, err))?;
        head.headers.insert(call::ATTEMPT, value);
        if self.key.is_some() {
            let record = HeaderValue::from_static("1");
            head.headers.insert(call::KEY_RECORD, record);
        }
        if let Some(organisation) = &self.organisation {
            let name = HeaderValue::from_str(&organisation.name);
            let name = name.map_err(|err| Refusal::not_run(StatusCode::BAD_REQUEST, err))?;
            head.headers.insert(call::ORGANISATION, name);
        }
        if let Some(mark) = &self.mark {
            head.headers.insert(call::STEP, mark.clone());
        }
        let left = request::remaining_ms(self.retry_limits.deadline);
        head.headers.insert(call::DEADLINE_MS, left);
        let version = self.daemon.config.stamp().version;
        head.headers.insert(call::VERSION, version.into());
        Ok(Request::from_parts(head, self.body.attempt()))
    }

    /// Makes a failed attempt whose response to the caller is a refusal.
    pub(super) fn failed_attempt(&self, refusal: Refusal) -> FailedAttempt {
        let failure = match refusal.outcome {
            Outcome::NotRun => Failure::Refused,
            Outcome::Unknown => Failure::MayHaveRun,
        };
        let reason_code = refusal.reason_code;
        let response = Box::new(refusal.into_response(self.id, &self.daemon.names));
        FailedAttempt {
            failure,
            reason_code,
            response,
            crashed: None,
            turn_owner: None,
            replaced_by: None,
        }
    }

    /// Reports that the attempt could not be sent to the upstream.
    pub(super) fn not_sent(&self, upstream: &Upstream, err: &UpstreamError) -> FailedAttempt {
        note_failure(upstream);
        self.log_failed(upstream, "not sent", &err.to_string());
        let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, err);
        self.failed_attempt(refusal.with_retry_after(UNREACHABLE_RETRY_AFTER))
    }

    /// Reports that another incarnation of the daemon answers. That is no failure of the upstream.
    pub(super) fn replaced(&self, record: Box<wire::Member>) -> FailedAttempt {
        let reason = "daemon of the upstream was replaced";
        let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason);
        let refusal = refusal.with_retry_after(UNREACHABLE_RETRY_AFTER);
        FailedAttempt {
            replaced_by: Some(record),
            ..self.failed_attempt(refusal)
        }
    }

    /// Reports that no connection to the upstream was open by the deadline.
    pub(super) fn connect_timed_out(&self, upstream: &Upstream) -> FailedAttempt {
        note_failure(upstream);
        let reason = "no connection in time";
        self.log_failed(upstream, "not sent", reason);
        let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason);
        self.failed_attempt(refusal.with_retry_after(UNREACHABLE_RETRY_AFTER))
    }

    /// Reports that the call did not run and that this process is shutting down.
    pub(super) fn shutting_down(&self, upstream: &Upstream) -> FailedAttempt {
        let reason = "daemon is shutting down";
        self.log_failed(upstream, "not run", reason);
        let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason);
        self.failed_attempt(
            refusal
                .with_retry_after(Duration::ZERO)
                .with_reason(RefusalReason::Leaving),
        )
    }

    /// Reports that this process ends before the response has arrived; the call may have run.
    pub(super) fn cut_off(&self, upstream: &Upstream) -> FailedAttempt {
        self.unknown(upstream, StatusCode::BAD_GATEWAY, "daemon is shutting down")
    }

    /// Requests an attempt's execution status from the inbound side, and prevents it from running
    /// if it has not started. `None` when no status arrives in time.
    pub(super) async fn fence(&self, link: &Link, attempt: &Attempt) -> Option<ExecutionStatus> {
        let late = Instant::now() >= self.retry_limits.deadline;
        let limit = if late {
            LATE_FENCE_TIMEOUT
        } else {
            FENCE_TIMEOUT
        };
        let status = tokio::time::timeout(limit, link.fence(attempt)).await;
        status.ok().flatten()
    }

    /// Reports that the call may have run.
    pub(super) fn unknown(
        &self,
        upstream: &Upstream,
        status: StatusCode,
        reason: &str,
    ) -> FailedAttempt {
        self.log_failed(upstream, "unknown", reason);
        event!(CallUnknown, request = self.id, reason = reason);
        let refusal = Refusal::unknown(status, reason);
        self.failed_attempt(refusal)
    }

    /// Fences an attempt whose response was lost, and reports whether it may have run.
    pub(super) async fn lost(
        &self,
        upstream: &Upstream,
        link: &Link,
        attempt: &Attempt,
        reason: &str,
    ) -> FailedAttempt {
        let late = Instant::now() >= self.retry_limits.deadline;
        if self.body.has_failed() {
            let reason = "request body was cut off or is too long";
            return self.unknown(upstream, StatusCode::PAYLOAD_TOO_LARGE, reason);
        }
        note_failure(upstream);
        let status = self.fence(link, attempt).await;
        event!(
            AttemptFenced,
            request = self.id,
            upstream = upstream.info.name,
            fate = status.map_or("no answer", ExecutionStatus::as_str),
        );
        if late {
            return self.deadline_exceeded(upstream, status);
        }
        if status == Some(ExecutionStatus::NeverRuns) {
            self.log_failed(upstream, "not run", reason);
            let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason);
            return self.failed_attempt(refusal.with_retry_after(UNREACHABLE_RETRY_AFTER));
        }
        self.unknown(upstream, StatusCode::BAD_GATEWAY, reason)
    }

    /// Reports a call whose deadline has passed, as not run if its execution status proves that.
    pub(super) fn deadline_exceeded(
        &self,
        upstream: &Upstream,
        status: Option<ExecutionStatus>,
    ) -> FailedAttempt {
        let reason = "no answer in time";
        if status == Some(ExecutionStatus::NeverRuns) {
            self.log_failed(upstream, "not run", reason);
            let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason);
            return self.failed_attempt(refusal.with_retry_after(UNREACHABLE_RETRY_AFTER));
        }
        self.unknown(upstream, StatusCode::GATEWAY_TIMEOUT, reason)
    }

    fn log_failed(&self, upstream: &Upstream, outcome: &str, reason: &str) {
        let deadline = self.retry_limits.deadline;
        let left = deadline.saturating_duration_since(Instant::now());
        event!(
            AttemptFailed,
            request = self.id,
            upstream = upstream.info.name,
            outcome = outcome,
            left_ms = left.as_millis(),
            reason = reason,
        );
    }
}

/// Classifies a response as the caller's or as a failure, and updates what is known of the upstream
/// and its service: load, latency, error rate and ejection.
pub(super) fn classify_response(
    call: &Call<'_>,
    upstream: &Upstream,
    mut response: Response<Body>,
    started: Instant,
) -> Result<Response<Body>, FailedAttempt> {
    let now = Instant::now();
    let (names, health) = (&call.daemon.names, &upstream.health);
    let headers = response.headers();
    let state = ExchangeState::of(call.daemon);
    state.note_version(call.daemon, headers, Some(upstream.info.address));
    if let Some(mark) = call::text(headers, &call::STEP) {
        let rollouts = &call.daemon.rollouts;
        rollouts.note_mark(&call.service.name, mark, upstream.info.address);
    }
    let load = call::text(headers, &call::LOAD);
    if let Some(load) = load.and_then(|load| load.parse::<Load>().ok()) {
        health.report(now, load);
    }
    // Server errors are left out of the service times, as they may be faster than successes.
    let served = !response.status().is_server_error();
    if let Some(us) = call::number(headers, &call::RAN).filter(|_| served) {
        let ran = Duration::from_micros(us);
        health.record_latency_ratio(call.service.stats.record_time(call.time_class, ran));
    }
    let outcome = Outcome::of(headers);
    if outcome.is_none() {
        let server_error = response.status() == StatusCode::INTERNAL_SERVER_ERROR;
        call.service.stats.record_outcome(server_error);
    }
    let refusal_reason = RefusalReason::of(headers);
    let sheds = response.status() == StatusCode::SERVICE_UNAVAILABLE && outcome.is_none();
    if sheds && headers.contains_key(header::RETRY_AFTER) {
        health.shed(
            now,
            call::read_retry_after(headers).unwrap_or(DEFAULT_SHED_TIME),
        );
    }
    let draining = headers.contains_key(call::DRAIN);
    if draining {
        health.set_draining();
    }
    let expected_id = call.head.headers.get(&names.request);
    let response_id = headers.get(&names.request);
    if response_id.is_some() && response_id != expected_id {
        event!(
            AnswerMismatched,
            request = call.id,
            answer = format_args!("{response_id:?}")
        );
        note_failure(upstream);
        let reason = "response belongs to another call";
        return Err(call.unknown(upstream, StatusCode::BAD_GATEWAY, reason));
    }
    let crashed = response.headers_mut().remove(call::CRASHED);
    let turn_owner = response.headers_mut().remove(call::TURN_OWNER);
    call::drop_reserved_headers(response.headers_mut(), &[call::OUTCOME]);
    let failure = match (outcome, response.status()) {
        (Some(Outcome::NotRun), _) if refusal_reason == RefusalReason::Shed => Failure::NotRun,
        (Some(Outcome::NotRun), _) if draining => Failure::Leaving,
        (Some(Outcome::NotRun), _) => Failure::Refused,
        (Some(Outcome::Unknown), _)
        | (
            None,
            StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT,
        ) => Failure::MayHaveRun,
        (None, StatusCode::INTERNAL_SERVER_ERROR) if call.retries_server_errors() => {
            Failure::MayHaveRun
        }
        (None, _) => {
            health.record_outcome(now, true);
            if health.succeed(now - started) {
                event!(UpstreamRestored, upstream = upstream.info.name);
            }
            return Ok(response);
        }
    };
    if refusal_reason == RefusalReason::RateLimited {
        // Other upstreams are preferred until this one can take a call again.
        let time = call::read_retry_after(response.headers()).unwrap_or(DEFAULT_SHED_TIME);
        health.shed(now, time);
    }
    if refusal_reason == RefusalReason::Down {
        note_failure(upstream);
    } else if matches!(failure, Failure::NotRun | Failure::MayHaveRun) {
        health.record_outcome(now, false);
    }
    if refusal_reason != RefusalReason::Busy {
        event!(
            AttemptRefused,
            request = call.id,
            upstream = upstream.info.name,
            failure = format_args!("{failure:?}"),
            why = refusal_reason.as_str(),
            status = response.status().as_u16(),
        );
    }
    let response = Box::new(response);
    Err(FailedAttempt {
        failure,
        reason_code: refusal_reason,
        response,
        crashed,
        turn_owner,
        replaced_by: None,
    })
}

/// Counts a failed attempt, and logs the ejection of the upstream if one follows.
fn note_failure(upstream: &Upstream) {
    let now = Instant::now();
    upstream.health.record_outcome(now, false);
    if let Some(time) = upstream.health.fail(now) {
        let name = &upstream.info.name;
        event!(UpstreamEjected, upstream = name, ms = time.as_millis());
    }
}

pub(super) fn no_upstream() -> Refusal {
    let reason = "service has no backend server";
    Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason)
        .with_retry_after(UNREACHABLE_RETRY_AFTER)
}
