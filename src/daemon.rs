//! The state that the roles of one daemon share.

mod config;
mod contact;
mod drain;
mod removals;
mod socket;

pub use config::ConfigCell;
pub use contact::{ContactCell, member_watch_time, renewal_time, watch_time};
pub use drain::{Drain, InFlightGuard, Phase};
pub use socket::{Socket, Sockets};

use crate::backend::{BackendCell, Stage};
use crate::error::{Category, Error, Result};
use crate::event;
use crate::generated::mesh as wire;
use crate::generated::mesh::MemberState;
use crate::header_names::HeaderNames;
use crate::member::Fleet;
use crate::platform::{Client, ClientSettings, JsonDialect, RateLimitedPlatform};
use crate::rollout::RolloutCell;
use crate::settings::{Addresses, Settings};
use crate::site::{Readiness, Reload, Reports, Rollouts, Site, Source};
use crate::store::Store;
use crate::sync::lock;
use arc_swap::ArcSwap;
use std::any::{Any, TypeId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

/// Time for the announcement that this daemon drains to reach the other daemons.
const ANNOUNCE_TIME: Duration = Duration::from_millis(500);

/// Time for callers to notice that this daemon stops: its readiness is polled each second, and two
/// failed checks in a row count.
const LINGER_TIME: Duration = Duration::from_millis(2_500);

/// The fraction of the grace time after which calls in flight are cut off. With 0.92, and 0.96 for
/// [`CLOSE_SHARE`], two processes a day were still running at the end of the grace time.
const GRACE_SHARE: f64 = 0.88;

/// The fraction of the grace time after which connections are no longer waited for.
const CLOSE_SHARE: f64 = 0.92;

/// Time before the cut-off in which calls that still wait are refused: an upstream is asked about
/// each of them, which may take most of a second on a busy link.
const REFUSE_TIME: Duration = Duration::from_millis(900);

/// Time for connections to close once the calls in flight have ended, where no grace time is set.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Part of the apply limit for which the response to a watch may be late before its connection counts as dead.
const WATCH_MARGIN_SHARE: u32 = 5;

/// The identity of this process in the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The daemon's name, unique in the fleet.
    pub name: String,
    /// The start time of the process, in microseconds since the Unix epoch; greater at each start
    /// under this name.
    pub incarnation: u64,
    /// The failure domain, from the settings.
    pub domain: String,
    /// The region of the failure domain, from the settings.
    pub region: String,
}

/// The settings that can be reloaded while the process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RuntimeLimits {
    /// Time from the stop signal until the platform kills the process, if it does.
    pub grace: Option<Duration>,
    /// Retries that all daemons together may make in each window, in addition to the retry
    /// percentage of each service's policy. Zero disables these retries.
    pub retry_extra: u32,
    /// The length of the window of `retry_extra`.
    pub retry_window: Duration,
    /// Time without contact after which calls with an API key are refused; `None` to serve them.
    pub contact_limit: Option<Duration>,
    /// Time within which an accepted version must be in force, also where connections have failed
    /// right before.
    pub apply_limit: Duration,
}

impl RuntimeLimits {
    fn new(settings: &Settings) -> Self {
        RuntimeLimits {
            grace: settings.grace,
            retry_extra: settings.retry_extra,
            retry_window: settings.retry_window,
            contact_limit: settings.fail_closed.then_some(settings.revoke_time),
            apply_limit: settings.apply_time.max(settings.reconnect_time),
        }
    }
}

