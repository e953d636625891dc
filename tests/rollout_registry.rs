//! Merging of orders and steps of rollouts, without a network.

use baobabstage::generated::mesh::RolloutReport;
use baobabstage::rollout::registry::{Merged, PublishedStep, Registry, Rollout, STEP_TTL};
use baobabstage::rollout::wire::{decode, encode};
use baobabstage::rollout::{Order, Phase, RolloutCell, Step, WHOLE};
use std::time::Duration;
use test_case::test_case;
use tokio::time::{Instant, advance};

const SERVICE: &str = "shop";

fn order(revision: u64) -> Order {
    Order {
        service: SERVICE.into(),
        version: format!("v{revision}"),
        duration: Duration::from_secs(14),
        revision,
    }
}

fn rollout(order_revision: u64, number: u64, phase: Phase, renewal: u64) -> Rollout {
    let now = Instant::now();
    Rollout {
        published: Some(PublishedStep {
            step: Step {
                order: order_revision,
                number,
                phase,
                share: 50,
                targets: vec!["vm-1".into()],
            },
            decider: "vm-0".into(),
            renewal,
            renewed: Some(now),
            reason: String::new(),
            unproven: Vec::new(),
        }),
        ..Rollout::new(order(order_revision), now)
    }
}

fn number(registry: &Registry) -> u64 {
    registry.get(SERVICE).unwrap().step().unwrap().number
}

/// A message that arrives late or twice must not bring an earlier step or order back.
#[test_case(rollout(7, 1, Phase::Trial, 1); "earlier step")]
#[test_case(rollout(7, 2, Phase::Trial, 5); "same step")]
#[test_case(rollout(6, 9, Phase::Completed, 99); "earlier order")]
#[tokio::test(start_paused = true)]
async fn merge_older(late: Rollout) {
    let mut registry = Registry::default();
    registry.merge(rollout(7, 2, Phase::Trial, 5));
    let digest = registry.digest();
    assert_eq!(registry.merge(late), Merged::Nothing);
    assert_eq!(registry.digest(), digest);
    assert_eq!(number(&registry), 2);
}

#[tokio::test(start_paused = true)]
async fn merge_newer() {
    let mut registry = Registry::default();
    registry.merge(rollout(7, 2, Phase::Trial, 5));
    let digest = registry.digest();
    assert_eq!(
        registry.merge(rollout(7, 2, Phase::Trial, 6)),
        Merged::Renewed
    );
    assert_eq!(registry.digest(), digest);
    assert_eq!(
        registry.merge(rollout(7, 3, Phase::Shift, 7)),
        Merged::Changed
    );
    assert_eq!(
        registry.merge(rollout(8, 1, Phase::Trial, 1)),
        Merged::Changed
    );
    assert_ne!(registry.digest(), digest);
    assert_eq!(registry.get(SERVICE).unwrap().order.revision, 8);
}

/// The old backend servers end once a rollout is completed: no message may lead out of a final phase.
#[test_case(Phase::Completed, Phase::RolledBack)]
#[test_case(Phase::RolledBack, Phase::Completed)]
#[test_case(Phase::RolledBack, Phase::Trial)]
#[tokio::test(start_paused = true)]
async fn merge_after_final(last: Phase, next: Phase) {
    let mut registry = Registry::default();
    registry.merge(rollout(7, 2, last, 5));
    assert_eq!(registry.merge(rollout(7, 9, next, 9)), Merged::Nothing);
    assert_eq!(registry.get(SERVICE).unwrap().phase(), last);
}

/// A share that was taken away must not come back by a late renewal; a record of the same number replaces the step.
#[tokio::test(start_paused = true)]
async fn merge_halted() {
    let mut registry = Registry::default();
    let mut whole = rollout(7, 2, Phase::Shift, 5);
    let published = whole.published.as_mut().unwrap();
    published.step.share = WHOLE;
    let halted = Rollout {
        published: Some(published.halted("bad", Instant::now())),
        ..whole.clone()
    };
    registry.merge(whole);
    assert_eq!(registry.merge(halted), Merged::Changed);
    let late = rollout(7, 2, Phase::Shift, 6);
    assert_eq!(registry.merge(late), Merged::Nothing);
    let known = registry.get(SERVICE).unwrap();
    assert!(known.published.as_ref().unwrap().is_halted());
    assert_eq!(known.step().unwrap().share, 0);
    let record = rollout(7, 3, Phase::Completed, 6);
    assert_eq!(registry.merge(record), Merged::Changed);
}

/// A decider that is gone must not leave a share in force.
#[test_case(Phase::Trial, 50, false)]
#[test_case(Phase::Shift, 500, false)]
#[test_case(Phase::Shift, WHOLE, true; "whole")]
#[test_case(Phase::Completed, WHOLE, true)]
#[tokio::test(start_paused = true)]
async fn current_without_renewal(phase: Phase, share: u32, stays: bool) {
    let mut known = rollout(7, 2, phase, 5);
    known.published.as_mut().unwrap().step.share = share;
    assert!(known.current(Instant::now()).is_some());
    advance(STEP_TTL).await;
    assert_eq!(known.current(Instant::now()).is_some(), stays);
}

