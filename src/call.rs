//! What the outbound and inbound sides of a call share.

pub mod admission;
pub mod attempt;
pub mod body;
pub mod budget;
pub mod choose;
pub mod fence;
pub mod gate;
pub mod idempotency;
pub mod measures;
pub mod request;
pub mod upstream;
pub mod view;

use crate::names::Names;
use crate::serve::{Body, full};
use http::{HeaderMap, HeaderName, Response, StatusCode, header};
use serde_json::json;
use std::fmt;
use std::time::Duration;

/// Names the call; the same for all attempts of one call.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Tells whether a call that failed was run: `not-run` or `unknown`.
pub const OUTCOME: HeaderName = HeaderName::from_static("x-baobab-outcome");

/// The time left for a call, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("x-baobab-deadline-ms");

/// Marks a call whose retries belong to a caller further up the call tree.
///
/// Backend servers pass it on with the calls that they make.
pub const RETRY: HeaderName = HeaderName::from_static("x-baobab-retry");

/// The attempt that a request between daemons belongs to; see [`attempt::Attempt`].
pub const ATTEMPT: HeaderName = HeaderName::from_static("x-baobab-attempt");

/// Asks an inbound side what became of an attempt, and answers that question.
pub const FENCE: HeaderName = HeaderName::from_static("x-baobab-fence");

/// Asks an inbound side for its incarnation and clock, and answers that question.
pub const HELLO: HeaderName = HeaderName::from_static("x-baobab-hello");

/// Asks an inbound side whether an idempotency key is in its record, and answers that question.
pub const KEY_KNOWN: HeaderName = HeaderName::from_static("x-baobab-key-known");

/// Says that the inbound side keeps the record of the call's idempotency key.
pub const KEY_RECORD: HeaderName = HeaderName::from_static("x-baobab-key-record");

/// Said by a backend server that takes no new calls.
pub const DRAIN: HeaderName = HeaderName::from_static("x-baobab-drain");

/// Said by an inbound side with a refusal: a [`Why`].
pub const WHY: HeaderName = HeaderName::from_static("x-baobab-why");

/// Said by an inbound side: the time for which the backend server had the call, in microseconds.
pub const RAN: HeaderName = HeaderName::from_static("x-baobab-ran-us");

/// The version of the configuration in force at the sender, on calls and answers of daemons.
pub const VERSION: HeaderName = HeaderName::from_static("x-baobab-version");

/// The service on the VM where a call began, between daemons.
pub const CALLER: HeaderName = HeaderName::from_static("x-baobab-caller");

/// Marks a request as an [`exchange`](crate::exchange) between daemons.
pub const EXCHANGE: HeaderName = HeaderName::from_static("x-baobab-exchange");

/// The start of the names of the headers that belong to daemons.
const RESERVED: &str = "x-baobab-";

/// The load of a backend server: calls in flight, queued, and slots, separated by slashes.
pub const LOAD: HeaderName = HeaderName::from_static("x-baobab-load");

/// Whether a call that failed was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is proved that the backend server did not run the call.
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

    /// Reads the outcome of a failed answer, if it states one.
    #[must_use]
    pub fn of(headers: &HeaderMap) -> Option<Self> {
        match headers.get(OUTCOME)?.as_bytes() {
            b"not-run" => Some(Outcome::NotRun),
            b"unknown" => Some(Outcome::Unknown),
            _ => None,
        }
    }
}

/// Why an inbound side did not have an attempt run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Why {
    /// The wait there is longer than the sender accepts.
    Busy,
    /// It would not end before its deadline, or the queue is full of calls of no less weight.
    Full,
    /// The backend server or the daemon takes no new calls.
    Leaving,
    /// The backend server cannot be reached, or has not announced itself.
    Down,
    /// The backend server itself refused it.
    Shed,
    /// Something about the attempt itself.
    #[default]
    Other,
}

impl Why {
    const ALL: [Why; 6] = [
        Why::Busy,
        Why::Full,
        Why::Leaving,
        Why::Down,
        Why::Shed,
        Why::Other,
    ];

    /// Returns the value of the [`WHY`] header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Why::Busy => "busy",
            Why::Full => "full",
            Why::Leaving => "leaving",
            Why::Down => "down",
            Why::Shed => "shed",
            Why::Other => "other",
        }
    }

    /// Reads the reason that an answer states.
    #[must_use]
    pub fn of(headers: &HeaderMap) -> Self {
        let said = text(headers, &WHY);
        let mut all = Why::ALL.into_iter();
        all.find(|why| said == Some(why.as_str()))
            .unwrap_or_default()
    }
}

/// Why a call failed, as the caller is told.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// The status of the answer.
    pub status: StatusCode,
    /// Whether the call was run.
    pub outcome: Outcome,
    /// The reason, in lower case.
    pub reason: String,
    /// The time after which to come back.
    pub retry_after: Option<Duration>,
    /// Why it was not run, as other daemons are told.
    pub why: Why,
}

impl Refusal {
    /// Makes a refusal of a call that was proved not to run.
    pub fn not_run(status: StatusCode, reason: impl fmt::Display) -> Self {
        Refusal {
            status,
            outcome: Outcome::NotRun,
            reason: reason.to_string(),
            retry_after: None,
            why: Why::Other,
        }
    }

    /// Makes a refusal of a call that may have run.
    pub fn unknown(status: StatusCode, reason: impl fmt::Display) -> Self {
        Refusal {
            status,
            outcome: Outcome::Unknown,
            reason: reason.to_string(),
            retry_after: None,
            why: Why::Other,
        }
    }

    /// Adds the time after which to come back.
    #[must_use]
    pub fn retry_after(mut self, time: Duration) -> Self {
        self.retry_after = Some(time);
        self
    }

    /// Adds why the call was not run.
    #[must_use]
    pub fn why(mut self, why: Why) -> Self {
        self.why = why;
        self
    }

    /// Makes the answer that tells the caller.
    #[must_use]
    pub fn into_answer(self, request_id: &str, names: &Names) -> Response<Body> {
        let body = json!({
            "error": self.reason,
            "outcome": self.outcome.as_str(),
            "request_id": request_id,
        });
        let mut answer = Response::new(full(body.to_string()));
        *answer.status_mut() = self.status;
        let headers = answer.headers_mut();
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
                write_retry_after(time, names.fractions),
            );
        }
        if let Ok(id) = http::HeaderValue::from_str(request_id) {
            headers.insert(&names.request, id);
        }
        answer
    }
}

/// Writes a time as `Retry-After`: in whole seconds, rounded up, or as a fraction.
fn write_retry_after(time: Duration, fractions: bool) -> http::HeaderValue {
    if fractions {
        let text = format!("{:.3}", time.as_secs_f64());
        if let Ok(value) = http::HeaderValue::from_str(&text) {
            return value;
        }
    }
    let seconds = time.as_millis().div_ceil(1_000);
    u64::try_from(seconds).unwrap_or(u64::MAX).into()
}

/// Reads `Retry-After` in seconds, whole or with a fraction.
#[must_use]
pub fn read_retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds: f64 = text(headers, &header::RETRY_AFTER)?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Removes the headers that belong to one connection only.
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

/// Removes the headers that only daemons may set, but for those listed.
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

/// Returns a header's value as text.
#[must_use]
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns a header's value as a number.
#[must_use]
pub fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.parse().ok()
}
