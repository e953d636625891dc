//! The operators' command line tool.

use baobabstage::ctl::{self, Flags};
use std::process::ExitCode;

fn main() -> ExitCode {
    ctl::main(Flags::from_env_or_exit())
}
