//! The kernel restarts a role that fails, in every way that a role can fail.

use baobabstage::daemon::{Daemon, Phase};
use baobabstage::event::Event;
use baobabstage::kernel::{self, Plugin, Restarts, RoleFuture};
use baobabstage::settings::{Flags, Settings};
use prometheus_client::registry::Registry;
use standin::testbed::TIMEOUT;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::sync::watch;

inventory::submit! {
    Plugin { name: "flaky", run, state, metrics }
}

/// The number of starts of the role, and whether the last one succeeded.
#[derive(Default)]
struct Flaky {
    starts: AtomicU32,
    succeeded: watch::Sender<bool>,
}

/// Fails once in each way that a role can fail, then succeeds.
fn run(daemon: Arc<Daemon>) -> RoleFuture {
    let flaky = daemon.component(Flaky::default);
    let start = flaky.starts.fetch_add(1, Ordering::SeqCst);
    assert!(start != 0, "panic before the future is created");
    Box::pin(async move {
        match start {
            1 => panic!("panic within the future"),
            2 => anyhow::bail!("an error"),
            3 => Ok(()),
            _ => {
                flaky.succeeded.send_replace(true);
                daemon.drain.reached(Phase::Stopped).await;
                Ok(())
            }
        }
    })
}

fn state(daemon: &Daemon) -> serde_json::Value {
    let starts = &daemon.component(Flaky::default).starts;
    serde_json::json!({ "starts": starts.load(Ordering::SeqCst) })
}

fn metrics(_: &Daemon, _: &mut Registry) {}

#[tokio::test]
async fn run_restarts_failed_role() {
    let variables = [
        ("BAOBAB_DOMAIN", "espoo"),
        ("BAOBAB_REGION", "fi-south"),
        ("BAOBAB_PLATFORM", "127.0.0.1:1"),
    ];
    let variables: BTreeMap<String, String> = variables
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .into();
    let settings = Settings::new(&Flags::default(), &variables).unwrap();
    let daemon = Daemon::new(settings).unwrap();
    let kernel = tokio::spawn(kernel::run(Arc::clone(&daemon)));
    let flaky = daemon.component(Flaky::default);
    let mut succeeded = flaky.succeeded.subscribe();
    let succeeded = tokio::time::timeout(TIMEOUT, succeeded.wait_for(|succeeded| *succeeded));
    succeeded.await.unwrap().unwrap();

    assert_eq!(flaky.starts.load(Ordering::SeqCst), 5);
    let restarts = daemon.component(Restarts::default).counts();
    assert_eq!(restarts, BTreeMap::from([("flaky", 4)]));
    assert_eq!(Event::RoleFailed.count(), 4);
    let dump = baobabstage::role::admin::dump(&daemon);
    assert_eq!(dump["flaky"]["starts"], 5);

    daemon.drain.advance(Phase::Stopped);
    let ended = tokio::time::timeout(TIMEOUT, kernel).await.unwrap();
    ended.unwrap().unwrap();
}
