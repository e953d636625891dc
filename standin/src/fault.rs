//! A TCP proxy that injects faults between two processes.

use baobabstage::sync::lock;
use rand::Rng;
use rand::rngs::StdRng;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};

/// Maximum length of a chunk, in bytes; faults apply per chunk.
const CHUNK_LEN: usize = 4 * 1024;

/// Maximum number of chunks queued in one direction of a connection.
const MAX_QUEUED_CHUNKS: usize = 256;

/// How the proxy handles a new connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Accept {
    /// Forwards it to the target.
    #[default]
    Forward,
    /// Accepts it and never sends anything.
    Silent,
    /// Resets it at once.
    Reset,
}

/// The directions in which bytes are forwarded; in the others they wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Pass {
    /// Both directions.
    #[default]
    Both,
    /// From the client to the target only.
    Up,
    /// From the target to the client only.
    Down,
    /// Neither direction.
    Neither,
}

/// How a connection ends in the middle of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Break {
    /// With a reset.
    Reset,
    /// With an orderly close, as if the message were complete.
    Close,
}

/// The faults that a proxy injects; none by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// How new connections are handled.
    pub accept: Accept,
    /// The directions in which bytes are forwarded.
    pub pass: Pass,
    /// Delay of each chunk.
    pub delay: Duration,
    /// Maximum random time added to `delay`.
    pub jitter: Duration,
    /// Bytes per second in each direction of a connection; zero for no limit.
    pub rate: u32,
    /// Stalls every n-th connection while the others proceed; zero for none.
    pub stall_every: u32,
    /// Ends a connection after this number of bytes from the target.
    pub break_after: Option<(u64, Break)>,
}

impl Faults {
    /// Chooses one kind of fault at random; the same generator state gives the same fault.
    #[must_use]
    pub fn random(rng: &mut StdRng) -> Self {
        let mut faults = Faults::default();
        let bytes = rng.random_range(1..20_000);
        match rng.random_range(0..9) {
            0 => faults.accept = Accept::Silent,
            1 => faults.accept = Accept::Reset,
            2 => faults.pass = Pass::Up,
            3 => faults.pass = Pass::Down,
            4 => faults.pass = Pass::Neither,
            5 => faults.stall_every = 2,
            6 => faults.break_after = Some((bytes, Break::Reset)),
            7 => faults.break_after = Some((bytes, Break::Close)),
            _ => {
                faults.delay = Duration::from_millis(rng.random_range(1..200));
                faults.jitter = Duration::from_millis(rng.random_range(0..200));
                faults.rate = rng.random_range(20_000..2_000_000);
            }
        }
        faults
    }

    /// Returns whether bytes of the connection with this number pass in a direction.
    fn allows(&self, direction: Direction, number: u32) -> bool {
        if self.stall_every > 0 && number.is_multiple_of(self.stall_every) {
            return false;
        }
        match (self.pass, direction) {
            (Pass::Both, _) | (Pass::Up, Direction::Up) | (Pass::Down, Direction::Down) => true,
            (Pass::Up | Pass::Down | Pass::Neither, _) => false,
        }
    }
}

#[derive(Clone, Copy)]
enum Direction {
    /// From the client to the target.
    Up,
    /// From the target to the client.
    Down,
}

/// A handle that controls a running proxy.
#[derive(Clone)]
pub struct Control {
    faults: watch::Sender<Faults>,
    target: watch::Sender<SocketAddr>,
    /// Each change resets all open connections.
    resets: watch::Sender<u32>,
    /// The connections that have not gone silent yet.
    flows: Arc<Mutex<Vec<Arc<Flow>>>>,
}

/// The state of one connection through the proxy.
struct Flow {
    /// The number of the connection, counted from 1.
    number: u32,
    /// When bytes were last forwarded.
    used: Mutex<Instant>,
    /// Whether no more bytes are forwarded, although the connection stays open.
    silent: AtomicBool,
}

impl Flow {
    /// Never returns once the connection has gone silent.
    async fn wait_unless_silent(&self) {
        if self.silent.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    }
}

impl Control {
    /// Sets the faults of new and open connections; `accept` affects new ones only.
    pub fn set(&self, faults: Faults) {
        self.faults.send_replace(faults);
    }

    /// Removes every fault. Bytes that waited are forwarded.
    pub fn clear_faults(&self) {
        self.set(Faults::default());
    }

    /// Resets every open connection; new ones are not affected.
    pub fn reset_connections(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    /// Makes the open connections that have been idle for `min_idle` go silent for good: they neither
    /// forward bytes nor end. New connections are not affected.
    pub fn silence_connections(&self, min_idle: Duration) {
        let mut flows = lock(&self.flows);
        flows.retain(|flow| {
            let is_silent = lock(&flow.used).elapsed() >= min_idle;
            flow.silent.store(is_silent, Ordering::Relaxed);
            !is_silent
        });
    }

    /// Changes the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(target);
    }

    async fn wait_for_reset(&self) {
        let mut resets = self.resets.subscribe();
        // The sender lives as long as `self`.
        let _ = resets.changed().await;
    }

