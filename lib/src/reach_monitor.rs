//! Watches whether this host is cut off from the leafs, and notices the end of a cut.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::seq::IteratorRandom;

use crate::events::Event;
use crate::held_connection::check_leaf;
use crate::leaf::LeafTable;
use crate::log_event;
use crate::opaque_view::ViewCell;
use crate::tier::Tier;

/// Interval between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two checks from which on the process counts as paused.
const PAUSE_TIME: Duration = Duration::from_millis(150);
/// Interval at which a host that is cut off tries to connect to leafs.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Number of leafs to which it tries to connect at once.
const PROBED_LEAFS: usize = 3;

/// Checks for cuts for as long as the process runs.
pub async fn run(tier: Arc<Tier>, views: Arc<ViewCell>) {
    let mut checked_at = Instant::now();
    let mut probed_at = checked_at;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = Instant::now();
        let was_paused = now.saturating_duration_since(checked_at) > PAUSE_TIME;
        checked_at = now;
        if was_paused {
            tier.reach.lock().unwrap().forget_attempts();
        }
        let leafs = views.get().leafs.clone();
        let listed = leafs.iter().count();
        let is_new_cut = tier.reach.lock().unwrap().detect_cut(listed, now);
        if is_new_cut {
            tier.counters.cuts.increment();
            log_event!(warn, Event::LeafsUnreachable, leafs = listed);
        }
        let is_cut_off = tier.reach.lock().unwrap().is_cut_off();
        if is_cut_off && now.saturating_duration_since(probed_at) >= PROBE_INTERVAL {
            probed_at = now;
            probe(&tier, &leafs);
        }
    }
}

/// Tries to connect to some leafs; a success is recorded as a contact.
fn probe(tier: &Arc<Tier>, leafs: &LeafTable) {
    for leaf in leafs.iter().choose_multiple(&mut rand::rng(), PROBED_LEAFS) {
        let (tier, leaf) = (tier.clone(), leaf.clone());
        tokio::spawn(async move { _ = check_leaf(&tier, &leaf).await });
    }
}
