//! What the queue is asked for a call, and how its refusals are told.

use crate::call::admission::{AdmissionRequest, Reason};
use crate::call::attempt::Attempt;
use crate::call::gate::Rejected;
use crate::call::shares::ShareKey;
use crate::call::{self, Refusal, RefusalReason};
use crate::daemon::Daemon;
use http::{HeaderMap, StatusCode};
use std::time::Duration;
use tokio::time::Instant;

/// Time limit of a call that states no deadline.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Greatest time limit of a call; a later deadline is shortened to it.
const MAX_DEADLINE: Duration = Duration::from_mins(10);

pub(super) fn admission_refusal(rejected: Rejected) -> Refusal {
    let reason = match rejected.reason {
        Reason::Busy => RefusalReason::Busy,
        Reason::RateLimited => RefusalReason::RateLimited,
        Reason::Late | Reason::Full => RefusalReason::Full,
        Reason::Draining => RefusalReason::Leaving,
    };
    let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, rejected);
    refusal
        .with_retry_after(rejected.retry_after)
        .with_reason(reason)
}

pub(super) fn admission_request(attempt: &Attempt, deadline: Instant) -> AdmissionRequest {
    let millis = |ms: u32| Duration::from_millis(u64::from(ms));
    let objective = attempt.objective_ms;
    AdmissionRequest {
        weight: attempt.weight,
        time_class: attempt.time_class,
        objective: (objective > 0).then(|| Instant::now() + millis(objective)),
        deadline,
        wait_limit: attempt.wait_limit_ms.map(millis),
        share: None,
    }
}

/// Returns whose share a call uses; `None` if the deployment has no organisations.
pub(super) fn share(daemon: &Daemon, headers: &HeaderMap) -> Option<ShareKey> {
    let organisation = call::text(headers, &call::ORGANISATION);
    let has_organisations = daemon.config.table().checks_keys();
    has_organisations.then(|| ShareKey::new(organisation))
}

/// Returns the deadline of a call, from the time left that the header states.
pub(super) fn deadline(headers: &HeaderMap) -> Instant {
    let left = call::number(headers, &call::DEADLINE_MS);
    let left = left.map_or(DEFAULT_DEADLINE, Duration::from_millis);
    Instant::now() + left.min(MAX_DEADLINE)
}
