//! A stand-in for the platform's key-value service with configurable limits and faults.

use anyhow::anyhow;
use baobabstage::platform::MAX_VALUE_LEN;
use baobabstage::platform::json_dialect::{Call, EPOCH, Entry, Reply};
use baobabstage::serve::{Body, full_body};
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

/// Stands for the time to the next expiry while there is no lease; longer than any lease lasts.
const MAX_LEASE: Duration = Duration::from_hours(24);

/// The rate limits of the service.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Reads allowed per second; a waiting watch counts as one.
    pub reads: u32,
    /// Writes allowed per second; calls about leases count as writes.
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

/// The faults of the service; none by default.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// No call is executed and no response is sent until this ends.
    pub down: bool,
    /// Delay of each call before it is executed.
    pub delay: Duration,
    /// Every n-th write takes effect but its response is lost; zero for none.
    pub lose_every: u32,
    /// Every n-th compare-and-swap takes effect after this delay, while its connection is closed at
    /// once without a response.
    pub late: Option<(u32, Duration)>,
}

/// The number of calls of each kind since the start.
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
    /// Grants, renewals and revocations of leases.
    pub leases: u64,
    /// Calls rejected by the rate limits.
    pub refused: u64,
}

impl Calls {
    /// Returns the number of calls that were not rejected.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.gets + self.lists + self.watches + self.swaps + self.leases
    }
}

/// A running stand-in for the platform. Clones share one state.
#[derive(Clone)]
pub struct Platform {
    shared: Arc<Shared>,
    address: SocketAddr,
}

struct Shared {
    state: Mutex<State>,
    /// Notifies waiting watches of changed keys; the number has no meaning.
    changed: watch::Sender<u64>,
    faults: watch::Sender<Faults>,
    /// The epoch, which a restore increments. All connections end then.
    epoch: watch::Sender<u64>,
}

/// The stored keys and leases.
#[derive(Clone, Default)]
pub struct StoredKeys {
    revision: u64,
    keys: BTreeMap<String, Value>,
    /// The revision of the deletion of each deleted key, which watches report.
    deleted: BTreeMap<String, u64>,
    leases: BTreeMap<u64, Lease>,
}

#[derive(Default)]
struct State {
    stored: StoredKeys,
    calls: Calls,
    reads: Bucket,
    writes: Bucket,
    /// Counts writes for the faults that affect every n-th one.
    write_count: u32,
}

#[derive(Clone)]
struct Value {
    data: Bytes,
    /// The revision of the last write.
    revision: u64,
    /// The lease with which the key expires; zero for none.
    lease: u64,
}

#[derive(Clone)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

/// A token bucket that holds at most the tokens of one second. It starts full.
#[derive(Default)]
struct Bucket {
    rate: u32,
    tokens: f64,
    refilled_at: Option<Instant>,
}

impl Bucket {
    /// Takes a token; returns `false` if there is none.
    fn take(&mut self) -> bool {
        let now = Instant::now();
        let rate = f64::from(self.rate);
        let added = self
            .refilled_at
            .map_or(rate, |at| rate * (now - at).as_secs_f64());
        self.refilled_at = Some(now);
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
            epoch: watch::Sender::default(),
        });
        tokio::spawn(accept(listener, Arc::clone(&shared)));
        Ok(Platform { shared, address })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the faults from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.faults.send_replace(faults);
    }

    /// Returns the numbers of calls since the start.
    #[must_use]
    pub fn calls(&self) -> Calls {
        self.shared.lock().calls
    }

    /// Reads a key without counting a call, even during a fault.
    #[must_use]
    pub fn read_uncounted(&self, key: &str) -> Option<Bytes> {
        let state = self.shared.lock();
        state.stored.keys.get(key).map(|value| value.data.clone())
    }

    /// Returns the keys with a prefix without counting a call, even during a fault.
    #[must_use]
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.shared.lock();
        let keys = state.stored.keys.keys();
        keys.filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Returns a copy of the stored keys.
    #[must_use]
    pub fn copy(&self) -> StoredKeys {
        self.shared.lock().stored.clone()
    }

    /// Restores the keys, revisions and leases of an earlier copy, and ends all connections.
    pub fn restore(&self, copy: StoredKeys) {
        self.shared.lock().stored = copy;
        self.shared.epoch.send_modify(|epoch| *epoch += 1);
    }

    /// Writes a key unconditionally and without a call.
    pub fn write_uncounted(&self, key: &str, value: &str) {
        let data = Bytes::from(value.to_owned());
        self.shared.lock().stored.put(key.to_owned(), data, 0);
        self.shared.changed.send_modify(|count| *count += 1);
    }

    /// Deletes a key without a call, to simulate lost data.
    pub fn delete_key(&self, key: &str) {
        self.shared.lock().stored.delete(key);
        self.shared.changed.send_modify(|count| *count += 1);
    }
}

