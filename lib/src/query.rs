//! One query as a state machine: which leaf calls to make, what to merge, when it is over.
//!
//! The machine is synchronous. It takes the present time and returns [`Actions`] for the caller to
//! carry out. Invariants: a query has exactly one outcome; its coverage lists exactly the shards
//! whose hits were merged; every merged answer echoes the query, attempt, shard and pinned version.

use std::time::Duration;
use std::time::Instant;

use crate::answer::Coverage;
use crate::answer::OutcomeKind;
use crate::answer::QueryAnswer;
use crate::answer::Reason;
use crate::answer::Refusal;
use crate::catalogue::Class;
use crate::catalogue::OnVersionLoss;
use crate::ids::Attempt;
use crate::ids::LeafKey;
use crate::ids::ShardNo;
use crate::leaf_protocol::CallId;
use crate::leaf_protocol::Hit;
use crate::leaf_protocol::LeafAnswer;
use crate::leaf_protocol::LeafStatus;
use crate::plan::Actions;
use crate::plan::Choice;
use crate::plan::Loss;
use crate::plan::Policy;
use crate::plan::Purpose;
use crate::plan::QueryPlan;
use crate::plan::SendCall;
use crate::plan::Suspicion;

/// The most calls that one shard gets in one query, hedges and retries included.
pub const MAX_CALLS_PER_SHARD: usize = 4;

