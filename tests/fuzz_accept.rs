//! Acceptance of changes by concurrent operators on a platform that is slow, down or loses
//! responses.
//!
//! The oracle is the sequence of values of `head`, compared with the outcome of each submission.

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
/// Time from the start of a submission to its deadline.
const ACCEPT_TIME: Duration = Duration::from_secs(5);
/// Longer than any delayed write of the fake platform takes.
const SETTLE_TIME: Duration = Duration::from_mins(1);

#[derive(Clone, Debug)]
enum Action {
    New(Vec<Op>),
    /// Resubmits a change under the same id.
    Again(Index),
    /// Submits another change under an id that is already used.
    Reuse(Index, Vec<Op>),
    Revert(Index),
}

#[derive(Clone, Debug)]
enum Transition {
    /// Concurrent actions, each with the operator that performs it.
    Race(Vec<(usize, Action)>),
    Faults(Faults),
}

struct Model;

impl ReferenceStateMachine for Model {
    /// The random seed of the fake platform.
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
        let percent = 0..40u32;
        let faults = (0..4u8, percent.clone(), percent.clone(), percent);
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

/// A submission and its outcome.
struct Submitted {
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
    submitted: Vec<Submitted>,
    /// Number of values of `head` that have been checked.
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
            submitted: Vec::new(),
            checked: 0,
        }
    }

    fn apply(mut state: Fixture, _: &u64, transition: Transition) -> Fixture {
        match transition {
            Transition::Faults(faults) => state.fake.set_faults(faults),
            Transition::Race(actions) => state.submit_actions(actions),
        }
        state.check_heads();
        state
    }

    fn teardown(mut state: Fixture, _: u64) {
        state.finish_writes();
        state.check_heads();
        state.check_outcomes();
        state.check_resolved();
    }
}

impl Fixture {
    fn submit_actions(&mut self, actions: Vec<(usize, Action)>) {
        let newest = self.newest();
        let mut submissions = Vec::new();
        for (operator, action) in actions {
            if let Some(submission) = self.submission(action, &newest) {
                submissions.push((operator, submission));
            }
        }
        self.submit(submissions);
    }

    fn submission(&mut self, action: Action, newest: &Snapshot) -> Option<Submission> {
        let used = |index: Index, changes: &[Change]| {
            (!changes.is_empty()).then(|| index.get(changes).clone())
        };
        match action {
            Action::New(ops) => {
                let id = format!("c{}", self.changes.len());
                let change = Change::new(id, "", operations(&ops, newest)).unwrap();
                self.changes.push(change.clone());
                Some(Submission::Change(change))
            }
            Action::Again(index) => used(index, &self.changes).map(Submission::Change),
            Action::Reuse(index, ops) => {
                let old = used(index, &self.changes)?;
                let change = Change::new(old.id(), "", operations(&ops, newest)).unwrap();
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
        let submitted = self.runtime.block_on(async {
            let mut tasks = Vec::new();
            for (operator, submission) in submissions {
                let store = Arc::clone(&stores[operator]);
                tasks.push(tokio::spawn(submit(store, submission)));
            }
            let mut submitted = Vec::new();
            for task in tasks {
                submitted.push(task.await.unwrap());
            }
            submitted
        });
        self.submitted.extend(submitted);
    }

    /// Clears the faults and waits until every delayed write has taken effect.
    fn finish_writes(&self) {
        self.fake.set_faults(Faults::default());
        self.runtime.block_on(async { sleep(SETTLE_TIME).await });
    }

    fn load(&self, head: &wire::Head) -> Snapshot {
        let stamp = Stamp::from_wire(head.stamp.as_ref());
        let snapshot::Stamp { version, hash } = stamp;
        let mut data = Vec::new();
        for chunk in 0..head.chunks {
            let key = format!("snapshot/{version:012}/{hash:032x}/{chunk}");
            data.extend_from_slice(&self.fake.value(&key).expect("every chunk of head exists"));
        }
        let snapshot = Snapshot::decode(&data).unwrap();
        assert_eq!(snapshot.stamp(), stamp);
        snapshot
    }

    fn newest(&self) -> Snapshot {
        let heads = self.fake.heads();
        heads.last().map(|head| self.load(head)).unwrap_or_default()
    }

    /// Checks that the history is linear, has each change once, and has only complete and valid
    /// versions.
    fn check_heads(&mut self) {
        let heads = self.fake.heads();
        for (index, head) in heads.iter().enumerate().skip(self.checked) {
            let snapshot = self.load(head);
            assert_eq!(snapshot.version(), index as u64 + 1);
            let repeated = heads[..index].iter().any(|old| old.change == head.change);
            assert!(!repeated, "change {} was accepted twice", head.change);
            Table::compile(Arc::new(snapshot)).expect("an accepted version is valid");
            let log = self.fake.value(&head.log).expect("the log of head exists");
            let log = wire::LogPage::decode(log).unwrap();
            assert_eq!(log.entries.len(), index + 1);
            let last = &log.entries[index];
            assert_eq!((&last.stamp, &last.change), (&head.stamp, &head.change));
            assert!(self.fake.value(&last.record).is_some());
        }
        self.checked = heads.len();
    }

    /// Checks the outcome of each submission against the history.
    fn check_outcomes(&self) {
        let heads = self.fake.heads();
        for submitted in &self.submitted {
            let found = heads.iter().position(|head| head.change == submitted.id);
            match &submitted.outcome {
                Outcome::Accepted { version, .. } => {
                    let found = found.map(|index| index as u64 + 1);
                    assert_eq!(
                        found,
                        Some(*version),
                        "{}: reported as accepted",
                        submitted.id
                    );
                }
                Outcome::Refused(err) => {
                    let is_this =
                        found.is_some_and(|index| self.is_accepted(&heads[index], submitted));
                    // A later submission under the same id may have been accepted.
                    let by_another = self.submitted.iter().any(|other| {
                        other.id == submitted.id
                            && !std::ptr::eq(other, submitted)
                            && other.ended > submitted.ended
                    });
                    assert!(
                        !is_this || by_another,
                        "{}: reported as refused ({err}), but was accepted",
                        submitted.id
                    );
                }
                Outcome::Unknown(_) => {}
            }
            assert!(submitted.ended - submitted.started <= ACCEPT_TIME * 2);
        }
    }

    fn is_accepted(&self, head: &wire::Head, submitted: &Submitted) -> bool {
        let log = self.fake.value(&head.log).unwrap();
        let log = wire::LogPage::decode(log).unwrap();
        let digest = &log.entries.last().unwrap().digest;
        submitted
            .digest
            .is_none_or(|expected| digest[..] == expected.to_be_bytes())
    }

    /// Checks that no outcome is unknown on a platform without faults.
    fn check_resolved(&mut self) {
        for change in self.changes.clone() {
            self.submit(vec![(0, Submission::Change(change))]);
            let submitted = self.submitted.last().unwrap();
            assert!(!matches!(submitted.outcome, Outcome::Unknown(_)));
        }
        self.check_heads();
        self.check_outcomes();
    }
}

async fn submit(store: Arc<Store>, submission: Submission) -> Submitted {
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
    Submitted {
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
