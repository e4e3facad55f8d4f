//! Which work a process that shuts down still begins.

use std::time::Duration;
use std::time::Instant;

use jasmineusher_lib::shutdown::ExpectedWork;
use jasmineusher_lib::shutdown::Shutdown;

const MS: Duration = Duration::from_millis(1);

/// Returns for how long after the start of a shutdown that ends after 3,100 ms this work may begin, in
/// milliseconds; nothing if it may not begin.
fn begins_for(deadline_ms: u32, is_idempotent: bool, slow_ms: Option<u32>) -> Option<u128> {
    let start = Instant::now();
    let slow_time = slow_ms.map(|ms| ms * MS);
    let work = ExpectedWork { deadline: start + deadline_ms * MS, is_idempotent, slow_time };
    let until = work.begins_until(start + 3_100 * MS)?;
    Some(until.saturating_duration_since(start).as_millis())
}

/// Guards against requests that are begun in the last moments of a planned stop, run at a leaf and
/// are cut.
#[test]
fn work_begins_only_if_it_is_expected_to_end_before_the_process() {
    assert_eq!(begins_for(3_000, false, None), Some(3_000), "its deadline is before the end");
    assert_eq!(begins_for(3_101, false, Some(900)), Some(3_100 - 1_350 - 100));
    assert_eq!(begins_for(3_101, true, Some(20)), Some(3_100 - 30 - 100));
    assert_eq!(begins_for(3_101, true, None), Some(2_800), "nothing was measured");
    assert_eq!(begins_for(3_101, false, None), None, "it may take until its deadline");
    assert_eq!(begins_for(10_000, true, Some(5_000)), Some(0), "it takes longer than the stop");
}

#[test]
fn work_is_admitted_until_the_shutdown_starts_and_then_until_its_last_moment() {
    let start = Instant::now();
    let slow_time = Some(900 * MS);
    let work = ExpectedWork { deadline: start + 10_000 * MS, is_idempotent: false, slow_time };
    let shutdown = Shutdown::default();
    assert!(shutdown.admits(&work, start + 9_999 * MS));
    assert!(!shutdown.is_started());
    shutdown.start(start + 3_100 * MS);
    assert!(shutdown.is_started());
    assert!(shutdown.admits(&work, start + 1_650 * MS));
    assert!(!shutdown.admits(&work, start + 1_651 * MS));
}
