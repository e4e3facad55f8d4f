//! Estimates of one leaf: latency, failure probability and usability, with outlier ejection.
//!
//! They are based on the outcomes of this host's calls and on reports that cover all hosts of the
//! zone. Outcomes of calls take precedence over what health and load endpoints report. Invariant: a
//! leaf that announced that it is leaving is not usable until the announcement expires or the leaf
//! answers a call that was still in progress.

use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::call_reports::LeafSummary;
use crate::leaf_protocol::CallId;

/// Weight of a new sample in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.25;
/// Number of latencies of which the median is taken. An occasional pause does not move the median
/// of five, and a leaf that has become slow raises it after three calls.
const RECENT_SAMPLES: usize = 5;
/// Number of samples at which the median gets its full weight; with fewer, it is mixed with the
/// typical latency.
const FULL_WEIGHT_SAMPLES: f64 = 3.0;
/// Time constant of the exponential decay of this host's samples towards the typical latency, so
/// that a leaf that was slow or failed is tried again from time to time.
const DECAY_TIME: Duration = Duration::from_secs(4);
/// Largest weight of the zone's report; the rest is left to this host's samples.
const REPORT_WEIGHT: f64 = 0.75;
/// Time for which a leaf counts as crowded after a report that it is; it covers the next exchanges
/// of reports.
const CROWDED_TIME: Duration = Duration::from_millis(1_000);
/// Number of reported calls at which a report gets its full weight.
const FULL_WEIGHT_REPORTED_CALLS: f64 = 5.0;
/// Time constant of the exponential decay of a report.
const REPORT_DECAY_TIME: Duration = Duration::from_secs(3);
/// Cost of a failed call that the zone's report makes likely. It exceeds the round trip to a
/// working leaf in any other region, so that the leaf there is preferred, since the budget for
/// hedges and retries is soon used up where many leafs fail.
const REPORTED_FAILURE_COST: Duration = Duration::from_millis(400);
/// Cost of a failed call: the time that its retry takes, and the part of the retry budget that it
/// uses.
const FAILURE_COST: Duration = Duration::from_millis(100);
/// Number of consecutive lost calls that eject a leaf.
const EJECT_AFTER_LOSSES: u32 = 3;
/// Length of the first ejection; each further one without an answer in between is twice as long, up
/// to [`MAX_EJECTION_TIME`].
const MIN_EJECTION_TIME: Duration = Duration::from_millis(500);
/// Longest time for which a leaf is ejected before it is probed.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(4);
/// Shortest ejection after a refused connection.
const REFUSED_EJECTION_TIME: Duration = Duration::from_millis(300);
/// Time for which new connections to a leaf are avoided after it closed one because it has too
/// many.
const NO_CONNECT_TIME: Duration = Duration::from_millis(700);
/// Time after which a leaf's announcement that it is leaving expires. A leaf that the host list
/// lists as leaving stays unusable.
const DRAINING_TIME: Duration = Duration::from_secs(30);
/// Time for which a leaf gets no calls after another leaf answered at its address, unless the host
/// list removes it or changes its address.
const MISDIRECTED_TIME: Duration = Duration::from_secs(10);
/// Additional latency of a cold leaf over that of a warm one, as a share of the typical latency.
const COLD_EXTRA_SHARE: f64 = 0.6;
/// Multiple of the expected latency after which an unanswered call shows that the leaf is stuck.
const STUCK_CALL_FACTOR: f64 = 2.0;

/// Whether a leaf may get a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Usability {
    /// The leaf may get calls.
    Usable,
    /// The leaf lost several consecutive calls or refused a connection and gets no calls for a
    /// while.
    Ejected,
    /// The leaf named a time for which it wants no calls.
    Paused,
    /// The operator has evacuated the leaf's zone.
    Evacuated,
    /// The leaf is leaving and gets no new calls.
    Draining,
    /// Another leaf answers at the leaf's address.
    Gone,
}

/// A call that was written and has not ended.
#[derive(Clone, Copy, Debug)]
struct OpenCall {
    call: CallId,
    started_at: Instant,
}

