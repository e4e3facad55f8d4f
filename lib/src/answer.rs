//! Types of the interface to callers: request, outcome, coverage and refusal.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_json::value::RawValue;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::ids::EntryName;
use crate::ids::IndexName;
use crate::ids::IndexVersion;
use crate::ids::QueryId;
use crate::ids::ShardNo;
use crate::leaf_protocol::Hit;

/// Number of hits returned when the request does not specify one.
pub const DEFAULT_HITS: usize = 10;
/// Largest number of hits that a request may specify.
pub const MAX_HITS: usize = 1_000;

/// A caller's request: the body of `POST /query`.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct QueryRequest {
    /// Name of the catalogue entry.
    pub entry: String,
    /// Parameters that are passed to the leafs unchanged, as raw JSON.
    pub params: Box<RawValue>,
    /// Maximum number of hits in the answer, up to [`MAX_HITS`].
    #[serde(default = "default_hits")]
    pub hits: usize,
    /// Deadline in milliseconds after the arrival. It has an effect only if it is shorter than the
    /// entry's deadline.
    #[serde(default, rename = "deadline_ms", skip_serializing_if = "Option::is_none")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub deadline: Option<Duration>,
    /// A ticket, which makes it safe to resend a request that is not idempotent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ticket: Option<String>,
}

fn default_hits() -> usize {
    DEFAULT_HITS
}

/// The outcome of a query, as reported to the caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeKind {
    /// Every shard of the pinned version contributed.
    Complete,
    /// Some shards are missing; the coverage names them.
    Partial,
    /// The query has provably not run on any leaf, so that it is safe to resend.
    NotRun,
    /// The query may have run on some leaf, but there is no usable answer.
    Unknown,
}

/// Which shards contributed to an answer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Coverage {
    /// Number of shards of the pinned version.
    pub shards: usize,
    /// The shards whose hits are merged, in ascending order.
    pub contributed: Vec<ShardNo>,
    /// The shards that did not contribute, in ascending order.
    pub missing: Vec<ShardNo>,
}

impl Coverage {
    /// Returns the share of shards that contributed, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.contributed.len() as f64 / self.shards.max(1) as f64
    }
}

/// Why a query has no complete answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The request is malformed.
    BadRequest,
    /// The catalogue has no entry of this name.
    UnknownEntry,
    /// No version of the entry's index can be queried.
    NoIndex,
    /// The entry's rate limit is used up.
    RateLimit,
    /// The entry's concurrency limit is used up.
    ConcurrencyLimit,
    /// The entry's effort limit is used up.
    EffortLimit,
    /// The queues at the leafs are too long to meet the deadline.
    Overloaded,
    /// The deadline has passed.
    DeadlineExceeded,
    /// The minimum coverage was reached at the latency target, and the query did not wait for the
    /// other shards.
    GoalReached,
    /// Too few shards have a replica that can serve them.
    ReplicasLost,
    /// The request is suspected to be a poison request, one that crashes leafs.
    Quarantined,
    /// The daemon is shutting down or not ready yet.
    NotReady,
    /// The entry is not idempotent and the request has no ticket.
    TicketRequired,
    /// The ticket is malformed, expired or issued for another request.
    BadTicket,
    /// The host that issued the ticket cannot be reached or has restarted.
    IssuerGone,
}

/// Details of an answer that is not complete.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Refusal {
    /// The reason as a code for programs.
    pub reason: Reason,
    /// The reason as a sentence for people.
    pub message: String,
    /// Time after which a resend may succeed, in milliseconds; absent if no resend can.
    #[serde(default, rename = "retry_after_ms", skip_serializing_if = "Option::is_none")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal. `retry_after` is the time after which a resend may succeed.
    pub fn new(reason: Reason, message: impl Into<String>, retry_after: Option<Duration>) -> Self {
        Self { reason, message: message.into(), retry_after }
    }
}

impl From<Refusal> for QueryAnswer {
    /// Returns the answer to a request that was refused before any of it ran.
    fn from(refusal: Refusal) -> Self {
        Self::without_hits(OutcomeKind::NotRun, refusal)
    }
}

/// The answer to a caller: the response body of `POST /query`, whatever the status.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct QueryAnswer {
    /// Whether the query is complete, partial, not run or unknown.
    pub outcome: OutcomeKind,
    /// The query's id; absent if the request was refused before it got one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub query: Option<QueryId>,
    /// Name of the catalogue entry; absent if the request was refused before its query started.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entry: Option<EntryName>,
    /// Name of the index; absent if no version was pinned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub index: Option<IndexName>,
    /// The pinned version of the index; absent if none was pinned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<IndexVersion>,
    /// The shards that contributed and those that are missing.
    pub coverage: Coverage,
    /// The merged hits, best first.
    pub hits: Vec<Hit>,
    /// Why the answer is not complete; absent if it is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refusal: Option<Refusal>,
}

impl QueryAnswer {
    /// Returns an answer without hits that names no query, entry or version.
    pub fn without_hits(outcome: OutcomeKind, refusal: Refusal) -> Self {
        Self {
            outcome,
            query: None,
            entry: None,
            index: None,
            version: None,
            coverage: Coverage::default(),
            hits: Vec::new(),
            refusal: Some(refusal),
        }
    }

    /// Returns the HTTP status of the outcome: 200 complete, 206 partial, 504 unknown; the status
    /// of a query that has not run depends on the reason.
    pub fn status(&self) -> u16 {
        match (self.outcome, self.refusal.as_ref().map(|r| r.reason)) {
            (OutcomeKind::Complete, _) => 200,
            (OutcomeKind::Partial, _) => 206,
            (OutcomeKind::Unknown, _) => 504,
            (OutcomeKind::NotRun, Some(reason)) => reason.not_run_status(),
            (OutcomeKind::NotRun, None) => 503,
        }
    }
}

impl Reason {
    fn not_run_status(self) -> u16 {
        match self {
            Self::BadRequest | Self::BadTicket => 400,
            Self::UnknownEntry => 404,
            Self::TicketRequired => 428,
            Self::RateLimit | Self::ConcurrencyLimit | Self::EffortLimit => 429,
            Self::Quarantined => 422,
            _ => 503,
        }
    }
}
