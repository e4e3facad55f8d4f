//! Gossip between hosts of the fleet: host records, crashes attributed to requests, and changes
//! published by the platform.
//!
//! Messages are HTTP requests with MessagePack bodies on the control address, which only hosts of
//! the fleet reach. Structs are encoded without field names, so the order of fields and variants is
//! part of the protocol.

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use rand::Rng;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;
use thiserror::Error;

use crate::change_log::ChangeSet;
use crate::cluster_state::ClusterState;
use crate::error_text::with_sources;
use crate::events::Event;
use crate::fleet::AgedRecord;
use crate::http_client::HttpCall;
use crate::http_client::HttpClient;
use crate::http_client::HttpClientError;
use crate::http_client::HttpReply;
use crate::ids::Era;
use crate::ids::Position;
use crate::ids::Revision;
use crate::log_event;
use crate::read_schedule::MAX_POLL_WAIT;
use crate::read_schedule::PollTimes;
use crate::read_schedule::ReadSchedule;
use crate::subscription::ChangeSource;
use crate::suspect_report::SuspectReport;
use crate::tier::Tier;

/// HTTP path of an exchange of [`ExchangeMessage`]s.
pub const EXCHANGE_PATH: &str = "/fleet/exchange";
/// Header of [`CHANGES_PATH`] with the era of the requester's or the reply's position. A host that
/// does not send it knows no eras.
const ERA_HEADER: HeaderName = HeaderName::from_static("x-jasmineusher-era");
/// Header of the reply of [`CHANGES_PATH`] with the era in which the latest configuration known to
/// the replying host was certainly published.
const CONFIGURATION_ERA_HEADER: HeaderName =
    HeaderName::from_static("x-jasmineusher-configuration-era");
/// Header of [`CHANGES_PATH`] by which the requester asks for evacuations too, and by which the reply
/// says that it contains them. A host of an earlier build does not know it and could not read them.
const EVACUATIONS_HEADER: HeaderName = HeaderName::from_static("x-jasmineusher-evacuations");
/// Header of a request of [`CHANGES_PATH`] with the time since the requester was confirmed to know
/// everything that was published, and of the reply with the time from the arrival of the request to
/// the moment up to which the replying host was confirmed, which is negative if that was earlier;
/// in whole milliseconds. A host of an earlier build does not know it.
const CONFIRMED_HEADER: HeaderName = HeaderName::from_static("x-jasmineusher-confirmed-ms");
/// HTTP path of a long poll for published changes.
pub const CHANGES_PATH: &str = "/fleet/changes";

/// Pause between two exchanges of a host, before jitter.
const EXCHANGE_PAUSE: Duration = Duration::from_secs(2);
/// Pause between two exchanges of a host that has just started or cannot read the platform.
const FAST_EXCHANGE_PAUSE: Duration = Duration::from_millis(250);
/// Time after the start of the process in which it uses the shorter pause.
const FAST_EXCHANGE_TIME: Duration = Duration::from_secs(2);
/// Timeout of one call to another host.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of a request for changes that are known already.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest number of suspected requests in one message.
const MAX_SUSPECTS: usize = 256;
/// Time without an answer of the platform after which a host requests published changes from other
/// hosts.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(700);

/// Request and reply of an exchange: each side sends its state.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ExchangeMessage {
    /// The sender's own record first, then records of other hosts.
    pub cards: Vec<AgedRecord>,
    /// Records of suspected and blocked requests, the last changed ones first.
    pub suspects: Vec<SuspectReport>,
    /// Revision up to which the sender has applied the platform's changes.
    pub position: Revision,
}

/// Request of a long poll for published changes.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct ChangesRequest {
    /// Revision up to which the requester has all changes.
    pub after: Revision,
    /// Time that the reply may wait for the next change, in milliseconds on the wire; 0 for none.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub wait: Duration,
}

/// Reply to a [`ChangesRequest`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChangesReply {
    /// The changes after the requested revision; possibly none.
    pub set: ChangeSet,
    /// Whether the replying host can currently read the platform.
    pub is_fresh: bool,
}

