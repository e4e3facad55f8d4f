//! Records what this host learns about the rate limits of leafs, and logs the changes.

use std::time::Instant;

use crate::events::Event;
use crate::leaf::Leaf;
use crate::leaf_limiter::LimitChange;
use crate::log_event;
use crate::rate_limit::LimitObservation;
use crate::rate_limit::NamedLimit;
use crate::tier::Tier;

/// Records the limit that a leaf names in a reply that arrived at `now`.
pub fn record_named(tier: &Tier, leaf: &Leaf, named: &NamedLimit, now: Instant) {
    let change = leaf.state().limiter.record_named(named, now);
    update_rank(tier, leaf, now);
    handle_change(tier, leaf, change, now);
}

/// Records what another host knows about the limit of a leaf.
pub fn merge_observation(tier: &Tier, leaf: &Leaf, observation: LimitObservation, now: Instant) {
    let change = leaf.state().limiter.merge_observation(observation, now);
    update_rank(tier, leaf, now);
    handle_change(tier, leaf, change, now);
}

/// Updates this host's rank for a leaf that names a limit, unless it was computed just before.
pub fn update_rank(tier: &Tier, leaf: &Leaf, now: Instant) {
    if !leaf.state().limiter.is_rank_due(now) {
        return;
    }
    // Computed without the leaf's lock, as it takes locks that precede that one in the lock order.
    let rank = tier.host_rank(leaf, now);
    leaf.state().limiter.set_rank(rank, now);
}

fn handle_change(tier: &Tier, leaf: &Leaf, change: Option<LimitChange>, now: Instant) {
    let Some(change) = change else { return };
    let (sent, part_per_s) = {
        let state = leaf.state();
        (state.limiter.sent(), state.limiter.part_per_second(now))
    };
    let (name, all, repeated) = (leaf.host.name.as_str(), sent.all, sent.repeated);
    match change {
        LimitChange::Named(rate) => {
            let limit_per_s = rate.per_second();
            log_event!(
                info,
                Event::LeafLimitNamed,
                leaf = name,
                limit_per_s,
                part_per_s,
                sent = all,
                repeated
            );
        }
        LimitChange::Ended => {
            log_event!(info, Event::LeafLimitEnded, leaf = name, sent = all, repeated);
        }
        LimitChange::Unreadable(named) => {
            log_event!(warn, Event::LeafLimitUnreadable, leaf = name, named);
        }
    }
    tier.limits_changed.notify_one();
}
