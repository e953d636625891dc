//! Rollouts whose decider, platform or daemons fail. The daemons run inside the test's process.

#[path = "support/rollout.rs"]
mod support;

use baobabstage::generated::mesh::{RolloutPhase, RolloutStep};
use baobabstage::rollout::{Phase, WHOLE};
use http::{Request, StatusCode};
use http_body_util::Full;
use standin::backend::{Behaviour, Fault};
use standin::caller;
use standin::platform::Faults;
use std::time::Duration;
use support::{Fleet, state};
use tokio::time::{Instant, sleep};

/// Bound of a rollout's time, with faults.
const LIMIT: Duration = Duration::from_secs(30);

/// A good version is completed; afterwards all calls go to it.
#[tokio::test(flavor = "multi_thread")]
async fn complete_good_version() {
    let fleet = Fleet::start(81, Behaviour::default()).await;
    let (count, served) = fleet.call_until(&state(Phase::Completed), LIMIT).await;
    assert!(served * 1_000 >= count * 995, "{served} of {count}");
    let from = Instant::now();
    let (count, served) = fleet.call_for(Duration::from_secs(1)).await;
    assert_eq!(served, count);
    assert_eq!(fleet.new_runs(from), count);
}

/// A version that breaks half of its responses is rolled back within its permitted exposure.
#[tokio::test(flavor = "multi_thread")]
async fn roll_back_bad_version() {
    let bad = Behaviour {
        fault: Fault::Truncated,
        fault_every: 2,
        ..Behaviour::default()
    };
    let started = Instant::now();
    let fleet = Fleet::start(82, bad).await;
    let (count, _) = fleet.call_until(&state(Phase::RolledBack), LIMIT).await;
    let runs = fleet.new_runs(started);
    assert!(runs <= count / 10 + 50, "{runs} of {count}");
    let from = Instant::now();
    let (count, served) = fleet.call_for(Duration::from_secs(1)).await;
    assert_eq!((served, fleet.new_runs(from)), (count, 0));
}

/// The decider is killed in the trial: another one takes over and ends the rollout.
#[tokio::test(flavor = "multi_thread")]
async fn kill_decider() {
    let mut fleet = Fleet::start(83, Behaviour::default()).await;
    fleet.call_until_trial().await;
    let decider = fleet.decider();
    let gone = fleet.vms.remove(decider);
    let name = gone.name.clone();
    let _restart = gone.kill();
    fleet.call_until(&state(Phase::Completed), LIMIT).await;
    assert_ne!(fleet.record().step.unwrap().decider, name);
}

/// The decider is paused for longer than its permission and resumed: it must not write over its successor's record.
#[tokio::test(flavor = "multi_thread")]
async fn pause_decider() {
    let fleet = Fleet::start(84, Behaviour::default()).await;
    fleet.call_until_trial().await;
    let paused = fleet.decider();
    let before = fleet.record().step.unwrap();
    fleet.vms[paused].pause(Duration::from_secs(5));
    sleep(Duration::from_secs(4)).await;
    let successor = fleet.record().step.unwrap();
    assert_ne!(successor.decider, before.decider);
    let end = Instant::now() + Duration::from_secs(4);
    let mut last = successor;
    while Instant::now() < end {
        let step = fleet.record().step.unwrap();
        assert_ne!(step.decider, before.decider);
        assert!((step.number, step.renewal) >= (last.number, last.renewal));
        last = step;
        sleep(Duration::from_millis(5)).await;
    }
    let known = fleet.vms[paused].daemon.rollouts.get(support::SERVICE);
    let known = known.unwrap().published.clone().unwrap();
    assert_ne!(known.decider, before.decider);
}

/// The platform is away in the trial: the new version gets no calls once its step has expired, until it is back.
#[tokio::test(flavor = "multi_thread")]
async fn platform_away() {
    let fleet = Fleet::start(85, Behaviour::default()).await;
    fleet.call_until_trial().await;
    fleet.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    fleet.call_for(Duration::from_millis(3_500)).await;
    let expired = Instant::now();
    let (count, served) = fleet.call_for(Duration::from_secs(2)).await;
    assert_eq!((served, fleet.new_runs(expired)), (count, 0));
    fleet.platform.set_faults(Faults::default());
    fleet.call_until_trial().await;
}

