//! The platform's host list: daemons and leafs, live or leaving.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::ids::GroupKey;
use crate::ids::HostName;
use crate::ids::LeafKey;
use crate::ids::LeafName;
use crate::ids::Zone;

/// Why a published host list is refused.
#[derive(Debug, Error)]
pub enum HostListError {
    /// The document is not the expected JSON.
    #[error("Host list does not parse")]
    Syntax(#[source] serde_json::Error),
    /// A leaf with no slots or connections cannot be called.
    #[error("Leaf \"{0}\" must have at least 1 slot and 1 connection")]
    NoRoom(LeafName),
    /// A name is listed twice.
    #[error("Name \"{0}\" is listed twice")]
    Twice(String),
}

/// Result of checking a host list.
pub type Result<T> = std::result::Result<T, HostListError>;

/// Whether a host takes new work.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// Takes new work.
    #[default]
    Live,
    /// Finishes what it has and takes nothing new.
    Leaving,
}

/// A daemon's host as published.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonHost {
    /// The host's name.
    pub name: HostName,
    /// Where its daemon listens.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Live or leaving.
    #[serde(default)]
    pub state: HostState,
}

/// A leaf as published.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LeafHost {
    /// The leaf's name.
    pub name: LeafName,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Connections that it accepts, over all hosts.
    pub connections: u32,
    /// Live or leaving.
    #[serde(default)]
    pub state: HostState,
    /// What the product's own host list does not say.
    #[serde(skip)]
    pub detail: LeafDetail,
}

/// Facts about a leaf that only some platforms publish.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeafDetail {
    /// Connections that this host may open itself, where that does not follow from the daemons in
    /// the host list.
    pub own_connections: Option<u32>,
    /// How long an idle connection to it is kept.
    pub idle_time: Option<Duration>,
    /// Whether a connection to it is kept open ahead of need.
    pub keeps_warm: bool,
    /// Until when it says that it is slow after its start.
    pub cold_until: Option<Instant>,
    /// What it calls itself towards callers that name the leaf that they mean.
    pub instance: Option<Arc<str>>,
    /// The replicas whose extra calls are budgeted together.
    pub group: GroupKey,
}

/// The host list as published, in JSON.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawHostList {
    /// The daemons' hosts.
    pub daemons: Vec<DaemonHost>,
    /// The leafs.
    pub leafs: Vec<LeafHost>,
}

impl RawHostList {
    /// Parses a published host list.
    pub fn parse(text: &[u8]) -> Result<Self> {
        serde_json::from_slice(text).map_err(HostListError::Syntax)
    }
}

/// Gives each leaf name a key that stays the same for the life of the process.
#[derive(Debug, Default)]
pub struct LeafRegistry {
    keys: Mutex<HashMap<LeafName, LeafKey>>,
}

impl LeafRegistry {
    /// Returns the key of a leaf, making one for a new name.
    pub fn key(&self, name: &LeafName) -> LeafKey {
        let mut keys = self.keys.lock().unwrap();
        let next = LeafKey(keys.len() as u32);
        *keys.entry(name.clone()).or_insert(next)
    }
}

/// A checked host list. Immutable.
#[derive(Clone, Debug, Default)]
pub struct HostList {
    /// The daemons' hosts, ordered by name.
    pub daemons: Vec<DaemonHost>,
    leafs: HashMap<LeafKey, Arc<LeafHost>>,
    keys: HashMap<LeafName, LeafKey>,
}

impl HostList {
    /// Checks a published host list.
    pub fn new(raw: RawHostList, registry: &LeafRegistry) -> Result<Self> {
        let mut daemons = raw.daemons;
        daemons.sort_by(|a, b| a.name.cmp(&b.name));
        if let Some(pair) = daemons.windows(2).find(|pair| pair[0].name == pair[1].name) {
            return Err(HostListError::Twice(pair[0].name.to_string()));
        }
        let mut leafs = HashMap::with_capacity(raw.leafs.len());
        let mut keys = HashMap::with_capacity(raw.leafs.len());
        for leaf in raw.leafs {
            if leaf.slots == 0 || leaf.connections == 0 {
                return Err(HostListError::NoRoom(leaf.name));
            }
            let key = registry.key(&leaf.name);
            keys.insert(leaf.name.clone(), key);
            if let Some(earlier) = leafs.insert(key, Arc::new(leaf)) {
                return Err(HostListError::Twice(earlier.name.to_string()));
            }
        }
        Ok(Self { daemons, leafs, keys })
    }

    /// Finds the key of a listed leaf.
    pub fn leaf_key(&self, name: &LeafName) -> Option<LeafKey> {
        self.keys.get(name).copied()
    }

    /// Finds a listed leaf.
    pub fn leaf(&self, key: LeafKey) -> Option<&Arc<LeafHost>> {
        self.leafs.get(&key)
    }

    /// Returns all listed leafs in no particular order.
    pub fn leafs(&self) -> impl Iterator<Item = (LeafKey, &Arc<LeafHost>)> {
        self.leafs.iter().map(|(&key, leaf)| (key, leaf))
    }

    /// Returns the daemons' hosts of one zone.
    pub fn zone_daemons<'a>(&'a self, zone: &'a Zone) -> impl Iterator<Item = &'a DaemonHost> {
        self.daemons.iter().filter(move |host| host.zone == *zone)
    }

    /// Returns the zones that have daemons, ordered.
    pub fn zones(&self) -> Vec<&Zone> {
        let mut zones: Vec<_> = self.daemons.iter().map(|host| &host.zone).collect();
        zones.sort();
        zones.dedup();
        zones
    }
}
