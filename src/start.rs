//! The start of the daemon's process.

use crate::settings::{Flags, LogFormat, Settings};
use crate::{daemon, event, kernel, logging};
use anyhow::Context as _;
use log::LevelFilter;
use std::collections::BTreeMap;
use std::ffi::OsString;
use std::process::ExitCode;
use std::sync::Arc;
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};

/// The exit code for settings that are not valid.
const EXIT_SETTINGS: u8 = 2;

/// Runs the daemon with these flags and the process's environment variables, to its end.
#[must_use]
pub fn main(flags: &Flags) -> ExitCode {
    let settings = match Settings::new(flags, &variables()) {
        Ok(settings) => settings,
        Err(err) => {
            refuse(&err.to_string());
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if settings.check_only {
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

/// Returns the environment variables; characters that are not UTF-8 are replaced, which no check
/// lets pass.
fn variables() -> BTreeMap<String, String> {
    let text = |text: OsString| text.to_string_lossy().into_owned();
    std::env::vars_os()
        .map(|(name, value)| (text(name), text(value)))
        .collect()
}

/// Logs each fault in the settings in the default format, since no other can be known.
fn refuse(faults: &str) {
    if logging::init(LevelFilter::Info, LogFormat::Text, "baobabd").is_err() {
        eprintln!("baobabd: settings are not valid:\n{faults}");
    }
    for fault in faults.lines() {
        event!(SettingsRefused, fault = fault);
    }
}

/// Runs the daemon on as many threads as the settings say.
fn run(settings: Settings) -> anyhow::Result<()> {
    let mut builder = match settings.threads {
        // On one thread, a call passes from task to task without waking another thread.
        1 => Builder::new_current_thread(),
        threads => {
            let mut builder = Builder::new_multi_thread();
            builder.worker_threads(threads as usize);
            builder
        }
    };
    let runtime = builder.enable_all().build().context("runtime")?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> anyhow::Result<()> {
    let name = settings.name.clone().unwrap_or_else(|| "baobabd".into());
    logging::init(settings.log_level, settings.log_format, &name)?;
    let daemon = daemon::Daemon::new(settings)?;
    event!(
        Started,
        domain = daemon.identity.domain,
        region = daemon.identity.region,
        incarnation = daemon.identity.incarnation,
    );
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
