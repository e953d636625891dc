//! The services measured: their sizes, failure domains and request kinds.

use anyhow::bail;
use http::Method;
use serde_json::{Value, json};
use std::time::Duration;

/// A request kind of a profile.
#[derive(Clone, Debug)]
pub struct CallKind {
    /// The name.
    pub name: &'static str,
    /// The weight under overload.
    pub weight: u32,
    /// The share of all calls, in percent.
    pub share: u32,
    /// Whether a call may run more than once.
    pub idempotent: bool,
    /// Length of a request's body, in bytes.
    pub body: usize,
}

/// A service to measure.
#[derive(Clone, Debug)]
pub struct Profile {
    /// The service's name.
    pub service: &'static str,
    /// The number of upstreams.
    pub upstreams: usize,
    /// Calls that an upstream runs at once.
    pub slots: u32,
    /// Connections that an upstream takes.
    pub connections: u32,
    /// The failure domains.
    pub domains: [&'static str; 3],
    /// The region.
    pub region: &'static str,
    /// The request kinds.
    pub kinds: Vec<CallKind>,
}

/// Least time that a call takes at a backend server.
pub const WORK: Duration = Duration::from_millis(20);

/// Mean of the time added to [`WORK`].
pub const SPREAD: Duration = Duration::from_millis(10);

/// Time for a whole call, in milliseconds.
pub const TIMEOUT_MS: u64 = 2_000;

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
    /// Fails when there is none of this name.
    pub fn named(name: &str) -> anyhow::Result<Self> {
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
            _ => bail!("profile {name}: none of certs, benchlab, stallhall, lathegallery"),
        };
        Ok(match name {
            "certs" => Profile::fi("certs", 6, kinds),
            "benchlab" => Profile::fi("benchlab", 4, kinds),
            "stallhall" => Profile::bengal("stallhall", 7, kinds),
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

    /// Returns the failure domain of an upstream.
    #[must_use]
    pub fn domain(&self, upstream: usize) -> &'static str {
        self.domains[upstream % self.domains.len()]
    }

    /// Returns the calls a second that all upstreams together can run.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let upstreams = u32::try_from(self.upstreams).unwrap_or(u32::MAX);
        f64::from(upstreams * self.slots) / (WORK + SPREAD).as_secs_f64()
    }

    /// Returns the change that declares the service.
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

    /// Returns the path of a request kind.
    #[must_use]
    pub fn path(&self, kind: &CallKind) -> String {
        format!("/{}/{}", self.service, kind.name)
    }
}

impl CallKind {
    /// Returns the method of a request.
    #[must_use]
    pub fn method(&self) -> Method {
        if self.body == 0 {
            Method::GET
        } else {
            Method::POST
        }
    }
}
