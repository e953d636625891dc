//! Process start-up: settings, runtime, signals and exit code.

use crate::error::Result;
use crate::settings::{Flags, LogFormat, Settings};
use crate::site::Site;
use crate::{daemon, event, kernel, logging};
use anyhow::Context as _;
use log::LevelFilter;
use std::collections::BTreeMap;
use std::ffi::OsString;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The exit code when the settings are not valid.
pub const EXIT_SETTINGS: u8 = 2;

/// The interval at which settings are read again without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Runs the daemon with flags and the process's environment variables until it stops.
#[must_use]
pub fn main(flags: &Flags) -> ExitCode {
    let settings = match Settings::new(flags, &environment()) {
        Ok(settings) => settings,
        Err(err) => {
            log_invalid(&err.to_string());
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if settings.check_only {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    exit_code(run(settings, daemon::Daemon::new))
}

/// Runs the daemon with a site that an adapter creates, until it stops.
///
/// The process's environment variables override the adapter's `defaults`.
#[must_use]
pub fn main_with_site(
    defaults: &BTreeMap<String, String>,
    make_site: impl FnOnce(&Settings) -> Result<Site>,
) -> ExitCode {
    let settings = match Settings::new(&Flags::default(), &with_environment(defaults)) {
        Ok(settings) => settings,
        Err(err) => {
            log_invalid(&err.to_string());
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    exit_code(run(settings, |settings| {
        let site = make_site(&settings)?;
        daemon::Daemon::with_site(settings, site)
    }))
}

/// Returns the variables of an adapter, overridden by those of the process.
fn with_environment(defaults: &BTreeMap<String, String>) -> BTreeMap<String, String> {
    let mut variables = defaults.clone();
    variables.extend(environment());
    variables
}

fn exit_code(result: anyhow::Result<()>) -> ExitCode {
    logging::flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("baobabd: {err:#}");
            ExitCode::FAILURE
        }
    }
}

/// Returns the environment variables. Bytes that are not UTF-8 become U+FFFD, which every check of
/// the settings rejects.
fn environment() -> BTreeMap<String, String> {
    let text = |text: OsString| text.to_string_lossy().into_owned();
    std::env::vars_os()
        .map(|(name, value)| (text(name), text(value)))
        .collect()
}

/// Logs each error in the settings, in the default format, since the configured one is not known.
fn log_invalid(errors: &str) {
    if logging::init(LevelFilter::Info, LogFormat::Text, "baobabd").is_err() {
        eprintln!("baobabd: settings are not valid:\n{errors}");
    }
    for error in errors.lines() {
        event!(SettingsRefused, fault = error);
    }
    logging::flush();
}

/// Runs the daemon on the number of threads in the settings.
fn run(
    settings: Settings,
    make_daemon: impl FnOnce(Settings) -> Result<Arc<daemon::Daemon>>,
) -> anyhow::Result<()> {
    let mut builder = match settings.threads {
        // On one thread, the tasks of a call run without waking another thread.
        1 => Builder::new_current_thread(),
        threads => {
            let mut builder = Builder::new_multi_thread();
            builder.worker_threads(threads as usize);
            builder
        }
    };
    let runtime = builder.enable_all().build().context("runtime")?;
    runtime.block_on(serve(settings, make_daemon))
}

async fn serve(
    settings: Settings,
    make_daemon: impl FnOnce(Settings) -> Result<Arc<daemon::Daemon>>,
) -> anyhow::Result<()> {
    let name = settings.name.clone().unwrap_or_else(|| "baobabd".into());
    logging::init(settings.log_level, settings.log_format, &name)?;
    let daemon = make_daemon(settings)?;
    // Installed before `Started` is logged: a reader of that line may stop the daemon at once.
    let terminate = signal(SignalKind::terminate()).context("signal handler")?;
    let interrupt = signal(SignalKind::interrupt()).context("signal handler")?;
    event!(
        Started,
        domain = daemon.identity.domain,
        region = daemon.identity.region,
        incarnation = daemon.identity.incarnation,
    );
    tokio::spawn(stop_on_signal(Arc::clone(&daemon), terminate, interrupt));
    tokio::spawn(reload_on_change(Arc::clone(&daemon)));
    kernel::run(daemon).await?;
    event!(Stopped);
    Ok(())
}

/// Reads the settings again on SIGHUP and periodically, and logs which have changed.
///
/// Changed [`RuntimeLimits`](daemon::RuntimeLimits) take effect immediately, the other settings at
/// the next start.
async fn reload_on_change(daemon: Arc<daemon::Daemon>) -> anyhow::Result<()> {
    let Some(reload) = daemon.reload.clone() else {
        return Ok(());
    };
    let mut hangup = signal(SignalKind::hangup()).context("signal handler")?;
    let mut current = reload()
        .inspect_err(|err| event!(SettingsRefused, fault = err))
        .ok();
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            () = tokio::time::sleep(RELOAD_INTERVAL) => {}
        }
        match reload() {
            Ok(read) if current.as_ref() == Some(&read) => {}
            Ok(read) => {
                let old = current.replace(read.clone()).unwrap_or_default();
                let differ = read
                    .iter()
                    .filter(|(name, value)| old.get(*name) != Some(value));
                let names: Vec<&str> = differ.map(|(name, _)| name.as_str()).collect();
                event!(SettingsRead, changed = names.join(","));
                match Settings::new(&Flags::default(), &with_environment(&read)) {
                    Ok(settings) => daemon.update_limits(&settings),
                    Err(err) => event!(SettingsRefused, fault = err),
                }
            }
            Err(err) => event!(SettingsRefused, fault = err),
        }
    }
}

/// Shuts the daemon down gracefully on SIGTERM or SIGINT.
async fn stop_on_signal(daemon: Arc<daemon::Daemon>, mut terminate: Signal, mut interrupt: Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    daemon.shut_down().await;
}
