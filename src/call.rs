//! Headers, refusals and building blocks that the outbound and inbound sides of a call share.

pub mod access;
pub mod admission;
pub mod attempt;
pub mod balance;
pub mod body;
pub mod budget;
pub mod bulk;
pub mod durations;
pub mod fence;
pub mod fingerprint;
pub mod gate;
pub mod idempotency;
pub mod metrics;
pub mod pool;
pub mod read_ahead;
pub mod request;
pub mod shares;
pub mod split;
pub mod suspects;
pub mod upstream;
pub mod view;

use crate::header_names::HeaderNames;
use crate::serve::{Body, full_body};
use http::{HeaderMap, HeaderName, Response, StatusCode, header};
use serde_json::json;
use std::fmt;
use std::time::Duration;

/// Identifies the call; the same for all attempts of one call.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// States whether a failed call was run: `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("x-baobab-outcome");

/// The time left until the deadline of a call, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("x-baobab-deadline-ms");

/// Marks a call that is retried by a caller further up the call tree.
///
/// Backend servers pass it on with the calls that they make.
pub const RETRY: HeaderName = HeaderName::from_static("x-baobab-retry");

/// The attempt that a request between daemons belongs to; see [`attempt::Attempt`].
pub const ATTEMPT: HeaderName = HeaderName::from_static("x-baobab-attempt");

/// Queries the execution status of an attempt and bars it from running; the response carries the
/// status.
pub const FENCE: HeaderName = HeaderName::from_static("x-baobab-fence");

/// Queries an inbound side's incarnation and clock; the response carries both. The value is the
/// incarnation that the sender expects; if another one answers, the body is its member record.
pub const HELLO: HeaderName = HeaderName::from_static("x-baobab-hello");

/// Queries whether an inbound side has a record of an idempotency key; `1` in the response if so,
/// else `0`.
pub const KEY_KNOWN: HeaderName = HeaderName::from_static("x-baobab-key-known");

/// Requests tokens of an organisation's quota from the daemon that owns its account: the number, the name of the
/// sender and that of the organisation, separated by spaces; the response carries the grant.
pub const QUOTA: HeaderName = HeaderName::from_static("x-baobab-quota");

/// Lends the sender's share in the refill of accounts to their owner: the name and incarnation of the sender, the
/// number of this contact, the end of the lent time in milliseconds of the inbound side's clock, and the number of
/// members known, separated by spaces. `1` in the response if it is accepted.
pub const QUOTA_CONTACT: HeaderName = HeaderName::from_static("x-baobab-quota-contact");

/// The lists of owners by which the receiver of a [`QUOTA_CONTACT`] must be an account's owner, separated by spaces.
pub const QUOTA_OWNERS: HeaderName = HeaderName::from_static("x-baobab-quota-owners");

/// Requests that the inbound side records the call's idempotency key.
pub const KEY_RECORD: HeaderName = HeaderName::from_static("x-baobab-key-record");

/// Sent by a draining backend server, and by the inbound side while its daemon or backend server
/// drains: no new calls are accepted.
pub const DRAIN: HeaderName = HeaderName::from_static("x-baobab-drain");

/// Sent by an inbound side with a refusal: the refusal reason, a [`RefusalReason`].
pub const WHY: HeaderName = HeaderName::from_static("x-baobab-why");

/// Sent by an inbound side: the time until the backend server's response began, in microseconds.
pub const RAN: HeaderName = HeaderName::from_static("x-baobab-ran-us");

/// The version of the configuration in force at the sender, on requests and responses of daemons.
pub const VERSION: HeaderName = HeaderName::from_static("x-baobab-version");

/// Marks a request as a report of crashes between daemons; see [`quarantine`](crate::quarantine).
pub const QUARANTINE: HeaderName = HeaderName::from_static("x-baobab-quarantine");

/// The instance of a backend server that ended while it ran the call: on the response to the attempt, and on
/// further attempts of the call.
pub const CRASHED: HeaderName = HeaderName::from_static("x-baobab-crashed");

/// Sent with the refusal of a request that is suspected of crashing backend servers: the name of the daemon that
/// may try it now.
pub const TURN_OWNER: HeaderName = HeaderName::from_static("x-baobab-turn-owner");

