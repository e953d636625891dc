//! Receiving messages whose length is not known, over links of any speed.

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;
use std::fmt::Display;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, timeout_at};

/// Time limit of a transfer of any length.
const MAX_TRANSFER_TIME: Duration = Duration::from_secs(10);

/// The reason for which a message was not received completely.
#[derive(Debug, Error)]
pub enum ReceiveError {
    /// No more bytes arrived after this number, or too slowly.
    #[error("stalled after {0} bytes")]
    Stalled(usize),
    /// The message is longer than this number of bytes.
    #[error("longer than {0} bytes")]
    TooLong(usize),
    /// The connection failed.
    #[error("{0}")]
    Failed(String),
}

/// Receives a message of at most `max_len` bytes, for as long as its bytes keep arriving.
///
/// The time limit `stall` applies to each part of the message. A limit for the whole would end every
/// transfer that a slow link cannot complete by then, and the next attempt would begin anew.
///
/// # Errors
///
/// Fails when no byte arrives within `stall`, and when the message is too long, takes too long as a
/// whole, or its connection fails.
pub async fn receive<B>(mut body: B, max_len: usize, stall: Duration) -> Result<Bytes, ReceiveError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Display,
{
    let deadline = Instant::now() + MAX_TRANSFER_TIME;
    let mut data = BytesMut::new();
    loop {
        let until = deadline.min(Instant::now() + stall);
        let frame = timeout_at(until, body.frame()).await;
        let frame = frame.map_err(|_| ReceiveError::Stalled(data.len()))?;
        let Some(frame) = frame else {
            return Ok(data.freeze());
        };
        let frame = frame.map_err(|err| ReceiveError::Failed(err.to_string()))?;
        data.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
        if data.len() > max_len {
            return Err(ReceiveError::TooLong(max_len));
        }
    }
}
