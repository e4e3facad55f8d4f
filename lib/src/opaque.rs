//! Requests and responses whose content the system passes on without reading it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

use crate::quarantine::Fingerprint;

/// A caller's request, as it goes to the leafs.
#[derive(Clone, Debug)]
pub struct OpaqueRequest {
    /// The caller's id of this attempt.
    pub id: HeaderValue,
    /// The host that the caller named, without a port.
    pub host: String,
    /// The method.
    pub method: Method,
    /// Path and query, unchanged.
    pub path: String,
    /// End-to-end headers, without those that the system sets itself.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Time that the caller waits, from the arrival of the request.
    pub caller_timeout: Option<Duration>,
}

impl OpaqueRequest {
    /// Returns what a resend of this request has in common with it.
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

/// A leaf's response to a call: one part of the answer, or the whole of it.
#[derive(Clone, Debug)]
pub struct LeafResponse {
    /// The status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The leaf's signature of the response, by which callers check it.
    pub signature: Option<HeaderValue>,
}

/// The answer to a caller.
#[derive(Debug)]
pub enum OpaqueAnswer {
    /// One leaf's response, passed on unchanged.
    PassedThrough(LeafResponse),
    /// Records of several leafs.
    Merged(MergedAnswer),
    /// The system's own answer.
    Local(LocalAnswer),
}

/// The greatest records of the shards that contributed.
#[derive(Debug)]
pub struct MergedAnswer {
    /// The records, greatest first.
    pub records: Bytes,
    /// The signatures of the parts that are merged in.
    pub signatures: Vec<HeaderValue>,
    /// Number of shards that are left out.
    pub missing: usize,
}

/// An answer that no leaf gave.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LocalAnswer {
    /// The status. 503, 429, 408 and 421 promise that the request has not run and never will.
    pub status: StatusCode,
    /// When a resend has a chance.
    pub retry_after: Option<Duration>,
    /// Why, in words.
    pub message: Arc<str>,
}

impl LocalAnswer {
    /// Makes an answer that names no time for a resend.
    pub fn new(status: StatusCode, message: impl Into<Arc<str>>) -> Self {
        Self { status, retry_after: None, message: message.into() }
    }

    /// Makes a refusal: the request has not run.
    pub fn refused(retry_after: Duration, message: impl Into<Arc<str>>) -> Self {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Self { status, retry_after: Some(retry_after), message: message.into() }
    }
}

/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes the headers that concern one connection only, the length included.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect();
    for name in HOP_HEADERS.iter().chain(&named).chain([&header::CONTENT_LENGTH]) {
        headers.remove(name);
    }
}
