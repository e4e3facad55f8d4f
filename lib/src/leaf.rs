//! State that this process keeps for one leaf.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::catalogue::Class;
use crate::hosts::LeafHost;
use crate::ids::HostName;
use crate::ids::LeafHash;
use crate::ids::LeafKey;
use crate::leaf_estimates::Usability;
use crate::leaf_notices::SharedNotices;
use crate::leaf_notices::Standing;
use crate::leaf_pace::LeafPace;
use crate::leaf_state::LeafState;
use crate::leaf_state::max_window;
use crate::pool::Pool;
use crate::relay::Route;

/// Number of retries that a leaf's failures may cause, as a share of the calls to it.
const LEAF_RETRY_SHARE: f64 = 0.2;
/// One leaf. Lock order: `state` before the locks of the pool and of the notices; never the states
/// of two leafs at once.
#[derive(Debug)]
pub struct Leaf {
    /// Index of the leaf in this process's tables.
    pub key: LeafKey,
    /// Hash of the leaf's name, by which other hosts refer to it.
    pub hash: LeafHash,
    /// The leaf's entry in the host list from which it was created: name, address, zone and slots.
    pub host: Arc<LeafHost>,
    /// Idle connections to the leaf and the count of open ones.
    pub pool: Pool,
    /// What the leaf has said itself about taking further calls.
    pub notices: SharedNotices,
    is_evacuated: AtomicBool,
    state: Mutex<LeafState>,
}

impl Leaf {
    /// Creates a leaf without observations or connections. `notices` are those of an earlier record
    /// of the same start of the leaf.
    /// `own` is this host.
    pub fn new(
        key: LeafKey,
        host: &Arc<LeafHost>,
        route: Route,
        notices: SharedNotices,
        own: &HostName,
        now: Instant,
    ) -> Self {
        let pool = Pool::new(route.connections());
        let hash = LeafHash::of(&host.name);
        let state = LeafState::new(host, route, LeafPace::new(own, hash), now);
        let is_evacuated = AtomicBool::new(host.detail.is_evacuated);
        let (host, state) = (host.clone(), Mutex::new(state));
        Self { key, hash, pool, host, notices, is_evacuated, state }
    }

    /// Returns whether the operator has evacuated the leaf's zone.
    pub fn is_evacuated(&self) -> bool {
        self.is_evacuated.load(Ordering::Relaxed)
    }

    /// Returns whether the leaf takes calls now, by its own word and the operator's.
    pub fn takes_calls(&self, now: Instant) -> bool {
        !self.is_evacuated() && self.notices.standing(now) == Standing::Open
    }

    /// Returns whether the leaf may get a call now, by the operator's and its own word before what is published and
    /// observed.
    pub fn usability(&self, now: Instant) -> Usability {
        let estimated = self.state().estimates.usability(now);
        self.usability_with(estimated, now)
    }

    pub(crate) fn usability_with(&self, estimated: Usability, now: Instant) -> Usability {
        match self.notices.standing(now) {
            _ if estimated == Usability::Gone => Usability::Gone,
            _ if self.is_evacuated() => Usability::Evacuated,
            Standing::Leaving => Usability::Draining,
            _ if estimated == Usability::Draining => Usability::Draining,
            Standing::Paused(_) => Usability::Paused,
            Standing::Open => estimated,
        }
    }

    /// Returns the time until the leaf takes a first call of `class`, zero if it takes one now.
    /// Returns nothing if the leaf is evacuated, leaving or gone.
    pub fn callable_in(&self, class: Class, now: Instant) -> Option<Duration> {
        if self.is_evacuated() {
            return None;
        }
        let state = self.state();
        let paused = match self.notices.standing(now) {
            Standing::Leaving => return None,
            Standing::Paused(time) => time,
            Standing::Open => Duration::ZERO,
        };
        if matches!(state.estimates.usability(now), Usability::Draining | Usability::Gone) {
            return None;
        }
        let limited = state.limiter.wait(class, now).max(state.cold.wait(now));
        Some(paused.max(limited.unwrap_or_default()))
    }

    /// Returns whether calls go to the leaf directly or through relays.
    pub fn route(&self) -> Route {
        self.state().route.clone()
    }

    /// Locks and returns the state that changes with every call.
    pub fn state(&self) -> MutexGuard<'_, LeafState> {
        self.state.lock().unwrap()
    }

    pub(crate) fn update(&self, host: &LeafHost, route: Route, now: Instant) {
        self.pool.set_limit(route.connections());
        self.is_evacuated.store(host.detail.is_evacuated, Ordering::Relaxed);
        let mut state = self.state();
        state.admission_queue.set_max_window(max_window(host, &route));
        if host.detail.is_evacuated {
            // The waiting calls go to other leafs at once.
            state.admission_queue.refuse_waiting();
        }
        state.route = route;
        state.set_host(host, now);
    }

    /// Adds the retry credit of one call to the leaf's budget.
    pub fn deposit_retry_credit(&self) {
        self.state().retries.deposit(1, LEAF_RETRY_SHARE);
    }
}
