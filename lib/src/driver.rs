//! Carries out the actions of one query machine on the shared tables.

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
use crate::catalogue::Class;
use crate::events::Event;
use crate::extra_calls::ExtraCalls;
use crate::ids::Attempt;
use crate::ids::LeafKey;
use crate::leaf::Choosing;
use crate::leaf::Leaf;
use crate::leaf::LeafTable;
use crate::log_event;
use crate::plan::Actions;
use crate::plan::Choice;
use crate::plan::Policy;
use crate::plan::Purpose;
use crate::plan::RetryCause;
use crate::plan::SendCall;
use crate::query::Query;
use crate::tier::Tier;
use crate::zone_rtt::ZoneRtts;

/// What a query knows of the time that its calls take.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Time that a sound leaf works on a call.
    pub typical_work: Duration,
    /// Work after which a call counts as slow; without it, calls are hedged only for the goal.
    pub slow_work: Option<Duration>,
}

/// Time kept free before the goal for merging and for the way to the caller.
const GOAL_MARGIN: Duration = Duration::from_millis(8);

/// Whether a query goes on after a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// The outcome is open.
    Open,
    /// The outcome is decided.
    Over,
    /// The caller is gone and the calls are cancelled.
    CallerGone,
}

/// One query in progress.
pub struct Driver<P: Send + 'static> {
    /// The query's machine.
    pub query: Query<P>,
    policy: TierPolicy,
    cx: Arc<CallContext<P>>,
    events: mpsc::UnboundedReceiver<CallEvent<P>>,
    started: Instant,
}

impl<P: Send + 'static> Driver<P> {
    /// Prepares a query. `events` is the receiving end of the context's channel.
    pub fn new(
        query: Query<P>,
        leafs: Arc<LeafTable>,
        pace: Pace,
        budget: Box<dyn ExtraCalls>,
        cx: Arc<CallContext<P>>,
        events: mpsc::UnboundedReceiver<CallEvent<P>>,
    ) -> Self {
        let policy = TierPolicy {
            zone_rtts: cx.tier.zone_rtts.lock().unwrap().clone(),
            tier: cx.tier.clone(),
            request: cx.request.clone(),
            leafs,
            class: cx.class,
            pace,
            goal_at: query.plan.goal_at,
            budget,
            picked: HashMap::new(),
            alternatives: HashMap::new(),
            controls: Vec::new(),
            first_attempt: query.next_attempt(),
            chosen_at: Instant::now(),
        };
        Self { query, policy, cx, events, started: Instant::now() }
    }

    /// Makes the first calls.
    pub fn start(&mut self) {
        let mut actions = Actions::default();
        self.query.start(Instant::now(), &mut self.policy, &mut actions);
        self.count_first_calls(&actions);
        self.policy.picked.clear();
        self.carry_out(&mut actions);
    }

    /// Waits for the next event and acts on it.
    pub async fn step<F: Future<Output = ()>>(&mut self, gone: Pin<&mut F>) -> Step {
        if self.query.is_over() {
            return Step::Over;
        }
        let mut actions = Actions::default();
        let wake_at = self.query.wake_at(Instant::now());
        tokio::select! {
            biased;
            Some(event) = self.events.recv() => {
                self.take(event, &mut actions);
                while let Ok(event) = self.events.try_recv() {
                    self.take(event, &mut actions);
                }
            }
            () = tokio::time::sleep_until(wake_at.into()) => {
                self.query.tick(Instant::now(), &mut self.policy, &mut actions);
            }
            () = gone => {
                self.cx.tier.counters.callers_gone.increment();
                self.cancel_all();
                return Step::CallerGone;
            }
        }
        self.carry_out(&mut actions);
        if self.query.is_over() { Step::Over } else { Step::Open }
    }

    fn take(&mut self, event: CallEvent<P>, actions: &mut Actions) {
        let now = Instant::now();
        match event {
            CallEvent::Answered(call, reply) => {
                self.query.answered(call.attempt, reply, now, &mut self.policy, actions);
            }
            CallEvent::Lost(call, loss) => {
                self.query.lost(call.attempt, loss, now, &mut self.policy, actions);
            }
        }
    }

    fn count_first_calls(&mut self, actions: &Actions) {
        let now = Instant::now();
        for send in &actions.sends {
            if let Some(leaf) = self.policy.leafs.get(send.leaf) {
                self.policy.budget.count_first_call(leaf, now);
            }
        }
    }

    fn carry_out(&mut self, actions: &mut Actions) {
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
                // Choices come from the same view, so that the leaf is listed there.
                unreachable!("chosen leaf {:?} is not in its view", send.leaf);
            };
            leaf.count_call();
            self.log_call(&send, &leaf);
            tokio::spawn(Call { cx: self.cx.clone(), leaf, send, control }.run());
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
                "first call"
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
            self.query.withdrawn(attempt);
        }
    }

    fn cancel_all(&mut self) {
        for index in 0..self.policy.controls.len() as u32 {
            self.cancel(Attempt(self.policy.first_attempt.0 + index));
        }
    }
}

