//! Conversion of rollouts to and from messages and step records.

use super::registry::{PublishedStep, Rollout};
use super::{Counts, Order, Phase, ServerCounts, ServerKey, Step};
use crate::generated::mesh as wire;
use std::time::Duration;
use tokio::time::Instant;

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the time `age_ms` before `now`, or the earliest that can be represented.
fn before(now: Instant, age_ms: u64) -> Instant {
    now.checked_sub(Duration::from_millis(age_ms))
        .unwrap_or(now)
}

/// Encodes a rollout; times become ages.
#[must_use]
pub fn encode(rollout: &Rollout, now: Instant) -> wire::Rollout {
    let age = |at: Instant| millis(now.saturating_duration_since(at));
    wire::Rollout {
        service: rollout.order.service.clone(),
        version: rollout.order.version.clone(),
        duration_ms: millis(rollout.order.duration),
        order: rollout.order.revision,
        age_ms: age(rollout.ordered),
        removed: rollout.removed,
        step: rollout.published.as_ref().map(|published| {
            let step = &published.step;
            wire::RolloutStep {
                number: step.number,
                phase: encode_phase(step.phase).into(),
                share: step.share,
                targets: step.targets.clone(),
                decider: published.decider.clone(),
                renewal: published.renewal,
                renewed_age_ms: published.renewed.map(age),
                reason: published.reason.clone(),
                unproven: published.unproven.clone(),
            }
        }),
        ..wire::Rollout::default()
    }
}

/// Decodes a rollout that was received or read at `now`.
#[must_use]
pub fn decode(rollout: wire::Rollout, now: Instant) -> Rollout {
    let order = rollout.order;
    let published = rollout.step.map(|step| PublishedStep {
        step: Step {
            order,
            number: step.number,
            phase: decode_phase(step.phase()),
            share: step.share,
            targets: step.targets,
        },
        decider: step.decider,
        renewal: step.renewal,
        renewed: step.renewed_age_ms.map(|age| before(now, age)),
        reason: step.reason,
        unproven: step.unproven,
    });
    Rollout {
        order: Order {
            service: rollout.service,
            version: rollout.version,
            duration: Duration::from_millis(rollout.duration_ms),
            revision: order,
        },
        ordered: before(now, rollout.age_ms),
        removed: rollout.removed,
        published,
        replaced: None,
    }
}

fn encode_phase(phase: Phase) -> wire::RolloutPhase {
    match phase {
        Phase::Trial => wire::RolloutPhase::Trial,
        Phase::Shift => wire::RolloutPhase::Shift,
        Phase::Completed => wire::RolloutPhase::Completed,
        Phase::RolledBack => wire::RolloutPhase::RolledBack,
    }
}

/// Decodes the phase of a step.
#[must_use]
pub fn decode_phase(phase: wire::RolloutPhase) -> Phase {
    match phase {
        wire::RolloutPhase::Trial => Phase::Trial,
        wire::RolloutPhase::Shift => Phase::Shift,
        wire::RolloutPhase::Completed => Phase::Completed,
        wire::RolloutPhase::RolledBack => Phase::RolledBack,
    }
}

/// Encodes the counts of a backend server since an order.
#[must_use]
pub fn encode_counts(order: u64, key: &ServerKey, counts: &ServerCounts) -> wire::ServerEvidence {
    let routes = counts.routes.iter();
    wire::ServerEvidence {
        order,
        daemon: key.daemon.clone(),
        incarnation: key.incarnation,
        instance: key.instance.clone(),
        version: counts.version.clone(),
        routes: routes
            .map(|(class, counts)| wire::RouteCounts {
                time_class: *class,
                calls: counts.calls,
                failures: counts.failures,
                time_us: counts.time_us,
            })
            .collect(),
    }
}

/// Decodes the counts of a backend server.
#[must_use]
pub fn decode_counts(evidence: wire::ServerEvidence) -> (ServerKey, ServerCounts) {
    let key = ServerKey {
        daemon: evidence.daemon,
        incarnation: evidence.incarnation,
        instance: evidence.instance,
    };
    let routes = evidence.routes.into_iter().map(|route| {
        let counts = Counts {
            calls: route.calls,
            failures: route.failures,
            time_us: route.time_us,
        };
        (route.time_class, counts)
    });
    let counts = ServerCounts {
        version: evidence.version,
        routes: routes.collect(),
    };
    (key, counts)
}
