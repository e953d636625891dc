//! Log lines: one structured line for each event.

use crate::settings::LogFormat;
use anyhow::Context as _;
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use std::borrow::Cow;
use std::fmt::{Arguments, Write as _};
use std::io::Write as _;
use std::time::{SystemTime, UNIX_EPOCH};

/// Sends log lines of this process to standard error.
///
/// # Errors
///
/// Fails when a logger is already set.
pub fn init(level: LevelFilter, format: LogFormat, name: &str) -> anyhow::Result<()> {
    let name = name.to_owned();
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("baobabstage", level)
        .format(move |out, message, record| {
            out.finish(format_args!("{}", line(format, &name, message, record)));
        })
        .chain(fern::Output::call(|record| {
            // A log that nobody reads any more must not end the work at hand.
            let _ = writeln!(std::io::stderr(), "{}", record.args());
        }))
        .apply()
        .context("logger cannot be set")
}

/// Writes a record of the daemon named as one line, whatever its values hold.
#[must_use]
pub fn line(format: LogFormat, name: &str, message: &Arguments<'_>, record: &Record<'_>) -> String {
    match format {
        LogFormat::Text => text_line(name, message, record),
        LogFormat::Json => json_line(name, message, record),
    }
}

fn text_line(name: &str, message: &Arguments<'_>, record: &Record<'_>) -> String {
    let mut line = format!(
        "time_ms={} level={} daemon={name}",
        now_ms(),
        record.level()
    );
    for (key, value) in pairs(record) {
        // Writing to a string does not fail.
        let _ = write!(line, " {key}={}", quoted(&value));
    }
    let message = message.to_string();
    if !message.is_empty() {
        line.push(' ');
        line.extend(
            message
                .chars()
                .map(|c| if c.is_control() { ' ' } else { c }),
        );
    }
    line
}

/// Quotes a value that would not read as one word.
fn quoted(value: &str) -> Cow<'_, str> {
    let plain = |c: char| !c.is_control() && !c.is_whitespace() && !matches!(c, '"' | '=' | '\\');
    if !value.is_empty() && value.chars().all(plain) {
        Cow::Borrowed(value)
    } else {
        Cow::Owned(format!("{value:?}"))
    }
}

fn json_line(name: &str, message: &Arguments<'_>, record: &Record<'_>) -> String {
    let mut line = serde_json::json!({
        "time_ms": now_ms(),
        "level": record.level().as_str(),
        "daemon": name,
    });
    let message = message.to_string();
    if !message.is_empty() {
        line["detail"] = message.into();
    }
    for (key, value) in pairs(record) {
        line[key] = value.into();
    }
    line.to_string()
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
}

/// Returns the key-value pairs of a record, in the order in which they were logged.
fn pairs(record: &Record<'_>) -> Vec<(String, String)> {
    let mut pairs = Pairs::default();
    // The visitor itself never fails.
    let _ = record.key_values().visit(&mut pairs);
    pairs.found
}

#[derive(Default)]
struct Pairs {
    found: Vec<(String, String)>,
}

impl<'kvs> VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.found.push((key.to_string(), value.to_string()));
        Ok(())
    }
}
