//! What one host believes of a leaf, and how that steers its choice.

use std::time::Duration;
use std::time::Instant;

use jasmineusher_lib::ids::Attempt;
use jasmineusher_lib::ids::IndexVersion;
use jasmineusher_lib::ids::QueryId;
use jasmineusher_lib::ids::ShardNo;
use jasmineusher_lib::leaf_estimates::LeafEstimates;
use jasmineusher_lib::leaf_estimates::Usability;
use jasmineusher_lib::leaf_protocol::CallId;

const MS: Duration = Duration::from_millis(1);
const NEAR: Duration = Duration::from_millis(9);
const FAR: Duration = Duration::from_millis(33);

fn call(number: u64) -> CallId {
    let query = QueryId { incarnation: Default::default(), number };
    CallId { query, attempt: Attempt(0), shard: ShardNo(0), version: IndexVersion(1) }
}

fn warm(now: Instant) -> LeafEstimates {
    let mut estimates = LeafEstimates::default();
    (0..10).for_each(|_| estimates.record_answer(8 * MS, 0, now));
    estimates
}

/// The quiet day: a leaf pauses for 150 ms every few seconds.
#[test]
fn one_pause_does_not_make_a_near_leaf_dearer_than_a_far_one() {
    let now = Instant::now();
    let mut estimates = warm(now);
    estimates.record_answer(150 * MS, 0, now);
    assert!(estimates.cost(NEAR, now) < FAR, "{:?}", estimates.cost(NEAR, now));
}

/// Slow leafs of many shards.
#[test]
fn leaf_that_stays_slow_becomes_dearer_and_is_tried_again_later() {
    let now = Instant::now();
    let mut estimates = warm(now);
    (0..8).for_each(|_| estimates.record_answer(85 * MS, 0, now));
    assert!(estimates.cost(NEAR, now) > FAR);
    assert!(estimates.cost(NEAR, now + 12 * Duration::from_secs(1)) < FAR);
}

#[test]
fn call_that_is_out_for_long_shows_a_stuck_leaf_until_it_ends() {
    let now = Instant::now();
    let mut estimates = warm(now);
    estimates.record_call_start(call(1), now);
    assert!(estimates.cost(NEAR, now + 10 * MS) < FAR);
    assert!(estimates.cost(NEAR, now + 40 * MS) > FAR);
    estimates.record_call_end(call(1));
    assert!(estimates.cost(NEAR, now + 40 * MS) < FAR);
}

/// Grey leafs: health is good, part of the requests fail.
#[test]
fn leaf_that_fails_every_other_call_is_dearer_than_a_far_one() {
    let now = Instant::now();
    let mut estimates = warm(now);
    for _ in 0..6 {
        estimates.record_failure(now);
        estimates.record_answer(8 * MS, 0, now);
    }
    assert!(estimates.cost(NEAR, now) > FAR);
}

#[test]
fn refused_connection_leaves_a_leaf_out_at_once_but_not_for_long() {
    let now = Instant::now();
    let mut estimates = warm(now);
    estimates.record_refused_connection(now);
    assert_eq!(estimates.usability(now), Usability::Ejected);
    assert_eq!(estimates.usability(now + 400 * MS), Usability::Usable);
}

#[test]
fn leaf_whose_address_was_taken_is_gone_until_it_is_listed_anew() {
    let now = Instant::now();
    let mut estimates = warm(now);
    estimates.record_misdirected(now);
    assert_eq!(estimates.usability(now + 5 * Duration::from_secs(1)), Usability::Gone);
}

#[test]
fn cold_leaf_is_dearer_until_it_is_warm() {
    let now = Instant::now();
    let mut estimates = LeafEstimates::default();
    estimates.set_cold_until(Some(now + Duration::from_secs(2)));
    let cold = estimates.cost(NEAR, now);
    assert!(cold > estimates.cost(NEAR, now + Duration::from_secs(3)));
}

#[test]
fn leaf_that_closes_new_connections_is_full_for_a_while_but_not_ejected() {
    let now = Instant::now();
    let mut estimates = warm(now);
    estimates.record_connection_overflow(now);
    assert!(estimates.is_full(now + 500 * MS));
    assert!(!estimates.is_full(now + 3 * Duration::from_secs(1)));
    assert_eq!(estimates.usability(now), Usability::Usable);
}

/// Leafs of many shards that refuse: what they cost is no time after which a second call must start.
#[test]
fn failures_make_a_leaf_dearer_but_not_slower() {
    let now = Instant::now();
    let mut estimates = warm(now);
    for _ in 0..6 {
        estimates.record_shed(now);
        estimates.record_answer(8 * MS, 0, now);
    }
    assert!(estimates.cost(NEAR, now) > FAR);
    assert!(
        estimates.expected_latency(NEAR, now) < 2 * NEAR,
        "{:?}",
        estimates.expected_latency(NEAR, now)
    );
    assert!(estimates.failure_chance(now) > 0.3);
}
