//! Member sets of several relays and children under random events, compared with a reference model.
//!
//! `BAOBAB_FUZZ_CASES` sets the number of cases, `BAOBAB_FUZZ_SEED` the seed.

use baobabstage::generated::mesh as wire;
use baobabstage::generated::mesh::MemberState;
use baobabstage::member::{MemberSet, SetSettings};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use std::collections::{BTreeMap, BTreeSet};
use tokio::time::{Duration, Instant};

const DOMAINS: usize = 3;
/// The number of relays in each failure domain.
const RELAYS: usize = 2;
/// The number of places for a daemon; place `n` is in failure domain `n % DOMAINS`, at its own
/// address.
const PLACES: usize = 9;
/// The number of sets: the relays of every failure domain, followed by a child in each.
const SETS: usize = DOMAINS * RELAYS + DOMAINS;
const SERVICES: [&str; 2] = ["certs", "stallhall"];
const SETTINGS: SetSettings = SetSettings {
    suspect_after: Duration::from_secs(2),
    gone_after: Duration::from_secs(6),
    tombstone: Duration::from_secs(30),
    vanish_percent: 50,
    vanish_window: Duration::from_secs(5),
    keep_limit: Duration::from_secs(40),
};
/// Longer than the sum of all time limits in the settings.
const SETTLE_SECONDS: u64 = 120;

#[derive(Clone, Debug)]
enum Step {
    /// A daemon starts, under a new name if `renamed`.
    Start {
        place: usize,
        renamed: bool,
    },
    /// A daemon announces itself again.
    Announce {
        place: usize,
    },
    Drain {
        place: usize,
    },
    /// A daemon stops, and its relay detects the end of its stream.
    Vanish {
        place: usize,
    },
    /// A daemon moves to the other relay; if `late`, before the old one detects the end of its
    /// stream.
    Switch {
        place: usize,
        late: bool,
    },
    /// A relay restarts with an empty set; its daemons in the bit set `lost` stop with it.
    LoseRelay {
        relay: usize,
        lost: u16,
    },
    Cut {
        from: usize,
        to: usize,
    },
    Heal {
        from: usize,
        to: usize,
    },
    Deliver {
        pick: usize,
    },
    Duplicate {
        pick: usize,
    },
    /// Two sets compare digests and exchange the records that differ.
    Synchronise {
        from: usize,
        to: usize,
    },
    Advance {
        seconds: u64,
    },
}

#[derive(Clone, Debug)]
struct Daemon {
    record: wire::Member,
    /// The index of the relay that it is attached to.
    relay: usize,
}

/// The reference model: the live daemons, and the cut links between failure domains.
#[derive(Clone, Debug, Default)]
struct Model {
    daemons: BTreeMap<usize, Daemon>,
    cuts: BTreeSet<(usize, usize)>,
    /// Number of starts so far; it is the incarnation of the last daemon started.
    starts: u64,
}

impl Model {
    fn start(&mut self, place: usize, renamed: bool) {
        self.starts += 1;
        let name = if renamed {
            format!("vm-{place}-{}", self.starts)
        } else {
            format!("vm-{place}")
        };
        let domain = place % DOMAINS;
        let record = wire::Member {
            name,
            incarnation: self.starts,
            sequence: 1,
            state: MemberState::Ready.into(),
            service: SERVICES[place % 2].into(),
            domain: format!("domain-{domain}"),
            region: "region".into(),
            inbound: format!("10.0.0.{place}:7001"),
            mesh: format!("10.0.0.{place}:7002"),
            slots: 9,
            ..wire::Member::default()
        };
        let relay = domain * RELAYS + place / DOMAINS % RELAYS;
        self.daemons.insert(place, Daemon { record, relay });
    }

