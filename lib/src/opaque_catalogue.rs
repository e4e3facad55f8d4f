//! Catalogue entries for opaque requests: which request belongs to which entry, and which leafs
//! serve it.
//!
//! Invariant: a request has at most one entry: that of its host with the longest prefix of its path.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use thiserror::Error;

use crate::catalogue::Class;
use crate::catalogue::Entry;
use crate::catalogue::Limits;
use crate::catalogue::MAX_ATTEMPTS;
use crate::catalogue::OnVersionLoss;
use crate::ids::EntryName;
use crate::ids::GroupKey;
use crate::ids::IndexName;
use crate::ids::IndexVersion;
use crate::ids::Owner;

/// Owner of entries whose publication names none.
const UNNAMED_OWNER: &str = "platform";
/// The highest rank that counts as urgent; 0 is the highest of all.
const URGENT_RANK: u64 = 1;
/// The most shards of one entry.
const MAX_TARGETS: usize = 4_096;
/// Limits of entries whose publication names none.
const NO_LIMITS: Limits = Limits {
    queries_per_second: f64::INFINITY,
    concurrent: u32::MAX,
    effort_ms_per_second: f64::INFINITY,
    extra_load: 1.0,
};

/// Why an entry is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("Entry \"{entry}\", field \"{field}\" is {value}; allowed is {allowed}")]
pub struct EntryError {
    /// The entry.
    pub entry: String,
    /// The field at fault.
    pub field: &'static str,
    /// Its value.
    pub value: String,
    /// What is allowed.
    pub allowed: &'static str,
}

/// Result of checking an entry.
pub type Result<T> = std::result::Result<T, EntryError>;

/// A group of leafs and its share of the requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RawWeight {
    /// Name of the group.
    pub group: String,
    /// Weight among the entry's groups.
    pub weight: f64,
}

/// Where an entry's requests go, as published.
#[derive(Clone, Debug, PartialEq)]
pub enum RawTarget {
    /// To one leaf of one of these groups.
    One(Vec<RawWeight>),
    /// To one leaf of each of these groups, which are the shards of an index.
    All(Vec<String>),
}

/// An entry as published.
#[derive(Clone, Debug, PartialEq)]
pub struct RawOpaqueEntry {
    /// Its name.
    pub name: String,
    /// The host of its requests.
    pub host: String,
    /// The prefix of their paths.
    pub prefix: String,
    /// Where they go.
    pub target: RawTarget,
    /// Whether running a request twice does no harm.
    pub idempotent: bool,
    /// Longest time to the answer, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer has its full worth, in milliseconds.
    pub goal_ms: Option<u64>,
    /// The most leafs that one request may be sent to, for each shard.
    pub attempts: u64,
    /// Rank among entries; 0 is the highest.
    pub rank: u64,
    /// Number of records in an answer of all shards.
    pub top: usize,
    /// Smallest share of shards that makes an answer useful.
    pub minimum_coverage: f64,
}

/// A weighted group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedGroup {
    /// The group.
    pub group: GroupKey,
    /// Its weight.
    pub weight: f64,
}

/// Where an entry's requests go.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// To one leaf of one of these groups.
    One(Vec<WeightedGroup>),
    /// To one leaf of each of these groups.
    All(Vec<GroupKey>),
}

/// A checked entry for opaque requests.
#[derive(Clone, Debug, PartialEq)]
pub struct OpaqueEntry {
    /// What it has in common with all entries.
    pub entry: Arc<Entry>,
    /// The host of its requests.
    pub host: String,
    /// The prefix of their paths, which begins and ends with a slash.
    pub prefix: String,
    /// Where they go.
    pub target: Target,
    /// Number of records in an answer of all shards.
    pub top: usize,
}

/// Gives each group name a key that stays the same for the life of the process.
#[derive(Debug, Default)]
pub struct GroupRegistry {
    keys: HashMap<String, GroupKey>,
}

impl GroupRegistry {
    /// Returns the key of a group, making one for a new name.
    pub fn key(&mut self, name: &str) -> GroupKey {
        if let Some(&key) = self.keys.get(name) {
            return key;
        }
        let key = GroupKey(self.keys.len() as u32);
        self.keys.insert(name.to_owned(), key);
        key
    }
}

