//! Tests of the query state machine with a fixed policy: single steps and random interleavings of
//! replies, losses and time.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use jasmineusher_lib::answer::OutcomeKind;
use jasmineusher_lib::answer::QueryAnswer;
use jasmineusher_lib::answer::Reason;
use jasmineusher_lib::catalogue::Catalogue;
use jasmineusher_lib::catalogue::Entry;
use jasmineusher_lib::feasibility::Obstacle;
use jasmineusher_lib::hosts::HostList;
use jasmineusher_lib::hosts::LeafRegistry;
use jasmineusher_lib::hosts::RawHostList;
use jasmineusher_lib::ids::Attempt;
use jasmineusher_lib::ids::Incarnation;
use jasmineusher_lib::ids::LeafKey;
use jasmineusher_lib::ids::QueryId;
use jasmineusher_lib::layout::Layout;
use jasmineusher_lib::layout::RawLayout;
use jasmineusher_lib::leaf_protocol::Hit;
use jasmineusher_lib::leaf_protocol::LeafAnswer;
use jasmineusher_lib::leaf_protocol::LeafStatus;
use jasmineusher_lib::plan::Actions;
use jasmineusher_lib::plan::CallLoss;
use jasmineusher_lib::plan::Choice;
use jasmineusher_lib::plan::Policy;
use jasmineusher_lib::plan::Purpose;
use jasmineusher_lib::plan::QueryPlan;
use jasmineusher_lib::plan::RetryCause;
use jasmineusher_lib::plan::SendCall;
use jasmineusher_lib::plan::Suspicion;
use jasmineusher_lib::query::Query;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SHARDS: u16 = 5;
const LEAFS: u16 = 5;

/// A policy that allows every hedge and retry, and chooses the first replica that the shard has not
/// called yet. If there is none, a retry goes to the first that was called.
#[derive(Default)]
struct EagerPolicy {
    /// Leafs that take no call, and the time until they do.
    untaken: HashMap<LeafKey, Duration>,
    /// Whether a retry goes to no leaf that the shard has called already.
    retries_only_untried: bool,
    waits: HashMap<LeafKey, Duration>,
    /// Time that this host takes for the calls of a query.
    own_time: Duration,
    /// Expected time until the reply to a call that was not written yet.
    unwritten_waits: HashMap<Attempt, Duration>,
    /// Time until a call is hedged; 10 ms if absent.
    hedge_delay: Option<Duration>,
    unwritten: HashSet<Attempt>,
    written_at: HashMap<Attempt, Instant>,
}

impl Policy for EagerPolicy {
    fn choose(
        &mut self,
        replicas: &[LeafKey],
        tried: &[LeafKey],
        purpose: Purpose,
        _now: Instant,
    ) -> Option<Choice> {
        let is_free = |leaf: &LeafKey| !tried.contains(leaf) && !self.untaken.contains_key(leaf);
        let untried = replicas.iter().copied().find(is_free);
        let may_call_again = purpose == Purpose::Retry && !self.retries_only_untried;
        let leaf = if may_call_again { untried.or(tried.first().copied()) } else { untried };
        let leaf = leaf?;
        let wait = self.waits.get(&leaf).copied().unwrap_or(Duration::from_millis(1));
        Some(Choice { leaf, wait, cost: wait })
    }

    fn callable_in(&self, replicas: &[LeafKey], _now: Instant) -> Option<Duration> {
        replicas.iter().map(|leaf| self.untaken.get(leaf).copied().unwrap_or_default()).min()
    }

    fn try_hedge(&mut self, _slow: LeafKey, _is_decisive: bool, _now: Instant) -> bool {
        true
    }

    fn try_retry(&mut self, _failed: LeafKey, _cause: RetryCause, _now: Instant) -> bool {
        true
    }

    fn hedge_delay(&self, _leaf: LeafKey) -> Option<Duration> {
        Some(self.hedge_delay.unwrap_or(Duration::from_millis(10)))
    }

    fn written_at(&self, attempt: Attempt) -> Option<Instant> {
        self.written_at.get(&attempt).copied()
    }

    fn own_time(&self, _calls: usize, _now: Instant) -> Duration {
        self.own_time
    }

    fn unwritten_reply_in(
        &self,
        attempt: Attempt,
        _leaf: LeafKey,
        _now: Instant,
    ) -> Option<Duration> {
        self.unwritten_waits.get(&attempt).copied()
    }

