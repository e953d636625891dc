//! The inbound side: accepts attempts from outbound sides and runs them on this daemon's own
//! backend server. No call reaches the backend server another way.

mod admit;
mod backend;
mod bounded;
mod buffer;
mod crash;
pub(super) mod health;
mod keyed;
mod limits;
mod progress;
mod queries;
mod reachability;
mod running;
mod version;

use crate::backend::Stage;
use crate::call::attempt::Attempt;
use crate::call::bulk::{BulkCalls, BulkGuard};
use crate::call::fence::{self, ArrivalError, Record};
use crate::call::gate::Gate;
use crate::call::idempotency::Keys;
use crate::call::metrics::InboundMetrics;
use crate::call::pool::{BackendPool, Reuse};
use crate::call::read_ahead::{Receiver, Transfers};
use crate::call::upstream::UpstreamError;
use crate::call::{self, Outcome, Refusal, RefusalReason};
use crate::daemon::{Daemon, InFlightGuard, Phase};
use crate::event;
use crate::exchange::{self, ExchangeState};
use crate::kernel::{Plugin, RoleFuture};
use crate::quarantine::{self, Quarantine};
use crate::rollout;
use crate::serve::{Body, PeerEnd, serve_calls};
use crate::sync::lock;
use admit::{admission_refusal, admission_request, deadline, share};
use backend::{
    check_origin, check_response, keep_connection, max_body_len, note_leaving, stated_rate,
    to_backend,
};
use bounded::Bounded;
use crash::{CrashMonitor, MonitoredRun};
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Body as _;
use progress::{AttemptStage, Progress};
use prometheus_client::registry::Registry;
use reachability::Reachability;
pub use running::LocalCall;
use running::{RecordedAttempt, RunningCall, receiver, to_outbound};
use serde_json::{Value, json};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::time::{Instant, timeout_at};

inventory::submit! {
    Plugin { name: "inbound", run, state, metrics }
}

/// Longest idle time after which a connection to the backend server is used again.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// The same limit for a call that is not idempotent: if the backend server closes the idle
/// connection at that moment, the call cannot be sent again.
const MAX_IDLE_UNSAFE: Duration = Duration::from_millis(500);

/// The `Retry-After` of a refusal. The caller sees it only if no other upstream accepts the call.
const RETRY_AFTER: Duration = Duration::from_millis(200);

fn run(daemon: Arc<Daemon>) -> RoleFuture {
    Box::pin(async move {
        let inbound = component(&daemon);
        tokio::spawn(refuse_waiting(Arc::clone(&daemon), Arc::clone(&inbound)));
        tokio::spawn(watch_health(Arc::clone(&daemon)));
        tokio::spawn(Arc::clone(&inbound.crashes).watch_instances());
        let shared = Arc::clone(&daemon);
        let handler = move |request: Request<hyper::body::Incoming>| {
            let (daemon, inbound) = (Arc::clone(&shared), Arc::clone(&inbound));
            async move {
                let request = request.map(crate::serve::streaming_body);
                inbound.handle(&daemon, request).await
            }
        };
        let drain = daemon.drain.clone();
        let socket = &daemon.sockets.inbound;
        serve_calls(socket, drain, Phase::Closing, PeerEnd::InOrder, handler).await
    })
}

/// Returns a daemon's inbound side.
#[must_use]
pub fn component(daemon: &Daemon) -> Arc<Inbound> {
    // Created first, since the creation of a component cannot create another one.
    let quarantine = Quarantine::of(daemon);
    daemon.component(|| Inbound::new(daemon, quarantine))
}

