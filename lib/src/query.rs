//! One query as a state machine: which leaf calls to make, what to merge, when it is over.
//!
//! The machine is synchronous. It takes the present time and returns [`Actions`] for the caller to
//! carry out. `P` is what a leaf contributes: hits, records or a whole response. Invariants: a query
//! has exactly one outcome; its coverage lists exactly the shards whose payloads were taken; every
//! payload taken echoes the query, attempt, shard and pinned version.
//!
//! [`crate::query_hedge`] decides second calls, [`crate::query_retry`] what follows a failure, and
//! [`crate::query_outcome`] what the caller is told.

use std::time::Duration;
use std::time::Instant;

use crate::answer::Reason;
use crate::catalogue::Class;
use crate::catalogue::OnVersionLoss;
use crate::ids::Attempt;
use crate::ids::LeafKey;
use crate::ids::ShardNo;
use crate::leaf_protocol::CallId;
use crate::leaf_protocol::Hit;
use crate::leaf_protocol::LeafReply;
use crate::leaf_protocol::LeafStatus;
use crate::plan::Actions;
use crate::plan::CallLoss;
use crate::plan::Choice;
use crate::plan::Policy;
use crate::plan::Purpose;
use crate::plan::QueryPlan;
use crate::plan::RetryCause;
use crate::plan::SendCall;
use crate::plan::Suspicion;

/// Calls of one shard that may fail before a byte is written, beside those that may have run.
const MAX_UNSENT_CALLS: usize = 4;

