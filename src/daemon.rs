//! What the roles of one daemon share.

mod config;
mod drain;
mod socket;

pub use config::ConfigCell;
pub use drain::{Drain, Flight, Phase};
pub use socket::{Socket, Sockets};

use crate::backend::{BackendCell, Stage};
use crate::error::{Category, Error, Result};
use crate::event;
use crate::generated::mesh as wire;
use crate::generated::mesh::MemberState;
use crate::member::Fleet;
use crate::names::Names;
use crate::platform::{Client, ClientSettings, JsonDialect, RateLimitedPlatform};
use crate::settings::{Addresses, Settings};
use crate::site::{Readiness, Reload, Reports, Site, Source};
use crate::store::Store;
use crate::sync::lock;
use arc_swap::ArcSwap;
use std::any::{Any, TypeId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

/// Time for other daemons to learn that this one drains.
const ANNOUNCE_TIME: Duration = Duration::from_millis(500);

/// Time for callers to hear that this daemon stops: it is asked for readiness each second, and two
/// misses count.
const LINGER_TIME: Duration = Duration::from_millis(2_500);

/// The share of the time until the process is killed in which calls in flight may end.
const GRACE_SHARE: f64 = 0.88;

/// The share of that time in which connections may end.
const CLOSE_SHARE: f64 = 0.92;

/// Time for the calls that still wait to be refused before the process cuts calls off: an upstream is
/// asked about each, which may take most of a second on a busy link.
const RECALL_TIME: Duration = Duration::from_millis(900);

/// Time for connections to end once no call is in flight.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Who this process is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The daemon's name, unique in the fleet.
    pub name: String,
    /// Greater for each start of a process of this name.
    pub incarnation: u64,
    /// The failure domain.
    pub domain: String,
    /// The region.
    pub region: String,
}

/// The settings that may change while the process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuned {
    /// Time from the signal to stop after which the process is killed, where that is so.
    pub grace: Option<Duration>,
    /// Retries that all daemons together may make besides a share of the calls, in each window.
    pub retry_extra: u32,
    /// The window of that number.
    pub retry_window: Duration,
}

impl Tuned {
    fn new(settings: &Settings) -> Self {
        Tuned {
            grace: settings.grace,
            retry_extra: settings.retry_extra,
            retry_window: settings.retry_window,
        }
    }
}

/// The state that the roles of one daemon share.
pub struct Daemon {
    /// The checked settings.
    pub settings: Settings,
    /// Who this process is.
    pub identity: Identity,
    /// The bound listeners.
    pub sockets: Sockets,
    /// Header names of callers and backend servers.
    pub names: Names,
    /// Where the configuration comes from.
    pub source: Source,
    /// How the backend server announces itself, if it does.
    pub reports: Option<Reports>,
    /// Where readiness is asked for, besides the admin listener.
    pub readiness: Option<Readiness>,
    /// What is known of the backend server beside this daemon.
    pub backend: BackendCell,
    /// Wakes when the platform answers again after it had not.
    pub platform_back: watch::Receiver<u64>,
    /// The settings that may change while the process runs.
    pub tuned: ArcSwap<Tuned>,
    /// Reads the settings again, where they may change.
    pub reload: Option<Reload>,
    /// The accepted versions in the platform.
    pub store: Store,
    /// The configuration in force.
    pub config: ConfigCell,
    /// The daemons known.
    pub fleet: FleetCell,
    /// Whether the process takes new calls, and how many are in flight.
    pub drain: Drain,
    /// Whether the newest version that can be learned of has been put in force once.
    pub caught_up: AtomicBool,
    /// When calls in flight are cut off, once the process drains.
    ends: OnceLock<Instant>,
    /// The record last announced.
    announced: Mutex<Option<wire::Member>>,
    parts: Mutex<BTreeMap<TypeId, Arc<dyn Any + Send + Sync>>>,
}

impl Daemon {
    /// Binds the listeners and makes the shared state.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Unavailable`] when an address cannot be bound.
    pub fn new(settings: Settings) -> Result<Arc<Self>> {
        let client = ClientSettings {
            address: settings.platform,
            timeout: settings.platform_timeout,
        };
        let client = Client::new(&client, Arc::new(JsonDialect));
        let client = client.map_err(|err| Error::new(Category::Input, err))?;
        Daemon::at(settings, Site::new(Arc::new(client)))
    }

