//! The state of the backend server beside this daemon, from its own reports.

mod leaves;

pub use leaves::{Leaves, MAX_LEAVES};

use crate::event;
use crate::site::Leave;
use crate::sync::lock;
use crate::unix_time::unix_ms;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// The state that a backend server reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedState {
    /// It takes new calls.
    Ready,
    /// It takes no new calls and is about to stop.
    Draining,
}

/// A report of a backend server about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The instance name; usually, but not always, new at each start of the backend server.
    pub instance: String,
    /// When it started, in milliseconds since the Unix epoch; zero when not stated.
    pub born_ms: u64,
    /// The number of the report, which increases with each report after one start.
    pub sequence: u64,
    /// Whether it takes new calls.
    pub state: ReportedState,
    /// The service that it belongs to.
    pub service: String,
    /// The failure domain that it is in.
    pub domain: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The number of calls that it runs concurrently.
    pub slots: u32,
    /// The version of the program, any text; empty when not stated.
    pub version: String,
    /// The remaining time of its slow start; zero when it is at full speed.
    pub slow_start: Duration,
}

/// The stage of a backend server's life cycle, as this daemon sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// There is none, no report has been confirmed since this daemon started, or another instance
    /// has responded.
    Unknown,
    /// It takes calls.
    Ready,
    /// It takes no new calls.
    Leaving,
}

/// Tests whether a start time, in milliseconds since the Unix epoch, is further in the future than a step of the clock
/// explains, so that no backend server has stated it.
#[must_use]
pub fn is_future(born_ms: u64) -> bool {
    born_ms > unix_ms().saturating_add(MAX_CLOCK_STEP_MS)
}

/// A snapshot of the backend server's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// The stage of its life cycle; calls are sent to it only when `Ready`.
    pub stage: Stage,
    /// The instance name; absent until the backend server has reported.
    pub instance: Option<String>,
    /// When it started, in milliseconds since the Unix epoch; zero when not stated.
    pub born_ms: u64,
    /// The number of its newest report; zero before the first one.
    pub sequence: u64,
    /// The number of calls that it runs concurrently, if reported.
    pub slots: Option<u32>,
    /// The version of the program, any text; empty when not reported.
    pub version: String,
    /// The end of its slow start.
    pub slow_until: Option<Instant>,
}

impl Backend {
    fn new(stage: Stage) -> Self {
        Backend {
            stage,
            instance: None,
            born_ms: 0,
            sequence: 0,
            slots: None,
            version: String::new(),
            slow_until: None,
        }
    }

    /// Tests whether calls may be sent to it.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.stage == Stage::Ready
    }
}

/// The outcome of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// It was applied as the backend server's newest state.
    New,
    /// It is older than the known state and was ignored.
    Old,
    /// It is not of this daemon's backend server and was ignored: it names another service, failure domain or
    /// address, or a start in the future.
    Foreign,
    /// It was recorded, but no calls are sent until a later report or a health check confirms it.
    Unproven,
}

/// The sources from which a daemon has received, since its start, the leaves that its earlier processes acknowledged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Recalled {
    /// None.
    #[default]
    Nothing,
    /// The platform, which has those that it could store in time.
    Stored,
    /// The platform and a peer, if there are peers, which have all.
    All,
}

/// Longest time for which a report may be on its way. One that arrives later after the start of this daemon was sent
/// after it, and so after each leave that an earlier process has acknowledged.
pub const REPORT_DELAY: Duration = Duration::from_secs(10);

/// Longest slow start that a report may state; a longer one is cut.
const MAX_SLOW_START: Duration = Duration::from_hours(1);

/// Greatest step back of the clock after a backend server has stated its start, in milliseconds.
const MAX_CLOCK_STEP_MS: u64 = 5 * 60 * 1_000;