    fn withdraw(&mut self, attempt: Attempt) -> bool {
        self.unwritten.remove(&attempt)
    }
}

fn plan(entry: &str, now: Instant, suspicion: Suspicion, replicas: u16) -> QueryPlan {
    let catalogue = Catalogue::try_from(testutils::CATALOGUE).expect("the catalogue is valid");
    let leafs: Vec<_> = (0..LEAFS)
        .map(|n| {
            serde_json::json!({
                "name": format!("leaf-{n}"), "addr": "127.0.0.1:1", "zone": "z",
                "slots": 2, "connections": 25,
            })
        })
        .collect();
    let hosts = serde_json::json!({ "daemons": [], "leafs": leafs });
    let hosts: RawHostList = serde_json::from_value(hosts).expect("the host list parses");
    let registry = LeafRegistry::default();
    HostList::new(hosts, &registry).expect("the host list is valid");
    let shards: Vec<Vec<_>> = (0..SHARDS)
        .map(|n| (0..replicas).map(|r| format!("leaf-{}", (n + r) % LEAFS)).collect())
        .collect();
    let layout = serde_json::json!({
        "indexes": [{ "name": "careline", "versions": [{ "version": 7, "shards": shards }] }]
    });
    let layout: RawLayout = serde_json::from_value(layout).expect("the layout parses");
    let layout = Layout::new(&layout, &registry).expect("the layout is valid");
    let entry = catalogue.entry(entry).expect("the entry exists").clone();
    let snapshot = layout.versions(&entry.index)[0].clone();
    QueryPlan {
        id: QueryId { incarnation: Incarnation(1), number: 1 },
        entry,
        snapshot,
        hits: 10,
        deadline: now + Duration::from_secs(5),
        target_at: None,
        first_attempt: Attempt(0),
        suspicion,
        any_answer_clears: false,
    }
}

fn answer(send: &SendCall, status: LeafStatus) -> LeafAnswer {
    let hit = Hit { score: 1.0, id: format!("s{}", send.call.shard), fields: None };
    let hits = if status == LeafStatus::Ok { vec![hit] } else { Vec::new() };
    LeafAnswer {
        call: send.call,
        status,
        effort_us: 1,
        queued: 0,
        limit_per_s: None,
        leaving: false,
        retry_after_ms: None,
        hits,
    }
}

/// A query in progress with its policy, the calls that it has sent and cancelled so far, and the
/// simulated time.
struct Run {
    query: Query,
    policy: EagerPolicy,
    calls: Vec<SendCall>,
    cancelled: Vec<Attempt>,
    now: Instant,
}

impl Run {
    fn start(entry: &str, suspicion: Suspicion) -> Self {
        Self::start_with_replicas(entry, suspicion, 2)
    }

    fn start_with_replicas(entry: &str, suspicion: Suspicion, replicas: u16) -> Self {
        let now = Instant::now();
        Self::start_plan(plan(entry, now, suspicion, replicas), now)
    }

    fn start_plan(plan: QueryPlan, now: Instant) -> Self {
        let query = Query::new(plan);
        let policy = EagerPolicy::default();
        let mut run = Self { query, policy, calls: Vec::new(), cancelled: Vec::new(), now };
        run.step(|query, now, policy, out| query.start(now, policy, out));
        run
    }

    fn step(&mut self, f: impl FnOnce(&mut Query, Instant, &mut dyn Policy, &mut Actions)) {
        let mut out = Actions::default();
        f(&mut self.query, self.now, &mut self.policy, &mut out);
        for send in &out.sends {
            self.policy.written_at.insert(send.call.attempt, self.now);
        }
        self.calls.extend(out.sends);
        self.cancelled.extend(out.cancels);
    }

    fn answer(&mut self, call: usize, status: LeafStatus) {
        let send = self.calls[call];
        let answer = answer(&send, status);
        self.step(|query, now, policy, out| {
            query.on_reply(send.call.attempt, answer, now, policy, out);
        });
    }

    fn lose(&mut self, call: usize, loss: CallLoss) {
        let attempt = self.calls[call].call.attempt;
        self.step(|query, now, policy, out| query.on_call_lost(attempt, loss, now, policy, out));
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        self.step(|query, now, policy, out| query.tick(now, policy, out));
    }

