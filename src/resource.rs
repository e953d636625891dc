//! The resources that operators declare: services, pools, routes and policies.

use crate::error::{Category, Error, Result};
use crate::strict::Strict;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

/// The greatest length of a resource name or request kind, in bytes.
pub const MAX_NAME_LEN: usize = 63;

/// The kind of a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Limits, request kinds and budgets.
    Policy,
    /// The backend servers of a service and their sizes.
    Pool,
    /// A match on requests that leads to a service.
    Route,
    /// A named service.
    Service,
}

impl Kind {
    /// Every kind, in the order in which resources refer to each other.
    pub const ALL: [Kind; 4] = [Kind::Policy, Kind::Pool, Kind::Service, Kind::Route];

    /// Returns the kind's name as written in files and paths.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Policy => "policy",
            Kind::Pool => "pool",
            Kind::Route => "route",
            Kind::Service => "service",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Kind {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        Kind::ALL
            .into_iter()
            .find(|kind| kind.as_str() == s)
            .ok_or_else(|| Error::new(Category::Input, format!("unknown resource kind \"{s}\"")))
    }
}

/// The kind and name of a resource.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ResourceKey {
    /// The resource's kind.
    pub kind: Kind,
    /// The resource's name, unique within its kind.
    pub name: String,
}

impl ResourceKey {
    /// Makes a key.
    pub fn new(kind: Kind, name: impl Into<String>) -> Self {
        let name = name.into();
        ResourceKey { kind, name }
    }
}

impl fmt::Display for ResourceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// A named service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The pool of the service's backend servers.
    pub pool: String,
    /// The policy for calls to the service.
    pub policy: String,
}

/// The sizes of a service's backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Calls that a backend server runs at once.
    pub slots: u32,
    /// Connections that a backend server takes at once.
    pub connections: u32,
    /// Load in percent of slots above which calls go to other failure domains.
    #[serde(default = "default_spill_percent")]
    pub spill_percent: u32,
    /// Time in which a new backend server's share of calls grows to its full size, in milliseconds.
    #[serde(default = "default_warm_ms")]
    pub warm_ms: u64,
    /// Share of the backend servers that are never ejected, in percent.
    #[serde(default = "default_keep_percent")]
    pub keep_percent: u32,
    /// The path of the backend servers' health endpoint.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub health: Option<String>,
}

/// A match on requests that leads to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The host that a request must name; any when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// The start of the path, in whole segments.
    pub prefix: String,
    /// The methods that match; all when empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub methods: Vec<String>,
    /// The service that takes the calls.
    pub service: String,
    /// The services that share the calls, by weight; `service` takes them all when empty.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub split: BTreeMap<String, u32>,
    /// The request kind, which the service's policy weighs.
    pub request_kind: String,
    /// Whether a call may run more than once without harm.
    pub idempotent: bool,
    /// Time for a whole call, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Time within which an answer is worth most, in milliseconds; zero when it does not matter.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub objective_ms: u64,
    /// Greatest number of attempts for a call, the first included.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
}

/// Where the record of an `Idempotency-Key` is kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum KeyRecord {
    /// No record; the header is passed on only.
    None,
    /// At the inbound side chosen by rendezvous hashing; lost with its VM.
    #[default]
    Inbound,
    /// In the platform; kept across the loss of VMs, one write for each call.
    Platform,
}

/// Limits, request kinds and budgets of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// The weight of each request kind; greater is kept longer under overload.
    pub kinds: BTreeMap<String, u32>,
    /// Retries allowed, in percent of first attempts.
    #[serde(default = "default_retry_percent")]
    pub retry_percent: u32,
    /// Calls that may wait for a slot at one backend server.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Greatest size of a request body, in bytes.
    #[serde(default = "default_body_bytes")]
    pub body_bytes: u64,
    /// Time for which a caller's connection may stay idle, in milliseconds; zero for any time.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub idle_ms: u64,
    /// Where the record of an `Idempotency-Key` is kept.
    #[serde(default)]
    pub key_record: KeyRecord,
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
fn is_zero(value: &u64) -> bool {
    *value == 0
}

fn default_spill_percent() -> u32 {
    80
}

fn default_warm_ms() -> u64 {
    10_000
}

fn default_keep_percent() -> u32 {
    50
}

fn default_timeout_ms() -> u64 {
    5_000
}

fn default_attempts() -> u32 {
    3
}

fn default_retry_percent() -> u32 {
    10
}

fn default_queue() -> u32 {
    64
}

fn default_body_bytes() -> u64 {
    256 * 1024 * 1024
}

/// What a resource says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Spec {
    /// Limits, request kinds and budgets.
    Policy(Policy),
    /// The sizes of a service's backend servers.
    Pool(Pool),
    /// A match on requests that leads to a service.
    Route(Route),
    /// A named service.
    Service(Service),
}

