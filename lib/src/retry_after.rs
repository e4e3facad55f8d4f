//! When callers whose requests were refused should come again.
//!
//! The times are estimates of when the cause is over, spread so that refused requests do not come
//! back all at once.

use std::time::Duration;

use rand::Rng;

/// Time after which another host is likely to serve what this one cannot: the way back and forth.
pub const OTHER_HOST_RETRY: Duration = Duration::from_millis(40);
/// Time after which leafs that were lost may be back.
pub const LOST_LEAFS_RETRY: Duration = Duration::from_millis(250);
/// Longest time that a caller is sent away for want of a configuration.
const MAX_UNREADY: Duration = Duration::from_secs(2);
/// Time after a start within which the first configuration is read, unless the platform is silent: a
/// few calls to the store, and a second try beside one that meets silence.
const FIRST_VIEW_TIME: Duration = Duration::from_millis(300);
/// Part of a caller's time that its request may wait, so that the caller can come again.
const MAX_TIMEOUT_PART: f64 = 0.25;
/// Bounds of the factor by which times are spread.
const SPREAD: std::ops::Range<f64> = 0.75..1.5;

/// Returns how long a request that arrived `age` after the start of the process may wait for the first
/// configuration. A process that was not told one soon after its start does not know when it will be,
/// and refuses at once.
pub fn first_configuration_wait(age: Duration, caller_timeout: Option<Duration>) -> Duration {
    let wait = FIRST_VIEW_TIME.saturating_sub(age);
    caller_timeout.map_or(wait, |caller_timeout| wait.min(caller_timeout.mul_f64(MAX_TIMEOUT_PART)))
}

/// Returns when a process without a configuration is likely to have one. How long the platform will
/// stay silent is not known; on the whole, it is about as long as it has been.
pub fn unconfigured_retry(waited: Duration) -> Duration {
    waited.clamp(OTHER_HOST_RETRY, MAX_UNREADY)
}

/// Spreads a time.
pub fn with_jitter(wait: Duration, rng: &mut impl Rng) -> Duration {
    wait.mul_f64(rng.random_range(SPREAD))
}
