//! What this process itself has seen of one leaf.
//!
//! Own observations go before what health and load endpoints report. Invariant: a leaf that showed
//! a sign of leaving is not usable until the sign has expired.

use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::call_reports::LeafSummary;
use crate::leaf_protocol::CallId;

/// Weight of a new sample in the running mean of failures.
const FAILURE_WEIGHT: f64 = 0.25;
/// Latencies whose median counts: a pause now and then does not move it, and a leaf that has become
/// slow shows after three calls.
const RECENT_SAMPLES: usize = 5;
/// Samples after which the median is believed wholly; before that, what is typical counts too.
const TRUSTED_SAMPLES: f64 = 3.0;
/// Time in which an observation loses most of its weight against what is typical, so that a leaf
/// that was slow or failed is tried again now and then.
const MEMORY: Duration = Duration::from_secs(4);
/// Part of the belief that is left to what all hosts of the zone saw; the rest is this host's own.
const TOLD_PART: f64 = 0.75;
/// Time for which a leaf counts as crowded after the zone said so: until the next exchanges.
const CROWDED_TIME: Duration = Duration::from_millis(1_000);
/// Calls from which on what all hosts saw counts wholly.
const TOLD_CALLS: f64 = 5.0;
/// Time in which what all hosts saw loses most of its weight.
const TOLD_MEMORY: Duration = Duration::from_secs(3);
/// Cost of a call to a leaf that fails for several hosts: more than any way to a sound leaf in another
/// region, as the budget for second calls is spent soon where many leafs fail.
const TOLD_FAILURE_COST: Duration = Duration::from_millis(400);
/// Cost of a call that fails: the retry's time and its part of the budget.
const FAILURE_COST: Duration = Duration::from_millis(100);
/// Failures in a row that eject a leaf.
const EJECT_AFTER_FAILURES: u32 = 3;
/// First time that an ejected leaf stays out.
const EJECT_BASE: Duration = Duration::from_millis(500);
/// Longest time that an ejected leaf stays out before it is probed.
const EJECT_MAX: Duration = Duration::from_secs(4);
/// Time that a leaf stays out after it refused a connection.
const REFUSED_TIME: Duration = Duration::from_millis(300);
/// Time in which no new connection is opened to a leaf that has too many.
const FULL_TIME: Duration = Duration::from_millis(700);
/// Time after which a leaf's own sign of leaving is forgotten, if the host list says otherwise.
const DRAIN_MEMORY: Duration = Duration::from_secs(30);
/// Time for which a leaf that answered for another one is left out, unless it is listed anew.
const MISDIRECTED_TIME: Duration = Duration::from_secs(10);
/// Work of a cold leaf beyond that of a warm one, as a share of what is typical.
const COLD_EXTRA: f64 = 0.6;
/// Multiple of the expected time after which an unanswered call shows that the leaf is stuck.
const STUCK_FACTOR: f64 = 2.0;

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
    /// Another leaf answers at its address.
    Gone,
}

#[derive(Clone, Copy, Debug)]
struct Outstanding {
    call: CallId,
    since: Instant,
}

/// Observations of one leaf.
#[derive(Clone, Debug, Default)]
pub struct LeafEstimates {
    recent: [Duration; RECENT_SAMPLES],
    samples: usize,
    median: Duration,
    failure_rate: f64,
    sampled_at: Option<Instant>,
    outstanding: Vec<Outstanding>,
    failures_in_row: u32,
    ejections_in_row: u32,
    ejected_until: Option<Instant>,
    cold_until: Option<Instant>,
    full_until: Option<Instant>,
    listed_leaving: bool,
    said_draining_at: Option<Instant>,
    misdirected_until: Option<Instant>,
    answered_at: Option<Instant>,
    sheds: u64,
    losses: u64,
    hinted_queue: u32,
    zone_report: Option<ZoneReport>,
}

/// What all hosts of the zone saw of the leaf lately.
#[derive(Clone, Copy, Debug)]
struct ZoneReport {
    calls: u8,
    failure_rate: f64,
    median: Option<Duration>,
    seen_at: Instant,
    crowded_until: Option<Instant>,
}

impl ZoneReport {
    fn weight(&self, now: Instant) -> f64 {
        let fading = fading(self.seen_at, TOLD_MEMORY, now);
        TOLD_PART * fading * (f64::from(self.calls) / TOLD_CALLS).min(1.0)
    }
}

