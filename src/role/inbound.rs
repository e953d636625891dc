//! The inbound side: the only way to this daemon's own backend server.

mod health;
mod keyed;

use crate::call::admission::{Limits, Reason};
use crate::call::attempt::{Attempt, AttemptId};
use crate::call::body::Guarded;
use crate::call::fence::{self, ArrivalError, Record};
use crate::call::gate::{Gate, Permit, Rejected};
use crate::call::idempotency::{KeyId, Keys};
use crate::call::upstream::{BackendPool, Returning, UpstreamError, hello};
use crate::call::{self, Refusal, request};
use crate::daemon::{Daemon, Flight, Phase};
use crate::event;
use crate::kernel::{Plugin, Work};
use crate::serve::{Body, full, serve_calls};
use crate::sync::lock;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Bytes;
use prometheus_client::registry::Registry;
use serde_json::{Value, json};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

inventory::submit! {
    Plugin { name: "inbound", run, state, metrics }
}

/// The deadline of a call that names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

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

/// Refuses the calls that wait as soon as the daemon drains.
async fn refuse_waiting(daemon: Arc<Daemon>, side: Arc<Inbound>) {
    daemon.drain.reached(Phase::Draining).await;
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

fn metrics(_: &Daemon, _: &mut Registry) {}

/// What guards the way to the backend server.
pub struct Inbound {
    service: Option<String>,
    pool: BackendPool,
    gate: Gate,
    record: Arc<Mutex<Record>>,
    keys: Mutex<Keys>,
}

impl Inbound {
    fn new(daemon: &Daemon) -> Self {
        let backend = daemon.settings.backend.as_ref();
        let nowhere = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
        Inbound {
            service: backend.map(|backend| backend.service.clone()),
            pool: BackendPool::new(backend.map_or(nowhere, |backend| backend.address)),
            gate: Gate::default(),
            record: Arc::new(Mutex::new(Record::new(Instant::now(), fence::CAPACITY))),
            keys: Mutex::default(),
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
        let flight = daemon.drain.flight();
        let id = request.headers().get(call::REQUEST_ID).cloned();
        let recorded = request.headers_mut().remove(call::KEY_RECORD).is_some();
        let answer = match self.key(&request).filter(|_| recorded) {
            Some(key) => self.run_keyed(daemon, key, request, flight).await,
            None => self.forward(daemon, request, flight).await,
        };
        let mut answer = answer.unwrap_or_else(|refusal| {
            let id = id.as_ref().and_then(|id| id.to_str().ok());
            let id = id.unwrap_or_default();
            event!(CallRefused, request = id, reason = refusal.reason);
            refusal.into_answer(id)
        });
        if daemon.drain.phase() != Phase::Running {
            let drain = HeaderValue::from_static("1");
            answer.headers_mut().insert(call::DRAIN, drain);
        }
        if let Ok(load) = HeaderValue::from_str(&self.gate.load().to_string()) {
            answer.headers_mut().insert(call::LOAD, load);
        }
        answer
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
        if daemon.drain.phase() != Phase::Running {
            return Err(unavailable("backend server is draining"));
        }
        if attempt.incarnation != daemon.identity.incarnation {
            return Err(unavailable("call is for another incarnation"));
        }
        self.refresh_limits(daemon)?;
        let arrival = self.arrive(&attempt)?;
        let deadline = deadline(request.headers());
        let permit = self.gate.admit(attempt.weight, deadline).await;
        let permit = permit.map_err(refused)?;
        let run = Run {
            permit,
            arrival,
            _flight: flight,
        };
        let answer = self.run(daemon, run, request, deadline);
        let answer = tokio::time::timeout_at(deadline, answer).await;
        answer.map_err(|_| Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, "no answer in time"))?
    }

    /// Sends a call that has a slot to the backend server.
    async fn run(
        &self,
        daemon: &Daemon,
        mut run: Run,
        request: Request<Body>,
        deadline: Instant,
    ) -> Result<Response<Body>, Refusal> {
        let lease = self.pool.connection().await.map_err(failed)?;
        if !run.arrival.dispatch() {
            return Err(unavailable("attempt was given up by its sender"));
        }
        run.permit.mark_used();
        let (request, id) = to_backend(request, deadline);
        let answer = lease.send(request).await.map_err(failed)?;
        if answer.headers().contains_key(call::DRAIN) {
            daemon.drain.advance(Phase::Draining);
        }
        if let Some(other) = mismatch(answer.headers(), id.as_ref()) {
            event!(
                AnswerMismatched,
                request = format_args!("{id:?}"),
                answer = format_args!("{other:?}")
            );
            let reason = "backend server answered another call";
            return Err(Refusal::unknown(StatusCode::BAD_GATEWAY, reason));
        }
        Ok(to_outbound(answer, run, deadline))
    }

    /// Brings the limits up to the configuration in force.
    fn refresh_limits(&self, daemon: &Daemon) -> Result<(), Refusal> {
        let version = daemon.config.stamp().version;
        if self.gate.version() == version && version > 0 {
            return Ok(());
        }
        let Some(name) = &self.service else {
            return Err(unavailable("no backend server here"));
        };
        let table = daemon.config.table();
        let service = table.service_named(name);
        let service = service.ok_or_else(|| unavailable("service is not configured"))?;
        let connections = service.pool.connections;
        self.pool.set_limit(connections as usize);
        let limits = Limits {
            slots: service.pool.slots.min(connections),
            queue: service.policy.queue,
        };
        self.gate.set_limits(table.stamp().version, limits);
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
            Err(err @ ArrivalError::Fenced) => Err(unavailable(err)),
            Err(err @ (ArrivalError::Repeated | ArrivalError::TooOld)) => {
                Err(Refusal::unknown(StatusCode::SERVICE_UNAVAILABLE, err))
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
    _flight: Flight,
}

fn unavailable(reason: impl std::fmt::Display) -> Refusal {
    Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason).retry_after(1)
}

fn refused(rejected: Rejected) -> Refusal {
    let status = match rejected.reason {
        Reason::Late => StatusCode::GATEWAY_TIMEOUT,
        Reason::Full | Reason::Draining => StatusCode::SERVICE_UNAVAILABLE,
    };
    let seconds = rejected.retry_after.as_millis().div_ceil(1_000);
    let seconds = u64::try_from(seconds).unwrap_or(u64::MAX);
    Refusal::not_run(status, rejected).retry_after(seconds)
}

fn failed(err: UpstreamError) -> Refusal {
    match err {
        UpstreamError::NotSent(..) => unavailable(err),
        UpstreamError::Lost(..) => Refusal::unknown(StatusCode::BAD_GATEWAY, err),
    }
}

fn deadline(headers: &HeaderMap) -> Instant {
    let left = call::number(headers, &call::DEADLINE_MS);
    let left = left.map_or(DEFAULT_DEADLINE, Duration::from_millis);
    Instant::now() + left.min(MAX_DEADLINE)
}

fn mismatch<'a>(headers: &'a HeaderMap, asked: Option<&HeaderValue>) -> Option<&'a HeaderValue> {
    let answered = headers.get(call::REQUEST_ID)?;
    (Some(answered) != asked).then_some(answered)
}

fn told(name: HeaderName, value: &str) -> Response<Body> {
    let mut answer = Response::new(full(Bytes::new()));
    if let Ok(value) = HeaderValue::from_str(value) {
        answer.headers_mut().insert(name, value);
    }
    answer
}

fn to_backend(request: Request<Body>, deadline: Instant) -> (Request<Body>, Option<HeaderValue>) {
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
    head.headers.remove(call::ATTEMPT);
    head.headers
        .insert(call::DEADLINE_MS, request::left_ms(deadline));
    let id = head.headers.get(call::REQUEST_ID).cloned();
    (Request::from_parts(head, body), id)
}

fn to_outbound(answer: Response<Returning>, run: Run, deadline: Instant) -> Response<Body> {
    let (mut head, body) = answer.into_parts();
    call::drop_hop_headers(&mut head.headers);
    call::drop_reserved_headers(&mut head.headers, &[]);
    head.version = http::Version::HTTP_2;
    Response::from_parts(head, Body::new(Guarded::new(body, run, deadline)))
}
