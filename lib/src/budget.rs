//! Budgets for extra leaf calls, as a share of first calls.

/// The most extra calls that a budget saves up.
const MAX_SAVED_CALLS: f64 = 100.0;
/// Extra calls that a new entry's budget may make before any first call.
const INITIAL_CALLS: f64 = 2.0;
/// Retries that a new leaf's failures may cause before any call to it ended well.
const INITIAL_LEAF_RETRIES: f64 = 20.0;

/// A budget that grows with first calls and shrinks with extra ones.
///
/// Invariant: over any stretch, extra calls are at most `share` of the first calls plus what was
/// saved up before, which is bounded.
#[derive(Clone, Debug)]
pub struct ExtraLoadBudget {
    saved: f64,
    first_calls: u64,
    extra_calls: u64,
}

impl Default for ExtraLoadBudget {
    fn default() -> Self {
        Self { saved: INITIAL_CALLS, first_calls: 0, extra_calls: 0 }
    }
}

impl ExtraLoadBudget {
    /// Makes the budget for the retries that one leaf's failures cause.
    pub fn for_leaf() -> Self {
        Self { saved: INITIAL_LEAF_RETRIES, ..Self::default() }
    }

    /// Adds the credit for first calls at the entry's share of extra load.
    pub fn deposit(&mut self, first_calls: usize, share: f64) {
        self.first_calls += first_calls as u64;
        self.saved = (self.saved + first_calls as f64 * share).min(MAX_SAVED_CALLS);
    }

    /// Takes the credit for one extra call, if there is enough.
    pub fn try_withdraw(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        self.extra_calls += 1;
        true
    }

    /// Returns the credit left, in calls.
    pub fn balance(&self) -> f64 {
        self.saved
    }

    /// Returns the first calls counted so far.
    pub fn first_calls(&self) -> u64 {
        self.first_calls
    }

    /// Returns the extra calls made so far.
    pub fn extra_calls(&self) -> u64 {
        self.extra_calls
    }
}
