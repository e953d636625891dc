//! A small HTTP client for the demo and the tests.

use anyhow::Context as _;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Makes one call on a connection of its own and reads the whole answer.
///
/// # Errors
///
/// Fails when the connection or the answer is cut off.
pub async fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> anyhow::Result<Response<Bytes>> {
    let stream = TcpStream::connect(address)
        .await
        .with_context(|| format!("connect to {address}"))?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let (head, body) = sender.send_request(request).await?.into_parts();
    let body = body.collect().await?.to_bytes();
    Ok(Response::from_parts(head, body))
}

/// Makes one call without a body.
///
/// # Errors
///
/// Fails as [`call`] does.
pub async fn get(address: SocketAddr, path: &str) -> anyhow::Result<Response<Bytes>> {
    let request = Request::get(path)
        .header("host", address.to_string())
        .body(Full::default())?;
    call(address, request).await
}
