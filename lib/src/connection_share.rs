//! This host's share of the connections that a leaf accepts from all hosts.
//!
//! Hosts near a leaf share one half, as they call it for most requests; all others share the other
//! half for second calls. Every host may open one. Where there are more hosts than connections,
//! those far away close theirs soon after use, so that the leaf's limit is rarely met; beyond it
//! the leaf resets a connection before a request is written, which costs one more try.

use std::time::Duration;

/// Part of a leaf's connections that the hosts near it share.
const NEAR_PART: f64 = 0.5;
/// Idle time after which connections are closed where hosts outnumber them.
const SCARCE_IDLE_TIME: Duration = Duration::from_millis(1_500);
/// Idle time after which connections are closed otherwise.
const IDLE_TIME: Duration = Duration::from_secs(20);

/// How many hosts there are, as seen from one leaf.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HostCounts {
    /// Hosts in the leaf's region.
    pub near: usize,
    /// All others.
    pub far: usize,
    /// Whether this host is in the leaf's region.
    pub is_near: bool,
}

/// What one host may do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionShare {
    /// Connections that it may open.
    pub connections: u32,
    /// How long it may keep one that is idle.
    pub idle_time: Duration,
}

/// Works out the share of this host.
pub fn share(limit: u32, hosts: HostCounts) -> ConnectionShare {
    let (part, count) = match hosts {
        HostCounts { far: 0, near, .. } => (1.0, near),
        HostCounts { near: 0, far, .. } => (1.0, far),
        HostCounts { is_near: true, near, .. } => (NEAR_PART, near),
        HostCounts { far, .. } => (NEAR_PART, far),
    };
    let exact = f64::from(limit) * part / count.max(1) as f64;
    let idle_time = if exact < 1.0 { SCARCE_IDLE_TIME } else { IDLE_TIME };
    ConnectionShare { connections: (exact as u32).max(1), idle_time }
}
