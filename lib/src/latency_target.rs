//! When an answer has to leave this process to reach its caller within the entry's latency goal.

use std::time::Duration;
use std::time::Instant;

/// Time between a caller's first step and the arrival of its request, and back again for the answer:
/// four trips of 3 ms (the way to callers that the platform's pages name), as a caller may open a
/// connection first, and 2 ms for a small host to read and write.
const CALLER_TIME: Duration = Duration::from_millis(14);

/// Returns when an answer must leave whose request arrived at `arrived`. Callers measure the goal
/// from their first step, which this process does not see.
pub fn latest_send_time(goal: Duration, arrived: Instant) -> Instant {
    arrived + goal.saturating_sub(CALLER_TIME)
}
