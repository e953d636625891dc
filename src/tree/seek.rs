//! How a daemon without a relay finds one.
//!
//! It goes through rounds. In each it tries what it knows once: the relays of its failure domain
//! in the order of its own preference, then what the platform lists, and with the platform out of
//! reach the daemons that may stand in.

use super::choice;
use super::target::Target;
use crate::generated::mesh as wire;
use std::collections::{BTreeSet, VecDeque};

/// Daemons tried as stand-ins in a round, before this daemon stands in itself.
const MAX_STAND_INS: usize = 4;

/// What a daemon knows of the others.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The relays known, of every failure domain.
    pub relays: Vec<wire::RelayRecord>,
    /// The other daemons of the failure domain that may live, by name.
    pub mates: Vec<(String, Target)>,
    /// The mesh addresses from the settings.
    pub peers: Vec<String>,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Attach to this daemon.
    Dial(Target),
    /// Ask the platform for the relays of the failure domain.
    List,
    /// Take this vacant relay slot.
    Acquire(u32),
    /// Take children without a relay slot.
    StandIn,
    /// Nothing is left in this round; wait, then start another.
    Wait,
}

/// What the platform said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listed {
    No,
    /// These slots are vacant.
    Vacant(Option<u32>),
    /// The platform does not answer.
    Unreachable,
}

/// The search of one daemon for a relay.
#[derive(Debug)]
pub struct Seeker {
    name: String,
    domain: String,
    mesh: String,
    tried: BTreeSet<Target>,
    hints: VecDeque<Target>,
    listed: Listed,
    stand_ins: usize,
}

impl Seeker {
    /// Starts the search of a daemon.
    #[must_use]
    pub fn new(name: &str, domain: &str, mesh: &str) -> Self {
        Seeker {
            name: name.into(),
            domain: domain.into(),
            mesh: mesh.into(),
            tried: BTreeSet::new(),
            hints: VecDeque::new(),
            listed: Listed::No,
            stand_ins: 0,
        }
    }

    /// Starts another round.
    pub fn restart(&mut self) {
        self.tried.clear();
        self.hints.clear();
        self.listed = Listed::No;
        self.stand_ins = 0;
    }

    /// Tries these first, since a relay named them.
    pub fn redirected(&mut self, relays: &[wire::RelayRecord]) {
        self.hints = relays.iter().map(Target::from).collect();
    }

    /// Takes in what the platform lists for the failure domain; `None` if it does not answer.
    pub fn listed(&mut self, relays: Option<&[wire::RelayRecord]>) {
        let Some(relays) = relays else {
            self.listed = Listed::Unreachable;
            return;
        };
        let taken: BTreeSet<u32> = relays.iter().map(|relay| relay.slot).collect();
        let vacant = (0..SLOTS).find(|slot| !taken.contains(slot));
        self.listed = Listed::Vacant(vacant);
    }

    /// Returns what to do next.
    pub fn step(&mut self, view: &View) -> Step {
        while let Some(target) = self.hints.pop_front() {
            if self.tries(&target) {
                return Step::Dial(target);
            }
        }
        if let Some(target) = self.next_relay(view) {
            return Step::Dial(target);
        }
        match self.listed {
            Listed::No => Step::List,
            Listed::Vacant(Some(slot)) => {
                self.listed = Listed::Vacant(None);
                Step::Acquire(slot)
            }
            Listed::Vacant(None) => self.next_peer(view).map_or(Step::Wait, Step::Dial),
            Listed::Unreachable => self.without_platform(view),
        }
    }

    fn without_platform(&mut self, view: &View) -> Step {
        if view.mates.is_empty() {
            // A daemon that knows nobody waits for one that does, or for the platform.
            return self.next_peer(view).map_or(Step::Wait, Step::Dial);
        }
        let mut mates: Vec<_> = view.mates.iter().collect();
        mates.sort();
        for (name, target) in mates {
            if *name >= self.name || self.stand_ins == MAX_STAND_INS {
                break;
            }
            if self.tries(target) {
                self.stand_ins += 1;
                return Step::Dial(target.clone());
            }
        }
        Step::StandIn
    }

    fn next_relay(&mut self, view: &View) -> Option<Target> {
        let relays = view.relays.iter();
        let own = relays.filter(|relay| relay.domain == self.domain);
        let mut targets: Vec<Target> = own.map(Target::from).collect();
        choice::rank(&self.name, &mut targets);
        targets.into_iter().find(|target| self.tries(target))
    }

    fn next_peer(&mut self, view: &View) -> Option<Target> {
        let mut targets: Vec<Target> = view.peers.iter().map(|peer| Target::any(peer)).collect();
        choice::rank(&self.name, &mut targets);
        targets.into_iter().find(|target| self.tries(target))
    }

    /// Notes a daemon as tried; false if it already is, or is this daemon itself.
    fn tries(&mut self, target: &Target) -> bool {
        target.address != self.mesh && self.tried.insert(target.clone())
    }
}

/// Relay slots of a failure domain.
pub const SLOTS: u32 = 2;
