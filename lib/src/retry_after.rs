//! Retry-after times for callers whose requests were refused.
//!
//! Each time is an estimate of when the cause is over, with jitter so that refused requests are not
//! all resent at the same time.

use std::time::Duration;

use rand::Rng;

use crate::catalogue::Class;

/// Retry-after time for requests that another host can probably serve: about one round trip of the
/// caller.
pub const OTHER_HOST_RETRY: Duration = Duration::from_millis(40);
/// Retry-after time for requests whose shards have too few reachable leafs: lost leafs may be
/// reachable again by then.
pub const LOST_LEAFS_RETRY: Duration = Duration::from_millis(250);
/// Retry-after time for requests that no leaf may serve where it runs. It ends when the operator
/// changes the configuration or withdraws an evacuation.
pub const NO_PLACE_RETRY: Duration = Duration::from_secs(1);
/// Longest retry-after time of a process that has no configuration.
const MAX_UNCONFIGURED_RETRY: Duration = Duration::from_secs(2);
/// Time after a process start within which the first configuration is read if the platform responds
/// at once: the time of a few calls to the store. Does not cover the repetition of a call that gets
/// no response.
const FIRST_CONFIGURATION_TIME: Duration = Duration::from_millis(300);
/// Largest part of a caller's timeout for which its request is held, so that the caller has time
/// left to resend it.
const MAX_TIMEOUT_PART: f64 = 0.25;
/// Range of the factor by which [`with_jitter`] multiplies a time.
const JITTER: std::ops::Range<f64> = 0.75..1.5;
/// Range of the factor by which [`retry_when_taken`] multiplies the time of an urgent request.
const URGENT_SPREAD: std::ops::Range<f64> = 1.0..1.2;
/// Range of the factor by which [`retry_when_taken`] multiplies the time of an ordinary request.
const ORDINARY_SPREAD: std::ops::Range<f64> = 1.2..1.5;

/// Returns the longest time for which to hold a request, which arrived `age` after the process
/// start, until the first configuration is read. `caller_timeout` is how long the caller waits, if
/// the request contains that time. Returns zero if the configuration is overdue, as it then cannot
/// be predicted when it will be read.
pub fn first_configuration_wait(age: Duration, caller_timeout: Option<Duration>) -> Duration {
    let wait = FIRST_CONFIGURATION_TIME.saturating_sub(age);
    caller_timeout.map_or(wait, |caller_timeout| wait.min(caller_timeout.mul_f64(MAX_TIMEOUT_PART)))
}

/// Returns the retry-after time of a process that has waited `waited` for its first configuration.
/// An outage of the platform, whose end cannot be predicted, is estimated to last as long again as
/// it has so far.
pub fn unconfigured_retry(waited: Duration) -> Duration {
    waited.clamp(OTHER_HOST_RETRY, MAX_UNCONFIGURED_RETRY)
}

/// Returns the retry-after time of a request that leafs take after `wait`: not before that, spread,
/// and earlier for urgent requests than for ordinary ones.
pub fn retry_when_taken(wait: Duration, class: Class, rng: &mut impl Rng) -> Duration {
    let spread = match class {
        Class::Urgent => URGENT_SPREAD,
        Class::Ordinary => ORDINARY_SPREAD,
    };
    wait.mul_f64(rng.random_range(spread))
}

/// Returns `wait` multiplied by a random jitter factor.
pub fn with_jitter(wait: Duration, rng: &mut impl Rng) -> Duration {
    wait.mul_f64(rng.random_range(JITTER))
}
