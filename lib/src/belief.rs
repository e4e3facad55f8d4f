//! What this process itself has seen of one leaf.
//!
//! Own observations go before what health and load endpoints report. Invariant: a leaf that showed
//! a sign of leaving is not usable until the sign has expired.

use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

/// Weight of a new sample in the running mean of latency.
const LATENCY_WEIGHT: f64 = 0.1;
/// Failures in a row that eject a leaf.
const EJECT_AFTER_FAILURES: u32 = 3;
/// First time that an ejected leaf stays out.
const EJECT_BASE: Duration = Duration::from_millis(500);
/// Longest time that an ejected leaf stays out before it is probed.
const EJECT_MAX: Duration = Duration::from_secs(20);
/// Time after which a leaf's own sign of leaving is forgotten, if the host list says otherwise.
const DRAIN_MEMORY: Duration = Duration::from_secs(30);
/// Answers after which a leaf counts as warm.
const WARM_ANSWERS: u32 = 20;
/// Expected latency of a leaf that was never called.
const UNKNOWN_LATENCY: Duration = Duration::from_millis(5);
/// Factor on the expected latency of a leaf that is not warm yet.
const COLD_FACTOR: f64 = 3.0;

/// Whether a leaf may get a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Usability {
    /// May be called.
    Usable,
    /// Failed several times in a row and is left out for a while.
    Ejected,
    /// Is leaving and gets nothing new.
    Draining,
}

/// Observations of one leaf.
#[derive(Clone, Debug)]
pub struct Belief {
    latency_us: f64,
    answers: u32,
    failures_in_row: u32,
    ejections_in_row: u32,
    ejected_until: Option<Instant>,
    listed_leaving: bool,
    said_draining_at: Option<Instant>,
    answered_at: Option<Instant>,
    sheds: u64,
    losses: u64,
    hinted_queue: u32,
}

impl Default for Belief {
    fn default() -> Self {
        Self {
            latency_us: UNKNOWN_LATENCY.as_micros() as f64,
            answers: 0,
            failures_in_row: 0,
            ejections_in_row: 0,
            ejected_until: None,
            listed_leaving: false,
            said_draining_at: None,
            answered_at: None,
            sheds: 0,
            losses: 0,
            hinted_queue: 0,
        }
    }
}

impl Belief {
    /// Records an answer that took `latency`.
    pub fn answered(&mut self, latency: Duration, hinted_queue: u32, now: Instant) {
        let sample = latency.as_micros() as f64;
        let weight = if self.answers == 0 { 1.0 } else { LATENCY_WEIGHT };
        self.latency_us += (sample - self.latency_us) * weight;
        self.answers = self.answers.saturating_add(1);
        self.failures_in_row = 0;
        self.ejections_in_row = 0;
        self.ejected_until = None;
        self.said_draining_at = None;
        self.answered_at = Some(now);
        self.hinted_queue = hinted_queue;
    }

    /// Records that a call was cancelled after `elapsed` without an answer, which is a lower bound
    /// of its latency.
    pub fn unanswered(&mut self, elapsed: Duration) {
        let sample = elapsed.as_micros() as f64;
        if sample > self.latency_us {
            self.latency_us += (sample - self.latency_us) * LATENCY_WEIGHT;
        }
    }

    /// Records that the leaf shed a call.
    pub fn shed(&mut self) {
        self.sheds += 1;
        self.failures_in_row = 0;
    }

    /// Records that the leaf said that it is leaving.
    pub fn said_draining(&mut self, now: Instant) {
        self.said_draining_at = Some(now);
    }

    /// Records that another host heard the leaf say that it is leaving, `age` ago. A later answer of
    /// the leaf to this host goes before it.
    pub fn heard_draining(&mut self, age: Duration, now: Instant) {
        let Some(at) = now.checked_sub(age) else { return };
        if self.answered_at.is_none_or(|answered| answered < at) {
            self.said_draining_at = self.said_draining_at.max(Some(at));
        }
    }

    /// Returns how long ago the leaf said that it is leaving, while that is remembered.
    pub fn draining_age(&self, now: Instant) -> Option<Duration> {
        let age = now.saturating_duration_since(self.said_draining_at?);
        (age < DRAIN_MEMORY).then_some(age)
    }

    /// Records what the host list says.
    pub fn listed(&mut self, leaving: bool) {
        self.listed_leaving = leaving;
    }

    /// Records a lost call or a failed connection. Returns whether this ejected the leaf.
    pub fn lost(&mut self, now: Instant) -> bool {
        self.losses += 1;
        self.failures_in_row += 1;
        if self.failures_in_row < EJECT_AFTER_FAILURES {
            return false;
        }
        let time_out = EJECT_BASE.saturating_mul(1 << self.ejections_in_row.min(10));
        self.ejected_until = Some(now + time_out.min(EJECT_MAX));
        self.ejections_in_row += 1;
        self.answers = 0;
        true
    }

    /// Whether the leaf may get a call now. After its time out, an ejected leaf is probed.
    pub fn usability(&self, now: Instant) -> Usability {
        let said = |at: Instant| now.saturating_duration_since(at) < DRAIN_MEMORY;
        if self.listed_leaving || self.said_draining_at.is_some_and(said) {
            Usability::Draining
        } else if self.ejected_until.is_some_and(|until| now < until) {
            Usability::Ejected
        } else {
            Usability::Usable
        }
    }

    /// Returns the expected time per call without queueing; higher for a cold leaf.
    pub fn service(&self) -> Duration {
        Duration::from_micros(self.latency_us as u64)
    }

    /// Returns the cost by which replicas are compared.
    pub fn cost(&self) -> Duration {
        if self.answers < WARM_ANSWERS {
            self.service().mul_f64(COLD_FACTOR)
        } else {
            self.service()
        }
    }

    /// Whether the next call to this leaf is the probe after an ejection.
    pub fn is_on_probe(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Returns the number of calls that the leaf shed.
    pub fn sheds(&self) -> u64 {
        self.sheds
    }

    /// Returns the number of calls lost at the leaf.
    pub fn losses(&self) -> u64 {
        self.losses
    }

    /// Returns the queue length that the leaf reported last; a hint only.
    pub fn hinted_queue(&self) -> u32 {
        self.hinted_queue
    }
}
