//! The inbound side: the only way to this daemon's own backend server.

pub(super) mod health;
mod keyed;

use crate::backend::{Backend, Stage};
use crate::call::admission::{Demand, Limits, Reason};
use crate::call::attempt::{Attempt, AttemptId};
use crate::call::body::{CutOffError, Guarded, gather};
use crate::call::fence::{self, ArrivalError, Record};
use crate::call::gate::{Gate, Permit, Rejected};
use crate::call::idempotency::{KeyId, Keys};
use crate::call::measures::Incoming;
use crate::call::upstream::{BackendPool, Returning, Reuse, UpstreamError, hello};
use crate::call::{self, Refusal, Why, request};
use crate::daemon::{Daemon, Flight, Phase};
use crate::event;
use crate::exchange::{self, Knowledge};
use crate::kernel::{Plugin, Work};
use crate::names::Names;
use crate::serve::{Body, BodyError, full, serve_calls};
use crate::sync::lock;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, header};
use hyper::body::{Body as _, Bytes};
use prometheus_client::registry::Registry;
use serde_json::{Value, json};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout_at};

inventory::submit! {
    Plugin { name: "inbound", run, state, metrics }
}

/// The deadline of a call that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Time for which a connection to the backend server may have been idle before it is used again.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// The same for a call that must not run twice: one that meets the end of an idle connection
/// cannot be sent again.
const MAX_IDLE_UNSAFE: Duration = Duration::from_millis(500);

/// Time for which a backend server that could not be reached gets no calls.
const DOWN_TIME: Duration = Duration::from_millis(400);

/// The time after which a caller may come back when no other upstream took its call either.
const ELSEWHERE_RETRY: Duration = Duration::from_millis(200);

/// The longest part of a request's body that is read before its call asks for a slot, in bytes.
const MAX_GATHERED_LEN: usize = 512 * 1024;

/// Calls whose bodies are read before they ask for a slot; the bodies of further ones are passed on
/// as they come. With the length it bounds the memory for bodies at 8 MiB.
const MAX_GATHERED: usize = 16;

/// The greatest deadline.
const MAX_DEADLINE: Duration = Duration::from_mins(10);

fn run(daemon: Arc<Daemon>) -> Work {
    Box::pin(async move {
        let side = of(&daemon);
        tokio::spawn(refuse_waiting(Arc::clone(&daemon), Arc::clone(&side)));
        tokio::spawn(watch_health(Arc::clone(&daemon)));
        let shared = Arc::clone(&daemon);
        let handler = move |request: Request<hyper::body::Incoming>| {
            let (daemon, side) = (Arc::clone(&shared), Arc::clone(&side));
            async move {
                let request = request.map(crate::serve::incoming);
                side.answer(&daemon, request).await
            }
        };
        let drain = daemon.drain.clone();
        serve_calls(&daemon.sockets.inbound, drain, Phase::Closing, handler).await
    })
}

/// Returns a daemon's inbound side.
#[must_use]
pub fn of(daemon: &Daemon) -> Arc<Inbound> {
    daemon.part(|| Inbound::new(daemon))
}

