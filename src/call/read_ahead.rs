//! Reading a response's body ahead of its receiver, and sending one body at a time.
//!
//! A backend server's slot is in use until its response has been read. A body that is read at the
//! pace of a slow link would keep the slot for as long as the transfer takes.
//!
//! Bodies that are sent at the same time share the link. Sent one after the other they take no longer
//! on average, and short responses pass between them instead of queueing behind them all.

use super::body::CutOffError;
use super::bulk::MIN_LEN;
use crate::serve::BodyError;
use http_body::{Body as HttpBody, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Bytes;
use std::collections::VecDeque;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::{Instant, sleep};

/// Longest part of one body that is read ahead, in bytes.
pub const MAX_BODY_LEN: u32 = 512 * 1024;

/// Greatest number of bytes read ahead in one process.
const MAX_TOTAL_LEN: usize = 16 * 1024 * 1024;

/// Longest frame that is passed on, in bytes. A longer one would be buffered in the connection, where
/// it no longer counts as waiting.
const MAX_FRAME_LEN: usize = 16 * 1024;

/// Bodies that are sent to other daemons at once: one uses the whole link.
const MAX_SENDING: usize = 1;

/// Longest time for which a body holds up others. A receiver that does not read must not stop them.
const MAX_SENDING_TIME: Duration = Duration::from_millis(200);

/// The limits that all bodies of one process share.
#[derive(Clone)]
pub struct Transfers {
    /// Bytes that may be read ahead.
    total: Arc<Semaphore>,
    /// Bodies that may be sent to other daemons.
    sending: Arc<Semaphore>,
}

impl Default for Transfers {
    fn default() -> Self {
        Transfers {
            total: Arc::new(Semaphore::new(MAX_TOTAL_LEN)),
            sending: Arc::new(Semaphore::new(MAX_SENDING)),
        }
    }
}

/// Where a body is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receiver {
    /// To this daemon's own outbound side, without a link.
    Local,
    /// To another daemon.
    Remote,
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
    body: OwnedSemaphorePermit,
    total: OwnedSemaphorePermit,
}

impl Reservation {
    fn release(&mut self, len: u32) {
        let len = usize::try_from(len).unwrap_or(usize::MAX);
        drop(self.body.split(len.min(self.body.num_permits())));
        drop(self.total.split(len.min(self.total.num_permits())));
    }
}

/// A body of which a task reads up to [`MAX_BODY_LEN`] bytes ahead.
pub struct ReadAhead {
    items: mpsc::UnboundedReceiver<Item>,
    /// The rest of the last frame, passed on in parts of [`MAX_FRAME_LEN`] bytes.
    rest: Option<(Bytes, Reservation)>,
    hint: SizeHint,
    ended: bool,
}

impl ReadAhead {
    /// Starts to read a body ahead. The body is dropped when it has ended, or soon after the returned
    /// one is dropped.
    pub fn start<B>(body: B, transfers: &Transfers, receiver: Receiver) -> Self
    where
        B: HttpBody<Data = Bytes, Error = BodyError> + Send + Unpin + 'static,
    {
        let (sender, items) = mpsc::unbounded_channel();
        let hint = body.size_hint();
        let reader = Reader {
            share: Arc::new(Semaphore::new(MAX_BODY_LEN as usize)),
            transfers: transfers.clone(),
            pending: VecDeque::new(),
        };
        tokio::spawn(async move {
            tokio::select! {
                () = reader.run(body, receiver, &sender) => {}
                () = sender.closed() => {}
            }
        });
        ReadAhead {
            items,
            rest: None,
            hint,
            ended: false,
        }
    }
}

/// The task that reads a body.
struct Reader {
    /// Bytes of this body that may be read ahead.
    share: Arc<Semaphore>,
    transfers: Transfers,
    /// What was read before the body may be sent.
    pending: VecDeque<Item>,
}

