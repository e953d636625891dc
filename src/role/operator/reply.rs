//! Responses to operators; all errors have the same form.

use crate::error::{Category, Error};
use crate::serve::{Body, full_body};
use crate::store::Outcome;
use http::{HeaderName, HeaderValue, Method, Response, StatusCode, header};
use serde_json::{Value, json};

/// The `Retry-After` of responses with status 503, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// An error response: its status, and the error in its body.
#[derive(Debug)]
pub struct ApiError {
    status: StatusCode,
    error: Error,
    /// The outcome of the change, if the request contained one: `not-accepted` or `unknown`.
    outcome: Option<&'static str>,
    headers: Vec<(HeaderName, HeaderValue)>,
}

impl ApiError {
    /// Creates an error whose status is not that of the error's category.
    pub fn new(status: StatusCode, error: Error) -> Self {
        ApiError {
            status,
            error,
            outcome: None,
            headers: Vec::new(),
        }
    }

    /// Creates the error for a malformed request (400).
    pub fn bad_request(message: impl std::fmt::Display) -> Self {
        ApiError::new(
            StatusCode::BAD_REQUEST,
            Error::new(Category::Input, message),
        )
    }

    /// Creates the error for a request without the operator token (401).
    pub fn missing_token() -> Self {
        let error = Error::new(Category::Input, "operator token is required");
        let mut err = ApiError::new(StatusCode::UNAUTHORIZED, error);
        let scheme = HeaderValue::from_static("Bearer");
        err.headers.push((header::WWW_AUTHENTICATE, scheme));
        err
    }

    /// Creates the error for a method that the path does not support (405); `allow` lists those
    /// that it does.
    pub fn method_not_allowed(method: &Method, allow: &'static str) -> Self {
        let message = format!("method {method} is not allowed here; allowed: {allow}");
        let error = Error::new(Category::Input, message);
        let mut err = ApiError::new(StatusCode::METHOD_NOT_ALLOWED, error);
        let allow = HeaderValue::from_static(allow);
        err.headers.push((header::ALLOW, allow));
        err
    }

    /// Creates the error for a change at a daemon whose configuration is externally managed (405);
    /// `key` is where the platform holds that configuration.
    pub fn externally_managed(key: &str) -> Self {
        let message = format!(
            "the configuration is externally managed, in the platform's key {key}: changes are \
             not accepted here"
        );
        let error = Error::new(Category::Input, message);
        let mut err = ApiError::new(StatusCode::METHOD_NOT_ALLOWED, error);
        err.outcome = Some("not-accepted");
        let allow = HeaderValue::from_static("GET");
        err.headers.push((header::ALLOW, allow));
        err
    }

    /// Creates the error for a change that is not accepted, with the status of the error's
    /// category.
    pub fn not_accepted(error: Error) -> Self {
        let mut err = ApiError::from(error);
        err.outcome = Some("not-accepted");
        err
    }

    /// Replaces the status.
    pub fn with_status(mut self, status: StatusCode) -> Self {
        self.status = status;
        self
    }

    /// Returns the status of the response.
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// Returns the error in the body of the response.
    pub fn error(&self) -> &Error {
        &self.error
    }

    /// Converts the error into a response.
    pub fn into_response(self) -> Response<Body> {
        let mut error = json!({
            "category": self.error.category().as_str(),
            "message": self.error.to_string(),
        });
        if let Some(resource) = self.error.resource() {
            error["resource"] = resource.into();
        }
        if let Some(field) = self.error.field() {
            error["field"] = field.into();
        }
        let mut body = json!({ "error": error });
        if let Some(outcome) = self.outcome {
            body["outcome"] = outcome.into();
        }
        let mut response = json_response(self.status, &body);
        response.headers_mut().extend(self.headers);
        if self.status == StatusCode::SERVICE_UNAVAILABLE {
            let headers = response.headers_mut();
            headers.insert(header::RETRY_AFTER, RETRY_AFTER_S.into());
        }
        response
    }
}

impl From<Error> for ApiError {
    fn from(error: Error) -> Self {
        ApiError::new(status_of(error.category()), error)
    }
}

/// Creates a JSON response with status 200.
pub fn json(body: &Value) -> Response<Body> {
    json_response(StatusCode::OK, body)
}

fn json_response(status: StatusCode, body: &Value) -> Response<Body> {
    let mut response = Response::new(full_body(format!("{body}\n")));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// Creates the response to a submitted change.
///
/// # Errors
///
/// Fails when the change was refused or its outcome is unknown.
pub fn outcome(outcome: Outcome, id: &str) -> Result<Response<Body>, ApiError> {
    match outcome {
        Outcome::Accepted { version, repeated } => Ok(json(&json!({
            "outcome": "accepted",
            "message": format!("accepted as version {version}"),
            "change": id,
            "version": version,
            "repeated": repeated,
        }))),
        Outcome::Refused(error) => Err(ApiError::not_accepted(error)),
        Outcome::Unknown(error) => {
            let message = format!("unknown: ask by change id {id}: {error}");
            let mut err = ApiError::new(StatusCode::GATEWAY_TIMEOUT, error.with_message(message));
            err.outcome = Some("unknown");
            Err(err)
        }
    }
}

fn status_of(category: Category) -> StatusCode {
    match category {
        Category::Input => StatusCode::UNPROCESSABLE_ENTITY,
        Category::Conflict => StatusCode::CONFLICT,
        Category::Missing => StatusCode::NOT_FOUND,
        Category::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
        Category::Unknown => StatusCode::GATEWAY_TIMEOUT,
        Category::Internal => StatusCode::INTERNAL_SERVER_ERROR,
    }
}
