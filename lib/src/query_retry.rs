//! What a query does after a call failed: another try, a trial of a suspected request, or giving up.

use std::time::Instant;

use crate::ids::Attempt;
use crate::ids::ShardNo;
use crate::plan::Actions;
use crate::plan::Policy;
use crate::plan::Purpose;
use crate::plan::RetryCause;
use crate::plan::Suspicion;
use crate::query::CallRecord;
use crate::query::Query;

impl<P> Query<P> {
    pub(crate) fn hold(&mut self, shard: ShardNo) {
        self.shard(shard).held_for_trial = true;
    }

    /// Retries a call that ran and failed, which only an idempotent entry allows.
    pub(crate) fn call_failed(
        &mut self,
        attempt: Attempt,
        shard: ShardNo,
        now: Instant,
        policy: &mut dyn Policy,
        out: &mut Actions,
    ) {
        if self.plan.entry.idempotent {
            self.try_again(attempt, shard, RetryCause::MayHaveRun, now, policy, out);
        } else {
            self.abandon(shard);
        }
    }

    /// Handles a connection that broke without an answer: the request may have crashed the leaf.
    pub(crate) fn leaf_broke(
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
            self.suspicion = Suspicion::Blocked;
        } else if self.suspicion == Suspicion::Clear {
            self.suspicion = Suspicion::Suspected;
        }
        if self.suspicion == Suspicion::Blocked || !self.plan.entry.idempotent {
            self.abandon(shard);
            self.abandon_held();
        } else if self.trial.is_some() {
            self.hold(shard);
        } else {
            self.trial = self.retry(attempt, RetryCause::MayHaveRun, now, policy, out);
        }
    }

    pub(crate) fn clear_trial(
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
                self.send(shard, choice, purpose, out);
                self.shard(shard).hedge_at = self.hedge_time(choice.leaf, now, policy);
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

    pub(crate) fn try_again(
        &mut self,
        attempt: Attempt,
        shard: ShardNo,
        cause: RetryCause,
        now: Instant,
        policy: &mut dyn Policy,
        out: &mut Actions,
    ) {
        let was_trial = self.trial == Some(attempt);
        let state = self.shard(shard);
        if state.merged || state.given_up || state.live > 0 {
            return;
        }
        let next = self.retry(attempt, cause, now, policy, out);
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
        cause: RetryCause,
        now: Instant,
        policy: &mut dyn Policy,
        out: &mut Actions,
    ) -> Option<Attempt> {
        let CallRecord { leaf: failed, shard, .. } = *self.record(attempt)?;
        let may_send = self.over.is_none() && self.suspicion != Suspicion::Blocked;
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
            .filter(|_| policy.take_retry(failed, cause, now));
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
