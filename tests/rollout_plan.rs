//! Whole rollouts decided by `Plan`, against a model of a service with two versions.
#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]

use baobabstage::rollout::{
    Counts, Decision, Evidence, ExposureLimits, Order, Phase, Plan, Server, ServerCounts,
    ServerKey, Step, WHOLE,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::Duration;
use test_case::test_case;
use tokio::time::Instant;

/// Work of each route in seconds, with its share of the calls.
const ROUTES: [(f64, f64); 3] = [(0.03, 0.45), (0.08, 0.35), (0.22, 0.2)];
/// Time between two rounds of reports and decisions in seconds.
const ROUND: f64 = 0.25;
/// Processes that send calls, each of which has its own latest step.
const CALLERS: usize = 20;

/// What is wrong with the responses of a version.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Bad {
    /// A share of the responses fails.
    Fails(f64),
    /// A share of the responses takes eight times as long.
    Slow(f64),
}

/// When a bad version is bad.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Onset {
    AtOnce,
    /// From 2.4 to 3.4 s after the start of the server.
    Late,
    /// While at least this share of the slots of a server is in use.
    Load(f64),
    /// On one route only.
    Route(usize),
}

#[derive(Clone, Debug)]
struct Scenario {
    old: usize,
    new: usize,
    duration: f64,
    rate: f64,
    bad: Option<(Bad, Onset)>,
    /// Share of the servers of both versions that fail 40% of their calls or are four times slower.
    faulty: f64,
    /// Factor on all service times.
    work: f64,
    /// When the decider ends; another one takes over 2.5 s later.
    killed: Option<f64>,
    /// Share of the servers that report nothing after 3 s.
    silent: f64,
    /// Two targets leave at 4 s and two servers join at 5 s.
    churn: bool,
}

const USUAL: Scenario = Scenario {
    old: 62,
    new: 62,
    duration: 12.0,
    rate: 1_500.0,
    bad: None,
    faulty: 0.0,
    work: 1.0,
    killed: None,
    silent: 0.0,
    churn: false,
};

/// A call that runs at a server.
struct Running {
    end: f64,
    route: u32,
    time: f64,
    failed: bool,
}

struct Host {
    server: Server,
    new: bool,
    start: f64,
    turns_bad: f64,
    speed: f64,
    faulty: Option<Bad>,
    silent: bool,
    left: bool,
    /// When each slot is free.
    slots: Vec<f64>,
    running: Vec<Running>,
    counts: BTreeMap<u32, Counts>,
}

impl Host {
    fn new(index: usize, new: bool, scenario: &Scenario, rng: &mut StdRng) -> Host {
        let version = if new { "v2" } else { "v1" };
        let slots = if rng.random_bool(0.5) { 6 } else { 12 };
        let start = match (new, index) {
            (true, 0..2) if scenario.churn => 5.0,
            (true, _) => rng.random_range(0.3..1.2),
            (false, _) => -60.0,
        };
        let kinds = [Bad::Fails(0.4), Bad::Slow(1.0)];
        let faulty = rng.random_bool(scenario.faulty);
        Host {
            server: Server {
                daemon: format!("{version}-{index:02}"),
                version: version.to_owned(),
                slots,
                ready: !new,
            },
            new,
            start,
            turns_bad: start + rng.random_range(2.4..3.4),
            speed: rng.random_range(0.5..1.7),
            faulty: faulty.then(|| kinds[rng.random_range(0..2)]),
            silent: rng.random_bool(scenario.silent),
            left: false,
            slots: vec![0.0; slots as usize],
            running: Vec::new(),
            counts: BTreeMap::new(),
        }
    }

    fn load(&self, now: f64) -> f64 {
        let used = self.slots.iter().filter(|free| **free > now).count();
        used as f64 / self.slots.len() as f64
    }

