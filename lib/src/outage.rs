//! Whether the platform can be read, and what its silence means for what it said last.

use std::time::Duration;
use std::time::Instant;

use crate::leaf_directory::LAPSE_GRACE;

/// Time without an answer after which the platform counts as having been away.
const MIN_OUTAGE: Duration = Duration::from_secs(1);

/// What an answer or its failure changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Turn {
    /// Nothing.
    Same,
    /// The platform is silent from now on.
    Lost,
    /// The platform can be read again, after this time.
    Regained(Duration),
}

/// The platform's state as one reader sees it.
#[derive(Clone, Copy, Debug)]
pub struct OutageTracker {
    heard_at: Instant,
    failing_since: Option<Instant>,
    bridged_until: Option<Instant>,
}

impl OutageTracker {
    /// Starts when the process does.
    pub fn new(now: Instant) -> Self {
        Self { heard_at: now, failing_since: None, bridged_until: None }
    }

    /// Records an answer.
    pub fn heard(&mut self, now: Instant) -> Turn {
        self.heard_at = now;
        let Some(since) = self.failing_since.take() else { return Turn::Same };
        let away = now.saturating_duration_since(since);
        if away >= MIN_OUTAGE {
            self.bridged_until = Some(now + LAPSE_GRACE);
        }
        Turn::Regained(away)
    }

    /// Records that no answer came to a call that was made at `asked_at`.
    pub fn failed(&mut self, asked_at: Instant) -> Turn {
        match self.failing_since {
            Some(_) => Turn::Same,
            None => {
                self.failing_since = Some(asked_at);
                Turn::Lost
            }
        }
    }

    /// Whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Returns the time since the last answer.
    pub fn time_since_answer(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.heard_at)
    }

    /// Returns until when leafs that lapsed while the platform was away stay usable.
    pub fn bridged_until(&self, now: Instant) -> Option<Instant> {
        if self.is_failing() {
            return Some(now + LAPSE_GRACE);
        }
        self.bridged_until.filter(|&until| now < until)
    }
}
