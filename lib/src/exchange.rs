//! Exchanges with other daemons, which transfer documents, membership records, suspected requests,
//! drain notices and loans of shares.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use thiserror::Error;

use crate::backend::BoxFuture;
use crate::coordinator::StrikeBroadcaster;
use crate::daemon::Daemon;
use crate::distribution::document_from_transfer;
use crate::distribution::revisions;
use crate::documents::DocumentKind;
use crate::events::Event;
use crate::http_client::HttpCall;
use crate::http_client::HttpClientError;
use crate::ids::EntryName;
use crate::ids::HostName;
use crate::ids::Revision;
use crate::membership::PeerChange;
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
use crate::shares::LoanRequest;
use crate::suspect_report::SuspectReport;

/// Timeout of an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of the broadcast of a suspected request, during which the answer to its caller is held
/// back.
const STRIKE_TIMEOUT: Duration = Duration::from_millis(150);
/// Number of peers to which a suspected request is broadcast at once.
const STRIKE_FAN_OUT: usize = 32;
/// Number of peers to which a new document is announced at once.
const CHANGE_FAN_OUT: usize = 5;
/// Estimated bytes of HTTP headers around one message, for the count of control traffic.
const HTTP_OVERHEAD_BYTES: u64 = 300;

/// Failure of a call to a peer.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The HTTP call failed or timed out.
    #[error("Exchange failed")]
    Call(#[source] HttpClientError),
    /// The reply is not signed by a known key or does not decode.
    #[error("Answer of peer {peer} is refused")]
    Protocol {
        /// Address of the peer.
        peer: SocketAddr,
        /// Reason of the refusal.
        #[source]
        source: ProtocolError,
    },
    /// The peer answered with an HTTP status other than 200.
    #[error("Peer {peer} answered status {status}")]
    Status {
        /// Address of the peer.
        peer: SocketAddr,
        /// HTTP status of the reply.
        status: u16,
    },
    /// The reply does not repeat the nonce of the request, or the answer in it does not parse.
    #[error("Answer of peer {peer} is for another message")]
    WrongNonce {
        /// Address of the peer.
        peer: SocketAddr,
    },
}

/// Result of a call to a peer.
pub type Result<T> = std::result::Result<T, ExchangeError>;

/// Target of an exchange.
#[derive(Clone, Debug)]
pub struct PeerAddr {
    /// Name of the peer; absent for a seed, whose name is unknown.
    pub host: Option<HostName>,
    /// Address on which the peer's daemon listens.
    pub addr: SocketAddr,
}

impl From<(HostName, SocketAddr)> for PeerAddr {
    fn from((host, addr): (HostName, SocketAddr)) -> Self {
        Self { host: Some(host), addr }
    }
}

