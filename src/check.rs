//! Checks of a whole version before it is accepted and before it is applied.

use crate::error::{Category, Error, Result};
use crate::resource::{
    KeyRecord, Kind, MAX_NAME_LEN, Policy, Pool, ResourceKey, Route, Service, Spec,
};
use crate::snapshot::{MAX_SNAPSHOT_LEN, Snapshot};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;

/// The greatest number of faults listed in one error.
const MAX_FAULTS: usize = 20;

const SLOTS: RangeInclusive<u64> = 1..=100_000;
const PERCENT: RangeInclusive<u64> = 0..=100;
const WEIGHT: RangeInclusive<u64> = 1..=1_000;
const TIMEOUT_MS: RangeInclusive<u64> = 1..=600_000;
const WARM_MS: RangeInclusive<u64> = 0..=600_000;
const OBJECTIVE_MS: RangeInclusive<u64> = 0..=600_000;
const SPLIT_WEIGHT: RangeInclusive<u64> = 0..=1_000_000;
const ATTEMPTS: RangeInclusive<u64> = 1..=10;
const QUEUE: RangeInclusive<u64> = 0..=100_000;
const BODY_BYTES: RangeInclusive<u64> = 0..=16 * 1024 * 1024 * 1024;

/// Checks that a name is not empty, not too long, and of the characters `a-z A-Z 0-9 . _ -`.
///
/// # Errors
///
/// Fails with [`Category::Input`], naming the resource and the field.
pub fn name(owner: &str, field: &str, value: &str) -> Result<()> {
    match name_problem(value) {
        Some(problem) => {
            let message = format!("{owner}: field {field}: {problem}");
            Err(Error::new(Category::Input, message)
                .in_resource(owner)
                .in_field(field))
        }
        None => Ok(()),
    }
}

/// Checks every resource of a version and what they refer to.
///
/// # Errors
///
/// Fails with [`Category::Input`]; the message lists each fault with its resource and field.
pub fn snapshot(snapshot: &Snapshot) -> Result<()> {
    let mut faults = Faults::default();
    let policies = policies(snapshot);
    for (key, res) in snapshot.resources() {
        if let Some(problem) = name_problem(&key.name) {
            faults.add(key, "name", &problem);
        }
        match res.spec.as_ref() {
            Spec::Policy(policy) => check_policy(&mut faults, key, policy),
            Spec::Pool(pool) => check_pool(&mut faults, key, pool),
            Spec::Route(route) => check_route(&mut faults, key, route, &policies),
            Spec::Service(Service { .. }) => {}
        }
        // Most routes lead to services that are known to be there.
        if let Spec::Route(route) = res.spec.as_ref()
            && std::iter::once(&route.service)
                .chain(route.split.keys())
                .all(|service| policies.contains_key(service.as_str()))
        {
            continue;
        }
        for (field, target) in res.spec.references() {
            if !snapshot.resources().contains_key(&target) {
                faults.add(key, field, &format!("{target} does not exist"));
            }
        }
    }
    check_overlaps(&mut faults, snapshot);
    faults.into_result()
}

/// Checks the length of a version's encoding.
///
/// # Errors
///
/// Fails with [`Category::Input`] when it is too long.
pub fn length(snapshot: &Snapshot) -> Result<()> {
    let len = snapshot.encode().len();
    if len <= MAX_SNAPSHOT_LEN {
        return Ok(());
    }
    let message = format!("snapshot: {len} bytes; at most {MAX_SNAPSHOT_LEN} are allowed");
    Err(Error::new(Category::Input, message))
}

#[derive(Default)]
struct Faults {
    list: Vec<String>,
    /// The resource and field of the first fault.
    first: Option<(String, String)>,
}

impl Faults {
    fn add(&mut self, key: &ResourceKey, field: &str, problem: &str) {
        self.list.push(format!("{key}: field {field}: {problem}"));
        self.first
            .get_or_insert_with(|| (key.to_string(), field.to_owned()));
    }

    fn range(&mut self, key: &ResourceKey, field: &str, value: u64, allowed: &RangeInclusive<u64>) {
        if !allowed.contains(&value) {
            let (low, high) = (allowed.start(), allowed.end());
            self.add(key, field, &format!("{value} is not in {low} to {high}"));
        }
    }

    fn into_result(mut self) -> Result<()> {
        if self.list.is_empty() {
            return Ok(());
        }
        let more = self.list.len().saturating_sub(MAX_FAULTS);
        self.list.truncate(MAX_FAULTS);
        if more > 0 {
            self.list.push(format!("and {more} more"));
        }
        let error = Error::new(Category::Input, self.list.join("; "));
        Err(match self.first {
            Some((resource, field)) => error.in_resource(resource).in_field(field),
            None => error,
        })
    }
}

fn check_policy(faults: &mut Faults, key: &ResourceKey, policy: &Policy) {
    for (kind, weight) in &policy.kinds {
        if let Some(problem) = name_problem(kind) {
            faults.add(key, "kinds", &problem);
        }
        faults.range(key, &format!("kinds.{kind}"), u64::from(*weight), &WEIGHT);
    }
    faults.range(
        key,
        "retry_percent",
        u64::from(policy.retry_percent),
        &PERCENT,
    );
    faults.range(key, "queue", u64::from(policy.queue), &QUEUE);
    faults.range(key, "body_bytes", policy.body_bytes, &BODY_BYTES);
    if policy.key_record == KeyRecord::Platform {
        faults.add(key, "key_record", "\"platform\" is not supported yet");
    }
}

