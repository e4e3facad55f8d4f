//! Interface to the protocol between callers and this process for opaque requests.

use bytes::Bytes;
use hyper::Response;
use hyper::http::request::Parts;

use crate::opaque::LocalAnswer;
use crate::opaque::OpaqueAnswer;
use crate::opaque::OpaqueRequest;

/// Decodes requests of callers and encodes answers.
pub trait CallerCodec: Send + Sync {
    /// Decodes a request. Returns the answer that refuses it if it is malformed.
    fn request(&self, head: Parts, body: Bytes) -> Result<OpaqueRequest, LocalAnswer>;

    /// Encodes an answer.
    fn response(&self, answer: OpaqueAnswer) -> Response<Bytes>;
}
