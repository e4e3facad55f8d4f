//! Follows the paces of returning leafs and this host's parts of the bounds on cold ones, and logs
//! their changes.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::call_reports::LeafSummary;
use crate::events::Event;
use crate::ids::GroupKey;
use crate::ids::LeafHash;
use crate::leaf::Leaf;
use crate::leaf_pace::PaceChange;
use crate::leaf_table::LeafTable;
use crate::log_event;
use crate::opaque_view::ViewCell;
use crate::tier::Tier;

/// Interval between two rounds over all leafs.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);

/// Follows the leafs for as long as the process runs.
pub async fn run(tier: Arc<Tier>, views: Arc<ViewCell>) {
    loop {
        tokio::time::sleep(ROUND_INTERVAL).await;
        let now = Instant::now();
        let view = views.get();
        view.leafs.iter().for_each(|leaf| follow_leaf(&tier, leaf, now));
    }
}

fn follow_leaf(tier: &Tier, leaf: &Leaf, now: Instant) {
    update_cold_part(tier, leaf, now);
    let (change, part, held_back) = {
        let mut state = leaf.state();
        state.advance_pace(now);
        (state.pace.take_change(now), state.pace.part(), state.pace.take_held_back())
    };
    tier.counters.held_back_by_pace.add(held_back);
    let name = leaf.host.name.as_str();
    match change {
        Some(PaceChange::Returning(cause)) => {
            log_event!(info, Event::LeafReturning, leaf = name, cause = ?cause, part);
        }
        Some(PaceChange::Fallen) => log_event!(info, Event::LeafPaceFallen, leaf = name, part),
        Some(PaceChange::Full) => log_event!(info, Event::LeafReturned, leaf = name),
        None => {}
    }
}

/// Computes this host's part of the bound on a cold leaf.
fn update_cold_part(tier: &Tier, leaf: &Leaf, now: Instant) {
    let (bound, part_before) = {
        let state = leaf.state();
        (state.cold.bound(now), state.cold.part(now))
    };
    let Some(bound) = bound else { return };
    // Computed without the leaf's lock, as it takes locks that precede that one in the lock order.
    let rank = tier.host_ranking.get().and_then(|ranking| ranking.lasting_rank(leaf.hash, now));
    let part = {
        let mut state = leaf.state();
        state.cold.set_rank(rank, now);
        state.cold.part(now)
    };
    if part != part_before {
        let (name, bound) = (leaf.host.name.as_str(), bound.calls);
        log_event!(info, Event::ColdLeafBounded, leaf = name, bound, part);
    }
}

/// Applies the reports of the zone's hosts to the paces of the leafs.
pub fn record_reports(leafs: &LeafTable, summaries: &HashMap<LeafHash, LeafSummary>, now: Instant) {
    let mut medians: HashMap<GroupKey, Vec<(LeafHash, Duration)>> = HashMap::new();
    let paced = || leafs.iter().filter(|leaf| leaf.state().estimates.is_paced());
    for leaf in paced() {
        let median = summaries.get(&leaf.hash).and_then(|summary| summary.median);
        if let Some(median) = median {
            medians.entry(leaf.host.detail.group).or_default().push((leaf.hash, median));
        }
    }
    for leaf in paced() {
        let Some(summary) = summaries.get(&leaf.hash) else { continue };
        let neighbours = medians.get(&leaf.host.detail.group).into_iter().flatten();
        let usual = neighbours.filter(|(hash, _)| *hash != leaf.hash).map(|(_, median)| *median);
        leaf.state().pace.record_report(summary, usual.max(), now);
    }
}
