//! The HTTP client of the platform's key-value service.

use super::{
    Call, Changes, Dialect, Entry, Listing, Platform, PlatformError, PlatformFuture, Reply, Swap,
};
use crate::call::pool::{BackendPool, PooledBody, Reuse};
use crate::call::upstream::UpstreamError;
use crate::event;
use crate::serve::full_body;
use crate::sync::lock;
use crate::transfer::receive;
use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;

/// Maximum number of connections of one process to the service. Each waiting watch occupies one.
const MAX_CONNECTIONS: usize = 16;

/// Maximum length of a response, in bytes; it must fit a page of base64-encoded values.
const MAX_RESPONSE_LEN: usize = 16 * 1024 * 1024;

/// Connections that have been idle for longer are not reused.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// Maximum number of pages read for one listing; one with more is refused.
const MAX_PAGES: usize = 1_000;

/// Settings of a [`Client`].
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// The address of the service.
    pub address: SocketAddr,
    /// Time within which a response begins, in addition to the wait of a watch, and within which each
    /// further part of it arrives.
    pub timeout: Duration,
}

/// A client of the key-value service that connects on the first call.
#[derive(Clone)]
pub struct Client {
    pool: BackendPool,
    dialect: Arc<dyn Dialect>,
    host: HeaderValue,
    timeout: Duration,
    epoch: Arc<Epoch>,
}

/// Closes the idle connections of a pool when it is dropped: a call had no response, and what has silenced its
/// connection may have silenced them as well.
struct Unanswered<'a>(Option<&'a BackendPool>);

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        if let Some(pool) = self.0 {
            pool.clear();
        }
    }
}

/// The epoch of the service, as last stated in a response.
#[derive(Debug, Default)]
struct Epoch {
    last: Mutex<Option<u64>>,
    /// Counts the restores noticed.
    restores: watch::Sender<u64>,
}

impl Epoch {
    /// Records the epoch that a response states. A late response of an earlier epoch changes nothing.
    fn record(&self, epoch: u64) {
        let mut last = lock(&self.last);
        let newest = last.map_or(epoch, |last| last.max(epoch));
        let previous = last.replace(newest);
        if let Some(previous) = previous
            && previous < epoch
        {
            event!(PlatformRestored, epoch = epoch, previous = previous);
            self.restores.send_modify(|count| *count += 1);
        }
    }
}

impl Client {
    /// Creates a client without connecting.
    ///
    /// # Errors
    ///
    /// Fails with [`PlatformError::Refused`] when the address is not valid.
    pub fn new(
        settings: &ClientSettings,
        dialect: Arc<dyn Dialect>,
    ) -> Result<Self, PlatformError> {
        let host = HeaderValue::from_str(&settings.address.to_string());
        let host = host.map_err(|err| PlatformError::Refused(err.to_string()))?;
        let pool = BackendPool::new(settings.address).with_connect_timeout(settings.timeout);
        pool.set_limit(MAX_CONNECTIONS);
        Ok(Client {
            pool,
            dialect,
            host,
            timeout: settings.timeout,
            epoch: Arc::default(),
        })
    }

    /// Makes a call; `wait` is the time that a watch may take in addition to the timeout.
    ///
    /// Fails with [`PlatformError::Unknown`] if the call may have been carried out and is not
    /// read-only.
    async fn call(&self, call: Call, wait: Duration) -> Result<Reply, PlatformError> {
        // A read has no effect, so a lost response does not leave its outcome unknown.
        let lost_response = |reason: String| {
            if call.is_read() {
                PlatformError::Unavailable(reason)
            } else {
                PlatformError::Unknown(reason)
            }
        };
        let mut unanswered = Unanswered(Some(&self.pool));
        let response = tokio::time::timeout(self.timeout + wait, self.send(&call)).await;
        if matches!(response, Ok(Ok(_))) {
            unanswered.0 = None;
        }
        let response = match response {
            Ok(Ok(response)) => response,
            Ok(Err(err @ UpstreamError::NotSent(..))) => {
                return Err(PlatformError::Unavailable(err.to_string()));
            }
            Ok(Err(err @ (UpstreamError::Lost(..) | UpstreamError::Endless(_)))) => {
                return Err(lost_response(err.to_string()));
            }
            Err(_) => return Err(lost_response("timed out waiting for a response".into())),
        };
        let status = response.status();
        let body = receive(response.into_body(), MAX_RESPONSE_LEN, self.timeout).await;
        let body = body.map_err(|err| lost_response(format!("response: {err}")))?;
        match self.dialect.decode(&call, status, &body) {
            Err(PlatformError::Unknown(reason)) => Err(lost_response(reason)),
            reply => reply,
        }
    }

