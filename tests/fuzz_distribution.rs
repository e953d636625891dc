//! Distribution: updates cross, repeat, arrive damaged or from stale daemons, and daemons restart.
//!
//! The oracle is the list of accepted versions and the highest version that each daemon has taken.

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
enum Damage {
    /// The encoding ends early.
    Truncated(u16),
    /// A byte is another one.
    Flipped(u16),
    /// A resource is missing from the update.
    Part(u16),
    /// The update claims another version.
    Renamed(u8),
}

#[derive(Clone, Debug)]
enum Transition {
    Accept(Vec<Op>),
    /// A daemon reads the newest version itself.
    Load(usize),
    /// A daemon sends another what leads from a version that the other may no longer have.
    Send(usize, usize, Index),
    /// A message arrives; it may arrive again later.
    Deliver(Index, bool),
    /// A message arrives damaged.
    Damaged(Index, Damage),
    /// A daemon starts anew and learns its floor.
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
        let damage = prop_oneof![
            any::<u16>().prop_map(Damage::Truncated),
            any::<u16>().prop_map(Damage::Flipped),
            any::<u16>().prop_map(Damage::Part),
            any::<u8>().prop_map(Damage::Renamed),
        ];
        let index = any::<Index>();
        prop_oneof![
            4 => ops().prop_map(Transition::Accept),
            2 => daemon.clone().prop_map(Transition::Load),
            6 => (daemon.clone(), daemon.clone(), index.clone())
                .prop_map(|(from, to, base)| Transition::Send(from, to, base)),
            6 => (index.clone(), any::<bool>())
                .prop_map(|(message, again)| Transition::Deliver(message, again)),
            2 => (index, damage).prop_map(|(message, damage)| Transition::Damaged(message, damage)),
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
    /// The highest version taken since the start, before it, and in all.
    taken: u64,
    floor: u64,
    highest: u64,
}

struct Fixture {
    accepted: Vec<Arc<Snapshot>>,
    daemons: Vec<Daemon>,
    wire: Vec<(usize, wire::Update)>,
}

impl StateMachineTest for Fixture {
    type SystemUnderTest = Fixture;
    type Reference = Model;

    fn init_test((): &()) -> Fixture {
        Fixture {
            accepted: vec![Arc::default()],
            daemons: (0..DAEMONS).map(|_| Daemon::default()).collect(),
            wire: Vec::new(),
        }
    }

    fn apply(mut state: Fixture, (): &(), transition: Transition) -> Fixture {
        match transition {
            Transition::Accept(ops) => state.accept(&ops),
            Transition::Load(daemon) => {
                let newest = Arc::clone(&state.accepted[state.accepted.len() - 1]);
                state.daemons[daemon].take(newest);
            }
            Transition::Send(from, to, base) => state.send(from, to, base),
            Transition::Deliver(message, again) => state.deliver(message, again),
            Transition::Damaged(message, damage) => state.deliver_damaged(message, damage),
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
        // What the sender believes may be what the receiver had a while ago.
        let base = self.accepted[base.index(version + 1)].stamp();
        if let Some(update) = self.daemons[from].history.update_from(base) {
            self.wire.push((to, update));
        }
    }

    fn deliver(&mut self, message: Index, again: bool) {
        if self.wire.is_empty() {
            return;
        }
        let index = message.index(self.wire.len());
        let (to, update) = if again {
            self.wire[index].clone()
        } else {
            self.wire.swap_remove(index)
        };
        self.daemons[to].receive(update);
    }

    fn deliver_damaged(&mut self, message: Index, damage: Damage) {
        if self.wire.is_empty() {
            return;
        }
        let (to, update) = self.wire[message.index(self.wire.len())].clone();
        if let Some(update) = damaged(update, damage) {
            self.daemons[to].receive(update);
        }
    }

    fn check(&self) {
        for daemon in &self.daemons {
            let stamp = daemon.cell.stamp();
            assert_eq!(
                stamp.version, daemon.taken,
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
        if let Ok(snapshot) = self.history.open(update) {
            self.take(snapshot);
        }
    }

    fn take(&mut self, snapshot: Arc<Snapshot>) {
        let version = snapshot.version();
        self.history.add(Arc::clone(&snapshot));
        let applied = self.cell.apply(snapshot);
        assert_eq!(
            matches!(applied, Ok(true)),
            version > self.taken && version >= self.floor,
            "{applied:?}"
        );
        if version >= self.floor {
            self.taken = self.taken.max(version);
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

/// Damages an update; `None` when it can no longer be read at all.
fn damaged(update: wire::Update, damage: Damage) -> Option<wire::Update> {
    let mut bytes = update.encode_to_vec();
    let place = |at: u16, len: usize| usize::from(at) % len.max(1);
    match damage {
        Damage::Truncated(at) => {
            let len = bytes.len();
            bytes.truncate(place(at, len));
        }
        Damage::Flipped(at) => {
            let len = bytes.len();
            bytes[place(at, len)] ^= 0x11;
        }
        Damage::Part(at) => {
            let mut update = update;
            if let Some(Content::Delta(delta)) = &mut update.content
                && !delta.upserts.is_empty()
            {
                delta.upserts.remove(place(at, delta.upserts.len()));
            }
            return Some(update);
        }
        Damage::Renamed(by) => {
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