/// The current state of the backend server beside this daemon, with change notification.
pub struct BackendCell {
    /// What a report of the backend server states; absent if it does not report.
    expected: Option<Expected>,
    /// When this daemon started.
    started: Instant,
    state: Mutex<State>,
    /// The instances known to leave.
    leaves: watch::Sender<Leaves>,
    /// The sources of the leaves that earlier processes of this daemon have acknowledged.
    recalled: watch::Sender<Recalled>,
    current: watch::Sender<Arc<Backend>>,
}

/// What the reports of a backend server have in common.
struct Expected {
    service: String,
    domain: String,
    address: SocketAddr,
}

impl Expected {
    fn matches(&self, report: &Report) -> bool {
        let Expected {
            service,
            domain,
            address,
        } = self;
        (service, domain, address) == (&report.service, &report.domain, &report.address)
    }
}

#[derive(Default)]
struct State {
    /// Whether the first report since the start of this daemon has been confirmed.
    confirmed: bool,
}

impl BackendCell {
    /// Creates a cell for a backend server that does not report; if present, it counts as ready.
    #[must_use]
    pub fn fixed(present: bool) -> Self {
        let stage = if present {
            Stage::Ready
        } else {
            Stage::Unknown
        };
        BackendCell::new(None, stage)
    }

    /// Creates a cell for a backend server of a service and failure domain that reports; it is unknown until then.
    #[must_use]
    pub fn reporting(service: &str, domain: &str, address: SocketAddr) -> Self {
        let expected = Expected {
            service: service.to_owned(),
            domain: domain.to_owned(),
            address,
        };
        BackendCell::new(Some(expected), Stage::Unknown)
    }

    fn new(expected: Option<Expected>, stage: Stage) -> Self {
        BackendCell {
            expected,
            started: Instant::now(),
            state: Mutex::default(),
            leaves: watch::Sender::default(),
            recalled: watch::Sender::default(),
            current: watch::Sender::new(Arc::new(Backend::new(stage))),
        }
    }

    /// Returns the current state.
    #[must_use]
    pub fn load(&self) -> Arc<Backend> {
        Arc::clone(&self.current.borrow())
    }

