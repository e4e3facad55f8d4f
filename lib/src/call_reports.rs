//! What the hosts of a zone see of the leafs, gathered by one of them for all.
//!
//! In a large fleet each host makes about one call a second to a leaf and would need seconds to
//! notice that the leaf has become slow or fails; all hosts of a zone together need a few tenths.
//! Each host sends its sightings to one host of its zone and gets back a summary of everybody's.
//! Invariant: a summary covers the last few calls to a leaf and is never older than it says.

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

/// The most sightings that wait to be sent; a small host makes about 60 calls a second and sends
/// every 0.4 s, so that this covers several failed exchanges.
const MAX_WAITING: usize = 512;
/// Calls to one leaf that a summary covers: enough that one failure or pause does not decide it, and
/// seen by a zone of a dozen hosts within half a second.
const SUMMARY_CALLS: usize = 7;
/// Age from which a sighting is left out of summaries.
const MAX_AGE: Duration = Duration::from_secs(2);
/// Time for which a leaf that closed a new connection counts as crowded: a few exchanges, so that all
/// hosts of the zone hear of it.
const CROWDED_TIME: Duration = Duration::from_millis(1_500);
/// The most leafs that are remembered; a deployment of the design's size has some 1,000 shards of 3.
const MAX_LEAFS: usize = 4_096;

/// How one call to a leaf went.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallReport {
    /// The leaf.
    pub leaf: LeafHash,
    /// What it did.
    pub seen: CallOutcome,
}

/// What a leaf did.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallOutcome {
    /// It answered after this time, the way included.
    Answered(#[serde_as(as = "DurationMicroSeconds<u64>")] Duration),
    /// It failed or refused the call.
    Failed,
    /// It closed a new connection, as one does that has too many.
    Crowded,
}

/// Sightings of this host that wait to be sent. Drops the oldest when it is full.
#[derive(Debug, Default)]
pub struct CallReportQueue {
    waiting: VecDeque<CallReport>,
}

impl CallReportQueue {
    /// Adds a sighting.
    pub fn add(&mut self, sighting: CallReport) {
        if self.waiting.len() == MAX_WAITING {
            self.waiting.pop_front();
        }
        self.waiting.push_back(sighting);
    }

    /// Takes all sightings out.
    pub fn take(&mut self) -> Vec<CallReport> {
        self.waiting.drain(..).collect()
    }
}

/// The last calls of a zone's hosts to one leaf.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeafSummary {
    /// The leaf.
    pub leaf: LeafHash,
    /// Calls that are covered.
    pub calls: u8,
    /// How many of them failed.
    pub failures: u8,
    /// Median time of those that were answered; nothing if none was.
    #[serde_as(as = "Option<DurationMicroSeconds<u64>>")]
    pub median: Option<Duration>,
    /// Time since the last of them was heard of.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// Whether it closed new connections lately.
    pub is_crowded: bool,
}

#[derive(Clone, Debug)]
struct Recent {
    calls: VecDeque<Option<Duration>>,
    heard_at: Instant,
    crowded_at: Option<Instant>,
}

impl Recent {
    fn summary(&self, leaf: LeafHash, now: Instant) -> LeafSummary {
        let mut times: Vec<_> = self.calls.iter().flatten().copied().collect();
        times.sort_unstable();
        LeafSummary {
            leaf,
            calls: self.calls.len() as u8,
            failures: (self.calls.len() - times.len()) as u8,
            median: times.get(times.len().saturating_sub(1) / 2).copied(),
            age: now.saturating_duration_since(self.heard_at),
            is_crowded: self
                .crowded_at
                .is_some_and(|at| now.saturating_duration_since(at) <= CROWDED_TIME),
        }
    }
}

/// Sightings of all hosts that send theirs here.
#[derive(Debug, Default)]
pub struct CallReportAggregator {
    leafs: HashMap<LeafHash, Recent>,
}

impl CallReportAggregator {
    /// Takes in sightings of one host.
    pub fn hear(&mut self, sightings: impl IntoIterator<Item = CallReport>, now: Instant) {
        for CallReport { leaf, seen } in sightings {
            if self.leafs.len() >= MAX_LEAFS && !self.leafs.contains_key(&leaf) {
                continue;
            }
            let new = || Recent { calls: VecDeque::new(), heard_at: now, crowded_at: None };
            let recent = self.leafs.entry(leaf).or_insert_with(new);
            let took = match seen {
                CallOutcome::Answered(took) => Some(took),
                CallOutcome::Failed => None,
                CallOutcome::Crowded => {
                    recent.crowded_at = Some(now);
                    recent.heard_at = now;
                    continue;
                }
            };
            if recent.calls.len() == SUMMARY_CALLS {
                recent.calls.pop_front();
            }
            recent.calls.push_back(took);
            recent.heard_at = now;
        }
    }

    /// Summarises what was heard lately, and forgets the rest.
    pub fn summaries(&mut self, now: Instant) -> Vec<LeafSummary> {
        self.leafs.retain(|_, recent| now.saturating_duration_since(recent.heard_at) <= MAX_AGE);
        self.leafs.iter().map(|(&leaf, recent)| recent.summary(leaf, now)).collect()
    }
}