    fn finish(&mut self) -> QueryAnswer {
        self.query.take_answer(Duration::from_millis(1))
    }
}

#[test]
fn query_is_complete_when_all_shards_have_answered() {
    let mut run = Run::start("lookup", Suspicion::Clear);
    (0..5).for_each(|call| run.answer(call, LeafStatus::Ok));
    assert!(run.query.is_over());
    assert_eq!(run.finish().outcome, OutcomeKind::Complete);
}

/// Guards against a query that is held until its deadline, or answered as lost, while only the rate
/// limits of leafs keep it from being sent.
#[test]
fn query_whose_leafs_admit_no_call_is_refused_with_the_time_until_enough_do() {
    let now = Instant::now();
    let mut policy = EagerPolicy::default();
    let waits = [(0, 30), (1, 20), (2, 10), (3, 40)];
    policy.untaken = waits.map(|(leaf, ms)| (LeafKey(leaf), Duration::from_millis(ms))).into();
    let mut query = Query::<Vec<Hit>>::new(plan("table", now, Suspicion::Clear, 1));
    let mut out = Actions::default();
    query.start(now, &mut policy, &mut out);
    assert!(query.is_over() && out.sends.is_empty());
    let outcome = query.take_outcome();
    assert_eq!((outcome.kind, outcome.reason), (OutcomeKind::NotRun, Reason::Overloaded));
    // The entry needs all shards, so that the last leaf to admit a call decides.
    assert_eq!(outcome.excess_wait, Some(Duration::from_millis(40)));
}

/// Guards against a time to come back at which still no leaf takes the request.
#[test]
fn query_that_its_leafs_turn_away_is_refused_with_the_time_until_enough_take_it() {
    let mut run = Run::start_with_replicas("table", Suspicion::Clear, 1);
    for call in 0..5 {
        let leaf = run.calls[call].leaf;
        let time = Duration::from_millis(100 + 10 * u64::from(leaf.0));
        run.policy.untaken.insert(leaf, time);
    }
    run.policy.retries_only_untried = true;
    (0..5).for_each(|call| run.answer(call, LeafStatus::Shed));
    assert!(run.query.is_over());
    let outcome = run.query.take_outcome();
    assert_eq!((outcome.kind, outcome.reason), (OutcomeKind::NotRun, Reason::Overloaded));
    // The entry needs all shards, and the first that is given up decides.
    assert_eq!(outcome.excess_wait, Some(Duration::from_millis(100)));
}

/// Guards against a retry on a connection that carried the refused call: its leaf may still send a
/// copy of the refusal there.
#[test]
fn retry_at_a_leaf_that_was_called_before_is_marked() {
    let mut run = Run::start("lookup", Suspicion::Clear);
    assert!(run.calls.iter().all(|call| !call.repeats_leaf));
    (0..3).for_each(|_| run.answer(run.calls.len() - 1, LeafStatus::Shed));
    let of_last_shard: Vec<_> =
        run.calls.iter().filter(|call| call.call.shard.0 == SHARDS - 1).collect();
    for (number, call) in of_last_shard.iter().enumerate() {
        let was_called = of_last_shard[..number].iter().any(|earlier| earlier.leaf == call.leaf);
        assert_eq!(call.repeats_leaf, was_called, "call {number}");
    }
    assert!(of_last_shard.iter().any(|call| call.repeats_leaf), "a leaf was called twice");
}

#[test]
fn reply_that_arrives_twice_is_merged_once_and_counted_as_unmatched() {
    let mut run = Run::start("lookup", Suspicion::Clear);
    run.answer(0, LeafStatus::Ok);
    run.answer(0, LeafStatus::Ok);
    assert_eq!(run.query.unmatched_replies(), 1);
    (1..5).for_each(|call| run.answer(call, LeafStatus::Ok));
    let answer = run.finish();
    assert_eq!((answer.outcome, answer.hits.len()), (OutcomeKind::Complete, 5));
}

