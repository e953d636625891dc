//! Log output: one structured line for each event, with a rate limit.

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

/// The maximum rate of lines at level info and above, with a burst of one second's worth.
///
/// A line has about a hundred bytes.
const LINES_PER_SECOND: u32 = 100;

/// The maximum rate of lines below level info, such as those of successful calls.
const ROUTINE_LINES_PER_SECOND: u32 = 30;

/// The number of lines that wait for a slow reader before further ones are dropped.
const QUEUE_LEN: usize = 1_024;

/// The minimum time between two reports of dropped lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Time limit for writing the last lines of a process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// A message to the log writer thread.
enum Message {
    Text(String),
    /// A sender that is dropped once all earlier lines are written.
    Flush(SyncSender<()>),
}

static WRITER: OnceLock<SyncSender<Message>> = OnceLock::new();

/// The rate limits of log lines, and the count of dropped ones.
struct Quota {
    lines: TokenBucket,
    routine: TokenBucket,
    /// The number of lines dropped since the last report.
    dropped: u64,
    /// When dropped lines were last reported.
    reported: Instant,
}

impl Quota {
    fn new(now: Instant) -> Self {
        Quota {
            lines: TokenBucket::new(LINES_PER_SECOND, now),
            routine: TokenBucket::new(ROUTINE_LINES_PER_SECOND, now),
            dropped: 0,
            reported: now,
        }
    }

    /// Tests whether a line of a level is within the limits; counts it as dropped if not.
    fn allow(&mut self, level: log::Level, now: Instant) -> bool {
        let bucket = if level >= log::Level::Debug {
            &mut self.routine
        } else {
            &mut self.lines
        };
        let allowed = bucket.take(now);
        if !allowed {
            self.dropped += 1;
        }
        allowed
    }

    /// Returns the number of dropped lines when a report of them is due.
    fn due_report(&mut self, now: Instant) -> Option<u64> {
        let due = self.dropped > 0 && now.duration_since(self.reported) >= REPORT_INTERVAL;
        due.then(|| {
            self.reported = now;
            std::mem::take(&mut self.dropped)
        })
    }
}

/// Starts logging to standard output.
///
/// A separate thread writes the lines, so that a slow or closed reader does not block the daemon.
///
/// # Errors
///
/// Fails when a logger is already set or the thread cannot be started.
pub fn init(level: LevelFilter, format: LogFormat, name: &str) -> anyhow::Result<()> {
    let name = name.to_owned();
    let (sender, receiver) = sync_channel(QUEUE_LEN);
    // If a logger is already set, `apply` below fails.
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
            if quota.allow(record.level(), now)
                && sender
                    .try_send(Message::Text(record.args().to_string()))
                    .is_err()
            {
                quota.dropped += 1;
            }
            let dropped = quota.due_report(now);
            drop(quota);
            if let Some(count) = dropped {
                event!(LinesLeftOut, count = count);
            }
        }))
        .apply()
        .context("logger cannot be set")
}

/// Writes lines as they arrive; all that wait are written together.
fn write_lines(receiver: &Receiver<Message>) {
    while let Ok(first) = receiver.recv() {
        let mut text = String::new();
        let mut waiting = Vec::new();
        for message in std::iter::once(first).chain(receiver.try_iter()) {
            match message {
                Message::Text(line) => {
                    text.push_str(&line);
                    text.push('\n');
                }
                Message::Flush(done) => waiting.push(done),
            }
        }
        let mut out = std::io::stdout().lock();
        // A closed standard output must not stop the daemon.
        let _ = out.write_all(text.as_bytes());
        let _ = out.flush();
        // Dropping the senders wakes the callers of `flush`.
        drop(waiting);
    }
}

/// Waits until the lines logged so far are written, up to a short time limit.
pub fn flush() {
    let (done, written) = sync_channel(1);
    if let Some(writer) = WRITER.get()
        && writer.send(Message::Flush(done)).is_ok()
    {
        // On a timeout or a stopped writer, nothing more can be done.
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Formats a record of the daemon `name` as exactly one line, whatever its values contain.
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

/// Quotes a value that is empty or could be read as more than one word.
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
