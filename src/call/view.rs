//! The services and upstreams that an outbound side routes calls to.

use super::balance::{BalancingLimits, Group, Health, Index, Upstream, UpstreamInfo};
use super::budget::Budget;
use super::durations::CallDurations;
use super::split::Split;
use super::upstream::Link;
use crate::daemon::RuntimeLimits;
use crate::generated::mesh as wire;
use crate::generated::mesh::MemberState;
use crate::member::Fleet;
use crate::rollout::registry::Rollout;
use crate::sync::lock;
use crate::table::{ServiceEntry, ServiceId, Table};
use arc_swap::ArcSwapOption;
use slotmap::SecondaryMap;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// Smoothing factor of the average service time of a time class: a new sample has a weight of 1/32.
const TIME_SMOOTHING: u32 = 32;

/// Smoothing factor of the error rate of a service: a new outcome has a weight of 1/32.
const ERROR_SMOOTHING: u32 = 32;

/// Error rate, in thousandths, above which a service as a whole is considered faulty.
const MAX_ERROR_RATE: u32 = 100;

/// Maximum number of time classes tracked per service. One more clears all averages.
const MAX_TIME_CLASSES: usize = 256;

/// The upstreams of a service with the connections to them.
pub struct ServiceView {
    /// The name of the service.
    pub name: String,
    /// The upstreams to balance calls over.
    pub group: Group,
    /// The retry budget of the service.
    pub budget: Arc<Budget>,
    /// Average service times per time class, and the error rate of the service.
    pub stats: Arc<ServiceStats>,
    /// How long calls to the service take.
    pub durations: Arc<CallDurations>,
    /// When this daemon last observed a change of the set of upstreams.
    pub changed: Instant,
    /// The links, in the order of the group; `None` for this daemon's own upstream.
    links: Vec<Option<Arc<Link>>>,
    /// The division by the step of a rollout that was used last.
    split: ArcSwapOption<Split>,
}

impl ServiceView {
    /// Returns the links to other daemons.
    pub fn links(&self) -> impl Iterator<Item = &Arc<Link>> {
        self.links.iter().flatten()
    }

    /// Returns the division of the upstreams by the newest step of the service's rollout.
    #[must_use]
    pub fn split(&self, rollout: &Rollout) -> Arc<Split> {
        let known = self.split.load();
        if let Some(split) = known.as_ref().filter(|split| split.is_by(rollout)) {
            return Arc::clone(split);
        }
        let split = Arc::new(Split::new(self, rollout));
        self.split.store(Some(Arc::clone(&split)));
        split
    }

    /// Returns a view of some of the upstreams, which shares their state.
    #[must_use]
    pub fn subset(&self, kept: impl Fn(&UpstreamInfo) -> bool) -> ServiceView {
        let upstreams = self.group.upstreams().iter().zip(&self.links);
        let links = upstreams.filter(|(upstream, _)| kept(&upstream.info));
        let links = links.map(|(_, link)| link.clone()).collect();
        ServiceView {
            name: self.name.clone(),
            group: self.group.subset(kept),
            budget: Arc::clone(&self.budget),
            stats: Arc::clone(&self.stats),
            durations: Arc::clone(&self.durations),
            changed: Instant::now(),
            links,
            split: ArcSwapOption::empty(),
        }
    }

    /// Returns the link to an upstream; `None` if it is this daemon's own.
    #[must_use]
    pub fn link(&self, index: Index) -> Option<&Arc<Link>> {
        self.links[index.0].as_ref()
    }
}

/// Average service times by time class, and the error rate of the service's backend servers.
#[derive(Debug, Default)]
pub struct ServiceStats {
    averages: Mutex<BTreeMap<u32, Duration>>,
    /// The error rate, in thousandths.
    error_rate: AtomicU32,
}

impl ServiceStats {
    /// Records whether a call to a backend server failed, either in the server itself or in a call
    /// that it made.
    ///
    /// Concurrent updates may be lost; the rate is an estimate.
    pub fn record_outcome(&self, failed: bool) {
        let old = self.error_rate.load(Ordering::Relaxed);
        let new = if failed { 1_000 } else { 0 };
        // Each term is rounded down: after the first failure, the rate does not fall below 31,
        // which is well under `MAX_ERROR_RATE`.
        let mixed = old + new / ERROR_SMOOTHING - old / ERROR_SMOOTHING;
        self.error_rate.store(mixed, Ordering::Relaxed);
    }

    /// Tests whether the service as a whole fails calls. A retry at another backend server is then
    /// unlikely to help, and would repeat the calls that the failed attempt made.
    #[must_use]
    pub fn is_faulty(&self) -> bool {
        self.error_rate.load(Ordering::Relaxed) > MAX_ERROR_RATE
    }

