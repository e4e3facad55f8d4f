//! Records what a call to a leaf shows: in the leaf's estimates, the reports to other hosts, the crash
//! detector, the counters and the log.

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::admission_queue::CallEnd;
use crate::backend::BackendError;
use crate::call::Call;
use crate::call_reports::CallOutcome;
use crate::crash_detector::LeafCheck;
use crate::crash_detector::UnansweredCall;
use crate::error_text::with_sources;
use crate::events::Event;
use crate::leaf_pace::CallQuality;
use crate::leaf_protocol::LeafReply;
use crate::leaf_protocol::LeafStatus;
use crate::limit_records;
use crate::load_records;
use crate::log_event;
use crate::notice_records;

impl<P: Send + 'static> Call<P> {
    /// Records that the leaf ran the request and answered. Only the first answer to a request is of
    /// interest.
    pub(crate) fn record_run(&self, now: Instant) {
        let Some(fingerprint) = self.cx.crash_detector_fingerprint else { return };
        if !self.cx.answered.swap(true, Ordering::Relaxed) {
            self.cx.tier.record_answered_request(fingerprint, now);
        }
    }

    /// Returns whether a leaf has run the request and answered.
    pub(crate) fn was_answered(&self) -> bool {
        self.cx.answered.load(Ordering::Relaxed)
    }

    /// Records this call as unanswered, unless another leaf has answered the request.
    pub(crate) fn track_unanswered(&self, started_at: Instant, check: LeafCheck, now: Instant) {
        let Some(fingerprint) = self.cx.crash_detector_fingerprint else { return };
        // A zone may be evacuated because its leafs are about to end.
        if self.was_answered() || self.leaf.is_evacuated() {
            return;
        }
        let call = UnansweredCall {
            fingerprint,
            leaf: self.leaf.key,
            leaf_hash: self.leaf.hash,
            started_at,
            was_probe: self.send.is_probe,
        };
        self.cx.tier.track_unanswered_call(call, check, now);
    }

    /// Logs a call that ended without a usable reply, with its purpose and the cause.
    pub(crate) fn log_lost_call(
        &self,
        event: Event,
        cause: &dyn std::fmt::Display,
        elapsed: Duration,
    ) {
        log_event!(
            info,
            event,
            request = self.cx.request.as_deref(),
            fingerprint = self.cx.crash_detector_fingerprint.map(|f| f.to_string()),
            shard = self.send.call.shard.0,
            leaf = self.leaf.host.name.as_str(),
            addr = %self.leaf.host.addr,
            purpose = ?self.send.purpose,
            elapsed_ms = elapsed.as_millis() as u64,
            cause = %cause
        );
    }

    /// Queues the call's outcome for the report to the other hosts of the zone.
    pub(crate) fn report_outcome(&self, outcome: CallOutcome) {
        if !self.leaf.is_evacuated() {
            self.cx.tier.queue_call_report(&self.leaf, outcome);
        }
    }

    /// Records the rate limit that the leaf names in its reply.
    pub(crate) fn record_named_limit(&self, reply: &LeafReply<P>, now: Instant) {
        // A misdirected call was answered by another leaf.
        if reply.status != LeafStatus::Misdirected {
            limit_records::record_named(&self.cx.tier, &self.leaf, &reply.limit, now);
        }
    }

    /// Records what the leaf says in its reply about taking further calls.
    pub(crate) fn record_notice(&self, reply: &LeafReply<P>, now: Instant) {
        if reply.status != LeafStatus::Misdirected {
            notice_records::record_notice(&self.cx.tier, &self.leaf, &reply.notice, now);
        }
    }

    /// Records the load that the leaf states in its reply.
    pub(crate) fn record_load(&self, reply: &LeafReply<P>, now: Instant) {
        if reply.status != LeafStatus::Misdirected {
            load_records::record_stated(&self.cx.tier, &self.leaf, &reply.load, now);
        }
    }

    /// Updates the leaf's estimates, the latencies and the counters according to the reply's
    /// status. Returns how the call affects the congestion window.
    pub(crate) fn record_reply(
        &self,
        reply: &LeafReply<P>,
        elapsed: Duration,
        now: Instant,
    ) -> CallEnd {
        if reply.status != LeafStatus::Ok {
            let cause = format!("Leaf replied with status {:?}", reply.status);
            self.log_lost_call(Event::CallLost, &cause, elapsed);
        }
        let usual = self.usual_latency();
        let mut state = self.leaf.state();
        match reply.status {
            LeafStatus::Shed | LeafStatus::Failed if reply.notice.names_pause() => {
                state.estimates.record_paused();
                self.cx.tier.counters.sheds.increment();
                return CallEnd::Other;
            }
            LeafStatus::Shed => {
                state.estimates.record_shed(now);
                state.pace.record_call(CallQuality::Failed, now);
                self.report_outcome(CallOutcome::Failed);
                self.cx.tier.counters.sheds.increment();
                return CallEnd::Shed;
            }
            LeafStatus::Draining => {
                state.estimates.record_draining(now);
                drop(state);
                self.cx.tier.mark_leaf_draining(self.leaf.key);
                return CallEnd::Other;
            }
            LeafStatus::Misdirected => {
                state.estimates.record_misdirected(now);
                drop(state);
                self.log_lost_call(
                    Event::LeafMisdirected,
                    &"Another leaf replied at this address",
                    elapsed,
                );
                return CallEnd::Other;
            }
            LeafStatus::VersionUnavailable | LeafStatus::Expired | LeafStatus::Cancelled => {
                return CallEnd::Other;
            }
            LeafStatus::Failed => {
                state.estimates.record_failure(now);
                state.pace.record_call(CallQuality::Failed, now);
                self.report_outcome(CallOutcome::Failed);
            }
            LeafStatus::Ok => {
                state.estimates.record_answer(elapsed, reply.queued, now);
                state.pace.record_call(CallQuality::of_answer(elapsed, usual), now);
                self.report_outcome(CallOutcome::Answered(elapsed));
            }
        }
        drop(state);
        self.record_latency(elapsed, now);
        CallEnd::Answered
    }

    pub(crate) fn record_unanswered_call(&self, elapsed: Duration, now: Instant) {
        let usual = self.usual_latency();
        let mut state = self.leaf.state();
        state.estimates.record_unanswered(elapsed, now);
        // A call that was cancelled early shows nothing.
        if CallQuality::of_answer(elapsed, usual) == CallQuality::Slow {
            state.pace.record_call(CallQuality::Slow, now);
        }
        drop(state);
        self.record_latency(elapsed, now);
    }

    /// Records that the leaf replied with bytes that match no call.
    pub(crate) fn record_failure(&self, now: Instant) {
        let mut state = self.leaf.state();
        state.estimates.record_failure(now);
        state.pace.record_call(CallQuality::Failed, now);
        drop(state);
        self.report_outcome(CallOutcome::Failed);
    }

    /// Returns the median latency of calls to leafs at this distance, if it is known.
    fn usual_latency(&self) -> Option<Duration> {
        let work = self.cx.latency.lock().unwrap().median()?;
        Some(work + self.cx.tier.zone_rtts.lock().unwrap().get(&self.leaf.host.zone))
    }

    /// Records the processing time: the elapsed time without the network round trip.
    pub(crate) fn record_latency(&self, elapsed: Duration, now: Instant) {
        let rtt = self.cx.tier.zone_rtts.lock().unwrap().get(&self.leaf.host.zone);
        let processing_time = elapsed.saturating_sub(rtt);
        self.cx.latency.lock().unwrap().record(processing_time, now);
    }

    pub(crate) fn record_lost_call(&self, error: &BackendError, elapsed: Duration) {
        self.log_lost_call(Event::CallLost, &with_sources(error), elapsed);
        let counters = &self.cx.tier.counters;
        if !error.proves_not_sent() {
            counters.broken.increment();
        }
        let now = Instant::now();
        self.report_outcome(if error.shows_connection_overflow() {
            CallOutcome::Crowded
        } else {
            CallOutcome::Failed
        });
        let mut state = self.leaf.state();
        let ejected = if error.is_refused() {
            state.record_refused_connection(now)
        } else if error.shows_connection_overflow() {
            state.estimates.record_connection_overflow(now);
            false
        } else {
            state.record_loss(now)
        };
        drop(state);
        if ejected {
            counters.ejections.increment();
            Event::LeafEjected.warn(&format!("Leaf {}: {error}", self.leaf.host.name));
        }
    }
}
