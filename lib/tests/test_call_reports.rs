//! Call reports that the hosts of a zone exchange, and a simulated load at which a host needs the
//! reports of the others.

use std::time::Duration;
use std::time::Instant;

use jasmineusher_lib::call_reports::CallOutcome;
use jasmineusher_lib::call_reports::CallReport;
use jasmineusher_lib::call_reports::CallReportAggregator;
use jasmineusher_lib::call_reports::CallReportQueue;
use jasmineusher_lib::ids::LeafHash;
use jasmineusher_lib::leaf_estimates::LeafEstimates;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

const MS: Duration = Duration::from_millis(1);
const LEAF: LeafHash = LeafHash(7);

fn answered(took: Duration) -> CallReport {
    CallReport { leaf: LEAF, seen: CallOutcome::Answered(took) }
}

const FAILED: CallReport = CallReport { leaf: LEAF, seen: CallOutcome::Failed };

#[test]
fn summary_covers_the_last_calls_of_all_hosts() {
    let now = Instant::now();
    let mut aggregator = CallReportAggregator::default();
    aggregator.record_reports([answered(8 * MS), answered(9 * MS), FAILED], now);
    aggregator.record_reports([answered(90 * MS)], now);
    let summaries = aggregator.summaries(now + 100 * MS);
    let [summary] = summaries[..] else { panic!("expected one summary, got {summaries:?}") };
    assert_eq!((summary.calls, summary.failures), (4, 1));
    assert_eq!(summary.median, Some(9 * MS));
    assert_eq!(summary.age, 100 * MS);
}

/// A shard has one usable leaf left, and more hosts open connections to it than it accepts. If the
/// summary did not mark the leaf as crowded, hosts without a connection would call it as if it
/// still accepted new ones.
#[test]
fn summary_marks_a_crowded_leaf_until_it_accepts_connections_again() {
    let now = Instant::now();
    let mut aggregator = CallReportAggregator::default();
    aggregator.record_reports(
        [answered(30 * MS), CallReport { leaf: LEAF, seen: CallOutcome::Crowded }],
        now,
    );
    let mut estimates = LeafEstimates::default();
    estimates.record_zone_report(aggregator.summaries(now)[0], now);
    assert!(estimates.is_crowded(now));
    assert!(
        estimates.failure_chance(now) == 0.0,
        "a crowded leaf answers hosts with a connection and must not count as failing"
    );
    aggregator.record_reports([answered(30 * MS)], now + 1_900 * MS);
    let later = now + 2_000 * MS;
    estimates.record_zone_report(aggregator.summaries(later)[0], later);
    assert!(!estimates.is_crowded(later));
}

/// If summaries included old reports, a leaf that is no longer called would keep its last cost and
/// its mark as crowded on all hosts of the zone.
#[test]
fn old_reports_are_left_out_of_summaries() {
    let now = Instant::now();
    let mut aggregator = CallReportAggregator::default();
    aggregator.record_reports([answered(8 * MS)], now);
    assert!(aggregator.summaries(now + Duration::from_secs(3)).is_empty());
}

/// While the aggregator host cannot be reached, the queue of unsent reports must not grow without
/// limit.
#[test]
fn unsent_queue_keeps_the_latest_reports_and_stays_bounded() {
    let mut queue = CallReportQueue::default();
    (0..2_000).for_each(|n| queue.add(answered(n * MS)));
    let queued = queue.drain_all();
    assert!(queued.len() < 1_000);
    assert_eq!(queued.last(), Some(&answered(1_999 * MS)));
    assert!(queue.drain_all().is_empty());
}

/// Without the reports of the zone, each host would detect a slow leaf only by slow calls of its
/// own.
#[test]
fn reports_of_the_zone_raise_the_cost_of_a_leaf_that_the_host_never_called() {
    let now = Instant::now();
    let mut aggregator = CallReportAggregator::default();
    aggregator.record_reports((0..5).map(|_| answered(90 * MS)), now);
    let mut estimates = LeafEstimates::default();
    estimates.record_zone_report(aggregator.summaries(now)[0], now);
    assert!(estimates.cost(9 * MS, now) > 60 * MS, "{:?}", estimates.cost(9 * MS, now));
    assert!(
        estimates.cost(9 * MS, now + Duration::from_secs(12)) < 15 * MS,
        "the weight of reports must decay"
    );
}

