//! Immutable versions of the whole configuration, and deltas between them.

use crate::error::{Category, Error, Result};
use crate::generated::mesh as wire;
use crate::resource::{Kind, ResourceKey, Spec};
use crate::zlib;
use bytes::Bytes;
use prost::Message;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use xxhash_rust::xxh3::{Xxh3, xxh3_128};

/// Maximum length of an encoded snapshot before compression, in bytes.
pub const MAX_SNAPSHOT_LEN: usize = 16 * 1024 * 1024;

/// The resource kinds of the changes that this build sends; see `Changes` of the protocol.
const FORMAT: u32 = 1;

/// A version number with the hash of its content.
///
/// Two versions with equal stamps have equal content; equal version numbers alone do not prove it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stamp {
    /// Incremented with each accepted change; zero is the empty configuration.
    pub version: u64,
    /// The 128-bit XXH3 hash of the content.
    pub hash: u128,
}

impl Stamp {
    /// Converts a stamp from its wire form. An absent one is that of the empty configuration, and a
    /// hash of another length than 16 bytes is read as zero.
    #[must_use]
    pub fn from_wire(stamp: Option<&wire::Stamp>) -> Self {
        let Some(stamp) = stamp else {
            return Stamp::default();
        };
        let mut hash = [0; 16];
        if stamp.hash.len() == hash.len() {
            hash.copy_from_slice(&stamp.hash);
        }
        Stamp {
            version: stamp.version,
            hash: u128::from_be_bytes(hash),
        }
    }

    /// Converts the stamp to its wire form.
    #[must_use]
    pub fn to_wire(self) -> wire::Stamp {
        wire::Stamp {
            version: self.version,
            hash: Bytes::copy_from_slice(&self.hash.to_be_bytes()),
        }
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:032x}", self.version, self.hash)
    }
}

impl Serialize for Stamp {
    fn serialize<S: serde::Serializer>(&self, s: S) -> std::result::Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

/// A resource within a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resource {
    /// The version in which the resource last changed. Of an externally managed configuration, the
    /// first version in which a daemon found the change; daemons may have skipped others before it.
    pub revision: u64,
    /// The resource's content.
    pub spec: Arc<Spec>,
    /// The hash of the content.
    digest: u128,
}

impl Resource {
    /// Creates a resource that last changed in the version `revision`.
    #[must_use]
    pub fn new(revision: u64, spec: Spec) -> Self {
        let digest = xxh3_128(spec.to_json().as_ref());
        let spec = Arc::new(spec);
        Resource {
            revision,
            spec,
            digest,
        }
    }

    /// Returns the specification as canonical JSON.
    #[must_use]
    pub fn body(&self) -> Bytes {
        self.spec.to_json().into()
    }

    fn to_wire(&self, key: &ResourceKey) -> wire::Resource {
        wire::Resource {
            kind: key.kind.to_string(),
            name: key.name.clone(),
            revision: self.revision,
            body: self.body(),
        }
    }

    fn from_wire(resource: wire::Resource) -> Result<(ResourceKey, Self)> {
        let kind: Kind = resource.kind.parse()?;
        let spec = Spec::from_json(kind, &resource.body)
            .map_err(|err| Error::new(err.category(), format!("{}: {err}", resource.name)))?;
        let key = ResourceKey::new(kind, resource.name);
        Ok((key, Resource::new(resource.revision, spec)))
    }
}

/// One immutable version of the whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    stamp: Stamp,
    change: String,
    resources: BTreeMap<ResourceKey, Resource>,
    /// Whether this is a version of an externally managed configuration.
    external: bool,
}

impl Snapshot {
    /// Creates a version from its resources and computes its hash.
    #[must_use]
    pub fn new(
        version: u64,
        change: impl Into<String>,
        resources: BTreeMap<ResourceKey, Resource>,
    ) -> Self {
        let change = change.into();
        let hash = content_hash(version, &change, &resources);
        Snapshot {
            stamp: Stamp { version, hash },
            change,
            resources,
            external: false,
        }
    }

    /// Creates a version of an externally managed configuration.
    ///
    /// Its hash does not cover the revisions of the resources, since daemons that skip versions
    /// disagree on them.
    #[must_use]
    pub fn external(
        version: u64,
        change: impl Into<String>,
        resources: BTreeMap<ResourceKey, Resource>,
    ) -> Self {
        let hash = unordered_hash(&resources);
        Snapshot {
            stamp: Stamp { version, hash },
            change: change.into(),
            resources,
            external: true,
        }
    }

