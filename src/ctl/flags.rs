//! The commands and flags of `baobabctl`.

use crate::error::{Category, Error, Result};
use std::collections::BTreeMap;
use std::ffi::OsString;
use std::io::Write as _;
use std::time::Duration;

#[allow(missing_docs, reason = "the macro generates undocumented items")]
mod parsed {
    xflags::xflags! {
        /// Changes and watches the configuration of a service mesh.
        ///
        /// Each flag before the command has an environment variable: --timeout-ms is
        /// BAOBAB_TIMEOUT_MS. A flag overrides its variable. BAOBAB_OPERATOR_TOKEN holds the
        /// operator token.
        ///
        /// Exit codes: 0 done; 1 the program failed; 2 wrong command line or input; 3 not
        /// accepted; 4 unknown, ask by change id; 5 not in force everywhere in time; 6 no daemon
        /// can be reached; 7 no such resource or change.
        cmd baobabctl {
            /// Operator addresses of daemons as IP:PORT, separated by commas, tried in turn.
            optional --daemons addresses: String
            /// The output format: table or json; table by default.
            optional --output format: String
            /// Time limit for the response of one daemon, in milliseconds; 10000 by default.
            optional --timeout-ms ms: String

            /// Checks a change and shows what it would do.
            cmd check {
                /// The change file, in TOML, or in JSON if its name ends in .json.
                required file: String
            }
            /// Applies a change.
            cmd apply {
                /// The change file, in TOML, or in JSON if its name ends in .json.
                required file: String
                /// Waits until the change is in force everywhere, as the wait command does.
                optional --wait
                /// Time limit of --wait, in milliseconds; 10000 by default.
                optional --wait-ms ms: u64
            }
            /// Applies the inverse of a change.
            cmd revert {
                /// The id of the change to undo.
                required change: String
                /// The id of the new change; revert-CHANGE by default.
                optional --id id: String
                /// Waits until the change is in force everywhere, as the wait command does.
                optional --wait
                /// Time limit of --wait, in milliseconds; 10000 by default.
                optional --wait-ms ms: u64
            }
            /// Shows one resource.
            cmd get {
                /// The kind: policy, pool, service or route.
                required kind: String
                /// The name.
                required name: String
            }
            /// Lists resources.
            cmd list {
                /// The kind; every kind by default.
                optional kind: String
            }
            /// Shows resources, then each difference, until interrupted.
            cmd watch {
                /// The kind; every kind by default.
                optional kind: String
                /// The name; every name by default.
                optional name: String
                /// Ends after this many lines.
                optional --lines count: u64
            }
            /// Lists accepted changes, newest first.
            cmd history {
                /// Maximum number of changes; 100 by default.
                optional --limit count: u64
            }
            /// Shows whether a change is accepted, and where it is in force.
            cmd status {
                /// The id of the change.
                required change: String
            }
            /// Waits until a change is in force everywhere.
            cmd wait {
                /// The id of the change.
                required change: String
                /// Time limit, in milliseconds; 10000 by default.
                optional --wait-ms ms: u64
            }
            /// Shows the rollouts that the first daemon that responds knows.
            cmd rollout {}
            /// Shows the state dump of a daemon.
            cmd state {
                /// The admin address of the daemon, as IP:PORT.
                required address: String
            }
            /// Shows the version in force at the first daemon that responds.
            cmd version {}
        }
    }
}

/// Time limit of a wait for a change to be in force, in milliseconds, where none is set.
const DEFAULT_WAIT_MS: u64 = 10_000;
/// Time limit for the response of one daemon, in milliseconds, where none is set.
const DEFAULT_TIMEOUT_MS: u32 = 10_000;

/// A command with its arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Checks a change.
    Check {
        /// The change file.
        file: String,
    },
    /// Applies a change.
    Apply {
        /// The change file.
        file: String,
        /// Time limit for the change to be in force everywhere; absent for no wait.
        wait: Option<Duration>,
    },
    /// Applies the inverse of a change.
    Revert {
        /// The id of the change to undo.
        change: String,
        /// The id of the new change; `revert-` and the reverted id by default.
        id: Option<String>,
        /// Time limit for the change to be in force everywhere; absent for no wait.
        wait: Option<Duration>,
    },
    /// Shows one resource.
    Get {
        /// The kind.
        kind: String,
        /// The name.
        name: String,
    },
    /// Lists resources.
    List {
        /// The kind; every kind when absent.
        kind: Option<String>,
    },
    /// Shows resources and each difference.
    Watch {
        /// The kind; every kind when absent.
        kind: Option<String>,
        /// The name; every name when absent.
        name: Option<String>,
        /// The number of lines after which the command ends; no limit when absent.
        lines: Option<u64>,
    },
    /// Lists accepted changes.
    History {
        /// Maximum number of changes; set by the daemon when absent.
        limit: Option<u64>,
    },
    /// Shows whether a change is accepted, and where it is in force.
    Status {
        /// The id of the change.
        change: String,
    },
    /// Waits until a change is in force everywhere.
    Wait {
        /// The id of the change.
        change: String,
        /// Time limit for the change to be in force everywhere.
        timeout: Duration,
    },
    /// Shows the state dump of a daemon.
    State {
        /// The admin address of the daemon, as IP:PORT.
        address: String,
    },
    /// Shows the rollouts.
    Rollout,
    /// Shows the version in force.
    Version,
}

/// The output format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Output {
    /// Aligned columns.
    #[default]
    Table,
    /// The JSON of the API response.
    Json,
}

