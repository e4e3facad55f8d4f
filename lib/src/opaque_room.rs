//! Decides for each request of a caller whether it may run on another host of the zone, and has it
//! passed on.

use std::time::Instant;

use crate::answer::OutcomeKind;
use crate::events::Event;
use crate::log_event;
use crate::opaque::OpaqueAnswer;
use crate::opaque_answer::answer_status;
use crate::opaque_catalogue::Target;
use crate::opaque_coordinator::OpaqueCoordinator;
use crate::opaque_coordinator::Run;
use crate::opaque_coordinator::Source;
use crate::opaque_coordinator::Unreached;
use crate::plan::Suspicion;
use crate::request_forwarder::Forwarding;
use crate::room_choice::Work;
use crate::room_choice::may_stay_in_zone;
use crate::room_forwarding::RoomOutcome;

impl OpaqueCoordinator {
    /// Has a request that has not started answered by a faster host of the zone, if one is expected
    /// to answer it clearly sooner.
    pub(crate) async fn place(&self, run: &Run) -> RoomOutcome {
        let here = RoomOutcome::RunHere { spent_attempts: 0, not_run: true };
        let Some(forwarder) = self.room_forwarder.get() else { return here };
        let Some(catalogue) = run.view.catalogue.as_ref() else { return here };
        if !self.may_pass_on(run) {
            return here;
        }
        let entry = &run.admitted.entry.entry;
        let forwarding = Forwarding {
            req: &run.req,
            idempotent: entry.idempotent,
            arrived_at: run.arrived_at,
            deadline: run.admitted.deadline,
            attempts: entry.attempts as u32,
            homes: &run.admitted.entry.homes,
        };
        let work = Work::of_entry(&run.admitted.entry);
        let sent_at = Instant::now();
        let outcome = tokio::select! {
            biased;
            outcome = forwarder.forward_for_room(forwarding, work, catalogue.version) => outcome,
            () = self.tier.shutdown.ended() => RoomOutcome::AnswerLost,
        };
        if let RoomOutcome::Answered(answer) = &outcome {
            self.record_passed_on(run, answer, sent_at);
        }
        outcome
    }

    /// Returns whether a request may run on another host of the zone.
    fn may_pass_on(&self, run: &Run) -> bool {
        let entry = &run.admitted.entry;
        run.source == Source::Caller
            && entry.entry.idempotent
            && matches!(entry.target, Target::All(_))
            && run.admitted.suspicion == Suspicion::Clear
            && may_stay_in_zone(entry, self.tier.identity.zone.as_str(), &run.view.places)
    }

    /// Records the end of a request that may have run on another host, whose answer was lost.
    pub(crate) fn lose_answer(&self, run: &Run) -> Unreached {
        let spent_attempts = run.admitted.entry.entry.attempts as u32;
        let lost = Unreached { spent_attempts, not_run: false };
        self.record_unreached(run, &lost);
        lost
    }

    fn record_passed_on(&self, run: &Run, answer: &OpaqueAnswer, sent_at: Instant) {
        let (status, elapsed) = (answer_status(answer), run.arrived_at.elapsed());
        let entry = run.admitted.entry.entry.name.as_str();
        let kind = if status.is_success() { OutcomeKind::Complete } else { OutcomeKind::Unknown };
        self.tier.counters.passed_on.increment();
        self.metrics.record_answer(entry, kind, elapsed);
        log_event!(
            info,
            Event::RequestPassedOn,
            request = run.req.id.to_str().unwrap_or_default(),
            entry,
            status = status.as_u16(),
            there_ms = sent_at.elapsed().as_millis() as u64,
            elapsed_ms = elapsed.as_millis() as u64
        );
    }
}
