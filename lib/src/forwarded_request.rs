//! Messages by which a host that does not reach the leafs passes a request on to one that does.

use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMicroSeconds;
use serde_with::serde_as;

use crate::opaque::LeafResponse;
use crate::opaque::LocalAnswer;
use crate::opaque::MergedAnswer;
use crate::opaque::OpaqueAnswer;
use crate::opaque::OpaqueRequest;

/// Name and value of each header, in order.
type Headers = Vec<(String, Bytes)>;

/// What the receiving host needs to know about a forwarded request beside its content.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ForwardingState {
    /// Time since the request arrived at the forwarding host, with the way there and back.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub elapsed: Duration,
    /// Number of leafs of each shard that may still be called.
    pub attempts: u32,
}

/// A request of a caller, as one host passes it on to another. It is not passed on again.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ForwardedRequest {
    /// Progress of the request at the forwarding host.
    pub state: ForwardingState,
    id: Bytes,
    host: String,
    method: String,
    path: String,
    headers: Headers,
    body: Bytes,
    #[serde_as(as = "Option<DurationMicroSeconds<u64>>")]
    caller_timeout: Option<Duration>,
}

/// Reply to a [`ForwardedRequest`].
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ForwardedAnswer {
    /// The host does not reach the leafs either, or is shutting down.
    NotTaken {
        /// Number of calls to one shard, at most, that may have reached a leaf.
        spent_attempts: u32,
        /// Whether it is certain that the request has not run.
        not_run: bool,
    },
    /// Response of one leaf.
    PassedThrough {
        /// HTTP status.
        status: u16,
        /// End-to-end headers.
        headers: Headers,
        /// Complete body.
        body: Bytes,
        /// The leaf's signature.
        signature: Option<Bytes>,
    },
    /// Merged records of several leafs.
    Merged {
        /// Records, greatest first.
        records: Bytes,
        /// Signatures of the leaf responses that were merged.
        signatures: Vec<Bytes>,
        /// Number of shards that did not contribute.
        missing: u64,
    },
    /// Answer of the host itself.
    Local {
        /// HTTP status.
        status: u16,
        /// Time after which a resend may succeed.
        #[serde_as(as = "Option<DurationMicroSeconds<u64>>")]
        retry_after: Option<Duration>,
        /// Reason for the answer.
        message: String,
    },
}

impl ForwardedRequest {
    /// Creates the message for a request.
    pub fn new(req: &OpaqueRequest, state: ForwardingState) -> Self {
        Self {
            state,
            id: value_bytes(&req.id),
            host: req.host.clone(),
            method: req.method.to_string(),
            path: req.path.clone(),
            headers: encode_headers(&req.headers),
            body: req.body.clone(),
            caller_timeout: req.caller_timeout,
        }
    }

    /// Returns the request, or nothing if a part of it is malformed.
    pub fn into_request(self) -> Option<OpaqueRequest> {
        Some(OpaqueRequest {
            id: HeaderValue::from_maybe_shared(self.id).ok()?,
            host: self.host,
            method: Method::from_bytes(self.method.as_bytes()).ok()?,
            path: self.path,
            headers: decode_headers(self.headers)?,
            body: self.body,
            caller_timeout: self.caller_timeout,
        })
    }
}

impl From<OpaqueAnswer> for ForwardedAnswer {
    fn from(answer: OpaqueAnswer) -> Self {
        match answer {
            OpaqueAnswer::PassedThrough(LeafResponse { status, headers, body, signature }) => {
                Self::PassedThrough {
                    status: status.as_u16(),
                    headers: encode_headers(&headers),
                    body,
                    signature: signature.as_ref().map(value_bytes),
                }
            }
            OpaqueAnswer::Merged(MergedAnswer { records, signatures, missing }) => Self::Merged {
                records,
                signatures: signatures.iter().map(value_bytes).collect(),
                missing: missing as u64,
            },
            OpaqueAnswer::Local(LocalAnswer { status, retry_after, message }) => {
                Self::Local { status: status.as_u16(), retry_after, message: message.to_string() }
            }
        }
    }
}

impl ForwardedAnswer {
    /// The host has not begun the request.
    pub const NOT_TAKEN: Self = Self::NotTaken { spent_attempts: 0, not_run: true };

    /// Returns the answer for the caller, or nothing if the request was not taken or a part of the
    /// answer is malformed.
    pub fn into_answer(self) -> Option<OpaqueAnswer> {
        let value = |bytes| HeaderValue::from_maybe_shared::<Bytes>(bytes).ok();
        Some(match self {
            Self::NotTaken { .. } => return None,
            Self::PassedThrough { status, headers, body, signature } => {
                let signature = match signature {
                    Some(bytes) => Some(value(bytes)?),
                    None => None,
                };
                let status = StatusCode::from_u16(status).ok()?;
                let headers = decode_headers(headers)?;
                OpaqueAnswer::PassedThrough(LeafResponse { status, headers, body, signature })
            }
            Self::Merged { records, signatures, missing } => {
                let signatures = signatures.into_iter().map(value).collect::<Option<_>>()?;
                OpaqueAnswer::Merged(MergedAnswer {
                    records,
                    signatures,
                    missing: missing as usize,
                })
            }
            Self::Local { status, retry_after, message } => {
                let status = StatusCode::from_u16(status).ok()?;
                OpaqueAnswer::Local(LocalAnswer { status, retry_after, message: message.into() })
            }
        })
    }
}

fn value_bytes(value: &HeaderValue) -> Bytes {
    Bytes::copy_from_slice(value.as_bytes())
}

fn encode_headers(headers: &HeaderMap) -> Headers {
    headers.iter().map(|(name, value)| (name.to_string(), value_bytes(value))).collect()
}

fn decode_headers(headers: Headers) -> Option<HeaderMap> {
    let header = |(name, value): (String, Bytes)| {
        let name = HeaderName::try_from(name).ok()?;
        Some((name, HeaderValue::from_maybe_shared(value).ok()?))
    };
    let mut decoded = HeaderMap::new();
    for header in headers.into_iter().map(header) {
        let (name, value) = header?;
        decoded.append(name, value);
    }
    Some(decoded)
}
