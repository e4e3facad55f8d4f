//! Retry-after times of refused requests.

use std::time::Duration;

use jasmineusher_lib::catalogue::Class;
use jasmineusher_lib::retry_after;
use rand::SeedableRng;
use rand::rngs::StdRng;

const MS: Duration = Duration::from_millis(1);

/// All processes have restarted while the platform does not respond. Callers that retried at a
/// fixed short interval would load every host for the whole outage.
#[test]
fn retry_after_grows_with_the_outage_of_the_platform_up_to_a_limit() {
    let [first, later, last] = [MS, 400 * MS, 60_000 * MS].map(retry_after::unconfigured_retry);
    assert_eq!(first, retry_after::OTHER_HOST_RETRY);
    assert_eq!(later, 400 * MS);
    assert_eq!(last, 2_000 * MS);
}

/// Without jitter, callers that were refused at the same moment would all retry at the same moment.
#[test]
fn jitter_spreads_the_retries_of_refused_callers() {
    let mut rng = StdRng::seed_from_u64(3);
    let times: Vec<_> = (0..100).map(|_| retry_after::with_jitter(100 * MS, &mut rng)).collect();
    let in_window =
        |from: u32| times.iter().filter(|&&t| t >= from * MS && t < (from + 15) * MS).count();
    assert!(times.iter().all(|&t| t >= 75 * MS && t < 150 * MS));
    assert!((75..150).step_by(15).all(|from| in_window(from) < 40), "{times:?}");
}

/// Guards against refused requests that come back before a leaf takes them, or ordinary ones before
/// urgent ones.
#[test]
fn urgent_requests_come_back_first_and_none_before_a_leaf_takes_them() {
    let mut rng = StdRng::seed_from_u64(5);
    let mut times = |class| -> Vec<_> {
        let time = |_| retry_after::retry_when_taken(1_000 * MS, class, &mut rng);
        (0..100).map(time).collect()
    };
    let (urgent, ordinary) = (times(Class::Urgent), times(Class::Ordinary));
    assert!(urgent.iter().all(|&time| time >= 1_000 * MS && time < 1_200 * MS), "{urgent:?}");
    assert!(ordinary.iter().all(|&time| time >= 1_200 * MS && time < 1_500 * MS), "{ordinary:?}");
}

/// All processes have restarted while the platform does not respond. Requests that are held until
/// the configuration arrives would reach their callers' timeouts.
#[test]
fn request_is_held_for_the_first_configuration_only_shortly_after_the_start() {
    let wait = |age: u32, caller_timeout: u32| {
        retry_after::first_configuration_wait(
            age * MS,
            (caller_timeout > 0).then_some(caller_timeout * MS),
        )
    };
    assert_eq!(wait(50, 0), 250 * MS);
    assert_eq!(wait(50, 400), 100 * MS);
    assert_eq!(wait(300, 1_000), Duration::ZERO);
    assert_eq!(wait(5_000, 0), Duration::ZERO);
}