/// The state that the roles of one daemon share; one value for each process.
pub struct Daemon {
    /// The validated settings, as read at start.
    pub settings: Settings,
    /// The identity of this process in the fleet.
    pub identity: Identity,
    /// The bound listeners.
    pub sockets: Sockets,
    /// Header names of callers and backend servers.
    pub names: HeaderNames,
    /// The source of the configuration.
    pub source: Source,
    /// How the backend server reports its state, if it does.
    pub reports: Option<Reports>,
    /// The endpoint for readiness checks, in addition to the admin listener.
    pub readiness: Option<Readiness>,
    /// The state of the backend server beside this daemon.
    pub backend: BackendCell,
    /// Notifies when the platform responds again after an outage.
    pub platform_recovered: watch::Receiver<u64>,
    /// The settings that can be reloaded while the process runs.
    pub limits: ArcSwap<RuntimeLimits>,
    /// Reads the reloadable settings, if they can change.
    pub reload: Option<Reload>,
    /// How rollouts are ordered, if they are.
    pub ordered_rollouts: Option<Rollouts>,
    /// The known rollouts.
    pub rollouts: RolloutCell,
    /// The accepted versions, as stored in the platform.
    pub store: Store,
    /// The configuration in force.
    pub config: ConfigCell,
    /// When the configuration in force was last known to be the newest.
    pub contact: ContactCell,
    /// The known daemons.
    pub fleet: FleetCell,
    /// The shutdown phase, with counters of calls in flight and connections.
    pub drain: Drain,
    /// Whether the newest version known to the platform or to peers has been applied once; the
    /// daemon is not ready before.
    pub caught_up: AtomicBool,
    /// Whether the platform has not answered this daemon for some time.
    pub platform_lost: AtomicBool,
    /// Whether this daemon reads the configuration from the platform while the platform does not answer others
    /// of the failure domain.
    pub platform_answers: AtomicBool,
    /// When calls in flight are cut off; set once the process shuts down.
    cutoff: OnceLock<Instant>,
    /// The member record last announced.
    announced: Mutex<Option<wire::Member>>,
    /// The state of each component, by its type.
    components: Mutex<BTreeMap<TypeId, Arc<dyn Any + Send + Sync>>>,
}