    /// Returns the version and the hash of the content.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        self.stamp
    }

    /// Returns the version number.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.stamp.version
    }

    /// Returns the id of the change that created this version, or the version as written in an
    /// externally managed configuration.
    #[must_use]
    pub fn change(&self) -> &str {
        &self.change
    }

    /// Returns the resources, ordered by kind and name.
    #[must_use]
    pub fn resources(&self) -> &BTreeMap<ResourceKey, Resource> {
        &self.resources
    }

    /// Encodes the snapshot in its protobuf form.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let resources = self.resources.iter();
        wire::Snapshot {
            stamp: Some(self.stamp.to_wire()),
            change: self.change.clone(),
            resources: resources.map(|(key, res)| res.to_wire(key)).collect(),
        }
        .encode_to_vec()
    }

    /// Decodes a snapshot and verifies its hash.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Input`] when the bytes are not a snapshot, and with
    /// [`Category::Conflict`] when its content does not match the hash.
    pub fn decode(data: &[u8]) -> Result<Self> {
        let wire = wire::Snapshot::decode(data)
            .map_err(|err| Error::new(Category::Input, format!("snapshot: {err}")))?;
        let stamp = Stamp::from_wire(wire.stamp.as_ref());
        let resources: Result<_> = wire
            .resources
            .into_iter()
            .map(Resource::from_wire)
            .collect();
        Snapshot::new(stamp.version, wire.change, resources?).verify(stamp)
    }

    /// Encodes and compresses the snapshot.
    #[must_use]
    pub fn pack(&self) -> wire::Packed {
        let encoded = self.encode();
        wire::Packed {
            stamp: Some(self.stamp.to_wire()),
            data: zlib::compress(&encoded).into(),
            length: encoded.len() as u64,
        }
    }

    /// Decompresses and decodes a snapshot, and verifies its hash.
    ///
    /// # Errors
    ///
    /// Fails when the data is truncated, when it has another length than stated or more than
    /// [`MAX_SNAPSHOT_LEN`] bytes after decompression, or when its content does not match the hash.
    pub fn unpack(packed: &wire::Packed) -> Result<Self> {
        let stamp = Stamp::from_wire(packed.stamp.as_ref());
        let encoded = zlib::decompress(&packed.data, MAX_SNAPSHOT_LEN)
            .map_err(|err| Error::new(Category::Input, format!("snapshot {stamp}: {err}")))?;
        if encoded.len() as u64 != packed.length {
            let message = format!(
                "snapshot {stamp}: {} bytes after decompression",
                encoded.len()
            );
            return Err(Error::new(Category::Input, message));
        }
        Snapshot::decode(&encoded)?.verify(stamp)
    }

    /// Returns the delta from an older version to this one.
    #[must_use]
    pub fn delta_from(&self, base: &Snapshot) -> wire::Delta {
        let upserts = self
            .resources
            .iter()
            .filter(|(key, res)| base.resources.get(*key) != Some(*res))
            .map(|(key, res)| res.to_wire(key))
            .collect();
        let removals = base
            .resources
            .keys()
            .filter(|key| !self.resources.contains_key(*key))
            .map(|key| wire::ResourceKey {
                kind: key.kind.to_string(),
                name: key.name.clone(),
            })
            .collect();
        wire::Delta {
            base: Some(base.stamp.to_wire()),
            stamp: Some(self.stamp.to_wire()),
            change: self.change.clone(),
            upserts,
            removals,
        }
    }

    /// Applies a delta to this version and verifies the hash of the result.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Conflict`] when this version is not the delta's base or the result
    /// does not match the stated hash, so that a full snapshot is needed, and with
    /// [`Category::Input`] when a resource cannot be parsed.
    pub fn apply_delta(&self, delta: wire::Delta) -> Result<Self> {
        let base = Stamp::from_wire(delta.base.as_ref());
        if base != self.stamp {
            let message = format!("delta from {base} does not fit {}", self.stamp);
            return Err(Error::new(Category::Conflict, message));
        }
        let mut resources = self.resources.clone();
        for key in delta.removals {
            resources.remove(&ResourceKey::new(key.kind.parse()?, key.name));
        }
        for resource in delta.upserts {
            let (key, resource) = Resource::from_wire(resource)?;
            resources.insert(key, resource);
        }
        let stamp = Stamp::from_wire(delta.stamp.as_ref());
        Snapshot::new(stamp.version, delta.change, resources).verify(stamp)
    }

    /// Returns what has changed after an older version: the resources with a greater revision, and
    /// the keys of those that were removed. After version zero, that is every resource.
    #[must_use]
    pub fn changes_after(&self, version: u64, removed: Vec<ResourceKey>) -> wire::Changes {
        let changed = self.resources.iter();
        let changed = changed.filter(|(_, res)| res.revision > version || version == 0);
        let removed = removed.into_iter().map(|key| wire::ResourceKey {
            kind: key.kind.to_string(),
            name: key.name,
        });
        wire::Changes {
            after: version,
            stamp: Some(self.stamp.to_wire()),
            change: self.change.clone(),
            external: self.external,
            upserts: changed.map(|(key, res)| res.to_wire(key)).collect(),
            removals: removed.collect(),
            format: FORMAT,
        }
    }

    /// Applies the changes after this version, or after an older one, and verifies the hash of the
    /// result.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Conflict`] when the changes start after a newer version or the result
    /// does not match the stated hash, so that the changes after version zero are needed, and with
    /// [`Category::Input`] when a resource cannot be parsed, or when a build that cannot decode
    /// organisations has decoded the version: without them, no API key would be checked.
    pub fn apply_changes(&self, changes: wire::Changes) -> Result<Self> {
        if changes.external && changes.format < FORMAT {
            let message = "changes of an earlier build lack the organisations";
            return Err(Error::new(Category::Input, message));
        }
        let (after, stamp) = (changes.after, Stamp::from_wire(changes.stamp.as_ref()));
        if after > self.stamp.version {
            let message = format!("changes after version {after} do not fit {}", self.stamp);
            return Err(Error::new(Category::Conflict, message));
        }
        let mut resources = BTreeMap::new();
        if after > 0 {
            resources.clone_from(&self.resources);
        }
        for key in changes.removals {
            resources.remove(&ResourceKey::new(key.kind.parse()?, key.name));
        }
        for resource in changes.upserts {
            let (key, resource) = Resource::from_wire(resource)?;
            resources.insert(key, resource);
        }
        let create = if changes.external {
            Snapshot::external
        } else {
            Snapshot::new
        };
        create(stamp.version, changes.change, resources).verify(stamp)
    }

    fn verify(self, stamp: Stamp) -> Result<Self> {
        if self.stamp == stamp {
            return Ok(self);
        }
        let message = format!("snapshot {stamp}: its content has stamp {}", self.stamp);
        Err(Error::new(Category::Conflict, message))
    }
}

