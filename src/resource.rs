//! The resources that operators declare: services, pools, routes, policies and organisations.

mod organisation;

pub use organisation::{InvalidDigest, KeyDigest, Organisation};

use crate::error::{Category, Error, Result};
use crate::strict::Strict;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

/// Maximum length of a resource name or request kind, in bytes.
pub const MAX_NAME_LEN: usize = 63;

/// The kind of a resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Limits, request kinds and budgets.
    Policy,
    /// The capacity and load balancing of a service's backend servers.
    Pool,
    /// A match on requests and the service that they are sent to.
    Route,
    /// A named service with its pool and policy.
    Service,
    /// The API keys and the request kind of an organisation.
    Organisation,
}

impl Kind {
    /// Every kind, ordered so that a resource refers only to kinds before its own.
    pub const ALL: [Kind; 5] = [
        Kind::Policy,
        Kind::Pool,
        Kind::Service,
        Kind::Route,
        Kind::Organisation,
    ];

    /// Returns the kind's name as written in change files and API paths.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Policy => "policy",
            Kind::Pool => "pool",
            Kind::Route => "route",
            Kind::Service => "service",
            Kind::Organisation => "organisation",
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
    /// Creates a key. The name is not validated here.
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

/// A named service with its pool and policy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The pool of the service's backend servers.
    pub pool: String,
    /// The policy for calls to the service.
    pub policy: String,
}

/// The capacity and load balancing of a service's backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Maximum number of calls that one backend server runs concurrently.
    pub slots: u32,
    /// Maximum number of connections open to one backend server.
    pub connections: u32,
    /// Utilization, in percent of slots, above which calls spill over to other failure domains.
    #[serde(default = "default_spill_percent")]
    pub spill_percent: u32,
    /// Slow start: time in which a new backend server's share of calls grows to its full size, in
    /// milliseconds.
    #[serde(default = "default_warm_ms")]
    pub warm_ms: u64,
    /// Minimum share of the backend servers that outlier ejection leaves in use, in percent.
    #[serde(default = "default_keep_percent")]
    pub keep_percent: u32,
    /// The path of the backend servers' health endpoint, if they have one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub health: Option<String>,
}

/// A match on requests and the service that they are sent to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The host that a request must name, in lower case; any host when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// The path prefix that matches, compared by whole segments.
    pub prefix: String,
    /// The methods that match; all when empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub methods: Vec<String>,
    /// The service that receives the calls.
    pub service: String,
    /// Traffic split: the weight of each service. `service` receives every call when empty.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub split: BTreeMap<String, u32>,
    /// The request kind, whose weight is set by the service's policy.
    pub request_kind: String,
    /// Whether a call may safely run more than once, so that it may be retried although it may have
    /// run.
    pub idempotent: bool,
    /// Time limit for a whole call, retries included, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Latency objective: time within which a response has its full value, in milliseconds; zero
    /// for none.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub objective_ms: u64,
    /// Maximum number of attempts for a call, the first one included.
    #[serde(default = "default_attempts")]
    pub attempts: u32,
    /// Whether calls need no valid API key where keys are checked.
    #[serde(default, skip_serializing_if = "is_false")]
    pub public: bool,
}

/// Where the record of an `Idempotency-Key` is stored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum KeyRecord {
    /// No record; the header is only forwarded.
    None,
    /// At the inbound side chosen by rendezvous hashing; lost with its VM.
    #[default]
    Inbound,
    /// In the platform: survives the loss of VMs and costs one write for each call. Not supported
    /// yet: validation rejects it.
    Platform,
}

