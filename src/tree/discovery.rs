//! Relay discovery: how a daemon without a relay finds one.
//!
//! Discovery runs in rounds that try each known target once: first the relays of the failure
//! domain in order of preference, then those listed by the platform. If the platform is
//! unreachable, other daemons of the failure domain are tried as fallback relays.

use super::rendezvous;
use super::target::Target;
use crate::generated::mesh as wire;
use std::collections::{BTreeSet, VecDeque};

/// Daemons tried as fallback relay in a round, before this daemon becomes the fallback itself.
const MAX_FALLBACK_RELAYS: usize = 4;

/// The targets that a daemon knows.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The known relays of every failure domain.
    pub relays: Vec<wire::RelayRecord>,
    /// Names and targets of the other ready or suspected daemons of the failure domain.
    pub domain_peers: Vec<(String, Target)>,
    /// The mesh addresses from the settings.
    pub peers: Vec<String>,
}

/// The next step of relay discovery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Attach to this daemon.
    Dial(Target),
    /// List the relays of the failure domain in the platform.
    List,
    /// Acquire this vacant relay slot.
    Acquire(u32),
    /// Become the fallback relay, which accepts children without a relay slot.
    BecomeFallback,
    /// Every target of this round was tried; wait, then start the next round.
    Wait,
}

/// The result of listing the relays in the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListState {
    /// Not listed in this round yet.
    Pending,
    /// The lowest vacant slot, if any.
    Vacant(Option<u32>),
    /// The platform did not respond.
    Unreachable,
}

/// The relay discovery of one daemon.
#[derive(Debug)]
pub struct Discovery {
    name: String,
    domain: String,
    mesh: String,
    tried: BTreeSet<Target>,
    hints: VecDeque<Target>,
    listed: ListState,
    fallbacks_tried: usize,
}

impl Discovery {
    /// Creates the discovery of a daemon from its name, failure domain and mesh address.
    #[must_use]
    pub fn new(name: &str, domain: &str, mesh: &str) -> Self {
        Discovery {
            name: name.into(),
            domain: domain.into(),
            mesh: mesh.into(),
            tried: BTreeSet::new(),
            hints: VecDeque::new(),
            listed: ListState::Pending,
            fallbacks_tried: 0,
        }
    }

    /// Starts a new round.
    pub fn restart(&mut self) {
        self.tried.clear();
        self.hints.clear();
        self.listed = ListState::Pending;
        self.fallbacks_tried = 0;
    }

    /// Tries these relays first, because another daemon redirected this one to them.
    pub fn redirected(&mut self, relays: &[wire::RelayRecord]) {
        self.hints = relays.iter().map(Target::from).collect();
    }

    /// Sets the relays that the platform lists for the failure domain; `None` if unreachable.
    pub fn listed(&mut self, relays: Option<&[wire::RelayRecord]>) {
        let Some(relays) = relays else {
            self.listed = ListState::Unreachable;
            return;
        };
        let taken: BTreeSet<u32> = relays.iter().map(|relay| relay.slot).collect();
        let vacant = (0..SLOTS).find(|slot| !taken.contains(slot));
        self.listed = ListState::Vacant(vacant);
    }

    /// Returns the next step.
    pub fn step(&mut self, view: &View) -> Step {
        while let Some(target) = self.hints.pop_front() {
            if self.mark_tried(&target) {
                return Step::Dial(target);
            }
        }
        if let Some(target) = self.next_relay(view) {
            return Step::Dial(target);
        }
        match self.listed {
            ListState::Pending => Step::List,
            ListState::Vacant(Some(slot)) => {
                self.listed = ListState::Vacant(None);
                Step::Acquire(slot)
            }
            ListState::Vacant(None) => self.next_peer(view).map_or(Step::Wait, Step::Dial),
            ListState::Unreachable => self.step_without_platform(view),
        }
    }

    fn step_without_platform(&mut self, view: &View) -> Step {
        if view.domain_peers.is_empty() {
            // A daemon that knows no other daemon of its failure domain waits for one that does,
            // or for the platform.
            return self.next_peer(view).map_or(Step::Wait, Step::Dial);
        }
        let mut domain_peers: Vec<_> = view.domain_peers.iter().collect();
        domain_peers.sort();
        for (name, target) in domain_peers {
            if *name >= self.name || self.fallbacks_tried == MAX_FALLBACK_RELAYS {
                break;
            }
            if self.mark_tried(target) {
                self.fallbacks_tried += 1;
                return Step::Dial(target.clone());
            }
        }
        Step::BecomeFallback
    }

    fn next_relay(&mut self, view: &View) -> Option<Target> {
        let relays = view.relays.iter();
        let own = relays.filter(|relay| relay.domain == self.domain);
        let mut targets: Vec<Target> = own.map(Target::from).collect();
        rendezvous::rank(&self.name, &mut targets);
        targets.into_iter().find(|target| self.mark_tried(target))
    }

    fn next_peer(&mut self, view: &View) -> Option<Target> {
        let mut targets: Vec<Target> = view.peers.iter().map(|peer| Target::any(peer)).collect();
        rendezvous::rank(&self.name, &mut targets);
        targets.into_iter().find(|target| self.mark_tried(target))
    }

    /// Marks a target as tried; false if it already was, or is this daemon itself.
    fn mark_tried(&mut self, target: &Target) -> bool {
        target.address != self.mesh && self.tried.insert(target.clone())
    }
}

/// Number of relay slots per failure domain.
pub const SLOTS: u32 = 2;
