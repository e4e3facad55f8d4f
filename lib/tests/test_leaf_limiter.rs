//! Tests of the rate limits that leafs name.

use std::time::Duration;
use std::time::Instant;

use jasmineusher_lib::catalogue::Class;
use jasmineusher_lib::ids::Attempt;
use jasmineusher_lib::ids::Incarnation;
use jasmineusher_lib::ids::IndexVersion;
use jasmineusher_lib::ids::QueryId;
use jasmineusher_lib::ids::ShardNo;
use jasmineusher_lib::leaf_limiter::LeafLimiter;
use jasmineusher_lib::leaf_limiter::LimitChange;
use jasmineusher_lib::leaf_protocol::CallId;
use jasmineusher_lib::leaf_protocol::Hit;
use jasmineusher_lib::leaf_protocol::LeafAnswer;
use jasmineusher_lib::leaf_protocol::LeafReply;
use jasmineusher_lib::plan::Purpose;
use jasmineusher_lib::rate_limit::HostRank;
use jasmineusher_lib::rate_limit::LimitObservation;
use jasmineusher_lib::rate_limit::NamedLimit;
use jasmineusher_lib::rate_limit::RequestRate;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

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

fn limiter(limit_per_s: f64, rank: HostRank, now: Instant) -> LeafLimiter {
    let mut limiter = LeafLimiter::default();
    limiter.record_named(&named(limit_per_s), now);
    limiter.set_rank(rank, now);
    limiter
}

fn admits(limiter: &LeafLimiter, now: Instant) -> bool {
    limiter.admits(Class::Urgent, Purpose::First, 0, now)
}

/// Sends as many urgent calls as are admitted and returns their number.
fn send_all(limiter: &mut LeafLimiter, now: Instant) -> usize {
    std::iter::from_fn(|| admits(limiter, now).then(|| limiter.take(now))).count()
}

const ONLY_HOST: HostRank = HostRank { place: 0, hosts: 1 };

#[test]
fn calls_after_a_pause_are_no_more_than_one_burst() {
    let now = Instant::now();
    let mut limiter = limiter(20.0, ONLY_HOST, now);
    assert_eq!(send_all(&mut limiter, now), 0, "a limit that was just named");
    assert_eq!(send_all(&mut limiter, now + 60 * SECOND), 20);
    assert_eq!(send_all(&mut limiter, now + 61 * SECOND), 20);
}

#[test]
fn call_of_which_no_byte_was_written_uses_nothing_of_the_limit() {
    let now = Instant::now();
    let mut limiter = limiter(1.0, ONLY_HOST, now);
    let later = now + SECOND;
    assert!(limiter.take(later));
    assert!(!admits(&limiter, later));
    limiter.put_back();
    assert!(admits(&limiter, later));
}

#[test]
fn urgent_calls_get_what_ordinary_calls_and_hedges_must_leave() {
    let now = Instant::now();
    let mut limiter = limiter(20.0, ONLY_HOST, now);
    let later = now + SECOND;
    let ordinary = |limiter: &LeafLimiter| {
        let first = limiter.admits(Class::Ordinary, Purpose::First, 0, later);
        let hedge = limiter.admits(Class::Urgent, Purpose::Hedge, 0, later);
        assert_eq!(first, hedge);
        first
    };
    let mut sent = 0;
    while ordinary(&limiter) {
        limiter.take(later);
        sent += 1;
    }
    assert_eq!((sent, send_all(&mut limiter, later)), (10, 10));
}

#[test]
fn wait_is_the_time_until_a_call_is_admitted() {
    let now = Instant::now();
    let mut limiter = limiter(4.0, ONLY_HOST, now);
    let wait = limiter.wait(Class::Urgent, now).expect("there is no token yet");
    assert!(!admits(&limiter, now + wait - MS));
    assert!(admits(&limiter, now + wait + MS));
    assert_eq!(limiter.wait(Class::Urgent, now + wait + MS), None);
    limiter.record_named(&NamedLimit::Absent, now);
    assert_eq!(limiter.wait(Class::Urgent, now), None, "no limit");
}

/// Guards against a leaf that takes nothing and is never called again.
#[test]
fn leaf_that_takes_no_requests_gets_few_calls_until_it_is_well_again() {
    let now = Instant::now();
    let mut limiter = limiter(0.0, HostRank { place: 0, hosts: 9 }, now);
    let calls: usize = (1..=40).map(|n| send_all(&mut limiter, now + n * SECOND)).sum();
    assert_eq!(calls, 10);
    limiter.record_named(&NamedLimit::Absent, now + 41 * SECOND);
    assert!(admits(&limiter, now + 41 * SECOND));
}

#[test]
fn host_without_a_part_sends_a_single_call_once_the_limit_was_not_named_for_long() {
    let now = Instant::now();
    let mut limiter = limiter(2.0, HostRank { place: 5, hosts: 9 }, now);
    assert!(!admits(&limiter, now + 9 * SECOND));
    assert_eq!(send_all(&mut limiter, now + 10 * SECOND), 1);
    assert_eq!(send_all(&mut limiter, now + 19 * SECOND), 0);
    assert_eq!(send_all(&mut limiter, now + 20 * SECOND), 1);
}

#[test]
fn earlier_observation_of_another_host_changes_nothing() {
    let now = Instant::now();
    let mut limiter = limiter(10.0, ONLY_HOST, now);
    let ended = |age| LimitObservation { limit: None, age };
    let later = now + SECOND;
    assert_eq!(limiter.merge_observation(ended(2 * SECOND), later), None);
    assert_eq!(limiter.limit(), Some(rate(10.0)));
    let change = limiter.merge_observation(ended(500 * MS), later);
    assert_eq!((change, limiter.limit()), (Some(LimitChange::Ended), None));
}

#[test]
fn part_that_is_not_renewed_is_followed_by_an_equal_one() {
    let now = Instant::now();
    let mut limiter = limiter(18.0, HostRank { place: 0, hosts: 9 }, now);
    limiter.set_part(rate(12.0), now + 2 * SECOND, now);
    assert_eq!(limiter.part_per_second(now + SECOND), Some(12.0));
    assert_eq!(limiter.part_per_second(now + 2 * SECOND), Some(2.0));
}

/// Guards against a limit that is lost where answers are JSON, and against answers without one that
/// no longer parse.
#[test]
fn limit_in_an_answer_of_the_own_leaf_protocol_is_read() {
    let query = QueryId { incarnation: Incarnation(1), number: 1 };
    let (attempt, shard, version) = (Attempt(0), ShardNo(0), IndexVersion(1));
    let call = CallId { query, attempt, shard, version };
    let limit = |limit: Option<f64>| {
        let mut answer = serde_json::json!({"call": call, "status": "ok", "effort_us": 1});
        limit.into_iter().for_each(|limit| answer["limit_per_s"] = limit.into());
        let answer = LeafAnswer::parse(answer.to_string().as_bytes()).expect("it parses");
        LeafReply::<Vec<Hit>>::from(answer).limit
    };
    assert_eq!(limit(None), NamedLimit::Absent);
    assert_eq!(limit(Some(12.5)), named(12.5));
    assert_eq!(limit(Some(-1.0)), NamedLimit::Unreadable("-1".to_owned()));
}
