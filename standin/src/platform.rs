//! A stand-in for the platform's key-value service, with its limits and faults.

use anyhow::anyhow;
use baobabstage::platform::MAX_VALUE_LEN;
use baobabstage::platform::plain::{Call, Entry, Reply};
use baobabstage::serve::{Body, full};
use baobabstage::sync::lock;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// Longer than any lease lasts.
const MAX_LEASE: Duration = Duration::from_hours(24);

/// The limits of the service.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Reads allowed in a second; a waiting watch counts as one.
    pub reads: u32,
    /// Writes allowed in a second.
    pub writes: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            reads: 2_000,
            writes: 400,
        }
    }
}

/// The faults that the service shows now.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// No call is answered or carried out.
    pub down: bool,
    /// Each call takes this long.
    pub delay: Duration,
    /// One in so many writes takes effect but its answer is lost; zero for none.
    pub lose_every: u32,
    /// One in so many compare-and-swaps takes effect this much later, and its caller is told of a
    /// broken connection at once.
    pub late: Option<(u32, Duration)>,
}

/// Calls counted by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    /// Reads of one key.
    pub gets: u64,
    /// Listings.
    pub lists: u64,
    /// Watches.
    pub watches: u64,
    /// Compare-and-swaps.
    pub swaps: u64,
    /// Calls about leases.
    pub leases: u64,
    /// Calls refused for the limits.
    pub refused: u64,
}

impl Calls {
    /// Returns the number of calls carried out.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.gets + self.lists + self.watches + self.swaps + self.leases
    }
}

/// A running stand-in for the platform.
#[derive(Clone)]
pub struct Platform {
    shared: Arc<Shared>,
    address: SocketAddr,
}

struct Shared {
    state: Mutex<State>,
    changed: watch::Sender<u64>,
    faults: watch::Sender<Faults>,
}

#[derive(Default)]
struct State {
    revision: u64,
    keys: BTreeMap<String, Value>,
    /// The revisions at which keys were deleted.
    deleted: BTreeMap<String, u64>,
    leases: BTreeMap<u64, Lease>,
    calls: Calls,
    reads: Bucket,
    writes: Bucket,
    written: u32,
}

struct Value {
    data: Bytes,
    revision: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

/// A token bucket that holds up to one second's worth.
#[derive(Default)]
struct Bucket {
    rate: u32,
    tokens: f64,
    filled: Option<Instant>,
}

impl Bucket {
    fn take(&mut self) -> bool {
        let now = Instant::now();
        let rate = f64::from(self.rate);
        let added = self
            .filled
            .map_or(rate, |at| rate * (now - at).as_secs_f64());
        self.filled = Some(now);
        self.tokens = (self.tokens + added).min(rate);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

impl Platform {
    /// Starts the service on an address; port zero lets the system choose.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(address: SocketAddr, limits: Limits) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let mut state = State::default();
        state.reads.rate = limits.reads;
        state.writes.rate = limits.writes;
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            changed: watch::Sender::default(),
            faults: watch::Sender::default(),
        });
        tokio::spawn(accept(listener, Arc::clone(&shared)));
        Ok(Platform { shared, address })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the faults that the service shows from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.faults.send_replace(faults);
    }

    /// Returns the calls counted so far.
    #[must_use]
    pub fn calls(&self) -> Calls {
        self.shared.lock().calls
    }

    /// Reads a key without counting a call.
    #[must_use]
    pub fn peek(&self, key: &str) -> Option<Bytes> {
        let state = self.shared.lock();
        state.keys.get(key).map(|value| value.data.clone())
    }

    /// Returns the keys below a prefix without counting a call.
    #[must_use]
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.shared.lock();
        let keys = state.keys.keys();
        keys.filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Deletes a key as if it had been lost.
    pub fn lose(&self, key: &str) {
        self.shared.lock().delete(key);
        self.shared.changed.send_modify(|count| *count += 1);
    }
}

