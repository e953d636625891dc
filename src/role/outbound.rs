//! The outbound side: takes calls from callers and chooses where they go.

mod attempt;

use crate::call::attempt::{Attempt, AttemptId};
use crate::call::body::Guarded;
use crate::call::budget::{Failure, backoff};
use crate::call::choose::{Choice, Health, Index, Upstream};
use crate::call::idempotency::{KEY_TIME, KeyId};
use crate::call::measures::Outgoing;
use crate::call::upstream::{Link, UpstreamError};
use crate::call::view::{ServiceView, ViewCell, Viewer};
use crate::call::{Outcome, Refusal, Why, request};
use crate::daemon::{Daemon, Flight, Phase};
use crate::event;
use crate::kernel::{Plugin, Work};
use crate::role::inbound;
use crate::serve::{Body, incoming, serve_calls};
use attempt::{Call, Failed, Stop, judge, no_upstream};
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use prometheus_client::registry::Registry;
use serde_json::{Value, json};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::Duration;
use tokio::time::Instant;

inventory::submit! {
    Plugin { name: "outbound", run, state, metrics }
}

/// Time after which a connection to a daemon that gets no calls is closed.
const LINK_IDLE: Duration = Duration::from_secs(4);

/// Upstreams that may refuse one call before it is given up.
const MAX_HOPS: u32 = 4;

/// Upstreams that may say that their queues are full before a call is refused: under overload the
/// others are full as well.
const MAX_FULL: u32 = 2;

/// Its multiples are spread evenly between whole numbers.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;

/// Chooses another way to choose upstreams, for comparisons: `round-robin` or `two-choices`.
const CHOICE_VARIABLE: &str = "BAOBAB_BENCH_CHOICE";

fn run(daemon: Arc<Daemon>) -> Work {
    Box::pin(async move {
        let side = of(&daemon);
        let shared = Arc::clone(&daemon);
        let handler = move |request| {
            let (daemon, side) = (Arc::clone(&shared), Arc::clone(&side));
            async move { side.answer(&daemon, request).await }
        };
        tokio::spawn(close_idle_links(Arc::downgrade(&of(&daemon))));
        let drain = daemon.drain.clone();
        serve_calls(&daemon.sockets.outbound, drain, Phase::Draining, handler).await
    })
}

/// Closes the connections to daemons that get no calls: most of a large fleet.
async fn close_idle_links(side: Weak<Outbound>) {
    loop {
        tokio::time::sleep(LINK_IDLE / 2).await;
        let Some(side) = side.upgrade() else {
            return;
        };
        let view = side.views.last();
        for (_, service) in view.iter().flat_map(|view| view.services()) {
            service.links().for_each(|link| link.close_idle(LINK_IDLE));
        }
    }
}

fn of(daemon: &Daemon) -> Arc<Outbound> {
    daemon.part(|| Outbound::new(daemon))
}

fn state(daemon: &Daemon) -> Value {
    let now = Instant::now();
    let view = of(daemon).views.last();
    let services = view.iter().flat_map(|view| {
        let services = view.services();
        let services = services.map(|(name, service)| (name.to_owned(), describe(service, now)));
        services.collect::<Vec<_>>()
    });
    json!({
        "address": daemon.addresses().outbound,
        "services": services.collect::<serde_json::Map<_, _>>(),
    })
}

fn describe(service: &ServiceView, now: Instant) -> Value {
    let upstreams = service.group.upstreams().iter();
    let upstreams: Vec<Value> = upstreams
        .map(|upstream| {
            json!({
                "name": upstream.facts.name,
                "near": upstream.facts.near,
                "suspect": upstream.facts.suspect,
                "in_flight": upstream.health.in_flight(),
                "ejected": upstream.health.is_ejected(now),
            })
        })
        .collect();
    json!({ "retries_left": service.budget.left(), "upstreams": upstreams })
}

fn metrics(daemon: &Daemon, registry: &mut Registry) {
    of(daemon).measures.register(registry);
}

struct Outbound {
    measures: Outgoing,
    views: ViewCell,
    choice: Choice,
    attempts: AtomicU64,
    /// Calls on routes that several services share.
    places: AtomicU64,
    incarnation: u64,
}

impl Outbound {
    fn new(daemon: &Daemon) -> Self {
        let viewer = Viewer {
            name: daemon.identity.name.clone(),
            domain: daemon.identity.domain.clone(),
        };
        Outbound {
            measures: Outgoing::default(),
            views: ViewCell::new(viewer),
            choice: read_choice(),
            attempts: AtomicU64::new(0),
            places: AtomicU64::new(0),
            incarnation: daemon.identity.incarnation,
        }
    }

