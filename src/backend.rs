//! What is known of the backend server beside this daemon.

use crate::event;
use crate::site::Leave;
use crate::sync::lock;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Whether a backend server that reports takes new calls, by its own word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// It takes new calls.
    Ready,
    /// It takes no new calls and ends soon.
    Draining,
}

/// What a backend server says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The instance: one start of a backend server, mostly under a new name.
    pub instance: String,
    /// When it started, in milliseconds since the Unix epoch; zero when it does not say.
    pub born_ms: u64,
    /// Counts up with each report of an instance.
    pub sequence: u64,
    /// Whether it takes new calls.
    pub word: Word,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Time for which it stays slow after its start.
    pub warm: Duration,
}

/// How far the backend server is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Nothing is known of it since this daemon started, or not enough to send it calls.
    Unknown,
    /// It takes calls.
    Ready,
    /// It takes no new calls.
    Leaving,
}

/// The backend server as known at one time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// How far it is in its life.
    pub stage: Stage,
    /// The instance; absent when the backend server does not report.
    pub instance: Option<String>,
    /// When it started, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// The number of its newest report.
    pub sequence: u64,
    /// Calls that it runs at once, if it says so.
    pub slots: Option<u32>,
    /// Until when it is slow.
    pub cold_until: Option<Instant>,
}

impl Backend {
    fn new(stage: Stage) -> Self {
        Backend {
            stage,
            instance: None,
            born_ms: 0,
            sequence: 0,
            slots: None,
            cold_until: None,
        }
    }

    /// Tests whether calls may be sent to it.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.stage == Stage::Ready
    }
}

/// What became of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It is the newest word of the backend server.
    New,
    /// It is older than what is known, and changes nothing.
    Old,
    /// It is about another backend server than the one beside this daemon.
    Foreign,
    /// Its instance is not trusted until it reports again or its health confirms it.
    Unproven,
}

/// The newest knowledge of the backend server beside this daemon.
pub struct BackendCell {
    service: Option<String>,
    address: Option<SocketAddr>,
    /// Whether the first report since the start of this daemon has been confirmed.
    state: Mutex<State>,
    now: watch::Sender<Arc<Backend>>,
}

#[derive(Default)]
struct State {
    proven: bool,
    /// Instances that were said to leave, newest last, with the time of their start.
    left: Vec<(String, u64)>,
}

/// Instances remembered as leaving.
const MAX_LEFT: usize = 16;

impl BackendCell {
    /// Makes a cell for a backend server that does not report: it is ready from the start.
    #[must_use]
    pub fn fixed(present: bool) -> Self {
        let stage = if present {
            Stage::Ready
        } else {
            Stage::Unknown
        };
        BackendCell {
            service: None,
            address: None,
            state: Mutex::default(),
            now: watch::Sender::new(Arc::new(Backend::new(stage))),
        }
    }

    /// Makes a cell for a backend server that reports.
    #[must_use]
    pub fn reporting(service: &str, address: SocketAddr) -> Self {
        BackendCell {
            service: Some(service.to_owned()),
            address: Some(address),
            state: Mutex::default(),
            now: watch::Sender::new(Arc::new(Backend::new(Stage::Unknown))),
        }
    }

    /// Returns what is known now.
    #[must_use]
    pub fn load(&self) -> Arc<Backend> {
        Arc::clone(&self.now.borrow())
    }

    /// Returns a receiver that wakes on each change of stage or instance.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<Backend>> {
        self.now.subscribe()
    }

    /// Takes in a report. The first one since the start of this daemon is `proven` only when the
    /// backend server's health names the same instance, or when a later report follows.
    pub fn report(&self, now: Instant, report: &Report, healthy: bool) -> Taken {
        if self.service.as_ref() != Some(&report.service) || self.address != Some(report.address) {
            return Taken::Foreign;
        }
        let mut memory = lock(&self.state);
        let known = self.load();
        let same = known.instance.as_deref() == Some(&report.instance);
        let same = same && known.born_ms == report.born_ms;
        if !same && known.instance.is_some() && report.born_ms <= known.born_ms {
            return Taken::Old;
        }
        if same && report.sequence <= known.sequence {
            return Taken::Old;
        }
        let left = |(id, born): &(String, u64)| *id == report.instance && *born >= report.born_ms;
        let leaving = report.word == Word::Draining || memory.left.iter().any(left);
        let again = same && known.sequence > 0;
        memory.proven = memory.proven || healthy || again;
        let stage = match (leaving, memory.proven) {
            (true, _) => Stage::Leaving,
            (false, true) => Stage::Ready,
            (false, false) => Stage::Unknown,
        };
        if leaving {
            memory.leave(&report.instance, report.born_ms);
        }
        self.put(Backend {
            stage,
            instance: Some(report.instance.clone()),
            born_ms: report.born_ms,
            sequence: report.sequence,
            slots: Some(report.slots),
            cold_until: (!report.warm.is_zero()).then(|| now + report.warm),
        });
        if stage == Stage::Unknown {
            Taken::Unproven
        } else {
            Taken::New
        }
    }

    /// Takes in a backend server's word that it leaves; true when it is the one known.
    pub fn leave(&self, leave: &Leave) -> bool {
        let mut state = lock(&self.state);
        let known = self.load();
        let same = known.instance.as_ref() == Some(&leave.instance);
        let later = leave.born_ms.is_some_and(|born| born > known.born_ms);
        let earlier = leave.born_ms.is_some_and(|born| born < known.born_ms);
        if same && earlier {
            return false;
        }
        state.leave(&leave.instance, leave.born_ms.unwrap_or(known.born_ms));
        if same || known.instance.is_none() || later {
            let mut next = (*known).clone();
            next.stage = Stage::Leaving;
            next.instance = Some(leave.instance.clone());
            next.born_ms = leave.born_ms.unwrap_or(known.born_ms);
            self.put(next);
            return true;
        }
        false
    }

    /// Takes in what an earlier process of this daemon had recorded.
    pub fn recall(&self, instance: &str, born_ms: u64) {
        let mut state = lock(&self.state);
        state.leave(instance, born_ms);
        let known = self.load();
        if known.instance.as_deref() == Some(instance) && known.born_ms <= born_ms {
            let mut next = (*known).clone();
            next.stage = Stage::Leaving;
            self.put(next);
        }
    }

    /// Notes that another instance than the one known answers at the address.
    pub fn mismatch(&self, instance: &str) {
        let _state = lock(&self.state);
        let known = self.load();
        if known.instance.as_deref() == Some(instance) && known.stage == Stage::Ready {
            let mut next = (*known).clone();
            next.stage = Stage::Unknown;
            self.put(next);
        }
    }

    fn put(&self, next: Backend) {
        let before = self.now.send_replace(Arc::new(next));
        let after = self.load();
        if before.stage != after.stage || before.instance != after.instance {
            event!(
                BackendStage,
                stage = format_args!("{:?}", after.stage),
                before = format_args!("{:?}", before.stage),
                instance = after.instance.as_deref().unwrap_or("-"),
                sequence = after.sequence,
                born_ms = after.born_ms,
            );
        }
    }
}

impl State {
    fn leave(&mut self, instance: &str, born_ms: u64) {
        let known = self
            .left
            .iter()
            .any(|(id, born)| id == instance && *born >= born_ms);
        if known {
            return;
        }
        if self.left.len() == MAX_LEFT {
            self.left.remove(0);
        }
        self.left.push((instance.to_owned(), born_ms));
    }
}
