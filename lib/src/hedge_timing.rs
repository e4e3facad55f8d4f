//! When a call that has not been answered is hedged.
//!
//! Answers the load in which many calls to leafs in other regions are on their way shortly before
//! the latency target: a hedge of a call that is not late yet is useless most of the time, and the
//! budget that it uses is then missing for the calls that are stuck.

use std::time::Duration;

use crate::latency::LatencyTracker;

/// Assumed median processing time of a call before enough calls were measured.
const DEFAULT_WORK: Duration = Duration::from_millis(8);
/// Assumed ratio of the late threshold to the median before enough calls were measured.
const DEFAULT_LATE_RATIO: f64 = 1.5;
/// Time reserved before the latency target for merging and for sending the answer.
const TARGET_MARGIN: Duration = Duration::from_millis(8);

/// Processing times of the leaf calls of an index, without the network round trip, as measured when
/// the query started.
#[derive(Clone, Copy, Debug)]
pub struct WorkTimes {
    /// Median processing time of a call.
    pub typical_work: Duration,
    /// Processing time above which a call counts as late; nine of ten calls take less.
    pub late_work: Duration,
    /// Processing time above which a call counts as slow. If absent, calls are hedged only to meet
    /// the latency target.
    pub slow_work: Option<Duration>,
}

impl WorkTimes {
    /// Returns the times that `latency` has measured so far. `slow_work` is the time above which a
    /// call counts as slow.
    pub fn measured(latency: &LatencyTracker, slow_work: Option<Duration>) -> Self {
        let typical_work = latency.median().unwrap_or(DEFAULT_WORK);
        let late_work =
            latency.late_threshold().unwrap_or_else(|| typical_work.mul_f64(DEFAULT_LATE_RATIO));
        Self { typical_work, late_work, slow_work }
    }
}

/// What is known of a call when it is decided when to hedge it.
#[derive(Clone, Copy, Debug)]
pub struct HedgeTiming {
    /// Processing times of the calls of its index.
    pub work_times: WorkTimes,
    /// Round trip to the called leaf.
    pub rtt: Duration,
    /// Time from the call until the answer of the query is due; absent if it has no target.
    pub until_target: Option<Duration>,
    /// Expected time until the reply of the leaf that would get the hedge; absent if there is none.
    pub alternative: Option<Duration>,
}

impl HedgeTiming {
    /// Returns the time from the write of the call until it is hedged, or nothing if it is not to be
    /// hedged. A call is hedged once it is slow, or late and the hedge would still be expected to
    /// answer before the target.
    pub fn delay(&self) -> Option<Duration> {
        let slow = self.work_times.slow_work.map(|work| work + self.rtt);
        match (slow, self.delay_for_target()) {
            (Some(slow), Some(for_target)) => Some(slow.min(for_target)),
            (slow, for_target) => slow.or(for_target),
        }
    }

    /// Returns the delay at which a hedge answers before the target even if it is slow itself, but
    /// not before the call is late. Returns nothing if a hedge of a late call is expected to answer
    /// after the target.
    fn delay_for_target(&self) -> Option<Duration> {
        let latest = self.until_target?.checked_sub(self.alternative? + TARGET_MARGIN)?;
        let late = self.rtt + self.work_times.late_work;
        let WorkTimes { typical_work, slow_work, .. } = self.work_times;
        let cautious = latest.saturating_sub(slow_work.unwrap_or(typical_work));
        (late <= latest).then(|| cautious.max(late))
    }
}
