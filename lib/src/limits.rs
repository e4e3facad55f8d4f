//! Limits of one entry on this host: rate, concurrency and effort.
//!
//! Invariants: over any stretch, admitted queries are at most the share's rate times the stretch
//! plus one burst; effort in debt admits nothing until it is paid back.

use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::answer::Reason;
use crate::catalogue::Limits;

/// Time whose allowance may be used at once.
const BURST: Duration = Duration::from_millis(500);

/// The part of an entry's limits that this host may use.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct HostShare {
    /// Queries per second.
    pub queries_per_second: f64,
    /// Queries in progress at once.
    pub concurrent: f64,
    /// Leaf processor time per second, in microseconds.
    pub effort_us_per_second: f64,
}

impl HostShare {
    /// Returns a fraction of an entry's limits.
    pub fn of(limits: &Limits, fraction: f64) -> Self {
        Self {
            queries_per_second: limits.queries_per_second * fraction,
            concurrent: f64::from(limits.concurrent) * fraction,
            effort_us_per_second: limits.effort_ms_per_second * 1_000.0 * fraction,
        }
    }
}

/// Why a query is over a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OverLimit {
    /// The limit that is used up.
    pub reason: Reason,
    /// When there may be room again.
    pub retry_after: Duration,
}

/// Result of asking for admission.
pub type Result<T> = std::result::Result<T, OverLimit>;

#[derive(Clone, Debug)]
struct Bucket {
    level: f64,
    rate: f64,
    burst: f64,
    filled_at: Instant,
}

impl Bucket {
    fn new(now: Instant) -> Self {
        Self { level: 0.0, rate: 0.0, burst: 0.0, filled_at: now }
    }

    /// Sets the rate. The level starts full the first time and never gains by a change of rate.
    fn set_rate(&mut self, rate: f64, min_burst: f64, now: Instant) {
        let first = self.rate == 0.0;
        self.fill(now);
        self.rate = rate;
        self.burst = (rate * BURST.as_secs_f64()).max(min_burst);
        self.level = if first { self.burst.min(1.0) } else { self.level.min(self.burst) };
    }

    fn fill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.filled_at);
        self.level = (self.level + self.rate * passed.as_secs_f64()).min(self.burst);
        self.filled_at = self.filled_at.max(now);
    }

    fn time_until(&self, level: f64) -> Duration {
        let missing = (level - self.level).max(0.0);
        let wait = Duration::try_from_secs_f64(missing / self.rate).unwrap_or(MAX_WAIT);
        wait.clamp(MIN_WAIT, MAX_WAIT)
    }
}

/// Weight of a new measurement in the running mean of demand.
const DEMAND_WEIGHT: f64 = 0.3;
/// Demand below which an entry counts as idle, as a fraction of its limits.
const NO_DEMAND: f64 = 1e-6;
/// Factor on the demand up to which a host borrows.
const DEMAND_HEADROOM: f64 = 1.1;
/// The shortest wait that a refusal names: callers are told whole milliseconds.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// The longest wait that a refusal names.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// The wait that a refusal for concurrency names.
const CONCURRENCY_WAIT: Duration = Duration::from_millis(100);

/// The use of one entry's limits on this host.
#[derive(Clone, Debug)]
pub struct EntryLimits {
    limits: Limits,
    share: HostShare,
    queries: Bucket,
    effort: Bucket,
    in_progress: u32,
    admitted: u64,
    refused: u64,
    window: Window,
    demand: Demand,
    is_borrowing: bool,
}

/// What happened since demand was last measured.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    asked: u64,
    admitted: u64,
    effort_us: u64,
    most_in_progress: u32,
    most_asked_in_progress: u32,
}

/// How much of an entry's limits this host uses and asks for, as fractions of the limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Demand {
    /// In use.
    pub used: f64,
    /// Asked for, refusals included.
    pub asked: f64,
}

impl EntryLimits {
    /// Starts with a share of the entry's limits; nothing is in progress.
    pub fn new(limits: Limits, share: HostShare, now: Instant) -> Self {
        let mut entry = Self {
            limits,
            share,
            queries: Bucket::new(now),
            effort: Bucket::new(now),
            in_progress: 0,
            admitted: 0,
            refused: 0,
            window: Window::default(),
            demand: Demand::default(),
            is_borrowing: false,
        };
        entry.set_share(limits, share, now);
        entry
    }

