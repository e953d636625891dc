//! The decision on the rollout of the own service, while it is this daemon's turn.

use super::status::Status;
use super::{own_rollout, own_service, record, spread};
use crate::daemon::{Daemon, Phase as DrainPhase};
use crate::event;
use crate::generated::mesh::MemberState;
use crate::member::takes_calls;
use crate::platform::Swap;
use crate::rollout::registry::{PublishedStep, Rollout};
use crate::rollout::tenure::{Action, TAKEOVER, Tenure};
use crate::rollout::{Decision, Phase, Plan, Server, Step, WHOLE};
use crate::site::Rollouts;
use crate::tree::rendezvous;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Time between two decisions.
const DECISION_INTERVAL: Duration = Duration::from_millis(100);

/// Time limit for a read or write of the step record.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause before the final state that could not be written is written again.
const FINAL_RETRY: Duration = Duration::from_secs(1);

/// Time after which a candidate checks whether the decider has written the final state, times its place.
const FINAL_CHECK: Duration = Duration::from_secs(2);

/// Time after the final step within which a daemon must become a candidate to check the final state. Daemons that start
/// again after a loss of power know the step before they are ready.
const FINAL_RANK_TIMEOUT: Duration = Duration::from_secs(15);

/// Time without any daemon beside a backend server of an established version after which the ordered version counts
/// as established.
const ALONE_TIME: Duration = Duration::from_secs(4);

/// Candidates that may decide; the others need not read the step record when it is not renewed.
const MAX_CANDIDATES: u32 = 4;

/// Final steps that are spread again, a second apart, for daemons that have missed them.
const FINAL_REPEATS: u32 = 3;

/// The part of a daemon in the rollout of one order.
struct Decider<'a> {
    daemon: &'a Daemon,
    source: &'a Rollouts,
    order: u64,
    tenure: Tenure,
    plan: Option<Plan>,
    status: Status,
    /// The versions of earlier orders that were not completed, by the record that this order's replaces.
    unproven: Vec<String>,
    /// Since when no daemon beside a backend server of an established version has been known.
    alone_since: Option<Instant>,
    /// The value of a write without a response, and when it began.
    tried: Option<(Bytes, Instant)>,
}

/// Decides on the rollouts of the own service, one order after the other.
pub(super) async fn run(daemon: &Daemon, source: &Rollouts) {
    let mut changes = daemon.rollouts.changes();
    let mut ended = 0;
    loop {
        changes.mark_unchanged();
        let rollout = own_rollout(daemon).filter(|rollout| rollout.order.revision > ended);
        let Some(rollout) = rollout else {
            if changes.changed().await.is_err() {
                return;
            }
            continue;
        };
        let order = rollout.order.revision;
        let mut decider = Decider {
            daemon,
            source,
            order,
            tenure: Tenure::new(Instant::now()),
            plan: None,
            status: Status::default(),
            unproven: Vec::new(),
            alone_since: None,
            tried: None,
        };
        tokio::select! {
            () = decider.run() => {}
            () = replaced(daemon, order) => {}
        }
        ended = order;
    }
}

/// Waits until another order has replaced this one.
async fn replaced(daemon: &Daemon, order: u64) {
    let mut changes = daemon.rollouts.changes();
    let is_newest = || own_rollout(daemon).is_some_and(|known| known.order.revision == order);
    while is_newest() && changes.changed().await.is_ok() {}
}

