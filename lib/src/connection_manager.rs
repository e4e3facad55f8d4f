//! Keeps connections to leafs: closes those that were idle for too long, opens those that are kept
//! ahead of need, a few at a time, and shares crowded leafs with other hosts.

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
use crate::leaf::LeafState;
use crate::leaf_estimates::Usability;
use crate::pool::BUSY_GAP;
use crate::tier::Tier;

/// How often connections to leafs are looked at.
const CHECK_PAUSE: Duration = Duration::from_millis(250);
/// Shortest time between two connections that are opened ahead of need to one leaf.
const KEEP_PAUSE: Duration = Duration::from_secs(1);
/// Time in which a connection that was opened ahead of need and is gone shows a leaf that has too
/// many.
const OVERFLOW_TIME: Duration = Duration::from_millis(600);
/// Pause between two connections that are opened ahead of need.
const WARM_UP_PAUSE: Duration = Duration::from_millis(2);

/// Looks after the connections of one process.
pub struct ConnectionManager {
    cluster_state: Arc<ClusterState>,
    tier: Arc<Tier>,
    opened_at: HashMap<LeafKey, Instant>,
    /// Leafs that were crowded while this host was new. They count so until it has settled.
    crowded: HashSet<LeafKey>,
}

impl ConnectionManager {
    /// Makes a keeper that has opened nothing yet.
    pub fn new(cluster_state: Arc<ClusterState>, tier: Arc<Tier>) -> Self {
        Self { cluster_state, tier, opened_at: HashMap::new(), crowded: HashSet::new() }
    }

    /// Looks after connections for as long as the process runs.
    pub async fn run(mut self) {
        loop {
            tokio::time::sleep(CHECK_PAUSE).await;
            let view = self.cluster_state.views.get();
            let phase = self.cluster_state.fleet.lock().unwrap().phase(Instant::now());
            if phase == HostPhase::Settled {
                self.crowded.clear();
            }
            for leaf in view.leafs.iter() {
                if self.look_at(leaf, phase, Instant::now()) {
                    tokio::spawn(held_connection::warm_up(self.tier.clone(), leaf.clone()));
                    tokio::time::sleep(WARM_UP_PAUSE).await;
                }
            }
        }
    }

    /// Closes what is not to stay open. Returns whether a connection is to be opened ahead of need.
    fn look_at(&mut self, leaf: &Leaf, phase: HostPhase, now: Instant) -> bool {
        self.note_overflow(leaf, now);
        let (detail, usability, is_crowded) = {
            let LeafState { detail, estimates, .. } = &*leaf.state();
            (detail.clone(), estimates.usability(now), estimates.is_crowded(now))
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
            // What this host closes itself shows no leaf that has too many.
            self.opened_at.remove(&leaf.key);
        }
        if let Some(idle_time) = detail.idle_time {
            let may_rest = !connection_policy.closes_after_use;
            leaf.pool.close_idle(if may_rest { idle_time } else { BUSY_GAP }, now);
        }
        let is_due = self.opened_ago(leaf, now).is_none_or(|ago| ago >= KEEP_PAUSE);
        let opens = connection_policy.prewarms
            && usability == Usability::Usable
            && is_due
            && leaf.pool.open_count() == 0;
        if opens {
            self.opened_at.insert(leaf.key, now);
        }
        opens
    }

    /// Notes a leaf that closed a connection which was opened ahead of need just before.
    fn note_overflow(&self, leaf: &Leaf, now: Instant) {
        let is_fresh = self.opened_ago(leaf, now).is_some_and(|ago| ago < OVERFLOW_TIME);
        if is_fresh && leaf.pool.open_count() == 0 {
            leaf.state().estimates.record_connection_overflow(now);
            self.tier.queue_call_report(leaf, CallOutcome::Crowded);
        }
    }

    fn opened_ago(&self, leaf: &Leaf, now: Instant) -> Option<Duration> {
        self.opened_at.get(&leaf.key).map(|&at| now.saturating_duration_since(at))
    }
}