/// A step that is passed on keeps its age, so that it does not stay in force by being passed around.
#[tokio::test(start_paused = true)]
async fn decode_keeps_age() {
    advance(Duration::from_mins(1)).await;
    let known = rollout(7, 2, Phase::Trial, 5);
    advance(STEP_TTL.saturating_sub(Duration::from_millis(1))).await;
    let received = decode(encode(&known, Instant::now()), Instant::now());
    assert_eq!(received, known);
    advance(Duration::from_millis(1)).await;
    assert!(received.current(Instant::now()).is_none());
}

#[tokio::test(start_paused = true)]
async fn remove_order() {
    let mut registry = Registry::default();
    registry.merge(rollout(7, 2, Phase::Trial, 5));
    assert!(registry.remove(SERVICE));
    assert!(!registry.remove(SERVICE));
    registry.merge(rollout(7, 3, Phase::Trial, 6));
    assert!(registry.get(SERVICE).unwrap().removed);
    registry.merge(rollout(8, 1, Phase::Trial, 1));
    assert!(!registry.get(SERVICE).unwrap().removed);
}

#[tokio::test(start_paused = true)]
async fn confirm_step() {
    let mut registry = Registry::default();
    registry.merge(rollout(7, 2, Phase::Trial, 5));
    advance(STEP_TTL).await;
    let is_current = |registry: &Registry| {
        let known = registry.get(SERVICE).unwrap();
        known.current(Instant::now()).is_some()
    };
    registry.confirm(SERVICE, 7, 1, Instant::now());
    assert!(!is_current(&registry));
    registry.confirm(SERVICE, 7, 2, Instant::now());
    assert!(is_current(&registry));
}

/// Two daemons that read each other's responses must not keep a step in force after its decider is gone.
#[tokio::test(start_paused = true)]
async fn note_mark_without_decider() {
    let peer = ([127, 0, 0, 1], 7_000).into();
    advance(Duration::from_mins(1)).await;
    let cells = [RolloutCell::default(), RolloutCell::default()];
    for cell in &cells {
        cell.merge(rollout(7, 2, Phase::Trial, 5));
    }
    for turn in 0..40 {
        advance(Duration::from_millis(100)).await;
        let mark = cells[turn % 2].mark(SERVICE).unwrap();
        cells[(turn + 1) % 2].note_mark(SERVICE, mark.to_str().unwrap(), peer);
    }
    for cell in &cells {
        let known = cell.get(SERVICE).unwrap();
        assert!(known.current(Instant::now()).is_none());
    }
}

/// A daemon that has given up waiting for the orders must not state that it knows them: one that starts later would take
/// all calls of a version under trial.
#[test]
fn respond_uninformed() {
    let cell = RolloutCell::default();
    cell.mark_synced();
    assert!(!cell.respond(RolloutReport::default()).synced);
    cell.mark_informed();
    assert!(cell.respond(RolloutReport::default()).synced);
}

/// A daemon that the decider's message has not reached learns of the renewal from a response.
#[tokio::test(start_paused = true)]
async fn note_mark_renewed() {
    let peer = ([127, 0, 0, 1], 7_000).into();
    advance(Duration::from_mins(1)).await;
    let (near, far) = (RolloutCell::default(), RolloutCell::default());
    far.merge(rollout(7, 2, Phase::Trial, 5));
    advance(STEP_TTL).await;
    near.merge(rollout(7, 2, Phase::Trial, 8));
    let mark = near.mark(SERVICE).unwrap();
    far.note_mark(SERVICE, mark.to_str().unwrap(), peer);
    let known = far.get(SERVICE).unwrap();
    assert!(known.current(Instant::now()).is_some());
}

/// An order that replaces one in its trial must not make the backend servers under trial the established ones.
#[test_case(Phase::Trial, true)]
#[test_case(Phase::RolledBack, true)]
#[test_case(Phase::Completed, false)]
#[tokio::test(start_paused = true)]
async fn merge_replacing_order(phase: Phase, is_unproven: bool) {
    let earlier = rollout(7, 2, phase, 5);
    let mut registry = Registry::default();
    registry.merge(earlier.clone());
    registry.merge(Rollout::new(order(8), Instant::now()));
    let known = registry.get(SERVICE).unwrap();
    assert_eq!(known.is_unproven("v7"), is_unproven);
    assert!(known.is_established("v6") && !known.is_established("v8"));
    let mut first = rollout(8, 0, Phase::Trial, 1);
    first.published.as_mut().unwrap().unproven = earlier.unproven_after();
    registry.merge(first);
    let known = registry.get(SERVICE).unwrap();
    assert_eq!(known.is_established("v7"), !is_unproven);
}