/// The service on the VM where a call began; sent between daemons only.
pub const CALLER: HeaderName = HeaderName::from_static("x-baobab-caller");

/// The name of the organisation whose API key a call presented; sent between daemons only.
pub const ORGANISATION: HeaderName = HeaderName::from_static("x-baobab-organisation");

/// Marks a request as a message about rollouts between daemons; see [`rollout`](crate::rollout).
pub const ROLLOUT: HeaderName = HeaderName::from_static("x-baobab-rollout");

/// On a call that is sent to the ordered version: the order and the number of the step. On a response: the same of
/// the newest step known to the inbound side, and the milliseconds since its last renewal, if known.
pub const STEP: HeaderName = HeaderName::from_static("x-baobab-step");

/// Marks a request as an [`exchange`](crate::exchange) between daemons.
pub const EXCHANGE: HeaderName = HeaderName::from_static("x-baobab-exchange");

/// Prefix of the headers that only daemons may set.
const RESERVED: &str = "x-baobab-";

/// The load of a backend server: calls running, calls queued, and slots, separated by slashes.
pub const LOAD: HeaderName = HeaderName::from_static("x-baobab-load");

/// Whether a failed call was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend server is proven not to have run the call.
    NotRun,
    /// The backend server may have run the call.
    Unknown,
}

impl Outcome {
    /// Returns the value of the [`OUTCOME`] header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }

    /// Parses the outcome of a failed call from its response, if the response states one.
    #[must_use]
    pub fn of(headers: &HeaderMap) -> Option<Self> {
        match headers.get(OUTCOME)?.as_bytes() {
            b"not-run" => Some(Outcome::NotRun),
            b"unknown" => Some(Outcome::Unknown),
            _ => None,
        }
    }
}

/// The refusal reason: why an inbound side did not run an attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RefusalReason {
    /// The expected wait exceeds the sender's wait limit.
    Busy,
    /// The backend server's rate limit is used up: no token is available within the wait limit, the
    /// objective or the deadline.
    RateLimited,
    /// The attempt cannot meet its deadline, or the queue is full of calls of no smaller weight.
    Full,
    /// The backend server or the daemon is draining.
    Leaving,
    /// There is no backend server, it is unreachable, has not reported that it is ready, or its
    /// service is not configured.
    Down,
    /// The backend server itself refused the call: it sheds load, or is not the expected instance.
    Shed,
    /// Backend servers have ended under this request; it is refused everywhere for some time.
    Quarantined,
    /// The backend server is of a version that takes no such calls now, by a rollout.
    Version,
    /// A reason that concerns this attempt only, such as a wrong incarnation or a cancellation.
    #[default]
    Other,
}

impl RefusalReason {
    const ALL: [RefusalReason; 9] = [
        RefusalReason::Busy,
        RefusalReason::RateLimited,
        RefusalReason::Full,
        RefusalReason::Leaving,
        RefusalReason::Down,
        RefusalReason::Shed,
        RefusalReason::Quarantined,
        RefusalReason::Version,
        RefusalReason::Other,
    ];

    /// Returns the value of the [`WHY`] header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            RefusalReason::Busy => "busy",
            RefusalReason::RateLimited => "rate-limited",
            RefusalReason::Full => "full",
            RefusalReason::Leaving => "leaving",
            RefusalReason::Down => "down",
            RefusalReason::Shed => "shed",
            RefusalReason::Quarantined => "quarantined",
            RefusalReason::Version => "version",
            RefusalReason::Other => "other",
        }
    }

    /// Parses the refusal reason of a response; [`RefusalReason::Other`] if it states none.
    #[must_use]
    pub fn of(headers: &HeaderMap) -> Self {
        let stated = text(headers, &WHY);
        let mut all = RefusalReason::ALL.into_iter();
        all.find(|reason| stated == Some(reason.as_str()))
            .unwrap_or_default()
    }
}

/// A failed call, as reported to the caller.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// The status code of the response.
    pub status: StatusCode,
    /// Whether the call was run.
    pub outcome: Outcome,
    /// The message for the caller and the log, in lower case.
    pub reason: String,
    /// The value of `Retry-After`, if any.
    pub retry_after: Option<Duration>,
    /// The refusal reason, as reported to other daemons.
    pub reason_code: RefusalReason,
    /// The instance of the backend server that ended while it ran the call, as reported to other daemons.
    pub crashed: Option<String>,
    /// The name of the daemon that may run the call now, as reported to other daemons.
    pub turn_owner: Option<String>,
}

