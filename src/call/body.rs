//! Bodies of proxied requests and responses: guards, deadlines, length limits, and replay.

use crate::serve::{Body, BodyError, full_body};
use crate::sync::lock;
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Bytes;
use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use tokio::time::{Instant, Sleep};

/// Longest request body that can be replayed, in bytes; a longer one allows no further attempt.
pub const MAX_REPLAY_LEN: usize = 64 * 1024;

/// The reason for which a body was cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CutOffError {
    /// The call's deadline has passed.
    #[error("deadline has passed")]
    Deadline,
    /// The body is longer than the policy allows.
    #[error("body is longer than {0} bytes")]
    TooLong(u64),
    /// An earlier attempt consumed the body, or it is too long to be replayed.
    #[error("body cannot be sent again")]
    Spent,
    /// The task that reads the body has ended early.
    #[error("reading the body was interrupted")]
    Interrupted,
}

/// A body that holds a guard, such as a permit, until its end and is cut off at a deadline.
pub struct Guarded<B, G> {
    body: B,
    guard: Option<G>,
    deadline: Instant,
    /// Created when the body is first pending.
    timer: Option<Pin<Box<Sleep>>>,
}

impl<B, G> Guarded<B, G> {
    /// Creates a guarded body; the guard is dropped when the body ends, fails, or is cut off.
    pub fn new(body: B, guard: G, deadline: Instant) -> Self {
        Guarded {
            body,
            guard: Some(guard),
            deadline,
            timer: None,
        }
    }

    fn has_expired(&mut self, cx: &mut Context<'_>) -> bool {
        let deadline = self.deadline;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(deadline)));
        timer.as_mut().poll(cx).is_ready()
    }
}

impl<B, G> HttpBody for Guarded<B, G>
where
    B: HttpBody<Data = Bytes> + Unpin,
    B::Error: Into<BodyError>,
    G: Unpin,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = &mut *self;
        let frame = Pin::new(&mut this.body).poll_frame(cx);
        match &frame {
            Poll::Pending if this.guard.is_some() && this.has_expired(cx) => {
                this.guard = None;
                return Poll::Ready(Some(Err(CutOffError::Deadline.into())));
            }
            Poll::Ready(None | Some(Err(_))) => this.guard = None,
            Poll::Ready(Some(Ok(_))) if this.body.is_end_stream() => this.guard = None,
            _ => {}
        }
        frame.map_err(Into::into)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A request's body that is buffered up to [`MAX_REPLAY_LEN`], so that a retry can send it again.
#[derive(Clone)]
pub struct Replay {
    /// `None` if the body is empty.
    source: Option<Arc<Mutex<Source>>>,
}

/// The request's body and the part of it that has been read, shared by all attempts.
struct Source {
    body: Body,
    /// Greatest length of the body, in bytes.
    limit: u64,
    /// Bytes read from the body so far.
    read: u64,
    /// The frames read so far, until the body is spent.
    buffered: VecDeque<Frame<Bytes>>,
    /// The body exceeds [`MAX_REPLAY_LEN`] and can no longer be replayed.
    spent: bool,
    ended: bool,
    /// The caller cut the body off or exceeded the limit.
    failed: bool,
    /// The attempt that may read; bodies of earlier attempts may still be polled.
    attempt: u32,
}

impl Replay {
    /// Creates a replayable body that fails beyond `limit` bytes.
    #[must_use]
    pub fn new(body: Body, limit: u64) -> Self {
        if body.is_end_stream() {
            return Replay { source: None };
        }
        let source = Source {
            body,
            limit,
            read: 0,
            buffered: VecDeque::new(),
            spent: false,
            ended: false,
            failed: false,
            attempt: 0,
        };
        Replay {
            source: Some(Arc::new(Mutex::new(source))),
        }
    }

    /// Tests whether another attempt can send the whole body.
    #[must_use]
    pub fn is_replayable(&self) -> bool {
        let source = self.source.as_ref();
        source.is_none_or(|source| {
            let source = lock(source);
            !source.spent && !source.failed
        })
    }

    /// Tests whether the caller cut the body off or exceeded the limit.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        let source = self.source.as_ref();
        source.is_some_and(|source| lock(source).failed)
    }

    /// Returns the body for the next attempt. Bodies of earlier attempts fail from now on.
    #[must_use]
    pub fn attempt(&self) -> Body {
        match &self.source {
            None => full_body(Bytes::new()),
            Some(source) => {
                let mut state = lock(source);
                state.attempt += 1;
                Body::new(Replaying {
                    source: Arc::clone(source),
                    attempt: state.attempt,
                    next: 0,
                })
            }
        }
    }
}

