//! Exchanges with other daemons: documents, liveness, suspicions, drain notices and loans.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use thiserror::Error;

use crate::backend::BoxFuture;
use crate::coordinator::StrikeBroadcaster;
use crate::daemon::Daemon;
use crate::distribution::received;
use crate::distribution::revisions;
use crate::documents::DocumentKind;
use crate::events::Event;
use crate::http_client::HttpCall;
use crate::http_client::HttpClientError;
use crate::ids::EntryName;
use crate::ids::HostName;
use crate::ids::Revision;
use crate::membership::Hearing;
use crate::peer_protocol::DrainNotice;
use crate::peer_protocol::EXCHANGE_PATH;
use crate::peer_protocol::ExchangeReply;
use crate::peer_protocol::ExchangeRequest;
use crate::peer_protocol::Loan;
use crate::peer_protocol::MAX_DRAINS;
use crate::peer_protocol::MAX_STRIKES;
use crate::peer_protocol::MAX_WANTS;
use crate::peer_protocol::PROTOCOL_VERSION;
use crate::peer_protocol::PeerRecord;
use crate::peer_protocol::PeerStatus;
use crate::peer_protocol::ProtocolError;
use crate::peer_protocol::REPLY_PURPOSE;
use crate::peer_protocol::REQUEST_PURPOSE;
use crate::peer_protocol::ShareRequest;
use crate::peer_protocol::decode;
use crate::peer_protocol::encode;
use crate::quarantine::SuspectReport;
use crate::shares::LoanRequest;

/// Time allowed for an exchange.
const EXCHANGE_LIMIT: Duration = Duration::from_secs(2);
/// Time allowed to tell peers of a suspected request before its caller is answered.
const STRIKE_LIMIT: Duration = Duration::from_millis(150);
/// Peers that are told of a suspected request at once.
const STRIKE_FAN_OUT: usize = 32;
/// Peers that are told of a new document at once.
const NEWS_FAN_OUT: usize = 5;
/// Bytes of HTTP around one message, for the count of control traffic.
const HTTP_OVERHEAD_BYTES: u64 = 300;

/// Why an exchange failed.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The peer could not be called.
    #[error("Exchange failed")]
    Call(#[source] HttpClientError),
    /// The peer's answer is not sound.
    #[error("Answer of peer {peer} is refused")]
    Protocol {
        /// The peer.
        peer: SocketAddr,
        /// The cause.
        #[source]
        source: ProtocolError,
    },
    /// The peer refused the message.
    #[error("Peer {peer} answered status {status}")]
    Status {
        /// The peer.
        peer: SocketAddr,
        /// The HTTP status.
        status: u16,
    },
    /// The answer belongs to another message.
    #[error("Answer of peer {peer} is for another message")]
    Crossed {
        /// The peer.
        peer: SocketAddr,
    },
}

/// Result of an exchange.
pub type Result<T> = std::result::Result<T, ExchangeError>;

/// A peer to exchange with.
#[derive(Clone, Debug)]
pub struct PeerAddr {
    /// Its name; unknown for a seed.
    pub host: Option<HostName>,
    /// Where it listens.
    pub addr: SocketAddr,
}

impl From<(HostName, SocketAddr)> for PeerAddr {
    fn from((host, addr): (HostName, SocketAddr)) -> Self {
        Self { host: Some(host), addr }
    }
}

/// Exchanges of one daemon.
impl Daemon {
    fn card(&self) -> PeerRecord {
        let identity = &self.tier.identity;
        PeerRecord {
            host: identity.host.clone(),
            zone: identity.zone.clone(),
            addr: self.peers.own_addr.get().copied().unwrap_or(self.settings.listen),
            incarnation: identity.incarnation,
            phase: self.lifecycle.phase(),
        }
    }

    fn platform_age_ms(&self, now: Instant) -> Option<u64> {
        self.peers.contact.lock().unwrap().age(now).map(|age| age.as_millis() as u64)
    }

    fn news(&self, now: Instant) -> PeerStatus {
        PeerStatus {
            from: self.card(),
            revisions: revisions(&self.tier.view()),
            platform_age_ms: self.platform_age_ms(now),
            strikes: self.strike_news(now),
            drains: self.drain_news(now),
        }
    }

