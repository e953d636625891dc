//! The outbound side: accepts calls from local callers and forwards each to an upstream.

mod attempt;
mod keys;
mod newer;
mod quota;
mod replacement;
mod version;

use crate::call::access::{AccessMetrics, PresentedKey};
use crate::call::attempt::{Attempt, AttemptIds};
use crate::call::balance::{BalancePolicy, Health, Index, Upstream};
use crate::call::body::Guarded;
use crate::call::budget::{Failure, backoff};
use crate::call::durations::OngoingCall;
use crate::call::idempotency::{KEY_TTL, KeyId};
use crate::call::metrics::{ANSWERED, OutboundMetrics};
use crate::call::upstream::{Link, LinkError, UpstreamError};
use crate::call::view::{LocalDaemon, ServiceView, ViewCache};
use crate::call::{Outcome, Refusal, RefusalReason, request};
use crate::daemon::{Daemon, InFlightGuard, Phase};
use crate::event;
use crate::kernel::{Plugin, RoleFuture};
use crate::role::inbound;
use crate::serve::{Body, PeerEnd, serve_calls, streaming_body};
use crate::sync::lock;
use attempt::{Call, FailedAttempt, StopReason, classify_response, no_upstream};
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use newer::NewerVersions;
use prometheus_client::registry::Registry;
use serde_json::{Value, json};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;
use tokio::time::Instant;

inventory::submit! {
    Plugin { name: "outbound", run, state, metrics }
}

/// Idle time after which a connection to another daemon is closed.
const LINK_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Refusals of one call that are tolerated, other than busy and full ones; one more fails the call.
const MAX_REFUSALS: u32 = 4;

/// Upstreams that may report a full queue before a call is refused: under overload the others are
/// full as well.
const MAX_FULL_REFUSALS: u32 = 2;

/// The fractional parts of its multiples are spread evenly over 0 to 1.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;

/// Environment variable that selects another load balancing policy for benchmarks:
/// `round-robin` or `two-choices`.
const POLICY_VARIABLE: &str = "BAOBAB_BENCH_CHOICE";

fn run(daemon: Arc<Daemon>) -> RoleFuture {
    Box::pin(async move {
        let outbound = component(&daemon);
        let shared = Arc::clone(&daemon);
        let handler = move |request| {
            let (daemon, outbound) = (Arc::clone(&shared), Arc::clone(&outbound));
            async move { outbound.handle(&daemon, request).await }
        };
        tokio::spawn(close_idle_links(Arc::downgrade(&component(&daemon))));
        let drain = daemon.drain.clone();
        let socket = &daemon.sockets.outbound;
        serve_calls(socket, drain, Phase::Draining, PeerEnd::OnArrival, handler).await
    })
}

/// Closes the connections to daemons that receive no calls, which are most of a large fleet.
async fn close_idle_links(outbound: Weak<Outbound>) {
    loop {
        tokio::time::sleep(LINK_IDLE_TIMEOUT / 2).await;
        let Some(outbound) = outbound.upgrade() else {
            return;
        };
        let view = outbound.views.last();
        for (_, service) in view.iter().flat_map(|view| view.services()) {
            service
                .links()
                .for_each(|link| link.close_idle(LINK_IDLE_TIMEOUT));
        }
    }
}

fn component(daemon: &Daemon) -> Arc<Outbound> {
    daemon.component(|| Outbound::new(daemon))
}

fn state(daemon: &Daemon) -> Value {
    let now = Instant::now();
    let view = component(daemon).views.last();
    let services = view.iter().flat_map(|view| {
        let services = view.services();
        let services =
            services.map(|(name, service)| (name.to_owned(), service_state(service, now)));
        services.collect::<Vec<_>>()
    });
    json!({
        "address": daemon.addresses().outbound,
        "services": services.collect::<serde_json::Map<_, _>>(),
        "keys": keys::state(daemon),
    })
}

fn service_state(service: &ServiceView, now: Instant) -> Value {
    let upstreams = service.group.upstreams().iter();
    let upstreams: Vec<Value> = upstreams
        .map(|upstream| {
            json!({
                "name": upstream.info.name,
                "near": upstream.info.same_domain,
                "suspect": upstream.info.suspect,
                "in_flight": upstream.health.in_flight(),
                "ejected": upstream.health.is_ejected(now),
            })
        })
        .collect();
    json!({ "retries_left": service.budget.left(), "upstreams": upstreams })
}

