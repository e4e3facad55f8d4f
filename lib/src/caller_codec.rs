//! Border between the system and the protocol that callers of opaque requests speak.

use bytes::Bytes;
use hyper::Response;
use hyper::http::request::Parts;

use crate::opaque::LocalAnswer;
use crate::opaque::OpaqueAnswer;
use crate::opaque::OpaqueRequest;

/// Reads requests and writes answers.
pub trait CallerCodec: Send + Sync {
    /// Reads a request, or says what is wrong with it.
    fn request(&self, head: Parts, body: Bytes) -> Result<OpaqueRequest, LocalAnswer>;

    /// Writes an answer.
    fn response(&self, answer: OpaqueAnswer) -> Response<Bytes>;
}