/// Limits, request kinds and budgets of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// The weight of each request kind. Under overload, kinds with a smaller weight are shed first.
    pub kinds: BTreeMap<String, u32>,
    /// Retry budget, in percent of first attempts.
    #[serde(default = "default_retry_percent")]
    pub retry_percent: u32,
    /// Maximum number of calls that wait for a slot at one backend server.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "default_body_bytes")]
    pub body_bytes: u64,
    /// Idle timeout of a caller's connection, in milliseconds; zero for none.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub idle_ms: u64,
    /// Where the record of an `Idempotency-Key` is stored.
    #[serde(default)]
    pub key_record: KeyRecord,
    /// Whether API keys are checked, for all services, even if there is no organisation.
    #[serde(default, skip_serializing_if = "is_false")]
    pub check_keys: bool,
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
fn is_false(value: &bool) -> bool {
    !*value
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

/// The specification of a resource, by kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Spec {
    /// Limits, request kinds and budgets.
    Policy(Policy),
    /// The capacity and load balancing of a service's backend servers.
    Pool(Pool),
    /// A match on requests and the service that they are sent to.
    Route(Route),
    /// A named service with its pool and policy.
    Service(Service),
    /// The API keys and the request kind of an organisation.
    Organisation(Organisation),
}

impl Spec {
    /// Parses a specification of a kind from JSON.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Input`] on unknown, duplicate or missing fields and wrong types; the
    /// error names the field.
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

    /// Converts a JSON value to a specification of a kind.
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
            Kind::Organisation => Organisation::deserialize(value).map(Spec::Organisation),
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
    /// Never panics: every map in a specification has string keys.
    #[must_use]
    pub fn to_json(&self) -> Vec<u8> {
        let body = match self {
            Spec::Policy(policy) => serde_json::to_vec(policy),
            Spec::Pool(pool) => serde_json::to_vec(pool),
            Spec::Route(route) => serde_json::to_vec(route),
            Spec::Service(service) => serde_json::to_vec(service),
            Spec::Organisation(organisation) => serde_json::to_vec(organisation),
        };
        body.expect("every map in a specification has string keys")
    }

    /// Returns the kind of the resource.
    #[must_use]
    pub fn kind(&self) -> Kind {
        match self {
            Spec::Policy(_) => Kind::Policy,
            Spec::Pool(_) => Kind::Pool,
            Spec::Route(_) => Kind::Route,
            Spec::Service(_) => Kind::Service,
            Spec::Organisation(_) => Kind::Organisation,
        }
    }

    /// Returns the resources that this one refers to, each with the field that names it.
    #[must_use]
    pub fn references(&self) -> Vec<(&'static str, ResourceKey)> {
        match self {
            Spec::Policy(_) | Spec::Pool(_) | Spec::Organisation(_) => Vec::new(),
            Spec::Route(route) => {
                let split = route.split.keys().map(|name| ("split", name.as_str()));
                let all = std::iter::once(("service", route.service.as_str())).chain(split);
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
    match invalid_field(kind, fields, err) {
        Some(field) => {
            let message = format!("{kind} specification: field {field}: {err}");
            Error::new(Category::Input, message).in_field(field)
        }
        None => Error::new(Category::Input, format!("{kind} specification: {err}")),
    }
}

/// Returns the field that a deserializer error refers to.
///
/// serde reports the name of a missing field only. Other fields are found by deserializing ever
/// more of them: as long as all are valid, the only error is that of a missing field.
fn invalid_field(kind: Kind, fields: &Fields, err: &serde_json::Error) -> Option<String> {
    if let Some(field) = missing_field(err) {
        return Some(field);
    }
    let mut subset = Fields::new();
    for (name, value) in fields {
        subset.insert(name.clone(), value.clone());
        let value = serde_json::Value::Object(subset.clone());
        let result = match kind {
            Kind::Policy => Policy::deserialize(&value).map(drop),
            Kind::Pool => Pool::deserialize(&value).map(drop),
            Kind::Route => Route::deserialize(&value).map(drop),
            Kind::Service => Service::deserialize(&value).map(drop),
            Kind::Organisation => Organisation::deserialize(&value).map(drop),
        };
        if result.is_err_and(|err| missing_field(&err).is_none()) {
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