fn metrics(daemon: &Daemon, registry: &mut Registry) {
    let outbound = component(daemon);
    outbound.metrics.register(registry);
    outbound.access.register(registry);
    outbound.newer.register(registry);
}

/// Counts a call as in flight until the end of its response.
type CallGuard = (InFlightGuard, OngoingCall);

struct Outbound {
    metrics: OutboundMetrics,
    access: AccessMetrics,
    newer: NewerVersions,
    views: ViewCache,
    policy: BalancePolicy,
    attempt_ids: AttemptIds,
    /// Routed calls, counted to split routes that several services share. Starts at random, so that
    /// daemons that start together do not choose the same service in step.
    routed: AtomicU64,
}

impl Outbound {
    fn new(daemon: &Daemon) -> Self {
        let local_daemon = LocalDaemon {
            name: daemon.identity.name.clone(),
            domain: daemon.identity.domain.clone(),
        };
        Outbound {
            metrics: OutboundMetrics::default(),
            access: AccessMetrics::default(),
            newer: NewerVersions::default(),
            views: ViewCache::new(local_daemon),
            policy: read_policy(),
            attempt_ids: AttemptIds::default(),
            routed: AtomicU64::new(rand::random()),
        }
    }

    async fn handle(&self, daemon: &Arc<Daemon>, request: Request<Incoming>) -> Response<Body> {
        let call_guard = daemon.drain.begin_call();
        let version = request.version();
        let names = &daemon.names;
        let id = request::request_id(&request, names);
        let mut call_log = CallLog::new(&id, &self.metrics);
        let response = self.forward(daemon, request, &id, call_guard).await;
        let mut response = response.unwrap_or_else(|refusal| {
            event!(
                CallRefused,
                request = id,
                status = refusal.status.as_u16(),
                version = daemon.config.stamp().version,
                reason = refusal.reason,
            );
            refusal.into_response(&id, names)
        });
        let outcome = Outcome::of(response.headers()).map_or(ANSWERED, Outcome::as_str);
        self.metrics.note_call(outcome, call_log.started.elapsed());
        call_log.end(response.status());
        *response.version_mut() = version;
        let draining = daemon.drain.phase() != Phase::Running;
        if draining && version < http::Version::HTTP_2 {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    async fn forward(
        &self,
        daemon: &Arc<Daemon>,
        request: Request<Incoming>,
        id: &str,
        call_guard: InFlightGuard,
    ) -> Result<Response<Body>, Refusal> {
        let key = PresentedKey::of(request.headers(), &daemon.names);
        if let Some(awaited) = newer::awaited_version(daemon, &request, key) {
            self.newer.wait(daemon, id, awaited).await;
        }
        let mut call = self.route(daemon, request, key, id)?;
        call.check_time_left()?;
        let ongoing = call
            .service
            .durations
            .begin(Instant::now(), call.time_class);
        let token = quota::take(daemon, &call).await?;
        // Boxed, since each idle connection would otherwise reserve memory for this large future,
        // which is needed only while a call is in flight.
        let response = Box::pin(self.run(call, (call_guard, ongoing))).await;
        token.settle(response.as_ref());
        response
    }

    /// Routes a request and checks its key. The call keeps its service's view but not the routing table: calls may last
    /// longer than many versions of it.
    fn route<'a>(
        &self,
        daemon: &'a Arc<Daemon>,
        mut request: Request<Incoming>,
        key: PresentedKey,
        id: &'a str,
    ) -> Result<Call<'a>, Refusal> {
        let limits = **daemon.limits.load();
        let view = self
            .views
            .get(daemon.config.table(), daemon.fleet.load(), limits);
        let entry = request::find_route(&view.table, &request);
        let entry = entry.map_err(|err| newer::refusal(daemon, &view.table, err))?;
        let headers = request.headers_mut();
        let organisation = keys::check(daemon, &self.access, &view.table, entry, key, id, headers)?;
        let service = entry.service(self.split_point());
        let mut call = Call::new(daemon, &view, entry, service, organisation, request, id)?;
        call.choose_version();
        Ok(call)
    }

