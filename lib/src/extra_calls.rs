//! Interface between the query logic and the budgets for hedges and retries.

use std::sync::Arc;
use std::time::Instant;

use crate::leaf::Leaf;
use crate::plan::RetryCause;
use crate::tier::EntryState;

/// Credit of the extra-load budget that hedges leave for retries, in calls.
const RETRY_RESERVE_CALLS: f64 = 1.0;

/// Kind of an extra call, from the least to the most important one. Decides how much of the budget
/// it may use.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ExtraCallKind {
    /// Hedge of a slow call to a shard that the answer is useful without.
    OptionalHedge,
    /// Hedge of a slow call to a shard without which the answer is useless.
    Hedge,
    /// Call after a failed one, without which the shard is given up.
    Retry,
}

impl ExtraCallKind {
    /// All kinds, from the least to the most important one.
    pub const ALL: [Self; 3] = [Self::OptionalHedge, Self::Hedge, Self::Retry];
}

/// Admits leaf calls beyond the first one of each shard: hedges and retries.
pub trait ExtraCalls: Send {
    /// Counts a first call. The number of extra calls allowed is a share of the first calls.
    fn count_first_call(&mut self, leaf: &Leaf, now: Instant);

    /// Withdraws the budget for one hedge of a call to a slow leaf. Returns whether it is allowed.
    /// The hedge is decisive if the answer is useless without its shard.
    fn try_hedge(&mut self, slow: &Leaf, is_decisive: bool, now: Instant) -> bool;

    /// Withdraws the budget for one retry after a call that may have reached its leaf. Returns
    /// whether it is allowed.
    fn try_retry(&mut self, failed: &Leaf, cause: RetryCause, now: Instant) -> bool;
}

/// Extra calls of a catalogue entry, budgeted as a share of its first calls. Calls that a leaf
/// rejected are retried without a budget.
pub struct EntryBudget {
    /// The entry's state on this host, which holds its budget.
    pub entry_state: Arc<EntryState>,
    /// Extra calls allowed as a share of first calls, 0 to 1.
    pub share: f64,
}

impl ExtraCalls for EntryBudget {
    fn count_first_call(&mut self, _leaf: &Leaf, _now: Instant) {
        self.entry_state.extra_load.lock().unwrap().deposit(1, self.share);
    }

    fn try_hedge(&mut self, _slow: &Leaf, _is_decisive: bool, _now: Instant) -> bool {
        let mut extra_load = self.entry_state.extra_load.lock().unwrap();
        extra_load.balance() >= 1.0 + RETRY_RESERVE_CALLS && extra_load.try_withdraw()
    }

    fn try_retry(&mut self, _failed: &Leaf, cause: RetryCause, _now: Instant) -> bool {
        cause == RetryCause::Rejected || self.entry_state.extra_load.lock().unwrap().try_withdraw()
    }
}
