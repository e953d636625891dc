//! Random and corrupted external input: no panic, and an error that states where the fault is.

use baobabstage::change::MAX_OPERATIONS;
use baobabstage::resource::{Kind, Spec};
use baobabstage::settings::{FLAGS, Flags, Settings, variable};
use baobabstage::snapshot::Snapshot;
use baobabstage::{Category, Change};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

const TOML: &str = r#"
id = "add-certs"
title = "Certificate lookups"
[[put]]
kind = "policy"
name = "records"
spec = { kinds = { lookup = 10 }, retry_percent = 10, key_record = "platform" }
[[put]]
kind = "pool"
name = "certs"
based_on = 0
spec = { slots = 12, connections = 120, warm_ms = 100 }
[[put]]
kind = "route"
name = "lookup"
spec = { host = "certs.fi", prefix = "/certs", methods = ["GET"], service = "certs", request_kind = "lookup", idempotent = true }
[[delete]]
kind = "service"
name = "old"
"#;

/// Fixes the seed, so that every run has the same cases.
fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

/// Corrupts a text: replaces, removes or inserts some bytes, or truncates it.
fn corrupted(text: &[u8]) -> impl Strategy<Value = Vec<u8>> + use<> {
    let text = text.to_vec();
    let edit = (any::<prop::sample::Index>(), 0..4_u8, any::<u8>());
    prop::collection::vec(edit, 1..6).prop_map(move |edits| {
        let mut data = text.clone();
        for (position, kind, byte) in edits {
            let at = position.index(data.len());
            match kind {
                0 => data[at] = byte,
                1 if data.len() > 1 => drop(data.remove(at)),
                2 => data.insert(at, byte),
                _ => data.truncate(at + 1),
            }
        }
        data
    })
}

/// Checks the invariants of a parsed change, or of the error if it was refused.
fn check_change(parsed: baobabstage::Result<Change>) -> Result<(), TestCaseError> {
    let change = match parsed {
        Ok(change) => change,
        Err(err) => {
            prop_assert_eq!(err.category(), Category::Input);
            prop_assert!(!err.to_string().is_empty());
            return Ok(());
        }
    };
    prop_assert!((1..=MAX_OPERATIONS).contains(&change.operations().len()));
    let written = serde_json::to_vec(&change.to_file()).unwrap();
    prop_assert_eq!(Change::from_json(&written).unwrap(), change.clone());
    match change.apply(&Snapshot::default()) {
        Ok(applied) => {
            let data = applied.snapshot.encode();
            prop_assert_eq!(Snapshot::decode(&data).unwrap(), applied.snapshot);
        }
        Err(err) => prop_assert!(err.resource().is_some(), "{err}"),
    }
    Ok(())
}

fn snapshot() -> Snapshot {
    let change =
        r#"{"id":"x","put":[{"kind":"pool","name":"p","spec":{"slots":1,"connections":1}}]}"#;
    let change = Change::from_json(change.as_bytes()).unwrap();
    change.apply(&Snapshot::default()).unwrap().snapshot
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn change_from_toml(data in corrupted(TOML.as_bytes())) {
        let text = String::from_utf8_lossy(&data);
        check_change(Change::from_toml(&text))?;
    }

    #[test]
    fn change_from_json(data in corrupted(JSON)) {
        check_change(Change::from_json(&data))?;
    }

    #[test]
    fn change_from_random(data in prop::collection::vec(any::<u8>(), 0..200)) {
        check_change(Change::from_json(&data))?;
        check_change(Change::from_toml(&String::from_utf8_lossy(&data)))?;
    }

    #[test]
    fn spec_from_json(data in corrupted(SPEC), kind in 0..Kind::ALL.len()) {
        let kind = Kind::ALL[kind];
        match Spec::from_json(kind, &data) {
            Ok(spec) => {
                let body = spec.to_json();
                prop_assert_eq!(Spec::from_json(kind, &body).unwrap(), spec);
            }
            Err(err) => prop_assert!(err.to_string().starts_with(kind.as_str()), "{err}"),
        }
    }

    #[test]
    fn snapshot_decode(data in corrupted(&snapshot().encode())) {
        // The hash detects corruption: a snapshot that decodes is the one that was encoded.
        if let Ok(decoded) = Snapshot::decode(&data) {
            prop_assert_eq!(decoded, snapshot());
        }
    }

    #[test]
    fn settings_from_random(flag in 0..FLAGS.len(), value in "\\PC{0,20}|[0-9.:,/-]{0,20}") {
        let name = variable(FLAGS[flag]);
        let mut variables: BTreeMap<String, String> = BTreeMap::from([
            ("BAOBAB_DOMAIN".into(), "espoo".into()),
            ("BAOBAB_REGION".into(), "fi-south".into()),
            ("BAOBAB_PLATFORM".into(), "127.0.0.1:1".into()),
        ]);
        variables.insert(name.clone(), value);
        if let Err(err) = Settings::new(&Flags::default(), &variables) {
            let pair = matches!(FLAGS[flag], "service" | "backend");
            prop_assert!(pair || err.to_string().contains(&name), "{err}");
        }
    }
}

const SPEC: &[u8] = br#"{"prefix":"/certs","methods":["GET"],"service":"certs","request_kind":"lookup","idempotent":true,"timeout_ms":100,"attempts":2}"#;

const JSON: &[u8] = br#"{"id":"x","title":"t","put":[{"kind":"pool","name":"certs","based_on":0,"spec":{"slots":12,"connections":120}},{"kind":"policy","name":"records","spec":{"kinds":{"lookup":10}}}],"delete":[{"kind":"service","name":"old","based_on":3}]}"#;
