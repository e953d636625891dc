//! The commands and flags of `baobabctl`.

use std::time::Duration;

#[allow(missing_docs, reason = "the macro writes no comments")]
mod parsed {
    xflags::xflags! {
        /// Changes and watches the configuration of a service mesh.
        cmd baobabctl {
            /// Operator addresses of daemons, separated by commas; also BAOBAB_DAEMONS.
            optional --daemons addresses: String

            /// Checks a change and shows what it would do.
            cmd check {
                /// The change file, in TOML.
                required file: String
            }
            /// Applies a change.
            cmd apply {
                /// The change file, in TOML.
                required file: String
            }
            /// Applies the inverse of a change.
            cmd revert {
                /// The id of the change to undo.
                required change: String
                /// The id of the new change; revert-CHANGE by default.
                optional --id id: String
            }
            /// Lists accepted changes, newest first.
            cmd history {}
            /// Waits until a change is in force everywhere.
            cmd wait {
                /// The id of the change.
                required change: String
                /// Greatest time to wait, in milliseconds; 10000 by default.
                optional --timeout-ms ms: u64
            }
            /// Shows the version in force at the daemon asked.
            cmd version {}
        }
    }
}

const DEFAULT_WAIT_MS: u64 = 10_000;

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
    },
    /// Applies the inverse of a change.
    Revert {
        /// The id of the change to undo.
        change: String,
        /// The id of the new change.
        id: Option<String>,
    },
    /// Lists accepted changes.
    History,
    /// Waits until a change is in force everywhere.
    Wait {
        /// The id of the change.
        change: String,
        /// Greatest time to wait.
        timeout: Duration,
    },
    /// Shows the version in force.
    Version,
}

/// The command line of `baobabctl`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Flags {
    /// Operator addresses of daemons, separated by commas.
    pub daemons: String,
    /// The operator token.
    pub token: Option<String>,
    /// The command.
    pub command: Command,
}

impl Flags {
    /// Reads the command line and the environment; prints help or a fault and exits where asked to.
    #[must_use]
    pub fn from_env_or_exit() -> Self {
        let parsed = parsed::Baobabctl::from_env_or_exit();
        let daemons = parsed
            .daemons
            .or_else(|| std::env::var("BAOBAB_DAEMONS").ok());
        Flags {
            daemons: daemons.unwrap_or_default(),
            token: std::env::var(crate::settings::TOKEN_VARIABLE).ok(),
            command: command(parsed.subcommand),
        }
    }
}

fn command(parsed: parsed::BaobabctlCmd) -> Command {
    use parsed::BaobabctlCmd as Parsed;
    match parsed {
        Parsed::Check(check) => Command::Check { file: check.file },
        Parsed::Apply(apply) => Command::Apply { file: apply.file },
        Parsed::Revert(revert) => Command::Revert {
            change: revert.change,
            id: revert.id,
        },
        Parsed::History(_) => Command::History,
        Parsed::Wait(wait) => Command::Wait {
            change: wait.change,
            timeout: Duration::from_millis(wait.timeout_ms.unwrap_or(DEFAULT_WAIT_MS)),
        },
        Parsed::Version(_) => Command::Version,
    }
}
