//! Settings of the daemon, from flags and environment variables.

mod flags;

pub use flags::{FLAGS, Flags};

use crate::error::{Category, Error, Result};
use log::LevelFilter;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// The environment variable that holds the operator token.
pub const TOKEN_VARIABLE: &str = "BAOBAB_OPERATOR_TOKEN";

/// The environment variable that asks for a check of the settings.
pub const CHECK_VARIABLE: &str = "BAOBAB_CHECK_SETTINGS";

/// The start of the names of this product's environment variables.
const PREFIX: &str = "BAOBAB_";

/// The variables of `baobabctl`, which may be set in the daemon's environment too.
const CTL_VARIABLES: [&str; 3] = ["BAOBAB_DAEMONS", "BAOBAB_OUTPUT", "BAOBAB_TIMEOUT_MS"];

/// How the configuration reaches this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distribution {
    /// The daemon watches the platform itself and reads full snapshots.
    Direct,
    /// The daemon takes part in the distribution tree.
    Tree,
}

/// How log lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// `key=value` pairs.
    Text,
    /// One JSON object a line.
    Json,
}

/// The addresses to listen on; port zero lets the system choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// For callers.
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
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The path of its health endpoint; not asked when absent.
    pub health: Option<String>,
}

/// Checked settings of the daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The daemon's name, unique in the fleet.
    pub name: Option<String>,
    /// The failure domain.
    pub domain: String,
    /// The region of the failure domain.
    pub region: String,
    /// The backend server beside the daemon, if there is one.
    pub backend: Option<Backend>,
    /// The platform's address.
    pub platform: SocketAddr,
    /// Time for a call to the platform.
    pub platform_timeout: Duration,
    /// How the configuration reaches the daemon.
    pub distribution: Distribution,
    /// Mesh addresses of daemons to try when the platform cannot be reached.
    pub peers: Vec<SocketAddr>,
    /// The addresses to listen on.
    pub listen: Addresses,
    /// The IP number that other daemons reach this one by, if not the one listened on.
    pub advertise: Option<std::net::IpAddr>,
    /// Where other daemons send calls to this one, if not where it listens.
    pub advertise_inbound: Option<SocketAddr>,
    /// Where other daemons attach to this one, if not where it listens.
    pub advertise_mesh: Option<SocketAddr>,
    /// The operator token; operators need none when it is absent.
    pub token: Option<String>,
    /// Whether the settings shall only be checked.
    pub check_only: bool,
    /// Time from the signal to stop after which the process is killed, where that is so.
    pub grace: Option<Duration>,
    /// Time for calls in flight to end at a graceful shutdown.
    pub drain_timeout: Duration,
    /// Greatest number of children that a relay takes.
    pub max_children: u32,
    /// Children that a relay admits in a second.
    pub admissions: u32,
    /// Time in which changes of members are gathered into one message.
    pub batch_window: Duration,
    /// Time between heartbeats on an idle stream.
    pub heartbeat: Duration,
    /// Retries that all daemons together may make besides a share of the calls, in each window.
    pub retry_extra: u32,
    /// The window of that number.
    pub retry_window: Duration,
    /// Threads that run the daemon's work.
    pub threads: u32,
    /// How log lines are written.
    pub log_format: LogFormat,
    /// The least level that is logged.
    pub log_level: LevelFilter,
}

impl Settings {
    /// Checks flags and environment variables as a whole.
    ///
    /// A flag goes before its variable.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Input`]; the message lists every fault.
    pub fn new(flags: &Flags, variables: &BTreeMap<String, String>) -> Result<Self> {
        let mut source = Source {
            flags,
            variables,
            faults: Vec::new(),
        };
        let settings = source.read();
        source.refuse_unknown();
        if source.faults.is_empty() {
            Ok(settings)
        } else {
            Err(Error::new(Category::Input, source.faults.join("\n")))
        }
    }
}

/// Returns the environment variable of a flag.
#[must_use]
pub fn variable(flag: &str) -> String {
    format!("{PREFIX}{}", flag.replace('-', "_").to_uppercase())
}

