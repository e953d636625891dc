//! A stand-in for a backend server, with its limits, its faults and a record of each run.

mod answer;
mod ledger;

pub use answer::pattern;
pub use ledger::{Ending, Ledger, Run};

use baobabstage::sync::lock;
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

/// What the health and load endpoints tell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Report {
    /// The truth.
    #[default]
    Truth,
    /// What was true up to this long ago.
    Lag(Duration),
    /// Healthy and idle, always.
    Idle,
    /// Not healthy, always.
    Sick,
}

/// A fault of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// None.
    #[default]
    None,
    /// The call never ends.
    Stuck,
    /// The answer comes this much later.
    Late(Duration),
    /// Half of the answer is sent, then the connection ends.
    Truncated,
    /// The answer is that of another call.
    Crossed,
    /// The connection ends after the run, without an answer.
    Lost,
}

/// How a backend server behaves.
#[derive(Clone, Copy, Debug, Default)]
pub struct Behaviour {
    /// Least time that a call takes.
    pub work: Duration,
    /// Mean of the time added to `work`, exponentially distributed.
    pub spread: Duration,
    /// The seed of the times.
    pub seed: u64,
    /// Calls run at once, fixed at the start; zero for no bound.
    pub slots: u32,
    /// Calls that wait for a slot; further ones are shed.
    pub queue: u32,
    /// Connections taken at once; further ones are closed. Zero for no bound.
    pub connections: u32,
    /// Time to open a connection.
    pub connect_cost: Duration,
    /// Time after the start in which calls take `cold_factor` times as long.
    pub cold: Duration,
    /// How many times as long.
    pub cold_factor: u32,
    /// Whether the health endpoint asks for no new calls. Calls that come are run all the same.
    pub draining: bool,
    /// What the health and load endpoints tell.
    pub report: Report,
    /// Whether answers carry the load.
    pub tell_load: bool,
    /// Time between two chunks of a streamed answer.
    pub pace: Duration,
    /// The fault of answers.
    pub fault: Fault,
    /// One in so many answers has the fault; zero for each.
    pub fault_every: u32,
}

/// A running backend server.
#[derive(Clone)]
pub struct Backend {
    /// The name that it answers with.
    pub name: String,
    address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    name: String,
    behaviour: watch::Sender<Behaviour>,
    stopped: watch::Sender<bool>,
    ledger: Ledger,
    slots: Semaphore,
    started: Instant,
    rng: Mutex<StdRng>,
    connections: AtomicU32,
    running: AtomicU32,
    waiting: AtomicU32,
    answered: AtomicU32,
    shed: AtomicU32,
    reported: Mutex<Option<(Instant, answer::Load)>>,
    last_id: Mutex<String>,
}

impl Backend {
    /// Starts a backend server on an address; port zero lets the system choose.
    ///
    /// It answers each call with its name, the request id and the body's length, and a call to
    /// `/bytes/N`, below any prefix, with N bytes.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(
        name: &str,
        address: SocketAddr,
        behaviour: Behaviour,
        ledger: Ledger,
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
            ledger,
            slots: Semaphore::new(slots),
            started: Instant::now(),
            rng: Mutex::new(StdRng::seed_from_u64(behaviour.seed)),
            connections: AtomicU32::new(0),
            running: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            answered: AtomicU32::new(0),
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

    /// Returns how it behaves now.
    #[must_use]
    pub fn behaviour(&self) -> Behaviour {
        *self.shared.behaviour.borrow()
    }

    /// Changes how it behaves from now on.
    pub fn set(&self, behaviour: Behaviour) {
        self.shared.behaviour.send_replace(behaviour);
    }

    /// Stops it as a kill would: the listener and all connections are closed.
    pub fn stop(&self) {
        self.shared.stopped.send_replace(true);
    }

    /// Returns the number of calls shed.
    #[must_use]
    pub fn shed(&self) -> u32 {
        self.shared.shed.load(Ordering::Relaxed)
    }

    /// Returns the number of calls that run now.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.shared.running.load(Ordering::Relaxed)
    }

    /// Returns the number of connections open now.
    #[must_use]
    pub fn connections(&self) -> u32 {
        self.shared.connections.load(Ordering::Relaxed)
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let mut stopped = shared.stopped.subscribe();
    loop {
        let stream = tokio::select! {
            Ok((stream, _)) = listener.accept() => stream,
            _ = stopped.wait_for(|stopped| *stopped) => return,
        };
        let bound = shared.behaviour.borrow().connections;
        if bound > 0 && shared.connections.load(Ordering::Relaxed) >= bound {
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
    let service = service_fn(|request| Arc::clone(shared).answer(request));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // A broken connection is the other side's to notice.
    let _ = connection.await;
}

impl Shared {
    /// Returns the fault of the answer at hand.
    fn fault(&self) -> Fault {
        let behaviour = *self.behaviour.borrow();
        let turn = self.answered.fetch_add(1, Ordering::Relaxed) + 1;
        if behaviour.fault_every == 0 || turn.is_multiple_of(behaviour.fault_every) {
            behaviour.fault
        } else {
            Fault::None
        }
    }

    /// Returns the time that the next call takes.
    fn work_time(&self) -> Duration {
        let behaviour = *self.behaviour.borrow();
        let mut time = behaviour.work;
        if !behaviour.spread.is_zero() {
            let share: f64 = rand::Rng::random_range(&mut *lock(&self.rng), 1e-6..1.0);
            time += behaviour.spread.mul_f64(-share.ln());
        }
        if self.started.elapsed() < behaviour.cold {
            time *= behaviour.cold_factor.max(1);
        }
        time
    }
}
