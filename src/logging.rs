//! Log lines: one structured line for each event.

use crate::event;
use crate::settings::LogFormat;
use crate::sync::lock;
use crate::tree::backoff::TokenBucket;
use anyhow::Context as _;
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use std::borrow::Cow;
use std::fmt::{Arguments, Write as _};
use std::io::Write as _;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Lines a second that a process writes of what goes wrong or changes, with one second's worth in
/// hand; about a hundred bytes each.
const LINES_PER_SECOND: u32 = 100;

/// Lines a second that a process writes of calls that went as they should.
const ROUTINE_LINES_PER_SECOND: u32 = 30;

/// Lines that wait for a slow reader before further ones are left out.
const QUEUE_LEN: usize = 1_024;

/// Time between two accounts of the lines that were left out.
const ACCOUNT_EVERY: Duration = Duration::from_secs(1);

/// Time for the last lines of a process to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// What the thread that writes the log is told.
enum Line {
    Text(String),
    /// Dropped once all before it is written.
    Flush(SyncSender<()>),
}

static WRITER: OnceLock<SyncSender<Line>> = OnceLock::new();

/// Which lines are written.
struct Quota {
    lines: TokenBucket,
    routine: TokenBucket,
    /// Lines left out since the last account of them.
    left_out: u64,
    accounted: Instant,
}

impl Quota {
    fn new(now: Instant) -> Self {
        Quota {
            lines: TokenBucket::new(LINES_PER_SECOND, now),
            routine: TokenBucket::new(ROUTINE_LINES_PER_SECOND, now),
            left_out: 0,
            accounted: now,
        }
    }

    /// Takes a line of a level; false when it is to be left out.
    fn take(&mut self, level: log::Level, now: Instant) -> bool {
        let bucket = if level >= log::Level::Debug {
            &mut self.routine
        } else {
            &mut self.lines
        };
        let taken = bucket.take(now);
        if !taken {
            self.left_out += 1;
        }
        taken
    }

    /// Returns the number of lines left out, when it is time to tell.
    fn account(&mut self, now: Instant) -> Option<u64> {
        let due = self.left_out > 0 && now.duration_since(self.accounted) >= ACCOUNT_EVERY;
        due.then(|| {
            self.accounted = now;
            std::mem::take(&mut self.left_out)
        })
    }
}

/// Sends log lines of this process to standard output, from a thread of their own: a reader that is
/// slow or gone delays no work.
///
/// # Errors
///
/// Fails when a logger is already set or the thread cannot be started.
pub fn init(level: LevelFilter, format: LogFormat, name: &str) -> anyhow::Result<()> {
    let name = name.to_owned();
    let (sender, receiver) = sync_channel(QUEUE_LEN);
    // Another logger that is set already is told of below.
    let _ = WRITER.set(sender.clone());
    std::thread::Builder::new()
        .name("log".into())
        .spawn(move || write_lines(&receiver))
        .context("log thread")?;
    let quota = Mutex::new(Quota::new(Instant::now()));
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("baobabstage", level)
        .format(move |out, message, record| {
            out.finish(format_args!("{}", line(format, &name, message, record)));
        })
        .chain(fern::Output::call(move |record| {
            let now = Instant::now();
            let mut quota = lock(&quota);
            if quota.take(record.level(), now)
                && sender
                    .try_send(Line::Text(record.args().to_string()))
                    .is_err()
            {
                quota.left_out += 1;
            }
            let left_out = quota.account(now);
            drop(quota);
            if let Some(count) = left_out {
                event!(LinesLeftOut, count = count);
            }
        }))
        .apply()
        .context("logger cannot be set")
}

/// Writes lines as they come, several at a time when they come fast.
fn write_lines(receiver: &Receiver<Line>) {
    while let Ok(first) = receiver.recv() {
        let mut text = String::new();
        let mut waiting = Vec::new();
        for line in std::iter::once(first).chain(receiver.try_iter()) {
            match line {
                Line::Text(line) => {
                    text.push_str(&line);
                    text.push('\n');
                }
                Line::Flush(done) => waiting.push(done),
            }
        }
        let mut out = std::io::stdout().lock();
        // A log that nobody reads any more must not end the work at hand.
        let _ = out.write_all(text.as_bytes());
        let _ = out.flush();
        // Dropping the senders wakes those who wait.
        drop(waiting);
    }
}

/// Waits until the lines logged so far are written, for a short time at most.
pub fn flush() {
    let (done, written) = sync_channel(1);
    if let Some(writer) = WRITER.get()
        && writer.send(Line::Flush(done)).is_ok()
    {
        // The time may be up, or the writer be gone: nothing more can be done.
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
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
