//! Distribution of versions with reordered, repeated, corrupt and stale updates, and restarts.
//!
//! The oracle is the list of accepted versions and the highest version that each daemon applied.

#[path = "support/fuzz.rs"]
mod fuzz;
#[path = "support/resources.rs"]
mod resources;

use baobabstage::Change;
use baobabstage::daemon::ConfigCell;
use baobabstage::generated::mesh as wire;
use baobabstage::generated::mesh::update::Content;
use baobabstage::prelude::*;
use baobabstage::tree::history::History;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use prost::Message;
use resources::{Op, operations, ops};

const DAEMONS: usize = 4;

#[derive(Clone, Copy, Debug)]
enum Corruption {
    /// The encoded update is truncated.
    Truncated(u16),
    /// Bits of one byte are flipped.
    Flipped(u16),
    /// A resource is missing from the update.
    Incomplete(u16),
    /// The update states another version.
    WrongVersion(u8),
}

#[derive(Clone, Debug)]
enum Transition {
    Accept(Vec<Op>),
    /// A daemon reads the newest version from the platform.
    Load(usize),
    /// A daemon sends another an update from a base that the receiver may no longer have.
    Send(usize, usize, Index),
    /// A message is delivered; if true, it stays in transit and may be delivered again.
    Deliver(Index, bool),
    /// A corrupt copy of a message is delivered.
    DeliverCorrupt(Index, Corruption),
    /// A daemon restarts without history and receives its floor.
    Restart(usize),
}

struct Model;

impl ReferenceStateMachine for Model {
    type State = ();
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Transition> {
        let daemon = 0..DAEMONS;
        let corruption = prop_oneof![
            any::<u16>().prop_map(Corruption::Truncated),
            any::<u16>().prop_map(Corruption::Flipped),
            any::<u16>().prop_map(Corruption::Incomplete),
            any::<u8>().prop_map(Corruption::WrongVersion),
        ];
        let index = any::<Index>();
        prop_oneof![
            4 => ops().prop_map(Transition::Accept),
            2 => daemon.clone().prop_map(Transition::Load),
            6 => (daemon.clone(), daemon.clone(), index.clone())
                .prop_map(|(from, to, base)| Transition::Send(from, to, base)),
            6 => (index.clone(), any::<bool>())
                .prop_map(|(message, again)| Transition::Deliver(message, again)),
            2 => (index, corruption)
                .prop_map(|(message, corruption)| Transition::DeliverCorrupt(message, corruption)),
            1 => daemon.prop_map(Transition::Restart),
        ]
        .boxed()
    }

    fn apply((): (), _: &Transition) {}
}

#[derive(Default)]
struct Daemon {
    history: History,
    cell: ConfigCell,
    /// The highest version applied since the last restart.
    applied: u64,
    /// The highest version applied before the last restart.
    floor: u64,
    /// The highest version ever applied.
    highest: u64,
}

struct Fixture {
    /// The accepted versions; version `n` is at index `n`.
    accepted: Vec<Arc<Snapshot>>,
    daemons: Vec<Daemon>,
    /// Updates with their receivers.
    in_transit: Vec<(usize, wire::Update)>,
}

impl StateMachineTest for Fixture {
    type SystemUnderTest = Fixture;
    type Reference = Model;

    fn init_test((): &()) -> Fixture {
        Fixture {
            accepted: vec![Arc::default()],
            daemons: (0..DAEMONS).map(|_| Daemon::default()).collect(),
            in_transit: Vec::new(),
        }
    }

    fn apply(mut state: Fixture, (): &(), transition: Transition) -> Fixture {
        match transition {
            Transition::Accept(ops) => state.accept(&ops),
            Transition::Load(daemon) => {
                let newest = Arc::clone(&state.accepted[state.accepted.len() - 1]);
                state.daemons[daemon].apply_snapshot(newest);
            }
            Transition::Send(from, to, base) => state.send(from, to, base),
            Transition::Deliver(message, again) => state.deliver(message, again),
            Transition::DeliverCorrupt(message, corruption) => {
                state.deliver_corrupt(message, corruption);
            }
            Transition::Restart(daemon) => state.daemons[daemon].restart(),
        }
        state.check();
        state
    }
}

