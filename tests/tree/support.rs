//! A fleet of real daemon processes with a platform.

use baobabstage::generated::mesh::RelayRecord;
use baobabstage::platform::{Client, ClientSettings, JsonDialect, Platform as _};
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use prost::Message;
use serde_json::{Value, json};
use standin::caller;
use standin::fleet::{Launcher, Process};
use standin::platform::{Faults, Limits, Platform};
use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// A generous timeout for any expected state.
pub const TIMEOUT: Duration = Duration::from_mins(1);

const POLL: Duration = Duration::from_millis(50);

/// A running daemon with its name.
pub struct Daemon {
    name: String,
    process: Process,
}

impl Deref for Daemon {
    type Target = Process;

    fn deref(&self) -> &Process {
        &self.process
    }
}

/// Daemon processes with a platform. Daemons are in the failure domain `espoo` by default.
pub struct Fleet {
    pub platform: Platform,
    pub daemons: Vec<Daemon>,
}

/// Returns the faults of a platform that does not respond.
pub fn down() -> Faults {
    Faults {
        down: true,
        ..Faults::default()
    }
}

/// Returns the version in force from a state dump.
pub fn version(state: &Value) -> u64 {
    state["config"]["version"].as_u64().unwrap_or(0)
}

/// Returns the role in the distribution tree from a state dump.
pub fn role(state: &Value) -> &str {
    state["config"]["tree"]["role"].as_str().unwrap_or("")
}

