//! A stand-in for a backend server with configurable limits and faults, which records each run.

mod copies;
mod record;
mod response;

pub use record::{Run, RunEnd, RunLog};
pub use response::pattern;

use baobabstage::sync::lock;
use copies::CopyingStream;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, sleep};

/// What the health and load endpoints report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Report {
    /// The actual state.
    #[default]
    Actual,
    /// The actual state, read again only when the last reported one is at least this old.
    Lag(Duration),
    /// Always healthy and idle.
    Idle,
    /// Always unhealthy.
    Unhealthy,
}

/// A fault of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// None.
    #[default]
    None,
    /// The call never ends.
    Stuck,
    /// The response is delayed by this time, after the work and before the run ends.
    Late(Duration),
    /// Half of the body is sent, then the connection ends.
    Truncated,
    /// The response is that of another call.
    Crossed,
    /// The connection ends after the run, without a response.
    Lost,
    /// Each refusal is written once more before the next response of its connection.
    RefusalCopied,
}

/// The limits, timing and faults of a backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Behaviour {
    /// Minimum time that a call takes.
    pub work: Duration,
    /// Mean of the time added to `work`, exponentially distributed.
    pub spread: Duration,
    /// The seed of the random times, fixed at the start.
    pub seed: u64,
    /// Maximum number of concurrent calls, fixed at the start; zero for no limit.
    pub slots: u32,
    /// Maximum number of calls that wait for a slot; further ones are shed.
    pub queue: u32,
    /// Maximum number of open connections; further ones are closed. Zero for no limit.
    pub connections: u32,
    /// Time before the first call on a new connection is read.
    pub connect_cost: Duration,
    /// Time after the start during which calls take `slow_factor` times as long.
    pub slow_start: Duration,
    /// The factor on the time of a call during `slow_start`; zero counts as one.
    pub slow_factor: u32,
    /// Whether the health endpoint reports that the server drains. Calls are still run.
    pub draining: bool,
    /// What the health and load endpoints report.
    pub report: Report,
    /// Whether responses carry the load in the `x-baobab-load` header.
    pub report_load: bool,
    /// The calls per second that responses state as a limit in the `x-rate-limit` header. Calls above
    /// it are still run.
    pub rate_limit: Option<u32>,
    /// Whether responses state in the `x-leaving` header that the server leaves. Calls are still run.
    pub leaving: bool,
    /// Delay between two chunks of a response body.
    pub chunk_delay: Duration,
    /// The fault of responses.
    pub fault: Fault,
    /// Every n-th response has the fault; zero for all of them.
    pub fault_every: u32,
}

/// A running backend server.
#[derive(Clone)]
pub struct Backend {
    /// The name, which is part of each response.
    pub name: String,
    address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    name: String,
    behaviour: watch::Sender<Behaviour>,
    stopped: watch::Sender<bool>,
    run_log: RunLog,
    slots: Semaphore,
    started: Instant,
    rng: Mutex<StdRng>,
    connections: AtomicU32,
    running: AtomicU32,
    waiting: AtomicU32,
    /// Number of runs whose work began, for [`Behaviour::fault_every`].
    run_count: AtomicU32,
    shed: AtomicU32,
    /// Time and state of the last reading in [`Report::Lag`].
    reported: Mutex<Option<(Instant, response::Load)>>,
    /// Request id of the last call whose work was done, for [`Fault::Crossed`].
    last_id: Mutex<String>,
}

