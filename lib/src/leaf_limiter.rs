//! The rate limit that one leaf names, as this host knows it.

use std::time::Instant;

use crate::plan::Purpose;
use crate::rate_limit::NamedLimit;
use crate::rate_limit::RequestRate;

/// Relative difference from the last reported limit from which on a change is reported again.
const REPORTED_CHANGE: f64 = 0.1;

/// A change of the limit that is worth a line of the log.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitChange {
    /// The leaf names a limit for the first time, or one that differs much from the last reported.
    Named(RequestRate),
    /// The leaf no longer names a limit.
    Ended,
    /// The leaf names a limit that cannot be read; the one known before stays in force.
    Unreadable(String),
}

/// Numbers of calls that this host has sent to a leaf.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SentCalls {
    /// All calls.
    pub all: u64,
    /// Hedges and retries among them.
    pub repeated: u64,
}

/// The limit of one leaf and this host's calls to it.
#[derive(Clone, Debug, Default)]
pub struct LeafLimiter {
    limit: Option<RequestRate>,
    reported: Option<RequestRate>,
    reported_unreadable: bool,
    sent: SentCalls,
}

impl LeafLimiter {
    /// Records what a reply of the leaf that arrived at `now` says about the limit. Returns the
    /// change to report, if there is one.
    pub fn record_named(&mut self, named: &NamedLimit, _now: Instant) -> Option<LimitChange> {
        match named {
            NamedLimit::Absent => {
                self.limit = None;
                self.reported_unreadable = false;
                self.reported.take().map(|_| LimitChange::Ended)
            }
            NamedLimit::PerSecond(rate) => {
                self.limit = Some(*rate);
                self.reported_unreadable = false;
                self.is_news(*rate).then(|| {
                    self.reported = Some(*rate);
                    LimitChange::Named(*rate)
                })
            }
            NamedLimit::Unreadable(text) => {
                let was_reported = std::mem::replace(&mut self.reported_unreadable, true);
                (!was_reported).then(|| LimitChange::Unreadable(text.clone()))
            }
        }
    }

    fn is_news(&self, rate: RequestRate) -> bool {
        self.reported.is_none_or(|reported| {
            let (old, new) = (reported.per_second(), rate.per_second());
            (new - old).abs() > old * REPORTED_CHANGE
        })
    }

    /// Counts a call that is written to the leaf.
    pub fn record_sent(&mut self, purpose: Purpose) {
        self.sent.all += 1;
        self.sent.repeated += u64::from(purpose != Purpose::First);
    }

    /// Returns the limit in force, if the leaf names one.
    pub fn limit(&self) -> Option<RequestRate> {
        self.limit
    }

    /// Returns the numbers of calls sent so far.
    pub fn sent(&self) -> SentCalls {
        self.sent
    }
}
