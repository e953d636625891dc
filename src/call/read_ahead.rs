//! Reading a response's body ahead of its receiver.
//!
//! A backend server's slot is in use until its response has been read. A body that is read at the
//! pace of a slow link would keep the slot for as long as the transfer takes.

use super::body::CutOffError;
use crate::serve::BodyError;
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Bytes;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

/// Longest part of one body that is read ahead, in bytes.
pub const MAX_BODY_LEN: usize = 512 * 1024;

/// Greatest number of bytes read ahead in one process.
const MAX_TOTAL_LEN: usize = 16 * 1024 * 1024;

/// Bytes that all bodies of one process may read ahead.
#[derive(Clone)]
pub struct ReadAheadLimit(Arc<Semaphore>);

impl Default for ReadAheadLimit {
    fn default() -> Self {
        ReadAheadLimit(Arc::new(Semaphore::new(MAX_TOTAL_LEN)))
    }
}

/// What the reading task sends to the receiver.
enum Item {
    Frame {
        frame: Frame<Bytes>,
        reservation: Reservation,
    },
    Failed(BodyError),
    /// The body is complete.
    End,
}

/// The bytes that a frame occupies, of its body's share and of the process's.
struct Reservation {
    _body: OwnedSemaphorePermit,
    _total: OwnedSemaphorePermit,
}

/// A body of which a task reads up to [`MAX_BODY_LEN`] bytes ahead.
pub struct ReadAhead {
    items: mpsc::UnboundedReceiver<Item>,
    hint: SizeHint,
    ended: bool,
}

impl ReadAhead {
    /// Starts to read a body ahead. The body is dropped when it has ended, or soon after the returned
    /// one is dropped.
    pub fn start<B>(body: B, limit: &ReadAheadLimit) -> Self
    where
        B: HttpBody<Data = Bytes, Error = BodyError> + Send + Unpin + 'static,
    {
        let (sender, items) = mpsc::unbounded_channel();
        let hint = body.size_hint();
        tokio::spawn(read(body, sender, limit.clone()));
        ReadAhead {
            items,
            hint,
            ended: false,
        }
    }
}

/// Reads a body to its end, or until it fails or its receiver is dropped.
async fn read<B>(body: B, sender: mpsc::UnboundedSender<Item>, limit: ReadAheadLimit)
where
    B: HttpBody<Data = Bytes, Error = BodyError> + Send + Unpin,
{
    let last = tokio::select! {
        last = read_frames(body, &sender, limit) => last,
        () = sender.closed() => return,
    };
    // Fails only if the receiver was dropped.
    let _ = sender.send(last);
}

async fn read_frames<B>(
    mut body: B,
    sender: &mpsc::UnboundedSender<Item>,
    limit: ReadAheadLimit,
) -> Item
where
    B: HttpBody<Data = Bytes, Error = BodyError> + Send + Unpin,
{
    let share = Arc::new(Semaphore::new(MAX_BODY_LEN));
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(err) => return Item::Failed(err),
        };
        let len = frame.data_ref().map_or(0, Bytes::len).min(MAX_BODY_LEN);
        let len = u32::try_from(len).unwrap_or(u32::MAX);
        let reservation = Reservation {
            _body: reserve(&share, len).await,
            _total: reserve(&limit.0, len).await,
        };
        // Fails only if the receiver was dropped, which ends this task.
        let _ = sender.send(Item::Frame { frame, reservation });
        if body.is_end_stream() {
            break;
        }
    }
    Item::End
}

async fn reserve(bytes: &Arc<Semaphore>, len: u32) -> OwnedSemaphorePermit {
    let permit = Arc::clone(bytes).acquire_many_owned(len).await;
    permit.expect("the semaphore is never closed")
}

impl HttpBody for ReadAhead {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let item = std::task::ready!(self.items.poll_recv(cx));
        Poll::Ready(match item {
            Some(Item::Frame { frame, reservation }) => {
                drop(reservation);
                let len = frame.data_ref().map_or(0, Bytes::len) as u64;
                if let Some(left) = self.hint.exact() {
                    self.hint = SizeHint::with_exact(left.saturating_sub(len));
                }
                Some(Ok(frame))
            }
            Some(Item::End) => {
                self.ended = true;
                None
            }
            Some(Item::Failed(err)) => {
                self.ended = true;
                Some(Err(err))
            }
            // The task has ended without a statement about the rest of the body.
            None => {
                self.ended = true;
                Some(Err(CutOffError::Interrupted.into()))
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }

    fn size_hint(&self) -> SizeHint {
        self.hint
    }
}
