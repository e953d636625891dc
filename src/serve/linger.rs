//! Closing of connections whose peer may still send.
//!
//! A connection that is closed with unread bytes is reset, and what the peer has not received yet of the
//! last response is discarded. So the bytes that arrive behind it are read, and dropped, for a while.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Time without bytes after which the peer counts as having ended. What it has not received by then is
/// still sent, as nothing is left unread.
const QUIET_TIME: Duration = Duration::from_millis(500);

/// The longest time for which bytes of a peer are read that does not end.
const MAX_TIME: Duration = Duration::from_secs(10);

/// A stream that is handed back when its connection has ended.
pub(super) struct ReturnedStream {
    /// Present until the value is dropped.
    stream: Option<TcpStream>,
    owner: Option<oneshot::Sender<TcpStream>>,
}

impl ReturnedStream {
    /// Wraps a stream; the receiver gets it back when the value is dropped.
    pub(super) fn new(stream: TcpStream) -> (Self, oneshot::Receiver<TcpStream>) {
        let (owner, returned) = oneshot::channel();
        let stream = ReturnedStream {
            stream: Some(stream),
            owner: Some(owner),
        };
        (stream, returned)
    }

    fn stream(&mut self) -> Pin<&mut TcpStream> {
        let stream = self.stream.as_mut();
        Pin::new(stream.expect("the stream is present until the value is dropped"))
    }
}

impl Drop for ReturnedStream {
    fn drop(&mut self) {
        if let (Some(stream), Some(owner)) = (self.stream.take(), self.owner.take()) {
            // Without a receiver, the stream is closed at once.
            let _ = owner.send(stream);
        }
    }
}

impl AsyncRead for ReturnedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.stream().poll_read(cx, buf)
    }
}

impl AsyncWrite for ReturnedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.stream().poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream().poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.stream().poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}

/// Ends the stream for the peer, and reads what it still sends until it ends too or is quiet.
pub(super) async fn close(mut stream: TcpStream) {
    // Fails if the connection is broken, which the first read finds too.
    let _ = stream.shutdown().await;
    let _ = timeout(MAX_TIME, discard(&mut stream)).await;
}

async fn discard(stream: &mut TcpStream) {
    let mut buffer = vec![0; 4 * 1024];
    while let Ok(Ok(1..)) = timeout(QUIET_TIME, stream.read(&mut buffer)).await {}
}