/// All daemons are killed in the trial: after their restart the rollout goes on from its record.
#[tokio::test(flavor = "multi_thread")]
async fn kill_all() {
    let mut fleet = Fleet::start(86, Behaviour::default()).await;
    fleet.call_until_trial().await;
    let before = fleet.record();
    let killed: Vec<_> = fleet.vms.drain(..).map(support::Vm::kill).collect();
    sleep(Duration::from_millis(500)).await;
    let restarted = killed.into_iter().map(|restart| restart(&fleet.platform));
    fleet.vms = restarted.collect();
    fleet.wait_ready().await;
    let after = fleet.record();
    assert_eq!(after.order, before.order);
    assert!(after.step.unwrap().number >= before.step.unwrap().number);
    fleet.call_until(&state(Phase::Completed), LIMIT).await;
}

/// A daemon beside a server of the ordered version refuses calls that are not part of the rollout, as not run.
#[tokio::test(flavor = "multi_thread")]
async fn refuse_unmarked_call() {
    let fleet = Fleet::start(87, Behaviour::default()).await;
    fleet.call_until_trial().await;
    let record = fleet.record();
    let target = &record.step.as_ref().unwrap().targets[0];
    let vm = fleet.vms.iter().find(|vm| vm.name == *target).unwrap();
    let send = async |id: u32, mark: Option<String>| {
        let incarnation = vm.daemon.identity.incarnation;
        let mut request = Request::get("/shop/1")
            .header("host", "shop")
            .header("x-request-id", format!("direct-{id}"))
            .header(
                "x-baobab-attempt",
                format!("{id:x}.{incarnation}.0.1.1.0.0.-"),
            );
        if let Some(mark) = mark {
            request = request.header("x-baobab-step", mark);
        }
        let request = request.body(Full::default()).unwrap();
        caller::call(vm.inbound, request).await.unwrap()
    };
    let marked = send(1, Some(format!("{}.1", record.order))).await;
    assert_eq!(marked.status(), StatusCode::OK);
    for (id, mark) in [(2, None), (3, Some(format!("{}.1", record.order + 1)))] {
        let refused = send(id, mark).await;
        assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(refused.headers()["x-baobab-why"], "version");
        assert_eq!(refused.headers()["x-baobab-outcome"], "not-run");
    }
}

/// An operator stops a rollout by deleting its order.
#[tokio::test(flavor = "multi_thread")]
async fn delete_order() {
    let fleet = Fleet::start(88, Behaviour::default()).await;
    fleet.call_until_trial().await;
    fleet.delete_order();
    let limit = Duration::from_secs(3);
    fleet.call_until(&state(Phase::RolledBack), limit).await;
    assert_eq!(fleet.record().step.unwrap().reason, "order was deleted");
}

/// An order to stay at the old version replaces one in its trial: the version under trial must not count as established
/// and get all calls until then.
#[tokio::test(flavor = "multi_thread")]
async fn replace_order_by_old_version() {
    let fleet = Fleet::start(89, Behaviour::default()).await;
    fleet.call_until_trial().await;
    fleet.order(support::OLD, 14);
    sleep(Duration::from_secs(1)).await;
    let replaced = Instant::now();
    let completed = format!("{:?} {}", Phase::Completed, support::OLD);
    fleet.call_until(&completed, LIMIT).await;
    let (count, served) = fleet.call_for(Duration::from_secs(1)).await;
    assert_eq!((served, fleet.new_runs(replaced)), (count, 0));
}

/// On a day without orders the platform sees one listing of them for each start, and one long watch for each reader.
#[tokio::test(flavor = "multi_thread")]
async fn calls_without_order() {
    const READERS: u64 = baobabstage::member::READERS as u64;
    let mut fleet = Fleet::without_order(90, Behaviour::default()).await;
    fleet.wait_ready().await;
    sleep(Duration::from_secs(4)).await;
    let all = fleet.vms.len() as u64;
    let started = fleet.platform.calls();
    // Each daemon also lists the members, the records of crashes and the configuration.
    assert!(started.lists <= 4 * all, "{started:?}");
    let (count, served) = fleet.call_for(Duration::from_secs(6)).await;
    assert_eq!(served, count);
    let after = fleet.platform.calls();
    println!("{all} daemons, started: {started:?}, 6 s later: {after:?}");
    assert_eq!(after.gets, started.gets);
    assert!(after.lists - started.lists <= 1, "{started:?} {after:?}");
    let watches = after.watches - started.watches;
    assert!(watches <= 3 * READERS, "{started:?} {after:?}");
}

