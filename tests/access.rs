//! The decision on API keys, and the resources that it uses.

use baobabstage::call::access::{
    Access, CallOrganisation, Currency, KeyRefusal, PresentedKey, decide, remove_headers,
    without_key_trailers,
};
use baobabstage::header_names::HeaderNames;
use baobabstage::resource::{KeyDigest, Kind, ResourceKey, Spec};
use baobabstage::serve::{Body, full_body};
use baobabstage::snapshot::{Resource, Snapshot};
use baobabstage::{Category, Change, Table};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use http_body_util::BodyExt as _;
use prost::Message as _;
use std::collections::BTreeMap;
use std::sync::Arc;
use test_case::test_case;

const KEY: &str = "kasi-4471";

fn digest(key: &str) -> KeyDigest {
    KeyDigest::of(key.as_bytes())
}

fn names() -> HeaderNames {
    HeaderNames {
        credential: Some(HeaderName::from_static("x-key")),
        organisation: Some(HeaderName::from_static("x-organisation")),
        ..HeaderNames::default()
    }
}

/// Returns the specifications of a service with a route, and of organisations.
fn specs(check_keys: bool, organisations: &[(&str, String)]) -> BTreeMap<ResourceKey, Resource> {
    let policy =
        format!(r#"{{"kinds":{{"low":1,"high":100}},"check_keys":{check_keys},"queue":8}}"#);
    let fixed = [
        (Kind::Policy, "p", policy.as_str()),
        (Kind::Pool, "certs", r#"{"slots":4,"connections":20}"#),
        (Kind::Service, "certs", r#"{"pool":"certs","policy":"p"}"#),
        (
            Kind::Route,
            "issue",
            r#"{"prefix":"/certs","service":"certs","request_kind":"low","idempotent":false}"#,
        ),
    ];
    let organisations = organisations
        .iter()
        .map(|(name, body)| (Kind::Organisation, *name, body.as_str()));
    let specs = fixed.into_iter().chain(organisations);
    let resources = specs.map(|(kind, name, body)| {
        let spec = Spec::from_json(kind, body.as_bytes()).unwrap();
        (ResourceKey::new(kind, name), Resource::new(1, spec))
    });
    resources.collect()
}

fn compile(check_keys: bool, organisations: &[(&str, String)]) -> baobabstage::Result<Table> {
    let snapshot = Snapshot::new(1, "first", specs(check_keys, organisations));
    Table::compile(Arc::new(snapshot))
}

fn table() -> Table {
    let kasi = format!(r#"{{"keys":["{}"]}}"#, digest(KEY));
    compile(false, &[("kasi", kasi)]).unwrap()
}

fn currency(newer: Option<u64>, closed: bool) -> Currency {
    Currency { newer, closed }
}

fn named(table: &Table) -> Access {
    let id = table.organisation(&digest(KEY)).unwrap();
    Access::Named(CallOrganisation {
        limit: None,
        id,
        name: "kasi".into(),
    })
}

#[test_case(false; "route with keys")]
#[test_case(true; "public route")]
fn decide_known_key(public: bool) {
    let (table, key) = (table(), PresentedKey::Digest(digest(KEY)));
    let access = decide(&table, public, key, Currency::default());
    assert_eq!(access, named(&table));
    let behind = decide(&table, public, key, currency(Some(2), false));
    assert_eq!(behind, named(&table), "a known key needs no newer version");
}

const UNKNOWN: PresentedKey = PresentedKey::Several;

#[test_case(PresentedKey::None, false, None => Access::Anonymous; "no key")]
#[test_case(PresentedKey::None, false, Some(2) => Access::Anonymous; "no key while behind")]
#[test_case(UNKNOWN, true, None => Access::Anonymous; "unknown key on a public route")]
#[test_case(UNKNOWN, true, Some(2) => Access::Anonymous; "public route while behind")]
#[test_case(UNKNOWN, false, None => Access::Refused(KeyRefusal::Unknown); "several keys")]
#[test_case(PresentedKey::Digest(KeyDigest::of(b"other")), false, None
    => Access::Refused(KeyRefusal::Unknown); "unknown key")]
#[test_case(PresentedKey::Digest(KeyDigest::of(b"")), false, None
    => Access::Refused(KeyRefusal::Unknown); "empty key")]
#[test_case(UNKNOWN, false, Some(2) => Access::Refused(KeyRefusal::Outdated); "unknown while behind")]
fn decide_other_key(key: PresentedKey, public: bool, newer: Option<u64>) -> Access {
    decide(&table(), public, key, currency(newer, false))
}