fn content_hash(version: u64, change: &str, resources: &BTreeMap<ResourceKey, Resource>) -> u128 {
    let mut hasher = Xxh3::new();
    hasher.update(&version.to_be_bytes());
    update_field(&mut hasher, change.as_bytes());
    for (key, res) in resources {
        update_field(&mut hasher, key.kind.as_str().as_bytes());
        update_field(&mut hasher, key.name.as_bytes());
        hasher.update(&res.revision.to_be_bytes());
        update_field(&mut hasher, &res.body());
    }
    hasher.digest128()
}

/// Hashes the keys and contents of resources. The hash is a sum, so that a resource that has not
/// changed is not encoded again.
fn unordered_hash(resources: &BTreeMap<ResourceKey, Resource>) -> u128 {
    let hashes = resources.iter().map(|(key, res)| {
        let mut hasher = Xxh3::new();
        update_field(&mut hasher, key.kind.as_str().as_bytes());
        update_field(&mut hasher, key.name.as_bytes());
        hasher.update(&res.digest.to_be_bytes());
        hasher.digest128()
    });
    hashes.fold(0, u128::wrapping_add)
}

/// Hashes a field prefixed with its length, so that adjacent fields cannot be confused.
fn update_field(hasher: &mut Xxh3, field: &[u8]) {
    hasher.update(&(field.len() as u64).to_be_bytes());
    hasher.update(field);
}
