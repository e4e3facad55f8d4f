//! One leaf call: waits for a slot, acquires a connection, sends the call, reads the reply, and
//! charges the effort.

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
use crate::crash_detector::LeafCheck;
use crate::events::Event;
use crate::held_connection::HeldConnection;
use crate::held_connection::check_leaf;
use crate::held_connection::open_connection;
use crate::leaf::Leaf;
use crate::leaf_codec::OutgoingCall;
use crate::leaf_protocol::LeafReply;
use crate::ledger::Charge;
use crate::ledger::Effort;
use crate::notice_records;
use crate::peer_protocol::RelayEnd;
use crate::plan::CallLoss;
use crate::plan::SendCall;
use crate::pool::Acquired;
use crate::relay::RelayHost;
use crate::relay::Route;
use crate::relay_link::RelayOutcome;
use crate::relay_link::RelayedCall;
use crate::tier::CONNECT_TIMEOUT;

/// Time for which a cancelled call may still be answered before its connection is closed, and
/// timeout of the request that cancels it.
const CANCEL_GRACE: Duration = Duration::from_millis(300);

/// Time without an answer after which a call is recorded as unanswered while it still waits for
/// one.
const SILENCE_TIME: Duration = Duration::from_millis(500);

/// One call to a leaf, executed by [`Call::run`].
pub struct Call<P> {
    /// The context shared by the query's calls.
    pub cx: Arc<CallContext<P>>,
    /// The leaf to call.
    pub leaf: Arc<Leaf>,
    /// Identity and purpose of the call.
    pub send: SendCall,
    /// Handle by which the call's owner cancels it: the driver of the query, or the relay service
    /// if another host made the call.
    pub control: Arc<CallControl>,
    /// Whether the call has taken a token of the leaf's rate limit.
    has_token: bool,
}

/// How a call ended.
enum CallResult<P> {
    /// The owner withdrew the call before a byte was written.
    Withdrawn,
    /// The call ended without a usable reply, after this effort.
    Lost(CallLoss, Effort),
    Answered(LeafReply<P>),
}

