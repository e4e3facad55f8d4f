//! State of the platform and of the fleet as one process sees it, and the view derived from both.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;

use crate::change_log::ChangeSet;
use crate::connection_share::HostCounts;
use crate::fleet::Fleet;
use crate::ids::Era;
use crate::ids::LeafHash;
use crate::ids::Position;
use crate::opaque_view::ViewCell;
use crate::outage::OutageTracker;
use crate::pause_detector::SuspensionClock;
use crate::rate_limit::HostRank;
use crate::shared_budget::SharedFleetBudget;
use crate::subscription::ChangeSource;
use crate::subscription::EXPIRY_CHECK_INTERVAL;
use crate::subscription::HostCounter;
use crate::subscription::Subscription;
use crate::tier::HostRanking;

/// State of the platform and of the fleet, shared by all tasks of a process.
pub struct ClusterState {
    /// Published configuration and leafs.
    pub subscription: Mutex<Subscription>,
    /// Reachability of the platform.
    pub outage: Mutex<OutageTracker>,
    /// Clock of the moments up to which what was published is known.
    pub clock: SuspensionClock,
    /// Membership table of the fleet.
    pub fleet: Mutex<Fleet>,
    /// Region of each zone, from the settings.
    pub regions: BTreeMap<String, String>,
    /// Budget of the fleet for extra calls; follows the number of hosts.
    pub budget: Arc<SharedFleetBudget>,
    /// Current view, which requests use.
    pub views: Arc<ViewCell>,
    /// Notified whenever published changes have been applied.
    pub changed: Notify,
}

struct FleetCounter<'a> {
    fleet: &'a Fleet,
    assumed_hosts: usize,
    is_new: bool,
    regions: &'a BTreeMap<String, String>,
}

impl HostCounter for FleetCounter<'_> {
    fn count(&self, zone: &str) -> HostCounts {
        let region = self.regions.get(zone);
        let is_near =
            |other: &str| other == zone || region.is_some() && self.regions.get(other) == region;
        // Hosts that are not discovered yet are assumed to be spread evenly over the zones.
        let undiscovered = self.assumed_hosts - self.fleet.count(|_| true);
        let near_zones = self.regions.keys().filter(|other| is_near(other)).count();
        let near_undiscovered = undiscovered * near_zones / self.regions.len().max(1);
        let near = self.fleet.count(is_near) + near_undiscovered;
        let far = self.fleet.count(|other| !is_near(other)) + undiscovered - near_undiscovered;
        let is_near = is_near(&self.fleet.own().zone);
        HostCounts { near, far, is_near, is_new: self.is_new }
    }
}

impl HostRanking for Arc<ClusterState> {
    fn rank(&self, leaf: LeafHash, now: Instant) -> HostRank {
        self.fleet.lock().unwrap().rank_for_leaf(leaf, now)
    }

    fn lasting_rank(&self, leaf: LeafHash, now: Instant) -> Option<HostRank> {
        self.fleet.lock().unwrap().lasting_rank(leaf, now)
    }
}

impl ClusterState {
    /// Applies published changes of `era` and replaces the view if they affect it.
    pub fn apply_changes(&self, era: Era, set: ChangeSet, source: ChangeSource, now: Instant) {
        let grace_until = self.outage.lock().unwrap().grace_until(now);
        let changed = self.subscription.lock().unwrap().apply(era, set, source, grace_until, now);
        self.changed.notify_waiters();
        if changed {
            self.rebuild_view(now);
        }
    }

    /// Records that everything is known that was published until `at` by [`Self::clock`].
    pub fn record_confirmation(&self, at: Instant) {
        let at = at.min(self.clock.now());
        self.outage.lock().unwrap().record_confirmation(at);
    }

    /// Returns the time since the moment up to which everything that was published is known.
    pub fn confirmation_age(&self) -> Option<Duration> {
        let now = self.clock.now();
        self.outage.lock().unwrap().confirmation_age(now)
    }

    /// Waits until changes beyond the position `after` have been applied, or `is_over` holds after
    /// an answer of the platform; at most for `limit`.
    pub async fn wait_past(&self, after: Position, is_over: impl Fn() -> bool, limit: Duration) {
        let wait = async {
            loop {
                let notified = self.changed.notified();
                if self.position() > after || is_over() {
                    return;
                }
                notified.await;
            }
        };
        // On a timeout the requester gets an empty set of changes.
        let _ = tokio::time::timeout(limit, wait).await;
    }

    /// Replaces the view by one built from the current state.
    pub fn rebuild_view(&self, now: Instant) {
        let fleet = self.fleet.lock().unwrap();
        let assumed_hosts = fleet.assumed_count(now);
        let is_new = fleet.is_settling(now);
        let counter = FleetCounter { fleet: &fleet, assumed_hosts, is_new, regions: &self.regions };
        self.budget.with(|budget, _| budget.set_hosts(assumed_hosts));
        let view = self.subscription.lock().unwrap().build_view(&counter, now);
        self.views.set(view);
    }

    /// Returns the position up to which all changes have been applied. Its revision is 0 before the
    /// first full snapshot, from the platform or from a peer, has been applied.
    pub fn position(&self) -> Position {
        self.subscription.lock().unwrap().position()
    }

    /// Returns whether this process has the configuration and the leafs; the first list of the
    /// platform's changes contains both.
    pub fn is_complete(&self) -> bool {
        self.views.get().catalogue.is_some()
    }

    /// Removes expired leafs once their grace period is over, and applies configurations that were
    /// held back, for as long as the process runs.
    pub async fn run_expiry(self: Arc<Self>) {
        let mut is_settling = true;
        loop {
            tokio::time::sleep(EXPIRY_CHECK_INTERVAL).await;
            let now = Instant::now();
            // The end of the settling phase changes the shares of connections.
            let was_settling = is_settling;
            is_settling = self.fleet.lock().unwrap().is_settling(now);
            if self.subscription.lock().unwrap().apply_due(now) || was_settling && !is_settling {
                self.rebuild_view(now);
            }
        }
    }
}
