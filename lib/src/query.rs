//! State machine of one query: decides which leaf calls to make, which replies to merge, and when
//! the query ends.
//!
//! The machine does no I/O. Each method takes the current time and appends to [`Actions`] what its
//! owner has to do. `P` is the payload of one leaf: hits, records or a full response. Invariants:
//! a query has exactly one outcome; its coverage lists exactly the shards whose payloads were
//! merged; every merged payload echoes the query, attempt, shard and pinned version.
//!
//! [`crate::query_hedge`] sends hedges, [`crate::query_retry`] handles failed calls,
//! [`crate::query_end`] decides when the query ends, and [`crate::query_outcome`] builds the result
//! for the caller.

use std::time::Duration;
use std::time::Instant;

use crate::answer::Reason;
use crate::catalogue::Class;
use crate::catalogue::OnVersionLoss;
use crate::feasibility::Obstacle;
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
use crate::retry_after::OTHER_HOST_RETRY;

/// Number of calls of one shard that may end before a byte is written. They do not count against
/// the entry's attempts, as they cannot have run.
const MAX_UNSENT_CALLS: usize = 4;

/// Returns the share, 0 to 1, of the time left until the deadline within which the leafs must be
/// expected to answer for a new query to start. The rest allows for the variance of the actual
/// times over many shards.
fn expected_time_share(class: Class) -> f64 {
    match class {
        Class::Urgent => 0.8,
        Class::Ordinary => 0.5,
    }
}

/// Whether a call is still open, so that the query accepts a reply to it.
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

/// A call whose connection broke before a reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BrokenCall {
    /// The called leaf.
    pub leaf: LeafKey,
    /// Whether the call was the probe of a suspected request.
    pub was_probe: bool,
}

/// Progress of one shard of the query.
#[derive(Debug, Default)]
pub(crate) struct ShardState {
    pub(crate) merged: bool,
    /// Whether the shard gets no further call.
    pub(crate) given_up: bool,
    /// Whether the shard's next call is held back until the probe of a suspected request has ended.
    pub(crate) awaits_probe: bool,
    /// Whether no other replica took the last call of the shard when it was to be moved or hedged.
    pub(crate) has_no_alternative: bool,
    /// Number of calls in progress.
    pub(crate) live: u8,
    /// Number of calls that ended before a byte was written.
    pub(crate) unsent: usize,
    /// Leaf of each call so far, unsent ones included.
    pub(crate) tried: Vec<LeafKey>,
    /// Time at which the call in progress is to be hedged; absent if it must not be.
    pub(crate) hedge_at: Option<Instant>,
}

/// The state of one query.
#[derive(Debug)]
pub struct Query<P = Vec<Hit>> {
    pub(crate) plan: QueryPlan,
    /// Progress of each shard, indexed by shard number.
    pub(crate) shards: Vec<ShardState>,
    /// All calls so far, in the order of their attempt numbers.
    pub(crate) calls: Vec<CallRecord>,
    /// Merged payloads, in the order of arrival.
    pub(crate) parts: Vec<(ShardNo, P)>,
    /// Payload of the last reply that reported a failure.
    pub(crate) failure: Option<P>,
    /// Number of shards that are neither merged nor given up.
    pub(crate) open_shards: usize,
    /// Number of calls in progress on all shards.
    pub(crate) live: usize,
    /// Whether a leaf has run the request and answered.
    pub(crate) answered: bool,
    /// Number of hedges before the first answer.
    pub(crate) early_hedges: usize,
    /// Whether any call that has ended may have run on its leaf.
    pub(crate) may_have_run: bool,
    /// Whether a leaf reported that it no longer has the pinned version.
    pub(crate) version_lost: bool,
    pub(crate) suspicion: Suspicion,
    /// The call that serves as the probe while the request is suspected.
    pub(crate) probe: Option<Attempt>,
    /// Calls whose connection broke and that were not reported by [`Query::take_broken_calls`] yet.
    pub(crate) broken_calls: Vec<BrokenCall>,
    /// Number of replies that were dropped because they matched no open call.
    pub(crate) unmatched_replies: u32,
    /// How far the expected answer time exceeded what the deadline allows, or the time until enough
    /// leafs admit a call; set when the query is refused as overloaded.
    pub(crate) excess_wait: Option<Duration>,
    /// Why the query is not expected to be answered in time, if it was refused or ended for that.
    pub(crate) obstacle: Option<Obstacle>,
    /// When to assess whether enough shards can still answer in time; absent while the calls that
    /// were written could answer for enough of them.
    pub(crate) assess_at: Option<Instant>,
    /// Number of calls at the last assessment.
    pub(crate) assessed_calls: usize,
    /// Why the query ended; absent while it runs.
    pub(crate) end_reason: Option<Reason>,
}

