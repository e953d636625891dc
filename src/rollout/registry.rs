//! The rollouts that a daemon knows: for each service the newest order and its newest step.

use super::{Order, Phase, Step, WHOLE};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3;

/// Time without a renewal after which a step is no longer current. It covers a renewal each second, and the 2 s
/// after which another daemon takes over.
pub const STEP_TTL: Duration = Duration::from_secs(3);

/// A step with its origin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedStep {
    /// The step. Number zero stands for the time before the first decision.
    pub step: Step,
    /// The name of the daemon that decides.
    pub decider: String,
    /// Incremented with each write of the step record of this order.
    pub renewal: u64,
    /// When that write began, if known; a receiver's estimate is not later than that by more than the time that
    /// the message took.
    pub renewed: Option<Instant>,
    /// Why the rollout was, or is to be, rolled back; empty otherwise.
    pub reason: String,
    /// The versions of earlier orders that were not completed; their backend servers get no calls.
    pub unproven: Vec<String>,
}

impl PublishedStep {
    /// Returns the step that takes the share away until a rollback is recorded. Its renewal is less than that of any
    /// record with the same number, so that such a record replaces it.
    #[must_use]
    pub fn halted(&self, reason: &str, now: Instant) -> PublishedStep {
        PublishedStep {
            step: Step {
                number: self.step.number + 1,
                share: 0,
                targets: Vec::new(),
                ..self.step.clone()
            },
            renewed: Some(now),
            reason: reason.into(),
            ..self.clone()
        }
    }

    /// Tests whether the rollout is to be rolled back, and that is not recorded yet.
    #[must_use]
    pub fn is_halted(&self) -> bool {
        !self.step.phase.is_final() && !self.reason.is_empty()
    }
}

/// An order with its newest step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rollout {
    /// The order.
    pub order: Order,
    /// When a daemon first read it.
    pub ordered: Instant,
    /// Whether the order was deleted.
    pub removed: bool,
    /// The newest step; `None` before the first one.
    pub published: Option<PublishedStep>,
    /// The version of an order that this one has replaced here before it was completed. It stands for
    /// [`PublishedStep::unproven`] before the first step, and may be outdated.
    pub replaced: Option<String>,
}

impl Rollout {
    /// Creates the state of an order without a step.
    #[must_use]
    pub fn new(order: Order, ordered: Instant) -> Self {
        Rollout {
            order,
            ordered,
            removed: false,
            published: None,
            replaced: None,
        }
    }

    /// Returns the newest step, current or not.
    #[must_use]
    pub fn step(&self) -> Option<&Step> {
        self.published.as_ref().map(|published| &published.step)
    }

    /// Returns the phase of the newest step; a trial before the first one.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.step().map_or(Phase::Trial, |step| step.phase)
    }

    /// Tests whether all calls go to the new version, which stays so without renewals.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        let whole = |step: &Step| step.phase == Phase::Shift && step.share >= WHOLE;
        self.step().is_some_and(whole)
    }

    /// Returns the newest step if it is in force: it was renewed within [`STEP_TTL`], or stays without renewals.
    #[must_use]
    pub fn current(&self, now: Instant) -> Option<&Step> {
        let published = self.published.as_ref()?;
        let stays = published.step.phase.is_final() || self.is_whole();
        let renewed = published.renewed;
        let is_recent = renewed.is_some_and(|at| now.saturating_duration_since(at) < STEP_TTL);
        (stays || is_recent).then_some(&published.step)
    }

    /// Tests whether a version was ordered before and not completed.
    #[must_use]
    pub fn is_unproven(&self, version: &str) -> bool {
        let is_listed = match &self.published {
            Some(published) => published.unproven.iter().any(|other| other == version),
            None => self.replaced.as_deref() == Some(version),
        };
        is_listed && version != self.order.version
    }

    /// Tests whether a version is neither the ordered one nor unproven: its backend servers take the calls that
    /// the ordered one does not get.
    #[must_use]
    pub fn is_established(&self, version: &str) -> bool {
        version != self.order.version && !self.is_unproven(version)
    }

    /// Returns the versions that are unproven for an order that replaces this one.
    #[must_use]
    pub fn unproven_after(&self) -> Vec<String> {
        if self.phase() == Phase::Completed {
            return Vec::new();
        }
        let earlier = self.published.iter().flat_map(|step| &step.unproven);
        earlier.chain([&self.order.version]).cloned().collect()
    }

    /// Merges a step of this order. Returns what it changed.
    fn merge_step(&mut self, other: PublishedStep) -> Merged {
        let Some(known) = &mut self.published else {
            self.published = Some(other);
            return Merged::Changed;
        };
        let is_final = known.step.phase.is_final();
        let newer = (other.step.number, other.renewal) > (known.step.number, known.renewal);
        if newer && !is_final {
            let changed = known.step != other.step;
            let renewed = known.renewed.max(other.renewed);
            *known = PublishedStep { renewed, ..other };
            return if changed {
                Merged::Changed
            } else {
                Merged::Renewed
            };
        }
        let same = (other.step.number, other.renewal) == (known.step.number, known.renewal);
        if same && other.renewed > known.renewed {
            known.renewed = other.renewed;
            return Merged::Renewed;
        }
        Merged::Nothing
    }
}

