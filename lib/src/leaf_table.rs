//! Table of the listed leafs, and the ranking of replicas.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::RngCore;

use crate::candidate::Candidate;
use crate::candidate::Pace;
use crate::candidate::TopTwo;
use crate::catalogue::Class;
use crate::hosts::HostList;
use crate::ids::HostName;
use crate::ids::LeafKey;
use crate::ids::Zone;
use crate::leaf::Leaf;
use crate::leaf_estimates::Usability;
use crate::leaf_notices::SharedNotices;
use crate::placing;
use crate::plan::Choice;
use crate::plan::Purpose;
use crate::relay::Router;
use crate::waiting_calls::Rank;
use crate::zone_rtt::ZoneRtts;

/// Cost added to a replica in another zone, so that a local replica of about equal cost is chosen.
const REMOTE_ZONE_COST: Duration = Duration::from_millis(1);
/// Cost of a new connection to a leaf to which this host keeps none prewarmed, mostly because the
/// leaf accepts fewer connections than there are hosts.
const SCARCE_CONNECTION_COST: Duration = Duration::from_millis(30);
/// Failure probability above which a leaf gets no hedges: the budget for hedges is better spent on
/// leafs that are likely to reply.
const MAX_HEDGE_FAILURE_CHANCE: f64 = 0.35;
/// Cost of a new connection to a leaf that recently closed one because it has too many. Such a leaf
/// is tried after all others, but still tried, as connections become free within tenths of a
/// second.
const FULL_LEAF_COST: Duration = Duration::from_secs(1);
/// Cost of a leaf all of whose slots are in use by this host's calls, in units of the typical
/// processing time. The cost is proportional to the share of the slots in use.
const LOAD_WEIGHT: f64 = 0.5;
/// Cost of a leaf that was already tried for the same shard; it is chosen only if no other is left.
const TRIED_COST: Duration = Duration::from_secs(60);

/// Cost of a returning leaf beyond its part, in units of the typical processing time: it gets a call
/// that takes this much longer at the other leafs.
const RETURNING_WEIGHT: f64 = 8.0;

/// Time for which the notices of a leaf are kept after its entry has lapsed, as the same start of
/// the leaf may be published again.
const NOTICE_LIFETIME: Duration = Duration::from_secs(600);

/// Notices of a leaf that is no longer listed.
#[derive(Clone, Debug)]
struct UnlistedLeaf {
    notices: SharedNotices,
    unlisted_at: Instant,
}

/// All listed leafs by key. The table is immutable; its versions share the leafs.
#[derive(Clone, Debug, Default)]
pub struct LeafTable {
    leafs: Vec<Option<Arc<Leaf>>>,
    unlisted: HashMap<LeafKey, UnlistedLeaf>,
}

impl LeafTable {
    /// Returns the table for the host list `hosts`, which replaces `before`, on the host `own`.
    /// Leafs whose address is the same keep their state, and all keep their notices. Routes are
    /// computed again only if the daemons or the leaf changed.
    pub fn with_hosts(
        &self,
        before: &HostList,
        hosts: &HostList,
        own: &HostName,
        now: Instant,
    ) -> Self {
        let size = hosts.leafs().map(|(key, _)| key.0 as usize + 1).max().unwrap_or(0);
        let mut leafs = vec![None; size];
        let router = Router::new(own, hosts);
        let same_daemons = before.daemons == hosts.daemons;
        for (key, host) in hosts.leafs() {
            let existing = self.get(key).filter(|leaf| leaf.host.addr == host.addr);
            let unchanged = same_daemons && before.leaf(key) == Some(host);
            let leaf = match existing {
                Some(leaf) if unchanged => leaf.clone(),
                Some(leaf) => {
                    leaf.update(host, router.route(host), now);
                    leaf.clone()
                }
                None => {
                    let notices = self.notices(key);
                    Arc::new(Leaf::new(key, host, router.route(host), notices, own, now))
                }
            };
            leafs[key.0 as usize] = Some(leaf);
        }
        let unlisted = self.unlisted_without(&leafs, now);
        Self { leafs, unlisted }
    }

