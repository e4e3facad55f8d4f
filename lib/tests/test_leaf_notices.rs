//! Tests of what leafs say themselves about taking further calls.

use std::time::Duration;
use std::time::Instant;

use jasmineusher_lib::leaf_notices::LeafNotice;
use jasmineusher_lib::leaf_notices::LeafNotices;
use jasmineusher_lib::leaf_notices::NamedPause;
use jasmineusher_lib::leaf_notices::NoticeChange;
use jasmineusher_lib::leaf_notices::Pause;
use jasmineusher_lib::leaf_notices::Standing;

const SECOND: Duration = Duration::from_secs(1);

fn pause(seconds: f64) -> LeafNotice {
    let pause = Pause::try_from(seconds).expect("it is a time");
    LeafNotice { is_leaving: false, pause: NamedPause::For(pause) }
}

fn leaving() -> LeafNotice {
    LeafNotice { is_leaving: true, pause: NamedPause::Absent }
}

#[test]
fn shorter_time_does_not_end_a_longer_one_that_was_named_before() {
    let now = Instant::now();
    let mut notices = LeafNotices::default();
    assert_eq!(notices.record(&pause(4.0), now).len(), 1);
    assert_eq!(notices.record(&pause(1.0), now + SECOND), []);
    assert_eq!(notices.record(&LeafNotice::default(), now + SECOND), []);
    assert_eq!(notices.standing(now + 3 * SECOND), Standing::Paused(SECOND));
    assert_eq!(notices.standing(now + 4 * SECOND), Standing::Open);
    assert_eq!(notices.record(&pause(0.5), now + 4 * SECOND).len(), 1);
    assert_eq!(notices.standing(now + 4 * SECOND), Standing::Paused(SECOND / 2));
}

/// Guards against an answer that was sent before the notice and arrives after it.
#[test]
fn answer_without_the_notice_does_not_end_the_leaving() {
    let now = Instant::now();
    let mut notices = LeafNotices::default();
    assert_eq!(notices.record(&leaving(), now), [NoticeChange::Leaving]);
    assert_eq!(notices.record(&LeafNotice::default(), now), []);
    assert_eq!(notices.record(&leaving(), now), [], "it is reported once");
    assert_eq!(notices.standing(now + 3_600 * SECOND), Standing::Leaving);
    notices.record(&pause(1.0), now);
    assert_eq!(notices.standing(now), Standing::Leaving, "a pause does not replace the leaving");
}

#[test]
fn times_that_cannot_be_read_are_reported_once_and_change_nothing() {
    let now = Instant::now();
    let mut notices = LeafNotices::default();
    let unreadable =
        LeafNotice { is_leaving: false, pause: NamedPause::Unreadable("soon".to_owned()) };
    assert_eq!(notices.record(&unreadable, now), [NoticeChange::Unreadable("soon".to_owned())]);
    assert_eq!(notices.record(&unreadable, now), []);
    assert_eq!(notices.standing(now), Standing::Open);
}

#[test]
fn times_are_finite_and_at_most_a_day() {
    for no_time in [-0.5, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        assert!(Pause::try_from(no_time).is_err(), "{no_time}");
    }
    let duration = |seconds| Pause::try_from(seconds).expect("it is a time").duration();
    assert_eq!(duration(0.0), Duration::ZERO);
    assert_eq!(duration(0.25), Duration::from_millis(250));
    assert_eq!(duration(1e300), 24 * 3_600 * SECOND);
    assert_eq!(Pause::from(Duration::MAX).duration(), 24 * 3_600 * SECOND);
    let notices = &mut LeafNotices::default();
    assert_eq!(notices.record(&pause(0.0), Instant::now()).len(), 1);
    assert_eq!(notices.standing(Instant::now()), Standing::Open);
}
