//! One leaf as this process knows it, and the table of all of them.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use tokio::sync::oneshot;

use crate::admission_queue::AdmissionQueue;
use crate::budget::ExtraLoadBudget;
use crate::catalogue::Class;
use crate::hosts::HostList;
use crate::hosts::HostState;
use crate::hosts::LeafDetail;
use crate::hosts::LeafHost;
use crate::ids::HostName;
use crate::ids::LeafHash;
use crate::ids::LeafKey;
use crate::ids::Zone;
use crate::leaf_estimates::LeafEstimates;
use crate::leaf_estimates::Usability;
use crate::plan::Choice;
use crate::plan::Purpose;
use crate::pool::Pool;
use crate::relay::Route;
use crate::relay::Router;
use crate::zone_rtt::ZoneRtts;

/// Retries that a leaf's failures may cause, as a share of the calls to it.
const LEAF_RETRY_SHARE: f64 = 0.2;
/// Cost added to a replica in another zone, so that near equals stay local.
const REMOTE_ZONE_COST: Duration = Duration::from_millis(1);
/// Cost of a new connection to a leaf whose connections are fewer than the hosts.
const SCARCE_CONNECTION_COST: Duration = Duration::from_millis(30);
/// Chance to fail above which a leaf gets no second calls: the budget for them is better spent on
/// shards that are likely to answer.
const MAX_HEDGE_FAILURE_CHANCE: f64 = 0.35;
/// Cost of a new connection to a leaf that closed one lately, as it has too many: it is tried after all
/// others, as its room changes hands within tenths of a second.
const FULL_LEAF_COST: Duration = Duration::from_secs(1);
/// Weight of own calls in flight at a leaf against its slots.
const LOAD_WEIGHT: f64 = 0.5;
/// Cost of a leaf that was tried for the same shard already.
const TRIED_COST: Duration = Duration::from_secs(60);

/// Wakes a call that waits for a slot. Dropping it refuses the call.
pub type SlotToken = oneshot::Sender<()>;

/// The part of a leaf that calls change.
#[derive(Debug)]
pub struct LeafState {
    /// The queue in front of the leaf.
    pub admission_queue: AdmissionQueue<SlotToken>,
    /// What was observed.
    pub estimates: LeafEstimates,
    /// Retries that this leaf's failures may cause.
    pub retries: ExtraLoadBudget,
    /// How this host reaches the leaf.
    pub route: Route,
    /// What the platform says of it now.
    pub detail: LeafDetail,
}

/// Returns the most calls that this host may have in flight at a leaf. Through relays it is the
/// leaf's slots; the relays queue for them.
fn window(host: &LeafHost, route: &Route) -> u32 {
    match route {
        Route::Direct(connections) => host.slots.min(*connections),
        Route::Via(_) => host.slots,
    }
}

/// One leaf. Lock order: `state` before the pool's own lock; never two leafs' states at once.
#[derive(Debug)]
pub struct Leaf {
    /// The leaf's key.
    pub key: LeafKey,
    /// The hash of its name.
    pub hash: LeafHash,
    /// What the host list says of it.
    pub host: Arc<LeafHost>,
    /// Connections to it.
    pub pool: Pool,
    state: Mutex<LeafState>,
}

impl Leaf {
    /// Makes a leaf that was never called.
    pub fn new(key: LeafKey, host: Arc<LeafHost>, route: Route) -> Self {
        let mut estimates = LeafEstimates::default();
        estimates.set_listed_leaving(host.state == HostState::Leaving);
        estimates.set_cold_until(host.detail.cold_until);
        let pool = Pool::new(route.connections());
        let admission_queue = AdmissionQueue::new(window(&host, &route));
        let retries = ExtraLoadBudget::for_leaf();
        let detail = host.detail.clone();
        let state = LeafState { admission_queue, estimates, retries, route, detail };
        let hash = LeafHash::of(&host.name);
        Self { key, hash, pool, host, state: Mutex::new(state) }
    }

    /// Returns how this host reaches the leaf.
    pub fn route(&self) -> Route {
        self.state().route.clone()
    }

    /// Locks the part that calls change.
    pub fn state(&self) -> MutexGuard<'_, LeafState> {
        self.state.lock().unwrap()
    }

    fn update(&self, host: &LeafHost, route: Route) {
        self.pool.set_limit(route.connections());
        let mut state = self.state();
        state.admission_queue.set_max_window(window(host, &route));
        state.route = route;
        state.detail = host.detail.clone();
        state.estimates.set_listed_leaving(host.state == HostState::Leaving);
        state.estimates.set_cold_until(host.detail.cold_until);
    }

    /// Earns retry credit for a call made to this leaf.
    pub fn count_call(&self) {
        self.state().retries.deposit(1, LEAF_RETRY_SHARE);
    }
}

/// All listed leafs by key. Immutable; the leafs themselves are shared between versions.
#[derive(Clone, Debug, Default)]
pub struct LeafTable {
    leafs: Vec<Option<Arc<Leaf>>>,
}

impl LeafTable {
    /// Makes the table for a host list, keeping the leafs whose address did not change. Routes are
    /// decided again only where the daemons or the leaf changed.
    pub fn with_hosts(&self, before: &HostList, hosts: &HostList, own: &HostName) -> Self {
        let size = hosts.leafs().map(|(key, _)| key.0 as usize + 1).max().unwrap_or(0);
        let mut leafs = vec![None; size];
        let router = Router::new(own, hosts);
        let same_daemons = before.daemons == hosts.daemons;
        for (key, host) in hosts.leafs() {
            let known = self.get(key).filter(|leaf| leaf.host.addr == host.addr);
            let unchanged = same_daemons && before.leaf(key) == Some(host);
            let leaf = match known {
                Some(leaf) if unchanged => leaf.clone(),
                Some(leaf) => {
                    leaf.update(host, router.route(host));
                    leaf.clone()
                }
                None => Arc::new(Leaf::new(key, host.clone(), router.route(host))),
            };
            leafs[key.0 as usize] = Some(leaf);
        }
        Self { leafs }
    }

