//! Stand-in peers: answer and send gossip exchanges in the name of thousands of listed hosts, all
//! at one address.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use jasmineusher_lib::distribution::Archive;
use jasmineusher_lib::distribution::revisions;
use jasmineusher_lib::documents::Document;
use jasmineusher_lib::documents::View;
use jasmineusher_lib::hosts::LeafRegistry;
use jasmineusher_lib::http_client::HttpCall;
use jasmineusher_lib::http_client::HttpClient;
use jasmineusher_lib::ids::HostName;
use jasmineusher_lib::ids::Incarnation;
use jasmineusher_lib::ids::Zone;
use jasmineusher_lib::lifecycle::Phase;
use jasmineusher_lib::peer_protocol::EXCHANGE_PATH;
use jasmineusher_lib::peer_protocol::ExchangeReply;
use jasmineusher_lib::peer_protocol::ExchangeRequest;
use jasmineusher_lib::peer_protocol::PROTOCOL_VERSION;
use jasmineusher_lib::peer_protocol::PeerRecord;
use jasmineusher_lib::peer_protocol::PeerStatus;
use jasmineusher_lib::peer_protocol::REPLY_PURPOSE;
use jasmineusher_lib::peer_protocol::REQUEST_PURPOSE;
use jasmineusher_lib::peer_protocol::decode;
use jasmineusher_lib::peer_protocol::encode;
use jasmineusher_lib::settings::PeerKey;
use jasmineusher_lib::signature::KeyRing;
use tokio::net::TcpListener;

use crate::bed::BED_KEY;
use crate::fleet::parse_name;
use crate::http_service::StandInReply;
use crate::http_service::StandInRequest;
use crate::http_service::serve_connection;

/// Timeout of an exchange that the peers send.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

struct Shared {
    addr: SocketAddr,
    zone: Zone,
    keys: KeyRing,
    registry: LeafRegistry,
    peer_documents: Mutex<PeerDocuments>,
    client: HttpClient,
}

/// Documents that every peer holds, and the patches that lead to them from replaced ones.
#[derive(Default)]
struct PeerDocuments {
    view: View,
    archive: Archive,
}

/// Handle to running stand-in peers, which stop with the runtime that they were started in.
#[derive(Clone)]
pub struct StandInPeers {
    shared: Arc<Shared>,
}

impl StandInPeers {
    /// Listens on a free port of `127.0.0.1` for all peers, which are in one zone, and serves in
    /// the current runtime.
    pub async fn start(zone: Zone) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let shared = Arc::new(Shared {
            addr: listener.local_addr()?,
            zone,
            keys: KeyRing::new(vec![PeerKey(BED_KEY.into())]),
            registry: LeafRegistry::default(),
            peer_documents: Mutex::default(),
            client: HttpClient::default(),
        });
        let handler = {
            let shared = shared.clone();
            Arc::new(move |req| answer(shared.clone(), req))
        };
        tokio::spawn(async move {
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    tokio::spawn(serve_connection(stream, handler.clone()));
                }
            }
        });
        Ok(Self { shared })
    }

    /// Returns the address that all peers share.
    pub fn addr(&self) -> SocketAddr {
        self.shared.addr
    }

    /// Applies a document on all peers, as if they had read it from the platform. Panics if the
    /// document is invalid.
    pub fn apply_document(&self, document: Document) {
        let mut peer_documents = self.shared.peer_documents.lock().unwrap();
        let old = peer_documents.view.document(document.kind).cloned();
        let next = peer_documents.view.with_document(
            document.clone(),
            &self.shared.registry,
            &parse_name("host-1"),
            Instant::now(),
        );
        peer_documents.view = next.expect("the bench publishes valid documents");
        peer_documents.archive.record_replacement(old.as_ref(), &document);
    }

    /// Sends an exchange to the daemon `to` at `addr` in the name of the host `from`, and returns
    /// whether the daemon answered it with status 200.
    pub async fn exchange(&self, from: &HostName, to: &HostName, addr: SocketAddr) -> bool {
        let shared = &self.shared;
        let req = ExchangeRequest {
            version: PROTOCOL_VERSION,
            to: Some(to.clone()),
            nonce: 1,
            news: shared.peer_status(from.clone()),
            wants: Vec::new(),
            starting: false,
        };
        let body = encode(&req);
        let signature = Some(shared.keys.sign(REQUEST_PURPOSE, &body));
        let call = HttpCall::post(addr, EXCHANGE_PATH, body.into(), EXCHANGE_TIMEOUT);
        shared.client.call(HttpCall { signature, ..call }).await.is_ok_and(|r| r.status == 200)
    }
}

impl Shared {
    fn peer_status(&self, host: HostName) -> PeerStatus {
        let from = PeerRecord {
            host,
            zone: self.zone.clone(),
            addr: self.addr,
            incarnation: Incarnation(1),
            phase: Phase::Ready,
        };
        PeerStatus {
            from,
            revisions: revisions(&self.peer_documents.lock().unwrap().view),
            platform_age_ms: Some(100),
            strikes: Vec::new(),
            drains: Vec::new(),
        }
    }
}

/// Answers an exchange in the name of the host that it is addressed to, with the documents that the
/// sender lacks.
async fn answer(shared: Arc<Shared>, req: StandInRequest) -> Option<StandInReply> {
    let req: ExchangeRequest = decode(&req.body).ok()?;
    let transfers = {
        let peer_documents = shared.peer_documents.lock().unwrap();
        peer_documents.archive.transfers(&peer_documents.view, &req.news.revisions)
    };
    let reply = ExchangeReply {
        version: PROTOCOL_VERSION,
        nonce: req.nonce,
        news: shared.peer_status(req.to.clone()?),
        transfers,
        loans: Vec::new(),
        holds_your_loan: false,
    };
    let body = encode(&reply);
    let signature = shared.keys.sign(REPLY_PURPOSE, &body);
    Some(StandInReply { signature: Some(signature), ..StandInReply::ok(body) })
}
