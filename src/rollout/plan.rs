//! The decision on the next step of a rollout.
//!
//! A trial on few backend servers lasts until the version is proven good or bad; see [`super::compare`]. Then
//! all new backend servers get a share that keeps the exposure within its limit if the version is bad after
//! all, and then all calls. `docs/design/rollouts.md` gives the reasons.

use super::compare::{self, Defect, Verdict};
use super::history::History;
use super::trial::{self, Servers};
use super::{Evidence, ExposureLimits, Order, Phase, Step, WHOLE};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// Time until a step has reached all daemons.
const SPREAD: Duration = Duration::from_secs(1);
/// Age of the evidence on arrival.
const REPORT_DELAY: Duration = Duration::from_millis(500);
/// Time from a defect until the calls have stopped: evidence, decision and step.
const REACTION: Duration = Duration::from_millis(2_500);
/// Time from the first new backend server until the trial starts with fewer than three.
const GATHER: Duration = Duration::from_millis(500);
/// Time for which a step has been in force when another decider takes it over.
const TAKE_OVER: Duration = Duration::from_secs(2);
/// Time from the order until the targets are assumed to have started, at a decider that takes over.
const START: Duration = Duration::from_millis(1_500);
/// The longest time that a call runs.
const LONGEST_CALL: Duration = Duration::from_secs(3);
/// Time before the deadline by which the rollout ends, so that the result can be written.
const END_MARGIN: Duration = Duration::from_secs(1);
/// The same where the share became the whole late.
const LEAST_MARGIN: Duration = Duration::from_millis(500);
/// The shortest time between the last daemon's last call to an old backend server and the end.
const SHORTEST_DRAIN: Duration = Duration::from_millis(500);
/// Time for which a target may report nothing before another one takes its place.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Latency ratio of the calls of a bad version.
const SLOW_CALL: u32 = 8;

/// Logarithm of the likelihood ratio from which a version is rolled back.
const BAD_LLR: f64 = 5.0;
/// The same for each backend server, where the version has fewer than three.
const BAD_LLR_EACH: f64 = 1.7;
/// Logarithm of the likelihood ratio below which a version is proven good.
const GOOD_LLR: f64 = -3.0;
/// The same for each backend server, where the version has fewer than three.
const GOOD_LLR_EACH: f64 = -1.5;
/// Mean contribution of a backend server below which a version is proven good. A good version with many
/// backend servers has a sum far below the threshold for the sum.
const GOOD_EACH: f64 = -0.5;
/// The same in the short window, for all routes together.
const RECENT_GOOD_EACH: f64 = -0.8;
/// Contribution from which a target is replaced as faulty while the others are good.
const FAULTY_LLR: f64 = 1.2;
/// Part of the threshold below which thin evidence speaks for the version.
const THIN_LLR: f64 = 0.4;
/// The greatest share between trial and whole.
const GREATEST_PARTIAL_SHARE: f64 = 0.5;
/// The longest time for which that share waits for slow calls.
const LONGEST_PARTIAL: Duration = Duration::from_millis(2_750);
/// The greatest number of targets of a trial.
const MOST_TARGETS: usize = 6;
/// Time from the maturity of the first backend server after which an undecided trial gets more targets.
const UNDECIDED: Duration = Duration::from_millis(1_800);
/// Factor by which a partial share has to exceed that of a trial in order to be lowered to it.
const RETREAT: f64 = 1.5;
/// Factor by which the share of a trial has to grow for a new step.
const RAISE: f64 = 1.2;
/// The part of the remaining exposure that a step may use. A trial whose share is above all of it is lowered; the
/// difference keeps errors of the rate from changing the step each time.
const EXPOSURE_USE: f64 = 0.9;
/// Age of the newest counts of a backend server up to which they count for the end of the rollout.
const RECENT: Duration = Duration::from_secs(1);
/// Calls without which a version is not completed.
const LEAST_CALLS: u64 = 20;

