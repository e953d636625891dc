//! Validation of a whole version, before it is accepted and before a daemon applies it.

use crate::error::{Category, Error, Result};
use crate::resource::{
    KeyDigest, KeyRecord, Kind, MAX_NAME_LEN, Organisation, Policy, Pool, ResourceKey, Route,
    Service, Spec,
};
use crate::snapshot::{MAX_SNAPSHOT_LEN, Snapshot};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;

/// Maximum number of problems listed in one error message.
const MAX_PROBLEMS: usize = 20;

// The allowed ranges of resource fields.

/// The range of `slots` and `connections`.
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
/// The range of `rate_per_ks` and `burst`.
const RATE: RangeInclusive<u64> = 0..=1_000_000_000_000;

/// Checks that a name has 1 to [`MAX_NAME_LEN`] bytes, all of them from `a-z A-Z 0-9 . _ -`.
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

/// Checks every resource of a version and its references to other resources.
///
/// # Errors
///
/// Fails with [`Category::Input`]; the message lists up to `MAX_PROBLEMS` problems, each with
/// its resource and field.
pub fn snapshot(snapshot: &Snapshot) -> Result<()> {
    let mut problems = Problems::default();
    let policies = policies_by_service(snapshot);
    for (key, res) in snapshot.resources() {
        if let Some(problem) = name_problem(&key.name) {
            problems.add(key, "name", &problem);
        }
        match res.spec.as_ref() {
            Spec::Policy(policy) => check_policy(&mut problems, key, policy),
            Spec::Pool(pool) => check_pool(&mut problems, key, pool),
            Spec::Route(route) => check_route(&mut problems, key, route, &policies),
            Spec::Service(Service { .. }) => {}
            Spec::Organisation(organisation) => {
                check_organisation(&mut problems, key, organisation, snapshot);
            }
        }
        // Avoids building the list of references: a service with a policy is known to exist, and
        // most routes lead only to such services.
        if let Spec::Route(route) = res.spec.as_ref()
            && std::iter::once(&route.service)
                .chain(route.split.keys())
                .all(|service| policies.contains_key(service.as_str()))
        {
            continue;
        }
        for (field, target) in res.spec.references() {
            if !snapshot.resources().contains_key(&target) {
                problems.add(key, field, &format!("{target} does not exist"));
            }
        }
    }
    check_overlaps(&mut problems, snapshot);
    check_shared_keys(&mut problems, snapshot);
    problems.into_result()
}

/// Checks that the encoding of a version has at most [`MAX_SNAPSHOT_LEN`] bytes.
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
struct Problems {
    list: Vec<String>,
    /// The resource and field of the first problem.
    first: Option<(String, String)>,
}

impl Problems {
    fn add(&mut self, key: &ResourceKey, field: &str, problem: &str) {
        self.list.push(format!("{key}: field {field}: {problem}"));
        self.first
            .get_or_insert_with(|| (key.to_string(), field.to_owned()));
    }

    fn check_range(
        &mut self,
        key: &ResourceKey,
        field: &str,
        value: u64,
        allowed: &RangeInclusive<u64>,
    ) {
        if !allowed.contains(&value) {
            let (low, high) = (allowed.start(), allowed.end());
            self.add(key, field, &format!("{value} is not in {low} to {high}"));
        }
    }

