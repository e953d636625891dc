//! Submits a change and reports its outcome.

use super::http_client::{Call, HttpClient, Reply};
use super::{Exit, Flags, api_error, exit_code, table, wait, write_body};
use crate::error::{Category, Error, Result};
use serde_json::json;
use std::time::Duration;

/// Submits a change, reports its outcome, and waits until it is in force if requested.
///
/// The change may be sent to several daemons, since its id makes the request idempotent. Once a
/// response was lost, only an acceptance is conclusive: a refusal by another daemon does not prove
/// that the attempt whose response was lost had no effect, nor that it will have none.
///
/// # Errors
///
/// Fails when the wait for the change fails or the output cannot be written. A change that is not
/// accepted is no error: it is reported here and by the exit code.
pub async fn run(
    flags: &Flags,
    client: &HttpClient,
    call: &Call,
    id: &str,
    wait: Option<Duration>,
) -> Result<Exit> {
    let reply = match client.call(call).await {
        Ok(reply) if reply.status.is_success() => reply,
        Ok(reply) => return handle_refusal(flags, client, &reply, id, wait).await,
        Err(err) if err.category() == Category::Unknown => {
            return resolve_outcome(flags, client, id, wait, &err).await;
        }
        Err(err) => return not_accepted(flags, id, &err, exit_code(err.category())),
    };
    if let Some(timeout) = wait {
        return wait::run(flags, client, id, timeout).await;
    }
    write_body(flags, &reply.body)?;
    Ok(Exit::Done)
}

async fn handle_refusal(
    flags: &Flags,
    client: &HttpClient,
    reply: &Reply,
    id: &str,
    wait: Option<Duration>,
) -> Result<Exit> {
    let err = api_error(reply);
    let conclusive = reply.body["outcome"] == "not-accepted" || reply.status.is_client_error();
    if reply.lost_response || !conclusive {
        return resolve_outcome(flags, client, id, wait, &err).await;
    }
    let exit = match err.category() {
        Category::Input => Exit::Input,
        _ => Exit::NotAccepted,
    };
    not_accepted(flags, id, &err, exit)
}

/// Queries the status of a change whose submission has an unknown outcome.
async fn resolve_outcome(
    flags: &Flags,
    client: &HttpClient,
    id: &str,
    wait: Option<Duration>,
    err: &Error,
) -> Result<Exit> {
    let status = client.call(&Call::get(format!("/v1/changes/{id}"))).await;
    if let Ok(reply) = &status
        && reply.body["outcome"] == "accepted"
    {
        if let Some(timeout) = wait {
            return wait::run(flags, client, id, timeout).await;
        }
        write_body(flags, &reply.body)?;
        return Ok(Exit::Done);
    }
    let message = format!("unknown: ask by change id {id}: {err}");
    report(flags, id, "unknown", Category::Unknown, &message)?;
    Ok(Exit::Unknown)
}

fn not_accepted(flags: &Flags, id: &str, err: &Error, exit: Exit) -> Result<Exit> {
    let message = format!("not accepted: {err}");
    report(flags, id, "not-accepted", err.category(), &message)?;
    Ok(exit)
}

fn report(flags: &Flags, id: &str, outcome: &str, category: Category, message: &str) -> Result<()> {
    eprintln!("baobabctl: {}", table::printable(message));
    if flags.output == super::Output::Json {
        let error = json!({ "category": category.as_str(), "message": message });
        let body = json!({ "outcome": outcome, "change": id, "error": error });
        write_body(flags, &body)?;
    }
    Ok(())
}
