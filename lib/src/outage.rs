//! Detection of outages of the platform, the grace period for leafs after an outage, and the moment up
//! to which everything that was published is known.
//!
//! While the platform is unreachable, leafs cannot renew their entries, and these expire. Their
//! removal after an outage therefore does not mean that the leafs have stopped.

use std::time::Duration;
use std::time::Instant;

use crate::leaf_directory::EXPIRY_GRACE;

/// Shortest series of failures that counts as an outage and is followed by a grace period.
const MIN_OUTAGE: Duration = Duration::from_secs(1);

/// Change of the platform's reachability through a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Transition {
    /// The platform is reachable or unreachable as before.
    Unchanged,
    /// The call is the first one that failed.
    BecameUnreachable,
    /// The call is the first one answered, this long after the first failed one was made.
    BecameReachable(Duration),
}

/// Reachability of the platform from this process.
#[derive(Clone, Copy, Debug)]
pub struct OutageTracker {
    last_answer_at: Instant,
    confirmed_at: Option<Instant>,
    failing_since: Option<Instant>,
    grace_until: Option<Instant>,
}

impl OutageTracker {
    /// Creates a tracker that counts the platform as reachable at `now`.
    pub fn new(now: Instant) -> Self {
        Self { last_answer_at: now, confirmed_at: None, failing_since: None, grace_until: None }
    }

    /// Records that the platform answered at `now`.
    pub fn record_answer(&mut self, now: Instant) -> Transition {
        self.last_answer_at = now;
        let Some(since) = self.failing_since.take() else { return Transition::Unchanged };
        let duration = now.saturating_duration_since(since);
        if duration >= MIN_OUTAGE {
            self.grace_until = Some(now + EXPIRY_GRACE);
        }
        Transition::BecameReachable(duration)
    }

    /// Records that a call made at `requested_at` failed.
    pub fn record_failure(&mut self, requested_at: Instant) -> Transition {
        match self.failing_since {
            Some(_) => Transition::Unchanged,
            None => {
                self.failing_since = Some(requested_at);
                Transition::BecameUnreachable
            }
        }
    }

    /// Records that everything is known that was published until `at`. An earlier moment than the
    /// known one has no effect.
    pub fn record_confirmation(&mut self, at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Forgets up to when everything is known, after a pause of the process.
    pub fn forget_confirmation(&mut self) {
        self.confirmed_at = None;
    }

    /// Returns the moment up to which everything that was published is known; nothing if there is
    /// none.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// Returns the time since [`Self::confirmed_at`].
    pub fn confirmation_age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_duration_since(at))
    }

    /// Returns whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Returns the time since the last answer, or since the start of the process.
    pub fn time_since_answer(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_answer_at)
    }

    /// Returns the time until which leafs whose entries expired during an outage stay usable.
    /// Returns nothing outside of outages and their grace periods, when a removal takes effect at
    /// once.
    pub fn grace_until(&self, now: Instant) -> Option<Instant> {
        if self.is_failing() {
            return Some(now + EXPIRY_GRACE);
        }
        self.grace_until.filter(|&until| now < until)
    }
}