impl Reader {
    /// Reads a body to its end, and passes it on once it may be sent.
    async fn run<B>(mut self, mut body: B, receiver: Receiver, sender: &mpsc::UnboundedSender<Item>)
    where
        B: HttpBody<Data = Bytes, Error = BodyError> + Send + Unpin,
    {
        let mut turn = pin!(Arc::clone(&self.transfers.sending).acquire_owned());
        // A body of unknown length is mostly short, and waits for its turn only once it is not.
        let mut free_len = match body.size_hint().exact() {
            _ if receiver == Receiver::Local => u64::MAX,
            Some(len) if len > MIN_LEN => 0,
            _ => MIN_LEN,
        };
        let mut may_send = receiver == Receiver::Local;
        let mut permit = None;
        // A backend server that stops in the middle of a body must not hold up others either.
        let mut turn_end = pin!(sleep(MAX_SENDING_TIME));
        loop {
            let mut next = pin!(next_item(&mut body, &self.share, &self.transfers.total));
            let item = loop {
                tokio::select! {
                    biased;
                    granted = &mut turn, if !may_send && free_len == 0 => {
                        may_send = true;
                        permit = granted.ok();
                        turn_end.as_mut().reset(Instant::now() + MAX_SENDING_TIME);
                        pass_on(&mut self.pending, sender);
                    }
                    () = &mut turn_end, if permit.is_some() => permit = None,
                    item = &mut next => break item,
                }
            };
            let (ended, len) = match &item {
                Item::Frame { frame, .. } => (false, frame.data_ref().map_or(0, Bytes::len)),
                Item::Failed(_) | Item::End => (true, 0),
            };
            self.pending.push_back(item);
            if ended {
                break;
            }
            let was_free = free_len > 0;
            free_len = free_len.saturating_sub(len as u64);
            if may_send || was_free {
                pass_on(&mut self.pending, sender);
            }
        }
        // Frees the backend server while the body waits to be sent.
        drop(body);
        if !may_send && free_len == 0 {
            permit = turn.await.ok();
        }
        pass_on(&mut self.pending, sender);
        if permit.is_some() {
            // Others may send after that time whether the receiver has read everything or not.
            let read = self.share.acquire_many(MAX_BODY_LEN);
            let _ = tokio::time::timeout(MAX_SENDING_TIME, read).await;
        }
    }
}

fn pass_on(pending: &mut VecDeque<Item>, sender: &mpsc::UnboundedSender<Item>) {
    for item in pending.drain(..) {
        // Fails only if the receiver was dropped, which ends the task.
        let _ = sender.send(item);
    }
}

/// Reads the next frame of a body, once the limits allow for its bytes.
async fn next_item<B>(body: &mut B, share: &Arc<Semaphore>, total: &Arc<Semaphore>) -> Item
where
    B: HttpBody<Data = Bytes, Error = BodyError> + Send + Unpin,
{
    let frame = match body.frame().await {
        Some(Ok(frame)) => frame,
        Some(Err(err)) => return Item::Failed(err),
        None => return Item::End,
    };
    let len = frame.data_ref().map_or(0, Bytes::len);
    let len = u32::try_from(len).unwrap_or(u32::MAX).min(MAX_BODY_LEN);
    let reservation = Reservation {
        body: reserve(share, len).await,
        total: reserve(total, len).await,
    };
    Item::Frame { frame, reservation }
}

async fn reserve(bytes: &Arc<Semaphore>, len: u32) -> OwnedSemaphorePermit {
    let permit = Arc::clone(bytes).acquire_many_owned(len).await;
    permit.expect("the semaphore is never closed")
}

impl ReadAhead {
    /// Returns the next part of the last frame.
    fn next_part(&mut self) -> Option<Frame<Bytes>> {
        let (data, reservation) = self.rest.as_mut()?;
        let part = data.split_to(data.len().min(MAX_FRAME_LEN));
        let len = u32::try_from(part.len()).unwrap_or(u32::MAX);
        reservation.release(len);
        if data.is_empty() {
            self.rest = None;
        }
        if let Some(left) = self.hint.exact() {
            self.hint = SizeHint::with_exact(left.saturating_sub(u64::from(len)));
        }
        Some(Frame::data(part))
    }
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
        if let Some(part) = self.next_part() {
            return Poll::Ready(Some(Ok(part)));
        }
        let item = std::task::ready!(self.items.poll_recv(cx));
        Poll::Ready(match item {
            Some(Item::Frame { frame, reservation }) => Some(Ok(match frame.into_data() {
                Ok(data) => {
                    self.rest = Some((data, reservation));
                    self.next_part().unwrap_or(Frame::data(Bytes::new()))
                }
                Err(frame) => frame,
            })),
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