    /// Returns the next number of a sequence that covers 0 to 1 evenly at any length.
    fn split_point(&self) -> f64 {
        let count = self.routed.fetch_add(1, Ordering::Relaxed) % (1 << 32);
        // The count is below 2^32, which an f64 holds exactly.
        #[allow(clippy::cast_precision_loss)]
        let multiple = count as f64 * GOLDEN_RATIO;
        multiple.fract()
    }

    /// Makes attempts until one yields the caller's response or no retry is allowed.
    async fn run(
        &self,
        mut call: Call<'_>,
        call_guard: CallGuard,
    ) -> Result<Response<Body>, Refusal> {
        let mut call_guard = Some(call_guard);
        let mut tried = Vec::new();
        let (mut attempts, mut refusals, mut busy_refusals, mut full_refusals) = (0, 0, 0, 0);
        let mut failed_before: Option<FailedAttempt> = None;
        let mut turn_owner: Option<Index> = None;
        loop {
            let index = match (turn_owner.take(), call.key) {
                (Some(owner), _) => Some(owner),
                (None, Some(key)) => key_holder(&call, key).await,
                (None, None) => self.choose(&call, &tried, attempts),
            };
            let Some(index) = index else {
                if call.fall_back() {
                    tried.clear();
                    continue;
                }
                return failed_before
                    .map(|failed| *failed.response)
                    .ok_or_else(no_upstream);
            };
            let upstreams = call.service.group.upstreams();
            let untried = upstreams.len().saturating_sub(tried.len());
            let wait_limit = call.wait_limit(busy_refusals, untried);
            let attempt = self.attempt(&call, index, wait_limit, &mut call_guard);
            let mut failed = match attempt.await {
                Ok(response) => return Ok(response),
                Err(failed) => failed,
            };
            if let Some(record) = failed.replaced_by.take()
                && self.replace_upstream(&mut call, index, *record, &mut tried)
            {
                continue;
            }
            self.metrics.note_failure(failed.failure);
            match failed.failure {
                // Depends on what the two daemons know of a rollout, and costs the call nothing.
                Failure::Refused
                    if failed.reason_code == RefusalReason::Version && !tried.contains(&index) =>
                {
                    tried.push(index);
                }
                // A busy upstream may be chosen again, to wait in its queue.
                Failure::Refused if failed.reason_code == RefusalReason::Busy => busy_refusals += 1,
                // Offers are limited in number; an attempt that might wait is made elsewhere next.
                Failure::Refused
                    if failed.reason_code == RefusalReason::RateLimited && wait_limit.is_some() =>
                {
                    busy_refusals += 1;
                }
                Failure::Refused if failed.reason_code == RefusalReason::Full => {
                    full_refusals += 1;
                    tried.push(index);
                }
                Failure::Refused | Failure::Leaving => {
                    refusals += 1;
                    tried.push(index);
                }
                Failure::NotRun | Failure::MayHaveRun => {
                    attempts += 1;
                    tried.push(index);
                }
            }
            let now = Instant::now();
            let mut retry_limits = call.retry_limits;
            retry_limits.replayable = call.body.is_replayable();
            let (failure, reason) = (failed.failure, failed.reason_code);
            lock(&call.crashed).extend(failed.crashed.clone());
            turn_owner = untried_owner(&call, &failed, &tried);
            let failed = more_uncertain(failed_before.take(), failed);
            if reason == RefusalReason::Quarantined && turn_owner.is_none()
                || call.daemon.drain.phase() >= Phase::Ending
                || refusals > MAX_REFUSALS
                || full_refusals >= MAX_FULL_REFUSALS
                || !retry_limits.allows(now, attempts, failure)
                || !call.service.budget.pay(failure)
            {
                return Ok(*failed.response);
            }
            failed_before = Some(failed);
            if call.leaves_version(reason) && call.fall_back() {
                tried.clear();
            }
            let delay = backoff(attempts, failure, rand::random());
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
        }
    }

