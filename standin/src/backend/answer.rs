//! How a backend server answers a call.

use super::ledger::{Ending, Open};
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

const CHUNK_LEN: usize = 16 * 1024;
const DEFAULT_DEADLINE: Duration = Duration::from_hours(1);

type Body = UnsyncBoxBody<Bytes, io::Error>;

/// The state that the health and load endpoints tell.
#[derive(Clone, Copy, Default)]
pub(super) struct Load {
    healthy: bool,
    running: u32,
    waiting: u32,
}

/// Counts while it lives.
struct Counted<'a>(&'a AtomicU32);

impl<'a> Counted<'a> {
    fn new(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Counted(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Shared {
    pub(super) async fn answer(
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
        let waiting = Counted::new(&self.waiting);
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
        let _running = Counted::new(&self.running);
        let run = self.ledger.start(&id, &self.name);
        let path = request.uri().path().to_owned();
        let body = request.into_body().collect().await?.to_bytes();
        self.work(run, deadline, &id, &path, body.len()).await
    }

    async fn work(
        &self,
        run: Open,
        deadline: Instant,
        id: &str,
        path: &str,
        len: usize,
    ) -> anyhow::Result<Response<Body>> {
        let fault = self.fault();
        let work = self.work_time();
        // The shortest sleep takes a tick of the runtime's timer.
        if !work.is_zero() && timeout_at(deadline, sleep(work)).await.is_err() {
            run.end(Ending::Expired);
            return Ok(plain(StatusCode::GATEWAY_TIMEOUT, "deadline passed\n"));
        }
        let mut told = id.to_owned();
        match fault {
            Fault::Stuck => std::future::pending().await,
            Fault::Late(time) => sleep(time).await,
            Fault::Crossed => told = self.other_id(id),
            Fault::Lost => {
                run.end(Ending::Done);
                bail!("answer lost");
            }
            Fault::None | Fault::Truncated => {}
        }
        id.clone_into(&mut lock(&self.last_id));
        run.end(Ending::Done);
        let whole = match bytes_wanted(path) {
            Some(len) => pattern(len),
            None => format!("{} {told} {len}\n", self.name).into(),
        };
        let truncated = fault == Fault::Truncated;
        let pace = self.behaviour.borrow().pace;
        let mut answer = Response::builder().header("x-request-id", &told);
        if self.behaviour.borrow().tell_load {
            answer = answer.header("x-baobab-load", self.load_text());
        }
        Ok(answer.body(streamed(whole, pace, truncated))?)
    }

    /// Returns the id of the call answered before, or a made-up one.
    fn other_id(&self, id: &str) -> String {
        let last = lock(&self.last_id).clone();
        if last.is_empty() || last == id {
            "another-call".into()
        } else {
            last
        }
    }

    fn load_text(&self) -> String {
        let load = self.load();
        let slots = self.behaviour.borrow().slots;
        format!("{}/{}/{slots}", load.running, load.waiting)
    }

    fn load(&self) -> Load {
        Load {
            healthy: !self.behaviour.borrow().draining,
            running: self.running.load(Ordering::Relaxed),
            waiting: self.waiting.load(Ordering::Relaxed),
        }
    }

    /// Returns the load as the endpoints tell it.
    fn reported(&self) -> Load {
        let report = self.behaviour.borrow().report;
        let now = Instant::now();
        let mut kept = lock(&self.reported);
        match report {
            Report::Truth => self.load(),
            Report::Idle => Load {
                healthy: true,
                ..Load::default()
            },
            Report::Sick => Load::default(),
            Report::Lag(lag) => match *kept {
                Some((at, load)) if now - at < lag => load,
                _ => {
                    let load = self.load();
                    *kept = Some((now, load));
                    load
                }
            },
        }
    }

    fn health(&self) -> Response<Body> {
        if self.reported().healthy {
            plain(StatusCode::OK, "ok\n")
        } else if self.behaviour.borrow().report == Report::Sick {
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

/// Returns the bytes that a call to `/bytes/N` is answered with.
#[must_use]
pub fn pattern(len: usize) -> Bytes {
    (0..=250).cycle().take(len).collect::<Vec<u8>>().into()
}

fn bytes_wanted(path: &str) -> Option<usize> {
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
    let left = text(headers, "x-baobab-deadline-ms").parse().ok();
    Instant::now() + left.map_or(DEFAULT_DEADLINE, Duration::from_millis)
}

/// Makes a body of chunks; a truncated one breaks off half-way.
fn streamed(whole: Bytes, pace: Duration, truncated: bool) -> Body {
    let end = if truncated {
        whole.len() / 2
    } else {
        whole.len()
    };
    let first = (whole, 0, false);
    let chunks = stream::unfold(first, move |(whole, at, failed)| async move {
        if failed || (at >= end && !truncated) {
            return None;
        }
        if at >= end {
            let err = io::Error::other("truncated");
            return Some((Err(err), (whole, at, true)));
        }
        if at > 0 && !pace.is_zero() {
            sleep(pace).await;
        }
        let next = (at + CHUNK_LEN).min(end);
        let chunk = whole.slice(at..next);
        Some((Ok(Frame::data(chunk)), (whole, next, false)))
    });
    StreamBody::new(chunks).boxed_unsync()
}

fn plain(status: StatusCode, text: &str) -> Response<Body> {
    let body = streamed(text.to_owned().into(), Duration::ZERO, false);
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    answer
}

fn refusal(reason: &str) -> Response<Body> {
    let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE, &format!("{reason}\n"));
    answer.headers_mut().insert("retry-after", 1.into());
    answer
}
