//! Open-loop load: calls leave on schedule whatever the answers do.

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

/// Calls in flight above which a scheduled call is counted as not offered.
const MAX_IN_FLIGHT: usize = 12_000;

/// The greatest time recorded, in microseconds.
const MAX_US: u64 = 60_000_000;

/// The time before a scheduled start from which the clock is polled.
const POLL_TIME: Duration = Duration::from_micros(150);

/// Where calls are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Way {
    /// By daemons.
    Mesh,
    /// To the backend servers.
    Direct,
}

/// A stretch of load.
#[derive(Clone, Copy, Debug)]
pub struct Stretch {
    /// Calls a second.
    pub rate: f64,
    /// The length.
    pub time: Duration,
    /// The share of calls that go directly, in percent.
    pub direct: u32,
    /// The seed of the schedule.
    pub seed: u64,
    /// Whether calls that are not idempotent name an idempotency key.
    pub keyed: bool,
}

/// What a caller was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Told {
    /// The whole answer.
    Answered,
    /// Not run.
    NotRun,
    /// Unknown, or nothing.
    Unknown,
    /// A refusal of the backend server itself.
    Shed,
    /// The answer to another call, or a part of one.
    Wrong,
}

/// One call made.
#[derive(Clone, Debug)]
pub struct Made {
    /// The request id.
    pub id: String,
    /// The index of the request kind.
    pub kind: usize,
    /// Where it was sent.
    pub way: Way,
    /// What the caller was told.
    pub told: Told,
    /// The time from its scheduled start to the end of the answer.
    pub took: Duration,
}

struct Planned {
    at: Duration,
    kind: usize,
    way: Way,
    pool: usize,
}

/// The callers' connections.
pub struct Callers {
    mesh: Vec<Arc<Pool>>,
    direct: Vec<Arc<Pool>>,
}

impl Callers {
    /// Makes callers of these daemons and backend servers.
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

    /// Makes the calls of a stretch and returns those made.
    pub async fn run(&self, profile: &Profile, stretch: Stretch) -> Vec<Made> {
        let plan = self.plan(profile, stretch);
        let (sender, mut made) = mpsc::unbounded_channel();
        let pools = [self.mesh.clone(), self.direct.clone()];
        let profile = profile.clone();
        let runtime = tokio::runtime::Handle::current();
        let launch = move || launch(&plan, &pools, &profile, stretch, &runtime, &sender);
        let launcher = std::thread::spawn(launch);
        let mut all = Vec::new();
        while let Some(call) = made.recv().await {
            all.push(call);
        }
        // The channel closes only after the thread's end.
        let _ = launcher.join();
        all
    }

    fn plan(&self, profile: &Profile, stretch: Stretch) -> Vec<Planned> {
        let mut rng = StdRng::seed_from_u64(stretch.seed);
        let mut at = Duration::ZERO;
        let mut plan = Vec::new();
        loop {
            let gap = -f64::ln(rng.random_range(f64::EPSILON..1.0)) / stretch.rate;
            at += Duration::from_secs_f64(gap);
            if at >= stretch.time {
                return plan;
            }
            let way = if rng.random_range(0..100) < stretch.direct {
                Way::Direct
            } else {
                Way::Mesh
            };
            let pools = match way {
                Way::Mesh => self.mesh.len(),
                Way::Direct => self.direct.len(),
            };
            plan.push(Planned {
                at,
                kind: draw_kind(profile, rng.random_range(0..100)),
                way,
                pool: rng.random_range(0..pools),
            });
        }
    }
}

fn draw_kind(profile: &Profile, mut dice: u32) -> usize {
    for (index, kind) in profile.kinds.iter().enumerate() {
        if dice < kind.share {
            return index;
        }
        dice -= kind.share;
    }
    0
}

/// Starts each call at its time.
fn launch(
    plan: &[Planned],
    pools: &[Vec<Arc<Pool>>; 2],
    profile: &Profile,
    stretch: Stretch,
    runtime: &tokio::runtime::Handle,
    sender: &mpsc::UnboundedSender<Made>,
) {
    let in_flight = Arc::new(AtomicUsize::new(0));
    let started = Instant::now();
    for (number, planned) in plan.iter().enumerate() {
        let due = started + planned.at;
        wait_until(due);
        if in_flight.load(Ordering::Relaxed) >= MAX_IN_FLIGHT {
            continue;
        }
        let pool = match planned.way {
            Way::Mesh => &pools[0][planned.pool],
            Way::Direct => &pools[1][planned.pool],
        };
        let id = format!("{}-{:?}-{number}", stretch.seed, planned.way);
        let mut request = request(profile, planned.kind, &id);
        if stretch.keyed && !profile.kinds[planned.kind].idempotent {
            let key = http::HeaderValue::from_str(&id).expect("ids are letters and digits");
            request.headers_mut().insert("idempotency-key", key);
        }
        let length = profile.kinds[planned.kind].body;
        let (pool, sender) = (Arc::clone(pool), sender.clone());
        let in_flight = Arc::clone(&in_flight);
        let (kind, way) = (planned.kind, planned.way);
        in_flight.fetch_add(1, Ordering::Relaxed);
        runtime.spawn(async move {
            let answer = pool.call(request).await;
            let took = due.elapsed();
            in_flight.fetch_sub(1, Ordering::Relaxed);
            let told = read(&answer, &id, length);
            let made = Made {
                id,
                kind,
                way,
                told,
                took,
            };
            // The receiver lives until the last sender is gone.
            let _ = sender.send(made);
        });
    }
}

/// Sleeps, then polls the clock for the last bit, since sleeping is not exact.
fn wait_until(due: Instant) {
    let left = due.saturating_duration_since(Instant::now());
    if let Some(sleep) = left.checked_sub(POLL_TIME) {
        std::thread::sleep(sleep);
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

fn read(answer: &anyhow::Result<Response<Bytes>>, id: &str, length: usize) -> Told {
    let Ok(answer) = answer else {
        return Told::Unknown;
    };
    let outcome = answer.headers().get("x-baobab-outcome");
    match outcome.map(http::HeaderValue::as_bytes) {
        Some(b"not-run") => return Told::NotRun,
        Some(_) => return Told::Unknown,
        None => {}
    }
    if !answer.status().is_success() {
        return Told::Shed;
    }
    let text = String::from_utf8_lossy(answer.body());
    if text.ends_with(&format!(" {id} {length}\n")) {
        Told::Answered
    } else {
        Told::Wrong
    }
}

/// Makes a histogram of times in microseconds.
pub fn histogram<'a>(calls: impl Iterator<Item = &'a Made>) -> Histogram<u64> {
    let bounds = Histogram::new_with_bounds(1, MAX_US, 3);
    let mut histogram = bounds.expect("the bounds are valid");
    for call in calls {
        let us = u64::try_from(call.took.as_micros()).unwrap_or(u64::MAX);
        histogram.saturating_record(us);
    }
    histogram
}
