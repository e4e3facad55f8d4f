//! The budget for extra calls that all queries of this host share.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use tokio::sync::Notify;

use crate::extra_calls::ExtraCallKind;
use crate::extra_calls::ExtraCalls;
use crate::fleet_budget::FleetBudget;
use crate::fleet_budget::FleetLimits;
use crate::ids::GroupKey;
use crate::leaf::Leaf;
use crate::pause_detector::SuspensionClock;
use crate::plan::RetryCause;

/// This host's budgets, with the clock by which they count.
#[derive(Debug)]
pub struct SharedFleetBudget {
    budget: Mutex<FleetBudget>,
    clock: SuspensionClock,
    /// Notified when this host should borrow calls.
    pub shortage: Notify,
}

impl SharedFleetBudget {
    /// Creates a budget as [`FleetBudget::new`] does, from now on.
    pub fn new(limits: FleetLimits, hosts: usize, rounding: f64) -> Self {
        let clock = SuspensionClock::new();
        let budget = Mutex::new(FleetBudget::new(limits, hosts, rounding, clock.now()));
        Self { budget, clock, shortage: Notify::new() }
    }

    /// Returns the present time of the budget's clock.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Calls `f` with the budget and the present time of its clock, which is read under the lock so
    /// that the times of successive calls never decrease.
    pub fn with<T>(&self, f: impl FnOnce(&mut FleetBudget, Instant) -> T) -> T {
        let mut budget = self.budget.lock().unwrap();
        f(&mut budget, self.clock.now())
    }
}

/// The part of a query in the budget of its host: it counts a call that the query tries to make
/// again and again as one.
pub struct QueryBudget {
    shared: Arc<SharedFleetBudget>,
    /// Groups to which the query waits to make a call, and the kind of the call.
    waiting: HashMap<GroupKey, ExtraCallKind>,
}

impl QueryBudget {
    /// Creates the part of a query that has made no extra calls.
    pub fn new(shared: Arc<SharedFleetBudget>) -> Self {
        Self { shared, waiting: HashMap::new() }
    }

    fn try_withdraw(&mut self, group: GroupKey, kind: ExtraCallKind) -> bool {
        let waiting = &mut self.waiting;
        let (is_allowed, is_short) = self.shared.with(|budget, now| {
            let is_allowed = budget.try_withdraw(group, kind, now);
            if is_allowed && let Some(kind) = waiting.remove(&group) {
                budget.end_waiting(group, kind);
                return (is_allowed, false);
            }
            if waiting.contains_key(&group) {
                return (is_allowed, true);
            }
            if !is_allowed {
                budget.record_denial(group, kind, now);
            }
            if !is_allowed && kind != ExtraCallKind::Retry {
                waiting.insert(group, kind);
            }
            (is_allowed, budget.record_demand(group, kind, now))
        });
        if is_short {
            self.shared.shortage.notify_one();
        }
        is_allowed
    }
}

impl Drop for QueryBudget {
    fn drop(&mut self) {
        if self.waiting.is_empty() {
            return;
        }
        self.shared.with(|budget, _| {
            self.waiting.iter().for_each(|(&group, &kind)| budget.end_waiting(group, kind));
        });
    }
}

impl ExtraCalls for QueryBudget {
    fn count_first_call(&mut self, leaf: &Leaf, _now: Instant) {
        let group = leaf.host.detail.group;
        self.shared.with(|budget, now| budget.record_request(group, now));
    }

    fn try_hedge(&mut self, slow: &Leaf, is_decisive: bool, _now: Instant) -> bool {
        let kind = if is_decisive { ExtraCallKind::Hedge } else { ExtraCallKind::OptionalHedge };
        self.try_withdraw(slow.host.detail.group, kind)
    }

    fn try_retry(&mut self, failed: &Leaf, _cause: RetryCause, _now: Instant) -> bool {
        self.try_withdraw(failed.host.detail.group, ExtraCallKind::Retry)
    }
}
