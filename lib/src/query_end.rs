//! When a query ends: its shards have answered, its latency target or deadline is reached, or too
//! few shards can still answer.

use std::time::Duration;
use std::time::Instant;

use crate::answer::Reason;
use crate::feasibility;
use crate::feasibility::Obstacle;
use crate::feasibility::Prospect;
use crate::feasibility::Verdict;
use crate::ids::Attempt;
use crate::plan::Actions;
use crate::plan::Policy;
use crate::plan::Suspicion;
use crate::query::CallState;
use crate::query::Query;
use crate::retry_after::OTHER_HOST_RETRY;

/// Interval between two assessments of calls that wait to be sent.
const ASSESSMENT_INTERVAL: Duration = Duration::from_millis(20);

impl<P> Query<P> {
    /// Ends the query with what was merged so far, as the process shuts down.
    pub fn end_early(&mut self, out: &mut Actions) {
        if self.end_reason.is_none() {
            self.finish(Reason::NotReady, out);
        }
    }

    /// Returns the time at which [`Query::tick`] must be called next, at the latest.
    pub fn next_tick_at(&self, now: Instant) -> Instant {
        let hedges = self.shards.iter().filter(|s| !s.merged).filter_map(|s| s.hedge_at);
        let target = self.plan.target_at.filter(|&at| at > now);
        let assessment = self.assess_at;
        hedges.chain(target).chain(assessment).fold(self.plan.deadline, Instant::min)
    }

    /// Ends the query as soon as its outcome can no longer improve, at its deadline, at its latency
    /// target if the merged shards satisfy the minimum coverage, as soon as too few shards for the
    /// minimum coverage are expected to answer in time, or, if it should restart on another version,
    /// as soon as a shard was given up.
    pub(crate) fn finish_if_decided(
        &mut self,
        now: Instant,
        policy: &dyn Policy,
        out: &mut Actions,
    ) {
        if self.end_reason.is_some() {
            return;
        }
        let merged = self.parts.len();
        if merged == self.shards.len() || now >= self.plan.deadline {
            // The reason has no meaning if the query is complete.
            self.finish(Reason::DeadlineExceeded, out);
        } else if self.open_shards == 0 || merged + self.open_shards < self.needed_shards() {
            if self.suspicion == Suspicion::Blocked {
                return self.finish(Reason::Quarantined, out);
            }
            let missing = self.needed_shards().saturating_sub(merged + self.open_shards);
            let given_up = self.shard_numbers().filter(|s| self.shards[usize::from(s.0)].given_up);
            self.excess_wait = self.wait_for_leafs(given_up, missing, now, policy);
            self.finish(self.lost_or_overloaded(), out);
        } else if merged >= self.needed_shards() && self.plan.target_at.is_some_and(|at| now >= at)
        {
            self.finish(Reason::GoalReached, out);
        } else if self.should_restart(now) && self.has_given_up_shard() {
            self.finish(Reason::ReplicasLost, out);
        } else if let Verdict::Late(late) = self.assess(now, policy) {
            self.excess_wait = Some(late.max(OTHER_HOST_RETRY));
            self.obstacle = Some(Obstacle::UnsentCalls);
            self.finish(Reason::Overloaded, out);
        }
    }

    /// Assesses whether enough shards can still answer in time, at intervals after calls were made.
    /// Only calls of which no byte was written count as late, so that a reply that may arrive is
    /// never given up.
    fn assess(&mut self, now: Instant, policy: &dyn Policy) -> Verdict {
        if self.parts.len() >= self.needed_shards() {
            self.assess_at = None;
            return Verdict::Feasible;
        }
        if self.assess_at.is_none() && self.calls.len() > self.assessed_calls {
            self.assess_at = Some(now + ASSESSMENT_INTERVAL);
        }
        if self.assess_at.is_none_or(|at| now < at) {
            return Verdict::Feasible;
        }
        self.assessed_calls = self.calls.len();
        let prospects = self.prospects(now, policy);
        let is_waiting = |prospect: &Prospect| matches!(prospect, Prospect::After(_));
        let waiting = prospects.iter().filter(|prospect| is_waiting(prospect)).count();
        let can_answer = self.parts.len() + self.open_shards - waiting;
        let depends_on_waiting = can_answer < self.needed_shards();
        self.assess_at = depends_on_waiting.then(|| now + ASSESSMENT_INTERVAL);
        let remaining = self.plan.deadline.saturating_duration_since(now);
        feasibility::assess(prospects, self.needed_shards(), remaining)
    }

    fn prospects(&self, now: Instant, policy: &dyn Policy) -> Vec<Prospect> {
        let mut prospects: Vec<_> = self
            .shards
            .iter()
            .map(|shard| if shard.given_up { Prospect::Lost } else { Prospect::Open })
            .collect();
        // Unless a call of the shard was written or its wait is unknown, the shortest wait counts.
        let mut waits = vec![Some(Duration::MAX); self.shards.len()];
        let first = self.plan.first_attempt.0;
        for (index, call) in self.calls.iter().enumerate() {
            if call.state == CallState::Live {
                let attempt = Attempt(first + index as u32);
                let wait = &mut waits[usize::from(call.shard.0)];
                let reply_in = policy.unwritten_reply_in(attempt, call.leaf, now);
                *wait = wait.zip(reply_in).map(|(shortest, wait)| shortest.min(wait));
            }
        }
        let shards = prospects.iter_mut().zip(&self.shards).zip(waits);
        for ((prospect, shard), wait) in shards {
            let may_be_moved = shard.hedge_at.is_some() && !shard.has_no_alternative;
            let is_open = !shard.merged && !shard.given_up && shard.live > 0;
            if let Some(wait) = wait.filter(|_| is_open && !may_be_moved) {
                *prospect = Prospect::After(wait);
            }
        }
        prospects
    }

    fn has_given_up_shard(&self) -> bool {
        self.shards.iter().any(|s| s.given_up)
    }

    /// Ends the query: cancels the calls in progress and drops the calls that are not sent yet.
    pub(crate) fn finish(&mut self, reason: Reason, out: &mut Actions) {
        self.end_reason = Some(reason);
        out.sends.clear();
        out.cancels.clear();
        let first = self.plan.first_attempt.0;
        let live = self.calls.iter().enumerate().filter(|(_, c)| c.state == CallState::Live);
        out.cancels.extend(live.map(|(i, _)| Attempt(first + i as u32)));
    }
}