impl<P: Send + 'static> Drop for Driver<P> {
    fn drop(&mut self) {
        if !self.query.is_over() {
            self.cancel_all();
        }
    }
}

/// Decides by the shared tables.
struct TierPolicy {
    tier: Arc<Tier>,
    /// The caller's id of the request, until its first denied call is logged.
    request: Option<Arc<str>>,
    leafs: Arc<LeafTable>,
    class: Class,
    pace: Pace,
    goal_at: Option<Instant>,
    zone_rtts: ZoneRtts,
    budget: Box<dyn ExtraCalls>,
    /// Calls that this query's first fan-out gave to each leaf, which the leafs' gates do not
    /// count yet while the choices are made.
    picked: HashMap<LeafKey, u32>,
    /// When the best other replica is expected to answer, by the leaf that was chosen.
    alternatives: HashMap<LeafKey, Duration>,
    controls: Vec<Arc<CallControl>>,
    first_attempt: Attempt,
    chosen_at: Instant,
}

impl TierPolicy {
    fn control(&self, attempt: Attempt) -> Option<&Arc<CallControl>> {
        let index = attempt.0.checked_sub(self.first_attempt.0)?;
        self.controls.get(index as usize)
    }

    /// Logs the first call of a request that the budget does not allow. A hedge is asked for again and
    /// again while its call is slow.
    fn note_denied(&mut self, purpose: Purpose, leaf: LeafKey) {
        let (Some(request), Some(leaf)) = (self.request.take(), self.leafs.get(leaf)) else {
            return;
        };
        let leaf = leaf.host.name.as_str();
        log_event!(info, Event::CallDenied, request = &*request, purpose = ?purpose, leaf);
    }

    /// Returns the longest delay after which a hedge still answers by the goal.
    fn last_useful_delay(&self, leaf: LeafKey) -> Option<Duration> {
        let alternative = *self.alternatives.get(&leaf)?;
        let slow = self.pace.slow_work.unwrap_or(self.pace.typical_work);
        let latest = self.goal_at?.checked_sub(alternative + slow + GOAL_MARGIN)?;
        Some(latest.saturating_duration_since(self.chosen_at))
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
        let choosing = Choosing {
            replicas,
            tried,
            purpose,
            picked: &self.picked,
            typical_work: self.pace.typical_work,
            zone_rtts: &self.zone_rtts,
            now,
        };
        let zone = &self.tier.identity.zone;
        let ranked = self.leafs.rank(zone, self.class, choosing);
        let choice = ranked.best?;
        self.chosen_at = now;
        if let Some(other) = ranked.other_time {
            self.alternatives.insert(choice.leaf, other);
        }
        if purpose == Purpose::First {
            *self.picked.entry(choice.leaf).or_default() += 1;
        }
        Some(choice)
    }

    fn take_hedge(&mut self, slow: LeafKey, is_decisive: bool, now: Instant) -> bool {
        let Some(leaf) = self.leafs.get(slow) else { return false };
        let is_allowed = self.budget.try_hedge(leaf, is_decisive, now);
        if !is_allowed {
            self.tier.counters.hedges_denied.increment();
            self.note_denied(Purpose::Hedge, slow);
        }
        is_allowed
    }

    fn take_retry(&mut self, failed: LeafKey, cause: RetryCause, now: Instant) -> bool {
        let Some(leaf) = self.leafs.get(failed) else { return true };
        let leaf_allows = leaf.state().retries.try_withdraw();
        let is_allowed = leaf_allows
            && (cause == RetryCause::NotSent || self.budget.try_retry(leaf, cause, now));
        if !is_allowed {
            self.tier.counters.retries_denied.increment();
            self.note_denied(Purpose::Retry, failed);
        }
        is_allowed
    }

    fn hedge_delay(&self, leaf: LeafKey) -> Option<Duration> {
        let distance = self.leafs.get(leaf).map(|l| self.zone_rtts.get(&l.host.zone))?;
        let slow = self.pace.slow_work.map(|work| work + distance);
        match (slow, self.last_useful_delay(leaf)) {
            (Some(slow), Some(last)) => Some(slow.min(last.max(distance))),
            (slow, last) => slow.or(last),
        }
    }

    fn written_at(&self, attempt: Attempt) -> Option<Instant> {
        self.control(attempt)?.written_at()
    }

    fn withdraw(&mut self, attempt: Attempt) -> bool {
        self.control(attempt).is_none_or(|control| control.withdraw())
    }
}
