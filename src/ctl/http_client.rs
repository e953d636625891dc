//! A client of the operator API.

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

/// Time limit for connecting to one daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time that a response may take beyond the wait that was requested from the daemon.
const WAIT_MARGIN: Duration = Duration::from_secs(3);

/// An idempotent request, which may be sent to several daemons.
#[derive(Clone, Debug)]
pub struct Call {
    /// The HTTP method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// The JSON body; empty for none.
    pub body: Bytes,
    /// Time that the request asks the daemon to wait before it responds; extends the time limit.
    pub wait: Duration,
}

impl Call {
    /// Creates a read request.
    #[must_use]
    pub fn get(path: impl Into<String>) -> Self {
        Call {
            method: Method::GET,
            path: path.into(),
            body: Bytes::new(),
            wait: Duration::ZERO,
        }
    }

    /// Creates a request with a JSON body.
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

/// A response of a daemon.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The HTTP status.
    pub status: StatusCode,
    /// The JSON body.
    pub body: Value,
    /// Whether the response to an earlier attempt was lost, so that this attempt may have taken
    /// effect even if a later one was refused.
    pub lost_response: bool,
}

/// A client that tries several daemons in turn, with one connection for each request.
pub struct HttpClient {
    daemons: Vec<SocketAddr>,
    token: Option<String>,
    timeout: Duration,
}

impl HttpClient {
    /// Creates a client from the operator addresses of daemons, separated by commas.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Input`] when an address is not valid or there is none.
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

    /// Sends a request to the daemons in turn until one responds.
    ///
    /// The next daemon is tried when one cannot be reached, when its response is lost, or when it
    /// responds with 503 because it cannot reach the platform. The last 503 is returned when no
    /// daemon responds otherwise.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Unavailable`] when no attempt can have taken effect, and with
    /// [`Category::Unknown`] when one may have.
    pub async fn call(&self, call: &Call) -> Result<Reply> {
        let mut errors = Vec::new();
        let mut lost_response = false;
        let mut unavailable = None;
        for daemon in &self.daemons {
            match self.attempt(*daemon, call).await {
                Ok((status, body)) => {
                    let reply = Reply {
                        status,
                        body,
                        lost_response,
                    };
                    if status != StatusCode::SERVICE_UNAVAILABLE {
                        return Ok(reply);
                    }
                    unavailable = Some(reply);
                }
                Err(err) => {
                    lost_response |= err.category() == Category::Unknown;
                    errors.push(err.to_string());
                }
            }
        }
        if let Some(reply) = unavailable {
            return Ok(Reply {
                lost_response,
                ..reply
            });
        }
        let category = if lost_response {
            Category::Unknown
        } else {
            Category::Unavailable
        };
        Err(Error::new(category, errors.join("; ")))
    }

    /// Opens a stream of lines at the first daemon that responds.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Unavailable`] when no daemon responds.
    pub async fn stream(&self, path: &str) -> Result<Response<Incoming>> {
        let mut errors = Vec::new();
        for daemon in &self.daemons {
            match self.open(*daemon, &Call::get(path)).await {
                Ok(response) => return Ok(response),
                Err(err) => errors.push(err.to_string()),
            }
        }
        Err(Error::new(Category::Unavailable, errors.join("; ")))
    }

    async fn attempt(&self, daemon: SocketAddr, call: &Call) -> Result<(StatusCode, Value)> {
        let response = self.open(daemon, call).await?;
        let status = response.status();
        let body = timeout(self.timeout, response.into_body().collect()).await;
        let body = body.map_err(|_| response_lost(daemon, "no complete response in time"))?;
        let body = body.map_err(|err| response_lost(daemon, err))?.to_bytes();
        let body = serde_json::from_slice(&body).map_err(|err| response_lost(daemon, err))?;
        Ok((status, body))
    }

    /// Sends a request and waits for the head of the response.
    async fn open(&self, daemon: SocketAddr, call: &Call) -> Result<Response<Incoming>> {
        let stream = connect(daemon).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|err| not_reached(daemon, err))?;
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
        let response = timeout(limit, sender.send_request(request)).await;
        let response = response.map_err(|_| response_lost(daemon, "no response in time"))?;
        response.map_err(|err| response_lost(daemon, err))
    }
}

async fn connect(daemon: SocketAddr) -> Result<TcpStream> {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(daemon)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(err)) => Err(not_reached(daemon, err)),
        Err(_) => Err(not_reached(daemon, "no connection in time")),
    }
}

fn not_reached(daemon: SocketAddr, err: impl std::fmt::Display) -> Error {
    Error::new(Category::Unavailable, format!("{daemon}: {err}"))
}

fn response_lost(daemon: SocketAddr, err: impl std::fmt::Display) -> Error {
    Error::new(Category::Unknown, format!("{daemon}: response lost: {err}"))
}
