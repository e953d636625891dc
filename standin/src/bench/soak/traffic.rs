//! Callers that remember what they were told.

use super::oracle::{Promise, Tally};
use crate::backend::{Ending, Ledger, pattern};
use crate::caller;
use baobabstage::sync::lock;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

const CALLER_TIME: Duration = Duration::from_secs(8);
const PHOTO_LEN: usize = 60_000;
const UPLOAD_LEN: usize = 20_000;

/// What a caller was told of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// A whole answer.
    Answered,
    /// It was not run.
    NotRun,
    /// It may have been run.
    Unknown,
    /// Nothing whole.
    Nothing,
}

/// A call that has ended.
#[derive(Clone, Debug)]
pub struct Call {
    /// The request id.
    pub id: String,
    /// Where it was made.
    pub entry: SocketAddr,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// When it was made.
    pub started: Instant,
    /// When it ended.
    pub ended: Instant,
    /// What the caller was told.
    pub told: Told,
    /// The reason given for a refusal.
    pub reason: String,
}

/// Callers of some services.
#[derive(Clone)]
pub struct Traffic {
    /// Where callers connect now.
    pub entries: watch::Sender<Vec<SocketAddr>>,
    calls: Arc<Mutex<Vec<Call>>>,
    services: Arc<Vec<String>>,
    tally: Tally,
}

#[derive(Clone, Copy)]
enum Kind {
    Lookup,
    Issue,
    Photo,
    Upload,
}

impl Traffic {
    /// Makes callers that have made no call yet.
    #[must_use]
    pub fn new(services: Vec<String>, tally: Tally) -> Self {
        Traffic {
            entries: watch::Sender::default(),
            calls: Arc::default(),
            services: Arc::new(services),
            tally,
        }
    }

    /// Starts a caller that makes one call after the other until the task is aborted.
    #[must_use]
    pub fn caller(&self, seed: u64, pause: Duration) -> tokio::task::JoinHandle<()> {
        let traffic = self.clone();
        tokio::spawn(async move {
            let mut rng = StdRng::seed_from_u64(seed);
            for number in 0_u64.. {
                let kind = *[Kind::Lookup, Kind::Issue, Kind::Photo, Kind::Upload]
                    .choose(&mut rng)
                    .unwrap_or(&Kind::Lookup);
                let id = format!("call-{seed}-{number}");
                let service = traffic.services.choose(&mut rng).cloned();
                let entry = traffic.entries.borrow().choose(&mut rng).copied();
                if let (Some(entry), Some(service)) = (entry, service) {
                    traffic.call(entry, &service, kind, id).await;
                }
                sleep(pause.mul_f64(rng.random_range(0.5..1.5))).await;
            }
        })
    }

    async fn call(&self, entry: SocketAddr, service: &str, kind: Kind, id: String) {
        let started = Instant::now();
        let sent = timeout(
            CALLER_TIME,
            caller::call(entry, request(service, kind, &id)),
        );
        let (told, reason) = match sent.await {
            Ok(Ok(answer)) => (self.judge(&answer, kind, &id), reason(&answer)),
            Ok(Err(err)) => (Told::Nothing, err.to_string()),
            Err(err) => (Told::Nothing, err.to_string()),
        };
        lock(&self.calls).push(Call {
            id,
            entry,
            idempotent: !matches!(kind, Kind::Issue),
            started,
            ended: Instant::now(),
            told,
            reason,
        });
    }

    fn judge(&self, answer: &Response<Bytes>, kind: Kind, id: &str) -> Told {
        if answer.status().is_success() {
            let own = is_own(answer, kind, id);
            let len = answer.body().len();
            self.tally.check(Promise::OwnAnswer, own, || {
                format!("{id}: another answer, {len} bytes, {:?}", answer.headers())
            });
            return Told::Answered;
        }
        let outcome = answer.headers().get("x-baobab-outcome");
        match outcome.map(http::HeaderValue::as_bytes) {
            Some(b"not-run") => Told::NotRun,
            _ => Told::Unknown,
        }
    }

    /// Returns the calls that have ended.
    #[must_use]
    pub fn calls(&self) -> Vec<Call> {
        lock(&self.calls).clone()
    }

    /// Holds what callers were told against the runs.
    pub fn check(&self, ledger: &Ledger) {
        for call in self.calls() {
            let runs = ledger.runs(&call.id);
            if call.told == Told::NotRun {
                self.tally.check(Promise::NotRun, runs == 0, || {
                    format!(
                        "{}: told not run ({}), ran {runs} times, idempotent: {}",
                        call.id, call.reason, call.idempotent
                    )
                });
            }
            if !call.idempotent {
                self.tally.check(Promise::AtMostOnce, runs <= 1, || {
                    format!("{}: ran {runs} times", call.id)
                });
            }
        }
    }

    /// Checks that calls in flight at an entry when it was told to stop were not cut off.
    pub fn check_graceful(&self, ledger: &Ledger, entry: SocketAddr, name: &str, at: Instant) {
        for call in self.calls() {
            let in_flight = call.started < at && call.ended > at;
            if call.entry == entry && in_flight {
                let cut = call.told == Told::Nothing && ledger.runs(&call.id) > 0;
                self.tally.check(Promise::Graceful, !cut, || {
                    format!("{}: cut off at {name}", call.id)
                });
            }
        }
        for (id, run) in ledger.running_at(name, at) {
            let cut = run.ended.is_some_and(|(_, how)| how == Ending::Cancelled);
            self.tally.check(Promise::Graceful, !cut, || {
                format!("{id}: cut off behind {name}")
            });
        }
    }
}

fn reason(answer: &Response<Bytes>) -> String {
    if answer.status().is_success() {
        return String::new();
    }
    String::from_utf8_lossy(answer.body()).into_owned()
}

fn request(service: &str, kind: Kind, id: &str) -> Request<Full<Bytes>> {
    let (method, path, len) = match kind {
        Kind::Lookup => ("GET", format!("/{service}/lookup"), 0),
        Kind::Issue => ("POST", format!("/{service}/issue"), 10),
        Kind::Photo => ("GET", format!("/{service}/lookup/bytes/{PHOTO_LEN}"), 0),
        Kind::Upload => ("POST", format!("/{service}/upload"), UPLOAD_LEN),
    };
    let request = Request::builder().method(method).uri(path);
    let request = request.header("host", service).header("x-request-id", id);
    let body = Full::from(vec![b'x'; len]);
    request.body(body).expect("the parts are valid")
}

fn is_own(answer: &Response<Bytes>, kind: Kind, id: &str) -> bool {
    let len = match kind {
        Kind::Lookup => 0,
        Kind::Issue => 10,
        Kind::Upload => UPLOAD_LEN,
        Kind::Photo => {
            let named = answer.headers().get("x-request-id");
            let own = named.is_some_and(|named| named == id);
            return own && answer.body() == &pattern(PHOTO_LEN);
        }
    };
    answer.body().ends_with(format!(" {id} {len}\n").as_bytes())
}