impl Daemon {
    /// Binds the listeners and creates the shared state, with the platform's default interface.
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
        Daemon::with_site(settings, Site::new(Arc::new(client)))
    }

    /// Creates the shared state with a site that an adapter or a test describes.
    ///
    /// # Errors
    ///
    /// Fails as [`Daemon::new`] does.
    pub fn with_site(settings: Settings, site: Site) -> Result<Arc<Self>> {
        let mut sockets = Sockets::bind(&settings.listen)?;
        sockets.reports = bind_extra("reports", site.reports.as_ref().map(|r| r.listen))?;
        sockets.ready = bind_extra("ready", site.readiness.as_ref().map(|r| r.listen))?;
        let backend = match (&settings.backend, &site.reports) {
            (Some(backend), Some(_)) => {
                BackendCell::reporting(&backend.service, &settings.domain, backend.address)
            }
            (backend, _) => BackendCell::fixed(backend.is_some()),
        };
        let mesh = advertised_address(&settings, &sockets, sockets.addresses().mesh);
        let name = settings.name.clone().unwrap_or_else(|| default_name(mesh));
        let identity = Identity {
            name,
            incarnation: new_incarnation(),
            domain: settings.domain.clone(),
            region: settings.region.clone(),
        };
        let limits = RuntimeLimits::new(&settings);
        let platform = RateLimitedPlatform::new(site.platform, settings.platform_timeout);
        let platform =
            Arc::new(platform.with_watch_margin(limits.apply_limit / WATCH_MARGIN_SHARE));
        Ok(Arc::new(Daemon {
            identity,
            sockets,
            platform_recovered: platform.subscribe(),
            store: Store::new(platform),
            names: site.names,
            source: site.source,
            reports: site.reports,
            readiness: site.readiness,
            limits: ArcSwap::from_pointee(limits),
            reload: site.reload,
            ordered_rollouts: site.rollouts,
            rollouts: RolloutCell::default(),
            backend,
            cutoff: OnceLock::new(),
            announced: Mutex::default(),
            config: ConfigCell::default(),
            contact: ContactCell::default(),
            fleet: FleetCell::default(),
            drain: Drain::default(),
            caught_up: AtomicBool::new(false),
            platform_lost: AtomicBool::new(false),
            platform_answers: AtomicBool::new(false),
            components: Mutex::default(),
            settings,
        }))
    }

    /// Applies the settings that can be reloaded; the others are ignored.
    pub fn update_limits(&self, settings: &Settings) {
        self.limits.store(Arc::new(RuntimeLimits::new(settings)));
    }

    /// Returns the bound addresses of the listeners.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.sockets.addresses()
    }

    /// Returns the address under which other daemons reach a listener with this bound address.
    #[must_use]
    pub fn advertised_address(&self, bound: SocketAddr) -> SocketAddr {
        advertised_address(&self.settings, &self.sockets, bound)
    }

    /// Returns the state of a component, which the first call creates.
    ///
    /// # Panics
    ///
    /// Never panics: each component is stored under its own type.
    pub fn component<T: Any + Send + Sync>(&self, create: impl FnOnce() -> T) -> Arc<T> {
        let mut components = lock(&self.components);
        let component = components
            .entry(TypeId::of::<T>())
            .or_insert_with(|| Arc::new(create()));
        let component = Arc::clone(component).downcast();
        component.expect("a component is stored under its own type")
    }

    /// Shuts down gracefully: refuses new calls, waits for those in flight within the grace time or
    /// the drain timeout, and stops.
    pub async fn shut_down(&self) {
        let start = Instant::now();
        let limits = self.limits.load();
        let cutoff = start
            + match limits.grace {
                Some(grace) => grace.mul_f64(GRACE_SHARE),
                None => ANNOUNCE_TIME + self.settings.drain_timeout,
            };
        // Set before the first call of the shutdown, each of which is accepted only if it will end by then.
        // Setting fails only if it was set before; a process is shut down once.
        let _ = self.cutoff.set(cutoff);
        if let Some(grace) = limits.grace {
            self.drain.advance(Phase::Leaving);
            event!(Leaving, in_flight = self.drain.in_flight());
            sleep(LINGER_TIME.min(grace / 2)).await;
        }
        self.drain.advance(Phase::Draining);
        event!(Draining, in_flight = self.drain.in_flight());
        if limits.grace.is_none() {
            sleep(ANNOUNCE_TIME).await;
        }
        let refuse_at = cutoff.checked_sub(REFUSE_TIME).unwrap_or(cutoff);
        let mut calls_ended = timeout_at(refuse_at, self.drain.calls_ended()).await;
        if calls_ended.is_err() {
            self.drain.advance(Phase::Ending);
            calls_ended = timeout_at(cutoff, self.drain.calls_ended()).await;
        }
        // Calls still in flight at the cut-off are ended without a response.
        if calls_ended.is_err() {
            event!(CallsCutOff, in_flight = self.drain.in_flight());
        }
        self.drain.advance(Phase::Closing);
        // The last responses may not have been sent completely yet.
        let closed_by = match limits.grace {
            Some(grace) => start + grace.mul_f64(CLOSE_SHARE),
            None => Instant::now() + CLOSE_TIMEOUT,
        };
        let _ = timeout_at(closed_by, self.drain.connections_closed()).await;
        self.drain.advance(Phase::Stopped);
    }

    /// Returns the time until calls in flight are cut off; `None` before the process shuts down.
    #[must_use]
    pub fn time_left(&self) -> Option<Duration> {
        let cutoff = self.cutoff.get()?;
        Some(cutoff.saturating_duration_since(Instant::now()))
    }

    /// Returns this daemon's member record, with a higher sequence whenever it has changed.
    #[must_use]
    pub fn record(&self) -> wire::Member {
        let mut announced = lock(&self.announced);
        let sequence = announced.as_ref().map_or(0, |record| record.sequence);
        let record = self.member(sequence);
        if announced.as_ref() == Some(&record) {
            return record;
        }
        let record = self.member(sequence + 1);
        *announced = Some(record.clone());
        record
    }

    /// Increments the sequence of the announced record without a change, to renew it at peers.
    pub fn increment_sequence(&self) {
        if let Some(record) = lock(&self.announced).as_mut() {
            record.sequence += 1;
        }
    }

    fn member(&self, sequence: u64) -> wire::Member {
        let bound = self.addresses();
        let backend = self.backend.load();
        let takes_calls = backend.is_ready() && self.drain.phase() == Phase::Running;
        let known = backend.stage != Stage::Unknown;
        let service = self.settings.backend.as_ref().filter(|_| known);
        // Without a known backend server, the daemon counts as ready while it runs.
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
            inbound: self.advertised_address(bound.inbound).to_string(),
            mesh: self.advertised_address(bound.mesh).to_string(),
            slots: backend.slots.unwrap_or(0),
            instance: backend.instance.clone().unwrap_or_default(),
            born_ms: backend.born_ms,
            warm_ms: 0,
            link_mbps: self.settings.link_mbps,
            platform_lost: self.platform_lost.load(Ordering::Relaxed),
            platform_answers: self.platform_answers.load(Ordering::Relaxed),
            left: backend.stage == Stage::Leaving,
            version: backend.version.clone(),
        }
    }
}

