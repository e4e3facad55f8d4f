//! What a leaf has said itself about taking further calls: that it is leaving, or that it wants none
//! for some time.
//!
//! Invariants: a leaf that said that it is leaving takes no calls until it starts again, whatever
//! is published about it; a named time is never shortened by a later one.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use thiserror::Error;

/// Longest time for which a leaf is left alone, so that sums of times cannot overflow.
const MAX_PAUSE: Duration = Duration::from_secs(24 * 3_600);

/// Error for a number that is no time to leave a leaf alone.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
#[error("{0} is no time; allowed are finite numbers of seconds from 0")]
pub struct NotATime(pub f64);

/// Result of checking a time.
pub type Result<T> = std::result::Result<T, NotATime>;

/// Time for which a leaf wants no calls of this host; at most a day.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Pause(Duration);

impl Pause {
    /// Returns the time as a duration.
    pub fn duration(self) -> Duration {
        self.0
    }
}

impl From<Duration> for Pause {
    fn from(time: Duration) -> Self {
        Self(time.min(MAX_PAUSE))
    }
}

impl TryFrom<f64> for Pause {
    type Error = NotATime;

    fn try_from(seconds: f64) -> Result<Self> {
        if !seconds.is_finite() || seconds < 0.0 {
            return Err(NotATime(seconds));
        }
        Ok(Self(Duration::from_secs_f64(seconds.min(MAX_PAUSE.as_secs_f64()))))
    }
}

/// What a reply says about the time for which its leaf wants no calls of this host.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum NamedPause {
    /// The leaf names no time.
    #[default]
    Absent,
    /// The leaf wants no calls for this time.
    For(Pause),
    /// The leaf names a time that cannot be read; the text is what it names.
    Unreadable(String),
}

/// What a reply says about taking further calls.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LeafNotice {
    /// Whether the leaf says that it is leaving.
    pub is_leaving: bool,
    /// The time for which the leaf wants no calls.
    pub pause: NamedPause,
}

impl LeafNotice {
    /// Returns whether the leaf names a time for which it wants no calls.
    pub fn names_pause(&self) -> bool {
        matches!(self.pause, NamedPause::For(_))
    }
}

/// A change of a leaf's notices that is worth a line of the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum NoticeChange {
    /// The leaf said for the first time that it is leaving.
    Leaving,
    /// The leaf wants no calls for this time, which ends later than any that it named before.
    Paused(Pause),
    /// The leaf names a time that cannot be read, after none or a readable one.
    Unreadable(String),
}

/// Whether a leaf takes calls, by its own word.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// The leaf takes calls.
    Open,
    /// The leaf takes calls after this time.
    Paused(Duration),
    /// The leaf takes no calls until it starts again.
    Leaving,
}

/// The notices of one start of a leaf.
#[derive(Clone, Debug, Default)]
pub struct LeafNotices {
    is_leaving: bool,
    paused_until: Option<Instant>,
    reported_unreadable: bool,
}

impl LeafNotices {
    /// Records what a reply that arrived at `now` says. Returns the changes to report.
    pub fn record(&mut self, notice: &LeafNotice, now: Instant) -> Vec<NoticeChange> {
        let mut changes = Vec::new();
        if notice.is_leaving && !std::mem::replace(&mut self.is_leaving, true) {
            changes.push(NoticeChange::Leaving);
        }
        changes.extend(self.record_pause(&notice.pause, now));
        changes
    }

    fn record_pause(&mut self, pause: &NamedPause, now: Instant) -> Option<NoticeChange> {
        match pause {
            NamedPause::Absent => None,
            NamedPause::Unreadable(text) => {
                let was_reported = std::mem::replace(&mut self.reported_unreadable, true);
                (!was_reported).then(|| NoticeChange::Unreadable(text.clone()))
            }
            NamedPause::For(pause) => {
                self.reported_unreadable = false;
                let until = now + pause.duration();
                if self.paused_until.is_some_and(|paused_until| paused_until >= until) {
                    return None;
                }
                self.paused_until = Some(until);
                Some(NoticeChange::Paused(*pause))
            }
        }
    }

    /// Returns whether the leaf takes calls.
    pub fn standing(&self, now: Instant) -> Standing {
        if self.is_leaving {
            return Standing::Leaving;
        }
        match self.paused_until {
            Some(until) if now < until => Standing::Paused(until - now),
            _ => Standing::Open,
        }
    }
}

/// The notices of one start of a leaf, shared by all records of it. They outlast the leaf's entry,
/// which may lapse and be published again.
#[derive(Clone, Debug, Default)]
pub struct SharedNotices(Arc<Mutex<LeafNotices>>);

impl SharedNotices {
    /// Locks and returns the notices. This lock comes after that of the leaf's state.
    pub fn lock(&self) -> MutexGuard<'_, LeafNotices> {
        self.0.lock().unwrap()
    }

    /// Returns whether the leaf takes calls.
    pub fn standing(&self, now: Instant) -> Standing {
        self.lock().standing(now)
    }
}