impl Fixture {
    fn accept(&mut self, ops: &[Op]) {
        let newest = Arc::clone(&self.accepted[self.accepted.len() - 1]);
        let id = format!("c{}", newest.version() + 1);
        let change = Change::new(id, "", operations(ops, &newest)).unwrap();
        if let Ok(applied) = change.apply(&newest) {
            self.accepted.push(Arc::new(applied.snapshot));
        }
    }

    fn send(&mut self, from: usize, to: usize, base: Index) {
        let version = self.daemons[to].cell.stamp().version;
        let version = usize::try_from(version).unwrap();
        // The sender may assume a version that the receiver had earlier.
        let base = self.accepted[base.index(version + 1)].stamp();
        if let Some(update) = self.daemons[from].history.update_from(base) {
            self.in_transit.push((to, update));
        }
    }

    fn deliver(&mut self, message: Index, again: bool) {
        if self.in_transit.is_empty() {
            return;
        }
        let index = message.index(self.in_transit.len());
        let (to, update) = if again {
            self.in_transit[index].clone()
        } else {
            self.in_transit.swap_remove(index)
        };
        self.daemons[to].receive(update);
    }

    fn deliver_corrupt(&mut self, message: Index, corruption: Corruption) {
        if self.in_transit.is_empty() {
            return;
        }
        let (to, update) = self.in_transit[message.index(self.in_transit.len())].clone();
        if let Some(update) = corrupt(update, corruption) {
            self.daemons[to].receive(update);
        }
    }

    fn check(&self) {
        for daemon in &self.daemons {
            let stamp = daemon.cell.stamp();
            assert_eq!(
                stamp.version, daemon.applied,
                "the highest version is in force"
            );
            assert!(stamp.version == 0 || stamp.version >= daemon.floor);
            let accepted = self.accepted.get(usize::try_from(stamp.version).unwrap());
            let accepted = accepted.expect("only accepted versions are in force");
            let snapshot = daemon.cell.snapshot();
            assert_eq!(stamp, accepted.stamp());
            assert_eq!(snapshot.resources(), accepted.resources());
            for res in snapshot.resources().values() {
                for (field, key) in res.spec.references() {
                    assert!(snapshot.resources().contains_key(&key), "{field} {key}");
                }
            }
        }
    }
}

impl Daemon {
    fn receive(&mut self, update: wire::Update) {
        if let Ok(snapshot) = self.history.decode_update(update) {
            self.apply_snapshot(snapshot);
        }
    }

    fn apply_snapshot(&mut self, snapshot: Arc<Snapshot>) {
        let version = snapshot.version();
        self.history.add(Arc::clone(&snapshot));
        let applied = self.cell.apply(snapshot);
        assert_eq!(
            matches!(applied, Ok(true)),
            version > self.applied && version >= self.floor,
            "{applied:?}"
        );
        if version >= self.floor {
            self.applied = self.applied.max(version);
            self.highest = self.highest.max(version);
        }
    }

    fn restart(&mut self) {
        let highest = self.highest;
        *self = Daemon {
            floor: highest,
            highest,
            ..Daemon::default()
        };
        self.cell.raise_floor(highest);
    }
}

/// Corrupts an update; `None` if it can no longer be decoded.
fn corrupt(update: wire::Update, corruption: Corruption) -> Option<wire::Update> {
    let mut bytes = update.encode_to_vec();
    let place = |at: u16, len: usize| usize::from(at) % len.max(1);
    match corruption {
        Corruption::Truncated(at) => {
            let len = bytes.len();
            bytes.truncate(place(at, len));
        }
        Corruption::Flipped(at) => {
            let len = bytes.len();
            bytes[place(at, len)] ^= 0x11;
        }
        Corruption::Incomplete(at) => {
            let mut update = update;
            if let Some(Content::Delta(delta)) = &mut update.content
                && !delta.upserts.is_empty()
            {
                delta.upserts.remove(place(at, delta.upserts.len()));
            }
            return Some(update);
        }
        Corruption::WrongVersion(by) => {
            let mut update = update;
            let stamp = match update.content.as_mut()? {
                Content::Full(packed) => packed.stamp.as_mut()?,
                Content::Delta(delta) => delta.stamp.as_mut()?,
            };
            stamp.version = stamp.version.wrapping_add(u64::from(by));
            return Some(update);
        }
    }
    wire::Update::decode(&bytes[..]).ok()
}

prop_state_machine! {
    #![proptest_config(fuzz::config(1_000))]

    #[test]
    fn distribution_keeps_versions(sequential 1..60 => Fixture);
}