    async fn answer(&self, daemon: &Arc<Daemon>, request: Request<Incoming>) -> Response<Body> {
        let flight = daemon.drain.flight();
        let version = request.version();
        let names = &daemon.names;
        let id = request::request_id(&request, names);
        let mut watch = Watch::new(&id);
        let answer = self.forward(daemon, request, &id, flight).await;
        let mut answer = answer.unwrap_or_else(|refusal| {
            event!(
                CallRefused,
                request = id,
                status = refusal.status.as_u16(),
                version = daemon.config.stamp().version,
                reason = refusal.reason,
            );
            refusal.into_answer(&id, names)
        });
        let outcome = Outcome::of(answer.headers()).map_or("answered", Outcome::as_str);
        self.measures.note_call(outcome, watch.started.elapsed());
        watch.end(answer.status());
        *answer.version_mut() = version;
        let draining = daemon.drain.phase() != Phase::Running;
        if draining && version < http::Version::HTTP_2 {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(header::CONNECTION, close);
        }
        answer
    }

    async fn forward(
        &self,
        daemon: &Arc<Daemon>,
        request: Request<Incoming>,
        id: &str,
        flight: Flight,
    ) -> Result<Response<Body>, Refusal> {
        let tuned = **daemon.tuned.load();
        let view = self
            .views
            .get(daemon.config.table(), daemon.fleet.load(), tuned);
        let entry = request::find_route(&view.table, &request)?;
        let service = entry.service(self.place());
        let call = Call::new(daemon, &view, entry, service, request, id)?;
        call.check_time_left()?;
        // Most of it is needed only while a call is under way, and idle connections keep its place.
        Box::pin(self.run(&call, flight)).await
    }

    /// Returns numbers in 0 to 1 that are spread evenly whatever their count.
    fn place(&self) -> f64 {
        let count = self.places.fetch_add(1, Ordering::Relaxed) % (1 << 32);
        // Exact below the bound of the line above.
        #[allow(clippy::cast_precision_loss)]
        let place = count as f64 * GOLDEN_RATIO;
        place.fract()
    }

    /// Makes attempts until one has an answer for the caller.
    async fn run(&self, call: &Call<'_>, flight: Flight) -> Result<Response<Body>, Refusal> {
        let group = &call.service.group;
        let mut flight = Some(flight);
        let mut tried = Vec::new();
        let (mut made, mut hops, mut busy, mut full) = (0, 0, 0, 0);
        let mut told: Option<Failed> = None;
        loop {
            let index = match call.key {
                Some(key) => key_holder(call, key).await,
                None => self.choose(call, &tried, made),
            };
            let Some(index) = index else {
                return told.map(|failed| *failed.answer).ok_or_else(no_upstream);
            };
            let untried = group.upstreams().len().saturating_sub(tried.len());
            let patience = call.patience(busy, untried);
            let attempt = self.attempt(call, index, patience, &mut flight);
            let failed = match attempt.await {
                Ok(answer) => return Ok(answer),
                Err(failed) => failed,
            };
            self.measures.note_failure(failed.failure);
            match failed.failure {
                Failure::Refused if failed.why == Why::Busy => busy += 1,
                Failure::Refused if failed.why == Why::Full => {
                    full += 1;
                    tried.push(index);
                }
                Failure::Refused | Failure::Leaving => {
                    hops += 1;
                    tried.push(index);
                }
                Failure::NotRun | Failure::MayHaveRun => {
                    made += 1;
                    tried.push(index);
                }
            }
            let now = Instant::now();
            let mut terms = call.terms;
            terms.replayable = call.body.is_replayable();
            let failure = failed.failure;
            let failed = outweigh(told.take(), failed);
            if call.daemon.drain.phase() >= Phase::Ending
                || hops > MAX_HOPS
                || full >= MAX_FULL
                || !terms.allow(now, made, failure)
                || !call.service.budget.pay(failure)
            {
                return Ok(*failed.answer);
            }
            told = Some(failed);
            let pause = backoff(made, failure, rand::random());
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
        }
    }

    /// Chooses an upstream that was not tried; any of those when all were, unless it is known of
    /// each that the call was not even offered to its backend server.
    fn choose(&self, call: &Call<'_>, tried: &[Index], made: u32) -> Option<Index> {
        let (group, bulk) = (&call.service.group, call.bulk());
        let now = Instant::now();
        let untried = group.choose_for(now, self.choice, rand::random(), tried, bulk);
        untried.or_else(|| {
            (made > 0)
                .then(|| group.choose_for(now, self.choice, rand::random(), &[], bulk))
                .flatten()
        })
    }

    async fn attempt(
        &self,
        call: &Call<'_>,
        index: Index,
        patience: Option<Duration>,
        flight: &mut Option<Flight>,
    ) -> Result<Response<Body>, Failed> {
        let upstream = &call.service.group.upstreams()[index.0];
        let busy = Busy::new(&upstream.health);
        let started = Instant::now();
        let answer = match call.service.link(index) {
            Some(link) => self.send_far(call, upstream, link, patience).await?,
            None => self.send_near(call, upstream, patience).await?,
        };
        let answer = judge(call, upstream, answer, started)?;
        let guard = (busy, flight.take());
        let deadline = call.terms.deadline;
        let guarded = answer.map(|body| Body::new(Guarded::new(body, guard, deadline)));
        Ok(guarded)
    }

