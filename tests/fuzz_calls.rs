//! Stateful fuzzing of attempts, lost responses, fences, restarts and idempotency keys against a
//! simple oracle.
//!
//! The oracle counts how often each call ran and records the reply to its caller. The steps are
//! what a network and two daemons may do, in any order: an attempt is in transit, arrives, waits
//! for a slot, is dispatched to the backend server and ends; its response arrives or is lost; the
//! sender fences it; the inbound side restarts; time passes.

use baobabstage::call::attempt::AttemptId;
use baobabstage::call::fence::{ExecutionStatus, MAX_AGE, Record};
use baobabstage::call::idempotency::{
    KEY_TTL, KeyDecision, KeyId, Keys, RunResult, StoredResponse,
};
use http::{HeaderMap, StatusCode};
use hyper::body::Bytes;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Capacity of the attempt record, so small that attempts are evicted.
const CAPACITY: usize = 4;

/// Number of idempotency keys that calls use.
const KEYS: usize = 3;

/// The environment variable that sets the number of cases; 400 without it.
const CASES_VARIABLE: &str = "BAOBAB_FUZZ_CASES";

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A caller makes a call, with or without a key.
    Call(Option<usize>),
    /// An attempt in transit arrives.
    Arrive(usize),
    /// A waiting attempt gets its slot.
    Dispatch(usize),
    /// A running attempt ends, with or without a response of the backend server.
    End(usize, bool),
    /// A running attempt ends, and its response does not reach the sender.
    Lose(usize),
    /// The inbound side refuses a waiting attempt.
    Refuse(usize),
    /// The sender loses the connection, and fences the attempt.
    Fence(usize),
    /// The inbound side restarts.
    Restart,
    /// Time passes, in milliseconds.
    Pass(u64),
}

