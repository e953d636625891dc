//! Single decisions of `Plan` on reports that are given call by call.

use baobabstage::rollout::{
    Counts, Decision, Evidence, ExposureLimits, Order, Phase, Plan, Server, ServerCounts,
    ServerKey, Step, WHOLE,
};
use std::collections::BTreeMap;
use std::time::Duration;
use test_case::test_case;
use tokio::time::Instant;

const OLD: usize = 6;
const NEW: usize = 3;
/// Time between two rounds of reports.
const ROUND: Duration = Duration::from_millis(250);
/// Rounds after which reports stop: more than a second before the old backend servers are drained, in round 8.
const REPORTED: u32 = 3;

/// A service of six old and three new backend servers, which are ready from the order on.
struct Service {
    plan: Plan,
    ordered: Instant,
    servers: Vec<Server>,
    calls: BTreeMap<String, u64>,
    evidence: Evidence,
    step: Option<Step>,
}

impl Service {
    fn new() -> Service {
        let ordered = Instant::now();
        let names = |version: &'static str, count| (0..count).map(move |index| (version, index));
        let servers = names("v1", OLD).chain(names("v2", NEW));
        let servers = servers.map(|(version, index)| Server {
            daemon: format!("{version}-{index}"),
            version: version.to_owned(),
            slots: 10,
            ready: true,
        });
        Service {
            plan: plan(ordered),
            ordered,
            servers: servers.collect(),
            calls: BTreeMap::new(),
            evidence: Evidence::default(),
            step: None,
        }
    }

    /// Reports further calls of 20 ms at each backend server of a version.
    fn report(&mut self, version: &str, calls: u64) {
        for server in self.servers.iter().filter(|known| known.version == version) {
            let sum = self.calls.entry(server.daemon.clone()).or_default();
            *sum += calls;
            let counts = Counts {
                calls: *sum,
                failures: 0,
                time_us: *sum * 20_000,
            };
            let key = ServerKey {
                daemon: server.daemon.clone(),
                incarnation: 1,
                instance: "a".to_owned(),
            };
            let report = ServerCounts {
                version: version.to_owned(),
                routes: BTreeMap::from([(0, counts)]),
            };
            self.evidence.merge(key, report);
        }
    }

    /// Decides in the given round, and keeps the next step.
    fn decide(&mut self, round: u32) -> Decision {
        let now = self.ordered + ROUND * round;
        let step = self.step.as_ref();
        let decision = self.plan.decide(now, step, &self.servers, &self.evidence);
        if let Decision::Next(next) = &decision {
            self.step = Some(next.clone());
        }
        decision
    }

    fn set_step(&mut self, phase: Phase, share: u32) {
        self.step = Some(Step {
            order: 7,
            number: 1,
            phase,
            share,
            targets: (0..NEW).map(|index| format!("v2-{index}")).collect(),
        });
    }

    fn share(&self) -> u32 {
        self.step.as_ref().unwrap().share
    }
}

fn plan(ordered: Instant) -> Plan {
    let order = Order {
        service: "shop".to_owned(),
        version: "v2".to_owned(),
        duration: Duration::from_secs(12),
        revision: 7,
    };
    let limits = ExposureLimits {
        share: 0.1,
        slack: 50,
        rollback: Duration::from_secs(5),
    };
    Plan::new(order, limits, ordered)
}

/// Guards against a first step above the permitted share while the rate of calls, and so the part of them that the
/// slack stands for, is not known.
#[test]
fn begin_without_rate() {
    let mut service = Service::new();
    assert!(matches!(service.decide(0), Decision::Next(_)));
    assert!(service.share() <= 100, "share {}", service.share());
}

/// Guards against a share that a decider raises above the permitted one when it has just taken over.
#[test]
fn take_over_without_rate() {
    let mut service = Service::new();
    service.set_step(Phase::Trial, 80);
    service.report("v1", 400);
    for round in 12..16 {
        service.report("v1", 40);
        service.decide(round);
        assert!(service.share() <= 100, "share {}", service.share());
    }
}

/// Guards against a trial that keeps a share above what remains of the permitted exposure.
#[test_case(1, 1, 100; "less remains")]
#[test_case(200, 0, 0; "nothing remains")]
fn lower_trial(first: u64, least: u32, most: u32) {
    let mut service = Service::new();
    service.set_step(Phase::Trial, 180);
    service.report("v2", first);
    // The old version gets 960 calls a second, and 1,202 calls to the new one are permitted; or it gets 48 a second, and
    // the 600 calls that the new version has had are more than permitted.
    for round in 0..20 {
        let calls = if first > 1 { 2 } else { 40 };
        service.report("v1", calls);
        service.decide(round);
    }
    let share = service.share();
    assert!((least..=most).contains(&share), "share {share}");
}

/// Guards against a rollout that is completed while the new backend servers report nothing.
#[test_case(true, true; "recent reports")]
#[test_case(false, false; "no recent reports")]
fn finish_by_reports(reports: bool, completes: bool) {
    let mut service = Service::new();
    service.set_step(Phase::Shift, WHOLE);
    for round in 0..40 {
        service.report("v1", u64::from(round < REPORTED));
        service.report("v2", if reports || round < REPORTED { 40 } else { 0 });
        if service.decide(round) == Decision::Complete {
            assert!(completes, "completed in round {round}");
            return;
        }
    }
    assert!(!completes);
}

/// Guards against a rollout that is not completed by the deadline though the evidence is good, and against one that
/// is completed without any.
#[test_case(40, true; "good")]
#[test_case(0, false; "none")]
fn finish_at_deadline(calls: u64, completes: bool) {
    let mut service = Service::new();
    service.set_step(Phase::Shift, WHOLE);
    let ends = (0..46).find_map(|round| {
        service.report("v1", u64::from(round < REPORTED) * 40);
        service.report("v2", u64::from(round < REPORTED) * calls);
        match service.decide(round) {
            Decision::Hold | Decision::Next(_) => None,
            end => Some((end == Decision::Complete, round)),
        }
    });
    assert_eq!(
        ends.map(|(complete, _)| complete),
        Some(completes),
        "{ends:?}"
    );
    assert!(ends.is_some_and(|(_, round)| round >= 40), "{ends:?}");
}