impl Fleet {
    /// Starts daemons and waits until each lists all others as members and up to two are relays.
    pub async fn start(count: usize) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = Platform::start(any, Limits::default()).await.unwrap();
        let daemons = Vec::new();
        let mut fleet = Fleet { platform, daemons };
        for index in 0..count {
            fleet.add(&format!("certs-{index}"), &[]).await;
        }
        fleet.wait_members().await;
        fleet.wait_relays(count.min(2)).await;
        fleet
    }

    pub async fn add(&mut self, name: &str, flags: &[&str]) {
        self.add_in("espoo", name, flags).await;
    }

    pub async fn add_in(&mut self, domain: &str, name: &str, flags: &[&str]) {
        let platform = self.platform.address().to_string();
        let fixed = [
            ("--name", name),
            ("--domain", domain),
            ("--region", "fi-south"),
            ("--platform", &platform),
            ("--platform-timeout-ms", "500"),
            ("--heartbeat-ms", "500"),
        ];
        let fixed = fixed.iter().flat_map(|(flag, value)| [*flag, *value]);
        let flags: Vec<String> = fixed.chain(flags.iter().copied()).map(Into::into).collect();
        let launcher = Launcher::new(env!("CARGO_BIN_EXE_baobabd"));
        let process = launcher.start(&flags).await.unwrap();
        let name = name.to_owned();
        self.daemons.push(Daemon { name, process });
    }

    pub async fn kill(&mut self, index: usize) {
        let mut daemon = self.daemons.remove(index);
        daemon.process.kill().await.unwrap();
    }

    /// Waits until a daemon that received a signal exits with status zero.
    pub async fn wait_end(&mut self, index: usize) {
        let mut daemon = self.daemons.remove(index);
        assert_eq!(daemon.process.wait().await.unwrap(), Some(0));
    }

    pub fn name(&self, index: usize) -> String {
        self.daemons[index].name.clone()
    }

    /// Submits the change that makes this version until it is accepted.
    pub async fn accept(&self, number: u64) {
        let spec = json!({ "slots": number, "connections": 120 });
        let change = json!({
            "id": format!("change-{number}"),
            "put": [{ "kind": "pool", "name": "certs", "spec": spec }],
        });
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let request = Request::builder()
                .method(Method::POST)
                .uri("/v1/changes")
                .body(Full::from(change.to_string()))
                .unwrap();
            let response = caller::call(self.daemons[0].operator, request)
                .await
                .unwrap();
            if response.status() == 200 {
                return;
            }
            let body = String::from_utf8_lossy(response.body()).into_owned();
            assert!(Instant::now() < deadline, "not accepted: {body}");
        }
    }

    /// Waits until a version is in force on every daemon.
    pub async fn wait_version(&self, number: u64) {
        for daemon in &self.daemons {
            let what = format!("version {number} on {}", daemon.name);
            let reached = |state: &Value| version(state) == number;
            daemon.wait_state(&what, TIMEOUT, reached).await.unwrap();
        }
    }

    /// Waits until each daemon lists exactly the running daemons, all of them ready.
    pub async fn wait_members(&self) {
        let mut names: Vec<&str> = self.daemons.iter().map(|d| d.name.as_str()).collect();
        names.sort_unstable();
        for daemon in &self.daemons {
            let what = format!("members on {}", daemon.name);
            let complete = |state: &Value| ready(state) == names;
            daemon.wait_state(&what, TIMEOUT, complete).await.unwrap();
        }
    }

    /// Waits until `count` daemons are relays, and all others are children.
    pub async fn wait_relays(&self, count: usize) {
        self.wait_roles(|roles| {
            let relays = roles.iter().filter(|role| role.starts_with("relay-"));
            let children = roles.iter().filter(|role| *role == "child");
            relays.count() == count && children.count() == roles.len() - count
        })
        .await;
    }

    pub async fn wait_roles(&self, condition: impl Fn(&[String]) -> bool) {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let roles = self.roles().await;
            if condition(&roles) {
                return;
            }
            assert!(Instant::now() < deadline, "roles are {roles:?}");
            sleep(POLL).await;
        }
    }

    /// Returns the indices of the relays in descending order, so that they can be removed in turn.
    pub async fn relays(&self) -> Vec<usize> {
        let roles = self.roles().await;
        let relays = (0..roles.len()).rev();
        relays
            .filter(|index| roles[*index].starts_with("relay-"))
            .collect()
    }

    /// Returns the index of a daemon that is a child.
    pub async fn child(&self) -> usize {
        let roles = self.roles().await;
        roles.iter().position(|role| role == "child").unwrap()
    }

    /// Waits until two other daemons hold the relay slots in the platform.
    pub async fn wait_holder_not(&self, name: &str) {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let keys = self.platform.keys("relay/espoo/");
            let values = keys
                .iter()
                .filter_map(|key| self.platform.read_uncounted(key));
            let holders: Vec<String> = values
                .map(|value| RelayRecord::decode(value).unwrap().name)
                .collect();
            if holders.len() == 2 && !holders.iter().any(|holder| holder == name) {
                return;
            }
            assert!(Instant::now() < deadline, "relay slots held by {holders:?}");
            sleep(POLL).await;
        }
    }

    /// Removes the values with a key prefix from the platform and returns them.
    pub fn delete_keys(&self, prefix: &str) -> Vec<(String, Bytes)> {
        let keys = self.platform.keys(prefix).into_iter();
        let lost: Vec<_> = keys
            .filter_map(|key| Some((key.clone(), self.platform.read_uncounted(&key)?)))
            .collect();
        for (key, _) in &lost {
            self.platform.delete_key(key);
        }
        lost
    }

    /// Writes removed values back to the platform.
    pub async fn restore(&self, lost: Vec<(String, Bytes)>) {
        let settings = ClientSettings {
            address: self.platform.address(),
            timeout: Duration::from_secs(5),
        };
        let client = Client::new(&settings, Arc::new(JsonDialect)).unwrap();
        for (key, value) in lost {
            client.swap(&key, 0, Some(value), 0).await.unwrap();
        }
    }

    async fn roles(&self) -> Vec<String> {
        let mut roles = Vec::new();
        for daemon in &self.daemons {
            let state = daemon.state().await.unwrap_or_default();
            roles.push(role(&state).to_owned());
        }
        roles
    }
}

/// Returns the state of a member from a state dump, if listed.
pub fn member_state<'a>(state: &'a Value, name: &str) -> Option<&'a str> {
    let members = state["members"]["members"].as_array()?;
    let member = members.iter().find(|member| member["name"] == name)?;
    member["state"].as_str()
}

/// Returns the names of the ready members from a state dump.
pub fn ready(state: &Value) -> Vec<&str> {
    let members = state["members"]["members"].as_array();
    let members = members.map_or(&[][..], Vec::as_slice).iter();
    members
        .filter(|member| member["state"] == "READY")
        .filter_map(|member| member["name"].as_str())
        .collect()
}
