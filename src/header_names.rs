//! The names of headers between a daemon and its callers and backend server.

use crate::call;
use http::HeaderName;

/// The names of headers between a daemon and its callers and backend server, set by its site.
///
/// Headers between daemons are constants of [`call`](mod@crate::call).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Identifies the call; the same for all attempts of one call.
    pub request: HeaderName,
    /// Whether backend servers state the request id in each response. One without it then proves nothing.
    pub request_echoed: bool,
    /// The remaining time of a call, in milliseconds.
    pub deadline: HeaderName,
    /// Sent to a backend server: the instance that shall run the call.
    pub expected_instance: Option<HeaderName>,
    /// Sent by a backend server: the instance that responds.
    pub instance: Option<HeaderName>,
    /// Sent by a backend server: it did not run the call.
    pub not_run: Option<HeaderName>,
    /// Sent by a backend server in need: the calls per second that it takes from all daemons together,
    /// for as long as its responses state it.
    pub rate_limit: Option<HeaderName>,
    /// Sent by a backend server that leaves, with each response: it takes no new calls.
    pub leaving: Option<HeaderName>,
    /// Sent to a backend server: the service on the VM where the call originated.
    pub caller: Option<HeaderName>,
    /// Sent by callers: their API key, which is removed before the call leaves the daemon.
    pub credential: Option<HeaderName>,
    /// Sent to a backend server: the organisation that holds the caller's API key.
    pub organisation: Option<HeaderName>,
    /// Sent by a backend server with each response of its own; a successful one without it is
    /// treated as incomplete.
    pub response_seal: Option<HeaderName>,
    /// Whether `Retry-After` may contain fractions of a second.
    pub fractional_retry: bool,
}

impl HeaderNames {
    /// Returns the name of the header that states the calling service between daemons.
    #[must_use]
    pub fn calling_service(&self) -> HeaderName {
        self.caller.clone().unwrap_or(call::CALLER)
    }
}

impl Default for HeaderNames {
    fn default() -> Self {
        HeaderNames {
            request: call::REQUEST_ID,
            request_echoed: false,
            deadline: call::DEADLINE_MS,
            expected_instance: None,
            instance: None,
            not_run: None,
            rate_limit: None,
            leaving: None,
            caller: None,
            credential: None,
            organisation: None,
            response_seal: None,
            fractional_retry: false,
        }
    }
}