/// Refuses the calls that wait as soon as the daemon or its backend server leaves.
async fn refuse_waiting(daemon: Arc<Daemon>, side: Arc<Inbound>) {
    let mut backend = daemon.backend.subscribe();
    let left = async {
        loop {
            if backend.borrow_and_update().stage == Stage::Leaving {
                side.gate.drain();
            }
            if backend.changed().await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = daemon.drain.reached(Phase::Leaving) => {}
        () = left => {}
    }
    side.gate.drain();
}

async fn watch_health(daemon: Arc<Daemon>) {
    if let Some(backend) = &daemon.settings.backend {
        health::watch(&daemon, backend).await;
    }
}

fn state(daemon: &Daemon) -> Value {
    let side = of(daemon);
    let load = side.gate.load();
    json!({
        "address": daemon.addresses().inbound,
        "in_flight": daemon.drain.in_flight(),
        "running": load.running,
        "queued": load.queued,
        "slots": load.slots,
        "attempts_remembered": lock(&side.record).len(),
    })
}

fn metrics(daemon: &Daemon, registry: &mut Registry) {
    of(daemon).measures.register(registry);
}

/// What guards the way to the backend server.
pub struct Inbound {
    measures: Incoming,
    service: Option<String>,
    pool: BackendPool,
    gate: Gate,
    record: Arc<Mutex<Record>>,
    keys: Mutex<Keys>,
    /// Room for bodies that are read before their calls ask for a slot.
    gathering: Arc<Semaphore>,
    /// Until when the backend server counts as out of reach.
    down: Mutex<Option<Instant>>,
}

impl Inbound {
    fn new(daemon: &Daemon) -> Self {
        let backend = daemon.settings.backend.as_ref();
        let nowhere = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
        Inbound {
            measures: Incoming::default(),
            service: backend.map(|backend| backend.service.clone()),
            pool: BackendPool::new(backend.map_or(nowhere, |backend| backend.address)),
            gate: Gate::default(),
            record: Arc::new(Mutex::new(Record::new(Instant::now(), fence::CAPACITY))),
            keys: Mutex::default(),
            gathering: Arc::new(Semaphore::new(MAX_GATHERED)),
            down: Mutex::default(),
        }
    }

    /// Returns the clock that attempts state.
    #[must_use]
    pub fn clock_ms(&self) -> u64 {
        lock(&self.record).clock_ms(Instant::now())
    }

    /// Answers a request of an outbound side.
    pub async fn answer(
        self: &Arc<Self>,
        daemon: &Arc<Daemon>,
        mut request: Request<Body>,
    ) -> Response<Body> {
        if request.headers().contains_key(call::HELLO) {
            let value = hello(daemon.identity.incarnation, self.clock_ms());
            return told(call::HELLO, &value);
        }
        if let Some(asked) = call::text(request.headers(), &call::FENCE) {
            return self.fence(daemon, asked);
        }
        if let Some(asked) = call::text(request.headers(), &call::KEY_KNOWN) {
            let known = KeyId::read(asked).is_some_and(|key| self.knows(key));
            return told(call::KEY_KNOWN, if known { "1" } else { "0" });
        }
        if request.headers().contains_key(call::EXCHANGE) {
            return exchange::serve(daemon, request).await;
        }
        Knowledge::of(daemon).hear_version(daemon, request.headers(), None);
        let flight = daemon.drain.flight();
        let id = request.headers().get(&daemon.names.request).cloned();
        let recorded = request.headers_mut().remove(call::KEY_RECORD).is_some();
        let answer = match self.key(&request).filter(|_| recorded) {
            Some(key) => self.run_keyed(daemon, key, request, flight).await,
            None => self.forward(daemon, request, flight).await,
        };
        let mut answer = answer.unwrap_or_else(|refusal| {
            let id = id.as_ref().and_then(|id| id.to_str().ok());
            let id = id.unwrap_or_default();
            let load = self.gate.load();
            self.measures.note_refusal(refusal.why);
            // Its sender looks elsewhere first, so that nothing is decided yet.
            if refusal.why != Why::Busy {
                event!(
                    AttemptRefused,
                    request = id,
                    why = refusal.why.as_str(),
                    outcome = refusal.outcome.as_str(),
                    load = load,
                    stage = format_args!("{:?}", daemon.backend.load().stage),
                    reason = refusal.reason,
                );
            }
            let why = refusal.why.as_str();
            let mut answer = refusal.into_answer(id, &daemon.names);
            let headers = answer.headers_mut();
            headers.insert(call::WHY, HeaderValue::from_static(why));
            answer
        });
        let headers = answer.headers_mut();
        if leaves(daemon) {
            headers.insert(call::DRAIN, HeaderValue::from_static("1"));
        }
        if let Ok(load) = HeaderValue::from_str(&self.gate.load().to_string()) {
            headers.insert(call::LOAD, load);
        }
        headers.insert(call::VERSION, daemon.config.stamp().version.into());
        answer
    }

    /// Bars an attempt of this daemon itself from running if it has not, and says what became of
    /// it.
    pub fn bar(&self, attempt: &Attempt) -> Option<fence::Fate> {
        let mut record = lock(&self.record);
        Some(record.fence(Instant::now(), attempt.id, attempt.sent_ms))
    }

    fn fence(&self, daemon: &Daemon, asked: &str) -> Response<Body> {
        let attempt = asked.parse::<Attempt>().ok();
        let own = daemon.identity.incarnation;
        let Some(attempt) = attempt.filter(|attempt| attempt.incarnation == own) else {
            return told(call::FENCE, fence::Fate::Forgotten.as_str());
        };
        let mut record = lock(&self.record);
        let fate = record.fence(Instant::now(), attempt.id, attempt.sent_ms);
        drop(record);
        told(call::FENCE, fate.as_str())
    }

    async fn forward(
        &self,
        daemon: &Daemon,
        request: Request<Body>,
        flight: Flight,
    ) -> Result<Response<Body>, Refusal> {
        let attempt = call::text(request.headers(), &call::ATTEMPT);
        let attempt = attempt.and_then(|text| text.parse::<Attempt>().ok());
        let attempt = attempt
            .ok_or_else(|| Refusal::not_run(StatusCode::BAD_REQUEST, "request names no attempt"))?;
        if attempt.incarnation != daemon.identity.incarnation {
            return Err(unavailable("call is for another incarnation", Why::Other));
        }
        self.check_backend(daemon)?;
        self.refresh_limits(daemon)?;
        let arrival = self.arrive(&attempt)?;
        let deadline = deadline(request.headers());
        let demand = demand(&attempt, deadline);
        let (request, gathered) = self.gather(request, &demand).await?;
        let came = Instant::now();
        let permit = self.gate.admit(&demand).await;
        let permit = permit.map_err(refused)?;
        // It may have left while the call waited.
        self.check_backend(daemon)?;
        let run = Run {
            permit,
            arrival,
            waited: came.elapsed(),
            _gathered: gathered,
            _flight: flight,
        };
        let answer = self.run(daemon, run, &attempt, request, deadline);
        let answer = timeout_at(deadline, answer).await;
        answer.map_err(|_| Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, "no answer in time"))?
    }

    /// Reads a request's body before its call takes a slot, which would be idle until the body has
    /// come. A call that would be refused now is refused before its body is read.
    async fn gather(
        &self,
        request: Request<Body>,
        demand: &Demand,
    ) -> Result<(Request<Body>, Option<OwnedSemaphorePermit>), Refusal> {
        if request.body().is_end_stream() {
            return Ok((request, None));
        }
        self.gate.check(demand).map_err(refused)?;
        let Ok(room) = Arc::clone(&self.gathering).try_acquire_owned() else {
            return Ok((request, None));
        };
        let (head, body) = request.into_parts();
        let body = timeout_at(demand.deadline, gather(body, MAX_GATHERED_LEN)).await;
        let late = |_| Refusal::not_run(StatusCode::GATEWAY_TIMEOUT, "body did not come in time");
        let body = body.map_err(late)?.map_err(|err| broken_off(&err))?;
        Ok((Request::from_parts(head, body), Some(room)))
    }

    /// Checks that the backend server takes calls.
    fn check_backend(&self, daemon: &Daemon) -> Result<(), Refusal> {
        if daemon.drain.phase() != Phase::Running {
            return Err(unavailable("daemon is stopping", Why::Leaving));
        }
        match daemon.backend.load().stage {
            Stage::Ready => {}
            Stage::Leaving => return Err(unavailable("backend server is draining", Why::Leaving)),
            Stage::Unknown => {
                return Err(unavailable("backend server is not announced", Why::Down));
            }
        }
        let mut down = lock(&self.down);
        match *down {
            Some(until) if Instant::now() < until => {
                Err(unavailable("backend server is out of reach", Why::Down))
            }
            Some(_) => {
                // This call finds out whether it is back.
                *down = Some(Instant::now() + DOWN_TIME);
                Ok(())
            }
            None => Ok(()),
        }
    }

    /// Sends a call that has a slot to the backend server.
    async fn run(
        &self,
        daemon: &Daemon,
        mut run: Run,
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
        let connection = self.pool.connection(reuse).await;
        let lease = connection.map_err(|err| self.unreached(&err))?;
        // A drain may have been announced while the connection was opened.
        self.check_backend(daemon)?;
        if !run.arrival.dispatch() {
            let reason = "attempt was given up by its sender";
            return Err(unavailable(reason, Why::Other));
        }
        run.permit.mark_used();
        let instance = backend.instance.as_deref();
        let (request, id) = to_backend(request, deadline, names, instance)?;
        let answer = lease.send(request).await.map_err(|err| {
            run.permit.mark_void();
            match err {
                // An idle connection has just been closed; the next one will be new.
                UpstreamError::NotSent(..) => unavailable(err, Why::Other),
                UpstreamError::Lost(..) => Refusal::unknown(StatusCode::BAD_GATEWAY, err),
            }
        })?;
        *lock(&self.down) = None;
        let failed = answer.status().is_server_error();
        self.measures.note_run(run.waited, run.permit.ran(), failed);
        event!(
            AttemptRan,
            request = id
                .as_ref()
                .and_then(|id| id.to_str().ok())
                .unwrap_or_default(),
            instance = instance.unwrap_or("-"),
            waited_ms = run.waited.as_millis(),
            ran_ms = run.permit.ran().as_millis(),
            status = answer.status().as_u16(),
            load = self.gate.load(),
        );
        if answer.headers().contains_key(call::DRAIN) {
            daemon.drain.advance(Phase::Draining);
        }
        let id = id.as_ref();
        if let Err(refusal) = check_answer(daemon, &backend, &answer, id) {
            run.permit.mark_void();
            return Err(refusal);
        }
        Ok(to_outbound(answer, run, deadline))
    }

    /// Notes that the backend server cannot be reached.
    fn unreached(&self, err: &UpstreamError) -> Refusal {
        self.pool.clear();
        let mut down = lock(&self.down);
        if down.is_none() {
            event!(BackendUnhealthy, error = err);
        }
        *down = Some(Instant::now() + DOWN_TIME);
        unavailable(err, Why::Down)
    }

    /// Brings the limits up to the configuration in force and the backend server's own word.
    fn refresh_limits(&self, daemon: &Daemon) -> Result<(), Refusal> {
        let Some(name) = &self.service else {
            return Err(unavailable("no backend server here", Why::Down));
        };
        let table = daemon.config.table();
        let service = table.service_named(name);
        let service = service.ok_or_else(|| unavailable("service is not configured", Why::Down))?;
        let connections = service.pool.connections;
        let slots = daemon.backend.load().slots.unwrap_or(service.pool.slots);
        self.pool.set_limit(connections as usize);
        self.gate.set_limits(Limits {
            slots: slots.min(connections),
            queue: service.policy.queue,
        });
        Ok(())
    }

    fn arrive(&self, attempt: &Attempt) -> Result<Arrival, Refusal> {
        let now = Instant::now();
        let noted = lock(&self.record).arrive(now, attempt.id, attempt.sent_ms);
        match noted {
            Ok(()) => Ok(Arrival {
                id: attempt.id,
                record: Arc::clone(&self.record),
            }),
            Err(err @ ArrivalError::Fenced) => Err(unavailable(err, Why::Other)),
            Err(err @ (ArrivalError::Repeated | ArrivalError::TooOld)) => {
                Err(Refusal::unknown(StatusCode::BAD_GATEWAY, err))
            }
        }
    }
}

