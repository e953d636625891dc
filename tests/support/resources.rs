//! Random operations on a small set of resources that refer to each other.

use baobabstage::change::Operation;
use baobabstage::prelude::*;
use proptest::prelude::*;
use serde_json::json;

/// Which revision an operation names.
#[derive(Clone, Copy, Debug)]
pub enum Based {
    Nothing,
    Now,
    Wrong,
}

/// An operation in outline.
#[derive(Clone, Debug)]
pub struct Op {
    kind: usize,
    name: u8,
    target: u8,
    content: u32,
    delete: bool,
    based: Based,
}

/// Chooses the operations of a change.
pub fn ops() -> impl Strategy<Value = Vec<Op>> {
    let based = prop_oneof![
        4 => Just(Based::Nothing),
        2 => Just(Based::Now),
        1 => Just(Based::Wrong),
    ];
    let op = (0..4usize, 0..3u8, 0..3u8, 1..9u32, 0..6u8, based);
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
        };
        Spec::from_value(Kind::ALL[self.kind], &value).unwrap()
    }
}

/// Writes operations out against a version; each resource is named once.
pub fn operations(ops: &[Op], now: &Snapshot) -> Vec<Operation> {
    let mut written = BTreeMap::new();
    for op in ops {
        let key = op.key();
        let revision = now.resources().get(&key).map_or(0, |res| res.revision);
        let based_on = match op.based {
            Based::Nothing => None,
            Based::Now => Some(revision),
            Based::Wrong => Some(revision + 1),
        };
        let spec = (!op.delete).then(|| Arc::new(op.spec()));
        let operation = Operation {
            key: key.clone(),
            based_on,
            spec,
        };
        written.insert(key, operation);
    }
    written.into_values().collect()
}
