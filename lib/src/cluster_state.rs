//! What a process knows of the platform and of the fleet, and the view that it makes of both.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;

use crate::change_log::ChangeSet;
use crate::connection_share::HostCounts;
use crate::fleet::Fleet;
use crate::fleet_budget::FleetBudget;
use crate::ids::Revision;
use crate::opaque_view::ViewCell;
use crate::outage::OutageTracker;
use crate::subscription::EXPIRY_CHECK;
use crate::subscription::HostCounter;
use crate::subscription::Source;
use crate::subscription::Subscription;

/// What is known of the platform, shared by all that read or use it.
pub struct ClusterState {
    /// What was published.
    pub subscription: Mutex<Subscription>,
    /// Whether the platform can be read.
    pub outage: Mutex<OutageTracker>,
    /// The other hosts.
    pub fleet: Mutex<Fleet>,
    /// The region of each zone.
    pub regions: BTreeMap<String, String>,
    /// The fleet's budget for extra calls.
    pub budget: Arc<Mutex<FleetBudget>>,
    /// The view in force.
    pub views: Arc<ViewCell>,
    /// Told whenever changes came.
    pub changed: Notify,
}

struct FleetCounter<'a> {
    fleet: &'a Fleet,
    assumed: usize,
    is_new: bool,
    regions: &'a BTreeMap<String, String>,
}

impl HostCounter for FleetCounter<'_> {
    fn count(&self, zone: &str) -> HostCounts {
        let region = self.regions.get(zone);
        let is_near =
            |other: &str| other == zone || region.is_some() && self.regions.get(other) == region;
        // Hosts that were not heard yet are assumed to be spread evenly over the zones.
        let unheard = self.assumed - self.fleet.count(|_| true);
        let near_zones = self.regions.keys().filter(|other| is_near(other)).count();
        let near_unheard = unheard * near_zones / self.regions.len().max(1);
        let near = self.fleet.count(is_near) + near_unheard;
        let far = self.fleet.count(|other| !is_near(other)) + unheard - near_unheard;
        let is_near = is_near(&self.fleet.own().zone);
        HostCounts { near, far, is_near, is_new: self.is_new }
    }
}

impl ClusterState {
    /// Takes in changes and puts the view that they make in force.
    pub fn take(&self, set: ChangeSet, source: Source, now: Instant) {
        let bridged_until = self.outage.lock().unwrap().bridged_until(now);
        let changed = self.subscription.lock().unwrap().take(set, source, bridged_until, now);
        self.changed.notify_waiters();
        if changed {
            self.renew_view(now);
        }
    }

    /// Waits until something is known beyond a revision, or until the time is over.
    pub async fn position_after(&self, after: Revision, limit: Duration) {
        let wait = async {
            loop {
                let news = self.changed.notified();
                if self.position() > after {
                    return;
                }
                news.await;
            }
        };
        // Without news in time, the asker learns that there are none.
        let _ = tokio::time::timeout(limit, wait).await;
    }

    /// Puts the view of what is known now in force.
    pub fn renew_view(&self, now: Instant) {
        let fleet = self.fleet.lock().unwrap();
        let assumed = fleet.assumed_count(now);
        let is_new = fleet.is_settling(now);
        let counter = FleetCounter { fleet: &fleet, assumed, is_new, regions: &self.regions };
        self.budget.lock().unwrap().set_hosts(assumed);
        let view = self.subscription.lock().unwrap().make_view(&counter, now);
        self.views.set(view);
    }

    /// Returns the revision up to which everything is known.
    pub fn position(&self) -> Revision {
        self.subscription.lock().unwrap().position()
    }

    /// Whether a configuration and the leafs are known.
    pub fn is_complete(&self) -> bool {
        self.views.get().catalogue.is_some()
    }

    /// Drops leafs that lapsed, for as long as the process runs.
    pub async fn run_expiry(self: Arc<Self>) {
        let mut is_discovering = true;
        loop {
            tokio::time::sleep(EXPIRY_CHECK).await;
            let now = Instant::now();
            // The end of the discovery changes the shares of connections.
            let was_discovering = is_discovering;
            is_discovering = self.fleet.lock().unwrap().is_settling(now);
            if self.subscription.lock().unwrap().expire(now) || was_discovering && !is_discovering {
                self.renew_view(now);
            }
        }
    }
}
