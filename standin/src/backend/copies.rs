//! A stream whose writer sends each refusal once more, before the next response.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The start of a refusal.
const REFUSAL: &[u8] = b"HTTP/1.1 503";

/// A stream that may write each refusal twice. Each response is assumed to be written in one call.
pub(super) struct CopyingStream {
    stream: TcpStream,
    /// Whether refusals are copied.
    enabled: bool,
    /// The copy that is still to be written.
    copy: Vec<u8>,
}

impl CopyingStream {
    pub(super) fn new(stream: TcpStream, enabled: bool) -> Self {
        CopyingStream {
            stream,
            enabled,
            copy: Vec::new(),
        }
    }
}

impl AsyncRead for CopyingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CopyingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        while !this.copy.is_empty() {
            let len = ready!(Pin::new(&mut this.stream).poll_write(cx, &this.copy))?;
            this.copy.drain(..len);
        }
        let len = ready!(Pin::new(&mut this.stream).poll_write(cx, buf))?;
        if this.enabled && buf.starts_with(REFUSAL) {
            this.copy = buf[..len].to_vec();
        }
        Poll::Ready(Ok(len))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