    /// Returns a receiver that is notified on each update.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<Backend>> {
        self.current.subscribe()
    }

    /// Applies a report.
    ///
    /// The first report since the start of this daemon may be an old one that arrived late, so it counts only when
    /// `healthy` (a health check names the same instance) or when a later report of the same instance follows. That
    /// one may be from before the instance left as well: it counts once all leaves are recalled, or from
    /// [`REPORT_DELAY`] on.
    pub fn report(&self, now: Instant, report: &Report, healthy: bool) -> ReportOutcome {
        let is_own = self
            .expected
            .as_ref()
            .is_some_and(|expected| expected.matches(report));
        if !is_own || is_future(report.born_ms) {
            return ReportOutcome::Foreign;
        }
        let mut locked = lock(&self.state);
        let known = self.load();
        let same = known.instance.as_deref() == Some(&report.instance);
        let same = same && known.born_ms == report.born_ms;
        if report.state == ReportedState::Draining {
            // Never taken back, so it holds whatever the order of the reports.
            self.insert_leave(&report.instance, report.born_ms);
        }
        if !same && known.instance.is_some() && report.born_ms <= known.born_ms {
            return ReportOutcome::Old;
        }
        let is_news = report.state == ReportedState::Draining && known.stage != Stage::Leaving;
        if same && report.sequence <= known.sequence && !is_news {
            return ReportOutcome::Old;
        }
        let has_left = self
            .leaves
            .borrow()
            .contains(&report.instance, report.born_ms);
        let repeated = same && known.sequence > 0;
        let has_not_left = *self.recalled.borrow() == Recalled::All
            || now.saturating_duration_since(self.started) > REPORT_DELAY;
        locked.confirmed = locked.confirmed || healthy || repeated && has_not_left;
        let stage = match (has_left, locked.confirmed) {
            (true, _) => Stage::Leaving,
            (false, true) => Stage::Ready,
            (false, false) => Stage::Unknown,
        };
        self.publish(Backend {
            stage,
            instance: Some(report.instance.clone()),
            born_ms: report.born_ms,
            sequence: report.sequence.max(if same { known.sequence } else { 0 }),
            slots: Some(report.slots),
            version: report.version.clone(),
            slow_until: (!report.slow_start.is_zero())
                .then(|| now + report.slow_start.min(MAX_SLOW_START)),
        });
        if stage == Stage::Unknown {
            ReportOutcome::Unproven
        } else {
            ReportOutcome::New
        }
    }

    /// Applies a backend server's notice that it leaves, received at `received_ms` (milliseconds since the Unix
    /// epoch).
    ///
    /// Returns whether the stage becomes [`Stage::Leaving`]: the notice concerns the known instance
    /// or a later start, or no instance is known yet.
    pub fn leave(&self, leave: &Leave, received_ms: u64) -> bool {
        let _state = lock(&self.state);
        let known = self.load();
        let same = known.instance.as_ref() == Some(&leave.instance);
        let later = leave.born_ms.is_some_and(|born| born > known.born_ms);
        let earlier = leave.born_ms.is_some_and(|born| born < known.born_ms);
        if same && earlier {
            return false;
        }
        // A notice without a start time is about the start that is known, or the last one before it arrived.
        let last_start = if same { known.born_ms } else { received_ms };
        let born_ms = leave.born_ms.unwrap_or(last_start);
        self.insert_leave(&leave.instance, born_ms);
        if same || known.instance.is_none() || later {
            let mut next = (*known).clone();
            next.stage = Stage::Leaving;
            next.instance = Some(leave.instance.clone());
            next.born_ms = born_ms;
            self.publish(next);
            return true;
        }
        false
    }

    /// Restores leaves that an earlier process of this daemon has acknowledged.
    pub fn restore_leaves(&self, leaves: &Leaves) {
        let _state = lock(&self.state);
        let is_new = self.leaves.send_if_modified(|known| known.merge(leaves));
        if !is_new {
            return;
        }
        event!(
            BackendRecalled,
            instances = format_args!("{:?}", leaves.to_wire())
        );
        let known = self.load();
        let instance = known.instance.as_deref().unwrap_or_default();
        if leaves.contains(instance, known.born_ms) && known.stage != Stage::Leaving {
            let mut next = (*known).clone();
            next.stage = Stage::Leaving;
            self.publish(next);
        }
    }

    /// Returns a receiver of the instances known to leave.
    #[must_use]
    pub fn leaves(&self) -> watch::Receiver<Leaves> {
        self.leaves.subscribe()
    }

    /// Records from which sources the leaves of earlier processes have been received.
    pub fn set_recalled(&self, recalled: Recalled) {
        self.recalled.send_replace(recalled);
    }

    /// Waits until the leaves that earlier processes have stored in the platform are received.
    pub async fn wait_recalled(&self) {
        let mut recalled = self.recalled.subscribe();
        // The sender lives as long as `self`.
        let _ = recalled.wait_for(|by| *by >= Recalled::Stored).await;
    }

    /// Returns the time since this daemon started.
    #[must_use]
    pub fn age(&self) -> Duration {
        self.started.elapsed()
    }

    /// Records that an instance leaves, so that a later report of it does not make it ready again.
    fn insert_leave(&self, instance: &str, born_ms: u64) {
        self.leaves
            .send_if_modified(|known| known.insert(instance, born_ms));
    }

    /// Stops calls until a report is confirmed, since another instance than `instance` has responded. That one may
    /// never have been at this address, so that it does not make reports of others old.
    pub fn note_mismatch(&self, instance: &str) {
        let mut state = lock(&self.state);
        let known = self.load();
        if known.instance.as_deref() == Some(instance) && known.stage == Stage::Ready {
            state.confirmed = false;
            self.publish(Backend::new(Stage::Unknown));
        }
    }

    /// Replaces the state, and logs a change of stage or instance.
    fn publish(&self, next: Backend) {
        let before = self.current.send_replace(Arc::new(next));
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
