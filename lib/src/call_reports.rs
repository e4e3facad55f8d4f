//! Outcomes of leaf calls, aggregated over the hosts of a zone.
//!
//! In a large fleet each host makes about one call a second to a leaf and would need seconds to
//! detect that the leaf has become slow or fails; all hosts of a zone together need a few tenths of
//! a second. Each host sends a report of each call to one host of its zone and gets back a summary
//! of the reports of all hosts. Invariant: a summary covers the last few calls to a leaf, and its
//! age is the time since the latest report on the leaf was received.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMicroSeconds;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::ids::LeafHash;

/// Maximum number of reports queued for sending. A small host makes about 60 calls a second and
/// sends every 0.4 s, so the reports fit even if several exchanges are late.
const MAX_QUEUED: usize = 512;
/// Number of calls to one leaf that a summary covers: enough that one failure or pause does not
/// determine the result, and few enough that a zone of a dozen hosts makes them within half a
/// second.
const SUMMARY_CALLS: usize = 7;
/// Age of a leaf's latest report after which the leaf is left out of summaries.
const MAX_AGE: Duration = Duration::from_secs(2);
/// Time for which a leaf that closed a new connection counts as crowded. It spans a few exchanges,
/// so that all hosts of the zone receive a summary with `is_crowded` set.
const CROWDED_TIME: Duration = Duration::from_millis(1_500);
/// Maximum number of leafs for which reports are kept. A deployment of the intended size has some
/// 1,000 shards of 3 leafs.
const MAX_LEAFS: usize = 4_096;

/// Report of one call to a leaf, or of one failed attempt to connect to it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallReport {
    /// Hash that identifies the leaf on all hosts.
    pub leaf: LeafHash,
    /// Outcome of the call.
    pub seen: CallOutcome,
}

/// Outcome of a reported call.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallOutcome {
    /// The leaf answered after this time, network included; in microseconds on the wire.
    Answered(#[serde_as(as = "DurationMicroSeconds<u64>")] Duration),
    /// The leaf failed or refused the call.
    Failed,
    /// The leaf closed a new connection, as a leaf does at its connection limit.
    Crowded,
}

/// Bounded queue of this host's reports until they are sent. Drops the oldest report when full.
#[derive(Debug, Default)]
pub struct CallReportQueue {
    queued: VecDeque<CallReport>,
}

impl CallReportQueue {
    /// Appends a report.
    pub fn add(&mut self, report: CallReport) {
        if self.queued.len() == MAX_QUEUED {
            self.queued.pop_front();
        }
        self.queued.push_back(report);
    }

    /// Removes all reports and returns them, oldest first.
    pub fn drain_all(&mut self) -> Vec<CallReport> {
        self.queued.drain(..).collect()
    }
}

/// Summary of the latest calls of a zone's hosts to one leaf.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeafSummary {
    /// Hash that identifies the leaf on all hosts.
    pub leaf: LeafHash,
    /// Number of calls covered.
    pub calls: u8,
    /// Number of these calls that failed or were refused.
    pub failures: u8,
    /// Median latency of the answered calls, network included; absent if none was answered.
    #[serde_as(as = "Option<DurationMicroSeconds<u64>>")]
    pub median: Option<Duration>,
    /// Time since the aggregator received the last report on the leaf.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// Whether the leaf has recently closed a new connection.
    pub is_crowded: bool,
}

/// Latest calls to one leaf: the latency of each, absent for a failed one.
#[derive(Clone, Debug)]
struct RecentCalls {
    calls: VecDeque<Option<Duration>>,
    updated_at: Instant,
    crowded_at: Option<Instant>,
}

impl RecentCalls {
    fn summary(&self, leaf: LeafHash, now: Instant) -> LeafSummary {
        let mut times: Vec<_> = self.calls.iter().flatten().copied().collect();
        times.sort_unstable();
        LeafSummary {
            leaf,
            calls: self.calls.len() as u8,
            failures: (self.calls.len() - times.len()) as u8,
            median: times.get(times.len().saturating_sub(1) / 2).copied(),
            age: now.saturating_duration_since(self.updated_at),
            is_crowded: self
                .crowded_at
                .is_some_and(|at| now.saturating_duration_since(at) <= CROWDED_TIME),
        }
    }
}

/// Latest reports per leaf from all hosts that send theirs to this one.
#[derive(Debug, Default)]
pub struct CallReportAggregator {
    leafs: HashMap<LeafHash, RecentCalls>,
}

impl CallReportAggregator {
    /// Records the reports of one host. Reports on further leafs are ignored once the maximum
    /// number of leafs is reached.
    pub fn record_reports(&mut self, reports: impl IntoIterator<Item = CallReport>, now: Instant) {
        for CallReport { leaf, seen } in reports {
            if self.leafs.len() >= MAX_LEAFS && !self.leafs.contains_key(&leaf) {
                continue;
            }
            let new = || RecentCalls { calls: VecDeque::new(), updated_at: now, crowded_at: None };
            let recent = self.leafs.entry(leaf).or_insert_with(new);
            let took = match seen {
                CallOutcome::Answered(took) => Some(took),
                CallOutcome::Failed => None,
                CallOutcome::Crowded => {
                    recent.crowded_at = Some(now);
                    recent.updated_at = now;
                    continue;
                }
            };
            if recent.calls.len() == SUMMARY_CALLS {
                recent.calls.pop_front();
            }
            recent.calls.push_back(took);
            recent.updated_at = now;
        }
    }

    /// Returns a summary for each leaf with recent reports, and drops the reports on all others.
    pub fn summaries(&mut self, now: Instant) -> Vec<LeafSummary> {
        self.leafs.retain(|_, recent| now.saturating_duration_since(recent.updated_at) <= MAX_AGE);
        self.leafs.iter().map(|(&leaf, recent)| recent.summary(leaf, now)).collect()
    }
}