#[test]
fn slow_call_is_hedged_once_and_the_slower_call_is_cancelled() {
    let mut run = Run::start("lookup", Suspicion::Clear);
    (0..4).for_each(|call| run.answer(call, LeafStatus::Ok));
    run.advance(Duration::from_millis(9));
    assert_eq!(run.calls.len(), 5, "no hedge before the hedge delay");
    run.advance(Duration::from_millis(1));
    assert_eq!((run.calls.len(), run.calls[5].purpose), (6, Purpose::Hedge));
    assert_ne!(run.calls[5].leaf, run.calls[4].leaf);
    run.answer(5, LeafStatus::Ok);
    assert_eq!(run.cancelled, [run.calls[4].call.attempt]);
    assert_eq!(run.finish().outcome, OutcomeKind::Complete);
}

#[test]
fn slow_hedge_is_hedged_again_on_another_leaf() {
    let mut run = Run::start_with_replicas("lookup", Suspicion::Clear, 3);
    (0..4).for_each(|call| run.answer(call, LeafStatus::Ok));
    run.advance(Duration::from_millis(10));
    run.advance(Duration::from_millis(10));
    let leafs: HashSet<_> = run.calls[4..].iter().map(|call| call.leaf).collect();
    assert_eq!((run.calls.len(), leafs.len()), (7, 3));
    run.advance(Duration::from_millis(10));
    assert_eq!(run.calls.len(), 7, "no hedge when all replicas have been tried");
    run.answer(6, LeafStatus::Ok);
    assert_eq!(run.cancelled.len(), 2);
    assert_eq!(run.finish().outcome, OutcomeKind::Complete);
}

/// Moving a call that was not sent yet causes no extra load, so the new call must not count as a
/// hedge.
#[test]
fn call_waiting_for_a_slot_is_moved_to_another_leaf_as_a_first_call() {
    let mut run = Run::start("lookup", Suspicion::Clear);
    (0..4).for_each(|call| run.answer(call, LeafStatus::Ok));
    let waiting = run.calls[4].call.attempt;
    run.policy.written_at.remove(&waiting);
    run.policy.unwritten.insert(waiting);
    run.advance(Duration::from_millis(20));
    assert_eq!((run.calls.len(), run.calls[5].purpose), (6, Purpose::First));
}

#[test]
fn call_of_a_non_idempotent_entry_is_not_repeated_once_it_may_have_run() {
    let mut run = Run::start("send", Suspicion::Clear);
    run.advance(Duration::from_millis(50));
    assert_eq!(run.calls.len(), 5, "no hedges");
    run.lose(0, CallLoss::NotSent);
    assert_eq!(run.calls.len(), 6, "an unsent call may go to another leaf");
    run.lose(1, CallLoss::Broken);
    run.lose(2, CallLoss::Garbled);
    assert_eq!(run.calls.len(), 6);
    assert!(run.query.is_over(), "the query needs all shards, and one cannot be retried");
    assert_eq!(run.finish().outcome, OutcomeKind::Unknown);
}

#[test]
fn outcome_is_not_run_when_every_leaf_sheds() {
    let mut run = Run::start("lookup", Suspicion::Clear);
    let mut call = 0;
    while !run.query.is_over() {
        run.answer(call, LeafStatus::Shed);
        call += 1;
    }
    assert_eq!(run.finish().outcome, OutcomeKind::NotRun);
}

#[test]
fn query_is_refused_before_any_call_when_expected_waits_exceed_the_deadline() {
    let now = Instant::now();
    let mut query = Query::new(plan("lookup", now, Suspicion::Clear, 2));
    let waits = (0..u32::from(LEAFS)).map(|n| (LeafKey(n), Duration::from_secs(7))).collect();
    let mut policy = EagerPolicy { waits, ..EagerPolicy::default() };
    let mut out = Actions::default();
    query.start(now, &mut policy, &mut out);
    assert!(query.is_over() && out.sends.is_empty());
    let answer = query.take_answer(Duration::from_millis(1));
    assert_eq!(answer.outcome, OutcomeKind::NotRun);
    let refusal = answer.refusal.expect("the answer has a refusal");
    assert_eq!(
        refusal.retry_after,
        Some(Duration::from_secs(3)),
        "7 s of waiting, less 0.8 of the 5 s until the deadline"
    );
}