    /// Makes the shared state at a site, which an adapter or a test has described.
    ///
    /// # Errors
    ///
    /// Fails as [`Daemon::new`] does.
    pub fn at(settings: Settings, site: Site) -> Result<Arc<Self>> {
        let mut sockets = Sockets::bind(&settings.listen)?;
        sockets.reports = bind_extra("reports", site.reports.as_ref().map(|r| r.listen))?;
        sockets.ready = bind_extra("ready", site.readiness.as_ref().map(|r| r.listen))?;
        let backend = match (&settings.backend, &site.reports) {
            (Some(backend), Some(_)) => BackendCell::reporting(&backend.service, backend.address),
            (backend, _) => BackendCell::fixed(backend.is_some()),
        };
        let mesh = advertised(&settings, &sockets, sockets.addresses().mesh);
        let name = settings.name.clone().unwrap_or_else(|| default_name(mesh));
        let identity = Identity {
            name,
            incarnation: new_incarnation(),
            domain: settings.domain.clone(),
            region: settings.region.clone(),
        };
        let budget = Arc::new(RateLimitedPlatform::new(
            site.platform,
            settings.platform_timeout,
        ));
        Ok(Arc::new(Daemon {
            identity,
            sockets,
            platform_back: budget.subscribe(),
            store: Store::new(budget),
            names: site.names,
            source: site.source,
            reports: site.reports,
            readiness: site.readiness,
            tuned: ArcSwap::from_pointee(Tuned::new(&settings)),
            reload: site.reload,
            backend,
            ends: OnceLock::new(),
            announced: Mutex::default(),
            config: ConfigCell::default(),
            fleet: FleetCell::default(),
            drain: Drain::default(),
            caught_up: AtomicBool::new(false),
            parts: Mutex::default(),
            settings,
        }))
    }

    /// Takes over what may change while the process runs.
    pub fn tune(&self, settings: &Settings) {
        self.tuned.store(Arc::new(Tuned::new(settings)));
    }

    /// Returns the addresses that were bound.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.sockets.addresses()
    }

    /// Returns the address that others reach a listener of this daemon by.
    #[must_use]
    pub fn advertised(&self, bound: SocketAddr) -> SocketAddr {
        advertised(&self.settings, &self.sockets, bound)
    }

    /// Returns a role's own state, which is made on the first call.
    ///
    /// # Panics
    ///
    /// Does not panic: a part is stored under its own type.
    pub fn part<T: Any + Send + Sync>(&self, make: impl FnOnce() -> T) -> Arc<T> {
        let mut parts = lock(&self.parts);
        let part = parts
            .entry(TypeId::of::<T>())
            .or_insert_with(|| Arc::new(make()));
        let part = Arc::clone(part).downcast();
        part.expect("a part is stored under its own type")
    }

    /// Refuses new calls, lets those in flight end within the drain timeout, and stops.
    pub async fn shut_down(&self) {
        let start = Instant::now();
        let tuned = self.tuned.load();
        let ends = match tuned.grace {
            Some(grace) => {
                self.drain.advance(Phase::Leaving);
                event!(Leaving, in_flight = self.drain.in_flight());
                sleep(LINGER_TIME.min(grace / 2)).await;
                start + grace.mul_f64(GRACE_SHARE)
            }
            None => start + ANNOUNCE_TIME + self.settings.drain_timeout,
        };
        // It is set once: a process is shut down once.
        let _ = self.ends.set(ends);
        self.drain.advance(Phase::Draining);
        event!(Draining, in_flight = self.drain.in_flight());
        if tuned.grace.is_none() {
            sleep(ANNOUNCE_TIME).await;
        }
        let recall = ends.checked_sub(RECALL_TIME).unwrap_or(ends);
        let mut landed = timeout_at(recall, self.drain.landed()).await;
        if landed.is_err() {
            self.drain.advance(Phase::Ending);
            landed = timeout_at(ends, self.drain.landed()).await;
        }
        // Calls that outlast the timeout are cut off.
        if landed.is_err() {
            event!(CallsCutOff, in_flight = self.drain.in_flight());
        }
        self.drain.advance(Phase::Closing);
        // What was written last is still on its way out.
        let closed = match tuned.grace {
            Some(grace) => start + grace.mul_f64(CLOSE_SHARE),
            None => Instant::now() + CLOSE_TIMEOUT,
        };
        let _ = timeout_at(closed, self.drain.closed()).await;
        self.drain.advance(Phase::Stopped);
    }

    /// Returns the time until calls in flight are cut off, once the process drains.
    #[must_use]
    pub fn time_left(&self) -> Option<Duration> {
        let ends = self.ends.get()?;
        Some(ends.saturating_duration_since(Instant::now()))
    }

    /// Describes this daemon as a member, under a greater number whenever something has changed.
    #[must_use]
    pub fn record(&self) -> wire::Member {
        let mut announced = lock(&self.announced);
        let before = announced.as_ref().map_or(0, |record| record.sequence);
        let record = self.member(before);
        if announced.as_ref() == Some(&record) {
            return record;
        }
        let record = self.member(before + 1);
        *announced = Some(record.clone());
        record
    }

    /// Gives the record the next number, though nothing has changed.
    pub fn renumber(&self) {
        if let Some(record) = lock(&self.announced).as_mut() {
            record.sequence += 1;
        }
    }

    fn member(&self, sequence: u64) -> wire::Member {
        let bound = self.addresses();
        let beside = self.backend.load();
        let takes_calls = beside.is_ready() && self.drain.phase() == Phase::Running;
        let known = beside.stage != Stage::Unknown;
        let service = self.settings.backend.as_ref().filter(|_| known);
        let running = service.is_none() && self.drain.phase() == Phase::Running;
        let state = if takes_calls || running {
            MemberState::Ready
        } else {
            MemberState::Draining
        };
        wire::Member {
            name: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            sequence,
            state: state.into(),
            service: service.map_or_else(String::new, |b| b.service.clone()),
            domain: self.identity.domain.clone(),
            region: self.identity.region.clone(),
            inbound: self.advertised(bound.inbound).to_string(),
            mesh: self.advertised(bound.mesh).to_string(),
            slots: beside.slots.unwrap_or(0),
            instance: beside.instance.clone().unwrap_or_default(),
            born_ms: beside.born_ms,
            warm_ms: 0,
            left: beside.stage == Stage::Leaving,
        }
    }
}

