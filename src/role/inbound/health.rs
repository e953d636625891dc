//! Probes of the health endpoint of this daemon's own backend server.
//!
//! The results of calls decide whether a backend server is usable, since a health endpoint may lag
//! or be wrong. Only a response that reports a drain has an effect; other changes are logged.

use crate::call;
use crate::call::pool::{BackendPool, Reuse};
use crate::call::upstream::UpstreamError;
use crate::daemon::{Daemon, Phase};
use crate::event;
use crate::serve::full_body;
use crate::settings::Backend;
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Bytes;
use std::time::Duration;
use tokio::time::sleep;

const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit of a request that confirms an instance; handling of a report waits for it.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);

/// Time limit for a configuration with the endpoint to arrive; handling of a report waits for it.
const CONFIG_TIMEOUT: Duration = Duration::from_millis(500);

/// Greatest length of the endpoint's response, in bytes.
const MAX_RESPONSE_LEN: usize = 64 * 1024;

/// Text in the body of a 503 response that reports a drain.
const DRAINING: &[u8] = b"draining";

#[derive(Clone, Copy, PartialEq, Eq)]
enum Health {
    Healthy,
    Unhealthy,
    Draining,
}

/// Probes the health endpoint until the daemon drains.
pub async fn watch(daemon: &Daemon, backend: &Backend) {
    let Some(path) = &backend.health else {
        return;
    };
    // Separate from the connections for calls, and not counted against their limit.
    let pool = BackendPool::new(backend.address);
    pool.set_limit(1);
    let mut previous = Health::Healthy;
    while daemon.drain.phase() == Phase::Running {
        let health = tokio::time::timeout(PROBE_TIMEOUT, probe(&pool, path)).await;
        let health = health.map_or(Health::Unhealthy, |probed| {
            probed.unwrap_or(Health::Unhealthy)
        });
        if health == Health::Healthy {
            super::component(daemon).mark_reachable();
        }
        if health != previous {
            handle_change(daemon, health);
        }
        previous = health;
        sleep(PROBE_INTERVAL).await;
    }
}

/// What the health endpoint states.
pub struct HealthReport {
    /// Whether the backend server is healthy.
    pub healthy: bool,
    /// The instance that it is, if stated.
    pub instance: Option<String>,
}

impl HealthReport {
    /// Tests whether the backend server is healthy and is the given instance.
    #[must_use]
    pub fn confirms(&self, instance: &str) -> bool {
        self.healthy && self.instance.as_deref() == Some(instance)
    }
}

/// Requests the health endpoint once. Returns `None` if there is no response in time, or no endpoint is configured.
pub async fn request(daemon: &Daemon) -> Option<HealthReport> {
    let backend = daemon.settings.backend.as_ref()?;
    // After a restart of the daemon alone, the backend server reports before the daemon has a
    // configuration.
    let configured = wait_configured(daemon, &backend.service);
    let configured = tokio::time::timeout(CONFIG_TIMEOUT, configured).await;
    configured.ok()?;
    let table = daemon.config.table();
    let path = table
        .service_named(&backend.service)?
        .pool
        .health
        .as_ref()?;
    let pool = BackendPool::new(backend.address);
    pool.set_limit(1);
    let mut request = Request::new(full_body(Bytes::new()));
    *request.uri_mut() = path.parse().unwrap_or_default();
    let host = HeaderValue::from_static("backend");
    request.headers_mut().insert(header::HOST, host);
    let exchange = async {
        let connection = pool.connection(Reuse::Never).await?;
        let response = connection.send_once(request).await?;
        Ok::<_, UpstreamError>(response)
    };
    let response = tokio::time::timeout(CONFIRM_TIMEOUT, exchange).await;
    let response = response.ok()?.ok()?;
    let name = daemon.names.instance.as_ref();
    let instance = name.and_then(|name| call::text(response.headers(), name));
    Some(HealthReport {
        healthy: response.status().is_success(),
        instance: instance.map(ToOwned::to_owned),
    })
}

/// Waits until a service is configured.
async fn wait_configured(daemon: &Daemon, service: &str) {
    let mut versions = daemon.config.subscribe();
    while daemon.config.table().service_named(service).is_none() {
        if versions.changed().await.is_err() {
            return;
        }
    }
}

fn handle_change(daemon: &Daemon, health: Health) {
    match health {
        Health::Healthy => event!(BackendHealthy),
        Health::Unhealthy => event!(BackendUnhealthy),
        Health::Draining => {
            event!(Draining, cause = "backend");
            daemon.drain.advance(Phase::Draining);
        }
    }
}

async fn probe(pool: &BackendPool, path: &str) -> Result<Health, UpstreamError> {
    let mut request = Request::new(full_body(Bytes::new()));
    *request.uri_mut() = path.parse().unwrap_or_default();
    let host = HeaderValue::from_static("backend");
    request.headers_mut().insert(header::HOST, host);
    // Responses have no request id, so a late copy of one could not be told from the next on a kept connection.
    let connection = pool.connection(Reuse::Never).await?;
    let response = connection.send_once(request).await?;
    let (head, body) = response.into_parts();
    if head.headers.contains_key(call::DRAIN) {
        return Ok(Health::Draining);
    }
    if head.status.is_success() {
        return Ok(Health::Healthy);
    }
    let body = Limited::new(body, MAX_RESPONSE_LEN).collect().await;
    let body = body.map(http_body_util::Collected::to_bytes);
    let body = body.unwrap_or_default();
    let reports_drain = body
        .windows(DRAINING.len())
        .any(|window| window == DRAINING);
    if head.status == StatusCode::SERVICE_UNAVAILABLE && reports_drain {
        return Ok(Health::Draining);
    }
    Ok(Health::Unhealthy)
}
