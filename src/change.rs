//! Changes: named, atomic batches of operations on resources.

use crate::check;
use crate::error::{Category, Error, Result};
use crate::generated::mesh as wire;
use crate::platform::MAX_VALUE_LEN;
use crate::resource::{Kind, ResourceKey, Spec};
use crate::snapshot::{Resource, Snapshot};
use prost::Message;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_128;

/// Maximum number of operations in a change.
pub const MAX_OPERATIONS: usize = 4_096;

/// Maximum length of a change's title, in bytes. Ids are limited by [`MAX_NAME_LEN`].
///
/// [`MAX_NAME_LEN`]: crate::resource::MAX_NAME_LEN
pub const MAX_TITLE_LEN: usize = 200;

/// Maximum length of a change in its TOML or JSON form, in bytes.
pub const MAX_CHANGE_LEN: usize = 16 * 1024 * 1024;

/// A change as written in a file or sent to the operator API.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeFile {
    /// The id, chosen by the operator. Submitting an id again refers to the same change.
    pub id: String,
    /// The purpose of the change, as free text.
    #[serde(default)]
    pub title: String,
    /// The resources to create or replace.
    #[serde(default)]
    pub put: Vec<Put>,
    /// The resources to delete.
    #[serde(default)]
    pub delete: Vec<Delete>,
}

/// A resource to create or replace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Put {
    /// The resource's kind.
    pub kind: Kind,
    /// The resource's name, unique within its kind.
    pub name: String,
    /// The revision that the resource must have; zero when it must not exist. Not checked when
    /// absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub based_on: Option<u64>,
    /// The new specification, checked against the kind by [`Change::from_file`].
    #[serde(deserialize_with = "crate::strict::value")]
    pub spec: serde_json::Value,
}

/// A resource to delete.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Delete {
    /// The resource's kind.
    pub kind: Kind,
    /// The resource's name, unique within its kind.
    pub name: String,
    /// The revision that the resource must have. Not checked when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub based_on: Option<u64>,
}

/// An operation on one resource.
#[derive(Clone, Debug, PartialEq)]
pub struct Operation {
    /// The resource to create, replace or delete.
    pub key: ResourceKey,
    /// The revision that the resource must have, zero when it must not exist. Not checked when
    /// absent.
    pub based_on: Option<u64>,
    /// The new specification; absent to delete the resource.
    pub spec: Option<Arc<Spec>>,
}

/// A validated change: its id, title and operations are within their limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    id: String,
    title: String,
    operations: Vec<Operation>,
}

impl Change {
    /// Creates a change from its operations.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Input`] when the id, the title or a resource name is not valid, when
    /// the number of operations is not in 1 to [`MAX_OPERATIONS`], or when two operations name the
    /// same resource.
    pub fn new(
        id: impl Into<String>,
        title: impl Into<String>,
        operations: Vec<Operation>,
    ) -> Result<Self> {
        let (id, title) = (id.into(), title.into());
        check::name("change", "id", &id)?;
        if title.len() > MAX_TITLE_LEN || title.chars().any(char::is_control) {
            let message = format!(
                "change {id}: field title: over {MAX_TITLE_LEN} bytes or with control characters"
            );
            return Err(Error::new(Category::Input, message).in_field("title"));
        }
        if operations.is_empty() || operations.len() > MAX_OPERATIONS {
            let count = operations.len();
            return invalid_input(format!(
                "change {id}: {count} operations; between 1 and {MAX_OPERATIONS} are allowed"
            ));
        }
        let mut keys = BTreeSet::new();
        for op in &operations {
            check::name(&op.key.to_string(), "name", &op.key.name).map_err(|err| {
                let message = format!("change {id}: {err}");
                err.with_message(message)
            })?;
            if !keys.insert(&op.key) {
                let message = format!("change {id}: {} is named twice", op.key);
                return Err(Error::new(Category::Input, message)
                    .in_resource(&op.key)
                    .in_field("name"));
            }
        }
        Ok(Change {
            id,
            title,
            operations,
        })
    }

