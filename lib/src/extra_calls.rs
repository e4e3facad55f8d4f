//! Border between the query logic and the budgets for hedges and retries.

use std::sync::Arc;
use std::time::Instant;

use crate::leaf::Leaf;
use crate::plan::RetryCause;
use crate::tier::EntryState;

/// Share of the extra-load budget's credit that hedges leave for retries, in calls.
const RETRY_RESERVE_CALLS: f64 = 1.0;

/// Allows calls beyond the first ones.
pub trait ExtraCalls: Send {
    /// Counts a first call, which extra calls are measured against.
    fn count_first_call(&mut self, leaf: &Leaf, now: Instant);

    /// Takes one hedge beside a call to a slow leaf. Without the shard of a decisive one, the answer
    /// is of no use.
    fn try_hedge(&mut self, slow: &Leaf, is_decisive: bool, now: Instant) -> bool;

    /// Takes one retry after a call that reached its leaf.
    fn try_retry(&mut self, failed: &Leaf, cause: RetryCause, now: Instant) -> bool;
}

/// The budget of a catalogue entry: a share of its first calls.
pub struct EntryBudget {
    /// The entry's tables.
    pub entry_state: Arc<EntryState>,
    /// The entry's share of extra load.
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
