//! The token of a call's organisation.

use super::attempt::Call;
use crate::call::{Outcome, Refusal};
use crate::daemon::Daemon;
use crate::event;
use crate::role::quota::Quotas;
use crate::serve::Body;
use http::{Response, StatusCode};
use std::sync::Arc;
use tokio::time::Instant;

/// The part of its remaining time for which a call waits for a token: one half.
const WAIT_PART: u32 = 2;

/// The token that a call has taken, if its organisation has a limit.
pub(super) struct CallToken {
    taken: Option<(Arc<Quotas>, Arc<str>)>,
}

/// Takes a token for a call.
///
/// # Errors
///
/// Fails with 429 when the organisation has used up its quota; the call has not run.
pub(super) async fn take(daemon: &Arc<Daemon>, call: &Call<'_>) -> Result<CallToken, Refusal> {
    let organisation = call.organisation.as_ref();
    let limited = organisation.and_then(|organisation| Some((organisation, organisation.limit?)));
    let Some((organisation, limit)) = limited else {
        return Ok(CallToken { taken: None });
    };
    let quotas = Quotas::of(daemon);
    let left = call
        .retry_limits
        .deadline
        .saturating_duration_since(Instant::now());
    let longest = left / WAIT_PART;
    let taken = quotas.take(daemon, &organisation.name, limit, longest);
    if let Err(time) = taken.await {
        event!(
            QuotaExhausted,
            request = call.id,
            organisation = organisation.name,
            rate = limit.rate,
            retry_ms = time.as_millis(),
        );
        let reason = "quota of the organisation is used up";
        let refusal = Refusal::not_run(StatusCode::TOO_MANY_REQUESTS, reason);
        return Err(refusal.with_retry_after(time));
    }
    let name = Arc::clone(&organisation.name);
    Ok(CallToken {
        taken: Some((quotas, name)),
    })
}

impl CallToken {
    /// Gives the token back if the call has not run.
    pub(super) fn settle(self, response: Result<&Response<Body>, &Refusal>) {
        let outcome = match response {
            Ok(response) => Outcome::of(response.headers()),
            Err(refusal) => Some(refusal.outcome),
        };
        if let Some((quotas, name)) = self.taken
            && outcome == Some(Outcome::NotRun)
        {
            quotas.give_back(&name);
        }
    }
}
