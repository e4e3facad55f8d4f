//! Codec of the query tier's own leaf protocol: searches as JSON over HTTP.

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::header;
use serde::Serialize;
use serde_json::value::RawValue;

use crate::catalogue::Class;
use crate::catalogue::Entry;
use crate::ids::IndexName;
use crate::leaf_codec::LeafCodec;
use crate::leaf_codec::OutgoingCall;
use crate::leaf_codec::UnmatchedReply;
use crate::leaf_protocol::CANCEL_PATH;
use crate::leaf_protocol::CallId;
use crate::leaf_protocol::Hit;
use crate::leaf_protocol::LeafAnswer;
use crate::leaf_protocol::LeafReply;
use crate::leaf_protocol::LeafRequest;
use crate::leaf_protocol::SEARCH_PATH;

/// Properties of a catalogue entry that its leaf calls carry or depend on.
#[derive(Clone, Debug)]
pub struct CallSpec {
    /// Name of the index to search.
    pub index: IndexName,
    /// Kind of request of the entry.
    pub kind: String,
    /// Priority class of the entry.
    pub class: Class,
    /// Whether a call may run more than once.
    pub idempotent: bool,
}

impl From<&Entry> for CallSpec {
    fn from(entry: &Entry) -> Self {
        Self {
            index: entry.index.clone(),
            kind: entry.kind.clone(),
            class: entry.class,
            idempotent: entry.idempotent,
        }
    }
}

/// Codec for the leaf calls of one query.
#[derive(Clone, Debug)]
pub struct SearchCodec {
    /// Properties of the query's entry.
    pub spec: CallSpec,
    /// Parameters of the caller's query, passed to the leafs unchanged.
    pub params: Box<RawValue>,
}

/// Returns a `POST` request to `path` with `value` as JSON body.
pub fn json_request<T: Serialize>(path: &'static str, value: &T) -> Request<Bytes> {
    let body = serde_json::to_vec(value).expect("message types serialise");
    Request::post(path)
        .header(header::CONTENT_TYPE, "application/json")
        .body(body.into())
        .expect("constant parts are valid")
}

impl LeafCodec<Vec<Hit>> for SearchCodec {
    fn encode_request(&self, call: &OutgoingCall<'_>) -> Request<Bytes> {
        let request = LeafRequest {
            call: call.call,
            index: &self.spec.index,
            kind: &self.spec.kind,
            idempotent: self.spec.idempotent,
            remaining_ms: call.remaining.as_millis() as u64,
            params: &self.params,
        };
        json_request(SEARCH_PATH, &request)
    }

    fn decode_reply(
        &self,
        call: &OutgoingCall<'_>,
        response: Response<Bytes>,
    ) -> Result<LeafReply<Vec<Hit>>, UnmatchedReply> {
        let reply = self.decode_relayed(response.body())?;
        if reply.call == call.call {
            Ok(reply)
        } else {
            Err(UnmatchedReply::new(format!("the reply names {:?}", reply.call)))
        }
    }

    fn encode_cancellation(&self, call: CallId) -> Option<Request<Bytes>> {
        Some(json_request(CANCEL_PATH, &call))
    }

    fn decode_relayed(&self, body: &[u8]) -> Result<LeafReply<Vec<Hit>>, UnmatchedReply> {
        let answer = LeafAnswer::parse(body).map_err(|e| UnmatchedReply::new(e.to_string()))?;
        Ok(answer.into())
    }
}
