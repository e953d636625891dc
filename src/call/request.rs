//! Validation, routing and rewriting of request heads.

use super::{RETRY, Refusal};
use crate::call;
use crate::header_names::HeaderNames;
use crate::table::{RouteEntry, Table};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, StatusCode, header};
use hyper::body::Incoming;
use std::time::Duration;
use tokio::time::Instant;

/// `Retry-After` of a daemon that has no configuration yet.
const NO_CONFIG_RETRY: Duration = Duration::from_millis(300);

/// Checks that the length of a request's body is unambiguous and at most `limit` bytes.
///
/// # Errors
///
/// Fails if it is not; the call was not run. A body of unknown length is checked while it is read.
pub fn check_length(headers: &HeaderMap, limit: u64) -> Result<(), Refusal> {
    let bad_request = |reason: &str| Err(Refusal::not_run(StatusCode::BAD_REQUEST, reason));
    if headers.contains_key(header::TRANSFER_ENCODING)
        && headers.contains_key(header::CONTENT_LENGTH)
    {
        return bad_request("request has both a content length and a transfer encoding");
    }
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let first = lengths.next();
    if lengths.any(|other| Some(other) != first) {
        return bad_request("request has conflicting content lengths");
    }
    match call::number(headers, &header::CONTENT_LENGTH) {
        Some(len) if len > limit => {
            let reason = format!("request body of {len} bytes; at most {limit} are allowed");
            Err(Refusal::not_run(StatusCode::PAYLOAD_TOO_LARGE, reason))
        }
        _ => Ok(()),
    }
}

/// Finds the route of a request by host, path and method.
///
/// # Errors
///
/// Fails if no route matches, or if the daemon has no configuration yet.
pub fn find_route<'a>(
    table: &'a Table,
    request: &Request<Incoming>,
) -> Result<&'a RouteEntry, Refusal> {
    if table.stamp().version == 0 && table.is_empty() {
        let reason = "no configuration yet";
        let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason);
        return Err(refusal.with_retry_after(NO_CONFIG_RETRY));
    }
    let host = request.uri().host().or_else(|| {
        let host = request.headers().get(header::HOST)?.to_str().ok()?;
        Some(host.rsplit_once(':').map_or(host, |(name, _)| name))
    });
    let path = request.uri().path();
    let entry = table.route(host, path, request.method().as_str());
    entry.ok_or_else(|| Refusal::not_run(StatusCode::NOT_FOUND, format!("no route for {path}")))
}

/// Returns the request id from the caller's header, or a new random one.
#[must_use]
pub fn request_id(request: &Request<Incoming>, names: &HeaderNames) -> String {
    let received = call::text(request.headers(), &names.request);
    received.map_or_else(
        || format!("{:032x}", rand::random::<u128>()),
        ToOwned::to_owned,
    )
}

/// Builds the request head that all attempts of a call share.
///
/// Removes the headers of the connection and those that only daemons may set, and adds the calling
/// service, the request id, and the mark that this daemon owns the retries.
///
/// # Errors
///
/// Fails if the request has no valid address or id.
pub fn shared_head(
    mut head: Parts,
    id: &str,
    names: &HeaderNames,
    service: Option<&str>,
) -> Result<Parts, Refusal> {
    let bad_request = |err: &dyn std::fmt::Display| Refusal::not_run(StatusCode::BAD_REQUEST, err);
    let headers = &mut head.headers;
    call::drop_hop_headers(headers);
    call::drop_reserved_headers(headers, &[]);
    for name in [&names.caller, &names.expected_instance]
        .into_iter()
        .flatten()
    {
        headers.remove(name);
    }
    if let Some(service) = service {
        let service = HeaderValue::from_str(service).map_err(|err| bad_request(&err))?;
        headers.insert(names.calling_service(), service);
    }
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let host = headers.remove(header::HOST);
    let authority = host.as_ref().and_then(|host| host.to_str().ok());
    let authority = authority.or(head.uri.host()).unwrap_or("localhost");
    head.uri = http::Uri::builder()
        .scheme("http")
        .authority(authority)
        .path_and_query(path)
        .build()
        .map_err(|err| bad_request(&err))?;
    head.version = http::Version::HTTP_2;
    let id = HeaderValue::from_str(id).map_err(|err| bad_request(&err))?;
    head.headers.insert(&names.request, id);
    head.headers
        .insert(RETRY, HeaderValue::from_static("above"));
    Ok(head)
}

/// Returns the header value for the time left until a deadline, in milliseconds, at least one.
#[must_use]
pub fn remaining_ms(deadline: Instant) -> HeaderValue {
    let left = deadline.saturating_duration_since(Instant::now());
    let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    HeaderValue::from(left.max(1))
}
