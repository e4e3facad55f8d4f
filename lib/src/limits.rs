//! Admission limits of one entry on this host: rate, concurrency and effort.
//!
//! Invariants: over any period, admitted queries are at most the share's rate times the period plus
//! one burst; while the effort balance is negative, no query is admitted.

use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

use crate::answer::Reason;
use crate::catalogue::Limits;

/// Longest period whose allowance accumulates and may be used in one burst.
const BURST_WINDOW: Duration = Duration::from_millis(500);

/// The part of an entry's limits that this host may currently use, loans included.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct HostShare {
    /// Queries admitted per second.
    pub queries_per_second: f64,
    /// Queries in progress at the same time.
    pub concurrent: f64,
    /// Leaf processor time per second, in microseconds.
    pub effort_us_per_second: f64,
}

impl HostShare {
    /// Returns `fraction` (0 to 1) of an entry's limits.
    pub fn of(limits: &Limits, fraction: f64) -> Self {
        Self {
            queries_per_second: limits.queries_per_second * fraction,
            concurrent: f64::from(limits.concurrent) * fraction,
            effort_us_per_second: limits.effort_ms_per_second * 1_000.0 * fraction,
        }
    }
}

/// Refusal of a query that would exceed a limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OverLimit {
    /// Names the limit that is used up.
    pub reason: Reason,
    /// Time after which the caller should retry: an estimate of when the limit has capacity again.
    pub retry_after: Duration,
}

/// Result of an admission check.
pub type Result<T> = std::result::Result<T, OverLimit>;

/// Token bucket. The level may become negative, which is a debt that refills first.
#[derive(Clone, Debug)]
struct TokenBucket {
    level: f64,
    rate: f64,
    burst: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn new(now: Instant) -> Self {
        Self { level: 0.0, rate: 0.0, burst: 0.0, refilled_at: now }
    }

    /// Sets the rate. The first rate starts the level at one token, or at the burst where that is
    /// less; a later change of rate never raises the level.
    fn set_rate(&mut self, rate: f64, min_burst: f64, now: Instant) {
        let is_first = self.rate == 0.0;
        self.refill(now);
        self.rate = rate;
        self.burst = (rate * BURST_WINDOW.as_secs_f64()).max(min_burst);
        self.level = if is_first { self.burst.min(1.0) } else { self.level.min(self.burst) };
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.refilled_at);
        self.level = (self.level + self.rate * passed.as_secs_f64()).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn time_to_reach(&self, level: f64) -> Duration {
        let missing = (level - self.level).max(0.0);
        let wait = Duration::try_from_secs_f64(missing / self.rate).unwrap_or(MAX_RETRY_AFTER);
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}

/// Weight of a new measurement in the exponential moving average of demand.
const DEMAND_WEIGHT: f64 = 0.3;
/// Average of the requested fraction of the limits below which an entry without queries counts as
/// idle and is not measured.
const IDLE_DEMAND: f64 = 1e-6;
/// Factor on the requested fraction of the limits up to which a host borrows.
const DEMAND_HEADROOM: f64 = 1.1;
/// Shortest wait in a refusal. Refusals give the wait in whole milliseconds, so a shorter one would
/// be 0.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(1);
/// Longest wait in a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Wait in a refusal for concurrency, which cannot be derived from a rate.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_millis(100);

/// State of one entry's limits on this host.
#[derive(Clone, Debug)]
pub struct EntryLimits {
    limits: Limits,
    share: HostShare,
    queries: TokenBucket,
    effort: TokenBucket,
    in_progress: u32,
    admitted: u64,
    refused: u64,
    window: UsageWindow,
    demand: Demand,
    is_borrowing: bool,
}

/// Usage since demand was last measured.
#[derive(Clone, Copy, Debug, Default)]
struct UsageWindow {
    asked: u64,
    admitted: u64,
    effort_us: u64,
    peak_in_progress: u32,
    peak_requested: u32,
}

/// Demand for an entry on this host, as fractions of the entry's limits over all hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Demand {
    /// Fraction used by admitted queries, 0 to 1.
    pub used: f64,
    /// Fraction requested, refused queries included, 0 to 1.
    pub asked: f64,
}

impl EntryLimits {
    /// Creates the state with this host's share of the entry's limits and no queries in progress.
    pub fn new(limits: Limits, share: HostShare, now: Instant) -> Self {
        let mut entry = Self {
            limits,
            share,
            queries: TokenBucket::new(now),
            effort: TokenBucket::new(now),
            in_progress: 0,
            admitted: 0,
            refused: 0,
            window: UsageWindow::default(),
            demand: Demand::default(),
            is_borrowing: false,
        };
        entry.set_share(limits, share, now);
        entry
    }

