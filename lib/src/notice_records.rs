//! Records what leafs say themselves about taking further calls, and logs the changes.

use std::time::Instant;

use crate::events::Event;
use crate::leaf::Leaf;
use crate::leaf_notices::LeafNotice;
use crate::leaf_notices::NoticeChange;
use crate::log_event;
use crate::tier::Tier;

/// Records the notice in a leaf's reply that arrived at `now`. Refuses the calls that wait for a
/// slot of a leaf that takes none any more, so that they are sent to another leaf.
pub fn record_notice(tier: &Tier, leaf: &Leaf, notice: &LeafNotice, now: Instant) {
    if *notice == LeafNotice::default() {
        return;
    }
    let changes = leaf.notices.lock().record(notice, now);
    for change in changes {
        log_change(tier, leaf, &change);
        if !matches!(change, NoticeChange::Unreadable(_)) {
            leaf.state().admission_queue.refuse_waiting();
        }
    }
}

fn log_change(tier: &Tier, leaf: &Leaf, change: &NoticeChange) {
    let name = leaf.host.name.as_str();
    match change {
        NoticeChange::Leaving => {
            tier.counters.leaving_notices.increment();
            log_event!(info, Event::LeafLeaving, leaf = name);
        }
        NoticeChange::Paused(pause) => {
            tier.counters.pauses.increment();
            let pause_ms = pause.duration().as_millis() as u64;
            log_event!(info, Event::LeafPaused, leaf = name, pause_ms);
        }
        NoticeChange::Unreadable(named) => {
            log_event!(warn, Event::LeafPauseUnreadable, leaf = name, named);
        }
    }
}
