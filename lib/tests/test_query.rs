//! The query machine, stepped by hand and searched by random interleavings.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use jasmineusher_lib::answer::OutcomeKind;
use jasmineusher_lib::answer::QueryAnswer;
use jasmineusher_lib::catalogue::Catalogue;
use jasmineusher_lib::catalogue::Entry;
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

/// Picks the first untried replica and always has budget.
#[derive(Default)]
struct EagerPolicy {
    waits: HashMap<LeafKey, Duration>,
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
        let fresh = replicas.iter().copied().find(|leaf| !tried.contains(leaf));
        let leaf = if purpose == Purpose::Retry { fresh.or(tried.first().copied()) } else { fresh };
        let leaf = leaf?;
        let wait = self.waits.get(&leaf).copied().unwrap_or(Duration::from_millis(1));
        Some(Choice { leaf, wait, cost: wait })
    }

    fn take_hedge(&mut self, _slow: LeafKey, _is_decisive: bool, _now: Instant) -> bool {
        true
    }

    fn take_retry(&mut self, _failed: LeafKey, _cause: RetryCause, _now: Instant) -> bool {
        true
    }

    fn hedge_delay(&self, _leaf: LeafKey) -> Option<Duration> {
        Some(Duration::from_millis(10))
    }

    fn written_at(&self, attempt: Attempt) -> Option<Instant> {
        self.written_at.get(&attempt).copied()
    }

    fn withdraw(&mut self, attempt: Attempt) -> bool {
        self.unwritten.remove(&attempt)
    }
}

fn plan(entry: &str, now: Instant, suspicion: Suspicion, replicas: u16) -> QueryPlan {
    let catalogue = Catalogue::try_from(testutils::CATALOGUE).expect("the catalogue is sound");
    let leafs: Vec<_> = (0..LEAFS)
        .map(|n| {
            serde_json::json!({
                "name": format!("leaf-{n}"), "addr": "127.0.0.1:1", "zone": "z",
                "slots": 2, "connections": 25,
            })
        })
        .collect();
    let hosts = serde_json::json!({ "daemons": [], "leafs": leafs });
    let hosts: RawHostList = serde_json::from_value(hosts).expect("the host list is sound");
    let registry = LeafRegistry::default();
    HostList::new(hosts, &registry).expect("the host list is sound");
    let shards: Vec<Vec<_>> = (0..SHARDS)
        .map(|n| (0..replicas).map(|r| format!("leaf-{}", (n + r) % LEAFS)).collect())
        .collect();
    let layout = serde_json::json!({
        "indexes": [{ "name": "careline", "versions": [{ "version": 7, "shards": shards }] }]
    });
    let layout: RawLayout = serde_json::from_value(layout).expect("the layout is sound");
    let layout = Layout::new(&layout, &registry).expect("the layout is sound");
    let entry = catalogue.entry(entry).expect("the entry exists").clone();
    let snapshot = layout.versions(&entry.index)[0].clone();
    QueryPlan {
        id: QueryId { incarnation: Incarnation(1), number: 1 },
        entry,
        snapshot,
        hits: 10,
        deadline: now + Duration::from_secs(5),
        goal_at: None,
        first_attempt: Attempt(0),
        suspicion,
    }
}

fn answer(send: &SendCall, status: LeafStatus) -> LeafAnswer {
    let hit = Hit { score: 1.0, id: format!("s{}", send.call.shard), fields: None };
    let hits = if status == LeafStatus::Ok { vec![hit] } else { Vec::new() };
    LeafAnswer { call: send.call, status, effort_us: 1, queued: 0, hits }
}

/// A query with the calls that it has made so far.
struct Run {
    query: Query,
    policy: EagerPolicy,
    calls: Vec<SendCall>,
    cancelled: Vec<Attempt>,
    now: Instant,
}

impl Run {
    fn start(entry: &str, suspicion: Suspicion) -> Self {
        Self::start_over(entry, suspicion, 2)
    }

    fn start_over(entry: &str, suspicion: Suspicion, replicas: u16) -> Self {
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
            query.answered(send.call.attempt, answer, now, policy, out);
        });
    }

    fn lose(&mut self, call: usize, loss: CallLoss) {
        let attempt = self.calls[call].call.attempt;
        self.step(|query, now, policy, out| query.lost(attempt, loss, now, policy, out));
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
        self.step(|query, now, policy, out| query.tick(now, policy, out));
    }

    fn finish(&mut self) -> QueryAnswer {
        self.query.take_answer(Duration::from_millis(1))
    }
}