    fn into_result(mut self) -> Result<()> {
        if self.list.is_empty() {
            return Ok(());
        }
        let more = self.list.len().saturating_sub(MAX_PROBLEMS);
        self.list.truncate(MAX_PROBLEMS);
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

fn check_policy(problems: &mut Problems, key: &ResourceKey, policy: &Policy) {
    for (kind, weight) in &policy.kinds {
        if let Some(problem) = name_problem(kind) {
            problems.add(key, "kinds", &problem);
        }
        problems.check_range(key, &format!("kinds.{kind}"), u64::from(*weight), &WEIGHT);
    }
    problems.check_range(
        key,
        "retry_percent",
        u64::from(policy.retry_percent),
        &PERCENT,
    );
    problems.check_range(key, "queue", u64::from(policy.queue), &QUEUE);
    problems.check_range(key, "body_bytes", policy.body_bytes, &BODY_BYTES);
    if policy.key_record == KeyRecord::Platform {
        problems.add(key, "key_record", "\"platform\" is not supported yet");
    }
}

fn check_pool(problems: &mut Problems, key: &ResourceKey, pool: &Pool) {
    problems.check_range(key, "slots", u64::from(pool.slots), &SLOTS);
    problems.check_range(key, "connections", u64::from(pool.connections), &SLOTS);
    problems.check_range(
        key,
        "spill_percent",
        u64::from(pool.spill_percent),
        &PERCENT,
    );
    problems.check_range(key, "keep_percent", u64::from(pool.keep_percent), &PERCENT);
    problems.check_range(key, "warm_ms", pool.warm_ms, &WARM_MS);
    if let Some(path) = &pool.health
        && let Some(problem) = prefix_problem(path)
    {
        problems.add(key, "health", &problem);
    }
}

fn check_route(
    problems: &mut Problems,
    key: &ResourceKey,
    route: &Route,
    policies: &BTreeMap<&str, &Policy>,
) {
    if let Some(problem) = prefix_problem(&route.prefix) {
        problems.add(key, "prefix", &problem);
    }
    if let Some(host) = &route.host
        && let Some(problem) = host_problem(host)
    {
        problems.add(key, "host", &problem);
    }
    for method in &route.methods {
        if method.is_empty() || !method.bytes().all(|b| b.is_ascii_uppercase()) {
            problems.add(key, "methods", &format!("\"{method}\" must be A-Z only"));
        }
    }
    problems.check_range(key, "timeout_ms", route.timeout_ms, &TIMEOUT_MS);
    problems.check_range(key, "attempts", u64::from(route.attempts), &ATTEMPTS);
    problems.check_range(key, "objective_ms", route.objective_ms, &OBJECTIVE_MS);
    for (service, weight) in &route.split {
        let field = format!("split.{service}");
        problems.check_range(key, &field, u64::from(*weight), &SPLIT_WEIGHT);
    }
    if !route.split.is_empty() && route.split.values().all(|weight| *weight == 0) {
        problems.add(key, "split", "every weight is zero");
    }
    for service in std::iter::once(&route.service).chain(route.split.keys()) {
        if let Some(policy) = policies.get(service.as_str())
            && !policy.kinds.contains_key(&route.request_kind)
        {
            let problem = format!(
                "\"{}\" is not a request kind of the policy of service/{service}",
                route.request_kind
            );
            problems.add(key, "request_kind", &problem);
        }
    }
}

fn check_organisation(
    problems: &mut Problems,
    key: &ResourceKey,
    organisation: &Organisation,
    snapshot: &Snapshot,
) {
    problems.check_range(key, "rate_per_ks", organisation.rate_per_ks, &RATE);
    problems.check_range(key, "burst", organisation.burst, &RATE);
    let resources = snapshot.resources().values();
    let mut policies = resources.filter_map(|res| match res.spec.as_ref() {
        Spec::Policy(policy) => Some(policy),
        _ => None,
    });
    if let Some(kind) = &organisation.request_kind
        && !policies.any(|policy| policy.kinds.contains_key(kind))
    {
        let problem = format!("{kind:?} is not a request kind of any policy");
        problems.add(key, "request_kind", &problem);
    }
}

/// Reports keys that several organisations hold. The problem leaves the key and its digest out.
fn check_shared_keys(problems: &mut Problems, snapshot: &Snapshot) {
    let mut holders: BTreeMap<KeyDigest, &ResourceKey> = BTreeMap::new();
    for (key, res) in snapshot.resources() {
        let Spec::Organisation(organisation) = res.spec.as_ref() else {
            continue;
        };
        for digest in &organisation.keys {
            if let Some(other) = holders.insert(*digest, key) {
                problems.add(key, "keys", &format!("{other} holds one of the keys too"));
            }
        }
    }
}

/// Maps each service to its policy. Services whose policy does not exist are left out.
fn policies_by_service(snapshot: &Snapshot) -> BTreeMap<&str, &Policy> {
    let services = snapshot.resources().iter();
    let services = services.filter_map(|(key, res)| {
        let Spec::Service(service) = res.spec.as_ref() else {
            return None;
        };
        let policy = ResourceKey::new(Kind::Policy, service.policy.as_str());
        match snapshot.resources().get(&policy)?.spec.as_ref() {
            Spec::Policy(policy) => Some((key.name.as_str(), policy)),
            _ => None,
        }
    });
    services.collect()
}

/// Reports routes with the same host, prefix and method.
///
/// A route with methods is more specific than one for all methods, so these two do not conflict.
fn check_overlaps(problems: &mut Problems, snapshot: &Snapshot) {
    let mut routes: BTreeMap<(Option<&str>, &str, &str), &ResourceKey> = BTreeMap::new();
    for (key, res) in snapshot.resources() {
        let Spec::Route(route) = res.spec.as_ref() else {
            continue;
        };
        // The empty string stands for all methods.
        let all_methods = route.methods.is_empty().then_some("");
        let methods = route.methods.iter().map(String::as_str).chain(all_methods);
        for method in methods {
            let matched = (route.host.as_deref(), route.prefix.as_str(), method);
            if let Some(other) = routes.insert(matched, key) {
                problems.add(
                    key,
                    "prefix",
                    &format!("same host, prefix and method as {other}"),
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
    let invalid = value.chars().find(|c| !allowed(*c))?;
    Some(format!(
        "name {value:?} contains {invalid:?} (allowed: a-z A-Z 0-9 . _ -)"
    ))
}

fn prefix_problem(prefix: &str) -> Option<String> {
    if !prefix.starts_with('/') {
        return Some(format!("{prefix:?} does not start with a slash"));
    }
    let allowed = |b: u8| b.is_ascii_graphic() && !matches!(b, b'?' | b'#');
    if prefix.bytes().all(allowed) {
        None
    } else {
        Some(format!(
            "{prefix:?} may contain only visible ASCII characters other than ? and #"
        ))
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
