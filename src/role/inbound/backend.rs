//! Requests to the backend server, and the check of its responses.

use super::unavailable;
use crate::backend::{Backend, Stage};
use crate::call::pool::PooledBody;
use crate::call::{self, Refusal, RefusalReason, access, request};
use crate::daemon::Daemon;
use crate::event;
use crate::header_names::HeaderNames;
use crate::serve::Body;
use crate::site::Leave;
use crate::unix_time::unix_ms;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use tokio::time::Instant;

/// Greatest length of a response's body, in bytes.
const MAX_BODY_LEN: u64 = 1 << 30;

/// Greatest length of the body of a response without a proof of its origin, in bytes.
const MAX_UNSEALED_LEN: u64 = 64 * 1024;

/// Checks that a response belongs to this call, before anything else of it is used.
///
/// # Errors
///
/// Fails if it states another request id, or none although backend servers state it: the outcome is then
/// unknown.
pub(super) fn check_origin(
    names: &HeaderNames,
    response: &Response<PooledBody>,
    id: Option<&HeaderValue>,
) -> Result<(), Refusal> {
    let actual = response.headers().get(&names.request);
    if actual == id || actual.is_none() && !names.request_echoed {
        return Ok(());
    }
    event!(
        AnswerMismatched,
        request = id.and_then(|id| id.to_str().ok()).unwrap_or_default(),
        answer = format_args!("{actual:?}")
    );
    let reason = "backend server's response belongs to another call";
    Err(Refusal::unknown(StatusCode::BAD_GATEWAY, reason))
}

/// Decides whether the connection of a response may carry further requests.
///
/// A copy of a refusal that arrives later must not be taken for the response to another request.
pub(super) fn keep_connection(
    names: &HeaderNames,
    response: &mut Response<PooledBody>,
    id: Option<&HeaderValue>,
) {
    let refuses = implies_not_run(response.status()) || states_not_run(names, response.headers());
    let stated = response.headers().get(&names.request).cloned();
    match stated.filter(|stated| Some(stated) == id) {
        _ if !refuses => response.body_mut().keep_connection(),
        Some(id) => response.body_mut().keep_after_refusal(&id),
        // Nothing would tell a copy from the response to the next request.
        None => {}
    }
}

/// Tests whether a status tells a caller that the call did not run.
fn implies_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Tests whether a response states that the backend server did not run the call.
fn states_not_run(names: &HeaderNames, headers: &HeaderMap) -> bool {
    let name = names.not_run.as_ref();
    name.is_some_and(|name| headers.contains_key(name))
}

/// Checks that a response is complete and comes from the expected backend server, and that the backend
/// server did not refuse the call.
pub(super) fn check_response(
    daemon: &Daemon,
    backend: &Backend,
    response: &Response<PooledBody>,
    id: Option<&HeaderValue>,
) -> Result<(), Refusal> {
    let names = &daemon.names;
    let (status, headers) = (response.status(), response.headers());
    let id_text = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
    if status == StatusCode::MISDIRECTED_REQUEST && names.expected_instance.is_some() {
        let actual = names
            .instance
            .as_ref()
            .and_then(|name| call::text(headers, name));
        event!(
            BackendUnhealthy,
            request = id_text,
            expected = backend.instance.as_deref().unwrap_or("-"),
            instance = actual.unwrap_or("-"),
        );
        daemon
            .backend
            .note_mismatch(backend.instance.as_deref().unwrap_or_default());
        return Err(unavailable(
            "another backend server is at this address",
            RefusalReason::Shed,
        ));
    }
    if states_not_run(names, headers) {
        let refusal = unavailable("backend server refused the call", RefusalReason::Shed);
        let after = call::read_retry_after(headers);
        return Err(after.map_or(refusal.clone(), |after| refusal.with_retry_after(after)));
    }
    let Some(seal) = &names.response_seal else {
        return Ok(());
    };
    if status.is_success() && !headers.contains_key(seal) {
        event!(AnswerUnsealed, request = id_text, status = status.as_u16());
        let reason = "backend server's response has no seal";
        return Err(Refusal::unknown(StatusCode::BAD_GATEWAY, reason));
    }
    // These statuses imply to the caller that the call did not run, but the backend server states
    // that only by the not-run header.
    if implies_not_run(status) {
        let reason = format!("backend server answered {status}");
        return Err(Refusal::unknown(StatusCode::BAD_GATEWAY, reason));
    }
    Ok(())
}

