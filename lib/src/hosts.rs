//! Host list published by the platform: the daemons and leafs, live or leaving.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::cold_limit::ColdBound;
use crate::ids::GroupKey;
use crate::ids::HostName;
use crate::ids::LeafKey;
use crate::ids::LeafName;
use crate::ids::Zone;

/// Reason for which a published host list is refused.
#[derive(Debug, Error)]
pub enum HostListError {
    /// The document is not JSON of the expected structure.
    #[error("Host list does not parse")]
    Syntax(#[source] serde_json::Error),
    /// A leaf has no slots or no connections, so it could never be called.
    #[error("Leaf \"{0}\" must have at least 1 slot and 1 connection")]
    NoCapacity(LeafName),
    /// Two daemons or two leafs have the same name.
    #[error("Name \"{0}\" is listed twice")]
    Duplicate(String),
}

/// Result of validating a host list.
pub type Result<T> = std::result::Result<T, HostListError>;

/// Whether a host accepts new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// The host accepts new work.
    #[default]
    Live,
    /// The host finishes the work in progress and accepts nothing new.
    Leaving,
}

/// Host of a daemon, as published.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonHost {
    /// Name of the host, unique among the daemons.
    pub name: HostName,
    /// Address on which the daemon listens.
    pub addr: SocketAddr,
    /// Availability zone of the host.
    pub zone: Zone,
    /// Whether the host accepts new work; live if not published.
    #[serde(default)]
    pub state: HostState,
}

/// Leaf, as published.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LeafHost {
    /// Name of the leaf, unique among the leafs.
    pub name: LeafName,
    /// Address on which the leaf listens.
    pub addr: SocketAddr,
    /// Availability zone of the leaf.
    pub zone: Zone,
    /// Number of calls that the leaf runs at once; at least 1.
    pub slots: u32,
    /// Number of connections that the leaf accepts from all hosts together; at least 1.
    pub connections: u32,
    /// Whether the leaf accepts new work; live if not published.
    #[serde(default)]
    pub state: HostState,
    /// Properties that a host list does not contain; the defaults if the leaf comes from one.
    #[serde(skip)]
    pub detail: LeafDetail,
}

/// Properties of a leaf that only some platforms publish or that this host derives.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeafDetail {
    /// Number of connections that this host may open; absent if it follows from the number of
    /// daemons in the host list.
    pub own_connections: Option<u32>,
    /// Time after which an idle connection to the leaf is closed; absent for the default.
    pub idle_time: Option<Duration>,
    /// Whether this host prewarms a connection to the leaf and keeps it open.
    pub keeps_warm: bool,
    /// End of the slow phase that the leaf announced for the time after its start.
    pub cold_until: Option<Instant>,
    /// Whether ordinary calls that wait for the leaf get a slot before urgent ones while they are
    /// served far less often.
    pub has_ordinary_turns: bool,
    /// Bound on the calls to the leaf while it is cold; absent if its group bounds nothing.
    pub cold_bound: Option<ColdBound>,
    /// Whether the leaf gets its calls at a pace after a start or a recovery: the leafs of its group
    /// have a cold phase.
    pub is_paced: bool,
    /// Name that calls carry so that a leaf can refuse calls meant for another one.
    pub instance: Option<Arc<str>>,
    /// Group of replicas that share one budget for extra calls.
    pub group: GroupKey,
    /// Name of that group.
    pub group_name: Arc<str>,
    /// Whether the operator has evacuated the leaf's zone, so that the leaf gets no calls.
    pub is_evacuated: bool,
}

/// Host list as published in JSON, not validated.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawHostList {
    /// Hosts of the daemons, in any order.
    pub daemons: Vec<DaemonHost>,
    /// Leafs, in any order.
    pub leafs: Vec<LeafHost>,
}

impl RawHostList {
    /// Parses a published host list. Fails if it is not JSON of the expected structure.
    pub fn parse(text: &[u8]) -> Result<Self> {
        serde_json::from_slice(text).map_err(HostListError::Syntax)
    }
}

/// Assigns each leaf name a key that stays the same until the process ends.
#[derive(Debug, Default)]
pub struct LeafRegistry {
    keys: Mutex<HashMap<LeafName, LeafKey>>,
}

impl LeafRegistry {
    /// Returns the key of a leaf name, and assigns the next free one to a new name.
    pub fn key(&self, name: &LeafName) -> LeafKey {
        let mut keys = self.keys.lock().unwrap();
        let next = LeafKey(keys.len() as u32);
        *keys.entry(name.clone()).or_insert(next)
    }
}

/// Validated host list. Immutable.
#[derive(Clone, Debug, Default)]
pub struct HostList {
    /// Hosts of the daemons, ordered by name.
    pub daemons: Vec<DaemonHost>,
    leafs: HashMap<LeafKey, Arc<LeafHost>>,
    keys: HashMap<LeafName, LeafKey>,
}

impl HostList {
    /// Validates a published host list. Fails if a name is listed twice or a leaf could never be
    /// called.
    pub fn new(raw: RawHostList, registry: &LeafRegistry) -> Result<Self> {
        let mut daemons = raw.daemons;
        daemons.sort_by(|a, b| a.name.cmp(&b.name));
        if let Some(pair) = daemons.windows(2).find(|pair| pair[0].name == pair[1].name) {
            return Err(HostListError::Duplicate(pair[0].name.to_string()));
        }
        let mut leafs = HashMap::with_capacity(raw.leafs.len());
        let mut keys = HashMap::with_capacity(raw.leafs.len());
        for leaf in raw.leafs {
            if leaf.slots == 0 || leaf.connections == 0 {
                return Err(HostListError::NoCapacity(leaf.name));
            }
            let key = registry.key(&leaf.name);
            keys.insert(leaf.name.clone(), key);
            if let Some(previous) = leafs.insert(key, Arc::new(leaf)) {
                return Err(HostListError::Duplicate(previous.name.to_string()));
            }
        }
        Ok(Self { daemons, leafs, keys })
    }

    /// Returns the key of a leaf, or nothing if the name is not listed.
    pub fn leaf_key(&self, name: &LeafName) -> Option<LeafKey> {
        self.keys.get(name).copied()
    }

    /// Returns a leaf by its key, or nothing if it is not listed.
    pub fn leaf(&self, key: LeafKey) -> Option<&Arc<LeafHost>> {
        self.leafs.get(&key)
    }

    /// Iterates over all leafs in no particular order.
    pub fn leafs(&self) -> impl Iterator<Item = (LeafKey, &Arc<LeafHost>)> {
        self.leafs.iter().map(|(&key, leaf)| (key, leaf))
    }

    /// Iterates over the hosts of the daemons of one zone, ordered by name.
    pub fn zone_daemons<'a>(&'a self, zone: &'a Zone) -> impl Iterator<Item = &'a DaemonHost> {
        self.daemons.iter().filter(move |host| host.zone == *zone)
    }

    /// Returns the zones that have daemons, ordered by name.
    pub fn zones(&self) -> Vec<&Zone> {
        let mut zones: Vec<_> = self.daemons.iter().map(|host| &host.zone).collect();
        zones.sort();
        zones.dedup();
        zones
    }
}
