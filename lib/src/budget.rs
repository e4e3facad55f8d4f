//! Credit budgets for extra leaf calls (hedges and retries), as a share of first calls.

/// Largest credit that a budget accumulates, in calls.
const MAX_CREDIT_CALLS: f64 = 100.0;
/// Credit of a new entry's budget before any first call, in calls.
const INITIAL_ENTRY_CREDIT_CALLS: f64 = 2.0;
/// Credit of a new leaf's retry budget before any call to it succeeded, in calls.
const INITIAL_LEAF_CREDIT_CALLS: f64 = 20.0;

/// Credit that first calls deposit and extra calls withdraw.
///
/// Invariant: over any period, extra calls are at most `share` of the first calls plus the credit
/// accumulated before, which is bounded.
#[derive(Clone, Debug)]
pub struct ExtraLoadBudget {
    credit: f64,
    first_calls: u64,
    extra_calls: u64,
}

impl Default for ExtraLoadBudget {
    fn default() -> Self {
        Self { credit: INITIAL_ENTRY_CREDIT_CALLS, first_calls: 0, extra_calls: 0 }
    }
}

impl ExtraLoadBudget {
    /// Creates the budget for retries after failures of one leaf.
    pub fn for_leaf() -> Self {
        Self { credit: INITIAL_LEAF_CREDIT_CALLS, ..Self::default() }
    }

    /// Deposits credit for `first_calls`, each worth `share` (0 to 1) of an extra call. Credit
    /// above the cap is dropped.
    pub fn deposit(&mut self, first_calls: usize, share: f64) {
        self.first_calls += first_calls as u64;
        self.credit = (self.credit + first_calls as f64 * share).min(MAX_CREDIT_CALLS);
    }

    /// Withdraws the credit for one extra call. Returns `false`, and withdraws nothing, if less
    /// than one call is left.
    pub fn try_withdraw(&mut self) -> bool {
        if self.credit < 1.0 {
            return false;
        }
        self.credit -= 1.0;
        self.extra_calls += 1;
        true
    }

    /// Returns the remaining credit, in calls; fractions of a call accumulate.
    pub fn balance(&self) -> f64 {
        self.credit
    }

    /// Returns the number of first calls counted so far.
    pub fn first_calls(&self) -> u64 {
        self.first_calls
    }

    /// Returns the number of extra calls withdrawn so far.
    pub fn extra_calls(&self) -> u64 {
        self.extra_calls
    }
}