/// A daemon of the service with its backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// The name of the daemon.
    pub daemon: String,
    /// The version of the backend server.
    pub version: String,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Whether it takes calls.
    pub ready: bool,
}

/// The decision on a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The step stays as it is.
    Hold,
    /// The next step; its phase is not final.
    Next(Step),
    /// The rollout ends: all calls go to the new version.
    Complete,
    /// The rollout ends, for the given reason: no call goes to the new version.
    RollBack(String),
}

/// The state of the decision on one order, at the decider. A daemon that takes over begins with a new one,
/// given the last step.
#[derive(Debug)]
pub struct Plan {
    order: Order,
    limits: ExposureLimits,
    ordered: Instant,
    history: History,
    /// When each backend server of the new version started, by daemon.
    started: BTreeMap<String, Instant>,
    /// The number of the last step with the time at which it was first given.
    stepped: Option<(u64, Instant)>,
    /// When the share of the trial was last raised on the same targets.
    raised: Option<Instant>,
    /// When the share became the whole.
    whole_since: Option<Instant>,
    /// When each target of the trial became one.
    targeted: BTreeMap<String, Instant>,
}

/// The input of one decision.
struct View<'a> {
    now: Instant,
    servers: Servers<'a>,
    verdict: Verdict,
}

impl Plan {
    /// Creates the state for an order that was given at `ordered`.
    #[must_use]
    pub fn new(order: Order, limits: ExposureLimits, ordered: Instant) -> Self {
        Plan {
            order,
            limits,
            ordered,
            history: History::default(),
            started: BTreeMap::new(),
            stepped: None,
            raised: None,
            whole_since: None,
            targeted: BTreeMap::new(),
        }
    }

    /// Decides on the next step, given the last one, the backend servers of the service now, and what has
    /// been counted.
    pub fn decide(
        &mut self,
        now: Instant,
        step: Option<&Step>,
        servers: &[Server],
        evidence: &Evidence,
    ) -> Decision {
        let step = step.filter(|step| step.order == self.order.revision);
        if step.is_some_and(|step| step.phase.is_final()) {
            return Decision::Hold;
        }
        let (new, old): (Vec<&Server>, Vec<&Server>) = servers
            .iter()
            .filter(|server| server.ready)
            .partition(|server| server.version == self.order.version);
        self.observe(now, step, &new, evidence);
        let view = View {
            now,
            servers: Servers { new, old },
            verdict: compare::compare(now, &self.history, &self.started),
        };
        if let Some(reason) = self.defect(&view) {
            return Decision::RollBack(reason);
        }
        match step {
            None => self.begin(&view),
            Some(step) if step.phase == Phase::Trial => self.try_out(step, &view),
            Some(step) if step.share < WHOLE => self.raise(step, &view),
            Some(step) => self.finish(step, &view),
        }
    }

    /// Records starts, steps and counts.
    fn observe(&mut self, now: Instant, step: Option<&Step>, new: &[&Server], evidence: &Evidence) {
        let taken_over = self.stepped.is_none() && step.is_some_and(|step| step.number > 0);
        if let Some(step) = step {
            if taken_over {
                let start = now.min(self.ordered + START);
                let targets = step.targets.iter();
                self.started
                    .extend(targets.map(|name| (name.clone(), start)));
            }
            if self.stepped.is_none_or(|(number, _)| number != step.number) {
                let since = if taken_over { now - TAKE_OVER } else { now };
                self.stepped = Some((step.number, since));
                if step.share >= WHOLE {
                    self.whole_since.get_or_insert(since);
                }
            }
            self.targeted.retain(|name, _| step.targets.contains(name));
            for name in &step.targets {
                self.targeted.entry(name.clone()).or_insert(now);
            }
        }
        for server in new {
            if !self.started.contains_key(&server.daemon) {
                self.started.insert(server.daemon.clone(), now);
            }
        }
        self.history.record(now, evidence, &self.order.version);
    }

