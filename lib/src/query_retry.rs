//! Handling of failed calls: retries, probes of a suspected poison request, and shards that are
//! given up.

use std::time::Instant;

use crate::ids::Attempt;
use crate::ids::ShardNo;
use crate::plan::Actions;
use crate::plan::Policy;
use crate::plan::Purpose;
use crate::plan::RetryCause;
use crate::plan::Suspicion;
use crate::query::BrokenCall;
use crate::query::CallRecord;
use crate::query::Query;

impl<P> Query<P> {
    /// Holds back the shard's next call until the probe has ended.
    pub(crate) fn hold_for_probe(&mut self, shard: ShardNo) {
        self.shard(shard).awaits_probe = true;
    }

    /// Retries a call that may have run, which is safe only for an idempotent entry. For any other
    /// entry, gives up the shard unless another call to it is in progress.
    pub(crate) fn retry_if_idempotent(
        &mut self,
        attempt: Attempt,
        shard: ShardNo,
        now: Instant,
        policy: &mut dyn Policy,
        out: &mut Actions,
    ) {
        if self.plan.entry.idempotent {
            self.retry_if_none_live(attempt, shard, RetryCause::MayHaveRun, now, policy, out);
        } else {
            self.give_up_unless_live(shard);
        }
    }

    /// Handles a connection that broke before a reply: the request may have crashed the leaf. The
    /// retry of the call becomes the probe, and the retries of further broken calls are held back
    /// until the probe has ended. A probe that breaks its connection too blocks the request.
    pub(crate) fn on_connection_broken(
        &mut self,
        attempt: Attempt,
        shard: ShardNo,
        now: Instant,
        policy: &mut dyn Policy,
        out: &mut Actions,
    ) {
        let was_probe = self.probe == Some(attempt);
        if let Some(CallRecord { leaf, .. }) = self.call_record(attempt).copied() {
            self.broken_calls.push(BrokenCall { leaf, was_probe });
        }
        if was_probe {
            self.probe = None;
            self.suspicion = Suspicion::Blocked;
        } else if self.suspicion == Suspicion::Clear {
            self.suspicion = Suspicion::Suspected;
        }
        if self.suspicion == Suspicion::Blocked || !self.plan.entry.idempotent {
            self.give_up_unless_live(shard);
            self.give_up_held_shards();
        } else if self.probe.is_some() {
            self.hold_for_probe(shard);
        } else {
            self.probe = self.retry(attempt, RetryCause::MayHaveRun, now, policy, out);
        }
    }

    /// Clears the suspicion if the call was the probe, as its leaf ran it without a crash, or any
    /// call if the plan allows that. Then sends the calls that were held back.
    pub(crate) fn clear_suspicion(
        &mut self,
        attempt: Attempt,
        now: Instant,
        policy: &mut dyn Policy,
        out: &mut Actions,
    ) {
        let is_suspected = self.suspicion == Suspicion::Suspected;
        let clears = self.probe == Some(attempt) || self.plan.any_answer_clears && is_suspected;
        if !clears || self.end_reason.is_some() {
            return;
        }
        self.probe = None;
        self.suspicion = Suspicion::Clear;
        for shard in self.shard_numbers() {
            if std::mem::take(&mut self.shard(shard).awaits_probe) {
                self.send_held_call(shard, now, policy, out);
            }
        }
    }

    fn send_held_call(
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
                self.send(shard, choice, purpose, out);
                self.shard(shard).hedge_at = self.hedge_time(choice.leaf, now, policy);
            }
            None => self.give_up(shard),
        }
    }

    fn give_up_held_shards(&mut self) {
        for shard in self.shard_numbers() {
            if std::mem::take(&mut self.shard(shard).awaits_probe) {
                self.give_up_unless_live(shard);
            }
        }
    }

    /// Gives up a shard unless a call to it is still in progress.
    fn give_up_unless_live(&mut self, shard: ShardNo) {
        if self.shard(shard).live == 0 {
            self.give_up(shard);
        }
    }

    /// Retries a failed call unless the shard is merged, given up or has another call in progress.
    /// The retry of a probe becomes the probe.
    pub(crate) fn retry_if_none_live(
        &mut self,
        attempt: Attempt,
        shard: ShardNo,
        cause: RetryCause,
        now: Instant,
        policy: &mut dyn Policy,
        out: &mut Actions,
    ) {
        let was_probe = self.probe == Some(attempt);
        let state = self.shard(shard);
        if state.merged || state.given_up || state.live > 0 {
            return;
        }
        let next = self.retry(attempt, cause, now, policy, out);
        if was_probe {
            self.probe = next;
            if next.is_none() {
                self.give_up_held_shards();
            }
        }
    }

    /// Sends a retry and returns its attempt number if the attempts, the replicas, the deadline and
    /// the budget allow one; gives up the shard otherwise. Does nothing if the shard is merged or
    /// has another call in progress.
    fn retry(
        &mut self,
        attempt: Attempt,
        cause: RetryCause,
        now: Instant,
        policy: &mut dyn Policy,
        out: &mut Actions,
    ) -> Option<Attempt> {
        let CallRecord { leaf: failed, shard, .. } = *self.call_record(attempt)?;
        let may_send = self.end_reason.is_none() && self.suspicion != Suspicion::Blocked;
        let snapshot = self.plan.snapshot.clone();
        let allowed = may_send && self.has_attempts_left(shard);
        let state = self.shard(shard);
        if state.merged || state.live > 0 {
            return None;
        }
        let choice = allowed
            .then(|| policy.choose(snapshot.replicas(shard), &state.tried, Purpose::Retry, now))
            .flatten()
            .filter(|_| now < self.plan.deadline)
            .filter(|_| policy.try_retry(failed, cause, now));
        match choice {
            Some(choice) => {
                let attempt = self.send(shard, choice, Purpose::Retry, out);
                self.shard(shard).hedge_at = self.hedge_time(choice.leaf, now, policy);
                Some(attempt)
            }
            None => {
                self.give_up(shard);
                None
            }
        }
    }
}
