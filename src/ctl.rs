//! The operators' command line.

mod flags;
mod http_client;

pub use flags::{Command, Flags};

use crate::change::Change;
use crate::error::{Category, Error, Result};
use http::{Method, StatusCode};
use http_client::HttpClient;
use serde_json::Value;
use std::process::ExitCode;
use std::time::Duration;

/// The exit codes of `baobabctl`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The request was carried out.
    Done = 0,
    /// The process itself failed.
    Failed = 1,
    /// The command line or the input is wrong.
    Input = 2,
    /// The change is not accepted.
    NotAccepted = 3,
    /// It is not known whether the change is accepted.
    Unknown = 4,
    /// The change is not in force everywhere in time.
    NotInForce = 5,
    /// No daemon can be reached.
    Unreachable = 6,
}

/// Runs a command to its end.
#[must_use]
pub fn main(flags: &Flags) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let exit = match runtime {
        Ok(runtime) => match runtime.block_on(run(flags)) {
            Ok(exit) => exit,
            Err(err) => {
                eprintln!("baobabctl: {err}");
                exit_of(err.category())
            }
        },
        Err(err) => {
            eprintln!("baobabctl: runtime: {err}");
            Exit::Failed
        }
    };
    ExitCode::from(exit as u8)
}

async fn run(flags: &Flags) -> Result<Exit> {
    let client = HttpClient::new(&flags.daemons, flags.token.clone())?;
    let answer = match &flags.command {
        Command::Check { file } => {
            let body = read_change(file)?;
            client
                .call(Method::POST, "/v1/changes?check=true", &body)
                .await
        }
        Command::Apply { file } => {
            let body = read_change(file)?;
            client.call(Method::POST, "/v1/changes", &body).await
        }
        Command::Revert { change, id } => {
            let id = id.clone().unwrap_or_else(|| format!("revert-{change}"));
            let path = format!("/v1/changes/{change}/revert?id={id}");
            client.call(Method::POST, &path, b"").await
        }
        Command::History => client.call(Method::GET, "/v1/changes", b"").await,
        Command::Version => client.call(Method::GET, "/v1/version", b"").await,
        Command::Wait { change, timeout } => return wait(&client, change, *timeout).await,
    };
    Ok(show(answer?))
}

fn read_change(file: &str) -> Result<Vec<u8>> {
    let input = |err: &dyn std::fmt::Display| Error::new(Category::Input, format!("{file}: {err}"));
    let data = std::fs::read(file).map_err(|err| input(&err))?;
    let text = String::from_utf8(data).map_err(|err| input(&err))?;
    let change = Change::from_toml(&text).map_err(|err| input(&err))?;
    serde_json::to_vec(&change.to_file()).map_err(|err| input(&err))
}

async fn wait(client: &HttpClient, change: &str, timeout: Duration) -> Result<Exit> {
    let path = format!("/v1/changes/{change}?wait_ms={}", timeout.as_millis());
    let (status, body) = client.call(Method::GET, &path, b"").await?;
    if !status.is_success() {
        return Ok(show((status, body)));
    }
    let complete = body["in_force"] == body["daemons"] && body["daemons"] != 0;
    println!("{body:#}");
    Ok(if complete {
        Exit::Done
    } else {
        Exit::NotInForce
    })
}

fn show((status, body): (StatusCode, Value)) -> Exit {
    println!("{body:#}");
    match body["outcome"].as_str() {
        Some("unknown") => Exit::Unknown,
        Some("not-accepted") => Exit::NotAccepted,
        _ if status.is_success() => Exit::Done,
        _ if status.is_client_error() => Exit::Input,
        _ => Exit::Failed,
    }
}

fn exit_of(category: Category) -> Exit {
    match category {
        Category::Input => Exit::Input,
        Category::Unavailable => Exit::Unreachable,
        Category::Unknown => Exit::Unknown,
        Category::Conflict => Exit::NotAccepted,
        Category::Missing | Category::Internal => Exit::Failed,
    }
}