    /// Waits until bytes of a connection may pass in this direction.
    async fn wait_to_pass(&self, direction: Direction, flow: &Flow) {
        let mut faults = self.faults.subscribe();
        let _ = faults
            .wait_for(|faults| faults.allows(direction, flow.number))
            .await;
        flow.wait_unless_silent().await;
        *lock(&flow.used) = Instant::now();
    }
}

/// A TCP proxy that injects faults.
pub struct FaultProxy;

impl FaultProxy {
    /// Starts a proxy without faults and returns its address.
    ///
    /// # Errors
    ///
    /// Fails when no address can be bound.
    pub async fn start(target: SocketAddr) -> anyhow::Result<(SocketAddr, Control)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let control = Control {
            faults: watch::Sender::default(),
            target: watch::Sender::new(target),
            resets: watch::Sender::default(),
            flows: Arc::default(),
        };
        tokio::spawn(accept(listener, control.clone()));
        Ok((address, control))
    }
}

async fn accept(listener: TcpListener, control: Control) {
    let mut number = 0;
    while let Ok((stream, _)) = listener.accept().await {
        number += 1;
        let control = control.clone();
        tokio::spawn(async move {
            // The client sees a failed connection to the target as a close.
            let _ = connect(stream, number, &control).await;
        });
    }
}

/// Handles a connection; `number` counts connections from 1.
async fn connect(client: TcpStream, number: u32, control: &Control) -> std::io::Result<()> {
    let accept = control.faults.borrow().accept;
    match accept {
        Accept::Forward => {}
        Accept::Reset => return client.set_zero_linger(),
        Accept::Silent => {
            control.wait_for_reset().await;
            return Ok(());
        }
    }
    let target = *control.target.borrow();
    let server = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let flow = Arc::new(Flow {
        number,
        used: Mutex::new(Instant::now()),
        silent: AtomicBool::new(false),
    });
    lock(&control.flows).push(Arc::clone(&flow));
    let up = forward(from_client, to_server, Direction::Up, &flow, control);
    let down = forward(from_server, to_client, Direction::Down, &flow, control);
    // An error in one direction ends both.
    let result = tokio::try_join!(up, down).map(|_| ());
    lock(&control.flows).retain(|open| open.number != number);
    result
}

/// Forwards bytes in one direction until the sender ends or the connection has to break.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    flow: &Flow,
    control: &Control,
) -> std::io::Result<()> {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let result = {
        let both = async {
            let write = write(&mut to, receiver, direction, flow, control);
            tokio::try_join!(read(&mut from, sender, control), write)
        };
        tokio::select! {
            result = both => result.map(|_| ()),
            () = control.wait_for_reset() => Err(Break::Reset),
        }
    };
    match result {
        Ok(()) => Ok(()),
        Err(how) => end_connection(to, how).await,
    }
}

impl From<std::io::Error> for Break {
    fn from(_: std::io::Error) -> Self {
        Break::Reset
    }
}

/// Reads chunks and queues each with the time when it is due.
async fn read(
    from: &mut OwnedReadHalf,
    chunks: mpsc::Sender<(Instant, Vec<u8>)>,
    control: &Control,
) -> Result<(), Break> {
    let mut due = Instant::now();
    loop {
        let mut chunk = vec![0; CHUNK_LEN];
        let len = from.read(&mut chunk).await?;
        chunk.truncate(len);
        let faults = *control.faults.borrow();
        let jitter = rand::rng().random_range(0.0..=1.0);
        // Chunks are never reordered.
        due = due.max(Instant::now() + faults.delay + faults.jitter.mul_f64(jitter));
        if len == 0 || chunks.send((due, chunk)).await.is_err() {
            return Ok(());
        }
    }
}

/// Writes chunks when they are due, until the last one or until the connection has to break.
async fn write(
    to: &mut OwnedWriteHalf,
    mut chunks: mpsc::Receiver<(Instant, Vec<u8>)>,
    direction: Direction,
    flow: &Flow,
    control: &Control,
) -> Result<(), Break> {
    let mut sent: u64 = 0;
    while let Some((due, mut chunk)) = chunks.recv().await {
        sleep_until(due).await;
        control.wait_to_pass(direction, flow).await;
        let faults = *control.faults.borrow();
        if faults.rate > 0 {
            let len = u32::try_from(chunk.len()).unwrap_or(u32::MAX);
            sleep(Duration::from_secs(1) * len / faults.rate).await;
        }
        if let (Direction::Down, Some((limit, how))) = (direction, faults.break_after) {
            let remaining = usize::try_from(limit.saturating_sub(sent)).unwrap_or(usize::MAX);
            if remaining < chunk.len() {
                chunk.truncate(remaining);
                to.write_all(&chunk).await?;
                return Err(how);
            }
        }
        to.write_all(&chunk).await?;
        sent += chunk.len() as u64;
    }
    flow.wait_unless_silent().await;
    to.shutdown().await?;
    Ok(())
}

/// Ends a connection in the given manner. The returned error ends its other direction too.
async fn end_connection(mut to: OwnedWriteHalf, how: Break) -> std::io::Result<()> {
    match how {
        Break::Reset => {
            to.as_ref().set_zero_linger()?;
            // Dropping the half would shut it down in order instead of resetting it.
            to.forget();
        }
        Break::Close => to.shutdown().await?,
    }
    Err(std::io::ErrorKind::ConnectionReset.into())
}