#[test]
fn all_shards_answered_is_complete() {
    let mut run = Run::start("lookup", Suspicion::Clear);
    (0..5).for_each(|call| run.answer(call, LeafStatus::Ok));
    assert!(run.query.is_over());
    assert_eq!(run.finish().outcome, OutcomeKind::Complete);
}

#[test]
fn answer_that_comes_twice_is_merged_once_and_counted_as_a_stray() {
    let mut run = Run::start("lookup", Suspicion::Clear);
    run.answer(0, LeafStatus::Ok);
    run.answer(0, LeafStatus::Ok);
    assert_eq!(run.query.strays(), 1);
    (1..5).for_each(|call| run.answer(call, LeafStatus::Ok));
    let answer = run.finish();
    assert_eq!((answer.outcome, answer.hits.len()), (OutcomeKind::Complete, 5));
}

#[test]
fn slow_call_is_hedged_once_and_the_loser_cancelled() {
    let mut run = Run::start("lookup", Suspicion::Clear);
    (0..4).for_each(|call| run.answer(call, LeafStatus::Ok));
    run.pass(Duration::from_millis(9));
    assert_eq!(run.calls.len(), 5, "not slow yet");
    run.pass(Duration::from_millis(1));
    assert_eq!((run.calls.len(), run.calls[5].purpose), (6, Purpose::Hedge));
    assert_ne!(run.calls[5].leaf, run.calls[4].leaf);
    run.answer(5, LeafStatus::Ok);
    assert_eq!(run.cancelled, [run.calls[4].call.attempt]);
    assert_eq!(run.finish().outcome, OutcomeKind::Complete);
}

#[test]
fn hedge_that_is_slow_itself_is_hedged_again_on_another_leaf() {
    let mut run = Run::start_over("lookup", Suspicion::Clear, 3);
    (0..4).for_each(|call| run.answer(call, LeafStatus::Ok));
    run.pass(Duration::from_millis(10));
    run.pass(Duration::from_millis(10));
    let leafs: HashSet<_> = run.calls[4..].iter().map(|call| call.leaf).collect();
    assert_eq!((run.calls.len(), leafs.len()), (7, 3));
    run.pass(Duration::from_millis(10));
    assert_eq!(run.calls.len(), 7, "no leaf is left");
    run.answer(6, LeafStatus::Ok);
    assert_eq!(run.cancelled.len(), 2);
    assert_eq!(run.finish().outcome, OutcomeKind::Complete);
}

#[test]
fn waiting_call_is_moved_without_extra_load() {
    let mut run = Run::start("lookup", Suspicion::Clear);
    (0..4).for_each(|call| run.answer(call, LeafStatus::Ok));
    let waiting = run.calls[4].call.attempt;
    run.policy.written_at.remove(&waiting);
    run.policy.unwritten.insert(waiting);
    run.pass(Duration::from_millis(20));
    assert_eq!((run.calls.len(), run.calls[5].purpose), (6, Purpose::First));
}

#[test]
fn call_that_is_not_idempotent_is_never_made_again_once_it_may_have_run() {
    let mut run = Run::start("send", Suspicion::Clear);
    run.pass(Duration::from_millis(50));
    assert_eq!(run.calls.len(), 5, "no hedges");
    run.lose(0, CallLoss::NotSent);
    assert_eq!(run.calls.len(), 6, "nothing was written, so that it may be sent elsewhere");
    run.lose(1, CallLoss::Broken);
    run.lose(2, CallLoss::Garbled);
    assert_eq!(run.calls.len(), 6);
    assert!(run.query.is_over(), "it needs all shards and cannot get them: final answer at once");
    assert_eq!(run.finish().outcome, OutcomeKind::Unknown);
}

#[test]
fn refusals_by_every_leaf_prove_that_nothing_ran() {
    let mut run = Run::start("lookup", Suspicion::Clear);
    let mut call = 0;
    while !run.query.is_over() {
        run.answer(call, LeafStatus::Shed);
        call += 1;
    }
    assert_eq!(run.finish().outcome, OutcomeKind::NotRun);
}

#[test]
fn query_that_cannot_meet_its_deadline_is_refused_before_any_call() {
    let now = Instant::now();
    let mut query = Query::new(plan("lookup", now, Suspicion::Clear, 2));
    let waits = (0..u32::from(LEAFS)).map(|n| (LeafKey(n), Duration::from_secs(7))).collect();
    let mut policy = EagerPolicy { waits, ..EagerPolicy::default() };
    let mut out = Actions::default();
    query.start(now, &mut policy, &mut out);
    assert!(query.is_over() && out.sends.is_empty());
    let answer = query.take_answer(Duration::from_millis(1));
    assert_eq!(answer.outcome, OutcomeKind::NotRun);
    let refusal = answer.refusal.expect("a refusal says why");
    assert_eq!(refusal.retry_after, Some(Duration::from_secs(3)), "when the queue is short enough");
}

