//! Routing tables, compiled from snapshots.

use crate::check;
use crate::error::{Category, Error, Result};
use crate::quota::Limit;
use crate::resource::{
    KeyDigest, Kind, Organisation, Policy, Pool, ResourceKey, Route, Service, Spec,
};
use crate::snapshot::{Snapshot, Stamp};
use slotmap::{SlotMap, new_key_type};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use xxhash_rust::xxh32::xxh32;

new_key_type! {
    /// The key of a service in the [`Table`] that issued it; not valid in any other table.
    pub struct ServiceId;

    /// The key of an organisation in the [`Table`] that issued it; not valid in any other table.
    pub struct OrganisationId;
}

/// An organisation whose callers present API keys.
#[derive(Clone, Debug)]
pub struct OrganisationEntry {
    /// The organisation's name.
    pub name: Arc<str>,
    /// The request kind of its calls, if it takes precedence over the route's.
    pub request_kind: Option<String>,
    /// The limit of its calls over all daemons, if it has one.
    pub limit: Option<Limit>,
}

/// A service with its pool and policy resolved.
#[derive(Clone, Debug)]
pub struct ServiceEntry {
    /// The service's name. Members announce the service of their backend server by it.
    pub name: String,
    /// The capacity and load balancing of its backend servers.
    pub pool: Pool,
    /// Its limits, request kinds and budgets.
    pub policy: Policy,
}

/// A route with its services and request kind resolved.
#[derive(Clone, Debug)]
pub struct RouteEntry {
    /// The route's name, unique within the table.
    pub name: String,
    /// Always a route; see [`RouteEntry::route`].
    spec: Arc<Spec>,
    /// The services that receive the calls, with their weights. Never empty.
    pub targets: Vec<(ServiceId, u32)>,
    /// Time limit for a whole call, retries included.
    pub timeout: Duration,
    /// Latency objective: time within which a response has its full value, if one is set.
    pub objective: Option<Duration>,
    /// The weight of the request kind. Under overload, smaller weights are shed first.
    pub weight: u32,
    /// A hash of the route's name, by which service times are grouped: calls of one route take
    /// similar times.
    pub time_class: u32,
}

impl RouteEntry {
    /// Returns the route's specification.
    ///
    /// # Panics
    ///
    /// Never panics: entries are created from route specifications only.
    #[must_use]
    pub fn route(&self) -> &Route {
        match self.spec.as_ref() {
            Spec::Route(route) => route,
            _ => unreachable!("entries are created from route specifications only"),
        }
    }

    /// Picks the service for a call by weight, given a uniformly distributed number in 0 to 1.
    #[must_use]
    pub fn service(&self, sample: f64) -> ServiceId {
        let total: u32 = self.targets.iter().map(|(_, weight)| weight).sum();
        let mut remaining = sample * f64::from(total);
        let mut targets = self.targets.iter().filter(|(_, weight)| *weight > 0);
        let found = targets.find(|(_, weight)| {
            remaining -= f64::from(*weight);
            remaining < 0.0
        });
        // Only a sample that is 1, or is rounded up to it, selects none.
        found.unwrap_or(&self.targets[0]).0
    }
}

/// An immutable routing table, compiled from a snapshot.
#[derive(Debug, Default)]
pub struct Table {
    snapshot: Arc<Snapshot>,
    services: SlotMap<ServiceId, ServiceEntry>,
    service_ids: BTreeMap<String, ServiceId>,
    organisations: SlotMap<OrganisationId, OrganisationEntry>,
    organisation_ids: BTreeMap<String, OrganisationId>,
    /// The organisation that holds each API key.
    key_holders: BTreeMap<KeyDigest, OrganisationId>,
    /// Whether a policy requires that API keys are checked.
    check_keys: bool,
    /// Ordered so that among routes of one host and prefix the first match is the most specific.
    routes: Vec<RouteEntry>,
    /// Indexes into `routes` by host, `None` for any host, and then by prefix.
    by_host: BTreeMap<Option<String>, BTreeMap<String, Vec<usize>>>,
}