/// An attempt in the record.
struct Arrival {
    id: AttemptId,
    record: Arc<Mutex<Record>>,
}

impl Arrival {
    fn dispatch(&self) -> bool {
        lock(&self.record).dispatch(self.id)
    }
}

impl Drop for Arrival {
    fn drop(&mut self) {
        lock(&self.record).finish(self.id);
    }
}

/// What a call holds until its answer's body has ended.
struct Run {
    permit: Permit,
    arrival: Arrival,
    /// The time spent in the queue.
    waited: Duration,
    _gathered: Option<OwnedSemaphorePermit>,
    _flight: Flight,
}

/// Tests whether the backend server or this daemon takes no new calls for good.
fn leaves(daemon: &Daemon) -> bool {
    daemon.drain.phase() != Phase::Running || daemon.backend.load().stage == Stage::Leaving
}

fn unavailable(reason: impl std::fmt::Display, why: Why) -> Refusal {
    let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason);
    refusal.retry_after(ELSEWHERE_RETRY).why(why)
}

fn refused(rejected: Rejected) -> Refusal {
    let why = match rejected.reason {
        Reason::Busy => Why::Busy,
        Reason::Late | Reason::Full => Why::Full,
        Reason::Draining => Why::Leaving,
    };
    let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, rejected);
    refusal.retry_after(rejected.retry_after).why(why)
}

