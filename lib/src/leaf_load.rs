//! The load that a leaf states in its replies, and what it tells about the next call.
//!
//! Invariant: a statement moves an expected time by a bounded part that decays with the time scale
//! of a leaf's queue, so that neither a wrong nor an old one decides over this host's own
//! observations.

use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use thiserror::Error;

/// Largest number of running or waiting requests, or of slots, that is taken for a statement.
const MAX_REQUESTS: u64 = 1 << 20;
/// Largest pace that is taken for a statement, in percent of the usual time of work.
const MAX_PACE_PERCENT: f64 = 10_000.0;
/// Pace of a leaf that states none, in percent of the usual time of work.
const USUAL_PACE_PERCENT: f64 = 100.0;
/// Range of the factor by which a stated pace changes the expected time of work.
const PACE_RANGE: (f64, f64) = (0.25, 4.0);
/// Longest wait that is expected because of a statement, in units of the typical time of work.
const MAX_STATED_WAIT: f64 = 4.0;
/// Largest weight of a statement; the rest is left to observed times.
const MAX_WEIGHT: f64 = 0.5;
/// Time constant with which a queue forgets its length, in units of the typical time of work and in
/// addition to the time that the leaf needs for the queue itself.
const MIXING_WORK: f64 = 2.0;

/// Error for numbers that are no statement of a load.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum LoadError {
    /// A number of requests or slots is too large to be true.
    #[error("{0} requests or slots are too many")]
    TooMany(u64),
    /// The leaf states that it has no slots.
    #[error("No slots")]
    NoSlots,
    /// The pace is not a finite number above zero, or too large to be true.
    #[error("{0} is no pace; allowed are finite numbers above 0, up to {MAX_PACE_PERCENT}")]
    Pace(f64),
}

/// Result of checking a load.
pub type Result<T> = std::result::Result<T, LoadError>;

/// Numbers by which a leaf states its load, before they are checked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RawLeafLoad {
    /// Requests that run.
    pub running: u64,
    /// Requests that wait for a slot.
    pub waiting: u64,
    /// Requests that can run at the same time.
    pub slots: u64,
    /// Present time of work in percent of the usual one; absent if the leaf does not state it.
    pub pace_percent: Option<f64>,
}

/// Load that a leaf states: checked, but not necessarily true.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LeafLoad {
    running: u32,
    waiting: u32,
    slots: u32,
    pace_percent: f64,
}

impl TryFrom<RawLeafLoad> for LeafLoad {
    type Error = LoadError;

    fn try_from(raw: RawLeafLoad) -> Result<Self> {
        let RawLeafLoad { running, waiting, slots, pace_percent } = raw;
        let largest = running.max(waiting).max(slots);
        if largest > MAX_REQUESTS {
            return Err(LoadError::TooMany(largest));
        }
        if slots == 0 {
            return Err(LoadError::NoSlots);
        }
        let pace_percent = pace_percent.unwrap_or(USUAL_PACE_PERCENT);
        if !pace_percent.is_finite() || pace_percent <= 0.0 || pace_percent > MAX_PACE_PERCENT {
            return Err(LoadError::Pace(pace_percent));
        }
        let (running, waiting, slots) = (running as u32, waiting as u32, slots as u32);
        Ok(Self { running, waiting, slots, pace_percent })
    }
}

impl LeafLoad {
    /// Returns the factor by which work takes longer than usual, within bounds.
    fn pace(&self) -> f64 {
        (self.pace_percent / USUAL_PACE_PERCENT).clamp(PACE_RANGE.0, PACE_RANGE.1)
    }

    /// Returns the time until a further request gets a slot, in units of the time of work.
    fn wait_in_work(&self) -> f64 {
        let present = f64::from(self.running) + f64::from(self.waiting);
        let slots = f64::from(self.slots);
        ((present + 1.0 - slots).max(0.0) / slots).min(MAX_STATED_WAIT)
    }
}

/// What a reply says about the load of its leaf.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum StatedLoad {
    /// The leaf states no load.
    #[default]
    Absent,
    /// The leaf states this load.
    Known(LeafLoad),
    /// The leaf states a load that cannot be read; the text is what it states.
    Unreadable(String),
}

/// The last statement of a leaf with its age, as the state dump shows it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LoadDump {
    /// The load that the leaf stated.
    #[serde(flatten)]
    pub load: LeafLoad,
    /// Time since the reply with the statement, in milliseconds.
    pub age_ms: u64,
}

/// The last load that a leaf stated to this host.
///
/// Load: other hosts' calls fill the leaf's slots, or its machine is busy with the work of others;
/// neither is visible in this host's own queue.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadHint {
    last: Option<(LeafLoad, Instant)>,
    reported_unreadable: bool,
}

impl LoadHint {
    /// Records what a reply that arrived at `now` states. Returns the text to report if the leaf
    /// states an unreadable load for the first time. An unreadable load changes nothing else.
    pub fn record(&mut self, stated: &StatedLoad, now: Instant) -> Option<String> {
        match stated {
            StatedLoad::Absent => None,
            StatedLoad::Known(load) => {
                self.last = Some((*load, now));
                None
            }
            StatedLoad::Unreadable(text) => {
                let was_reported = std::mem::replace(&mut self.reported_unreadable, true);
                (!was_reported).then(|| text.clone())
            }
        }
    }

    /// Returns how much of the last statement still holds, from 0 to 1. `work` is the typical time
    /// of work: a leaf's queue changes as requests end, so a statement ages in units of it.
    pub fn freshness(&self, work: Duration, now: Instant) -> f64 {
        let Some((load, stated_at)) = self.last else { return 0.0 };
        let age = now.saturating_duration_since(stated_at).as_secs_f64();
        let lifetime = work.as_secs_f64() * (MIXING_WORK + load.wait_in_work());
        if lifetime > 0.0 { (-age / lifetime).exp() } else { 0.0 }
    }

    /// Returns the expected time until the reply: `observed` is what observed times say, `work` the
    /// typical time of work and `rtt` the round trip to the leaf.
    pub fn expected_time(
        &self,
        observed: Duration,
        work: Duration,
        rtt: Duration,
        now: Instant,
    ) -> Duration {
        let Some((load, _)) = self.last else { return observed };
        let weight = MAX_WEIGHT * self.freshness(work, now);
        let stated = rtt + work.mul_f64(load.pace() * (1.0 + load.wait_in_work()));
        observed.mul_f64(1.0 - weight) + stated.mul_f64(weight)
    }

    /// Returns the last statement for the state dump.
    pub fn dump(&self, now: Instant) -> Option<LoadDump> {
        self.last.map(|(load, stated_at)| {
            let age_ms = now.saturating_duration_since(stated_at).as_millis() as u64;
            LoadDump { load, age_ms }
        })
    }
}
