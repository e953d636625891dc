//! Random operations on a small set of resources that refer to each other.

use baobabstage::change::Operation;
use baobabstage::prelude::*;
use baobabstage::resource::KeyDigest;
use proptest::prelude::*;
use serde_json::json;

/// The base revision that an operation names.
#[derive(Clone, Copy, Debug)]
pub enum BaseRevision {
    None,
    Current,
    Stale,
}

/// A generated operation, not yet tied to a version.
#[derive(Clone, Debug)]
pub struct Op {
    kind: usize,
    name: u8,
    target: u8,
    content: u32,
    delete: bool,
    based: BaseRevision,
}

/// Generates the operations of a change.
pub fn ops() -> impl Strategy<Value = Vec<Op>> {
    let based = prop_oneof![
        4 => Just(BaseRevision::None),
        2 => Just(BaseRevision::Current),
        1 => Just(BaseRevision::Stale),
    ];
    let op = (0..Kind::ALL.len(), 0..3u8, 0..3u8, 1..9u32, 0..6u8, based);
    let op = op.prop_map(|(kind, name, target, content, delete, based)| Op {
        kind,
        name,
        target,
        content,
        delete: delete == 0,
        based,
    });
    prop::collection::vec(op, 1..5)
}

impl Op {
    fn key(&self) -> ResourceKey {
        ResourceKey::new(Kind::ALL[self.kind], format!("n{}", self.name))
    }

    fn spec(&self) -> Spec {
        let (target, content) = (format!("n{}", self.target), self.content);
        let value = match Kind::ALL[self.kind] {
            Kind::Policy => json!({ "kinds": { "lookup": content } }),
            Kind::Pool => json!({ "slots": content, "connections": 10 }),
            Kind::Service => json!({ "pool": target, "policy": target }),
            Kind::Route => json!({ "prefix": format!("/{}", self.name), "service": target,
                "request_kind": "lookup", "idempotent": true, "timeout_ms": content * 100 }),
            Kind::Organisation => {
                json!({ "keys": [KeyDigest::of(target.as_bytes())], "burst": content })
            }
        };
        Spec::from_value(Kind::ALL[self.kind], &value).unwrap()
    }
}

/// Builds operations against a version. If several affect a resource, the last one is used.
pub fn operations(ops: &[Op], snapshot: &Snapshot) -> Vec<Operation> {
    let mut by_key = BTreeMap::new();
    for op in ops {
        let key = op.key();
        let revision = snapshot.resources().get(&key).map_or(0, |res| res.revision);
        let based_on = match op.based {
            BaseRevision::None => None,
            BaseRevision::Current => Some(revision),
            BaseRevision::Stale => Some(revision + 1),
        };
        let spec = (!op.delete).then(|| Arc::new(op.spec()));
        let operation = Operation {
            key: key.clone(),
            based_on,
            spec,
        };
        by_key.insert(key, operation);
    }
    by_key.into_values().collect()
}