/// Failure of a call to another host of the fleet.
#[derive(Debug, Error)]
pub enum FleetLinkError {
    /// The peer could not be called or did not answer in time.
    #[error("Call to peer {peer} failed")]
    Call {
        /// Control address of the peer.
        peer: SocketAddr,
        /// Failure of the HTTP call.
        #[source]
        source: HttpClientError,
    },
    /// The peer answered with an HTTP status other than 200.
    #[error("Peer {peer} answered status {status} instead of 200")]
    Refused {
        /// Control address of the peer.
        peer: SocketAddr,
        /// The HTTP status.
        status: u16,
    },
    /// The body of the peer's reply cannot be decoded.
    #[error("Reply of peer {peer} cannot be decoded")]
    Unreadable {
        /// Control address of the peer.
        peer: SocketAddr,
        /// Failure of the decoder.
        #[source]
        source: rmp_serde::decode::Error,
    },
}

/// Result of a call to another host.
pub type Result<T> = std::result::Result<T, FleetLinkError>;

/// Client and server side of this host's exchanges with others.
pub struct FleetLink {
    cluster_state: Arc<ClusterState>,
    tier: Arc<Tier>,
    client: HttpClient,
    schedule: ReadSchedule,
}

impl FleetLink {
    /// Creates a link that calls other hosts through `client`.
    pub fn new(cluster_state: Arc<ClusterState>, tier: Arc<Tier>, client: HttpClient) -> Self {
        Self { cluster_state, tier, client, schedule: ReadSchedule::default() }
    }

    /// Sets the waits of hosts that follow each other.
    pub fn with_schedule(mut self, schedule: ReadSchedule) -> Self {
        self.schedule = schedule;
        self
    }

    /// Exchanges with one host after the other until the process ends.
    pub async fn run(self: Arc<Self>) {
        let started = Instant::now();
        loop {
            let peer = self.next_peer();
            if let Some(peer) = peer
                && let Err(e) = self.exchange(peer).await
            {
                tracing::debug!("{}", with_sources(&e));
                self.tier.counters.peer_failures.increment();
            }
            self.expire();
            let is_fast = started.elapsed() < FAST_EXCHANGE_TIME || self.cannot_read_platform();
            let pause = if is_fast { FAST_EXCHANGE_PAUSE } else { EXCHANGE_PAUSE };
            let pause = pause.mul_f64(rand::rng().random_range(0.8..1.2));
            tokio::time::sleep(pause).await;
        }
    }

    fn next_peer(&self) -> Option<SocketAddr> {
        self.cluster_state.fleet.lock().unwrap().next_peer(&mut rand::rng())
    }

    /// Returns whether this host counts as unable to read the platform, so that other hosts may
    /// have newer changes: calls to the platform fail and it has not answered for a while, or this
    /// host has not received a complete state yet.
    fn cannot_read_platform(&self) -> bool {
        let outage = self.cluster_state.outage.lock().unwrap();
        let is_unreachable =
            outage.is_failing() && outage.time_since_answer(Instant::now()) > UNREACHABLE_AFTER;
        drop(outage);
        is_unreachable || !self.cluster_state.is_complete()
    }

    async fn exchange(&self, peer: SocketAddr) -> Result<()> {
        self.tier.counters.peer_exchanges.increment();
        let reply: ExchangeMessage =
            self.call(peer, EXCHANGE_PATH, &self.build_message(), CALL_TIMEOUT).await?;
        let their_position = reply.position;
        self.apply_message(reply);
        let after = self.cluster_state.position();
        let lacks_changes = their_position != after.revision || self.lacks_evacuations();
        if lacks_changes && self.cannot_read_platform() {
            let times = PollTimes { wait: Duration::ZERO, limit: FETCH_TIMEOUT };
            self.fetch_changes(peer, times).await?;
        }
        Ok(())
    }

    fn lacks_evacuations(&self) -> bool {
        self.cluster_state.subscription.lock().unwrap().lacks_evacuations()
    }

    /// Long-polls a host that reads the platform for others, records up to when that host knows
    /// everything, and applies the changes that it returns. Returns whether it is fresh.
    pub async fn poll_reader(&self, reader: SocketAddr, times: PollTimes) -> Result<bool> {
        self.fetch_changes(reader, times).await
    }