    fn lose_relay(&mut self, relay: usize, lost: u16) {
        self.daemons
            .retain(|place, daemon| daemon.relay != relay || lost & (1 << place) == 0);
        for daemon in self.daemons.values_mut().filter(|d| d.relay == relay) {
            daemon.relay = partner(relay);
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (domain_of(from), domain_of(to));
        !self.cuts.contains(&(from.min(to), from.max(to)))
    }
}

fn domain_of(set: usize) -> usize {
    if set < DOMAINS * RELAYS {
        set / RELAYS
    } else {
        set - DOMAINS * RELAYS
    }
}

fn partner(relay: usize) -> usize {
    relay ^ 1
}

impl ReferenceStateMachine for Model {
    type State = Model;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Model> {
        Just(Model::default()).boxed()
    }

    fn transitions(_: &Model) -> BoxedStrategy<Step> {
        let place = 0..PLACES;
        let domain = 0..DOMAINS;
        prop_oneof![
            6 => (place.clone(), any::<bool>())
                .prop_map(|(place, renamed)| Step::Start { place, renamed }),
            2 => place.clone().prop_map(|place| Step::Announce { place }),
            2 => place.clone().prop_map(|place| Step::Drain { place }),
            3 => place.clone().prop_map(|place| Step::Vanish { place }),
            3 => (place, any::<bool>()).prop_map(|(place, late)| Step::Switch { place, late }),
            2 => (0..DOMAINS * RELAYS, any::<u16>())
                .prop_map(|(relay, lost)| Step::LoseRelay { relay, lost }),
            2 => (domain.clone(), domain.clone()).prop_map(|(from, to)| Step::Cut { from, to }),
            2 => (domain.clone(), domain).prop_map(|(from, to)| Step::Heal { from, to }),
            8 => any::<usize>().prop_map(|pick| Step::Deliver { pick }),
            3 => any::<usize>().prop_map(|pick| Step::Duplicate { pick }),
            4 => (0..SETS, 0..SETS).prop_map(|(from, to)| Step::Synchronise { from, to }),
            4 => (1_u64..12).prop_map(|seconds| Step::Advance { seconds }),
            1 => (30_u64..50).prop_map(|seconds| Step::Advance { seconds }),
        ]
        .boxed()
    }

    fn preconditions(model: &Model, step: &Step) -> bool {
        match step {
            Step::Start { place, .. } => !model.daemons.contains_key(place),
            Step::Announce { place }
            | Step::Drain { place }
            | Step::Vanish { place }
            | Step::Switch { place, .. } => model.daemons.contains_key(place),
            Step::Cut { from, to } | Step::Heal { from, to } => from != to,
            _ => true,
        }
    }

    fn apply(mut model: Model, step: &Step) -> Model {
        match *step {
            Step::Start { place, renamed } => model.start(place, renamed),
            Step::Drain { place } => {
                if let Some(daemon) = model.daemons.get_mut(&place) {
                    daemon.record.set_state(MemberState::Draining);
                }
            }
            Step::Vanish { place } => {
                model.daemons.remove(&place);
            }
            Step::Switch { place, .. } => {
                if let Some(daemon) = model.daemons.get_mut(&place) {
                    daemon.relay = partner(daemon.relay);
                }
            }
            Step::LoseRelay { relay, lost } => model.lose_relay(relay, lost),
            Step::Cut { from, to } => {
                model.cuts.insert((from.min(to), from.max(to)));
            }
            Step::Heal { from, to } => {
                model.cuts.remove(&(from.min(to), from.max(to)));
            }
            _ => {}
        }
        model
    }
}

struct Message {
    /// The index of the sending set.
    from: usize,
    /// The index of the receiving set.
    to: usize,
    records: Vec<wire::Member>,
}

/// The sets under test, and the messages between them.
struct Network {
    now: Instant,
    sets: Vec<MemberSet>,
    messages: Vec<Message>,
    /// The record that each daemon last announced; only the daemon increments its sequence.
    announced: BTreeMap<usize, Daemon>,
}

impl Network {
    fn new() -> Self {
        let set = |index| MemberSet::new(&format!("domain-{}", domain_of(index)), SETTINGS);
        let mut network = Network {
            now: Instant::now(),
            sets: (0..SETS).map(set).collect(),
            messages: Vec::new(),
            announced: BTreeMap::new(),
        };
        for relay in 0..DOMAINS * RELAYS {
            network.sets[relay].start_relay();
        }
        network
    }