/// Refuses a call whose body was broken off.
fn broken_off(err: &BodyError) -> Refusal {
    let status = match err.downcast_ref() {
        Some(CutOffError::TooLong(_)) => StatusCode::PAYLOAD_TOO_LARGE,
        _ => StatusCode::BAD_REQUEST,
    };
    Refusal::not_run(status, err)
}

fn demand(attempt: &Attempt, deadline: Instant) -> Demand {
    let millis = |ms: u32| Duration::from_millis(u64::from(ms));
    let objective = attempt.objective_ms;
    Demand {
        weight: attempt.weight,
        class: attempt.class,
        objective: (objective > 0).then(|| Instant::now() + millis(objective)),
        deadline,
        patience: attempt.patience_ms.map(millis),
    }
}

/// Checks that an answer is the backend server's own, whole, and to this call.
fn check_answer(
    daemon: &Daemon,
    backend: &Backend,
    answer: &Response<Returning>,
    id: Option<&HeaderValue>,
) -> Result<(), Refusal> {
    let names = &daemon.names;
    let (status, headers) = (answer.status(), answer.headers());
    let text = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
    if let Some(other) = mismatch(headers, &names.request, id) {
        event!(
            AnswerMismatched,
            request = text,
            answer = format_args!("{other:?}")
        );
        let reason = "backend server answered another call";
        return Err(Refusal::unknown(StatusCode::BAD_GATEWAY, reason));
    }
    if status == StatusCode::MISDIRECTED_REQUEST && names.expects.is_some() {
        let other = names
            .instance
            .as_ref()
            .and_then(|name| call::text(headers, name));
        event!(
            BackendUnhealthy,
            request = text,
            expected = backend.instance.as_deref().unwrap_or("-"),
            instance = other.unwrap_or("-"),
        );
        daemon
            .backend
            .mismatch(backend.instance.as_deref().unwrap_or_default());
        return Err(unavailable("another backend server is there", Why::Shed));
    }
    if names
        .not_run
        .as_ref()
        .is_some_and(|name| headers.contains_key(name))
    {
        let refusal = unavailable("backend server refused the call", Why::Shed);
        let after = call::read_retry_after(headers);
        return Err(after.map_or(refusal.clone(), |after| refusal.retry_after(after)));
    }
    let Some(seal) = &names.seal else {
        return Ok(());
    };
    if status.is_success() && !headers.contains_key(seal) {
        event!(AnswerUnsealed, request = text, status = status.as_u16());
        let reason = "backend server's answer bears no seal";
        return Err(Refusal::unknown(StatusCode::BAD_GATEWAY, reason));
    }
    // These would tell the caller that the call was not run, which the backend server has not said.
    let promise = matches!(status.as_u16(), 408 | 421 | 429 | 503);
    if promise {
        let reason = format!("backend server answered {status}");
        return Err(Refusal::unknown(StatusCode::BAD_GATEWAY, reason));
    }
    Ok(())
}