    fn strike_news(&self, now: Instant) -> Vec<SuspectReport> {
        let mut news = self.tier.quarantine.lock().unwrap().reports(now);
        news.sort_by_key(|news| std::cmp::Reverse(news.remaining_ms));
        news.truncate(MAX_STRIKES);
        news
    }

    fn drain_news(&self, now: Instant) -> Vec<DrainNotice> {
        let draining = self.tier.draining_leafs(now).into_iter().take(MAX_DRAINS);
        let news = draining.map(|drain| DrainNotice {
            leaf: drain.leaf.host.name.clone(),
            age_ms: drain.age.as_millis() as u64,
        });
        news.collect()
    }

    fn hear(&self, news: &PeerStatus, now: Instant) {
        let their_hosts = news.revisions.iter().find(|r| r.kind == DocumentKind::Hosts);
        let their_hosts = their_hosts.map_or(Revision(0), |r| r.revision);
        let hearing = self.peers.membership.lock().unwrap().heard(&news.from, their_hosts, now);
        match hearing {
            Hearing::NewRun => Event::PeerJoined.info(&format!("host {}", news.from.host)),
            Hearing::BeganToLeave => Event::PeerLeaving.info(&format!("host {}", news.from.host)),
            Hearing::Known => {}
        }
        if let Some(age_ms) = news.platform_age_ms {
            let age = Duration::from_millis(age_ms);
            self.peers.contact.lock().unwrap().heard_by_peer(age, now);
        }
        let mut quarantine = self.tier.quarantine.lock().unwrap();
        for strike in news.strikes.iter().take(MAX_STRIKES) {
            quarantine.merge(*strike, now);
        }
        drop(quarantine);
        let view = self.tier.view();
        for drain in news.drains.iter().take(MAX_DRAINS) {
            let key = view.hosts.leaf_key(&drain.leaf);
            if let Some(leaf) = key.and_then(|key| view.leafs.get(key)) {
                let age = Duration::from_millis(drain.age_ms);
                leaf.state().estimates.record_reported_draining(age, now);
                self.tier.mark_leaf_draining(leaf.key);
            }
        }
    }

    /// Exchanges with a peer and takes in its answer.
    pub async fn exchange(
        &self,
        peer: &PeerAddr,
        wants: Vec<ShareRequest>,
        starting: bool,
    ) -> Result<ExchangeReply> {
        let asked_at = Instant::now();
        let _awaited = (!wants.is_empty()).then(|| self.peers.await_loan(peer.host.as_ref()));
        let req = self.exchange_request(peer, wants, starting, asked_at);
        let nonce = req.nonce;
        let counters = &self.tier.counters;
        counters.peer_exchanges.increment();
        let result = self.call_peer(peer.addr, EXCHANGE_PATH, encode(&req), EXCHANGE_LIMIT).await;
        let reply = result.and_then(|body| {
            let addr = peer.addr;
            let reply: ExchangeReply =
                decode(&body).map_err(|source| ExchangeError::Protocol { peer: addr, source })?;
            if reply.nonce == nonce {
                Ok(reply)
            } else {
                Err(ExchangeError::Crossed { peer: addr })
            }
        });
        match reply {
            Ok(reply) => {
                self.take_reply(&reply, asked_at);
                Ok(reply)
            }
            Err(e) => {
                counters.peer_failures.increment();
                Err(e)
            }
        }
    }

    fn exchange_request(
        &self,
        peer: &PeerAddr,
        mut wants: Vec<ShareRequest>,
        starting: bool,
        now: Instant,
    ) -> ExchangeRequest {
        wants.truncate(MAX_WANTS);
        ExchangeRequest {
            version: PROTOCOL_VERSION,
            to: peer.host.clone(),
            nonce: rand::random(),
            news: self.news(now),
            wants,
            starting,
        }
    }

