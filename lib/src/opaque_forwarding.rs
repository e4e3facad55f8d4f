//! Decides whether a request that this host could not serve is passed on to another one, and passes
//! it on.

use std::time::Duration;
use std::time::Instant;

use crate::answer::OutcomeKind;
use crate::answer::Reason;
use crate::events::Event;
use crate::feasibility::Obstacle;
use crate::log_event;
use crate::opaque::LeafResponse;
use crate::opaque::OpaqueAnswer;
use crate::opaque_answer::answer_status;
use crate::opaque_coordinator::Ended;
use crate::opaque_coordinator::OpaqueCoordinator;
use crate::opaque_coordinator::Run;
use crate::opaque_coordinator::Unreached;
use crate::query_outcome::Outcome;
use crate::request_forwarder::ForwardOutcome;
use crate::request_forwarder::Forwarding;

/// Time for which no request is passed on after another host could not serve one either.
const NO_FORWARDING_TIME: Duration = Duration::from_secs(1);

/// Longest time for which a request that was not served waits until it is decided whether this host
/// is cut off.
const DOUBT_TIME: Duration = Duration::from_millis(130);

impl OpaqueCoordinator {
    /// Waits until it is decided whether this host is cut off, if that is in doubt.
    pub(crate) async fn wait_until_cut_is_decided(&self) {
        if self.tier.reach.lock().unwrap().is_refused_by_several() {
            let mut cut_off = self.tier.cut_off.subscribe();
            // After this time, the host counts as not cut off.
            let _ = tokio::time::timeout(DOUBT_TIME, cut_off.wait_for(|cut_off| *cut_off)).await;
        }
    }

    /// Returns whether a request was not served because this host does not reach the leafs, and may
    /// still be served by another one.
    pub(crate) fn is_unreached(&self, ended: &Ended, run: &Run) -> bool {
        let entry = &run.admitted.entry.entry;
        let now = Instant::now();
        let is_cut_off = self.tier.is_cut_off();
        let may_forward = || {
            let no_forwarding_until = self.no_forwarding_until.lock().unwrap();
            no_forwarding_until.get(&run.admitted.entry.homes).is_none_or(|&until| now >= until)
        };
        let may_pass_on = now < run.admitted.deadline
            && ended.arrived_calls < entry.attempts
            && (is_cut_off || may_forward());
        let has_no_leaf = ended.outcome.reason == Reason::ReplicasLost && ended.arrived_calls == 0;
        may_pass_on
            && match ended.outcome.kind {
                OutcomeKind::Complete | OutcomeKind::Partial => false,
                OutcomeKind::NotRun => is_cut_off || has_no_leaf,
                OutcomeKind::Unknown => is_cut_off && entry.idempotent,
            }
    }

    /// Passes a request on to another host.
    pub(crate) async fn forward(
        &self,
        run: &Run,
        unreached: Unreached,
    ) -> Result<OpaqueAnswer, Unreached> {
        let Some(forwarder) = self.forwarder.get() else { return Err(unreached) };
        let entry = &run.admitted.entry.entry;
        let forwarding = Forwarding {
            req: &run.req,
            idempotent: entry.idempotent,
            arrived_at: run.arrived_at,
            deadline: run.admitted.deadline,
            homes: &run.admitted.entry.homes,
            attempts: (entry.attempts as u32).saturating_sub(unreached.spent_attempts),
        };
        let outcome = tokio::select! {
            biased;
            outcome = forwarder.forward(forwarding) => outcome,
            () = self.tier.shutdown.ended() => ForwardOutcome::AnswerLost,
        };
        let is_served = match &outcome {
            ForwardOutcome::Answered(answer) => answer_status(answer).is_success(),
            ForwardOutcome::NotTaken | ForwardOutcome::AnswerLost => false,
        };
        if !is_served && !self.tier.is_cut_off() {
            let now = Instant::now();
            let mut no_forwarding_until = self.no_forwarding_until.lock().unwrap();
            no_forwarding_until.retain(|_, until| now < *until);
            no_forwarding_until.insert(run.admitted.entry.homes.clone(), now + NO_FORWARDING_TIME);
        }
        match outcome {
            ForwardOutcome::Answered(answer) => {
                self.record_forwarded(run, &answer);
                Ok(answer)
            }
            ForwardOutcome::NotTaken => Err(unreached),
            ForwardOutcome::AnswerLost => Err(Unreached { not_run: false, ..unreached }),
        }
    }

    /// Counts and logs the end of a request that no host has answered.
    pub(crate) fn record_unreached(&self, run: &Run, unreached: &Unreached) {
        let kind = if unreached.not_run { OutcomeKind::NotRun } else { OutcomeKind::Unknown };
        let elapsed = run.arrived_at.elapsed();
        let entry = run.admitted.entry.entry.name.as_str();
        self.tier.counters.count_outcome(kind);
        self.metrics.record_answer(entry, kind, elapsed);
        log_event!(
            info,
            Event::RequestAnswered,
            request = run.req.id.to_str().unwrap_or_default(),
            entry,
            outcome = ?kind,
            reason = ?Reason::ReplicasLost,
            elapsed_ms = elapsed.as_millis() as u64
        );
    }

    /// Counts and logs a request that was not expected to be answered in time.
    pub(crate) fn record_infeasible(
        &self,
        run: &Run,
        obstacle: Obstacle,
        outcome: &Outcome<LeafResponse>,
    ) {
        let counters = &self.tier.counters;
        match obstacle {
            Obstacle::BusyLeafs => counters.refused_busy_leafs.increment(),
            Obstacle::SlowHost => counters.refused_slow_host.increment(),
            Obstacle::UnsentCalls => counters.ended_unsent.increment(),
        }
        let left = run.admitted.deadline.saturating_duration_since(Instant::now());
        log_event!(
            info,
            Event::RequestInfeasible,
            request = run.req.id.to_str().unwrap_or_default(),
            entry = run.admitted.entry.entry.name.as_str(),
            cause = ?obstacle,
            merged = outcome.parts.len(),
            shards = outcome.shards,
            late_ms = outcome.excess_wait.unwrap_or_default().as_millis() as u64,
            left_ms = left.as_millis() as u64
        );
    }

    fn record_forwarded(&self, run: &Run, answer: &OpaqueAnswer) {
        let (status, elapsed) = (answer_status(answer), run.arrived_at.elapsed());
        let entry = run.admitted.entry.entry.name.as_str();
        let kind = if status.is_success() { OutcomeKind::Complete } else { OutcomeKind::Unknown };
        self.metrics.record_answer(entry, kind, elapsed);
        log_event!(
            info,
            Event::RequestForwarded,
            request = run.req.id.to_str().unwrap_or_default(),
            entry,
            status = status.as_u16(),
            elapsed_ms = elapsed.as_millis() as u64
        );
    }
}
