//! The client to the operator API.

use crate::error::{Category, Error, Result};
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time that a daemon may take beyond the waiting that it was asked for.
const WAIT_MARGIN: Duration = Duration::from_secs(3);

/// A request that has the same effect however often it is made.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// The body, as JSON.
    pub body: Bytes,
    /// Time that the daemon is asked to wait before it answers.
    pub wait: Duration,
}

impl Call {
    /// Makes a call that reads.
    #[must_use]
    pub fn get(path: impl Into<String>) -> Self {
        Call {
            method: Method::GET,
            path: path.into(),
            body: Bytes::new(),
            wait: Duration::ZERO,
        }
    }

    /// Makes a call that sends a body.
    #[must_use]
    pub fn post(path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Call {
            method: Method::POST,
            path: path.into(),
            body: body.into(),
            wait: Duration::ZERO,
        }
    }
}

/// An answer of a daemon.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Value,
    /// Whether an attempt before this one may have had an effect that this answer does not tell.
    pub lost: bool,
}

/// A client that tries several daemons in turn.
pub struct HttpClient {
    daemons: Vec<SocketAddr>,
    token: Option<String>,
    timeout: Duration,
}

impl HttpClient {
    /// Makes a client to daemons at these operator addresses, separated by commas.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Input`] when an address is not valid or none is given.
    pub fn new(daemons: &str, token: Option<String>, timeout: Duration) -> Result<Self> {
        let mut list = Vec::new();
        for item in daemons.split(',').filter(|item| !item.trim().is_empty()) {
            let address = item.trim().parse().map_err(|err| {
                Error::new(
                    Category::Input,
                    format!("daemon address {:?}: {err}", item.trim()),
                )
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
            timeout,
        })
    }

    /// Makes a call at the first daemon that answers.
    ///
    /// A daemon that cannot be reached, loses its answer, or cannot reach the platform is passed
    /// over. The last refusal is returned when no daemon does better.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Unavailable`] when no attempt can have had an effect, and with
    /// [`Category::Unknown`] when one may have.
    pub async fn call(&self, call: &Call) -> Result<Reply> {
        let mut faults = Vec::new();
        let mut lost = false;
        let mut refused = None;
        for daemon in &self.daemons {
            match self.attempt(*daemon, call).await {
                Ok((status, body)) => {
                    let reply = Reply { status, body, lost };
                    if status != StatusCode::SERVICE_UNAVAILABLE {
                        return Ok(reply);
                    }
                    refused = Some(reply);
                }
                Err(err) => {
                    lost |= err.category() == Category::Unknown;
                    faults.push(err.to_string());
                }
            }
        }
        if let Some(reply) = refused {
            return Ok(Reply { lost, ..reply });
        }
        let category = if lost {
            Category::Unknown
        } else {
            Category::Unavailable
        };
        Err(Error::new(category, faults.join("; ")))
    }

    /// Opens a stream of lines at the first daemon that answers.
    ///
    /// # Errors
    ///
    /// Fails as [`HttpClient::call`] does.
    pub async fn stream(&self, path: &str) -> Result<Response<Incoming>> {
        let mut faults = Vec::new();
        for daemon in &self.daemons {
            match self.open(*daemon, &Call::get(path)).await {
                Ok(answer) => return Ok(answer),
                Err(err) => faults.push(err.to_string()),
            }
        }
        Err(Error::new(Category::Unavailable, faults.join("; ")))
    }

    async fn attempt(&self, daemon: SocketAddr, call: &Call) -> Result<(StatusCode, Value)> {
        let answer = self.open(daemon, call).await?;
        let status = answer.status();
        let body = timeout(self.timeout, answer.into_body().collect()).await;
        let body = body.map_err(|_| lost(daemon, "no whole answer in time"))?;
        let body = body.map_err(|err| lost(daemon, err))?.to_bytes();
        let body = serde_json::from_slice(&body).map_err(|err| lost(daemon, err))?;
        Ok((status, body))
    }

    /// Sends a call and waits for the head of the answer.
    async fn open(&self, daemon: SocketAddr, call: &Call) -> Result<Response<Incoming>> {
        let stream = connect(daemon).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|err| unreachable(daemon, err))?;
        tokio::spawn(connection);
        let mut request = Request::builder()
            .method(&call.method)
            .uri(&call.path)
            .header(header::HOST, daemon.to_string());
        if let Some(token) = &self.token {
            request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
        }
        if !call.body.is_empty() {
            request = request.header(header::CONTENT_TYPE, "application/json");
        }
        let request = request
            .body(Full::new(call.body.clone()))
            .map_err(|err| Error::new(Category::Input, format!("{}: {err}", call.path)))?;
        let limit = if call.wait.is_zero() {
            self.timeout
        } else {
            call.wait + WAIT_MARGIN
        };
        let answer = timeout(limit, sender.send_request(request)).await;
        let answer = answer.map_err(|_| lost(daemon, "no answer in time"))?;
        answer.map_err(|err| lost(daemon, err))
    }
}

async fn connect(daemon: SocketAddr) -> Result<TcpStream> {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(daemon)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(err)) => Err(unreachable(daemon, err)),
        Err(_) => Err(unreachable(daemon, "no connection in time")),
    }
}

fn unreachable(daemon: SocketAddr, err: impl std::fmt::Display) -> Error {
    Error::new(Category::Unavailable, format!("{daemon}: {err}"))
}

fn lost(daemon: SocketAddr, err: impl std::fmt::Display) -> Error {
    Error::new(Category::Unknown, format!("{daemon}: answer lost: {err}"))
}
