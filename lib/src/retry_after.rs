//! When callers whose requests were refused should come again.
//!
//! The times are estimates of when the cause is over, spread so that refused requests do not come
//! back all at once.

use std::time::Duration;

use rand::Rng;

/// Time after which another host is likely to serve what this one cannot: the way back and forth.
pub const OTHER_HOST: Duration = Duration::from_millis(40);
/// Time after which leafs that were lost may be back.
pub const LOST_LEAFS: Duration = Duration::from_millis(250);
/// Longest time that a caller is sent away for want of a configuration.
const MAX_UNREADY: Duration = Duration::from_secs(2);
/// Bounds of the factor by which times are spread.
const SPREAD: std::ops::Range<f64> = 0.75..1.5;

/// Returns when a process without a configuration is likely to have one. How long the platform will
/// stay silent is not known; on the whole, it is about as long as it has been.
pub fn without_configuration(waited: Duration) -> Duration {
    waited.clamp(OTHER_HOST, MAX_UNREADY)
}

/// Spreads a time.
pub fn spread(wait: Duration, rng: &mut impl Rng) -> Duration {
    wait.mul_f64(rng.random_range(SPREAD))
}