/// The cost of a leaf that stops answering this host must rise, although earlier calls of other
/// hosts were fast.
#[test]
fn own_open_call_outweighs_the_reports_of_the_zone() {
    let now = Instant::now();
    let mut aggregator = CallReportAggregator::default();
    aggregator.record_reports((0..5).map(|_| answered(8 * MS)), now);
    let mut estimates = LeafEstimates::default();
    let call = jasmineusher_lib::leaf_protocol::CallId {
        query: "0-1".parse().unwrap(),
        attempt: Default::default(),
        shard: Default::default(),
        version: Default::default(),
    };
    estimates.record_call_start(call, now);
    estimates.record_zone_report(aggregator.summaries(now)[0], now);
    assert!(estimates.cost(9 * MS, now + 100 * MS) > 90 * MS);
}

/// Number of hosts of the zone.
const HOSTS: usize = 14;
/// Rate of calls of one host to one shard, in calls per second.
const CALLS_PER_SECOND: f64 = 1.5;
/// Simulated duration of one step.
const STEP: Duration = Duration::from_millis(20);
/// Number of steps between two exchanges of call reports.
const EXCHANGE_STEPS: u32 = 20;
/// Seconds after which most calls must go to the leaf that does not refuse. The service level is
/// evaluated in windows of 2 s.
const CONVERGENCE_SECONDS: u32 = 1;

/// Simulates one shard whose two near leafs refuse six calls of ten from the start, while the far
/// one answers all. Returns the fraction of first calls that are refused after
/// `CONVERGENCE_SECONDS`.
fn simulate_refusing_leafs(shares_reports: bool, seed: u64) -> f64 {
    const SHED_SHARE: f64 = 0.6;
    let typical = [9 * MS, 10 * MS, 34 * MS];
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut hosts =
        vec![[LeafEstimates::default(), LeafEstimates::default(), LeafEstimates::default()]; HOSTS];
    let mut queues: Vec<CallReportQueue> = (0..HOSTS).map(|_| CallReportQueue::default()).collect();
    let mut aggregator = CallReportAggregator::default();
    let (mut calls, mut refused) = (0, 0);
    for step in 0..6 * 50 {
        let now = start + STEP * step;
        for (host, queue) in hosts.iter_mut().zip(&mut queues) {
            if !rng.random_bool(CALLS_PER_SECOND * STEP.as_secs_f64()) {
                continue;
            }
            let cost = |leaf: &usize| host[*leaf].cost(typical[*leaf], now);
            let chosen = (0..3).min_by_key(cost).expect("there are three leafs");
            let sheds = chosen < 2 && rng.random_bool(SHED_SHARE);
            let seen =
                if sheds { CallOutcome::Failed } else { CallOutcome::Answered(typical[chosen]) };
            match seen {
                CallOutcome::Answered(took) => host[chosen].record_answer(took, 0, now),
                _ => host[chosen].record_shed(now),
            }
            queue.add(CallReport { leaf: LeafHash(chosen as u64), seen });
            if step >= CONVERGENCE_SECONDS * 50 {
                calls += 1;
                refused += u32::from(sheds);
            }
        }
        if shares_reports && step % EXCHANGE_STEPS == 0 {
            queues.iter_mut().for_each(|queue| aggregator.record_reports(queue.drain_all(), now));
            for summary in aggregator.summaries(now) {
                let leaf = summary.leaf.0 as usize;
                hosts.iter_mut().for_each(|host| host[leaf].record_zone_report(summary, now));
            }
        }
    }
    f64::from(refused) / f64::from(calls)
}

/// Many shards have leafs that refuse most calls. The fleet is so large that each host calls a leaf
/// only about once a second and would detect this from its own calls only after seconds. Extra
/// calls are allowed for about a third of the requests, so retries of refused first calls soon use
/// up their budget.
#[test]
fn refusing_leafs_are_avoided_after_a_second() {
    for seed in 0..10 {
        let (separate, shared) =
            (simulate_refusing_leafs(false, seed), simulate_refusing_leafs(true, seed));
        assert!(shared < 0.15, "seed {seed}: a fraction of {shared} is refused");
        assert!(shared < separate, "seed {seed}: {shared} with reports, {separate} without");
    }
}