    /// The reason for which the version is bad, if it is.
    fn defect(&self, view: &View) -> Option<String> {
        let ((route, defect), llr) = view.verdict.worst?;
        if llr < self.bad_threshold() {
            return None;
        }
        let what = match defect {
            Defect::Failures => "error rate",
            Defect::Latency => "service time",
        };
        let place = route.map_or("all routes".to_owned(), |route| {
            format!("time class {route}")
        });
        Some(format!(
            "{what} above that of the old version on {place} (log likelihood ratio {llr:.1})"
        ))
    }

    /// Logarithm of the likelihood ratio from which the version is rolled back.
    fn bad_threshold(&self) -> f64 {
        BAD_LLR.min(BAD_LLR_EACH * small(self.started.len()))
    }

    /// Starts the trial once there are new backend servers.
    fn begin(&self, view: &View) -> Decision {
        if view.now >= self.end() {
            return Decision::RollBack("no backend server of the version is ready".to_owned());
        }
        let Some(first) = self.started.values().min() else {
            return Decision::Hold;
        };
        let ready = view.servers.new.len();
        let enough = ready >= trial::TARGETS || view.now >= *first + GATHER;
        if !enough || ready == 0 {
            return Decision::Hold;
        }
        let none = BTreeSet::new();
        let targets = view.servers.targets(trial::TARGETS, &none, &none);
        let share = self.trial_share(&targets, view);
        self.next(0, Phase::Trial, share, targets)
    }

    /// Continues the trial, or ends it.
    fn try_out(&mut self, step: &Step, view: &View) -> Decision {
        if self.is_shown(step, view) || self.is_thin_but_good(view) {
            return self.shift(step, view);
        }
        if view.now >= self.end() {
            return Decision::RollBack("not enough evidence before the deadline".to_owned());
        }
        let targets = self.trial_targets(step, view);
        if targets.is_empty() {
            return Decision::Hold;
        }
        let share = self.trial_share(&targets, view);
        let raised = share > step.share && f64::from(share) >= RAISE * f64::from(step.share);
        if targets == step.targets {
            if !raised && !self.is_excessive(step, view) {
                return Decision::Hold;
            }
            if raised {
                self.raised = Some(view.now);
            }
        }
        self.next(step.number, Phase::Trial, share, targets)
    }

    /// Raises the share to the whole, unless the partial share shows that the version is bad.
    fn raise(&self, step: &Step, view: &View) -> Decision {
        if self.may_be_whole(view) || self.is_thin_but_good(view) {
            return self.next(step.number, Phase::Shift, WHOLE, view.servers.names());
        }
        if view.now >= self.end() {
            return Decision::RollBack("not enough evidence before the deadline".to_owned());
        }
        if view.verdict.worst_llr() > 0.0 && self.remaining(step, view.now) <= 0.0 {
            return Decision::RollBack("exposure used up without proof".to_owned());
        }
        self.retreat(step, view)
            .unwrap_or_else(|| self.follow_servers(step, view))
    }

    /// Lowers the share to that of a trial where the version is more likely bad than good.
    fn retreat(&self, step: &Step, view: &View) -> Option<Decision> {
        let none = BTreeSet::new();
        let targets = view.servers.targets(trial::TARGETS, &none, &none);
        let share = self.trial_share(&targets, view);
        let lower = f64::from(share) * RETREAT < f64::from(step.share);
        let doubtful = view.verdict.worst_llr() >= THIN_LLR * self.bad_threshold();
        let next = || self.next(step.number, Phase::Shift, share, targets);
        (doubtful && lower && !step.targets.is_empty()).then(next)
    }

