//! The health endpoint of this daemon's own backend server.
//!
//! Calls decide whether a backend server works, since a health endpoint may lag or mislead. Only
//! its statement that it drains is acted on.

use crate::call;
use crate::call::upstream::{BackendPool, Reuse, UpstreamError};
use crate::daemon::{Daemon, Phase};
use crate::event;
use crate::serve::full;
use crate::settings::Backend;
use http::{HeaderValue, Request, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Bytes;
use std::time::Duration;
use tokio::time::sleep;

const ASK_EVERY: Duration = Duration::from_secs(1);
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for the endpoint to confirm an instance; its report waits for that.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for a configuration that names the endpoint to come; a report waits for that too.
const CONFIG_TIMEOUT: Duration = Duration::from_millis(500);

/// Greatest length of the endpoint's answer, in bytes.
const MAX_ANSWER_LEN: usize = 64 * 1024;

/// The word in a refusing answer that states a drain.
const DRAINING: &[u8] = b"draining";

#[derive(Clone, Copy, PartialEq, Eq)]
enum Health {
    Healthy,
    Unhealthy,
    Draining,
}

/// Asks the health endpoint until the daemon drains.
pub async fn watch(daemon: &Daemon, backend: &Backend) {
    let Some(path) = &backend.health else {
        return;
    };
    // Apart from the connections for calls.
    let pool = BackendPool::new(backend.address);
    pool.set_limit(1);
    let mut before = Health::Healthy;
    while daemon.drain.phase() == Phase::Running {
        let health = tokio::time::timeout(ASK_TIMEOUT, ask(&pool, path)).await;
        let health = health.map_or(Health::Unhealthy, |asked| {
            asked.unwrap_or(Health::Unhealthy)
        });
        if health != before {
            tell(daemon, health);
        }
        before = health;
        sleep(ASK_EVERY).await;
    }
}

/// Asks the health endpoint once whether the backend server is a certain instance and healthy.
/// False as well when no endpoint is configured.
pub async fn confirms(daemon: &Daemon, instance: &str) -> bool {
    let Some(backend) = &daemon.settings.backend else {
        return false;
    };
    // A backend server that runs on reports to a restarted daemon before it has a configuration.
    let known = tokio::time::timeout(CONFIG_TIMEOUT, configured(daemon, &backend.service)).await;
    if known.is_err() {
        return false;
    }
    let table = daemon.config.table();
    let service = table.service_named(&backend.service);
    let Some(path) = service.and_then(|service| service.pool.health.as_ref()) else {
        return false;
    };
    let pool = BackendPool::new(backend.address);
    pool.set_limit(1);
    let mut request = Request::new(full(Bytes::new()));
    *request.uri_mut() = path.parse().unwrap_or_default();
    let host = HeaderValue::from_static("backend");
    request.headers_mut().insert(header::HOST, host);
    let ask = async {
        let answer = pool.connection(Reuse::Never).await?.send(request).await?;
        Ok::<_, UpstreamError>(answer)
    };
    let Ok(Ok(answer)) = tokio::time::timeout(CONFIRM_TIMEOUT, ask).await else {
        return false;
    };
    let name = daemon.names.instance.as_ref();
    let said = name.and_then(|name| call::text(answer.headers(), name));
    answer.status().is_success() && said == Some(instance)
}

/// Waits until a service is configured.
async fn configured(daemon: &Daemon, service: &str) {
    let mut versions = daemon.config.subscribe();
    while daemon.config.table().service_named(service).is_none() {
        if versions.changed().await.is_err() {
            return;
        }
    }
}

fn tell(daemon: &Daemon, health: Health) {
    match health {
        Health::Healthy => event!(BackendHealthy),
        Health::Unhealthy => event!(BackendUnhealthy),
        Health::Draining => {
            event!(Draining, cause = "backend");
            daemon.drain.advance(Phase::Draining);
        }
    }
}

async fn ask(pool: &BackendPool, path: &str) -> Result<Health, UpstreamError> {
    let mut request = Request::new(full(Bytes::new()));
    *request.uri_mut() = path.parse().unwrap_or_default();
    let host = HeaderValue::from_static("backend");
    request.headers_mut().insert(header::HOST, host);
    let answer = pool
        .connection(Reuse::Within(ASK_EVERY * 2))
        .await?
        .send(request)
        .await?;
    let (head, body) = answer.into_parts();
    if head.headers.contains_key(call::DRAIN) {
        return Ok(Health::Draining);
    }
    if head.status.is_success() {
        return Ok(Health::Healthy);
    }
    let body = Limited::new(body, MAX_ANSWER_LEN).collect().await;
    let body = body.map(http_body_util::Collected::to_bytes);
    let body = body.unwrap_or_default();
    let states_drain = body.windows(DRAINING.len()).any(|part| part == DRAINING);
    if head.status == StatusCode::SERVICE_UNAVAILABLE && states_drain {
        return Ok(Health::Draining);
    }
    Ok(Health::Unhealthy)
}
