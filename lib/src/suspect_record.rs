//! What is known of one request that is suspected of crashing leafs: the crashes, the last answer and
//! the probes. Decides whether the request is blocked.

use std::time::Duration;
use std::time::Instant;

use crate::fingerprint::Fingerprint;
use crate::ids::LeafHash;
use crate::plan::Suspicion;
use crate::suspect_report::CrashReport;
use crate::suspect_report::SuspectReport;

/// Time after a crash, or after the end of a block, for which a request stays suspected.
const SUSPECT_TIME: Duration = Duration::from_secs(60);
/// Time for which a request is refused when it is first blocked; doubled with each further probe
/// that crashes a leaf.
const FIRST_BLOCK_TIME: Duration = Duration::from_secs(120);
/// Longest time for which a blocked request is refused.
const MAX_BLOCK_TIME: Duration = Duration::from_secs(3_600);
/// Time after an answer in which a request is not suspected. It is short, as a request may begin to
/// crash leafs, for example those of a new release.
pub(crate) const ANSWER_VALIDITY: Duration = Duration::from_secs(3);
/// Time after the start of a probe until the next one may start if there is no answer; doubled with
/// each further probe.
const FIRST_PROBE_PAUSE: Duration = Duration::from_millis(300);
/// Longest time between two probes.
const MAX_PROBE_PAUSE: Duration = Duration::from_secs(10);
/// Largest number of crashes kept of one request.
const MAX_CRASHES: usize = 16;

/// Crash in a record.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecordedCrash {
    pub(crate) leaf: LeafHash,
    pub(crate) was_probe: bool,
    /// When the crash was detected.
    pub(crate) at: Instant,
}

/// What is known of one suspected request.
#[derive(Clone, Debug, Default)]
pub(crate) struct SuspectRecord {
    /// Crashes after the validity of the last answer, of different leafs.
    crashes: Vec<RecordedCrash>,
    answered_at: Option<Instant>,
    /// Number of probes since the last answer.
    probes: u32,
    /// Time until which no further probe may start; absent if none was started.
    probe_until: Option<Instant>,
}

impl SuspectRecord {
    /// Adds a crash and returns whether it is new. When the record is full, only a probe's crash
    /// still replaces another, as it decides whether the request is blocked.
    pub(crate) fn add_crash(&mut self, crash: RecordedCrash) -> bool {
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
    pub(crate) fn add_answer(&mut self, at: Instant) -> bool {
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

    pub(crate) fn start_probe(&mut self, now: Instant) {
        let pause = FIRST_PROBE_PAUSE.saturating_mul(1 << self.probes.min(10));
        self.probes = self.probes.saturating_add(1);
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

    pub(crate) fn blocked_until(&self, blocking_crashes: usize) -> Option<Instant> {
        let latest = self.crashes.iter().map(|crash| crash.at).max()?;
        Some(latest + self.block_time(blocking_crashes))
    }

    pub(crate) fn suspicion(&self, blocking_crashes: usize, now: Instant) -> Suspicion {
        match self.blocked_until(blocking_crashes) {
            Some(until) if now < until => Suspicion::Blocked,
            Some(until) if now < until + SUSPECT_TIME => Suspicion::Suspected,
            _ => Suspicion::Clear,
        }
    }

    /// Returns when the record is of no more use.
    pub(crate) fn expires_at(&self, blocking_crashes: usize) -> Option<Instant> {
        let last = self.blocked_until(blocking_crashes).max(self.answered_at)?;
        Some(last + SUSPECT_TIME)
    }

    /// Merges another host's report and returns whether it contained anything new.
    pub(crate) fn merge(&mut self, report: &SuspectReport, now: Instant) -> bool {
        let answered_at = report.answered_age.and_then(|age| now.checked_sub(age));
        let mut is_new = answered_at.is_some_and(|at| self.add_answer(at));
        self.probes = self.probes.max(report.probes);
        for CrashReport { leaf, was_probe, age } in report.known_crashes() {
            let Some(at) = now.checked_sub(age) else { continue };
            is_new |= self.add_crash(RecordedCrash { leaf, was_probe, at });
        }
        let no_probe_runs = self.probe_until.is_none_or(|until| until <= now);
        if !report.probe_remaining.is_zero() && !self.crashes.is_empty() && no_probe_runs {
            self.probe_until = Some(now + report.probe_remaining.min(MAX_PROBE_PAUSE));
            is_new = true;
        }
        is_new
    }

    /// Returns the time until which no further probe may start, if there is one.
    pub(crate) fn probe_until(&self, now: Instant) -> Option<Instant> {
        self.probe_until.filter(|&until| now < until)
    }

    /// Records that the probe started last has not run, so that another may start at once.
    pub(crate) fn release_probe(&mut self) {
        self.probes = self.probes.saturating_sub(1);
        self.probe_until = None;
    }

    /// Returns the number of crashes since the last answer.
    pub(crate) fn crash_count(&self) -> usize {
        self.crashes.len()
    }

    /// Returns when the record last changed by a crash or an answer.
    pub(crate) fn changed_at(&self) -> Option<Instant> {
        self.crashes.iter().map(|crash| crash.at).max().max(self.answered_at)
    }

    /// Returns the report of the record to other hosts.
    pub(crate) fn report(
        &self,
        fingerprint: Fingerprint,
        blocking_crashes: usize,
        now: Instant,
    ) -> SuspectReport {
        let age = |at: Instant| now.saturating_duration_since(at);
        let remaining = |until: Instant| until.saturating_duration_since(now);
        let crashes = self.crashes.iter().map(|crash| CrashReport {
            leaf: crash.leaf,
            was_probe: crash.was_probe,
            age: age(crash.at),
        });
        let condemned = self.suspicion(blocking_crashes, now) == Suspicion::Blocked;
        let blocked_until = self.blocked_until(blocking_crashes);
        let until = blocked_until.map(|at| if condemned { at } else { at + SUSPECT_TIME });
        SuspectReport {
            fingerprint,
            condemned,
            remaining_ms: until.map_or(0, |until| remaining(until).as_millis() as u64),
            crashes: crashes.collect(),
            answered_age: self.answered_at.map(age),
            probes: self.probes,
            probe_remaining: self.probe_until.map_or(Duration::ZERO, remaining),
        }
    }
}
