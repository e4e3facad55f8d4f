//! Hedges of a query: further calls to other replicas while a call is slow.

use std::time::Instant;

use crate::ids::Attempt;
use crate::ids::LeafKey;
use crate::ids::ShardNo;
use crate::plan::Actions;
use crate::plan::Policy;
use crate::plan::Purpose;
use crate::query::Query;

/// Number of hedges of a query before any leaf has answered. If the request crashes leafs, each
/// further hedge would crash one more.
const MAX_EARLY_HEDGES: usize = 2;

impl<P> Query<P> {
    /// Returns the time at which a call to `leaf` that starts now is to be hedged. Returns nothing
    /// if the entry is not idempotent or allows no extra load, or the policy gives no delay.
    pub(crate) fn hedge_time(
        &self,
        leaf: LeafKey,
        now: Instant,
        policy: &dyn Policy,
    ) -> Option<Instant> {
        if !self.plan.entry.idempotent || self.plan.entry.limits.extra_load == 0.0 {
            return None;
        }
        policy.hedge_delay(leaf).map(|delay| now + delay)
    }

    /// Hedges a shard's slow call, unless the shard needs no further call. A call of which no byte
    /// was written is withdrawn and sent to another replica instead, which adds no load. The delay
    /// counts from the write, so that a call that was written late is not hedged early. A hedge
    /// that is slow too is hedged again, as two stragglers in a row are common over hundreds of
    /// shards.
    pub(crate) fn hedge(
        &mut self,
        shard: ShardNo,
        now: Instant,
        policy: &mut dyn Policy,
        out: &mut Actions,
    ) {
        let hedge_at = self.shard(shard).hedge_at.take();
        let Some(slow) = self.newest_live_call(shard) else { return };
        let Some(slow_leaf) = self.call_record(slow).map(|record| record.leaf) else { return };
        let due_at = match (policy.written_at(slow), policy.hedge_delay(slow_leaf)) {
            (Some(written_at), Some(delay)) => Some(written_at + delay),
            _ => hedge_at,
        };
        if due_at.is_some_and(|at| at > now) {
            self.shard(shard).hedge_at = due_at;
            return;
        }
        self.shard(shard).hedge_at = self.hedge_time(slow_leaf, now, policy);
        let snapshot = self.plan.snapshot.clone();
        let tried = &self.shard(shard).tried;
        let choice = policy.choose(snapshot.replicas(shard), tried, Purpose::Hedge, now);
        let Some(choice) = choice else {
            self.shard(shard).has_no_alternative = true;
            return;
        };
        if policy.withdraw(slow) {
            self.close_call(slow);
            self.shard(shard).unsent += 1;
            self.send(shard, choice, Purpose::First, out);
        } else if self.may_hedge_early() && policy.try_hedge(slow_leaf, self.is_decisive(), now) {
            self.early_hedges += usize::from(!self.answered);
            self.send(shard, choice, Purpose::Hedge, out);
        }
    }

    /// Returns whether a hedge may be sent although no leaf may have answered yet.
    fn may_hedge_early(&self) -> bool {
        let is_early = self.plan.any_answer_clears && !self.answered;
        !is_early || self.early_hedges < MAX_EARLY_HEDGES
    }

    /// Returns whether more shards are still missing than the minimum coverage allows, so that an
    /// answer would be of no use yet.
    fn is_decisive(&self) -> bool {
        let missing = self.shards.len() - self.parts.len();
        missing > self.shards.len() - self.needed_shards()
    }

    /// Returns the shard's most recent call in progress, or nothing if the shard needs or may get
    /// no further call.
    fn newest_live_call(&mut self, shard: ShardNo) -> Option<Attempt> {
        let state = self.shard(shard);
        if state.merged || state.given_up || !self.has_attempts_left(shard) {
            return None;
        }
        self.live_calls(shard).last()
    }
}
