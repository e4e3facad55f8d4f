//! Server side of relays: runs leaf calls for other hosts and streams their outcomes.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use serde_json::value::RawValue;
use tokio::sync::mpsc;
use xitca_web::body::Body;
use xitca_web::body::Frame;

use crate::call::Call;
use crate::call_context::ANY_IDLE_TIME;
use crate::call_context::CallContext;
use crate::call_context::CallControl;
use crate::call_context::CallEvent;
use crate::caller_shares::Standing;
use crate::daemon::Daemon;
use crate::exchange::check_addressee;
use crate::ids::LeafName;
use crate::leaf::Leaf;
use crate::leaf_protocol::CallId;
use crate::leaf_protocol::Hit;
use crate::leaf_protocol::LeafAnswer;
use crate::peer_protocol::ProtocolError;
use crate::peer_protocol::RelayCancel;
use crate::peer_protocol::RelayEnd;
use crate::peer_protocol::RelayFrame;
use crate::peer_protocol::RelayQuery;
use crate::peer_protocol::RelayRequest;
use crate::peer_protocol::encode;
use crate::plan::CallLoss;
use crate::plan::Purpose;
use crate::plan::SendCall;
use crate::relay::Route;
use crate::relay_link::with_length;
use crate::search_codec::CallSpec;
use crate::search_codec::SearchCodec;

/// Calls of one relay request. It is dropped when its stream ends or the client disconnects, which
/// cancels the calls that are still running.
struct Batch {
    daemon: Arc<Daemon>,
    calls: Vec<CallId>,
}

impl Drop for Batch {
    fn drop(&mut self) {
        self.daemon.relayed.cancel(&self.calls);
        let mut controls = self.daemon.relayed.controls.lock().unwrap();
        for call in &self.calls {
            controls.remove(call);
        }
    }
}

/// HTTP body that streams the outcomes of a batch.
pub struct RelayBody {
    frames: mpsc::UnboundedReceiver<Bytes>,
    _batch: Batch,
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.frames.poll_recv(cx).map(|frame| frame.map(|bytes| Ok(Frame::Data(bytes))))
    }
}

impl Daemon {
    /// Starts a batch of calls for another host and returns the body with their outcomes. Fails if
    /// the request is not authentic, does not decode or is meant for another host.
    pub fn serve_relay(
        self: &Arc<Self>,
        body: &[u8],
        signature: &str,
    ) -> Result<RelayBody, ProtocolError> {
        let req: RelayRequest = self.verify_and_decode(body, signature)?;
        check_addressee(req.version, Some(&req.to), &self.settings.host)?;
        let now = Instant::now();
        let (frames_tx, frames) = mpsc::unbounded_channel();
        let mut batch = Batch { daemon: self.clone(), calls: Vec::new() };
        for query in req.queries {
            self.start_calls(query, req.nonce, &frames_tx, &mut batch, now);
        }
        Ok(RelayBody { frames, _batch: batch })
    }

    /// Starts the calls of one query, which belong to `batch`. Calls that cannot be run are
    /// reported as not sent.
    fn start_calls(
        self: &Arc<Self>,
        query: RelayQuery,
        nonce: u64,
        frames: &mpsc::UnboundedSender<Bytes>,
        batch: &mut Batch,
        now: Instant,
    ) {
        let (events_tx, events) = mpsc::unbounded_channel();
        let ids: Vec<_> = query.call_ids().collect();
        tokio::spawn(send_outcomes(self.clone(), events, nonce, frames.clone()));
        let Some(cx) = self.relay_context(&query, events_tx.clone(), now) else {
            ids.iter().for_each(|&call| report_not_sent(&events_tx, call));
            return;
        };
        for (call, id) in query.calls.iter().zip(ids) {
            let Some(leaf) = self.directly_called_leaf(&call.leaf) else {
                report_not_sent(&events_tx, id);
                continue;
            };
            if !leaf.state().limiter.admits(cx.class, Purpose::First, 0, now) {
                report_not_sent(&events_tx, id);
                continue;
            }
            let control = Arc::new(CallControl::default());
            self.relayed.controls.lock().unwrap().insert(id, control.clone());
            batch.calls.push(id);
            let (purpose, cost) = (Purpose::First, Duration::ZERO);
            let (is_probe, repeats_leaf) = (false, false);
            let send = SendCall { call: id, leaf: leaf.key, purpose, cost, is_probe, repeats_leaf };
            tokio::spawn(Call::new(cx.clone(), leaf, send, control, now).run());
        }
    }

