//! Stateful fuzzing of attempts, lost answers, fences, restarts and keys against a simple oracle.
//!
//! The model counts how often each call ran and what its caller was told. The steps are what a
//! network and two daemons may do, in any order: an attempt waits in the network, comes, waits for a
//! slot, is sent to the backend server, ends; its answer comes or is lost; the sender asks for its
//! fate; the inbound side starts again; time passes.

use baobabstage::call::attempt::AttemptId;
use baobabstage::call::fence::{Fate, MAX_AGE, Record};
use baobabstage::call::idempotency::{Begin, Ending, KEY_TIME, Kept, KeyId, Keys};
use http::{HeaderMap, StatusCode};
use hyper::body::Bytes;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// A record so small that attempts are forgotten.
const CAPACITY: usize = 4;

const KEYS: usize = 3;

/// The environment variable that sets the number of cases.
const CASES_VARIABLE: &str = "BAOBAB_FUZZ_CASES";

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A caller makes a call, with or without a key.
    Call(Option<usize>),
    /// A message in the network comes.
    Arrive(usize),
    /// An attempt that waits gets its slot.
    Dispatch(usize),
    /// An attempt that runs ends, with or without an answer of the backend server.
    End(usize, bool),
    /// An attempt that runs ends, and its answer does not reach the sender.
    Lose(usize),
    /// The inbound side gives up an attempt that waits, and refuses it.
    Refuse(usize),
    /// The sender loses the connection, and asks for the fate.
    Fence(usize),
    /// The inbound side starts again.
    Restart,
    /// Time passes, in milliseconds.
    Pass(u64),
}

/// The reference only draws steps; the oracle is kept beside the real parts.
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let which = 0..64_usize;
        let long = u64::try_from(MAX_AGE.as_millis()).unwrap() * 3;
        prop_oneof![
            4 => prop::option::of(0..KEYS).prop_map(Step::Call),
            4 => which.clone().prop_map(Step::Arrive),
            4 => which.clone().prop_map(Step::Dispatch),
            3 => (which.clone(), any::<bool>()).prop_map(|(n, whole)| Step::End(n, whole)),
            2 => which.clone().prop_map(Step::Lose),
            1 => which.clone().prop_map(Step::Refuse),
            3 => which.prop_map(Step::Fence),
            1 => Just(Step::Restart),
            2 => (1..50_u64).prop_map(Step::Pass),
            1 => (1..long).prop_map(Step::Pass),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    Network,
    Waiting,
    Running,
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Nothing,
    Answer,
    NotRun,
    Unknown,
}

#[derive(Clone, Debug)]
struct Attempt {
    call: usize,
    sent_ms: u64,
    incarnation: u64,
    place: Place,
    /// Whether the sender no longer waits for it.
    lost: bool,
}

#[derive(Clone, Debug)]
struct Call {
    key: Option<usize>,
    runs: u32,
    told: Told,
}

struct Mesh {
    start: Instant,
    now: Instant,
    incarnation: u64,
    record: Record,
    keys: Keys,
    calls: Vec<Call>,
    attempts: Vec<Attempt>,
    /// Runs of each key at each incarnation of the inbound side.
    key_runs: BTreeMap<(u64, usize), u32>,
}

impl Mesh {
    fn new() -> Self {
        let now = Instant::now();
        Mesh {
            start: now,
            now,
            incarnation: 1,
            record: Record::new(now, CAPACITY),
            keys: Keys::default(),
            calls: Vec::new(),
            attempts: Vec::new(),
            key_runs: BTreeMap::new(),
        }
    }

    fn send(&mut self, call: usize) {
        self.attempts.push(Attempt {
            call,
            sent_ms: self.record.clock_ms(self.now),
            incarnation: self.incarnation,
            place: Place::Network,
            lost: false,
        });
    }

    fn pick(&self, number: usize, place: Place) -> Option<usize> {
        let fits = |index: &usize| self.attempts[*index].place == place;
        let fitting: Vec<usize> = (0..self.attempts.len()).filter(fits).collect();
        let len = fitting.len();
        (len > 0).then(|| fitting[number % len])
    }

