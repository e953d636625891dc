//! Polls the configuration in force on every daemon and compares it with the accepted versions.

use super::checks::{CheckCounts, Guarantee};
use super::fleet::{FaultyFleet, get};
use crate::platform::Platform;
use anyhow::Context as _;
use baobabstage::generated::mesh as wire;
use baobabstage::snapshot::{Snapshot, Stamp};
use baobabstage::store::HEAD_KEY;
use baobabstage::sync::lock;
use prost::Message;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

/// Pause between two rounds of polling.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time limit for a daemon's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Monitor of the configuration in force; clones share their state.
#[derive(Clone)]
pub struct Monitor {
    /// Operator addresses of the daemons to poll, by daemon name.
    pub daemons: watch::Sender<BTreeMap<String, SocketAddr>>,
    platform: Platform,
    /// Highest version seen at each daemon.
    highest: Arc<Mutex<BTreeMap<String, u64>>>,
    checks: CheckCounts,
}

impl Monitor {
    /// Creates a monitor without daemons to poll.
    #[must_use]
    pub fn new(platform: Platform, checks: CheckCounts) -> Self {
        Monitor {
            daemons: watch::Sender::default(),
            platform,
            highest: Arc::default(),
            checks,
        }
    }

    /// Polls every daemon until the task is aborted.
    #[must_use]
    pub fn start(&self) -> tokio::task::JoinHandle<()> {
        let monitor = self.clone();
        tokio::spawn(async move {
            loop {
                let daemons = monitor.daemons.borrow().clone();
                let polls = daemons.into_iter().map(|(name, operator)| {
                    let monitor = monitor.clone();
                    tokio::spawn(async move { monitor.poll(&name, operator).await })
                });
                for poll in polls.collect::<Vec<_>>() {
                    // Without a response there is nothing to check.
                    let _ = poll.await;
                }
                sleep(POLL_INTERVAL).await;
            }
        })
    }

    async fn poll(&self, name: &str, operator: SocketAddr) -> anyhow::Result<()> {
        let page = timeout(RESPONSE_TIMEOUT, get(operator, "/v1/resources")).await??;
        let version = page["version"].as_u64().context("no version")?;
        let resources = page["resources"].as_array().context("no resources")?;
        self.check_version(name, version);
        if version == 0 {
            return Ok(());
        }
        let missing = missing_references(resources);
        self.checks
            .check(Guarantee::NoDangling, missing.is_empty(), || {
                format!("{name} at {version}: {missing:?}")
            });
        if let Some(accepted) = self.accepted(version) {
            self.checks
                .check(Guarantee::Whole, accepted == *resources, || {
                    format!("{name} at {version}: {resources:?}, not {accepted:?}")
                });
        }
        Ok(())
    }

    fn check_version(&self, name: &str, version: u64) {
        let mut highest = lock(&self.highest);
        let highest = highest.entry(name.into()).or_default();
        // Version 0: a restarted daemon has no configuration yet.
        let holds = version == 0 || version >= *highest;
        self.checks.check(Guarantee::VersionUp, holds, || {
            format!("{name}: {version} after {highest}")
        });
        *highest = version.max(*highest);
    }

    /// Returns the resources of an accepted version, or `None` if they have been pruned.
    fn accepted(&self, version: u64) -> Option<Vec<Value>> {
        let (_, log) = read_log(&self.platform)?;
        let mut stamps = log.entries.iter().map(|entry| entry.stamp.as_ref());
        let stamp = stamps.find(|stamp| stamp.is_some_and(|stamp| stamp.version == version))?;
        let Stamp { version, hash } = Stamp::from_wire(stamp);
        let mut data = Vec::new();
        for key in self
            .platform
            .keys(&format!("snapshot/{version:012}/{hash:032x}/"))
        {
            data.extend_from_slice(&self.platform.read_uncounted(&key)?);
        }
        let snapshot = Snapshot::decode(&data).ok()?;
        let resources = snapshot.resources().iter().map(|(key, res)| {
            json!({
                "kind": key.kind,
                "name": key.name,
                "revision": res.revision,
                "spec": serde_json::from_slice::<Value>(&res.body()).unwrap_or_default(),
            })
        });
        Some(resources.collect())
    }

    /// Waits until the newest accepted version is in force on every daemon, and counts each daemon
    /// as a check of [`Guarantee::InForce`].
    pub async fn wait_in_force(&self, fleet: &FaultyFleet, limit: Duration) {
        let newest = read_log(&self.platform).map_or(0, |(version, _)| version);
        let deadline = Instant::now() + limit;
        for (index, daemon) in fleet.running() {
            let name = &fleet.vms[index].name;
            let applied = |state: &Value| state["config"]["version"].as_u64() >= Some(newest);
            let remaining = deadline.saturating_duration_since(Instant::now());
            let state = daemon.wait_state("in force", remaining, applied).await;
            self.checks.check(Guarantee::InForce, state.is_ok(), || {
                let short: String = format!("{state:?}").chars().take(600).collect();
                format!("{name}: version {newest} not within {limit:?}: {short}")
            });
        }
    }

    /// Checks that changes reported as accepted are in the log with the reported version.
    pub fn check_accepted(&self, accepted: &[(String, u64)]) {
        let Some((_, log)) = read_log(&self.platform) else {
            return;
        };
        for (id, version) in accepted {
            let entry = log.entries.iter().find(|entry| entry.change == *id);
            let stamp = entry.and_then(|entry| entry.stamp.as_ref());
            let found = stamp.map(|stamp| stamp.version);
            self.checks
                .check(Guarantee::InForce, found == Some(*version), || {
                    format!("change {id}: reported as version {version}, the log has {found:?}")
                });
        }
    }
}

/// Reads the newest version and the change log from the platform.
fn read_log(platform: &Platform) -> Option<(u64, wire::LogPage)> {
    let head = wire::Head::decode(platform.read_uncounted(HEAD_KEY)?).ok()?;
    let log = wire::LogPage::decode(platform.read_uncounted(&head.log)?).ok()?;
    Some((head.stamp?.version, log))
}

/// Returns the references to resources that do not exist, as `KIND/NAME`.
fn missing_references(resources: &[Value]) -> Vec<String> {
    let full_name = |kind: &Value, name: &Value| {
        let (kind, name) = (kind.as_str(), name.as_str());
        format!("{}/{}", kind.unwrap_or(""), name.unwrap_or(""))
    };
    let existing = resources
        .iter()
        .map(|res| full_name(&res["kind"], &res["name"]));
    let existing: BTreeSet<String> = existing.collect();
    let mut missing = Vec::new();
    for res in resources {
        for field in ["service", "pool", "policy"] {
            let target = &res["spec"][field];
            let target = full_name(&json!(field), target);
            if res["spec"][field].is_string() && !existing.contains(&target) {
                missing.push(target);
            }
        }
    }
    missing
}
