//! This host's share of the connections that a leaf accepts from all hosts.
//!
//! Hosts near a leaf share one half, as they call it for most requests; all others share the other
//! half for hedges and retries. If all hosts are near, or all are far, they share all connections.
//! Every host may open at least one connection.
//!
//! Between calls, all hosts together keep open only a part of the connections that a leaf accepts.
//! After hosts have lost power, the leaf counts their earlier connections until it detects the
//! loss; the other part lets it accept new ones from some of these hosts when they are back. Far
//! hosts do not prewarm connections for some time after a start.
//!
//! Where not every host can keep a connection open to each leaf, each host does so for some of a
//! shard's far leafs only, so that a second call to the shard finds an open connection. The leafs
//! are selected by hashing, and hosts that keep no connection to a leaf close theirs soon after
//! use. While a leaf is crowded, that is, at its connection limit, those hosts close their
//! connections after each use: when a shard has one usable leaf left, all hosts call it, and only
//! those with a call in flight need a connection.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::HostName;
use crate::ids::LeafName;

/// Part of a leaf's connections that the hosts near it share. The far hosts share a part of the
/// same size.
const NEAR_HOSTS_PART: f64 = 0.5;
/// Part of a leaf's connections that all hosts together keep open between calls.
const WARM_PART: f64 = 0.55;
/// Idle timeout of connections to a leaf that this host does not keep warm.
const SURPLUS_IDLE_TIME: Duration = Duration::from_millis(1_500);
/// Number of crowded leafs from which on a host that is starting treats all leafs as crowded; one
/// or two may be crowded by chance.
const WIDESPREAD_CROWDED_LEAFS: usize = 3;
/// Idle timeout of connections to a leaf that this host keeps warm.
const WARM_IDLE_TIME: Duration = Duration::from_secs(20);

/// Hash seed of the draws that decide whether a host keeps a connection to a leaf.
const KEEP_WARM_SEED: u64 = 0;
/// Hash seed of the draws that order far leafs. It differs from [`KEEP_WARM_SEED`], so that the
/// draws are independent of each other.
const PREFERENCE_SEED: u64 = 1;

/// Numbers of hosts near to and far from one leaf.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HostCounts {
    /// Hosts in the leaf's region.
    pub near: usize,
    /// Hosts outside the leaf's region.
    pub far: usize,
    /// Whether this host is in the leaf's region.
    pub is_near: bool,
    /// Whether this host started so recently that it prewarms no connections to far leafs.
    pub is_new: bool,
}

/// Rank of a far leaf among the far replicas of its data, in this host's order of preference.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FarRank {
    /// Number of far replicas that this host prefers to the leaf.
    pub place: usize,
    /// Number of far replicas, the leaf included.
    pub count: usize,
}

/// One host's share of the connections to a leaf.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionShare {
    /// Number of connections that the host may have open, at least 1.
    pub connections: u32,
    /// Time after which an idle connection is closed, unless the leaf is crowded and its
    /// connections are closed after use.
    pub idle_time: Duration,
    /// Whether the host keeps one connection open between calls and prewarms it.
    pub keeps_warm: bool,
}

/// Computes the share of the host `own` in the `limit` connections that a leaf accepts. The rank
/// applies to far leafs only.
pub fn share(
    limit: u32,
    hosts: HostCounts,
    far_rank: FarRank,
    own: &HostName,
    leaf: &LeafName,
) -> ConnectionShare {
    let (part, count) = match hosts {
        HostCounts { far: 0, near, .. } => (1.0, near),
        HostCounts { near: 0, far, .. } => (1.0, far),
        HostCounts { is_near: true, near, .. } => (NEAR_HOSTS_PART, near),
        HostCounts { far, .. } => (NEAR_HOSTS_PART, far),
    };
    let exact = f64::from(limit) * part / count.max(1) as f64;
    let may_prewarm = hosts.is_near || !hosts.is_new;
    let warm_fraction = warm_fraction_of_hosts(limit, hosts);
    // The product is the mean number of far replicas to which a host can keep a connection. Less
    // the number of replicas that this host prefers, it is the probability with which this host
    // keeps one to this leaf; 1 or more means always, 0 or less means never.
    let warm_far = warm_fraction * far_rank.count as f64 - far_rank.place as f64;
    let keep_probability =
        if hosts.is_near || warm_fraction >= 1.0 { warm_fraction } else { warm_far };
    let keeps_warm = may_prewarm && draw(own, leaf, KEEP_WARM_SEED) < keep_probability;
    let idle_time = if keeps_warm { WARM_IDLE_TIME } else { SURPLUS_IDLE_TIME };
    ConnectionShare { connections: (exact as u32).max(1), idle_time, keeps_warm }
}