    fn tell(&mut self, index: usize, told: Told) {
        let Attempt { call, lost, .. } = self.attempts[index];
        if !lost && self.calls[call].told == Told::Nothing {
            self.calls[call].told = told;
        }
    }

    fn id(index: usize) -> AttemptId {
        AttemptId(index as u128)
    }

    fn key_id(key: usize) -> KeyId {
        KeyId::new("certs", key.to_string().as_bytes())
    }

    fn arrive(&mut self, index: usize) {
        let attempt = self.attempts[index].clone();
        if attempt.incarnation != self.incarnation {
            self.attempts[index].place = Place::Gone;
            return self.tell(index, Told::NotRun);
        }
        if let Some(key) = self.calls[attempt.call].key {
            match self.keys.begin(self.now, Mesh::key_id(key), 0) {
                Begin::Run => {}
                Begin::Answer(_) => {
                    self.attempts[index].place = Place::Gone;
                    return self.tell(index, Told::Answer);
                }
                Begin::Join(_) | Begin::Refuse(_) => {
                    self.attempts[index].place = Place::Gone;
                    return self.tell(index, Told::Unknown);
                }
            }
        }
        let id = Mesh::id(index);
        if self.record.arrive(self.now, id, attempt.sent_ms).is_ok() {
            self.attempts[index].place = Place::Waiting;
            return;
        }
        self.attempts[index].place = Place::Gone;
        self.end_key(index, &Ending::NotRun);
        self.tell(index, Told::Unknown);
    }

    fn dispatch(&mut self, index: usize) {
        let call = self.attempts[index].call;
        if !self.record.dispatch(Mesh::id(index)) {
            self.attempts[index].place = Place::Gone;
            self.end_key(index, &Ending::NotRun);
            return self.tell(index, Told::NotRun);
        }
        self.attempts[index].place = Place::Running;
        self.calls[call].runs += 1;
        if let Some(key) = self.calls[call].key {
            *self.key_runs.entry((self.incarnation, key)).or_default() += 1;
        }
    }

    fn end(&mut self, index: usize, whole: bool) {
        self.record.finish(Mesh::id(index));
        self.attempts[index].place = Place::Gone;
        let kept = Kept {
            status: StatusCode::OK,
            headers: HeaderMap::new(),
            body: Bytes::new(),
        };
        if whole {
            self.end_key(index, &Ending::Answered(Arc::new(kept)));
            self.tell(index, Told::Answer);
        } else {
            self.end_key(index, &Ending::Unknown);
            self.tell(index, Told::Unknown);
        }
    }

    fn lose(&mut self, index: usize) {
        self.record.finish(Mesh::id(index));
        self.attempts[index].place = Place::Gone;
        self.end_key(index, &Ending::Unknown);
    }

    fn refuse(&mut self, index: usize) {
        self.record.finish(Mesh::id(index));
        self.attempts[index].place = Place::Gone;
        self.end_key(index, &Ending::NotRun);
        self.tell(index, Told::NotRun);
    }

    fn end_key(&mut self, index: usize, ending: &Ending) {
        if let Some(key) = self.calls[self.attempts[index].call].key {
            self.keys.end(Mesh::key_id(key), ending);
        }
    }

    /// The sender loses an attempt and sends another only if the first never runs.
    fn fence(&mut self, number: usize) {
        let open = |index: &usize| {
            let attempt = &self.attempts[*index];
            !attempt.lost && self.calls[attempt.call].told == Told::Nothing
        };
        let open: Vec<usize> = (0..self.attempts.len()).filter(open).collect();
        if open.is_empty() {
            return;
        }
        let index = open[number % open.len()];
        let attempt = self.attempts[index].clone();
        let fate = if attempt.incarnation == self.incarnation {
            let id = Mesh::id(index);
            self.record.fence(self.now, id, attempt.sent_ms)
        } else {
            Fate::Forgotten
        };
        if fate == Fate::NeverRuns {
            self.attempts[index].lost = true;
            self.send(attempt.call);
        } else {
            self.tell(index, Told::Unknown);
            self.attempts[index].lost = true;
        }
    }

