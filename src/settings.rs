//! Settings of the daemon, read from flags and environment variables.

mod flags;

pub use flags::{FLAGS, Flags};

use crate::error::{Category, Error, Result};
use log::LevelFilter;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// The environment variable of the operator token; there is no flag for it.
pub const TOKEN_VARIABLE: &str = "BAOBAB_OPERATOR_TOKEN";

/// The environment variable that requests a check of the settings only, as `true` or `false`.
pub const CHECK_VARIABLE: &str = "BAOBAB_CHECK_SETTINGS";

/// The prefix of this product's environment variables.
const PREFIX: &str = "BAOBAB_";

/// The variables of `baobabctl`, which are allowed in the daemon's environment too.
const CTL_VARIABLES: [&str; 3] = ["BAOBAB_DAEMONS", "BAOBAB_OUTPUT", "BAOBAB_TIMEOUT_MS"];

/// The way in which the configuration reaches this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distribution {
    /// The daemon watches the platform and reads full snapshots from it.
    Direct,
    /// The daemon attaches to a relay, or is one, in the distribution tree.
    Tree,
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// `key=value` pairs.
    Text,
    /// One JSON object per line.
    Json,
}

/// The addresses to listen on; with port zero the system chooses one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For local callers.
    pub outbound: SocketAddr,
    /// For calls from other daemons to this daemon's backend server.
    pub inbound: SocketAddr,
    /// For the distribution tree.
    pub mesh: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
    /// For metrics and the state dump.
    pub admin: SocketAddr,
}

/// The backend server beside this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// The service to which it belongs.
    pub service: String,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The path of its health endpoint; without one, its health is not checked.
    pub health: Option<String>,
}

/// The validated settings of the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The daemon's name, unique in the fleet; by default derived from its mesh address.
    pub name: Option<String>,
    /// The failure domain.
    pub domain: String,
    /// The region of the failure domain.
    pub region: String,
    /// The backend server beside the daemon, if there is one.
    pub backend: Option<Backend>,
    /// The address of the platform's key-value service.
    pub platform: SocketAddr,
    /// Time limit of a call to the platform.
    pub platform_timeout: Duration,
    /// The way in which the configuration reaches the daemon.
    pub distribution: Distribution,
    /// Mesh addresses of daemons to contact when the platform is unreachable.
    pub peers: Vec<SocketAddr>,
    /// The addresses to listen on.
    pub listen: Addresses,
    /// The IP address under which other daemons reach this one, if not the one it listens on.
    pub advertise: Option<std::net::IpAddr>,
    /// The address to which other daemons send calls, if not the inbound one with the IP address of
    /// `advertise`.
    pub advertise_inbound: Option<SocketAddr>,
    /// The address at which other daemons attach, if not the mesh one with the IP address of
    /// `advertise`.
    pub advertise_mesh: Option<SocketAddr>,
    /// The token that operators must present; without one, none is required.
    pub token: Option<String>,
    /// Whether to check the settings and exit.
    pub check_only: bool,
    /// Time from the stop signal until the platform kills the process, if it does.
    pub grace: Option<Duration>,
    /// Time limit of calls in flight at a graceful shutdown, where `grace` is not set.
    pub drain_timeout: Duration,
    /// The maximum number of children of a relay.
    pub max_children: u32,
    /// The maximum number of children that a relay admits per second.
    pub admissions: u32,
    /// Time for which member changes are batched into one message.
    pub batch_window: Duration,
    /// The interval of heartbeats on an idle stream.
    pub heartbeat: Duration,
    /// Retries that all daemons together may make in each window, in addition to the retry
    /// percentage of each service's policy. Zero disables these retries.
    pub retry_extra: u32,
    /// The length of the window of `retry_extra`.
    pub retry_window: Duration,
    /// Whether calls with an API key are refused while the daemon is out of contact: for longer than
    /// `revoke_time`, it has not known whether its configuration is the newest.
    pub fail_closed: bool,
    /// The time within which a withdrawn API key stops working.
    pub revoke_time: Duration,
    /// The time within which an accepted version must be in force on every daemon.
    pub apply_time: Duration,
    /// The time after which a daemon whose connections have failed must be in contact again.
    pub reconnect_time: Duration,
    /// Whether all daemons start together for the first time, so that the members are not complete
    /// at the start.
    pub first_start: bool,
    /// The rate of this VM's link, in Mbit/s; zero if it is not known.
    pub link_mbps: u32,
    /// The number of worker threads.
    pub threads: u32,
    /// The format of log lines.
    pub log_format: LogFormat,
    /// The least severe level that is logged.
    pub log_level: LevelFilter,
}