    /// Queues records for every other set.
    fn broadcast(&mut self, from: usize, records: &[wire::Member]) {
        if records.is_empty() {
            return;
        }
        for to in (0..SETS).filter(|to| *to != from) {
            let records = records.to_vec();
            self.messages.push(Message { from, to, records });
        }
    }

    fn attach(&mut self, place: usize, daemon: Daemon) {
        let changed = self.sets[daemon.relay].attach(daemon.record.clone(), self.now);
        self.broadcast(daemon.relay, &changed);
        self.announced.insert(place, daemon);
        self.send_attached();
    }

    fn detach(&mut self, relay: usize, record: &wire::Member) {
        self.sets[relay].detach(&record.name, record.incarnation, self.now);
        self.send_attached();
    }

    /// Announces a daemon with the next sequence.
    fn announce(&mut self, place: usize, state: MemberState) {
        let Some(mut daemon) = self.announced.get(&place).cloned() else {
            return;
        };
        daemon.record.sequence += 1;
        daemon.record.set_state(state);
        self.attach(place, daemon);
    }

    fn switch(&mut self, place: usize, late: bool) {
        let Some(mut daemon) = self.announced.get(&place).cloned() else {
            return;
        };
        let old = daemon.relay;
        daemon.relay = partner(old);
        let record = daemon.record.clone();
        if !late {
            self.detach(old, &record);
        }
        self.attach(place, daemon);
        if late {
            self.detach(old, &record);
        }
    }

    fn lose_relay(&mut self, relay: usize, model: &Model) {
        self.sets[relay] = MemberSet::new(&format!("domain-{}", domain_of(relay)), SETTINGS);
        self.sets[relay].start_relay();
        let name = format!("relay-{relay}");
        self.sets[partner(relay)].clear_attached(&name);
        let survivors: Vec<usize> = model.daemons.keys().copied().collect();
        self.announced.retain(|place, _| survivors.contains(place));
        let moving: Vec<usize> = self
            .announced
            .iter()
            .filter(|(_, daemon)| daemon.relay == relay)
            .map(|(place, _)| *place)
            .collect();
        for place in moving {
            let mut daemon = self.announced[&place].clone();
            daemon.relay = partner(relay);
            self.attach(place, daemon);
        }
        self.send_attached();
    }

    /// Sends each relay the attachment keys of the other one of its failure domain.
    fn send_attached(&mut self) {
        for relay in 0..DOMAINS * RELAYS {
            let keys = self.sets[relay].attached();
            self.sets[partner(relay)].mark_attached(&format!("relay-{relay}"), keys);
        }
    }

    fn deliver(&mut self, message: &Message, model: &Model) {
        if model.reaches(message.from, message.to) {
            let records = message.records.clone();
            let changed = self.sets[message.to].merge(records, self.now);
            self.broadcast(message.to, &changed);
        }
    }

    fn synchronise(&mut self, from: usize, to: usize, model: &Model) {
        if from == to || !model.reaches(from, to) {
            return;
        }
        let digests = self.sets[to].digests();
        let (records, wanted) = self.sets[from].diff(&digests);
        let changed = self.sets[to].merge(records, self.now);
        self.broadcast(to, &changed);
        for domain in wanted {
            let records = self.sets[to].records_of(&domain);
            let changed = self.sets[from].merge(records, self.now);
            self.broadcast(from, &changed);
        }
    }

    fn advance(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.now += Duration::from_secs(1);
            for index in 0..SETS {
                let changed = self.sets[index].sweep(self.now);
                self.broadcast(index, &changed);
            }
            self.refute();
        }
    }

    /// Lets each daemon announce itself again if its record is outranked at its relay.
    fn refute(&mut self) {
        for place in 0..PLACES {
            let Some(daemon) = self.announced.get(&place) else {
                continue;
            };
            if self.sets[daemon.relay].refutation(&daemon.record).is_some() {
                let state = daemon.record.state();
                self.announce(place, state);
            }
        }
    }

