//! Poison request detection: quarantines requests that crash the leafs that run them.
//!
//! Hosts exchange the crashes themselves, each identified by its request and the lost incarnation
//! of a leaf, so that hosts which merge their reports in any order and any number of times agree.
//! Numbers of crashes could not be merged: hosts that count different crashes, or the same one,
//! would hold equal numbers.
//!
//! All requests that ran on a lost leaf are suspected, of which at most one is to blame. An answer
//! clears a request of its earlier crashes and protects it for a short time, as a poison request
//! crashes each leaf that runs it. A suspected request runs as a probe, a single call, and a crash by a probe is needed to block it:
//! leafs that are lost together would otherwise block every request that ran on several of them.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;
use xxhash_rust::xxh3::Xxh3;

use crate::ids::EntryName;
use crate::ids::LeafHash;
use crate::plan::Suspicion;

/// Time after a crash, or after the end of a block, for which a request stays suspected.
const SUSPECT_TIME: Duration = Duration::from_secs(60);
/// Time for which a request is refused when it is first blocked; doubled with each further probe
/// that crashes a leaf.
const FIRST_BLOCK_TIME: Duration = Duration::from_secs(120);
/// Longest time for which a blocked request is refused.
const MAX_BLOCK_TIME: Duration = Duration::from_secs(3_600);
/// Time after an answer in which a request is not suspected. It is short, as a request may begin to
/// crash leafs, for example those of a new release.
const ANSWER_VALIDITY: Duration = Duration::from_secs(3);
/// Time after the start of a probe until the next one may start if there is no answer; doubled with
/// each further probe.
const FIRST_PROBE_PAUSE: Duration = Duration::from_millis(300);
/// Longest time between two probes.
const MAX_PROBE_PAUSE: Duration = Duration::from_secs(10);
/// Largest number of records. When it is reached, the record that expires first is evicted.
const MAX_RECORDS: usize = 10_000;
/// Largest number of answered requests that are remembered in each period of [`ANSWER_VALIDITY`].
const MAX_ANSWERED: usize = 16_384;
/// Largest number of crashes kept of one request.
const MAX_CRASHES: usize = 16;
/// Number of crashes that block a request by default.
const DEFAULT_BLOCKING_CRASHES: usize = 2;

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

