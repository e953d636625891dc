//! The responses of the backend server stand-in.

use super::record::{OpenRun, RunEnd};
use super::{Fault, Report, Shared};
use anyhow::bail;
use baobabstage::sync::lock;
use bytes::Bytes;
use futures_util::stream;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Incoming;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// Length of a chunk of a response body, in bytes.
const CHUNK_LEN: usize = 16 * 1024;

/// The end of the paths of calls that end the server.
const CRASH_PATH: &str = "/crash";

/// Deadline of calls without the `x-baobab-deadline-ms` header.
const DEFAULT_DEADLINE: Duration = Duration::from_hours(1);

type Body = UnsyncBoxBody<Bytes, io::Error>;

/// The state that the health and load endpoints report.
#[derive(Clone, Copy, Default)]
pub(super) struct Load {
    healthy: bool,
    running: u32,
    waiting: u32,
}

/// Increments a counter until it is dropped.
struct CountGuard<'a>(&'a AtomicU32);

impl<'a> CountGuard<'a> {
    fn new(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        CountGuard(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Shared {
    /// Responds to a call, or to a request for the health or the load.
    ///
    /// An error closes the connection without a response.
    pub(super) async fn respond(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> anyhow::Result<Response<Body>> {
        match request.uri().path() {
            "/health" => return Ok(self.health()),
            "/load" => return Ok(self.load_page()),
            _ => {}
        }
        let id = text(request.headers(), "x-request-id").to_owned();
        let deadline = deadline(request.headers());
        let waiting = CountGuard::new(&self.waiting);
        // `waiting` already includes this call.
        let queue = self.behaviour.borrow().queue as usize;
        let free = self.slots.available_permits();
        if self.waiting.load(Ordering::Relaxed) as usize > free + queue {
            self.shed.fetch_add(1, Ordering::Relaxed);
            return Ok(refusal("shed"));
        }
        let Ok(slot) = timeout_at(deadline, self.slots.acquire()).await else {
            return Ok(refusal("deadline passed before the start"));
        };
        let _slot = slot?;
        drop(waiting);
        let _running = CountGuard::new(&self.running);
        let run = self.run_log.start(&id, &self.name);
        let path = request.uri().path().to_owned();
        let body = request.into_body().collect().await?.to_bytes();
        self.work(run, deadline, &id, &path, body.len()).await
    }

    /// Does the work of a run and injects the fault of its response.
    async fn work(
        &self,
        run: OpenRun,
        deadline: Instant,
        id: &str,
        path: &str,
        len: usize,
    ) -> anyhow::Result<Response<Body>> {
        let fault = self.fault();
        let work = self.work_time();
        // Even the shortest sleep takes a tick of the runtime's timer, so zero work does not sleep.
        if !work.is_zero() && timeout_at(deadline, sleep(work)).await.is_err() {
            run.end(RunEnd::Expired);
            return Ok(plain(StatusCode::GATEWAY_TIMEOUT, "deadline passed\n"));
        }
        if path.ends_with(CRASH_PATH) {
            run.end(RunEnd::Crashed);
            self.stopped.send_replace(true);
            // The connection ends with the server, before a response.
            return std::future::pending().await;
        }
        let mut response_id = id.to_owned();
        match fault {
            Fault::Stuck => std::future::pending().await,
            Fault::Late(time) => sleep(time).await,
            Fault::Crossed => response_id = self.other_id(id),
            Fault::Lost => {
                run.end(RunEnd::Done);
                bail!("response lost");
            }
            Fault::None | Fault::Truncated | Fault::RefusalCopied => {}
        }
        id.clone_into(&mut lock(&self.last_id));
        run.end(RunEnd::Done);
        let body = match requested_len(path) {
            Some(len) => pattern(len),
            None => format!("{} {response_id} {len}\n", self.name).into(),
        };
        let truncated = fault == Fault::Truncated;
        let chunk_delay = self.behaviour.borrow().chunk_delay;
        let mut response = Response::builder().header("x-request-id", &response_id);
        if self.behaviour.borrow().report_load {
            response = response.header("x-baobab-load", self.load_text());
        }
        if self.behaviour.borrow().leaving {
            response = response.header("x-leaving", 1);
        }
        if let Some(rate) = self.behaviour.borrow().rate_limit {
            response = response.header("x-rate-limit", rate);
        }
        Ok(response.body(streamed(body, chunk_delay, truncated))?)
    }

    /// Returns the id of the previous call, or a fixed one if there is none.
    fn other_id(&self, id: &str) -> String {
        let last = lock(&self.last_id).clone();
        if last.is_empty() || last == id {
            "another-call".into()
        } else {
            last
        }
    }

    /// Returns the value of the `x-baobab-load` header: running, waiting and slots.
    fn load_text(&self) -> String {
        let load = self.load();
        let slots = self.behaviour.borrow().slots;
        format!("{}/{}/{slots}", load.running, load.waiting)
    }

    /// Returns the actual load.
    fn load(&self) -> Load {
        Load {
            healthy: !self.behaviour.borrow().draining,
            running: self.running.load(Ordering::Relaxed),
            waiting: self.waiting.load(Ordering::Relaxed),
        }
    }

    /// Returns the load that the endpoints report.
    fn reported(&self) -> Load {
        let report = self.behaviour.borrow().report;
        let now = Instant::now();
        let mut previous = lock(&self.reported);
        match report {
            Report::Actual => self.load(),
            Report::Idle => Load {
                healthy: true,
                ..Load::default()
            },
            Report::Unhealthy => Load::default(),
            Report::Lag(lag) => match *previous {
                Some((at, load)) if now - at < lag => load,
                _ => {
                    let load = self.load();
                    *previous = Some((now, load));
                    load
                }
            },
        }
    }

    fn health(&self) -> Response<Body> {
        if self.reported().healthy {
            plain(StatusCode::OK, "ok\n")
        } else if self.behaviour.borrow().report == Report::Unhealthy {
            plain(StatusCode::SERVICE_UNAVAILABLE, "sick\n")
        } else {
            plain(StatusCode::SERVICE_UNAVAILABLE, "draining\n")
        }
    }

    fn load_page(&self) -> Response<Body> {
        let load = self.reported();
        let page = serde_json::json!({
            "running": load.running,
            "waiting": load.waiting,
            "slots": self.behaviour.borrow().slots,
        });
        plain(StatusCode::OK, &page.to_string())
    }
}

/// Returns the response body of a call to `/bytes/N`: the bytes 0 to 250, repeated.
#[must_use]
pub fn pattern(len: usize) -> Bytes {
    (0..=250).cycle().take(len).collect::<Vec<u8>>().into()
}

/// Returns N of a path that ends in `/bytes/N`.
fn requested_len(path: &str) -> Option<usize> {
    let (_, len) = path.rsplit_once("/bytes/")?;
    len.parse().ok()
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

fn deadline(headers: &HeaderMap) -> Instant {
    let remaining = text(headers, "x-baobab-deadline-ms").parse().ok();
    Instant::now() + remaining.map_or(DEFAULT_DEADLINE, Duration::from_millis)
}

/// Creates a body of chunks with a delay between them; a truncated one fails half-way.
fn streamed(content: Bytes, chunk_delay: Duration, truncated: bool) -> Body {
    let end = if truncated {
        content.len() / 2
    } else {
        content.len()
    };
    let first = (content, 0, false);
    let chunks = stream::unfold(first, move |(content, at, failed)| async move {
        if failed || (at >= end && !truncated) {
            return None;
        }
        if at >= end {
            let err = io::Error::other("truncated");
            return Some((Err(err), (content, at, true)));
        }
        if at > 0 && !chunk_delay.is_zero() {
            sleep(chunk_delay).await;
        }
        let next = (at + CHUNK_LEN).min(end);
        let chunk = content.slice(at..next);
        Some((Ok(Frame::data(chunk)), (content, next, false)))
    });
    StreamBody::new(chunks).boxed_unsync()
}

fn plain(status: StatusCode, text: &str) -> Response<Body> {
    let body = streamed(text.to_owned().into(), Duration::ZERO, false);
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

fn refusal(reason: &str) -> Response<Body> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, &format!("{reason}\n"));
    response.headers_mut().insert("retry-after", 1.into());
    response
}
