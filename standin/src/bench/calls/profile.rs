//! Profiles of the measured services: sizes, failure domains and request kinds.

use anyhow::bail;
use http::Method;
use serde_json::{Value, json};
use std::time::Duration;

/// A request kind of a profile.
#[derive(Clone, Debug)]
pub struct CallKind {
    /// Name, also the name of the route.
    pub name: &'static str,
    /// Priority under overload; the policy's weight of this kind.
    pub weight: u32,
    /// Percentage of all calls.
    pub share: u32,
    /// Whether a call may be executed more than once.
    pub idempotent: bool,
    /// Request body length in bytes.
    pub body: usize,
}

/// A measured service and its fleet.
#[derive(Clone, Debug)]
pub struct Profile {
    /// Name of the service, also the first path segment.
    pub service: &'static str,
    /// Number of upstreams, distributed over the failure domains in turn.
    pub upstreams: usize,
    /// Maximum number of calls that an upstream executes concurrently.
    pub slots: u32,
    /// Maximum number of connections to an upstream.
    pub connections: u32,
    /// Failure domains of the region.
    pub domains: [&'static str; 3],
    /// Region of all daemons.
    pub region: &'static str,
    /// Request kinds; their shares add up to 100.
    pub kinds: Vec<CallKind>,
}

/// Minimum service time of a call at a backend server.
pub const WORK: Duration = Duration::from_millis(20);

/// Mean of the random time added to [`WORK`].
pub const SPREAD: Duration = Duration::from_millis(10);

/// Timeout of a call in milliseconds, set on every route.
pub const TIMEOUT_MS: u64 = 2_000;

/// Creates a request kind; one without a request body is idempotent.
const fn kind(name: &'static str, weight: u32, share: u32, body: usize) -> CallKind {
    CallKind {
        name,
        weight,
        share,
        idempotent: body == 0,
        body,
    }
}

impl Profile {
    /// Returns the profile of a service.
    ///
    /// # Errors
    ///
    /// Fails when no profile has this name.
    pub fn by_name(name: &str) -> anyhow::Result<Self> {
        let kinds = match name {
            "certs" => vec![kind("lookup", 10, 85, 0), kind("issue", 100, 15, 512)],
            "benchlab" => vec![kind("read", 10, 70, 0), kind("upload", 100, 30, 16_384)],
            "stallhall" => vec![
                kind("browse", 5, 70, 0),
                kind("book", 100, 20, 512),
                kind("pay", 100, 10, 512),
            ],
            "lathegallery" => vec![
                kind("gallery", 5, 70, 0),
                kind("photo", 50, 20, 32_768),
                kind("tally", 100, 10, 256),
            ],
            _ => bail!(
                "unknown profile {name}, expected one of certs, benchlab, stallhall, lathegallery"
            ),
        };
        Ok(match name {
            "certs" => Profile::fi("certs", 6, kinds),
            "benchlab" => Profile::fi("benchlab", 4, kinds),
            "stallhall" => Profile::bengal("stallhall", 7, kinds),
            // Unknown names were rejected above.
            _ => Profile::bengal("lathegallery", 5, kinds),
        })
    }

    fn fi(service: &'static str, upstreams: usize, kinds: Vec<CallKind>) -> Self {
        Profile {
            service,
            upstreams,
            slots: 12,
            connections: 120,
            domains: ["espoo", "vantaa", "lahti"],
            region: "fi-south",
            kinds,
        }
    }

    fn bengal(service: &'static str, upstreams: usize, kinds: Vec<CallKind>) -> Self {
        Profile {
            service,
            upstreams,
            slots: 9,
            connections: 130,
            domains: ["howrah", "salt-lake", "barasat"],
            region: "bengal",
            kinds,
        }
    }

    /// Returns the failure domain of an upstream, by its index.
    #[must_use]
    pub fn domain(&self, upstream: usize) -> &'static str {
        self.domains[upstream % self.domains.len()]
    }

    /// Returns the calls per second that all upstreams together can execute.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let upstreams = u32::try_from(self.upstreams).unwrap_or(u32::MAX);
        f64::from(upstreams * self.slots) / (WORK + SPREAD).as_secs_f64()
    }

    /// Returns the change that declares the service, its routes, pool and policy.
    #[must_use]
    pub fn change(&self) -> Value {
        let weights: serde_json::Map<String, Value> = self
            .kinds
            .iter()
            .map(|kind| (kind.name.into(), kind.weight.into()))
            .collect();
        let mut put = vec![
            json!({"kind": "policy", "name": "policy", "spec": {"kinds": weights}}),
            json!({"kind": "pool", "name": "pool", "spec": {
                "slots": self.slots, "connections": self.connections, "warm_ms": 3_000}}),
            json!({"kind": "service", "name": self.service, "spec": {
                "pool": "pool", "policy": "policy"}}),
        ];
        for kind in &self.kinds {
            let spec = json!({
                "prefix": self.path(kind),
                "service": self.service,
                "request_kind": kind.name,
                "idempotent": kind.idempotent,
                "timeout_ms": TIMEOUT_MS,
            });
            put.push(json!({"kind": "route", "name": kind.name, "spec": spec}));
        }
        json!({"id": "profile", "title": "Profile of the bench", "put": put})
    }

    /// Returns the path of a request kind, `/SERVICE/KIND`.
    #[must_use]
    pub fn path(&self, kind: &CallKind) -> String {
        format!("/{}/{}", self.service, kind.name)
    }
}

impl CallKind {
    /// Returns the HTTP method: `GET` without a body, else `POST`.
    #[must_use]
    pub fn method(&self) -> Method {
        if self.body == 0 {
            Method::GET
        } else {
            Method::POST
        }
    }
}
