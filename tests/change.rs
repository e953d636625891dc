//! Validation of changes: what is rejected, and which resource and field the error names.

use baobabstage::resource::{Kind, ResourceKey, Spec};
use baobabstage::snapshot::{MAX_SNAPSHOT_LEN, Resource, Snapshot};
use baobabstage::{Category, Change, Error};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use test_case::test_case;

fn put(kind: &str, name: &str, spec: &Value) -> Value {
    json!({ "kind": kind, "name": name, "spec": spec })
}

/// Returns a change that puts a policy, a pool, a service and a route, with one spec replaced.
fn change_with(kind: &str, name: &str, spec: &Value) -> Value {
    let mut puts = vec![
        put("policy", "records", &json!({ "kinds": { "lookup": 10 } })),
        put("pool", "certs", &json!({ "slots": 12, "connections": 120 })),
        put(
            "service",
            "certs",
            &json!({ "pool": "certs", "policy": "records" }),
        ),
        put(
            "route",
            "lookup",
            &json!({
            "prefix": "/certs", "service": "certs", "request_kind": "lookup", "idempotent": true }),
        ),
    ];
    puts.retain(|put| put["kind"] != kind || put["name"] != name);
    puts.push(put(kind, name, spec));
    json!({ "id": "change", "put": puts })
}

fn apply(change: &Value) -> Result<Snapshot, Error> {
    let change = Change::from_json(change.to_string().as_bytes())?;
    Ok(change.apply(&Snapshot::default())?.snapshot)
}

fn route(field: &str, value: Value) -> Value {
    let mut spec = json!({
        "prefix": "/certs", "service": "certs", "request_kind": "lookup", "idempotent": true });
    spec[field] = value;
    spec
}

fn pool(field: &str, value: Value) -> Value {
    let mut spec = json!({ "slots": 12, "connections": 120 });
    spec[field] = value;
    spec
}

#[test_case("pool", "certs", &pool("slots", json!(0)), "slots"; "slots_zero")]
#[test_case("pool", "certs", &pool("slots", json!(-1)), "slots"; "slots_negative")]
#[test_case("pool", "certs", &pool("slots", json!(1.5)), "slots"; "slots_fraction")]
#[test_case("pool", "certs", &pool("slots", json!("12")), "slots"; "slots_text")]
#[test_case("pool", "certs", &pool("connections", json!(100_001)), "connections"; "connections_over")]
#[test_case("pool", "certs", &pool("spill_percent", json!(101)), "spill_percent"; "spill_over")]
#[test_case("pool", "certs", &pool("keep_percent", json!(101)), "keep_percent"; "keep_over")]
#[test_case("pool", "certs", &pool("warm_ms", json!(600_001)), "warm_ms"; "warm_over")]
#[test_case("pool", "certs", &pool("colour", json!(1)), "colour"; "unknown_field")]
#[test_case("pool", "certs", &json!({ "slots": 1 }), "connections"; "missing_field")]
#[test_case("service", "certs", &json!({ "pool": "none", "policy": "records" }), "pool"; "no_pool")]
#[test_case("service", "certs", &json!({ "pool": "certs", "policy": "none" }), "policy"; "no_policy")]
#[test_case("route", "lookup", &route("service", json!("none")), "service"; "no_service")]
#[test_case("route", "lookup", &route("request_kind", json!("none")), "request_kind"; "no_kind")]
#[test_case("route", "lookup", &route("prefix", json!("certs")), "prefix"; "prefix_relative")]
#[test_case("route", "lookup", &route("prefix", json!("/a b")), "prefix"; "prefix_space")]
#[test_case("route", "lookup", &route("prefix", json!("/a\n")), "prefix"; "prefix_control")]
#[test_case("route", "lookup", &route("prefix", json!("/ä")), "prefix"; "prefix_not_ascii")]
#[test_case("route", "lookup", &route("host", json!("Certs.fi")), "host"; "host_upper_case")]
#[test_case("route", "lookup", &route("host", json!("")), "host"; "host_empty")]
#[test_case("route", "lookup", &route("methods", json!(["get"])), "methods"; "method_lower_case")]
#[test_case("route", "lookup", &route("timeout_ms", json!(0)), "timeout_ms"; "timeout_zero")]
#[test_case("route", "lookup", &route("attempts", json!(11)), "attempts"; "attempts_over")]
#[test_case("route", "other", &route("prefix", json!("/certs")), "prefix"; "same_match")]
#[test_case("policy", "records", &json!({ "kinds": { "lookup": 0 } }), "kinds.lookup"; "weight_zero")]
#[test_case("policy", "records", &json!({ "kinds": { "a b": 1, "lookup": 1 } }), "kinds"; "kind_name")]
#[test_case("policy", "records", &json!({ "kinds": {"lookup": 1}, "retry_percent": 101 }), "retry_percent"; "retry_over")]
#[test_case("policy", "records", &json!({ "kinds": {"lookup": 1}, "key_record": "disk" }), "key_record"; "key_record_unknown")]
#[test_case("policy", "records", &json!({ "kinds": {"lookup": 1}, "queue": 100_001 }), "queue"; "queue_over")]
fn apply_invalid(kind: &str, name: &str, spec: &Value, field: &str) {
    let err = apply(&change_with(kind, name, spec)).unwrap_err();
    assert_eq!(err.category(), Category::Input);
    assert_eq!(
        err.resource(),
        Some(format!("{kind}/{name}").as_str()),
        "{err}"
    );
    assert_eq!(err.field(), Some(field), "{err}");
    assert!(err.to_string().contains(&format!("field {field}")), "{err}");
}