/// Returns the greatest length of a response's body, in bytes.
///
/// Where a response carries a proof of its origin, one without it may be anything.
pub(super) fn max_body_len(names: &HeaderNames, headers: &HeaderMap) -> u64 {
    match &names.response_seal {
        Some(seal) if !headers.contains_key(seal) => MAX_UNSEALED_LEN,
        _ => MAX_BODY_LEN,
    }
}

/// Returns the rate limit that a response states, in calls per second; `None` if it states none.
///
/// A limit that is not a finite number of at least zero is logged and treated as absent.
pub(super) fn stated_rate(names: &HeaderNames, headers: &HeaderMap) -> Option<f64> {
    let text = call::text(headers, names.rate_limit.as_ref()?)?;
    let rate = text.trim().parse::<f64>().ok();
    let rate = rate.filter(|rate| rate.is_finite() && *rate >= 0.0);
    if rate.is_none() {
        event!(BackendRateLimit, invalid = text);
    }
    rate
}

/// Records that the backend server leaves, if its response states that.
pub(super) fn note_leaving(daemon: &Daemon, backend: &Backend, response: &Response<PooledBody>) {
    let name = daemon.names.leaving.as_ref();
    let leaves = name.is_some_and(|name| response.headers().contains_key(name));
    let known = daemon.backend.load().stage == Stage::Leaving;
    // A misdirected request was answered by another instance.
    if !leaves || known || response.status() == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    if let Some(instance) = backend.instance.clone() {
        let leave = Leave {
            instance,
            born_ms: Some(backend.born_ms),
        };
        daemon.backend.leave(&leave, unix_ms());
    }
}

/// Turns an attempt into the request that the backend server receives; returns its request id too.
///
/// The organisation is the one that the outbound side states. If keys are checked here, a caller's
/// headers are removed again: the outbound side may not have the version yet that checks them.
pub(super) fn to_backend(
    request: Request<Body>,
    deadline: Instant,
    names: &HeaderNames,
    instance: Option<&str>,
    checks_keys: bool,
) -> Result<(Request<Body>, Option<HeaderValue>), Refusal> {
    let (mut head, body) = request.into_parts();
    call::drop_hop_headers(&mut head.headers);
    if let Some(authority) = head.uri.authority()
        && let Ok(host) = HeaderValue::from_str(authority.as_str())
    {
        head.headers.insert(header::HOST, host);
    }
    let path = head.uri.path_and_query().cloned();
    head.uri = path.map_or_else(http::Uri::default, http::Uri::from);
    head.version = http::Version::HTTP_11;
    let organisation = head.headers.remove(call::ORGANISATION);
    if checks_keys || organisation.is_some() {
        access::remove_headers(&mut head.headers, names);
    }
    if let (Some(name), Some(organisation)) = (&names.organisation, organisation) {
        head.headers.insert(name, organisation);
    }
    call::drop_reserved_headers(&mut head.headers, &[call::RETRY]);
    if names.response_seal.is_some() {
        head.headers.remove(call::RETRY);
    }
    let left = request::remaining_ms(deadline);
    head.headers.insert(&names.deadline, left);
    if let (Some(name), Some(instance)) = (&names.expected_instance, instance) {
        let invalid = |err| Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, err);
        let instance = HeaderValue::from_str(instance).map_err(invalid)?;
        head.headers.insert(name, instance);
    }
    let id = head.headers.get(&names.request).cloned();
    Ok((Request::from_parts(head, body), id))
}
