//! Runs one query: passes events and timers to its state machine and carries out its actions.

use std::collections::HashMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::mpsc;

use crate::call::Call;
use crate::call_context::CallContext;
use crate::call_context::CallControl;
use crate::call_context::CallEvent;
use crate::call_context::Cancelled;
use crate::events::Event;
use crate::extra_calls::ExtraCalls;
use crate::feasibility;
use crate::hedge_timing::HedgeTiming;
use crate::hedge_timing::WorkTimes;
use crate::ids::Attempt;
use crate::ids::LeafKey;
use crate::leaf::Leaf;
use crate::leaf_table::LeafTable;
use crate::leaf_table::RankingInput;
use crate::log_event;
use crate::plan::Actions;
use crate::plan::Choice;
use crate::plan::Policy;
use crate::plan::Purpose;
use crate::plan::RetryCause;
use crate::plan::SendCall;
use crate::query::Query;
use crate::tier::Tier;
use crate::waiting_calls::Rank;
use crate::zone_rtt::ZoneRtts;

/// Whether a query continues after a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// The outcome is not decided yet.
    Open,
    /// The outcome is decided.
    Over,
    /// The caller has disconnected; the calls in progress were cancelled.
    CallerGone,
}

/// One query in progress. Dropping it before the outcome is decided cancels its calls.
pub struct Driver<P: Send + 'static> {
    /// The query's state machine.
    pub query: Query<P>,
    policy: TierPolicy,
    cx: Arc<CallContext<P>>,
    events: mpsc::UnboundedReceiver<CallEvent<P>>,
    started: Instant,
    /// Number of calls that were sent when the query started.
    first_calls: usize,
}

