//! Records the load that leafs state in their replies, and logs statements that cannot be read.

use std::time::Instant;

use crate::events::Event;
use crate::leaf::Leaf;
use crate::leaf_load::StatedLoad;
use crate::log_event;
use crate::tier::Tier;

/// Records the load that a leaf states in a reply that arrived at `now`.
pub fn record_stated(tier: &Tier, leaf: &Leaf, stated: &StatedLoad, now: Instant) {
    let unreadable = leaf.state().load.record(stated, now);
    match stated {
        StatedLoad::Absent => {}
        StatedLoad::Known(_) => tier.counters.stated_loads.increment(),
        StatedLoad::Unreadable(_) => tier.counters.unreadable_loads.increment(),
    }
    if let Some(stated) = unreadable {
        let name = leaf.host.name.as_str();
        log_event!(warn, Event::LeafLoadUnreadable, leaf = name, stated);
    }
}
