//! A snapshot compiled for routing calls.

use crate::check;
use crate::error::{Category, Error, Result};
use crate::resource::{Kind, Policy, Pool, ResourceKey, Route, Service, Spec};
use crate::snapshot::{Snapshot, Stamp};
use slotmap::{SlotMap, new_key_type};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

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
    pub route: Route,
    /// The service that takes the calls.
    pub service: ServiceId,
    /// Time for a whole call.
    pub timeout: Duration,
    /// The weight of the request kind; greater is kept longer under overload.
    pub weight: u32,
}

/// A snapshot compiled for routing calls. It is never changed.
#[derive(Debug, Default)]
pub struct Table {
    snapshot: Arc<Snapshot>,
    services: SlotMap<ServiceId, ServiceEntry>,
    names: BTreeMap<String, ServiceId>,
    /// Ordered so that the first match is the most specific one.
    routes: Vec<RouteEntry>,
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
                table.add_route(key, route)?;
            }
        }
        table.routes.sort_by_cached_key(|entry| {
            let Route {
                host,
                prefix,
                methods,
                ..
            } = &entry.route;
            let specific = (host.is_some(), prefix.len(), !methods.is_empty());
            (Reverse(specific), entry.name.clone())
        });
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

    /// Finds the most specific route for a request.
    #[must_use]
    pub fn route(&self, host: Option<&str>, path: &str, method: &str) -> Option<&RouteEntry> {
        let mut routes = self.routes.iter();
        routes.find(|entry| matches(&entry.route, host, path, method))
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

    fn add_route(&mut self, key: &ResourceKey, route: &Route) -> Result<()> {
        let id = self.names.get(&route.service).copied();
        let service = id.ok_or_else(|| dangling(key))?;
        let kinds = &self.services[service].policy.kinds;
        let weight = kinds.get(&route.request_kind).copied();
        self.routes.push(RouteEntry {
            name: key.name.clone(),
            route: route.clone(),
            service,
            timeout: Duration::from_millis(route.timeout_ms),
            weight: weight.ok_or_else(|| dangling(key))?,
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

fn matches(route: &Route, host: Option<&str>, path: &str, method: &str) -> bool {
    let host_fits = match (&route.host, host) {
        (None, _) => true,
        (Some(want), Some(host)) => host.eq_ignore_ascii_case(want),
        (Some(_), None) => false,
    };
    let method_fits = route.methods.is_empty() || route.methods.iter().any(|m| m == method);
    host_fits && method_fits && has_prefix(path, &route.prefix)
}

/// Tests whether a path starts with a prefix in whole segments.
fn has_prefix(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}
