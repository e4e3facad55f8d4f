//! Measured processing times of the leaf calls of one index.

use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;

/// Length of one window of samples. A sample is dropped one to two windows after it was recorded,
/// provided that calls go on.
const WINDOW: Duration = Duration::from_secs(5);
/// Smallest number of samples in a window at which its quantiles are used.
const MIN_SAMPLES: u64 = 50;
/// Longest latency that is recorded as such, in microseconds; longer ones count as this long.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Exponent of the spread, which is the ratio of the upper quartile to the median. The spread to
/// this power is the ratio of the slow threshold to the median. 2.8 gives about the 97th percentile
/// of a log-normal distribution.
const SLOW_SPREAD_EXPONENT: f64 = 2.8;
/// The same exponent for the late threshold, which is about the 90th percentile.
const LATE_SPREAD_EXPONENT: f64 = 1.9;
/// Upper bound of the spread from which these thresholds are computed.
const MAX_SPREAD: f64 = 1.8;

/// Histograms of latencies over the current and the previous window.
#[derive(Debug)]
pub struct LatencyTracker {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    rotated_at: Instant,
    cached: Option<(f64, Duration)>,
    samples_until_refresh: u32,
}

/// Number of samples between two computations of the cached quantile.
const REFRESH_SAMPLES: u32 = 256;

impl LatencyTracker {
    /// Creates a tracker without samples whose first window starts at `now`.
    pub fn new(now: Instant) -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, MAX_LATENCY_US, 2).expect("constant bounds are valid");
        Self {
            current: histogram(),
            previous: histogram(),
            rotated_at: now,
            cached: None,
            samples_until_refresh: 0,
        }
    }

    /// Records the latency of one call.
    pub fn record(&mut self, latency: Duration, now: Instant) {
        if now.saturating_duration_since(self.rotated_at) >= WINDOW {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
            self.rotated_at = now;
        }
        self.current.saturating_record(latency.as_micros() as u64);
        self.samples_until_refresh = self.samples_until_refresh.saturating_sub(1);
    }

    /// Returns a quantile (0 to 1) of the latencies, or nothing while there are too few samples.
    /// The last result is cached, so it may be up to 256 samples old.
    pub fn quantile(&mut self, quantile: f64) -> Option<Duration> {
        if let Some((cached_for, value)) = self.cached
            && cached_for == quantile
            && self.samples_until_refresh > 0
        {
            return Some(value);
        }
        let value = Duration::from_micros(self.reliable()?.value_at_quantile(quantile));
        self.cached = Some((quantile, value));
        self.samples_until_refresh = REFRESH_SAMPLES;
        Some(value)
    }

    /// Returns the median, or nothing while there are too few samples.
    pub fn median(&self) -> Option<Duration> {
        Some(median_of(self.reliable()?))
    }

    /// Returns the latency above which a call counts as slow, or nothing while there are too few
    /// samples. It is computed from the median and the upper quartile, so that slow leafs do not
    /// move it while up to a quarter of the samples are theirs.
    pub fn slow_threshold(&self) -> Option<Duration> {
        self.threshold(SLOW_SPREAD_EXPONENT)
    }

    /// Returns the latency above which a call counts as late, computed in the same way.
    pub fn late_threshold(&self) -> Option<Duration> {
        self.threshold(LATE_SPREAD_EXPONENT)
    }

    fn threshold(&self, spread_exponent: f64) -> Option<Duration> {
        let reliable = self.reliable()?;
        let median = median_of(reliable);
        let upper = Duration::from_micros(reliable.value_at_quantile(0.75));
        let spread = upper.as_secs_f64() / median.as_secs_f64().max(1e-6);
        Some(median.mul_f64(spread.clamp(1.0, MAX_SPREAD).powf(spread_exponent)))
    }

    /// Returns the previous window if it has enough samples, else the current one if it has.
    fn reliable(&self) -> Option<&Histogram<u32>> {
        let reliable =
            if self.previous.len() >= MIN_SAMPLES { &self.previous } else { &self.current };
        (reliable.len() >= MIN_SAMPLES).then_some(reliable)
    }
}

fn median_of(samples: &Histogram<u32>) -> Duration {
    Duration::from_micros(samples.value_at_quantile(0.5))
}