/// Estimates of one leaf, updated by the outcome of each call.
#[derive(Clone, Debug, Default)]
pub struct LeafEstimates {
    /// Ring buffer of the last latencies.
    recent: [Duration; RECENT_SAMPLES],
    /// Number of latencies recorded so far.
    samples: usize,
    /// Median of `recent`.
    median: Duration,
    /// Moving average of failures, from 0 to 1.
    failure_rate: f64,
    /// When the last answer or failure was recorded.
    sampled_at: Option<Instant>,
    open_calls: Vec<OpenCall>,
    consecutive_losses: u32,
    consecutive_ejections: u32,
    ejected_until: Option<Instant>,
    is_paced: bool,
    cold_until: Option<Instant>,
    /// Until when the leaf is expected to close new connections, as it has too many.
    full_until: Option<Instant>,
    /// Whether the host list lists the leaf as leaving.
    listed_leaving: bool,
    /// When the leaf last announced that it is leaving; absent after a later answer.
    draining_at: Option<Instant>,
    misdirected_until: Option<Instant>,
    answered_at: Option<Instant>,
    sheds: u64,
    losses: u64,
    reported_queue: u32,
    zone_report: Option<ZoneReport>,
}

/// Summary of the recent outcomes of calls to the leaf from all hosts of the zone.
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
        let decay = decay(self.seen_at, REPORT_DECAY_TIME, now);
        REPORT_WEIGHT * decay * (f64::from(self.calls) / FULL_WEIGHT_REPORTED_CALLS).min(1.0)
    }
}

/// Probability that the next call fails, split into the weighted parts of its two sources.
#[derive(Clone, Copy, Debug)]
struct FailureShares {
    own: f64,
    reported: f64,
}

/// Returns the remaining weight of an observation: 1 when it is new, falling towards 0 with age.
fn decay(seen_at: Instant, decay_time: Duration, now: Instant) -> f64 {
    let age = now.saturating_duration_since(seen_at);
    (-age.as_secs_f64() / decay_time.as_secs_f64()).exp()
}

impl LeafEstimates {
    /// Records that a call is about to be written.
    pub fn record_call_start(&mut self, call: CallId, now: Instant) {
        self.open_calls.push(OpenCall { call, started_at: now });
    }

    /// Records that a call has ended, with any outcome.
    pub fn record_call_end(&mut self, call: CallId) {
        self.open_calls.retain(|open_call| open_call.call != call);
    }

    /// Records an answer that took `latency`, network round trip included, and the queue length
    /// that the leaf reported in it. Ends an ejection, and discards an announcement that the leaf
    /// is leaving.
    pub fn record_answer(&mut self, latency: Duration, reported_queue: u32, now: Instant) {
        self.sample(latency, 0.0, now);
        self.consecutive_losses = 0;
        self.consecutive_ejections = 0;
        self.ejected_until = None;
        self.draining_at = None;
        self.answered_at = Some(now);
        self.reported_queue = reported_queue;
    }

    /// Records that a call was cancelled after `elapsed` without an answer. The time is a lower
    /// bound of the call's latency, so it is used as a sample only if it exceeds the median.
    pub fn record_unanswered(&mut self, elapsed: Duration, now: Instant) {
        if elapsed > self.median {
            self.sample(elapsed, 0.0, now);
        }
    }

    /// Records a report on the leaf from all hosts of the zone; it replaces the previous one.
    pub fn record_zone_report(&mut self, summary: LeafSummary, now: Instant) {
        let Some(seen_at) = now.checked_sub(summary.age) else { return };
        let failure_rate = f64::from(summary.failures) / f64::from(summary.calls.max(1));
        let LeafSummary { calls, median, .. } = summary;
        let crowded_until = summary.is_crowded.then_some(now + CROWDED_TIME);
        self.zone_report = Some(ZoneReport { calls, failure_rate, median, seen_at, crowded_until });
    }

    /// Records that the leaf shed a call. This resets the count of consecutive losses, as the leaf
    /// is reachable.
    pub fn record_shed(&mut self, now: Instant) {
        self.sheds += 1;
        self.consecutive_losses = 0;
        self.sample_failure(1.0, now);
    }

    /// Records that the leaf shed a call and named a time for which it wants none. This says nothing
    /// about the calls after that time.
    pub fn record_paused(&mut self) {
        self.sheds += 1;
        self.consecutive_losses = 0;
    }

    /// Records that the leaf replied with a failure or with an unmatched reply.
    pub fn record_failure(&mut self, now: Instant) {
        self.sample_failure(1.0, now);
    }

    /// Records that another leaf answers at this leaf's address.
    pub fn record_misdirected(&mut self, now: Instant) {
        self.misdirected_until = Some(now + MISDIRECTED_TIME);
    }