/// Guards against a query that a slowed machine accepts although other hosts could serve it.
#[test]
fn query_whose_calls_this_host_sends_too_late_is_refused_before_any_call() {
    let now = Instant::now();
    for (own_ms, is_refused) in [(3_990, false), (4_010, true)] {
        let own_time = Duration::from_millis(own_ms);
        let mut policy = EagerPolicy { own_time, ..EagerPolicy::default() };
        let mut query = Query::<Vec<Hit>>::new(plan("lookup", now, Suspicion::Clear, 2));
        let mut out = Actions::default();
        query.start(now, &mut policy, &mut out);
        assert_eq!((query.is_over(), out.sends.is_empty()), (is_refused, is_refused));
    }
}

/// Makes the calls `unwritten` of a query wait, each for `wait` more.
fn run_with_unwritten_calls(entry: &str, unwritten: &[usize], wait: Duration) -> Run {
    let mut run = Run::start_with_replicas(entry, Suspicion::Clear, 1);
    for &call in unwritten {
        let attempt = run.calls[call].call.attempt;
        run.policy.written_at.remove(&attempt);
        run.policy.unwritten_waits.insert(attempt, wait);
    }
    run
}

/// Guards against a caller that is held until its deadline by calls that cannot be sent in time.
#[test]
fn query_ends_as_soon_as_its_waiting_calls_cannot_be_answered_in_time() {
    let mut run = run_with_unwritten_calls("table", &[4], Duration::from_millis(4_950));
    (0..4).for_each(|call| run.answer(call, LeafStatus::Ok));
    assert!(!run.query.is_over(), "the call may still be answered 50 ms before the deadline");
    run.advance(Duration::from_millis(40));
    assert!(!run.query.is_over());
    run.advance(Duration::from_millis(20));
    assert!(run.query.is_over(), "the call is expected 10 ms after the deadline");
    let outcome = run.query.take_outcome();
    assert_eq!((outcome.kind, outcome.reason), (OutcomeKind::Unknown, Reason::Overloaded));
    assert_eq!(outcome.obstacle, Some(Obstacle::UnsentCalls));
}

/// Guards against a refusal at the deadline, when the caller has no time left to come back.
#[test]
fn query_of_which_nothing_was_sent_and_nothing_can_be_is_refused_as_not_run() {
    let all = [0, 1, 2, 3, 4];
    let mut run = run_with_unwritten_calls("table", &all, Duration::from_secs(6));
    run.advance(Duration::from_millis(20));
    assert!(run.query.is_over());
    run.calls.iter().for_each(|call| run.query.on_call_withdrawn(call.call.attempt));
    let outcome = run.query.take_outcome();
    assert_eq!((outcome.kind, outcome.reason), (OutcomeKind::NotRun, Reason::Overloaded));
    assert!(outcome.excess_wait.is_some_and(|wait| wait > Duration::from_millis(900)));
}

/// Guards against a query that is given up although a waiting call can still be moved to another
/// leaf.
#[test]
fn query_whose_waiting_call_can_be_moved_to_another_leaf_goes_on() {
    let now = Instant::now();
    let mut query = Query::<Vec<Hit>>::new(plan("restarting", now, Suspicion::Clear, 2));
    let hedge_delay = Some(Duration::from_millis(50));
    let mut policy = EagerPolicy { hedge_delay, ..EagerPolicy::default() };
    let mut out = Actions::default();
    query.start(now, &mut policy, &mut out);
    let waiting = out.sends[0].call.attempt;
    policy.unwritten.insert(waiting);
    policy.unwritten_waits.insert(waiting, Duration::from_secs(60));
    out.sends.clear();
    query.tick(now + Duration::from_millis(30), &mut policy, &mut out);
    assert!(!query.is_over());
    query.tick(now + Duration::from_millis(50), &mut policy, &mut out);
    assert!(!query.is_over() && !out.sends.is_empty(), "the call is moved");
}

/// Guards against a query that is given up although its minimum coverage can still be reached.
#[test]
fn query_whose_written_calls_can_satisfy_the_minimum_coverage_goes_on() {
    // The entry needs one of five shards.
    let mut run = run_with_unwritten_calls("lookup", &[0, 1, 2, 3], Duration::from_secs(60));
    run.advance(Duration::from_millis(4_900));
    assert!(!run.query.is_over());
    run.answer(4, LeafStatus::Ok);
    run.advance(Duration::from_millis(100));
    assert_eq!(run.finish().outcome, OutcomeKind::Partial);
}

