//! Prints resources and their changes as a daemon streams them.

use super::http_client::{HttpClient, Reply};
use super::{Exit, Flags, Output, api_error, table, write_text};
use crate::error::{Category, Error, Result};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;
use std::time::Duration;
use tokio::time::sleep;

/// Delay before a stream is reopened.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time without data after which a stream is considered broken. Daemons send a line at least every
/// ten seconds.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum length of a line, in bytes. A longer one closes the stream, which is then reopened.
const MAX_LINE_LEN: usize = 64 * 1024 * 1024;

/// Prints the lines of a stream, up to `lines` of them if set. A stream that ends is reopened at
/// the first daemon that responds.
///
/// # Errors
///
/// Fails when the first stream cannot be opened, when a daemon refuses the request, or when the
/// output cannot be written.
pub async fn run(
    flags: &Flags,
    client: &HttpClient,
    path: &str,
    lines: Option<u64>,
) -> Result<Exit> {
    let mut printer = Printer {
        output: flags.output,
        version: None,
        remaining: lines,
    };
    let mut connected = false;
    loop {
        match client.stream(path).await {
            Ok(response) if response.status().is_success() => {
                connected = true;
                if print_lines(response.into_body(), &mut printer).await? {
                    return Ok(Exit::Done);
                }
            }
            Ok(response) => {
                let status = response.status();
                let body = response.into_body().collect().await;
                let body = body.map_err(|err| Error::new(Category::Unavailable, err))?;
                let body = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
                return Err(api_error(&Reply {
                    status,
                    body,
                    lost_response: false,
                }));
            }
            Err(err) if !connected => return Err(err),
            Err(_) => {}
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Prints the lines of a stream; those that are not JSON are skipped.
///
/// Returns whether the limit on lines is reached.
async fn print_lines(mut body: Incoming, printer: &mut Printer) -> Result<bool> {
    let mut buffer = Vec::new();
    while let Ok(Some(Ok(frame))) = tokio::time::timeout(IDLE_TIMEOUT, body.frame()).await {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        buffer.extend_from_slice(&data);
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            if let Ok(line) = serde_json::from_slice(&line)
                && printer.print(&line)?
            {
                return Ok(true);
            }
        }
        if buffer.len() > MAX_LINE_LEN {
            return Ok(false);
        }
    }
    Ok(false)
}

/// Prints each version once, up to a number of lines.
struct Printer {
    output: Output,
    /// The newest version printed; lines of the same or an older version are skipped.
    version: Option<u64>,
    /// Lines still to print; `None` for no limit.
    remaining: Option<u64>,
}

impl Printer {
    /// Prints a line with resources unless its version is not newer; other lines are skipped.
    ///
    /// Returns whether the limit on lines is reached.
    fn print(&mut self, line: &Value) -> Result<bool> {
        let version = line["version"].as_u64();
        // Heartbeats and the end of a stream have no resources.
        let has_resources = line["type"] == "present" || line["type"] == "changed";
        if !has_resources || (version.is_some() && version <= self.version) {
            return Ok(false);
        }
        self.version = version;
        match self.output {
            Output::Json => write_text(&format!("{line}\n"))?,
            Output::Table => write_text(&table::render(line))?,
        }
        self.remaining = self.remaining.map(|count| count.saturating_sub(1));
        Ok(self.remaining == Some(0))
    }
}