impl Table {
    /// Validates and compiles a snapshot.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Input`] when the snapshot is not valid.
    pub fn compile(snapshot: Arc<Snapshot>) -> Result<Self> {
        check::snapshot(&snapshot)?;
        let mut table = Table::default();
        for (key, res) in snapshot.resources() {
            match res.spec.as_ref() {
                Spec::Service(service) => table.add_service(&snapshot, key, service)?,
                Spec::Organisation(organisation) => table.add_organisation(key, organisation),
                Spec::Policy(policy) => table.check_keys |= policy.check_keys,
                Spec::Pool(_) | Spec::Route(_) => {}
            }
        }
        for (key, res) in snapshot.resources() {
            if let Spec::Route(route) = res.spec.as_ref() {
                table.add_route(key, &res.spec, route)?;
            }
        }
        // Routes with methods are more specific than those without and come first. The sort is
        // stable, so that the order by name is kept otherwise.
        table
            .routes
            .sort_by_key(|entry| entry.route().methods.is_empty());
        for (index, entry) in table.routes.iter().enumerate() {
            let Route { host, prefix, .. } = entry.route();
            let by_prefix = table.by_host.entry(host.clone()).or_default();
            by_prefix.entry(prefix.clone()).or_default().push(index);
        }
        table.snapshot = snapshot;
        Ok(table)
    }

