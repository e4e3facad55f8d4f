//! Messages between daemons: MessagePack over HTTP, authenticated by [`crate::signature`].
//!
//! `docs/PROTOCOL.md` describes each message. Structs are encoded with field names; a new field
//! must have a default.

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
use crate::signature::KeyRing;
use crate::suspect_report::SuspectReport;

/// Version of the messages; messages of other versions are refused.
pub const PROTOCOL_VERSION: u32 = 1;
/// HTTP path of an exchange.
pub const EXCHANGE_PATH: &str = "/peer/exchange";
/// HTTP path of a ticketed request that is forwarded to the ticket's issuer.
pub const FORWARD_PATH: &str = "/peer/forward";
/// Purpose that the signature of a request covers.
pub const REQUEST_PURPOSE: &str = "peer-request";
/// Purpose that the signature of a reply covers, so that a request cannot be replayed as a reply.
pub const REPLY_PURPOSE: &str = "peer-reply";
/// Maximum number of suspected requests reported in one message.
pub const MAX_STRIKES: usize = 64;
/// Maximum number of drain notices in one message.
pub const MAX_DRAINS: usize = 64;
/// Maximum number of loan requests in one message.
pub const MAX_WANTS: usize = 64;

/// Reason for which a message of a peer is refused.
#[derive(Debug, Error)]
pub enum ProtocolError {
    /// The message does not decode from MessagePack.
    #[error("Peer message does not decode")]
    Decode(#[source] rmp_serde::decode::Error),
    /// The message has another version.
    #[error("Peer message has version {0}, not {PROTOCOL_VERSION}")]
    Version(u32),
    /// The message is addressed to another host.
    #[error("Peer message is for host \"{0}\"")]
    OtherHost(HostName),
    /// The signature is missing or does not match any known key.
    #[error("Peer message is not signed by a known key")]
    Forged,
}

/// Result of decoding a message.
pub type Result<T> = std::result::Result<T, ProtocolError>;

/// Membership record that a daemon sends about itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerRecord {
    /// Name of the host.
    pub host: HostName,
    /// Availability zone of the host.
    pub zone: Zone,
    /// Address on which the host's daemon listens.
    pub addr: SocketAddr,
    /// Incarnation of the process; a restart gets a new one.
    pub incarnation: Incarnation,
    /// Whether the daemon accepts queries.
    pub phase: Phase,
}

/// Revision of one kind of document that a host has applied.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KindRevision {
    /// Kind of the document.
    pub kind: DocumentKind,
    /// Applied revision; 0 if there is none.
    pub revision: Revision,
}

/// Notice that a leaf is draining.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DrainNotice {
    /// Name of the leaf.
    pub leaf: LeafName,
    /// Time since the leaf reported that it is draining, in milliseconds.
    pub age_ms: u64,
}

/// Request to borrow part of a peer's share of an entry's limits.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ShareRequest {
    /// Name of the entry.
    pub entry: EntryName,
    /// Requested fraction of the entry's limits, from 0 to 1; includes what is borrowed already.
    pub fraction: f64,
}

/// Loan of part of a share until its lease ends.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Loan {
    /// Name of the entry.
    pub entry: EntryName,
    /// Lent fraction of the entry's limits, from 0 to 1.
    pub fraction: f64,
    /// Length of the lease in milliseconds, which the borrower counts from sending its request.
    pub lease_ms: u64,
}

/// Update of a document: the full text, or patches of the receiver's revision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Transfer {
    /// The full document is sent if no kept patch applies to the receiver's revision, or if the new
    /// bytes in the patches from there on are at least half as many as those of the document.
    Full {
        /// Kind of the document.
        kind: DocumentKind,
        /// Revision of the document.
        revision: Revision,
        /// Text of the document.
        #[serde(with = "serde_bytes_vec")]
        body: Vec<u8>,
    },
    /// Patches, each of which applies to the result of the one before.
    Patches {
        /// Kind of the document.
        kind: DocumentKind,
        /// Patches, oldest first.
        patches: Vec<Patch>,
    },
}

/// State that a host sends to a peer with each request and reply.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerStatus {
    /// Record of the sender.
    pub from: PeerRecord,
    /// Revisions of the documents that the sender has applied.
    pub revisions: Vec<KindRevision>,
    /// Time since the last contact with the platform, direct or through peers, in milliseconds;
    /// absent if there was none.
    pub platform_age_ms: Option<u64>,
    /// Suspected and blocked requests.
    pub strikes: Vec<SuspectReport>,
    /// Leafs that have reported that they are draining.
    pub drains: Vec<DrainNotice>,
}

/// Request of an exchange between daemons.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExchangeRequest {
    /// Version of the messages, [`PROTOCOL_VERSION`].
    pub version: u32,
    /// Addressee, so that a message cannot be replayed to another host; absent for a seed, whose
    /// name is unknown.
    pub to: Option<HostName>,
    /// Random number that the reply must repeat.
    pub nonce: u64,
    /// State of the sender.
    pub news: PeerStatus,
    /// Shares that the sender requests to borrow.
    pub wants: Vec<ShareRequest>,
    /// Whether the sender has just started and checks by [`ExchangeReply::holds_your_loan`] whether
    /// loans from an earlier incarnation of it are outstanding. Receivers do not evaluate this
    /// field.
    pub starting: bool,
}

