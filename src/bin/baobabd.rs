//! The daemon that runs beside each backend server.

use baobabstage::settings::Flags;
use std::process::ExitCode;

fn main() -> ExitCode {
    baobabstage::start::main(&Flags::from_env_or_exit())
}