/// An error that closes the connection without a response.
type NoResponse = anyhow::Error;

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve(stream, Arc::clone(&shared)));
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    // Otherwise Nagle's algorithm holds small responses back until the peer's delayed
    // acknowledgement.
    let _ = stream.set_nodelay(true);
    let calls = Arc::clone(&shared);
    let service = service_fn(move |request: Request<Incoming>| {
        let shared = Arc::clone(&calls);
        async move { respond(&shared, request).await }
    });
    let mut epoch = shared.epoch.subscribe();
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // The caller handles a broken connection.
    tokio::select! {
        _ = connection => {}
        _ = epoch.changed() => {}
    }
}

async fn respond(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Body>, NoResponse> {
    let body = request.into_body().collect().await?.to_bytes();
    let outcome = match serde_json::from_slice(&body) {
        Ok(call) => shared.execute(call).await?,
        Err(err) => Err(Rejected::Invalid(err.to_string())),
    };
    let (status, body) = match outcome {
        Ok(reply) => (StatusCode::OK, serde_json::to_string(&reply)?),
        Err(Rejected::Invalid(reason)) => (StatusCode::BAD_REQUEST, reason),
        Err(Rejected::RateLimited) => (StatusCode::TOO_MANY_REQUESTS, String::new()),
    };
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    let epoch = *shared.epoch.borrow();
    response.headers_mut().insert(EPOCH, epoch.into());
    Ok(response)
}

/// The reason why a call is rejected.
enum Rejected {
    /// The call is not valid.
    Invalid(String),
    /// A rate limit is exceeded.
    RateLimited,
}

impl Shared {
    /// Locks the state, with expired leases removed.
    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        let mut state = lock(&self.state);
        state.stored.expire();
        state
    }

    /// Admits and counts a read.
    async fn admit_read(&self, count: fn(&mut Calls)) -> Result<(), Rejected> {
        self.wait_for_faults().await;
        let mut state = self.lock();
        if !state.reads.take() {
            state.calls.refused += 1;
            return Err(Rejected::RateLimited);
        }
        count(&mut state.calls);
        Ok(())
    }

    /// Admits and counts a write.
    async fn admit_write(&self, count: fn(&mut Calls)) -> Result<(), Rejected> {
        self.wait_for_faults().await;
        let mut state = self.lock();
        if !state.writes.take() {
            state.calls.refused += 1;
            return Err(Rejected::RateLimited);
        }
        count(&mut state.calls);
        Ok(())
    }

    /// Waits for the configured delay and, during an outage, until it ends or the caller closes the
    /// connection.
    async fn wait_for_faults(&self) {
        let mut faults = self.faults.subscribe();
        let delay = faults.borrow().delay;
        sleep(delay).await;
        // The sender lives as long as `self`.
        let _ = faults.wait_for(|faults| !faults.down).await;
    }

    /// Counts a compare-and-swap, and returns its delay if it is an n-th one.
    fn swap_delay(&self) -> Option<Duration> {
        let (every, after) = self.faults.borrow().late?;
        let mut state = self.lock();
        state.write_count += 1;
        (every > 0 && state.write_count.is_multiple_of(every)).then_some(after)
    }

    /// Counts a write that took effect, and fails if its response is to be lost.
    fn lose_response(&self) -> Result<(), NoResponse> {
        let every = self.faults.borrow().lose_every;
        let mut state = self.lock();
        state.write_count += 1;
        if every > 0 && state.write_count.is_multiple_of(every) {
            return Err(anyhow!("response lost"));
        }
        Ok(())
    }

    async fn execute(self: &Arc<Self>, call: Call) -> Result<Result<Reply, Rejected>, NoResponse> {
        let admitted = match &call {
            Call::Get { .. } => self.admit_read(|calls| calls.gets += 1).await,
            Call::List { .. } => self.admit_read(|calls| calls.lists += 1).await,
            Call::Changes { .. } => self.admit_read(|calls| calls.watches += 1).await,
            Call::Swap { .. } => self.admit_write(|calls| calls.swaps += 1).await,
            Call::Grant { .. } | Call::Renew { .. } | Call::Revoke { .. } => {
                self.admit_write(|calls| calls.leases += 1).await
            }
        };
        if let Err(rejected) = admitted {
            return Ok(Err(rejected));
        }
        let reply = match call {
            Call::Get { key } => Reply::Entry(self.lock().stored.entry(&key)),
            Call::List { prefix, after } => self.lock().stored.list(&prefix, &after),
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
                let reply = self.lock().stored.grant(Duration::from_millis(ttl_ms));
                self.lose_response()?;
                reply
            }
            Call::Renew { lease } => self.lock().stored.renew(lease),
            Call::Revoke { lease } => {
                let alive = self.lock().stored.leases.remove(&lease).is_some();
                self.changed.send_modify(|count| *count += 1);
                Reply::Alive(alive)
            }
        };
        Ok(Ok(reply))
    }

    fn swap(self: &Arc<Self>, call: Call) -> Result<Result<Reply, Rejected>, NoResponse> {
        if let Some(after) = self.swap_delay() {
            let shared = Arc::clone(self);
            tokio::spawn(async move {
                sleep(after).await;
                // The caller cannot receive the result any more.
                drop(shared.lock().stored.swap(call));
                shared.changed.send_modify(|count| *count += 1);
            });
            return Err(anyhow!("connection lost"));
        }
        let outcome = self.lock().stored.swap(call);
        self.changed.send_modify(|count| *count += 1);
        if outcome.is_ok() {
            self.lose_response()?;
        }
        Ok(outcome)
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Reply {
        let mut changed = self.changed.subscribe();
        let deadline = Instant::now() + wait;
        loop {
            changed.mark_unchanged();
            let (events, revision, next_expiry) = self.lock().stored.changes(prefix, after);
            if after > revision {
                return Reply::Forgotten;
            }
            if !events.is_empty() || Instant::now() >= deadline {
                self.wait_for_faults().await;
                return Reply::Changes(events, revision);
            }
            tokio::select! {
                _ = changed.changed() => {}
                () = tokio::time::sleep_until(deadline.min(next_expiry)) => {}
            }
        }
    }
}

