//! Poison request detection: quarantines requests that seem to crash the leafs that run them.
//!
//! A request is suspected once a leaf's connection broke while it was in flight: its next run
//! starts with a probe, a single call. If the probe breaks a connection too, the request is
//! blocked: it is refused for some time.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use crate::ids::EntryName;
use crate::plan::Suspicion;

/// Time after which a request is no longer suspected if no further connection breaks.
const SUSPECT_TIME: Duration = Duration::from_secs(60);
/// Time for which a request is refused when it is first blocked; doubled each further time.
const FIRST_BLOCK_TIME: Duration = Duration::from_secs(120);
/// Longest time for which a blocked request is refused.
const MAX_BLOCK_TIME: Duration = Duration::from_secs(3_600);
/// Largest number of records. When it is reached, the record that expires first is evicted.
const MAX_RECORDS: usize = 10_000;

/// Hash that identifies a request by its entry and parameters.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl Fingerprint {
    /// Computes the fingerprint of a request for a catalogue entry.
    pub fn of(entry: &EntryName, params: &str) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(entry.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(params.as_bytes());
        Self(hasher.digest())
    }

    /// Computes the fingerprint of a request from its fields. Their order and the bounds between
    /// them change the fingerprint.
    pub fn of_fields(fields: &[&[u8]]) -> Self {
        let mut hasher = Xxh3::new();
        for field in fields {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        Self(hasher.digest())
    }
}

#[derive(Clone, Copy, Debug)]
struct Record {
    suspicion: Suspicion,
    /// Time at which the record expires.
    until: Instant,
    /// Number of times that this process blocked the request since the record was created.
    times_blocked: u32,
    /// Deadline of the probe that was started last; absent if none was.
    probe_until: Option<Instant>,
}

/// A host's report of one suspected or blocked request, as sent to other hosts. Holds remaining
/// times, not absolute ones, since the hosts' clocks differ.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectReport {
    /// Identifies the request.
    pub fingerprint: Fingerprint,
    /// Whether the request is blocked, not only suspected.
    pub condemned: bool,
    /// Time until the record expires, in milliseconds.
    pub remaining_ms: u64,
}

/// Decision on how to handle a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Run the request as usual.
    Run,
    /// Run a single call as a probe before all others.
    Probe,
    /// Refuse the request; the caller may resend it after this time.
    Refuse(Duration),
}

/// Suspected and blocked requests of this process, its own records and those reported by other
/// hosts.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: HashMap<Fingerprint, Record>,
}

impl Quarantine {
    /// Decides how to handle a request. Starts a probe for a suspected one; a further request with
    /// the same fingerprint is refused while the probe runs, until `deadline` at the latest.
    pub fn decide(
        &mut self,
        fingerprint: Fingerprint,
        deadline: Instant,
        now: Instant,
    ) -> Decision {
        let Some(record) = self.records.get_mut(&fingerprint) else { return Decision::Run };
        if record.until <= now {
            self.records.remove(&fingerprint);
            return Decision::Run;
        }
        match (record.suspicion, record.probe_until) {
            (Suspicion::Clear, _) => Decision::Run,
            (Suspicion::Blocked, _) => Decision::Refuse(record.until - now),
            (Suspicion::Suspected, Some(until)) if now < until => Decision::Refuse(until - now),
            (Suspicion::Suspected, _) => {
                record.probe_until = Some(deadline);
                Decision::Probe
            }
        }
    }

    /// Records that a connection broke while the request was in flight. Returns whether this makes
    /// the request suspected; `false` if it was suspected or blocked already.
    pub fn suspect(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        let is_recorded = self.records.get(&fingerprint).is_some_and(|r| r.until > now);
        if !is_recorded {
            self.insert(fingerprint, Suspicion::Suspected, now + SUSPECT_TIME, now);
        }
        !is_recorded
    }

    /// Records that the request's probe broke a connection too. Returns whether this blocks the
    /// request; `false` if it was blocked already.
    pub fn block(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        let record = self.records.get(&fingerprint).copied();
        if record.is_some_and(|r| r.suspicion == Suspicion::Blocked && r.until > now) {
            return false;
        }
        let times = record.map_or(0, |r| r.times_blocked);
        let time = FIRST_BLOCK_TIME.saturating_mul(1 << times.min(10)).min(MAX_BLOCK_TIME);
        self.insert(fingerprint, Suspicion::Blocked, now + time, now);
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.times_blocked = times + 1;
        }
        true
    }

    /// Records that the request's probe was answered, which clears a suspected request.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        if self.records.get(&fingerprint).is_some_and(|r| r.suspicion == Suspicion::Suspected) {
            self.records.remove(&fingerprint);
        }
    }

    /// Merges another host's report, which may make a request suspected, or blocked if it was
    /// suspected before. It never clears or unblocks a request, and renews no record.
    pub fn merge(&mut self, report: SuspectReport, now: Instant) {
        let remaining = Duration::from_millis(report.remaining_ms).min(MAX_BLOCK_TIME);
        let suspicion = if report.condemned { Suspicion::Blocked } else { Suspicion::Suspected };
        let recorded = self.records.get(&report.fingerprint).filter(|r| r.until > now);
        let is_stronger = recorded
            .is_none_or(|r| suspicion == Suspicion::Blocked && r.suspicion != Suspicion::Blocked);
        if is_stronger && !remaining.is_zero() {
            self.insert(report.fingerprint, suspicion, now + remaining, now);
        }
    }

    /// Returns a report of each live record, to be sent to other hosts.
    pub fn reports(&self, now: Instant) -> Vec<SuspectReport> {
        let live = self.records.iter().filter(|(_, r)| r.until > now);
        live.map(|(&fingerprint, r)| SuspectReport {
            fingerprint,
            condemned: r.suspicion == Suspicion::Blocked,
            remaining_ms: (r.until - now).as_millis() as u64,
        })
        .collect()
    }

    fn insert(
        &mut self,
        fingerprint: Fingerprint,
        suspicion: Suspicion,
        until: Instant,
        now: Instant,
    ) {
        if self.records.len() >= MAX_RECORDS {
            self.records.retain(|_, r| r.until > now);
        }
        if self.records.len() >= MAX_RECORDS {
            let first_to_expire = self.records.iter().min_by_key(|(_, r)| r.until).map(|(&f, _)| f);
            first_to_expire.map(|f| self.records.remove(&f));
        }
        let times_blocked = self.records.get(&fingerprint).map_or(0, |r| r.times_blocked);
        let record = Record { suspicion, until, times_blocked, probe_until: None };
        self.records.insert(fingerprint, record);
    }
}
