//! Which hosts may open connections to a leaf.
//!
//! While every host's share of a leaf's connections is at least one, all of them call it directly.
//! Above that, each leaf is given to a few relays of its zone by rendezvous hashing, and the other
//! hosts send their calls to a relay. All hosts decide by the same host list, without a switch.
//! Invariant: hosts that agree on the host list open no more connections than the leaf accepts.

use std::net::SocketAddr;

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::hosts::DaemonHost;
use crate::hosts::HostList;
use crate::hosts::HostState;
use crate::hosts::LeafHost;
use crate::ids::HostName;

/// Relays of each leaf. Two, so that the loss of one costs no leaf.
pub const RELAYS_PER_LEAF: usize = 2;

/// A host that calls a leaf for others.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct RelayHost {
    /// Its name.
    pub host: HostName,
    /// Where its daemon listens.
    pub addr: SocketAddr,
}

/// How this host reaches a leaf.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Route {
    /// By connections of its own, at most this many.
    Direct(u32),
    /// Through one of these hosts.
    Via(Vec<RelayHost>),
}

impl Route {
    /// Returns the number of connections that this host may open.
    pub fn connections(&self) -> u32 {
        match self {
            Self::Direct(connections) => *connections,
            Self::Via(_) => 0,
        }
    }
}

/// Decides routes under one host list.
#[derive(Debug)]
pub struct Router<'a> {
    own: &'a HostName,
    hosts: &'a HostList,
    ranked: Vec<RankedHost<'a>>,
}

#[derive(Debug)]
struct RankedHost<'a> {
    host: &'a DaemonHost,
    seed: u64,
}

impl<'a> Router<'a> {
    /// Prepares the hosts of a list for ranking.
    pub fn new(own: &'a HostName, hosts: &'a HostList) -> Self {
        let rank = |host: &'a DaemonHost| {
            let seed = xxh3_64(host.name.as_str().as_bytes());
            RankedHost { host, seed }
        };
        Self { own, hosts, ranked: hosts.daemons.iter().map(rank).collect() }
    }

    /// Decides how this host reaches a leaf.
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

    /// Returns the relays of a leaf: hosts of its zone, or of any zone where it has none.
    fn relays(&self, leaf: &LeafHost) -> Vec<&'a DaemonHost> {
        let in_zone = self.highest(leaf, |host| host.zone == leaf.zone);
        if in_zone.is_empty() { self.highest(leaf, |_| true) } else { in_zone }
    }

    fn highest(&self, leaf: &LeafHost, fits: impl Fn(&DaemonHost) -> bool) -> Vec<&'a DaemonHost> {
        let name = leaf.name.as_str().as_bytes();
        let count = RELAYS_PER_LEAF.min(leaf.connections as usize);
        let mut best: Vec<(u64, &DaemonHost)> = Vec::with_capacity(count + 1);
        for ranked in &self.ranked {
            if ranked.host.state == HostState::Leaving || !fits(ranked.host) {
                continue;
            }
            let score = xxh3_64_with_seed(name, ranked.seed);
            let place = best.partition_point(|(other, _)| *other > score);
            if place < count {
                best.insert(place, (score, ranked.host));
                best.truncate(count);
            }
        }
        best.into_iter().map(|(_, host)| host).collect()
    }
}