    /// Returns the context of a query's calls, or nothing if this process takes no requests in its
    /// present phase or the parameters are not JSON.
    fn relay_context(
        &self,
        query: &RelayQuery,
        events: mpsc::UnboundedSender<CallEvent<Vec<Hit>>>,
        now: Instant,
    ) -> Option<Arc<CallContext<Vec<Hit>>>> {
        // A process that is leaving, or has just resumed after a pause, runs no calls of others
        // either.
        self.lifecycle.begin_request(now).ok()?;
        let spec = CallSpec {
            index: query.index.clone(),
            kind: query.kind.clone(),
            class: query.class,
            idempotent: query.idempotent,
        };
        let params = RawValue::from_string(query.params.clone()).ok()?;
        Some(Arc::new(CallContext {
            tier: self.tier.clone(),
            is_idempotent: spec.idempotent,
            codec: Arc::new(SearchCodec { spec, params }),
            class: query.class,
            standing: Standing::Within,
            relayed: None,
            request: None,
            crash_detector_fingerprint: None,
            max_idle: ANY_IDLE_TIME,
            charge: None,
            latency: self.tier.latency_tracker(&query.index, now),
            deadline: now + Duration::from_millis(query.remaining_ms),
            answered: AtomicBool::new(false),
            events,
        }))
    }

    /// Returns a leaf that this host may call directly. Returns nothing if the leaf is not listed
    /// or this host is not a relay of it, which happens when the client has another host list.
    fn directly_called_leaf(&self, name: &LeafName) -> Option<Arc<Leaf>> {
        let view = self.tier.view();
        let leaf = view.leafs.get(view.hosts.leaf_key(name)?)?;
        matches!(leaf.route(), Route::Direct(_)).then(|| leaf.clone())
    }

    /// Cancels calls that this host runs for another one. The reply is empty.
    pub fn cancel_relayed(&self, body: &[u8], signature: &str) -> Result<Vec<u8>, ProtocolError> {
        let req: RelayCancel = self.verify_and_decode(body, signature)?;
        check_addressee(req.version, Some(&req.to), &self.settings.host)?;
        self.relayed.cancel(&req.calls);
        Ok(Vec::new())
    }
}

fn report_not_sent(events: &mpsc::UnboundedSender<CallEvent<Vec<Hit>>>, call: CallId) {
    // The receiver is dropped once the client has disconnected.
    let _ = events.send(CallEvent::Lost(call, CallLoss::NotSent));
}

/// Streams the outcomes of one query's calls until all have ended or the client has disconnected.
async fn send_outcomes(
    daemon: Arc<Daemon>,
    mut events: mpsc::UnboundedReceiver<CallEvent<Vec<Hit>>>,
    nonce: u64,
    frames: mpsc::UnboundedSender<Bytes>,
) {
    while let Some(event) = events.recv().await {
        let (call, outcome) = match event {
            CallEvent::Answered(call, answer) => {
                let json =
                    serde_json::to_vec(&LeafAnswer::from(answer)).expect("message types serialise");
                (call, RelayEnd::Answered { json })
            }
            CallEvent::Lost(call, CallLoss::NotSent) => (call, RelayEnd::NotSent),
            CallEvent::Lost(call, CallLoss::NoSlot) => (call, RelayEnd::NoSlot),
            CallEvent::Lost(call, CallLoss::Broken) => (call, RelayEnd::Broken),
            CallEvent::Lost(call, CallLoss::Garbled) => (call, RelayEnd::Garbled),
        };
        daemon.relayed.controls.lock().unwrap().remove(&call);
        let frame = RelayFrame::signed(&daemon.peers.keys, nonce, call, outcome);
        if frames.send(with_length(&encode(&frame)).into()).is_err() {
            return;
        }
    }
}