    /// Sends an attempt to another daemon.
    async fn send_far(
        &self,
        call: &Call<'_>,
        upstream: &Upstream,
        link: &Link,
        patience: Option<Duration>,
    ) -> Result<Response<Body>, Failed> {
        let ready = match call.await_unsent(link.ready()).await {
            Ok(Ok(ready)) => ready,
            Ok(Err(err)) => return Err(call.not_sent(upstream, &err)),
            Err(Stop::Late) => return Err(call.late(upstream)),
            Err(Stop::Ending | Stop::CutOff) => return Err(call.ending(upstream)),
        };
        let attempt = self.new_attempt(call, upstream, ready.sent_ms, patience);
        let request = call.request(&attempt);
        let request = request.map_err(|refusal| call.refused(refusal))?;
        let fence = async || call.fence(link, &attempt).await;
        match call.await_answer(ready.send(request), fence).await {
            Ok(Ok(answer)) => Ok(answer.map(incoming)),
            Ok(Err(err @ UpstreamError::NotSent(..))) => Err(call.not_sent(upstream, &err)),
            Ok(Err(err @ UpstreamError::Lost(..))) => {
                let reason = err.to_string();
                Err(call.lost(upstream, link, &attempt, &reason).await)
            }
            Err(Stop::Late) => Err(call
                .lost(upstream, link, &attempt, "no answer in time")
                .await),
            Err(Stop::Ending) => Err(call.ending(upstream)),
            Err(Stop::CutOff) => Err(call.cut_off(upstream)),
        }
    }

    /// Hands an attempt to this daemon's own inbound side.
    async fn send_near(
        &self,
        call: &Call<'_>,
        upstream: &Upstream,
        patience: Option<Duration>,
    ) -> Result<Response<Body>, Failed> {
        let side = inbound::of(call.daemon);
        let attempt = self.new_attempt(call, upstream, side.clock_ms(), patience);
        let request = call.request(&attempt);
        let request = request.map_err(|refusal| call.refused(refusal))?;
        let answer = side.answer(call.daemon, request);
        match call.await_answer(answer, async || side.bar(&attempt)).await {
            Ok(answer) => Ok(answer),
            Err(Stop::Late) => Err(call.overdue(upstream, side.bar(&attempt))),
            Err(Stop::Ending) => Err(call.ending(upstream)),
            Err(Stop::CutOff) => Err(call.cut_off(upstream)),
        }
    }

    fn new_attempt(
        &self,
        call: &Call<'_>,
        upstream: &Upstream,
        sent_ms: u64,
        patience: Option<Duration>,
    ) -> Attempt {
        let count = self.attempts.fetch_add(1, Ordering::Relaxed);
        let id = u128::from(self.incarnation) << 64 | u128::from(count);
        Attempt {
            id: AttemptId(id),
            incarnation: upstream.facts.incarnation,
            sent_ms,
            weight: call.weight,
            idempotent: call.terms.idempotent,
            class: call.class,
            objective_ms: call.objective_ms(),
            patience_ms: patience.map(|time| u32::try_from(time.as_millis()).unwrap_or(u32::MAX)),
        }
    }
}

/// Logs a call whose caller went away before its answer.
struct Watch<'a> {
    id: &'a str,
    started: Instant,
    ended: bool,
}

impl<'a> Watch<'a> {
    fn new(id: &'a str) -> Self {
        Watch {
            id,
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

impl Drop for Watch<'_> {
    fn drop(&mut self) {
        if !self.ended {
            let ms = self.started.elapsed().as_millis();
            event!(AttemptCancelled, request = self.id, ms = ms);
        }
    }
}

/// Chooses what the caller is told: an attempt that may have run outweighs a later one that did
/// not, as the call then may have run.
fn outweigh(earlier: Option<Failed>, later: Failed) -> Failed {
    let may_have_run = |failed: &Failed| failed.failure == Failure::MayHaveRun;
    match earlier {
        Some(earlier) if may_have_run(&earlier) && !may_have_run(&later) => earlier,
        _ => later,
    }
}

/// Returns the upstream that holds the record of a key.
///
/// While the upstreams have changed lately it may be another than the key belongs to now.
async fn key_holder(call: &Call<'_>, key: KeyId) -> Option<Index> {
    let places = call.service.group.by_key(key);
    let owner = places.first().copied();
    if call.service.changed.elapsed() > KEY_TIME {
        return owner;
    }
    let asked = places.iter().map(|index| async {
        match call.service.link(*index) {
            Some(link) => link.knows(key).await == Some(true),
            None => inbound::of(call.daemon).knows(key),
        }
    });
    let known = futures_util::future::join_all(asked).await;
    let holder = places.iter().zip(known).find(|(_, known)| *known);
    holder.map(|(index, _)| *index).or(owner)
}

/// Counts a call at an upstream while it lives.
struct Busy {
    health: Arc<Health>,
}

impl Busy {
    fn new(health: &Arc<Health>) -> Self {
        health.begin();
        let health = Arc::clone(health);
        Busy { health }
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.health.end();
    }
}

fn read_choice() -> Choice {
    match std::env::var(CHOICE_VARIABLE).as_deref() {
        Ok("round-robin") => Choice::RoundRobin,
        Ok("two-choices") => Choice::TwoChoices,
        _ => Choice::Load,
    }
}
