//! Index layouts: the leafs that hold each shard of each index version, as published by the
//! platform.

use std::collections::HashMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::hosts::LeafRegistry;
use crate::ids::IndexName;
use crate::ids::IndexVersion;
use crate::ids::LeafKey;
use crate::ids::LeafName;
use crate::ids::ShardNo;

/// Largest number of shards of one index version.
pub const MAX_SHARDS: usize = 4_096;

/// Reasons for which a published layout is refused.
#[derive(Debug, Error)]
pub enum LayoutError {
    /// The document is not JSON of the expected form.
    #[error("Index layout is not JSON of the expected form")]
    Syntax(#[source] serde_json::Error),
    /// A version has no shards or more than [`MAX_SHARDS`].
    #[error(
        "Index \"{index}\" version {version} has {shards} shards; 1 to {MAX_SHARDS} are allowed"
    )]
    ShardCount {
        /// The index at fault.
        index: IndexName,
        /// The version at fault.
        version: IndexVersion,
        /// The number of shards listed for it.
        shards: usize,
    },
    /// A version of an index is listed more than once.
    #[error("Index \"{index}\" version {version} is listed more than once")]
    DuplicateVersion {
        /// The index at fault.
        index: IndexName,
        /// The version at fault.
        version: IndexVersion,
    },
}

/// Result of parsing or validating a layout.
pub type Result<T> = std::result::Result<T, LayoutError>;

/// A layout as published in JSON, not yet validated.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawLayout {
    /// All indexes; the versions of one index may be listed in several parts.
    pub indexes: Vec<RawIndex>,
}

/// An index as published in a [`RawLayout`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawIndex {
    /// Name of the index.
    pub name: IndexName,
    /// Versions of the index that may be queried.
    pub versions: Vec<RawVersion>,
}

/// An index version as published in a [`RawIndex`].
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawVersion {
    /// Number of the version; higher is newer.
    pub version: IndexVersion,
    /// Names of the leafs that hold each shard, by shard number.
    pub shards: Vec<Vec<LeafName>>,
}

/// An index version with its replicas resolved to leaf keys.
#[derive(Debug)]
pub struct IndexSnapshot {
    /// Name of the index.
    pub index: IndexName,
    /// Number of the version; higher is newer.
    pub version: IndexVersion,
    first_replica: Vec<u32>,
    replicas: Vec<LeafKey>,
}

impl IndexSnapshot {
    fn new(index: &IndexName, raw: &RawVersion, registry: &LeafRegistry) -> Result<Self> {
        let count = raw.shards.len();
        if count == 0 || count > MAX_SHARDS {
            let (index, version) = (index.clone(), raw.version);
            return Err(LayoutError::ShardCount { index, version, shards: count });
        }
        let mut first_replica = Vec::with_capacity(count + 1);
        let mut replicas = Vec::new();
        for shard in &raw.shards {
            first_replica.push(replicas.len() as u32);
            replicas.extend(shard.iter().map(|name| registry.key(name)));
        }
        first_replica.push(replicas.len() as u32);
        Ok(Self { index: index.clone(), version: raw.version, first_replica, replicas })
    }

    /// Creates a version from the replicas of each shard, in order of shard numbers.
    pub fn from_replicas<'a>(
        index: IndexName,
        version: IndexVersion,
        shards: impl IntoIterator<Item = &'a [LeafKey]>,
    ) -> Self {
        let (mut first_replica, mut replicas) = (vec![0], Vec::new());
        for shard in shards {
            replicas.extend_from_slice(shard);
            first_replica.push(replicas.len() as u32);
        }
        Self { index, version, first_replica, replicas }
    }

    /// Returns the number of shards.
    pub fn shard_count(&self) -> usize {
        self.first_replica.len() - 1
    }

    /// Returns the numbers of all shards, ascending.
    pub fn shards(&self) -> impl Iterator<Item = ShardNo> + use<> {
        (0..self.shard_count() as u16).map(ShardNo)
    }

    /// Returns the leafs that hold a shard. Panics if the version has no such shard.
    pub fn replicas(&self, shard: ShardNo) -> &[LeafKey] {
        let shard = usize::from(shard.0);
        let start = self.first_replica[shard] as usize;
        let end = self.first_replica[shard + 1] as usize;
        &self.replicas[start..end]
    }
}

/// All index versions that may be queried, validated. Immutable.
#[derive(Clone, Debug, Default)]
pub struct Layout {
    indexes: HashMap<IndexName, Vec<Arc<IndexSnapshot>>>,
}

impl Layout {
    /// Validates a published layout and resolves its leafs. A leaf that is not in the host list is
    /// resolved too, but cannot be called until it is listed.
    pub fn new(raw: &RawLayout, registry: &LeafRegistry) -> Result<Self> {
        let mut indexes: HashMap<IndexName, Vec<Arc<IndexSnapshot>>> = HashMap::new();
        for raw_index in &raw.indexes {
            let versions = indexes.entry(raw_index.name.clone()).or_default();
            for raw_version in &raw_index.versions {
                let snapshot = IndexSnapshot::new(&raw_index.name, raw_version, registry)?;
                if versions.iter().any(|v| v.version == snapshot.version) {
                    let (index, version) = (snapshot.index, snapshot.version);
                    return Err(LayoutError::DuplicateVersion { index, version });
                }
                versions.push(Arc::new(snapshot));
            }
            versions.sort_by_key(|v| std::cmp::Reverse(v.version));
        }
        Ok(Self { indexes })
    }

    /// Returns the versions of an index, newest first; none if the index is not in the layout.
    pub fn versions(&self, index: &IndexName) -> &[Arc<IndexSnapshot>] {
        self.indexes.get(index).map_or(&[], Vec::as_slice)
    }

    /// Returns the names of all indexes in alphabetical order.
    pub fn index_names(&self) -> Vec<&IndexName> {
        let mut names: Vec<_> = self.indexes.keys().collect();
        names.sort();
        names
    }
}

impl RawLayout {
    /// Parses a published layout document without validating it.
    pub fn parse(text: &[u8]) -> Result<Self> {
        serde_json::from_slice(text).map_err(LayoutError::Syntax)
    }
}
