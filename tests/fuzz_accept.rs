//! Accepting changes: several operators race on a platform that is late, down or loses answers.
//!
//! The oracle is the list of values that `head` has had, and what each operator was told.

#[path = "support/fake.rs"]
mod fake;
#[path = "support/fuzz.rs"]
mod fuzz;
#[path = "support/resources.rs"]
mod resources;

use baobabstage::generated::mesh as wire;
use baobabstage::prelude::*;
use baobabstage::store::{Outcome, Store};
use baobabstage::table::Table;
use baobabstage::{Change, snapshot};
use fake::{Fake, Faults};
use proptest::prelude::*;
use proptest::sample::Index;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use prost::Message;
use resources::{Op, operations, ops};
use tokio::runtime::Runtime;
use tokio::time::{Instant, sleep};

const OPERATORS: usize = 3;
const ACCEPT_TIME: Duration = Duration::from_secs(5);
const SETTLE_TIME: Duration = Duration::from_mins(1);

#[derive(Clone, Debug)]
enum Action {
    New(Vec<Op>),
    /// The same change under the same id.
    Again(Index),
    /// Another change under a used id.
    Reuse(Index, Vec<Op>),
    Revert(Index),
}

#[derive(Clone, Debug)]
enum Transition {
    /// Actions at the same time, each by an operator.
    Race(Vec<(usize, Action)>),
    Faults(Faults),
}

struct Model;

impl ReferenceStateMachine for Model {
    /// The seed of the platform.
    type State = u64;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Transition> {
        let action = prop_oneof![
            5 => ops().prop_map(Action::New),
            2 => any::<Index>().prop_map(Action::Again),
            1 => (any::<Index>(), ops()).prop_map(|(index, ops)| Action::Reuse(index, ops)),
            2 => any::<Index>().prop_map(Action::Revert),
        ];
        let race = prop::collection::vec((0..OPERATORS, action), 1..4);
        let share = 0..40u32;
        let faults = (0..4u8, share.clone(), share.clone(), share);
        let faults = faults.prop_map(|(down, lost, late, refused)| Faults {
            down: down == 0,
            lost,
            late,
            refused,
        });
        prop_oneof![
            5 => race.prop_map(Transition::Race),
            1 => faults.prop_map(Transition::Faults),
            1 => Just(Transition::Faults(Faults::default())),
        ]
        .boxed()
    }

    fn apply(seed: u64, _: &Transition) -> u64 {
        seed
    }
}

/// A submission and what came of it.
struct Told {
    id: String,
    digest: Option<u128>,
    outcome: Outcome,
    started: Instant,
    ended: Instant,
}

struct Fixture {
    runtime: Runtime,
    fake: Fake,
    stores: Vec<Arc<Store>>,
    changes: Vec<Change>,
    told: Vec<Told>,
    checked: usize,
}

enum Submission {
    Change(Change),
    Revert(String),
}

impl StateMachineTest for Fixture {
    type SystemUnderTest = Fixture;
    type Reference = Model;

    fn init_test(seed: &u64) -> Fixture {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let fake = Fake::new(*seed);
        let store = || Arc::new(Store::new(Arc::new(fake.clone())));
        let stores = (0..OPERATORS).map(|_| store()).collect();
        Fixture {
            runtime,
            fake,
            stores,
            changes: Vec::new(),
            told: Vec::new(),
            checked: 0,
        }
    }

    fn apply(mut state: Fixture, _: &u64, transition: Transition) -> Fixture {
        match transition {
            Transition::Faults(faults) => state.fake.set(faults),
            Transition::Race(actions) => state.race(actions),
        }
        state.check_heads();
        state
    }

    fn teardown(mut state: Fixture, _: u64) {
        state.settle();
        state.check_heads();
        state.check_told();
        state.check_known();
    }
}

impl Fixture {
    fn race(&mut self, actions: Vec<(usize, Action)>) {
        let now = self.newest();
        let mut submissions = Vec::new();
        for (operator, action) in actions {
            if let Some(submission) = self.submission(action, &now) {
                submissions.push((operator, submission));
            }
        }
        self.submit(submissions);
    }

    fn submission(&mut self, action: Action, now: &Snapshot) -> Option<Submission> {
        let used = |index: Index, changes: &[Change]| {
            (!changes.is_empty()).then(|| index.get(changes).clone())
        };
        match action {
            Action::New(ops) => {
                let id = format!("c{}", self.changes.len());
                let change = Change::new(id, "", operations(&ops, now)).unwrap();
                self.changes.push(change.clone());
                Some(Submission::Change(change))
            }
            Action::Again(index) => used(index, &self.changes).map(Submission::Change),
            Action::Reuse(index, ops) => {
                let old = used(index, &self.changes)?;
                let change = Change::new(old.id(), "", operations(&ops, now)).unwrap();
                Some(Submission::Change(change))
            }
            Action::Revert(index) => {
                let old = used(index, &self.changes)?;
                Some(Submission::Revert(old.id().into()))
            }
        }
    }

