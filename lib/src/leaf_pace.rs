//! The pace at which a leaf that has started or recovered gets calls again.
//!
//! Such a leaf, here called returning, gets a part of the calls that it would get otherwise. The
//! part doubles while the leaf's answers keep up with those of its neighbours, and halves while they
//! do not, until the leaf is back at its full share. Evidence comes from this host's calls and from
//! the reports of the hosts of its zone. Invariants: without evidence, the part grows with time
//! alone; it never falls to zero.
//!
//! Which calls belong to the part follows from an even sequence that starts at a hash of host and
//! leaf. In a large fleet, whose hosts choose the leaf rarely, a part of the hosts call the leaf; on
//! a single host, a part of the calls go there.

use std::cmp::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::call_reports::LeafSummary;
use crate::ids::HostName;
use crate::ids::LeafHash;

/// Part with which a leaf returns.
const START_PART: f64 = 1.0 / 16.0;
/// Smallest part.
const MIN_PART: f64 = 1.0 / 64.0;
/// Part with which a leaf goes on that fails a part of the calls of the zone's hosts.
const REDUCED_PART: f64 = 0.5;
/// Time after a change of the part in which the calls that it causes are not answered yet.
const EVIDENCE_TIME: Duration = Duration::from_millis(200);
/// Time after which the part grows without evidence.
const QUIET_TIME: Duration = Duration::from_millis(500);
/// Number of calls without failure that let the part grow before [`QUIET_TIME`] has passed.
const ENOUGH_CALLS: f64 = 2.0;
/// Share of bad calls up to which a leaf keeps up, and from which on it does not.
const KEEPING_UP_SHARE: f64 = 0.25;
const FALLING_BEHIND_SHARE: f64 = 0.5;
/// Share of failed calls from which on a leaf seems to be down.
const DOWN_SHARE: f64 = 0.75;
/// Number of calls that a report of the zone counts for.
const REPORT_CALLS: f64 = 2.0;
/// Share of bad calls that a report counts for whose calls failed in part: the part stays.
const MIXED_SHARE: f64 = 0.4;
/// Smallest number of calls in a report that reduces the part of a leaf with a full share.
const MIN_REPORTED_CALLS: u8 = 4;
/// Largest number of times that the steps become twice as long.
const MAX_SLOWDOWNS: u32 = 2;
/// Factor by which the steps are longer that lead to the part at which the leaf fell behind.
const CEILING_CAUTION: u32 = 4;
/// Largest number of times that the first part is halved.
const MAX_FLAPS: u32 = 2;
/// Time since a leaf was last returning within which it counts as flapping.
const FLAP_TIME: Duration = Duration::from_secs(20);
/// Multiple of the usual latency from which on an answer is slow.
const SLOW_FACTOR: f64 = 3.0;
/// Latency beyond that multiple that is still not slow.
const SLOW_MARGIN: Duration = Duration::from_millis(10);
/// Shortest time between two reported falls of the part.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Fractional part of the golden ratio. Its multiples are spread evenly over the unit interval.
const GOLDEN_PART: f64 = 0.618_033_988_749_894_8;

/// Why a leaf returns.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReturnCause {
    /// It has started, or has become cold again.
    Cold,
    /// This host lost calls or connections to it.
    Lost,
    /// It failed calls of the zone's hosts.
    Failing,
    /// The operator had asked to send it nothing.
    Evacuated,
}

/// How a call to a returning leaf ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallQuality {
    /// It was answered about as fast as by other leafs.
    KeepsUp,
    /// It took much longer than calls to other leafs.
    Slow,
    /// It was lost, refused or failed.
    Failed,
}

impl CallQuality {
    /// Returns the quality of an answer that took `latency`, where `usual` is the median latency of
    /// other leafs at this distance, if it is known.
    pub fn of_answer(latency: Duration, usual: Option<Duration>) -> Self {
        let is_slow = usual.is_some_and(|usual| latency > usual.mul_f64(SLOW_FACTOR) + SLOW_MARGIN);
        if is_slow { Self::Slow } else { Self::KeepsUp }
    }

    fn badness(self) -> f64 {
        match self {
            Self::KeepsUp => 0.0,
            Self::Slow => 0.5,
            Self::Failed => 1.0,
        }
    }
}

/// A change of the pace that is worth a line of the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PaceChange {
    /// The leaf is returning.
    Returning(ReturnCause),
    /// The leaf does not keep up, and its part has fallen.
    Fallen,
    /// The leaf is back at its full share.
    Full,
}

/// The way back of one leaf.
#[derive(Clone, Copy, Debug)]
struct Ramp {
    cause: ReturnCause,
    part: f64,
    /// Part at the start.
    first_part: f64,
    /// When the part last changed, or when the evidence since then was found to be mixed.
    step_at: Instant,
    /// Calls since then, and how many of them were bad.
    calls: f64,
    bad_calls: f64,
    /// Whether evidence has let the part grow since it last fell.
    has_grown: bool,
    /// Number of times that the part fell after that, which lengthen the steps.
    slowdowns: u32,
    /// Part at which the leaf fell behind last; 1 if it did not.
    ceiling: f64,
    /// Whether the part fell twice without any call that kept up in between.
    is_down: bool,
    fell_unanswered: bool,
    /// Whether the zone's hosts report their calls, so that the first answer to any of them is
    /// known to all.
    has_reports: bool,
}