impl Refusal {
    /// Creates a refusal of a call that is proven not to have run.
    pub fn not_run(status: StatusCode, reason: impl fmt::Display) -> Self {
        Refusal {
            status,
            outcome: Outcome::NotRun,
            reason: reason.to_string(),
            retry_after: None,
            reason_code: RefusalReason::Other,
            crashed: None,
            turn_owner: None,
        }
    }

    /// Creates a refusal of a call that may have run.
    pub fn unknown(status: StatusCode, reason: impl fmt::Display) -> Self {
        Refusal {
            status,
            outcome: Outcome::Unknown,
            reason: reason.to_string(),
            retry_after: None,
            reason_code: RefusalReason::Other,
            crashed: None,
            turn_owner: None,
        }
    }

    /// Sets the time for `Retry-After`.
    #[must_use]
    pub fn with_retry_after(mut self, time: Duration) -> Self {
        self.retry_after = Some(time);
        self
    }

    /// Sets the refusal reason.
    #[must_use]
    pub fn with_reason(mut self, reason: RefusalReason) -> Self {
        self.reason_code = reason;
        self
    }

    /// Sets the instance of the backend server that ended while it ran the call.
    #[must_use]
    pub fn with_crashed(mut self, instance: Option<String>) -> Self {
        self.crashed = instance;
        self
    }

    /// Sets the name of the daemon that may run the call now.
    #[must_use]
    pub fn with_turn_owner(mut self, name: Option<String>) -> Self {
        self.turn_owner = name;
        self
    }

    /// Builds the response to the caller; its JSON body has the message, outcome and request id.
    #[must_use]
    pub fn into_response(self, request_id: &str, names: &HeaderNames) -> Response<Body> {
        let body = json!({
            "error": self.reason,
            "outcome": self.outcome.as_str(),
            "request_id": request_id,
        });
        let mut response = Response::new(full_body(body.to_string()));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(
            OUTCOME,
            http::HeaderValue::from_static(self.outcome.as_str()),
        );
        headers.insert(
            header::CONTENT_TYPE,
            http::HeaderValue::from_static("application/json"),
        );
        if let Some(time) = self.retry_after {
            headers.insert(
                header::RETRY_AFTER,
                format_retry_after(time, names.fractional_retry),
            );
        }
        if let Ok(id) = http::HeaderValue::from_str(request_id) {
            headers.insert(&names.request, id);
        }
        response
    }
}

/// Formats a time as `Retry-After`: in seconds with a fraction, or whole and rounded up.
fn format_retry_after(time: Duration, fractional: bool) -> http::HeaderValue {
    if fractional {
        let text = format!("{:.3}", time.as_secs_f64());
        if let Ok(value) = http::HeaderValue::from_str(&text) {
            return value;
        }
    }
    let seconds = time.as_millis().div_ceil(1_000);
    u64::try_from(seconds).unwrap_or(u64::MAX).into()
}

/// Parses `Retry-After` in seconds, whole or with a fraction; `None` for an HTTP date.
#[must_use]
pub fn read_retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds: f64 = text(headers, &header::RETRY_AFTER)?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Removes the hop-by-hop headers, including those listed in `Connection`.
pub fn drop_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in [
        header::CONNECTION,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        HeaderName::from_static("keep-alive"),
        HeaderName::from_static("proxy-connection"),
    ] {
        headers.remove(name);
    }
}

/// Removes the headers that only daemons may set, except for those in `kept`.
pub fn drop_reserved_headers(headers: &mut HeaderMap, kept: &[HeaderName]) {
    let reserved = |name: &&HeaderName| name.as_str().starts_with(RESERVED);
    if !headers.keys().any(|name| reserved(&name)) {
        return;
    }
    let names = headers.keys().filter(reserved);
    let names: Vec<HeaderName> = names.filter(|name| !kept.contains(name)).cloned().collect();
    for name in names {
        headers.remove(name);
    }
}

/// Returns a header's value as text; `None` if it is absent or not visible ASCII.
#[must_use]
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns a header's value as a number; `None` if it is absent or not an unsigned integer.
#[must_use]
pub fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.parse().ok()
}
