//! What the hosts of a zone tell each other of the leafs, and the load for which they do.

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
    let mut board = CallReportAggregator::default();
    board.hear([answered(8 * MS), answered(9 * MS), FAILED], now);
    board.hear([answered(90 * MS)], now);
    let summaries = board.summaries(now + 100 * MS);
    let [summary] = summaries[..] else { panic!("one leaf was seen, got {summaries:?}") };
    assert_eq!((summary.calls, summary.failures), (4, 1));
    assert_eq!(summary.median, Some(9 * MS));
    assert_eq!(summary.age, 100 * MS);
}

/// A shard with one sound leaf left, at which more hosts want a connection than it accepts.
#[test]
fn all_hosts_of_the_zone_hear_that_a_leaf_is_crowded_until_it_is_no_longer() {
    let now = Instant::now();
    let mut board = CallReportAggregator::default();
    board.hear([answered(30 * MS), CallReport { leaf: LEAF, seen: CallOutcome::Crowded }], now);
    let mut estimates = LeafEstimates::default();
    estimates.record_zone_report(board.summaries(now)[0], now);
    assert!(estimates.is_crowded(now));
    assert!(
        estimates.failure_chance(now) == 0.0,
        "a crowded leaf answers those that are connected"
    );
    board.hear([answered(30 * MS)], now + 1_900 * MS);
    let later = now + 2_000 * MS;
    estimates.record_zone_report(board.summaries(later)[0], later);
    assert!(!estimates.is_crowded(later));
}

#[test]
fn old_sightings_are_in_no_summary() {
    let now = Instant::now();
    let mut board = CallReportAggregator::default();
    board.hear([answered(8 * MS)], now);
    assert!(board.summaries(now + Duration::from_secs(3)).is_empty());
}

#[test]
fn log_that_is_not_sent_keeps_the_latest_and_stays_bounded() {
    let mut log = CallReportQueue::default();
    (0..2_000).for_each(|n| log.add(answered(n * MS)));
    let waiting = log.take();
    assert!(waiting.len() < 1_000);
    assert_eq!(waiting.last(), Some(&answered(1_999 * MS)));
    assert!(log.take().is_empty());
}

#[test]
fn host_believes_what_its_zone_saw_of_a_leaf_that_it_never_called() {
    let now = Instant::now();
    let mut board = CallReportAggregator::default();
    board.hear((0..5).map(|_| answered(90 * MS)), now);
    let mut estimates = LeafEstimates::default();
    estimates.record_zone_report(board.summaries(now)[0], now);
    assert!(estimates.cost(9 * MS, now) > 60 * MS, "{:?}", estimates.cost(9 * MS, now));
    assert!(estimates.cost(9 * MS, now + Duration::from_secs(12)) < 15 * MS, "news must fade");
}

#[test]
fn call_that_this_host_waits_for_goes_before_what_the_zone_says() {
    let now = Instant::now();
    let mut board = CallReportAggregator::default();
    board.hear((0..5).map(|_| answered(8 * MS)), now);
    let mut estimates = LeafEstimates::default();
    let call = jasmineusher_lib::leaf_protocol::CallId {
        query: "0-1".parse().unwrap(),
        attempt: Default::default(),
        shard: Default::default(),
        version: Default::default(),
    };
    estimates.record_call_start(call, now);
    estimates.record_zone_report(board.summaries(now)[0], now);
    assert!(estimates.cost(9 * MS, now + 100 * MS) > 90 * MS);
}

/// Hosts of a zone.
const HOSTS: usize = 14;
/// Calls that one host makes to one shard, a second.
const CALLS_PER_SECOND: f64 = 1.5;
/// Time of one step.
const STEP: Duration = Duration::from_millis(20);
/// Steps between two exchanges.
const EXCHANGE_STEPS: u32 = 20;
/// Seconds after which most calls should find the sound leaf: a window of the users' score is 2 s.
const LEARNING_SECONDS: u32 = 1;

/// Plays one shard whose two near leafs refuse six calls of ten from the start, while its far one is
/// sound. Returns the share of first calls that are refused after the time for learning.
fn play_refusing_leafs(shares_sightings: bool, seed: u64) -> f64 {
    const SHED_SHARE: f64 = 0.6;
    let typical = [9 * MS, 10 * MS, 34 * MS];
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut hosts =
        vec![[LeafEstimates::default(), LeafEstimates::default(), LeafEstimates::default()]; HOSTS];
    let mut logs: Vec<CallReportQueue> = (0..HOSTS).map(|_| CallReportQueue::default()).collect();
    let mut board = CallReportAggregator::default();
    let (mut calls, mut refused) = (0, 0);
    for step in 0..6 * 50 {
        let now = start + STEP * step;
        for (host, log) in hosts.iter_mut().zip(&mut logs) {
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
            log.add(CallReport { leaf: LeafHash(chosen as u64), seen });
            if step >= LEARNING_SECONDS * 50 {
                calls += 1;
                refused += u32::from(sheds);
            }
        }
        if shares_sightings && step % EXCHANGE_STEPS == 0 {
            logs.iter_mut().for_each(|log| board.hear(log.take(), now));
            for summary in board.summaries(now) {
                let leaf = summary.leaf.0 as usize;
                hosts.iter_mut().for_each(|host| host[leaf].record_zone_report(summary, now));
            }
        }
    }
    f64::from(refused) / f64::from(calls)
}

/// Many shards whose leafs refuse most calls, in a fleet so large that each host calls a leaf about
/// once a second. Extra calls are allowed for about a third of the requests.
#[test]
fn leafs_that_refuse_are_left_alone_after_a_second() {
    for seed in 0..10 {
        let (alone, together) = (play_refusing_leafs(false, seed), play_refusing_leafs(true, seed));
        assert!(together < 0.15, "seed {seed}: {together} of the calls are refused");
        assert!(together < alone, "seed {seed}: {together} together, {alone} alone");
    }
}
