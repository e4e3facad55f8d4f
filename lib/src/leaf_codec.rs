//! Border between the query logic and a protocol that leafs speak.

use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use thiserror::Error;

use crate::hosts::LeafHost;
use crate::leaf_protocol::CallId;
use crate::leaf_protocol::LeafReply;

/// A call about to be written.
#[derive(Clone, Copy, Debug)]
pub struct OutgoingCall<'a> {
    /// The call's identity.
    pub call: CallId,
    /// The leaf that is called.
    pub leaf: &'a LeafHost,
    /// Time left until the answer is of no use.
    pub remaining: Duration,
}

/// A response that is no reply to the call on whose connection it came.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("Response belongs to another call or cannot be read: {0}")]
pub struct UnmatchedReply(pub String);

/// Writes calls and reads replies. One object serves one query.
pub trait LeafCodec<P>: Send + Sync {
    /// Makes the request of a call.
    fn request(&self, call: &OutgoingCall<'_>) -> Request<Bytes>;

    /// Reads the response to a call.
    fn reply(
        &self,
        call: &OutgoingCall<'_>,
        response: Response<Bytes>,
    ) -> Result<LeafReply<P>, UnmatchedReply>;

    /// Makes a request that cancels a call, where the protocol has one.
    fn cancellation(&self, call: CallId) -> Option<Request<Bytes>>;

    /// Reads a reply that came through a relay.
    fn decode_relayed(&self, body: &[u8]) -> Result<LeafReply<P>, UnmatchedReply>;
}
