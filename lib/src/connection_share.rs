//! This host's share of the connections that a leaf accepts from all hosts.
//!
//! Hosts near a leaf share one half, as they call it for most requests; all others share the other
//! half for second calls. Every host may open one. All hosts together keep open no more than a part
//! of what the leaf accepts: a leaf counts the connections of hosts that lost power until it
//! notices, and should have room for some of them when they are back. Those far away wait a while
//! after a start before they open any ahead of need. Where not every host can keep one
//! to each leaf, each keeps one to some of a shard's far leafs, so that a second call finds one open;
//! which ones is chosen by hashing, and the others close theirs soon after use. While a leaf is
//! crowded, they close theirs after each use: when a shard has one sound leaf left, all hosts call
//! it, and only those that are at it need a connection.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::HostName;
use crate::ids::LeafName;

/// Part of a leaf's connections that the hosts near it share.
const NEAR_PART: f64 = 0.5;
/// Part of a leaf's connections that hosts keep open ahead of need.
const KEPT_PART: f64 = 0.55;
/// Idle time after which connections are closed that are not kept.
const SCARCE_IDLE_TIME: Duration = Duration::from_millis(1_500);
/// Crowded leafs from which on a host that has just started takes all leafs for crowded: one or two may
/// be so by chance.
const WIDESPREAD: usize = 3;
/// Idle time after which connections are closed otherwise.
const IDLE_TIME: Duration = Duration::from_secs(20);

/// Tells the draws for keeping a connection from others.
const KEEP_SEED: u64 = 0;
/// Tells the draws for the order of far leafs from others.
const PREFERENCE_SEED: u64 = 1;

/// How many hosts there are, as seen from one leaf.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HostCounts {
    /// Hosts in the leaf's region.
    pub near: usize,
    /// All others.
    pub far: usize,
    /// Whether this host is in the leaf's region.
    pub is_near: bool,
    /// Whether this host has started a short while ago.
    pub is_new: bool,
}

/// A far leaf among those that hold the same data.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FarRank {
    /// How many of the far ones this host prefers to it.
    pub place: usize,
    /// How many far ones there are.
    pub count: usize,
}

/// What one host may do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionShare {
    /// Connections that it may open.
    pub connections: u32,
    /// How long it may keep one that is idle, unless the leaf is crowded.
    pub idle_time: Duration,
    /// Whether it keeps one open ahead of need.
    pub keeps_warm: bool,
}

/// Works out the share of the host `own` at a leaf. The place counts for far leafs only.
pub fn share(
    limit: u32,
    hosts: HostCounts,
    far_place: FarRank,
    own: &HostName,
    leaf: &LeafName,
) -> ConnectionShare {
    let (part, count) = match hosts {
        HostCounts { far: 0, near, .. } => (1.0, near),
        HostCounts { near: 0, far, .. } => (1.0, far),
        HostCounts { is_near: true, near, .. } => (NEAR_PART, near),
        HostCounts { far, .. } => (NEAR_PART, far),
    };
    let exact = f64::from(limit) * part / count.max(1) as f64;
    let may_keep = hosts.is_near || !hosts.is_new;
    let part = kept_part(limit, hosts);
    // How many of the far leafs this host can keep a connection to, in the mean.
    let kept_far = part * far_place.count as f64 - far_place.place as f64;
    let part = if hosts.is_near || part >= 1.0 { part } else { kept_far };
    let keeps_warm = may_keep && draw(own, leaf, KEEP_SEED) < part;
    let idle_time = if keeps_warm { IDLE_TIME } else { SCARCE_IDLE_TIME };
    ConnectionShare { connections: (exact as u32).max(1), idle_time, keeps_warm }
}

/// Returns which part of the hosts like this one keeps a connection; above 1 for all of them.
fn kept_part(limit: u32, hosts: HostCounts) -> f64 {
    let room = f64::from(limit) * KEPT_PART;
    let near = hosts.near as f64;
    if hosts.is_near { room / near.max(1.0) } else { (room - near) / hosts.far.max(1) as f64 }
}

/// What this host does with connections to one leaf at present.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionPolicy {
    /// Whether it closes each one after its call.
    pub closes_after_use: bool,
    /// Whether it opens one ahead of need.
    pub prewarms: bool,
}

/// How long this host has been there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HostPhase {
    /// It does not know yet how many hosts there are; all may have started at once.
    Starting,
    /// It may not open connections ahead of need to leafs that have fewer than there are hosts.
    Settling,
    /// It has settled.
    Settled,
}

/// What was seen of leafs that have too many connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Crowding {
    /// Whether this leaf has.
    pub is_crowded: bool,
    /// Leafs that have had since this host started.
    pub crowded_leafs: usize,
}

/// Decides what to do with connections to a leaf that is crowded or not.
///
/// After a loss of power, a leaf counts the connections of the hosts' former runs for some seconds, and
/// has room for a part of the hosts only. While a host is new, it leaves none idle at a crowded leaf,
/// so that all hosts get at it in turn. While it is starting and has met some crowded leafs, it does so
/// at all: a host that gets a connection is not told that others do not.
pub fn connection_policy(
    keeps_warm: bool,
    phase: HostPhase,
    crowding: Crowding,
) -> ConnectionPolicy {
    let is_crowded = match phase {
        HostPhase::Starting => crowding.is_crowded || crowding.crowded_leafs >= WIDESPREAD,
        _ => crowding.is_crowded,
    };
    let (closes_after_use, prewarms) = match phase {
        HostPhase::Starting | HostPhase::Settling => (is_crowded, keeps_warm && !is_crowded),
        HostPhase::Settled => (is_crowded && !keeps_warm, keeps_warm),
    };
    ConnectionPolicy { closes_after_use, prewarms }
}

/// Returns how much a host prefers a far leaf to others that hold the same data: the least number
/// first. Hosts differ in it, so that the leafs are kept by like numbers of hosts.
pub fn preference(own: &HostName, leaf: &LeafName) -> f64 {
    draw(own, leaf, PREFERENCE_SEED)
}

/// Draws a number from 0 to 1 that is the same on every call for a host, a leaf and a purpose.
fn draw(own: &HostName, leaf: &LeafName, purpose: u64) -> f64 {
    let seed = xxh3_64_with_seed(own.as_str().as_bytes(), purpose);
    xxh3_64_with_seed(leaf.as_str().as_bytes(), seed) as f64 / u64::MAX as f64
}
