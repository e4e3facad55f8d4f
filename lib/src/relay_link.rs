//! Client side of relays: sends leaf calls to a relay in batches and reads their outcomes from a
//! stream.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Buf;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::http_client::HttpCall;
use crate::http_client::HttpClient;
use crate::http_client::HttpClientError;
use crate::ids::LeafName;
use crate::leaf_protocol::CallId;
use crate::peer_protocol::PROTOCOL_VERSION;
use crate::peer_protocol::RELAY_CANCEL_PATH;
use crate::peer_protocol::RELAY_PATH;
use crate::peer_protocol::REQUEST_PURPOSE;
use crate::peer_protocol::RelayCall;
use crate::peer_protocol::RelayCancel;
use crate::peer_protocol::RelayEnd;
use crate::peer_protocol::RelayFrame;
use crate::peer_protocol::RelayQuery;
use crate::peer_protocol::RelayRequest;
use crate::peer_protocol::decode;
use crate::peer_protocol::encode;
use crate::relay::RelayHost;
use crate::search_codec::SearchCodec;
use crate::signature::KeyRing;

/// Maximum number of calls in one batch.
const MAX_BATCH: usize = 256;
/// Time after the latest deadline of a batch for which its stream of outcomes is still read.
const BATCH_GRACE: Duration = Duration::from_millis(500);
/// Time for which other relays are preferred to one that could not be reached, refused a batch or
/// did not respond.
const AVOID_TIME: Duration = Duration::from_secs(1);
/// Timeout of a cancellation request.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of bytes of the length before each frame.
pub const FRAME_LENGTH_BYTES: usize = 4;

/// Outcome of a relayed call for the host that sent it to a relay.
#[derive(Debug)]
pub enum RelayOutcome {
    /// The relay reported the outcome.
    Reported(RelayEnd),
    /// The relay could not be reached or refused the batch; the leaf has received no byte of the
    /// call.
    NotSent,
    /// The relay may have received the call, but did not report an outcome; the leaf may have run
    /// it.
    RelayLost,
}

/// Leaf call to be sent through a relay.
pub struct RelayedCall {
    /// Search that the call is part of.
    pub search: Arc<SearchCodec>,
    /// Identifier of the call.
    pub call: CallId,
    /// Name of the leaf to call.
    pub leaf: LeafName,
    /// Time at which the answer becomes useless.
    pub deadline: Instant,
}

/// Call in the queue of a relay, with the channel for its outcome.
struct QueuedCall {
    relayed: RelayedCall,
    outcome_tx: oneshot::Sender<RelayOutcome>,
}

/// Links to all relays used so far, by address.
pub struct RelayLinks {
    client: HttpClient,
    keys: KeyRing,
    links: Mutex<HashMap<SocketAddr, Arc<Link>>>,
}

/// Queue of the calls for one relay, which a task sends in batches.
struct Link {
    relay: RelayHost,
    queue: mpsc::UnboundedSender<QueuedCall>,
    /// Time until which other relays are preferred; absent if the relay has not failed.
    avoid_until: Mutex<Option<Instant>>,
}

impl RelayLinks {
    /// Creates an empty set of links that call relays through `client` and sign requests with
    /// `keys`.
    pub fn new(client: HttpClient, keys: KeyRing) -> Self {
        Self { client, keys, links: Mutex::default() }
    }

    /// Sends a call to one of the leaf's relays and waits for the outcome.
    pub async fn call(
        self: &Arc<Self>,
        relays: &[RelayHost],
        relayed: RelayedCall,
    ) -> RelayOutcome {
        let Some(link) = self.pick_link(relays, relayed.call, Instant::now()) else {
            return RelayOutcome::NotSent;
        };
        let (outcome_tx, outcome) = oneshot::channel();
        let queued = QueuedCall { relayed, outcome_tx };
        if link.queue.send(queued).is_err() {
            return RelayOutcome::NotSent;
        }
        outcome.await.unwrap_or(RelayOutcome::RelayLost)
    }

    /// Sends a cancellation of a call to all relays of its leaf. Failures are ignored.
    pub async fn cancel(&self, relays: &[RelayHost], call: CallId) {
        let cancels = relays.iter().map(|relay| {
            let message = RelayCancel {
                version: PROTOCOL_VERSION,
                to: relay.host.clone(),
                calls: vec![call],
            };
            let body = encode(&message);
            let signature = Some(self.keys.sign(REQUEST_PURPOSE, &body));
            let http = HttpCall::post(relay.addr, RELAY_CANCEL_PATH, body.into(), CANCEL_TIMEOUT);
            self.client.call(HttpCall { signature, ..http })
        });
        futures_util::future::join_all(cancels).await;
    }

    /// Picks a relay by the number of the query, so that queries are spread over the relays.
    /// Prefers relays that have not failed recently.
    fn pick_link(
        self: &Arc<Self>,
        relays: &[RelayHost],
        call: CallId,
        now: Instant,
    ) -> Option<Arc<Link>> {
        let first = call.query.number as usize % relays.len().max(1);
        let links: Vec<_> = relays.iter().map(|relay| self.link(relay)).collect();
        let is_avoided = |link: &Link| link.avoid_until.lock().unwrap().is_some_and(|at| now < at);
        let in_rotation = (0..links.len()).map(|n| &links[(first + n) % links.len()]);
        in_rotation.clone().find(|link| !is_avoided(link)).or(in_rotation.clone().next()).cloned()
    }