impl Ramp {
    fn new(cause: ReturnCause, part: f64, at: Instant) -> Self {
        let (calls, bad_calls) = (0.0, 0.0);
        Self {
            cause,
            part,
            first_part: part,
            step_at: at,
            calls,
            bad_calls,
            has_grown: false,
            slowdowns: 0,
            ceiling: 1.0,
            is_down: false,
            fell_unanswered: false,
            has_reports: false,
        }
    }

    fn record(&mut self, calls: f64, bad_calls: f64) {
        self.calls += calls;
        self.bad_calls += bad_calls;
    }

    fn step(&mut self, part: f64, at: Instant) {
        self.part = part.max(MIN_PART);
        self.step_at = self.step_at.max(at);
        (self.calls, self.bad_calls) = (0.0, 0.0);
    }

    fn fall(&mut self, at: Instant) {
        // Growth that no answer confirmed shows no pace at which the leaf fell over.
        if std::mem::take(&mut self.has_grown) {
            self.slowdowns = (self.slowdowns + 1).min(MAX_SLOWDOWNS);
            self.ceiling = self.part;
        }
        self.is_down = std::mem::replace(&mut self.fell_unanswered, true);
        self.step(self.part / 2.0, at);
    }

    /// Takes the step that is due, if there is one.
    fn take_step(&mut self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.step_at);
        let is_below = self.part < self.ceiling && self.ceiling <= self.part * 2.0;
        let caution = if self.slowdowns > 0 && is_below { CEILING_CAUTION } else { 1 };
        let evidence_time = EVIDENCE_TIME * (caution << self.slowdowns);
        let is_shared = u32::from(self.is_down && self.has_reports);
        let quiet_time = QUIET_TIME * ((caution + is_shared) << self.slowdowns);
        let keeps_up = self.bad_calls <= self.calls * KEEPING_UP_SHARE;
        if age < evidence_time {
            return false;
        }
        if self.bad_calls >= 1.0 && self.bad_calls >= self.calls * FALLING_BEHIND_SHARE {
            self.fall(now);
        } else if self.is_down && keeps_up && self.calls > 0.0 {
            // The part fell because the leaf was down, not because it was too large.
            self.has_grown = true;
            (self.is_down, self.fell_unanswered) = (false, false);
            self.step(self.part.max(self.first_part) * 2.0, now);
        } else if keeps_up && self.calls >= ENOUGH_CALLS {
            self.has_grown = true;
            self.fell_unanswered = false;
            self.step(self.part * 2.0, now);
        } else if keeps_up && age >= quiet_time {
            self.has_grown |= self.calls > 0.0;
            self.step(self.part * 2.0, self.step_at + quiet_time);
        } else if age >= quiet_time * 2 {
            self.step(self.part, now);
        } else {
            return false;
        }
        true
    }
}

/// The pace of one leaf on one host.
#[derive(Clone, Debug, Default)]
pub struct LeafPace {
    /// Hash of host and leaf.
    seed: u64,
    ramp: Option<Ramp>,
    /// Number of times that the leaf returned again soon after it was back.
    flaps: u32,
    back_at: Option<Instant>,
    /// Whether the leaf got its full share back since this was last asked.
    has_recovered: bool,
    /// Calls for which the leaf was the best, since it is returning.
    choices: u64,
    held_back: u64,
    /// Calls and failures in the latest report.
    last_report: (u8, u8),
    /// Part and time of the latest reported change.
    reported: Option<(f64, Instant)>,
}

impl LeafPace {
    /// Creates the pace of a leaf with a full share, on the host `own`.
    pub fn new(own: &HostName, leaf: LeafHash) -> Self {
        let seed = xxh3_64_with_seed(own.as_str().as_bytes(), leaf.0);
        Self { seed, ..Self::default() }
    }

    /// Records that the leaf returns at `at`, which may be later than `now`. If it was returning
    /// already, its part is halved.
    pub fn start_return(&mut self, cause: ReturnCause, at: Instant, now: Instant) {
        self.advance(now);
        match &mut self.ramp {
            // The calls in flight when a leaf is lost all end at about the same time.
            Some(ramp) if now < ramp.step_at + EVIDENCE_TIME => ramp.step_at = ramp.step_at.max(at),
            Some(ramp) => ramp.fall(at),
            None => self.start_ramp(cause, START_PART, at),
        }
    }

    fn start_ramp(&mut self, cause: ReturnCause, part: f64, at: Instant) {
        let is_flapping =
            self.back_at.is_some_and(|back| at.saturating_duration_since(back) < FLAP_TIME);
        self.flaps = if is_flapping { (self.flaps + 1).min(MAX_FLAPS) } else { 0 };
        let part = part / f64::from(1 << self.flaps);
        self.ramp = Some(Ramp::new(cause, part.max(MIN_PART), at));
        self.seed = self.seed.rotate_left(17);
        self.choices = 0;
        self.has_recovered = false;
    }