#[test]
fn suspected_request_runs_one_call_on_trial_first() {
    let mut run = Run::start("lookup", Suspicion::Suspected);
    assert_eq!(run.calls.len(), 1);
    run.answer(0, LeafStatus::Ok);
    assert_eq!((run.calls.len(), run.query.suspicion()), (5, Suspicion::Clear));
    (1..5).for_each(|call| run.answer(call, LeafStatus::Ok));
    assert_eq!(run.finish().outcome, OutcomeKind::Complete);
}

#[test]
fn innocent_request_that_shared_a_crashed_leaf_is_still_answered_whole() {
    let mut run = Run::start("lookup", Suspicion::Clear);
    run.lose(0, CallLoss::Broken);
    run.lose(1, CallLoss::Broken);
    assert_eq!(run.calls.len(), 6, "one retry on trial, the other one held");
    run.answer(5, LeafStatus::Ok);
    assert_eq!(run.calls.len(), 7, "cleared, the held one is retried");
    (2..5).chain([6]).for_each(|call| run.answer(call, LeafStatus::Ok));
    assert_eq!(run.finish().outcome, OutcomeKind::Complete);
}

#[test]
fn trial_that_crashes_condemns_the_request() {
    let mut run = Run::start("lookup", Suspicion::Clear);
    run.lose(0, CallLoss::Broken);
    run.lose(5, CallLoss::Broken);
    assert_eq!(run.query.suspicion(), Suspicion::Blocked);
    run.lose(1, CallLoss::Broken);
    assert_eq!(run.calls.len(), 6, "nothing more is sent");
}

/// One thing that happens to a run.
#[derive(Clone, Debug)]
enum Happening {
    Answer(usize, LeafStatus),
    Crossed(usize),
    Lose(usize, CallLoss),
    Pass(u64),
}

fn happenings() -> impl Strategy<Value = Vec<Happening>> {
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
        6 => (0..20_usize, status).prop_map(|(call, status)| Happening::Answer(call, status)),
        1 => (0..20_usize).prop_map(Happening::Crossed),
        3 => (0..20_usize, loss).prop_map(|(call, loss)| Happening::Lose(call, loss)),
        1 => prop_oneof![Just(1_u64), Just(11), Just(3_000)].prop_map(Happening::Pass),
    ];
    prop::collection::vec(one, 0..60)
}

/// What the test knows of the calls, apart from the machine.
#[derive(Default)]
struct Truth {
    ended: HashSet<usize>,
    may_have_run: HashSet<usize>,
    merged: HashSet<u16>,
}

impl Truth {
    fn take(&mut self, run: &Run, call: usize, status: LeafStatus) {
        self.ended.insert(call);
        if !status.proves_not_run() {
            self.may_have_run.insert(call);
        }
        if status == LeafStatus::Ok && !run.query.is_over() {
            self.merged.insert(run.calls[call].call.shard.0);
        }
    }
}

fn apply(run: &mut Run, truth: &mut Truth, happening: &Happening) {
    let pick = |n: usize, run: &Run| {
        let open: Vec<_> =
            (0..run.calls.len()).filter(|call| !truth.ended.contains(call)).collect();
        (!open.is_empty()).then(|| open[n % open.len()])
    };
    match *happening {
        Happening::Answer(n, status) => {
            let Some(call) = pick(n, run) else { return };
            truth.take(run, call, status);
            run.answer(call, status);
        }
        Happening::Crossed(n) => {
            let Some(call) = pick(n, run) else { return };
            truth.take(run, call, LeafStatus::Failed);
            let send = run.calls[call];
            let mut crossed = answer(&send, LeafStatus::Ok);
            crossed.call.shard.0 += 1;
            run.step(|query, now, policy, out| {
                query.answered(send.call.attempt, crossed, now, policy, out);
            });
        }
        Happening::Lose(n, loss) => {
            let Some(call) = pick(n, run) else { return };
            let not_run = matches!(loss, CallLoss::NotSent | CallLoss::NoSlot);
            let status = if not_run { LeafStatus::Shed } else { LeafStatus::Failed };
            truth.take(run, call, status);
            run.lose(call, loss);
        }
        Happening::Pass(ms) => run.pass(Duration::from_millis(ms)),
    }
}