/// Reply to an [`ExchangeRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExchangeReply {
    /// Version of the messages, [`PROTOCOL_VERSION`].
    pub version: u32,
    /// Nonce of the request.
    pub nonce: u64,
    /// State of the replying host.
    pub news: PeerStatus,
    /// Updates of the documents of which the requester has an older revision.
    pub transfers: Vec<Transfer>,
    /// Shares lent to the requester.
    pub loans: Vec<Loan>,
    /// Whether the replying host holds a loan from an earlier incarnation of the requester, or may
    /// still receive one.
    pub holds_your_loan: bool,
}

/// Ticketed request of a caller, forwarded to the issuer of the ticket.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ForwardRequest {
    /// Version of the messages, [`PROTOCOL_VERSION`].
    pub version: u32,
    /// Addressee: the issuer of the ticket.
    pub to: HostName,
    /// Random number that the reply must repeat.
    pub nonce: u64,
    /// Request of the caller, in JSON.
    pub query: String,
    /// Time left until the query's deadline, in milliseconds. Issuers do not evaluate this field.
    pub remaining_ms: u64,
}

/// Reply of the ticket's issuer to a [`ForwardRequest`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ForwardReply {
    /// Version of the messages, [`PROTOCOL_VERSION`].
    pub version: u32,
    /// Nonce of the request.
    pub nonce: u64,
    /// Incarnation of the issuer's process.
    pub incarnation: Incarnation,
    /// Answer for the caller, in JSON.
    pub answer: String,
}

/// Encodes a message as MessagePack with field names.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(message).expect("message types serialise")
}

/// Decodes a message from MessagePack. Unknown fields are ignored.
pub fn decode<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T> {
    rmp_serde::from_slice(body).map_err(ProtocolError::Decode)
}

/// HTTP path of a batch of leaf calls for a relay.
pub const RELAY_PATH: &str = "/peer/relay";
/// HTTP path that cancels relayed calls.
pub const RELAY_CANCEL_PATH: &str = "/peer/relay-cancel";
/// Purpose that the signature of a relay frame covers.
const FRAME_PURPOSE: &str = "relay-frame";

/// One leaf call of a [`RelayQuery`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RelayCall {
    /// Number of the call within the query.
    pub attempt: Attempt,
    /// Number of the shard to search.
    pub shard: ShardNo,
    /// Name of the leaf to call.
    pub leaf: LeafName,
}

/// Calls of one query in a batch, with the properties that they share.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RelayQuery {
    /// Identifier of the query.
    pub query: QueryId,
    /// Version of the index that the query is pinned to.
    pub index_version: IndexVersion,
    /// Name of the index.
    pub index: IndexName,
    /// Kind of request, from the query's entry.
    pub kind: String,
    /// Priority class of the entry, which orders the calls in the relay's queues.
    pub class: Class,
    /// Whether the calls are idempotent.
    pub idempotent: bool,
    /// Time left until the query's deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Parameters of the caller, in JSON.
    pub params: String,
    /// Calls of the query to leafs.
    pub calls: Vec<RelayCall>,
}

impl RelayQuery {
    /// Returns the identifiers of the calls, in their order.
    pub fn call_ids(&self) -> impl Iterator<Item = CallId> + '_ {
        let (query, version) = (self.query, self.index_version);
        let id = move |c: &RelayCall| CallId { query, attempt: c.attempt, shard: c.shard, version };
        self.calls.iter().map(id)
    }
}

/// Batch of leaf calls for a relay. The reply is a stream of [`RelayFrame`]s, each preceded by its
/// length as a big-endian 32-bit number.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RelayRequest {
    /// Version of the messages, [`PROTOCOL_VERSION`].
    pub version: u32,
    /// Addressee: the relay.
    pub to: HostName,
    /// Random number that the signatures of the frames cover.
    pub nonce: u64,
    /// Queries with their calls.
    pub queries: Vec<RelayQuery>,
}

/// Outcome of a relayed call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RelayEnd {
    /// The leaf replied to the call, with any status, and the relay could decode the reply and
    /// match it to the call.
    Answered {
        /// Answer of the leaf, in JSON.
        #[serde(with = "serde_bytes_vec")]
        json: Vec<u8>,
    },
    /// No byte of the call was written to the leaf.
    NotSent,
    /// The call got no slot at the leaf in time; no byte was written.
    NoSlot,
    /// The connection to the leaf broke after a byte may have been written.
    Broken,
    /// The answer of the leaf does not decode or does not match the call, or none came within the
    /// grace period after a cancellation.
    Garbled,
}

/// Signed outcome of one relayed call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RelayFrame {
    /// Identifier of the call.
    pub call: CallId,
    /// Outcome of the call.
    pub end: RelayEnd,
    /// Signature over the nonce of the batch, the identifier and the outcome.
    pub signature: String,
}

impl RelayFrame {
    /// Creates a frame signed with the current key.
    pub fn signed(keys: &KeyRing, nonce: u64, call: CallId, end: RelayEnd) -> Self {
        let signature = keys.sign(FRAME_PURPOSE, &encode(&(nonce, &call, &end)));
        Self { call, end, signature }
    }

    /// Returns whether the frame belongs to the batch with this nonce and is signed by a known key.
    pub fn is_signed(&self, keys: &KeyRing, nonce: u64) -> bool {
        let message = encode(&(nonce, &self.call, &self.end));
        keys.verify(FRAME_PURPOSE, &message, &self.signature)
    }
}

/// Request to cancel relayed calls.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RelayCancel {
    /// Version of the messages, [`PROTOCOL_VERSION`].
    pub version: u32,
    /// Addressee: the relay.
    pub to: HostName,
    /// Identifiers of the calls to cancel.
    pub calls: Vec<CallId>,
}