/// Refuses the queued calls as soon as the daemon or its backend server starts to drain.
async fn refuse_waiting(daemon: Arc<Daemon>, inbound: Arc<Inbound>) {
    let mut backend = daemon.backend.subscribe();
    let backend_drained = async {
        loop {
            if backend.borrow_and_update().stage == Stage::Leaving {
                inbound.gate.drain();
            }
            if backend.changed().await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = daemon.drain.reached(Phase::Leaving) => {}
        () = backend_drained => {}
    }
    inbound.gate.drain();
}

async fn watch_health(daemon: Arc<Daemon>) {
    if let Some(backend) = &daemon.settings.backend {
        health::watch(&daemon, backend).await;
    }
}

fn state(daemon: &Daemon) -> Value {
    let inbound = component(daemon);
    let load = inbound.gate.load();
    json!({
        "address": daemon.addresses().inbound,
        "in_flight": daemon.drain.in_flight(),
        "running": load.running,
        "queued": load.queued,
        "slots": load.slots,
        "attempts_remembered": lock(&inbound.record).len(),
    })
}

fn metrics(daemon: &Daemon, registry: &mut Registry) {
    component(daemon).metrics.register(registry);
}

/// The state of the inbound side: admission, the records of attempts and of idempotency keys, and
/// the connections to the backend server.
pub struct Inbound {
    metrics: InboundMetrics,
    /// The service of the backend server; `None` without one.
    service: Option<String>,
    pool: BackendPool,
    gate: Gate,
    /// The recent attempts.
    record: Arc<Mutex<Record>>,
    keys: Mutex<Keys>,
    /// Permits for bodies that are buffered before their calls request a slot.
    body_buffers: Arc<Semaphore>,
    transfers: Transfers,
    bulk_calls: BulkCalls,
    /// Whether the backend server can be given calls.
    reachability: Arc<Reachability>,
    crashes: Arc<CrashMonitor>,
    quarantine: Arc<Quarantine>,
    /// The rate limit that the backend server states, in calls per second.
    rate_limit: Mutex<Option<f64>>,
}

impl Inbound {
    fn new(daemon: &Daemon, quarantine: Arc<Quarantine>) -> Self {
        let backend = daemon.settings.backend.as_ref();
        let unused = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
        let address = backend.map_or(unused, |backend| backend.address);
        let pool = BackendPool::new(address);
        let reachability = Arc::<Reachability>::default();
        let crashes = CrashMonitor::new(
            daemon,
            address,
            pool.clone(),
            Arc::clone(&reachability),
            Arc::clone(&quarantine),
        );
        Inbound {
            metrics: InboundMetrics::default(),
            service: backend.map(|backend| backend.service.clone()),
            pool,
            gate: Gate::default(),
            record: Arc::new(Mutex::new(Record::new(Instant::now(), fence::CAPACITY))),
            keys: Mutex::default(),
            body_buffers: buffer::permits(),
            transfers: Transfers::default(),
            bulk_calls: BulkCalls::default(),
            reachability,
            crashes,
            quarantine,
            rate_limit: Mutex::default(),
        }
    }

    /// Returns this side's clock, in milliseconds; attempts state their send time by it.
    #[must_use]
    pub fn clock_ms(&self) -> u64 {
        lock(&self.record).clock_ms(Instant::now())
    }

    /// Handles a request of an outbound side: an attempt, a query or an exchange.
    pub async fn handle(
        self: &Arc<Self>,
        daemon: &Arc<Daemon>,
        mut request: Request<Body>,
    ) -> Response<Body> {
        if let Some(answer) = self.answer_query(daemon, request.headers()) {
            return answer;
        }
        if request.headers().contains_key(call::EXCHANGE) {
            return exchange::serve(daemon, request).await;
        }
        if request.headers().contains_key(call::QUARANTINE) {
            return quarantine::serve(daemon, request).await;
        }
        if request.headers().contains_key(call::ROLLOUT) {
            return rollout::serve(daemon, request).await;
        }
        ExchangeState::of(daemon).note_version(daemon, request.headers(), None);
        let call_guard = daemon.drain.begin_call();
        let id = request.headers().get(&daemon.names.request).cloned();
        let records_key = request.headers_mut().remove(call::KEY_RECORD).is_some();
        let response = match self.key(&request).filter(|_| records_key) {
            Some(key) => self.run_keyed(daemon, key, request, call_guard).await,
            None => self.forward(daemon, request, call_guard).await,
        };
        let mut response = response.unwrap_or_else(|mut refusal| {
            let id = id.as_ref().and_then(|id| id.to_str().ok());
            let id = id.unwrap_or_default();
            let load = self.gate.load();
            self.metrics.note_refusal(refusal.reason_code);
            // Not logged for a busy refusal: the sender tries other upstreams first.
            if refusal.reason_code != RefusalReason::Busy {
                event!(
                    AttemptRefused,
                    request = id,
                    why = refusal.reason_code.as_str(),
                    outcome = refusal.outcome.as_str(),
                    load = load,
                    stage = format_args!("{:?}", daemon.backend.load().stage),
                    reason = refusal.reason,
                );
            }
            let why = refusal.reason_code.as_str();
            let reported = [
                (call::CRASHED, refusal.crashed.take()),
                (call::TURN_OWNER, refusal.turn_owner.take()),
            ];
            let mut response = refusal.into_response(id, &daemon.names);
            let headers = response.headers_mut();
            headers.insert(call::WHY, HeaderValue::from_static(why));
            for (name, value) in reported {
                if let Some(Ok(value)) = value.map(HeaderValue::try_from) {
                    headers.insert(name, value);
                }
            }
            response
        });
        let headers = response.headers_mut();
        if is_leaving(daemon) {
            headers.insert(call::DRAIN, HeaderValue::from_static("1"));
        }
        if let Ok(load) = HeaderValue::from_str(&self.gate.load().to_string()) {
            headers.insert(call::LOAD, load);
        }
        headers.insert(call::VERSION, daemon.config.stamp().version.into());
        let service = self.service.as_deref();
        if let Some(mark) = service.and_then(|service| daemon.rollouts.mark(service)) {
            headers.insert(call::STEP, mark);
        }
        response
    }

    /// Returns the execution status of an attempt made by this daemon's own outbound side, and
    /// prevents it from running if it has not started.
    pub fn fence_attempt(&self, attempt: &Attempt) -> Option<fence::ExecutionStatus> {
        let mut record = lock(&self.record);
        Some(record.fence(Instant::now(), attempt.id, attempt.sent_ms))
    }

    /// Admits an attempt and runs it on the backend server.
    async fn forward(
        &self,
        daemon: &Daemon,
        request: Request<Body>,
        call_guard: InFlightGuard,
    ) -> Result<Response<Body>, Refusal> {
        let id = request.headers().get(&daemon.names.request);
        let mut progress = Progress::new(&self.metrics, id);
        let response = self.admit_and_run(daemon, request, call_guard, &mut progress);
        let response = response.await;
        progress.end();
        response
    }

    async fn admit_and_run(
        &self,
        daemon: &Daemon,
        request: Request<Body>,
        call_guard: InFlightGuard,
        progress: &mut Progress<'_>,
    ) -> Result<Response<Body>, Refusal> {
        let attempt = call::text(request.headers(), &call::ATTEMPT);
        let attempt = attempt.and_then(|text| text.parse::<Attempt>().ok());
        let attempt = attempt.ok_or_else(|| {
            Refusal::not_run(
                StatusCode::BAD_REQUEST,
                "attempt header is missing or not valid",
            )
        })?;
        if attempt.incarnation != daemon.identity.incarnation {
            return Err(unavailable(
                "attempt is for another incarnation of this daemon",
                RefusalReason::Other,
            ));
        }
        check_accepting(daemon)?;
        self.check_synced()?;
        version::check(
            daemon,
            self.service.as_deref().unwrap_or_default(),
            request.headers(),
        )?;
        self.reachability.check()?;
        self.update_limits(daemon)?;
        let receiver = receiver(&request);
        let bulk_guard = self.admit_bulk(&attempt, receiver)?;
        let recorded = self.record_attempt(&attempt)?;
        let deadline = deadline(request.headers());
        let mut admission = admission_request(&attempt, deadline);
        admission.share = share(daemon, request.headers());
        let (request, fingerprint, buffer) = self.buffer_body(daemon, request, &admission).await?;
        progress.reach(AttemptStage::Queue);
        let monitored = self.crashes.start(&request, fingerprint);
        let monitored = monitored.admit(daemon, deadline).await?;
        let queued_at = Instant::now();
        let permit = self.gate.admit(&admission).await;
        let permit = permit.map_err(admission_refusal)?;
        progress.reach(AttemptStage::Run);
        // The backend server may have started to drain while the call waited.
        check_accepting(daemon)?;
        let run = RunningCall {
            permit,
            recorded,
            waited: queued_at.elapsed(),
            buffer,
            guards: (call_guard, bulk_guard),
            receiver,
        };
        let response = self.run(daemon, run, monitored, &attempt, request, deadline);
        let response = timeout_at(deadline, response).await;
        response.map_err(|_| Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, "no answer in time"))?
    }

    /// Checks that this daemon has the records of crashes that the others have.
    fn check_synced(&self) -> Result<(), Refusal> {
        if self.quarantine.is_synced() {
            return Ok(());
        }
        Err(unavailable(
            "daemon has not received the records of crashes yet",
            RefusalReason::Down,
        ))
    }

    /// Records that the backend server has responded or has reported that it is ready.
    pub(super) fn mark_reachable(&self) {
        self.reachability.mark_up();
    }

    /// Sends a call that has a slot to the backend server.
    async fn run(
        &self,
        daemon: &Daemon,
        mut run: RunningCall,
        mut monitored: MonitoredRun,
        attempt: &Attempt,
        request: Request<Body>,
        deadline: Instant,
    ) -> Result<Response<Body>, Refusal> {
        let names = &daemon.names;
        let backend = daemon.backend.load();
        let reuse = if attempt.idempotent {
            Reuse::Within(MAX_IDLE)
        } else {
            Reuse::Within(MAX_IDLE_UNSAFE)
        };
        let id = request.headers().get(&names.request);
        let connection = self.pool.connection_for(reuse, id).await;
        let lease = connection.map_err(|err| self.mark_unreachable(&err))?;
        // A drain or a crash may have been reported while the connection was opened.
        check_accepting(daemon)?;
        monitored.check(daemon)?;
        // The step may have been replaced while the call waited.
        version::check(
            daemon,
            self.service.as_deref().unwrap_or_default(),
            request.headers(),
        )?;
        if !run.recorded.dispatch() {
            let reason = "attempt was cancelled by its sender";
            return Err(unavailable(reason, RefusalReason::Other));
        }
        run.permit.mark_used();
        let instance = backend.instance.as_deref();
        let checks_keys = daemon.config.table().checks_keys();
        let (request, id) = to_backend(request, deadline, names, instance, checks_keys)?;
        let counters = daemon.rollouts.counters();
        let mut counted = counters.begin(
            instance.unwrap_or_default(),
            &backend.version,
            attempt.time_class,
            deadline,
        );
        let mut response = match lease.send_once(request).await {
            Ok(response) => response,
            Err(err) => {
                run.permit.exclude_sample();
                match (counted, &err) {
                    (Some(counted), UpstreamError::NotSent(..)) => counted.cancel(),
                    (Some(counted), _) => counted.fail(),
                    (None, _) => {}
                }
                return Err(self.no_response(err, monitored).await);
            }
        };
        let id = id.as_ref();
        if let Err(refusal) = check_origin(names, &response, id) {
            run.permit.exclude_sample();
            if let Some(counted) = counted {
                counted.fail();
            }
            return Err(refusal);
        }
        self.mark_reachable();
        monitored.set_status(response.status());
        let failed = response.status().is_server_error();
        if let Some(counted) = &mut counted {
            counted.set_response(failed);
        }
        self.metrics
            .note_run(run.waited, run.permit.service_time(), failed);
        event!(
            AttemptRan,
            request = id.and_then(|id| id.to_str().ok()).unwrap_or_default(),
            instance = instance.unwrap_or("-"),
            waited_ms = run.waited.as_millis(),
            ran_ms = run.permit.service_time().as_millis(),
            status = response.status().as_u16(),
            load = self.gate.load(),
        );
        if response.headers().contains_key(call::DRAIN) {
            daemon.drain.advance(Phase::Draining);
        }
        if response.headers().get(&names.request) == id {
            self.update_rate_limit(stated_rate(names, response.headers()));
            note_leaving(daemon, &backend, &response);
        }
        keep_connection(names, &mut response, id);
        if let Err(refusal) = check_response(daemon, &backend, &response, id) {
            run.permit.exclude_sample();
            match counted {
                Some(counted) if refusal.outcome == Outcome::NotRun => counted.cancel(),
                Some(counted) => counted.fail(),
                None => {}
            }
            return Err(refusal);
        }
        if let Some(len) = response.body().size_hint().exact() {
            self.bulk_calls.record_length(attempt.time_class, len);
        }
        let limit = max_body_len(names, response.headers());
        let reachability = Arc::clone(&self.reachability);
        let response =
            response.map(|body| Bounded::new(body, limit, reachability, monitored, counted));
        Ok(to_outbound(response, run, deadline, &self.transfers))
    }

    /// Makes the refusal of a call that the backend server did not respond to.
    async fn no_response(&self, err: UpstreamError, run: MonitoredRun) -> Refusal {
        match err {
            // The backend server has just closed the idle connection; the next one will be new.
            UpstreamError::NotSent(..) => unavailable(err, RefusalReason::Other),
            UpstreamError::Lost(..) => {
                let crashed = run.lose().await;
                Refusal::unknown(StatusCode::BAD_GATEWAY, err).with_crashed(crashed)
            }
            UpstreamError::Endless(_) => {
                self.pool.clear();
                self.reachability.mark_down(&err);
                Refusal::unknown(StatusCode::BAD_GATEWAY, err)
            }
        }
    }

    /// Marks the backend server as down, and makes the refusal of a call that was not sent.
    fn mark_unreachable(&self, err: &UpstreamError) -> Refusal {
        self.pool.clear();
        self.reachability.mark_down(err);
        unavailable(err, RefusalReason::Down)
    }

    /// Admits a call whose response is expected to be long, if another daemon receives it.
    ///
    /// Such calls are refused early: their responses wait for the link, and calls with short
    /// responses need the slots meanwhile.
    fn admit_bulk(
        &self,
        attempt: &Attempt,
        receiver: Receiver,
    ) -> Result<Option<BulkGuard>, Refusal> {
        if receiver == Receiver::Local || !self.bulk_calls.is_bulk(attempt.time_class) {
            return Ok(None);
        }
        let slots = self.gate.load().slots;
        let guard = self.bulk_calls.admit(slots).ok_or_else(|| {
            unavailable("too many long responses are waiting", RefusalReason::Full)
        })?;
        Ok(Some(guard))
    }

    /// Records the arrival of an attempt. A duplicate, or an attempt that is too old, may have run.
    fn record_attempt(&self, attempt: &Attempt) -> Result<RecordedAttempt, Refusal> {
        let now = Instant::now();
        let accepted = lock(&self.record).arrive(now, attempt.id, attempt.sent_ms);
        match accepted {
            Ok(()) => Ok(RecordedAttempt {
                id: attempt.id,
                record: Arc::clone(&self.record),
            }),
            Err(err @ ArrivalError::Fenced) => Err(unavailable(err, RefusalReason::Other)),
            Err(err @ (ArrivalError::Repeated | ArrivalError::TooOld)) => {
                Err(Refusal::unknown(StatusCode::BAD_GATEWAY, err))
            }
        }
    }
}

/// Tests whether this daemon or its backend server is draining and accepts no further calls.
fn is_leaving(daemon: &Daemon) -> bool {
    daemon.drain.phase() != Phase::Running || daemon.backend.load().stage == Stage::Leaving
}

/// Checks that the daemon is running and the backend server has reported that it is ready.
fn check_accepting(daemon: &Daemon) -> Result<(), Refusal> {
    if daemon.drain.phase() != Phase::Running {
        return Err(unavailable(
            "daemon is shutting down",
            RefusalReason::Leaving,
        ));
    }
    match daemon.backend.load().stage {
        Stage::Ready => Ok(()),
        Stage::Leaving => Err(unavailable(
            "backend server is draining",
            RefusalReason::Leaving,
        )),
        Stage::Unknown => Err(unavailable(
            "backend server has not reported that it is ready",
            RefusalReason::Down,
        )),
    }
}

/// Refuses a call that did not run, with a short `Retry-After`.
fn unavailable(message: impl std::fmt::Display, reason: RefusalReason) -> Refusal {
    let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, message);
    refusal.with_retry_after(RETRY_AFTER).with_reason(reason)
}
