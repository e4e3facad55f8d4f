//! Catalogue entries for opaque requests, whose bodies are not parsed. They determine to which
//! entry a request belongs and which leafs serve it.
//!
//! Invariant: a request has at most one entry. Of the entries for its host, it is the one with the
//! longest prefix of its path.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use thiserror::Error;

use crate::catalogue::Class;
use crate::catalogue::Entry;
use crate::catalogue::Limits;
use crate::catalogue::MAX_ATTEMPTS;
use crate::catalogue::OnVersionLoss;
use crate::cold_limit::ColdPhase;
use crate::ids::EntryName;
use crate::ids::GroupKey;
use crate::ids::IndexName;
use crate::ids::IndexVersion;
use crate::ids::Owner;
use crate::placement::Homes;

/// Owner of all entries, since published entries for opaque requests have none.
const DEFAULT_OWNER: &str = "platform";
/// Entries of this rank and of smaller ranks are urgent; 0 is the highest priority.
const MAX_URGENT_RANK: u64 = 1;
/// Largest number of shards of one entry.
const MAX_SHARDS: usize = 4_096;
/// Limits of all entries, since published entries for opaque requests have none.
const UNLIMITED: Limits = Limits {
    queries_per_second: f64::INFINITY,
    concurrent: u32::MAX,
    effort_ms_per_second: f64::INFINITY,
    extra_load: 1.0,
};

/// Error that describes why an entry is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("Entry \"{entry}\", field \"{field}\" is {value}; allowed is {allowed}")]
pub struct EntryError {
    /// Name of the entry, as published.
    pub entry: String,
    /// Name of the invalid field.
    pub field: &'static str,
    /// Value of the field, or a description of the fault.
    pub value: String,
    /// Values that the field allows, in words.
    pub allowed: &'static str,
}

/// Result of checking an entry.
pub type Result<T> = std::result::Result<T, EntryError>;

/// Group of leafs and its weight in a traffic split, as published.
#[derive(Clone, Debug, PartialEq)]
pub struct RawWeight {
    /// Name of the group.
    pub group: String,
    /// Weight among the entry's groups: finite and not negative. The group gets the requests in
    /// proportion to it.
    pub weight: f64,
}

/// Groups of leafs that serve an entry's requests, as published.
#[derive(Clone, Debug, PartialEq)]
pub enum RawTarget {
    /// Traffic split: each request goes to one leaf of one of these groups.
    One(Vec<RawWeight>),
    /// Scatter-gather: each request goes to one leaf of each of these groups, which are the shards
    /// of an index.
    All(Vec<String>),
}

/// Entry as published, not yet checked.
#[derive(Clone, Debug, PartialEq)]
pub struct RawOpaqueEntry {
    /// Name of the entry.
    pub name: String,
    /// Host of the entry's requests, as in their `host` header without a port, in any case.
    pub host: String,
    /// Prefix of their paths, which must begin and end with a slash.
    pub prefix: String,
    /// Groups of leafs that serve the requests.
    pub target: RawTarget,
    /// Whether a request may safely run more than once, so that it may be hedged and retried.
    pub idempotent: bool,
    /// Longest time until the answer, in milliseconds; above 0.
    pub timeout_ms: u64,
    /// Latency target of an answer, in milliseconds, or `None` if the entry has none.
    pub goal_ms: Option<u64>,
    /// Largest number of leafs that one request may be sent to for each shard, from 1 to 16.
    pub attempts: u64,
    /// Priority among entries; 0 is the highest.
    pub rank: u64,
    /// Largest number of records in the merged answer of a scatter-gather request.
    pub top: usize,
    /// Smallest fraction of the shards, from 0 to 1, that a merged answer must cover.
    pub minimum_coverage: f64,
    /// Regions in which the requests may be served; any if it is empty.
    pub regions: Vec<String>,
}

/// Group of leafs and its weight in a traffic split.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedGroup {
    /// Key of the group.
    pub group: GroupKey,
    /// Weight among the entry's groups, finite and not negative.
    pub weight: f64,
}

/// Groups of leafs that serve an entry's requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// Traffic split: each request goes to one leaf of one of these groups.
    One(Vec<WeightedGroup>),
    /// Scatter-gather: each request goes to one leaf of each of these groups, which are the shards
    /// of an index.
    All(Vec<GroupKey>),
}

/// Checked entry for opaque requests.
#[derive(Clone, Debug, PartialEq)]
pub struct OpaqueEntry {
    /// Properties that all kinds of entries have.
    pub entry: Arc<Entry>,
    /// Host of the entry's requests, in lower case.
    pub host: String,
    /// Prefix of their paths, which begins and ends with a slash.
    pub prefix: String,
    /// Groups of leafs that serve the requests.
    pub target: Target,
    /// Largest number of records in the merged answer of a scatter-gather request.
    pub top: usize,
    /// Regions in which the requests may be served.
    pub homes: Homes,
}

/// Assigns each group name a key that stays the same as long as the process runs.
#[derive(Debug, Default)]
pub struct GroupRegistry {
    keys: HashMap<String, GroupKey>,
}

