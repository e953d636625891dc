//! The start of the daemon's process.

use crate::settings::{Flags, Settings};
use crate::{daemon, event, kernel, logging};
use anyhow::Context as _;
use std::process::ExitCode;
use std::sync::Arc;
use tokio::signal::unix::{SignalKind, signal};

/// The exit code for settings that are not valid.
const EXIT_SETTINGS: u8 = 2;

/// Runs the daemon with these flags and the process's environment variables, to its end.
#[must_use]
pub fn main(flags: &Flags) -> ExitCode {
    let variables = std::env::vars_os()
        .filter_map(|(name, value)| Some((name.into_string().ok()?, value.into_string().ok()?)))
        .collect();
    let settings = match Settings::new(flags, &variables) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("baobabd: settings are not valid:\n{err}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if flags.check_settings() {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("baobabd: {err:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(settings: Settings) -> anyhow::Result<()> {
    let name = settings.name.clone().unwrap_or_else(|| "baobabd".into());
    logging::init(settings.log_level, settings.log_format, &name)?;
    let daemon = daemon::Daemon::new(settings)?;
    event!(Started, "name={}", daemon.identity.name);
    tokio::spawn(stop_on_signal(Arc::clone(&daemon)));
    kernel::run(daemon).await?;
    event!(Stopped);
    Ok(())
}

/// Lets calls in flight end once the process is told to terminate.
async fn stop_on_signal(daemon: Arc<daemon::Daemon>) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("signal handler")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("signal handler")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    daemon.shut_down().await;
    Ok(())
}