struct Source<'a> {
    flags: &'a Flags,
    variables: &'a BTreeMap<String, String>,
    faults: Vec<String>,
}

impl Source<'_> {
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
            self.fault(
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
            threads: self.number("threads", 1, 1, 64),
            log_format: self.choice(
                "log-format",
                LogFormat::Text,
                &[("text", LogFormat::Text), ("json", LogFormat::Json)],
            ),
            log_level: self.parsed("log-level").unwrap_or(LevelFilter::Info),
        }
    }

    fn token(&mut self) -> Option<String> {
        let token = self.variables.get(TOKEN_VARIABLE)?;
        if token.bytes().any(|byte| !byte.is_ascii_graphic()) {
            let problem = "has characters other than visible ASCII";
            self.faults.push(format!("{TOKEN_VARIABLE}: {problem}"));
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
                self.faults.push(problem);
                true
            }
        }
    }

    /// Refuses variables with this product's prefix that stand for no flag.
    fn refuse_unknown(&mut self) {
        let mut known: BTreeSet<String> = FLAGS.iter().map(|flag| variable(flag)).collect();
        known.extend([TOKEN_VARIABLE, CHECK_VARIABLE].map(String::from));
        known.extend(CTL_VARIABLES.map(String::from));
        for name in self.variables.keys() {
            if name.starts_with(PREFIX) && !known.contains(name) {
                self.faults.push(format!("{name}: no such variable"));
            }
        }
    }

    fn get(&self, flag: &'static str) -> Option<String> {
        let value = self.flags.values().get(flag).cloned();
        value.or_else(|| self.variables.get(&variable(flag)).cloned())
    }

    fn fault(&mut self, flag: &str, problem: &str) {
        let variable = variable(flag);
        self.faults
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
                self.fault(flag, &format!("{value:?}: {err}"));
                None
            }
        }
    }

    fn address(&mut self, flag: &'static str, default: &str) -> SocketAddr {
        let default = default.parse().expect("a default is valid");
        self.parsed(flag).unwrap_or(default)
    }

    fn required_address(&mut self, flag: &'static str) -> SocketAddr {
        if self.get(flag).is_none() {
            self.fault(flag, "is required");
        }
        self.address(flag, "127.0.0.1:0")
    }

    fn addresses(&mut self, flag: &'static str) -> Vec<SocketAddr> {
        let list = self.get(flag).unwrap_or_default();
        let mut addresses = Vec::new();
        for item in list.split(',').filter(|item| !item.is_empty()) {
            match item.trim().parse() {
                Ok(address) => addresses.push(address),
                Err(err) => self.fault(flag, &format!("{item:?}: {err}")),
            }
        }
        addresses
    }

    fn name(&mut self, flag: &'static str) -> Option<String> {
        let name = self.get(flag)?;
        if let Err(err) = crate::check::name("settings", flag, &name) {
            self.fault(flag, &err.to_string());
        }
        Some(name)
    }

    fn required_name(&mut self, flag: &'static str) -> String {
        if self.get(flag).is_none() {
            self.fault(flag, "is required");
        }
        self.name(flag).unwrap_or_default()
    }

    fn backend(&mut self) -> Option<Backend> {
        let service = self.name("service");
        let address = self.parsed("backend");
        let health = self.get("backend-health");
        if health.as_ref().is_some_and(|path| !path.starts_with('/')) {
            self.fault("backend-health", "does not start with a slash");
        }
        match (service, address) {
            (Some(service), Some(address)) => Some(Backend {
                service,
                address,
                health,
            }),
            (None, None) => None,
            (Some(_), None) => {
                self.fault("backend", "is required with --service");
                None
            }
            (None, Some(_)) => {
                self.fault("service", "is required with --backend");
                None
            }
        }
    }

    fn number(&mut self, flag: &'static str, default: u32, low: u32, high: u32) -> u32 {
        let value = self.parsed(flag).unwrap_or(default);
        if !(low..=high).contains(&value) {
            self.fault(flag, &format!("{value} is not in {low} to {high}"));
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
        self.fault(flag, &format!("{value:?} is none of {}", names.join(", ")));
        default
    }
}
