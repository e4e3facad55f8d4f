//! Rate limits that leafs name in their replies.

use std::time::Duration;

use serde::Serialize;
use thiserror::Error;

/// Error for a number that is no rate of requests.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
#[error("{0} is no rate of requests; allowed are finite numbers from 0")]
pub struct NotARate(pub f64);

/// Result of checking a rate.
pub type Result<T> = std::result::Result<T, NotARate>;

/// A number of requests a second, finite and at least 0.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Returns the requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = NotARate;

    fn try_from(per_second: f64) -> Result<Self> {
        let is_rate = per_second.is_finite() && per_second >= 0.0;
        if is_rate { Ok(Self(per_second)) } else { Err(NotARate(per_second)) }
    }
}

/// What a reply says about the requests that its leaf takes from all hosts together.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum NamedLimit {
    /// The leaf names no limit.
    #[default]
    Absent,
    /// The leaf takes this many requests a second.
    PerSecond(RequestRate),
    /// The leaf names a limit that cannot be read; the text is what it names.
    Unreadable(String),
}

impl From<Option<f64>> for NamedLimit {
    fn from(per_second: Option<f64>) -> Self {
        per_second.map_or(Self::Absent, |per_second| {
            let rate = RequestRate::try_from(per_second);
            rate.map_or_else(|_| Self::Unreadable(per_second.to_string()), Self::PerSecond)
        })
    }
}

impl NamedLimit {
    /// Returns the limit, if the leaf names one that can be read.
    pub fn rate(&self) -> Option<RequestRate> {
        match self {
            Self::PerSecond(rate) => Some(*rate),
            Self::Absent | Self::Unreadable(_) => None,
        }
    }
}

/// What a reply of a leaf said about its limit, as one host tells another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitObservation {
    /// The limit; absent if the leaf named none.
    pub limit: Option<RequestRate>,
    /// Time since the reply.
    pub age: Duration,
}

/// Smallest limit to which hosts keep. A leaf that takes nothing gets this many requests a second,
/// as only a reply can tell that its limit has ended.
const MIN_LIMIT_PER_SECOND: f64 = 0.25;
/// Smallest part of a limit that a host gets. If a limit is too small for all hosts, some of them
/// get none.
const MIN_PART_PER_SECOND: f64 = 1.0;

/// Returns the limit to which all hosts together keep, in requests a second.
pub fn kept_limit(limit: RequestRate) -> f64 {
    limit.per_second().max(MIN_LIMIT_PER_SECOND)
}

/// Returns the largest number of hosts that share a limit.
pub fn max_sharing_hosts(limit: RequestRate) -> usize {
    ((kept_limit(limit) / MIN_PART_PER_SECOND) as usize).max(1)
}

/// Rank of a host among all hosts that may call a leaf, the same on all hosts with the same
/// membership table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HostRank {
    /// Number of hosts that rank before the host.
    pub place: usize,
    /// Number of hosts, this one included.
    pub hosts: usize,
}

impl Default for HostRank {
    /// Returns the rank of a host that gets no part of any limit.
    fn default() -> Self {
        Self { place: usize::MAX, hosts: usize::MAX }
    }
}

impl HostRank {
    /// Returns this host's part of a limit that is split evenly, in requests a second.
    pub fn equal_part(self, limit: RequestRate) -> f64 {
        let sharing_hosts = self.hosts.clamp(1, max_sharing_hosts(limit));
        if self.place < sharing_hosts { kept_limit(limit) / sharing_hosts as f64 } else { 0.0 }
    }
}