    /// Replaces the entry's limits and this host's share of them.
    pub fn set_share(&mut self, limits: Limits, share: HostShare, now: Instant) {
        self.limits = limits;
        if share == self.share && self.queries.rate > 0.0 {
            return;
        }
        self.share = share;
        self.queries.set_rate(share.queries_per_second, 1.0, now);
        self.effort.set_rate(share.effort_us_per_second, 1.0, now);
    }

    /// Admits one query, whose end must be recorded by [`EntryLimits::release`].
    ///
    /// If the query is not admitted, returns the limit that it would exceed and the time to wait.
    pub fn admit(&mut self, now: Instant) -> Result<()> {
        self.queries.refill(now);
        self.effort.refill(now);
        let checked = self.check();
        self.window.asked += 1;
        match checked {
            Ok(()) => {
                self.queries.level -= 1.0;
                self.in_progress += 1;
                self.admitted += 1;
                self.window.admitted += 1;
                self.window.peak_in_progress = self.window.peak_in_progress.max(self.in_progress);
            }
            Err(_) => self.refused += 1,
        }
        let requested_in_progress = self.in_progress + u32::from(checked.is_err());
        self.window.peak_requested = self.window.peak_requested.max(requested_in_progress);
        checked
    }

    fn check(&self) -> Result<()> {
        if f64::from(self.in_progress) + 1.0 > self.share.concurrent {
            let reason = Reason::ConcurrencyLimit;
            return Err(OverLimit { reason, retry_after: CONCURRENCY_RETRY_AFTER });
        }
        if self.effort.level < 0.0 {
            let retry_after = self.effort.time_to_reach(0.0);
            return Err(OverLimit { reason: Reason::EffortLimit, retry_after });
        }
        if self.queries.level < 1.0 {
            let retry_after = self.queries.time_to_reach(1.0);
            return Err(OverLimit { reason: Reason::RateLimit, retry_after });
        }
        Ok(())
    }

    /// Records the end of one admitted query.
    pub fn release(&mut self) {
        self.in_progress = self.in_progress.saturating_sub(1);
    }

    /// Deducts the effort of a leaf call, in microseconds, from the allowance, which may become
    /// negative.
    pub fn deduct_effort(&mut self, effort_us: u64, now: Instant) {
        self.effort.refill(now);
        self.effort.level -= effort_us as f64;
        self.window.effort_us += effort_us;
    }

    /// Updates the moving average of demand with the usage since the last measurement, which was
    /// `passed` ago, and returns it. The average of an idle entry stays unchanged.
    pub fn measure_demand(&mut self, passed: Duration) -> Demand {
        if self.is_idle() {
            return self.demand;
        }
        let limits = self.limits;
        let window = std::mem::take(&mut self.window);
        self.window.peak_in_progress = self.in_progress;
        self.window.peak_requested = self.in_progress;
        let elapsed_s = passed.as_secs_f64().max(0.001);
        let rate = |count: u64| count as f64 / elapsed_s / limits.queries_per_second;
        let effort = window.effort_us as f64 / 1_000.0 / elapsed_s / limits.effort_ms_per_second;
        let concurrency = |count: u32| f64::from(count) / f64::from(limits.concurrent);
        let used = rate(window.admitted).max(effort).max(concurrency(window.peak_in_progress));
        let asked = rate(window.asked).max(effort).max(concurrency(window.peak_requested));
        self.demand.used += (used.min(1.0) - self.demand.used) * DEMAND_WEIGHT;
        self.demand.asked += (asked.min(1.0) - self.demand.asked) * DEMAND_WEIGHT;
        self.demand
    }

    fn is_idle(&self) -> bool {
        self.window.asked == 0 && self.in_progress == 0 && self.demand.asked < IDLE_DEMAND
    }

    /// Returns the fraction of the limits by which demand, with headroom, exceeds the share;
    /// negative if the share is larger.
    pub fn deficit(&self) -> f64 {
        let share = self.share.queries_per_second / self.limits.queries_per_second;
        self.demand.asked * DEMAND_HEADROOM - share
    }

    /// Returns the moving average of demand as of the last measurement.
    pub fn demand(&self) -> Demand {
        self.demand
    }

    /// Returns this host's share as of the last [`EntryLimits::set_share`].
    pub fn share(&self) -> HostShare {
        self.share
    }

    /// Records whether part of the share is a loan, which has to be renewed.
    pub fn set_borrowing(&mut self, is_borrowing: bool) {
        self.is_borrowing = is_borrowing;
    }

    /// Returns whether part of the share is a loan from other hosts.
    pub fn is_borrowing(&self) -> bool {
        self.is_borrowing
    }

    /// Returns the number of queries admitted so far.
    pub fn admitted(&self) -> u64 {
        self.admitted
    }

    /// Returns the number of queries refused so far.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Returns the number of queries in progress.
    pub fn in_progress(&self) -> u32 {
        self.in_progress
    }
}