    fn submit(&mut self, submissions: Vec<(usize, Submission)>) {
        let stores = &self.stores;
        let told = self.runtime.block_on(async {
            let mut tasks = Vec::new();
            for (operator, submission) in submissions {
                let store = Arc::clone(&stores[operator]);
                tasks.push(tokio::spawn(submit(store, submission)));
            }
            let mut told = Vec::new();
            for task in tasks {
                told.push(task.await.unwrap());
            }
            told
        });
        self.told.extend(told);
    }

    /// Ends the faults and lets every late write land.
    fn settle(&self) {
        self.fake.set(Faults::default());
        self.runtime.block_on(async { sleep(SETTLE_TIME).await });
    }

    fn load(&self, head: &wire::Head) -> Snapshot {
        let stamp = Stamp::from_wire(head.stamp.as_ref());
        let snapshot::Stamp { version, hash } = stamp;
        let mut data = Vec::new();
        for chunk in 0..head.chunks {
            let key = format!("snapshot/{version:012}/{hash:032x}/{chunk}");
            data.extend_from_slice(&self.fake.peek(&key).expect("a chunk of head is there"));
        }
        let snapshot = Snapshot::decode(&data).unwrap();
        assert_eq!(snapshot.stamp(), stamp);
        snapshot
    }

    fn newest(&self) -> Snapshot {
        let heads = self.fake.heads();
        heads.last().map(|head| self.load(head)).unwrap_or_default()
    }

    /// The history is linear, holds each change once, and each version is whole and valid.
    fn check_heads(&mut self) {
        let heads = self.fake.heads();
        for (index, head) in heads.iter().enumerate().skip(self.checked) {
            let snapshot = self.load(head);
            assert_eq!(snapshot.version(), index as u64 + 1);
            let repeated = heads[..index].iter().any(|old| old.change == head.change);
            assert!(!repeated, "change {} is accepted twice", head.change);
            Table::compile(Arc::new(snapshot)).expect("an accepted version is valid");
            let log = self.fake.peek(&head.log).expect("the log of head is there");
            let log = wire::LogPage::decode(log).unwrap();
            assert_eq!(log.entries.len(), index + 1);
            let last = &log.entries[index];
            assert_eq!((&last.stamp, &last.change), (&head.stamp, &head.change));
            assert!(self.fake.peek(&last.record).is_some());
        }
        self.checked = heads.len();
    }

    /// What operators were told is so.
    fn check_told(&self) {
        let heads = self.fake.heads();
        for told in &self.told {
            let found = heads.iter().position(|head| head.change == told.id);
            match &told.outcome {
                Outcome::Accepted { version, .. } => {
                    let found = found.map(|index| index as u64 + 1);
                    assert_eq!(found, Some(*version), "{}: told accepted", told.id);
                }
                Outcome::Refused(err) => {
                    let is_this = found.is_some_and(|index| self.is_accepted(&heads[index], told));
                    let by_another = self.told.iter().any(|other| {
                        other.id == told.id
                            && !std::ptr::eq(other, told)
                            && other.ended > told.ended
                    });
                    assert!(
                        !is_this || by_another,
                        "{}: told not accepted ({err}), but it is",
                        told.id
                    );
                }
                Outcome::Unknown(_) => {}
            }
            assert!(told.ended - told.started <= ACCEPT_TIME * 2);
        }
    }

    fn is_accepted(&self, head: &wire::Head, told: &Told) -> bool {
        let log = self.fake.peek(&head.log).unwrap();
        let log = wire::LogPage::decode(log).unwrap();
        let digest = &log.entries.last().unwrap().digest;
        told.digest
            .is_none_or(|told| digest[..] == told.to_be_bytes())
    }

    /// On a healthy platform every question has an answer.
    fn check_known(&mut self) {
        for change in self.changes.clone() {
            self.submit(vec![(0, Submission::Change(change))]);
            let told = self.told.last().unwrap();
            assert!(!matches!(told.outcome, Outcome::Unknown(_)));
        }
        self.check_heads();
        self.check_told();
    }
}

async fn submit(store: Arc<Store>, submission: Submission) -> Told {
    let started = Instant::now();
    let deadline = started + ACCEPT_TIME;
    let (id, digest, outcome) = match submission {
        Submission::Change(change) => {
            let outcome = store.accept(&change, deadline).await;
            (change.id().to_owned(), Some(change.digest()), outcome)
        }
        Submission::Revert(target) => {
            let id = format!("revert-{target}");
            let outcome = store.revert(&target, &id, deadline).await;
            (id, None, outcome)
        }
    };
    Told {
        id,
        digest,
        outcome,
        started,
        ended: Instant::now(),
    }
}

prop_state_machine! {
    #![proptest_config(fuzz::config(200))]

    #[test]
    fn accept_races(sequential 1..25 => Fixture);
}
