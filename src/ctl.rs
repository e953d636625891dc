//! The `baobabctl` command line tool.

mod change_file;
mod flags;
mod http_client;
mod submit;
mod table;
mod wait;
mod watch;

pub use flags::{Command, Flags, Output};

use crate::check;
use crate::error::{Category, Error, Result};
use crate::resource::{Kind, ResourceKey};
use http_client::{Call, HttpClient, Reply};
use serde_json::Value;
use std::io::Write as _;
use std::process::ExitCode;

/// The exit codes of `baobabctl`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The program itself failed.
    Failed = 1,
    /// The command line or the input is not valid.
    Input = 2,
    /// The change was not accepted.
    NotAccepted = 3,
    /// It is unknown whether the change was accepted; query its status by change id.
    Unknown = 4,
    /// The change is accepted but was not in force on every daemon within the wait limit.
    NotInForce = 5,
    /// No daemon can be reached.
    Unreachable = 6,
    /// The resource or change does not exist.
    Missing = 7,
}

/// Runs a command to completion and returns its exit code. Errors go to standard error.
#[must_use]
pub fn main(flags: Result<Flags>) -> ExitCode {
    let exit = flags.and_then(|flags| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let runtime =
            runtime.map_err(|err| Error::new(Category::Internal, format!("runtime: {err}")))?;
        runtime.block_on(run(&flags))
    });
    let exit = exit.unwrap_or_else(|err| {
        eprintln!("baobabctl: {}", table::printable(&err.to_string()));
        exit_code(err.category())
    });
    ExitCode::from(exit as u8)
}

async fn run(flags: &Flags) -> Result<Exit> {
    match &flags.command {
        Command::Check { file } => {
            let change = change_file::read(file)?;
            let body = change_file::to_json(&change)?;
            let call = Call::post("/v1/changes?check=true", body);
            print_reply(flags, &client(flags)?.call(&call).await?)
        }
        Command::Apply { file, wait } => {
            let change = change_file::read(file)?;
            let call = Call::post("/v1/changes", change_file::to_json(&change)?);
            submit::run(flags, &client(flags)?, &call, change.id(), *wait).await
        }
        Command::Revert { change, id, wait } => {
            check::name("change", "id", change)?;
            let id = id.clone().unwrap_or_else(|| format!("revert-{change}"));
            check::name("change", "id", &id)?;
            let call = Call::post(format!("/v1/changes/{change}/revert?id={id}"), "");
            submit::run(flags, &client(flags)?, &call, &id, *wait).await
        }
        Command::Watch { kind, name, lines } => {
            let path = watch_path(kind.as_deref(), name.as_deref())?;
            watch::run(flags, &client(flags)?, &path, *lines).await
        }
        Command::Wait { change, timeout } => {
            check::name("change", "id", change)?;
            wait::run(flags, &client(flags)?, change, *timeout).await
        }
        Command::State { address } => {
            let client = HttpClient::new(address, None, flags.timeout)?;
            print_reply(flags, &client.call(&Call::get("/state")).await?)
        }
        _ => {
            let path = read_path(&flags.command)?;
            print_reply(flags, &client(flags)?.call(&Call::get(path)).await?)
        }
    }
}

fn client(flags: &Flags) -> Result<HttpClient> {
    HttpClient::new(&flags.daemons, flags.token.clone(), flags.timeout)
}

/// Returns the API path of a read-only command.
fn read_path(command: &Command) -> Result<String> {
    Ok(match command {
        Command::Get { kind, name } => {
            let key = ResourceKey::new(kind.parse::<Kind>()?, name.as_str());
            check::name(&key.to_string(), "name", name)?;
            format!("/v1/resources/{key}")
        }
        Command::List { kind: Some(kind) } => format!("/v1/resources/{}", kind.parse::<Kind>()?),
        Command::List { kind: None } => "/v1/resources".into(),
        Command::History { limit: Some(limit) } => format!("/v1/changes?limit={limit}"),
        Command::History { limit: None } => "/v1/changes".into(),
        Command::Status { change } => {
            check::name("change", "id", change)?;
            format!("/v1/changes/{change}")
        }
        Command::Rollout => "/v1/rollouts".into(),
        _ => "/v1/version".into(),
    })
}

fn watch_path(kind: Option<&str>, name: Option<&str>) -> Result<String> {
    let Some(kind) = kind else {
        return Ok("/v1/watch".into());
    };
    let kind = kind.parse::<Kind>()?;
    let Some(name) = name else {
        return Ok(format!("/v1/watch?kind={kind}"));
    };
    check::name("watch", "name", name)?;
    Ok(format!("/v1/watch?kind={kind}&name={name}"))
}

/// Prints a response and returns the matching exit code.
fn print_reply(flags: &Flags, reply: &Reply) -> Result<Exit> {
    if reply.status.is_success() {
        write_body(flags, &reply.body)?;
        return Ok(Exit::Done);
    }
    if flags.output == Output::Json {
        write_body(flags, &reply.body)?;
    }
    Err(api_error(reply))
}

fn write_body(flags: &Flags, body: &Value) -> Result<()> {
    match flags.output {
        Output::Json => write_text(&format!("{body:#}\n")),
        Output::Table => write_text(&table::render(body)),
    }
}

fn write_text(text: &str) -> Result<()> {
    let mut out = std::io::stdout().lock();
    let written = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    written.map_err(|err| Error::new(Category::Internal, format!("standard output: {err}")))
}

/// Converts the error object of an API response.
fn api_error(reply: &Reply) -> Error {
    let error = &reply.body["error"];
    let message = error["message"].as_str().unwrap_or("no reason given");
    let categories = [
        Category::Input,
        Category::Conflict,
        Category::Missing,
        Category::Unavailable,
        Category::Unknown,
        Category::Internal,
    ];
    let category = categories
        .into_iter()
        .find(|category| error["category"] == category.as_str());
    let category = category.unwrap_or(Category::Internal);
    Error::new(category, message)
}

fn exit_code(category: Category) -> Exit {
    match category {
        Category::Input => Exit::Input,
        Category::Unavailable => Exit::Unreachable,
        Category::Unknown => Exit::Unknown,
        Category::Conflict => Exit::NotAccepted,
        Category::Missing => Exit::Missing,
        Category::Internal => Exit::Failed,
    }
}