#[test]
fn apply_valid() {
    let spec = pool("slots", json!(13));
    let snapshot = apply(&change_with("pool", "certs", &spec)).unwrap();
    assert_eq!((snapshot.version(), snapshot.resources().len()), (1, 4));
}

const POOL: &str = r#"{"kind": "pool", "name": "p", "spec": {"slots": 1, "connections": 1}}"#;

#[test_case("", "EOF"; "empty")]
#[test_case("[]", "invalid length"; "not_an_object")]
#[test_case(r#"{"put": []}"#, "missing field `id`"; "no_id")]
#[test_case(r#"{"id": "x"}"#, "0 operations"; "no_operation")]
#[test_case(r#"{"id": "", "put": [POOL]}"#, "field id"; "empty_id")]
#[test_case(r#"{"id": "a/b", "put": [POOL]}"#, "field id"; "slash_in_id")]
#[test_case(r#"{"id": "x", "id": "y", "put": [POOL]}"#, "duplicate field `id`"; "repeated_id")]
#[test_case(r#"{"id": "x", "title": "a\u0007", "put": [POOL]}"#, "field title"; "control_in_title")]
#[test_case(r#"{"id": "x", "put": [POOL], "colour": 1}"#, "unknown field `colour`"; "unknown_field")]
#[test_case(r#"{"id": "x", "put": [POOL, POOL]}"#, "pool/p is named twice"; "same_resource_twice")]
#[test_case(r#"{"id": "x", "put": [POOL], "delete": [{"kind": "pool", "name": "p"}]}"#, "pool/p is named twice"; "put_and_delete")]
#[test_case(r#"{"id": "x", "put": [{"kind": "pool", "name": "p/q", "spec": {"slots": 1, "connections": 1}}]}"#, "field name"; "slash_in_name")]
#[test_case(r#"{"id": "x", "put": [{"kind": "colour", "name": "p", "spec": {}}]}"#, "unknown variant `colour`"; "unknown_kind")]
#[test_case(r#"{"id": "x", "put": [{"kind": "pool", "name": "p", "spec": {"slots": 1, "slots": 2, "connections": 1}}]}"#, "duplicate field `slots`"; "repeated_field_in_spec")]
#[test_case(r#"{"id": "x", "put": [{"kind": "policy", "name": "p", "spec": {"kinds": {"a": 1, "a": 2}}}]}"#, "duplicate field `a`"; "repeated_request_kind")]
fn from_json_invalid(text: &str, message: &str) {
    let text = text.replace("POOL", POOL);
    let err = Change::from_json(text.as_bytes()).unwrap_err();
    assert_eq!(err.category(), Category::Input);
    assert!(err.to_string().contains(message), "{err}");
}

