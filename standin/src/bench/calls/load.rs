//! Open-loop load: calls start on schedule, independent of the responses.

use super::profile::Profile;
use crate::caller::Pool;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Request, Response};
use http_body_util::Full;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Calls in flight at which a scheduled call is skipped and not counted as offered.
const MAX_IN_FLIGHT: usize = 12_000;

/// Upper bound of the recorded latencies, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Time before a scheduled start in which the clock is polled; sleeping is not exact enough.
const SPIN_TIME: Duration = Duration::from_micros(150);

/// Recipient of a call; the variant's name is part of the request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Target {
    /// A daemon's outbound listener.
    Mesh,
    /// A backend server, bypassing the mesh.
    Direct,
}

/// A period of load at a constant rate.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// Offered calls per second.
    pub rate: f64,
    /// Duration of the phase.
    pub time: Duration,
    /// Percentage of calls sent directly to backend servers.
    pub direct: u32,
    /// Seed of the schedule; also part of the request ids.
    pub seed: u64,
    /// Whether non-idempotent calls carry an idempotency key.
    pub keyed: bool,
}

/// Result of a call as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// A complete response to this call.
    Answered,
    /// Refused, and reported as not executed.
    NotRun,
    /// No response, or one that leaves open whether the call was executed.
    Unknown,
    /// A refusal by the backend server itself.
    Shed,
    /// A response to another call, or a truncated one.
    Wrong,
}

/// A completed call.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// Request id, unique within a run.
    pub id: String,
    /// Index into [`Profile::kinds`].
    pub kind: usize,
    /// Recipient.
    pub target: Target,
    /// Result seen by the caller.
    pub outcome: Outcome,
    /// Time from the scheduled start to the end of the response.
    pub latency: Duration,
}

struct ScheduledCall {
    /// Time from the start of the phase.
    at: Duration,
    /// Index into [`Profile::kinds`].
    kind: usize,
    target: Target,
    /// Index into the pools of the target.
    pool: usize,
}

/// Load generator with connection pools to daemons and backend servers.
pub struct Callers {
    mesh: Vec<Arc<Pool>>,
    direct: Vec<Arc<Pool>>,
}

impl Callers {
    /// Creates pools for these daemons and backend servers; no connection is opened yet.
    #[must_use]
    pub fn new(mesh: &[SocketAddr], direct: &[SocketAddr]) -> Self {
        let pools = |list: &[SocketAddr]| {
            let pools = list.iter().map(|address| Arc::new(Pool::new(*address)));
            pools.collect()
        };
        Callers {
            mesh: pools(mesh),
            direct: pools(direct),
        }
    }

    /// Runs the calls of a phase and returns those that were sent, in order of completion.
    pub async fn run(&self, profile: &Profile, phase: Phase) -> Vec<CallResult> {
        let plan = self.plan(profile, phase);
        let (sender, mut results) = mpsc::unbounded_channel();
        let pools = [self.mesh.clone(), self.direct.clone()];
        let profile = profile.clone();
        let runtime = tokio::runtime::Handle::current();
        // Waiting for the schedule blocks, so it has a thread of its own.
        let send = move || send_calls(&plan, &pools, &profile, phase, &runtime, &sender);
        let thread = std::thread::spawn(send);
        let mut all = Vec::new();
        while let Some(call) = results.recv().await {
            all.push(call);
        }
        // The channel is closed only after the thread has ended.
        let _ = thread.join();
        all
    }

    fn plan(&self, profile: &Profile, phase: Phase) -> Vec<ScheduledCall> {
        let mut rng = StdRng::seed_from_u64(phase.seed);
        let mut at = Duration::ZERO;
        let mut plan = Vec::new();
        loop {
            // Exponentially distributed gaps give a Poisson process.
            let gap = -f64::ln(rng.random_range(f64::EPSILON..1.0)) / phase.rate;
            at += Duration::from_secs_f64(gap);
            if at >= phase.time {
                return plan;
            }
            let target = if rng.random_range(0..100) < phase.direct {
                Target::Direct
            } else {
                Target::Mesh
            };
            let pools = match target {
                Target::Mesh => self.mesh.len(),
                Target::Direct => self.direct.len(),
            };
            plan.push(ScheduledCall {
                at,
                kind: pick_kind(profile, rng.random_range(0..100)),
                target,
                pool: rng.random_range(0..pools),
            });
        }
    }
}