impl GroupRegistry {
    /// Returns the key of the group `name` and assigns one if the name is new.
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
    /// Checks a published entry. Returns an error that names the first invalid field.
    pub fn new(raw: RawOpaqueEntry, groups: &mut GroupRegistry) -> Result<Self> {
        check(&raw)?;
        let invalid_field = |field, value: String, allowed| EntryError {
            entry: raw.name.clone(),
            field,
            value,
            allowed,
        };
        let names = "1 to 64 bytes of a-z, 0-9, '-', '_' and '.'";
        let name = EntryName::try_from(raw.name.as_str());
        let name = name.map_err(|e| invalid_field("name", e.to_string(), names))?;
        let index = IndexName::try_from(raw.name.as_str());
        let index = index.map_err(|e| invalid_field("name", e.to_string(), names))?;
        let owner = Owner::try_from(DEFAULT_OWNER).expect("the constant is a valid name");
        let entry = Entry {
            name,
            kind: "opaque".to_owned(),
            owner,
            index,
            class: if raw.rank <= MAX_URGENT_RANK { Class::Urgent } else { Class::Ordinary },
            idempotent: raw.idempotent,
            deadline: Duration::from_millis(raw.timeout_ms),
            goal: raw.goal_ms.map(Duration::from_millis),
            attempts: raw.attempts as usize,
            minimum_coverage: raw.minimum_coverage,
            on_version_loss: OnVersionLoss::Partial,
            limits: UNLIMITED,
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
        let homes = Homes::new(raw.regions);
        Ok(Self { entry: Arc::new(entry), host, prefix, target, top: raw.top, homes })
    }
}

fn check(raw: &RawOpaqueEntry) -> Result<()> {
    let invalid_field = |field, value: String, allowed| {
        Err(EntryError { entry: raw.name.clone(), field, value, allowed })
    };
    if !(raw.prefix.starts_with('/') && raw.prefix.ends_with('/')) {
        return invalid_field(
            "prefix",
            raw.prefix.clone(),
            "a path that begins and ends with a slash",
        );
    }
    if raw.timeout_ms == 0 {
        return invalid_field("timeout_ms", "0".to_owned(), "a number above 0");
    }
    if !(1..=MAX_ATTEMPTS).contains(&raw.attempts) {
        return invalid_field("attempts", raw.attempts.to_string(), "1 to 16");
    }
    if !(0.0..=1.0).contains(&raw.minimum_coverage) {
        return invalid_field("minimum_coverage", raw.minimum_coverage.to_string(), "0 to 1");
    }
    match &raw.target {
        RawTarget::One(weights) => {
            let is_valid = |w: &RawWeight| w.weight.is_finite() && w.weight >= 0.0;
            let total: f64 = weights.iter().map(|w| w.weight).sum();
            if !weights.iter().all(is_valid) || total <= 0.0 {
                return invalid_field(
                    "weight",
                    format!("{total} in all"),
                    "weights from 0, not all 0",
                );
            }
        }
        RawTarget::All(names) => {
            if names.is_empty() || names.len() > MAX_SHARDS {
                return invalid_field("shards", names.len().to_string(), "1 to 4096");
            }
            if !raw.idempotent {
                return invalid_field(
                    "idempotent",
                    "false".to_owned(),
                    "true for an entry of all shards",
                );
            }
        }
    }
    Ok(())
}

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time from the first byte of a request's head to its end.
    pub head_time: Duration,
    /// Longest time that a connection may stay idle before it is closed.
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

/// Limits of each leaf of one group, shared by all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GroupLimits {
    /// Key of the group.
    pub group: GroupKey,
    /// Number of connections that each leaf of the group accepts.
    pub connections: u32,
    /// Slow phase of the group's leafs after their start, if they have one.
    pub cold_phase: Option<ColdPhase>,
}

/// All entries of one version of the configuration. Immutable.
#[derive(Clone, Debug, Default)]
pub struct OpaqueCatalogue {
    /// Version of the configuration.
    pub version: IndexVersion,
    /// Limits on callers' requests.
    pub caller_limits: CallerLimits,
    by_host: HashMap<String, Vec<Arc<OpaqueEntry>>>,
    group_limits: HashMap<GroupKey, GroupLimits>,
}

impl OpaqueCatalogue {
    /// Creates a catalogue of checked entries. `groups` holds the published limits of groups.
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
        let group_limits = groups.iter().map(|g| (g.group, *g)).collect();
        Self { version, caller_limits, by_host, group_limits }
    }

    /// Returns the entry of a request by its host, in lower case and without a port, and its path;
    /// nothing if no entry matches.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<OpaqueEntry>> {
        let entries = self.by_host.get(host)?;
        entries.iter().find(|entry| path.starts_with(&entry.prefix))
    }

    /// Iterates over all entries in no particular order.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<OpaqueEntry>> {
        self.by_host.values().flatten()
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }

    /// Returns the number of connections that each leaf of a group accepts from all hosts together,
    /// or `None` if it is not published.
    pub fn connections(&self, group: GroupKey) -> Option<u32> {
        self.group_limits.get(&group).map(|limits| limits.connections)
    }

    /// Returns the slow phase of a group's leafs after their start, if they have one.
    pub fn cold_phase(&self, group: GroupKey) -> Option<ColdPhase> {
        self.group_limits.get(&group)?.cold_phase
    }
}