    /// Sends a call on a pooled connection, and returns the response.
    async fn send(&self, call: &Call) -> Result<Response<PooledBody>, UpstreamError> {
        let http_call = self.dialect.encode(call);
        let connection = self.pool.connection(Reuse::Within(MAX_IDLE)).await?;
        let address = self.pool.address();
        let mut request = Request::new(full_body(http_call.body));
        let invalid_path =
            |err: http::uri::InvalidUri| UpstreamError::NotSent(address, err.to_string());
        *request.uri_mut() = http_call.path.parse().map_err(invalid_path)?;
        *request.method_mut() = http_call.method;
        let headers = request.headers_mut();
        headers.insert(header::HOST, self.host.clone());
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        let response = connection.send(request).await?;
        if let Some(epoch) = self.dialect.epoch(response.headers()) {
            self.epoch.record(epoch);
        }
        Ok(response)
    }
}

/// Returns the error for a response whose type does not match the call.
fn unexpected_reply(reply: &Reply) -> PlatformError {
    PlatformError::Refused(format!("response type does not match the call: {reply:?}"))
}

impl Platform for Client {
    fn get<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, Option<Entry>> {
        let call = Call::Get { key: key.into() };
        Box::pin(async move {
            match self.call(call, Duration::ZERO).await? {
                Reply::Entry(entry) => Ok(entry),
                other => Err(unexpected_reply(&other)),
            }
        })
    }

    fn list<'a>(&'a self, prefix: &'a str, _: bool, limit: u32) -> PlatformFuture<'a, Listing> {
        Box::pin(async move {
            // A [`Call::List`] always returns values too, so the flag for keys only has no effect.
            let mut all: Option<Listing> = None;
            let mut after = String::new();
            for _ in 0..MAX_PAGES {
                let call = Call::List {
                    prefix: prefix.into(),
                    after,
                };
                let (page, last) = match self.call(call, Duration::ZERO).await? {
                    Reply::Page(page, last) => (page, last),
                    other => return Err(unexpected_reply(&other)),
                };
                match &mut all {
                    Some(all) => all.entries.extend(page.entries),
                    None => all = Some(page),
                }
                let read = all.as_ref().map_or(0, |all| all.entries.len());
                let is_enough = limit != 0 && read >= limit as usize;
                let Some(last) = last.filter(|_| !is_enough) else {
                    let mut all = all.unwrap_or_default();
                    if limit != 0 {
                        all.entries.truncate(limit as usize);
                    }
                    return Ok(all);
                };
                after = last;
            }
            let message = format!("listing of {prefix:?} has more than {MAX_PAGES} pages");
            Err(PlatformError::Refused(message))
        })
    }

    fn swap<'a>(
        &'a self,
        key: &'a str,
        expected: u64,
        value: Option<Bytes>,
        lease: u64,
    ) -> PlatformFuture<'a, Swap> {
        let call = Call::Swap {
            key: key.into(),
            expected,
            value,
            lease,
        };
        Box::pin(async move {
            match self.call(call, Duration::ZERO).await? {
                Reply::Swap(swap) => Ok(swap),
                other => Err(unexpected_reply(&other)),
            }
        })
    }

    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
        wait: Duration,
    ) -> PlatformFuture<'a, Changes> {
        let call = Call::Changes {
            prefix: prefix.into(),
            after,
            wait,
        };
        Box::pin(async move {
            match self.call(call, wait).await? {
                Reply::Changes(changes) => Ok(changes),
                other => Err(unexpected_reply(&other)),
            }
        })
    }

    fn grant(&self, ttl: Duration) -> PlatformFuture<'_, u64> {
        Box::pin(async move {
            match self.call(Call::Grant { ttl }, Duration::ZERO).await? {
                Reply::Lease(lease) => Ok(lease),
                other => Err(unexpected_reply(&other)),
            }
        })
    }

    fn renew(&self, lease: u64) -> PlatformFuture<'_, bool> {
        Box::pin(async move {
            match self.call(Call::Renew { lease }, Duration::ZERO).await? {
                Reply::Alive(alive) => Ok(alive),
                other => Err(unexpected_reply(&other)),
            }
        })
    }

    fn revoke(&self, lease: u64) -> PlatformFuture<'_, ()> {
        Box::pin(async move {
            match self.call(Call::Revoke { lease }, Duration::ZERO).await? {
                Reply::Alive(_) => Ok(()),
                other => Err(unexpected_reply(&other)),
            }
        })
    }

    fn restores(&self) -> watch::Receiver<u64> {
        self.epoch.restores.subscribe()
    }
}