/// The body of one attempt: buffered frames first, then the rest of the source.
struct Replaying {
    source: Arc<Mutex<Source>>,
    attempt: u32,
    /// The index of the next frame of the body.
    next: usize,
}

impl Source {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let frame = std::task::ready!(Pin::new(&mut self.body).poll_frame(cx));
        match frame {
            None => {
                self.ended = true;
                Poll::Ready(None)
            }
            Some(Err(err)) => {
                self.failed = true;
                Poll::Ready(Some(Err(err)))
            }
            Some(Ok(frame)) => Poll::Ready(Some(self.buffer(frame))),
        }
    }

    fn buffer(&mut self, frame: Frame<Bytes>) -> Result<Frame<Bytes>, BodyError> {
        let len = frame.data_ref().map_or(0, Bytes::len);
        self.read += u64::try_from(len).unwrap_or(u64::MAX);
        if self.read > self.limit {
            self.failed = true;
            return Err(CutOffError::TooLong(self.limit).into());
        }
        if self.read > MAX_REPLAY_LEN as u64 {
            self.spent = true;
            self.buffered.clear();
        }
        if !self.spent {
            let copy = match frame.data_ref() {
                Some(data) => Some(Frame::data(data.clone())),
                None => frame.trailers_ref().cloned().map(Frame::trailers),
            };
            self.buffered.extend(copy);
        }
        Ok(frame)
    }
}

impl HttpBody for Replaying {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = &mut *self;
        let mut source = lock(&this.source);
        // Once the body is spent, its first frames are gone, so no attempt can start from them.
        if source.attempt != this.attempt || source.spent && this.next == 0 {
            return Poll::Ready(Some(Err(CutOffError::Spent.into())));
        }
        if let Some(frame) = source.buffered.get(this.next) {
            this.next += 1;
            let copy = match frame.data_ref() {
                Some(data) => Frame::data(data.clone()),
                None => Frame::trailers(frame.trailers_ref().cloned().unwrap_or_default()),
            };
            return Poll::Ready(Some(Ok(copy)));
        }
        let frame = source.poll(cx);
        if let Poll::Ready(Some(_)) = &frame {
            this.next += 1;
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        let source = lock(&self.source);
        source.ended && self.next >= source.buffered.len()
    }

    fn size_hint(&self) -> SizeHint {
        let source = lock(&self.source);
        let rest = source.body.size_hint();
        let buffered: usize = source
            .buffered
            .iter()
            .skip(self.next)
            .filter_map(Frame::data_ref)
            .map(Bytes::len)
            .sum();
        let buffered = buffered as u64;
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + buffered);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + buffered);
        }
        hint
    }
}

/// Reads a body up to its end or at least `limit` bytes, and returns the whole body with what was read.
///
/// # Errors
///
/// Fails if the body is cut off.
pub async fn prefetch(mut body: Body, limit: usize) -> Result<Prefixed, BodyError> {
    let mut frames = VecDeque::new();
    let mut len = 0;
    while len < limit
        && !body.is_end_stream()
        && let Some(frame) = body.frame().await
    {
        let frame = frame?;
        len += frame.data_ref().map_or(0, Bytes::len);
        frames.push_back(frame);
    }
    Ok(Prefixed::new(frames, body))
}

/// A body whose first frames have already been read.
pub struct Prefixed {
    frames: VecDeque<Frame<Bytes>>,
    rest: Body,
}

impl Prefixed {
    /// Creates a body from the frames read and the rest.
    #[must_use]
    pub fn new(frames: VecDeque<Frame<Bytes>>, rest: Body) -> Self {
        Prefixed { frames, rest }
    }

    /// Returns the data of the frames that have been read.
    pub fn data(&self) -> impl Iterator<Item = &Bytes> {
        self.frames.iter().filter_map(Frame::data_ref)
    }
}

impl HttpBody for Prefixed {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(frame) = self.frames.pop_front() {
            return Poll::Ready(Some(Ok(frame)));
        }
        Pin::new(&mut self.rest).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.frames.is_empty() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let read = self.frames.iter().filter_map(Frame::data_ref);
        let read = read.map(Bytes::len).sum::<usize>() as u64;
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + read);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + read);
        }
        hint
    }
}