    /// Records that the leaf refused a connection, which ejects it at least for a short time.
    /// Returns whether consecutive losses, of which this is one, have ejected the leaf as well.
    pub fn record_refused_connection(&mut self, now: Instant) -> bool {
        let ejected = self.record_loss(now);
        let until = now + REFUSED_EJECTION_TIME;
        self.ejected_until = Some(self.ejected_until.map_or(until, |at| at.max(until)));
        ejected
    }

    /// Records that the leaf closed a new connection, as it does when it has too many.
    pub fn record_connection_overflow(&mut self, now: Instant) {
        self.full_until = Some(now + NO_CONNECT_TIME);
        self.sample_failure(1.0, now);
    }

    /// Returns whether hosts of the zone compete for connections to the leaf.
    pub fn is_crowded(&self, now: Instant) -> bool {
        let reported_until = self.zone_report.and_then(|report| report.crowded_until);
        self.is_full(now) || reported_until.is_some_and(|until| now < until)
    }

    /// Returns whether the leaf would probably close a new connection, as it has too many.
    pub fn is_full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    fn sample(&mut self, latency: Duration, failure: f64, now: Instant) {
        self.recent[self.samples % RECENT_SAMPLES] = latency;
        self.samples += 1;
        let mut sorted = self.recent;
        let filled = &mut sorted[..self.samples.min(RECENT_SAMPLES)];
        filled.sort_unstable();
        self.median = filled[(filled.len() - 1) / 2];
        self.sample_failure(failure, now);
    }

    fn sample_failure(&mut self, failure: f64, now: Instant) {
        self.failure_rate += (failure - self.failure_rate) * FAILURE_WEIGHT;
        self.sampled_at = Some(now);
    }

    /// Records that the leaf announced to this host that it is leaving.
    pub fn record_draining(&mut self, now: Instant) {
        self.draining_at = Some(now);
    }

    /// Records that the leaf announced to another host `age` ago that it is leaving. It is ignored
    /// if the leaf answered this host later than that.
    pub fn record_reported_draining(&mut self, age: Duration, now: Instant) {
        let Some(at) = now.checked_sub(age) else { return };
        if self.answered_at.is_none_or(|answered| answered < at) {
            self.draining_at = self.draining_at.max(Some(at));
        }
    }

    /// Returns how long ago the leaf announced that it is leaving, until the announcement expires.
    pub fn draining_age(&self, now: Instant) -> Option<Duration> {
        let age = now.saturating_duration_since(self.draining_at?);
        (age < DRAINING_TIME).then_some(age)
    }

    /// Records whether the host list lists the leaf as leaving.
    pub fn set_listed_leaving(&mut self, leaving: bool) {
        self.listed_leaving = leaving;
    }

    /// Sets the end of the slow phase that the leaf announced for the time after its start; `None`
    /// if it announced none.
    pub fn set_cold_until(&mut self, until: Option<Instant>) {
        self.cold_until = until;
    }

    /// Sets whether [`crate::leaf_pace`] bounds the calls to the leaf when it is back, so that short
    /// ejections suffice.
    pub fn set_paced(&mut self, is_paced: bool) {
        self.is_paced = is_paced;
    }

    /// Returns what [`LeafEstimates::set_paced`] has set.
    pub fn is_paced(&self) -> bool {
        self.is_paced
    }

    /// Records a lost call or a failed connection. Returns whether this ejected the leaf.
    pub fn record_loss(&mut self, now: Instant) -> bool {
        self.losses += 1;
        self.consecutive_losses += 1;
        self.sample_failure(1.0, now);
        if self.consecutive_losses < EJECT_AFTER_LOSSES {
            return false;
        }
        let ejection_time =
            MIN_EJECTION_TIME.saturating_mul(1 << self.consecutive_ejections.min(10));
        let max_time = if self.is_paced { MIN_EJECTION_TIME } else { MAX_EJECTION_TIME };
        self.ejected_until = Some(now + ejection_time.min(max_time));
        self.consecutive_ejections += 1;
        true
    }

    /// Forgets losses and ejections, as those of a time in which this host reached no leaf say
    /// nothing about the leaf.
    pub fn forget_losses(&mut self) {
        self.consecutive_losses = 0;
        self.consecutive_ejections = 0;
        self.ejected_until = None;
        self.failure_rate = 0.0;
        self.full_until = None;
    }