/// Chances that the next call fails, each weighted by how much its source counts.
#[derive(Clone, Copy, Debug)]
struct FailureChance {
    own: f64,
    told: f64,
}

/// Returns how much an observation still counts, from 1 down to 0.
fn fading(seen_at: Instant, memory: Duration, now: Instant) -> f64 {
    let age = now.saturating_duration_since(seen_at);
    (-age.as_secs_f64() / memory.as_secs_f64()).exp()
}

impl LeafEstimates {
    /// Records that a call is about to be written.
    pub fn record_call_start(&mut self, call: CallId, now: Instant) {
        self.outstanding.push(Outstanding { call, since: now });
    }

    /// Records that a call is over, however it ended.
    pub fn record_call_end(&mut self, call: CallId) {
        self.outstanding.retain(|open| open.call != call);
    }

    /// Records an answer that took `latency`.
    pub fn record_answer(&mut self, latency: Duration, hinted_queue: u32, now: Instant) {
        self.sample(latency, 0.0, now);
        self.failures_in_row = 0;
        self.ejections_in_row = 0;
        self.ejected_until = None;
        self.said_draining_at = None;
        self.answered_at = Some(now);
        self.hinted_queue = hinted_queue;
    }

    /// Records that a call was cancelled after `elapsed` without an answer, which is a lower bound
    /// of its latency.
    pub fn record_unanswered(&mut self, elapsed: Duration, now: Instant) {
        if elapsed > self.median {
            self.sample(elapsed, 0.0, now);
        }
    }

    /// Records what all hosts of the zone saw.
    pub fn record_zone_report(&mut self, summary: LeafSummary, now: Instant) {
        let Some(seen_at) = now.checked_sub(summary.age) else { return };
        let failure_rate = f64::from(summary.failures) / f64::from(summary.calls.max(1));
        let LeafSummary { calls, median, .. } = summary;
        let crowded_until = summary.is_crowded.then_some(now + CROWDED_TIME);
        self.zone_report = Some(ZoneReport { calls, failure_rate, median, seen_at, crowded_until });
    }

    /// Records that the leaf shed a call.
    pub fn record_shed(&mut self, now: Instant) {
        self.sheds += 1;
        self.failures_in_row = 0;
        self.sample_failure(1.0, now);
    }

    /// Records that the leaf failed a call.
    pub fn record_failure(&mut self, now: Instant) {
        self.sample_failure(1.0, now);
    }

    /// Records that another leaf answers at this leaf's address.
    pub fn record_misdirected(&mut self, now: Instant) {
        self.misdirected_until = Some(now + MISDIRECTED_TIME);
    }

    /// Records that the leaf refused a connection. Returns whether this ejected the leaf.
    pub fn record_refused_connection(&mut self, now: Instant) -> bool {
        let ejected = self.record_loss(now);
        let until = now + REFUSED_TIME;
        self.ejected_until = Some(self.ejected_until.map_or(until, |at| at.max(until)));
        ejected
    }

    /// Records that the leaf closed a new connection, as one does that has too many.
    pub fn record_connection_overflow(&mut self, now: Instant) {
        self.full_until = Some(now + FULL_TIME);
        self.sample_failure(1.0, now);
    }

    /// Whether hosts of the zone compete for connections to the leaf.
    pub fn is_crowded(&self, now: Instant) -> bool {
        let told_until = self.zone_report.and_then(|told| told.crowded_until);
        self.is_full(now) || told_until.is_some_and(|until| now < until)
    }

    /// Whether a new connection to the leaf would hardly be kept.
    pub fn is_full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    fn sample(&mut self, latency: Duration, failure: f64, now: Instant) {
        self.recent[self.samples % RECENT_SAMPLES] = latency;
        self.samples += 1;
        let mut sorted = self.recent;
        let known = &mut sorted[..self.samples.min(RECENT_SAMPLES)];
        known.sort_unstable();
        self.median = known[(known.len() - 1) / 2];
        self.sample_failure(failure, now);
    }

    fn sample_failure(&mut self, failure: f64, now: Instant) {
        self.failure_rate += (failure - self.failure_rate) * FAILURE_WEIGHT;
        self.sampled_at = Some(now);
    }

    /// Records that the leaf said that it is leaving.
    pub fn record_draining(&mut self, now: Instant) {
        self.said_draining_at = Some(now);
    }

