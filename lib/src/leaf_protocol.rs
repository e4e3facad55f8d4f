//! Messages between a daemon and a leaf: HTTP/1.1 with JSON bodies.
//!
//! A call is `POST /search`; a cancellation is `POST /cancel` on another connection. A leaf echoes
//! query, attempt, shard and version, so that an answer is never attributed to another call.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;

use crate::ids::Attempt;
use crate::ids::IndexName;
use crate::ids::IndexVersion;
use crate::ids::QueryId;
use crate::ids::ShardNo;
use crate::leaf_load::StatedLoad;
use crate::leaf_notices::LeafNotice;
use crate::leaf_notices::NamedPause;
use crate::rate_limit::NamedLimit;

/// HTTP path of a search call.
pub const SEARCH_PATH: &str = "/search";
/// HTTP path of a cancellation.
pub const CANCEL_PATH: &str = "/cancel";

/// Identifier of a leaf call, which the leaf echoes in its answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct CallId {
    /// Query that the call belongs to.
    pub query: QueryId,
    /// Number of the call within the query.
    pub attempt: Attempt,
    /// Shard to search.
    pub shard: ShardNo,
    /// Index version to search.
    pub version: IndexVersion,
}

/// Body of a search call, as a daemon encodes it.
#[derive(Debug, Serialize)]
pub struct LeafRequest<'a> {
    /// Identifier of the call, which the leaf echoes.
    pub call: CallId,
    /// Name of the index to search.
    pub index: &'a IndexName,
    /// Kind of request of the catalogue entry.
    pub kind: &'a str,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Time left until the query's deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Parameters of the caller's query, passed on unchanged.
    pub params: &'a RawValue,
}

/// Body of a search call, as a leaf decodes it. Has the same fields as [`LeafRequest`].
#[derive(Debug, Deserialize)]
pub struct OwnedLeafRequest {
    /// Identifier of the call, which the leaf echoes.
    pub call: CallId,
    /// Name of the index to search.
    pub index: IndexName,
    /// Kind of request of the catalogue entry.
    pub kind: String,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Time left until the query's deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Parameters of the caller's query.
    pub params: serde_json::Value,
}

/// Outcome of a call, as the leaf reports it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LeafStatus {
    /// The call ran, and the hits are complete for its shard.
    Ok,
    /// The leaf is overloaded and rejected the call; it has not run.
    Shed,
    /// The leaf is draining and rejected the call; it has not run.
    Draining,
    /// The leaf does not hold this shard of this version; the call has not run.
    VersionUnavailable,
    /// The remaining time passed before the call started; it has not run.
    Expired,
    /// The call was cancelled; it may have run partly.
    Cancelled,
    /// The call ran and failed.
    Failed,
    /// The call was meant for another leaf than the one at this address; it has not run.
    Misdirected,
}

impl LeafStatus {
    /// Returns whether this status proves that the call has not run, so that it may be resent even
    /// if it is not idempotent.
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

/// One hit of a search. Hits of all shards are merged by descending score, then by id.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Hit {
    /// Relevance; higher is better.
    pub score: f64,
    /// Identifier of the document.
    pub id: String,
    /// Stored fields of the document, passed on unchanged; absent if the leaf sends none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fields: Option<Box<RawValue>>,
}

/// Body of a leaf's answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LeafAnswer {
    /// Identifier of the call that is answered.
    pub call: CallId,
    /// Outcome of the call.
    pub status: LeafStatus,
    /// Processor time that the call used, in microseconds.
    pub effort_us: u64,
    /// Number of calls that are queued in the leaf; a hint only.
    #[serde(default)]
    pub queued: u32,
    /// Requests a second that the leaf takes from all hosts together, for as long as its answers
    /// say so; absent if it has no such limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit_per_s: Option<f64>,
    /// Whether the leaf is leaving; it then says so in all its answers.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// Milliseconds for which the leaf wants no calls of the host that made this one; absent if it
    /// goes on taking them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Hits of the shard; complete only with status [`LeafStatus::Ok`].
    #[serde(default)]
    pub hits: Vec<Hit>,
}

impl LeafAnswer {
    /// Parses the body of an answer.
    pub fn parse(body: &[u8]) -> serde_json::Result<Self> {
        serde_json::from_slice(body)
    }
}

/// A leaf's reply to a call, independent of the leaf protocol. `P` is the type of its payload.
#[derive(Clone, Debug)]
pub struct LeafReply<P> {
    /// Identifier of the call that is answered.
    pub call: CallId,
    /// Outcome of the call.
    pub status: LeafStatus,
    /// Processor time that the call used, in microseconds; `None` if the leaf does not report it.
    pub effort_us: Option<u64>,
    /// Number of calls that are queued in the leaf; a hint only.
    pub queued: u32,
    /// What the reply says about the requests that the leaf takes from all hosts together.
    pub limit: NamedLimit,
    /// What the reply says about taking further calls.
    pub notice: LeafNotice,
    /// What the reply says about the load of the leaf.
    pub load: StatedLoad,
    /// Contribution of the leaf to the answer. A failed call may have a payload too.
    pub payload: P,
}

impl From<LeafAnswer> for LeafReply<Vec<Hit>> {
    fn from(answer: LeafAnswer) -> Self {
        let LeafAnswer { call, status, effort_us, queued, hits, .. } = answer;
        let limit = answer.limit_per_s.into();
        let pause = answer.retry_after_ms.map(Duration::from_millis);
        let pause = pause.map_or(NamedPause::Absent, |time| NamedPause::For(time.into()));
        let notice = LeafNotice { is_leaving: answer.leaving, pause };
        Self {
            call,
            status,
            effort_us: Some(effort_us),
            queued,
            limit,
            notice,
            load: StatedLoad::Absent,
            payload: hits,
        }
    }
}

impl From<LeafReply<Vec<Hit>>> for LeafAnswer {
    fn from(reply: LeafReply<Vec<Hit>>) -> Self {
        let LeafReply { call, status, effort_us, queued, notice, payload, .. } = reply;
        let retry_after_ms = match notice.pause {
            NamedPause::For(pause) => Some(pause.duration().as_millis() as u64),
            NamedPause::Absent | NamedPause::Unreadable(_) => None,
        };
        Self {
            call,
            status,
            effort_us: effort_us.unwrap_or_default(),
            queued,
            // The host that made the call keeps to the limit; it does not concern hosts behind it.
            limit_per_s: None,
            leaving: notice.is_leaving,
            retry_after_ms,
            hits: payload,
        }
    }
}
