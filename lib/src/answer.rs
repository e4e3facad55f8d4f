//! What a caller sends and gets: request, outcome, coverage and refusal.

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

/// Hits returned when the caller names no number.
pub const DEFAULT_HITS: usize = 10;
/// The most hits that a caller may ask for.
pub const MAX_HITS: usize = 1_000;

/// A caller's request: the body of `POST /query`.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct QueryRequest {
    /// Name of the catalogue entry.
    pub entry: String,
    /// Parameters for the leafs.
    pub params: Box<RawValue>,
    /// Number of hits wanted.
    #[serde(default = "default_hits")]
    pub hits: usize,
    /// A shorter deadline than the entry's, in milliseconds.
    #[serde(default, rename = "deadline_ms", skip_serializing_if = "Option::is_none")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub deadline: Option<Duration>,
    /// A ticket, which makes resending safe for a request that is not idempotent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ticket: Option<String>,
}

fn default_hits() -> usize {
    DEFAULT_HITS
}

/// What became of a query.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeKind {
    /// Every shard of the pinned version contributed.
    Complete,
    /// Some shards are missing; the coverage names them.
    Partial,
    /// Proved not to have run anywhere.
    NotRun,
    /// May have run; no usable answer.
    Unknown,
}

/// Which shards contributed to an answer.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Coverage {
    /// Number of shards of the pinned version.
    pub shards: usize,
    /// The shards whose hits are merged in, ascending.
    pub contributed: Vec<ShardNo>,
    /// The others, ascending.
    pub missing: Vec<ShardNo>,
}

impl Coverage {
    /// Returns the share of shards that contributed, 0 to 1.
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
    /// No entry has this name.
    UnknownEntry,
    /// No version of the entry's index can be queried.
    NoIndex,
    /// The entry's rate limit is used up.
    RateLimit,
    /// The entry's concurrency limit is used up.
    ConcurrencyLimit,
    /// The entry's effort limit is used up.
    EffortLimit,
    /// The deadline cannot be met at the present queue.
    Overloaded,
    /// The deadline has passed.
    DeadlineExceeded,
    /// What came by the goal is useful, and the rest would come too late.
    GoalReached,
    /// Too few shards have a replica that can serve them.
    ReplicasLost,
    /// The request is suspected of crashing leafs.
    Quarantined,
    /// The daemon is leaving or not ready.
    NotReady,
    /// The entry is not idempotent and the request has no valid ticket.
    TicketRequired,
    /// The ticket is malformed, expired or for another request.
    BadTicket,
    /// The issuer of the ticket cannot be reached, or has restarted.
    IssuerGone,
}

/// A refusal or failure in words.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Refusal {
    /// The reason for programs.
    pub reason: Reason,
    /// The reason for people.
    pub message: String,
    /// When a resend has a chance, in milliseconds.
    #[serde(default, rename = "retry_after_ms", skip_serializing_if = "Option::is_none")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Makes a refusal.
    pub fn new(reason: Reason, message: impl Into<String>, retry_after: Option<Duration>) -> Self {
        Self { reason, message: message.into(), retry_after }
    }
}

impl From<Refusal> for QueryAnswer {
    /// Makes the answer to a request that was refused before any of it ran.
    fn from(refusal: Refusal) -> Self {
        Self::without_hits(OutcomeKind::NotRun, refusal)
    }
}

/// The answer to a caller: the body of each response of `POST /query`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct QueryAnswer {
    /// The outcome.
    pub outcome: OutcomeKind,
    /// The query's id; absent when it was refused before it got one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub query: Option<QueryId>,
    /// The entry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub entry: Option<EntryName>,
    /// The index.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub index: Option<IndexName>,
    /// The pinned version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<IndexVersion>,
    /// Which shards contributed.
    pub coverage: Coverage,
    /// The merged hits, best first.
    pub hits: Vec<Hit>,
    /// Why the answer is not complete.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refusal: Option<Refusal>,
}

impl QueryAnswer {
    /// Makes an answer without hits.
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

    /// Returns the HTTP status that says the same as the outcome.
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