impl<P: Send + 'static> Driver<P> {
    /// Creates a driver that has not started the query. `events` is the receiving end of the
    /// channel in `cx`; `budget` pays for hedges and retries.
    pub fn new(
        query: Query<P>,
        leafs: Arc<LeafTable>,
        work_times: WorkTimes,
        budget: Box<dyn ExtraCalls>,
        cx: Arc<CallContext<P>>,
        events: mpsc::UnboundedReceiver<CallEvent<P>>,
    ) -> Self {
        let policy = TierPolicy {
            zone_rtts: cx.tier.zone_rtts.lock().unwrap().clone(),
            tier: cx.tier.clone(),
            request: cx.request.clone(),
            leafs,
            rank: cx.rank(),
            is_single: query.plan.snapshot.shard_count() == 1,
            work_times,
            target_at: query.plan.target_at,
            deadline: cx.deadline,
            budget,
            assigned: HashMap::new(),
            alternatives: HashMap::new(),
            controls: Vec::new(),
            first_attempt: query.next_attempt(),
            chosen_at: Instant::now(),
        };
        Self { query, policy, cx, events, started: Instant::now(), first_calls: 0 }
    }

    /// Starts the query and sends its first calls.
    pub fn start(&mut self) {
        let mut actions = Actions::default();
        self.query.start(Instant::now(), &mut self.policy, &mut actions);
        self.count_first_calls(&actions);
        self.policy.assigned.clear();
        self.execute(&mut actions);
    }

    /// Waits for the next call event or timer and acts on it. When `disconnected` completes,
    /// cancels the calls in progress and returns [`Step::CallerGone`]. Ends the query early at the
    /// end of the process, and before that if none of its calls may begin any more.
    pub async fn step<F: Future<Output = ()>>(&mut self, disconnected: Pin<&mut F>) -> Step {
        if self.query.is_over() {
            return Step::Over;
        }
        let mut actions = Actions::default();
        let next_tick_at = self.query.next_tick_at(Instant::now());
        let cx = self.cx.clone();
        let is_waiting = !self.policy.has_written();
        tokio::select! {
            biased;
            Some(event) = self.events.recv() => {
                self.handle_event(event, &mut actions);
                while let Ok(event) = self.events.try_recv() {
                    self.handle_event(event, &mut actions);
                }
            }
            () = tokio::time::sleep_until(next_tick_at.into()) => {
                self.query.tick(Instant::now(), &mut self.policy, &mut actions);
            }
            () = disconnected => {
                self.cx.tier.counters.callers_gone.increment();
                self.cancel_all();
                return Step::CallerGone;
            }
            () = cx.tier.shutdown.ended() => self.query.end_early(&mut actions),
            () = cx.tier.shutdown.last_begin(|| cx.expected_work()), if is_waiting => {
                // A call may have been written during this step.
                if !self.policy.has_written() {
                    self.query.end_early(&mut actions);
                }
            }
        }
        self.execute(&mut actions);
        if self.query.is_over() { Step::Over } else { Step::Open }
    }

    /// Returns the largest number of calls to one shard that may have reached a leaf.
    pub fn most_arrived_calls(&self) -> usize {
        let reach = self.cx.tier.reach.lock().unwrap();
        let may_have_arrived = |attempt| {
            let written_at = self.policy.written_at(attempt);
            written_at.is_some_and(|at| reach.may_have_arrived(at))
        };
        self.query.most_calls_to_one_shard(may_have_arrived)
    }

    /// Ends the query before its outcome is decided, with what was merged so far, and cancels the
    /// calls in progress.
    pub fn end_early(&mut self) {
        let mut actions = Actions::default();
        self.query.end_early(&mut actions);
        self.execute(&mut actions);
    }

    fn handle_event(&mut self, event: CallEvent<P>, actions: &mut Actions) {
        let now = Instant::now();
        match event {
            CallEvent::Answered(call, reply) => {
                self.query.on_reply(call.attempt, reply, now, &mut self.policy, actions);
            }
            CallEvent::Lost(call, loss) => {
                self.query.on_call_lost(call.attempt, loss, now, &mut self.policy, actions);
            }
        }
    }

    fn count_first_calls(&mut self, actions: &Actions) {
        let now = Instant::now();
        self.first_calls = actions.sends.len();
        for send in &actions.sends {
            if let Some(leaf) = self.policy.leafs.get(send.leaf) {
                self.policy.budget.count_first_call(leaf, now);
            }
        }
    }

    fn execute(&mut self, actions: &mut Actions) {
        for send in actions.sends.drain(..) {
            let control = Arc::new(CallControl::default());
            self.policy.controls.push(control.clone());
            let counters = &self.cx.tier.counters;
            match send.purpose {
                Purpose::First => counters.first_calls.increment(),
                Purpose::Hedge => counters.hedges.increment(),
                Purpose::Retry => counters.retries.increment(),
            }
            let Some(leaf) = self.policy.leafs.get(send.leaf).cloned() else {
                // The leaf was chosen from this same table.
                unreachable!("chosen leaf {:?} is not in the table it was chosen from", send.leaf);
            };
            leaf.deposit_retry_credit();
            self.log_call(&send, &leaf);
            tokio::spawn(Call::new(self.cx.clone(), leaf, send, control, Instant::now()).run());
        }
        for attempt in actions.cancels.drain(..) {
            self.cancel(attempt);
        }
    }

    fn log_call(&self, send: &SendCall, leaf: &Leaf) {
        let Some(request) = self.cx.request.as_deref() else { return };
        if send.purpose == Purpose::First {
            tracing::debug!(
                request,
                shard = send.call.shard.0,
                leaf = leaf.host.name.as_str(),
                zone = leaf.host.zone.as_str(),
                cost_us = send.cost.as_micros() as u64,
                service_us = leaf.state().estimates.median_latency().as_micros() as u64,
                "Sending first call"
            );
            return;
        }
        log_event!(
            info,
            Event::CallRepeated,
            request,
            purpose = ?send.purpose,
            shard = send.call.shard.0,
            leaf = leaf.host.name.as_str(),
            zone = leaf.host.zone.as_str(),
            cost_ms = send.cost.as_millis() as u64,
            after_ms = self.started.elapsed().as_millis() as u64
        );
    }

    fn cancel(&mut self, attempt: Attempt) {
        let cancelled = self.policy.control(attempt).map_or(Cancelled::Withdrawn, |c| c.cancel());
        if cancelled == Cancelled::Withdrawn {
            self.query.on_call_withdrawn(attempt);
        }
    }

    /// Records when the first calls began to run; those that did not begin count as if they did now.
    fn record_pace(&self, now: Instant) {
        let delay = |control: &Arc<CallControl>| {
            control.has_slot_since().unwrap_or(now).saturating_duration_since(self.started)
        };
        let delays = self.policy.controls.iter().take(self.first_calls).map(delay).collect();
        self.cx.tier.pace.lock().unwrap().record(delays, now);
    }

    fn cancel_all(&mut self) {
        for index in 0..self.policy.controls.len() as u32 {
            self.cancel(Attempt(self.policy.first_attempt.0 + index));
        }
    }
}

impl<P: Send + 'static> Drop for Driver<P> {
    fn drop(&mut self) {
        self.record_pace(Instant::now());
        if !self.query.is_over() {
            self.cancel_all();
        }
    }
}

/// A policy that decides by the estimates, queues and budgets that all queries of this process
/// share.
struct TierPolicy {
    tier: Arc<Tier>,
    /// The caller's id of the request; taken when the request's first denied call is logged.
    request: Option<Arc<str>>,
    leafs: Arc<LeafTable>,
    rank: Rank,
    /// Whether the query has one shard only.
    is_single: bool,
    work_times: WorkTimes,
    target_at: Option<Instant>,
    /// Time after which a reply is no longer of use.
    deadline: Instant,
    zone_rtts: ZoneRtts,
    budget: Box<dyn ExtraCalls>,
    /// Number of calls of the first fan-out that were assigned to each leaf. While the replicas are
    /// being chosen, the leafs' admission queues do not count these calls yet.
    assigned: HashMap<LeafKey, u32>,
    /// Expected time to the reply of the second-best replica, by the leaf that was chosen.
    alternatives: HashMap<LeafKey, Duration>,
    /// Handles of all calls so far, indexed by attempt number from `first_attempt` on.
    controls: Vec<Arc<CallControl>>,
    first_attempt: Attempt,
    /// When a replica was last chosen.
    chosen_at: Instant,
}