/// Returns the fraction of the near hosts, or of the far hosts if this host is one, that can keep a
/// connection to the leaf: 1 or more if all of them can, 0 or less if none can.
fn warm_fraction_of_hosts(limit: u32, hosts: HostCounts) -> f64 {
    let warm_limit = f64::from(limit) * WARM_PART;
    let near = hosts.near as f64;
    if hosts.is_near {
        warm_limit / near.max(1.0)
    } else {
        (warm_limit - near) / hosts.far.max(1) as f64
    }
}

/// How this host treats connections to one leaf at present.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionPolicy {
    /// Whether it closes each connection after its call, unless calls follow each other closely.
    pub closes_after_use: bool,
    /// Whether it opens a connection in advance of calls.
    pub prewarms: bool,
}

/// Phase of this host after its start, with respect to connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HostPhase {
    /// The host cannot distinguish a large fleet from a small one yet; all hosts may have started
    /// at the same time. It prewarms no connections to far leafs.
    Starting,
    /// The host has discovered some of the fleet, but still prewarms no connections to far leafs.
    Settling,
    /// The start is over, and the host treats connections as usual.
    Settled,
}

/// Observations of crowded leafs, which have reached their connection limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Crowding {
    /// Whether this leaf is crowded.
    pub is_crowded: bool,
    /// Number of leafs that were crowded at some time since this host started; 0 once it is
    /// settled.
    pub crowded_leafs: usize,
}

/// Decides how to treat connections to a leaf.
///
/// After a power failure, a leaf still counts the connections of the hosts' earlier incarnations
/// for some seconds, and accepts connections from a part of the hosts only. Until a host has
/// settled, it leaves no connection idle at a crowded leaf, so that all hosts can connect in turn.
/// While it is starting and has found several crowded leafs, it leaves none idle at any leaf: a
/// host that gets a connection cannot detect that others do not.
pub fn connection_policy(
    keeps_warm: bool,
    phase: HostPhase,
    crowding: Crowding,
) -> ConnectionPolicy {
    let is_crowded = match phase {
        HostPhase::Starting => {
            crowding.is_crowded || crowding.crowded_leafs >= WIDESPREAD_CROWDED_LEAFS
        }
        _ => crowding.is_crowded,
    };
    let (closes_after_use, prewarms) = match phase {
        HostPhase::Starting | HostPhase::Settling => (is_crowded, keeps_warm && !is_crowded),
        HostPhase::Settled => (is_crowded && !keeps_warm, keeps_warm),
    };
    ConnectionPolicy { closes_after_use, prewarms }
}

/// Returns the sort key, from 0 to 1, by which a host orders the far replicas of the same data; it
/// prefers the lowest. The order differs between hosts, so that similar numbers of hosts keep
/// connections to each replica.
pub fn preference(own: &HostName, leaf: &LeafName) -> f64 {
    draw(own, leaf, PREFERENCE_SEED)
}

/// Returns a pseudo-random number from 0 to 1 that depends only on the host, the leaf and the
/// purpose.
fn draw(own: &HostName, leaf: &LeafName, purpose: u64) -> f64 {
    let seed = xxh3_64_with_seed(own.as_str().as_bytes(), purpose);
    xxh3_64_with_seed(leaf.as_str().as_bytes(), seed) as f64 / u64::MAX as f64
}