impl<P> Query<P> {
    /// Creates a query that has made no call yet.
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
            open_shards: count,
            live: 0,
            answered: false,
            early_hedges: 0,
            may_have_run: false,
            version_lost: false,
            suspicion,
            probe: None,
            broken_calls: Vec::new(),
            unmatched_replies: 0,
            excess_wait: None,
            obstacle: None,
            assess_at: None,
            assessed_calls: 0,
            end_reason: None,
        }
    }

    /// Makes the first call of each shard. Ends the query instead if too few shards for the minimum
    /// coverage have a replica, or if too few of them are expected to answer within the allowed
    /// share of the remaining time.
    pub fn start(&mut self, now: Instant, policy: &mut dyn Policy, out: &mut Actions) {
        let remaining = self.plan.deadline.saturating_duration_since(now);
        let mut choices = Vec::with_capacity(self.shards.len());
        for shard in self.shard_numbers() {
            let replicas = self.plan.snapshot.replicas(shard);
            let choice = policy.choose(replicas, &[], Purpose::First, now);
            choices.push(choice);
        }
        let mut waits: Vec<_> = choices.iter().flatten().map(|choice| choice.wait).collect();
        let needed_shards = self.needed_shards();
        if waits.len() < needed_shards {
            let missing = needed_shards - waits.len();
            let shards = self.shard_numbers().zip(&choices);
            let unchosen = shards.filter(|(_, choice)| choice.is_none()).map(|(shard, _)| shard);
            self.excess_wait = self.wait_for_leafs(unchosen, missing, now, policy);
            return self.finish(self.lost_or_overloaded(), out);
        }
        let own_time = policy.own_time(waits.len(), now);
        let (_, longest_needed_wait, _) = waits.select_nth_unstable(needed_shards - 1);
        let allowed = remaining.mul_f64(expected_time_share(self.plan.entry.class));
        if *longest_needed_wait > allowed {
            self.excess_wait = Some(*longest_needed_wait - allowed);
            self.obstacle = Some(Obstacle::BusyLeafs);
            return self.finish(Reason::Overloaded, out);
        }
        if own_time + *longest_needed_wait > allowed {
            self.excess_wait = Some(OTHER_HOST_RETRY);
            self.obstacle = Some(Obstacle::SlowHost);
            return self.finish(Reason::Overloaded, out);
        }
        self.send_first_calls(&choices, now, policy, out);
        self.finish_if_decided(now, policy, out);
    }

    /// Sends the chosen first calls. A suspected request sends only one, as a probe; the calls of
    /// the other shards follow when the leaf has replied to the probe.
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
                Some(_) if self.probe.is_some() => self.hold_for_probe(shard),
                Some(choice) => {
                    let attempt = self.send(shard, *choice, Purpose::First, out);
                    self.shard(shard).hedge_at = self.hedge_time(choice.leaf, now, policy);
                    if self.suspicion == Suspicion::Suspected {
                        self.probe = Some(attempt);
                    }
                }
            }
        }
    }

    /// Handles a leaf's reply to the call `attempt`. A reply that belongs to another call counts as
    /// a failed call that may have run.
    pub fn on_reply(
        &mut self,
        attempt: Attempt,
        reply: impl Into<LeafReply<P>>,
        now: Instant,
        policy: &mut dyn Policy,
        out: &mut Actions,
    ) {
        let Some(shard) = self.close_call(attempt) else {
            self.unmatched_replies += 1;
            return;
        };
        let reply = reply.into();
        let expected = self.call_id(attempt, shard);
        if reply.call != expected {
            self.unmatched_replies += 1;
            self.may_have_run = true;
            self.retry_if_idempotent(attempt, shard, now, policy, out);
        } else {
            self.handle_status(attempt, shard, reply, now, policy, out);
        }
        self.finish_if_decided(now, policy, out);
    }

    fn handle_status(
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
            self.answered = true;
            self.clear_suspicion(attempt, now, policy, out);
        }
        match reply.status {
            LeafStatus::Ok => self.merge(shard, reply.payload, out),
            LeafStatus::VersionUnavailable => {
                self.version_lost = true;
                self.retry_if_none_live(attempt, shard, RetryCause::Rejected, now, policy, out);
            }
            status if status.proves_not_run() => {
                self.retry_if_none_live(attempt, shard, RetryCause::Rejected, now, policy, out);
            }
            _ => {
                self.failure = Some(reply.payload);
                self.retry_if_idempotent(attempt, shard, now, policy, out);
            }
        }
    }

    /// Handles the end of the call `attempt` without a usable reply.
    pub fn on_call_lost(
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
                self.retry_if_none_live(attempt, shard, RetryCause::NotSent, now, policy, out);
            }
            CallLoss::Broken => {
                self.may_have_run = true;
                self.on_connection_broken(attempt, shard, now, policy, out);
            }
            CallLoss::Garbled => {
                self.may_have_run = true;
                self.retry_if_idempotent(attempt, shard, now, policy, out);
            }
        }
        self.finish_if_decided(now, policy, out);
    }

    /// Hedges slow calls and ends the query at its latency target or deadline.
    pub fn tick(&mut self, now: Instant, policy: &mut dyn Policy, out: &mut Actions) {
        for shard in self.shard_numbers() {
            let due = self.shard(shard).hedge_at.is_some_and(|at| at <= now);
            if due && self.suspicion == Suspicion::Clear && self.end_reason.is_none() {
                self.hedge(shard, now, policy, out);
            }
        }
        self.finish_if_decided(now, policy, out);
    }

    /// Returns whether the outcome is decided.
    pub fn is_over(&self) -> bool {
        self.end_reason.is_some()
    }

    /// Returns whether the query should start again on another version: a leaf has lost the pinned
    /// one, shards are missing, the entry allows a restart, and the deadline has not passed.
    pub fn should_restart(&self, now: Instant) -> bool {
        self.version_lost
            && self.parts.len() < self.shards.len()
            && self.plan.entry.idempotent
            && self.plan.entry.on_version_loss == OnVersionLoss::Restart
            && now < self.plan.deadline
    }

    /// Closes a cancelled call of which no byte was written, so that it counts as not run.
    pub fn on_call_withdrawn(&mut self, attempt: Attempt) {
        self.close_call(attempt);
    }

    /// Returns whether the calls so far make the request suspected or blocked as a poison request.
    pub fn suspicion(&self) -> Suspicion {
        self.suspicion
    }

    /// Returns the calls whose connection broke since this method was last called.
    pub fn take_broken_calls(&mut self) -> Vec<BrokenCall> {
        std::mem::take(&mut self.broken_calls)
    }

    /// Returns the number of replies that were dropped because they matched no open call.
    pub fn unmatched_replies(&self) -> u32 {
        self.unmatched_replies
    }

    /// Returns the lowest attempt number that is not in use; a restart begins with it.
    pub fn next_attempt(&self) -> Attempt {
        Attempt(self.plan.first_attempt.0 + self.calls.len() as u32)
    }

    /// Returns the number of shards that the entry's minimum coverage requires, at least 1.
    pub(crate) fn needed_shards(&self) -> usize {
        self.plan.entry.needed_shards(self.shards.len())
    }

    pub(crate) fn shard_numbers(&self) -> impl Iterator<Item = ShardNo> + use<P> {
        self.plan.snapshot.shards()
    }

    pub(crate) fn shard(&mut self, shard: ShardNo) -> &mut ShardState {
        &mut self.shards[usize::from(shard.0)]
    }

    /// Returns whether the entry's attempts and the limit of unsent calls allow one more call of a
    /// shard.
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
        state.has_no_alternative = false;
        let repeats_leaf = state.tried.contains(&leaf);
        state.tried.push(leaf);
        self.live += 1;
        // A retry of a request that became suspected only in this query is no probe for others.
        let was_suspected = self.plan.suspicion == Suspicion::Suspected;
        let is_probe = was_suspected && self.suspicion == Suspicion::Suspected;
        let call = self.call_id(attempt, shard);
        out.sends.push(SendCall { call, leaf, purpose, cost, is_probe, repeats_leaf });
        attempt
    }

    pub(crate) fn call_record(&mut self, attempt: Attempt) -> Option<&mut CallRecord> {
        let index = attempt.0.checked_sub(self.plan.first_attempt.0)?;
        self.calls.get_mut(index as usize)
    }

    /// Marks a call as ended and returns its shard, or nothing if there is no such call or it had
    /// already ended.
    pub(crate) fn close_call(&mut self, attempt: Attempt) -> Option<ShardNo> {
        let record = self.call_record(attempt)?;
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

    /// Keeps a shard's first payload and cancels the shard's other calls.
    fn merge(&mut self, shard: ShardNo, payload: P, out: &mut Actions) {
        let is_over = self.end_reason.is_some();
        let state = self.shard(shard);
        if is_over || state.merged || state.given_up {
            return;
        }
        state.merged = true;
        state.hedge_at = None;
        let has_other_calls = state.live > 0;
        self.open_shards -= 1;
        self.parts.push((shard, payload));
        if has_other_calls {
            out.cancels.extend(self.live_calls(shard));
        }
    }

    pub(crate) fn give_up(&mut self, shard: ShardNo) {
        let state = self.shard(shard);
        if !state.merged && !state.given_up {
            state.given_up = true;
            self.open_shards -= 1;
        }
    }
}
