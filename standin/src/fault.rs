//! A TCP proxy that brings faults between two processes.

use rand::Rng;
use rand::rngs::StdRng;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};

const CHUNK_LEN: usize = 4 * 1024;
const CHUNKS_HELD: usize = 256;

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Accept {
    /// It is passed on.
    #[default]
    Forward,
    /// It is taken and nothing ever comes.
    Silent,
    /// It is reset at once.
    Reset,
}

/// The directions in which bytes pass; in the others they wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Pass {
    /// Both ways.
    #[default]
    Both,
    /// From the client to the target only.
    Up,
    /// From the target to the client only.
    Down,
    /// Neither way.
    Neither,
}

/// How a connection ends in mid-message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Break {
    /// With a reset.
    Reset,
    /// As if the message were whole.
    Close,
}

/// The faults that a proxy brings now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// What becomes of new connections.
    pub accept: Accept,
    /// The directions in which bytes pass.
    pub pass: Pass,
    /// Time added to each chunk.
    pub delay: Duration,
    /// Greatest time added at random to `delay`.
    pub jitter: Duration,
    /// Bytes a second in each direction of a connection; zero for no bound.
    pub rate: u32,
    /// One in so many connections waits while the others pass; zero for none.
    pub hold_every: u32,
    /// Ends a connection after so many bytes from the target.
    pub break_after: Option<(u64, Break)>,
}

impl Faults {
    /// Chooses a fault by seed.
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
            5 => faults.hold_every = 2,
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

    fn passes(&self, way: Way, number: u32) -> bool {
        if self.hold_every > 0 && number.is_multiple_of(self.hold_every) {
            return false;
        }
        match (self.pass, way) {
            (Pass::Both, _) | (Pass::Up, Way::Up) | (Pass::Down, Way::Down) => true,
            (Pass::Up | Pass::Down | Pass::Neither, _) => false,
        }
    }
}

#[derive(Clone, Copy)]
enum Way {
    Up,
    Down,
}

/// Controls a running proxy.
#[derive(Clone)]
pub struct Control {
    faults: watch::Sender<Faults>,
    target: watch::Sender<SocketAddr>,
    cuts: watch::Sender<u32>,
}

impl Control {
    /// Sets the faults from now on.
    pub fn set(&self, faults: Faults) {
        self.faults.send_replace(faults);
    }

    /// Ends every fault. Bytes that waited pass on.
    pub fn heal(&self) {
        self.set(Faults::default());
    }

    /// Resets every open connection.
    pub fn cut(&self) {
        self.cuts.send_modify(|count| *count += 1);
    }

    /// Sends new connections to another target.
    pub fn aim(&self, target: SocketAddr) {
        self.target.send_replace(target);
    }

    async fn cut_happens(&self) {
        let mut cuts = self.cuts.subscribe();
        // The sender lives as long as `self`.
        let _ = cuts.changed().await;
    }

    /// Waits until bytes may pass.
    async fn passes(&self, way: Way, number: u32) {
        let mut faults = self.faults.subscribe();
        let _ = faults.wait_for(|now| now.passes(way, number)).await;
    }
}

/// A TCP proxy that brings faults.
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
            cuts: watch::Sender::default(),
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
            // A connection that cannot be made is closed.
            let _ = connect(stream, number, &control).await;
        });
    }
}

async fn connect(client: TcpStream, number: u32, control: &Control) -> std::io::Result<()> {
    let accept = control.faults.borrow().accept;
    match accept {
        Accept::Forward => {}
        Accept::Reset => return client.set_zero_linger(),
        Accept::Silent => {
            control.cut_happens().await;
            return Ok(());
        }
    }
    let target = *control.target.borrow();
    let server = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let up = pump(from_client, to_server, Way::Up, number, control);
    let down = pump(from_server, to_client, Way::Down, number, control);
    // The break of one direction ends both.
    tokio::try_join!(up, down).map(|_| ())
}

/// Passes bytes on in one direction until the sender has ended.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    way: Way,
    number: u32,
    control: &Control,
) -> std::io::Result<()> {
    let (sender, receiver) = mpsc::channel(CHUNKS_HELD);
    let ended = {
        let both = async {
            let write = write(&mut to, receiver, way, number, control);
            tokio::try_join!(read(&mut from, sender, control), write)
        };
        tokio::select! {
            ended = both => ended.map(|_| ()),
            () = control.cut_happens() => Err(Break::Reset),
        }
    };
    match ended {
        Ok(()) => Ok(()),
        Err(how) => break_off(to, how).await,
    }
}

impl From<std::io::Error> for Break {
    fn from(_: std::io::Error) -> Self {
        Break::Reset
    }
}

/// Reads chunks and says when each is due.
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
        // A later chunk never goes before an earlier one.
        due = due.max(Instant::now() + faults.delay + faults.jitter.mul_f64(jitter));
        if len == 0 || chunks.send((due, chunk)).await.is_err() {
            return Ok(());
        }
    }
}

/// Writes chunks until the last one, or until the connection has to break.
async fn write(
    to: &mut OwnedWriteHalf,
    mut chunks: mpsc::Receiver<(Instant, Vec<u8>)>,
    way: Way,
    number: u32,
    control: &Control,
) -> Result<(), Break> {
    let mut sent: u64 = 0;
    while let Some((due, mut chunk)) = chunks.recv().await {
        sleep_until(due).await;
        control.passes(way, number).await;
        let faults = *control.faults.borrow();
        if faults.rate > 0 {
            let len = u32::try_from(chunk.len()).unwrap_or(u32::MAX);
            sleep(Duration::from_secs(1) * len / faults.rate).await;
        }
        if let (Way::Down, Some((bound, how))) = (way, faults.break_after) {
            let left = usize::try_from(bound.saturating_sub(sent)).unwrap_or(usize::MAX);
            if left < chunk.len() {
                chunk.truncate(left);
                to.write_all(&chunk).await?;
                return Err(how);
            }
        }
        to.write_all(&chunk).await?;
        sent += chunk.len() as u64;
    }
    to.shutdown().await?;
    Ok(())
}

/// Ends a connection; the error ends its other direction too.
async fn break_off(mut to: OwnedWriteHalf, how: Break) -> std::io::Result<()> {
    match how {
        Break::Reset => {
            to.as_ref().set_zero_linger()?;
            // Dropping it would end the message politely.
            to.forget();
        }
        Break::Close => to.shutdown().await?,
    }
    Err(std::io::ErrorKind::ConnectionReset.into())
}
