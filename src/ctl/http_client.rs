//! The client to the operator API.

use crate::error::{Category, Error, Result};
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A client that tries several daemons in turn.
pub struct HttpClient {
    daemons: Vec<SocketAddr>,
    token: Option<String>,
}

impl HttpClient {
    /// Makes a client to daemons at these operator addresses, separated by commas.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Input`] when an address is not valid or none is given.
    pub fn new(daemons: &str, token: Option<String>) -> Result<Self> {
        let mut list = Vec::new();
        for item in daemons.split(',').filter(|item| !item.is_empty()) {
            let address = item.trim().parse().map_err(|err| {
                Error::new(Category::Input, format!("daemon address \"{item}\": {err}"))
            })?;
            list.push(address);
        }
        if list.is_empty() {
            let message = "no daemon address; use --daemons or BAOBAB_DAEMONS";
            return Err(Error::new(Category::Input, message));
        }
        Ok(HttpClient {
            daemons: list,
            token,
        })
    }

    /// Makes a request to the first daemon that can be reached.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Unavailable`] when none can be reached, and with
    /// [`Category::Unknown`] when an answer was lost.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: &[u8],
    ) -> Result<(StatusCode, Value)> {
        let mut faults = Vec::new();
        for daemon in &self.daemons {
            let connect = TcpStream::connect(daemon);
            match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
                Ok(Ok(stream)) => return self.send(*daemon, stream, method, path, body).await,
                Ok(Err(err)) => faults.push(format!("{daemon}: {err}")),
                Err(_) => faults.push(format!("{daemon}: no answer in time")),
            }
        }
        Err(Error::new(Category::Unavailable, faults.join("; ")))
    }

    async fn send(
        &self,
        daemon: SocketAddr,
        stream: TcpStream,
        method: Method,
        path: &str,
        body: &[u8],
    ) -> Result<(StatusCode, Value)> {
        let lost = |err: &dyn std::fmt::Display| {
            Error::new(Category::Unknown, format!("{daemon}: answer lost: {err}"))
        };
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|err| lost(&err))?;
        tokio::spawn(connection);
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, daemon.to_string());
        if let Some(token) = &self.token {
            request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
        }
        let request = request
            .body(Full::new(Bytes::copy_from_slice(body)))
            .map_err(|err| Error::new(Category::Input, format!("{path}: {err}")))?;
        let answer = sender
            .send_request(request)
            .await
            .map_err(|err| lost(&err))?;
        let status = answer.status();
        let body = answer
            .into_body()
            .collect()
            .await
            .map_err(|err| lost(&err))?;
        let body = serde_json::from_slice(&body.to_bytes()).map_err(|err| lost(&err))?;
        Ok((status, body))
    }
}
