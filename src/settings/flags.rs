//! The flags of the daemon.

use crate::error::{Category, Error, Result};
use std::collections::BTreeMap;
use std::ffi::OsString;

#[allow(missing_docs, reason = "the macro generates undocumented items")]
mod parsed {
    xflags::xflags! {
        /// Runs the baobabstage daemon beside a backend server.
        ///
        /// Each flag has an environment variable: --drain-timeout-ms is BAOBAB_DRAIN_TIMEOUT_MS.
        /// A flag overrides its variable. BAOBAB_OPERATOR_TOKEN holds the operator token.
        cmd baobabd {
            /// The daemon's name, unique in the fleet; derived from its mesh address by default.
            optional --name name: String
            /// The failure domain.
            optional --domain domain: String
            /// The region of the failure domain.
            optional --region region: String
            /// The service of the backend server.
            optional --service service: String
            /// The address of the backend server, as IP:PORT.
            optional --backend backend: String
            /// The path of the backend server's health endpoint.
            optional --backend-health path: String
            /// The address of the platform's key-value service, as IP:PORT.
            optional --platform address: String
            /// Time limit of a call to the platform, in milliseconds.
            optional --platform-timeout-ms ms: String
            /// How the configuration reaches the daemon: tree (through relays) or direct (from the
            /// platform); tree by default.
            optional --distribution mode: String
            /// Mesh addresses of other daemons, separated by commas.
            optional --peers addresses: String
            /// The address to listen on for callers, as IP:PORT.
            optional --outbound address: String
            /// The address to listen on for calls from other daemons, as IP:PORT.
            optional --inbound address: String
            /// The address to listen on for the distribution tree, as IP:PORT.
            optional --mesh address: String
            /// The address to listen on for operators, as IP:PORT.
            optional --operator address: String
            /// The address to listen on for metrics and the state dump, as IP:PORT.
            optional --admin address: String
            /// The IP address under which other daemons reach this one.
            optional --advertise ip: String
            /// The address to which other daemons send calls, as IP:PORT; that of --inbound by
            /// default, with the IP address of --advertise if set.
            optional --advertise-inbound address: String
            /// The address at which other daemons attach, as IP:PORT; that of --mesh by default,
            /// with the IP address of --advertise if set.
            optional --advertise-mesh address: String
            /// Time from the stop signal until the platform kills the process, in milliseconds;
            /// zero if it does not. The shutdown is planned to end within this time.
            optional --grace-ms ms: String
            /// Time limit of calls in flight at a shutdown without --grace-ms, in milliseconds.
            optional --drain-timeout-ms ms: String
            /// The maximum number of children of a relay.
            optional --max-children count: String
            /// The maximum number of children that a relay admits per second.
            optional --admissions count: String
            /// Time for which member changes are batched before they are sent, in milliseconds.
            optional --batch-ms ms: String
            /// The interval of heartbeats on an idle stream, in milliseconds.
            optional --heartbeat-ms ms: String
            /// The number of retries that all daemons together may make in each window, in addition
            /// to the retry percentage of each service's policy.
            optional --retry-extra count: String
            /// The length of the window of --retry-extra, in milliseconds.
            optional --retry-window-ms ms: String
            /// Whether calls with an API key are refused while it is not known whether the
            /// configuration is the newest: true or false. Requires direct distribution.
            optional --fail-closed value: String
            /// The time within which a withdrawn API key stops working, in milliseconds.
            optional --revoke-ms ms: String
            /// The time within which an accepted version must be in force on every daemon, in milliseconds.
            optional --apply-ms ms: String
            /// The time after which a daemon whose connections have failed must be in contact again, in
            /// milliseconds; versions accepted meanwhile must be in force by then.
            optional --reconnect-ms ms: String
            /// Whether all daemons start together for the first time: true or false.
            optional --first-start value: String
            /// The rate of the VM's link, in Mbit/s; zero if it is not known. Daemons with the fastest
            /// links read an externally managed configuration for the others.
            optional --link-mbps rate: String
            /// The number of worker threads.
            optional --threads count: String
            /// The format of log lines: text or json.
            optional --log-format format: String
            /// The least severe level that is logged: error, warn, info, debug or trace.
            optional --log-level level: String
            /// Checks the settings, prints every error, and exits.
            optional --check-settings
        }
    }
}

/// The flags that take a value, each with an environment variable.
pub const FLAGS: [&str; 35] = [
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
    "fail-closed",
    "revoke-ms",
    "apply-ms",
    "reconnect-ms",
    "first-start",
    "link-mbps",
    "threads",
    "log-format",
    "log-level",
];

/// The command-line flags of the daemon, before validation.
#[derive(Clone, Debug, Default)]
pub struct Flags {
    values: BTreeMap<&'static str, String>,
    check_settings: bool,
}

impl Flags {
    /// Parses the flags of this process; on `--help` or an error, prints it and exits.
    #[must_use]
    pub fn from_env_or_exit() -> Self {
        Flags::from_parsed(parsed::Baobabd::from_env_or_exit())
    }

    /// Parses flags from a list of arguments, without the program's name.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Input`] on an unknown flag or a missing value.
    pub fn from_args(args: Vec<OsString>) -> Result<Self> {
        parsed::Baobabd::from_vec(args)
            .map(Flags::from_parsed)
            .map_err(|err| Error::new(Category::Input, err))
    }

    /// Returns the values of the flags that were set, by name.
    #[must_use]
    pub fn values(&self) -> &BTreeMap<&'static str, String> {
        &self.values
    }

    /// Returns whether `--check-settings` was set.
    #[must_use]
    pub fn check_settings(&self) -> bool {
        self.check_settings
    }

    fn from_parsed(flags: parsed::Baobabd) -> Self {
        // In the order of `FLAGS`.
        let values = [
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
            flags.fail_closed,
            flags.revoke_ms,
            flags.apply_ms,
            flags.reconnect_ms,
            flags.first_start,
            flags.link_mbps,
            flags.threads,
            flags.log_format,
            flags.log_level,
        ];
        let values = FLAGS
            .into_iter()
            .zip(values)
            .filter_map(|(name, value)| Some((name, value?)))
            .collect();
        Flags {
            values,
            check_settings: flags.check_settings,
        }
    }
}
