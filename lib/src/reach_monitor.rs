//! Watches whether this host is cut off from the leafs, and notices the end of a cut.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::seq::IteratorRandom;

use crate::held_connection::check_leaf;
use crate::leaf_table::LeafTable;
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
    let mut monitor = Monitor { tier, checked_at: Instant::now(), probed_at: None, was_cut: false };
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        monitor.check(&views.get().leafs, Instant::now());
    }
}

struct Monitor {
    tier: Arc<Tier>,
    checked_at: Instant,
    probed_at: Option<Instant>,
    /// Whether this host was cut off at the last check.
    was_cut: bool,
}

impl Monitor {
    fn check(&mut self, leafs: &LeafTable, now: Instant) {
        let pause = now.saturating_duration_since(self.checked_at);
        self.checked_at = now;
        let listed = leafs.iter().filter(|leaf| !leaf.is_evacuated()).count();
        let is_evacuated = |key| leafs.get(key).is_some_and(|leaf| leaf.is_evacuated());
        let (is_new_cut, is_suspected) = {
            let mut reach = self.tier.reach.lock().unwrap();
            if pause > PAUSE_TIME {
                reach.forget_attempts();
            }
            reach.forget_leafs(is_evacuated);
            (reach.detect_cut(listed, now), reach.is_suspected(listed, now))
        };
        if is_new_cut {
            self.tier.record_cut(listed);
            close_idle_connections(leafs, now);
        }
        let is_cut = self.tier.is_cut_off();
        if self.was_cut && !is_cut {
            for leaf in leafs.iter() {
                let mut state = leaf.state();
                state.estimates.forget_losses();
                state.pace.forget();
            }
        }
        self.was_cut = is_cut;
        let probed_ago = self.probed_at.map(|at| now.saturating_duration_since(at));
        if (is_cut || is_suspected) && probed_ago.is_none_or(|ago| ago >= PROBE_INTERVAL) {
            self.probed_at = Some(now);
            probe(&self.tier, leafs);
        }
    }
}

/// Closes connections that may never answer again, even after the cut.
fn close_idle_connections(leafs: &LeafTable, now: Instant) {
    leafs.iter().for_each(|leaf| leaf.pool.close_idle(Duration::ZERO, now));
}

/// Tries to connect to some leafs, to evacuated ones only if there are no others; a success is
/// recorded as a contact.
fn probe(tier: &Arc<Tier>, leafs: &LeafTable) {
    let callable = leafs.iter().filter(|leaf| !leaf.is_evacuated());
    let mut probed = callable.choose_multiple(&mut rand::rng(), PROBED_LEAFS);
    if probed.is_empty() {
        probed = leafs.iter().choose_multiple(&mut rand::rng(), PROBED_LEAFS);
    }
    for leaf in probed {
        let (tier, leaf) = (tier.clone(), leaf.clone());
        tokio::spawn(async move { _ = check_leaf(&tier, &leaf).await });
    }
}
