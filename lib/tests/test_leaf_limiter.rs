//! Tests of the rate limits that leafs name.

use std::time::Instant;

use jasmineusher_lib::leaf_limiter::LeafLimiter;
use jasmineusher_lib::leaf_limiter::LimitChange;
use jasmineusher_lib::rate_limit::NamedLimit;
use jasmineusher_lib::rate_limit::RequestRate;

fn named(per_second: f64) -> NamedLimit {
    NamedLimit::PerSecond(rate(per_second))
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::try_from(per_second).expect("the rate is valid")
}

/// Guards against a limit that is dropped because one reply names it unreadably, and against a log
/// line for each reply.
#[test]
fn limit_holds_until_a_reply_names_none_and_only_changes_are_reported() {
    let now = Instant::now();
    let mut limiter = LeafLimiter::default();
    let mut record = |named: NamedLimit| {
        let change = limiter.record_named(&named, now);
        (change, limiter.limit().map(RequestRate::per_second))
    };
    let unreadable = || NamedLimit::Unreadable("many".to_owned());
    assert_eq!(record(NamedLimit::Absent), (None, None));
    assert_eq!(record(named(30.0)), (Some(LimitChange::Named(rate(30.0))), Some(30.0)));
    assert_eq!(record(named(31.0)), (None, Some(31.0)));
    assert_eq!(record(unreadable()), (Some(LimitChange::Unreadable("many".into())), Some(31.0)));
    assert_eq!(record(unreadable()), (None, Some(31.0)));
    assert_eq!(record(named(10.0)), (Some(LimitChange::Named(rate(10.0))), Some(10.0)));
    assert_eq!(record(NamedLimit::Absent), (Some(LimitChange::Ended), None));
    assert_eq!(record(NamedLimit::Absent), (None, None));
}
