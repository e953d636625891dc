//! Immutable versions of the whole configuration, and the differences between them.

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

/// The greatest length of a snapshot's encoding, in bytes.
pub const MAX_SNAPSHOT_LEN: usize = 16 * 1024 * 1024;

/// A version number with the hash of its content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stamp {
    /// Counts up by one with each accepted change; zero is the empty configuration.
    pub version: u64,
    /// The 128-bit hash of the content.
    pub hash: u128,
}

impl Stamp {
    /// Reads a stamp from its wire form; an absent one is the empty configuration's.
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

    /// Writes the stamp in its wire form.
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
    /// The version in which the resource last changed.
    pub revision: u64,
    /// What the resource says.
    pub spec: Arc<Spec>,
}

impl Resource {
    /// Makes a resource from its specification.
    #[must_use]
    pub fn new(revision: u64, spec: Spec) -> Self {
        let spec = Arc::new(spec);
        Resource { revision, spec }
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
        let resource = Resource {
            revision: resource.revision,
            spec: Arc::new(spec),
        };
        Ok((key, resource))
    }
}

/// One immutable version of the whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    stamp: Stamp,
    change: String,
    resources: BTreeMap<ResourceKey, Resource>,
}

impl Snapshot {
    /// Makes a version from its resources.
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
        }
    }

    /// Makes a version from resources that were read from a value, which stands for the content.
    #[must_use]
    pub fn of_value(
        version: u64,
        change: impl Into<String>,
        resources: BTreeMap<ResourceKey, Resource>,
        value: &[u8],
    ) -> Self {
        let hash = xxh3_128(value);
        Snapshot {
            stamp: Stamp { version, hash },
            change: change.into(),
            resources,
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

    /// Returns the id of the change that made this version.
    #[must_use]
    pub fn change(&self) -> &str {
        &self.change
    }

    /// Returns the resources, ordered by kind and name.
    #[must_use]
    pub fn resources(&self) -> &BTreeMap<ResourceKey, Resource> {
        &self.resources
    }

    /// Encodes the snapshot.
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

    /// Decodes a snapshot and checks its hash.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a snapshot or the content has another hash.
    pub fn decode(data: &[u8]) -> Result<Self> {
        let wire = wire::Snapshot::decode(data)
            .map_err(|err| Error::new(Category::Input, format!("snapshot: {err}")))?;
        let stamp = Stamp::from_wire(wire.stamp.as_ref());
        let resources: Result<_> = wire
            .resources
            .into_iter()
            .map(Resource::from_wire)
            .collect();
        Snapshot::new(stamp.version, wire.change, resources?).verified(stamp)
    }

    /// Encodes and compresses the snapshot.
    #[must_use]
    pub fn pack(&self) -> wire::Packed {
        let plain = self.encode();
        wire::Packed {
            stamp: Some(self.stamp.to_wire()),
            data: zlib::compress(&plain).into(),
            length: plain.len() as u64,
        }
    }

    /// Decompresses and decodes a snapshot, and checks its hash.
    ///
    /// # Errors
    ///
    /// Fails when the data is truncated, too long, or has another hash than stated.
    pub fn unpack(packed: &wire::Packed) -> Result<Self> {
        let stamp = Stamp::from_wire(packed.stamp.as_ref());
        let plain = zlib::expand(&packed.data, MAX_SNAPSHOT_LEN)
            .map_err(|err| Error::new(Category::Input, format!("snapshot {stamp}: {err}")))?;
        if plain.len() as u64 != packed.length {
            let message = format!(
                "snapshot {stamp}: {} bytes after decompression",
                plain.len()
            );
            return Err(Error::new(Category::Input, message));
        }
        Snapshot::decode(&plain)?.verified(stamp)
    }

    /// Returns the difference from an older version to this one.
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

    /// Applies a difference to this version and checks the hash of the outcome.
    ///
    /// # Errors
    ///
    /// Fails when the delta has another base, or its outcome another hash than stated. The
    /// category is then [`Category::Conflict`], and a full snapshot is needed.
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
        Snapshot::new(stamp.version, delta.change, resources).verified(stamp)
    }

    fn verified(self, stamp: Stamp) -> Result<Self> {
        if self.stamp == stamp {
            return Ok(self);
        }
        let message = format!("snapshot {stamp} has content {}", self.stamp);
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

/// Hashes a field with its length, so that two fields never run into each other.
fn update_field(hasher: &mut Xxh3, field: &[u8]) {
    hasher.update(&(field.len() as u64).to_be_bytes());
    hasher.update(field);
}
