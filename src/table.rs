//! A snapshot compiled for routing calls.

use crate::check;
use crate::error::{Category, Error, Result};
use crate::resource::{Kind, Policy, Pool, ResourceKey, Route, Service, Spec};
use crate::snapshot::{Snapshot, Stamp};
use slotmap::{SlotMap, new_key_type};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh32::xxh32;

new_key_type! {
    /// A service in a [`Table`].
    pub struct ServiceId;
}

/// A service with what its resource refers to.
#[derive(Clone, Debug)]
pub struct ServiceEntry {
    /// The service's name, under which backend servers announce themselves.
    pub name: String,
    /// The sizes of its backend servers.
    pub pool: Pool,
    /// Its limits, request kinds and budgets.
    pub policy: Policy,
}

/// A route with the service that it leads to.
#[derive(Clone, Debug)]
pub struct RouteEntry {
    /// The route's name.
    pub name: String,
    /// What the route matches.
    spec: Arc<Spec>,
    /// The services that share the calls, by weight.
    pub parts: Vec<(ServiceId, u32)>,
    /// Time for a whole call.
    pub timeout: Duration,
    /// Time within which an answer is worth most, if it matters.
    pub objective: Option<Duration>,
    /// The weight of the request kind; greater is kept longer under overload.
    pub weight: u32,
    /// The route's name as a number: calls of one route take similar times.
    pub class: u32,
}

impl RouteEntry {
    /// Returns what the route matches.
    ///
    /// # Panics
    ///
    /// Does not panic: an entry is made of a route alone.
    #[must_use]
    pub fn route(&self) -> &Route {
        match self.spec.as_ref() {
            Spec::Route(route) => route,
            _ => unreachable!("an entry is made of a route"),
        }
    }

    /// Returns the service that takes a call, given a number in 0 to 1 that is spread evenly.
    #[must_use]
    pub fn service(&self, place: f64) -> ServiceId {
        let total: u32 = self.parts.iter().map(|(_, weight)| weight).sum();
        let mut left = place * f64::from(total);
        let mut parts = self.parts.iter().filter(|(_, weight)| *weight > 0);
        let found = parts.find(|(_, weight)| {
            left -= f64::from(*weight);
            left < 0.0
        });
        found.unwrap_or(&self.parts[0]).0
    }
}

/// A snapshot compiled for routing calls. It is never changed.
#[derive(Debug, Default)]
pub struct Table {
    snapshot: Arc<Snapshot>,
    services: SlotMap<ServiceId, ServiceEntry>,
    names: BTreeMap<String, ServiceId>,
    /// Ordered so that of those in one place the first match is the most specific one.
    routes: Vec<RouteEntry>,
    /// The routes of each host, or of any, by prefix.
    places: BTreeMap<Option<String>, BTreeMap<String, Vec<usize>>>,
}

impl Table {
    /// Checks and compiles a snapshot.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Input`] when the snapshot is not valid; nothing of it is used then.
    pub fn compile(snapshot: Arc<Snapshot>) -> Result<Self> {
        check::snapshot(&snapshot)?;
        let mut table = Table::default();
        for (key, res) in snapshot.resources() {
            if let Spec::Service(service) = res.spec.as_ref() {
                table.add_service(&snapshot, key, service)?;
            }
        }
        for (key, res) in snapshot.resources() {
            if let Spec::Route(route) = res.spec.as_ref() {
                table.add_route(key, &res.spec, route)?;
            }
        }
        // Those without methods come after those with some that match the same paths; all are in
        // the order of their names otherwise.
        table
            .routes
            .sort_by_key(|entry| entry.route().methods.is_empty());
        for (index, entry) in table.routes.iter().enumerate() {
            let Route { host, prefix, .. } = entry.route();
            let places = table.places.entry(host.clone()).or_default();
            places.entry(prefix.clone()).or_default().push(index);
        }
        table.snapshot = snapshot;
        Ok(table)
    }