impl<P: Send + 'static> Call<P> {
    /// Creates a call that is about to run. Takes a token of the leaf's rate limit, which is put
    /// back if no byte of the call is written.
    pub fn new(
        cx: Arc<CallContext<P>>,
        leaf: Arc<Leaf>,
        send: SendCall,
        control: Arc<CallControl>,
        now: Instant,
    ) -> Self {
        let has_token = {
            let mut state = leaf.state();
            state.cold.reserve();
            state.limiter.take(now)
        };
        Self { cx, leaf, send, control, has_token }
    }

    /// Runs the call to its end, charges its effort and sends the result to its owner.
    pub async fn run(self) {
        let call_result = match self.wait_for_slot().await {
            Ok(()) => {
                self.control.record_slot(Instant::now());
                self.execute_in_slot().await
            }
            Err(call_result) => call_result,
        };
        if self.control.written_at().is_none() {
            let mut state = self.leaf.state();
            state.cold.release();
            if self.has_token {
                state.limiter.put_back();
            }
        }
        self.report_end(call_result);
    }

    fn report_end(&self, call_result: CallResult<P>) {
        let call = self.send.call;
        let (effort, event) = match call_result {
            CallResult::Withdrawn => {
                self.cx.tier.counters.withdrawn.increment();
                (Effort::None, CallEvent::Lost(call, CallLoss::NotSent))
            }
            CallResult::Lost(loss, effort) => (effort, CallEvent::Lost(call, loss)),
            CallResult::Answered(reply) => {
                let effort = reply.effort_us.map_or(Effort::None, Effort::Reported);
                (effort, CallEvent::Answered(call, reply))
            }
        };
        if let Some(ChargeTo { entry, entry_state }) = &self.cx.charge {
            let charge = Charge { purpose: self.send.purpose, effort };
            self.cx.tier.charge(entry, entry_state, charge, Instant::now());
        }
        // The send fails if the owner has dropped the receiver, as it does when the query ends.
        let _ = self.cx.events.send(event);
    }

    async fn wait_for_slot(&self) -> Result<(), CallResult<P>> {
        let now = Instant::now();
        let (token, mut granted) = oneshot::channel();
        let admission = {
            let mut state = self.leaf.state();
            if self.leaf.is_evacuated() {
                return Err(CallResult::Lost(CallLoss::NotSent, Effort::None));
            }
            let service = state.estimates.median_latency();
            state.admission_queue.request_slot(
                self.cx.rank(),
                self.cx.deadline,
                service,
                now,
                token,
            )
        };
        match admission {
            Admission::Admitted => return Ok(()),
            Admission::Refused => return Err(CallResult::Lost(CallLoss::NoSlot, Effort::None)),
            Admission::Queued => {}
        }
        tokio::select! {
            result = &mut granted => {
                result.map_err(|_| CallResult::Lost(CallLoss::NoSlot, Effort::None))
            }
            () = self.control.cancelled() => {
                granted.close();
                if granted.try_recv().is_ok() {
                    release_and_admit(&self.leaf, CallEnd::Other);
                }
                Err(CallResult::Withdrawn)
            }
        }
    }

    async fn execute_in_slot(&self) -> CallResult<P> {
        let (call_result, call_end) = match self.leaf.route() {
            Route::Via(relays) => self.call_through_relay(&relays).await,
            Route::Direct(_) if !self.leaf.takes_calls(Instant::now()) => {
                (CallResult::Lost(CallLoss::NotSent, Effort::None), CallEnd::Other)
            }
            Route::Direct(_) => match self.acquire_connection().await {
                Ok(conn) => self.call_on_connection(conn).await,
                Err(call_result) => (call_result, CallEnd::Other),
            },
        };
        release_and_admit(&self.leaf, call_end);
        call_result
    }

    async fn acquire_connection(&self) -> Result<Box<dyn LeafConnection>, CallResult<P>> {
        let not_sent = || CallResult::Lost(CallLoss::NotSent, Effort::None);
        if self.is_crash_probe() {
            // A leaf that was lost before the probe must not count as crashed by it.
            check_leaf(&self.cx.tier, &self.leaf).await.map_err(|e| {
                self.record_lost_call(&e, Duration::ZERO);
                not_sent()
            })?;
        }
        let (max_idle, now) = (self.cx.max_idle, Instant::now());
        let acquired = if self.send.repeats_leaf {
            // A late copy of the earlier response would name the id of this call too.
            self.leaf.pool.acquire_unused(max_idle, now)
        } else {
            self.leaf.pool.acquire(max_idle, now)
        };
        match acquired {
            Acquired::Idle(conn) => Ok(conn),
            Acquired::Full => Err(not_sent()),
            Acquired::MayOpen => self.open_connection().await.map_err(|e| {
                self.record_lost_call(&e, Duration::ZERO);
                not_sent()
            }),
        }
    }

    /// Returns whether this is the probe of a request whose crashes the crash detector finds.
    fn is_crash_probe(&self) -> bool {
        self.send.is_probe && self.cx.crash_detector_fingerprint.is_some()
    }

    async fn open_connection(&self) -> Result<Box<dyn LeafConnection>, BackendError> {
        let remaining = self.cx.deadline.saturating_duration_since(Instant::now());
        open_connection(&self.cx.tier, &self.leaf, remaining.min(CONNECT_TIMEOUT)).await
    }

    /// Sends the call on a connection unless its deadline has passed, the process ends too soon for
    /// it, or the leaf takes no calls any more. All are checked right before the write, since the
    /// process may have been paused until then.
    async fn call_on_connection(&self, conn: Box<dyn LeafConnection>) -> (CallResult<P>, CallEnd) {
        let now = Instant::now();
        if now >= self.cx.deadline {
            self.leaf.pool.put_back(conn, now);
            return (CallResult::Lost(CallLoss::NoSlot, Effort::None), CallEnd::Other);
        }
        let shutdown = &self.cx.tier.shutdown;
        let may_begin = !shutdown.is_started() || shutdown.admits(&self.cx.expected_work(), now);
        if !may_begin || !self.leaf.takes_calls(now) || !self.leaf.state().cold.take_write(now) {
            self.leaf.pool.put_back(conn, now);
            return (CallResult::Lost(CallLoss::NotSent, Effort::None), CallEnd::Other);
        }
        if !self.control.begin_write(now) {
            self.leaf.state().cold.undo_write();
            self.leaf.pool.put_back(conn, now);
            return (CallResult::Withdrawn, CallEnd::Other);
        }
        self.exchange(conn, now).await
    }

    async fn exchange(
        &self,
        conn: Box<dyn LeafConnection>,
        started: Instant,
    ) -> (CallResult<P>, CallEnd) {
        let mut held = HeldConnection { leaf: &self.leaf, conn: Some(conn) };
        {
            let mut state = self.leaf.state();
            state.estimates.record_call_start(self.send.call, started);
            state.limiter.record_sent(self.send.purpose);
        }
        self.cx.tier.reach.lock().unwrap().record_attempt(self.leaf.key, started);
        let outgoing = OutgoingCall {
            call: self.send.call,
            leaf: &self.leaf.host,
            remaining: self.cx.deadline.saturating_duration_since(started),
            is_first_on_connection: held.conn().is_unused(),
        };
        let result = self.exchange_or_cancel(held.conn(), &outgoing, started).await;
        let now = Instant::now();
        self.leaf.state().estimates.record_call_end(self.send.call);
        let elapsed = now.saturating_duration_since(started);
        match &result {
            Some(Ok(_)) => self.cx.tier.record_leaf_contact(now),
            Some(Err(e)) => self.cx.tier.record_failed_connection(self.leaf.key, e, now),
            None => {}
        }
        match result {
            Some(Ok(response)) => match self.cx.codec.decode_reply(&outgoing, response) {
                Ok(mut reply) => {
                    held.put_back();
                    if !reply.status.proves_not_run() {
                        self.record_run(now);
                    }
                    self.record_named_limit(&reply, now);
                    self.record_notice(&reply, now);
                    self.record_load(&reply, now);
                    let call_end = self.record_reply(&reply, elapsed, now);
                    let run_time = || (!reply.status.proves_not_run()).then_some(elapsed);
                    let estimate = run_time().map(|time| time.as_micros() as u64);
                    reply.effort_us = reply.effort_us.or(estimate);
                    (CallResult::Answered(reply), call_end)
                }
                Err(unmatched) => {
                    self.cx.tier.counters.strays.increment();
                    notice_records::record_notice(
                        &self.cx.tier,
                        &self.leaf,
                        &unmatched.notice,
                        now,
                    );
                    self.log_lost_call(Event::ReplyUnmatched, &unmatched, elapsed);
                    self.record_failure(now);
                    let effort = Effort::Estimated(elapsed.as_micros() as u64);
                    (CallResult::Lost(CallLoss::Garbled, effort), CallEnd::Other)
                }
            },
            Some(Err(e)) => {
                let loss = match self.cx.crash_detector_fingerprint {
                    _ if e.proves_not_sent() => CallLoss::NotSent,
                    _ if e.is_endless() => CallLoss::Garbled,
                    None => CallLoss::Broken,
                    Some(_) if self.send.is_probe => CallLoss::Broken,
                    // A leaf that is at its connection limit breaks many new connections.
                    Some(_) if self.was_answered() || e.shows_connection_overflow() => {
                        CallLoss::Garbled
                    }
                    Some(_) => CallLoss::Broken,
                };
                if loss != CallLoss::NotSent {
                    let may_check = self.send.is_probe || !e.shows_connection_overflow();
                    let check = if may_check { LeafCheck::Connect } else { LeafCheck::None };
                    self.track_unanswered(started, check, now);
                }
                let effort = match loss {
                    CallLoss::NotSent => Effort::None,
                    _ => Effort::Estimated(elapsed.as_micros() as u64),
                };
                self.record_lost_call(&e, elapsed);
                (CallResult::Lost(loss, effort), CallEnd::Other)
            }
            None => {
                self.track_unanswered(started, LeafCheck::Connect, now);
                self.record_unanswered_call(elapsed, now);
                self.leaf.state().record_loss(now);
                self.report_outcome(CallOutcome::Failed);
                self.log_lost_call(
                    Event::CallLost,
                    &"No reply within the grace period after the cancellation",
                    elapsed,
                );
                let effort = Effort::Estimated(elapsed.as_micros() as u64);
                (CallResult::Lost(CallLoss::Garbled, effort), CallEnd::Other)
            }
        }
    }

    /// Sends the request and returns its response, or nothing if the call was cancelled and no
    /// response arrived within [`CANCEL_GRACE`] after that.
    async fn exchange_or_cancel(
        &self,
        conn: &mut Box<dyn LeafConnection>,
        outgoing: &OutgoingCall<'_>,
        started: Instant,
    ) -> Option<Result<Response<Bytes>, BackendError>> {
        let mut exchange = conn.exchange(self.cx.codec.encode_request(outgoing));
        let mut cancelled = pin!(self.control.cancelled());
        tokio::select! {
            biased;
            result = &mut exchange => return Some(result),
            () = &mut cancelled => {}
            () = tokio::time::sleep(SILENCE_TIME) => {
                self.track_unanswered(started, LeafCheck::Connect, Instant::now());
                tokio::select! {
                    biased;
                    result = &mut exchange => return Some(result),
                    () = &mut cancelled => {}
                }
            }
        }
        self.cx.tier.counters.cancels.increment();
        let cancellation_sent = self.send_cancellation();
        let answered = tokio::time::timeout(CANCEL_GRACE, &mut exchange);
        let ((), answered) = futures_util::future::join(cancellation_sent, answered).await;
        answered.ok()
    }

    /// Sends the call through a relay host, which queues it, checks its deadline and cancels it in
    /// the same way as this host does for direct calls.
    async fn call_through_relay(&self, relays: &[RelayHost]) -> (CallResult<P>, CallEnd) {
        let started = Instant::now();
        if started >= self.cx.deadline {
            return (CallResult::Lost(CallLoss::NoSlot, Effort::None), CallEnd::Other);
        }
        if !self.control.begin_write(started) {
            return (CallResult::Withdrawn, CallEnd::Other);
        }
        let Some(search) = &self.cx.relayed else {
            return (CallResult::Lost(CallLoss::NotSent, Effort::None), CallEnd::Other);
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
                self.record_unanswered_call(started.elapsed(), Instant::now());
                links.cancel(relays, self.send.call).await;
                tokio::time::timeout(CANCEL_GRACE, &mut call).await.ok()
            }
        };
        self.handle_relay_outcome(outcome, started)
    }

    fn handle_relay_outcome(
        &self,
        outcome: Option<RelayOutcome>,
        started: Instant,
    ) -> (CallResult<P>, CallEnd) {
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(started);
        let estimated_effort = Effort::Estimated(elapsed.as_micros() as u64);
        let lost = |loss, effort| (CallResult::Lost(loss, effort), CallEnd::Other);
        match outcome {
            Some(RelayOutcome::Reported(RelayEnd::Answered { json })) => {
                match self.cx.codec.decode_relayed(&json) {
                    Ok(reply) if reply.call == self.send.call => {
                        self.record_notice(&reply, now);
                        let call_end = self.record_reply(&reply, elapsed, now);
                        (CallResult::Answered(reply), call_end)
                    }
                    _ => lost(CallLoss::Garbled, estimated_effort),
                }
            }
            Some(RelayOutcome::NotSent | RelayOutcome::Reported(RelayEnd::NotSent)) => {
                lost(CallLoss::NotSent, Effort::None)
            }
            Some(RelayOutcome::Reported(RelayEnd::NoSlot)) => lost(CallLoss::NoSlot, Effort::None),
            Some(RelayOutcome::Reported(RelayEnd::Broken)) => {
                self.leaf.state().estimates.record_loss(now);
                lost(CallLoss::Broken, estimated_effort)
            }
            // A lost relay is no evidence about the leaf, and does not make the request suspected.
            Some(RelayOutcome::Reported(RelayEnd::Garbled) | RelayOutcome::RelayLost) | None => {
                lost(CallLoss::Garbled, estimated_effort)
            }
        }
    }

    /// Cancels the call on the leaf by a request on another connection, so that the call's own
    /// connection stays usable. Best effort: errors are ignored.
    async fn send_cancellation(&self) {
        let Some(cancellation) = self.cx.codec.encode_cancellation(self.send.call) else { return };
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
}

/// Releases a slot and notifies the waiting calls that get one. The slot of a call that was
/// cancelled in the meantime is released again.
fn release_and_admit(leaf: &Leaf, end: CallEnd) {
    let now = Instant::now();
    let mut admitted = leaf.state().admission_queue.release_slot(end, now);
    while let Some(token) = admitted.pop() {
        if token.send(()).is_err() {
            admitted.extend(leaf.state().admission_queue.release_slot(CallEnd::Other, now));
        }
    }
}