/// A call that is not answered: its connection is broken off.
type Lost = anyhow::Error;

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve(stream, Arc::clone(&shared)));
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    // Without it, small answers wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request: Request<Incoming>| {
        let shared = Arc::clone(&shared);
        async move { answer(&shared, request).await }
    });
    // A connection that is broken off is the caller's affair.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn answer(shared: &Arc<Shared>, request: Request<Incoming>) -> Result<Response<Body>, Lost> {
    let body = request.into_body().collect().await?.to_bytes();
    let outcome = match serde_json::from_slice(&body) {
        Ok(call) => shared.carry_out(call).await?,
        Err(err) => Err(Refused::Wrong(err.to_string())),
    };
    let (status, body) = match outcome {
        Ok(reply) => (StatusCode::OK, serde_json::to_string(&reply)?),
        Err(Refused::Wrong(reason)) => (StatusCode::BAD_REQUEST, reason),
        Err(Refused::Limit) => (StatusCode::TOO_MANY_REQUESTS, String::new()),
    };
    let mut answer = Response::new(full(body));
    *answer.status_mut() = status;
    Ok(answer)
}

/// Why a call is not carried out.
enum Refused {
    /// It is wrong.
    Wrong(String),
    /// There are too many.
    Limit,
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        let mut state = lock(&self.state);
        state.expire();
        state
    }

    async fn read(&self, count: fn(&mut Calls)) -> Result<(), Refused> {
        self.hold().await;
        let mut state = self.lock();
        if !state.reads.take() {
            state.calls.refused += 1;
            return Err(Refused::Limit);
        }
        count(&mut state.calls);
        Ok(())
    }

    async fn write(&self, count: fn(&mut Calls)) -> Result<(), Refused> {
        self.hold().await;
        let mut state = self.lock();
        if !state.writes.take() {
            state.calls.refused += 1;
            return Err(Refused::Limit);
        }
        count(&mut state.calls);
        Ok(())
    }

    /// Waits as the faults say; an outage holds the call until the caller gives up.
    async fn hold(&self) {
        let mut faults = self.faults.subscribe();
        let delay = faults.borrow().delay;
        sleep(delay).await;
        // The sender lives as long as `self`.
        let _ = faults.wait_for(|faults| !faults.down).await;
    }

    /// Returns how much later the write at hand takes effect, if it is its turn.
    fn lateness(&self) -> Option<Duration> {
        let (every, after) = self.faults.borrow().late?;
        let mut state = self.lock();
        state.written += 1;
        (every > 0 && state.written.is_multiple_of(every)).then_some(after)
    }

    /// Loses the answer to a write that took effect, if it is the turn of this one.
    fn lose_answer(&self) -> Result<(), Lost> {
        let every = self.faults.borrow().lose_every;
        let mut state = self.lock();
        state.written += 1;
        if every > 0 && state.written.is_multiple_of(every) {
            return Err(anyhow!("answer lost"));
        }
        Ok(())
    }

    async fn carry_out(self: &Arc<Self>, call: Call) -> Result<Result<Reply, Refused>, Lost> {
        let counted = match &call {
            Call::Get { .. } => self.read(|calls| calls.gets += 1).await,
            Call::List { .. } => self.read(|calls| calls.lists += 1).await,
            Call::Changes { .. } => self.read(|calls| calls.watches += 1).await,
            Call::Swap { .. } => self.write(|calls| calls.swaps += 1).await,
            Call::Grant { .. } | Call::Renew { .. } | Call::Revoke { .. } => {
                self.write(|calls| calls.leases += 1).await
            }
        };
        if let Err(refused) = counted {
            return Ok(Err(refused));
        }
        let reply = match call {
            Call::Get { key } => Reply::Entry(self.lock().entry(&key)),
            Call::List { prefix, after } => self.lock().list(&prefix, &after),
            Call::Changes {
                prefix,
                after,
                wait_ms,
            } => {
                self.watch(&prefix, after, Duration::from_millis(wait_ms))
                    .await
            }
            Call::Swap { .. } => return self.swap(call),
            Call::Grant { ttl_ms } => {
                let reply = self.lock().grant(Duration::from_millis(ttl_ms));
                self.lose_answer()?;
                reply
            }
            Call::Renew { lease } => self.lock().renew(lease),
            Call::Revoke { lease } => {
                let alive = self.lock().leases.remove(&lease).is_some();
                self.changed.send_modify(|count| *count += 1);
                Reply::Alive(alive)
            }
        };
        Ok(Ok(reply))
    }

    fn swap(self: &Arc<Self>, call: Call) -> Result<Result<Reply, Refused>, Lost> {
        if let Some(after) = self.lateness() {
            let shared = Arc::clone(self);
            tokio::spawn(async move {
                sleep(after).await;
                // Its caller has gone.
                drop(shared.lock().swap(call));
                shared.changed.send_modify(|count| *count += 1);
            });
            return Err(anyhow!("connection lost"));
        }
        let outcome = self.lock().swap(call);
        self.changed.send_modify(|count| *count += 1);
        if outcome.is_ok() {
            self.lose_answer()?;
        }
        Ok(outcome)
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Reply {
        let mut changed = self.changed.subscribe();
        let ends = Instant::now() + wait;
        loop {
            changed.mark_unchanged();
            let (events, revision, lapses) = self.lock().changes(prefix, after);
            if !events.is_empty() || Instant::now() >= ends {
                self.hold().await;
                return Reply::Changes(events, revision);
            }
            tokio::select! {
                _ = changed.changed() => {}
                () = tokio::time::sleep_until(ends.min(lapses)) => {}
            }
        }
    }
}

