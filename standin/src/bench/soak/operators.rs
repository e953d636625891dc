//! Operators who submit changes concurrently.

use super::fleet::submit;
use baobabstage::sync::lock;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// Attempts to submit a change whose outcome is unknown.
const MAX_SUBMITS: usize = 3;
/// Number of names of services that are added and removed during the run.
const EXTRA_SERVICES: u32 = 6;

/// Operators and the changes accepted from them; clones share their state.
#[derive(Clone)]
pub struct Operators {
    /// Operator addresses of the running daemons.
    pub entries: watch::Sender<Vec<SocketAddr>>,
    accepted: Arc<Mutex<Vec<(String, u64)>>>,
    /// Number of accepted changes already returned by [`Operators::newly_accepted`].
    reported: Arc<AtomicUsize>,
    services: Arc<Vec<String>>,
}

impl Operators {
    /// Creates operators of these services, without an accepted change.
    #[must_use]
    pub fn new(services: Vec<String>) -> Self {
        Operators {
            entries: watch::Sender::default(),
            accepted: Arc::default(),
            reported: Arc::default(),
            services: Arc::new(services),
        }
    }

    /// Starts an operator who submits changes until the task is aborted.
    #[must_use]
    pub fn operator(&self, seed: u64, pause: Duration) -> tokio::task::JoinHandle<()> {
        let operators = self.clone();
        tokio::spawn(async move {
            let mut rng = StdRng::seed_from_u64(seed);
            for number in 0_u64.. {
                let id = format!("change-{seed}-{number}");
                let change = operators.change(&id, &mut rng);
                operators.submit(&id, &change, &mut rng).await;
                sleep(pause.mul_f64(rng.random_range(0.5..1.5))).await;
            }
        })
    }

    fn change(&self, id: &str, rng: &mut StdRng) -> Value {
        let extra = format!("extra-{}", rng.random_range(0..EXTRA_SERVICES));
        match rng.random_range(0..4) {
            0 => removal(id, &extra),
            1 => addition(id, &extra, rng.random_range(1..50)),
            _ => {
                let service = self.services.choose(rng).map_or("", String::as_str);
                let percent = rng.random_range(5..40);
                json!({ "id": id, "put": [policy(service, percent)] })
            }
        }
    }

    /// Submits a change, and again with the same id while its outcome is unknown.
    async fn submit(&self, id: &str, change: &Value, rng: &mut StdRng) {
        for _ in 0..MAX_SUBMITS {
            let entry = self.entries.borrow().choose(rng).copied();
            let Some(entry) = entry else {
                return;
            };
            let Ok(response) = submit(entry, change).await else {
                continue;
            };
            match (response["outcome"].as_str(), response["version"].as_u64()) {
                (Some("accepted"), Some(version)) => {
                    lock(&self.accepted).push((id.into(), version));
                    return;
                }
                (Some("unknown"), _) => {}
                _ => return,
            }
        }
    }

    /// Returns the ids and versions of the changes reported as accepted.
    #[must_use]
    pub fn accepted(&self) -> Vec<(String, u64)> {
        lock(&self.accepted).clone()
    }

    /// Returns the ids and versions of the changes accepted since the last call of this function.
    #[must_use]
    pub fn newly_accepted(&self) -> Vec<(String, u64)> {
        let accepted = lock(&self.accepted);
        let reported = self.reported.swap(accepted.len(), Ordering::Relaxed);
        accepted[reported..].to_vec()
    }
}

fn policy(service: &str, percent: u32) -> Value {
    json!({ "kind": "policy", "name": service, "spec": {
        "kinds": { "lookup": 10, "upload": 50, "issue": 100 }, "retry_percent": percent } })
}

fn addition(id: &str, name: &str, slots: u32) -> Value {
    json!({ "id": id, "put": [
        { "kind": "pool", "name": name, "spec": { "slots": slots, "connections": 100 } },
        policy(name, 10),
        { "kind": "service", "name": name, "spec": { "pool": name, "policy": name } },
        { "kind": "route", "name": name, "spec": { "prefix": format!("/{name}"),
            "service": name, "request_kind": "lookup", "idempotent": true } },
    ] })
}

fn removal(id: &str, name: &str) -> Value {
    let kinds = ["route", "service", "pool", "policy"];
    let deletes = kinds.map(|kind| json!({ "kind": kind, "name": name }));
    json!({ "id": id, "delete": deletes })
}

/// Returns the change that declares the services, given as (name, slots, connections), with
/// their routes.
#[must_use]
pub fn declaration(services: &[(&str, u32, u32)]) -> Value {
    let mut put = Vec::new();
    for (name, slots, connections) in services {
        put.push(json!({ "kind": "pool", "name": name, "spec": {
            "slots": slots, "connections": connections } }));
        put.push(policy(name, 20));
        put.push(json!({ "kind": "service", "name": name, "spec": {
            "pool": name, "policy": name } }));
        for (kind, idempotent) in [("lookup", true), ("upload", true), ("issue", false)] {
            put.push(
                json!({ "kind": "route", "name": format!("{name}-{kind}"), "spec": {
                "prefix": format!("/{name}/{kind}"), "service": name, "request_kind": kind,
                "idempotent": idempotent, "timeout_ms": 3_000 } }),
            );
        }
    }
    json!({ "id": "declare", "put": put })
}
