//! Messages between daemons: MessagePack over HTTP, authenticated by [`crate::signature`].
//!
//! `docs/PROTOCOL.md` describes each message. A field is only ever added with a default.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::catalogue::Class;
use crate::documents::DocumentKind;
use crate::ids::Attempt;
use crate::ids::EntryName;
use crate::ids::HostName;
use crate::ids::Incarnation;
use crate::ids::IndexName;
use crate::ids::IndexVersion;
use crate::ids::LeafName;
use crate::ids::QueryId;
use crate::ids::Revision;
use crate::ids::ShardNo;
use crate::ids::Zone;
use crate::leaf_protocol::CallId;
use crate::lifecycle::Phase;
use crate::patch::Patch;
use crate::patch::serde_bytes_vec;
use crate::quarantine::SuspectReport;
use crate::signature::KeyRing;

/// Version of the messages; others are refused.
pub const PROTOCOL_VERSION: u32 = 1;
/// Path of an exchange.
pub const EXCHANGE_PATH: &str = "/peer/exchange";
/// Path of a ticketed request that is forwarded to the ticket's issuer.
pub const FORWARD_PATH: &str = "/peer/forward";
/// Purpose of a peer message's signature.
pub const REQUEST_PURPOSE: &str = "peer-request";
/// Purpose of a peer answer's signature.
pub const REPLY_PURPOSE: &str = "peer-reply";
/// The most strikes in one message.
pub const MAX_STRIKES: usize = 64;
/// The most drain notices in one message.
pub const MAX_DRAINS: usize = 64;
/// The most loans asked for in one message.
pub const MAX_WANTS: usize = 64;

/// Why a message is refused.
#[derive(Debug, Error)]
pub enum ProtocolError {
    /// The message does not decode.
    #[error("Peer message does not decode")]
    Decode(#[source] rmp_serde::decode::Error),
    /// The message has another version.
    #[error("Peer message has version {0}, not {PROTOCOL_VERSION}")]
    Version(u32),
    /// The message is meant for another host.
    #[error("Peer message is for host \"{0}\"")]
    OtherHost(HostName),
    /// The signature is missing or wrong.
    #[error("Peer message is not signed by a known key")]
    Forged,
}

/// Result of reading a message.
pub type Result<T> = std::result::Result<T, ProtocolError>;

/// Who sends a message.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerRecord {
    /// The host.
    pub host: HostName,
    /// Its zone.
    pub zone: Zone,
    /// Where its daemon listens.
    pub addr: SocketAddr,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Whether it takes queries.
    pub phase: Phase,
}

/// The revision of one document that a host has in force.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KindRevision {
    /// The document.
    pub kind: DocumentKind,
    /// Its revision; 0 for none.
    pub revision: Revision,
}

/// A leaf that said that it is leaving.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DrainNotice {
    /// The leaf.
    pub leaf: LeafName,
    /// Time since it said so, in milliseconds.
    pub age_ms: u64,
}

/// Asks for part of a peer's share of an entry's limits.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ShareRequest {
    /// The entry.
    pub entry: EntryName,
    /// Fraction of the entry's limits asked for.
    pub fraction: f64,
}

/// Lends part of a share until the lease ends.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Loan {
    /// The entry.
    pub entry: EntryName,
    /// Fraction of the entry's limits lent.
    pub fraction: f64,
    /// Length of the lease, in milliseconds, counted by the borrower from its request.
    pub lease_ms: u64,
}

/// A document, whole or as patches of what the receiver has.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Transfer {
    /// The whole document.
    Full {
        /// The kind of document.
        kind: DocumentKind,
        /// Its revision.
        revision: Revision,
        /// Its text.
        #[serde(with = "serde_bytes_vec")]
        body: Vec<u8>,
    },
    /// Patches, each applying to the revision that the one before makes.
    Patches {
        /// The kind of document.
        kind: DocumentKind,
        /// The patches, oldest first.
        patches: Vec<Patch>,
    },
}

/// What a host tells its peers, asked or not.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerStatus {
    /// The host.
    pub from: PeerRecord,
    /// What it has in force.
    pub revisions: Vec<KindRevision>,
    /// Time since the platform was heard by it or by a host that told it, in milliseconds.
    pub platform_age_ms: Option<u64>,
    /// Suspected requests.
    pub strikes: Vec<SuspectReport>,
    /// Leafs that said that they are leaving.
    pub drains: Vec<DrainNotice>,
}

/// What a host tells and asks a peer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExchangeRequest {
    /// Version of the messages.
    pub version: u32,
    /// The receiver, so that a message is of no use to another; unknown when a seed is asked.
    pub to: Option<HostName>,
    /// Random number that the answer repeats.
    pub nonce: u64,
    /// What the sender tells.
    pub news: PeerStatus,
    /// Shares that the sender asks for.
    pub wants: Vec<ShareRequest>,
    /// Whether the sender has just started and asks whether it holds debts from an earlier run.
    pub starting: bool,
}