impl StoredKeys {
    /// Removes expired leases and deletes their keys.
    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, lease| lease.expires_at > now);
        let leases = &self.leases;
        let expired = self.keys.iter();
        let expired =
            expired.filter(|(_, value)| value.lease != 0 && !leases.contains_key(&value.lease));
        let expired: Vec<String> = expired.map(|(key, _)| key.clone()).collect();
        for key in expired {
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
        // `false`: no further page follows.
        Reply::Page(entries, self.revision, false)
    }

    /// Returns the changes of keys with a prefix since a revision, the current revision, and the
    /// time when the next lease expires.
    fn changes(&self, prefix: &str, after: u64) -> (Vec<Entry>, u64, Instant) {
        let present = self.keys.keys().filter_map(|key| self.entry(key));
        let deleted = self.deleted.iter().map(|(key, revision)| Entry {
            key: key.clone(),
            value: None,
            revision: *revision,
        });
        let all = present.chain(deleted);
        let new = all.filter(|entry| entry.key.starts_with(prefix) && entry.revision > after);
        let mut events: Vec<Entry> = new.collect();
        events.sort_by_key(|entry| entry.revision);
        let next_expiry = self.leases.values().map(|lease| lease.expires_at).min();
        let next_expiry = next_expiry.unwrap_or_else(|| Instant::now() + MAX_LEASE);
        (events, self.revision, next_expiry)
    }

    fn swap(&mut self, call: Call) -> Result<Reply, Rejected> {
        let Call::Swap {
            key,
            expected,
            value,
            lease,
        } = call
        else {
            return Err(Rejected::Invalid("not a swap".into()));
        };
        let len = value.as_ref().map_or(0, Vec::len);
        if len > MAX_VALUE_LEN {
            return Err(Rejected::Invalid(format!("value of {len} bytes")));
        }
        let revision = self.keys.get(&key).map_or(0, |value| value.revision);
        if revision != expected {
            return Ok(Reply::Swap(false, revision));
        }
        if lease != 0 && !self.leases.contains_key(&lease) {
            return Err(Rejected::Invalid("lease has lapsed".into()));
        }
        let Some(data) = value else {
            self.delete(&key);
            return Ok(Reply::Swap(true, self.revision));
        };
        let revision = self.put(key, Bytes::from(data), lease);
        Ok(Reply::Swap(true, revision))
    }

    /// Writes a key, and returns its revision.
    fn put(&mut self, key: String, data: Bytes, lease: u64) -> u64 {
        self.revision += 1;
        self.deleted.remove(&key);
        let revision = self.revision;
        let value = Value {
            data,
            revision,
            lease,
        };
        self.keys.insert(key, value);
        revision
    }

    fn grant(&mut self, ttl: Duration) -> Reply {
        self.revision += 1;
        let lease = self.revision;
        let expires_at = Instant::now() + ttl;
        self.leases.insert(lease, Lease { ttl, expires_at });
        Reply::Lease(lease)
    }

    fn renew(&mut self, lease: u64) -> Reply {
        let granted = self.leases.get_mut(&lease);
        let alive = granted.is_some();
        if let Some(granted) = granted {
            granted.expires_at = Instant::now() + granted.ttl;
        }
        Reply::Alive(alive)
    }
}
