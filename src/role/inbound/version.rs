//! Calls that the backend server's version does not take, by a rollout of its service.

use super::unavailable;
use crate::call::{self, Refusal, RefusalReason};
use crate::daemon::Daemon;
use crate::rollout::Phase;
use crate::rollout::registry::Rollout;
use http::HeaderMap;
use tokio::time::Instant;

/// Checks that the backend server beside this daemon takes a call with these headers.
///
/// One of the ordered version takes only calls that are marked with the order, while a current step names it,
/// and all calls once they have all moved to its version. One of another version takes all calls: their senders
/// choose by the steps that they know; unless it was ordered earlier and not completed.
pub(super) fn check(daemon: &Daemon, service: &str, headers: &HeaderMap) -> Result<(), Refusal> {
    let rollouts = &daemon.rollouts;
    if !rollouts.is_synced() && daemon.ordered_rollouts.is_some() {
        return Err(refusal(
            "daemon has not received the orders of rollouts yet",
        ));
    }
    let known = rollouts.load();
    let Some(rollout) = known.get(service) else {
        return Ok(());
    };
    let own = &daemon.backend.load().version;
    if rollout.is_unproven(own) {
        return Err(refusal("version was ordered earlier and not completed"));
    }
    if *own != rollout.order.version {
        return Ok(());
    }
    let order = rollout.order.revision;
    match rollout.phase() {
        Phase::Completed => Ok(()),
        Phase::RolledBack => Err(refusal("version was rolled back")),
        Phase::Trial | Phase::Shift if rollouts.counters().is_stopped(order) => {
            Err(refusal("backend server fails too many calls"))
        }
        Phase::Trial | Phase::Shift if rollout.is_whole() => Ok(()),
        Phase::Trial | Phase::Shift => check_mark(rollout, &daemon.identity.name, headers),
    }
}

fn check_mark(rollout: &Rollout, own: &str, headers: &HeaderMap) -> Result<(), Refusal> {
    let mark = call::text(headers, &call::STEP).and_then(|mark| mark.split('.').next());
    if mark.and_then(|order| order.parse().ok()) != Some(rollout.order.revision) {
        return Err(refusal("call is not part of the rollout"));
    }
    let step = rollout.current(Instant::now());
    let names_own = step.is_some_and(|step| step.targets.iter().any(|target| target == own));
    if names_own {
        Ok(())
    } else {
        Err(refusal("no current step of the rollout names this daemon"))
    }
}

fn refusal(reason: &str) -> Refusal {
    unavailable(reason, RefusalReason::Version)
}
