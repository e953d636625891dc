//! Relay discovery: how a daemon without a relay finds one.
//!
//! Discovery runs in rounds that try each known target once, in this order:
//!
//! 1. The targets of a redirect.
//! 2. The known relays of the failure domain in order of preference; then the relays are listed
//!    from the platform, and new ones are tried.
//! 3. A vacant relay slot, which this daemon tries to acquire.
//! 4. The addresses from the settings.
//!
//! If the platform is unreachable, other daemons of the failure domain are tried as fallback relays
//! instead of steps 3 and 4. If none is known, step 4 remains.

use super::rendezvous;
use super::target::Target;
use crate::generated::mesh as wire;
use std::collections::{BTreeSet, VecDeque};

/// Maximum number of daemons tried as fallback relays per round, before this daemon becomes one.
const MAX_FALLBACK_RELAYS: usize = 4;

/// The targets that a daemon knows, as input to one step of its discovery.
#[derive(Clone, Debug, Default)]
pub struct KnownTargets {
    /// The known relays of every failure domain.
    pub relays: Vec<wire::RelayRecord>,
    /// Names and targets of the other daemons of the failure domain whose member state is ready or
    /// suspect.
    pub domain_peers: Vec<(String, Target)>,
    /// The mesh addresses from the settings.
    pub configured_addresses: Vec<String>,
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
    /// Every target of this round has been tried; wait, then start the next round.
    Wait,
}

/// The result of listing the relays in the platform in this round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListState {
    /// Not listed in this round yet.
    Pending,
    /// The lowest vacant slot; `None` if there is none, or if it has been tried already.
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
    /// The targets tried in this round.
    tried: BTreeSet<Target>,
    /// The targets of the last redirect that are still to be tried.
    redirect_targets: VecDeque<Target>,
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
            redirect_targets: VecDeque::new(),
            listed: ListState::Pending,
            fallbacks_tried: 0,
        }
    }

    /// Starts a new round.
    pub fn restart(&mut self) {
        self.tried.clear();
        self.redirect_targets.clear();
        self.listed = ListState::Pending;
        self.fallbacks_tried = 0;
    }

    /// Tries these relays first, because another daemon redirected this one to them.
    pub fn redirected(&mut self, relays: &[wire::RelayRecord]) {
        self.redirect_targets = relays.iter().map(Target::from).collect();
    }

    /// Records the lowest vacant slot among the relays that the platform lists for the failure
    /// domain; `None` if it is unreachable. The next [`KnownTargets`] must contain these relays.
    pub fn on_listed(&mut self, relays: Option<&[wire::RelayRecord]>) {
        let Some(relays) = relays else {
            self.listed = ListState::Unreachable;
            return;
        };
        let taken: BTreeSet<u32> = relays.iter().map(|relay| relay.slot).collect();
        let vacant = (0..RELAY_SLOTS).find(|slot| !taken.contains(slot));
        self.listed = ListState::Vacant(vacant);
    }

    /// Returns the next step.
    pub fn step(&mut self, known: &KnownTargets) -> Step {
        while let Some(target) = self.redirect_targets.pop_front() {
            if self.mark_tried(&target) {
                return Step::Dial(target);
            }
        }
        if let Some(target) = self.next_relay(known) {
            return Step::Dial(target);
        }
        match self.listed {
            ListState::Pending => Step::List,
            ListState::Vacant(Some(slot)) => {
                // A slot is tried at most once per round.
                self.listed = ListState::Vacant(None);
                Step::Acquire(slot)
            }
            ListState::Vacant(None) => self.next_configured(known).map_or(Step::Wait, Step::Dial),
            ListState::Unreachable => self.step_without_platform(known),
        }
    }

    fn step_without_platform(&mut self, known: &KnownTargets) -> Step {
        if known.domain_peers.is_empty() {
            // A daemon that knows no other of its failure domain does not become the fallback
            // relay. It tries the configured addresses, then waits for a daemon that knows others,
            // or for the platform.
            return self.next_configured(known).map_or(Step::Wait, Step::Dial);
        }
        let mut domain_peers: Vec<_> = known.domain_peers.iter().collect();
        domain_peers.sort();
        for (name, target) in domain_peers {
            // Only daemons with a lower name are tried, so the one with the lowest name becomes the
            // fallback relay.
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

    fn next_relay(&mut self, known: &KnownTargets) -> Option<Target> {
        let relays = known.relays.iter();
        let own = relays.filter(|relay| relay.domain == self.domain);
        let mut targets: Vec<Target> = own.map(Target::from).collect();
        rendezvous::rank(&self.name, &mut targets);
        targets.into_iter().find(|target| self.mark_tried(target))
    }

    fn next_configured(&mut self, known: &KnownTargets) -> Option<Target> {
        let mut targets: Vec<Target> = known
            .configured_addresses
            .iter()
            .map(|address| Target::any(address))
            .collect();
        rendezvous::rank(&self.name, &mut targets);
        targets.into_iter().find(|target| self.mark_tried(target))
    }

    /// Marks a target as tried; false if it already was, or is this daemon itself.
    fn mark_tried(&mut self, target: &Target) -> bool {
        target.address != self.mesh && self.tried.insert(target.clone())
    }
}

/// Number of relay slots per failure domain.
pub const RELAY_SLOTS: u32 = 2;
