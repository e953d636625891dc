//! The client to the platform's service.

use super::{Answer, Entry, Platform, PlatformError, Swap};
use crate::generated::platform as wire;
use crate::generated::platform::key_value_client::KeyValueClient;
use bytes::Bytes;
use std::future::Future;
use std::time::Duration;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Status};

/// Settings of a [`Client`].
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// The service's address, as `IP:PORT`.
    pub address: String,
    /// Time for a call, besides the waiting of a watch.
    pub timeout: Duration,
}

/// A client to the platform's service that connects on the first call.
#[derive(Clone, Debug)]
pub struct Client {
    inner: KeyValueClient<Channel>,
    timeout: Duration,
}

impl Client {
    /// Makes a client.
    ///
    /// # Errors
    ///
    /// Fails with [`PlatformError::Refused`] when the address is not valid.
    pub fn new(settings: &ClientSettings) -> Result<Self, PlatformError> {
        let endpoint = Endpoint::from_shared(format!("http://{}", settings.address))
            .map_err(|err| PlatformError::Refused(format!("{}: {err}", settings.address)))?
            .connect_timeout(settings.timeout)
            .tcp_nodelay(true);
        let inner = KeyValueClient::new(endpoint.connect_lazy())
            .max_decoding_message_size(4 * super::MAX_VALUE_LEN)
            .max_encoding_message_size(2 * super::MAX_VALUE_LEN);
        Ok(Client {
            inner,
            timeout: settings.timeout,
        })
    }
}

impl Platform for Client {
    fn get<'a>(&'a self, key: &'a str) -> Answer<'a, Option<Entry>> {
        Box::pin(async move {
            let mut inner = self.inner.clone();
            let request = wire::GetRequest { key: key.into() };
            let answer = read(self.timeout, inner.get(request)).await?;
            Ok(answer.entry.map(from_wire))
        })
    }

    fn list<'a>(&'a self, prefix: &'a str, keys_only: bool, limit: u32) -> Answer<'a, Vec<Entry>> {
        Box::pin(async move {
            let mut inner = self.inner.clone();
            let request = wire::ListRequest {
                prefix: prefix.into(),
                keys_only,
                limit,
            };
            let answer = read(self.timeout, inner.list(request)).await?;
            Ok(answer.entries.into_iter().map(from_wire).collect())
        })
    }

    fn swap<'a>(
        &'a self,
        key: &'a str,
        expected: u64,
        value: Option<Bytes>,
        lease: u64,
    ) -> Answer<'a, Swap> {
        Box::pin(async move {
            let mut inner = self.inner.clone();
            let request = wire::SwapRequest {
                key: key.into(),
                expected,
                value,
                lease,
            };
            let answer = write(self.timeout, inner.swap(request)).await?;
            if answer.swapped {
                Ok(Swap::Done(answer.revision))
            } else {
                Ok(Swap::Stale(answer.revision))
            }
        })
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        seen: u64,
        timeout: Duration,
    ) -> Answer<'a, Option<Entry>> {
        Box::pin(async move {
            let mut inner = self.inner.clone();
            let request = wire::WatchRequest {
                key: key.into(),
                seen,
                timeout_ms: u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX),
            };
            let answer = read(self.timeout + timeout, inner.watch(request)).await?;
            Ok(answer.entry.map(from_wire))
        })
    }

    fn grant(&self, ttl: Duration) -> Answer<'_, u64> {
        Box::pin(async move {
            let mut inner = self.inner.clone();
            let ttl_ms = u32::try_from(ttl.as_millis()).unwrap_or(u32::MAX);
            let answer = write(self.timeout, inner.grant(wire::GrantRequest { ttl_ms })).await?;
            Ok(answer.lease)
        })
    }

    fn renew(&self, lease: u64) -> Answer<'_, bool> {
        Box::pin(async move {
            let mut inner = self.inner.clone();
            let answer = write(self.timeout, inner.renew(wire::LeaseRequest { lease })).await?;
            Ok(answer.alive)
        })
    }

    fn revoke(&self, lease: u64) -> Answer<'_, ()> {
        Box::pin(async move {
            let mut inner = self.inner.clone();
            write(self.timeout, inner.revoke(wire::LeaseRequest { lease })).await?;
            Ok(())
        })
    }
}

fn from_wire(entry: wire::Entry) -> Entry {
    Entry {
        key: entry.key,
        value: entry.value,
        revision: entry.revision,
    }
}

/// Makes a call without effect: every fault means that it can be repeated.
async fn read<T>(
    timeout: Duration,
    call: impl Future<Output = Result<tonic::Response<T>, Status>>,
) -> Result<T, PlatformError> {
    match tokio::time::timeout(timeout, call).await {
        Ok(Ok(answer)) => Ok(answer.into_inner()),
        Ok(Err(status)) if status.code() == Code::InvalidArgument => {
            Err(PlatformError::Refused(status.message().into()))
        }
        Ok(Err(status)) => Err(PlatformError::Unavailable(status.message().into())),
        Err(_) => Err(PlatformError::Unavailable("no answer in time".into())),
    }
}

/// Makes a call with an effect: only a refusal by the service proves that there was none.
async fn write<T>(
    timeout: Duration,
    call: impl Future<Output = Result<tonic::Response<T>, Status>>,
) -> Result<T, PlatformError> {
    match tokio::time::timeout(timeout, call).await {
        Ok(Ok(answer)) => Ok(answer.into_inner()),
        Ok(Err(status)) => Err(match status.code() {
            Code::InvalidArgument => PlatformError::Refused(status.message().into()),
            Code::ResourceExhausted => PlatformError::Unavailable(status.message().into()),
            _ => PlatformError::Unknown(status.message().into()),
        }),
        Err(_) => Err(PlatformError::Unknown("no answer in time".into())),
    }
}