#[test]
fn suspected_request_sends_one_probe_before_the_other_calls() {
    let mut run = Run::start("lookup", Suspicion::Suspected);
    assert_eq!(run.calls.len(), 1);
    run.answer(0, LeafStatus::Ok);
    assert_eq!((run.calls.len(), run.query.suspicion()), (5, Suspicion::Clear));
    (1..5).for_each(|call| run.answer(call, LeafStatus::Ok));
    assert_eq!(run.finish().outcome, OutcomeKind::Complete);
}

/// When a request crashes a leaf, the connections of all calls in progress there break. If each of
/// these requests were blocked, harmless ones would be refused; therefore a broken connection only
/// makes a request suspected.
#[test]
fn suspected_request_is_answered_completely_after_a_successful_probe() {
    let mut run = Run::start("lookup", Suspicion::Clear);
    run.lose(0, CallLoss::Broken);
    run.lose(1, CallLoss::Broken);
    assert_eq!(run.calls.len(), 6, "one retry is sent as the probe, the other is held back");
    run.answer(5, LeafStatus::Ok);
    assert_eq!(run.calls.len(), 7, "the held retry is sent once the probe has cleared the request");
    (2..5).chain([6]).for_each(|call| run.answer(call, LeafStatus::Ok));
    assert_eq!(run.finish().outcome, OutcomeKind::Complete);
}

#[test]
fn probe_that_breaks_its_connection_blocks_the_request() {
    let mut run = Run::start("lookup", Suspicion::Clear);
    run.lose(0, CallLoss::Broken);
    run.lose(5, CallLoss::Broken);
    assert_eq!(run.query.suspicion(), Suspicion::Blocked);
    run.lose(1, CallLoss::Broken);
    assert_eq!(run.calls.len(), 6, "a blocked request sends nothing more");
}

fn run_cleared_by_any_answer() -> Run {
    let now = Instant::now();
    let mut plan = plan("lookup", now, Suspicion::Clear, 3);
    plan.any_answer_clears = true;
    Run::start_plan(plan, now)
}

/// A poison request breaks the calls of all shards. If each were retried at once, the request would
/// crash a second leaf of every shard.
#[test]
fn request_whose_calls_all_break_before_an_answer_is_retried_once() {
    let mut run = run_cleared_by_any_answer();
    (0..5).for_each(|call| run.lose(call, CallLoss::Broken));
    assert_eq!(run.calls.len(), 6, "one retry is sent as the probe");
    run.lose(5, CallLoss::Broken);
    assert_eq!(run.calls.len(), 6, "nothing more is sent");
    assert_eq!(run.finish().outcome, OutcomeKind::Unknown);
}

#[test]
fn answer_of_any_shard_sends_the_retries_held_for_the_probe() {
    let mut run = run_cleared_by_any_answer();
    run.lose(0, CallLoss::Broken);
    run.lose(1, CallLoss::Broken);
    assert_eq!(run.calls.len(), 6, "one retry is sent as the probe, the other is held back");
    run.answer(4, LeafStatus::Ok);
    assert_eq!((run.calls.len(), run.query.suspicion()), (7, Suspicion::Clear));
    [2, 3, 5, 6].into_iter().for_each(|call| run.answer(call, LeafStatus::Ok));
    assert_eq!(run.finish().outcome, OutcomeKind::Complete);
}

/// A poison request that crashes leafs silently is slow on all shards. If each were hedged, the
/// request would crash a second leaf of every shard.
#[test]
fn few_hedges_are_sent_before_any_leaf_has_answered() {
    let mut run = run_cleared_by_any_answer();
    run.advance(Duration::from_millis(200));
    assert_eq!(run.calls.len(), 7);
    run.answer(0, LeafStatus::Ok);
    run.advance(Duration::from_millis(200));
    assert!(run.calls.len() >= 9, "{} calls: the other slow shards are hedged", run.calls.len());
}

/// One event of a random interleaving. The first number picks one of the calls in progress; that of
/// `AdvanceTime` is a time in milliseconds.
#[derive(Clone, Debug)]
enum TestEvent {
    Answer(usize, LeafStatus),
    MismatchedReply(usize),
    Lose(usize, CallLoss),
    AdvanceTime(u64),
}