impl Spec {
    /// Reads a specification of a kind from JSON.
    ///
    /// # Errors
    ///
    /// Fails on unknown, repeated or missing fields and wrong types, naming the field.
    ///
    /// # Examples
    ///
    /// ```
    /// use baobabstage::resource::{Kind, Spec};
    ///
    /// let err = Spec::from_json(Kind::Pool, br#"{"slots": "many", "connections": 1}"#).unwrap_err();
    /// assert_eq!(err.field(), Some("slots"));
    /// ```
    pub fn from_json(kind: Kind, body: &[u8]) -> Result<Self> {
        match serde_json::from_slice::<Strict>(body) {
            Ok(Strict(value)) => Spec::from_value(kind, &value),
            Err(err) => {
                let message = format!("{kind} specification: {err}");
                Err(Error::new(Category::Input, message))
            }
        }
    }

    /// Reads a specification of a kind from a JSON value.
    ///
    /// # Errors
    ///
    /// Fails as [`Spec::from_json`] does.
    pub fn from_value(kind: Kind, value: &serde_json::Value) -> Result<Self> {
        let spec = match kind {
            Kind::Policy => Policy::deserialize(value).map(Spec::Policy),
            Kind::Pool => Pool::deserialize(value).map(Spec::Pool),
            Kind::Route => Route::deserialize(value).map(Spec::Route),
            Kind::Service => Service::deserialize(value).map(Spec::Service),
        };
        spec.map_err(|err| {
            let fields = value.as_object().cloned().unwrap_or_default();
            spec_error(kind, &fields, &err)
        })
    }

    /// Writes the specification as canonical JSON: fields in declared order, maps ordered by key.
    ///
    /// # Panics
    ///
    /// Does not panic: specifications have string keys only.
    #[must_use]
    pub fn to_json(&self) -> Vec<u8> {
        let body = match self {
            Spec::Policy(policy) => serde_json::to_vec(policy),
            Spec::Pool(pool) => serde_json::to_vec(pool),
            Spec::Route(route) => serde_json::to_vec(route),
            Spec::Service(service) => serde_json::to_vec(service),
        };
        body.expect("specifications have string keys only")
    }

    /// Returns the kind of the resource.
    #[must_use]
    pub fn kind(&self) -> Kind {
        match self {
            Spec::Policy(_) => Kind::Policy,
            Spec::Pool(_) => Kind::Pool,
            Spec::Route(_) => Kind::Route,
            Spec::Service(_) => Kind::Service,
        }
    }

    /// Returns the resources that this one refers to, with the field that does.
    #[must_use]
    pub fn references(&self) -> Vec<(&'static str, ResourceKey)> {
        match self {
            Spec::Policy(_) | Spec::Pool(_) => Vec::new(),
            Spec::Route(route) => {
                let parts = route.split.keys().map(|name| ("split", name.as_str()));
                let all = std::iter::once(("service", route.service.as_str())).chain(parts);
                all.map(|(field, name)| (field, ResourceKey::new(Kind::Service, name)))
                    .collect()
            }
            Spec::Service(service) => vec![
                ("pool", ResourceKey::new(Kind::Pool, service.pool.as_str())),
                (
                    "policy",
                    ResourceKey::new(Kind::Policy, service.policy.as_str()),
                ),
            ],
        }
    }
}

type Fields = serde_json::Map<String, serde_json::Value>;

fn spec_error(kind: Kind, fields: &Fields, err: &serde_json::Error) -> Error {
    match faulty_field(kind, fields, err) {
        Some(field) => {
            let message = format!("{kind} specification: field {field}: {err}");
            Error::new(Category::Input, message).in_field(field)
        }
        None => Error::new(Category::Input, format!("{kind} specification: {err}")),
    }
}

/// Finds the field that an error of the deserializer is about.
///
/// Fields are read in order: with the fields up to the faulty one the error is another than that
/// of a missing field.
fn faulty_field(kind: Kind, fields: &Fields, err: &serde_json::Error) -> Option<String> {
    if let Some(field) = missing_field(err) {
        return Some(field);
    }
    let mut part = Fields::new();
    for (name, value) in fields {
        part.insert(name.clone(), value.clone());
        let value = serde_json::Value::Object(part.clone());
        let read = match kind {
            Kind::Policy => Policy::deserialize(&value).map(drop),
            Kind::Pool => Pool::deserialize(&value).map(drop),
            Kind::Route => Route::deserialize(&value).map(drop),
            Kind::Service => Service::deserialize(&value).map(drop),
        };
        if read.is_err_and(|err| missing_field(&err).is_none()) {
            return Some(name.clone());
        }
    }
    None
}

fn missing_field(err: &serde_json::Error) -> Option<String> {
    let message = err.to_string();
    let rest = message.strip_prefix("missing field `")?;
    Some(rest.split_once('`')?.0.to_owned())
}