impl Decider<'_> {
    /// Takes part until the order has ended or is replaced.
    async fn run(&mut self) {
        while let Some(rollout) = self.rollout() {
            if rollout.phase().is_final() {
                return self.end(&rollout).await;
            }
            self.tick(&rollout).await;
            sleep(DECISION_INTERVAL).await;
        }
    }

    /// Returns the rollout while it is of this order.
    fn rollout(&self) -> Option<Arc<Rollout>> {
        own_rollout(self.daemon).filter(|rollout| rollout.order.revision == self.order)
    }

    async fn tick(&mut self, rollout: &Rollout) {
        let now = Instant::now();
        let published = rollout.published.as_ref();
        let renewed = published.and_then(|published| published.renewed);
        match self.tenure.next(now, self.rank(), renewed) {
            Action::Wait => {}
            Action::Read => self.read().await,
            Action::TakeOver(_) => {
                let step = rollout.step().cloned();
                let step = step.unwrap_or_else(|| first_step(self.order));
                self.write(rollout, step, reason(rollout)).await;
            }
            Action::Decide => self.decide(now, rollout).await,
        }
    }

    /// Returns the place of this daemon among the candidates, the ready daemons of the service.
    fn rank(&self) -> Option<u32> {
        if self.daemon.drain.phase() != DrainPhase::Running {
            return None;
        }
        let service = own_service(self.daemon);
        let fleet = self.daemon.fleet.load();
        let ready = fleet.upstreams(service).iter();
        let ready = ready.filter(|member| member.state() == MemberState::Ready);
        let mut names: Vec<&str> = ready.map(|member| member.name.as_str()).collect();
        rendezvous::rank(&format!("{service}.{}", self.order), &mut names);
        let own = &self.daemon.identity.name;
        let place = names.iter().position(|name| name == own)?;
        let place = u32::try_from(place).ok()?;
        (place < MAX_CANDIDATES || self.tenure.decides()).then_some(place)
    }

    async fn read(&mut self) {
        let began = Instant::now();
        let service = own_service(self.daemon);
        let stored = timeout(RECORD_TIMEOUT, record::read(self.daemon, service)).await;
        let stored = match stored {
            Ok(Ok(stored)) => stored,
            Ok(Err(err)) => return self.note_unread(began, &err),
            Err(_) => return self.note_unread(began, &"not read in time"),
        };
        let renewed = self.tenure.note_read(began, stored.revision);
        if let Some(earlier) = &stored.rollout
            && earlier.order.revision < self.order
        {
            self.unproven = earlier.unproven_after();
            self.tenure.note_earlier_order();
        }
        if let Some((_, wrote)) = self.tried.take_if(|(value, _)| *value == stored.value) {
            self.tenure.note_written(wrote, stored.revision);
            return;
        }
        // Another daemon has written the record between the two last reads.
        let (Some(renewed), Some(mut rollout)) = (renewed, stored.rollout) else {
            return;
        };
        if let Some(published) = &mut rollout.published {
            published.renewed = Some(renewed);
            self.daemon.rollouts.merge(rollout);
        }
    }

    async fn decide(&mut self, now: Instant, rollout: &Rollout) {
        let Some(step) = rollout.step() else {
            return;
        };
        // A daemon that was paused may have been replaced; its next write tells.
        let published = rollout.published.as_ref();
        let renewed = published.and_then(|published| published.renewed);
        let age = renewed.map_or(TAKEOVER, |at| now.saturating_duration_since(at));
        if age >= TAKEOVER {
            return self.write(rollout, step.clone(), reason(rollout)).await;
        }
        let decision = if published.is_some_and(PublishedStep::is_halted) {
            Decision::RollBack(reason(rollout))
        } else if rollout.removed {
            Decision::RollBack("order was deleted".into())
        } else if self.has_nothing_to_move(now, rollout) && step.number == 0 {
            Decision::Complete
        } else {
            self.decision(now, rollout, step)
        };
        let (next, reason) = match decision {
            Decision::Hold => (None, String::new()),
            Decision::Next(next) => (Some(next), String::new()),
            Decision::Complete => (Some(self.final_step(step, Phase::Completed)), String::new()),
            Decision::RollBack(reason) => {
                let halted = self.halt(now, rollout, &reason);
                let last = halted.as_ref().unwrap_or(step);
                (Some(self.final_step(last, Phase::RolledBack)), reason)
            }
        };
        match next {
            Some(next) => self.write(rollout, next, reason).await,
            None if self.tenure.is_due(now) => {
                self.write(rollout, step.clone(), reason).await;
            }
            None => {}
        }
    }

    /// Takes the share away before the rollback is written: the write may fail, and a whole share stays without renewals.
    /// The other backend servers exist until the rollout is completed. Returns the step, if there was a share.
    fn halt(&self, now: Instant, rollout: &Rollout, reason: &str) -> Option<Step> {
        let published = rollout.published.as_ref();
        let halted = published.filter(|known| known.step.share > 0)?;
        let halted = halted.halted(reason, now);
        let step = halted.step.clone();
        let next = Rollout {
            published: Some(halted),
            ..rollout.clone()
        };
        self.publish(&next, true);
        Some(step)
    }

    /// Tests whether all backend servers are of the ordered version already, or of one that gets no calls. Daemons
    /// whose backend servers are down count as well, and a daemon that has just started may not know all others.
    fn has_nothing_to_move(&mut self, now: Instant, rollout: &Rollout) -> bool {
        let fleet = self.daemon.fleet.load();
        let service = own_service(self.daemon);
        let mut members = fleet.members().values();
        let is_established = members
            .any(|member| member.service == service && rollout.is_established(&member.version));
        if is_established {
            self.alone_since = None;
            return false;
        }
        let since = *self.alone_since.get_or_insert(now);
        now.saturating_duration_since(since) >= ALONE_TIME
    }

    fn decision(&mut self, now: Instant, rollout: &Rollout, step: &Step) -> Decision {
        if self.plan.is_none() {
            self.log_tenure(true);
        }
        let new_plan = || Plan::new(rollout.order.clone(), self.source.limits, rollout.ordered);
        let plan = self.plan.get_or_insert_with(new_plan);
        let step = (step.number > 0).then_some(step);
        let fleet = self.daemon.fleet.load();
        let service = own_service(self.daemon);
        let members = fleet.members().values();
        let servers = members.filter(|member| member.service == service);
        let servers: Vec<Server> = servers
            .map(|member| Server {
                daemon: member.name.clone(),
                version: member.version.clone(),
                slots: member.slots,
                ready: takes_calls(member),
            })
            .collect();
        let evidence = self.daemon.rollouts.evidence(self.order);
        plan.decide(now, step, &servers, &evidence)
    }

    fn final_step(&self, step: &Step, phase: Phase) -> Step {
        Step {
            order: self.order,
            number: step.number + 1,
            phase,
            share: if phase == Phase::Completed { WHOLE } else { 0 },
            targets: Vec::new(),
        }
    }

    /// Writes the step record, and publishes the step if that succeeds.
    async fn write(&mut self, rollout: &Rollout, step: Step, reason: String) {
        let service = own_service(self.daemon);
        let prepared = self.status.prepare(self.daemon, self.source, service);
        if let Err(err) = timeout(RECORD_TIMEOUT, prepared).await.unwrap_or(Ok(())) {
            self.log_failed(&err);
        }
        let began = Instant::now();
        let changed = rollout.step() != Some(&step);
        let before = rollout.published.as_ref();
        let next = Rollout {
            published: Some(PublishedStep {
                step,
                decider: self.daemon.identity.name.clone(),
                renewal: before.map_or(0, |published| published.renewal) + 1,
                renewed: Some(began),
                reason,
                unproven: before.map_or(&self.unproven, |step| &step.unproven).clone(),
            }),
            ..rollout.clone()
        };
        let value = record::encode(self.daemon, &next);
        let key = record::key(service);
        let platform = self.daemon.store.platform();
        let swap = platform.swap(&key, self.tenure.revision(), Some(value.clone()), 0);
        match timeout(RECORD_TIMEOUT, swap).await {
            Ok(Ok(Swap::Done(revision))) => {
                self.tenure.note_written(began, revision);
                self.publish(&next, changed);
                self.write_status(&next).await;
            }
            Ok(Ok(Swap::Stale(_))) => {
                self.tried = None;
                self.lose();
            }
            Ok(Err(err)) => self.note_unknown(value, began, &err),
            Err(_) => self.note_unknown(value, began, &"not written in time"),
        }
    }

    fn publish(&self, rollout: &Rollout, changed: bool) {
        self.daemon.rollouts.merge(rollout.clone());
        spread(self.daemon, rollout);
        if !changed {
            return;
        }
        if let Some(published) = &rollout.published {
            event!(
                RolloutDecided,
                service = rollout.order.service,
                version = rollout.order.version,
                order = self.order,
                step = published.step.number,
                phase = format_args!("{:?}", published.step.phase),
                share = published.step.share,
                targets = published.step.targets.join(","),
                reason = published.reason,
            );
        }
    }

    async fn write_status(&mut self, rollout: &Rollout) {
        let written = self.status.write(self.daemon, self.source, rollout);
        if let Ok(Err(err)) = timeout(RECORD_TIMEOUT, written).await {
            self.log_failed(&err);
        }
    }

    fn note_unread(&mut self, began: Instant, err: &dyn std::fmt::Display) {
        self.log_failed(err);
        self.tenure.note_unread(began);
    }

    /// Handles a write whose effect is not known: the record is read next.
    fn note_unknown(&mut self, value: Bytes, began: Instant, err: &dyn std::fmt::Display) {
        self.log_failed(err);
        self.tried = Some((value, began));
        self.lose();
    }

    fn lose(&mut self) {
        if self.plan.take().is_some() {
            self.log_tenure(false);
        }
        self.tenure.note_lost();
    }

    /// Writes the final state and spreads the last step again. Where another daemon has decided, the candidates look
    /// one after the other whether it has done so.
    async fn end(&mut self, rollout: &Rollout) {
        if !self.tenure.decides() {
            let Some(rank) = self.wait_rank().await else {
                return;
            };
            sleep(FINAL_CHECK * (rank + 1)).await;
        }
        let mut repeats = if self.tenure.decides() {
            0
        } else {
            FINAL_REPEATS
        };
        loop {
            let written = self.status.write_final(self.daemon, self.source, rollout);
            let is_written = match timeout(RECORD_TIMEOUT, written).await {
                Ok(Ok(is_written)) => is_written,
                Ok(Err(err)) => {
                    self.log_failed(&err);
                    false
                }
                Err(_) => false,
            };
            if is_written && repeats >= FINAL_REPEATS || self.rollout().is_none() {
                return;
            }
            if repeats < FINAL_REPEATS {
                repeats += 1;
                spread(self.daemon, rollout);
            }
            sleep(FINAL_RETRY).await;
        }
    }

    /// Waits until this daemon is a candidate; returns `None` when it drains or does not become one in time.
    async fn wait_rank(&self) -> Option<u32> {
        let began = Instant::now();
        loop {
            let rank = self.rank();
            let drains = self.daemon.drain.phase() != DrainPhase::Running;
            if rank.is_some() || drains || began.elapsed() >= FINAL_RANK_TIMEOUT {
                return rank;
            }
            sleep(FINAL_RETRY).await;
        }
    }

    fn log_tenure(&self, decides: bool) {
        event!(
            RolloutDecider,
            service = own_service(self.daemon),
            order = self.order,
            decides = decides,
            revision = self.tenure.revision(),
        );
    }

    fn log_failed(&self, err: &dyn std::fmt::Display) {
        let key = record::key(own_service(self.daemon));
        event!(RolloutRecordFailed, key = key, error = err);
    }
}

/// Returns why a rollout is to be rolled back; empty if it is not.
fn reason(rollout: &Rollout) -> String {
    let published = rollout.published.as_ref();
    published.map_or_else(String::new, |published| published.reason.clone())
}

/// Returns the step before the first decision, by which no call goes to the new version.
fn first_step(order: u64) -> Step {
    Step {
        order,
        number: 0,
        phase: Phase::Trial,
        share: 0,
        targets: Vec::new(),
    }
}
