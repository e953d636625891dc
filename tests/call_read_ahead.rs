//! Large responses over slow links: the backend server's slot is freed by its own pace, and memory
//! is bounded.

use baobabstage::call::body::{CutOffError, Guarded};
use baobabstage::call::bulk::{BulkCalls, MIN_LEN};
use baobabstage::call::read_ahead::{MAX_BODY_LEN, ReadAhead, Receiver, Transfers};
use baobabstage::serve::BodyError;
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http_body::{Body as _, Frame};
use http_body_util::{BodyExt, Full, StreamBody};
use std::sync::Arc;
use std::time::Duration;
use test_case::test_case;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};
use tokio_stream::wrappers::UnboundedReceiverStream;

const CHUNK_LEN: usize = 16 * 1024;

type Frames = mpsc::UnboundedSender<Result<Frame<Bytes>, BodyError>>;

type Source = StreamBody<UnboundedReceiverStream<Result<Frame<Bytes>, BodyError>>>;

/// Returns a body and the sender of its frames.
fn body() -> (Frames, Source) {
    let (sender, receiver) = mpsc::unbounded_channel();
    (
        sender,
        StreamBody::new(UnboundedReceiverStream::new(receiver)),
    )
}

fn chunk() -> Frame<Bytes> {
    Frame::data(Bytes::from(vec![7; CHUNK_LEN]))
}

/// Calls of 69 ms whose responses take a second each on a slow link leave their slots after 69 ms.
#[tokio::test(start_paused = true)]
async fn start_slow_link_frees_slot() {
    let slot = Arc::new(());
    let (frames, source) = body();
    let deadline = Instant::now() + Duration::from_mins(1);
    let guarded = Guarded::new(source, Arc::clone(&slot), deadline);
    let mut received = ReadAhead::start(guarded, &Transfers::default(), Receiver::Remote);
    for _ in 0..3 {
        frames.send(Ok(chunk())).unwrap();
    }
    drop(frames);
    sleep(Duration::from_millis(1)).await;
    assert_eq!(Arc::strong_count(&slot), 1, "slot is free");
    let mut len = 0;
    while let Some(frame) = received.frame().await {
        len += frame.unwrap().into_data().unwrap().len();
        sleep(Duration::from_millis(300)).await;
    }
    assert_eq!(len, 3 * CHUNK_LEN);
}

/// A receiver that does not read holds back the backend server after a bounded number of bytes.
#[tokio::test(start_paused = true)]
async fn start_slow_receiver_bounds_memory() {
    let chunks = stream::iter(0..1_000).map(|_| Ok::<_, BodyError>(chunk()));
    let produced = Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let counter = Arc::clone(&produced);
    let chunks = chunks.inspect(move |_| {
        counter.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    });
    let mut received = ReadAhead::start(
        StreamBody::new(chunks),
        &Transfers::default(),
        Receiver::Remote,
    );
    sleep(Duration::from_secs(1)).await;
    let read = produced.load(std::sync::atomic::Ordering::Relaxed);
    assert!(
        read <= MAX_BODY_LEN as usize / CHUNK_LEN + 1,
        "{read} chunks"
    );
    let mut chunks = 0;
    while let Some(frame) = received.frame().await {
        frame.unwrap();
        chunks += 1;
    }
    assert_eq!(chunks, 1_000);
}

/// When the caller leaves, the response is dropped, which closes the connection to the backend
/// server.
#[tokio::test(start_paused = true)]
async fn drop_receiver_drops_source() {
    let slot = Arc::new(());
    let (frames, source) = body();
    let deadline = Instant::now() + Duration::from_mins(1);
    let guarded = Guarded::new(source, Arc::clone(&slot), deadline);
    let received = ReadAhead::start(guarded, &Transfers::default(), Receiver::Remote);
    frames.send(Ok(chunk())).unwrap();
    sleep(Duration::from_millis(1)).await;
    drop(received);
    sleep(Duration::from_millis(1)).await;
    assert_eq!(Arc::strong_count(&slot), 1);
}

#[test_case(true; "failed")]
#[test_case(false; "past the deadline")]
#[tokio::test(start_paused = true)]
async fn frame_cut_body(failed: bool) {
    let (frames, source) = body();
    let deadline = Instant::now() + Duration::from_secs(1);
    let guarded = Guarded::new(source, (), deadline);
    let mut received = ReadAhead::start(guarded, &Transfers::default(), Receiver::Remote);
    frames.send(Ok(chunk())).unwrap();
    if failed {
        frames.send(Err(CutOffError::Spent.into())).unwrap();
    }
    assert!(received.frame().await.unwrap().is_ok());
    assert!(received.frame().await.unwrap().is_err(), "not complete");
    assert!(received.frame().await.is_none());
}

#[tokio::test]
async fn size_hint_exact() {
    let source = Full::new(Bytes::from(vec![7; CHUNK_LEN])).map_err(|never| match never {});
    let mut received = ReadAhead::start(source, &Transfers::default(), Receiver::Remote);
    assert_eq!(received.size_hint().exact(), Some(CHUNK_LEN as u64));
    received.frame().await.unwrap().unwrap();
    assert_eq!(received.size_hint().exact(), Some(0));
    assert!(received.frame().await.is_none());
    assert!(received.is_end_stream());
}

