//! I/O of one stream between two daemons.

use super::actor::{Handle, Message, TreeRef};
use super::link::Side;
use super::outbox::Next;
use super::target::Target;
use super::{Traffic, TreeError};
use crate::generated::mesh as wire;
use crate::generated::mesh::frame::Content;
use crate::generated::mesh::mesh_client::MeshClient;
use prost::Message as _;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Status, Streaming};

/// Timeout for connecting to another daemon, and for its first response.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum length of a message between daemons, in bytes.
pub const MAX_FRAME_LEN: usize = 2 * crate::snapshot::MAX_SNAPSHOT_LEN;

/// Maximum number of messages queued for the transport of one stream. All others stay in the
/// outbox, where newer state replaces older.
const QUEUE_LEN: usize = 1;

/// A frame for the transport, or the error status that ends the stream.
pub type OutgoingFrame = Result<wire::Frame, Status>;

/// The reason why a stream to another daemon ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// The other daemon redirected this one to the listed relays.
    Redirected(wire::Redirect),
    /// The other daemon asked this one to acquire this relay slot.
    Promoted(u32),
    /// The stream was open and was lost, for this reason.
    Lost(String),
    /// The stream could not be opened, for this reason.
    Refused(String),
}

/// Serves the stream of a daemon that has attached to this one, until the stream ends.
pub async fn serve(
    tree: TreeRef,
    traffic: Arc<Traffic>,
    handle: Handle,
    mut frames: Streaming<wire::Frame>,
    sender: mpsc::Sender<OutgoingFrame>,
) {
    let read = async {
        while let Ok(Some(frame)) = frames.message().await {
            if receive(&tree, &traffic, &handle, frame).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = read => {}
        () = write(&tree, &traffic, &handle, &sender) => {}
        () = handle.close.notified() => {}
    }
    tree.send(Message::Closed(handle.id));
}

/// Creates the queue between the writer and the transport of one stream.
#[must_use]
pub fn frame_queue() -> (mpsc::Sender<OutgoingFrame>, ReceiverStream<OutgoingFrame>) {
    let (sender, receiver) = mpsc::channel(QUEUE_LEN);
    (sender, ReceiverStream::new(receiver))
}

/// Attaches to another daemon and stays attached until the stream ends.
///
/// `welcomed` is called once the other daemon has admitted this one.
pub async fn attach(
    tree: &TreeRef,
    traffic: &Arc<Traffic>,
    target: &Target,
    side: Side,
    welcomed: impl FnOnce(&wire::Welcome),
) -> End {
    let channel = match connect(&target.address).await {
        Ok(channel) => channel,
        Err(err) => return End::Refused(err.to_string()),
    };
    let opened = tree.call(|reply| Message::Open(side, target.clone(), reply));
    let handle = match opened.await {
        Ok(handle) => handle,
        Err(err) => return End::Refused(err.to_string()),
    };
    let (sender, receiver) = frame_queue();
    let end = tokio::select! {
        end = read(tree, traffic, &handle, channel, receiver, welcomed) => end,
        () = write(tree, traffic, &handle, &sender) => End::Lost("stream write failed".into()),
        () = handle.close.notified() => End::Lost("silent or corrupt stream".into()),
    };
    tree.send(Message::Closed(handle.id));
    end
}

async fn connect(address: &str) -> Result<MeshClient<tonic::transport::Channel>, TreeError> {
    let endpoint = tonic::transport::Endpoint::from_shared(format!("http://{address}"))
        .map_err(|err| TreeError::Connect(address.into(), err.to_string()))?
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true);
    let channel = tokio::time::timeout(CONNECT_TIMEOUT, endpoint.connect()).await;
    let channel = channel
        .map_err(|_| TreeError::Connect(address.into(), "connection timed out".into()))?
        .map_err(|err| TreeError::Connect(address.into(), err.to_string()))?;
    Ok(MeshClient::new(channel).max_decoding_message_size(MAX_FRAME_LEN))
}

/// Opens the stream and reads it until it ends. The first message must be a welcome or a redirect.
async fn read(
    tree: &TreeRef,
    traffic: &Arc<Traffic>,
    handle: &Handle,
    mut client: MeshClient<tonic::transport::Channel>,
    receiver: ReceiverStream<OutgoingFrame>,
    welcomed: impl FnOnce(&wire::Welcome),
) -> End {
    use tokio_stream::StreamExt;
    let outgoing = receiver.filter_map(Result::ok);
    let greeting = async {
        let mut frames = client.attach(outgoing).await?.into_inner();
        let first = frames.message().await?;
        Ok::<_, Status>((frames, first))
    };
    let (mut frames, first) = match tokio::time::timeout(CONNECT_TIMEOUT, greeting).await {
        Ok(Ok((frames, Some(first)))) => (frames, first),
        Ok(Ok((_, None))) => return End::Refused("stream ended before a welcome".into()),
        Ok(Err(status)) => return End::Refused(status.message().into()),
        Err(_) => return End::Refused("timed out waiting for a welcome".into()),
    };
    match &first.content {
        Some(Content::Welcome(welcome)) => welcomed(welcome),
        Some(Content::Redirect(redirect)) => return End::Redirected(redirect.clone()),
        _ => return End::Refused("first message is not a welcome".into()),
    }
    let mut frame = first;
    loop {
        match &frame.content {
            Some(Content::Redirect(redirect)) => return End::Redirected(redirect.clone()),
            Some(Content::Promote(promote)) => return End::Promoted(promote.slot),
            _ => {}
        }
        if let Err(err) = receive(tree, traffic, handle, frame).await {
            return End::Lost(err.to_string());
        }
        frame = match frames.message().await {
            Ok(Some(frame)) => frame,
            Ok(None) => return End::Lost("stream was closed by the other daemon".into()),
            Err(status) => return End::Lost(status.message().into()),
        };
    }
}

/// Passes a received message to the node, and waits until it is handled.
async fn receive(
    tree: &TreeRef,
    traffic: &Traffic,
    handle: &Handle,
    frame: wire::Frame,
) -> Result<(), TreeError> {
    traffic.received(frame.encoded_len());
    let Some(content) = frame.content else {
        return Ok(());
    };
    let (id, content) = (handle.id, Box::new(content));
    tree.call(|reply| Message::Received(id, content, reply))
        .await
}

/// Sends the outbox of this stream, as fast as the transport accepts messages.
async fn write(
    tree: &TreeRef,
    traffic: &Traffic,
    handle: &Handle,
    sender: &mpsc::Sender<OutgoingFrame>,
) {
    loop {
        let next = tree.call(|reply| Message::Next(handle.id, reply)).await;
        match next {
            Ok(Some(Next::Send(content))) => {
                let frame = wire::Frame {
                    content: Some(*content),
                };
                traffic.sent(frame.encoded_len());
                if sender.send(Ok(frame)).await.is_err() {
                    return;
                }
            }
            Ok(Some(Next::Wait(until))) => {
                tokio::select! {
                    () = handle.writer_wake.notified() => {}
                    () = tokio::time::sleep_until(until) => {}
                }
            }
            Ok(None) | Err(_) => return,
        }
    }
}
