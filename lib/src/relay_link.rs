//! The calling side of relays: batches leaf calls to one relay and takes in their ends as they come.

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

/// The most calls in one batch.
const MAX_BATCH: usize = 256;
/// Time beyond the latest deadline of a batch in which its ends are still taken in.
const BATCH_GRACE: Duration = Duration::from_millis(500);
/// Time for which a relay that could not be reached is not tried first.
const AVOID_TIME: Duration = Duration::from_secs(1);
/// Time allowed for a cancellation.
const CANCEL_LIMIT: Duration = Duration::from_millis(300);
/// Bytes of the length before each frame.
pub const FRAME_LENGTH_BYTES: usize = 4;

/// How a relayed call ended, as far as this side knows.
#[derive(Debug)]
pub enum RelayOutcome {
    /// The relay told its end.
    Reported(RelayEnd),
    /// The relay could not be reached; no byte of the call was written.
    NotSent,
    /// The relay took the call and was lost; nothing is known.
    RelayLost,
}

/// A call that goes through a relay.
pub struct RelayedCall {
    /// What is searched.
    pub search: Arc<SearchCodec>,
    /// The call's identity.
    pub call: CallId,
    /// The leaf.
    pub leaf: LeafName,
    /// When the answer is of no more use.
    pub deadline: Instant,
}

/// A call on its way to a relay.
struct Item {
    relayed: RelayedCall,
    told: oneshot::Sender<RelayOutcome>,
}

/// Links to all relays that were used so far.
pub struct RelayLinks {
    client: HttpClient,
    keys: KeyRing,
    links: Mutex<HashMap<SocketAddr, Arc<Link>>>,
}

struct Link {
    relay: RelayHost,
    items: mpsc::UnboundedSender<Item>,
    avoid_until: Mutex<Option<Instant>>,
}

impl RelayLinks {
    /// Makes links that call through a client and sign by keys.
    pub fn new(client: HttpClient, keys: KeyRing) -> Self {
        Self { client, keys, links: Mutex::default() }
    }

    /// Sends a call to one of the leaf's relays, and waits for its end.
    pub async fn call(
        self: &Arc<Self>,
        relays: &[RelayHost],
        relayed: RelayedCall,
    ) -> RelayOutcome {
        let Some(link) = self.pick(relays, relayed.call, Instant::now()) else {
            return RelayOutcome::NotSent;
        };
        let (told, end) = oneshot::channel();
        let item = Item { relayed, told };
        if link.items.send(item).is_err() {
            return RelayOutcome::NotSent;
        }
        end.await.unwrap_or(RelayOutcome::RelayLost)
    }

    /// Tells the relays of a leaf to cancel a call. Best effort.
    pub async fn cancel(&self, relays: &[RelayHost], call: CallId) {
        let cancels = relays.iter().map(|relay| {
            let message = RelayCancel {
                version: PROTOCOL_VERSION,
                to: relay.host.clone(),
                calls: vec![call],
            };
            let body = encode(&message);
            let signature = Some(self.keys.sign(REQUEST_PURPOSE, &body));
            let http = HttpCall::post(relay.addr, RELAY_CANCEL_PATH, body.into(), CANCEL_LIMIT);
            self.client.call(HttpCall { signature, ..http })
        });
        futures_util::future::join_all(cancels).await;
    }

    /// Picks a relay by the call, so that one fan-out spreads, and avoids unreachable ones.
    fn pick(
        self: &Arc<Self>,
        relays: &[RelayHost],
        call: CallId,
        now: Instant,
    ) -> Option<Arc<Link>> {
        let first = call.query.number as usize % relays.len().max(1);
        let links: Vec<_> = relays.iter().map(|relay| self.link(relay)).collect();
        let is_avoided = |link: &Link| link.avoid_until.lock().unwrap().is_some_and(|at| now < at);
        let in_turn = (0..links.len()).map(|n| &links[(first + n) % links.len()]);
        in_turn.clone().find(|link| !is_avoided(link)).or(in_turn.clone().next()).cloned()
    }

