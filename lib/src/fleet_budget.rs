//! This host's part of the fleet's budget for calls beyond the first of each request.
//!
//! All hosts together may make, in each window, a share of the requests of a group of leafs plus a
//! fixed slack. Each host spends the share of its own requests, and a part of the slack that stays
//! safe when hosts are unseen or restarted. Invariant: over any window, extra calls are at most the
//! share of the requests in it plus this host's slack, rounded up or down by chance, so that parts
//! below one call add up over the fleet.

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

/// Part of the fleet's ratio that hosts use; the rest covers clocks and windows that do not agree.
const RATIO_USE: f64 = 0.9;
/// Part of the fleet's slack that hosts use.
const SLACK_USE: f64 = 0.85;
/// Part of the fleet's slack that hosts use in the first window after their start. Many hosts may
/// have started at once, and have forgotten what they spent before.
const FIRST_SLACK_USE: f64 = 0.2;
/// Part of the budget that hedges may use where the answer is useful without them.
const OPTIONAL_PART: f64 = 0.8;
/// Part of the budget that hedges may use; the rest is left for retries.
const HEDGE_PART: f64 = 0.9;
/// Counting buckets of a window.
const BUCKETS: u32 = 20;

/// The fleet's limits for extra calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetLimits {
    /// Extra calls as a share of requests.
    pub ratio: f64,
    /// Extra calls beyond the share, in each window, over all hosts.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    begun_at: Instant,
    requests: u32,
    extra: u32,
}

/// Counts of one group of leafs.
#[derive(Debug, Default)]
struct Window {
    buckets: VecDeque<Bucket>,
    requests: u32,
    extra: u32,
}

impl Window {
    /// Drops buckets all of whose counts are older than the window.
    fn turn(&mut self, length: Duration, now: Instant) {
        let length = length + length / BUCKETS;
        while let Some(oldest) = self.buckets.front()
            && now.saturating_duration_since(oldest.begun_at) > length
        {
            self.requests -= oldest.requests;
            self.extra -= oldest.extra;
            self.buckets.pop_front();
        }
    }

    fn bucket(&mut self, length: Duration, now: Instant) -> &mut Bucket {
        let step = length / BUCKETS;
        let is_due =
            self.buckets.back().is_none_or(|b| now.saturating_duration_since(b.begun_at) >= step);
        if is_due {
            self.buckets.push_back(Bucket { begun_at: now, requests: 0, extra: 0 });
        }
        self.buckets.back_mut().expect("a bucket was just made where there was none")
    }
}

/// The budget of all groups on this host.
#[derive(Debug)]
pub struct FleetBudget {
    limits: FleetLimits,
    hosts: usize,
    draw: f64,
    started_at: Instant,
    windows: HashMap<GroupKey, Window>,
}

/// What extra calls are for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExtraUse {
    /// A call beside one that is slow, whose shard would only complete the answer.
    OptionalHedge,
    /// A call beside one that is slow, without whose shard the answer is of no use.
    Hedge,
    /// A call after one that failed.
    Retry,
}

impl FleetBudget {
    /// Starts with nothing spent. `hosts` is how many hosts may share the slack, and `draw` a random
    /// number from 0 to 1 that decides how parts of a call are rounded.
    pub fn new(limits: FleetLimits, hosts: usize, draw: f64, now: Instant) -> Self {
        Self { limits, hosts: hosts.max(1), draw, started_at: now, windows: HashMap::new() }
    }

    /// Changes how many hosts share the slack.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts.max(1);
    }

    /// Counts a request.
    pub fn request(&mut self, group: GroupKey, now: Instant) {
        let length = self.limits.window;
        let window = self.windows.entry(group).or_default();
        window.turn(length, now);
        window.bucket(length, now).requests += 1;
        window.requests += 1;
    }

    /// Takes one extra call, if the budget allows it.
    pub fn take(&mut self, group: GroupKey, extra_use: ExtraUse, now: Instant) -> bool {
        let FleetLimits { ratio, slack, window: length } = self.limits;
        let is_first = now.saturating_duration_since(self.started_at) < length;
        let slack_use = if is_first { FIRST_SLACK_USE } else { SLACK_USE };
        let slack = slack * slack_use / self.hosts as f64;
        let window = self.windows.entry(group).or_default();
        window.turn(length, now);
        let allowed = f64::from(window.requests) * ratio * RATIO_USE + slack;
        let allowed = match extra_use {
            ExtraUse::OptionalHedge => allowed * OPTIONAL_PART,
            ExtraUse::Hedge => allowed * HEDGE_PART,
            ExtraUse::Retry => allowed,
        };
        if f64::from(window.extra) + 1.0 > allowed + self.draw {
            return false;
        }
        window.bucket(length, now).extra += 1;
        window.extra += 1;
        true
    }
}

/// The fleet's budget as one query uses it.
pub struct SharedFleetBudget(pub Arc<Mutex<FleetBudget>>);

impl ExtraCalls for SharedFleetBudget {
    fn count_first_call(&mut self, leaf: &Leaf, now: Instant) {
        self.0.lock().unwrap().request(leaf.host.detail.group, now);
    }

    fn try_hedge(&mut self, slow: &Leaf, is_decisive: bool, now: Instant) -> bool {
        let extra_use = if is_decisive { ExtraUse::Hedge } else { ExtraUse::OptionalHedge };
        self.0.lock().unwrap().take(slow.host.detail.group, extra_use, now)
    }

    fn try_retry(&mut self, failed: &Leaf, _cause: RetryCause, now: Instant) -> bool {
        self.0.lock().unwrap().take(failed.host.detail.group, ExtraUse::Retry, now)
    }
}