    /// Parses a change from TOML.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Input`] when the text is too long, is not TOML, has unknown fields,
    /// or is not a valid change.
    ///
    /// # Examples
    ///
    /// ```
    /// let text = r#"
    /// id = "add-certs-pool"
    /// [[put]]
    /// kind = "pool"
    /// name = "certs"
    /// spec = { slots = 12, connections = 120 }
    /// "#;
    /// let change = baobabstage::Change::from_toml(text)?;
    /// assert_eq!(change.id(), "add-certs-pool");
    /// # Ok::<(), baobabstage::Error>(())
    /// ```
    pub fn from_toml(text: &str) -> Result<Self> {
        if text.len() > MAX_CHANGE_LEN {
            return too_long(text.len());
        }
        let file: ChangeFile =
            toml::from_str(text).map_err(|err| Error::new(Category::Input, err))?;
        Change::from_file(file)
    }

    /// Parses a change from JSON.
    ///
    /// # Errors
    ///
    /// Fails as [`Change::from_toml`] does.
    pub fn from_json(body: &[u8]) -> Result<Self> {
        if body.len() > MAX_CHANGE_LEN {
            return too_long(body.len());
        }
        let file: ChangeFile =
            serde_json::from_slice(body).map_err(|err| Error::new(Category::Input, err))?;
        Change::from_file(file)
    }

    /// Validates a change in its file form.
    ///
    /// # Errors
    ///
    /// Fails when a specification does not fit its kind, and as [`Change::new`] does.
    pub fn from_file(file: ChangeFile) -> Result<Self> {
        let mut operations = Vec::new();
        for put in file.put {
            let spec = Spec::from_value(put.kind, &put.spec).map_err(|err| {
                let location = format!("change {}: {}/{}", file.id, put.kind, put.name);
                let message = format!("{location}: {err}");
                err.with_message(message)
                    .in_resource(format_args!("{}/{}", put.kind, put.name))
            })?;
            operations.push(Operation {
                key: ResourceKey::new(put.kind, put.name),
                based_on: put.based_on,
                spec: Some(Arc::new(spec)),
            });
        }
        for delete in file.delete {
            operations.push(Operation {
                key: ResourceKey::new(delete.kind, delete.name),
                based_on: delete.based_on,
                spec: None,
            });
        }
        Change::new(file.id, file.title, operations)
    }

    /// Converts the change to its file form.
    ///
    /// # Panics
    ///
    /// Never panics: the canonical JSON of a specification always parses.
    #[must_use]
    pub fn to_file(&self) -> ChangeFile {
        let mut file = ChangeFile {
            id: self.id.clone(),
            title: self.title.clone(),
            put: Vec::new(),
            delete: Vec::new(),
        };
        for op in &self.operations {
            let (kind, name, based_on) = (op.key.kind, op.key.name.clone(), op.based_on);
            match &op.spec {
                Some(spec) => file.put.push(Put {
                    kind,
                    name,
                    based_on,
                    spec: serde_json::from_slice(&spec.to_json())
                        .expect("canonical JSON of a specification parses"),
                }),
                None => file.delete.push(Delete {
                    kind,
                    name,
                    based_on,
                }),
            }
        }
        file
    }

    /// Returns the id that the operator chose.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the title; empty if there is none.
    #[must_use]
    pub fn title(&self) -> &str {
        &self.title
    }

    /// Returns the operations, those that put a resource first when read from a file.
    #[must_use]
    pub fn operations(&self) -> &[Operation] {
        &self.operations
    }

    /// Returns a hash of the whole change, which detects a different change under the same id.
    ///
    /// # Panics
    ///
    /// Never panics: every map in a change has string keys.
    #[must_use]
    pub fn digest(&self) -> u128 {
        let file =
            serde_json::to_vec(&self.to_file()).expect("every map in a change has string keys");
        xxh3_128(&file)
    }