    /// Returns the link to a relay. Starts one if there is none or its task has ended.
    fn link(self: &Arc<Self>, relay: &RelayHost) -> Arc<Link> {
        let mut links = self.links.lock().unwrap();
        if let Some(link) = links.get(&relay.addr).filter(|link| !link.queue.is_closed()) {
            return link.clone();
        }
        let (queue, queued_calls) = mpsc::unbounded_channel();
        let avoid_until = Mutex::default();
        let link = Arc::new(Link { relay: relay.clone(), queue, avoid_until });
        links.insert(relay.addr, link.clone());
        tokio::spawn(send_batches(self.clone(), link.clone(), queued_calls));
        link
    }
}

/// Sends the queued calls of a relay. Those that have accumulated go into one batch of at most
/// [`MAX_BATCH`] calls.
async fn send_batches(
    links: Arc<RelayLinks>,
    link: Arc<Link>,
    mut queued_calls: mpsc::UnboundedReceiver<QueuedCall>,
) {
    while let Some(first) = queued_calls.recv().await {
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH
            && let Ok(queued) = queued_calls.try_recv()
        {
            batch.push(queued);
        }
        tokio::spawn(send_batch(links.clone(), link.clone(), batch));
    }
}

/// Sends a batch of calls and reads its outcomes.
async fn send_batch(links: Arc<RelayLinks>, link: Arc<Link>, batch: Vec<QueuedCall>) {
    let now = Instant::now();
    let message = build_request(&link.relay, &batch, now);
    let latest = batch.iter().map(|queued| queued.relayed.deadline).max().unwrap_or(now);
    let mut open: HashMap<CallId, oneshot::Sender<RelayOutcome>> =
        batch.into_iter().map(|queued| (queued.relayed.call, queued.outcome_tx)).collect();
    let limit = latest.saturating_duration_since(now) + BATCH_GRACE;
    let body = encode(&message);
    let signature = Some(links.keys.sign(REQUEST_PURPOSE, &body));
    let call = HttpCall::post(link.relay.addr, RELAY_PATH, body.into(), limit);
    match links.client.call_streaming(HttpCall { signature, ..call }).await {
        Ok(response) if response.status().is_success() => {
            let read = read_frames(&links.keys, message.nonce, response.into_body(), &mut open);
            // Calls that are still open after that end as `RelayLost` when their senders are
            // dropped.
            let _ = tokio::time::timeout(limit, read).await;
        }
        Ok(_) | Err(HttpClientError::Connect { .. }) => {
            *link.avoid_until.lock().unwrap() = Some(now + AVOID_TIME);
            for (_, outcome_tx) in open.drain() {
                // The receiver was dropped if the call was abandoned meanwhile.
                let _ = outcome_tx.send(RelayOutcome::NotSent);
            }
        }
        Err(_) => *link.avoid_until.lock().unwrap() = Some(now + AVOID_TIME),
    }
}

fn build_request(relay: &RelayHost, batch: &[QueuedCall], now: Instant) -> RelayRequest {
    let mut queries: Vec<RelayQuery> = Vec::new();
    for queued in batch {
        let RelayedCall { call: id, leaf, .. } = &queued.relayed;
        let call = RelayCall { attempt: id.attempt, shard: id.shard, leaf: leaf.clone() };
        let is_same_query =
            |query: &RelayQuery| query.query == id.query && query.index_version == id.version;
        match queries.iter_mut().rev().find(|query| is_same_query(query)) {
            Some(query) => query.calls.push(call),
            None => queries.push(relay_query(&queued.relayed, call, now)),
        }
    }
    RelayRequest {
        version: PROTOCOL_VERSION,
        to: relay.host.clone(),
        nonce: rand::random(),
        queries,
    }
}

fn relay_query(relayed: &RelayedCall, first: RelayCall, now: Instant) -> RelayQuery {
    let RelayedCall { call, deadline, .. } = relayed;
    let SearchCodec { spec, params } = &*relayed.search;
    RelayQuery {
        query: call.query,
        index_version: call.version,
        index: spec.index.clone(),
        kind: spec.kind.clone(),
        class: spec.class,
        idempotent: spec.idempotent,
        remaining_ms: deadline.saturating_duration_since(now).as_millis() as u64,
        params: params.get().to_owned(),
        calls: vec![first],
    }
}

/// Reads outcomes until the stream ends, or a frame does not decode or is not signed for this
/// batch.
async fn read_frames(
    keys: &KeyRing,
    nonce: u64,
    mut body: Incoming,
    open: &mut HashMap<CallId, oneshot::Sender<RelayOutcome>>,
) {
    let mut buf = BytesMut::new();
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(data) = frame.into_data() else { continue };
        buf.extend_from_slice(&data);
        while let Some(bytes) = next_frame(&mut buf) {
            let Ok(frame) = decode::<RelayFrame>(&bytes) else { return };
            if !frame.is_signed(keys, nonce) {
                return;
            }
            if let Some(outcome_tx) = open.remove(&frame.call) {
                // The receiver was dropped if the call was abandoned meanwhile.
                let _ = outcome_tx.send(RelayOutcome::Reported(frame.end));
            }
        }
    }
}

/// Splits the next frame off the buffer, or returns nothing if it is incomplete.
fn next_frame(buf: &mut BytesMut) -> Option<BytesMut> {
    let length = buf.get(..FRAME_LENGTH_BYTES)?;
    let length = u32::from_be_bytes(length.try_into().ok()?) as usize;
    if buf.len() < FRAME_LENGTH_BYTES + length {
        return None;
    }
    buf.advance(FRAME_LENGTH_BYTES);
    Some(buf.split_to(length))
}

/// Returns a frame with its length in front.
pub fn with_length(frame: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FRAME_LENGTH_BYTES + frame.len());
    bytes.extend_from_slice(&(frame.len() as u32).to_be_bytes());
    bytes.extend_from_slice(frame);
    bytes
}