    /// Returns the snapshot that this table was compiled from.
    #[must_use]
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Returns the stamp of the snapshot: its version and content hash.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        self.snapshot.stamp()
    }

    /// Returns whether the table has no route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Returns the idle timeout of callers' connections: the longest of any service, if one is set.
    #[must_use]
    pub fn idle_time(&self) -> Option<Duration> {
        let times = self.services.values().map(|service| service.policy.idle_ms);
        times.max().filter(|ms| *ms > 0).map(Duration::from_millis)
    }

    /// Finds the most specific route for a request.
    ///
    /// A route of the host wins over one of any host, then the longest prefix, then a route that
    /// names the method over one for all methods.
    #[must_use]
    pub fn route(&self, host: Option<&str>, path: &str, method: &str) -> Option<&RouteEntry> {
        let host = host.map(str::to_ascii_lowercase);
        let hosts = [host.is_some().then_some(host), Some(None)];
        for host in hosts.into_iter().flatten() {
            let Some(by_prefix) = self.by_host.get(&host) else {
                continue;
            };
            let mut found = prefixes(path).filter_map(|prefix| by_prefix.get(prefix));
            let entry = found.find_map(|indexes| {
                let mut entries = indexes.iter().map(|index| &self.routes[*index]);
                entries.find(|entry| allows_method(entry.route(), method))
            });
            if entry.is_some() {
                return entry;
            }
        }
        None
    }

    /// Returns a service of this table.
    ///
    /// # Panics
    ///
    /// May panic when the id is from another table.
    #[must_use]
    pub fn service(&self, id: ServiceId) -> &ServiceEntry {
        &self.services[id]
    }

    /// Returns every service, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = (ServiceId, &ServiceEntry)> {
        self.services.iter()
    }

    /// Finds the key of a service by its name.
    #[must_use]
    pub fn service_id(&self, name: &str) -> Option<ServiceId> {
        self.service_ids.get(name).copied()
    }

    /// Finds a service by name.
    #[must_use]
    pub fn service_named(&self, name: &str) -> Option<&ServiceEntry> {
        self.service_ids.get(name).map(|id| &self.services[*id])
    }

    /// Returns whether API keys are checked: there is an organisation, or a policy requires it.
    #[must_use]
    pub fn checks_keys(&self) -> bool {
        self.check_keys || !self.organisations.is_empty()
    }

    /// Finds the organisation that holds an API key.
    #[must_use]
    pub fn organisation(&self, key: &KeyDigest) -> Option<OrganisationId> {
        self.key_holders.get(key).copied()
    }

    /// Returns an organisation of this table.
    ///
    /// # Panics
    ///
    /// May panic when the id is from another table.
    #[must_use]
    pub fn organisation_entry(&self, id: OrganisationId) -> &OrganisationEntry {
        &self.organisations[id]
    }

    /// Finds an organisation by name.
    #[must_use]
    pub fn organisation_named(&self, name: &str) -> Option<&OrganisationEntry> {
        let id = self.organisation_ids.get(name)?;
        self.organisations.get(*id)
    }

    /// Returns whether some organisation has a limit.
    #[must_use]
    pub fn has_limits(&self) -> bool {
        let mut organisations = self.organisations.values();
        organisations.any(|organisation| organisation.limit.is_some())
    }

    /// Returns the weight of an organisation's calls to a service; `None` if the weight of the route
    /// applies.
    ///
    /// # Panics
    ///
    /// May panic when an id is from another table.
    #[must_use]
    pub fn organisation_weight(&self, id: OrganisationId, service: ServiceId) -> Option<u32> {
        let kind = self.organisations[id].request_kind.as_ref()?;
        self.services[service].policy.kinds.get(kind).copied()
    }

    /// Returns every organisation, in no particular order.
    pub fn organisations(&self) -> impl Iterator<Item = (OrganisationId, &OrganisationEntry)> {
        self.organisations.iter()
    }

    fn add_organisation(&mut self, key: &ResourceKey, organisation: &Organisation) {
        let id = self.organisations.insert(OrganisationEntry {
            name: key.name.as_str().into(),
            request_kind: organisation.request_kind.clone(),
            limit: organisation.limit(),
        });
        self.organisation_ids.insert(key.name.clone(), id);
        let keys = organisation.keys.iter();
        self.key_holders.extend(keys.map(|digest| (*digest, id)));
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
            return Err(unresolved(key));
        };
        let name = key.name.clone();
        let id = self.services.insert(ServiceEntry {
            name: name.clone(),
            pool: pool.clone(),
            policy: policy.clone(),
        });
        self.service_ids.insert(name, id);
        Ok(())
    }

    fn add_route(&mut self, key: &ResourceKey, spec: &Arc<Spec>, route: &Route) -> Result<()> {
        let mut targets = Vec::new();
        let unsplit = BTreeMap::from([(route.service.clone(), 1)]);
        let split = Some(&route.split).filter(|split| !split.is_empty());
        for (name, weight) in split.unwrap_or(&unsplit) {
            let id = self.service_ids.get(name).ok_or_else(|| unresolved(key))?;
            targets.push((*id, *weight));
        }
        let kinds = &self.services[targets[0].0].policy.kinds;
        let weight = kinds.get(&route.request_kind).copied();
        self.routes.push(RouteEntry {
            name: key.name.clone(),
            spec: Arc::clone(spec),
            targets,
            timeout: Duration::from_millis(route.timeout_ms),
            objective: (route.objective_ms > 0).then(|| Duration::from_millis(route.objective_ms)),
            weight: weight.ok_or_else(|| unresolved(key))?,
            time_class: xxh32(key.name.as_bytes(), 0),
        });
        Ok(())
    }
}

fn find<'a>(snapshot: &'a Snapshot, kind: Kind, name: &str) -> Result<&'a Spec> {
    let key = ResourceKey::new(kind, name);
    let res = snapshot.resources().get(&key);
    res.map(|res| res.spec.as_ref())
        .ok_or_else(|| unresolved(&key))
}

/// Returns the error for a missing reference, which the validation of the snapshot has ruled out.
fn unresolved(key: &ResourceKey) -> Error {
    Error::new(Category::Input, format!("{key}: unresolved reference"))
}

fn allows_method(route: &Route, method: &str) -> bool {
    route.methods.is_empty() || route.methods.iter().any(|m| m == method)
}

/// Returns the prefixes of a path by whole segments, the longest first, each with and without its
/// trailing slash.
fn prefixes(path: &str) -> impl Iterator<Item = &str> {
    let ends = path.bytes().enumerate().rev();
    let ends = ends.filter(|(_, byte)| *byte == b'/');
    let ends = ends.flat_map(|(end, _)| [end + 1, end]);
    let whole = (!path.ends_with('/')).then_some(path.len());
    let ends = whole.into_iter().chain(ends).filter(|end| *end > 0);
    ends.map(|end| &path[..end])
}