impl OpaqueEntry {
    /// Checks an entry as published.
    pub fn new(raw: RawOpaqueEntry, groups: &mut GroupRegistry) -> Result<Self> {
        check(&raw)?;
        let fault = |field, value: String, allowed| EntryError {
            entry: raw.name.clone(),
            field,
            value,
            allowed,
        };
        let names = "1 to 64 bytes of a-z, 0-9, '-', '_' and '.'";
        let name = EntryName::try_from(raw.name.as_str());
        let name = name.map_err(|e| fault("name", e.to_string(), names))?;
        let index = IndexName::try_from(raw.name.as_str());
        let index = index.map_err(|e| fault("name", e.to_string(), names))?;
        let owner = Owner::try_from(UNNAMED_OWNER).expect("the constant is a name");
        let entry = Entry {
            name,
            kind: "opaque".to_owned(),
            owner,
            index,
            class: if raw.rank <= URGENT_RANK { Class::Urgent } else { Class::Ordinary },
            idempotent: raw.idempotent,
            deadline: Duration::from_millis(raw.timeout_ms),
            goal: raw.goal_ms.map(Duration::from_millis),
            attempts: raw.attempts as usize,
            minimum_coverage: raw.minimum_coverage,
            on_version_loss: OnVersionLoss::Partial,
            limits: NO_LIMITS,
        };
        let target = match raw.target {
            RawTarget::One(weights) => {
                let weighted =
                    |w: &RawWeight| WeightedGroup { group: groups.key(&w.group), weight: w.weight };
                Target::One(weights.iter().map(weighted).collect())
            }
            RawTarget::All(names) => {
                Target::All(names.iter().map(|name| groups.key(name)).collect())
            }
        };
        let (host, prefix) = (raw.host.to_ascii_lowercase(), raw.prefix);
        Ok(Self { entry: Arc::new(entry), host, prefix, target, top: raw.top })
    }
}

fn check(raw: &RawOpaqueEntry) -> Result<()> {
    let fault = |field, value: String, allowed| {
        Err(EntryError { entry: raw.name.clone(), field, value, allowed })
    };
    if !(raw.prefix.starts_with('/') && raw.prefix.ends_with('/')) {
        return fault("prefix", raw.prefix.clone(), "a path that begins and ends with a slash");
    }
    if raw.timeout_ms == 0 {
        return fault("timeout_ms", "0".to_owned(), "a number above 0");
    }
    if !(1..=MAX_ATTEMPTS).contains(&raw.attempts) {
        return fault("attempts", raw.attempts.to_string(), "1 to 16");
    }
    if !(0.0..=1.0).contains(&raw.minimum_coverage) {
        return fault("minimum_coverage", raw.minimum_coverage.to_string(), "0 to 1");
    }
    match &raw.target {
        RawTarget::One(weights) => {
            let is_sound = |w: &RawWeight| w.weight.is_finite() && w.weight >= 0.0;
            let total: f64 = weights.iter().map(|w| w.weight).sum();
            if !weights.iter().all(is_sound) || total <= 0.0 {
                return fault("weight", format!("{total} in all"), "weights from 0, not all 0");
            }
        }
        RawTarget::All(names) => {
            if names.is_empty() || names.len() > MAX_TARGETS {
                return fault("shards", names.len().to_string(), "1 to 4096");
            }
            if !raw.idempotent {
                return fault("idempotent", "false".to_owned(), "true for an entry of all shards");
            }
        }
    }
    Ok(())
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// The largest head of a request, in bytes.
    pub head_bytes: usize,
    /// The largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time from the first byte of a head to its end.
    pub head_time: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 1 << 20,
            head_time: Duration::from_secs(5),
            idle_time: Duration::from_secs(60),
        }
    }
}

/// Connections that the leafs of a group accept each, over all hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GroupLimits {
    /// The group.
    pub group: GroupKey,
    /// Connections of each leaf.
    pub connections: u32,
}

/// All entries of one version of the configuration. Immutable.
#[derive(Clone, Debug, Default)]
pub struct OpaqueCatalogue {
    /// The version.
    pub version: IndexVersion,
    /// What callers may send.
    pub caller_limits: CallerLimits,
    by_host: HashMap<String, Vec<Arc<OpaqueEntry>>>,
    connections: HashMap<GroupKey, u32>,
}

impl OpaqueCatalogue {
    /// Makes a catalogue of checked entries.
    pub fn new(
        version: IndexVersion,
        caller_limits: CallerLimits,
        entries: Vec<OpaqueEntry>,
        groups: &[GroupLimits],
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<OpaqueEntry>>> = HashMap::new();
        for entry in entries {
            by_host.entry(entry.host.clone()).or_default().push(Arc::new(entry));
        }
        for entries in by_host.values_mut() {
            entries.sort_by_key(|entry| std::cmp::Reverse(entry.prefix.len()));
        }
        let connections = groups.iter().map(|g| (g.group, g.connections)).collect();
        Self { version, caller_limits, by_host, connections }
    }

    /// Finds the entry of a request by its host and path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<OpaqueEntry>> {
        let entries = self.by_host.get(host)?;
        entries.iter().find(|entry| path.starts_with(&entry.prefix))
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }

    /// Returns how many connections each leaf of a group accepts, if that is published.
    pub fn connections(&self, group: GroupKey) -> Option<u32> {
        self.connections.get(&group).copied()
    }
}
