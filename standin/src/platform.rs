//! A stand-in for the platform's key-value service, with its limits and faults.

use baobabstage::generated::platform as wire;
use baobabstage::generated::platform::key_value_server::{KeyValue, KeyValueServer};
use baobabstage::platform::MAX_VALUE_LEN;
use baobabstage::sync::lock;
use bytes::Bytes;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};

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
        let listener = tokio::net::TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let mut state = State::default();
        state.reads.rate = limits.reads;
        state.writes.rate = limits.writes;
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            changed: watch::Sender::default(),
            faults: watch::Sender::default(),
        });
        let service = KeyValueServer::new(Service {
            shared: Arc::clone(&shared),
        })
        .max_decoding_message_size(4 * MAX_VALUE_LEN);
        let server = tonic::transport::Server::builder()
            .add_service(service)
            .serve_with_incoming(TcpIncoming::from(listener).with_nodelay(Some(true)));
        tokio::spawn(server);
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
        self.shared.lock().keys.remove(key);
    }
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        let mut state = lock(&self.state);
        state.expire();
        state
    }

    async fn read(&self, count: fn(&mut Calls)) -> Result<(), Status> {
        self.hold().await;
        let mut state = self.lock();
        if !state.reads.take() {
            state.calls.refused += 1;
            return Err(Status::resource_exhausted("too many reads"));
        }
        count(&mut state.calls);
        Ok(())
    }

    async fn write(&self, count: fn(&mut Calls)) -> Result<(), Status> {
        self.hold().await;
        let mut state = self.lock();
        if !state.writes.take() {
            state.calls.refused += 1;
            return Err(Status::resource_exhausted("too many writes"));
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
    fn lose_answer(&self) -> Result<(), Status> {
        let every = self.faults.borrow().lose_every;
        let mut state = self.lock();
        state.written += 1;
        if every > 0 && state.written.is_multiple_of(every) {
            return Err(Status::unavailable("connection lost"));
        }
        Ok(())
    }
}

impl State {
    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, lease| lease.ends > now);
        let leases = &self.leases;
        self.keys
            .retain(|_, value| value.lease == 0 || leases.contains_key(&value.lease));
    }

    fn entry(&self, key: &str, with_value: bool) -> Option<wire::Entry> {
        let value = self.keys.get(key)?;
        Some(wire::Entry {
            key: key.into(),
            value: if with_value {
                value.data.clone()
            } else {
                Bytes::new()
            },
            revision: value.revision,
        })
    }

    /// Returns a key's entry and when its lease lapses.
    fn watched(&self, key: &str) -> (Option<wire::Entry>, Instant) {
        let lease = self.keys.get(key).and_then(|value| {
            let lease = self.leases.get(&value.lease)?;
            Some(lease.ends)
        });
        let lapses = lease.unwrap_or_else(|| Instant::now() + MAX_LEASE);
        (self.entry(key, true), lapses)
    }

    fn swap(&mut self, request: wire::SwapRequest) -> Result<wire::SwapResponse, Status> {
        let revision = self
            .keys
            .get(&request.key)
            .map_or(0, |value| value.revision);
        if revision != request.expected {
            return Ok(wire::SwapResponse {
                swapped: false,
                revision,
            });
        }
        if request.lease != 0 && !self.leases.contains_key(&request.lease) {
            return Err(Status::invalid_argument("lease has lapsed"));
        }
        self.revision += 1;
        match request.value {
            Some(data) => {
                let value = Value {
                    data,
                    revision: self.revision,
                    lease: request.lease,
                };
                self.keys.insert(request.key, value);
            }
            None => {
                self.keys.remove(&request.key);
            }
        }
        Ok(wire::SwapResponse {
            swapped: true,
            revision: self.revision,
        })
    }
}

struct Service {
    shared: Arc<Shared>,
}

#[tonic::async_trait]
impl KeyValue for Service {
    async fn get(
        &self,
        request: Request<wire::GetRequest>,
    ) -> Result<Response<wire::GetResponse>, Status> {
        self.shared.read(|calls| calls.gets += 1).await?;
        let entry = self.shared.lock().entry(&request.get_ref().key, true);
        Ok(Response::new(wire::GetResponse { entry }))
    }