    /// Applies the change to a base version and validates the resulting version as a whole.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Conflict`] when a resource's revision differs from the one an
    /// operation is based on, with [`Category::Missing`] when a resource to delete does not exist,
    /// and with [`Category::Input`] when the resulting version is not valid, or when it or the
    /// change record is too large.
    pub fn apply(&self, base: &Snapshot) -> Result<Applied> {
        let version = base.version() + 1;
        let mut resources = base.resources().clone();
        let mut effects = Vec::new();
        for op in &self.operations {
            let before = resources.remove(&op.key);
            self.check_base(op, before.as_ref())?;
            let after = op
                .spec
                .as_ref()
                .map(|spec| Resource::new(version, Spec::clone(spec)));
            effects.push(wire::Effect {
                kind: op.key.kind.to_string(),
                name: op.key.name.clone(),
                before: before.map(|res| res.body()),
                after: after.as_ref().map(Resource::body),
            });
            if let Some(after) = after {
                resources.insert(op.key.clone(), after);
            }
        }
        let snapshot = Snapshot::new(version, self.id.as_str(), resources);
        check::snapshot(&snapshot)?;
        check::length(&snapshot)?;
        let record = wire::ChangeRecord {
            change: self.id.clone(),
            title: self.title.clone(),
            effects,
        };
        let len = record.encoded_len();
        if len > MAX_VALUE_LEN {
            return invalid_input(format!(
                "change {}: its record has {len} bytes; at most {MAX_VALUE_LEN} are allowed: \
                 send it in parts",
                self.id
            ));
        }
        Ok(Applied { snapshot, record })
    }

    /// Creates the change that reverts a recorded one.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Conflict`] when a resource has been modified since the recorded
    /// change.
    pub fn revert_of(record: &wire::ChangeRecord, id: &str, latest: &Snapshot) -> Result<Self> {
        let mut operations = Vec::new();
        for effect in &record.effects {
            let kind: Kind = effect.kind.parse()?;
            let key = ResourceKey::new(kind, effect.name.as_str());
            let current = latest.resources().get(&key);
            if current.map(Resource::body) != effect.after {
                let revision = current.map_or(0, |res| res.revision);
                let message = format!(
                    "change {} cannot be reverted: {key} has changed since (revision {revision})",
                    record.change
                );
                return Err(Error::new(Category::Conflict, message).in_resource(&key));
            }
            let spec = match &effect.before {
                Some(body) => Some(Arc::new(Spec::from_json(kind, body)?)),
                None => None,
            };
            if spec.is_none() && current.is_none() {
                continue;
            }
            operations.push(Operation {
                key,
                based_on: Some(current.map_or(0, |res| res.revision)),
                spec,
            });
        }
        Change::new(id, format!("Revert of {}", record.change), operations)
    }

    fn check_base(&self, op: &Operation, before: Option<&Resource>) -> Result<()> {
        let revision = before.map_or(0, |res| res.revision);
        if let Some(based_on) = op.based_on
            && based_on != revision
        {
            let message = format!(
                "change {}: {} is at revision {revision}, not {based_on}",
                self.id, op.key
            );
            return Err(Error::new(Category::Conflict, message).in_resource(&op.key));
        }
        if op.spec.is_none() && before.is_none() {
            let message = format!("change {}: {} does not exist", self.id, op.key);
            return Err(Error::new(Category::Missing, message).in_resource(&op.key));
        }
        Ok(())
    }
}

/// The result of applying a change to a version.
#[derive(Clone, Debug)]
pub struct Applied {
    /// The new version, validated.
    pub snapshot: Snapshot,
    /// The body of each touched resource before and after the change, kept for reverts.
    pub record: wire::ChangeRecord,
}

fn too_long<T>(len: usize) -> Result<T> {
    invalid_input(format!(
        "change: {len} bytes; at most {MAX_CHANGE_LEN} are allowed"
    ))
}

fn invalid_input<T>(message: String) -> Result<T> {
    Err(Error::new(Category::Input, message))
}