/// The parsed command line of `baobabctl`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Flags {
    /// Operator addresses of daemons as IP:PORT, separated by commas, tried in turn.
    pub daemons: String,
    /// The output format.
    pub output: Output,
    /// Time limit for the response of one daemon, without the time that it is asked to wait.
    pub timeout: Duration,
    /// The operator token, from the environment only.
    pub token: Option<String>,
    /// The command.
    pub command: Command,
}

impl Flags {
    /// Parses the command line and the environment. Prints help and exits when help is requested.
    ///
    /// # Errors
    ///
    /// Fails as [`Flags::new`] does.
    pub fn from_env_or_exit() -> Result<Self> {
        let variables = std::env::vars_os()
            .filter_map(|(name, value)| Some((name.into_string().ok()?, value.into_string().ok()?)))
            .collect();
        let args: Vec<OsString> = std::env::args_os().skip(1).collect();
        match parsed::Baobabctl::from_vec(args.clone()) {
            Ok(parsed) => Flags::from_parsed(parsed, &variables),
            Err(err) if err.is_help() => {
                let _ = std::io::stdout().write_all(help(&args, &err.to_string()).as_bytes());
                std::process::exit(0)
            }
            Err(err) => Err(Error::new(Category::Input, err)),
        }
    }

    /// Parses a command line, without the program's name, and environment variables.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Input`] on an unknown flag or a missing or invalid value.
    pub fn new(args: Vec<OsString>, variables: &BTreeMap<String, String>) -> Result<Self> {
        let parsed = parsed::Baobabctl::from_vec(args);
        let parsed = parsed.map_err(|err| Error::new(Category::Input, err))?;
        Flags::from_parsed(parsed, variables)
    }

    fn from_parsed(
        parsed: parsed::Baobabctl,
        variables: &BTreeMap<String, String>,
    ) -> Result<Self> {
        let variable = |flag: &str| variables.get(&crate::settings::variable(flag)).cloned();
        let daemons = parsed.daemons.or_else(|| variable("daemons"));
        let output = parsed.output.or_else(|| variable("output"));
        let timeout = parsed.timeout_ms.or_else(|| variable("timeout-ms"));
        let token = variables.get(crate::settings::TOKEN_VARIABLE).cloned();
        Ok(Flags {
            daemons: daemons.unwrap_or_default(),
            output: parse_output(output.as_deref())?,
            timeout: parse_timeout(timeout.as_deref())?,
            token: token.filter(|token| !token.is_empty()),
            command: command(parsed.subcommand),
        })
    }
}

/// Returns the help section of the command named in the arguments, or the whole help.
fn help<'a>(args: &[OsString], full: &'a str) -> &'a str {
    let mut names = args.iter().filter_map(|arg| arg.to_str());
    let section = names.find_map(|name| full.find(&format!("\nbaobabctl {name}\n")));
    let Some(start) = section else {
        return full;
    };
    let section = &full[start + 1..];
    let end = section.find("\nbaobabctl ").unwrap_or(section.len());
    &section[..end]
}

fn parse_output(output: Option<&str>) -> Result<Output> {
    match output {
        None | Some("table") => Ok(Output::Table),
        Some("json") => Ok(Output::Json),
        Some(other) => {
            let message = format!("--output (BAOBAB_OUTPUT): {other:?} is none of table, json");
            Err(Error::new(Category::Input, message))
        }
    }
}

fn parse_timeout(timeout: Option<&str>) -> Result<Duration> {
    let Some(text) = timeout else {
        return Ok(Duration::from_millis(DEFAULT_TIMEOUT_MS.into()));
    };
    match text.parse::<u32>() {
        Ok(ms) if ms > 0 => Ok(Duration::from_millis(ms.into())),
        _ => {
            let message =
                format!("--timeout-ms (BAOBAB_TIMEOUT_MS): {text:?} is not a number above zero");
            Err(Error::new(Category::Input, message))
        }
    }
}

fn command(parsed: parsed::BaobabctlCmd) -> Command {
    use parsed::BaobabctlCmd as Parsed;
    match parsed {
        Parsed::Check(check) => Command::Check { file: check.file },
        Parsed::Apply(apply) => Command::Apply {
            file: apply.file,
            wait: apply.wait.then(|| wait_time(apply.wait_ms)),
        },
        Parsed::Revert(revert) => Command::Revert {
            change: revert.change,
            id: revert.id,
            wait: revert.wait.then(|| wait_time(revert.wait_ms)),
        },
        Parsed::Get(get) => Command::Get {
            kind: get.kind,
            name: get.name,
        },
        Parsed::List(list) => Command::List { kind: list.kind },
        Parsed::Watch(watch) => Command::Watch {
            kind: watch.kind,
            name: watch.name,
            lines: watch.lines,
        },
        Parsed::History(history) => Command::History {
            limit: history.limit,
        },
        Parsed::Status(status) => Command::Status {
            change: status.change,
        },
        Parsed::Wait(wait) => Command::Wait {
            change: wait.change,
            timeout: wait_time(wait.wait_ms),
        },
        Parsed::State(state) => Command::State {
            address: state.address,
        },
        Parsed::Rollout(_) => Command::Rollout,
        Parsed::Version(_) => Command::Version,
    }
}

fn wait_time(ms: Option<u64>) -> Duration {
    Duration::from_millis(ms.unwrap_or(DEFAULT_WAIT_MS))
}
