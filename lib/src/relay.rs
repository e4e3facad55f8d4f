//! Choice of the hosts that open connections to a leaf.
//!
//! While every host's share of a leaf's connections is at least one, all hosts call the leaf
//! directly. If there are more hosts than connections, a few relays in the leaf's zone are chosen
//! by rendezvous hashing, and the other hosts send their calls to a relay. All hosts derive this
//! from the same host list; there is no setting. Invariant: hosts that have the same host list
//! together open no more connections than the leaf accepts.

use std::net::SocketAddr;

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::hosts::DaemonHost;
use crate::hosts::HostList;
use crate::hosts::HostState;
use crate::hosts::LeafHost;
use crate::ids::HostName;
use crate::ids::LeafHash;
use crate::rate_limit::HostRank;

/// Largest number of relays of a leaf: two, so that the leaf stays reachable when one fails. A leaf
/// that accepts fewer connections has fewer relays.
pub const RELAYS_PER_LEAF: usize = 2;

/// Host that calls a leaf on behalf of others.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct RelayHost {
    /// Name of the host.
    pub host: HostName,
    /// Address on which the host's daemon listens.
    pub addr: SocketAddr,
}

/// Way in which this host calls a leaf.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Route {
    /// Directly, over at most this number of connections.
    Direct(u32),
    /// Through one of these relays.
    Via(Vec<RelayHost>),
}

impl Route {
    /// Returns the number of connections that this host may open to the leaf; 0 if its calls go
    /// through a relay.
    pub fn connections(&self) -> u32 {
        match self {
            Self::Direct(connections) => *connections,
            Self::Via(_) => 0,
        }
    }
}

/// Router for the leafs of one host list.
#[derive(Debug)]
pub struct Router<'a> {
    own: &'a HostName,
    hosts: &'a HostList,
    candidates: Vec<Candidate<'a>>,
}

#[derive(Debug)]
struct Candidate<'a> {
    host: &'a DaemonHost,
    /// Hash of the host's name, the seed of its rank for each leaf.
    seed: u64,
}

impl<'a> Router<'a> {
    /// Creates a router of the host `own`, and hashes the names of all hosts for the ranking.
    pub fn new(own: &'a HostName, hosts: &'a HostList) -> Self {
        let candidate = |host: &'a DaemonHost| {
            let seed = xxh3_64(host.name.as_str().as_bytes());
            Candidate { host, seed }
        };
        Self { own, hosts, candidates: hosts.daemons.iter().map(candidate).collect() }
    }

    /// Returns the way in which this host calls a leaf. A leaf with `own_connections` is always
    /// called directly, as this host's share of its connections is already computed.
    pub fn route(&self, leaf: &LeafHost) -> Route {
        if let Some(connections) = leaf.detail.own_connections {
            return Route::Direct(connections);
        }
        let daemons = self.hosts.daemons.len().max(1) as u32;
        if leaf.connections >= daemons {
            return Route::Direct(leaf.connections / daemons);
        }
        let relays = self.relays(leaf);
        let count = relays.len().max(1) as u32;
        if relays.iter().any(|relay| relay.name == *self.own) {
            return Route::Direct((leaf.connections / count).max(1));
        }
        let via = relays.iter().map(|r| RelayHost { host: r.name.clone(), addr: r.addr });
        Route::Via(via.collect())
    }

    /// Returns this host's rank among the hosts that call a leaf directly.
    pub fn rank(&self, leaf: &LeafHost) -> HostRank {
        let calls_through_relays = (leaf.connections as usize) < self.hosts.daemons.len();
        let callers: Vec<&DaemonHost> = if calls_through_relays {
            self.relays(leaf)
        } else {
            self.hosts.daemons.iter().collect()
        };
        let score = |name: &HostName| {
            xxh3_64_with_seed(name.as_str().as_bytes(), LeafHash::of(&leaf.name).0)
        };
        let own_score = score(self.own);
        let place = callers.iter().filter(|host| score(&host.name) > own_score).count();
        HostRank { place, hosts: callers.len() }
    }

    /// Returns the relays of a leaf: hosts of its zone, or of any zone if that has no host.
    fn relays(&self, leaf: &LeafHost) -> Vec<&'a DaemonHost> {
        let in_zone = self.highest_ranked(leaf, |host| host.zone == leaf.zone);
        if in_zone.is_empty() { self.highest_ranked(leaf, |_| true) } else { in_zone }
    }

    /// Returns the hosts that rank first for a leaf among those for which `fits` holds, at most
    /// [`RELAYS_PER_LEAF`]. Skips hosts that are leaving.
    fn highest_ranked(
        &self,
        leaf: &LeafHost,
        fits: impl Fn(&DaemonHost) -> bool,
    ) -> Vec<&'a DaemonHost> {
        let name = leaf.name.as_str().as_bytes();
        let count = RELAYS_PER_LEAF.min(leaf.connections as usize);
        let mut top_ranked: Vec<(u64, &DaemonHost)> = Vec::with_capacity(count + 1);
        for candidate in &self.candidates {
            if candidate.host.state == HostState::Leaving || !fits(candidate.host) {
                continue;
            }
            let score = xxh3_64_with_seed(name, candidate.seed);
            let position = top_ranked.partition_point(|(other, _)| *other > score);
            if position < count {
                top_ranked.insert(position, (score, candidate.host));
                top_ranked.truncate(count);
            }
        }
        top_ranked.into_iter().map(|(_, host)| host).collect()
    }
}