/// Share of the remaining time that the expected waits of a new query may take. The rest covers the
/// spread of real waits over many shards.
fn queueing_share(class: Class) -> f64 {
    match class {
        Class::Urgent => 0.8,
        Class::Ordinary => 0.5,
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallState {
    Live,
    Over,
}

#[derive(Clone, Copy, Debug)]
struct CallRecord {
    shard: ShardNo,
    leaf: LeafKey,
    state: CallState,
}

#[derive(Debug, Default)]
struct ShardState {
    merged: bool,
    given_up: bool,
    held_for_trial: bool,
    live: u8,
    tried: Vec<LeafKey>,
    hedge_at: Option<Instant>,
}

/// The state of one query.
#[derive(Debug)]
pub struct Query {
    plan: QueryPlan,
    shards: Vec<ShardState>,
    calls: Vec<CallRecord>,
    hits: Vec<Hit>,
    merged: usize,
    open: usize,
    live: usize,
    may_have_run: bool,
    version_lost: bool,
    suspicion: Suspicion,
    trial: Option<Attempt>,
    strays: u32,
    excess_wait: Option<Duration>,
    over: Option<Reason>,
}

impl Query {
    /// Makes a query that has not started.
    pub fn new(plan: QueryPlan) -> Self {
        let count = plan.snapshot.shard_count();
        let shards = (0..count).map(|_| ShardState::default()).collect();
        let suspicion = plan.suspicion;
        Self {
            plan,
            shards,
            calls: Vec::with_capacity(count),
            hits: Vec::new(),
            merged: 0,
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
                    let attempt = self.send(shard, choice.leaf, Purpose::First, out);
                    self.shard(shard).hedge_at = self.hedge_time(now, policy);
                    if self.suspicion == Suspicion::Suspected {
                        self.trial = Some(attempt);
                    }
                }
            }
        }
    }

    fn hedge_time(&self, now: Instant, policy: &dyn Policy) -> Option<Instant> {
        if !self.plan.entry.idempotent || self.plan.entry.limits.extra_load == 0.0 {
            return None;
        }
        policy.hedge_delay().map(|delay| now + delay)
    }

    /// Takes in a leaf's answer to the call `attempt`.
    pub fn answered(
        &mut self,
        attempt: Attempt,
        answer: LeafAnswer,
        now: Instant,
        policy: &mut dyn Policy,
        out: &mut Actions,
    ) {
        let Some(shard) = self.close_call(attempt) else {
            self.strays += 1;
            return;
        };
        let expected = self.call_id(attempt, shard);
        if answer.call != expected {
            self.strays += 1;
            self.may_have_run = true;
            self.call_failed(attempt, shard, now, policy, out);
        } else {
            self.take_status(attempt, shard, answer, now, policy, out);
        }
        self.check_over(now, out);
    }

    fn take_status(
        &mut self,
        attempt: Attempt,
        shard: ShardNo,
        answer: LeafAnswer,
        now: Instant,
        policy: &mut dyn Policy,
        out: &mut Actions,
    ) {
        self.may_have_run |= !answer.status.proves_not_run();
        if !answer.status.proves_not_run() {
            self.clear_trial(attempt, now, policy, out);
        }
        match answer.status {
            LeafStatus::Ok => self.merge(shard, answer.hits, out),
            LeafStatus::VersionUnavailable => {
                self.version_lost = true;
                self.try_again(attempt, shard, false, now, policy, out);
            }
            status if status.proves_not_run() => {
                self.try_again(attempt, shard, false, now, policy, out);
            }
            _ => self.call_failed(attempt, shard, now, policy, out),
        }
    }

    /// Takes in that the call `attempt` ended without a usable answer.
    pub fn lost(
        &mut self,
        attempt: Attempt,
        loss: Loss,
        now: Instant,
        policy: &mut dyn Policy,
        out: &mut Actions,
    ) {
        let Some(shard) = self.close_call(attempt) else { return };
        match loss {
            Loss::NotSent | Loss::NoSlot => {
                self.try_again(attempt, shard, false, now, policy, out);
            }
            Loss::Broken => {
                self.may_have_run = true;
                self.leaf_broke(attempt, shard, now, policy, out);
            }
            Loss::Garbled => {
                self.may_have_run = true;
                self.call_failed(attempt, shard, now, policy, out);
            }
        }
        self.check_over(now, out);
    }

    /// Hedges slow calls and ends the query at its deadline.
    pub fn tick(&mut self, now: Instant, policy: &mut dyn Policy, out: &mut Actions) {
        for shard in self.shard_numbers() {
            let due = self.shard(shard).hedge_at.is_some_and(|at| at <= now);
            if due && self.suspicion == Suspicion::Clear && self.over.is_none() {
                self.hedge(shard, now, policy, out);
            }
        }
        self.check_over(now, out);
    }

    /// Sends a slow call once more. A call that still waits for a slot is moved instead, which is no
    /// extra load; one that was written late gets its full delay first. A hedge that is slow itself is
    /// hedged again: over hundreds of shards, two stragglers in a row are no rare thing.
    fn hedge(&mut self, shard: ShardNo, now: Instant, policy: &mut dyn Policy, out: &mut Actions) {
        let hedge_at = self.shard(shard).hedge_at.take();
        let Some(slow) = self.newest_live_call(shard) else { return };
        let due_at = match (policy.written_at(slow), policy.hedge_delay()) {
            (Some(written_at), Some(delay)) => Some(written_at + delay),
            _ => hedge_at,
        };
        if due_at.is_some_and(|at| at > now) {
            self.shard(shard).hedge_at = due_at;
            return;
        }
        self.shard(shard).hedge_at = self.hedge_time(now, policy);
        let snapshot = self.plan.snapshot.clone();
        let tried = &self.shard(shard).tried;
        let choice = policy.choose(snapshot.replicas(shard), tried, Purpose::Hedge, now);
        let Some(choice) = choice else { return };
        if policy.withdraw(slow) {
            self.close_call(slow);
            self.send(shard, choice.leaf, Purpose::First, out);
        } else if policy.take_hedge(now) {
            self.send(shard, choice.leaf, Purpose::Hedge, out);
        }
    }

    fn newest_live_call(&mut self, shard: ShardNo) -> Option<Attempt> {
        let state = self.shard(shard);
        if state.merged || state.given_up || state.tried.len() >= MAX_CALLS_PER_SHARD {
            return None;
        }
        self.live_calls(shard).last()
    }

    fn live_calls(&self, shard: ShardNo) -> impl Iterator<Item = Attempt> {
        let first = self.plan.first_attempt.0;
        let calls = self.calls.iter().enumerate();
        let live = calls.filter(move |(_, c)| c.shard == shard && c.state == CallState::Live);
        live.map(move |(i, _)| Attempt(first + i as u32))
    }

    /// Returns when [`Query::tick`] must be called at the latest.
    pub fn wake_at(&self) -> Instant {
        let hedges = self.shards.iter().filter(|s| !s.merged).filter_map(|s| s.hedge_at);
        hedges.fold(self.plan.deadline, Instant::min)
    }

    /// Whether the outcome is decided.
    pub fn is_over(&self) -> bool {
        self.over.is_some()
    }

    /// Whether the query should start again on another version.
    pub fn wants_restart(&self, now: Instant) -> bool {
        self.version_lost
            && self.merged < self.shards.len()
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

    /// Returns the outcome and takes the hits. Cancelled calls that were not withdrawn count as
    /// possibly run. `retry_after` is named where the query knows no better.
    pub fn take_answer(&mut self, retry_after: Duration) -> QueryAnswer {
        self.may_have_run |= self.live > 0;
        let coverage = self.coverage();
        let outcome = self.outcome();
        let shows_hits = matches!(outcome, OutcomeKind::Complete | OutcomeKind::Partial);
        let hits = if shows_hits { self.best_hits() } else { Vec::new() };
        let reason = self.over.unwrap_or(Reason::DeadlineExceeded);
        let refusal = (outcome != OutcomeKind::Complete).then(|| Refusal {
            reason,
            message: self.message(reason, &coverage),
            retry_after: Some(self.excess_wait.unwrap_or(retry_after)),
        });
        QueryAnswer {
            outcome,
            query: Some(self.plan.id),
            entry: Some(self.plan.entry.name.clone()),
            index: Some(self.plan.entry.index.clone()),
            version: Some(self.plan.snapshot.version),
            coverage,
            hits,
            refusal,
        }
    }

    fn outcome(&self) -> OutcomeKind {
        if self.merged == self.shards.len() {
            OutcomeKind::Complete
        } else if self.merged > 0 && self.merged >= self.needed() {
            OutcomeKind::Partial
        } else if self.may_have_run {
            OutcomeKind::Unknown
        } else {
            OutcomeKind::NotRun
        }
    }

    fn message(&self, reason: Reason, coverage: &Coverage) -> String {
        let (got, all) = (coverage.contributed.len(), coverage.shards);
        let entry = &self.plan.entry.name;
        match reason {
            Reason::ReplicasLost => {
                format!(
                    "Entry \"{entry}\": {got} of {all} shards answered, the others have no replica left"
                )
            }
            Reason::Overloaded => {
                format!("Entry \"{entry}\": the queues in front of the leafs outlast the deadline")
            }
            Reason::Quarantined => {
                format!("Entry \"{entry}\": the request is suspected of crashing leafs")
            }
            _ => format!("Entry \"{entry}\": {got} of {all} shards answered within the deadline"),
        }
    }

    fn coverage(&self) -> Coverage {
        let (contributed, missing) =
            self.shard_numbers().partition(|s| self.shards[usize::from(s.0)].merged);
        Coverage { shards: self.shards.len(), contributed, missing }
    }

    fn best_hits(&mut self) -> Vec<Hit> {
        let mut hits = std::mem::take(&mut self.hits);
        let by_rank = |a: &Hit, b: &Hit| b.score.total_cmp(&a.score).then_with(|| a.id.cmp(&b.id));
        if hits.len() > self.plan.hits && self.plan.hits > 0 {
            hits.select_nth_unstable_by(self.plan.hits - 1, by_rank);
        }
        hits.truncate(self.plan.hits);
        hits.sort_unstable_by(by_rank);
        hits
    }

    fn needed(&self) -> usize {
        let share = self.plan.entry.minimum_coverage * self.shards.len() as f64;
        (share.ceil() as usize).max(1)
    }

    fn shard_numbers(&self) -> impl Iterator<Item = ShardNo> + use<> {
        self.plan.snapshot.shards()
    }

    fn shard(&mut self, shard: ShardNo) -> &mut ShardState {
        &mut self.shards[usize::from(shard.0)]
    }

    fn call_id(&self, attempt: Attempt, shard: ShardNo) -> CallId {
        let version = self.plan.snapshot.version;
        CallId { query: self.plan.id, attempt, shard, version }
    }

    fn send(
        &mut self,
        shard: ShardNo,
        leaf: LeafKey,
        purpose: Purpose,
        out: &mut Actions,
    ) -> Attempt {
        let attempt = self.next_attempt();
        self.calls.push(CallRecord { shard, leaf, state: CallState::Live });
        let state = self.shard(shard);
        state.live += 1;
        state.tried.push(leaf);
        self.live += 1;
        out.sends.push(SendCall { call: self.call_id(attempt, shard), leaf, purpose });
        attempt
    }

    fn record(&mut self, attempt: Attempt) -> Option<&mut CallRecord> {
        let index = attempt.0.checked_sub(self.plan.first_attempt.0)?;
        self.calls.get_mut(index as usize)
    }

    fn close_call(&mut self, attempt: Attempt) -> Option<ShardNo> {
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

    fn merge(&mut self, shard: ShardNo, hits: Vec<Hit>, out: &mut Actions) {
        let is_over = self.over.is_some();
        let state = self.shard(shard);
        if is_over || state.merged || state.given_up {
            return;
        }
        state.merged = true;
        state.hedge_at = None;
        let has_loser = state.live > 0;
        self.merged += 1;
        self.open -= 1;
        self.hits.extend(hits);
        if has_loser {
            out.cancels.extend(self.live_calls(shard));
        }
    }

    fn give_up(&mut self, shard: ShardNo) {
        let state = self.shard(shard);
        if !state.merged && !state.given_up {
            state.given_up = true;
            self.open -= 1;
        }
    }

    fn hold(&mut self, shard: ShardNo) {
        self.shard(shard).held_for_trial = true;
    }

    /// Retries a call that ran and failed, which only an idempotent entry allows.
    fn call_failed(
        &mut self,
        attempt: Attempt,
        shard: ShardNo,
        now: Instant,
        policy: &mut dyn Policy,
        out: &mut Actions,
    ) {
        if self.plan.entry.idempotent {
            self.try_again(attempt, shard, true, now, policy, out);
        } else {
            self.abandon(shard);
        }
    }

    /// Handles a connection that broke without an answer: the request may have crashed the leaf.
    fn leaf_broke(
        &mut self,
        attempt: Attempt,
        shard: ShardNo,
        now: Instant,
        policy: &mut dyn Policy,
        out: &mut Actions,
    ) {
        let was_trial = self.trial == Some(attempt);
        if was_trial {
            self.trial = None;
            self.suspicion = Suspicion::Condemned;
        } else if self.suspicion == Suspicion::Clear {
            self.suspicion = Suspicion::Suspected;
        }
        if self.suspicion == Suspicion::Condemned || !self.plan.entry.idempotent {
            self.abandon(shard);
            self.abandon_held();
        } else if self.trial.is_some() {
            self.hold(shard);
        } else {
            self.trial = self.retry(attempt, true, now, policy, out);
        }
    }

    fn clear_trial(
        &mut self,
        attempt: Attempt,
        now: Instant,
        policy: &mut dyn Policy,
        out: &mut Actions,
    ) {
        if self.trial != Some(attempt) || self.over.is_some() {
            return;
        }
        self.trial = None;
        self.suspicion = Suspicion::Clear;
        for shard in self.shard_numbers() {
            if std::mem::take(&mut self.shard(shard).held_for_trial) {
                self.send_held(shard, now, policy, out);
            }
        }
    }

    fn send_held(
        &mut self,
        shard: ShardNo,
        now: Instant,
        policy: &mut dyn Policy,
        out: &mut Actions,
    ) {
        let snapshot = self.plan.snapshot.clone();
        let tried = self.shard(shard).tried.clone();
        let purpose = if tried.is_empty() { Purpose::First } else { Purpose::Retry };
        match policy.choose(snapshot.replicas(shard), &tried, purpose, now) {
            Some(choice) => {
                self.send(shard, choice.leaf, purpose, out);
                self.shard(shard).hedge_at = self.hedge_time(now, policy);
            }
            None => self.give_up(shard),
        }
    }

    fn abandon_held(&mut self) {
        for shard in self.shard_numbers() {
            if std::mem::take(&mut self.shard(shard).held_for_trial) {
                self.abandon(shard);
            }
        }
    }

    fn abandon(&mut self, shard: ShardNo) {
        if self.shard(shard).live == 0 {
            self.give_up(shard);
        }
    }

    fn try_again(
        &mut self,
        attempt: Attempt,
        shard: ShardNo,
        may_have_run: bool,
        now: Instant,
        policy: &mut dyn Policy,
        out: &mut Actions,
    ) {
        let was_trial = self.trial == Some(attempt);
        let state = self.shard(shard);
        if state.merged || state.given_up || state.live > 0 {
            return;
        }
        let next = self.retry(attempt, may_have_run, now, policy, out);
        if was_trial {
            self.trial = next;
            if next.is_none() {
                self.abandon_held();
            }
        }
    }

    fn retry(
        &mut self,
        attempt: Attempt,
        may_have_run: bool,
        now: Instant,
        policy: &mut dyn Policy,
        out: &mut Actions,
    ) -> Option<Attempt> {
        let CallRecord { leaf: failed, shard, .. } = *self.record(attempt)?;
        let may_send = self.over.is_none() && self.suspicion != Suspicion::Condemned;
        let snapshot = self.plan.snapshot.clone();
        let state = self.shard(shard);
        if state.merged || state.live > 0 {
            return None;
        }
        let allowed = may_send && state.tried.len() < MAX_CALLS_PER_SHARD;
        let choice = allowed
            .then(|| policy.choose(snapshot.replicas(shard), &state.tried, Purpose::Retry, now))
            .flatten()
            .filter(|_| now < self.plan.deadline)
            .filter(|_| policy.take_retry(failed, may_have_run, now));
        match choice {
            Some(choice) => Some(self.send(shard, choice.leaf, Purpose::Retry, out)),
            None => {
                self.give_up(shard);
                None
            }
        }
    }

    /// Ends the query as soon as its outcome can no longer improve.
    fn check_over(&mut self, now: Instant, out: &mut Actions) {
        if self.over.is_some() {
            return;
        }
        if self.merged == self.shards.len() || now >= self.plan.deadline {
            self.finish(Reason::DeadlineExceeded, out);
        } else if self.open == 0 || self.merged + self.open < self.needed() {
            let condemned = self.suspicion == Suspicion::Condemned;
            let reason = if condemned { Reason::Quarantined } else { Reason::ReplicasLost };
            self.finish(reason, out);
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
