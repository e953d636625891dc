//! Closing of connections whose peer may still send.
//!
//! A connection that is closed with unread bytes is reset, and what the peer has not received yet of the
//! last response is discarded. So the bytes that arrive behind it are read, and dropped, for a while.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Time without bytes after which the peer counts as having ended. What it has not received by then is
/// still sent, as nothing is left unread.
const QUIET_TIME: Duration = Duration::from_millis(500);

/// The longest time for which bytes of a peer are read that does not end.
const MAX_TIME: Duration = Duration::from_secs(10);

/// The halves of a connection's stream. The first is shared with those that wait for the peer's end.
pub(super) type Halves = (Arc<OwnedReadHalf>, OwnedWriteHalf);

/// A stream that is handed back when its connection has ended.
pub(super) struct ReturnedStream {
    /// Present until the value is dropped.
    halves: Option<Halves>,
    owner: Option<oneshot::Sender<Halves>>,
}

impl ReturnedStream {
    /// Wraps a stream; the receiver gets it back when the value is dropped.
    pub(super) fn new(halves: Halves) -> (Self, oneshot::Receiver<Halves>) {
        let (owner, returned) = oneshot::channel();
        let stream = ReturnedStream {
            halves: Some(halves),
            owner: Some(owner),
        };
        (stream, returned)
    }

    fn halves(&mut self) -> &mut Halves {
        let halves = self.halves.as_mut();
        halves.expect("the stream is present until the value is dropped")
    }

    fn writer(&mut self) -> Pin<&mut OwnedWriteHalf> {
        Pin::new(&mut self.halves().1)
    }
}

impl Drop for ReturnedStream {
    fn drop(&mut self) {
        if let (Some(halves), Some(owner)) = (self.halves.take(), self.owner.take()) {
            // Without a receiver, the stream is closed at once.
            let _ = owner.send(halves);
        }
    }
}

impl AsyncRead for ReturnedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (reader, _) = self.halves();
        let stream: &TcpStream = (**reader).as_ref();
        loop {
            ready!(stream.poll_read_ready(cx))?;
            match stream.try_read_buf(buf) {
                Ok(_) => return Poll::Ready(Ok(())),
                Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
                Err(err) => return Poll::Ready(Err(err)),
            }
        }
    }
}

impl AsyncWrite for ReturnedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.writer().poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.writer().poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.writer().poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.writer().poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}

/// Ends the stream for the peer, and reads what it still sends until it ends too or is quiet.
pub(super) async fn close((reader, mut writer): Halves) {
    // Fails if the connection is broken, which the first read finds too.
    let _ = writer.shutdown().await;
    let _ = timeout(MAX_TIME, discard(&reader)).await;
}

async fn discard(reader: &OwnedReadHalf) {
    let mut buffer = vec![0; 4 * 1024];
    while let Ok(Ok(())) = timeout(QUIET_TIME, reader.readable()).await {
        match reader.try_read(&mut buffer) {
            Ok(1..) => {}
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
            Ok(0) | Err(_) => return,
        }
    }
}