    /// Returns the notices known of a leaf; none if this table has no record of it.
    fn notices(&self, key: LeafKey) -> SharedNotices {
        let listed = self.get(key).map(|leaf| &leaf.notices);
        let unlisted = || self.unlisted.get(&key).map(|unlisted| &unlisted.notices);
        listed.or_else(unlisted).cloned().unwrap_or_default()
    }

    /// Returns the recently listed leafs that are not in `listed`, the leafs of the next table.
    fn unlisted_without(
        &self,
        listed: &[Option<Arc<Leaf>>],
        now: Instant,
    ) -> HashMap<LeafKey, UnlistedLeaf> {
        let mut unlisted = self.unlisted.clone();
        for leaf in self.iter() {
            let notices = leaf.notices.clone();
            unlisted.insert(leaf.key, UnlistedLeaf { notices, unlisted_at: now });
        }
        let is_listed = |key: &LeafKey| listed.get(key.0 as usize).is_some_and(Option::is_some);
        unlisted.retain(|key, leaf| {
            let age = now.saturating_duration_since(leaf.unlisted_at);
            !is_listed(key) && age < NOTICE_LIFETIME
        });
        unlisted
    }

    /// Returns the leaf with this key if it is listed.
    pub fn get(&self, key: LeafKey) -> Option<&Arc<Leaf>> {
        self.leafs.get(key.0 as usize)?.as_ref()
    }

    /// Returns whether a leaf is listed and may get a call.
    pub fn is_usable(&self, key: LeafKey, now: Instant) -> bool {
        self.get(key).is_some_and(|leaf| leaf.usability(now) == Usability::Usable)
    }

    /// Returns the time until the first of these replicas takes a first call of `class`, zero if
    /// one takes it now; nothing if all of them are leaving or gone.
    pub fn callable_in(
        &self,
        replicas: &[LeafKey],
        class: Class,
        now: Instant,
    ) -> Option<Duration> {
        let leafs = replicas.iter().filter_map(|key| self.get(*key));
        leafs.filter_map(|leaf| leaf.callable_in(class, now)).min()
    }

