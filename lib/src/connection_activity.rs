//! Timeouts of a caller's connection: while it is idle, and while it sends the head of a request.

use std::time::Duration;
use std::time::Instant;

use crate::opaque_catalogue::CallerLimits;

/// Shortest interval between two checks of a connection.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which an idle connection stays open after its last answer while the process shuts down,
/// so that a request in transit is still read.
const LEAVING_IDLE_TIME: Duration = Duration::from_millis(300);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Idle,
    ReadingHead,
    Busy,
}

/// Current phase of a caller's connection, and the time at which it began.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionActivity {
    phase: Phase,
    since: Instant,
}

/// Decision on whether a connection stays open.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionAction {
    /// The connection stays open; check it again at this time.
    Keep(Instant),
    /// The connection is closed once it has no unfinished request or answer.
    Close,
    /// The connection is aborted, as its caller did not finish the head of a request in time.
    Abort,
}

impl ConnectionActivity {
    /// Creates the record of a connection that was accepted at `now` and is idle.
    pub fn new(now: Instant) -> Self {
        Self { phase: Phase::Idle, since: now }
    }

    /// Records that bytes were read. On an idle connection, they begin the head of a request.
    pub fn record_read(&mut self, now: Instant) {
        if self.phase == Phase::Idle {
            *self = Self { phase: Phase::ReadingHead, since: now };
        }
    }

    /// Records that the head of a request is complete.
    pub fn record_request(&mut self, now: Instant) {
        *self = Self { phase: Phase::Busy, since: now };
    }

    /// Records that a request was answered, which makes the connection idle.
    pub fn record_answer(&mut self, now: Instant) {
        *self = Self { phase: Phase::Idle, since: now };
    }

    /// Returns what to do with the connection at `now`. `closing` is set once a leaving process no
    /// longer waits for requests on idle connections.
    pub fn next_action(
        &self,
        limits: &CallerLimits,
        closing: bool,
        now: Instant,
    ) -> ConnectionAction {
        let (limit, on_timeout) = match self.phase {
            Phase::Idle if closing => (LEAVING_IDLE_TIME, ConnectionAction::Close),
            Phase::Idle => (limits.idle_time, ConnectionAction::Close),
            Phase::ReadingHead => (limits.head_time, ConnectionAction::Abort),
            Phase::Busy => return ConnectionAction::Keep(now + LEAVING_IDLE_TIME),
        };
        let times_out_at = self.since + limit;
        if now >= times_out_at {
            return on_timeout;
        }
        // Idle connections are checked at least every second, so that `closing` takes effect on
        // them too.
        let next_check = times_out_at.min(now + Duration::from_secs(1));
        ConnectionAction::Keep(next_check.max(now + MIN_CHECK_INTERVAL))
    }
}
