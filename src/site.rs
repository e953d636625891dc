//! What a daemon finds at the place where it runs.
//!
//! An adapter to a platform fills in a [`Site`]. The daemon decides what to do with it.

use crate::backend::Report;
use crate::error::Result;
use crate::names::Names;
use crate::platform::Platform;
use crate::snapshot::Snapshot;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Where the configuration comes from.
#[derive(Clone, Default)]
pub enum Source {
    /// Changes that operators hand to the daemons, accepted by compare-and-swap.
    #[default]
    Own,
    /// A value in the platform that others write; the daemons only read it.
    Given(Given),
}

/// A configuration that others write.
#[derive(Clone)]
pub struct Given {
    /// The key of the newest version.
    pub key: String,
    /// Reads a version from the key's value.
    pub decode: Decode,
}

/// Reads a version from a value. What is the same in the version before is shared with it.
pub type Decode = Arc<dyn Fn(&[u8], &Snapshot) -> Result<Snapshot> + Send + Sync>;

/// Reads the settings of the daemon again, as environment variables.
pub type Reload = Arc<dyn Fn() -> Result<BTreeMap<String, String>> + Send + Sync>;

/// A call to the listener for reports of the backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportCall {
    /// The backend server tells of itself.
    Report(Report),
    /// The backend server of this instance takes no more calls.
    Leave(Leave),
}

/// A backend server's word that it leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leave {
    /// The instance that leaves.
    pub instance: String,
    /// When it started, in milliseconds since the Unix epoch, if it says so.
    pub born_ms: Option<u64>,
}

/// How the backend server beside a daemon announces itself.
#[derive(Clone, Debug)]
pub struct Reports {
    /// Where the backend server calls.
    pub listen: SocketAddr,
    /// Reads a call from its method, path and body; `None` when there is no such call.
    pub decode: fn(&http::Method, &str, &[u8]) -> Option<Result<ReportCall>>,
}

/// Where the platform asks whether a daemon takes calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Readiness {
    /// Where the platform calls.
    pub listen: SocketAddr,
    /// The path that it asks for.
    pub path: String,
}

/// What a daemon finds at the place where it runs.
pub struct Site {
    /// The key-value service.
    pub platform: Arc<dyn Platform>,
    /// Header names.
    pub names: Names,
    /// Where the configuration comes from.
    pub source: Source,
    /// How the backend server announces itself; it is taken as ready when absent.
    pub reports: Option<Reports>,
    /// Where readiness is asked for, besides the admin listener.
    pub readiness: Option<Readiness>,
    /// Reads the settings again, where they may change while the daemon runs.
    pub reload: Option<Reload>,
}

impl Site {
    /// Makes a site over a platform with the product's own interface.
    #[must_use]
    pub fn new(platform: Arc<dyn Platform>) -> Self {
        Site {
            platform,
            names: Names::default(),
            source: Source::Own,
            reports: None,
            readiness: None,
            reload: None,
        }
    }
}