/// Maps a random number from 0 to 99 to a request kind, by the shares of the kinds.
fn pick_kind(profile: &Profile, mut percentile: u32) -> usize {
    for (index, kind) in profile.kinds.iter().enumerate() {
        if percentile < kind.share {
            return index;
        }
        percentile -= kind.share;
    }
    0
}

/// Starts each call at its scheduled time.
fn send_calls(
    plan: &[ScheduledCall],
    pools: &[Vec<Arc<Pool>>; 2],
    profile: &Profile,
    phase: Phase,
    runtime: &tokio::runtime::Handle,
    sender: &mpsc::UnboundedSender<CallResult>,
) {
    let in_flight = Arc::new(AtomicUsize::new(0));
    let started = Instant::now();
    for (number, scheduled) in plan.iter().enumerate() {
        let due = started + scheduled.at;
        wait_until(due);
        if in_flight.load(Ordering::Relaxed) >= MAX_IN_FLIGHT {
            continue;
        }
        let pool = match scheduled.target {
            Target::Mesh => &pools[0][scheduled.pool],
            Target::Direct => &pools[1][scheduled.pool],
        };
        let id = format!("{}-{:?}-{number}", phase.seed, scheduled.target);
        let mut request = request(profile, scheduled.kind, &id);
        if phase.keyed && !profile.kinds[scheduled.kind].idempotent {
            let key = http::HeaderValue::from_str(&id).expect("ids are letters and digits");
            request.headers_mut().insert("idempotency-key", key);
        }
        let length = profile.kinds[scheduled.kind].body;
        let (pool, sender) = (Arc::clone(pool), sender.clone());
        let in_flight = Arc::clone(&in_flight);
        let (kind, target) = (scheduled.kind, scheduled.target);
        in_flight.fetch_add(1, Ordering::Relaxed);
        runtime.spawn(async move {
            let response = pool.call(request).await;
            let latency = due.elapsed();
            in_flight.fetch_sub(1, Ordering::Relaxed);
            let outcome = classify(&response, &id, length);
            let result = CallResult {
                id,
                kind,
                target,
                outcome,
                latency,
            };
            // The receiver lives until the last sender is dropped.
            let _ = sender.send(result);
        });
    }
}

/// Sleeps until shortly before the deadline, then polls the clock.
fn wait_until(due: Instant) {
    let remaining = due.saturating_duration_since(Instant::now());
    if let Some(time) = remaining.checked_sub(SPIN_TIME) {
        std::thread::sleep(time);
    }
    while Instant::now() < due {
        std::thread::yield_now();
    }
}

fn request(profile: &Profile, kind: usize, id: &str) -> Request<Full<Bytes>> {
    let kind = &profile.kinds[kind];
    let body = Full::new(Bytes::from(vec![b'x'; kind.body]));
    let mut request = Request::new(body);
    *request.method_mut() = kind.method();
    let path = profile.path(kind).parse();
    *request.uri_mut() = path.expect("paths of profiles are valid");
    let headers = request.headers_mut();
    headers.insert("host", http::HeaderValue::from_static("bench"));
    let id = http::HeaderValue::from_str(id);
    headers.insert("x-request-id", id.expect("ids are letters and digits"));
    request
}

/// Classifies a response; a complete one ends with the request id and the body length.
fn classify(response: &anyhow::Result<Response<Bytes>>, id: &str, length: usize) -> Outcome {
    let Ok(response) = response else {
        return Outcome::Unknown;
    };
    let outcome = response.headers().get("x-baobab-outcome");
    match outcome.map(http::HeaderValue::as_bytes) {
        Some(b"not-run") => return Outcome::NotRun,
        Some(_) => return Outcome::Unknown,
        None => {}
    }
    if !response.status().is_success() {
        return Outcome::Shed;
    }
    let text = String::from_utf8_lossy(response.body());
    if text.ends_with(&format!(" {id} {length}\n")) {
        Outcome::Answered
    } else {
        Outcome::Wrong
    }
}

/// Returns a histogram of the calls' latencies in microseconds.
pub fn histogram<'a>(calls: impl Iterator<Item = &'a CallResult>) -> Histogram<u64> {
    // Three significant digits.
    let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3);
    let mut histogram = histogram.expect("the bounds are valid");
    for call in calls {
        let us = u64::try_from(call.latency.as_micros()).unwrap_or(u64::MAX);
        histogram.saturating_record(us);
    }
    histogram
}