    /// Completes the rollout once the calls at the old backend servers have ended, if recent counts show that the
    /// version has not become bad. Near the deadline the last good counts do.
    fn finish(&self, step: &Step, view: &View) -> Decision {
        let whole = self.whole_since.unwrap_or(view.now);
        let drained = whole + SPREAD + LONGEST_CALL;
        let shortest = whole + SPREAD + SHORTEST_DRAIN;
        let latest = self.end().max(shortest.min(self.deadline() - LEAST_MARGIN));
        if view.now >= drained.min(latest) && self.is_reporting(view) {
            return Decision::Complete;
        }
        if view.now < latest {
            return self.follow_servers(step, view);
        }
        if self.is_good_so_far(view) {
            return Decision::Complete;
        }
        Decision::RollBack("no recent evidence before the deadline".to_owned())
    }

    /// Tests whether at least half of the new backend servers that are ready have recent counts.
    fn is_reporting(&self, view: &View) -> bool {
        let tracks = self.history.of(true);
        let recent = tracks.filter(|(_, track)| track.newest() + RECENT >= view.now);
        let recent: BTreeSet<&str> = recent.map(|(key, _)| key.daemon.as_str()).collect();
        let ready = view.servers.names();
        let reporting = ready.iter().filter(|name| recent.contains(name.as_str()));
        !ready.is_empty() && 2 * reporting.count() >= ready.len()
    }

    /// Tests whether there is evidence, and the version is not much more likely bad than good by it.
    fn is_good_so_far(&self, view: &View) -> bool {
        let worst = view.verdict.worst_llr().max(view.verdict.partly_failing);
        worst < THIN_LLR * self.bad_threshold() && self.history.exposure() >= LEAST_CALLS
    }

    /// Adapts the targets to the backend servers that are there.
    fn follow_servers(&self, step: &Step, view: &View) -> Decision {
        let targets = if step.share >= WHOLE {
            view.servers.names()
        } else {
            let kept = step.targets.iter().map(String::as_str).collect();
            view.servers
                .targets(step.targets.len(), &kept, &BTreeSet::new())
        };
        if targets.is_empty() || targets == step.targets {
            return Decision::Hold;
        }
        self.next(step.number, Phase::Shift, step.share, targets)
    }

    /// The targets without those that have gone, are silent or are faulty, as far as there are others.
    fn trial_targets(&self, step: &Step, view: &View) -> Vec<String> {
        let is_unfit = |name: &&str| self.is_silent(name, view.now) || is_faulty(name, view);
        let targets: Vec<&str> = step.targets.iter().map(String::as_str).collect();
        let tried: BTreeSet<&str> = self
            .history
            .of(true)
            .filter(|(_, track)| track.calls() > 0)
            .map(|(key, _)| key.daemon.as_str())
            .chain(targets.iter().copied())
            .collect();
        let fit = targets.iter().filter(|name| !is_unfit(name)).copied();
        let fit: BTreeSet<&str> = fit.collect();
        let count = self.trial_count(&fit, &tried, view);
        let chosen = view.servers.targets(count, &fit, &tried);
        if chosen.len() >= trial::TARGETS.min(view.servers.new.len()) {
            return chosen;
        }
        // There are no untried ones left: the unfit targets stay.
        let all: BTreeSet<&str> = targets.into_iter().collect();
        view.servers.targets(trial::TARGETS, &all, &tried)
    }

    /// The number of targets: one more for each that was tried in vain, and more where the trial remains
    /// undecided, as far as the greatest share permits.
    fn trial_count(&self, fit: &BTreeSet<&str>, tried: &BTreeSet<&str>, view: &View) -> usize {
        let load = view.servers.load(self.busy(view.now), false);
        let most = view
            .servers
            .count(self.greatest_trial_share(view.now), load);
        let in_vain = tried.difference(fit).count();
        let first = self.started.values().min().copied().unwrap_or(view.now);
        let undecided = view.now >= first + compare::MATURE + UNDECIDED;
        let wanted = if undecided {
            MOST_TARGETS
        } else {
            trial::TARGETS + in_vain
        };
        wanted.min(most).min(MOST_TARGETS).max(fit.len())
    }