    /// Runs a call, and returns when its response arrives and whether it is bad because of the version.
    fn run(
        &mut self,
        now: f64,
        route: usize,
        scenario: &Scenario,
        rng: &mut StdRng,
    ) -> (f64, bool) {
        let version = scenario.bad.filter(|(_, onset)| match onset {
            Onset::AtOnce => self.new,
            Onset::Late => self.new && now >= self.turns_bad,
            Onset::Load(load) => self.new && self.load(now) >= *load,
            Onset::Route(bad) => self.new && *bad == route,
        });
        let (mut failed, mut factor, mut bad) = (false, 1.0, false);
        match version.map(|(kind, _)| kind) {
            Some(Bad::Fails(share)) if rng.random_bool(share) => (failed, bad) = (true, true),
            Some(Bad::Slow(share)) if rng.random_bool(share) => (factor, bad) = (8.0, true),
            _ => {}
        }
        match self.faulty {
            Some(Bad::Fails(share)) => failed |= rng.random_bool(share),
            Some(Bad::Slow(_)) => factor *= 4.0,
            None => {}
        }
        let slot = self.slots.iter_mut().min_by(|a, b| a.total_cmp(b)).unwrap();
        let begin = slot.max(now);
        let cold = if begin < self.start + 3.0 { 2.0 } else { 1.0 };
        let work = ROUTES[route].0 * scenario.work * rng.random_range(0.6..1.4);
        let time = work * factor * cold / self.speed;
        let end = begin + time;
        *slot = end;
        let route = u32::try_from(route).unwrap();
        self.running.push(Running {
            end,
            route,
            time,
            failed,
        });
        (end, bad)
    }

    /// Counts the calls that have ended.
    fn report(&mut self, now: f64) -> (ServerKey, ServerCounts) {
        for call in self.running.extract_if(.., |call| call.end <= now) {
            let counts = self.counts.entry(call.route).or_default();
            counts.calls += 1;
            counts.failures += u64::from(call.failed);
            if !call.failed {
                counts.time_us += (call.time * 1e6) as u64;
            }
        }
        let key = ServerKey {
            daemon: self.server.daemon.clone(),
            incarnation: 1,
            instance: "a".to_owned(),
        };
        let version = self.server.version.clone();
        (
            key,
            ServerCounts {
                version,
                routes: self.counts.clone(),
            },
        )
    }
}

/// The result of a rollout.
#[derive(Debug, Default)]
struct Outcome {
    decision: Option<Decision>,
    ended: f64,
    /// Calls to the new version and to both between order and deadline.
    exposed: usize,
    all: usize,
    /// When the 50th bad response arrived.
    fiftieth: f64,
    last_sent: f64,
    /// Calls at old servers that had not ended when the rollout completed.
    cut: usize,
    trial_targets: usize,
}

impl Outcome {
    fn note(&mut self, now: f64, decision: Decision, step: &Step, model: &Model) {
        if step.phase == Phase::Trial {
            self.trial_targets = self.trial_targets.max(step.targets.len());
        }
        if step.phase.is_final() {
            (self.decision, self.ended, self.cut) = (Some(decision), now, model.running(now));
        }
    }
}

struct Model<'a> {
    scenario: &'a Scenario,
    rng: StdRng,
    hosts: Vec<Host>,
    /// The steps of each caller with the time from which they are in force.
    callers: Vec<Vec<(f64, Step)>>,
    /// Reports that have not arrived yet.
    reports: Vec<(f64, ServerKey, ServerCounts)>,
    sent: Vec<f64>,
    bad: Vec<f64>,
    all: usize,
}