    /// Finds a leaf.
    pub fn get(&self, key: LeafKey) -> Option<&Arc<Leaf>> {
        self.leafs.get(key.0 as usize)?.as_ref()
    }

    /// Whether a leaf is listed and may get a call.
    pub fn is_usable(&self, key: LeafKey, now: Instant) -> bool {
        self.get(key).is_some_and(|leaf| leaf.state().estimates.usability(now) == Usability::Usable)
    }

    /// Returns all leafs ordered by key.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Leaf>> {
        self.leafs.iter().flatten()
    }

    /// Ranks the replicas by expected time, usable ones first.
    ///
    /// Ejection is ignored when it would leave less than half of the replicas.
    pub fn rank(&self, zone: &Zone, class: Class, choosing: Choosing<'_>) -> Ranked {
        let mut sound = Best::default();
        let mut ejected = Best::default();
        for &key in choosing.replicas {
            let Some(leaf) = self.get(key) else { continue };
            let Some(candidate) = choosing.candidate(leaf, zone, class) else { continue };
            if candidate.ejected { ejected.add(candidate) } else { sound.add(candidate) }
        }
        let is_hedge = choosing.purpose == Purpose::Hedge;
        let tries_ejected = sound.count == 0 && !is_hedge || ejected.count > sound.count + 1;
        let best = sound.first.or(ejected.first.filter(|_| tries_ejected));
        Ranked {
            best: best.map(|c| Choice { leaf: c.leaf, wait: c.wait, cost: c.cost }),
            other_time: sound.second.map(|c| c.time),
        }
    }
}

/// The result of ranking.
#[derive(Clone, Copy, Debug)]
pub struct Ranked {
    /// The best replica.
    pub best: Option<Choice>,
    /// When the next best one is expected to answer.
    pub other_time: Option<Duration>,
}

#[derive(Default)]
struct Best {
    first: Option<Candidate>,
    second: Option<Candidate>,
    count: usize,
}

impl Best {
    fn add(&mut self, candidate: Candidate) {
        self.count += 1;
        if self.first.is_none_or(|first| candidate.cost < first.cost) {
            self.second = self.first.replace(candidate);
        } else if self.second.is_none_or(|second| candidate.cost < second.cost) {
            self.second = Some(candidate);
        }
    }
}

/// The replicas to choose from.
#[derive(Clone, Copy, Debug)]
pub struct Choosing<'a> {
    /// The leafs that hold the shard.
    pub replicas: &'a [LeafKey],
    /// Leafs that were called for this shard already.
    pub tried: &'a [LeafKey],
    /// Why a call is made.
    pub purpose: Purpose,
    /// Calls that were given to each leaf and are not counted in its gate yet.
    pub picked: &'a HashMap<LeafKey, u32>,
    /// Time that a sound leaf works on a call.
    pub typical_work: Duration,
    /// Round trips to the leafs' zones.
    pub zone_rtts: &'a ZoneRtts,
    /// The present time.
    pub now: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    leaf: LeafKey,
    wait: Duration,
    time: Duration,
    cost: Duration,
    ejected: bool,
}

impl Choosing<'_> {
    fn candidate(&self, leaf: &Leaf, zone: &Zone, class: Class) -> Option<Candidate> {
        let was_tried = self.tried.contains(&leaf.key);
        let state = leaf.state();
        let usability = state.estimates.usability(self.now);
        let is_hedge = self.purpose == Purpose::Hedge;
        if matches!(usability, Usability::Draining | Usability::Gone) {
            return None;
        }
        let is_likely_to_fail =
            || state.estimates.failure_chance(self.now) > MAX_HEDGE_FAILURE_CHANCE;
        if is_hedge && (was_tried || !state.admission_queue.is_free(class) || is_likely_to_fail()) {
            return None;
        }
        let service = state.estimates.median_latency();
        let picked = self.picked.get(&leaf.key).copied().unwrap_or(0);
        let queueing = state.admission_queue.expected_wait(class, service, picked);
        let wait = queueing + service;
        let load =
            f64::from(state.admission_queue.in_flight() + picked) / f64::from(leaf.host.slots);
        let typical = self.typical_work + self.zone_rtts.get(&leaf.host.zone);
        let work =
            self.typical_work.mul_f64(load * LOAD_WEIGHT + rand::rng().random_range(0.0..0.1));
        let mut time = queueing + state.estimates.expected_latency(typical, self.now);
        let mut penalty = state.estimates.failure_cost(self.now) + work;
        let has_connection = leaf.pool.idle_count() > 0;
        let needs_room = !has_connection && state.estimates.is_full(self.now);
        if needs_room && is_hedge {
            return None;
        }
        if !has_connection {
            time += self.zone_rtts.get(&leaf.host.zone);
            if state.detail.own_connections.is_some() && !state.detail.keeps_warm {
                penalty += SCARCE_CONNECTION_COST;
            }
        }
        if needs_room {
            penalty += FULL_LEAF_COST;
        }
        if leaf.host.zone != *zone {
            penalty += REMOTE_ZONE_COST;
        }
        if was_tried {
            penalty += TRIED_COST;
        }
        let ejected = usability == Usability::Ejected
            || (state.estimates.is_on_probe() && state.admission_queue.in_flight() > 0);
        Some(Candidate { leaf: leaf.key, wait, time, cost: time + penalty, ejected })
    }
}
