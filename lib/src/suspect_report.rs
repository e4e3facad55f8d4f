//! Messages on requests that are suspected of crashing leafs.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::fingerprint::Fingerprint;
use crate::ids::LeafHash;

/// A crash, as sent to other hosts.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// The lost incarnation of the leaf.
    pub leaf: LeafHash,
    /// Whether the lost call was a probe.
    pub was_probe: bool,
    /// Time since the crash was detected, in milliseconds on the wire.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
}

/// A host's record of one request, as sent to other hosts. Holds ages and remaining times, not
/// points in time, since the hosts' clocks differ.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectReport {
    /// Identifies the request.
    pub fingerprint: Fingerprint,
    /// Whether the request is blocked, not only suspected. Only hosts of versions that do not know
    /// `crashes` read it.
    pub condemned: bool,
    /// Time for which the request stays blocked or suspected, in milliseconds. Only hosts of
    /// versions that do not know `crashes` read it.
    pub remaining_ms: u64,
    /// Crashes since the request was last answered.
    #[serde(default)]
    pub crashes: Vec<CrashReport>,
    /// Time since the request was last answered while it was suspected, in milliseconds on the
    /// wire; absent if it was not.
    #[serde(default)]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub answered_age: Option<Duration>,
    /// Number of probes since then.
    #[serde(default)]
    pub probes: u32,
    /// Time for which no further probe may start, in milliseconds on the wire.
    #[serde(default)]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub probe_remaining: Duration,
}

impl SuspectReport {
    /// Returns the crashes. A host of a version that does not report them knows that the request
    /// crashed a leaf, or also one by a probe, but not which; two hashes stand for these leafs.
    pub fn known_crashes(&self) -> Vec<CrashReport> {
        let is_complete = !self.crashes.is_empty() || self.answered_age.is_some();
        if is_complete || self.remaining_ms == 0 {
            return self.crashes.clone();
        }
        let unknown = |hash, was_probe| {
            let (leaf, age) = (LeafHash(hash), Duration::ZERO);
            CrashReport { leaf, was_probe, age }
        };
        let probe = self.condemned.then(|| unknown(1, true));
        [unknown(0, false)].into_iter().chain(probe).collect()
    }
}
