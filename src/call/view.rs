//! The services and their upstreams as an outbound side sees them.

use super::budget::Budget;
use super::choose::{Facts, Group, Health, Index, Sizes, Upstream};
use super::upstream::Link;
use crate::daemon::Tuned;
use crate::generated::mesh as wire;
use crate::generated::mesh::MemberState;
use crate::member::Fleet;
use crate::sync::lock;
use crate::table::{ServiceEntry, ServiceId, Table};
use arc_swap::ArcSwapOption;
use slotmap::SecondaryMap;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::Instant;

/// The share of a new service time in the average of its kind, as a divisor.
const TIMES_DIVISOR: u32 = 32;

/// The share of a new outcome in the share of faults of a service, as a divisor.
const FAULTS_DIVISOR: u32 = 32;

/// The share of faults, in thousandths, above which a service as a whole counts as faulty.
const FAULTY_SERVICE: u32 = 100;

/// Kinds of calls whose service times are kept.
const MAX_CLASSES: usize = 256;

/// A service's upstreams with the ways to them.
pub struct ServiceView {
    /// The upstreams to choose among.
    pub group: Group,
    /// The retries at hand.
    pub budget: Arc<Budget>,
    /// The service times of its kinds of calls.
    pub times: Arc<Times>,
    /// When the upstreams changed last, as far as is known.
    pub changed: Instant,
    /// The links, in the order of the group; `None` for this daemon itself.
    links: Vec<Option<Arc<Link>>>,
}

impl ServiceView {
    /// Returns the links to other daemons.
    pub fn links(&self) -> impl Iterator<Item = &Arc<Link>> {
        self.links.iter().flatten()
    }

    /// Returns the link to an upstream; `None` when it is beside this daemon.
    #[must_use]
    pub fn link(&self, index: Index) -> Option<&Arc<Link>> {
        self.links[index.0].as_ref()
    }
}

/// Average service times by kind of call, and the share of calls that backend servers fail.
#[derive(Debug, Default)]
pub struct Times {
    times: Mutex<BTreeMap<u32, Duration>>,
    /// In thousandths.
    faults: AtomicU32,
}

impl Times {
    /// Notes whether a backend server failed a call by its own fault, or by that of a call that it
    /// made.
    pub fn note_fault(&self, fault: bool) {
        let old = self.faults.load(Ordering::Relaxed);
        let new = if fault { 1_000 } else { 0 };
        // Rounded up, so that the share can grow from zero and fall to it.
        let mixed = old + new / FAULTS_DIVISOR - old / FAULTS_DIVISOR;
        self.faults.store(mixed, Ordering::Relaxed);
    }

    /// Tests whether the service as a whole fails calls: trying another backend server is of
    /// little use then, and repeats the calls that the first one made.
    #[must_use]
    pub fn is_faulty(&self) -> bool {
        self.faults.load(Ordering::Relaxed) > FAULTY_SERVICE
    }

    /// Notes a service time; returns how it compares with the average of its kind, in thousandths.
    pub fn note(&self, class: u32, ran: Duration) -> u32 {
        let mut times = lock(&self.times);
        if times.len() >= MAX_CLASSES && !times.contains_key(&class) {
            times.clear();
        }
        let known = times.entry(class).or_insert(ran);
        let ratio = ran.as_micros() * 1_000 / known.as_micros().max(1);
        *known = (*known * (TIMES_DIVISOR - 1) + ran) / TIMES_DIVISOR;
        u32::try_from(ratio).unwrap_or(u32::MAX)
    }

    /// Returns the average service time of a kind; zero when it is not known.
    #[must_use]
    pub fn typical(&self, class: u32) -> Duration {
        lock(&self.times).get(&class).copied().unwrap_or_default()
    }
}

/// One version of the configuration with the members known at one time. It is never changed.
pub struct View {
    /// The configuration.
    pub table: Arc<Table>,
    fleet: Arc<Fleet>,
    services: SecondaryMap<ServiceId, ServiceView>,
}

impl View {
    /// Returns a service of the table.
    #[must_use]
    pub fn service(&self, id: ServiceId) -> Option<&ServiceView> {
        self.services.get(id)
    }

    /// Returns every service by name.
    pub fn services(&self) -> impl Iterator<Item = (&str, &ServiceView)> {
        let services = self.services.iter();
        services.map(|(id, view)| (self.table.service(id).name.as_str(), view))
    }
}

/// Who looks.
#[derive(Clone, Debug)]
pub struct Viewer {
    /// The daemon's name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
}

/// Gives a budget an even part of what all daemons may spend together.
fn share(tuned: Tuned, budget: &Budget, fleet: &Fleet) {
    if tuned.retry_extra == 0 {
        return;
    }
    let daemons = u32::try_from(fleet.members().len()).unwrap_or(u32::MAX);
    let part = f64::from(tuned.retry_extra) / f64::from(daemons.max(1));
    budget.resize(part, tuned.retry_window);
}

/// The newest view, made again when the configuration or the members have changed.
pub struct ViewCell {
    viewer: Viewer,
    view: ArcSwapOption<View>,
    known: Mutex<Known>,
}

/// A daemon's incarnation with the instance of the backend server beside it.
type NodeKey = (String, u64, String);

/// What outlives a view.
#[derive(Default)]
struct Known {
    nodes: BTreeMap<NodeKey, Node>,
    budgets: BTreeMap<String, Arc<Budget>>,
    times: BTreeMap<String, Arc<Times>>,
    changes: BTreeMap<String, Change>,
}