    async fn list(
        &self,
        request: Request<wire::ListRequest>,
    ) -> Result<Response<wire::ListResponse>, Status> {
        self.shared.read(|calls| calls.lists += 1).await?;
        let request = request.into_inner();
        let limit = match request.limit {
            0 => usize::MAX,
            limit => limit as usize,
        };
        let state = self.shared.lock();
        let entries = state
            .keys
            .range(request.prefix.clone()..)
            .take_while(|(key, _)| key.starts_with(&request.prefix))
            .take(limit)
            .filter_map(|(key, _)| state.entry(key, !request.keys_only))
            .collect();
        Ok(Response::new(wire::ListResponse { entries }))
    }

    async fn swap(
        &self,
        request: Request<wire::SwapRequest>,
    ) -> Result<Response<wire::SwapResponse>, Status> {
        self.shared.write(|calls| calls.swaps += 1).await?;
        let request = request.into_inner();
        let len = request.value.as_ref().map_or(0, Bytes::len);
        if len > MAX_VALUE_LEN {
            return Err(Status::invalid_argument(format!("value of {len} bytes")));
        }
        if let Some(after) = self.shared.lateness() {
            let shared = Arc::clone(&self.shared);
            tokio::spawn(async move {
                sleep(after).await;
                // Its caller has gone.
                let _ = shared.lock().swap(request);
                shared.changed.send_modify(|count| *count += 1);
            });
            return Err(Status::unavailable("connection lost"));
        }
        let answer = self.shared.lock().swap(request)?;
        self.shared.changed.send_modify(|count| *count += 1);
        self.shared.lose_answer()?;
        Ok(Response::new(answer))
    }

    async fn watch(
        &self,
        request: Request<wire::WatchRequest>,
    ) -> Result<Response<wire::GetResponse>, Status> {
        self.shared.read(|calls| calls.watches += 1).await?;
        let request = request.into_inner();
        let mut changed = self.shared.changed.subscribe();
        let timeout = Duration::from_millis(u64::from(request.timeout_ms));
        let ends = Instant::now() + timeout;
        loop {
            changed.mark_unchanged();
            let (entry, lapses) = self.shared.lock().watched(&request.key);
            let revision = entry.as_ref().map_or(0, |entry| entry.revision);
            if revision != request.seen || Instant::now() >= ends {
                self.shared.hold().await;
                return Ok(Response::new(wire::GetResponse { entry }));
            }
            tokio::select! {
                _ = changed.changed() => {}
                () = tokio::time::sleep_until(ends.min(lapses)) => {}
            }
        }
    }

    async fn grant(
        &self,
        request: Request<wire::GrantRequest>,
    ) -> Result<Response<wire::LeaseResponse>, Status> {
        self.shared.write(|calls| calls.leases += 1).await?;
        let ttl = Duration::from_millis(u64::from(request.get_ref().ttl_ms));
        let mut state = self.shared.lock();
        state.revision += 1;
        let lease = state.revision;
        let ends = Instant::now() + ttl;
        state.leases.insert(lease, Lease { ttl, ends });
        drop(state);
        self.shared.lose_answer()?;
        Ok(Response::new(wire::LeaseResponse { lease, alive: true }))
    }

    async fn renew(
        &self,
        request: Request<wire::LeaseRequest>,
    ) -> Result<Response<wire::LeaseResponse>, Status> {
        self.shared.write(|calls| calls.leases += 1).await?;
        let lease = request.get_ref().lease;
        let mut state = self.shared.lock();
        let alive = match state.leases.get_mut(&lease) {
            Some(held) => {
                held.ends = Instant::now() + held.ttl;
                true
            }
            None => false,
        };
        Ok(Response::new(wire::LeaseResponse { lease, alive }))
    }

    async fn revoke(
        &self,
        request: Request<wire::LeaseRequest>,
    ) -> Result<Response<wire::LeaseResponse>, Status> {
        self.shared.write(|calls| calls.leases += 1).await?;
        let lease = request.get_ref().lease;
        let alive = self.shared.lock().leases.remove(&lease).is_some();
        self.shared.changed.send_modify(|count| *count += 1);
        Ok(Response::new(wire::LeaseResponse { lease, alive }))
    }
}
