//! Index layouts: which leafs hold which shards of which version, as the platform publishes them.

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

/// The most shards that one version may have.
pub const MAX_SHARDS: usize = 4_096;

/// Why a published layout is refused.
#[derive(Debug, Error)]
pub enum LayoutError {
    /// The document is not the expected JSON.
    #[error("Layout does not parse")]
    Syntax(#[source] serde_json::Error),
    /// A version has no shards or too many.
    #[error(
        "Index \"{index}\" version {version} has {shards} shards, allowed are 1 to {MAX_SHARDS}"
    )]
    Shards {
        /// The index at fault.
        index: IndexName,
        /// The version at fault.
        version: IndexVersion,
        /// The number of shards found.
        shards: usize,
    },
    /// An index or a version is listed twice.
    #[error("Index \"{index}\" version {version} is listed twice")]
    Twice {
        /// The index at fault.
        index: IndexName,
        /// The version at fault.
        version: IndexVersion,
    },
}

/// Result of checking a layout.
pub type Result<T> = std::result::Result<T, LayoutError>;

/// The layout as published, in JSON.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawLayout {
    /// All indexes.
    pub indexes: Vec<RawIndex>,
}

/// One index as published.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawIndex {
    /// The index's name.
    pub name: IndexName,
    /// The versions that may be queried.
    pub versions: Vec<RawVersion>,
}

/// One version of an index as published.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawVersion {
    /// The version's number; higher is newer.
    pub version: IndexVersion,
    /// The replicas of each shard, by shard number.
    pub shards: Vec<Vec<LeafName>>,
}

/// One version of an index, with its replicas resolved to leaf keys.
#[derive(Debug)]
pub struct IndexSnapshot {
    /// The index's name.
    pub index: IndexName,
    /// The version's number.
    pub version: IndexVersion,
    first_replica: Vec<u32>,
    replicas: Vec<LeafKey>,
}

impl IndexSnapshot {
    fn new(index: &IndexName, raw: &RawVersion, registry: &LeafRegistry) -> Result<Self> {
        let count = raw.shards.len();
        if count == 0 || count > MAX_SHARDS {
            let (index, version) = (index.clone(), raw.version);
            return Err(LayoutError::Shards { index, version, shards: count });
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

    /// Makes a version from the replicas of each shard.
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

    /// Returns the leafs that hold a shard.
    pub fn replicas(&self, shard: ShardNo) -> &[LeafKey] {
        let shard = usize::from(shard.0);
        let start = self.first_replica[shard] as usize;
        let end = self.first_replica[shard + 1] as usize;
        &self.replicas[start..end]
    }
}

/// All index versions that may be queried. Immutable.
#[derive(Clone, Debug, Default)]
pub struct Layout {
    indexes: HashMap<IndexName, Vec<Arc<IndexSnapshot>>>,
}

impl Layout {
    /// Checks a published layout. Leafs that are not in the host list keep their places; they cannot
    /// be called until they are listed.
    pub fn new(raw: &RawLayout, registry: &LeafRegistry) -> Result<Self> {
        let mut indexes: HashMap<IndexName, Vec<Arc<IndexSnapshot>>> = HashMap::new();
        for raw_index in &raw.indexes {
            let versions = indexes.entry(raw_index.name.clone()).or_default();
            for raw_version in &raw_index.versions {
                let snapshot = IndexSnapshot::new(&raw_index.name, raw_version, registry)?;
                if versions.iter().any(|v| v.version == snapshot.version) {
                    let (index, version) = (snapshot.index, snapshot.version);
                    return Err(LayoutError::Twice { index, version });
                }
                versions.push(Arc::new(snapshot));
            }
            versions.sort_by_key(|v| std::cmp::Reverse(v.version));
        }
        Ok(Self { indexes })
    }

    /// Returns the versions of an index, newest first.
    pub fn versions(&self, index: &IndexName) -> &[Arc<IndexSnapshot>] {
        self.indexes.get(index).map_or(&[], Vec::as_slice)
    }

    /// Returns the names of all indexes, ordered.
    pub fn index_names(&self) -> Vec<&IndexName> {
        let mut names: Vec<_> = self.indexes.keys().collect();
        names.sort();
        names
    }
}

impl RawLayout {
    /// Parses a published layout document.
    pub fn parse(text: &[u8]) -> Result<Self> {
        serde_json::from_slice(text).map_err(LayoutError::Syntax)
    }
}