    /// Chooses an upstream that has not been tried yet.
    ///
    /// When all have been tried, any of them may be chosen again, but only if at least one attempt
    /// was offered to a backend server; `attempts` counts those.
    fn choose(&self, call: &Call<'_>, tried: &[Index], attempts: u32) -> Option<Index> {
        let (group, body_size) = (&call.service.group, call.body_size());
        let now = Instant::now();
        let untried = group.choose_for(now, self.policy, rand::random(), tried, body_size);
        untried.or_else(|| {
            (attempts > 0)
                .then(|| group.choose_for(now, self.policy, rand::random(), &[], body_size))
                .flatten()
        })
    }

    /// Makes one attempt at an upstream and classifies its response.
    async fn attempt(
        &self,
        call: &Call<'_>,
        index: Index,
        wait_limit: Option<Duration>,
        call_guard: &mut Option<CallGuard>,
    ) -> Result<Response<Body>, FailedAttempt> {
        let upstream = &call.service.group.upstreams()[index.0];
        let in_flight = InFlight::new(&upstream.health);
        let started = Instant::now();
        let response = match call.service.link(index) {
            Some(link) => self.send_remote(call, upstream, link, wait_limit).await?,
            None => self.send_local(call, upstream, wait_limit).await?,
        };
        let response = classify_response(call, upstream, response, started)?;
        let guard = (in_flight, call_guard.take());
        let deadline = call.retry_limits.deadline;
        let guarded = response.map(|body| Body::new(Guarded::new(body, guard, deadline)));
        Ok(guarded)
    }

    /// Sends an attempt to another daemon.
    async fn send_remote(
        &self,
        call: &Call<'_>,
        upstream: &Upstream,
        link: &Link,
        wait_limit: Option<Duration>,
    ) -> Result<Response<Body>, FailedAttempt> {
        let ready = match call.await_unsent(link.ready()).await {
            Ok(Ok(ready)) => ready,
            Ok(Err(LinkError::Replaced(record))) => return Err(call.replaced(record)),
            Ok(Err(LinkError::Unreachable(err))) => return Err(call.not_sent(upstream, &err)),
            Err(StopReason::DeadlineExceeded) => return Err(call.connect_timed_out(upstream)),
            Err(StopReason::ShuttingDown | StopReason::CutOff) => {
                return Err(call.shutting_down(upstream));
            }
        };
        let attempt = self.new_attempt(call, upstream, ready.sent_ms, wait_limit);
        let request = call.request(&attempt);
        let request = request.map_err(|refusal| call.failed_attempt(refusal))?;
        let fence = async || call.fence(link, &attempt).await;
        match call.await_response(ready.send(request), fence).await {
            Ok(Ok(response)) => Ok(response.map(streaming_body)),
            Ok(Err(err @ UpstreamError::NotSent(..))) => Err(call.not_sent(upstream, &err)),
            Ok(Err(err @ (UpstreamError::Lost(..) | UpstreamError::Endless(_)))) => {
                let reason = err.to_string();
                Err(call.lost(upstream, link, &attempt, &reason).await)
            }
            Err(StopReason::DeadlineExceeded) => Err(call
                .lost(upstream, link, &attempt, "no answer in time")
                .await),
            Err(StopReason::ShuttingDown) => Err(call.shutting_down(upstream)),
            Err(StopReason::CutOff) => Err(call.cut_off(upstream)),
        }
    }

    /// Passes an attempt to this daemon's own inbound side, without a connection.
    async fn send_local(
        &self,
        call: &Call<'_>,
        upstream: &Upstream,
        wait_limit: Option<Duration>,
    ) -> Result<Response<Body>, FailedAttempt> {
        let inbound = inbound::component(call.daemon);
        let attempt = self.new_attempt(call, upstream, inbound.clock_ms(), wait_limit);
        let request = call.request(&attempt);
        let mut request = request.map_err(|refusal| call.failed_attempt(refusal))?;
        request.extensions_mut().insert(inbound::LocalCall);
        let response = inbound.handle(call.daemon, request);
        match call
            .await_response(response, async || inbound.fence_attempt(&attempt))
            .await
        {
            Ok(response) => Ok(response),
            Err(StopReason::DeadlineExceeded) => {
                Err(call.deadline_exceeded(upstream, inbound.fence_attempt(&attempt)))
            }
            Err(StopReason::ShuttingDown) => Err(call.shutting_down(upstream)),
            Err(StopReason::CutOff) => Err(call.cut_off(upstream)),
        }
    }