impl State {
    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, lease| lease.ends > now);
        let leases = &self.leases;
        let lapsed = self.keys.iter();
        let lapsed =
            lapsed.filter(|(_, value)| value.lease != 0 && !leases.contains_key(&value.lease));
        let lapsed: Vec<String> = lapsed.map(|(key, _)| key.clone()).collect();
        for key in lapsed {
            self.delete(&key);
        }
    }

    fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.revision += 1;
            self.deleted.insert(key.to_owned(), self.revision);
        }
    }

    fn entry(&self, key: &str) -> Option<Entry> {
        let value = self.keys.get(key)?;
        Some(Entry {
            key: key.into(),
            value: Some(value.data.to_vec()),
            revision: value.revision,
        })
    }

    fn list(&self, prefix: &str, after: &str) -> Reply {
        let keys = self.keys.keys();
        let keys = keys.filter(|key| key.starts_with(prefix) && key.as_str() > after);
        let entries = keys.filter_map(|key| self.entry(key)).collect();
        Reply::Page(entries, self.revision, false)
    }

    /// Returns the changes below a prefix after a revision, the present revision, and when the
    /// next lease lapses.
    fn changes(&self, prefix: &str, after: u64) -> (Vec<Entry>, u64, Instant) {
        let written = self.keys.keys().filter_map(|key| self.entry(key));
        let deleted = self.deleted.iter().map(|(key, revision)| Entry {
            key: key.clone(),
            value: None,
            revision: *revision,
        });
        let all = written.chain(deleted);
        let new = all.filter(|entry| entry.key.starts_with(prefix) && entry.revision > after);
        let mut events: Vec<Entry> = new.collect();
        events.sort_by_key(|entry| entry.revision);
        let lapses = self.leases.values().map(|lease| lease.ends).min();
        let lapses = lapses.unwrap_or_else(|| Instant::now() + MAX_LEASE);
        (events, self.revision, lapses)
    }

    fn swap(&mut self, call: Call) -> Result<Reply, Refused> {
        let Call::Swap {
            key,
            expected,
            value,
            lease,
        } = call
        else {
            return Err(Refused::Wrong("not a swap".into()));
        };
        let len = value.as_ref().map_or(0, Vec::len);
        if len > MAX_VALUE_LEN {
            return Err(Refused::Wrong(format!("value of {len} bytes")));
        }
        let revision = self.keys.get(&key).map_or(0, |value| value.revision);
        if revision != expected {
            return Ok(Reply::Swap(false, revision));
        }
        if lease != 0 && !self.leases.contains_key(&lease) {
            return Err(Refused::Wrong("lease has lapsed".into()));
        }
        let Some(data) = value else {
            self.delete(&key);
            return Ok(Reply::Swap(true, self.revision));
        };
        self.revision += 1;
        self.deleted.remove(&key);
        let revision = self.revision;
        let data = Bytes::from(data);
        let value = Value {
            data,
            revision,
            lease,
        };
        self.keys.insert(key, value);
        Ok(Reply::Swap(true, revision))
    }

    fn grant(&mut self, ttl: Duration) -> Reply {
        self.revision += 1;
        let lease = self.revision;
        let ends = Instant::now() + ttl;
        self.leases.insert(lease, Lease { ttl, ends });
        Reply::Lease(lease)
    }

    fn renew(&mut self, lease: u64) -> Reply {
        let held = self.leases.get_mut(&lease);
        let alive = held.is_some();
        if let Some(held) = held {
            held.ends = Instant::now() + held.ttl;
        }
        Reply::Alive(alive)
    }
}
