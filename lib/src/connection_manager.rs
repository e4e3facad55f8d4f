//! Maintains connections to leafs: closes those that were idle for too long, prewarms others, a few
//! at a time, and frees connections of crowded leafs for other hosts.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::call_reports::CallOutcome;
use crate::cluster_state::ClusterState;
use crate::connection_share::Crowding;
use crate::connection_share::HostPhase;
use crate::connection_share::connection_policy;
use crate::held_connection;
use crate::ids::LeafKey;
use crate::leaf::Leaf;
use crate::leaf_estimates::Usability;
use crate::leaf_state::LeafState;
use crate::pool::BUSY_INTERVAL;
use crate::tier::Tier;

/// Interval between two checks of the connections to all leafs.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest time between two prewarmed connections to the same leaf.
const PREWARM_INTERVAL: Duration = Duration::from_secs(1);
/// Time after its opening within which the loss of a prewarmed connection indicates that the leaf
/// is crowded and closed it.
const OVERFLOW_WINDOW: Duration = Duration::from_millis(600);
/// Pause after each prewarmed connection, to any leaf, so that they are opened a few at a time.
const PREWARM_PAUSE: Duration = Duration::from_millis(2);

/// Maintains the connections of one process to all leafs.
pub struct ConnectionManager {
    cluster_state: Arc<ClusterState>,
    tier: Arc<Tier>,
    prewarmed_at: HashMap<LeafKey, Instant>,
    /// Leafs that were crowded at some time while this host was starting or settling. They count as
    /// crowded until it has settled.
    crowded: HashSet<LeafKey>,
}

impl ConnectionManager {
    /// Creates a manager that has prewarmed no connections.
    pub fn new(cluster_state: Arc<ClusterState>, tier: Arc<Tier>) -> Self {
        Self { cluster_state, tier, prewarmed_at: HashMap::new(), crowded: HashSet::new() }
    }

    /// Maintains connections until the task is dropped.
    pub async fn run(mut self) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            if self.tier.is_cut_off() {
                continue;
            }
            let view = self.cluster_state.views.get();
            let phase = self.cluster_state.fleet.lock().unwrap().phase(Instant::now());
            if phase == HostPhase::Settled {
                self.crowded.clear();
            }
            for leaf in view.leafs.iter() {
                if self.maintain(leaf, phase, Instant::now()) {
                    tokio::spawn(held_connection::prewarm(self.tier.clone(), leaf.clone()));
                    tokio::time::sleep(PREWARM_PAUSE).await;
                }
            }
        }
    }

    /// Closes the connections to a leaf that are not to stay open. Returns whether to prewarm one.
    fn maintain(&mut self, leaf: &Leaf, phase: HostPhase, now: Instant) -> bool {
        if leaf.is_evacuated() {
            self.prewarmed_at.remove(&leaf.key);
            leaf.pool.set_closes_after_use(true);
            leaf.pool.close_idle(Duration::ZERO, now);
            return false;
        }
        self.detect_overflow(leaf, now);
        let usability = leaf.usability(now);
        let (detail, is_crowded, may_connect) = {
            let LeafState { detail, estimates, pace, .. } = &*leaf.state();
            (detail.clone(), estimates.is_crowded(now), pace.may_connect())
        };
        if is_crowded && phase != HostPhase::Settled {
            self.crowded.insert(leaf.key);
        }
        let crowding = Crowding {
            is_crowded: is_crowded || self.crowded.contains(&leaf.key),
            crowded_leafs: self.crowded.len(),
        };
        let connection_policy = connection_policy(detail.keeps_warm, phase, crowding);
        leaf.pool.set_closes_after_use(connection_policy.closes_after_use);
        if connection_policy.closes_after_use {
            // A connection that this host closes itself does not indicate a crowded leaf.
            self.prewarmed_at.remove(&leaf.key);
        }
        if let Some(idle_time) = detail.idle_time {
            let may_idle = !connection_policy.closes_after_use;
            leaf.pool.close_idle(if may_idle { idle_time } else { BUSY_INTERVAL }, now);
        }
        let is_due = self.prewarmed_ago(leaf, now).is_none_or(|ago| ago >= PREWARM_INTERVAL);
        let prewarms_now = connection_policy.prewarms
            && usability == Usability::Usable
            && may_connect
            && is_due
            && leaf.pool.open_count() == 0;
        if prewarms_now {
            self.prewarmed_at.insert(leaf.key, now);
        }
        prewarms_now
    }

    /// Reports a leaf as crowded if it closed a prewarmed connection shortly after its opening.
    fn detect_overflow(&self, leaf: &Leaf, now: Instant) {
        let is_recent = self.prewarmed_ago(leaf, now).is_some_and(|ago| ago < OVERFLOW_WINDOW);
        if is_recent && leaf.pool.open_count() == 0 {
            leaf.state().estimates.record_connection_overflow(now);
            self.tier.queue_call_report(leaf, CallOutcome::Crowded);
        }
    }

    fn prewarmed_ago(&self, leaf: &Leaf, now: Instant) -> Option<Duration> {
        self.prewarmed_at.get(&leaf.key).map(|&at| now.saturating_duration_since(at))
    }
}
