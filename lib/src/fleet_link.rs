//! Exchanges between hosts of the fleet: cards, strikes, and what the platform published.
//!
//! HTTP with `rmp-serde` bodies on the address that only hosts of the fleet reach.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use rand::Rng;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;
use thiserror::Error;

use crate::change_log::ChangeSet;
use crate::cluster_state::ClusterState;
use crate::crash_detector::StrikeCount;
use crate::error_text::with_sources;
use crate::events::Event;
use crate::fleet::AgedRecord;
use crate::http_client::HttpCall;
use crate::http_client::HttpClient;
use crate::http_client::HttpClientError;
use crate::ids::Revision;
use crate::log_event;
use crate::subscription::Source;
use crate::tier::Tier;

/// Path of an exchange.
pub const EXCHANGE_PATH: &str = "/fleet/exchange";
/// Path that answers with published changes.
pub const CHANGES_PATH: &str = "/fleet/changes";

/// Pause between exchanges.
const EXCHANGE_PAUSE: Duration = Duration::from_secs(2);
/// Pause between exchanges of a host that has just started or cannot read the platform.
const HASTY_PAUSE: Duration = Duration::from_millis(250);
/// Time after the start in which a host is hasty.
const HASTY_TIME: Duration = Duration::from_secs(2);
/// Time allowed for one call.
const CALL_LIMIT: Duration = Duration::from_millis(800);
/// How long a host waits for what another one hears from the platform.
const FOLLOW_WAIT: Duration = Duration::from_millis(1_200);
/// Silence of the platform after which hosts ask each other for what it published.
const SILENCE_LIMIT: Duration = Duration::from_millis(700);

/// One side of an exchange.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ExchangeMessage {
    /// The sender's card first, then others that it knows.
    pub cards: Vec<AgedRecord>,
    /// Strikes against requests.
    pub strikes: Vec<StrikeCount>,
    /// Revision up to which the sender knows what was published.
    pub position: Revision,
}

/// Asks for published changes.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct ChangesRequest {
    /// The asker knows everything up to this revision.
    pub after: Revision,
    /// How long the answer may wait for the next change.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub wait: Duration,
}

/// Answers with published changes.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChangesReply {
    /// The changes.
    pub set: ChangeSet,
    /// Whether the platform answers the host that is asked.
    pub is_fresh: bool,
}

/// Why an exchange failed. Names the step and the peer.
#[derive(Debug, Error)]
pub enum FleetLinkError {
    /// The peer did not answer.
    #[error("Exchange with {peer} failed")]
    Call {
        /// The peer.
        peer: SocketAddr,
        /// The cause.
        #[source]
        source: HttpClientError,
    },
    /// The peer refused.
    #[error("Peer {peer} refused an exchange with status {status}")]
    Refused {
        /// The peer.
        peer: SocketAddr,
        /// The HTTP status.
        status: u16,
    },
    /// The peer's message cannot be read.
    #[error("Message of {peer} cannot be read")]
    Unreadable {
        /// The peer.
        peer: SocketAddr,
        /// The cause.
        #[source]
        source: rmp_serde::decode::Error,
    },
}

/// Result of an exchange.
pub type Result<T> = std::result::Result<T, FleetLinkError>;

/// This host's side of the exchanges.
pub struct FleetLink {
    cluster_state: Arc<ClusterState>,
    tier: Arc<Tier>,
    client: HttpClient,
}

impl FleetLink {
    /// Makes a link.
    pub fn new(cluster_state: Arc<ClusterState>, tier: Arc<Tier>, client: HttpClient) -> Self {
        Self { cluster_state, tier, client }
    }