/// The answer to an [`ExchangeRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExchangeReply {
    /// Version of the messages.
    pub version: u32,
    /// The request's number.
    pub nonce: u64,
    /// What the receiver of the request tells.
    pub news: PeerStatus,
    /// Documents that the requester lacks.
    pub transfers: Vec<Transfer>,
    /// Shares lent.
    pub loans: Vec<Loan>,
    /// Whether this host still holds a loan from an earlier run of the requester.
    pub holds_your_loan: bool,
}

/// A ticketed request for its issuer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ForwardRequest {
    /// Version of the messages.
    pub version: u32,
    /// The issuer.
    pub to: HostName,
    /// Random number that the answer repeats.
    pub nonce: u64,
    /// The caller's request, in JSON.
    pub query: String,
    /// Time left until the caller gives up, in milliseconds.
    pub remaining_ms: u64,
}

/// The issuer's answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ForwardReply {
    /// Version of the messages.
    pub version: u32,
    /// The request's number.
    pub nonce: u64,
    /// The run of the issuer's process.
    pub incarnation: Incarnation,
    /// The answer, in JSON.
    pub answer: String,
}

/// Encodes a message.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(message).expect("message types serialise")
}

/// Decodes a message.
pub fn decode<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T> {
    rmp_serde::from_slice(body).map_err(ProtocolError::Decode)
}

/// Path of a batch of leaf calls for a relay.
pub const RELAY_PATH: &str = "/peer/relay";
/// Path that cancels relayed calls.
pub const RELAY_CANCEL_PATH: &str = "/peer/relay-cancel";
/// Purpose of a relay frame's signature.
const FRAME_PURPOSE: &str = "relay-frame";

/// One leaf call of a relayed query.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RelayCall {
    /// The call within the query.
    pub attempt: Attempt,
    /// The shard.
    pub shard: ShardNo,
    /// The leaf.
    pub leaf: LeafName,
}

/// The calls of one query in a batch.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RelayQuery {
    /// The query.
    pub query: QueryId,
    /// The pinned version.
    pub index_version: IndexVersion,
    /// The index.
    pub index: IndexName,
    /// The entry's kind of request.
    pub kind: String,
    /// The entry's class, by which the relay queues.
    pub class: Class,
    /// Whether running a call twice does no harm.
    pub idempotent: bool,
    /// Time left, in milliseconds.
    pub remaining_ms: u64,
    /// The caller's parameters, in JSON.
    pub params: String,
    /// The calls.
    pub calls: Vec<RelayCall>,
}

impl RelayQuery {
    /// Returns the identities of the calls.
    pub fn call_ids(&self) -> impl Iterator<Item = CallId> + '_ {
        let (query, version) = (self.query, self.index_version);
        let id = move |c: &RelayCall| CallId { query, attempt: c.attempt, shard: c.shard, version };
        self.calls.iter().map(id)
    }
}

/// A batch of leaf calls. The answer is a stream of [`RelayFrame`]s, each after its length as four
/// bytes, most significant first.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RelayRequest {
    /// Version of the messages.
    pub version: u32,
    /// The relay.
    pub to: HostName,
    /// Random number that the frames' signatures cover.
    pub nonce: u64,
    /// The queries.
    pub queries: Vec<RelayQuery>,
}

/// How a relayed call ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RelayEnd {
    /// The leaf answered.
    Answered {
        /// The leaf's answer, in JSON.
        #[serde(with = "serde_bytes_vec")]
        json: Vec<u8>,
    },
    /// No byte of the call was written to the leaf.
    NotSent,
    /// The call could not get a slot in time; no byte was written.
    NoSlot,
    /// The leaf's connection broke after a byte may have been written.
    Broken,
    /// The leaf's answer could not be used.
    Garbled,
}

/// The end of one relayed call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RelayFrame {
    /// The call.
    pub call: CallId,
    /// Its end.
    pub end: RelayEnd,
    /// Signature over the batch's nonce, the call and the end.
    pub signature: String,
}

impl RelayFrame {
    /// Makes a signed frame.
    pub fn signed(keys: &KeyRing, nonce: u64, call: CallId, end: RelayEnd) -> Self {
        let signature = keys.sign(FRAME_PURPOSE, &encode(&(nonce, &call, &end)));
        Self { call, end, signature }
    }

    /// Whether the frame belongs to the batch and was signed by a known key.
    pub fn is_signed(&self, keys: &KeyRing, nonce: u64) -> bool {
        let message = encode(&(nonce, &self.call, &self.end));
        keys.verify(FRAME_PURPOSE, &message, &self.signature)
    }
}

/// Cancels relayed calls.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RelayCancel {
    /// Version of the messages.
    pub version: u32,
    /// The relay.
    pub to: HostName,
    /// The calls.
    pub calls: Vec<CallId>,
}