fn bind_extra(name: &'static str, address: Option<SocketAddr>) -> Result<Option<Socket>> {
    address
        .map(|address| Socket::bind(name, address))
        .transpose()
}

/// The daemons known, replaced as a whole.
#[derive(Default)]
pub struct FleetCell {
    fleet: ArcSwap<Fleet>,
    changed: watch::Sender<u64>,
}

impl FleetCell {
    /// Returns the daemons known now.
    #[must_use]
    pub fn load(&self) -> Arc<Fleet> {
        self.fleet.load_full()
    }

    /// Replaces the daemons known.
    pub fn replace(&self, fleet: Fleet) {
        let before = self.fleet.swap(Arc::new(fleet));
        log_changes(&before, &self.fleet.load());
        self.changed.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that wakes on each replacement.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}

/// Logs the backend servers that came and went; not those of a daemon that knew none before.
fn log_changes(before: &Fleet, after: &Fleet) {
    if before.members().is_empty() {
        return;
    }
    let differ = |member: &wire::Member, other: &Fleet| {
        let known = other.members().get(&member.name);
        !member.service.is_empty() && known.is_none_or(|k| k.incarnation != member.incarnation)
    };
    for member in before.members().values().filter(|m| differ(m, after)) {
        event!(MemberLeft, member = member.name, service = member.service);
    }
    for member in after.members().values().filter(|m| differ(m, before)) {
        event!(MemberJoined, member = member.name, service = member.service);
    }
}

fn advertised(settings: &Settings, sockets: &Sockets, bound: SocketAddr) -> SocketAddr {
    let addresses = sockets.addresses();
    let special = if bound == addresses.inbound {
        settings.advertise_inbound
    } else if bound == addresses.mesh {
        settings.advertise_mesh
    } else {
        None
    };
    if let Some(address) = special {
        return address;
    }
    SocketAddr::new(settings.advertise.unwrap_or(bound.ip()), bound.port())
}

/// Makes a name from an address; colons are not allowed in names.
fn default_name(mesh: SocketAddr) -> String {
    let text = mesh.to_string();
    let allowed = |c: char| {
        if c.is_ascii_alphanumeric() || c == '.' {
            c
        } else {
            '-'
        }
    };
    text.trim_start_matches('[').chars().map(allowed).collect()
}

/// Returns the microseconds since the Unix epoch, greater at each start of a process.
fn new_incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(1, |age| u64::try_from(age.as_micros()).unwrap_or(u64::MAX))
}