impl Daemon {
    fn own_record(&self) -> PeerRecord {
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

    fn own_status(&self, now: Instant) -> PeerStatus {
        PeerStatus {
            from: self.own_record(),
            revisions: revisions(&self.tier.view()),
            platform_age_ms: self.platform_age_ms(now),
            strikes: self.suspect_reports(now),
            drains: self.drain_notices(now),
        }
    }

    /// Returns the suspected and blocked requests to report, the last changed ones first.
    fn suspect_reports(&self, now: Instant) -> Vec<SuspectReport> {
        let mut reports = self.tier.quarantine.lock().unwrap().reports(now);
        reports.truncate(MAX_STRIKES);
        reports
    }

    fn drain_notices(&self, now: Instant) -> Vec<DrainNotice> {
        let draining = self.tier.draining_leafs(now).into_iter().take(MAX_DRAINS);
        let notices = draining.map(|drain| DrainNotice {
            leaf: drain.leaf.host.name.clone(),
            age_ms: drain.age.as_millis() as u64,
        });
        notices.collect()
    }

    /// Merges the status that a peer sent with an exchange into this daemon's state.
    fn apply_status(&self, status: &PeerStatus, now: Instant) {
        let their_hosts_revision = status.revisions.iter().find(|r| r.kind == DocumentKind::Hosts);
        let their_hosts_revision = their_hosts_revision.map_or(Revision(0), |r| r.revision);
        let change = self.peers.membership.lock().unwrap().record_contact(
            &status.from,
            their_hosts_revision,
            now,
        );
        match change {
            PeerChange::NewIncarnation => {
                Event::PeerJoined.info(&format!("Host {} has joined", status.from.host))
            }
            PeerChange::StartedLeaving => {
                Event::PeerLeaving.info(&format!("Host {} is shutting down", status.from.host))
            }
            PeerChange::Unchanged => {}
        }
        if let Some(age_ms) = status.platform_age_ms {
            let age = Duration::from_millis(age_ms);
            self.peers.contact.lock().unwrap().record_peer_answer(age, now);
        }
        let strikes = &status.strikes[..status.strikes.len().min(MAX_STRIKES)];
        self.tier.merge_suspects(strikes, now);
        let view = self.tier.view();
        for drain in status.drains.iter().take(MAX_DRAINS) {
            let key = view.hosts.leaf_key(&drain.leaf);
            if let Some(leaf) = key.and_then(|key| view.leafs.get(key)) {
                let age = Duration::from_millis(drain.age_ms);
                leaf.state().estimates.record_reported_draining(age, now);
                self.tier.mark_leaf_draining(leaf.key);
            }
        }
    }

    /// Exchanges with a peer and applies its reply. `wants` are the shares to borrow from it;
    /// `starting` marks an exchange by which a new process checks whether the peer holds loans that
    /// an earlier incarnation of this host lent.
    pub async fn exchange(
        &self,
        peer: &PeerAddr,
        wants: Vec<ShareRequest>,
        starting: bool,
    ) -> Result<ExchangeReply> {
        let requested_at = Instant::now();
        let _loan_guard = (!wants.is_empty()).then(|| self.peers.await_loan(peer.host.as_ref()));
        let req = self.exchange_request(peer, wants, starting, requested_at);
        let nonce = req.nonce;
        let counters = &self.tier.counters;
        counters.peer_exchanges.increment();
        let result = self.call_peer(peer.addr, EXCHANGE_PATH, encode(&req), EXCHANGE_TIMEOUT).await;
        let reply = result.and_then(|body| {
            let addr = peer.addr;
            let reply: ExchangeReply =
                decode(&body).map_err(|source| ExchangeError::Protocol { peer: addr, source })?;
            if reply.nonce == nonce {
                Ok(reply)
            } else {
                Err(ExchangeError::WrongNonce { peer: addr })
            }
        });
        match reply {
            Ok(reply) => {
                self.apply_reply(&reply, requested_at);
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
            news: self.own_status(now),
            wants,
            starting,
        }
    }

    /// Posts a signed message to a peer and returns the body of its reply, whose signature is
    /// verified. Fails if the reply does not come within `limit`.
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

    /// Applies the reply to a request sent at `requested_at`, which is when the leases of its loans
    /// start.
    fn apply_reply(&self, reply: &ExchangeReply, requested_at: Instant) {
        let now = Instant::now();
        self.apply_status(&reply.news, now);
        for transfer in &reply.transfers {
            if let Some(document) = document_from_transfer(transfer.clone(), &self.tier.view()) {
                self.apply_document(document);
            }
        }
        let mut shares = self.peers.shares.lock().unwrap();
        for loan in &reply.loans {
            let from = &reply.news.from;
            shares.borrow(loan.clone(), &from.host, from.incarnation, requested_at);
        }
        drop(shares);
        self.check_readiness(requested_at);
    }

    /// Applies the exchange request of a peer and returns the encoded reply. Fails if the request
    /// is not signed by a known key, does not decode, has another protocol version or is addressed
    /// to another host.
    pub fn answer_exchange(
        self: &Arc<Self>,
        body: &[u8],
        signature: &str,
    ) -> std::result::Result<Vec<u8>, ProtocolError> {
        let now = Instant::now();
        let req: ExchangeRequest = self.verify_and_decode(body, signature)?;
        check_addressee(req.version, req.to.as_ref(), &self.settings.host)?;
        self.apply_status(&req.news, now);
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
            news: self.own_status(now),
            transfers,
            loans: self.lend(&req, now),
            holds_your_loan,
        };
        let body = encode(&reply);
        self.tier.counters.peer_bytes.add(body.len() as u64 + HTTP_OVERHEAD_BYTES);
        Ok(body)
    }

    /// Verifies the signature of a message from a peer and decodes the message.
    pub fn verify_and_decode<'a, T: serde::Deserialize<'a>>(
        &self,
        body: &'a [u8],
        signature: &str,
    ) -> std::result::Result<T, ProtocolError> {
        self.tier.counters.peer_bytes.add(body.len() as u64 + HTTP_OVERHEAD_BYTES);
        if !self.peers.keys.verify(REQUEST_PURPOSE, body, signature) {
            self.tier.counters.peer_forgeries.increment();
            Event::PeerAuthenticationFailed
                .warn("Message of a peer refused: it is not signed by a known key");
            return Err(ProtocolError::Forged);
        }
        decode(body)
    }

    /// Returns the signature of a reply to a peer.
    pub fn sign_reply(&self, body: &[u8]) -> String {
        self.peers.keys.sign(REPLY_PURPOSE, body)
    }

    /// Lends shares to the sender of a request, if it is in this host's zone.
    fn lend(&self, req: &ExchangeRequest, now: Instant) -> Vec<Loan> {
        if req.news.from.zone != self.settings.zone {
            return Vec::new();
        }
        let view = self.tier.view();
        let fenced = self.is_fenced(&view, now);
        let mut loans = Vec::new();
        for share_request in req.wants.iter().take(MAX_WANTS) {
            let Some(entry) = view.catalogue.entry(share_request.entry.as_str()) else { continue };
            let state = self.tier.existing_entry_state(&entry.name);
            let used = state.map_or(0.0, |state| state.limits.lock().unwrap().demand().used);
            let loan_request = LoanRequest {
                entry: &entry.name,
                borrower: &req.news.from.host,
                wanted: share_request.fraction,
                used,
                fenced,
            };
            loans.extend(self.peers.shares.lock().unwrap().lend(&loan_request, now));
        }
        // This host's share must shrink before the borrower can use the loan.
        self.apply_shares(now);
        loans
    }

    /// Returns the deficits of the entries whose demand exceeds this host's share, and of those for
    /// which it borrows from other hosts.
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

    /// Returns the shares to request from `lender`: for each deficit, the missing fraction plus the
    /// fraction borrowed from this lender already.
    pub fn share_requests_to(
        &self,
        lender: &HostName,
        deficits: &[Deficit],
        now: Instant,
    ) -> Vec<ShareRequest> {
        let shares = self.peers.shares.lock().unwrap();
        let share_request = |deficit: &Deficit| {
            let held = shares.borrowed_from(&deficit.entry, lender, now);
            let fraction = held + deficit.fraction;
            (fraction > MIN_LOAN_FRACTION)
                .then(|| ShareRequest { entry: deficit.entry.clone(), fraction })
        };
        deficits.iter().filter_map(share_request).take(MAX_WANTS).collect()
    }

    /// Starts an exchange with a peer in the background.
    pub fn spawn_exchange(self: &Arc<Self>, peer: PeerAddr) {
        let Some(runtime) = self.peers.runtime.get() else { return };
        let daemon = self.clone();
        runtime.spawn(async move {
            // A failure is counted by `exchange`, and a later exchange sends the same state.
            let _ = daemon.exchange(&peer, Vec::new(), false).await;
        });
    }

    /// Starts exchanges with all hosts of the zone, to announce that this one is leaving.
    pub fn announce_leaving(&self) {
        let Some(daemon) = self.self_ref() else { return };
        let peers = self.peers.membership.lock().unwrap().zone_peers();
        peers.into_iter().for_each(|peer| daemon.spawn_exchange(peer.into()));
    }

    /// Starts exchanges with some random peers, to announce a new document.
    pub fn announce_change(&self) {
        let Some(daemon) = self.self_ref() else { return };
        let peers = {
            let membership = self.peers.membership.lock().unwrap();
            membership.sample(&mut rand::rng(), CHANGE_FAN_OUT)
        };
        peers.into_iter().for_each(|peer| daemon.spawn_exchange(peer.into()));
    }
}

/// Smallest fraction of an entry's limits that is requested from a peer.
const MIN_LOAN_FRACTION: f64 = 0.0005;

/// Difference between an entry's demand on this host, with some headroom, and the host's share.
/// Negative if borrowed shares exceed the demand.
#[derive(Clone, Debug)]
pub struct Deficit {
    /// Name of the entry.
    pub entry: EntryName,
    /// Difference as a fraction of the entry's limits.
    pub fraction: f64,
}

/// Checks that a message has the supported version and is addressed to `own`. A message without an
/// addressee is accepted.
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

/// Broadcasts suspected requests to peers before the caller is answered.
pub struct PeerStrikeBroadcaster {
    /// The daemon; weak, as it owns the coordinator that owns this broadcaster.
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
            let exchanges = peers.iter().map(|peer| daemon.exchange(peer, Vec::new(), false));
            // Peers that do not answer in time get the strikes with a later exchange.
            let _ = tokio::time::timeout(STRIKE_TIMEOUT, futures_util::future::join_all(exchanges))
                .await;
        })
    }
}
