//! Opaque requests and responses, whose content is passed through without being interpreted.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

use crate::fingerprint::Fingerprint;

/// Request of a caller, as it is sent to the leafs.
#[derive(Clone, Debug)]
pub struct OpaqueRequest {
    /// Identifier that the caller gave to this attempt.
    pub id: HeaderValue,
    /// Host from the caller's `host` header, in lower case and without a port.
    pub host: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query string, unchanged.
    pub path: String,
    /// End-to-end headers, without those that are set for each call to a leaf.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Time for which the caller waits for the answer, from the arrival of the request, or `None`
    /// if the caller sent none.
    pub caller_timeout: Option<Duration>,
}

impl OpaqueRequest {
    /// Returns a fingerprint that is the same for each resend of this request: a hash of its
    /// method, host, path and body.
    pub fn fingerprint(&self) -> Fingerprint {
        let fields = [
            self.method.as_str().as_bytes(),
            self.host.as_bytes(),
            self.path.as_bytes(),
            &self.body,
        ];
        Fingerprint::of_fields(&fields)
    }
}

/// Response of one leaf: the complete answer, or one part of a merged one.
#[derive(Clone, Debug)]
pub struct LeafResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// End-to-end headers of the response.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// The leaf's signature of the response, for callers to verify; `None` if there is none.
    pub signature: Option<HeaderValue>,
}

/// Answer to a caller.
#[derive(Debug)]
pub enum OpaqueAnswer {
    /// Response of one leaf, passed through unchanged.
    PassedThrough(LeafResponse),
    /// Records merged from the responses of several leafs.
    Merged(MergedAnswer),
    /// Answer that this process generates without the response of a leaf.
    Local(LocalAnswer),
}

/// Greatest records, in byte order, of all shards that contributed.
#[derive(Debug)]
pub struct MergedAnswer {
    /// Records, greatest first.
    pub records: Bytes,
    /// Signatures of the leaf responses that were merged.
    pub signatures: Vec<HeaderValue>,
    /// Number of shards that did not contribute.
    pub missing: usize,
}

/// Answer that this process generates itself, as a refusal or after a failure.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LocalAnswer {
    /// HTTP status. 503, 429, 408 and 421 promise that the request has not run and never will.
    pub status: StatusCode,
    /// Time after which a resend may succeed, or `None` if it cannot be estimated.
    pub retry_after: Option<Duration>,
    /// Reason for the answer, in words.
    pub message: Arc<str>,
}

impl LocalAnswer {
    /// Creates an answer without a time for a resend.
    pub fn new(status: StatusCode, message: impl Into<Arc<str>>) -> Self {
        Self { status, retry_after: None, message: message.into() }
    }

    /// Creates a refusal with status 503, which promises that the request has not run.
    pub fn refused(retry_after: Duration, message: impl Into<Arc<str>>) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self { status, retry_after: Some(retry_after), message: message.into() }
    }
}

/// Headers that concern one connection only and are not passed through.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes the headers that concern one connection only: those of `HOP_BY_HOP_HEADERS`, those that
/// the `connection` header names, and the length of the body.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect();
    for name in HOP_BY_HOP_HEADERS.iter().chain(&named).chain([&header::CONTENT_LENGTH]) {
        headers.remove(name);
    }
}
