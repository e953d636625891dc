//! The accept loop of the HTTP listeners.

mod disconnect;
mod linger;

use crate::daemon::{Drain, InFlightGuard, Phase, Socket};
use crate::event;
use disconnect::Disconnect;
use http::{Request, Response};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use linger::ReturnedStream;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// An error while a body is read.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// The body of a request or a response, streamed or complete.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Time for a client to send the head of a request, measured from the end of the previous one.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The same time limit on connections that carry calls. It also limits how long they may be idle,
/// so it is longer than any idle time announced to callers.
const CALL_HEAD_TIMEOUT: Duration = Duration::from_mins(2);

/// The maximum size of the head of a request, in bytes.
const MAX_HEAD_LEN: usize = 64 * 1024;

/// The maximum number of concurrent HTTP/2 streams of a connection.
const MAX_STREAMS: u32 = 1_024;

/// The HTTP/2 flow-control window of a stream, in bytes. Small, so that long bodies queue at the
/// sender and not on a slow link that they share with all other calls; between regions 24 ms apart
/// it still allows 0.7 MB/s.
const STREAM_WINDOW: u32 = 16 * 1024;

/// The HTTP/2 flow-control window of a connection, in bytes.
const CONNECTION_WINDOW: u32 = 64 * 1024;

/// When the end of a peer's stream ends the calls of its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerEnd {
    /// As soon as it arrives, though bytes before it are unread: the peer is a caller that has left.
    OnArrival,
    /// Once all bytes before it have been read: what a daemon sends before it closes is still handled.
    InOrder,
}

/// Creates a body from complete data.
#[must_use]
pub fn full_body(data: impl Into<Bytes>) -> Body {
    Full::new(data.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Creates a body that streams a received one.
#[must_use]
pub fn streaming_body(body: Incoming) -> Body {
    body.map_err(Into::into).boxed_unsync()
}

/// Accepts connections on a listener and serves their requests until the phase is reached.
///
/// Connections that are open then finish their current request and are closed gracefully.
///
/// # Errors
///
/// Fails when the listener cannot be used.
pub async fn serve<H, F>(
    socket: &Socket,
    drain: Drain,
    until: Phase,
    handler: H,
) -> anyhow::Result<()>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = socket.listener()?;
    let graceful = GracefulShutdown::new();
    accept(&listener, socket, &drain, until, |stream| {
        spawn_connection(stream, &graceful, None, PeerEnd::InOrder, handler.clone());
    })
    .await;
    drop(listener);
    graceful.shutdown().await;
    drain.reached(Phase::Stopped).await;
    Ok(())
}

/// Accepts connections that carry calls until the phase is [`Phase::Closing`].
///
/// Connections that are open when the phase `graceful_from` is reached are closed gracefully; those
/// opened later stay open, since calls in flight may make calls themselves.
///
/// # Errors
///
/// Fails when the listener cannot be used.
pub async fn serve_calls<H, F>(
    socket: &Socket,
    drain: Drain,
    graceful_from: Phase,
    peer_end: PeerEnd,
    handler: H,
) -> anyhow::Result<()>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = socket.listener()?;
    let early = GracefulShutdown::new();
    let spawn = |stream, graceful: &GracefulShutdown| {
        let guard = drain.connection();
        spawn_connection(stream, graceful, Some(guard), peer_end, handler.clone());
    };
    accept(&listener, socket, &drain, graceful_from, |stream| {
        spawn(stream, &early);
    })
    .await;
    let early_closed = tokio::spawn(early.shutdown());
    let late = GracefulShutdown::new();
    accept(&listener, socket, &drain, Phase::Closing, |stream| {
        spawn(stream, &late);
    })
    .await;
    drop(listener);
    late.shutdown().await;
    early_closed.await?;
    drain.reached(Phase::Stopped).await;
    Ok(())
}

async fn accept(
    listener: &TcpListener,
    socket: &Socket,
    drain: &Drain,
    until: Phase,
    mut spawn: impl FnMut(TcpStream),
) {
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => spawn(stream),
                Err(err) => {
                    event!(ConnectionFailed, listener = socket.address(), error = err);
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            },
            () = drain.reached(until) => return,
        }
    }
}

fn spawn_connection<H, F>(
    stream: TcpStream,
    graceful: &GracefulShutdown,
    guard: Option<InFlightGuard>,
    peer_end: PeerEnd,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    // With Nagle's algorithm, small responses would wait for the peer's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let reader = Arc::new(reader);
    let watched = Arc::clone(&reader);
    let service = service_fn(move |request| {
        let response = handler(request);
        let disconnect = match peer_end {
            PeerEnd::OnArrival => Some(Disconnect::of(Arc::clone(&watched))),
            PeerEnd::InOrder => None,
        };
        async move {
            match disconnect {
                Some(disconnect) => disconnect.cancel(response).await,
                None => Ok(response.await),
            }
        }
    });
    let head_timeout = if guard.is_some() {
        CALL_HEAD_TIMEOUT
    } else {
        HEAD_TIMEOUT
    };
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .max_buf_size(MAX_HEAD_LEN);
    builder
        .http2()
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_header_list_size(u32::try_from(MAX_HEAD_LEN).unwrap_or(u32::MAX))
        .max_send_buf_size(STREAM_WINDOW as usize)
        .max_concurrent_streams(MAX_STREAMS);
    let (stream, returned) = ReturnedStream::new((reader, writer));
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection.into_owned());
    tokio::spawn(async move {
        if let Err(err) = connection.await {
            event!(ConnectionFailed, error = err);
        }
        if let Ok(halves) = returned.await {
            linger::close(halves).await;
        }
        drop(guard);
    });
}
