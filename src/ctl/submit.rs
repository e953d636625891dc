//! Sending a change and telling its outcome.

use super::http_client::{Call, HttpClient, Reply};
use super::{Exit, Flags, error_of, exit_of, table, wait, write_body};
use crate::error::{Category, Error, Result};
use serde_json::json;
use std::time::Duration;

/// Sends a change, tells its outcome, and waits until it is in force if asked to.
///
/// The change may be sent to several daemons: its id makes a repeat harmless. Once an answer was
/// lost, only an acceptance is believed; a refusal by another daemon does not prove that the
/// attempt whose answer was lost has no effect, nor that it will have none.
///
/// # Errors
///
/// Fails when no daemon can be reached or the change is wrong as written.
pub async fn run(
    flags: &Flags,
    client: &HttpClient,
    call: &Call,
    id: &str,
    wait: Option<Duration>,
) -> Result<Exit> {
    let reply = match client.call(call).await {
        Ok(reply) if reply.status.is_success() => reply,
        Ok(reply) => return refused(flags, client, &reply, id, wait).await,
        Err(err) if err.category() == Category::Unknown => {
            return resolve(flags, client, id, wait, &err).await;
        }
        Err(err) => return not_accepted(flags, id, &err, exit_of(err.category())),
    };
    if let Some(timeout) = wait {
        return wait::run(flags, client, id, timeout).await;
    }
    write_body(flags, &reply.body)?;
    Ok(Exit::Done)
}

async fn refused(
    flags: &Flags,
    client: &HttpClient,
    reply: &Reply,
    id: &str,
    wait: Option<Duration>,
) -> Result<Exit> {
    let err = error_of(reply);
    let proved = reply.body["outcome"] == "not-accepted" || reply.status.is_client_error();
    if reply.lost || !proved {
        return resolve(flags, client, id, wait, &err).await;
    }
    let exit = match err.category() {
        Category::Input => Exit::Input,
        _ => Exit::NotAccepted,
    };
    not_accepted(flags, id, &err, exit)
}

/// Asks for a change whose outcome was lost.
async fn resolve(
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
    tell(flags, id, "unknown", Category::Unknown, &message)?;
    Ok(Exit::Unknown)
}

fn not_accepted(flags: &Flags, id: &str, err: &Error, exit: Exit) -> Result<Exit> {
    let message = format!("not accepted: {err}");
    tell(flags, id, "not-accepted", err.category(), &message)?;
    Ok(exit)
}

fn tell(flags: &Flags, id: &str, outcome: &str, category: Category, message: &str) -> Result<()> {
    eprintln!("baobabctl: {}", table::printable(message));
    if flags.output == super::Output::Json {
        let error = json!({ "category": category.as_str(), "message": message });
        let body = json!({ "outcome": outcome, "change": id, "error": error });
        write_body(flags, &body)?;
    }
    Ok(())
}