/// All daemons lose their power between the final record and the state for operators: one of them must write the state
/// after the restart.
#[tokio::test(flavor = "multi_thread")]
async fn kill_all_before_final_state() {
    let mut fleet = Fleet::start(91, Behaviour::default()).await;
    fleet.call_until(&state(Phase::Completed), LIMIT).await;
    let killed: Vec<_> = fleet.vms.drain(..).map(support::Vm::kill).collect();
    fleet
        .platform
        .write_uncounted(support::STATUS, &state(Phase::Shift));
    let restarted = killed.into_iter().map(|restart| restart(&fleet.platform));
    fleet.vms = restarted.collect();
    fleet.wait_ready().await;
    fleet.call_until(&state(Phase::Completed), LIMIT).await;
}

/// A rollback that cannot be written must still take the calls from the new version, also where its share would stay
/// without renewals.
#[tokio::test(flavor = "multi_thread")]
async fn roll_back_without_platform() {
    let fleet = Fleet::start(92, Behaviour::default()).await;
    let deadline = Instant::now() + LIMIT;
    let is_whole = |step: RolloutStep| step.phase() == RolloutPhase::Shift && step.share == WHOLE;
    while !fleet.record().step.is_some_and(is_whole) {
        assert!(Instant::now() < deadline, "no whole share");
        fleet.call_for(Duration::from_millis(100)).await;
    }
    let decider = fleet.decider();
    fleet.vms[decider].daemon.rollouts.remove(support::SERVICE);
    fleet.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    sleep(Duration::from_secs(1)).await;
    for vm in &fleet.vms {
        let known = vm.daemon.rollouts.get(support::SERVICE).unwrap();
        assert_eq!(known.step().unwrap().share, 0, "{}", vm.name);
    }
    let halted = Instant::now();
    let (count, served) = fleet.call_for(Duration::from_secs(1)).await;
    assert_eq!((served, fleet.new_runs(halted)), (count, 0));
    fleet.platform.set_faults(Faults::default());
    fleet.call_until(&state(Phase::RolledBack), LIMIT).await;
}

/// The order is deleted after its completion and all daemons are restarted: the final phase must not be forgotten, or
/// calls go to the old version again.
#[tokio::test(flavor = "multi_thread")]
async fn kill_all_after_deleted_order() {
    let mut fleet = Fleet::start(93, Behaviour::default()).await;
    fleet.call_until(&state(Phase::Completed), LIMIT).await;
    fleet.delete_order();
    let killed: Vec<_> = fleet.vms.drain(..).map(support::Vm::kill).collect();
    let restarted = killed.into_iter().map(|restart| restart(&fleet.platform));
    fleet.vms = restarted.collect();
    fleet.wait_ready().await;
    let from = Instant::now();
    let (count, served) = fleet.call_for(Duration::from_secs(1)).await;
    assert_eq!((served, fleet.new_runs(from)), (count, count));
}

/// An order for a service that is not configured must have no effect.
#[tokio::test(flavor = "multi_thread")]
async fn ignore_order_of_unknown_service() {
    let mut fleet = Fleet::without_order(94, Behaviour::default()).await;
    fleet.wait_ready().await;
    fleet.platform.write_uncounted("orders/other", "v2 14");
    fleet.order(support::NEW, 14);
    let deadline = Instant::now() + LIMIT;
    let knows = |vm: &support::Vm| vm.daemon.rollouts.get(support::SERVICE).is_some();
    while !fleet.vms.iter().all(knows) {
        assert!(Instant::now() < deadline, "order did not arrive");
        sleep(Duration::from_millis(50)).await;
    }
    for vm in &fleet.vms {
        assert!(vm.daemon.rollouts.get("other").is_none(), "{}", vm.name);
    }
}