fn test_events() -> impl Strategy<Value = Vec<TestEvent>> {
    let status = prop_oneof![
        5 => Just(LeafStatus::Ok),
        1 => Just(LeafStatus::Shed),
        1 => Just(LeafStatus::Draining),
        1 => Just(LeafStatus::VersionUnavailable),
        1 => Just(LeafStatus::Expired),
        1 => Just(LeafStatus::Cancelled),
        1 => Just(LeafStatus::Failed),
    ];
    let loss = prop_oneof![
        Just(CallLoss::NotSent),
        Just(CallLoss::NoSlot),
        Just(CallLoss::Broken),
        Just(CallLoss::Garbled)
    ];
    let one = prop_oneof![
        6 => (0..20_usize, status).prop_map(|(call, status)| TestEvent::Answer(call, status)),
        1 => (0..20_usize).prop_map(TestEvent::MismatchedReply),
        3 => (0..20_usize, loss).prop_map(|(call, loss)| TestEvent::Lose(call, loss)),
        1 => prop_oneof![Just(1_u64), Just(11), Just(3_000)].prop_map(TestEvent::AdvanceTime),
    ];
    prop::collection::vec(one, 0..60)
}

/// Calls that have ended or may have run, and shards whose hits must be merged, as tracked by the
/// test independently of the state machine.
#[derive(Default)]
struct ExpectedState {
    ended: HashSet<usize>,
    may_have_run: HashSet<usize>,
    merged: HashSet<u16>,
}

impl ExpectedState {
    fn record(&mut self, run: &Run, call: usize, status: LeafStatus) {
        self.ended.insert(call);
        if !status.proves_not_run() {
            self.may_have_run.insert(call);
        }
        if status == LeafStatus::Ok && !run.query.is_over() {
            self.merged.insert(run.calls[call].call.shard.0);
        }
    }
}

fn apply(run: &mut Run, expected: &mut ExpectedState, event: &TestEvent) {
    let pick = |n: usize, run: &Run| {
        let open: Vec<_> =
            (0..run.calls.len()).filter(|call| !expected.ended.contains(call)).collect();
        (!open.is_empty()).then(|| open[n % open.len()])
    };
    match *event {
        TestEvent::Answer(n, status) => {
            let Some(call) = pick(n, run) else { return };
            expected.record(run, call, status);
            run.answer(call, status);
        }
        TestEvent::MismatchedReply(n) => {
            let Some(call) = pick(n, run) else { return };
            expected.record(run, call, LeafStatus::Failed);
            let send = run.calls[call];
            let mut mismatched = answer(&send, LeafStatus::Ok);
            mismatched.call.shard.0 += 1;
            run.step(|query, now, policy, out| {
                query.on_reply(send.call.attempt, mismatched, now, policy, out);
            });
        }
        TestEvent::Lose(n, loss) => {
            let Some(call) = pick(n, run) else { return };
            let not_run = matches!(loss, CallLoss::NotSent | CallLoss::NoSlot);
            // `record` uses the status only to decide whether the call may have run.
            let status = if not_run { LeafStatus::Shed } else { LeafStatus::Failed };
            expected.record(run, call, status);
            run.lose(call, loss);
        }
        TestEvent::AdvanceTime(ms) => run.advance(Duration::from_millis(ms)),
    }
}

