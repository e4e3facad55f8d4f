//! Time by which an answer must be sent to reach its caller within the entry's latency target.

use std::time::Duration;
use std::time::Instant;

/// Time from a caller's first packet until the arrival of its request, plus the way back of the
/// answer: four one-way trips of 3 ms (the time between hosts and callers that the platform's
/// documentation names), as a caller may open a connection first, and 2 ms for a small host to read
/// and write.
const CALLER_ROUND_TRIP_TIME: Duration = Duration::from_millis(14);

/// Returns the latest time to send the answer to a request that arrived at `arrived_at`. Callers
/// measure the latency target from their first packet, which this process does not see. The result
/// is never before the arrival.
pub fn latest_send_time(target: Duration, arrived_at: Instant) -> Instant {
    arrived_at + target.saturating_sub(CALLER_ROUND_TRIP_TIME)
}
