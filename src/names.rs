//! The header names that callers and backend servers see.

use crate::call;
use http::HeaderName;

/// The header names that callers and backend servers see, given when a daemon is made.
///
/// Headers between daemons are constants of [`call`](mod@crate::call).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Names {
    /// Names the call; the same for all attempts of one call.
    pub request: HeaderName,
    /// The time left for a call, in milliseconds.
    pub deadline: HeaderName,
    /// Told to a backend server: the instance that a call is meant for.
    pub expects: Option<HeaderName>,
    /// Told by a backend server: the instance that answers.
    pub instance: Option<HeaderName>,
    /// Told by a backend server: it did not run the call.
    pub not_run: Option<HeaderName>,
    /// Told to a backend server: the service on the VM where the call began.
    pub caller: Option<HeaderName>,
    /// Told by a backend server on each answer of its own; a success without it is not whole.
    pub seal: Option<HeaderName>,
    /// Whether `Retry-After` may be a fraction of a second.
    pub fractions: bool,
}

impl Default for Names {
    fn default() -> Self {
        Names {
            request: call::REQUEST_ID,
            deadline: call::DEADLINE_MS,
            expects: None,
            instance: None,
            not_run: None,
            caller: None,
            seal: None,
            fractions: false,
        }
    }
}