    /// Tests whether a target has had calls for a while and reports nothing.
    fn is_silent(&self, name: &str, now: Instant) -> bool {
        let Some(since) = self.targeted.get(name) else {
            return false;
        };
        let reports = self.history.of(true);
        let newest = reports
            .filter(|(key, _)| key.daemon == name)
            .map(|(_, track)| track.newest())
            .max();
        let last = newest.map_or(*since + SPREAD, |newest| newest.max(*since + SPREAD));
        now >= last + SILENCE
    }

    fn is_proven(&self, view: &View) -> bool {
        let threshold = GOOD_LLR.max(GOOD_LLR_EACH * small(self.started.len()));
        let verdict = &view.verdict;
        verdict.proof.llr <= threshold
            && verdict.proof.each <= GOOD_EACH
            && verdict.recent.each <= RECENT_GOOD_EACH
            && verdict.recent_routes.each <= 0.0
    }

    /// Tests whether the trial has shown that the version is good under the load of the step.
    fn is_shown(&self, step: &Step, view: &View) -> bool {
        let raised = self
            .raised
            .is_none_or(|raised| view.now >= raised + SPREAD + REPORT_DELAY);
        raised && step.share > 0 && self.is_proven(view)
    }

    /// Tests whether the time is nearly over and the little evidence there is speaks for the version.
    fn is_thin_but_good(&self, view: &View) -> bool {
        view.now >= self.latest_whole() && view.now < self.end() && self.is_good_so_far(view)
    }

    /// Tests whether the partial share has lasted long enough to show slow calls as well.
    fn may_be_whole(&self, view: &View) -> bool {
        let Some((_, stepped)) = self.stepped else {
            return false;
        };
        let shown = stepped + SPREAD + REPORT_DELAY;
        let slow_calls = SLOW_CALL * view.verdict.slowest;
        let slow = stepped + SPREAD / 2 + slow_calls + REPORT_DELAY;
        let slow = slow.min(stepped + LONGEST_PARTIAL);
        view.now >= shown.max(slow).min(self.latest_whole()) && self.is_proven(view)
    }

    /// The step from the trial to a share at which the exposure stays within its limit if the version is bad
    /// after all. It is concentrated on so many backend servers that they are loaded as in the trial.
    fn shift(&self, step: &Step, view: &View) -> Decision {
        let servers = &view.servers;
        if view.now >= self.latest_whole() {
            return self.next(step.number, Phase::Shift, WHOLE, servers.names());
        }
        let rate = self.rate(view.now).max(1.0);
        let calls = EXPOSURE_USE * self.remaining(step, view.now);
        let share = calls / (rate * REACTION.as_secs_f64());
        let share = share.clamp(
            f64::from(step.share) / f64::from(WHOLE),
            GREATEST_PARTIAL_SHARE,
        );
        let load = servers.load(self.busy(view.now), false);
        let none = BTreeSet::new();
        let targets = servers.targets(servers.count(share, load), &none, &none);
        let share = servers.share(&targets, load, share).max(step.share);
        self.next(step.number, Phase::Shift, share, targets)
    }

    /// The share of a trial with these targets.
    fn trial_share(&self, targets: &[String], view: &View) -> u32 {
        let is_cold = |name: &String| {
            let started = self.started.get(name);
            started.is_some_and(|started| view.now < *started + compare::COLD)
        };
        let cold = targets.iter().any(is_cold);
        let load = view.servers.load(self.busy(view.now), cold);
        let greatest = self.greatest_trial_share(view.now);
        view.servers.share(targets, load, greatest)
    }

    /// Tests whether a trial at this share would use more than what remains of the permitted exposure.
    fn is_excessive(&self, step: &Step, view: &View) -> bool {
        let greatest = self.greatest_trial_share(view.now) / EXPOSURE_USE;
        self.is_rate_known(view.now) && f64::from(step.share) > greatest * f64::from(WHOLE)
    }

