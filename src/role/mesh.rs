//! The role that serves the mesh protocol, by which daemons distribute configuration and
//! membership.

use crate::daemon::{Daemon, Phase};
use crate::generated::mesh as wire;
use crate::generated::mesh::frame::Content;
use crate::generated::mesh::mesh_server::{Mesh, MeshServer};
use crate::kernel::{Plugin, RoleFuture};
use crate::settings::Distribution;
use crate::snapshot::Stamp;
use crate::tree::actor::Message;
use crate::tree::{Tree, TreeError, session};
use prometheus_client::registry::Registry;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status, Streaming};

/// Time limit for the first message of a stream.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);

inventory::submit! {
    Plugin { name: "mesh", run, state, metrics }
}

fn run(daemon: Arc<Daemon>) -> RoleFuture {
    Box::pin(async move {
        let listener = daemon.sockets.mesh.listener()?;
        // `Server::tcp_nodelay` does not apply to a listener that is passed in.
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        let drain = daemon.drain.clone();
        let tree = Tree::of_daemon(&daemon);
        let service = MeshServer::new(Service { daemon, tree });
        let service = service.max_decoding_message_size(session::MAX_FRAME_LEN);
        tonic::transport::Server::builder()
            .add_service(service)
            .serve_with_incoming_shutdown(incoming, async move {
                drain.reached(Phase::Stopped).await;
            })
            .await?;
        Ok(())
    })
}

fn state(daemon: &Daemon) -> serde_json::Value {
    serde_json::json!({ "address": daemon.addresses().mesh })
}

fn metrics(_: &Daemon, _: &mut Registry) {}

struct Service {
    daemon: Arc<Daemon>,
    tree: Arc<Tree>,
}

#[tonic::async_trait]
impl Mesh for Service {
    type AttachStream = ReceiverStream<session::OutgoingFrame>;

    async fn attach(
        &self,
        request: Request<Streaming<wire::Frame>>,
    ) -> Result<Response<Self::AttachStream>, Status> {
        let actor = self.tree.actor().map_err(|err| unavailable(&err))?;
        let mut frames = request.into_inner();
        let first = tokio::time::timeout(HELLO_TIMEOUT, frames.message()).await;
        let first = first.map_err(|_| Status::deadline_exceeded("no hello in time"))??;
        let Some(Content::Hello(hello)) = first.and_then(|frame| frame.content) else {
            return Err(Status::invalid_argument("first message is not a hello"));
        };
        let hello = Box::new(hello);
        let accepted = actor.call(|reply| Message::Accept(hello, reply)).await;
        let (sender, receiver) = session::frame_queue();
        match accepted.map_err(|err| unavailable(&err))? {
            Ok(handle) => {
                let traffic = Arc::clone(self.tree.traffic());
                tokio::spawn(session::serve(actor, traffic, handle, frames, sender));
            }
            Err(redirect) => {
                let content = Some(Content::Redirect(redirect));
                // Cannot fail: the queue is empty and its receiver is still open.
                let _ = sender.try_send(Ok(wire::Frame { content }));
            }
        }
        Ok(Response::new(receiver))
    }

    async fn fetch(
        &self,
        request: Request<wire::FetchRequest>,
    ) -> Result<Response<wire::FetchResponse>, Status> {
        let request = request.into_inner();
        // Zero accepts any incarnation.
        if request.target != 0 && request.target != self.daemon.identity.incarnation {
            return Err(Status::not_found(
                "another daemon now listens at this address",
            ));
        }
        let have = Stamp::from_wire(request.have.as_ref());
        let snapshot = self.daemon.config.snapshot();
        let newest = snapshot.stamp();
        let update = (newest.version > have.version).then(|| wire::Update {
            content: Some(wire::update::Content::Full(snapshot.pack())),
        });
        let mut response = wire::FetchResponse {
            update,
            newest: Some(newest.to_wire()),
            floor: 0,
            relays: Vec::new(),
        };
        if let Ok(actor) = self.tree.actor() {
            let floor = actor.call(|reply| Message::Floor(request.name, reply));
            response.floor = floor.await.map_err(|err| unavailable(&err))?;
            let relations = actor.call(Message::Relations).await;
            response.relays = relations.map_err(|err| unavailable(&err))?.relays;
        }
        Ok(Response::new(response))
    }

    async fn status(
        &self,
        request: Request<wire::StatusRequest>,
    ) -> Result<Response<wire::StatusResponse>, Status> {
        let request = request.into_inner();
        let wait = Duration::from_millis(u64::from(request.wait_ms));
        let deadline = Instant::now() + wait;
        let mut acknowledged = self.tree.acknowledged.subscribe();
        let mut stamps = self.daemon.config.subscribe();
        loop {
            acknowledged.mark_unchanged();
            stamps.mark_unchanged();
            let response = self.count_applied(&request).await?;
            if response.applied == response.attached || Instant::now() >= deadline {
                return Ok(Response::new(response));
            }
            // At the deadline the loop counts once more and responds.
            tokio::select! {
                _ = acknowledged.changed() => {}
                _ = stamps.changed() => {}
                () = tokio::time::sleep_until(deadline) => {}
            }
        }
    }
}

impl Service {
    /// Counts the daemons that have applied a version: those attached in the tree, or this one
    /// alone.
    async fn count_applied(
        &self,
        request: &wire::StatusRequest,
    ) -> Result<wire::StatusResponse, Status> {
        let (version, with_names) = (request.version, request.names);
        if self.daemon.settings.distribution == Distribution::Tree {
            let actor = self.tree.actor().map_err(|err| unavailable(&err))?;
            let status = actor.call(|reply| Message::Status(version, with_names, reply));
            return status.await.map_err(|err| unavailable(&err));
        }
        let own = self.daemon.config.stamp().version;
        let own_name = vec![self.daemon.identity.name.clone()];
        let (applied, laggards) = if own >= version {
            (own_name, Vec::new())
        } else {
            (Vec::new(), own_name)
        };
        Ok(wire::StatusResponse {
            attached: 1,
            applied: u32::from(own >= version),
            laggards,
            names: applied,
            version: own,
        })
    }
}

fn unavailable(err: &TreeError) -> Status {
    Status::unavailable(err.to_string())
}
