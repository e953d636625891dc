//! Waiting until a change is in force everywhere.

use super::http_client::{Call, HttpClient, Reply};
use super::{Exit, Flags, error_of, write_body};
use crate::error::{Category, Error, Result};
use http::StatusCode;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Greatest time that one request waits.
const REQUEST_WAIT: Duration = Duration::from_secs(5);

/// Time between requests that found no answer.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Waits until a change is in force on every daemon, and tells where it is not.
///
/// # Errors
///
/// Fails when at the end of the time no daemon tells the change's status.
pub async fn run(
    flags: &Flags,
    client: &HttpClient,
    change: &str,
    timeout: Duration,
) -> Result<Exit> {
    let deadline = Instant::now() + timeout;
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        let wait = left.min(REQUEST_WAIT);
        let mut call = Call::get(format!("/v1/changes/{change}?wait_ms={}", wait.as_millis()));
        call.wait = wait;
        let status = client.call(&call).await;
        if let Ok(reply) = &status
            && is_in_force(reply)
        {
            write_body(flags, &reply.body)?;
            return Ok(Exit::Done);
        }
        if is_final(&status) || Instant::now() + RETRY_DELAY >= deadline {
            return end(flags, status);
        }
        sleep(RETRY_DELAY).await;
    }
}

fn is_in_force(reply: &Reply) -> bool {
    let body = &reply.body;
    reply.status.is_success() && body["daemons"] != 0 && body["in_force"] == body["daemons"]
}

/// Tests whether asking again cannot help.
fn is_final(status: &Result<Reply>) -> bool {
    let again = [
        StatusCode::NOT_FOUND,
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::GATEWAY_TIMEOUT,
    ];
    match status {
        Ok(reply) => reply.status.is_client_error() && !again.contains(&reply.status),
        Err(err) => err.category() == Category::Input,
    }
}

fn end(flags: &Flags, status: Result<Reply>) -> Result<Exit> {
    match status {
        Ok(reply) if reply.status.is_success() => {
            write_body(flags, &reply.body)?;
            Ok(Exit::NotInForce)
        }
        Ok(reply) => Err(error_of(&reply)),
        // A read has no effect; a lost answer only means that no daemon tells.
        Err(err) if err.category() == Category::Unknown => {
            Err(Error::new(Category::Unavailable, err))
        }
        Err(err) => Err(err),
    }
}
