//! Waits until a change is in force on every daemon.

use super::http_client::{Call, HttpClient, Reply};
use super::{Exit, Flags, api_error, write_body};
use crate::error::{Category, Error, Result};
use http::StatusCode;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Maximum wait of one request; longer waits take several requests.
const REQUEST_WAIT: Duration = Duration::from_secs(5);

/// Delay before the next request.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Waits until a change is in force on every daemon, and prints its status, which lists the daemons
/// where it is not.
///
/// # Errors
///
/// Fails when no daemon reports the change's status within the time limit.
pub async fn run(
    flags: &Flags,
    client: &HttpClient,
    change: &str,
    timeout: Duration,
) -> Result<Exit> {
    let deadline = Instant::now() + timeout;
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let wait = remaining.min(REQUEST_WAIT);
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
            return finish(flags, status);
        }
        sleep(RETRY_DELAY).await;
    }
}

fn is_in_force(reply: &Reply) -> bool {
    let body = &reply.body;
    reply.status.is_success() && body["daemons"] != 0 && body["in_force"] == body["daemons"]
}

/// Returns whether a retry cannot change the result.
fn is_final(status: &Result<Reply>) -> bool {
    let retryable = [
        StatusCode::NOT_FOUND,
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::GATEWAY_TIMEOUT,
    ];
    match status {
        Ok(reply) => reply.status.is_client_error() && !retryable.contains(&reply.status),
        Err(err) => err.category() == Category::Input,
    }
}

fn finish(flags: &Flags, status: Result<Reply>) -> Result<Exit> {
    match status {
        Ok(reply) if reply.status.is_success() => {
            write_body(flags, &reply.body)?;
            Ok(Exit::NotInForce)
        }
        Ok(reply) => Err(api_error(&reply)),
        // A read has no effect, so a lost response only means that the status is unavailable.
        Err(err) if err.category() == Category::Unknown => {
            Err(Error::new(Category::Unavailable, err))
        }
        Err(err) => Err(err),
    }
}
