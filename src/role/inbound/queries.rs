//! Queries of other daemons, each a header whose answer is the same header of the response.

use super::Inbound;
use crate::call;
use crate::call::attempt::Attempt;
use crate::call::fence;
use crate::call::idempotency::KeyId;
use crate::call::upstream::hello;
use crate::daemon::Daemon;
use crate::quota::Grant;
use crate::role::quota::Quotas;
use crate::serve::{Body, full_body};
use crate::sync::lock;
use http::{HeaderMap, HeaderName, HeaderValue, Response};
use hyper::body::Bytes;
use prost::Message as _;
use tokio::time::Instant;

impl Inbound {
    /// Returns the answer to a query; `None` if the request is none.
    pub(super) fn answer_query(
        &self,
        daemon: &Daemon,
        headers: &HeaderMap,
    ) -> Option<Response<Body>> {
        if let Some(expected) = call::text(headers, &call::HELLO) {
            return Some(self.hello_response(daemon, expected.parse().ok()));
        }
        if let Some(attempt) = call::text(headers, &call::FENCE) {
            return Some(self.fence_response(daemon, attempt));
        }
        if let Some(key) = call::text(headers, &call::KEY_KNOWN) {
            let known = KeyId::read(key).is_some_and(|key| self.has_key(key));
            let known = if known { "1" } else { "0" };
            return Some(header_response(call::KEY_KNOWN, known));
        }
        if let Some(contact) = call::text(headers, &call::QUOTA_CONTACT) {
            let lists = call::text(headers, &call::QUOTA_OWNERS).unwrap_or_default();
            let accepted = Quotas::of(daemon).accept_contact(daemon, contact, lists);
            return Some(header_response(
                call::QUOTA_CONTACT,
                if accepted.is_some() { "1" } else { "0" },
            ));
        }
        let request = call::text(headers, &call::QUOTA)?;
        let grant = Quotas::of(daemon).grant_to(daemon, request);
        let grant = grant.map_or_else(String::new, Grant::to_text);
        Some(header_response(call::QUOTA, &grant))
    }

    /// Returns the response to a hello. Its body is this daemon's member record if another incarnation was
    /// expected: the sender then knows this one from an old record.
    fn hello_response(&self, daemon: &Daemon, expected: Option<u64>) -> Response<Body> {
        let own = daemon.identity.incarnation;
        let mut response = header_response(call::HELLO, &hello(own, self.clock_ms()));
        if expected != Some(own) {
            *response.body_mut() = full_body(daemon.record().encode_to_vec());
        }
        response
    }

    /// Fences an attempt of another daemon, given its header value, and returns the response.
    fn fence_response(&self, daemon: &Daemon, attempt: &str) -> Response<Body> {
        let attempt = attempt.parse::<Attempt>().ok();
        let own = daemon.identity.incarnation;
        let Some(attempt) = attempt.filter(|attempt| attempt.incarnation == own) else {
            return header_response(call::FENCE, fence::ExecutionStatus::Forgotten.as_str());
        };
        let mut record = lock(&self.record);
        let status = record.fence(Instant::now(), attempt.id, attempt.sent_ms);
        drop(record);
        header_response(call::FENCE, status.as_str())
    }
}

fn header_response(name: HeaderName, value: &str) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::new()));
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
    response
}
