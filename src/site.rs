//! The environment of a daemon: its platform, header names and sources of configuration.
//!
//! The platform is what a daemon runs on: its key-value service with leases stores the
//! configuration and the entries of daemons, and it checks the readiness of the process and ends
//! it. An adapter to a platform provides a [`Site`]; the daemon makes all decisions.

use crate::backend::Report;
use crate::error::Result;
use crate::header_names::HeaderNames;
use crate::platform::{Entry, Platform};
use crate::rollout::{ExposureLimits, Order, Phase};
use crate::snapshot::Snapshot;
use bytes::Bytes;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// The source of the configuration.
#[derive(Clone, Default)]
pub enum Source {
    /// Changes that operators submit to the daemons, which accept them by compare-and-swap.
    #[default]
    Operators,
    /// An externally managed value in the platform, which the daemons only read.
    External(ExternalConfig),
}

/// An externally managed configuration: a platform key that others write.
#[derive(Clone)]
pub struct ExternalConfig {
    /// The key whose value is the newest version.
    pub key: String,
    /// Decodes a version from the key's value.
    pub decode: Decode,
}

/// Decodes a version from a value; unchanged resources are shared with the previous snapshot.
pub type Decode = Arc<dyn Fn(&[u8], &Snapshot) -> Result<Snapshot> + Send + Sync>;

/// Reads the daemon's settings again, and returns them as environment variables.
pub type Reload = Arc<dyn Fn() -> Result<BTreeMap<String, String>> + Send + Sync>;

/// A decoded request to the listener for reports of the backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportRequest {
    /// The backend server reports its state.
    Report(Report),
    /// The backend server leaves and takes no more calls.
    Leave(Leave),
}

/// A backend server's notice that it leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leave {
    /// The instance that leaves.
    pub instance: String,
    /// When it started, in milliseconds since the Unix epoch, if stated.
    pub born_ms: Option<u64>,
}

/// The endpoint at which the backend server beside a daemon reports its state.
#[derive(Clone, Debug)]
pub struct Reports {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// Decodes a request from its method, path and body; `None` when there is no such endpoint.
    pub decode: fn(&http::Method, &str, &[u8]) -> Option<Result<ReportRequest>>,
}

/// The endpoint at which the platform checks whether a daemon is ready.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Readiness {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The path of the check.
    pub path: String,
}

/// Rollouts that operators order by writing platform keys.
#[derive(Clone, Copy, Debug)]
pub struct Rollouts {
    /// The prefix of the orders' keys, which the service follows.
    pub orders: &'static str,
    /// Decodes an order.
    pub decode: fn(&Entry) -> Result<Order>,
    /// Returns the key of the state of a service's rollout.
    pub status_key: fn(&str) -> String,
    /// Encodes that state: the phase and the version ordered.
    pub encode_status: fn(Phase, &str) -> Bytes,
    /// The permitted exposure of callers to a bad version.
    pub limits: ExposureLimits,
}

/// The environment in which a daemon runs.
pub struct Site {
    /// The key-value service.
    pub platform: Arc<dyn Platform>,
    /// The header names that callers and backend servers use.
    pub names: HeaderNames,
    /// The source of the configuration.
    pub source: Source,
    /// How the backend server reports its state; without reports it always counts as ready.
    pub reports: Option<Reports>,
    /// The endpoint for readiness checks, in addition to the admin listener.
    pub readiness: Option<Readiness>,
    /// Reads the settings again, if they can change while the daemon runs.
    pub reload: Option<Reload>,
    /// How rollouts are ordered, if they are.
    pub rollouts: Option<Rollouts>,
}

impl Site {
    /// Creates a site on a platform with the default header names and operator changes.
    #[must_use]
    pub fn new(platform: Arc<dyn Platform>) -> Self {
        Site {
            platform,
            names: HeaderNames::default(),
            source: Source::Operators,
            reports: None,
            readiness: None,
            reload: None,
            rollouts: None,
        }
    }
}