    /// Sends a signed message and returns the body of the signed answer.
    pub async fn call_peer(
        &self,
        addr: SocketAddr,
        path: &str,
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<Bytes> {
        let counters = &self.tier.counters;
        counters.peer_bytes.add(body.len() as u64 + HTTP_OVERHEAD_BYTES);
        let signature = Some(self.peers.keys.sign(REQUEST_PURPOSE, &body));
        let call = HttpCall { signature, ..HttpCall::post(addr, path, body.into(), limit) };
        let reply = self.peers.client.call(call).await.map_err(ExchangeError::Call)?;
        counters.peer_bytes.add(reply.body.len() as u64 + HTTP_OVERHEAD_BYTES);
        if reply.status != 200 {
            return Err(ExchangeError::Status { peer: addr, status: reply.status });
        }
        let signature = reply.signature.unwrap_or_default();
        if !self.peers.keys.verify(REPLY_PURPOSE, &reply.body, &signature) {
            counters.peer_forgeries.increment();
            let source = ProtocolError::Forged;
            return Err(ExchangeError::Protocol { peer: addr, source });
        }
        Ok(reply.body)
    }

    fn take_reply(&self, reply: &ExchangeReply, asked_at: Instant) {
        let now = Instant::now();
        self.hear(&reply.news, now);
        for transfer in &reply.transfers {
            if let Some(document) = received(transfer.clone(), &self.tier.view()) {
                self.apply_document(document);
            }
        }
        let mut shares = self.peers.shares.lock().unwrap();
        for loan in &reply.loans {
            let from = &reply.news.from;
            shares.borrow(loan.clone(), &from.host, from.incarnation, asked_at);
        }
        drop(shares);
        self.check_readiness(asked_at);
    }

    /// Answers a peer's message; an error says why it is refused.
    pub fn answer_exchange(
        self: &Arc<Self>,
        body: &[u8],
        signature: &str,
    ) -> std::result::Result<Vec<u8>, ProtocolError> {
        let now = Instant::now();
        let req: ExchangeRequest = self.verify_and_decode(body, signature)?;
        check_addressee(req.version, req.to.as_ref(), &self.settings.host)?;
        self.hear(&req.news, now);
        let view = self.tier.view();
        let transfers = self.peers.archive.lock().unwrap().transfers(&view, &req.news.revisions);
        let is_behind =
            req.news.revisions.iter().any(|theirs| theirs.revision > view.revision(theirs.kind));
        if is_behind {
            let peer =
                PeerAddr { host: Some(req.news.from.host.clone()), addr: req.news.from.addr };
            self.spawn_exchange(peer);
        }
        let holds_your_loan = self.peers.may_hold_loan_of(&req.news.from, now);
        let reply = ExchangeReply {
            version: PROTOCOL_VERSION,
            nonce: req.nonce,
            news: self.news(now),
            transfers,
            loans: self.lend(&req, now),
            holds_your_loan,
        };
        let body = encode(&reply);
        self.tier.counters.peer_bytes.add(body.len() as u64 + HTTP_OVERHEAD_BYTES);
        Ok(body)
    }

    /// Checks a message's signature and decodes it.
    pub fn verify_and_decode<'a, T: serde::Deserialize<'a>>(
        &self,
        body: &'a [u8],
        signature: &str,
    ) -> std::result::Result<T, ProtocolError> {
        self.tier.counters.peer_bytes.add(body.len() as u64 + HTTP_OVERHEAD_BYTES);
        if !self.peers.keys.verify(REQUEST_PURPOSE, body, signature) {
            self.tier.counters.peer_forgeries.increment();
            Event::PeerAuthenticationFailed.warn("message refused");
            return Err(ProtocolError::Forged);
        }
        decode(body)
    }

    /// Signs an answer to a peer.
    pub fn sign_reply(&self, body: &[u8]) -> String {
        self.peers.keys.sign(REPLY_PURPOSE, body)
    }

    fn lend(&self, req: &ExchangeRequest, now: Instant) -> Vec<Loan> {
        if req.news.from.zone != self.settings.zone {
            return Vec::new();
        }
        let view = self.tier.view();
        let fenced = self.is_fenced(&view, now);
        let mut loans = Vec::new();
        for want in req.wants.iter().take(MAX_WANTS) {
            let Some(entry) = view.catalogue.entry(want.entry.as_str()) else { continue };
            let state = self.tier.existing_entry_state(&entry.name);
            let used = state.map_or(0.0, |state| state.limits.lock().unwrap().demand().used);
            let asked = LoanRequest {
                entry: &entry.name,
                borrower: &req.news.from.host,
                wanted: want.fraction,
                used,
                fenced,
            };
            loans.extend(self.peers.shares.lock().unwrap().lend(&asked, now));
        }
        // The shares must be smaller before the loan can reach its borrower.
        self.apply_shares(now);
        loans
    }

    /// Returns the entries whose demand exceeds this host's share, or that it has loans for.
    pub fn deficits(&self) -> Vec<Deficit> {
        let mut deficits = Vec::new();
        self.tier.for_each_entry(|name, state| {
            let limits = state.limits.lock().unwrap();
            let fraction = limits.deficit();
            if fraction > 0.0 || limits.is_borrowing() {
                deficits.push(Deficit { entry: name.clone(), fraction });
            }
        });
        deficits
    }

    /// Returns what to ask of `giver`: what is missing, and what it lends already.
    pub fn share_requests_to(
        &self,
        giver: &HostName,
        deficits: &[Deficit],
        now: Instant,
    ) -> Vec<ShareRequest> {
        let shares = self.peers.shares.lock().unwrap();
        let want = |deficit: &Deficit| {
            let held = shares.borrowed_from(&deficit.entry, giver, now);
            let fraction = held + deficit.fraction;
            (fraction > SMALLEST_WANT)
                .then(|| ShareRequest { entry: deficit.entry.clone(), fraction })
        };
        deficits.iter().filter_map(want).take(MAX_WANTS).collect()
    }

    /// Exchanges with a peer in the background.
    pub fn spawn_exchange(self: &Arc<Self>, peer: PeerAddr) {
        let Some(runtime) = self.peers.runtime.get() else { return };
        let daemon = self.clone();
        runtime.spawn(async move {
            // A failure is counted; the next exchange makes up for it.
            let _ = daemon.exchange(&peer, Vec::new(), false).await;
        });
    }

    /// Tells the hosts of the zone that this one is leaving.
    pub fn announce_leaving(&self) {
        let Some(daemon) = self.self_ref() else { return };
        let peers = self.peers.membership.lock().unwrap().zone_peers();
        peers.into_iter().for_each(|peer| daemon.spawn_exchange(peer.into()));
    }

    /// Tells some peers at once that there is news.
    pub fn announce_change(&self) {
        let Some(daemon) = self.self_ref() else { return };
        let peers = {
            let membership = self.peers.membership.lock().unwrap();
            membership.sample(&mut rand::rng(), NEWS_FAN_OUT)
        };
        peers.into_iter().for_each(|peer| daemon.spawn_exchange(peer.into()));
    }
}

/// Smallest fraction of an entry's limits that is asked for.
const SMALLEST_WANT: f64 = 0.0005;

/// What an entry's demand lacks on this host, as a fraction of its limits; below 0 where loans exceed
/// the demand.
#[derive(Clone, Debug)]
pub struct Deficit {
    /// The entry.
    pub entry: EntryName,
    /// The fraction that is missing.
    pub fraction: f64,
}

/// Checks that a message has the known version and is meant for this host.
pub fn check_addressee(
    version: u32,
    to: Option<&HostName>,
    own: &HostName,
) -> std::result::Result<(), ProtocolError> {
    if version != PROTOCOL_VERSION {
        return Err(ProtocolError::Version(version));
    }
    match to {
        Some(to) if to != own => Err(ProtocolError::OtherHost(to.clone())),
        _ => Ok(()),
    }
}

/// Tells peers of suspected requests before the caller is answered.
pub struct PeerStrikeBroadcaster {
    /// The daemon, which owns the front that owns this.
    pub daemon: std::sync::Weak<Daemon>,
}

impl StrikeBroadcaster for PeerStrikeBroadcaster {
    fn broadcast(&self) -> BoxFuture<'_, ()> {
        Box::pin(async {
            let Some(daemon) = self.daemon.upgrade() else { return };
            let peers = {
                let membership = daemon.peers.membership.lock().unwrap();
                membership.sample(&mut rand::rng(), STRIKE_FAN_OUT)
            };
            let peers: Vec<PeerAddr> = peers.into_iter().map(PeerAddr::from).collect();
            let told = peers.iter().map(|peer| daemon.exchange(peer, Vec::new(), false));
            // Peers that do not answer in time hear it with a later exchange.
            let _ = tokio::time::timeout(STRIKE_LIMIT, futures_util::future::join_all(told)).await;
        })
    }
}