/// Generates the steps. It has no state: the oracle is part of [`Mesh`], beside the real
/// components.
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
            3 => (which.clone(), any::<bool>()).prop_map(|(n, complete)| Step::End(n, complete)),
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
enum Stage {
    InTransit,
    Waiting,
    Running,
    Ended,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reply {
    None,
    Response,
    NotRun,
    Unknown,
}

#[derive(Clone, Debug)]
struct Attempt {
    /// The index of its call.
    call: usize,
    /// When it was sent, by the clock of the attempt record.
    sent_ms: u64,
    /// The incarnation of the inbound side that it was sent to.
    incarnation: u64,
    stage: Stage,
    /// Whether the sender no longer waits for it.
    abandoned: bool,
}

#[derive(Clone, Debug)]
struct Call {
    key: Option<usize>,
    /// How often the backend server has run it.
    runs: u32,
    reply: Reply,
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
            stage: Stage::InTransit,
            abandoned: false,
        });
    }

    /// Returns the index of one of the attempts in a stage; `number` selects it.
    fn pick(&self, number: usize, stage: Stage) -> Option<usize> {
        let in_stage = |index: &usize| self.attempts[*index].stage == stage;
        let candidates: Vec<usize> = (0..self.attempts.len()).filter(in_stage).collect();
        let len = candidates.len();
        (len > 0).then(|| candidates[number % len])
    }

    /// Records the reply to the caller, unless it has one or the sender abandoned the attempt.
    fn reply(&mut self, index: usize, reply: Reply) {
        let Attempt {
            call, abandoned, ..
        } = self.attempts[index];
        if !abandoned && self.calls[call].reply == Reply::None {
            self.calls[call].reply = reply;
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
            self.attempts[index].stage = Stage::Ended;
            return self.reply(index, Reply::NotRun);
        }
        if let Some(key) = self.calls[attempt.call].key {
            match self.keys.begin(self.now, Mesh::key_id(key), 0) {
                KeyDecision::Run => {}
                KeyDecision::Respond(_) => {
                    self.attempts[index].stage = Stage::Ended;
                    return self.reply(index, Reply::Response);
                }
                KeyDecision::Join(_) | KeyDecision::Refuse(_) => {
                    self.attempts[index].stage = Stage::Ended;
                    return self.reply(index, Reply::Unknown);
                }
            }
        }
        let id = Mesh::id(index);
        if self.record.arrive(self.now, id, attempt.sent_ms).is_ok() {
            self.attempts[index].stage = Stage::Waiting;
            return;
        }
        self.attempts[index].stage = Stage::Ended;
        self.end_key(index, &RunResult::NotRun);
        self.reply(index, Reply::Unknown);
    }

    fn dispatch(&mut self, index: usize) {
        let call = self.attempts[index].call;
        if !self.record.dispatch(Mesh::id(index)) {
            self.attempts[index].stage = Stage::Ended;
            self.end_key(index, &RunResult::NotRun);
            return self.reply(index, Reply::NotRun);
        }
        self.attempts[index].stage = Stage::Running;
        self.calls[call].runs += 1;
        if let Some(key) = self.calls[call].key {
            *self.key_runs.entry((self.incarnation, key)).or_default() += 1;
        }
    }

    fn end(&mut self, index: usize, complete: bool) {
        self.record.finish(Mesh::id(index));
        self.attempts[index].stage = Stage::Ended;
        let recorded = StoredResponse {
            status: StatusCode::OK,
            headers: HeaderMap::new(),
            body: Bytes::new(),
        };
        if complete {
            self.end_key(index, &RunResult::Responded(Arc::new(recorded)));
            self.reply(index, Reply::Response);
        } else {
            self.end_key(index, &RunResult::Unknown);
            self.reply(index, Reply::Unknown);
        }
    }

    fn lose(&mut self, index: usize) {
        self.record.finish(Mesh::id(index));
        self.attempts[index].stage = Stage::Ended;
        self.end_key(index, &RunResult::Unknown);
    }

    fn refuse(&mut self, index: usize) {
        self.record.finish(Mesh::id(index));
        self.attempts[index].stage = Stage::Ended;
        self.end_key(index, &RunResult::NotRun);
        self.reply(index, Reply::NotRun);
    }

    fn end_key(&mut self, index: usize, result: &RunResult) {
        if let Some(key) = self.calls[self.attempts[index].call].key {
            self.keys.end(Mesh::key_id(key), result);
        }
    }

    /// Fences an attempt. Its sender makes another only if the first never runs.
    fn fence(&mut self, number: usize) {
        let open = |index: &usize| {
            let attempt = &self.attempts[*index];
            !attempt.abandoned && self.calls[attempt.call].reply == Reply::None
        };
        let open: Vec<usize> = (0..self.attempts.len()).filter(open).collect();
        if open.is_empty() {
            return;
        }
        let index = open[number % open.len()];
        let attempt = self.attempts[index].clone();
        let status = if attempt.incarnation == self.incarnation {
            let id = Mesh::id(index);
            self.record.fence(self.now, id, attempt.sent_ms)
        } else {
            ExecutionStatus::Forgotten
        };
        if status == ExecutionStatus::NeverRuns {
            self.attempts[index].abandoned = true;
            self.send(attempt.call);
        } else {
            self.reply(index, Reply::Unknown);
            self.attempts[index].abandoned = true;
        }
    }

    /// Restarts the inbound side, whose records are lost. Attempts that wait or run there lose
    /// their sender's connection.
    fn restart(&mut self) {
        for index in 0..self.attempts.len() {
            if matches!(self.attempts[index].stage, Stage::Waiting | Stage::Running) {
                self.attempts[index].stage = Stage::Ended;
                self.reply(index, Reply::Unknown);
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
                let reply = Reply::None;
                mesh.calls.push(Call {
                    key,
                    runs: 0,
                    reply,
                });
                mesh.send(mesh.calls.len() - 1);
            }
            Step::Arrive(n) => {
                if let Some(index) = mesh.pick(n, Stage::InTransit) {
                    mesh.arrive(index);
                }
            }
            Step::Dispatch(n) => {
                if let Some(index) = mesh.pick(n, Stage::Waiting) {
                    mesh.dispatch(index);
                }
            }
            Step::End(n, complete) => {
                if let Some(index) = mesh.pick(n, Stage::Running) {
                    mesh.end(index, complete);
                }
            }
            Step::Lose(n) => {
                if let Some(index) = mesh.pick(n, Stage::Running) {
                    mesh.lose(index);
                }
            }
            Step::Refuse(n) => {
                if let Some(index) = mesh.pick(n, Stage::Waiting) {
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
            let false_not_run = call.reply == Reply::NotRun && call.runs > 0;
            assert!(
                !false_not_run,
                "call {number} ran and was reported as not-run"
            );
        }
        if mesh.now.saturating_duration_since(mesh.start) < KEY_TTL {
            for (key, runs) in &mesh.key_runs {
                assert!(*runs <= 1, "key {key:?} ran {runs} times");
            }
        }
        let waiting = mesh.attempts.iter().filter(|a| a.stage == Stage::Waiting);
        let running = mesh.attempts.iter().filter(|a| a.stage == Stage::Running);
        let max_len = CAPACITY + waiting.count() + running.count() + 1;
        assert!(
            mesh.record.len() <= max_len,
            "record holds {}",
            mesh.record.len()
        );
    }
}

fn cases() -> u32 {
    let cases = std::env::var(CASES_VARIABLE).ok();
    cases.and_then(|cases| cases.parse().ok()).unwrap_or(400)
}

/// Returns the seed, which `BAOBAB_FUZZ_SEED` sets; without it, as in CI, every run has the same.
fn seed() -> [u8; 32] {
    let seed = std::env::var("BAOBAB_FUZZ_SEED").ok();
    let seed: u64 = seed.and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    bytes
}

#[test]
fn attempts_at_most_once() {
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