impl Model<'_> {
    fn new(scenario: &Scenario, seed: u64) -> Model<'_> {
        let mut rng = StdRng::seed_from_u64(seed);
        let old = (0..scenario.old).map(|index| (index, false));
        let new = (0..scenario.new).map(|index| (index, true));
        let hosts = old.chain(new);
        let hosts = hosts
            .map(|(index, new)| Host::new(index, new, scenario, &mut rng))
            .collect();
        Model {
            scenario,
            rng,
            hosts,
            callers: vec![Vec::new(); CALLERS],
            reports: Vec::new(),
            sent: Vec::new(),
            bad: Vec::new(),
            all: 0,
        }
    }

    /// Sends the calls of one round.
    fn send(&mut self, from: f64) {
        let calls = (self.scenario.rate * ROUND) as usize;
        for index in 0..calls {
            let now = from + ROUND * index as f64 / calls as f64;
            self.all += 1;
            let draw: f64 = self.rng.random();
            let route = if draw < ROUTES[0].1 {
                0
            } else {
                1 + usize::from(draw >= ROUTES[0].1 + ROUTES[1].1)
            };
            let caller = &self.callers[self.rng.random_range(0..CALLERS)];
            let step = caller.iter().rev().find(|(from, _)| *from <= now);
            let is_new = step.is_some_and(|(_, step)| self.rng.random_range(0..WHOLE) < step.share);
            let hosts = self.hosts.iter().enumerate().filter(|(_, host)| {
                let is_target = || step.unwrap().1.targets.contains(&host.server.daemon);
                !host.left && host.new == is_new && (!is_new || is_target())
            });
            let hosts: Vec<usize> = hosts.map(|(index, _)| index).collect();
            let first = hosts[self.rng.random_range(0..hosts.len())];
            let second = hosts[self.rng.random_range(0..hosts.len())];
            let less = self.hosts[second].load(now) < self.hosts[first].load(now);
            let chosen = if less && !is_new { second } else { first };
            let (end, bad) = self.hosts[chosen].run(now, route, self.scenario, &mut self.rng);
            if is_new {
                self.sent.push(now);
                self.bad.extend(bad.then_some(end));
            }
        }
    }

    /// Sends reports, which arrive after 0.25 to 0.5 s.
    fn report(&mut self, now: f64) {
        for host in &mut self.hosts {
            if now < host.start || host.left || (host.silent && now > 3.0) {
                continue;
            }
            let (key, counts) = host.report(now);
            let delay = self.rng.random_range(0.25..0.5);
            self.reports.push((now + delay, key, counts));
        }
    }

    fn servers(&mut self, now: f64) -> Vec<Server> {
        let hosts = self.hosts.iter_mut().filter(|host| !host.left);
        let servers = hosts.map(|host| {
            host.server.ready = now >= host.start + 0.3;
            host.server.clone()
        });
        servers.collect()
    }

    /// The final step.
    fn last_step(&self, phase: Phase, number: u64) -> Step {
        let share = if phase == Phase::Completed { WHOLE } else { 0 };
        let targets = self.hosts.iter().filter(|host| host.new && !host.left);
        let targets = targets.map(|host| host.server.daemon.clone()).collect();
        Step {
            order: 7,
            number,
            phase,
            share,
            targets,
        }
    }

    /// Calls that run at old servers.
    fn running(&self, now: f64) -> usize {
        let old = self.hosts.iter().filter(|host| !host.new);
        let running = old.flat_map(|host| &host.running);
        running.filter(|call| call.end > now).count()
    }
}

fn plan(scenario: &Scenario, ordered: Instant) -> Plan {
    let order = Order {
        service: "shop".to_owned(),
        version: "v2".to_owned(),
        duration: Duration::from_secs_f64(scenario.duration),
        revision: 7,
    };
    let limits = ExposureLimits {
        share: 0.1,
        slack: 50,
        rollback: Duration::from_secs(5),
    };
    Plan::new(order, limits, ordered)
}

fn play(scenario: &Scenario, seed: u64) -> Outcome {
    let mut model = Model::new(scenario, seed);
    let ordered = Instant::now();
    let mut decider = plan(scenario, ordered);
    let (mut evidence, mut step) = (Evidence::default(), None::<Step>);
    let mut outcome = Outcome::default();
    for round in 0..(scenario.duration / ROUND) as u32 {
        let now = ROUND * f64::from(round);
        if scenario.churn && round == 16 {
            let targets = &step.as_ref().expect("a trial after 4 s").targets[..2];
            let hosts = model.hosts.iter_mut();
            hosts.for_each(|host| host.left |= targets.contains(&host.server.daemon));
        }
        model.report(now);
        let killed = scenario
            .killed
            .is_some_and(|at| (at..at + 2.5).contains(&now));
        let arrived = model.reports.extract_if(.., |(at, ..)| *at <= now);
        if killed {
            arrived.for_each(drop);
            (decider, evidence) = (plan(scenario, ordered), Evidence::default());
        } else {
            arrived.for_each(|(_, key, counts)| evidence.merge(key, counts));
        }
        if !killed && !step.as_ref().is_some_and(|step| step.phase.is_final()) {
            let time = ordered + Duration::from_secs_f64(now);
            let decision = decider.decide(time, step.as_ref(), &model.servers(now), &evidence);
            let number = step.as_ref().map_or(1, |step| step.number + 1);
            let next = match &decision {
                Decision::Hold => None,
                Decision::Next(next) => Some(next.clone()),
                Decision::Complete => Some(model.last_step(Phase::Completed, number)),
                Decision::RollBack(_) => Some(model.last_step(Phase::RolledBack, number)),
            };
            if let Some(next) = next {
                assert_eq!(next.number, number);
                assert!(step.is_none_or(|step| step.phase <= next.phase));
                for caller in &mut model.callers {
                    caller.push((now + model.rng.random_range(0.1..1.0), next.clone()));
                }
                outcome.note(now, decision, &next, &model);
                step = Some(next);
            }
        }
        model.send(now);
    }
    model.bad.sort_by(f64::total_cmp);
    outcome.exposed = model.sent.len();
    outcome.all = model.all;
    outcome.fiftieth = model.bad.get(49).copied().unwrap_or(f64::INFINITY);
    outcome.last_sent = model.sent.last().copied().unwrap_or(0.0);
    outcome
}