    /// Records a service time; returns its ratio to the average of its time class, in thousandths.
    pub fn record_time(&self, class: u32, service_time: Duration) -> u32 {
        let mut averages = lock(&self.averages);
        if averages.len() >= MAX_TIME_CLASSES && !averages.contains_key(&class) {
            averages.clear();
        }
        let average = averages.entry(class).or_insert(service_time);
        let ratio = service_time.as_micros() * 1_000 / average.as_micros().max(1);
        *average = (*average * (TIME_SMOOTHING - 1) + service_time) / TIME_SMOOTHING;
        u32::try_from(ratio).unwrap_or(u32::MAX)
    }
}

/// An immutable snapshot: one version of the configuration with the members known at one time.
pub struct View {
    /// The routing table of this version.
    pub table: Arc<Table>,
    /// The members, to detect a change.
    fleet: Arc<Fleet>,
    /// The limits that the budgets were sized by, to detect a change.
    limits: RuntimeLimits,
    services: SecondaryMap<ServiceId, Arc<ServiceView>>,
}

impl View {
    /// Returns the view of a service of the routing table.
    #[must_use]
    pub fn service(&self, id: ServiceId) -> Option<&Arc<ServiceView>> {
        self.services.get(id)
    }

    /// Returns the view of a service by its name.
    #[must_use]
    pub fn service_named(&self, name: &str) -> Option<&Arc<ServiceView>> {
        self.service(self.table.service_id(name)?)
    }

    /// Iterates over all services with their names.
    pub fn services(&self) -> impl Iterator<Item = (&str, &ServiceView)> {
        let services = self.services.values();
        services.map(|view| (view.name.as_str(), view.as_ref()))
    }
}

/// The daemon whose outbound side the view is for.
#[derive(Clone, Debug)]
pub struct LocalDaemon {
    /// The daemon's name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
}

/// Sizes a retry budget to this daemon's equal share of the extra retries that all daemons together
/// may make.
fn size_budget(limits: RuntimeLimits, budget: &Budget, fleet: &Fleet) {
    if limits.retry_extra == 0 {
        budget.reset();
        return;
    }
    let daemons = u32::try_from(fleet.members().len()).unwrap_or(u32::MAX);
    let share = f64::from(limits.retry_extra) / f64::from(daemons.max(1));
    budget.resize(share, limits.retry_window);
}

/// The current view, rebuilt when the configuration or the members have changed.
pub struct ViewCache {
    daemon: LocalDaemon,
    view: ArcSwapOption<View>,
    retained: Mutex<Retained>,
}

/// Daemon name, its incarnation, and the instance of its backend server.
type UpstreamKey = (String, u64, String);

/// State that is kept from one view to the next.
#[derive(Default)]
struct Retained {
    /// The upstreams of the current view.
    states: BTreeMap<UpstreamKey, UpstreamState>,
    // By service name; the entries of removed services are kept.
    budgets: BTreeMap<String, Arc<Budget>>,
    stats: BTreeMap<String, Arc<ServiceStats>>,
    durations: BTreeMap<String, Arc<CallDurations>>,
    changes: BTreeMap<String, Change>,
}

/// The names of a service's upstreams and when this set last changed.
struct Change {
    names: Vec<String>,
    at: Instant,
}

/// The connection and the observed state of one upstream.
#[derive(Clone)]
struct UpstreamState {
    link: Arc<Link>,
    health: Arc<Health>,
    /// When it joined; `None` if slow start does not apply to it.
    joined: Option<Instant>,
}

impl ViewCache {
    /// Creates a cache without a view.
    #[must_use]
    pub fn new(daemon: LocalDaemon) -> Self {
        ViewCache {
            daemon,
            view: ArcSwapOption::empty(),
            retained: Mutex::default(),
        }
    }

    /// Returns the view of the given configuration and members; builds it if it is not current.
    #[must_use]
    pub fn get(&self, table: Arc<Table>, fleet: Arc<Fleet>, limits: RuntimeLimits) -> Arc<View> {
        if let Some(view) = self.current(&table, &fleet, limits) {
            return view;
        }
        let mut retained = lock(&self.retained);
        if let Some(view) = self.current(&table, &fleet, limits) {
            return view;
        }
        let view = Arc::new(retained.build_view(&self.daemon, table, fleet, limits));
        self.view.store(Some(Arc::clone(&view)));
        view
    }

    /// Returns the most recent view; `None` before the first call of [`ViewCache::get`].
    #[must_use]
    pub fn last(&self) -> Option<Arc<View>> {
        self.view.load_full()
    }

    fn current(
        &self,
        table: &Arc<Table>,
        fleet: &Arc<Fleet>,
        limits: RuntimeLimits,
    ) -> Option<Arc<View>> {
        let view = self.view.load();
        let view = view.as_ref()?;
        let same = Arc::ptr_eq(&view.table, table) && Arc::ptr_eq(&view.fleet, fleet);
        let same = same && view.limits == limits;
        same.then(|| Arc::clone(view))
    }
}

