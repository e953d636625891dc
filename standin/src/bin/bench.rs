//! Benchmarks of convergence, calls and change acceptance, and the soak test.

use flags::{Bench, BenchCmd};
use standin::bench::{calls, converge, operator, soak};
use standin::fleet;
use std::process::ExitCode;

#[allow(missing_docs, reason = "the macro writes no comments")]
mod flags {
    xflags::xflags! {
        /// Measures baobabstage on loopback with stand-ins.
        cmd bench {
            /// Measures convergence time and control bytes.
            cmd converge {
                /// Numbers of daemons, separated by commas; 16,64 by default.
                optional --daemons counts: String
                /// Modes, separated by commas; direct,tree by default.
                optional --modes modes: String
                /// Number of changes per run; 40 by default.
                optional --changes count: u32
                /// The seed; 1 by default.
                optional --seed seed: u64
                /// Output file for one JSON object per mode and size.
                optional --json file: String
                /// Output file for an SVG plot of cost against size.
                optional --plot file: String
                /// Number of services in the configuration; 150 by default.
                optional --services count: u32
                /// Kills a relay during one change.
                optional --kill-relay
                /// Additional flags for each daemon, such as "--heartbeat-ms 2000".
                optional --flags text: String
                /// Measures records, snapshots and tables in memory at the target size instead.
                optional --model
            }
            /// Measures calls at an open-loop rate.
            cmd calls {
                /// The profile: certs, benchlab, stallhall or lathegallery.
                optional --profile name: String
                /// The scenario during the run; see the documentation of the bench.
                optional --scenario name: String
                /// Calls per second; set by the profile by default.
                optional --rate rate: u32
                /// Length of the run in seconds; 10 by default.
                optional --seconds seconds: u32
                /// The seed; 1 by default.
                optional --seed seed: u64
                /// Output file for one JSON object per run.
                optional --json file: String
            }
            /// Measures the acceptance of changes.
            cmd operator {
                /// The number of daemons; 6 by default.
                optional --daemons count: usize
                /// Number of operators that submit changes concurrently; 1 by default.
                optional --operators count: usize
                /// Number of changes per operator; 50 by default.
                optional --changes count: usize
                /// Makes all operators change the same resource.
                optional --same
            }
            /// Runs daemons under random faults and checks their guarantees.
            cmd soak {
                /// Length of the run in minutes; 10 by default.
                optional --minutes minutes: u32
                /// The number of daemons; 30 by default.
                optional --daemons count: u32
                /// The seed; 1 by default.
                optional --seed seed: u64
            }
        }
    }
}

fn main() -> ExitCode {
    if let Some(exit) = fleet::run_as_daemon() {
        return exit;
    }
    let outcome = match Bench::from_env_or_exit().subcommand {
        BenchCmd::Converge(flags) => converge::main(&converge::Options {
            daemons: flags.daemons.unwrap_or_else(|| "16,64".into()),
            modes: flags.modes.unwrap_or_else(|| "direct,tree".into()),
            changes: flags.changes.unwrap_or(40),
            seed: flags.seed.unwrap_or(1),
            json: flags.json,
            plot: flags.plot,
            services: flags.services.unwrap_or(150),
            kill_relay: flags.kill_relay,
            flags: flags.flags.unwrap_or_default(),
            model: flags.model,
        }),
        BenchCmd::Calls(flags) => calls::main(&calls::Options {
            profile: flags.profile.unwrap_or_else(|| "certs".into()),
            scenario: flags.scenario,
            rate: flags.rate,
            seconds: flags.seconds.unwrap_or(10),
            seed: flags.seed.unwrap_or(1),
            json: flags.json,
        }),
        BenchCmd::Operator(flags) => operator::main(operator::Options {
            daemons: flags.daemons.unwrap_or(6),
            operators: flags.operators.unwrap_or(1),
            changes: flags.changes.unwrap_or(50),
            same: flags.same,
        }),
        BenchCmd::Soak(flags) => soak::main(&soak::Options {
            minutes: flags.minutes.unwrap_or(10),
            daemons: flags.daemons.unwrap_or(30),
            seed: flags.seed.unwrap_or(1),
        }),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("bench: {err:#}");
            ExitCode::FAILURE
        }
    }
}