    /// Records that another host heard the leaf say that it is leaving, `age` ago. A later answer of
    /// the leaf to this host goes before it.
    pub fn record_reported_draining(&mut self, age: Duration, now: Instant) {
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
    pub fn set_listed_leaving(&mut self, leaving: bool) {
        self.listed_leaving = leaving;
    }

    /// Records until when the leaf says that it is cold.
    pub fn set_cold_until(&mut self, until: Option<Instant>) {
        self.cold_until = until;
    }

    /// Records a lost call or a failed connection. Returns whether this ejected the leaf.
    pub fn record_loss(&mut self, now: Instant) -> bool {
        self.losses += 1;
        self.failures_in_row += 1;
        self.sample_failure(1.0, now);
        if self.failures_in_row < EJECT_AFTER_FAILURES {
            return false;
        }
        let time_out = EJECT_BASE.saturating_mul(1 << self.ejections_in_row.min(10));
        self.ejected_until = Some(now + time_out.min(EJECT_MAX));
        self.ejections_in_row += 1;
        true
    }

    /// Whether the leaf may get a call now. After its time out, an ejected leaf is probed.
    pub fn usability(&self, now: Instant) -> Usability {
        let said = |at: Instant| now.saturating_duration_since(at) < DRAIN_MEMORY;
        if self.misdirected_until.is_some_and(|until| now < until) {
            Usability::Gone
        } else if self.listed_leaving || self.said_draining_at.is_some_and(said) {
            Usability::Draining
        } else if self.ejected_until.is_some_and(|until| now < until) {
            Usability::Ejected
        } else {
            Usability::Usable
        }
    }

    /// Returns the median time of the last calls; zero before the first answer.
    pub fn median_latency(&self) -> Duration {
        self.median
    }

    /// Returns the time by which replicas are compared: the expected answer time and what failures
    /// cost. `typical` is as in [`LeafEstimates::expected_latency`].
    pub fn cost(&self, typical: Duration, now: Instant) -> Duration {
        self.expected_latency(typical, now) + self.failure_cost(now)
    }

    /// Returns what failures are expected to cost.
    pub fn failure_cost(&self, now: Instant) -> Duration {
        let FailureChance { own, told } = self.failures(now);
        FAILURE_COST.mul_f64(own) + TOLD_FAILURE_COST.mul_f64(told)
    }

    /// Returns the expected time of an answer. `typical` is the time that a call to a sound leaf in
    /// this one's zone takes; observations fade towards it.
    pub fn expected_latency(&self, typical: Duration, now: Instant) -> Duration {
        let typical_us = typical.as_micros() as f64;
        let trust = self.weight(now) * (self.samples as f64 / TRUSTED_SAMPLES).min(1.0);
        let mut expected_us = typical_us + (self.median.as_micros() as f64 - typical_us) * trust;
        if let Some(median) = self.zone_report.and_then(|told| told.median) {
            expected_us += (median.as_micros() as f64 - expected_us) * self.told_weight(now);
        }
        if self.cold_until.is_some_and(|until| now < until) {
            expected_us += typical_us * COLD_EXTRA;
        }
        let expected = Duration::from_micros(expected_us as u64);
        self.stuck_for(expected, now).map_or(expected, |stuck| expected.max(stuck))
    }

    /// Returns the chance that the next call fails, from 0 to 1.
    pub fn failure_chance(&self, now: Instant) -> f64 {
        let FailureChance { own, told } = self.failures(now);
        own + told
    }

    fn failures(&self, now: Instant) -> FailureChance {
        let told = self.told_weight(now);
        let told_rate = self.zone_report.map_or(0.0, |told| told.failure_rate);
        let own = self.failure_rate * self.weight(now) * (1.0 - told);
        FailureChance { own, told: told_rate * told }
    }

    /// Returns how much this host's own observations count by their age.
    fn weight(&self, now: Instant) -> f64 {
        self.sampled_at.map_or(0.0, |at| fading(at, MEMORY, now))
    }

    fn told_weight(&self, now: Instant) -> f64 {
        self.zone_report.map_or(0.0, |told| told.weight(now))
    }

    /// Returns how long the oldest call is out, if that is far longer than expected. What is left of
    /// a pause of unknown length is about as long as what has passed.
    fn stuck_for(&self, expected: Duration, now: Instant) -> Option<Duration> {
        let oldest = self.outstanding.iter().map(|open| open.since).min()?;
        let age = now.saturating_duration_since(oldest);
        (age > expected.mul_f64(STUCK_FACTOR)).then(|| expected + age)
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