fn check(run: &mut Run, truth: &Truth, idempotent: bool) {
    let open_at_end = (0..run.calls.len()).filter(|call| !truth.ended.contains(call)).count();
    let answer = run.finish();
    let contributed: HashSet<u16> = answer.coverage.contributed.iter().map(|s| s.0).collect();
    assert_eq!(contributed, truth.merged, "coverage lists exactly the merged shards");
    assert_eq!(answer.coverage.contributed.len() + answer.coverage.missing.len(), 5);
    let may_have_run = !truth.may_have_run.is_empty() || open_at_end > 0;
    if answer.outcome == OutcomeKind::NotRun {
        assert!(!may_have_run, "\"not run\" is a proof");
    }
    for hit in &answer.hits {
        assert!(contributed.iter().any(|shard| hit.id == format!("s{shard}")));
    }
    if !idempotent {
        for shard in 0..SHARDS {
            let runs = truth.may_have_run.iter();
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
    fn no_interleaving_breaks_the_promises(
        happenings in happenings(),
        idempotent in any::<bool>(),
        suspected in any::<bool>(),
    ) {
        let entry = if idempotent { "lookup" } else { "send" };
        let suspicion = if suspected { Suspicion::Suspected } else { Suspicion::Clear };
        let mut run = Run::start(entry, suspicion);
        let mut truth = Truth::default();
        for happening in &happenings {
            let (over, calls) = (run.query.is_over(), run.calls.len());
            let condemned = run.query.suspicion() == Suspicion::Blocked;
            apply(&mut run, &mut truth, happening);
            if over || condemned {
                prop_assert_eq!(run.calls.len(), calls, "nothing is sent after the end");
            }
            prop_assert!(!over || run.query.is_over(), "an outcome is final");
        }
        check(&mut run, &truth, idempotent);
    }
}

/// Keeps the plan's parts alive as the machine's types promise.
#[test]
fn plan_is_shared_not_copied() {
    let now = Instant::now();
    let plan = plan("lookup", now, Suspicion::Clear, 2);
    let snapshot = Arc::downgrade(&plan.snapshot);
    drop(Query::<Vec<Hit>>::new(plan));
    assert!(snapshot.upgrade().is_none(), "a finished query keeps no version alive");
}

const GOAL: Duration = Duration::from_millis(100);

/// A query of 5 shards that is useful from 4 on and has a goal.
fn run_with_goal() -> Run {
    let now = Instant::now();
    let mut plan = plan("lookup", now, Suspicion::Clear, 2);
    plan.goal_at = Some(now + GOAL);
    plan.entry = Arc::new(Entry { minimum_coverage: 0.8, ..(*plan.entry).clone() });
    Run::start_plan(plan, now)
}

#[test]
fn useful_partial_answer_leaves_at_the_goal() {
    let mut run = run_with_goal();
    (0..4).for_each(|call| run.answer(call, LeafStatus::Ok));
    run.pass(GOAL - Duration::from_millis(1));
    assert!(!run.query.is_over(), "the last shard may still answer by the goal");
    run.pass(Duration::from_millis(1));
    assert!(run.query.is_over());
    let answer = run.finish();
    assert_eq!((answer.outcome, answer.coverage.contributed.len()), (OutcomeKind::Partial, 4));
}

#[test]
fn answer_below_the_minimum_coverage_waits_on_and_leaves_as_soon_as_it_is_useful() {
    let mut run = run_with_goal();
    (0..3).for_each(|call| run.answer(call, LeafStatus::Ok));
    run.pass(2 * GOAL);
    assert!(!run.query.is_over());
    run.answer(3, LeafStatus::Ok);
    assert!(run.query.is_over());
    assert_eq!(run.finish().outcome, OutcomeKind::Partial);
}

#[test]
fn coverage_of_nine_tenths_needs_nine_of_ten() {
    let now = Instant::now();
    let mut plan = plan("lookup", now, Suspicion::Clear, 2);
    // 0.6 x 5 is 3.0000000000000004 where it is not guarded.
    plan.entry = Arc::new(Entry { minimum_coverage: 0.6, ..(*plan.entry).clone() });
    plan.goal_at = Some(now);
    let mut run = Run::start_plan(plan, now);
    (0..3).for_each(|call| run.answer(call, LeafStatus::Ok));
    assert!(run.query.is_over());
}

#[test]
fn calls_that_were_not_sent_do_not_use_up_the_attempts() {
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
    assert_eq!(run.calls.len(), 8, "two leafs were sent to, which is all that is allowed");
}
