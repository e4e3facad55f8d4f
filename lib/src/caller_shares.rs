//! How much each caller has lately used of this host, and who uses more than its fair part.
//!
//! Load: some callers repeat at once and often, or many requests of one caller come at once, while
//! leafs have too few slots for all. Callers above their part then wait behind the others of their
//! class, and are the first that are refused. While there is room, nobody is held back.
//!
//! A caller is known by its address. Where few addresses stand for all callers, as behind a load
//! balancer, they say nothing about single callers, and nobody counts as above its part.

use std::collections::HashMap;
use std::hash::BuildHasher;
use std::hash::RandomState;
use std::net::IpAddr;
use std::time::Duration;
use std::time::Instant;

use crate::catalogue::Class;
use crate::ids::Owner;

/// Time after which work has lost about two thirds of its weight.
const DECAY_TIME: Duration = Duration::from_secs(2);
/// Largest number of callers that are tracked. When it is reached, the half that has used least is
/// forgotten, which keeps those that matter.
const MAX_CALLERS: usize = 1_024;
/// Smallest number of callers, with work in the last seconds, that are compared.
const MIN_CALLERS: usize = 4;
/// Factor by which a caller's use must exceed the mean of the others.
const OVER_FACTOR: f64 = 2.0;
/// Smallest use, in requests, with which a caller may count as above its part.
const MIN_OVER_REQUESTS: f64 = 4.0;
/// Use, in requests, below which a caller is forgotten.
const FORGOTTEN_REQUESTS: f64 = 0.1;
/// Interval between two removals of forgotten callers.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Identifies a caller of an entry's owner. Two callers may have the same key, though rarely, and
/// then share one part.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct CallerKey(u64);

/// Whether a caller has used more than its fair part of this host.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Standing {
    /// The caller is within its part.
    #[default]
    Within,
    /// The caller is above its part.
    Above,
}

/// A caller whose request was added to its use.
#[derive(Clone, Copy, Debug)]
pub struct CountedCaller {
    /// Identifies the caller.
    pub key: CallerKey,
    /// The caller's standing when its request arrived.
    pub standing: Standing,
}

/// Use of one caller.
#[derive(Clone, Copy, Debug)]
struct Use {
    /// Decayed number of requests, at the time `at`.
    requests: f64,
    at: Instant,
}

impl Use {
    fn at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.requests * (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }

    fn add(&mut self, requests: f64, now: Instant) {
        *self = Self { requests: (self.at(now) + requests).max(0.0), at: now };
    }
}

/// The callers that have lately used this host, by class.
#[derive(Debug, Default)]
pub struct CallerShares {
    hasher: RandomState,
    urgent: ClassShares,
    ordinary: ClassShares,
}

impl CallerShares {
    /// Returns the key of the caller at `addr` for entries of `owner`.
    pub fn key(&self, addr: IpAddr, owner: &Owner) -> CallerKey {
        CallerKey(self.hasher.hash_one((addr, owner)))
    }

    /// Returns the callers of a class.
    pub fn of(&mut self, class: Class) -> &mut ClassShares {
        match class {
            Class::Urgent => &mut self.urgent,
            Class::Ordinary => &mut self.ordinary,
        }
    }

    /// Returns the number of callers that are tracked.
    pub fn tracked(&self) -> usize {
        self.urgent.uses.len() + self.ordinary.uses.len()
    }
}

/// The callers of one class that have lately used this host.
#[derive(Debug, Default)]
pub struct ClassShares {
    uses: HashMap<CallerKey, Use>,
    total: Option<Use>,
    swept_at: Option<Instant>,
}

impl ClassShares {
    /// Adds a request that a caller sends, and returns the caller's standing before it.
    pub fn add_request(&mut self, caller: CallerKey, now: Instant) -> Standing {
        self.sweep(now);
        let standing = self.standing(caller, now);
        let none = Use { requests: 0.0, at: now };
        self.uses.entry(caller).or_insert(none).add(1.0, now);
        self.total.get_or_insert(none).add(1.0, now);
        standing
    }

    /// Takes back a request that was not served, so that a caller is measured by what it got.
    pub fn remove_request(&mut self, caller: CallerKey, now: Instant) {
        if let Some(used) = self.uses.get_mut(&caller) {
            used.add(-1.0, now);
            if let Some(total) = &mut self.total {
                total.add(-1.0, now);
            }
        }
    }

    /// Returns a caller's standing.
    pub fn standing(&self, caller: CallerKey, now: Instant) -> Standing {
        let used = self.uses.get(&caller).map_or(0.0, |used| used.at(now));
        let others = self.uses.len() - usize::from(self.uses.contains_key(&caller));
        if others + 1 < MIN_CALLERS || used < MIN_OVER_REQUESTS {
            return Standing::Within;
        }
        let total = self.total.map_or(0.0, |total| total.at(now));
        let mean_of_others = (total - used).max(0.0) / others as f64;
        if used > mean_of_others * OVER_FACTOR { Standing::Above } else { Standing::Within }
    }

    /// Forgets callers without recent work, and the half with the least use if there are too many.
    fn sweep(&mut self, now: Instant) {
        let is_due =
            self.swept_at.is_none_or(|at| now.saturating_duration_since(at) >= SWEEP_INTERVAL);
        if !is_due && self.uses.len() < MAX_CALLERS {
            return;
        }
        self.swept_at = Some(now);
        self.uses.retain(|_, used| used.at(now) >= FORGOTTEN_REQUESTS);
        if self.uses.len() >= MAX_CALLERS {
            let mut uses: Vec<_> = self.uses.values().map(|used| used.at(now)).collect();
            let middle = uses.len() / 2;
            let (_, &mut median, _) = uses.select_nth_unstable_by(middle, f64::total_cmp);
            self.uses.retain(|_, used| used.at(now) > median);
        }
        let requests = self.uses.values().map(|used| used.at(now)).sum();
        self.total = Some(Use { requests, at: now });
    }
}
