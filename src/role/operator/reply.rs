//! Answers to operators, and their one error shape.

use crate::error::{Category, Error};
use crate::serve::{Body, full};
use crate::store::Outcome;
use http::{HeaderName, HeaderValue, Method, Response, StatusCode, header};
use serde_json::{Value, json};

/// Time after which an operator may ask again, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// An answer that reports a fault.
#[derive(Debug)]
pub struct Fault {
    status: StatusCode,
    error: Error,
    /// What became of the change, if the request held one.
    outcome: Option<&'static str>,
    headers: Vec<(HeaderName, HeaderValue)>,
}

impl Fault {
    /// Makes a fault with a status of its own.
    pub fn new(status: StatusCode, error: Error) -> Self {
        Fault {
            status,
            error,
            outcome: None,
            headers: Vec::new(),
        }
    }

    /// Makes a fault of a request that is not well formed.
    pub fn bad_request(message: impl std::fmt::Display) -> Self {
        Fault::new(
            StatusCode::BAD_REQUEST,
            Error::new(Category::Input, message),
        )
    }

    /// Makes the answer to a request without the operator token.
    pub fn no_token() -> Self {
        let error = Error::new(Category::Input, "operator token is needed");
        let mut fault = Fault::new(StatusCode::UNAUTHORIZED, error);
        let scheme = HeaderValue::from_static("Bearer");
        fault.headers.push((header::WWW_AUTHENTICATE, scheme));
        fault
    }

    /// Makes the answer to a method that the path does not take.
    pub fn method(method: &Method, allow: &'static str) -> Self {
        let message = format!("method {method} is not allowed here; allowed: {allow}");
        let error = Error::new(Category::Input, message);
        let mut fault = Fault::new(StatusCode::METHOD_NOT_ALLOWED, error);
        let allow = HeaderValue::from_static(allow);
        fault.headers.push((header::ALLOW, allow));
        fault
    }

    /// Makes the answer to a change where others write the configuration.
    pub fn given(key: &str) -> Self {
        let message = format!(
            "the configuration is given from outside, in the platform's key {key}: changes are \
             not accepted here"
        );
        let error = Error::new(Category::Input, message);
        let mut fault = Fault::new(StatusCode::METHOD_NOT_ALLOWED, error);
        fault.outcome = Some("not-accepted");
        let allow = HeaderValue::from_static("GET");
        fault.headers.push((header::ALLOW, allow));
        fault
    }

    /// Makes the answer to a change that is not accepted.
    pub fn not_accepted(error: Error) -> Self {
        let mut fault = Fault::from(error);
        fault.outcome = Some("not-accepted");
        fault
    }

    /// Replaces the status.
    pub fn with_status(mut self, status: StatusCode) -> Self {
        self.status = status;
        self
    }

    /// Returns the status.
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// Returns the error.
    pub fn error(&self) -> &Error {
        &self.error
    }

    /// Makes the answer.
    pub fn into_answer(self) -> Response<Body> {
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
        let mut answer = json_with(self.status, &body);
        answer.headers_mut().extend(self.headers);
        if self.status == StatusCode::SERVICE_UNAVAILABLE {
            let headers = answer.headers_mut();
            headers.insert(header::RETRY_AFTER, RETRY_AFTER_S.into());
        }
        answer
    }
}

impl From<Error> for Fault {
    fn from(error: Error) -> Self {
        Fault::new(status_of(error.category()), error)
    }
}

/// Makes an answer of JSON.
pub fn json(body: &Value) -> Response<Body> {
    json_with(StatusCode::OK, body)
}

fn json_with(status: StatusCode, body: &Value) -> Response<Body> {
    let mut answer = Response::new(full(format!("{body}\n")));
    *answer.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    answer
}

/// Tells what became of a change.
pub fn outcome(outcome: Outcome, id: &str) -> Result<Response<Body>, Fault> {
    match outcome {
        Outcome::Accepted { version, repeated } => Ok(json(&json!({
            "outcome": "accepted",
            "message": format!("accepted as version {version}"),
            "change": id,
            "version": version,
            "repeated": repeated,
        }))),
        Outcome::Refused(error) => Err(Fault::not_accepted(error)),
        Outcome::Unknown(error) => {
            let message = format!("unknown: ask by change id {id}: {error}");
            let mut fault = Fault::new(StatusCode::GATEWAY_TIMEOUT, error.with_message(message));
            fault.outcome = Some("unknown");
            Err(fault)
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