    /// Exchanges with other hosts for as long as the process runs.
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
            let is_hasty = started.elapsed() < HASTY_TIME || self.is_blind();
            let pause = if is_hasty { HASTY_PAUSE } else { EXCHANGE_PAUSE };
            let pause = pause.mul_f64(rand::rng().random_range(0.8..1.2));
            tokio::time::sleep(pause).await;
        }
    }

    fn next_peer(&self) -> Option<SocketAddr> {
        self.cluster_state.fleet.lock().unwrap().next_peer(&mut rand::rng())
    }

    /// Whether the platform has been silent for so long that other hosts may know more.
    fn is_blind(&self) -> bool {
        let outage = self.cluster_state.outage.lock().unwrap();
        let silent =
            outage.is_failing() && outage.time_since_answer(Instant::now()) > SILENCE_LIMIT;
        drop(outage);
        silent || !self.cluster_state.is_complete()
    }

    async fn exchange(&self, peer: SocketAddr) -> Result<()> {
        self.tier.counters.peer_exchanges.increment();
        let reply: ExchangeMessage =
            self.call(peer, EXCHANGE_PATH, &self.message(), CALL_LIMIT).await?;
        let their_position = reply.position;
        self.take(reply);
        let after = self.cluster_state.position();
        if their_position > after && self.is_blind() {
            self.ask_changes(peer, Duration::ZERO).await?;
        }
        Ok(())
    }

    /// Waits for what another host hears from the platform. Returns whether the platform answers
    /// that host.
    pub async fn follow(&self, reader: SocketAddr) -> Result<bool> {
        self.ask_changes(reader, FOLLOW_WAIT).await
    }

    async fn ask_changes(&self, peer: SocketAddr, wait: Duration) -> Result<bool> {
        let after = self.cluster_state.position();
        let request = ChangesRequest { after, wait };
        let limit = wait + CALL_LIMIT / 2;
        let reply: ChangesReply = self.call(peer, CHANGES_PATH, &request, limit).await?;
        self.cluster_state.take(reply.set, Source::Peer, Instant::now());
        Ok(reply.is_fresh)
    }

    pub(crate) async fn call<T: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &'static str,
        message: &impl Serialize,
        limit: Duration,
    ) -> Result<T> {
        let body = encode(message);
        self.tier.counters.peer_bytes.add(body.len() as u64);
        let reply = self.client.call(HttpCall::post(peer, path, body, limit)).await;
        let reply = reply.map_err(|source| FleetLinkError::Call { peer, source })?;
        if reply.status != 200 {
            return Err(FleetLinkError::Refused { peer, status: reply.status });
        }
        self.tier.counters.peer_bytes.add(reply.body.len() as u64);
        rmp_serde::from_slice(&reply.body)
            .map_err(|source| FleetLinkError::Unreadable { peer, source })
    }

    fn message(&self) -> ExchangeMessage {
        let now = Instant::now();
        let blind = self.is_blind();
        let cards = {
            let mut fleet = self.cluster_state.fleet.lock().unwrap();
            fleet.set_platform_unreachable(blind);
            fleet.cards(now)
        };
        let strikes = self.tier.crashes.lock().unwrap().counts(now);
        ExchangeMessage { cards, strikes, position: self.cluster_state.position() }
    }

    fn take(&self, message: ExchangeMessage) {
        let now = Instant::now();
        for strike in message.strikes {
            self.tier.crashes.lock().unwrap().merge(strike, now);
        }
        let learned = self.cluster_state.fleet.lock().unwrap().heard(message.cards, now);
        for host in &learned.joined {
            log_event!(info, Event::PeerJoined, host = host.as_str());
        }
        for host in &learned.leaving {
            log_event!(info, Event::PeerLeaving, host = host.as_str());
        }
        if !learned.joined.is_empty() {
            self.cluster_state.renew_view(now);
        }
    }

    fn expire(&self) {
        let now = Instant::now();
        let silent = self.cluster_state.fleet.lock().unwrap().expire(now);
        for host in &silent {
            log_event!(info, Event::PeerTimedOut, host = host.as_str());
        }
        if !silent.is_empty() {
            self.cluster_state.renew_view(now);
        }
    }

    /// Answers another host's exchange.
    pub fn answer_exchange(
        &self,
        body: &[u8],
    ) -> std::result::Result<Bytes, rmp_serde::decode::Error> {
        let message: ExchangeMessage = rmp_serde::from_slice(body)?;
        self.take(message);
        Ok(encode(&self.message()))
    }

    /// Answers another host's question for changes.
    pub async fn answer_changes(
        &self,
        body: &[u8],
    ) -> std::result::Result<Bytes, rmp_serde::decode::Error> {
        let ChangesRequest { after, wait } = rmp_serde::from_slice(body)?;
        self.cluster_state.position_after(after, wait.min(FOLLOW_WAIT)).await;
        let set = self.cluster_state.subscription.lock().unwrap().since(after);
        let is_fresh = !self.is_blind();
        Ok(encode(&ChangesReply { set, is_fresh }))
    }
}

pub(crate) fn encode(message: &impl Serialize) -> Bytes {
    rmp_serde::to_vec(message).expect("message types serialise").into()
}
