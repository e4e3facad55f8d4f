//! Finds out whether the leafs of unanswered calls are lost: connects to them, and looks for them in
//! the leafs that the platform lists.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::held_connection::check_leaf;
use crate::opaque_view::ViewCell;
use crate::tier::LossCause;
use crate::tier::Tier;

/// Interval between two rounds while there are unanswered calls.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Verifies unanswered calls for as long as the process runs.
pub async fn run(tier: Arc<Tier>, views: Arc<ViewCell>) {
    loop {
        tier.call_unanswered.notified().await;
        while verify_round(&tier, &views, Instant::now()) {
            tokio::time::sleep(ROUND_INTERVAL).await;
        }
    }
}

/// Starts the checks that are due. Returns whether there are unanswered calls.
fn verify_round(tier: &Arc<Tier>, views: &ViewCell, now: Instant) -> bool {
    let view = views.get();
    let is_evacuated = |leaf| view.leafs.get(leaf).is_some_and(|leaf| leaf.is_evacuated());
    let tracked = {
        let mut detector = tier.crash_detector.lock().unwrap();
        // The loss of an evacuated leaf is the operator's doing.
        detector.forget_leafs(is_evacuated);
        detector.tracked_leafs(now)
    };
    for &leaf in tracked.iter().filter(|&&leaf| view.leafs.get(leaf).is_none()) {
        tier.record_lost_leaf(leaf, LossCause::Unlisted, now);
    }
    let due = tier.crash_detector.lock().unwrap().leafs_to_check(now);
    for leaf in due.into_iter().filter_map(|leaf| view.leafs.get(leaf).cloned()) {
        let tier = tier.clone();
        // A leaf that accepts the connection is not lost, and a loss is recorded by the check.
        tokio::spawn(async move { _ = check_leaf(&tier, &leaf).await });
    }
    !tracked.is_empty()
}
