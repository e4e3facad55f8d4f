//! One leaf call: waits for a slot, takes a connection, exchanges, and charges the effort.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::Response;
use tokio::sync::oneshot;

use crate::admission_queue::Admission;
use crate::admission_queue::CallEnd;
use crate::backend::BackendError;
use crate::backend::LeafConnection;
use crate::call_context::ANY_IDLE_TIME;
use crate::call_context::CallContext;
use crate::call_context::CallControl;
use crate::call_context::CallEvent;
use crate::call_context::ChargeTo;
use crate::call_reports::CallOutcome;
use crate::error_text::with_sources;
use crate::events::Event;
use crate::held_connection::HeldConnection;
use crate::held_connection::open_connection;
use crate::leaf::Leaf;
use crate::leaf_codec::OutgoingCall;
use crate::leaf_protocol::LeafReply;
use crate::leaf_protocol::LeafStatus;
use crate::ledger::Charge;
use crate::ledger::Effort;
use crate::log_event;
use crate::peer_protocol::RelayEnd;
use crate::plan::CallLoss;
use crate::plan::SendCall;
use crate::pool::Acquired;
use crate::relay::RelayHost;
use crate::relay::Route;
use crate::relay_link::RelayOutcome;
use crate::relay_link::RelayedCall;
use crate::tier::CONNECT_TIMEOUT;

/// How long a cancelled call may still answer before its connection is closed.
const CANCEL_GRACE: Duration = Duration::from_millis(300);

/// One call in progress.
pub struct Call<P> {
    /// What it has in common with the query's other calls.
    pub cx: Arc<CallContext<P>>,
    /// The leaf.
    pub leaf: Arc<Leaf>,
    /// What to send.
    pub send: SendCall,
    /// Cancels the call.
    pub control: Arc<CallControl>,
}

/// How a call that had a slot ended.
enum Ended<P> {
    /// Withdrawn by its owner; nobody waits for it.
    Withdrawn,
    Lost(CallLoss, Effort),
    Answered(LeafReply<P>),
}