/// Out of contact, a withdrawn key must not be served, and an unknown one must not be answered with a
/// refusal that says it is not valid.
#[test_case(PresentedKey::Digest(KeyDigest::of(KEY.as_bytes())), false => Access::Refused(KeyRefusal::OutOfContact); "known")]
#[test_case(UNKNOWN, false => Access::Refused(KeyRefusal::OutOfContact); "unknown")]
#[test_case(UNKNOWN, true => Access::Refused(KeyRefusal::OutOfContact); "public route")]
#[test_case(PresentedKey::None, false => Access::Anonymous; "no key")]
fn decide_out_of_contact(key: PresentedKey, public: bool) -> Access {
    decide(&table(), public, key, currency(None, true))
}

/// Before the first version, every key is unknown: an answer that it is not valid would be wrong.
#[test]
fn decide_without_configuration() {
    let key = PresentedKey::Digest(digest(KEY));
    let access = decide(&Table::default(), false, key, Currency::default());
    assert_eq!(access, Access::Refused(KeyRefusal::Unconfigured));
}

/// Deployments without organisations are served as before, also out of contact.
#[test]
fn decide_without_organisations() {
    let table = compile(false, &[]).unwrap();
    let key = PresentedKey::Digest(digest(KEY));
    let access = decide(&table, false, key, currency(None, true));
    assert_eq!(access, Access::Unchecked);
}

/// The keys of the last organisation stop working too when it is removed.
#[test]
fn decide_last_organisation_removed() {
    let table = compile(true, &[]).unwrap();
    let key = PresentedKey::Digest(digest(KEY));
    let access = decide(&table, false, key, Currency::default());
    assert_eq!(access, Access::Refused(KeyRefusal::Unknown));
}

#[test_case(KeyRefusal::Unknown => (StatusCode::UNAUTHORIZED, false))]
#[test_case(KeyRefusal::Outdated => (StatusCode::SERVICE_UNAVAILABLE, true))]
#[test_case(KeyRefusal::OutOfContact => (StatusCode::SERVICE_UNAVAILABLE, true))]
#[test_case(KeyRefusal::Unconfigured => (StatusCode::SERVICE_UNAVAILABLE, true))]
fn refusal_status(refusal: KeyRefusal) -> (StatusCode, bool) {
    let refusal = refusal.refusal();
    (refusal.status, refusal.retry_after.is_some())
}

#[test]
fn presented_key() {
    let mut headers = HeaderMap::new();
    assert_eq!(PresentedKey::of(&headers, &names()), PresentedKey::None);
    headers.append("x-key", HeaderValue::from_static(KEY));
    let one = PresentedKey::Digest(digest(KEY));
    assert_eq!(PresentedKey::of(&headers, &names()), one);
    let unnamed = PresentedKey::of(&headers, &HeaderNames::default());
    assert_eq!(unnamed, PresentedKey::None, "no header is named for keys");
    headers.append("x-key", HeaderValue::from_static(KEY));
    assert_eq!(PresentedKey::of(&headers, &names()), PresentedKey::Several);
}

/// A caller's own statement of its organisation is removed with every key.
#[test]
fn remove_headers_all() {
    let mut headers = HeaderMap::new();
    for name in ["x-key", "x-key", "x-organisation", "x-other"] {
        headers.append(name, HeaderValue::from_static("a"));
    }
    remove_headers(&mut headers, &names());
    assert_eq!(headers.keys().collect::<Vec<_>>(), ["x-other"]);
}

#[test_case(r#"{"request_kind":"high"}"# => Some(100); "own kind")]
#[test_case("{}" => None; "kind of the route")]
fn organisation_weight(body: &str) -> Option<u32> {
    let table = compile(false, &[("kasi", body.into())]).unwrap();
    let (id, _) = table.organisations().next().unwrap();
    table.organisation_weight(id, table.service_id("certs").unwrap())
}

