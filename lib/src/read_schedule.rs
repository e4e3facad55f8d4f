//! Waits of the hosts that read the platform or follow a host that does, all derived from the time
//! within which a published change must be applied.
//!
//! A host is confirmed at a moment if it knew everything that was published by then: from an answer
//! of the platform, or from a host that was confirmed itself. With `bound` as the time allowed:
//!
//! - A watch is due `watch_time` after the last confirmation, and lost [`ANSWER_GRACE`] later.
//! - A host follows another one until `follow_time` after its own last confirmation, which includes
//!   all polls and their time-outs. From then on it asks the platform.
//! - [`READ_TIME`] is left for that question, for the answer and for applying it.
//!
//! Invariant: `watch_time + ANSWER_GRACE <= follow_time` and `follow_time + READ_TIME <= bound`.

use std::time::Duration;

use thiserror::Error;

/// Time after the end of its wait within which a watch must be answered.
pub const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// Time in which a host in touch reads a change from the platform and applies it, after it has found
/// that it may lack one.
pub const READ_TIME: Duration = Duration::from_millis(500);
/// Longest time for which a watch waits for changes.
const MAX_WATCH_TIME: Duration = Duration::from_secs(4);
/// Shortest time for which a watch of a host that is confirmed waits.
const MIN_WATCH_TIME: Duration = Duration::from_millis(500);
/// Longest time for which a reader may hold the poll of another host, after which a reader that no
/// longer runs is noticed.
pub const MAX_POLL_WAIT: Duration = Duration::from_millis(1_200);
/// Time after its wait within which a poll must be answered.
const POLL_GRACE: Duration = Duration::from_millis(400);
/// Part of [`POLL_GRACE`] that is kept if little time is left.
const MIN_POLL_GRACE: Duration = Duration::from_millis(150);
/// Shortest time for which a reader is polled.
const MIN_POLL_TIME: Duration = Duration::from_millis(300);
/// How much later than the requester a reader must be confirmed to end a poll.
const NEWER_BY: Duration = Duration::from_millis(100);

/// Error for a time within which no change can be applied with these waits.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("{0:?} is too short for changes to be read; allowed are times from {shortest:?}", shortest = ReadSchedule::SHORTEST_BOUND)]
pub struct BoundTooShort(pub Duration);

/// Result of checking a bound.
pub type Result<T> = std::result::Result<T, BoundTooShort>;

/// Time that a poll of a reader may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PollTimes {
    /// Time for which the reader may hold the poll.
    pub wait: Duration,
    /// Time after which a poll without an answer has failed.
    pub limit: Duration,
}

/// The waits that follow from the time within which a change must be applied.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ReadSchedule {
    bound: Duration,
}

impl ReadSchedule {
    /// Shortest time for which the waits can be derived.
    pub const SHORTEST_BOUND: Duration = Duration::from_millis(
        (MIN_WATCH_TIME.as_millis() + ANSWER_GRACE.as_millis() + READ_TIME.as_millis()) as u64,
    );

    /// Returns the time within which a change must be applied.
    pub fn bound(&self) -> Duration {
        self.bound
    }

    /// Returns the time after its last confirmation for which a host relies on others.
    pub fn follow_time(&self) -> Duration {
        self.bound - READ_TIME
    }

    /// Returns the time after its last confirmation at which a host that reads the platform expects
    /// the next one.
    pub fn watch_time(&self) -> Duration {
        (self.follow_time() - ANSWER_GRACE).min(MAX_WATCH_TIME)
    }

    /// Returns the time for which a watch may wait, zero if it must be answered at once. `age` is
    /// the time since the last confirmation; absent if there was none.
    pub fn watch_wait(&self, age: Option<Duration>) -> Duration {
        age.map_or(Duration::ZERO, |age| self.watch_time().saturating_sub(age))
    }

    /// Returns whether what a host knows that was confirmed `age` ago counts as fresh: its next
    /// confirmation is not overdue.
    pub fn is_fresh(&self, age: Option<Duration>) -> bool {
        !self.fresh_for(age).is_zero()
    }

    /// Returns for how long it still counts as fresh.
    pub fn fresh_for(&self, age: Option<Duration>) -> Duration {
        age.map_or(Duration::ZERO, |age| (self.watch_time() + ANSWER_GRACE).saturating_sub(age))
    }

    /// Returns how long a poll of a reader may take for a host that was confirmed `age` ago.
    /// Returns nothing if the host must ask the platform instead.
    pub fn poll_times(&self, age: Option<Duration>) -> Option<PollTimes> {
        let rest = self.follow_time().saturating_sub(age?);
        if rest < MIN_POLL_TIME {
            return None;
        }
        let wait = rest.saturating_sub(MIN_POLL_GRACE).min(MAX_POLL_WAIT);
        Some(PollTimes { wait, limit: rest.min(wait + POLL_GRACE) })
    }

    /// Returns whether a reader that was confirmed `own` ago ends the poll of a host that was
    /// confirmed `theirs` ago, although it has no changes for it: it can confirm the host anew, or
    /// it is not fresh itself. `theirs` is absent if the host does not ask for that.
    pub fn ends_poll(&self, own: Option<Duration>, theirs: Option<Duration>) -> bool {
        let is_newer = |own: Duration| theirs.is_some_and(|theirs| own + NEWER_BY < theirs);
        !self.is_fresh(own) || own.is_some_and(is_newer)
    }
}

impl TryFrom<Duration> for ReadSchedule {
    type Error = BoundTooShort;

    fn try_from(bound: Duration) -> Result<Self> {
        if bound < Self::SHORTEST_BOUND { Err(BoundTooShort(bound)) } else { Ok(Self { bound }) }
    }
}

impl Default for ReadSchedule {
    /// Returns the schedule for changes that must be applied within 3 s.
    fn default() -> Self {
        Self { bound: Duration::from_secs(3) }
    }
}