/// The names of a service's upstreams and when they changed.
struct Change {
    names: Vec<String>,
    at: Instant,
}

#[derive(Clone)]
struct Node {
    link: Arc<Link>,
    health: Arc<Health>,
    joined: Option<Instant>,
}

impl ViewCell {
    /// Makes a cell without a view.
    #[must_use]
    pub fn new(viewer: Viewer) -> Self {
        ViewCell {
            viewer,
            view: ArcSwapOption::empty(),
            known: Mutex::default(),
        }
    }

    /// Returns the view of this configuration and these members.
    #[must_use]
    pub fn get(&self, table: Arc<Table>, fleet: Arc<Fleet>, tuned: Tuned) -> Arc<View> {
        if let Some(view) = self.current(&table, &fleet) {
            return view;
        }
        let mut known = lock(&self.known);
        if let Some(view) = self.current(&table, &fleet) {
            return view;
        }
        let view = Arc::new(known.view(&self.viewer, table, fleet, tuned));
        self.view.store(Some(Arc::clone(&view)));
        view
    }

    /// Returns the view that was made last.
    #[must_use]
    pub fn last(&self) -> Option<Arc<View>> {
        self.view.load_full()
    }

    fn current(&self, table: &Arc<Table>, fleet: &Arc<Fleet>) -> Option<Arc<View>> {
        let view = self.view.load();
        let view = view.as_ref()?;
        let same = Arc::ptr_eq(&view.table, table) && Arc::ptr_eq(&view.fleet, fleet);
        same.then(|| Arc::clone(view))
    }
}

impl Known {
    fn view(
        &mut self,
        viewer: &Viewer,
        table: Arc<Table>,
        fleet: Arc<Fleet>,
        tuned: Tuned,
    ) -> View {
        let now = Instant::now();
        let mut nodes = BTreeMap::new();
        let mut services = SecondaryMap::new();
        for (id, entry) in table.services() {
            let members = fleet.upstreams(&entry.name);
            let seen = members.iter().any(|member| self.knows(member));
            let joined = seen.then_some(now);
            let mut upstreams = Vec::new();
            let mut named = BTreeMap::new();
            for member in members {
                let Some(node) = self.node(member, joined, now) else {
                    continue;
                };
                upstreams.push(upstream(viewer, member, &node));
                named.insert(member.name.clone(), node.clone());
                nodes.insert(node_key(member), node);
            }
            let group = Group::new(upstreams, sizes(entry));
            let links = links(viewer, &group, &named);
            let budget = self.budgets.entry(entry.name.clone()).or_default();
            let budget = Arc::clone(budget);
            share(tuned, &budget, &fleet);
            let times = Arc::clone(self.times.entry(entry.name.clone()).or_default());
            let changed = self.changed(&entry.name, &group, now);
            let view = ServiceView {
                group,
                budget,
                times,
                changed,
                links,
            };
            services.insert(id, view);
        }
        self.nodes = nodes;
        View {
            table,
            fleet,
            services,
        }
    }

    fn changed(&mut self, service: &str, group: &Group, now: Instant) -> Instant {
        let upstreams = group.upstreams().iter();
        let names: Vec<String> = upstreams.map(|u| u.facts.name.clone()).collect();
        match self.changes.get(service) {
            Some(change) if change.names == names => change.at,
            _ => {
                let change = Change { names, at: now };
                self.changes.insert(service.to_owned(), change);
                now
            }
        }
    }

    fn knows(&self, member: &wire::Member) -> bool {
        self.nodes.contains_key(&node_key(member))
    }

    fn node(&self, member: &wire::Member, joined: Option<Instant>, now: Instant) -> Option<Node> {
        if let Some(node) = self.nodes.get(&node_key(member)) {
            return Some(node.clone());
        }
        let address = member.inbound.parse().ok()?;
        Some(Node {
            link: Arc::new(Link::new(address, member.incarnation)),
            health: Arc::new(Health::new(now)),
            joined,
        })
    }
}

fn node_key(member: &wire::Member) -> NodeKey {
    let instance = format!("{}.{}", member.instance, member.born_ms);
    (member.name.clone(), member.incarnation, instance)
}

fn upstream(viewer: &Viewer, member: &wire::Member, node: &Node) -> Upstream {
    let facts = Facts {
        name: member.name.clone(),
        incarnation: member.incarnation,
        address: node.link.address(),
        local: member.name == viewer.name,
        near: member.domain == viewer.domain,
        suspect: member.state() == MemberState::Suspect,
        joined: node.joined,
        slots: (member.slots > 0).then_some(member.slots),
    };
    let health = Arc::clone(&node.health);
    Upstream { facts, health }
}

fn links(viewer: &Viewer, group: &Group, nodes: &BTreeMap<String, Node>) -> Vec<Option<Arc<Link>>> {
    let upstreams = group.upstreams().iter();
    upstreams
        .map(|upstream| {
            let name = &upstream.facts.name;
            let node = nodes.get(name)?;
            (*name != viewer.name).then(|| Arc::clone(&node.link))
        })
        .collect()
}

fn sizes(entry: &ServiceEntry) -> Sizes {
    Sizes {
        slots: entry.pool.slots,
        spill_percent: entry.pool.spill_percent,
        keep_percent: entry.pool.keep_percent,
        warm: Duration::from_millis(entry.pool.warm_ms),
    }
}