    /// Changes the entry's limits and this host's share of them from now on.
    pub fn set_share(&mut self, limits: Limits, share: HostShare, now: Instant) {
        self.limits = limits;
        if share == self.share && self.queries.rate > 0.0 {
            return;
        }
        self.share = share;
        self.queries.set_rate(share.queries_per_second, 1.0, now);
        self.effort.set_rate(share.effort_us_per_second, 1.0, now);
    }

    /// Admits one query, which must be ended by [`EntryLimits::release`].
    pub fn admit(&mut self, now: Instant) -> Result<()> {
        self.queries.fill(now);
        self.effort.fill(now);
        let checked = self.check();
        self.window.asked += 1;
        match checked {
            Ok(()) => {
                self.queries.level -= 1.0;
                self.in_progress += 1;
                self.admitted += 1;
                self.window.admitted += 1;
                self.window.most_in_progress = self.window.most_in_progress.max(self.in_progress);
            }
            Err(_) => self.refused += 1,
        }
        let asked_in_progress = self.in_progress + u32::from(checked.is_err());
        self.window.most_asked_in_progress =
            self.window.most_asked_in_progress.max(asked_in_progress);
        checked
    }

    fn check(&self) -> Result<()> {
        if f64::from(self.in_progress) + 1.0 > self.share.concurrent {
            let reason = Reason::ConcurrencyLimit;
            return Err(OverLimit { reason, retry_after: CONCURRENCY_WAIT });
        }
        if self.effort.level < 0.0 {
            let retry_after = self.effort.time_until(0.0);
            return Err(OverLimit { reason: Reason::EffortLimit, retry_after });
        }
        if self.queries.level < 1.0 {
            let retry_after = self.queries.time_until(1.0);
            return Err(OverLimit { reason: Reason::RateLimit, retry_after });
        }
        Ok(())
    }

    /// Ends one query.
    pub fn release(&mut self) {
        self.in_progress = self.in_progress.saturating_sub(1);
    }

    /// Takes the effort of a leaf call, in microseconds, from the allowance; it may go into debt.
    pub fn spend(&mut self, effort_us: u64, now: Instant) {
        self.effort.fill(now);
        self.effort.level -= effort_us as f64;
        self.window.effort_us += effort_us;
    }

    /// Measures the demand since the last call, which was `passed` ago.
    pub fn measure(&mut self, passed: Duration) -> Demand {
        if self.is_idle() {
            return self.demand;
        }
        let limits = self.limits;
        let window = std::mem::take(&mut self.window);
        self.window.most_in_progress = self.in_progress;
        self.window.most_asked_in_progress = self.in_progress;
        let seconds = passed.as_secs_f64().max(0.001);
        let rate = |count: u64| count as f64 / seconds / limits.queries_per_second;
        let effort = window.effort_us as f64 / 1_000.0 / seconds / limits.effort_ms_per_second;
        let busy = |count: u32| f64::from(count) / f64::from(limits.concurrent);
        let used = rate(window.admitted).max(effort).max(busy(window.most_in_progress));
        let asked = rate(window.asked).max(effort).max(busy(window.most_asked_in_progress));
        self.demand.used += (used.min(1.0) - self.demand.used) * DEMAND_WEIGHT;
        self.demand.asked += (asked.min(1.0) - self.demand.asked) * DEMAND_WEIGHT;
        self.demand
    }

    fn is_idle(&self) -> bool {
        self.window.asked == 0 && self.in_progress == 0 && self.demand.asked < NO_DEMAND
    }

    /// Returns the part of the limits that the demand lacks; below 0 where the share exceeds it.
    pub fn deficit(&self) -> f64 {
        let share = self.share.queries_per_second / self.limits.queries_per_second;
        self.demand.asked * DEMAND_HEADROOM - share
    }

    /// Returns the demand measured last.
    pub fn demand(&self) -> Demand {
        self.demand
    }

    /// Returns the present share.
    pub fn share(&self) -> HostShare {
        self.share
    }

    /// Marks whether part of the share is borrowed, which has to be renewed.
    pub fn set_borrowing(&mut self, is_borrowing: bool) {
        self.is_borrowing = is_borrowing;
    }

    /// Whether part of the share is borrowed.
    pub fn is_borrowing(&self) -> bool {
        self.is_borrowing
    }

    /// Returns the queries admitted so far.
    pub fn admitted(&self) -> u64 {
        self.admitted
    }

    /// Returns the queries refused so far.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Returns the queries in progress.
    pub fn in_progress(&self) -> u32 {
        self.in_progress
    }
}
