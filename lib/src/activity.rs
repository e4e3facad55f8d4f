//! What a caller's connection is doing, and how long it may go on with it.

use std::time::Duration;
use std::time::Instant;

use crate::opaque_catalogue::CallerLimits;

/// Shortest pause between two looks at a connection.
const MIN_CHECK: Duration = Duration::from_millis(50);
/// Time for which an idle connection stays open after its last answer while the process leaves, so
/// that a request on its way is still read.
const LEAVING_IDLE_TIME: Duration = Duration::from_millis(300);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Idle,
    Head,
    Busy,
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug)]
pub struct Activity {
    phase: Phase,
    since: Instant,
}

/// What is to be done with a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionVerdict {
    /// It stays; look again at this time.
    Keep(Instant),
    /// It is closed as soon as nothing is read or owed on it.
    Close,
    /// It is cut: its caller does not finish the head of a request.
    Abort,
}

impl Activity {
    /// Starts with an idle connection.
    pub fn new(now: Instant) -> Self {
        Self { phase: Phase::Idle, since: now }
    }

    /// Records that bytes were read.
    pub fn read(&mut self, now: Instant) {
        if self.phase == Phase::Idle {
            *self = Self { phase: Phase::Head, since: now };
        }
    }

    /// Records that a request's head is complete.
    pub fn begin(&mut self, now: Instant) {
        *self = Self { phase: Phase::Busy, since: now };
    }

    /// Records that a request is answered.
    pub fn end(&mut self, now: Instant) {
        *self = Self { phase: Phase::Idle, since: now };
    }

    /// Decides what is to be done. `closing` is set once a leaving process no longer waits for
    /// requests on idle connections.
    pub fn verdict(&self, limits: &CallerLimits, closing: bool, now: Instant) -> ConnectionVerdict {
        let (limit, over) = match self.phase {
            Phase::Idle if closing => (LEAVING_IDLE_TIME, ConnectionVerdict::Close),
            Phase::Idle => (limits.idle_time, ConnectionVerdict::Close),
            Phase::Head => (limits.head_time, ConnectionVerdict::Abort),
            Phase::Busy => return ConnectionVerdict::Keep(now + LEAVING_IDLE_TIME),
        };
        let ends_at = self.since + limit;
        if now >= ends_at {
            return over;
        }
        // A process that begins to leave must notice it on idle connections too.
        let look_at = ends_at.min(now + Duration::from_secs(1));
        ConnectionVerdict::Keep(look_at.max(now + MIN_CHECK))
    }
}
