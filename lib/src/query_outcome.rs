//! Result of a query: its outcome, its coverage, and the merged payloads of the leafs.

use std::time::Duration;
use std::time::Instant;

use crate::answer::Coverage;
use crate::answer::OutcomeKind;
use crate::answer::QueryAnswer;
use crate::answer::Reason;
use crate::answer::Refusal;
use crate::feasibility::Obstacle;
use crate::ids::Attempt;
use crate::ids::IndexVersion;
use crate::ids::ShardNo;
use crate::leaf_protocol::Hit;
use crate::plan::Policy;
use crate::query::Query;

/// The result of a query, before an interface turns it into a response.
#[derive(Debug)]
pub struct Outcome<P> {
    /// Whether the query is complete, partial, not run or unknown.
    pub kind: OutcomeKind,
    /// Why the query ended before all shards contributed; without meaning if the query is complete.
    pub reason: Reason,
    /// Number of shards of the pinned version.
    pub shards: usize,
    /// The index version that all calls used.
    pub version: IndexVersion,
    /// Payload of each contributing shard, in the order of arrival.
    pub parts: Vec<(ShardNo, P)>,
    /// Payload of the last reply that reported a failure, if any did.
    pub failure: Option<P>,
    /// Number of calls made, including hedges, retries and calls of which no byte was written.
    pub calls: usize,
    /// How far the expected answer time exceeded what the deadline allows; absent unless the query
    /// was refused as overloaded.
    pub excess_wait: Option<Duration>,
    /// Why the query was not expected to be answered in time, if it was refused or ended for that.
    pub obstacle: Option<Obstacle>,
}

impl<P> Query<P> {
    /// Returns the outcome and moves the payloads out of the query. Calls that are still in
    /// progress or were cancelled after their write count as possibly run.
    pub fn take_outcome(&mut self) -> Outcome<P> {
        self.may_have_run |= self.live > 0;
        Outcome {
            kind: self.outcome(),
            reason: self.end_reason.unwrap_or(Reason::DeadlineExceeded),
            shards: self.shards.len(),
            version: self.plan.snapshot.version,
            parts: std::mem::take(&mut self.parts),
            failure: self.failure.take(),
            calls: self.calls.len(),
            excess_wait: self.excess_wait,
            obstacle: self.obstacle,
        }
    }

    /// Returns the largest number of calls to one shard for which `counts` holds.
    pub fn most_calls_to_one_shard(&self, counts: impl Fn(Attempt) -> bool) -> usize {
        let first = self.plan.first_attempt.0;
        let mut by_shard = vec![0; self.shards.len()];
        for (index, call) in self.calls.iter().enumerate() {
            if counts(Attempt(first + index as u32)) {
                by_shard[usize::from(call.shard.0)] += 1;
            }
        }
        by_shard.into_iter().max().unwrap_or_default()
    }

    /// Returns the time until `missing` more of these shards have a replica that takes calls.
    /// Returns nothing if they have one already, or if that cannot be told.
    pub(crate) fn wait_for_leafs(
        &self,
        shards: impl Iterator<Item = ShardNo>,
        missing: usize,
        now: Instant,
        policy: &dyn Policy,
    ) -> Option<Duration> {
        let wait = |shard| policy.callable_in(self.plan.snapshot.replicas(shard), now);
        let mut waits: Vec<_> = shards.filter_map(wait).collect();
        waits.sort_unstable();
        waits.get(missing.checked_sub(1)?).copied().filter(|wait| !wait.is_zero())
    }

    /// Returns the reason of a query that too few leafs take: they take it after a while, or no time
    /// can be told.
    pub(crate) fn lost_or_overloaded(&self) -> Reason {
        let is_refused = self.excess_wait.is_some() && !self.may_have_run;
        if is_refused { Reason::Overloaded } else { Reason::ReplicasLost }
    }

    fn outcome(&self) -> OutcomeKind {
        let merged = self.parts.len();
        if merged == self.shards.len() {
            OutcomeKind::Complete
        } else if merged > 0 && merged >= self.needed_shards() {
            OutcomeKind::Partial
        } else if self.may_have_run {
            OutcomeKind::Unknown
        } else {
            OutcomeKind::NotRun
        }
    }

    fn coverage(&self) -> Coverage {
        let (contributed, missing) =
            self.shard_numbers().partition(|s| self.shards[usize::from(s.0)].merged);
        Coverage { shards: self.shards.len(), contributed, missing }
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
            Reason::GoalReached => {
                format!("Entry \"{entry}\": {got} of {all} shards answered within the goal")
            }
            _ => format!("Entry \"{entry}\": {got} of {all} shards answered within the deadline"),
        }
    }
}

impl Query {
    /// Returns the caller's answer and moves the hits out of the query. An answer that is not
    /// complete carries a refusal with `retry_after`, or with the excess wait of an overloaded
    /// query, which is a better estimate.
    pub fn take_answer(&mut self, retry_after: Duration) -> QueryAnswer {
        let coverage = self.coverage();
        let outcome = self.take_outcome();
        let kind = outcome.kind;
        let shows_hits = matches!(kind, OutcomeKind::Complete | OutcomeKind::Partial);
        let hits = if shows_hits { self.best_hits(outcome.parts) } else { Vec::new() };
        let refusal = (kind != OutcomeKind::Complete).then(|| Refusal {
            reason: outcome.reason,
            message: self.message(outcome.reason, &coverage),
            retry_after: Some(outcome.excess_wait.unwrap_or(retry_after)),
        });
        QueryAnswer {
            outcome: kind,
            query: Some(self.plan.id),
            entry: Some(self.plan.entry.name.clone()),
            index: Some(self.plan.entry.index.clone()),
            version: Some(outcome.version),
            coverage,
            hits,
            refusal,
        }
    }

    /// Returns the hits with the highest scores, at most as many as the plan allows, best first.
    /// Equal scores are ordered by id.
    fn best_hits(&self, parts: Vec<(ShardNo, Vec<Hit>)>) -> Vec<Hit> {
        let mut hits: Vec<Hit> = parts.into_iter().flat_map(|(_, hits)| hits).collect();
        let by_rank = |a: &Hit, b: &Hit| b.score.total_cmp(&a.score).then_with(|| a.id.cmp(&b.id));
        if hits.len() > self.plan.hits && self.plan.hits > 0 {
            hits.select_nth_unstable_by(self.plan.hits - 1, by_rank);
        }
        hits.truncate(self.plan.hits);
        hits.sort_unstable_by(by_rank);
        hits
    }
}
