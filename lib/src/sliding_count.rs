//! Number of events within a sliding window.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Counts the events of a sliding window in buckets of equal length. An event counts for at least
/// the window's length and for at most one bucket longer.
#[derive(Clone, Debug)]
pub struct SlidingCount {
    window: Duration,
    bucket: Duration,
    buckets: VecDeque<(Instant, u32)>,
    total: u32,
}

impl SlidingCount {
    /// Creates a count of zero events.
    pub fn new(window: Duration, bucket: Duration) -> Self {
        Self { window, bucket, buckets: VecDeque::new(), total: 0 }
    }

    /// Counts `events` at `now`.
    pub fn add(&mut self, events: u32, now: Instant) {
        self.drop_expired(now);
        self.total += events;
        match self.buckets.back_mut() {
            Some((begun_at, count)) if now.saturating_duration_since(*begun_at) < self.bucket => {
                *count += events;
            }
            _ => self.buckets.push_back((now, events)),
        }
    }

    /// Returns the number of events in the window that ends at `now`.
    pub fn total(&mut self, now: Instant) -> u32 {
        self.drop_expired(now);
        self.total
    }

    /// Drops buckets whose events are all older than the window, which holds once they began more
    /// than the window's length and one bucket's length ago.
    fn drop_expired(&mut self, now: Instant) {
        let longest = self.window + self.bucket;
        while let Some(&(begun_at, events)) = self.buckets.front()
            && now.saturating_duration_since(begun_at) > longest
        {
            self.total -= events;
            self.buckets.pop_front();
        }
    }
}
