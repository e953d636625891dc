//! The flags of the daemon.

use crate::error::{Category, Error, Result};
use std::collections::BTreeMap;
use std::ffi::OsString;

#[allow(missing_docs, reason = "the macro writes no comments")]
mod parsed {
    xflags::xflags! {
        /// Runs the baobabstage daemon beside a backend server.
        ///
        /// Each flag has an environment variable: --drain-timeout-ms is BAOBAB_DRAIN_TIMEOUT_MS.
        /// A flag goes before its variable. BAOBAB_OPERATOR_TOKEN holds the operator token.
        cmd baobabd {
            /// The daemon's name, unique in the fleet; its mesh address by default.
            optional --name name: String
            /// The failure domain.
            optional --domain domain: String
            /// The region.
            optional --region region: String
            /// The service of the backend server.
            optional --service service: String
            /// Where the backend server listens, as IP:PORT.
            optional --backend backend: String
            /// The path of the backend server's health endpoint.
            optional --backend-health path: String
            /// The platform's address, as IP:PORT.
            optional --platform address: String
            /// Time for a call to the platform, in milliseconds.
            optional --platform-timeout-ms ms: String
            /// How the configuration reaches the daemon: tree or direct.
            optional --distribution mode: String
            /// Mesh addresses of other daemons, separated by commas.
            optional --peers addresses: String
            /// Where callers connect, as IP:PORT.
            optional --outbound address: String
            /// Where other daemons send calls, as IP:PORT.
            optional --inbound address: String
            /// Where other daemons attach, as IP:PORT.
            optional --mesh address: String
            /// Where operators connect, as IP:PORT.
            optional --operator address: String
            /// Where metrics and state are read, as IP:PORT.
            optional --admin address: String
            /// The IP number that other daemons reach this one by.
            optional --advertise ip: String
            /// Where other daemons send calls to this one, as IP:PORT, if not where it listens.
            optional --advertise-inbound address: String
            /// Where other daemons attach to this one, as IP:PORT, if not where it listens.
            optional --advertise-mesh address: String
            /// Time from the signal to stop after which the process is killed, in milliseconds.
            optional --grace-ms ms: String
            /// Time for calls in flight at a graceful shutdown, in milliseconds.
            optional --drain-timeout-ms ms: String
            /// Greatest number of children of a relay.
            optional --max-children count: String
            /// Children that a relay admits in a second.
            optional --admissions count: String
            /// Time in which changes of members are gathered, in milliseconds.
            optional --batch-ms ms: String
            /// Time between heartbeats on an idle stream, in milliseconds.
            optional --heartbeat-ms ms: String
            /// Retries of all daemons together in each window, besides a share of the calls.
            optional --retry-extra count: String
            /// The window of that number, in milliseconds.
            optional --retry-window-ms ms: String
            /// Threads that run the daemon's work.
            optional --threads count: String
            /// How log lines are written: text or json.
            optional --log-format format: String
            /// The least level that is logged: error, warn, info, debug or trace.
            optional --log-level level: String
            /// Checks the settings, prints what is wrong, and exits.
            optional --check-settings
        }
    }
}

/// The flags that take a value, each with an environment variable.
pub const FLAGS: [&str; 29] = [
    "name",
    "domain",
    "region",
    "service",
    "backend",
    "backend-health",
    "platform",
    "platform-timeout-ms",
    "distribution",
    "peers",
    "outbound",
    "inbound",
    "mesh",
    "operator",
    "admin",
    "advertise",
    "advertise-inbound",
    "advertise-mesh",
    "grace-ms",
    "drain-timeout-ms",
    "max-children",
    "admissions",
    "batch-ms",
    "heartbeat-ms",
    "retry-extra",
    "retry-window-ms",
    "threads",
    "log-format",
    "log-level",
];

/// The flags given to the daemon, as written.
#[derive(Clone, Debug, Default)]
pub struct Flags {
    values: BTreeMap<&'static str, String>,
    check_settings: bool,
}

impl Flags {
    /// Reads the flags of this process; prints help or a fault and exits where asked to.
    #[must_use]
    pub fn from_env_or_exit() -> Self {
        Flags::from_parsed(parsed::Baobabd::from_env_or_exit())
    }

    /// Reads flags from a list of arguments, without the program's name.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Input`] on an unknown flag or a missing value.
    pub fn from_args(args: Vec<OsString>) -> Result<Self> {
        parsed::Baobabd::from_vec(args)
            .map(Flags::from_parsed)
            .map_err(|err| Error::new(Category::Input, err))
    }

    /// Returns the flags with values, by name.
    #[must_use]
    pub fn values(&self) -> &BTreeMap<&'static str, String> {
        &self.values
    }

    /// Returns whether the settings shall only be checked.
    #[must_use]
    pub fn check_settings(&self) -> bool {
        self.check_settings
    }

    fn from_parsed(flags: parsed::Baobabd) -> Self {
        let given = [
            flags.name,
            flags.domain,
            flags.region,
            flags.service,
            flags.backend,
            flags.backend_health,
            flags.platform,
            flags.platform_timeout_ms,
            flags.distribution,
            flags.peers,
            flags.outbound,
            flags.inbound,
            flags.mesh,
            flags.operator,
            flags.admin,
            flags.advertise,
            flags.advertise_inbound,
            flags.advertise_mesh,
            flags.grace_ms,
            flags.drain_timeout_ms,
            flags.max_children,
            flags.admissions,
            flags.batch_ms,
            flags.heartbeat_ms,
            flags.retry_extra,
            flags.retry_window_ms,
            flags.threads,
            flags.log_format,
            flags.log_level,
        ];
        let values = FLAGS
            .into_iter()
            .zip(given)
            .filter_map(|(name, value)| Some((name, value?)))
            .collect();
        Flags {
            values,
            check_settings: flags.check_settings,
        }
    }
}