/// Loss of a leaf while a request ran on it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Crash {
    /// Identifies the request.
    pub fingerprint: Fingerprint,
    /// The lost incarnation of the leaf.
    pub leaf: LeafHash,
    /// Whether the lost call was a probe.
    pub was_probe: bool,
}

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
    fn known_crashes(&self) -> Vec<CrashReport> {
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

/// State of a request after a crash or a report was recorded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Change {
    /// Identifies the request.
    pub fingerprint: Fingerprint,
    /// Whether the request is suspected or blocked now.
    pub suspicion: Suspicion,
    /// Whether it was not before.
    pub is_transition: bool,
    /// Number of crashes since the request was last answered.
    pub crashes: usize,
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

#[derive(Clone, Copy, Debug)]
struct RecordedCrash {
    leaf: LeafHash,
    was_probe: bool,
    at: Instant,
}

#[derive(Clone, Debug, Default)]
struct Record {
    /// Crashes after the validity of the last answer, of different leafs.
    crashes: Vec<RecordedCrash>,
    answered_at: Option<Instant>,
    /// Number of probes since the last answer.
    probes: u32,
    /// Time until which no further probe may start; absent if none was started.
    probe_until: Option<Instant>,
}

impl Record {
    /// Adds a crash and returns whether it is new. When the record is full, only a probe's crash
    /// still replaces another, as it decides whether the request is blocked.
    fn add_crash(&mut self, crash: RecordedCrash) -> bool {
        if self.answered_at.is_some_and(|answered| crash.at <= answered + ANSWER_VALIDITY) {
            return false;
        }
        if let Some(known) = self.crashes.iter_mut().find(|known| known.leaf == crash.leaf) {
            let is_stronger = crash.was_probe && !known.was_probe;
            known.was_probe |= crash.was_probe;
            known.at = known.at.min(crash.at);
            return is_stronger;
        }
        if self.crashes.len() >= MAX_CRASHES {
            let replaced = self.crashes.iter().position(|known| !known.was_probe);
            let Some(replaced) = replaced.filter(|_| crash.was_probe) else { return false };
            self.crashes.remove(replaced);
        }
        self.crashes.push(crash);
        true
    }

    /// Drops all crashes up to the end of an answer's validity. Returns whether it was the last of
    /// them that was dropped.
    fn add_answer(&mut self, at: Instant) -> bool {
        self.answered_at = self.answered_at.max(Some(at));
        let count_before = self.crashes.len();
        self.crashes.retain(|crash| crash.at > at + ANSWER_VALIDITY);
        let is_cleared = self.crashes.is_empty();
        if is_cleared {
            self.probes = 0;
            self.probe_until = None;
        }
        is_cleared && count_before > 0
    }

    fn start_probe(&mut self, now: Instant) {
        let pause = FIRST_PROBE_PAUSE.saturating_mul(1 << self.probes.min(10));
        self.probes += 1;
        self.probe_until = Some(now + pause.min(MAX_PROBE_PAUSE));
    }

    /// Returns the time for which the crashes block the request after the latest of them.
    fn block_time(&self, blocking_crashes: usize) -> Duration {
        let probes = self.crashes.iter().filter(|crash| crash.was_probe).count() as u32;
        if probes == 0 || self.crashes.len() < blocking_crashes {
            return Duration::ZERO;
        }
        FIRST_BLOCK_TIME.saturating_mul(1 << (probes - 1)).min(MAX_BLOCK_TIME)
    }

    fn blocked_until(&self, blocking_crashes: usize) -> Option<Instant> {
        let latest = self.crashes.iter().map(|crash| crash.at).max()?;
        Some(latest + self.block_time(blocking_crashes))
    }

    fn suspicion(&self, blocking_crashes: usize, now: Instant) -> Suspicion {
        match self.blocked_until(blocking_crashes) {
            Some(until) if now < until => Suspicion::Blocked,
            Some(until) if now < until + SUSPECT_TIME => Suspicion::Suspected,
            _ => Suspicion::Clear,
        }
    }

    /// Returns when the record is of no more use.
    fn expires_at(&self, blocking_crashes: usize) -> Option<Instant> {
        let last = self.blocked_until(blocking_crashes).max(self.answered_at)?;
        Some(last + SUSPECT_TIME)
    }
}

/// Requests that were answered in the current and in the previous period of [`ANSWER_VALIDITY`].
#[derive(Debug, Default)]
struct RecentAnswers {
    current: HashMap<Fingerprint, Instant>,
    previous: HashMap<Fingerprint, Instant>,
    period_start: Option<Instant>,
}

impl RecentAnswers {
    fn add(&mut self, fingerprint: Fingerprint, now: Instant) {
        let is_over = |start| now.saturating_duration_since(start) >= ANSWER_VALIDITY;
        if self.period_start.is_none_or(is_over) {
            self.previous = std::mem::take(&mut self.current);
            self.period_start = Some(now);
        }
        if self.current.len() < MAX_ANSWERED {
            self.current.insert(fingerprint, now);
        }
    }

    fn last(&self, fingerprint: Fingerprint) -> Option<Instant> {
        self.current.get(&fingerprint).max(self.previous.get(&fingerprint)).copied()
    }
}

/// Suspected and blocked requests, by the crashes that this process detected and those that other
/// hosts reported.
#[derive(Debug)]
pub struct Quarantine {
    blocking_crashes: usize,
    records: HashMap<Fingerprint, Record>,
    recent_answers: RecentAnswers,
    /// Requests whose record has changed since [`Quarantine::take_news`].
    news: HashSet<Fingerprint>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self::new(DEFAULT_BLOCKING_CRASHES)
    }
}

impl Quarantine {
    /// Creates a quarantine that blocks a request when it has crashed this number of leafs, at
    /// least one of them by a probe.
    pub fn new(blocking_crashes: usize) -> Self {
        Self {
            blocking_crashes,
            records: HashMap::new(),
            recent_answers: RecentAnswers::default(),
            news: HashSet::new(),
        }
    }