fn check(run: &mut Run, expected: &ExpectedState, idempotent: bool) {
    let open_at_end = (0..run.calls.len()).filter(|call| !expected.ended.contains(call)).count();
    let answer = run.finish();
    let contributed: HashSet<u16> = answer.coverage.contributed.iter().map(|s| s.0).collect();
    assert_eq!(contributed, expected.merged, "the coverage lists exactly the merged shards");
    assert_eq!(answer.coverage.contributed.len() + answer.coverage.missing.len(), 5);
    let may_have_run = !expected.may_have_run.is_empty() || open_at_end > 0;
    if answer.outcome == OutcomeKind::NotRun {
        assert!(!may_have_run, "outcome is \"not run\" although a call may have run");
    }
    for hit in &answer.hits {
        assert!(contributed.iter().any(|shard| hit.id == format!("s{shard}")));
    }
    if !idempotent {
        for shard in 0..SHARDS {
            let runs = expected.may_have_run.iter();
            let runs = runs.filter(|&&call| run.calls[call].call.shard.0 == shard).count();
            assert!(runs <= 1, "shard {shard} may have run {runs} times");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_interleavings_keep_the_invariants(
        test_events in test_events(),
        idempotent in any::<bool>(),
        suspected in any::<bool>(),
    ) {
        let entry = if idempotent { "lookup" } else { "send" };
        let suspicion = if suspected { Suspicion::Suspected } else { Suspicion::Clear };
        let mut run = Run::start(entry, suspicion);
        let mut expected = ExpectedState::default();
        for event in &test_events {
            let (was_over, calls) = (run.query.is_over(), run.calls.len());
            let was_blocked = run.query.suspicion() == Suspicion::Blocked;
            apply(&mut run, &mut expected, event);
            if was_over || was_blocked {
                prop_assert_eq!(run.calls.len(), calls, "a call was sent after the query had ended or was blocked");
            }
            prop_assert!(!was_over || run.query.is_over(), "the query became open again after its end");
        }
        check(&mut run, &expected, idempotent);
    }
}

/// Guards against a leak: if something that outlives a query kept a reference to its snapshot, an
/// old index version would stay in memory.
#[test]
fn dropped_query_releases_its_snapshot() {
    let now = Instant::now();
    let plan = plan("lookup", now, Suspicion::Clear, 2);
    let snapshot = Arc::downgrade(&plan.snapshot);
    drop(Query::<Vec<Hit>>::new(plan));
    assert!(snapshot.upgrade().is_none(), "the dropped query still holds its snapshot");
}

const TARGET: Duration = Duration::from_millis(100);

/// Starts a query of 5 shards with a minimum coverage of 4 shards and a latency target.
fn run_with_target() -> Run {
    let now = Instant::now();
    let mut plan = plan("lookup", now, Suspicion::Clear, 2);
    plan.target_at = Some(now + TARGET);
    plan.entry = Arc::new(Entry { minimum_coverage: 0.8, ..(*plan.entry).clone() });
    Run::start_plan(plan, now)
}

#[test]
fn partial_answer_with_minimum_coverage_is_returned_at_the_latency_target() {
    let mut run = run_with_target();
    (0..4).for_each(|call| run.answer(call, LeafStatus::Ok));
    run.advance(TARGET - Duration::from_millis(1));
    assert!(!run.query.is_over(), "the last shard may still reply before the latency target");
    run.advance(Duration::from_millis(1));
    assert!(run.query.is_over());
    let answer = run.finish();
    assert_eq!((answer.outcome, answer.coverage.contributed.len()), (OutcomeKind::Partial, 4));
}

#[test]
fn query_below_its_minimum_coverage_at_the_target_ends_once_it_is_reached() {
    let mut run = run_with_target();
    (0..3).for_each(|call| run.answer(call, LeafStatus::Ok));
    run.advance(2 * TARGET);
    assert!(!run.query.is_over());
    run.answer(3, LeafStatus::Ok);
    assert!(run.query.is_over());
    assert_eq!(run.finish().outcome, OutcomeKind::Partial);
}

#[test]
fn minimum_coverage_of_three_fifths_needs_three_of_five_shards() {
    let now = Instant::now();
    let mut plan = plan("lookup", now, Suspicion::Clear, 2);
    // 0.6 x 5 is 3.0000000000000004 in floating point, which must not round up to 4 shards.
    plan.entry = Arc::new(Entry { minimum_coverage: 0.6, ..(*plan.entry).clone() });
    plan.target_at = Some(now);
    let mut run = Run::start_plan(plan, now);
    (0..3).for_each(|call| run.answer(call, LeafStatus::Ok));
    assert!(run.query.is_over());
}

#[test]
fn unsent_calls_do_not_count_as_attempts() {
    let now = Instant::now();
    let mut plan = plan("lookup", now, Suspicion::Clear, 4);
    plan.entry = Arc::new(Entry { attempts: 2, ..(*plan.entry).clone() });
    let mut run = Run::start_plan(plan, now);
    (0..4).for_each(|call| run.answer(call, LeafStatus::Ok));
    run.lose(4, CallLoss::NotSent);
    run.lose(5, CallLoss::NotSent);
    run.answer(6, LeafStatus::Shed);
    assert_eq!(run.calls.len(), 8);
    run.answer(7, LeafStatus::Shed);
    assert_eq!(run.calls.len(), 8, "two calls were sent, which is the maximum");
}