fn check_pool(faults: &mut Faults, key: &ResourceKey, pool: &Pool) {
    faults.range(key, "slots", u64::from(pool.slots), &SLOTS);
    faults.range(key, "connections", u64::from(pool.connections), &SLOTS);
    faults.range(
        key,
        "spill_percent",
        u64::from(pool.spill_percent),
        &PERCENT,
    );
    faults.range(key, "keep_percent", u64::from(pool.keep_percent), &PERCENT);
    faults.range(key, "warm_ms", pool.warm_ms, &WARM_MS);
    if let Some(path) = &pool.health
        && let Some(problem) = prefix_problem(path)
    {
        faults.add(key, "health", &problem);
    }
}

fn check_route(
    faults: &mut Faults,
    key: &ResourceKey,
    route: &Route,
    policies: &BTreeMap<&str, &Policy>,
) {
    if let Some(problem) = prefix_problem(&route.prefix) {
        faults.add(key, "prefix", &problem);
    }
    if let Some(host) = &route.host
        && let Some(problem) = host_problem(host)
    {
        faults.add(key, "host", &problem);
    }
    for method in &route.methods {
        if method.is_empty() || !method.bytes().all(|b| b.is_ascii_uppercase()) {
            faults.add(key, "methods", &format!("\"{method}\" is not a method"));
        }
    }
    faults.range(key, "timeout_ms", route.timeout_ms, &TIMEOUT_MS);
    faults.range(key, "attempts", u64::from(route.attempts), &ATTEMPTS);
    faults.range(key, "objective_ms", route.objective_ms, &OBJECTIVE_MS);
    for (part, weight) in &route.split {
        let field = format!("split.{part}");
        faults.range(key, &field, u64::from(*weight), &SPLIT_WEIGHT);
    }
    if !route.split.is_empty() && route.split.values().all(|weight| *weight == 0) {
        faults.add(key, "split", "every weight is zero");
    }
    for service in std::iter::once(&route.service).chain(route.split.keys()) {
        if let Some(policy) = policies.get(service.as_str())
            && !policy.kinds.contains_key(&route.request_kind)
        {
            let problem = format!(
                "\"{}\" is not a request kind of the policy of service/{service}",
                route.request_kind
            );
            faults.add(key, "request_kind", &problem);
        }
    }
}

/// Returns the policy of each service that has one.
fn policies(all: &Snapshot) -> BTreeMap<&str, &Policy> {
    let services = all.resources().iter();
    let services = services.filter_map(|(key, res)| {
        let Spec::Service(service) = res.spec.as_ref() else {
            return None;
        };
        let policy = ResourceKey::new(Kind::Policy, service.policy.as_str());
        match all.resources().get(&policy)?.spec.as_ref() {
            Spec::Policy(policy) => Some((key.name.as_str(), policy)),
            _ => None,
        }
    });
    services.collect()
}

/// Finds routes that match exactly the same requests.
fn check_overlaps(faults: &mut Faults, snapshot: &Snapshot) {
    let mut seen: BTreeMap<(Option<&str>, &str, &str), &ResourceKey> = BTreeMap::new();
    for (key, res) in snapshot.resources() {
        let Spec::Route(route) = res.spec.as_ref() else {
            continue;
        };
        let any = route.methods.is_empty().then_some("");
        let methods = route.methods.iter().map(String::as_str).chain(any);
        for method in methods {
            let place = (route.host.as_deref(), route.prefix.as_str(), method);
            if let Some(other) = seen.insert(place, key) {
                faults.add(
                    key,
                    "prefix",
                    &format!("matches the same requests as {other}"),
                );
            }
        }
    }
}

fn name_problem(value: &str) -> Option<String> {
    if value.is_empty() {
        return Some("name is empty".into());
    }
    if value.len() > MAX_NAME_LEN {
        let len = value.len();
        return Some(format!(
            "name has {len} bytes; at most {MAX_NAME_LEN} are allowed"
        ));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    let bad = value.chars().find(|c| !allowed(*c))?;
    Some(format!("name {value:?} has the character {bad:?}"))
}

fn prefix_problem(prefix: &str) -> Option<String> {
    if !prefix.starts_with('/') {
        return Some(format!("{prefix:?} does not start with a slash"));
    }
    let allowed = |b: u8| b.is_ascii_graphic() && !matches!(b, b'?' | b'#');
    if prefix.bytes().all(allowed) {
        None
    } else {
        Some(format!("{prefix:?} is not a path"))
    }
}

fn host_problem(host: &str) -> Option<String> {
    let allowed = |b: u8| {
        b.is_ascii_lowercase()
            || b.is_ascii_digit()
            || matches!(b, b'.' | b'-' | b'[' | b']' | b':')
    };
    if !host.is_empty() && host.bytes().all(allowed) {
        None
    } else {
        Some(format!("{host:?} is not a host name in lower case"))
    }
}
