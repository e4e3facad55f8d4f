//! Learned latency of the leaf calls of one index.

use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;

/// Time after which old samples start to fade out.
const WINDOW: Duration = Duration::from_secs(5);
/// Samples needed before a quantile is believed.
const MIN_SAMPLES: u64 = 50;
/// Longest latency recorded, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Ratio between the upper quartile and the median, raised to this power, that makes a call slow:
/// about the 97th percentile of a log-normal distribution.
const SLOW_SPREADS: f64 = 2.8;
/// Largest ratio between the upper quartile and the median that is believed.
const MAX_SPREAD: f64 = 1.8;

/// Latencies over the present and the previous window.
#[derive(Debug)]
pub struct LatencyTracker {
    present: Histogram<u32>,
    previous: Histogram<u32>,
    turned_at: Instant,
    cached: Option<(f64, Duration)>,
    until_refresh: u32,
}

/// Samples between two computations of the cached quantile.
const REFRESH_SAMPLES: u32 = 256;

impl LatencyTracker {
    /// Makes an empty tracker.
    pub fn new(now: Instant) -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, MAX_LATENCY_US, 2).expect("constant bounds are valid");
        Self {
            present: histogram(),
            previous: histogram(),
            turned_at: now,
            cached: None,
            until_refresh: 0,
        }
    }

    /// Adds the latency of one call.
    pub fn record(&mut self, latency: Duration, now: Instant) {
        if now.saturating_duration_since(self.turned_at) >= WINDOW {
            std::mem::swap(&mut self.present, &mut self.previous);
            self.present.reset();
            self.turned_at = now;
        }
        self.present.saturating_record(latency.as_micros() as u64);
        self.until_refresh = self.until_refresh.saturating_sub(1);
    }

    /// Returns a quantile of the latencies, or nothing while there are too few samples.
    pub fn quantile(&mut self, quantile: f64) -> Option<Duration> {
        if let Some((cached_for, value)) = self.cached
            && cached_for == quantile
            && self.until_refresh > 0
        {
            return Some(value);
        }
        let value = Duration::from_micros(self.trusted()?.value_at_quantile(quantile));
        self.cached = Some((quantile, value));
        self.until_refresh = REFRESH_SAMPLES;
        Some(value)
    }

    /// Returns the median, or nothing while there are too few samples.
    pub fn typical(&self) -> Option<Duration> {
        Some(median_of(self.trusted()?))
    }

    /// Returns the latency above which a call counts as slow. It is worked out from the middle half
    /// of the samples, so that a quarter of slow leafs does not move it.
    pub fn slow(&self) -> Option<Duration> {
        let trusted = self.trusted()?;
        let median = median_of(trusted);
        let upper = Duration::from_micros(trusted.value_at_quantile(0.75));
        let spread = upper.as_secs_f64() / median.as_secs_f64().max(1e-6);
        Some(median.mul_f64(spread.clamp(1.0, MAX_SPREAD).powf(SLOW_SPREADS)))
    }

    fn trusted(&self) -> Option<&Histogram<u32>> {
        let trusted =
            if self.previous.len() >= MIN_SAMPLES { &self.previous } else { &self.present };
        (trusted.len() >= MIN_SAMPLES).then_some(trusted)
    }
}

fn median_of(samples: &Histogram<u32>) -> Duration {
    Duration::from_micros(samples.value_at_quantile(0.5))
}