/// What merging a rollout has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Merged {
    /// Nothing: it was known, or is older than what is known.
    Nothing,
    /// The time of the last renewal.
    Renewed,
    /// The order or the step.
    Changed,
}

/// The newest order of each service, with its newest step.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    rollouts: BTreeMap<String, Arc<Rollout>>,
}

impl Registry {
    /// Merges a rollout. An order replaces those of smaller revisions, of one order the step with the greatest
    /// number and renewal counts, and a final phase is never left.
    pub fn merge(&mut self, other: Rollout) -> Merged {
        let Some(known) = self.rollouts.get_mut(&other.order.service) else {
            let service = other.order.service.clone();
            self.rollouts.insert(service, Arc::new(other));
            return Merged::Changed;
        };
        if other.order.revision > known.order.revision {
            let replaced = (known.phase() != Phase::Completed).then(|| known.order.version.clone());
            *known = Arc::new(Rollout { replaced, ..other });
            return Merged::Changed;
        }
        if other.order.revision < known.order.revision {
            return Merged::Nothing;
        }
        let known = Arc::make_mut(known);
        known.ordered = known.ordered.min(other.ordered);
        let mut merged = Merged::Nothing;
        if other.removed && !known.removed {
            known.removed = true;
            merged = Merged::Changed;
        }
        let published = other.published.map(|step| known.merge_step(step));
        merged.max(published.unwrap_or(Merged::Nothing))
    }

    /// Records that the order of a service was deleted; returns whether that is new.
    pub fn remove(&mut self, service: &str) -> bool {
        let Some(known) = self.rollouts.get_mut(service) else {
            return false;
        };
        let is_new = !known.removed;
        Arc::make_mut(known).removed = true;
        is_new
    }

    /// Records that this step was renewed at `at`, as another daemon states.
    pub fn confirm(&mut self, service: &str, order: u64, number: u64, at: Instant) {
        let Some(known) = self.rollouts.get_mut(service) else {
            return;
        };
        let known = Arc::make_mut(known);
        if let Some(published) = &mut known.published
            && (known.order.revision, published.step.number) == (order, number)
        {
            published.renewed = published.renewed.max(Some(at));
        }
    }

    /// Returns the rollout of a service.
    #[must_use]
    pub fn get(&self, service: &str) -> Option<&Arc<Rollout>> {
        self.rollouts.get(service)
    }

    /// Iterates over the rollouts by service.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Rollout>> {
        self.rollouts.values()
    }

    /// Returns a hash over all orders and steps, without their renewals; zero if there are none.
    #[must_use]
    pub fn digest(&self) -> u64 {
        if self.rollouts.is_empty() {
            return 0;
        }
        let mut hasher = Xxh3::new();
        for (service, rollout) in &self.rollouts {
            let step = rollout.step();
            let step = step.map(|step| (step.number, step.phase as u8));
            (service, rollout.order.revision, rollout.removed, step).hash(&mut hasher);
        }
        hasher.finish()
    }
}