    /// Decides how to handle a request. Starts a probe for a suspected one; a further request with
    /// the same fingerprint is refused for a while after that, or until the probe is answered.
    pub fn decide(&mut self, fingerprint: Fingerprint, now: Instant) -> Decision {
        let Some(record) = self.records.get_mut(&fingerprint) else { return Decision::Run };
        match record.suspicion(self.blocking_crashes, now) {
            Suspicion::Clear => Decision::Run,
            Suspicion::Blocked => {
                let until = record.blocked_until(self.blocking_crashes).unwrap_or(now);
                Decision::Refuse(until - now)
            }
            Suspicion::Suspected => match record.probe_until {
                Some(until) if now < until => Decision::Refuse(until - now),
                _ => {
                    record.start_probe(now);
                    self.add_news(fingerprint);
                    Decision::Probe
                }
            },
        }
    }

    /// Records that the probe started last has not run, so that another may start at once.
    pub fn release_probe(&mut self, fingerprint: Fingerprint) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.probes = record.probes.saturating_sub(1);
            record.probe_until = None;
        }
    }

    /// Records a crash that this process detected. Returns the state of the request, or nothing if
    /// the crash was known.
    pub fn record_crash(&mut self, crash: Crash, now: Instant) -> Option<Change> {
        let Crash { fingerprint, leaf, was_probe } = crash;
        let recorded = RecordedCrash { leaf, was_probe, at: now };
        self.update(fingerprint, now, |record| record.add_crash(recorded))
    }

    /// Records that a leaf ran the request and answered. Returns whether this clears the request of
    /// a suspicion.
    pub fn record_answer(&mut self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.recent_answers.add(fingerprint, now);
        let Some(record) = self.records.get_mut(&fingerprint) else { return false };
        let is_cleared = record.add_answer(now);
        if is_cleared {
            self.add_news(fingerprint);
        }
        is_cleared
    }

    /// Merges another host's report. Returns the state of the request if the report contained
    /// anything new.
    pub fn merge(&mut self, report: &SuspectReport, now: Instant) -> Option<Change> {
        let answered_at = report.answered_age.and_then(|age| now.checked_sub(age));
        let probe_until = now + report.probe_remaining.min(MAX_BLOCK_TIME);
        self.update(report.fingerprint, now, |record| {
            let mut is_new = answered_at.is_some_and(|at| record.add_answer(at));
            record.probes = record.probes.max(report.probes);
            for CrashReport { leaf, was_probe, age } in report.known_crashes() {
                let Some(at) = now.checked_sub(age) else { continue };
                is_new |= record.add_crash(RecordedCrash { leaf, was_probe, at });
            }
            if !report.probe_remaining.is_zero()
                && !record.crashes.is_empty()
                && record.probe_until.is_none_or(|at| at <= now)
            {
                record.probe_until = Some(probe_until);
                is_new = true;
            }
            is_new
        })
    }

    /// Changes a record, which is created if need be. Returns the state of the request if `change`
    /// returns that anything is new.
    fn update(
        &mut self,
        fingerprint: Fingerprint,
        now: Instant,
        change: impl FnOnce(&mut Record) -> bool,
    ) -> Option<Change> {
        let blocking_crashes = self.blocking_crashes;
        if !self.records.contains_key(&fingerprint) {
            self.make_room(now);
        }
        let answered_at = self.recent_answers.last(fingerprint);
        let record = self.records.entry(fingerprint).or_default();
        let before = record.suspicion(blocking_crashes, now);
        let mut is_new = change(record);
        // Hosts that have not seen the answer still suspect the request.
        is_new |= answered_at.is_some_and(|at| record.add_answer(at));
        let suspicion = record.suspicion(blocking_crashes, now);
        let crashes = record.crashes.len();
        if record.expires_at(blocking_crashes).is_none_or(|at| at <= now) {
            self.records.remove(&fingerprint);
        }
        if !is_new {
            return None;
        }
        self.add_news(fingerprint);
        Some(Change { fingerprint, suspicion, is_transition: suspicion != before, crashes })
    }

    /// Notes a changed record. The number is bounded, as not every process takes the news.
    fn add_news(&mut self, fingerprint: Fingerprint) {
        if self.news.len() < MAX_RECORDS {
            self.news.insert(fingerprint);
        }
    }

    fn make_room(&mut self, now: Instant) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let blocking_crashes = self.blocking_crashes;
        self.records.retain(|_, r| r.expires_at(blocking_crashes).is_some_and(|at| at > now));
        if self.records.len() >= MAX_RECORDS {
            let expiries = self.records.iter().map(|(&f, r)| (r.expires_at(blocking_crashes), f));
            expiries.min().map(|(_, first_to_expire)| self.records.remove(&first_to_expire));
        }
    }

    /// Returns the reports of up to `max` requests whose record has changed and that this method has
    /// not returned since. Those with the most crashes are first.
    pub fn take_news(&mut self, max: usize, now: Instant) -> Vec<SuspectReport> {
        self.news.retain(|fingerprint| self.records.contains_key(fingerprint));
        let crashes = |f: &Fingerprint| self.records.get(f).map_or(0, |r| r.crashes.len());
        let mut news: Vec<_> = self.news.iter().copied().collect();
        news.sort_unstable_by_key(|f| (std::cmp::Reverse(crashes(f)), *f));
        news.truncate(max);
        news.iter().for_each(|fingerprint| _ = self.news.remove(fingerprint));
        let record = |f: &Fingerprint| Some((*f, self.records.get(f)?));
        self.describe(news.iter().filter_map(record), now)
    }

    /// Returns whether there are changes that [`Quarantine::take_news`] has not returned.
    pub fn has_news(&self) -> bool {
        !self.news.is_empty()
    }

    /// Returns a report of each record that has not expired, to be sent to other hosts. The last
    /// changed records are first.
    pub fn reports(&self, now: Instant) -> Vec<SuspectReport> {
        let is_live =
            |record: &Record| record.expires_at(self.blocking_crashes).is_some_and(|at| at > now);
        let last_change = |record: &Record| {
            record.crashes.iter().map(|crash| crash.at).max().max(record.answered_at)
        };
        let mut live: Vec<_> = self.records.iter().filter(|(_, record)| is_live(record)).collect();
        live.sort_by_key(|(f, record)| (std::cmp::Reverse(last_change(record)), **f));
        self.describe(live.into_iter().map(|(&fingerprint, record)| (fingerprint, record)), now)
    }

    fn describe<'a>(
        &self,
        records: impl Iterator<Item = (Fingerprint, &'a Record)>,
        now: Instant,
    ) -> Vec<SuspectReport> {
        records.map(|(f, record)| report(f, record, self.blocking_crashes, now)).collect()
    }

    /// Returns whether a request is suspected or blocked.
    pub fn suspicion(&self, fingerprint: Fingerprint, now: Instant) -> Suspicion {
        let record = self.records.get(&fingerprint);
        record.map_or(Suspicion::Clear, |r| r.suspicion(self.blocking_crashes, now))
    }
}

fn report(
    fingerprint: Fingerprint,
    record: &Record,
    blocking_crashes: usize,
    now: Instant,
) -> SuspectReport {
    let age = |at: Instant| now.saturating_duration_since(at);
    let crashes = record.crashes.iter().map(|crash| CrashReport {
        leaf: crash.leaf,
        was_probe: crash.was_probe,
        age: age(crash.at),
    });
    let condemned = record.suspicion(blocking_crashes, now) == Suspicion::Blocked;
    let blocked_until = record.blocked_until(blocking_crashes);
    let until = blocked_until.map(|at| if condemned { at } else { at + SUSPECT_TIME });
    let remaining = until.map_or(Duration::ZERO, |at| at.saturating_duration_since(now));
    SuspectReport {
        fingerprint,
        condemned,
        remaining_ms: remaining.as_millis() as u64,
        crashes: crashes.collect(),
        answered_age: record.answered_at.map(age),
        probes: record.probes,
        probe_remaining: record
            .probe_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now)),
    }
}