impl Retained {
    /// Builds a view; reuses the state of upstreams that are still members.
    fn build_view(
        &mut self,
        daemon: &LocalDaemon,
        table: Arc<Table>,
        fleet: Arc<Fleet>,
        limits: RuntimeLimits,
    ) -> View {
        let now = Instant::now();
        let mut by_key = BTreeMap::new();
        let mut services = SecondaryMap::new();
        for (id, entry) in table.services() {
            let members = fleet.upstreams(&entry.name);
            // Slow start applies only if the service already had upstreams; otherwise all are new.
            let established = members.iter().any(|member| self.has_state(member));
            let joined = established.then_some(now);
            let mut upstreams = Vec::new();
            let mut by_name = BTreeMap::new();
            for member in members {
                // A member whose inbound address is not valid is left out.
                let Some(state) = self.state(member, joined, now) else {
                    continue;
                };
                upstreams.push(upstream(daemon, member, &state));
                by_name.insert(member.name.clone(), state.clone());
                by_key.insert(upstream_key(member), state);
            }
            let group = Group::new(upstreams, balancing_limits(entry));
            let links = links(daemon, &group, &by_name);
            let budget = self.budgets.entry(entry.name.clone()).or_default();
            let budget = Arc::clone(budget);
            size_budget(limits, &budget, &fleet);
            let stats = Arc::clone(self.stats.entry(entry.name.clone()).or_default());
            let durations = self.durations.entry(entry.name.clone()).or_default();
            let durations = Arc::clone(durations);
            let changed = self.record_change(&entry.name, &group, now);
            let view = ServiceView {
                name: entry.name.clone(),
                group,
                budget,
                stats,
                durations,
                changed,
                links,
                split: ArcSwapOption::empty(),
            };
            services.insert(id, Arc::new(view));
        }
        self.states = by_key;
        View {
            table,
            fleet,
            limits,
            services,
        }
    }

    /// Returns when the set of the service's upstreams last changed: now, if it differs from the
    /// recorded set.
    fn record_change(&mut self, service: &str, group: &Group, now: Instant) -> Instant {
        let upstreams = group.upstreams().iter();
        let names: Vec<String> = upstreams.map(|u| u.info.name.clone()).collect();
        match self.changes.get(service) {
            Some(change) if change.names == names => change.at,
            _ => {
                let change = Change { names, at: now };
                self.changes.insert(service.to_owned(), change);
                now
            }
        }
    }

    fn has_state(&self, member: &wire::Member) -> bool {
        self.states.contains_key(&upstream_key(member))
    }

    fn state(
        &self,
        member: &wire::Member,
        joined: Option<Instant>,
        now: Instant,
    ) -> Option<UpstreamState> {
        if let Some(state) = self.states.get(&upstream_key(member)) {
            return Some(state.clone());
        }
        let address = member.inbound.parse().ok()?;
        let before = self.predecessor(member, address);
        let link = before.map_or_else(
            || Link::new(address, member.incarnation),
            |before| before.link.succeeded_by(member.incarnation),
        );
        Some(UpstreamState {
            link: Arc::new(link),
            health: Arc::new(Health::new(now)),
            joined,
        })
    }

    /// Returns the state of the earlier incarnation of a daemon at the same address, if it is known.
    fn predecessor(&self, member: &wire::Member, address: SocketAddr) -> Option<&UpstreamState> {
        let from = (member.name.clone(), 0, String::new());
        let mut states = self.states.range(from..);
        let (key, state) = states.next()?;
        (key.0 == member.name && state.link.address() == address).then_some(state)
    }
}

fn upstream_key(member: &wire::Member) -> UpstreamKey {
    let instance = format!("{}.{}", member.instance, member.born_ms);
    (member.name.clone(), member.incarnation, instance)
}

fn upstream(daemon: &LocalDaemon, member: &wire::Member, state: &UpstreamState) -> Upstream {
    let info = UpstreamInfo {
        name: member.name.clone(),
        incarnation: member.incarnation,
        address: state.link.address(),
        local: member.name == daemon.name,
        same_domain: member.domain == daemon.domain,
        suspect: member.state() == MemberState::Suspect,
        joined: state.joined,
        slots: (member.slots > 0).then_some(member.slots),
        version: member.version.clone(),
    };
    let health = Arc::clone(&state.health);
    Upstream { info, health }
}

fn links(
    daemon: &LocalDaemon,
    group: &Group,
    states: &BTreeMap<String, UpstreamState>,
) -> Vec<Option<Arc<Link>>> {
    let upstreams = group.upstreams().iter();
    upstreams
        .map(|upstream| {
            let name = &upstream.info.name;
            let state = states.get(name)?;
            (*name != daemon.name).then(|| Arc::clone(&state.link))
        })
        .collect()
}

fn balancing_limits(entry: &ServiceEntry) -> BalancingLimits {
    BalancingLimits {
        slots: entry.pool.slots,
        spill_percent: entry.pool.spill_percent,
        keep_percent: entry.pool.keep_percent,
        slow_start: Duration::from_millis(entry.pool.warm_ms),
    }
}
