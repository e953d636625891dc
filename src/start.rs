//! The start of the daemon's process.

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

/// The exit code for settings that are not valid.
pub const EXIT_SETTINGS: u8 = 2;

/// Time between looks at settings that may change without a signal.
const RELOAD_EVERY: Duration = Duration::from_secs(5);

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
    finish(run(settings, daemon::Daemon::new))
}

/// Runs the daemon at a site that an adapter describes, with these variables, to its end.
#[must_use]
pub fn main_at(
    described: &BTreeMap<String, String>,
    describe: impl FnOnce(&Settings) -> Result<Site>,
) -> ExitCode {
    let settings = match Settings::new(&Flags::default(), &over(described)) {
        Ok(settings) => settings,
        Err(err) => {
            refuse(&err.to_string());
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    finish(run(settings, |settings| {
        let site = describe(&settings)?;
        daemon::Daemon::at(settings, site)
    }))
}

/// Returns the variables of an adapter with those of the process over them.
fn over(described: &BTreeMap<String, String>) -> BTreeMap<String, String> {
    let mut all = described.clone();
    all.extend(variables());
    all
}

fn finish(ended: anyhow::Result<()>) -> ExitCode {
    logging::flush();
    match ended {
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
    logging::flush();
}

/// Runs the daemon on as many threads as the settings say.
fn run(
    settings: Settings,
    make: impl FnOnce(Settings) -> Result<Arc<daemon::Daemon>>,
) -> anyhow::Result<()> {
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
    runtime.block_on(serve(settings, make))
}

async fn serve(
    settings: Settings,
    make: impl FnOnce(Settings) -> Result<Arc<daemon::Daemon>>,
) -> anyhow::Result<()> {
    let name = settings.name.clone().unwrap_or_else(|| "baobabd".into());
    logging::init(settings.log_level, settings.log_format, &name)?;
    let daemon = make(settings)?;
    // Whoever reads that the daemon has started may tell it to stop at once.
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

/// Reads the settings again at the signal for it and now and then, and says what has changed.
///
/// Times and limits take effect at once, addresses and names at the next start.
async fn reload_on_change(daemon: Arc<daemon::Daemon>) -> anyhow::Result<()> {
    let Some(reload) = daemon.reload.clone() else {
        return Ok(());
    };
    let mut hangup = signal(SignalKind::hangup()).context("signal handler")?;
    let mut known = reload()
        .inspect_err(|err| event!(SettingsRefused, fault = err))
        .ok();
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            () = tokio::time::sleep(RELOAD_EVERY) => {}
        }
        match reload() {
            Ok(read) if known.as_ref() == Some(&read) => {}
            Ok(read) => {
                let old = known.replace(read.clone()).unwrap_or_default();
                let differ = read
                    .iter()
                    .filter(|(name, value)| old.get(*name) != Some(value));
                let names: Vec<&str> = differ.map(|(name, _)| name.as_str()).collect();
                event!(SettingsRead, changed = names.join(","));
                match Settings::new(&Flags::default(), &over(&read)) {
                    Ok(settings) => daemon.tune(&settings),
                    Err(err) => event!(SettingsRefused, fault = err),
                }
            }
            Err(err) => event!(SettingsRefused, fault = err),
        }
    }
}

/// Lets calls in flight end once the process is told to terminate.
async fn stop_on_signal(daemon: Arc<daemon::Daemon>, mut terminate: Signal, mut interrupt: Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    daemon.shut_down().await;
}