    fn new_attempt(
        &self,
        call: &Call<'_>,
        upstream: &Upstream,
        sent_ms: u64,
        wait_limit: Option<Duration>,
    ) -> Attempt {
        Attempt {
            id: self.attempt_ids.next(),
            incarnation: upstream.info.incarnation,
            sent_ms,
            weight: call.weight,
            idempotent: call.retry_limits.idempotent,
            time_class: call.time_class,
            objective_ms: call.objective_ms(),
            wait_limit_ms: wait_limit
                .map(|time| u32::try_from(time.as_millis()).unwrap_or(u32::MAX)),
        }
    }
}

/// Logs how a call ends: with a response, or by its caller disconnecting before one.
struct CallLog<'a> {
    id: &'a str,
    metrics: &'a OutboundMetrics,
    started: Instant,
    ended: bool,
}

impl<'a> CallLog<'a> {
    fn new(id: &'a str, metrics: &'a OutboundMetrics) -> Self {
        CallLog {
            id,
            metrics,
            started: Instant::now(),
            ended: false,
        }
    }

    fn end(&mut self, status: StatusCode) {
        self.ended = true;
        let ms = self.started.elapsed().as_millis();
        event!(
            CallAnswered,
            request = self.id,
            status = status.as_u16(),
            ms = ms
        );
    }
}

impl Drop for CallLog<'_> {
    fn drop(&mut self) {
        if !self.ended {
            let time = self.started.elapsed();
            self.metrics.note_cancelled(time);
            event!(AttemptCancelled, request = self.id, ms = time.as_millis());
        }
    }
}

/// Selects the failed attempt whose response goes to the caller: one that may have run takes
/// precedence over a later one that did not, since the call as a whole then may have run.
fn more_uncertain(earlier: Option<FailedAttempt>, later: FailedAttempt) -> FailedAttempt {
    let may_have_run = |failed: &FailedAttempt| failed.failure == Failure::MayHaveRun;
    match earlier {
        Some(earlier) if may_have_run(&earlier) && !may_have_run(&later) => earlier,
        _ => later,
    }
}

/// Returns the upstream that may run a call now that another one has refused as quarantined. None for a call
/// with an idempotency key, which only the holder of the key runs.
fn untried_owner(call: &Call<'_>, failed: &FailedAttempt, tried: &[Index]) -> Option<Index> {
    let name = failed.turn_owner.as_ref()?;
    let upstreams = call.service.group.upstreams();
    let position = upstreams.iter().position(|u| *name == u.info.name);
    let owner = position.map(Index)?;
    (call.key.is_none() && !tried.contains(&owner)).then_some(owner)
}

/// Returns the upstream that has the record of a key; its owner if none has.
///
/// For [`KEY_TTL`] after a change of the upstreams, the record may be at another upstream than
/// the one that the key maps to now, so every upstream is asked.
async fn key_holder(call: &Call<'_>, key: KeyId) -> Option<Index> {
    let candidates = call.service.group.by_key(key);
    let owner = candidates.first().copied();
    if call.service.changed.elapsed() > KEY_TTL {
        return owner;
    }
    let lookups = candidates.iter().map(|index| async {
        match call.service.link(*index) {
            Some(link) => link.has_key(key).await == Some(true),
            None => inbound::component(call.daemon).has_key(key),
        }
    });
    let found = futures_util::future::join_all(lookups).await;
    let holder = candidates.iter().zip(found).find(|(_, found)| *found);
    holder.map(|(index, _)| *index).or(owner)
}

/// Counts a call as in flight at an upstream until it is dropped.
struct InFlight {
    health: Arc<Health>,
}

impl InFlight {
    fn new(health: &Arc<Health>) -> Self {
        health.begin();
        let health = Arc::clone(health);
        InFlight { health }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.health.end();
    }
}

fn read_policy() -> BalancePolicy {
    match std::env::var(POLICY_VARIABLE).as_deref() {
        Ok("round-robin") => BalancePolicy::RoundRobin,
        Ok("two-choices") => BalancePolicy::TwoChoices,
        _ => BalancePolicy::Load,
    }
}