    /// Returns whether the leaf may get a call now. A leaf whose ejection has expired is usable
    /// again, and its next call serves as a probe.
    pub fn usability(&self, now: Instant) -> Usability {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < DRAINING_TIME;
        if self.misdirected_until.is_some_and(|until| now < until) {
            Usability::Gone
        } else if self.listed_leaving || self.draining_at.is_some_and(is_recent) {
            Usability::Draining
        } else if self.ejected_until.is_some_and(|until| now < until) {
            Usability::Ejected
        } else {
            Usability::Usable
        }
    }

    /// Returns the end of the latest ejection, if the leaf has not answered since.
    pub fn ejected_until(&self) -> Option<Instant> {
        self.ejected_until
    }

    /// Returns the median latency of the last five samples; zero before the first.
    pub fn median_latency(&self) -> Duration {
        self.median
    }

    /// Returns the expected latency plus the expected cost of failures. `typical` is as in
    /// [`LeafEstimates::expected_latency`].
    pub fn cost(&self, typical: Duration, now: Instant) -> Duration {
        self.expected_latency(typical, now) + self.failure_cost(now)
    }

    /// Returns the expected cost of failures, as a time: the failure probability times the cost of
    /// a failed call.
    pub fn failure_cost(&self, now: Instant) -> Duration {
        let FailureShares { own, reported } = self.failure_shares(now);
        FAILURE_COST.mul_f64(own) + REPORTED_FAILURE_COST.mul_f64(reported)
    }

    /// Returns the expected latency of a call. `typical` is the usual latency of a call to the
    /// leaf's zone; the estimate decays towards it as the samples age.
    pub fn expected_latency(&self, typical: Duration, now: Instant) -> Duration {
        let typical_us = typical.as_micros() as f64;
        let own_weight = self.weight(now) * (self.samples as f64 / FULL_WEIGHT_SAMPLES).min(1.0);
        let mut expected_us =
            typical_us + (self.median.as_micros() as f64 - typical_us) * own_weight;
        if let Some(median) = self.zone_report.and_then(|report| report.median) {
            expected_us += (median.as_micros() as f64 - expected_us) * self.report_weight(now);
        }
        if !self.is_paced && self.cold_until.is_some_and(|until| now < until) {
            expected_us += typical_us * COLD_EXTRA_SHARE;
        }
        let expected = Duration::from_micros(expected_us as u64);
        self.stuck_latency(expected, now).map_or(expected, |stuck| expected.max(stuck))
    }

    /// Returns the probability that the next call fails, from 0 to 1.
    pub fn failure_chance(&self, now: Instant) -> f64 {
        let FailureShares { own, reported } = self.failure_shares(now);
        own + reported
    }

    fn failure_shares(&self, now: Instant) -> FailureShares {
        let report_weight = self.report_weight(now);
        let reported_rate = self.zone_report.map_or(0.0, |report| report.failure_rate);
        let own = self.failure_rate * self.weight(now) * (1.0 - report_weight);
        FailureShares { own, reported: reported_rate * report_weight }
    }

    /// Returns the weight of this host's samples by their age, from 0 to 1.
    fn weight(&self, now: Instant) -> f64 {
        self.sampled_at.map_or(0.0, |at| decay(at, DECAY_TIME, now))
    }

    fn report_weight(&self, now: Instant) -> f64 {
        self.zone_report.map_or(0.0, |report| report.weight(now))
    }

    /// Returns the expected latency of a stuck leaf: the expected latency plus the age of the
    /// oldest open call, if that age is far above the expected latency. A pause of unknown length
    /// lasts on average about as long again as it has so far.
    fn stuck_latency(&self, expected: Duration, now: Instant) -> Option<Duration> {
        let oldest = self.open_calls.iter().map(|open_call| open_call.started_at).min()?;
        let age = now.saturating_duration_since(oldest);
        (age > expected.mul_f64(STUCK_CALL_FACTOR)).then(|| expected + age)
    }

    /// Returns whether the leaf was ejected and has not answered since, so that its next call
    /// serves as a probe; never if it gets its calls at a pace.
    pub fn next_call_is_probe(&self) -> bool {
        self.ejected_until.is_some() && !self.is_paced
    }

    /// Returns the number of calls that the leaf has shed since it was listed.
    pub fn sheds(&self) -> u64 {
        self.sheds
    }

    /// Returns the number of lost calls and failed connections since the leaf was listed.
    pub fn losses(&self) -> u64 {
        self.losses
    }

    /// Returns the queue length in the leaf's last answer. It is only a hint, as it may be out of
    /// date.
    pub fn reported_queue(&self) -> u32 {
        self.reported_queue
    }
}
