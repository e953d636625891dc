//! What the roles of one daemon share.

mod config;
mod drain;
mod socket;

pub use config::ConfigCell;
pub use drain::{Drain, Flight, Phase};
pub use socket::{Socket, Sockets};

use crate::error::{Category, Error, Result};
use crate::event;
use crate::generated::mesh as wire;
use crate::member::Fleet;
use crate::platform::{Budget, Client, ClientSettings, Platform};
use crate::settings::{Addresses, Settings};
use crate::store::Store;
use crate::sync::lock;
use arc_swap::ArcSwap;
use std::any::{Any, TypeId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::watch;

/// Time for other daemons to learn that this one drains.
const ANNOUNCE_TIME: Duration = Duration::from_millis(500);

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

/// The state that the roles of one daemon share.
pub struct Daemon {
    /// The checked settings.
    pub settings: Settings,
    /// Who this process is.
    pub identity: Identity,
    /// The bound listeners.
    pub sockets: Sockets,
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
    parts: Mutex<BTreeMap<TypeId, Arc<dyn Any + Send + Sync>>>,
}

impl Daemon {
    /// Binds the listeners and makes the shared state.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Unavailable`] when an address cannot be bound.
    pub fn new(settings: Settings) -> Result<Arc<Self>> {
        let client = Client::new(&ClientSettings {
            address: settings.platform.to_string(),
            timeout: settings.platform_timeout,
        });
        let client = client.map_err(|err| Error::new(Category::Input, err))?;
        Daemon::with_platform(settings, Arc::new(client))
    }

    /// Makes the shared state over another platform, such as a fake in a test.
    ///
    /// # Errors
    ///
    /// Fails as [`Daemon::new`] does.
    pub fn with_platform(settings: Settings, platform: Arc<dyn Platform>) -> Result<Arc<Self>> {
        let sockets = Sockets::bind(&settings.listen)?;
        let mesh = advertised(&settings, &sockets, sockets.addresses().mesh);
        let name = settings.name.clone().unwrap_or_else(|| default_name(mesh));
        let identity = Identity {
            name,
            incarnation: new_incarnation(),
            domain: settings.domain.clone(),
            region: settings.region.clone(),
        };
        Ok(Arc::new(Daemon {
            identity,
            sockets,
            store: Store::new(Arc::new(Budget::new(platform, settings.platform_timeout))),
            config: ConfigCell::default(),
            fleet: FleetCell::default(),
            drain: Drain::default(),
            caught_up: AtomicBool::new(false),
            parts: Mutex::default(),
            settings,
        }))
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
        self.drain.advance(Phase::Draining);
        event!(Draining, in_flight = self.drain.in_flight());
        tokio::time::sleep(ANNOUNCE_TIME).await;
        // Calls that outlast the timeout are cut off.
        let _ = tokio::time::timeout(self.settings.drain_timeout, self.drain.landed()).await;
        self.drain.advance(Phase::Closing);
        // What was written last is still on its way out.
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, self.drain.closed()).await;
        self.drain.advance(Phase::Stopped);
    }

    /// Describes this daemon as a member.
    #[must_use]
    pub fn member(&self, sequence: u64, state: wire::MemberState) -> wire::Member {
        let bound = self.addresses();
        let backend = self.settings.backend.as_ref();
        wire::Member {
            name: self.identity.name.clone(),
            incarnation: self.identity.incarnation,
            sequence,
            state: state.into(),
            service: backend.map_or_else(String::new, |b| b.service.clone()),
            domain: self.identity.domain.clone(),
            region: self.identity.region.clone(),
            inbound: self.advertised(bound.inbound).to_string(),
            mesh: self.advertised(bound.mesh).to_string(),
            slots: 0,
        }
    }
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