/// Many long responses at once take turns on the link: what is sent at one time stays short, so that
/// a short response does not queue behind all of them.
#[tokio::test(start_paused = true)]
async fn start_many_take_turns() {
    const BODIES: usize = 12;
    let transfers = Transfers::default();
    let mut received: Vec<_> = (0..BODIES)
        .map(|_| {
            let body = Full::new(Bytes::from(vec![7; 3 * CHUNK_LEN]));
            let body = body.map_err(|never| match never {});
            ReadAhead::start(body, &transfers, Receiver::Remote)
        })
        .collect();
    sleep(Duration::from_millis(1)).await;
    let mut sending = Vec::new();
    for (index, body) in received.iter_mut().enumerate() {
        let frame = tokio::time::timeout(Duration::ZERO, body.frame()).await;
        if frame.is_ok() {
            sending.push(index);
        }
    }
    assert_eq!(sending, [0]);
    // The next body starts as soon as one has been read.
    while received[0].frame().await.is_some() {}
    sleep(Duration::from_millis(1)).await;
    assert!(received[1].frame().await.unwrap().is_ok());
    // Receivers that do not read hold up the others for a bounded time only.
    let started = Instant::now();
    assert!(received[11].frame().await.unwrap().is_ok());
    assert!(
        started.elapsed() < Duration::from_secs(3),
        "{:?}",
        started.elapsed()
    );
}

/// A receiver in the same process uses no link and takes no turn.
#[tokio::test(start_paused = true)]
async fn start_local() {
    let transfers = Transfers::default();
    let mut received: Vec<_> = (0..12)
        .map(|_| {
            let chunks = stream::iter(0..3).map(|_| Ok::<_, BodyError>(chunk()));
            ReadAhead::start(StreamBody::new(chunks), &transfers, Receiver::Local)
        })
        .collect();
    for body in &mut received {
        assert!(body.frame().await.unwrap().is_ok());
    }
}

/// Calls with long responses are limited to the slots and a short backlog; others are not.
#[test]
fn admit_backlog() {
    let calls = BulkCalls::default();
    calls.record_length(1, MIN_LEN * 5);
    calls.record_length(2, MIN_LEN / 5);
    assert!(calls.is_bulk(1) && !calls.is_bulk(2) && !calls.is_bulk(3));
    let mut guards: Vec<_> = std::iter::from_fn(|| calls.admit(4)).collect();
    assert_eq!(guards.len(), 8);
    guards.pop();
    assert!(calls.admit(4).is_some());
}

/// A long frame is passed on in parts: what the connection buffers stays short.
#[tokio::test(start_paused = true)]
async fn frame_long() {
    let chunks = stream::iter([Ok::<_, BodyError>(Frame::data(
        vec![7; 3 * CHUNK_LEN + 1].into(),
    ))]);
    let transfers = Transfers::default();
    let mut received = ReadAhead::start(StreamBody::new(chunks), &transfers, Receiver::Remote);
    let mut lengths = Vec::new();
    while let Some(frame) = received.frame().await {
        lengths.push(frame.unwrap().into_data().unwrap().len());
    }
    assert_eq!(lengths, [CHUNK_LEN, CHUNK_LEN, CHUNK_LEN, 1]);
}

/// A short response of unknown length does not wait for long ones.
#[tokio::test(start_paused = true)]
async fn start_unknown_length() {
    let transfers = Transfers::default();
    let long = || Full::new(Bytes::from(vec![7; 4 * CHUNK_LEN])).map_err(|never| match never {});
    let _long: Vec<_> = (0..8)
        .map(|_| ReadAhead::start(long(), &transfers, Receiver::Remote))
        .collect();
    let chunks = stream::iter([Ok::<_, BodyError>(Frame::data(Bytes::from_static(b"ok")))]);
    let mut short = ReadAhead::start(StreamBody::new(chunks), &transfers, Receiver::Remote);
    let started = Instant::now();
    assert!(short.frame().await.unwrap().is_ok());
    assert!(short.frame().await.is_none());
    assert!(started.elapsed() < Duration::from_millis(5));
}

/// A backend server that stops in the middle of a long response holds up others for a bounded time.
#[tokio::test(start_paused = true)]
async fn start_after_silent_body() {
    let transfers = Transfers::default();
    let (frames, source) = body();
    frames.send(Ok(chunk())).unwrap();
    frames.send(Ok(chunk())).unwrap();
    let mut silent = ReadAhead::start(source, &transfers, Receiver::Remote);
    assert!(silent.frame().await.unwrap().is_ok());
    assert!(silent.frame().await.unwrap().is_ok());
    let next = Full::new(Bytes::from(vec![7; 4 * CHUNK_LEN])).map_err(|never| match never {});
    let mut next = ReadAhead::start(next, &transfers, Receiver::Remote);
    let started = Instant::now();
    assert!(next.frame().await.unwrap().is_ok());
    assert!(
        started.elapsed() < Duration::from_millis(500),
        "{:?}",
        started.elapsed()
    );
}