fn deadline(headers: &HeaderMap) -> Instant {
    let left = call::number(headers, &call::DEADLINE_MS);
    let left = left.map_or(DEFAULT_DEADLINE, Duration::from_millis);
    Instant::now() + left.min(MAX_DEADLINE)
}

fn mismatch<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
    asked: Option<&HeaderValue>,
) -> Option<&'a HeaderValue> {
    let answered = headers.get(name)?;
    (Some(answered) != asked).then_some(answered)
}

fn told(name: HeaderName, value: &str) -> Response<Body> {
    let mut answer = Response::new(full(Bytes::new()));
    if let Ok(value) = HeaderValue::from_str(value) {
        answer.headers_mut().insert(name, value);
    }
    answer
}

fn to_backend(
    request: Request<Body>,
    deadline: Instant,
    names: &Names,
    instance: Option<&str>,
) -> Result<(Request<Body>, Option<HeaderValue>), Refusal> {
    let (mut head, body) = request.into_parts();
    call::drop_hop_headers(&mut head.headers);
    if let Some(authority) = head.uri.authority()
        && let Ok(host) = HeaderValue::from_str(authority.as_str())
    {
        head.headers.insert(header::HOST, host);
    }
    let path = head.uri.path_and_query().cloned();
    head.uri = path.map_or_else(http::Uri::default, http::Uri::from);
    head.version = http::Version::HTTP_11;
    call::drop_reserved_headers(&mut head.headers, &[call::RETRY]);
    if names.seal.is_some() {
        head.headers.remove(call::RETRY);
    }
    let left = request::left_ms(deadline);
    head.headers.insert(&names.deadline, left);
    if let (Some(name), Some(instance)) = (&names.expects, instance) {
        let bad = |err| Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, err);
        let instance = HeaderValue::from_str(instance).map_err(bad)?;
        head.headers.insert(name, instance);
    }
    let id = head.headers.get(&names.request).cloned();
    Ok((Request::from_parts(head, body), id))
}

fn to_outbound(answer: Response<Returning>, run: Run, deadline: Instant) -> Response<Body> {
    let (mut head, body) = answer.into_parts();
    call::drop_hop_headers(&mut head.headers);
    call::drop_reserved_headers(&mut head.headers, &[]);
    let ran = u64::try_from(run.permit.ran().as_micros()).unwrap_or(u64::MAX);
    head.headers.insert(call::RAN, ran.into());
    head.version = http::Version::HTTP_2;
    Response::from_parts(head, Body::new(Guarded::new(body, run, deadline)))
}