    fn link(self: &Arc<Self>, relay: &RelayHost) -> Arc<Link> {
        let mut links = self.links.lock().unwrap();
        if let Some(link) = links.get(&relay.addr).filter(|link| !link.items.is_closed()) {
            return link.clone();
        }
        let (items, waiting) = mpsc::unbounded_channel();
        let avoid_until = Mutex::default();
        let link = Arc::new(Link { relay: relay.clone(), items, avoid_until });
        links.insert(relay.addr, link.clone());
        tokio::spawn(send_batches(self.clone(), link.clone(), waiting));
        link
    }
}

/// Sends what waits for a relay, as many calls at once as have gathered.
async fn send_batches(
    links: Arc<RelayLinks>,
    link: Arc<Link>,
    mut waiting: mpsc::UnboundedReceiver<Item>,
) {
    while let Some(first) = waiting.recv().await {
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH
            && let Ok(item) = waiting.try_recv()
        {
            batch.push(item);
        }
        tokio::spawn(send_batch(links.clone(), link.clone(), batch));
    }
}

async fn send_batch(links: Arc<RelayLinks>, link: Arc<Link>, batch: Vec<Item>) {
    let now = Instant::now();
    let message = batch_message(&link.relay, &batch, now);
    let latest = batch.iter().map(|item| item.relayed.deadline).max().unwrap_or(now);
    let mut open: HashMap<CallId, oneshot::Sender<RelayOutcome>> =
        batch.into_iter().map(|item| (item.relayed.call, item.told)).collect();
    let limit = latest.saturating_duration_since(now) + BATCH_GRACE;
    let body = encode(&message);
    let signature = Some(links.keys.sign(REQUEST_PURPOSE, &body));
    let call = HttpCall::post(link.relay.addr, RELAY_PATH, body.into(), limit);
    match links.client.call_streaming(HttpCall { signature, ..call }).await {
        Ok(response) if response.status().is_success() => {
            let read = read_frames(&links.keys, message.nonce, response.into_body(), &mut open);
            // What is still open after that is told as lost when its sender is dropped.
            let _ = tokio::time::timeout(limit, read).await;
        }
        Ok(_) | Err(HttpClientError::Connect { .. }) => {
            *link.avoid_until.lock().unwrap() = Some(now + AVOID_TIME);
            for (_, told) in open.drain() {
                // The call may have been given up meanwhile.
                let _ = told.send(RelayOutcome::NotSent);
            }
        }
        Err(_) => *link.avoid_until.lock().unwrap() = Some(now + AVOID_TIME),
    }
}

fn batch_message(relay: &RelayHost, batch: &[Item], now: Instant) -> RelayRequest {
    let mut queries: Vec<RelayQuery> = Vec::new();
    for item in batch {
        let RelayedCall { call: id, leaf, .. } = &item.relayed;
        let call = RelayCall { attempt: id.attempt, shard: id.shard, leaf: leaf.clone() };
        let same =
            |query: &RelayQuery| query.query == id.query && query.index_version == id.version;
        match queries.iter_mut().rev().find(|query| same(query)) {
            Some(query) => query.calls.push(call),
            None => queries.push(relay_query(&item.relayed, call, now)),
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

/// Takes in frames until the stream ends. A frame that does not decode ends it too.
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
            if let Some(told) = open.remove(&frame.call) {
                // The call may have been given up meanwhile.
                let _ = told.send(RelayOutcome::Reported(frame.end));
            }
        }
    }
}

fn next_frame(buf: &mut BytesMut) -> Option<BytesMut> {
    let length = buf.get(..FRAME_LENGTH_BYTES)?;
    let length = u32::from_be_bytes(length.try_into().ok()?) as usize;
    if buf.len() < FRAME_LENGTH_BYTES + length {
        return None;
    }
    buf.advance(FRAME_LENGTH_BYTES);
    Some(buf.split_to(length))
}

/// Puts the length before a frame.
pub fn with_length(frame: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FRAME_LENGTH_BYTES + frame.len());
    bytes.extend_from_slice(&(frame.len() as u32).to_be_bytes());
    bytes.extend_from_slice(frame);
    bytes
}
