//! Showing resources and their differences as they come.

use super::http_client::{HttpClient, Reply};
use super::{Exit, Flags, Output, error_of, table, write_text};
use crate::error::{Category, Error, Result};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;
use std::time::Duration;
use tokio::time::sleep;

const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time without a line after which a stream counts as broken.
const SILENCE: Duration = Duration::from_secs(30);

/// Greatest length of a line, in bytes.
const MAX_LINE_LEN: usize = 64 * 1024 * 1024;

/// Shows lines until enough are shown; a stream that ends is opened again at the next daemon.
///
/// # Errors
///
/// Fails when the first stream cannot be opened, or a daemon refuses the request.
pub async fn run(
    flags: &Flags,
    client: &HttpClient,
    path: &str,
    lines: Option<u64>,
) -> Result<Exit> {
    let mut screen = Screen {
        output: flags.output,
        version: None,
        left: lines,
    };
    let mut connected = false;
    loop {
        match client.stream(path).await {
            Ok(answer) if answer.status().is_success() => {
                connected = true;
                if follow(answer.into_body(), &mut screen).await? {
                    return Ok(Exit::Done);
                }
            }
            Ok(answer) => {
                let status = answer.status();
                let body = answer.into_body().collect().await;
                let body = body.map_err(|err| Error::new(Category::Unavailable, err))?;
                let body = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
                let lost = false;
                return Err(error_of(&Reply { status, body, lost }));
            }
            Err(err) if !connected => return Err(err),
            Err(_) => {}
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Shows the lines of a stream; returns true when enough are shown.
async fn follow(mut body: Incoming, screen: &mut Screen) -> Result<bool> {
    let mut rest = Vec::new();
    while let Ok(Some(Ok(frame))) = tokio::time::timeout(SILENCE, body.frame()).await {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        rest.extend_from_slice(&data);
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = rest.drain(..=end).collect();
            if let Ok(line) = serde_json::from_slice(&line)
                && screen.show(&line)?
            {
                return Ok(true);
            }
        }
        if rest.len() > MAX_LINE_LEN {
            return Ok(false);
        }
    }
    Ok(false)
}

struct Screen {
    output: Output,
    /// The newest version shown; nothing older is shown after it.
    version: Option<u64>,
    left: Option<u64>,
}

impl Screen {
    /// Shows a line unless it is old; returns true when it was the last one wanted.
    fn show(&mut self, line: &Value) -> Result<bool> {
        let version = line["version"].as_u64();
        let is_content = line["type"] == "present" || line["type"] == "changed";
        if !is_content || (version.is_some() && version <= self.version) {
            return Ok(false);
        }
        self.version = version;
        match self.output {
            Output::Json => write_text(&format!("{line}\n"))?,
            Output::Table => write_text(&table::render(line))?,
        }
        self.left = self.left.map(|left| left.saturating_sub(1));
        Ok(self.left == Some(0))
    }
}