#[test_case("id = \"x\"\ncolour = 1\n", "line 2"; "unknown_field_line")]
#[test_case("id = \"x\"\nid = \"y\"\n", "line 2"; "repeated_key_line")]
#[test_case("id = \"x\"\n\nput = [\n", "line 3"; "syntax_line")]
fn from_toml_invalid(text: &str, message: &str) {
    let err = Change::from_toml(text).unwrap_err();
    assert!(err.to_string().contains(message), "{err}");
}

#[test]
fn from_json_invalid_utf8() {
    let err = Change::from_json(b"{\"id\": \"\xff\", \"put\": []}").unwrap_err();
    assert_eq!(err.category(), Category::Input);
}

/// A change is rejected when the resulting snapshot exceeds the maximum length, although each
/// resource and the change itself are far below it.
#[test]
fn apply_snapshot_too_large() {
    let kinds: BTreeMap<String, u32> = (0..3_000).map(|i| (format!("{i:063}"), 1)).collect();
    let spec = Spec::from_value(Kind::Policy, &json!({ "kinds": kinds })).unwrap();
    let resource = Resource::new(1, spec);
    let capacity = MAX_SNAPSHOT_LEN / (resource.body().len() + 60);
    let resources = (0..=capacity).map(|index| {
        let key = ResourceKey::new(Kind::Policy, format!("p{index}"));
        (key, resource.clone())
    });
    let base = Snapshot::new(1, "base", resources.collect());
    let text = format!(r#"{{"id": "x", "put": [{POOL}]}}"#);
    let change = Change::from_json(text.as_bytes()).unwrap();
    let err = change.apply(&base).unwrap_err();
    assert!(err.to_string().contains("snapshot: "), "{err}");
}

/// A change is rejected when its record, with the bodies before and after, exceeds the maximum
/// length of one value in the platform.
#[test]
fn apply_record_too_large() {
    let change_with_weight = |weight: u32| {
        let kinds: BTreeMap<String, u32> =
            (0..8_000).map(|i| (format!("{i:063}"), weight)).collect();
        json!({ "id": "large", "put": [put("policy", "p", &json!({ "kinds": kinds }))] })
    };
    let base = apply(&change_with_weight(1)).unwrap();
    let change = Change::from_json(change_with_weight(2).to_string().as_bytes()).unwrap();
    let err = change.apply(&base).unwrap_err();
    assert_eq!(err.category(), Category::Input);
    assert!(err.to_string().contains("send it in parts"), "{err}");
}

#[test]
fn revert_of_restores_base() {
    let first = change_with("pool", "certs", &pool("slots", json!(12)));
    let base = apply(&first).unwrap();
    let second =
        json!({ "id": "second", "put": [put("pool", "certs", &pool("slots", json!(99)))] });
    let second = Change::from_json(second.to_string().as_bytes()).unwrap();
    let applied = second.apply(&base).unwrap();
    let revert = Change::revert_of(&applied.record, "back", &applied.snapshot).unwrap();
    let restored = revert.apply(&applied.snapshot).unwrap().snapshot;
    let bodies = |snapshot: &Snapshot| -> Vec<_> {
        let resources = snapshot.resources().iter();
        resources
            .map(|(key, res)| (key.clone(), res.body()))
            .collect()
    };
    assert_eq!(bodies(&restored), bodies(&base));
    let err = Change::revert_of(&applied.record, "again", &restored).unwrap_err();
    assert_eq!(err.category(), Category::Conflict);
    assert_eq!(err.resource(), Some("pool/certs"));
}
