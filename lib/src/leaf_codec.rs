//! Interface between the query logic and the protocol of the leafs.

use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use thiserror::Error;

use crate::hosts::LeafHost;
use crate::leaf_notices::LeafNotice;
use crate::leaf_protocol::CallId;
use crate::leaf_protocol::LeafReply;

/// A leaf call that is about to be encoded and sent.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingCall<'a> {
    /// Identifier of the call.
    pub call: CallId,
    /// Leaf to which the call is sent.
    pub leaf: &'a LeafHost,
    /// Time left until the query's deadline.
    pub remaining: Duration,
    /// Whether the call is the first one on its connection, so that a response without an id can
    /// only be its own.
    pub is_first_on_connection: bool,
}

/// Error for a response that does not parse or belongs to another call than the one on whose
/// connection it arrived.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("Response belongs to another call or cannot be read: {cause}")]
pub struct UnmatchedReply {
    /// Description of the difference.
    pub cause: String,
    /// What the leaf says about taking further calls, if the response is to the call but cannot be
    /// used. What the response to another call says may be out of date or of another leaf.
    pub notice: LeafNotice,
}

impl UnmatchedReply {
    /// Creates the error for a response without a notice.
    pub fn new(cause: impl Into<String>) -> Self {
        Self { cause: cause.into(), notice: LeafNotice::default() }
    }
}

/// Encodes the calls and decodes the replies of one query.
pub trait LeafCodec<P>: Send + Sync {
    /// Encodes a call as a request.
    fn encode_request(&self, call: &OutgoingCall<'_>) -> Request<Bytes>;

    /// Decodes the response to a call. Returns an error if the response does not parse or belongs
    /// to another call.
    fn decode_reply(
        &self,
        call: &OutgoingCall<'_>,
        response: Response<Bytes>,
    ) -> Result<LeafReply<P>, UnmatchedReply>;

    /// Encodes the cancellation of a call; `None` if the protocol has no cancellation.
    fn encode_cancellation(&self, call: CallId) -> Option<Request<Bytes>>;

    /// Decodes the body of a reply that a relay passed on.
    fn decode_relayed(&self, body: &[u8]) -> Result<LeafReply<P>, UnmatchedReply>;
}
