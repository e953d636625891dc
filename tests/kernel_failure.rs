//! The process exits with a failure if a role fails too often.

use baobabstage::daemon::Daemon;
use baobabstage::event::Event;
use baobabstage::kernel::{Plugin, RoleFuture};
use baobabstage::settings::Flags;
use baobabstage::start;
use prometheus_client::registry::Registry;
use std::process::ExitCode;
use std::sync::Arc;

inventory::submit! {
    Plugin { name: "broken", run, state, metrics }
}

fn run(_: Arc<Daemon>) -> RoleFuture {
    Box::pin(async { anyhow::bail!("always fails") })
}

fn state(_: &Daemon) -> serde_json::Value {
    serde_json::Value::Null
}

fn metrics(_: &Daemon, _: &mut Registry) {}

#[test]
fn main_broken_role() {
    let flags = [
        "--domain=espoo",
        "--region=fi-south",
        "--platform=127.0.0.1:1",
    ];
    let flags = flags.iter().flat_map(|flag| flag.split('='));
    let flags = Flags::from_args(flags.map(Into::into).collect()).unwrap();
    assert_eq!(start::main(&flags), ExitCode::FAILURE);
    assert_eq!(Event::RoleGivenUp.count(), 1);
    assert_eq!(Event::Stopped.count(), 0);
}
