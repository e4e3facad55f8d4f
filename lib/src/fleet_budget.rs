//! This host's part of the fleet's budget for calls beyond the first one of each request.
//!
//! In each window, all hosts together may make as many extra calls to a group of leafs as a share
//! of its requests plus a fixed slack. Each host has the share of its own requests, and a part of
//! the slack that keeps the fleet within its limit even if some hosts are not discovered yet or
//! have restarted. It lends what it does not need to other hosts. Invariant: over any window, the
//! extra calls that this host makes on its own part and those that it lends are at most the share
//! of the requests in it plus this host's slack. This sum is rounded up or down at random, so that
//! fractions of a call add up over the fleet.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::budget_loans::BorrowedCalls;
use crate::budget_loans::Demand;
use crate::budget_loans::LOAN_LIFETIME;
use crate::budget_loans::LOAN_MARGIN;
use crate::budget_loans::Loan;
use crate::budget_loans::MAX_LOAN_CALLS;
use crate::budget_loans::Need;
use crate::extra_calls::ExtraCallKind;
use crate::ids::GroupKey;
use crate::sliding_count::SlidingCount;

/// Part of the fleet's ratio that hosts use; the rest covers differences between the hosts' clocks
/// and windows.
const RATIO_PART: f64 = 0.9;
/// Part of the fleet's slack that hosts use.
const SLACK_PART: f64 = 0.85;
/// Part of the fleet's slack that hosts use in the first window after their start. Many hosts may
/// have restarted at once, each without its counts of the window before.
const FIRST_WINDOW_SLACK_PART: f64 = 0.2;
/// Part of the budget that hedges may use if the answer is useful without them.
const OPTIONAL_HEDGE_PART: f64 = 0.9;
/// Part of the budget that hedges may use; the rest is left for retries.
const HEDGE_PART: f64 = 0.95;
/// Number of counting buckets in a window.
const BUCKETS_PER_WINDOW: u32 = 20;

/// The fleet's limits for extra calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetLimits {
    /// Extra calls allowed per request.
    pub ratio: f64,
    /// Extra calls allowed beyond the ratio, per window, over all hosts.
    pub slack: f64,
    /// Length of the sliding window over which both limits hold.
    pub window: Duration,
}

/// Budget of one group of leafs over the sliding window.
#[derive(Debug)]
struct GroupBudget {
    requests: SlidingCount,
    /// Extra calls made on this host's own part.
    own: SlidingCount,
    /// Extra calls lent to other hosts. They count until the window after the loan's end is over.
    lent: SlidingCount,
    borrowed: BorrowedCalls,
    demand: Demand,
    /// Calls that queries wanted and were denied, each counted once.
    denied: SlidingCount,
    /// Calls made on loans.
    used_loans: SlidingCount,
}

/// Use of one group's budget on this host over the sliding window.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct GroupUse {
    /// Group of leafs that the calls go to.
    pub group: GroupKey,
    /// Requests that called the group.
    pub requests: u32,
    /// Extra calls that this host may make or lend.
    pub allowed: u32,
    /// Extra calls made on this host's own part.
    pub used: u32,
    /// Extra calls lent to other hosts, within the window and the lifetime of a loan.
    pub lent: u32,
    /// Extra calls made on loans of other hosts.
    pub borrowed: u32,
    /// Extra calls denied, each counted once.
    pub denied: u32,
}

/// This host's budgets for extra calls, one for each group of leafs.
///
/// The times that its methods take must come from one clock, which must advance while the host is
/// suspended: a borrowed call may not be made after its loan has ended at the lender.
#[derive(Debug)]
pub struct FleetBudget {
    limits: FleetLimits,
    hosts: usize,
    rounding: f64,
    started_at: Instant,
    groups: HashMap<GroupKey, GroupBudget>,
}

impl GroupBudget {
    fn new(window: Duration) -> Self {
        let bucket = window / BUCKETS_PER_WINDOW;
        let count = SlidingCount::new(window, bucket);
        Self {
            requests: count.clone(),
            own: count.clone(),
            lent: SlidingCount::new(window + LOAN_LIFETIME + LOAN_MARGIN, bucket),
            borrowed: BorrowedCalls::default(),
            demand: Demand::default(),
            denied: count.clone(),
            used_loans: count,
        }
    }

    /// Returns the number of further calls that this host's own part allows for `kind`. `slack` is
    /// this host's part of the slack.
    fn balance(
        &mut self,
        limits: FleetLimits,
        slack: f64,
        rounding: f64,
        kind: ExtraCallKind,
        now: Instant,
    ) -> u32 {
        let part = match kind {
            ExtraCallKind::OptionalHedge => OPTIONAL_HEDGE_PART,
            ExtraCallKind::Hedge => HEDGE_PART,
            ExtraCallKind::Retry => 1.0,
        };
        let requests = f64::from(self.requests.total(now));
        let allowed = (requests * limits.ratio * RATIO_PART + slack) * part + rounding;
        (allowed as u32).saturating_sub(self.own.total(now) + self.lent.total(now))
    }
}

impl FleetBudget {
    /// Creates a budget with no extra calls counted. `hosts` is the number of hosts that may share
    /// the slack, and `rounding` a random number from 0 to 1 that decides whether a part of a call
    /// is rounded up or down.
    pub fn new(limits: FleetLimits, hosts: usize, rounding: f64, now: Instant) -> Self {
        Self { limits, hosts: hosts.max(1), rounding, started_at: now, groups: HashMap::new() }
    }

