//! The role that serves the protocol between daemons.

use crate::daemon::{Daemon, Phase};
use crate::generated::mesh as wire;
use crate::generated::mesh::mesh_server::{Mesh, MeshServer};
use crate::kernel::{Plugin, Work};
use crate::snapshot::Stamp;
use prometheus_client::registry::Registry;
use std::sync::Arc;
use std::time::Duration;
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tonic::{Request, Response, Status, Streaming};

inventory::submit! {
    Plugin { name: "mesh", run, state, metrics }
}

fn run(daemon: Arc<Daemon>) -> Work {
    Box::pin(async move {
        let listener = daemon.sockets.mesh.listener()?;
        let drain = daemon.drain.clone();
        let service = Service { daemon };
        tonic::transport::Server::builder()
            .tcp_nodelay(true)
            .add_service(MeshServer::new(service))
            .serve_with_incoming_shutdown(TcpListenerStream::new(listener), async move {
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
}

#[tonic::async_trait]
impl Mesh for Service {
    type AttachStream = ReceiverStream<Result<wire::Down, Status>>;

    async fn attach(
        &self,
        _: Request<Streaming<wire::Up>>,
    ) -> Result<Response<Self::AttachStream>, Status> {
        Err(Status::unimplemented("this daemon takes no children"))
    }

    async fn fetch(
        &self,
        request: Request<wire::FetchRequest>,
    ) -> Result<Response<wire::FetchResponse>, Status> {
        let have = Stamp::from_wire(request.into_inner().have.as_ref());
        let snapshot = self.daemon.config.snapshot();
        let newest = snapshot.stamp();
        let update = (newest.version > have.version).then(|| wire::Update {
            content: Some(wire::update::Content::Full(snapshot.pack())),
        });
        Ok(Response::new(wire::FetchResponse {
            update,
            newest: Some(newest.to_wire()),
        }))
    }

    async fn status(
        &self,
        request: Request<wire::StatusRequest>,
    ) -> Result<Response<wire::StatusResponse>, Status> {
        let request = request.into_inner();
        let mut stamps = self.daemon.config.subscribe();
        let wait = Duration::from_millis(u64::from(request.wait_ms));
        let reached = stamps.wait_for(|stamp| stamp.version >= request.version);
        // A timeout leaves the answer to the version at hand.
        let _ = tokio::time::timeout(wait, reached).await;
        let version = self.daemon.config.stamp().version;
        let name = self.daemon.identity.name.clone();
        let applied = version >= request.version;
        Ok(Response::new(wire::StatusResponse {
            attached: 1,
            applied: u32::from(applied),
            laggards: if applied {
                Vec::new()
            } else {
                vec![name.clone()]
            },
            names: if applied && request.names {
                vec![name]
            } else {
                Vec::new()
            },
            version,
        }))
    }
}