    async fn fetch_changes(&self, peer: SocketAddr, times: PollTimes) -> Result<bool> {
        let PollTimes { wait, limit } = times;
        let age = self.cluster_state.confirmation_age();
        let sent_at = self.cluster_state.clock.now();
        let after = self.cluster_state.position();
        // A host that lacks evacuations needs a full snapshot.
        let revision = if self.lacks_evacuations() { Revision(0) } else { after.revision };
        let request = ChangesRequest { after: revision, wait };
        let mut call = HttpCall::post(peer, CHANGES_PATH, encode(&request), limit);
        call.headers.insert(ERA_HEADER, after.era.0.into());
        call.headers.insert(EVACUATIONS_HEADER, HeaderValue::from_static("1"));
        if let Some(age) = age {
            call.headers.insert(CONFIRMED_HEADER, HeaderValue::from(age.as_millis() as u64));
        }
        let reply = self.exchange_call(call).await?;
        let reply_headers = reply.headers;
        let era = read_era(&reply_headers, &ERA_HEADER).unwrap_or_default();
        let configuration_era =
            read_era(&reply_headers, &CONFIGURATION_ERA_HEADER).unwrap_or_default();
        let reply: ChangesReply = rmp_serde::from_slice(&reply.body)
            .map_err(|source| FleetLinkError::Unreadable { peer, source })?;
        let has_evacuations = reply_headers.contains_key(EVACUATIONS_HEADER);
        let source = match has_evacuations {
            true => ChangeSource::Peer { configuration_era },
            false => ChangeSource::EarlierPeer { configuration_era },
        };
        let confirmed = read_number::<i64>(&reply_headers, &CONFIRMED_HEADER);
        let is_fresh = reply.is_fresh && era >= after.era && has_evacuations;
        // The request arrived after it was sent, so that the peer was confirmed at least up to this.
        let confirmed_at = confirmed.filter(|_| is_fresh).and_then(|ms| shifted(sent_at, ms));
        if let Some(at) = confirmed_at {
            self.cluster_state.record_confirmation(at);
        }
        self.cluster_state.apply_changes(era, reply.set, source, Instant::now());
        Ok(confirmed_at.is_some())
    }

