//! This host's part of the fleet's budget for calls beyond the first one of each request.
//!
//! In each window, all hosts together may make as many extra calls to a group of leafs as a share
//! of its requests plus a fixed slack. Each host uses the share of its own requests, and a part of
//! the slack that keeps the fleet within its limit even if some hosts are not discovered yet or
//! have restarted. Invariant: over any window, extra calls are at most the share of the requests in
//! it plus this host's slack. This sum is rounded up or down at random, so that fractions of a call
//! add up over the fleet.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::extra_calls::ExtraCalls;
use crate::ids::GroupKey;
use crate::leaf::Leaf;
use crate::plan::RetryCause;

/// Part of the fleet's ratio that hosts use; the rest covers differences between the hosts' clocks
/// and windows.
const RATIO_PART: f64 = 0.9;
/// Part of the fleet's slack that hosts use.
const SLACK_PART: f64 = 0.85;
/// Part of the fleet's slack that hosts use in the first window after their start. Many hosts may
/// have restarted at once, each without its counts of the window before.
const FIRST_WINDOW_SLACK_PART: f64 = 0.2;
/// Part of the budget that hedges may use if the answer is useful without them.
const OPTIONAL_HEDGE_PART: f64 = 0.8;
/// Part of the budget that hedges may use; the rest is left for retries.
const HEDGE_PART: f64 = 0.9;
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

/// Counts of one of the buckets of a window.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    begun_at: Instant,
    requests: u32,
    extra: u32,
}

/// Counts of one group of leafs over the sliding window.
#[derive(Debug, Default)]
struct Window {
    buckets: VecDeque<Bucket>,
    requests: u32,
    extra: u32,
}

impl Window {
    /// Drops buckets whose counts are all older than the window, which holds once they began more
    /// than the window's length and one bucket's length ago.
    fn drop_expired(&mut self, length: Duration, now: Instant) {
        let length = length + length / BUCKETS_PER_WINDOW;
        while let Some(oldest) = self.buckets.front()
            && now.saturating_duration_since(oldest.begun_at) > length
        {
            self.requests -= oldest.requests;
            self.extra -= oldest.extra;
            self.buckets.pop_front();
        }
    }

    fn current_bucket(&mut self, length: Duration, now: Instant) -> &mut Bucket {
        let step = length / BUCKETS_PER_WINDOW;
        let needs_bucket =
            self.buckets.back().is_none_or(|b| now.saturating_duration_since(b.begun_at) >= step);
        if needs_bucket {
            self.buckets.push_back(Bucket { begun_at: now, requests: 0, extra: 0 });
        }
        self.buckets.back_mut().expect("a bucket was added if there was none")
    }
}

/// This host's budgets for extra calls, one for each group of leafs.
#[derive(Debug)]
pub struct FleetBudget {
    limits: FleetLimits,
    hosts: usize,
    rounding: f64,
    started_at: Instant,
    windows: HashMap<GroupKey, Window>,
}

/// Kind of an extra call, which decides how much of the budget it may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExtraCallKind {
    /// Hedge of a slow call to a shard that the answer is useful without.
    OptionalHedge,
    /// Hedge of a slow call to a shard without which the answer is useless.
    Hedge,
    /// Call after a failed one.
    Retry,
}

impl FleetBudget {
    /// Creates a budget with no extra calls counted. `hosts` is the number of hosts that may share
    /// the slack, and `rounding` a random number from 0 to 1 that decides whether a part of a call
    /// is rounded up or down.
    pub fn new(limits: FleetLimits, hosts: usize, rounding: f64, now: Instant) -> Self {
        Self { limits, hosts: hosts.max(1), rounding, started_at: now, windows: HashMap::new() }
    }

    /// Sets the number of hosts that share the slack; 0 counts as 1.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts.max(1);
    }

    /// Counts a request to a group of leafs.
    pub fn record_request(&mut self, group: GroupKey, now: Instant) {
        let length = self.limits.window;
        let window = self.windows.entry(group).or_default();
        window.drop_expired(length, now);
        window.current_bucket(length, now).requests += 1;
        window.requests += 1;
    }

    /// Counts one extra call to a group of leafs if the budget allows it. Returns whether it does.
    pub fn try_withdraw(&mut self, group: GroupKey, kind: ExtraCallKind, now: Instant) -> bool {
        let FleetLimits { ratio, slack, window: length } = self.limits;
        let is_first_window = now.saturating_duration_since(self.started_at) < length;
        let slack_part = if is_first_window { FIRST_WINDOW_SLACK_PART } else { SLACK_PART };
        let slack = slack * slack_part / self.hosts as f64;
        let window = self.windows.entry(group).or_default();
        window.drop_expired(length, now);
        let allowed = f64::from(window.requests) * ratio * RATIO_PART + slack;
        let allowed = match kind {
            ExtraCallKind::OptionalHedge => allowed * OPTIONAL_HEDGE_PART,
            ExtraCallKind::Hedge => allowed * HEDGE_PART,
            ExtraCallKind::Retry => allowed,
        };
        if f64::from(window.extra) + 1.0 > allowed + self.rounding {
            return false;
        }
        window.current_bucket(length, now).extra += 1;
        window.extra += 1;
        true
    }
}

/// Implements [`ExtraCalls`] on the budget that all queries of this host share.
pub struct SharedFleetBudget(pub Arc<Mutex<FleetBudget>>);

impl ExtraCalls for SharedFleetBudget {
    fn count_first_call(&mut self, leaf: &Leaf, now: Instant) {
        self.0.lock().unwrap().record_request(leaf.host.detail.group, now);
    }

    fn try_hedge(&mut self, slow: &Leaf, is_decisive: bool, now: Instant) -> bool {
        let kind = if is_decisive { ExtraCallKind::Hedge } else { ExtraCallKind::OptionalHedge };
        self.0.lock().unwrap().try_withdraw(slow.host.detail.group, kind, now)
    }

    fn try_retry(&mut self, failed: &Leaf, _cause: RetryCause, now: Instant) -> bool {
        self.0.lock().unwrap().try_withdraw(failed.host.detail.group, ExtraCallKind::Retry, now)
    }
}