    /// The inbound side dies with its record; what its backend server runs has no caller any more.
    fn restart(&mut self) {
        for index in 0..self.attempts.len() {
            if matches!(self.attempts[index].place, Place::Waiting | Place::Running) {
                self.attempts[index].place = Place::Gone;
                self.tell(index, Told::Unknown);
            }
        }
        self.incarnation += 1;
        self.record = Record::new(self.now, CAPACITY);
        self.keys = Keys::default();
    }
}

struct Fuzz;

impl StateMachineTest for Fuzz {
    type SystemUnderTest = Mesh;
    type Reference = Steps;

    fn init_test((): &()) -> Mesh {
        Mesh::new()
    }

    fn apply(mut mesh: Mesh, (): &(), step: Step) -> Mesh {
        match step {
            Step::Call(key) => {
                let told = Told::Nothing;
                mesh.calls.push(Call { key, runs: 0, told });
                mesh.send(mesh.calls.len() - 1);
            }
            Step::Arrive(n) => {
                if let Some(index) = mesh.pick(n, Place::Network) {
                    mesh.arrive(index);
                }
            }
            Step::Dispatch(n) => {
                if let Some(index) = mesh.pick(n, Place::Waiting) {
                    mesh.dispatch(index);
                }
            }
            Step::End(n, whole) => {
                if let Some(index) = mesh.pick(n, Place::Running) {
                    mesh.end(index, whole);
                }
            }
            Step::Lose(n) => {
                if let Some(index) = mesh.pick(n, Place::Running) {
                    mesh.lose(index);
                }
            }
            Step::Refuse(n) => {
                if let Some(index) = mesh.pick(n, Place::Waiting) {
                    mesh.refuse(index);
                }
            }
            Step::Fence(n) => mesh.fence(n),
            Step::Restart => mesh.restart(),
            Step::Pass(ms) => mesh.now += Duration::from_millis(ms),
        }
        mesh
    }

    fn check_invariants(mesh: &Mesh, (): &()) {
        for (number, call) in mesh.calls.iter().enumerate() {
            assert!(call.runs <= 1, "call {number} ran {} times", call.runs);
            let denied = call.told == Told::NotRun && call.runs > 0;
            assert!(!denied, "call {number} ran and was told not-run");
        }
        if mesh.now.saturating_duration_since(mesh.start) < KEY_TIME {
            for (key, runs) in &mesh.key_runs {
                assert!(*runs <= 1, "key {key:?} ran {runs} times");
            }
        }
        let waits = mesh.attempts.iter().filter(|a| a.place == Place::Waiting);
        let runs = mesh.attempts.iter().filter(|a| a.place == Place::Running);
        let most = CAPACITY + waits.count() + runs.count() + 1;
        assert!(
            mesh.record.len() <= most,
            "record holds {}",
            mesh.record.len()
        );
    }
}

fn cases() -> u32 {
    let cases = std::env::var(CASES_VARIABLE).ok();
    cases.and_then(|cases| cases.parse().ok()).unwrap_or(400)
}

/// Reads the seed of a longer run; the same in CI each time.
fn seed() -> [u8; 32] {
    let seed = std::env::var("BAOBAB_FUZZ_SEED").ok();
    let seed: u64 = seed.and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    bytes
}

#[test]
fn attempts_run_at_most_once() {
    let config = Config {
        cases: cases(),
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed());
    let mut runner = TestRunner::new_with_rng(config.clone(), rng);
    let steps = Steps::sequential_strategy(1..120_usize);
    let outcome = runner.run(&steps, |(initial, steps, seen)| {
        Fuzz::test_sequential(config.clone(), initial, steps, seen);
        Ok(())
    });
    outcome.unwrap();
}