    /// Returns all leafs ordered by key.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Leaf>> {
        self.leafs.iter().flatten()
    }

    /// Ranks the replicas of a shard by cost for a call of `class` from a host in `zone`, with the
    /// random numbers of this thread. See [`LeafTable::rank_with`].
    pub fn rank(&self, zone: &Zone, rank: impl Into<Rank>, input: RankingInput<'_>) -> Ranked {
        self.rank_with(zone, rank, input, &mut rand::rng())
    }

    /// Ranks the replicas of a shard by cost for a call of `class` from a host in `zone`. A call
    /// that is the only one of its query is placed by [`placing::choose`], any other on the replica
    /// of the least cost.
    ///
    /// An ejected replica is chosen only if no other one may be called, since ejection must not
    /// make a shard unreachable; for a hedge, at least two must be ejected.
    pub fn rank_with(
        &self,
        zone: &Zone,
        rank: impl Into<Rank>,
        input: RankingInput<'_>,
        rng: &mut dyn RngCore,
    ) -> Ranked {
        let rank = rank.into();
        let mut singles = Vec::new();
        let mut not_ejected = TopTwo::default();
        let mut returning = TopTwo::default();
        let mut ejected = TopTwo::default();
        let mut held_back = TopTwo::default();
        for &key in input.replicas {
            let Some(leaf) = self.get(key) else { continue };
            let Some(candidate) = input.candidate(leaf, zone, rank, rng) else { continue };
            if candidate.held_back {
                held_back.add(candidate);
            } else if candidate.ejected {
                ejected.add(candidate);
            } else if candidate.pace == Pace::BeyondPart {
                returning.add(candidate);
            } else {
                not_ejected.add(candidate);
                if input.is_single {
                    singles.push(candidate);
                }
            }
        }
        let is_hedge = input.purpose == Purpose::Hedge;
        let count = not_ejected.count + returning.count;
        let tries_ejected = count == 0 && !is_hedge || ejected.count > count + 1;
        let placed = input.is_single.then(|| place(&singles, input.typical_work, rng)).flatten();
        let within = placed.or(not_ejected.first);
        let in_pace = self.choose_in_pace(within, returning.first, &input);
        let best = in_pace.or(ejected.first.filter(|_| tries_ejected));
        if let Some(wanted) = held_back.first
            && best.is_none_or(|best| wanted.cost < best.cost)
            && let Some(leaf) = self.get(wanted.leaf)
        {
            leaf.state().limiter.record_turned_away(input.now);
        }
        let is_other = |c: &Candidate| best.is_none_or(|best| best.leaf != c.leaf);
        let second_best_time = not_ejected
            .first
            .filter(is_other)
            .or(not_ejected.second)
            .or(returning.first.filter(is_other));
        Ranked {
            best: best.map(Candidate::choice),
            second_best_time: second_best_time.map(|c| c.time),
        }
    }

    /// Chooses between the best leaf within its part or with a full share, and the best one beyond
    /// its part. Records the choices of those that return, from which their parts are counted.
    fn choose_in_pace(
        &self,
        within: Option<Candidate>,
        beyond: Option<Candidate>,
        input: &RankingInput<'_>,
    ) -> Option<Candidate> {
        let margin = input.typical_work.mul_f64(RETURNING_WEIGHT);
        let chosen = match (within, beyond) {
            (Some(within), Some(beyond)) if beyond.cost + margin < within.cost => beyond,
            (Some(within), _) => within,
            (None, beyond) => beyond?,
        };
        let record = |candidate: Candidate, is_held_back| {
            if let Some(leaf) = self.get(candidate.leaf) {
                leaf.state().pace.record_choice(is_held_back);
            }
        };
        if chosen.pace != Pace::FullShare {
            record(chosen, false);
        }
        let is_better = |c: &Candidate| c.leaf != chosen.leaf && c.warm_cost < chosen.cost;
        if let Some(beyond) = beyond.filter(is_better) {
            record(beyond, true);
        }
        Some(chosen)
    }
}

/// Places the call of a query with one shard on one of these leafs.
fn place(singles: &[Candidate], work: Duration, rng: &mut dyn RngCore) -> Option<Candidate> {
    let places = singles.iter().map(|candidate| candidate.place()).collect();
    let placed = placing::choose(places, work, rng)?;
    singles.iter().find(|candidate| candidate.leaf == placed.leaf).copied()
}

/// The result of [`LeafTable::rank`].
#[derive(Clone, Copy, Debug)]
pub struct Ranked {
    /// The replica with the lowest cost; absent if none may be called.
    pub best: Option<Choice>,
    /// Expected answer time of the second-best replica that is not ejected; absent if there is
    /// none.
    pub second_best_time: Option<Duration>,
}

/// The replicas of one shard and what their ranking depends on.
#[derive(Clone, Copy, Debug)]
pub struct RankingInput<'a> {
    /// The leafs that hold the shard.
    pub replicas: &'a [LeafKey],
    /// Leafs that were already called for this shard.
    pub tried: &'a [LeafKey],
    /// Whether the call is a first call, a hedge or a retry.
    pub purpose: Purpose,
    /// Whether the query consists of this one shard, so that its call may be placed on any of the
    /// replicas of nearly equal cost.
    pub is_single: bool,
    /// Number of calls that were assigned to each leaf and are not in its admission queue yet.
    pub assigned: &'a HashMap<LeafKey, u32>,
    /// Median processing time of a call, over all leafs of the index.
    pub typical_work: Duration,
    /// Round trips to the leafs' zones.
    pub zone_rtts: &'a ZoneRtts,
    /// This is the current time, for which the usability, the failures, the latency and the
    /// fullness of each leaf are estimated.
    pub now: Instant,
}

