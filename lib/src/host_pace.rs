//! How long this host takes to send the calls of a gathered query.
//!
//! Load: the machine of a host has become so slow that it cannot send and read the calls of a query
//! over many shards before the deadline, while other hosts can. Each further query that it accepts
//! also delays those in progress.

use std::time::Duration;
use std::time::Instant;

/// Smallest number of calls that are sent together from which the pace is measured. With fewer, the
/// delay of other work dominates.
const MIN_CALLS: usize = 8;
/// Time after which an observed pace has lost its effect, so that a host that has recovered is used
/// again.
const MEMORY: Duration = Duration::from_secs(3);
/// Weight of the last query; the rest is left to those before it.
const LAST_WEIGHT: f64 = 0.5;

/// Time that this host needs for each call of a gathered query, measured over its last queries.
#[derive(Clone, Copy, Debug, Default)]
pub struct HostPace {
    per_call: Duration,
    measured_at: Option<Instant>,
}

impl HostPace {
    /// Records how long after their query's start its first calls began to run, in any order.
    pub fn record(&mut self, mut delays: Vec<Duration>, now: Instant) {
        let calls = delays.len();
        if calls < MIN_CALLS {
            return;
        }
        // The median is not affected by the calls that wait for a slot of a slow leaf.
        let (_, median, _) = delays.select_nth_unstable(calls / 2);
        let sample = median.mul_f64(2.0 / calls as f64);
        let before = self.per_call(now);
        self.per_call = before.mul_f64(1.0 - LAST_WEIGHT) + sample.mul_f64(LAST_WEIGHT);
        self.measured_at = Some(now);
    }

    /// Returns the expected time to send `calls` calls and to read their replies.
    pub fn expected_time(&self, calls: usize, now: Instant) -> Duration {
        if calls < MIN_CALLS {
            return Duration::ZERO;
        }
        self.per_call(now).saturating_mul(2 * calls as u32)
    }

    fn per_call(&self, now: Instant) -> Duration {
        let age = self.measured_at.map_or(MEMORY, |at| now.saturating_duration_since(at));
        let left = 1.0 - age.as_secs_f64() / MEMORY.as_secs_f64();
        self.per_call.mul_f64(left.max(0.0))
    }
}
