//! Messages between a daemon and a leaf: HTTP/1.1 with JSON bodies.
//!
//! A call is `POST /search`; a cancellation is `POST /cancel` on another connection. A leaf echoes
//! query, attempt, shard and version, so that an answer is never taken for another call's.

use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;

use crate::ids::Attempt;
use crate::ids::IndexName;
use crate::ids::IndexVersion;
use crate::ids::QueryId;
use crate::ids::ShardNo;

/// Path of a search call.
pub const SEARCH_PATH: &str = "/search";
/// Path of a cancellation.
pub const CANCEL_PATH: &str = "/cancel";

/// Identifies a leaf call; the leaf repeats it in its answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct CallId {
    /// The query.
    pub query: QueryId,
    /// The call within the query.
    pub attempt: Attempt,
    /// The shard that is searched.
    pub shard: ShardNo,
    /// The version that is searched.
    pub version: IndexVersion,
}

/// A search call.
#[derive(Debug, Serialize)]
pub struct LeafRequest<'a> {
    /// The call's identity.
    pub call: CallId,
    /// The index that is searched.
    pub index: &'a IndexName,
    /// The entry's kind of request.
    pub kind: &'a str,
    /// Whether running the call twice does no harm.
    pub idempotent: bool,
    /// Time left until the answer is of no use, in milliseconds.
    pub remaining_ms: u64,
    /// The caller's parameters, passed on unchanged.
    pub params: &'a RawValue,
}

/// A search call as a leaf reads it.
#[derive(Debug, Deserialize)]
pub struct OwnedLeafRequest {
    /// The call's identity.
    pub call: CallId,
    /// The index that is searched.
    pub index: IndexName,
    /// The entry's kind of request.
    pub kind: String,
    /// Whether running the call twice does no harm.
    pub idempotent: bool,
    /// Time left until the answer is of no use, in milliseconds.
    pub remaining_ms: u64,
    /// The caller's parameters.
    pub params: serde_json::Value,
}

/// What became of a call.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LeafStatus {
    /// The call ran; the hits are complete for its shard.
    Ok,
    /// The leaf has too much to do; the call has not run.
    Shed,
    /// The leaf is leaving; the call has not run.
    Draining,
    /// The leaf does not hold this shard of this version; the call has not run.
    VersionUnavailable,
    /// The remaining time had passed before the call started; it has not run.
    Expired,
    /// The call was cancelled; it may have run in part.
    Cancelled,
    /// The call ran and failed.
    Failed,
    /// Another leaf answers at this address; the call has not run.
    Misdirected,
}

impl LeafStatus {
    /// Whether this status proves that the call has not run.
    pub fn proves_not_run(self) -> bool {
        matches!(
            self,
            Self::Shed
                | Self::Draining
                | Self::VersionUnavailable
                | Self::Expired
                | Self::Misdirected
        )
    }
}

/// One hit. Hits of all shards are merged by descending score, then by id.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Hit {
    /// Relevance; higher is better.
    pub score: f64,
    /// The document's id.
    pub id: String,
    /// The stored fields, passed on unchanged.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fields: Option<Box<RawValue>>,
}

/// A leaf's answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LeafAnswer {
    /// The call that is answered.
    pub call: CallId,
    /// What became of it.
    pub status: LeafStatus,
    /// Processor time spent, in microseconds.
    pub effort_us: u64,
    /// Calls that wait in the leaf; a hint only.
    #[serde(default)]
    pub queued: u32,
    /// The hits of the shard.
    #[serde(default)]
    pub hits: Vec<Hit>,
}

impl LeafAnswer {
    /// Parses an answer body.
    pub fn parse(body: &[u8]) -> serde_json::Result<Self> {
        serde_json::from_slice(body)
    }
}

/// What a leaf made of a call, whatever its protocol. `P` is what it contributes.
#[derive(Clone, Debug)]
pub struct LeafReply<P> {
    /// The call that is answered.
    pub call: CallId,
    /// What became of it.
    pub status: LeafStatus,
    /// Processor time spent, if the leaf reports it, in microseconds.
    pub effort_us: Option<u64>,
    /// Calls that wait in the leaf; a hint only.
    pub queued: u32,
    /// What the leaf sent. A failure may have a payload too.
    pub payload: P,
}

impl From<LeafAnswer> for LeafReply<Vec<Hit>> {
    fn from(answer: LeafAnswer) -> Self {
        let LeafAnswer { call, status, effort_us, queued, hits } = answer;
        Self { call, status, effort_us: Some(effort_us), queued, payload: hits }
    }
}

impl From<LeafReply<Vec<Hit>>> for LeafAnswer {
    fn from(reply: LeafReply<Vec<Hit>>) -> Self {
        let LeafReply { call, status, effort_us, queued, payload } = reply;
        Self { call, status, effort_us: effort_us.unwrap_or_default(), queued, hits: payload }
    }
}