    /// Delivers and synchronises without cuts until all time limits in the settings have passed.
    fn converge(&mut self) {
        let connected = Model::default();
        for _ in 0..SETTLE_SECONDS {
            for message in std::mem::take(&mut self.messages) {
                self.deliver(&message, &connected);
            }
            for from in 0..SETS {
                self.synchronise(from, (from + 1) % SETS, &connected);
            }
            self.refute();
            self.advance(1);
        }
    }

    /// Checks that every set contains exactly the live daemons, and that all digests agree.
    fn check_converged(&self) {
        let live: BTreeMap<&str, (u64, MemberState)> = self
            .announced
            .values()
            .map(|daemon| &daemon.record)
            .map(|record| (record.name.as_str(), (record.incarnation, record.state())))
            .collect();
        for (index, set) in self.sets.iter().enumerate() {
            let fleet = set.fleet();
            let known: BTreeMap<&str, (u64, MemberState)> = fleet
                .members()
                .values()
                .map(|member| (member.name.as_str(), (member.incarnation, member.state())))
                .collect();
            assert_eq!(known, live, "set {index}");
            assert_eq!(set.digest(), self.sets[0].digest(), "digest of set {index}");
        }
    }
}

struct Members;

impl StateMachineTest for Members {
    type SystemUnderTest = Network;
    type Reference = Model;

    fn init_test(_: &Model) -> Network {
        Network::new()
    }

    fn apply(mut network: Network, model: &Model, step: Step) -> Network {
        match step {
            Step::Start { place, .. } => network.attach(place, model.daemons[&place].clone()),
            Step::Announce { place } => {
                let state = model.daemons[&place].record.state();
                network.announce(place, state);
            }
            Step::Drain { place } => network.announce(place, MemberState::Draining),
            Step::Vanish { place } => {
                if let Some(daemon) = network.announced.remove(&place) {
                    network.detach(daemon.relay, &daemon.record);
                }
            }
            Step::Switch { place, late } => network.switch(place, late),
            Step::LoseRelay { relay, .. } => network.lose_relay(relay, model),
            Step::Deliver { pick } if !network.messages.is_empty() => {
                let pick = pick % network.messages.len();
                let message = network.messages.swap_remove(pick);
                network.deliver(&message, model);
            }
            Step::Duplicate { pick } if !network.messages.is_empty() => {
                let pick = pick % network.messages.len();
                let message = network.messages.swap_remove(pick);
                network.deliver(&message, model);
                network.messages.push(message);
            }
            Step::Cut { .. }
            | Step::Heal { .. }
            | Step::Deliver { .. }
            | Step::Duplicate { .. } => {}
            Step::Synchronise { from, to } => network.synchronise(from, to, model),
            Step::Advance { seconds } => network.advance(seconds),
        }
        network
    }

    fn check_invariants(network: &Network, _: &Model) {
        // The last announcement of a live, attached daemon is never removed.
        for daemon in network.announced.values() {
            for (index, set) in network.sets.iter().enumerate() {
                let Some(known) = set.record(&daemon.record.name) else {
                    continue;
                };
                let removed = known.state() == MemberState::Gone
                    && known.incarnation == daemon.record.incarnation
                    && known.sequence == daemon.record.sequence;
                assert!(!removed, "set {index} removed {:?}", daemon.record);
            }
        }
    }

    fn teardown(mut network: Network, _: Model) {
        network.converge();
        network.check_converged();
    }
}

fn config() -> Config {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let cases = number("BAOBAB_FUZZ_CASES").unwrap_or(96);
    Config {
        cases: u32::try_from(cases).unwrap_or(u32::MAX),
        rng_seed: RngSeed::Fixed(number("BAOBAB_FUZZ_SEED").unwrap_or(1)),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]
    #[test]
    fn sets_converge(sequential 1..80 => Members);
}