impl Backend {
    /// Starts a backend server on an address; port zero lets the system choose.
    ///
    /// It responds to each call with its name, the request id and the length of the request body. A
    /// call to `/bytes/N`, below any prefix, gets the N bytes of [`pattern`] instead. A call to `/crash`, below
    /// any prefix, ends the server after its work, as [`Backend::stop`] does.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(
        name: &str,
        address: SocketAddr,
        behaviour: Behaviour,
        run_log: RunLog,
    ) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let slots = match behaviour.slots {
            0 => Semaphore::MAX_PERMITS,
            slots => slots as usize,
        };
        let shared = Arc::new(Shared {
            name: name.into(),
            behaviour: watch::Sender::new(behaviour),
            stopped: watch::Sender::new(false),
            run_log,
            slots: Semaphore::new(slots),
            started: Instant::now(),
            rng: Mutex::new(StdRng::seed_from_u64(behaviour.seed)),
            connections: AtomicU32::new(0),
            running: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            run_count: AtomicU32::new(0),
            shed: AtomicU32::new(0),
            reported: Mutex::default(),
            last_id: Mutex::default(),
        });
        tokio::spawn(accept(listener, Arc::clone(&shared)));
        Ok(Backend {
            name: name.into(),
            address,
            shared,
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the current behaviour.
    #[must_use]
    pub fn behaviour(&self) -> Behaviour {
        *self.shared.behaviour.borrow()
    }

    /// Changes the behaviour from now on, except what is fixed at the start.
    pub fn set(&self, behaviour: Behaviour) {
        self.shared.behaviour.send_replace(behaviour);
    }

    /// Stops the server as a kill would: closes the listener and all connections.
    pub fn stop(&self) {
        self.shared.stopped.send_replace(true);
    }

    /// Waits until the server has stopped.
    pub async fn stopped(&self) {
        let mut stopped = self.shared.stopped.subscribe();
        // The sender lives as long as `self`.
        let _ = stopped.wait_for(|stopped| *stopped).await;
    }

    /// Starts the server again each time it has stopped, `delay` later at the same address, for as long as
    /// the returned guard lives.
    #[must_use]
    pub fn supervise(&self, delay: Duration) -> Supervisor {
        let current = Arc::new(Mutex::new(self.clone()));
        let shared = Arc::clone(&current);
        let task = tokio::spawn(async move {
            let mut backend = lock(&shared).clone();
            loop {
                backend.stopped().await;
                sleep(delay).await;
                let run_log = backend.shared.run_log.clone();
                let next =
                    Backend::start(&backend.name, backend.address, backend.behaviour(), run_log);
                // The address may still be in use for a moment.
                if let Ok(next) = next.await {
                    backend = next;
                    *lock(&shared) = backend.clone();
                }
            }
        });
        Supervisor {
            current,
            task: task.abort_handle(),
        }
    }

    /// Returns the number of calls shed since the start.
    #[must_use]
    pub fn shed(&self) -> u32 {
        self.shared.shed.load(Ordering::Relaxed)
    }

    /// Returns the number of calls that are running.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.shared.running.load(Ordering::Relaxed)
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> u32 {
        self.shared.connections.load(Ordering::Relaxed)
    }
}

/// Restarts a backend server until it is dropped.
pub struct Supervisor {
    current: Arc<Mutex<Backend>>,
    task: tokio::task::AbortHandle,
}

impl Supervisor {
    /// Stops the backend server that runs now, as [`Backend::stop`] does.
    pub fn stop(&self) {
        lock(&self.current).stop();
    }
}

impl Drop for Supervisor {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let mut stopped = shared.stopped.subscribe();
    loop {
        let stream = tokio::select! {
            Ok((stream, _)) = listener.accept() => stream,
            _ = stopped.wait_for(|stopped| *stopped) => return,
        };
        let limit = shared.behaviour.borrow().connections;
        if limit > 0 && shared.connections.load(Ordering::Relaxed) >= limit {
            continue;
        }
        shared.connections.fetch_add(1, Ordering::Relaxed);
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let mut stopped = shared.stopped.subscribe();
            tokio::select! {
                () = serve(stream, &shared) => {}
                _ = stopped.wait_for(|stopped| *stopped) => {}
            }
            shared.connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn serve(stream: TcpStream, shared: &Arc<Shared>) {
    let cost = shared.behaviour.borrow().connect_cost;
    if !cost.is_zero() {
        sleep(cost).await;
    }
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| Arc::clone(shared).respond(request));
    let copies = shared.behaviour.borrow().fault == Fault::RefusalCopied;
    let stream = CopyingStream::new(stream, copies);
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // The caller handles a broken connection.
    let _ = connection.await;
}

impl Shared {
    /// Returns the fault of the next response.
    fn fault(&self) -> Fault {
        let behaviour = *self.behaviour.borrow();
        let number = self.run_count.fetch_add(1, Ordering::Relaxed) + 1;
        if behaviour.fault_every == 0 || number.is_multiple_of(behaviour.fault_every) {
            behaviour.fault
        } else {
            Fault::None
        }
    }

    /// Returns a random time for the work of the next call.
    fn work_time(&self) -> Duration {
        let behaviour = *self.behaviour.borrow();
        let mut time = behaviour.work;
        if !behaviour.spread.is_zero() {
            // Zero is excluded because its logarithm is infinite.
            let uniform: f64 = rand::Rng::random_range(&mut *lock(&self.rng), 1e-6..1.0);
            time += behaviour.spread.mul_f64(-uniform.ln());
        }
        if self.started.elapsed() < behaviour.slow_start {
            time *= behaviour.slow_factor.max(1);
        }
        time
    }
}
