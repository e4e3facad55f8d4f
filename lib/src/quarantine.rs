//! Requests that are suspected of crashing the leafs that run them.
//!
//! A request that broke a leaf's connection is suspected: its next run starts with one call on
//! trial. A request whose trial broke a connection too is condemned and refused for a while.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use crate::ids::EntryName;
use crate::plan::Suspicion;

/// How long a suspicion lasts without a further strike.
const SUSPICION_TIME: Duration = Duration::from_secs(60);
/// How long a condemned request is refused at first; doubled each time.
const CONDEMNED_TIME: Duration = Duration::from_secs(120);
/// Longest time that a condemned request is refused.
const CONDEMNED_MAX: Duration = Duration::from_secs(3_600);
/// Suspicions kept at once; the oldest go first.
const MAX_FINGERPRINTS: usize = 10_000;

/// Tells requests apart by entry and parameters.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(entry: &EntryName, params: &str) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(entry.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(params.as_bytes());
        Self(hasher.digest())
    }

    /// Computes the fingerprint of a request that consists of these fields.
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
    until: Instant,
    times_condemned: u32,
    trial_until: Option<Instant>,
}

/// News about one request, as hosts tell each other. Times are remaining, not absolute.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Whether it is condemned, not only suspected.
    pub condemned: bool,
    /// Time until it is forgotten, in milliseconds.
    pub remaining_ms: u64,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Run it as usual.
    Run,
    /// Run it with one call on trial first.
    Probe,
    /// Refuse it; it may be sent again after this time.
    Refuse(Duration),
}

/// The suspected requests known to this process.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: HashMap<Fingerprint, Record>,
}

impl Quarantine {
    /// Decides what to do with a request. Starts a trial for a suspected one; a second request
    /// with the same fingerprint is refused while the trial runs, at the longest until `deadline`.
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
        match (record.suspicion, record.trial_until) {
            (Suspicion::Clear, _) => Decision::Run,
            (Suspicion::Blocked, _) => Decision::Refuse(record.until - now),
            (Suspicion::Suspected, Some(until)) if now < until => Decision::Refuse(until - now),
            (Suspicion::Suspected, _) => {
                record.trial_until = Some(deadline);
                Decision::Probe
            }
        }
    }

    /// Records a broken connection while the request was in flight. Returns whether this is news.
    pub fn suspect(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        let known = self.records.get(&fingerprint).is_some_and(|r| r.until > now);
        if !known {
            self.insert(fingerprint, Suspicion::Suspected, now + SUSPICION_TIME, now);
        }
        !known
    }

    /// Records that the request's trial broke a connection too. Returns whether this is news.
    pub fn block(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        let record = self.records.get(&fingerprint).copied();
        if record.is_some_and(|r| r.suspicion == Suspicion::Blocked && r.until > now) {
            return false;
        }
        let times = record.map_or(0, |r| r.times_condemned);
        let time = CONDEMNED_TIME.saturating_mul(1 << times.min(10)).min(CONDEMNED_MAX);
        self.insert(fingerprint, Suspicion::Blocked, now + time, now);
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.times_condemned = times + 1;
        }
        true
    }

    /// Records that the request's trial was answered.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        if self.records.get(&fingerprint).is_some_and(|r| r.suspicion == Suspicion::Suspected) {
            self.records.remove(&fingerprint);
        }
    }

    /// Takes in another host's news; never weakens what is known here.
    pub fn merge(&mut self, news: SuspectReport, now: Instant) {
        let remaining = Duration::from_millis(news.remaining_ms).min(CONDEMNED_MAX);
        let suspicion = if news.condemned { Suspicion::Blocked } else { Suspicion::Suspected };
        let known = self.records.get(&news.fingerprint).filter(|r| r.until > now);
        let worse = known
            .is_none_or(|r| suspicion == Suspicion::Blocked && r.suspicion != Suspicion::Blocked);
        if worse && !remaining.is_zero() {
            self.insert(news.fingerprint, suspicion, now + remaining, now);
        }
    }

    /// Returns the news that other hosts should hear.
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
        if self.records.len() >= MAX_FINGERPRINTS {
            self.records.retain(|_, r| r.until > now);
        }
        if self.records.len() >= MAX_FINGERPRINTS {
            let oldest = self.records.iter().min_by_key(|(_, r)| r.until).map(|(&f, _)| f);
            oldest.map(|f| self.records.remove(&f));
        }
        let times_condemned = self.records.get(&fingerprint).map_or(0, |r| r.times_condemned);
        let record = Record { suspicion, until, times_condemned, trial_until: None };
        self.records.insert(fingerprint, record);
    }
}