    /// Sets the number of hosts that share the slack; 0 counts as 1.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts.max(1);
    }

    /// Counts a request to a group of leafs.
    pub fn record_request(&mut self, group: GroupKey, now: Instant) {
        self.group(group).requests.add(1, now);
    }

    /// Counts an extra call that a query wants to make. Returns whether this host should borrow
    /// calls, as it can make no more than it expects to want soon.
    pub fn record_demand(&mut self, group: GroupKey, kind: ExtraCallKind, now: Instant) -> bool {
        self.group(group).demand.record(kind, now);
        !self.group_needs(group, now).is_empty()
    }

    /// Counts an extra call that a query wanted to make and was denied for the first time. If the
    /// query will try again, [`FleetBudget::end_waiting`] must follow.
    pub fn record_denial(&mut self, group: GroupKey, kind: ExtraCallKind, now: Instant) {
        let group = self.group(group);
        group.denied.add(1, now);
        if kind != ExtraCallKind::Retry {
            group.demand.start_waiting(kind);
        }
    }

    /// Ends the wait of a denied call, which was allowed or is no longer of use.
    pub fn end_waiting(&mut self, group: GroupKey, kind: ExtraCallKind) {
        self.group(group).demand.end_waiting(kind);
    }

    /// Counts one extra call to a group of leafs if the budget allows it. Returns whether it does.
    /// Borrowed calls are made first, as they soon end.
    pub fn try_withdraw(&mut self, group: GroupKey, kind: ExtraCallKind, now: Instant) -> bool {
        if self.group(group).borrowed.try_take(kind, now) {
            self.group(group).used_loans.add(1, now);
            return true;
        }
        let is_allowed = self.balance(group, kind, now) > 0;
        if is_allowed {
            self.group(group).own.add(1, now);
        }
        is_allowed
    }

    /// Returns the calls that this host should borrow, the groups in the order of their keys: hedges
    /// that were denied, and retries that may come soon.
    pub fn needs(&mut self, now: Instant) -> Vec<Need> {
        let mut groups: Vec<_> = self.groups.keys().copied().collect();
        groups.sort_unstable();
        groups.into_iter().flat_map(|group| self.group_needs(group, now)).collect()
    }

    fn group_needs(&mut self, group: GroupKey, now: Instant) -> Vec<Need> {
        let mut needs = Vec::new();
        let mut asked = 0;
        let retries = self.group(group).demand.retries_ahead(now);
        for kind in ExtraCallKind::ALL.into_iter().rev() {
            let waiting = self.group(group).demand.waiting(kind);
            if waiting + retries == 0 {
                continue;
            }
            let available = self.balance(group, kind, now)
                + self.group(group).borrowed.available(kind, now)
                + asked;
            let calls = (waiting + retries).saturating_sub(available).min(MAX_LOAN_CALLS);
            if calls > 0 {
                let waiting = waiting.saturating_sub(available).min(calls);
                needs.push(Need { group, kind, waiting, ahead: calls - waiting });
                asked += calls;
            }
        }
        needs
    }

    /// Lends calls to another host and counts them as made. Returns what it lends; nothing of what
    /// this host has borrowed. For calls that are not wanted yet, it keeps as many as it wanted
    /// itself recently that are at least as important.
    pub fn lend(&mut self, needs: &[Need], now: Instant) -> Vec<Loan> {
        let mut lent = Vec::new();
        for &Need { group, kind, waiting, ahead } in needs {
            let balance = self.balance(group, kind, now);
            let demand = &mut self.group(group).demand;
            let free = balance.saturating_sub(demand.waiting(kind));
            let spare = free.saturating_sub(demand.recent(kind, now));
            let now_lent = waiting.min(free);
            let calls = now_lent + ahead.min(spare.saturating_sub(now_lent));
            let calls = calls.min(MAX_LOAN_CALLS);
            if calls > 0 {
                self.group(group).lent.add(calls, now);
                lent.push(Loan { group, kind, calls });
            }
        }
        lent
    }

    /// Adds the loans of a reply to a question sent at `asked_at`. A loan is void if it has ended.
    pub fn borrow(&mut self, loans: &[Loan], asked_at: Instant) {
        for &Loan { group, kind, calls } in loans {
            let calls = calls.min(MAX_LOAN_CALLS);
            self.group(group).borrowed.add(kind, calls, asked_at);
        }
    }

    /// Returns the use of all groups that had requests in the window, in the order of their keys.
    pub fn usage(&mut self, now: Instant) -> Vec<GroupUse> {
        let mut groups: Vec<_> = self.groups.keys().copied().collect();
        groups.sort_unstable();
        groups.into_iter().map(|group| self.group_use(group, now)).collect()
    }

    fn group_use(&mut self, group: GroupKey, now: Instant) -> GroupUse {
        let balance = self.balance(group, ExtraCallKind::Retry, now);
        let budget = self.group(group);
        let (used, lent) = (budget.own.total(now), budget.lent.total(now));
        GroupUse {
            group,
            requests: budget.requests.total(now),
            allowed: balance + used + lent,
            used,
            lent,
            borrowed: budget.used_loans.total(now),
            denied: budget.denied.total(now),
        }
    }

    fn group(&mut self, group: GroupKey) -> &mut GroupBudget {
        let window = self.limits.window;
        self.groups.entry(group).or_insert_with(|| GroupBudget::new(window))
    }

    fn balance(&mut self, group: GroupKey, kind: ExtraCallKind, now: Instant) -> u32 {
        let FleetLimits { slack, window, .. } = self.limits;
        let is_first_window = now.saturating_duration_since(self.started_at) < window;
        let slack_part = if is_first_window { FIRST_WINDOW_SLACK_PART } else { SLACK_PART };
        let slack = slack * slack_part / self.hosts as f64;
        let (limits, rounding) = (self.limits, self.rounding);
        self.group(group).balance(limits, slack, rounding, kind, now)
    }
}