impl Settings {
    /// Reads and validates all flags and environment variables.
    ///
    /// A flag overrides its variable.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Input`]; the message has one line for each error.
    pub fn new(flags: &Flags, variables: &BTreeMap<String, String>) -> Result<Self> {
        let mut reader = Reader {
            flags,
            variables,
            errors: Vec::new(),
        };
        let settings = reader.read();
        reader.reject_unknown();
        if reader.errors.is_empty() {
            Ok(settings)
        } else {
            Err(Error::new(Category::Input, reader.errors.join("\n")))
        }
    }
}

/// Returns the environment variable of a flag, which is named without leading dashes.
#[must_use]
pub fn variable(flag: &str) -> String {
    format!("{PREFIX}{}", flag.replace('-', "_").to_uppercase())
}

/// Reads settings, and collects every error instead of stopping at the first.
struct Reader<'a> {
    flags: &'a Flags,
    variables: &'a BTreeMap<String, String>,
    errors: Vec<String>,
}

impl Reader<'_> {
    fn read(&mut self) -> Settings {
        let listen = Addresses {
            outbound: self.address("outbound", "127.0.0.1:0"),
            inbound: self.address("inbound", "127.0.0.1:0"),
            mesh: self.address("mesh", "127.0.0.1:0"),
            operator: self.address("operator", "127.0.0.1:0"),
            admin: self.address("admin", "127.0.0.1:0"),
        };
        let token = self.token();
        if token.is_none() && !listen.operator.ip().is_loopback() {
            self.error(
                "operator",
                &format!(
                    "{} is not a loopback address, and {TOKEN_VARIABLE} is not set",
                    listen.operator
                ),
            );
        }
        Settings {
            name: self.name("name"),
            domain: self.required_name("domain"),
            region: self.required_name("region"),
            backend: self.backend(),
            platform: self.required_address("platform"),
            platform_timeout: self.millis("platform-timeout-ms", 1_000, 10, 60_000),
            distribution: self.choice(
                "distribution",
                Distribution::Tree,
                &[
                    ("direct", Distribution::Direct),
                    ("tree", Distribution::Tree),
                ],
            ),
            peers: self.addresses("peers"),
            listen,
            advertise: self.parsed("advertise"),
            advertise_inbound: self.parsed("advertise-inbound"),
            advertise_mesh: self.parsed("advertise-mesh"),
            token,
            check_only: self.check_only(),
            grace: Some(self.millis("grace-ms", 0, 0, 600_000)).filter(|time| !time.is_zero()),
            drain_timeout: self.millis("drain-timeout-ms", 30_000, 0, 3_600_000),
            max_children: self.number("max-children", 256, 1, 10_000),
            admissions: self.number("admissions", 50, 1, 10_000),
            batch_window: self.millis("batch-ms", 50, 0, 10_000),
            heartbeat: self.millis("heartbeat-ms", 3_000, 100, 60_000),
            retry_extra: self.number("retry-extra", 0, 0, 100_000),
            retry_window: self.millis("retry-window-ms", 10_000, 100, 600_000),
            fail_closed: self.fail_closed(),
            revoke_time: self.millis("revoke-ms", 5_000, 100, 600_000),
            apply_time: self.millis("apply-ms", 10_000, 100, 600_000),
            reconnect_time: self.millis("reconnect-ms", 3_000, 0, 600_000),
            first_start: self.choice("first-start", false, &[("true", true), ("false", false)]),
            link_mbps: self.number("link-mbps", 0, 0, 1_000_000),
            threads: self.number("threads", 1, 1, 64),
            log_format: self.choice(
                "log-format",
                LogFormat::Text,
                &[("text", LogFormat::Text), ("json", LogFormat::Json)],
            ),
            log_level: self.parsed("log-level").unwrap_or(LevelFilter::Info),
        }
    }

    /// Reads whether keyed calls need contact, which daemons in the distribution tree cannot prove.
    fn fail_closed(&mut self) -> bool {
        let closed = self.choice("fail-closed", false, &[("true", true), ("false", false)]);
        if closed && self.get("distribution").as_deref() != Some("direct") {
            self.error("fail-closed", "requires --distribution direct");
        }
        closed
    }

    fn token(&mut self) -> Option<String> {
        let token = self.variables.get(TOKEN_VARIABLE)?;
        if token.bytes().any(|byte| !byte.is_ascii_graphic()) {
            let problem = "has characters other than visible ASCII";
            self.errors.push(format!("{TOKEN_VARIABLE}: {problem}"));
        }
        Some(token.clone()).filter(|token| !token.is_empty())
    }

    fn check_only(&mut self) -> bool {
        let value = self.variables.get(CHECK_VARIABLE).map(String::as_str);
        match value {
            Some("true") => true,
            None | Some("false") => self.flags.check_settings(),
            Some(other) => {
                let problem = format!("{CHECK_VARIABLE}: {other:?} is none of true, false");
                self.errors.push(problem);
                true
            }
        }
    }

    /// Reports variables with this product's prefix that belong to no flag.
    fn reject_unknown(&mut self) {
        let mut known: BTreeSet<String> = FLAGS.iter().map(|flag| variable(flag)).collect();
        known.extend([TOKEN_VARIABLE, CHECK_VARIABLE].map(String::from));
        known.extend(CTL_VARIABLES.map(String::from));
        for name in self.variables.keys() {
            if name.starts_with(PREFIX) && !known.contains(name) {
                self.errors.push(format!("{name}: no such variable"));
            }
        }
    }

    fn get(&self, flag: &'static str) -> Option<String> {
        let value = self.flags.values().get(flag).cloned();
        value.or_else(|| self.variables.get(&variable(flag)).cloned())
    }

    fn error(&mut self, flag: &str, problem: &str) {
        let variable = variable(flag);
        self.errors
            .push(format!("--{flag} ({variable}): {problem}"));
    }

    fn parsed<T: std::str::FromStr>(&mut self, flag: &'static str) -> Option<T>
    where
        T::Err: std::fmt::Display,
    {
        let value = self.get(flag)?;
        match value.parse() {
            Ok(value) => Some(value),
            Err(err) => {
                self.error(flag, &format!("{value:?}: {err}"));
                None
            }
        }
    }

    fn address(&mut self, flag: &'static str, default: &str) -> SocketAddr {
        let default = default.parse().expect("the default address is valid");
        self.parsed(flag).unwrap_or(default)
    }

    fn required_address(&mut self, flag: &'static str) -> SocketAddr {
        if self.get(flag).is_none() {
            self.error(flag, "is required");
        }
        self.address(flag, "127.0.0.1:0")
    }

    fn addresses(&mut self, flag: &'static str) -> Vec<SocketAddr> {
        let list = self.get(flag).unwrap_or_default();
        let mut addresses = Vec::new();
        for item in list.split(',').filter(|item| !item.is_empty()) {
            match item.trim().parse() {
                Ok(address) => addresses.push(address),
                Err(err) => self.error(flag, &format!("{item:?}: {err}")),
            }
        }
        addresses
    }

    fn name(&mut self, flag: &'static str) -> Option<String> {
        let name = self.get(flag)?;
        if let Err(err) = crate::check::name("settings", flag, &name) {
            self.error(flag, &err.to_string());
        }
        Some(name)
    }

    fn required_name(&mut self, flag: &'static str) -> String {
        if self.get(flag).is_none() {
            self.error(flag, "is required");
        }
        self.name(flag).unwrap_or_default()
    }

    fn backend(&mut self) -> Option<Backend> {
        let service = self.name("service");
        let address = self.parsed("backend");
        let health = self.get("backend-health");
        if health.as_ref().is_some_and(|path| !path.starts_with('/')) {
            self.error("backend-health", "does not start with a slash");
        }
        match (service, address) {
            (Some(service), Some(address)) => Some(Backend {
                service,
                address,
                health,
            }),
            (None, None) => None,
            (Some(_), None) => {
                self.error("backend", "is required with --service");
                None
            }
            (None, Some(_)) => {
                self.error("service", "is required with --backend");
                None
            }
        }
    }

    fn number(&mut self, flag: &'static str, default: u32, low: u32, high: u32) -> u32 {
        let value = self.parsed(flag).unwrap_or(default);
        if !(low..=high).contains(&value) {
            self.error(flag, &format!("{value} is not in {low} to {high}"));
        }
        value
    }

    fn millis(&mut self, flag: &'static str, default: u32, low: u32, high: u32) -> Duration {
        Duration::from_millis(u64::from(self.number(flag, default, low, high)))
    }

    fn choice<T: Copy>(&mut self, flag: &'static str, default: T, all: &[(&str, T)]) -> T {
        let Some(value) = self.get(flag) else {
            return default;
        };
        if let Some((_, choice)) = all.iter().find(|(name, _)| *name == value) {
            return *choice;
        }
        let names: Vec<&str> = all.iter().map(|(name, _)| *name).collect();
        self.error(flag, &format!("{value:?} is none of {}", names.join(", ")));
        default
    }
}
