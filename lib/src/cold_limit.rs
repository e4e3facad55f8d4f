//! Keeps the calls that all hosts together send to a cold leaf within the bound of its group.
//!
//! A cold leaf crashes above the bound, also while hosts do not reach each other, so that hosts
//! exchange nothing for it. Each one takes a fixed number of calls in any second, which follows
//! from its rank among the hosts that it has heard of. Invariant: in any [`WINDOW`], a host writes
//! at most its part of the bound to the leaf, from the moment it knows that the leaf is cold.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use crate::rate_limit::HostRank;

/// Time in which a host writes at most its part: the second of the bound, and a margin for the time
/// from the check to the write.
pub const WINDOW: Duration = Duration::from_millis(1_050);
/// Part of the bound to which the hosts that know each other keep. The rest is left to hosts that
/// restarted while they were cut off, and know only each other.
const KEPT_SHARE: f64 = 0.5;
/// Time for which a part is used after it was computed. It ends while the process is paused.
const PART_LIFETIME: Duration = Duration::from_secs(2);

/// Slow phase of a group's leafs after their start, as configured.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdPhase {
    /// Length of the phase.
    pub time: Duration,
    /// Requests a second that a leaf tolerates in it; absent if they are not bounded.
    pub tolerated_per_s: Option<f64>,
}

/// By how much the bound exceeds what a cold leaf tolerates, from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdAllowance {
    /// Factor of the tolerated requests a second.
    pub factor: f64,
    /// Requests in a second beyond that.
    pub slack: f64,
}

impl Default for ColdAllowance {
    fn default() -> Self {
        Self { factor: 1.0, slack: 0.0 }
    }
}

/// Bound on the calls to a cold leaf from all hosts together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdBound {
    /// Largest number of calls in any second.
    pub calls: u32,
    /// Length of the cold phase after a start of the leaf.
    pub cold_time: Duration,
}

impl ColdBound {
    /// Returns the bound for the leafs of a group; nothing if the group bounds nothing.
    pub fn new(phase: ColdPhase, allowance: ColdAllowance) -> Option<Self> {
        let tolerated_per_s = phase.tolerated_per_s.filter(|rate| *rate > 0.0)?;
        let calls = (tolerated_per_s * allowance.factor + allowance.slack).floor();
        Some(Self { calls: calls as u32, cold_time: phase.time })
    }

    /// Returns the calls in any second that the host of this rank may send. A host that has heard
    /// of more others never gets a larger part, so that the parts of hosts that have all heard of each
    /// other sum to at most [`KEPT_SHARE`] of the bound, whoever else each of them has heard of.
    pub fn part(self, rank: HostRank) -> u32 {
        let kept = (f64::from(self.calls) * KEPT_SHARE) as usize;
        let part = match rank.hosts {
            hosts if hosts <= kept => kept / hosts.max(1),
            _ => usize::from(rank.place < kept),
        };
        part as u32
    }
}

/// This host's part of the bound, with the time of its computation.
#[derive(Clone, Copy, Debug)]
struct Part {
    calls: u32,
    computed_at: Instant,
}

/// The bound on one leaf while it is cold, and this host's calls to it.
#[derive(Clone, Debug, Default)]
pub struct ColdLimiter {
    bound: Option<ColdBound>,
    cold_until: Option<Instant>,
    part: Option<Part>,
    /// Times of the latest writes, oldest first; at most as many as the bound allows.
    writes: VecDeque<Instant>,
    /// Number of calls that were chosen for the leaf and are not written yet.
    reserved: u32,
}

impl ColdLimiter {
    /// Sets the bound of the leaf's group, and the end of the cold phase that its entry announces.
    pub fn set_bound(&mut self, bound: Option<ColdBound>, cold_until: Option<Instant>) {
        self.bound = bound;
        self.cold_until = self.cold_until.max(cold_until);
    }

    /// Records that nothing listens at the leaf's address, so that it is cold when it is back, even
    /// if its entry does not say so yet.
    pub fn record_down(&mut self, now: Instant) {
        if let Some(bound) = self.bound {
            self.cold_until = self.cold_until.max(Some(now + bound.cold_time));
        }
    }

    /// Returns the bound if it binds now.
    pub fn bound(&self, now: Instant) -> Option<ColdBound> {
        self.bound.filter(|_| self.cold_until.is_some_and(|until| now < until))
    }

    /// Sets this host's part. `rank` is absent while it is not certain.
    pub fn set_rank(&mut self, rank: Option<HostRank>, now: Instant) {
        let calls = self.bound.zip(rank).map(|(bound, rank)| bound.part(rank));
        self.part = calls.map(|calls| Part { calls, computed_at: now });
    }

    /// Returns the calls in any second that this host may send now; nothing if the leaf is not
    /// cold or its group bounds nothing.
    pub fn part(&self, now: Instant) -> Option<u32> {
        self.bound(now)?;
        let current =
            self.part.filter(|p| now.saturating_duration_since(p.computed_at) < PART_LIFETIME);
        Some(current.map_or(0, |part| part.calls))
    }

    /// Returns whether one more call may be chosen for the leaf, beside `assigned` calls that are
    /// about to be.
    pub fn admits(&self, assigned: u32, now: Instant) -> bool {
        let Some(part) = self.part(now) else { return true };
        let used = self.writes.iter().filter(|at| is_within_window(**at, now)).count() as u32;
        used + self.reserved + assigned < part
    }

    /// Returns the time until a call may be chosen for the leaf; nothing if one may be now.
    pub fn wait(&self, now: Instant) -> Option<Duration> {
        if self.admits(0, now) {
            return None;
        }
        let until_warm = self.cold_until?.saturating_duration_since(now);
        let part = self.part(now)? as usize;
        let next = self.writes.len().checked_sub(part.max(1)).and_then(|at| self.writes.get(at));
        let next = next.filter(|_| part > 0);
        let until_next = next.map(|at| (*at + WINDOW).saturating_duration_since(now));
        Some(until_next.unwrap_or(until_warm).min(until_warm))
    }

    /// Records that a call was chosen for the leaf, until it is written or released.
    pub fn reserve(&mut self) {
        self.reserved += u32::from(self.bound.is_some());
    }

    /// Records that a chosen call ended without being written.
    pub fn release(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Records the write of a chosen call. Returns false, and records nothing, if the call must not
    /// be written.
    pub fn take_write(&mut self, now: Instant) -> bool {
        let Some(bound) = self.bound else {
            self.release();
            return true;
        };
        let used = self.writes.iter().filter(|at| is_within_window(**at, now)).count();
        if self.part(now).is_some_and(|part| used >= part as usize) {
            return false;
        }
        self.release();
        self.writes.push_back(now);
        while self.writes.len() > bound.calls as usize {
            self.writes.pop_front();
        }
        true
    }

    /// Takes back the record of a write that did not happen, of a call that is still chosen.
    pub fn undo_write(&mut self) {
        if self.bound.is_some() {
            self.writes.pop_back();
        }
        self.reserve();
    }
}

fn is_within_window(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < WINDOW
}