    /// Returns the snapshot that this table was compiled from.
    #[must_use]
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Returns the version and the hash of the content.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        self.snapshot.stamp()
    }

    /// Tests whether there is no route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Returns the time for which a caller's connection may stay idle, if it is bounded.
    #[must_use]
    pub fn idle_time(&self) -> Option<Duration> {
        let times = self.services.values().map(|service| service.policy.idle_ms);
        times.max().filter(|ms| *ms > 0).map(Duration::from_millis)
    }

    /// Finds the most specific route for a request.
    #[must_use]
    pub fn route(&self, host: Option<&str>, path: &str, method: &str) -> Option<&RouteEntry> {
        let host = host.map(str::to_ascii_lowercase);
        let hosts = [host.is_some().then_some(host), Some(None)];
        for host in hosts.into_iter().flatten() {
            let Some(places) = self.places.get(&host) else {
                continue;
            };
            let mut found = prefixes(path).filter_map(|prefix| places.get(prefix));
            let entry = found.find_map(|place| {
                let mut entries = place.iter().map(|index| &self.routes[*index]);
                entries.find(|entry| allows(entry.route(), method))
            });
            if entry.is_some() {
                return entry;
            }
        }
        None
    }

    /// Returns a service of this table.
    #[must_use]
    pub fn service(&self, id: ServiceId) -> &ServiceEntry {
        &self.services[id]
    }

    /// Returns every service.
    pub fn services(&self) -> impl Iterator<Item = (ServiceId, &ServiceEntry)> {
        self.services.iter()
    }

    /// Finds a service by name.
    #[must_use]
    pub fn service_named(&self, name: &str) -> Option<&ServiceEntry> {
        self.names.get(name).map(|id| &self.services[*id])
    }

    fn add_service(
        &mut self,
        snapshot: &Snapshot,
        key: &ResourceKey,
        service: &Service,
    ) -> Result<()> {
        let pool = find(snapshot, Kind::Pool, &service.pool)?;
        let policy = find(snapshot, Kind::Policy, &service.policy)?;
        let (Spec::Pool(pool), Spec::Policy(policy)) = (pool, policy) else {
            return Err(dangling(key));
        };
        let name = key.name.clone();
        let id = self.services.insert(ServiceEntry {
            name: name.clone(),
            pool: pool.clone(),
            policy: policy.clone(),
        });
        self.names.insert(name, id);
        Ok(())
    }

    fn add_route(&mut self, key: &ResourceKey, spec: &Arc<Spec>, route: &Route) -> Result<()> {
        let mut parts = Vec::new();
        let whole = BTreeMap::from([(route.service.clone(), 1)]);
        let split = Some(&route.split).filter(|split| !split.is_empty());
        for (name, weight) in split.unwrap_or(&whole) {
            let id = self.names.get(name).ok_or_else(|| dangling(key))?;
            parts.push((*id, *weight));
        }
        let kinds = &self.services[parts[0].0].policy.kinds;
        let weight = kinds.get(&route.request_kind).copied();
        self.routes.push(RouteEntry {
            name: key.name.clone(),
            spec: Arc::clone(spec),
            parts,
            timeout: Duration::from_millis(route.timeout_ms),
            objective: (route.objective_ms > 0).then(|| Duration::from_millis(route.objective_ms)),
            weight: weight.ok_or_else(|| dangling(key))?,
            class: xxh32(key.name.as_bytes(), 0),
        });
        Ok(())
    }
}

fn find<'a>(snapshot: &'a Snapshot, kind: Kind, name: &str) -> Result<&'a Spec> {
    let key = ResourceKey::new(kind, name);
    let res = snapshot.resources().get(&key);
    res.map(|res| res.spec.as_ref())
        .ok_or_else(|| dangling(&key))
}

fn dangling(key: &ResourceKey) -> Error {
    Error::new(Category::Input, format!("{key}: refers to nothing"))
}

fn allows(route: &Route, method: &str) -> bool {
    route.methods.is_empty() || route.methods.iter().any(|m| m == method)
}

/// Returns the prefixes of a path in whole segments, the longest first: each with and without the
/// slash at its end.
fn prefixes(path: &str) -> impl Iterator<Item = &str> {
    let cuts = path.bytes().enumerate().rev();
    let cuts = cuts.filter(|(_, byte)| *byte == b'/');
    let cuts = cuts.flat_map(|(at, _)| [at + 1, at]);
    let whole = (!path.ends_with('/')).then_some(path.len());
    let cuts = whole.into_iter().chain(cuts).filter(|at| *at > 0);
    cuts.map(|at| &path[..at])
}