impl<P: Send + 'static> Call<P> {
    /// Runs the call to its end.
    pub async fn run(self) {
        let ended = match self.wait_for_slot().await {
            Ok(()) => self.run_in_slot().await,
            Err(ended) => ended,
        };
        self.tell(ended);
    }

    fn tell(&self, ended: Ended<P>) {
        let call = self.send.call;
        let (effort, event) = match ended {
            Ended::Withdrawn => {
                self.cx.tier.counters.withdrawn.increment();
                (Effort::None, CallEvent::Lost(call, CallLoss::NotSent))
            }
            Ended::Lost(loss, effort) => (effort, CallEvent::Lost(call, loss)),
            Ended::Answered(answer) => {
                let effort = answer.effort_us.map_or(Effort::None, Effort::Reported);
                (effort, CallEvent::Answered(call, answer))
            }
        };
        if let Some(ChargeTo { entry, entry_state }) = &self.cx.charge {
            let charge = Charge { purpose: self.send.purpose, effort };
            self.cx.tier.charge(entry, entry_state, charge, Instant::now());
        }
        // The query may be over; its owner no longer listens then.
        let _ = self.cx.events.send(event);
    }

    async fn wait_for_slot(&self) -> Result<(), Ended<P>> {
        let now = Instant::now();
        let (token, mut granted) = oneshot::channel();
        let admission = {
            let mut state = self.leaf.state();
            let service = state.estimates.median_latency();
            state.admission_queue.request_slot(self.cx.class, self.cx.deadline, service, now, token)
        };
        match admission {
            Admission::Admitted => return Ok(()),
            Admission::Refused => return Err(Ended::Lost(CallLoss::NoSlot, Effort::None)),
            Admission::Queued => {}
        }
        tokio::select! {
            result = &mut granted => {
                result.map_err(|_| Ended::Lost(CallLoss::NoSlot, Effort::None))
            }
            () = self.control.cancelled() => {
                granted.close();
                if granted.try_recv().is_ok() {
                    leave(&self.leaf, CallEnd::Other);
                }
                Err(Ended::Withdrawn)
            }
        }
    }

    async fn run_in_slot(&self) -> Ended<P> {
        let (ended, call_end) = match self.leaf.route() {
            Route::Via(relays) => self.run_through(&relays).await,
            Route::Direct(_) => match self.take_connection().await {
                Ok(conn) => self.run_on(conn).await,
                Err(ended) => (ended, CallEnd::Other),
            },
        };
        leave(&self.leaf, call_end);
        ended
    }

    async fn take_connection(&self) -> Result<Box<dyn LeafConnection>, Ended<P>> {
        let not_sent = || Ended::Lost(CallLoss::NotSent, Effort::None);
        match self.leaf.pool.acquire(self.cx.max_idle, Instant::now()) {
            Acquired::Idle(conn) => Ok(conn),
            Acquired::Full => Err(not_sent()),
            Acquired::MayOpen => self.open_connection().await.map_err(|e| {
                self.note_loss(&e, Duration::ZERO);
                not_sent()
            }),
        }
    }

    async fn open_connection(&self) -> Result<Box<dyn LeafConnection>, BackendError> {
        let remaining = self.cx.deadline.saturating_duration_since(Instant::now());
        open_connection(&self.cx.tier, &self.leaf, remaining.min(CONNECT_TIMEOUT)).await
    }

    /// Checks the clock next to the write, since the process may have been paused until now.
    async fn run_on(&self, conn: Box<dyn LeafConnection>) -> (Ended<P>, CallEnd) {
        let now = Instant::now();
        if now >= self.cx.deadline {
            self.leaf.pool.put_back(conn, now);
            return (Ended::Lost(CallLoss::NoSlot, Effort::None), CallEnd::Other);
        }
        if !self.control.begin_write(now) {
            self.leaf.pool.put_back(conn, now);
            return (Ended::Withdrawn, CallEnd::Other);
        }
        self.exchange(conn, now).await
    }

    async fn exchange(
        &self,
        conn: Box<dyn LeafConnection>,
        started: Instant,
    ) -> (Ended<P>, CallEnd) {
        let mut held = HeldConnection { leaf: &self.leaf, conn: Some(conn) };
        self.leaf.state().estimates.record_call_start(self.send.call, started);
        let outgoing = self.outgoing(started);
        let result = self.exchange_or_cancel(held.conn(), &outgoing).await;
        let now = Instant::now();
        self.leaf.state().estimates.record_call_end(self.send.call);
        let elapsed = now.saturating_duration_since(started);
        match result {
            Some(Ok(response)) => match self.cx.codec.reply(&outgoing, response) {
                Ok(mut reply) => {
                    held.put_back();
                    let call_end = self.note_answer(&reply, elapsed, now);
                    let estimate = || (!reply.status.proves_not_run()).then_some(elapsed);
                    let estimate = estimate().map(|time| time.as_micros() as u64);
                    reply.effort_us = reply.effort_us.or(estimate);
                    (Ended::Answered(reply), call_end)
                }
                Err(stray) => {
                    self.cx.tier.counters.strays.increment();
                    self.log_lost(Event::ReplyUnmatched, &stray, elapsed);
                    self.leaf.state().estimates.record_failure(now);
                    self.queue_call_report(CallOutcome::Failed);
                    let effort = Effort::Estimated(elapsed.as_micros() as u64);
                    (Ended::Lost(CallLoss::Garbled, effort), CallEnd::Other)
                }
            },
            Some(Err(e)) => {
                let loss = match self.cx.crash_watch_fingerprint {
                    _ if e.proves_not_sent() => CallLoss::NotSent,
                    None => CallLoss::Broken,
                    Some(fingerprint) => {
                        self.cx.tier.track_broken_connection(self.leaf.key, fingerprint, now);
                        CallLoss::Garbled
                    }
                };
                let effort = match loss {
                    CallLoss::NotSent => Effort::None,
                    _ => Effort::Estimated(elapsed.as_micros() as u64),
                };
                self.note_loss(&e, elapsed);
                (Ended::Lost(loss, effort), CallEnd::Other)
            }
            None => {
                self.note_unanswered(elapsed, now);
                self.leaf.state().estimates.record_loss(now);
                self.queue_call_report(CallOutcome::Failed);
                self.log_lost(Event::CallLost, &"no answer came after it was cancelled", elapsed);
                let effort = Effort::Estimated(elapsed.as_micros() as u64);
                (Ended::Lost(CallLoss::Garbled, effort), CallEnd::Other)
            }
        }
    }

    /// Returns nothing when the call was cancelled and the leaf did not answer in time.
    async fn exchange_or_cancel(
        &self,
        conn: &mut Box<dyn LeafConnection>,
        outgoing: &OutgoingCall<'_>,
    ) -> Option<Result<Response<Bytes>, BackendError>> {
        let mut exchange = conn.exchange(self.cx.codec.request(outgoing));
        tokio::select! {
            biased;
            result = &mut exchange => return Some(result),
            () = self.control.cancelled() => {}
        }
        self.cx.tier.counters.cancels.increment();
        let told = self.tell_leaf_to_cancel();
        let answered = tokio::time::timeout(CANCEL_GRACE, &mut exchange);
        let ((), answered) = futures_util::future::join(told, answered).await;
        answered.ok()
    }

    /// Sends the call through a relay, which queues, checks the clock and cancels as this host would.
    async fn run_through(&self, relays: &[RelayHost]) -> (Ended<P>, CallEnd) {
        let started = Instant::now();
        if started >= self.cx.deadline {
            return (Ended::Lost(CallLoss::NoSlot, Effort::None), CallEnd::Other);
        }
        if !self.control.begin_write(started) {
            return (Ended::Withdrawn, CallEnd::Other);
        }
        let Some(search) = &self.cx.relayed else {
            return (Ended::Lost(CallLoss::NotSent, Effort::None), CallEnd::Other);
        };
        let links = &self.cx.tier.relays;
        let item = RelayedCall {
            search: search.clone(),
            call: self.send.call,
            leaf: self.leaf.host.name.clone(),
            deadline: self.cx.deadline,
        };
        let call = links.call(relays, item);
        let mut call = pin!(call);
        let outcome = tokio::select! {
            biased;
            outcome = &mut call => Some(outcome),
            () = self.control.cancelled() => {
                self.cx.tier.counters.cancels.increment();
                self.note_unanswered(started.elapsed(), Instant::now());
                links.cancel(relays, self.send.call).await;
                tokio::time::timeout(CANCEL_GRACE, &mut call).await.ok()
            }
        };
        self.take_relayed(outcome, started)
    }

    fn take_relayed(&self, outcome: Option<RelayOutcome>, started: Instant) -> (Ended<P>, CallEnd) {
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(started);
        let unknown = Effort::Estimated(elapsed.as_micros() as u64);
        let lost = |loss, effort| (Ended::Lost(loss, effort), CallEnd::Other);
        match outcome {
            Some(RelayOutcome::Reported(RelayEnd::Answered { json })) => {
                match self.cx.codec.decode_relayed(&json) {
                    Ok(answer) if answer.call == self.send.call => {
                        let call_end = self.note_answer(&answer, elapsed, now);
                        (Ended::Answered(answer), call_end)
                    }
                    _ => lost(CallLoss::Garbled, unknown),
                }
            }
            Some(RelayOutcome::NotSent | RelayOutcome::Reported(RelayEnd::NotSent)) => {
                lost(CallLoss::NotSent, Effort::None)
            }
            Some(RelayOutcome::Reported(RelayEnd::NoSlot)) => lost(CallLoss::NoSlot, Effort::None),
            Some(RelayOutcome::Reported(RelayEnd::Broken)) => {
                self.leaf.state().estimates.record_loss(now);
                lost(CallLoss::Broken, unknown)
            }
            // A lost relay says nothing about the leaf, and is no strike against the request.
            Some(RelayOutcome::Reported(RelayEnd::Garbled) | RelayOutcome::RelayLost) | None => {
                lost(CallLoss::Garbled, unknown)
            }
        }
    }

    fn outgoing(&self, now: Instant) -> OutgoingCall<'_> {
        let remaining = self.cx.deadline.saturating_duration_since(now);
        OutgoingCall { call: self.send.call, leaf: &self.leaf.host, remaining }
    }

    /// Cancels on another connection, so that this one can be used again. Best effort.
    async fn tell_leaf_to_cancel(&self) {
        let Some(cancellation) = self.cx.codec.cancellation(self.send.call) else { return };
        let conn = match self.leaf.pool.acquire(ANY_IDLE_TIME, Instant::now()) {
            Acquired::Idle(conn) => Some(conn),
            Acquired::MayOpen => self.open_connection().await.ok(),
            Acquired::Full => None,
        };
        let Some(conn) = conn else { return };
        let mut held = HeldConnection { leaf: &self.leaf, conn: Some(conn) };
        let cancel = held.conn().exchange(cancellation);
        if let Ok(Ok(_)) = tokio::time::timeout(CANCEL_GRACE, cancel).await {
            held.put_back();
        }
    }

    /// Logs a call that brought nothing, with what it was for and why.
    fn log_lost(&self, event: Event, cause: &dyn std::fmt::Display, elapsed: Duration) {
        log_event!(
            info,
            event,
            request = self.cx.request.as_deref(),
            shard = self.send.call.shard.0,
            leaf = self.leaf.host.name.as_str(),
            addr = %self.leaf.host.addr,
            purpose = ?self.send.purpose,
            elapsed_ms = elapsed.as_millis() as u64,
            cause = %cause
        );
    }

    fn queue_call_report(&self, seen: CallOutcome) {
        self.cx.tier.queue_call_report(&self.leaf, seen);
    }

    fn note_answer(&self, answer: &LeafReply<P>, elapsed: Duration, now: Instant) -> CallEnd {
        if answer.status != LeafStatus::Ok {
            let cause = format!("the leaf answers {:?}", answer.status);
            self.log_lost(Event::CallLost, &cause, elapsed);
        }
        let mut state = self.leaf.state();
        match answer.status {
            LeafStatus::Shed => {
                state.estimates.record_shed(now);
                self.queue_call_report(CallOutcome::Failed);
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
                self.log_lost(Event::LeafMisdirected, &"another leaf answers", elapsed);
                return CallEnd::Other;
            }
            LeafStatus::VersionUnavailable | LeafStatus::Expired | LeafStatus::Cancelled => {
                return CallEnd::Other;
            }
            LeafStatus::Failed => {
                state.estimates.record_failure(now);
                self.queue_call_report(CallOutcome::Failed);
            }
            LeafStatus::Ok => {
                state.estimates.record_answer(elapsed, answer.queued, now);
                self.queue_call_report(CallOutcome::Answered(elapsed));
            }
        }
        drop(state);
        self.record_latency(elapsed, now);
        CallEnd::Answered
    }

    fn note_unanswered(&self, elapsed: Duration, now: Instant) {
        self.leaf.state().estimates.record_unanswered(elapsed, now);
        self.record_latency(elapsed, now);
    }

    /// Records the time that the leaf took, without the way to it.
    fn record_latency(&self, elapsed: Duration, now: Instant) {
        let distance = self.cx.tier.zone_rtts.lock().unwrap().get(&self.leaf.host.zone);
        let worked = elapsed.saturating_sub(distance);
        self.cx.latency.lock().unwrap().record(worked, now);
    }

    fn note_loss(&self, error: &BackendError, elapsed: Duration) {
        self.log_lost(Event::CallLost, &with_sources(error), elapsed);
        let counters = &self.cx.tier.counters;
        if !error.proves_not_sent() {
            counters.broken.increment();
        }
        let now = Instant::now();
        self.queue_call_report(if error.shows_overflow() {
            CallOutcome::Crowded
        } else {
            CallOutcome::Failed
        });
        let mut state = self.leaf.state();
        let ejected = if error.is_refused() {
            state.estimates.record_refused_connection(now)
        } else if error.shows_overflow() {
            state.estimates.record_connection_overflow(now);
            false
        } else {
            state.estimates.record_loss(now)
        };
        drop(state);
        if ejected {
            counters.ejections.increment();
            Event::LeafEjected.warn(&format!("leaf {}: {error}", self.leaf.host.name));
        }
    }
}

/// Gives a slot back and wakes the waiters that get one.
fn leave(leaf: &Leaf, end: CallEnd) {
    let now = Instant::now();
    let mut admitted = leaf.state().admission_queue.release_slot(end, now);
    while let Some(token) = admitted.pop() {
        if token.send(()).is_err() {
            admitted.extend(leaf.state().admission_queue.release_slot(CallEnd::Other, now));
        }
    }
}