    /// Gives the leaf its full share, as observations of a time in which this host reached no leaf
    /// say nothing about the leaf.
    pub fn forget(&mut self) {
        self.ramp = None;
    }

    /// Records how a call of this host ended.
    pub fn record_call(&mut self, quality: CallQuality, now: Instant) {
        if let Some(ramp) = &mut self.ramp {
            ramp.record(1.0, quality.badness());
        }
        self.advance(now);
    }

    /// Records a report of the zone's hosts. `usual` is the median latency of the leaf's
    /// neighbours, absent if none is known.
    pub fn record_report(&mut self, summary: &LeafSummary, usual: Option<Duration>, now: Instant) {
        let latest = (summary.calls, summary.failures);
        let (calls_before, failures_before) = std::mem::replace(&mut self.last_report, latest);
        self.advance(now);
        let (calls, failures) = (f64::from(summary.calls), f64::from(summary.failures));
        let is_slow = summary
            .median
            .is_some_and(|median| CallQuality::of_answer(median, usual) == CallQuality::Slow);
        // The calls of a report may be older than the latest step. The newest ones were answered if
        // calls were added and failures were not.
        let recovers = match summary.failures.cmp(&failures_before) {
            Ordering::Less => summary.calls >= calls_before,
            Ordering::Equal => summary.calls > calls_before,
            Ordering::Greater => false,
        };
        let fails = failures >= calls * FALLING_BEHIND_SHARE && !recovers;
        let is_fresh = |at: Instant| now.checked_sub(summary.age).is_some_and(|seen| seen > at);
        match &mut self.ramp {
            Some(ramp) if is_fresh(ramp.step_at) => {
                ramp.has_reports = true;
                let bad_share = match () {
                    () if fails => CallQuality::Failed.badness(),
                    () if is_slow => CallQuality::Slow.badness(),
                    () if recovers || failures <= calls * KEEPING_UP_SHARE => 0.0,
                    () => MIXED_SHARE,
                };
                ramp.record(REPORT_CALLS, REPORT_CALLS * bad_share);
            }
            Some(_) => {}
            None if fails && summary.calls >= MIN_REPORTED_CALLS => {
                let is_down = failures >= calls * DOWN_SHARE;
                let part = if is_down { START_PART } else { REDUCED_PART };
                self.start_ramp(ReturnCause::Failing, part, now);
            }
            None => {}
        }
        self.advance(now);
    }

    /// Takes the steps that are due.
    pub fn advance(&mut self, now: Instant) {
        while let Some(ramp) = &mut self.ramp
            && ramp.take_step(now)
        {
            if ramp.part >= 1.0 {
                self.back_at = Some(ramp.step_at);
                self.has_recovered = true;
                self.ramp = None;
            }
        }
    }

    /// Returns whether the leaf has got its full share back since the last call of this function.
    pub fn take_recovery(&mut self) -> bool {
        std::mem::take(&mut self.has_recovered)
    }

    /// Returns whether the leaf is returning.
    pub fn is_returning(&self) -> bool {
        self.ramp.is_some()
    }

    /// Returns the part of its full share that the leaf gets, above 0 and at most 1.
    pub fn part(&self) -> f64 {
        self.ramp.map_or(1.0, |ramp| ramp.part)
    }

    /// Returns whether the leaf gets the next call for which it is the best.
    pub fn admits(&self) -> bool {
        self.position() < self.part()
    }

    /// Returns whether this host is among the first that call the leaf, and may open a connection
    /// in advance.
    pub fn may_connect(&self) -> bool {
        self.offset() < self.part()
    }

    /// Records that the leaf was the best for a call, and whether the call was held back from it.
    pub fn record_choice(&mut self, is_held_back: bool) {
        self.choices += 1;
        self.held_back += u64::from(is_held_back);
    }

    /// Returns the number of calls that were held back from the leaf since the last time.
    pub fn take_held_back(&mut self) -> u64 {
        std::mem::take(&mut self.held_back)
    }

    /// Returns the change to report, at most one fall a second.
    pub fn take_change(&mut self, now: Instant) -> Option<PaceChange> {
        match (self.ramp, self.reported) {
            (None, None) => None,
            (None, Some(_)) => {
                self.reported = None;
                Some(PaceChange::Full)
            }
            (Some(ramp), None) => {
                self.reported = Some((ramp.part, now));
                Some(PaceChange::Returning(ramp.cause))
            }
            (Some(ramp), Some((part, at))) => {
                let is_due = now.saturating_duration_since(at) >= REPORT_INTERVAL;
                let has_fallen = ramp.part < part && is_due;
                // What is reported is the fall from the largest part since the last report.
                if has_fallen || ramp.part > part {
                    let at = if has_fallen { now } else { at };
                    self.reported = Some((ramp.part, at));
                }
                has_fallen.then_some(PaceChange::Fallen)
            }
        }
    }

    fn offset(&self) -> f64 {
        self.seed as f64 / u64::MAX as f64
    }

    fn position(&self) -> f64 {
        (self.offset() + self.choices as f64 * GOLDEN_PART).fract()
    }
}