    /// Posts a message to another host and decodes the reply, which must come within `limit`.
    pub(crate) async fn call<T: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &'static str,
        message: &impl Serialize,
        limit: Duration,
    ) -> Result<T> {
        self.send(HttpCall::post(peer, path, encode(message), limit)).await
    }

    /// Makes a call to another host and decodes the reply.
    pub(crate) async fn send<T: DeserializeOwned>(&self, call: HttpCall) -> Result<T> {
        let peer = call.peer;
        let reply = self.exchange_call(call).await?;
        rmp_serde::from_slice(&reply.body)
            .map_err(|source| FleetLinkError::Unreadable { peer, source })
    }

    async fn exchange_call(&self, call: HttpCall) -> Result<HttpReply> {
        let peer = call.peer;
        self.tier.counters.peer_bytes.add(call.body.len() as u64);
        let reply = self.client.call(call).await;
        let reply = reply.map_err(|source| FleetLinkError::Call { peer, source })?;
        if reply.status != 200 {
            return Err(FleetLinkError::Refused { peer, status: reply.status });
        }
        self.tier.counters.peer_bytes.add(reply.body.len() as u64);
        Ok(reply)
    }

    fn build_message(&self) -> ExchangeMessage {
        let now = Instant::now();
        let unreachable = self.cannot_read_platform();
        let cards = {
            let mut fleet = self.cluster_state.fleet.lock().unwrap();
            fleet.set_platform_unreachable(unreachable);
            fleet.records_to_send(now)
        };
        let mut suspects = self.tier.quarantine.lock().unwrap().reports(now);
        suspects.truncate(MAX_SUSPECTS);
        ExchangeMessage { cards, suspects, position: self.cluster_state.position().revision }
    }

    fn apply_message(&self, message: ExchangeMessage) {
        let now = Instant::now();
        self.tier.merge_suspects(&message.suspects, now);
        let changes = self.cluster_state.fleet.lock().unwrap().merge_records(message.cards, now);
        for host in &changes.joined {
            log_event!(info, Event::PeerJoined, host = host.as_str());
        }
        for host in &changes.leaving {
            log_event!(info, Event::PeerLeaving, host = host.as_str());
        }
        if !changes.joined.is_empty() {
            self.cluster_state.rebuild_view(now);
        }
    }

    fn expire(&self) {
        let now = Instant::now();
        let timed_out = self.cluster_state.fleet.lock().unwrap().expire(now);
        for host in &timed_out {
            log_event!(info, Event::PeerTimedOut, host = host.as_str());
        }
        if !timed_out.is_empty() {
            self.cluster_state.rebuild_view(now);
        }
    }

    /// Applies the message of another host's exchange and returns the encoded reply. Fails if the
    /// message does not decode.
    pub fn answer_exchange(
        &self,
        body: &[u8],
    ) -> std::result::Result<Bytes, rmp_serde::decode::Error> {
        let message: ExchangeMessage = rmp_serde::from_slice(body)?;
        self.apply_message(message);
        Ok(encode(&self.build_message()))
    }

    /// Waits until this host has changes after the position of a requester that was confirmed
    /// `theirs` before `arrived_at`, or can confirm it anew, or is no longer fresh itself; at most
    /// for `wait`.
    async fn hold_poll(
        &self,
        after: Position,
        theirs: Option<Duration>,
        arrived_at: Instant,
        wait: Duration,
    ) {
        let is_over = || {
            let held = self.cluster_state.clock.now().saturating_duration_since(arrived_at);
            let theirs = theirs.map(|age| age + held);
            self.schedule.ends_poll(self.cluster_state.confirmation_age(), theirs)
        };
        let age = self.cluster_state.confirmation_age();
        let limit = wait.min(MAX_POLL_WAIT).min(self.schedule.fresh_for(age));
        self.cluster_state.wait_past(after, is_over, limit).await;
    }

    /// Returns the headers and the encoded reply to another host's request for changes. Waits until
    /// there are changes after the requested position, at most for the requested time. Fails if the
    /// request does not decode.
    pub async fn answer_changes(
        &self,
        headers: &HeaderMap,
        body: &[u8],
    ) -> std::result::Result<(HeaderMap, Bytes), rmp_serde::decode::Error> {
        let ChangesRequest { after: revision, wait } = rmp_serde::from_slice(body)?;
        let wants_evacuations = headers.contains_key(EVACUATIONS_HEADER);
        // A host that knows no eras gets the changes of the present one.
        let era = read_era(headers, &ERA_HEADER);
        let era = era.unwrap_or_else(|| self.cluster_state.position().era);
        let after = Position { era, revision };
        let arrived_at = self.cluster_state.clock.now();
        let theirs = read_number::<u64>(headers, &CONFIRMED_HEADER).map(Duration::from_millis);
        self.hold_poll(after, theirs, arrived_at, wait).await;
        let is_fresh = self.schedule.is_fresh(self.cluster_state.confirmation_age())
            && !self.cannot_read_platform();
        let confirmed_at = self.cluster_state.outage.lock().unwrap().confirmed_at();
        let subscription = self.cluster_state.subscription.lock().unwrap();
        let mut headers = HeaderMap::new();
        headers.insert(ERA_HEADER, subscription.position().era.0.into());
        headers.insert(CONFIGURATION_ERA_HEADER, subscription.configuration_era().0.into());
        if let Some(at) = confirmed_at {
            headers.insert(CONFIRMED_HEADER, millis_between(arrived_at, at).into());
        }
        let mut set = subscription.since(after);
        if wants_evacuations && !subscription.lacks_evacuations() {
            headers.insert(EVACUATIONS_HEADER, HeaderValue::from_static("1"));
        } else {
            set = set.without_evacuations();
        }
        Ok((headers, encode(&ChangesReply { set, is_fresh })))
    }
}

/// Reads a number from a header. Returns nothing if it is absent or no number.
fn read_number<T: FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn read_era(headers: &HeaderMap, name: &HeaderName) -> Option<Era> {
    read_number(headers, name).map(Era)
}

/// Returns the whole milliseconds from `start` to `end`, rounded down; negative if `end` is earlier.
fn millis_between(start: Instant, end: Instant) -> i64 {
    match end.checked_duration_since(start) {
        Some(later) => later.as_millis() as i64,
        None => -(start.duration_since(end).as_millis() as i64) - 1,
    }
}

/// Returns the time `ms` milliseconds after `start`, or before it if `ms` is negative. Returns
/// nothing if that cannot be told.
fn shifted(start: Instant, ms: i64) -> Option<Instant> {
    let distance = Duration::from_millis(ms.unsigned_abs());
    if ms < 0 { start.checked_sub(distance) } else { start.checked_add(distance) }
}

/// Encodes a message without field names.
pub fn encode(message: &impl Serialize) -> Bytes {
    rmp_serde::to_vec(message).expect("message types serialise").into()
}