/// Seeds that each case is played with. `ROLLOUT_SEEDS` sets another number.
fn seeds() -> std::ops::Range<u64> {
    let seeds = std::env::var("ROLLOUT_SEEDS").ok();
    0..seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(4)
}

/// Guards against a good version that is rolled back, late, or completed while calls run at the old servers.
#[test_case(&USUAL; "usual")]
#[test_case(&Scenario { old: 37, new: 37, duration: 16.0, ..USUAL }; "longer")]
#[test_case(&Scenario { faulty: 0.15, ..USUAL }; "faulty servers")]
#[test_case(&Scenario { old: 37, new: 37, faulty: 0.15, ..USUAL }; "fewer faulty servers")]
#[test_case(&Scenario { work: 3.0, ..USUAL }; "overload")]
#[test_case(&Scenario { killed: Some(2.0), ..USUAL }; "decider killed at start")]
#[test_case(&Scenario { killed: Some(4.0), ..USUAL }; "decider killed in trial")]
#[test_case(&Scenario { killed: Some(6.0), ..USUAL }; "decider killed in shift")]
#[test_case(&Scenario { killed: Some(8.0), faulty: 0.15, ..USUAL }; "decider killed late")]
#[test_case(&Scenario { new: 20, ..USUAL }; "fewer new servers")]
#[test_case(&Scenario { old: 6, new: 2, rate: 100.0, ..USUAL }; "two new servers")]
#[test_case(&Scenario { silent: 0.3, ..USUAL }; "evidence stops")]
#[test_case(&Scenario { churn: true, ..USUAL }; "servers leave and join")]
#[test_case(&Scenario { faulty: 0.15, killed: Some(4.0), ..USUAL }; "decider killed, faulty servers")]
#[test_case(&Scenario { old: 37, new: 15, faulty: 0.15, ..USUAL }; "fewer new servers, faulty servers")]
fn plan_good_version(scenario: &Scenario) {
    for seed in seeds() {
        let outcome = play(scenario, seed);
        assert_eq!(
            outcome.decision,
            Some(Decision::Complete),
            "seed {seed}: {outcome:?}"
        );
        assert!(
            outcome.ended <= scenario.duration - 0.5,
            "seed {seed}: {outcome:?}"
        );
        // A decider that takes over late leaves less time for the last calls to the old servers.
        let cut = if scenario.killed.is_some() {
            0.002
        } else {
            0.0003
        };
        assert!(
            outcome.cut as f64 <= cut * outcome.all as f64,
            "seed {seed}: {outcome:?}"
        );
        assert!(
            outcome.trial_targets >= scenario.new.min(3),
            "seed {seed}: {outcome:?}"
        );
    }
}

