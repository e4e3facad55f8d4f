//! Leafs that may get a call, while their ranking is computed.

use std::time::Duration;

use crate::ids::LeafKey;
use crate::placing::Place;
use crate::plan::Choice;

/// A leaf that may get a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    /// The leaf.
    pub(crate) leaf: LeafKey,
    /// Wait for a slot and median latency.
    pub(crate) wait: Duration,
    /// Expected time until the reply.
    pub(crate) time: Duration,
    /// `time` plus penalties.
    pub(crate) cost: Duration,
    /// `cost` without that of failures.
    pub(crate) warm_cost: Duration,
    /// Part of the penalties that stands for failures of the call.
    pub(crate) failure_cost: Duration,
    /// Whether the leaf is ejected, or is being probed after an ejection.
    pub(crate) ejected: bool,
    /// Whether this host's part of the leaf's rate limit, or of the bound on a cold leaf, is used
    /// up.
    pub(crate) held_back: bool,
    /// Whether the leaf returns.
    pub(crate) pace: Pace,
    /// Round trip to the leaf; zero in this host's zone.
    pub(crate) distance: Duration,
    /// How much of the load that the leaf stated last still holds.
    pub(crate) freshness: f64,
}

/// Whether a leaf returns, and if so, whether its part is used up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Pace {
    FullShare,
    WithinPart,
    BeyondPart,
}

impl Candidate {
    /// Returns the choice of this leaf.
    pub(crate) fn choice(self) -> Choice {
        Choice { leaf: self.leaf, wait: self.wait, cost: self.cost }
    }

    /// Returns what placing has to know of this leaf.
    pub(crate) fn place(self) -> Place {
        Place {
            choice: self.choice(),
            failure_cost: self.failure_cost,
            distance: self.distance,
            freshness: self.freshness,
        }
    }
}

/// The two candidates of the lowest cost and the number of all.
#[derive(Default)]
pub(crate) struct TopTwo {
    pub(crate) first: Option<Candidate>,
    pub(crate) second: Option<Candidate>,
    pub(crate) count: usize,
}

impl TopTwo {
    /// Adds a candidate.
    pub(crate) fn add(&mut self, candidate: Candidate) {
        self.count += 1;
        if self.first.is_none_or(|first| candidate.cost < first.cost) {
            self.second = self.first.replace(candidate);
        } else if self.second.is_none_or(|second| candidate.cost < second.cost) {
            self.second = Some(candidate);
        }
    }
}