    /// The greatest share that stays within the limits for the whole duration.
    fn greatest_trial_share(&self, now: Instant) -> f64 {
        if !self.is_rate_known(now) {
            // The number of calls that the slack is a part of is not known.
            return EXPOSURE_USE * self.limits.share;
        }
        let left = self.deadline().saturating_duration_since(now);
        let calls = (self.rate(now) * self.order.duration.as_secs_f64()).max(1.0);
        let slack = (f64::from(self.limits.slack) / calls).min(self.limits.share);
        let remaining = self.permitted(now) - self.exposure();
        let rest = remaining / (self.rate(now) * left.as_secs_f64()).max(1.0);
        EXPOSURE_USE * (self.limits.share + slack).min(rest).max(0.0)
    }

    /// Tests whether calls have been counted for long enough to know their rate. A decider that takes over begins
    /// to count again.
    fn is_rate_known(&self, now: Instant) -> bool {
        self.history.spans(now, compare::LONG)
    }

    /// Calls to the service in a second. Until enough is counted, at least the average since the order.
    #[allow(clippy::cast_precision_loss)]
    fn rate(&self, now: Instant) -> f64 {
        let rate = self.history.rate(now, compare::LONG);
        if self.is_rate_known(now) {
            return rate;
        }
        let elapsed = now.saturating_duration_since(self.ordered);
        rate.max(self.history.calls() as f64 / elapsed.as_secs_f64().max(1.0))
    }

    /// Slots of the old version in use.
    fn busy(&self, now: Instant) -> f64 {
        self.history.busy(now, compare::SHORT)
    }

    /// Calls to the version that the limit still permits, without those that are not reported yet.
    fn remaining(&self, step: &Step, now: Instant) -> f64 {
        let unreported = self.rate(now) * f64::from(step.share) / f64::from(WHOLE);
        self.permitted(now) - self.exposure() - unreported * REPORT_DELAY.as_secs_f64()
    }

    /// Calls to the version that are permitted between order and deadline: a part of those that were counted and
    /// those that are expected, and the slack.
    #[allow(clippy::cast_precision_loss)]
    fn permitted(&self, now: Instant) -> f64 {
        let left = self.deadline().saturating_duration_since(now) + REPORT_DELAY;
        let calls = self.history.calls() as f64 + self.rate(now) * left.as_secs_f64();
        self.limits.share * calls + f64::from(self.limits.slack)
    }

    /// Calls to the version since the order.
    #[allow(clippy::cast_precision_loss)]
    fn exposure(&self) -> f64 {
        self.history.exposure() as f64
    }

    fn deadline(&self) -> Instant {
        self.ordered + self.order.duration
    }

    /// The time at which the rollout ends.
    fn end(&self) -> Instant {
        self.ordered + self.order.duration.saturating_sub(END_MARGIN)
    }

    /// The latest time at which the share becomes the whole.
    fn latest_whole(&self) -> Instant {
        let tail = END_MARGIN + SPREAD + SHORTEST_DRAIN;
        self.ordered + self.order.duration.saturating_sub(tail)
    }

    fn next(&self, last: u64, phase: Phase, share: u32, targets: Vec<String>) -> Decision {
        Decision::Next(Step {
            order: self.order.revision,
            number: last + 1,
            phase,
            share,
            targets,
        })
    }
}

/// Tests whether a target is bad while the version is more likely good, or undecided.
fn is_faulty(name: &str, view: &View) -> bool {
    let mut votes = view.verdict.votes.iter();
    votes.any(|(key, llr)| key.daemon == name && *llr >= FAULTY_LLR)
}

#[allow(clippy::cast_precision_loss)]
fn small(count: usize) -> f64 {
    count as f64
}