/// Guards against a bad version that is completed, or that gets more calls than the limits permit.
#[test_case(Bad::Fails(0.3), Onset::AtOnce, &USUAL; "failures at once")]
#[test_case(Bad::Slow(1.0), Onset::AtOnce, &USUAL; "slow at once")]
#[test_case(Bad::Slow(0.3), Onset::AtOnce, &USUAL; "partly slow at once")]
#[test_case(Bad::Fails(0.3), Onset::Late, &USUAL; "failures late")]
#[test_case(Bad::Slow(1.0), Onset::Late, &USUAL; "slow late")]
#[test_case(Bad::Slow(0.3), Onset::Late, &USUAL; "partly slow late")]
#[test_case(Bad::Fails(0.3), Onset::Load(0.25), &USUAL; "failures under load")]
#[test_case(Bad::Slow(1.0), Onset::Load(0.25), &USUAL; "slow under load")]
#[test_case(Bad::Fails(0.3), Onset::Route(0), &USUAL; "failures on first route")]
#[test_case(Bad::Fails(0.3), Onset::Route(2), &USUAL; "failures on last route")]
#[test_case(Bad::Slow(1.0), Onset::Route(0), &USUAL; "slow on first route")]
#[test_case(Bad::Slow(1.0), Onset::Route(2), &USUAL; "slow on last route")]
#[test_case(Bad::Fails(0.3), Onset::Late, &Scenario { old: 37, new: 37, ..USUAL }; "failures late on fewer servers")]
#[test_case(Bad::Slow(0.5), Onset::Late, &Scenario { old: 37, new: 37, duration: 16.0, ..USUAL }; "slow late on fewer servers")]
#[test_case(Bad::Fails(0.3), Onset::Late, &Scenario { faulty: 0.15, ..USUAL }; "failures late with faulty servers")]
#[test_case(Bad::Slow(1.0), Onset::AtOnce, &Scenario { faulty: 0.15, ..USUAL }; "slow with faulty servers")]
#[test_case(Bad::Fails(0.3), Onset::AtOnce, &Scenario { work: 3.0, ..USUAL }; "failures under overload")]
#[test_case(Bad::Slow(1.0), Onset::Late, &Scenario { work: 3.0, ..USUAL }; "slow under overload")]
#[test_case(Bad::Fails(0.3), Onset::Late, &Scenario { killed: Some(4.0), ..USUAL }; "decider killed")]
#[test_case(Bad::Fails(0.4), Onset::AtOnce, &Scenario { old: 6, new: 2, rate: 100.0, ..USUAL }; "two new servers")]
#[test_case(Bad::Fails(0.3), Onset::Late, &Scenario { new: 20, ..USUAL }; "fewer new servers")]
#[test_case(Bad::Fails(0.3), Onset::Late, &Scenario { silent: 0.3, ..USUAL }; "evidence stops")]
#[test_case(Bad::Slow(1.0), Onset::Late, &Scenario { churn: true, ..USUAL }; "servers leave and join")]
#[test_case(Bad::Slow(0.4), Onset::Load(0.25), &Scenario { old: 37, new: 37, ..USUAL }; "partly slow under load")]
#[test_case(Bad::Slow(0.4), Onset::Route(0), &Scenario { faulty: 0.15, ..USUAL }; "partly slow on first route")]
#[test_case(Bad::Slow(0.3), Onset::Route(2), &USUAL; "partly slow on last route")]
fn plan_bad_version(bad: Bad, onset: Onset, scenario: &Scenario) {
    let scenario = Scenario {
        bad: Some((bad, onset)),
        ..scenario.clone()
    };
    for seed in seeds() {
        check_bad_version(&scenario, seed);
    }
}

/// Guards against a completed version that is bad only while a quarter of the slots of a server is in use.
#[test]
fn plan_bad_under_load_exposed() {
    let bad = Some((Bad::Fails(0.3), Onset::Load(0.25)));
    check_bad_version(&Scenario { bad, ..USUAL }, 64);
}

fn check_bad_version(scenario: &Scenario, seed: u64) {
    let outcome = play(scenario, seed);
    let rolled_back = matches!(outcome.decision, Some(Decision::RollBack(_)));
    assert!(rolled_back, "seed {seed}: {outcome:?}");
    let limit = outcome.all as f64 * 0.1 + 50.0;
    assert!(outcome.exposed as f64 <= limit, "seed {seed}: {outcome:?}");
    assert!(
        outcome.last_sent <= outcome.fiftieth + 5.0,
        "seed {seed}: {outcome:?}"
    );
}

/// Prints the time that a decision takes with as many servers as a service has, and as there are daemons.
#[test_case(100; "service")]
#[test_case(3_300; "all daemons")]
fn plan_decide_cost(servers: usize) {
    let scenario = Scenario {
        old: servers / 2,
        new: servers / 2,
        ..USUAL
    };
    let mut model = Model::new(&scenario, 0);
    let ordered = Instant::now();
    let (mut decider, mut evidence) = (plan(&scenario, ordered), Evidence::default());
    let mut spent = Duration::ZERO;
    for round in 0..20 {
        for host in &mut model.hosts {
            for route in 0..3 {
                let counts = host.counts.entry(route).or_default();
                (counts.calls, counts.time_us) = (counts.calls + 2, counts.time_us + 160_000);
            }
            let (key, counts) = host.report(0.0);
            evidence.merge(key, counts);
        }
        let servers = model.servers(2.0);
        let now = ordered + Duration::from_millis(250) * round;
        let start = std::time::Instant::now();
        decider.decide(now, None, &servers, &evidence);
        spent += start.elapsed();
    }
    println!("{servers} servers: {:?} a decision", spent / 20);
}