impl RankingInput<'_> {
    /// Returns the expected times and the cost of a leaf, or nothing if it must not get the call.
    fn candidate(
        &self,
        leaf: &Leaf,
        zone: &Zone,
        rank: Rank,
        rng: &mut dyn RngCore,
    ) -> Option<Candidate> {
        let was_tried = self.tried.contains(&leaf.key);
        let mut state = leaf.state();
        state.advance_pace(self.now);
        let usability = leaf.usability_with(state.estimates.usability(self.now), self.now);
        let is_hedge = self.purpose == Purpose::Hedge;
        if !matches!(usability, Usability::Usable | Usability::Ejected) {
            return None;
        }
        let is_likely_to_fail =
            || state.estimates.failure_chance(self.now) > MAX_HEDGE_FAILURE_CHANCE;
        if is_hedge && (was_tried || !state.admission_queue.is_free(rank) || is_likely_to_fail()) {
            return None;
        }
        let service = state.estimates.median_latency();
        let assigned = self.assigned.get(&leaf.key).copied().unwrap_or(0);
        let held_back = !state.limiter.admits(rank.class, self.purpose, assigned, self.now)
            || !state.cold.admits(assigned, self.now);
        if held_back && (is_hedge || was_tried) {
            return None;
        }
        let queueing = state.admission_queue.expected_wait(rank, service, assigned);
        let load =
            f64::from(state.admission_queue.in_flight() + assigned) / f64::from(leaf.host.slots);
        let rtt = self.zone_rtts.get(&leaf.host.zone);
        let typical = self.typical_work + rtt;
        let work = self.typical_work.mul_f64(load * LOAD_WEIGHT + rng.random_range(0.0..0.1));
        let observed = state.estimates.expected_latency(typical, self.now);
        let mut time =
            queueing + state.load.expected_time(observed, self.typical_work, rtt, self.now);
        let wait = time;
        let mut penalty = work;
        let has_connection = leaf.pool.idle_count() > 0;
        let connects_to_full_leaf = !has_connection && state.estimates.is_full(self.now);
        if connects_to_full_leaf && is_hedge {
            return None;
        }
        if !has_connection {
            time += rtt;
            if state.detail.own_connections.is_some() && !state.detail.keeps_warm {
                penalty += SCARCE_CONNECTION_COST;
            }
        }
        if connects_to_full_leaf {
            penalty += FULL_LEAF_COST;
        }
        let is_remote = leaf.host.zone != *zone;
        if is_remote {
            penalty += REMOTE_ZONE_COST;
        }
        if was_tried {
            penalty += TRIED_COST;
        }
        let ejected = usability == Usability::Ejected
            || (state.estimates.next_call_is_probe() && state.admission_queue.in_flight() > 0);
        let pace = match () {
            () if !state.pace.is_returning() => Pace::FullShare,
            () if state.pace.admits() => Pace::WithinPart,
            () => Pace::BeyondPart,
        };
        let warm_cost = time + penalty;
        // A leaf within its part is called in spite of earlier failures, to find out that they ended.
        let failure_cost = match pace {
            Pace::WithinPart => Duration::ZERO,
            Pace::FullShare | Pace::BeyondPart => state.estimates.failure_cost(self.now),
        };
        Some(Candidate {
            leaf: leaf.key,
            wait,
            time,
            cost: warm_cost + failure_cost,
            warm_cost,
            failure_cost,
            ejected,
            held_back,
            pace,
            distance: if is_remote { rtt } else { Duration::ZERO },
            freshness: state.load.freshness(self.typical_work, self.now),
        })
    }
}
