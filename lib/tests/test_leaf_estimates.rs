//! Tests of one host's estimates of a leaf and of the cost that they give it. `NEAR` and `FAR` are
//! the typical latencies of a leaf in this host's zone and of one in another region.

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

fn estimates_of_warm_leaf(now: Instant) -> LeafEstimates {
    let mut estimates = LeafEstimates::default();
    (0..10).for_each(|_| estimates.record_answer(8 * MS, 0, now));
    estimates
}

/// Guards against calls to a far replica because of one outlier: in normal operation, a leaf pauses
/// for 150 ms every few seconds.
#[test]
fn one_slow_call_does_not_make_a_near_leaf_cost_more_than_a_far_one() {
    let now = Instant::now();
    let mut estimates = estimates_of_warm_leaf(now);
    estimates.record_answer(150 * MS, 0, now);
    assert!(estimates.cost(NEAR, now) < FAR, "{:?}", estimates.cost(NEAR, now));
}

/// Guards against a host that goes on calling a leaf that has become slow, as when the leafs of
/// many shards slow down at once, and against one that never calls it again.
#[test]
fn slow_leaf_costs_more_than_a_far_one_until_its_samples_decay() {
    let now = Instant::now();
    let mut estimates = estimates_of_warm_leaf(now);
    (0..8).for_each(|_| estimates.record_answer(85 * MS, 0, now));
    assert!(estimates.cost(NEAR, now) > FAR);
    assert!(estimates.cost(NEAR, now + 12 * Duration::from_secs(1)) < FAR);
}

/// Guards against further calls to a leaf that has stopped answering: its open calls add no latency
/// sample.
#[test]
fn long_open_call_raises_the_cost_until_it_ends() {
    let now = Instant::now();
    let mut estimates = estimates_of_warm_leaf(now);
    estimates.record_call_start(call(1), now);
    assert!(estimates.cost(NEAR, now + 10 * MS) < FAR);
    assert!(estimates.cost(NEAR, now + 40 * MS) > FAR);
    estimates.record_call_end(call(1));
    assert!(estimates.cost(NEAR, now + 40 * MS) < FAR);
}

/// Guards against gray failure: the leaf's health endpoint reports success while some of its
/// requests fail.
#[test]
fn leaf_that_fails_every_other_call_costs_more_than_a_far_one() {
    let now = Instant::now();
    let mut estimates = estimates_of_warm_leaf(now);
    for _ in 0..6 {
        estimates.record_failure(now);
        estimates.record_answer(8 * MS, 0, now);
    }
    assert!(estimates.cost(NEAR, now) > FAR);
}

/// A refused connection shows that the leaf's process has ended; it may restart within moments.
#[test]
fn refused_connection_ejects_a_leaf_at_once_for_less_than_400_ms() {
    let now = Instant::now();
    let mut estimates = estimates_of_warm_leaf(now);
    estimates.record_refused_connection(now);
    assert_eq!(estimates.usability(now), Usability::Ejected);
    assert_eq!(estimates.usability(now + 400 * MS), Usability::Usable);
}

/// Another leaf has taken over the address and refuses calls to this leaf. They must not go there
/// until the host list removes this leaf or names its new address.
#[test]
fn misdirected_leaf_is_gone_for_more_than_5_s() {
    let now = Instant::now();
    let mut estimates = estimates_of_warm_leaf(now);
    estimates.record_misdirected(now);
    assert_eq!(estimates.usability(now + 5 * Duration::from_secs(1)), Usability::Gone);
}

#[test]
fn cold_leaf_costs_more_until_it_is_warm() {
    let now = Instant::now();
    let mut estimates = LeafEstimates::default();
    estimates.set_cold_until(Some(now + Duration::from_secs(2)));
    let cold = estimates.cost(NEAR, now);
    assert!(cold > estimates.cost(NEAR, now + Duration::from_secs(3)));
}

/// A leaf at its connection limit closes new connections but still answers on open ones, so it must
/// not be ejected.
#[test]
fn leaf_that_closes_a_new_connection_is_full_for_up_to_3_s_and_not_ejected() {
    let now = Instant::now();
    let mut estimates = estimates_of_warm_leaf(now);
    estimates.record_connection_overflow(now);
    assert!(estimates.is_full(now + 500 * MS));
    assert!(!estimates.is_full(now + 3 * Duration::from_secs(1)));
    assert_eq!(estimates.usability(now), Usability::Usable);
}

/// Guards against early hedges when the leafs of many shards shed calls: failures must raise the
/// cost of a leaf but not its expected latency, which decides when a hedge must start.
#[test]
fn failures_raise_the_cost_but_not_the_expected_latency() {
    let now = Instant::now();
    let mut estimates = estimates_of_warm_leaf(now);
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