/// Two holders of a key cannot be told apart; the error names them and neither the key nor its digest.
#[test]
fn compile_shared_key() {
    let body = format!(r#"{{"keys":["{}"]}}"#, digest(KEY));
    let err = compile(false, &[("kasi", body.clone()), ("lumo", body)]).unwrap_err();
    assert_eq!(err.category(), Category::Input);
    let message = err.to_string();
    assert!(message.contains("organisation/kasi") && message.contains("organisation/lumo"));
    assert!(!message.contains(&digest(KEY).to_string()), "{message}");
}

#[test]
fn compile_unknown_request_kind() {
    let body = r#"{"request_kind":"none"}"#;
    let err = compile(false, &[("kasi", body.into())]).unwrap_err();
    assert_eq!(err.field(), Some("request_kind"));
}

/// A key that an operator wrote in place of its digest is not quoted.
#[test_case(r#"["kasi-4471"]"#; "key in the list")]
#[test_case(r#""kasi-4471""#; "key instead of the list")]
#[test_case(r#"[["kasi-4471"]]"#; "list in the list")]
#[test_case(r#"{"kasi-4471":1}"#; "object")]
fn spec_with_key(keys: &str) {
    let file = format!(
        r#"{{"id":"x","put":[{{"kind":"organisation","name":"kasi","spec":{{"keys":{keys}}}}}]}}"#
    );
    let message = Change::from_json(file.as_bytes()).unwrap_err().to_string();
    assert!(message.contains("organisation/kasi"), "{message}");
    assert!(!message.contains(KEY), "{message}");
}

#[test]
fn digest_text() {
    let text = "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae";
    assert_eq!(digest("foo").to_string(), text);
    assert_eq!(text.parse::<KeyDigest>(), Ok(digest("foo")));
    assert!(text.to_uppercase().parse::<KeyDigest>().is_err());
}

/// A changed key list travels as one resource, not as the whole list of organisations.
#[test]
fn delta_changed_keys() {
    let body = |number: u32, salt: u32| {
        let keys = (0..10).map(|key| format!("\"{}\"", digest(&format!("{number}-{key}-{salt}"))));
        format!(r#"{{"keys":[{}]}}"#, keys.collect::<Vec<_>>().join(","))
    };
    let names: Vec<String> = (0..150).map(|number| format!("o-{number}")).collect();
    let list = |changed: Option<u32>| -> Vec<(&str, String)> {
        let items = names.iter().zip(0..);
        let salt = |number| u32::from(Some(number) == changed);
        let items = items.map(|(name, number)| (name.as_str(), body(number, salt(number))));
        items.collect()
    };
    let before = specs(false, &list(None));
    let mut after = specs(false, &list(Some(7)));
    for (key, resource) in &mut after {
        let unchanged = before.get(key).filter(|old| old.spec == resource.spec);
        *resource = unchanged
            .cloned()
            .unwrap_or_else(|| Resource::new(2, resource.spec.as_ref().clone()));
    }
    let before = Snapshot::external(1, "r1", before);
    let after = Snapshot::external(2, "r2", after);
    let changes = after.changes_after(1, Vec::new());
    assert_eq!(changes.upserts.len(), 1);
    assert!(changes.encoded_len() < 1_024, "{}", changes.encoded_len());
    println!("{} bytes", changes.encoded_len());
    assert_eq!(before.apply_changes(changes).unwrap(), after);
}

/// A build that cannot decode organisations sends versions without them, by which no key would be
/// checked.
#[test]
fn changes_of_earlier_build() {
    let snapshot = Snapshot::external(2, "r2", specs(false, &[]));
    let mut changes = snapshot.changes_after(0, Vec::new());
    changes.format = 0;
    let err = Snapshot::default().apply_changes(changes).unwrap_err();
    assert_eq!(err.category(), Category::Input);
}

/// What earlier builds do with organisations, and this one with kinds to come: the changes are refused as a
/// whole, and the version in force remains.
#[test]
fn changes_of_unknown_kind() {
    let snapshot = Snapshot::external(2, "r2", specs(false, &[("kasi", "{}".into())]));
    let mut changes = snapshot.changes_after(0, Vec::new());
    changes.upserts.last_mut().unwrap().kind = "unheard".into();
    let err = Snapshot::default().apply_changes(changes).unwrap_err();
    assert_eq!(err.category(), Category::Input);
}

/// Guards against a key, or an organisation that the caller states, which passes in the trailers of a body.
#[tokio::test]
async fn without_key_trailers_removed() {
    let names = names();
    let mut trailers = HeaderMap::new();
    for name in [&names.credential, &names.organisation] {
        trailers.insert(name.clone().unwrap(), HeaderValue::from_static("x"));
    }
    trailers.insert("checksum", HeaderValue::from_static("1"));
    let body = full_body("data").with_trailers(async move { Some(Ok(trailers)) });
    let body = without_key_trailers(Body::new(body), &names);
    let collected = body.collect().await.unwrap();
    let trailers = collected.trailers().unwrap();
    assert_eq!(trailers.len(), 1);
    assert!(trailers.contains_key("checksum"));
}