fn bind_extra(name: &'static str, address: Option<SocketAddr>) -> Result<Option<Socket>> {
    address
        .map(|address| Socket::bind(name, address))
        .transpose()
}

/// The known daemons, replaced atomically as a whole.
#[derive(Default)]
pub struct FleetCell {
    fleet: ArcSwap<Fleet>,
    changed: watch::Sender<u64>,
}

impl FleetCell {
    /// Returns the current fleet.
    #[must_use]
    pub fn load(&self) -> Arc<Fleet> {
        self.fleet.load_full()
    }

    /// Replaces the fleet, and logs the backend servers that joined or left.
    pub fn replace(&self, fleet: Fleet) {
        let previous = self.fleet.swap(Arc::new(fleet));
        log_changes(&previous, &self.fleet.load());
        self.changed.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is notified of each replacement.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }
}

/// Logs the backend servers that joined and left, unless no daemon was known before.
fn log_changes(before: &Fleet, after: &Fleet) {
    if before.members().is_empty() {
        return;
    }
    let differ = |member: &wire::Member, other: &Fleet| {
        let known = other.members().get(&member.name);
        let is_same = |known: &Arc<wire::Member>| {
            known.incarnation == member.incarnation && known.service == member.service
        };
        !member.service.is_empty() && !known.is_some_and(is_same)
    };
    for member in before.members().values().filter(|m| differ(m, after)) {
        event!(MemberLeft, member = member.name, service = member.service);
    }
    for member in after.members().values().filter(|m| differ(m, before)) {
        event!(MemberJoined, member = member.name, service = member.service);
    }
}

fn advertised_address(settings: &Settings, sockets: &Sockets, bound: SocketAddr) -> SocketAddr {
    let addresses = sockets.addresses();
    let advertised = if bound == addresses.inbound {
        settings.advertise_inbound
    } else if bound == addresses.mesh {
        settings.advertise_mesh
    } else {
        None
    };
    if let Some(address) = advertised {
        return address;
    }
    SocketAddr::new(settings.advertise.unwrap_or(bound.ip()), bound.port())
}

/// Derives a name from an address, replacing colons and other characters not allowed in names.
fn default_name(mesh: SocketAddr) -> String {
    let text = mesh.to_string();
    let replace = |c: char| {
        if c.is_ascii_alphanumeric() || c == '.' {
            c
        } else {
            '-'
        }
    };
    text.trim_start_matches('[').chars().map(replace).collect()
}

/// Returns the microseconds since the Unix epoch, so that a later start has a greater incarnation.
fn new_incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(1, |age| u64::try_from(age.as_micros()).unwrap_or(u64::MAX))
}
