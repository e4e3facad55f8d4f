//! Poison request detection: quarantines requests that crash the leafs that run them.
//!
//! Hosts exchange the crashes themselves, each identified by its request and the lost incarnation
//! of a leaf, so that hosts which merge their reports in any order and any number of times agree.
//! Numbers of crashes could not be merged: hosts that count different crashes, or the same one,
//! would hold equal numbers.
//!
//! All requests that ran on a lost leaf are suspected, of which at most one is to blame. An answer
//! clears a request of its earlier crashes and protects it for a short time, as a poison request
//! crashes each leaf that runs it. A suspected request runs as a probe, a single call, and a crash
//! by a probe is needed to block it: leafs that are lost together would otherwise block every
//! request that ran on several of them.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use crate::fingerprint::Fingerprint;
use crate::ids::LeafHash;
use crate::plan::Suspicion;
use crate::suspect_record::ANSWER_VALIDITY;
use crate::suspect_record::RecordedCrash;
use crate::suspect_record::SuspectRecord;
use crate::suspect_report::SuspectReport;

/// Largest number of records. When it is reached, the record that expires first is evicted.
const MAX_RECORDS: usize = 10_000;
/// Largest number of answered requests that are remembered in each period of [`ANSWER_VALIDITY`].
const MAX_ANSWERED: usize = 16_384;
/// Number of crashes that block a request by default.
const DEFAULT_BLOCKING_CRASHES: usize = 2;

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
    records: HashMap<Fingerprint, SuspectRecord>,
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
            Suspicion::Suspected => match record.probe_until(now) {
                Some(until) => Decision::Refuse(until - now),
                None => {
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
            record.release_probe();
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
        self.update(report.fingerprint, now, |record| record.merge(report, now))
    }

    /// Changes a record, which is created if need be. Returns the state of the request if `change`
    /// returns that anything is new.
    fn update(
        &mut self,
        fingerprint: Fingerprint,
        now: Instant,
        change: impl FnOnce(&mut SuspectRecord) -> bool,
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
        let crashes = record.crash_count();
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
        let crashes = |f: &Fingerprint| self.records.get(f).map_or(0, SuspectRecord::crash_count);
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
        let is_live = |record: &SuspectRecord| {
            record.expires_at(self.blocking_crashes).is_some_and(|at| at > now)
        };
        let mut live: Vec<_> = self.records.iter().filter(|(_, record)| is_live(record)).collect();
        live.sort_by_key(|(f, record)| (std::cmp::Reverse(record.changed_at()), **f));
        self.describe(live.into_iter().map(|(&fingerprint, record)| (fingerprint, record)), now)
    }

    fn describe<'a>(
        &self,
        records: impl Iterator<Item = (Fingerprint, &'a SuspectRecord)>,
        now: Instant,
    ) -> Vec<SuspectReport> {
        records.map(|(f, record)| record.report(f, self.blocking_crashes, now)).collect()
    }

    /// Returns whether a request is suspected or blocked.
    pub fn suspicion(&self, fingerprint: Fingerprint, now: Instant) -> Suspicion {
        let record = self.records.get(&fingerprint);
        record.map_or(Suspicion::Clear, |r| r.suspicion(self.blocking_crashes, now))
    }
}