/// Share of the remaining time that the expected waits of a new query may take. The rest covers the
/// spread of real waits over many shards.
fn queueing_share(class: Class) -> f64 {
    match class {
        Class::Urgent => 0.8,
        Class::Ordinary => 0.5,
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallState {
    Live,
    Over,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct CallRecord {
    pub(crate) shard: ShardNo,
    pub(crate) leaf: LeafKey,
    pub(crate) state: CallState,
}

#[derive(Debug, Default)]
pub(crate) struct ShardState {
    pub(crate) merged: bool,
    pub(crate) given_up: bool,
    pub(crate) held_for_trial: bool,
    pub(crate) live: u8,
    pub(crate) unsent: usize,
    pub(crate) tried: Vec<LeafKey>,
    pub(crate) hedge_at: Option<Instant>,
}

/// The state of one query.
#[derive(Debug)]
pub struct Query<P = Vec<Hit>> {
    pub(crate) plan: QueryPlan,
    pub(crate) shards: Vec<ShardState>,
    pub(crate) calls: Vec<CallRecord>,
    pub(crate) parts: Vec<(ShardNo, P)>,
    pub(crate) failure: Option<P>,
    pub(crate) open: usize,
    pub(crate) live: usize,
    pub(crate) may_have_run: bool,
    pub(crate) version_lost: bool,
    pub(crate) suspicion: Suspicion,
    pub(crate) trial: Option<Attempt>,
    pub(crate) strays: u32,
    pub(crate) excess_wait: Option<Duration>,
    pub(crate) over: Option<Reason>,
}

impl<P> Query<P> {
    /// Makes a query that has not started.
    pub fn new(plan: QueryPlan) -> Self {
        let count = plan.snapshot.shard_count();
        let shards = (0..count).map(|_| ShardState::default()).collect();
        let suspicion = plan.suspicion;
        Self {
            plan,
            shards,
            calls: Vec::with_capacity(count),
            parts: Vec::with_capacity(count),
            failure: None,
            open: count,
            live: 0,
            may_have_run: false,
            version_lost: false,
            suspicion,
            trial: None,
            strays: 0,
            excess_wait: None,
            over: None,
        }
    }

    /// Makes the first call of each shard, or refuses when too few can be answered in time.
    pub fn start(&mut self, now: Instant, policy: &mut dyn Policy, out: &mut Actions) {
        let remaining = self.plan.deadline.saturating_duration_since(now);
        let mut choices = Vec::with_capacity(self.shards.len());
        for shard in self.shard_numbers() {
            let replicas = self.plan.snapshot.replicas(shard);
            let choice = policy.choose(replicas, &[], Purpose::First, now);
            choices.push(choice);
        }
        let mut waits: Vec<_> = choices.iter().flatten().map(|choice| choice.wait).collect();
        if waits.len() < self.needed() {
            return self.finish(Reason::ReplicasLost, out);
        }
        let needed = self.needed();
        let (_, decisive, _) = waits.select_nth_unstable(needed - 1);
        let allowed = remaining.mul_f64(queueing_share(self.plan.entry.class));
        if *decisive > allowed {
            self.excess_wait = Some(*decisive - allowed);
            return self.finish(Reason::Overloaded, out);
        }
        self.send_first_calls(&choices, now, policy, out);
        self.check_over(now, out);
    }

    fn send_first_calls(
        &mut self,
        choices: &[Option<Choice>],
        now: Instant,
        policy: &mut dyn Policy,
        out: &mut Actions,
    ) {
        for (shard, choice) in self.shard_numbers().zip(choices) {
            match choice {
                None => self.give_up(shard),
                Some(_) if self.trial.is_some() => self.hold(shard),
                Some(choice) => {
                    let attempt = self.send(shard, *choice, Purpose::First, out);
                    self.shard(shard).hedge_at = self.hedge_time(choice.leaf, now, policy);
                    if self.suspicion == Suspicion::Suspected {
                        self.trial = Some(attempt);
                    }
                }
            }
        }
    }

    /// Takes in a leaf's reply to the call `attempt`.
    pub fn answered(
        &mut self,
        attempt: Attempt,
        reply: impl Into<LeafReply<P>>,
        now: Instant,
        policy: &mut dyn Policy,
        out: &mut Actions,
    ) {
        let Some(shard) = self.close_call(attempt) else {
            self.strays += 1;
            return;
        };
        let reply = reply.into();
        let expected = self.call_id(attempt, shard);
        if reply.call != expected {
            self.strays += 1;
            self.may_have_run = true;
            self.call_failed(attempt, shard, now, policy, out);
        } else {
            self.take_status(attempt, shard, reply, now, policy, out);
        }
        self.check_over(now, out);
    }

    fn take_status(
        &mut self,
        attempt: Attempt,
        shard: ShardNo,
        reply: LeafReply<P>,
        now: Instant,
        policy: &mut dyn Policy,
        out: &mut Actions,
    ) {
        self.may_have_run |= !reply.status.proves_not_run();
        if !reply.status.proves_not_run() {
            self.clear_trial(attempt, now, policy, out);
        }
        match reply.status {
            LeafStatus::Ok => self.merge(shard, reply.payload, out),
            LeafStatus::VersionUnavailable => {
                self.version_lost = true;
                self.try_again(attempt, shard, RetryCause::Rejected, now, policy, out);
            }
            status if status.proves_not_run() => {
                self.try_again(attempt, shard, RetryCause::Rejected, now, policy, out);
            }
            _ => {
                self.failure = Some(reply.payload);
                self.call_failed(attempt, shard, now, policy, out);
            }
        }
    }

    /// Takes in that the call `attempt` ended without a usable answer.
    pub fn lost(
        &mut self,
        attempt: Attempt,
        loss: CallLoss,
        now: Instant,
        policy: &mut dyn Policy,
        out: &mut Actions,
    ) {
        let Some(shard) = self.close_call(attempt) else { return };
        match loss {
            CallLoss::NotSent | CallLoss::NoSlot => {
                self.shard(shard).unsent += 1;
                self.try_again(attempt, shard, RetryCause::NotSent, now, policy, out);
            }
            CallLoss::Broken => {
                self.may_have_run = true;
                self.leaf_broke(attempt, shard, now, policy, out);
            }
            CallLoss::Garbled => {
                self.may_have_run = true;
                self.call_failed(attempt, shard, now, policy, out);
            }
        }
        self.check_over(now, out);
    }

    /// Hedges slow calls and ends the query at its goal or deadline.
    pub fn tick(&mut self, now: Instant, policy: &mut dyn Policy, out: &mut Actions) {
        for shard in self.shard_numbers() {
            let due = self.shard(shard).hedge_at.is_some_and(|at| at <= now);
            if due && self.suspicion == Suspicion::Clear && self.over.is_none() {
                self.hedge(shard, now, policy, out);
            }
        }
        self.check_over(now, out);
    }

    /// Returns when [`Query::tick`] must be called at the latest.
    pub fn wake_at(&self, now: Instant) -> Instant {
        let hedges = self.shards.iter().filter(|s| !s.merged).filter_map(|s| s.hedge_at);
        let goal = self.plan.goal_at.filter(|&at| at > now);
        hedges.chain(goal).fold(self.plan.deadline, Instant::min)
    }

    /// Whether the outcome is decided.
    pub fn is_over(&self) -> bool {
        self.over.is_some()
    }

    /// Whether the query should start again on another version.
    pub fn wants_restart(&self, now: Instant) -> bool {
        self.version_lost
            && self.parts.len() < self.shards.len()
            && self.plan.entry.idempotent
            && self.plan.entry.on_version_loss == OnVersionLoss::Restart
            && now < self.plan.deadline
    }

    /// Records that a cancelled call was withdrawn before a byte was written.
    pub fn withdrawn(&mut self, attempt: Attempt) {
        self.close_call(attempt);
    }

    /// Returns the suspicion that the calls so far leave on the request.
    pub fn suspicion(&self) -> Suspicion {
        self.suspicion
    }

    /// Returns the number of answers that were dropped because they matched no open call.
    pub fn strays(&self) -> u32 {
        self.strays
    }

    /// Returns the attempt number that a restart may begin with.
    pub fn next_attempt(&self) -> Attempt {
        Attempt(self.plan.first_attempt.0 + self.calls.len() as u32)
    }

    /// Returns the least number of shards that makes an answer useful.
    pub(crate) fn needed(&self) -> usize {
        let share = self.plan.entry.minimum_coverage * self.shards.len() as f64;
        // A share such as 0.9 has no exact binary form; its product with a count must not round up.
        ((share - 1e-9).ceil() as usize).max(1)
    }

    pub(crate) fn shard_numbers(&self) -> impl Iterator<Item = ShardNo> + use<P> {
        self.plan.snapshot.shards()
    }

    pub(crate) fn shard(&mut self, shard: ShardNo) -> &mut ShardState {
        &mut self.shards[usize::from(shard.0)]
    }

    /// Whether a shard may get one more call.
    pub(crate) fn has_attempts_left(&self, shard: ShardNo) -> bool {
        let state = &self.shards[usize::from(shard.0)];
        let sent = state.tried.len() - state.unsent;
        sent < self.plan.entry.attempts && state.unsent <= MAX_UNSENT_CALLS
    }

    fn call_id(&self, attempt: Attempt, shard: ShardNo) -> CallId {
        let version = self.plan.snapshot.version;
        CallId { query: self.plan.id, attempt, shard, version }
    }

    pub(crate) fn send(
        &mut self,
        shard: ShardNo,
        choice: Choice,
        purpose: Purpose,
        out: &mut Actions,
    ) -> Attempt {
        let Choice { leaf, cost, .. } = choice;
        let attempt = self.next_attempt();
        self.calls.push(CallRecord { shard, leaf, state: CallState::Live });
        let state = self.shard(shard);
        state.live += 1;
        state.tried.push(leaf);
        self.live += 1;
        out.sends.push(SendCall { call: self.call_id(attempt, shard), leaf, purpose, cost });
        attempt
    }

    pub(crate) fn record(&mut self, attempt: Attempt) -> Option<&mut CallRecord> {
        let index = attempt.0.checked_sub(self.plan.first_attempt.0)?;
        self.calls.get_mut(index as usize)
    }

    pub(crate) fn close_call(&mut self, attempt: Attempt) -> Option<ShardNo> {
        let record = self.record(attempt)?;
        if record.state == CallState::Over {
            return None;
        }
        record.state = CallState::Over;
        let shard = record.shard;
        self.shard(shard).live -= 1;
        self.live -= 1;
        Some(shard)
    }

    pub(crate) fn live_calls(&self, shard: ShardNo) -> impl Iterator<Item = Attempt> {
        let first = self.plan.first_attempt.0;
        let calls = self.calls.iter().enumerate();
        let live = calls.filter(move |(_, c)| c.shard == shard && c.state == CallState::Live);
        live.map(move |(i, _)| Attempt(first + i as u32))
    }

    fn merge(&mut self, shard: ShardNo, payload: P, out: &mut Actions) {
        let is_over = self.over.is_some();
        let state = self.shard(shard);
        if is_over || state.merged || state.given_up {
            return;
        }
        state.merged = true;
        state.hedge_at = None;
        let has_loser = state.live > 0;
        self.open -= 1;
        self.parts.push((shard, payload));
        if has_loser {
            out.cancels.extend(self.live_calls(shard));
        }
    }

    pub(crate) fn give_up(&mut self, shard: ShardNo) {
        let state = self.shard(shard);
        if !state.merged && !state.given_up {
            state.given_up = true;
            self.open -= 1;
        }
    }

    /// Ends the query as soon as its outcome can no longer improve, or at the goal if what has come
    /// is useful.
    fn check_over(&mut self, now: Instant, out: &mut Actions) {
        if self.over.is_some() {
            return;
        }
        let merged = self.parts.len();
        if merged == self.shards.len() || now >= self.plan.deadline {
            self.finish(Reason::DeadlineExceeded, out);
        } else if self.open == 0 || merged + self.open < self.needed() {
            let condemned = self.suspicion == Suspicion::Blocked;
            let reason = if condemned { Reason::Quarantined } else { Reason::ReplicasLost };
            self.finish(reason, out);
        } else if merged >= self.needed() && self.plan.goal_at.is_some_and(|at| now >= at) {
            self.finish(Reason::GoalReached, out);
        } else if self.wants_restart(now) && self.has_given_up_shard() {
            self.finish(Reason::ReplicasLost, out);
        }
    }

    fn has_given_up_shard(&self) -> bool {
        self.shards.iter().any(|s| s.given_up)
    }

    fn finish(&mut self, reason: Reason, out: &mut Actions) {
        self.over = Some(reason);
        out.sends.clear();
        out.cancels.clear();
        let first = self.plan.first_attempt.0;
        let live = self.calls.iter().enumerate().filter(|(_, c)| c.state == CallState::Live);
        out.cancels.extend(live.map(|(i, _)| Attempt(first + i as u32)));
    }
}