impl TierPolicy {
    fn control(&self, attempt: Attempt) -> Option<&Arc<CallControl>> {
        let index = attempt.0.checked_sub(self.first_attempt.0)?;
        self.controls.get(index as usize)
    }

    /// Returns whether a byte of any call may have been written.
    fn has_written(&self) -> bool {
        self.controls.iter().any(|control| control.written_at().is_some())
    }

    /// Logs the first hedge or retry of a request that the budget denies. Later ones are not
    /// logged, as a denied hedge is tried again for as long as its call is slow.
    fn log_first_denial(&mut self, purpose: Purpose, leaf: LeafKey) {
        let (Some(request), Some(leaf)) = (self.request.take(), self.leafs.get(leaf)) else {
            return;
        };
        let leaf = leaf.host.name.as_str();
        log_event!(info, Event::CallDenied, request = &*request, purpose = ?purpose, leaf);
    }
}

impl Policy for TierPolicy {
    fn choose(
        &mut self,
        replicas: &[LeafKey],
        tried: &[LeafKey],
        purpose: Purpose,
        now: Instant,
    ) -> Option<Choice> {
        let input = RankingInput {
            replicas,
            tried,
            purpose,
            is_single: self.is_single,
            assigned: &self.assigned,
            typical_work: self.work_times.typical_work,
            zone_rtts: &self.zone_rtts,
            now,
        };
        let zone = &self.tier.identity.zone;
        let ranked = self.leafs.rank(zone, self.rank, input);
        let choice = ranked.best?;
        self.chosen_at = now;
        if let Some(other) = ranked.second_best_time {
            self.alternatives.insert(choice.leaf, other);
        }
        if purpose == Purpose::First {
            *self.assigned.entry(choice.leaf).or_default() += 1;
        }
        Some(choice)
    }

    fn callable_in(&self, replicas: &[LeafKey], now: Instant) -> Option<Duration> {
        self.leafs.callable_in(replicas, self.rank.class, now)
    }

    fn own_time(&self, calls: usize, now: Instant) -> Duration {
        self.tier.pace.lock().unwrap().expected_time(calls, now)
    }

    fn try_hedge(&mut self, slow: LeafKey, is_decisive: bool, now: Instant) -> bool {
        let Some(leaf) = self.leafs.get(slow) else { return false };
        let is_allowed = self.budget.try_hedge(leaf, is_decisive, now);
        if !is_allowed {
            self.tier.counters.hedges_denied.increment();
            self.log_first_denial(Purpose::Hedge, slow);
        }
        is_allowed
    }

    fn try_retry(&mut self, failed: LeafKey, cause: RetryCause, now: Instant) -> bool {
        let Some(leaf) = self.leafs.get(failed) else { return true };
        // A leaf that takes no calls by its own or the operator's word failed none of those that were not sent to it.
        let is_turned_away = cause == RetryCause::NotSent && !leaf.takes_calls(now);
        let leaf_allows = is_turned_away || leaf.state().retries.try_withdraw();
        let is_allowed = leaf_allows
            && (cause == RetryCause::NotSent || self.budget.try_retry(leaf, cause, now));
        if !is_allowed {
            self.tier.counters.retries_denied.increment();
            self.log_first_denial(Purpose::Retry, failed);
        }
        is_allowed
    }

    fn hedge_delay(&self, leaf: LeafKey) -> Option<Duration> {
        let called = self.leafs.get(leaf)?;
        let until_target = |at: Instant| at.saturating_duration_since(self.chosen_at);
        let timing = HedgeTiming {
            work_times: self.work_times,
            rtt: self.zone_rtts.get(&called.host.zone),
            until_target: self.target_at.map(until_target),
            alternative: self.alternatives.get(&leaf).copied(),
        };
        timing.delay()
    }

    fn written_at(&self, attempt: Attempt) -> Option<Instant> {
        self.control(attempt)?.written_at()
    }

    fn unwritten_reply_in(
        &self,
        attempt: Attempt,
        leaf: LeafKey,
        now: Instant,
    ) -> Option<Duration> {
        let control = self.control(attempt)?;
        if control.written_at().is_some() {
            return None;
        }
        let leaf = self.leafs.get(leaf)?;
        let state = leaf.state();
        let rtt = self.zone_rtts.get(&leaf.host.zone);
        let wait = match control.has_slot_since() {
            Some(since) => feasibility::expected_rest(rtt, now.saturating_duration_since(since)),
            None => {
                let service = state.estimates.median_latency();
                state.admission_queue.rest_of_wait(self.rank, self.deadline, service, now)
            }
        };
        Some(wait + self.work_times.typical_work + rtt)
    }

    fn withdraw(&mut self, attempt: Attempt) -> bool {
        self.control(attempt).is_none_or(|control| control.withdraw())
    }
}
