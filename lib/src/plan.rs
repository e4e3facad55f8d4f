//! Interface of the query state machine: its plan, its policy and its actions.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::catalogue::Entry;
use crate::ids::Attempt;
use crate::ids::LeafKey;
use crate::ids::QueryId;
use crate::layout::IndexSnapshot;
use crate::leaf_protocol::CallId;

/// Why a leaf call is made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// The first call of a shard, or one that replaces a call withdrawn before a byte of it was
    /// written.
    First,
    /// A further call to another replica while a call is slow.
    Hedge,
    /// A call that replaces a failed one.
    Retry,
}

/// Why a call is retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryCause {
    /// No byte of the failed call was written.
    NotSent,
    /// The leaf refused the failed call before it ran.
    Rejected,
    /// The failed call may have run.
    MayHaveRun,
}

/// A replica that was chosen for a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The leaf to call.
    pub leaf: LeafKey,
    /// Expected time until the leaf replies: the wait for a slot and the median latency.
    pub wait: Duration,
    /// Expected time until the reply plus penalties; the replica with the lowest cost is chosen.
    pub cost: Duration,
}

/// Decisions that depend on state shared by all queries.
pub trait Policy {
    /// Chooses a replica, or returns nothing if none may be called. A hedge goes only to a leaf
    /// that has a free slot and was not tried for this shard.
    fn choose(
        &mut self,
        replicas: &[LeafKey],
        tried: &[LeafKey],
        purpose: Purpose,
        now: Instant,
    ) -> Option<Choice>;

    /// Returns the time that this host itself is expected to take for this number of calls.
    fn own_time(&self, _calls: usize, _now: Instant) -> Duration {
        Duration::ZERO
    }

    /// Returns the time until one of these replicas may be called, zero if one may be called now.
    /// Returns nothing if that cannot be told, as all of them are leaving or gone.
    fn callable_in(&self, replicas: &[LeafKey], now: Instant) -> Option<Duration>;

    /// Takes one hedge of a call to `slow` from the budget of extra calls and returns whether it is
    /// allowed. A hedge is decisive while the merged shards are below the minimum coverage, when an
    /// answer would be of no use.
    fn try_hedge(&mut self, slow: LeafKey, is_decisive: bool, now: Instant) -> bool;

    /// Takes one retry from the budget of the leaf that failed and, if the failed call may have
    /// caused load, from the budget of extra calls. Returns whether the retry is allowed.
    fn try_retry(&mut self, failed: LeafKey, cause: RetryCause, now: Instant) -> bool;

    /// Returns the time from the write of a call to a leaf until it is hedged, or nothing if it is
    /// not to be hedged.
    fn hedge_delay(&self, leaf: LeafKey) -> Option<Duration>;

    /// Returns the earliest time at which a byte of the call may have been written, or nothing if
    /// none was written yet.
    fn written_at(&self, attempt: Attempt) -> Option<Instant>;

    /// Returns the expected time until the reply to a call that waits for a slot or a connection at
    /// `leaf`. Returns nothing if a byte of it may have been written or that cannot be told.
    fn unwritten_reply_in(
        &self,
        _attempt: Attempt,
        _leaf: LeafKey,
        _now: Instant,
    ) -> Option<Duration> {
        None
    }

    /// Withdraws a call of which no byte was written. Returns false if one may have been written.
    fn withdraw(&mut self, attempt: Attempt) -> bool;
}

/// A leaf call to make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendCall {
    /// The query, attempt, shard and version that the reply must echo.
    pub call: CallId,
    /// The leaf to call.
    pub leaf: LeafKey,
    /// Reason for the call: a first call, a hedge or a retry.
    pub purpose: Purpose,
    /// The cost by which the leaf was chosen; for the log.
    pub cost: Duration,
    /// Whether the request was suspected of crashing leafs from the start and this is its only call.
    pub is_probe: bool,
    /// Whether the leaf was called before for the same shard, possibly with the same request id.
    pub repeats_leaf: bool,
}

/// Calls that the owner of the state machine has to make and cancel next.
#[derive(Debug, Default)]
pub struct Actions {
    /// Calls to make.
    pub sends: Vec<SendCall>,
    /// Calls to cancel, as their replies are no longer needed.
    pub cancels: Vec<Attempt>,
}

/// How a call ended without a usable reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallLoss {
    /// No byte of the call was written.
    NotSent,
    /// The call got no slot before the deadline; no byte was written.
    NoSlot,
    /// The connection broke after a byte may have been written, before a reply.
    Broken,
    /// The call may have run, and its reply did not come, could not be decoded or belongs to
    /// another call. Unlike [`CallLoss::Broken`] it does not make the request suspected.
    Garbled,
}

/// Whether the request is suspected to be a poison request, one that crashes leafs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Suspicion {
    /// The request may be sent to all shards at once.
    Clear,
    /// A call of the request broke its connection; one call at a time is sent as a probe.
    Suspected,
    /// The probe broke its connection too; nothing more is sent.
    Blocked,
}

/// The immutable input of a query.
#[derive(Clone, Debug)]
pub struct QueryPlan {
    /// The query's id, which is the same after a restart on another version.
    pub id: QueryId,
    /// The catalogue entry, which sets attempts, minimum coverage and limits.
    pub entry: Arc<Entry>,
    /// The pinned index version and the replicas of its shards.
    pub snapshot: Arc<IndexSnapshot>,
    /// Maximum number of hits in the answer.
    pub hits: usize,
    /// Time at which the query ends, whether or not all shards have been merged.
    pub deadline: Instant,
    /// The latency target: from then on, an answer of at least the minimum coverage is returned
    /// without waiting for the other shards. Absent if the entry has none.
    pub target_at: Option<Instant>,
    /// The first attempt number to use; higher than all that an earlier start of the query used.
    pub first_attempt: Attempt,
    /// Whether the request's fingerprint is suspected at the start.
    pub suspicion: Suspicion,
    /// Whether an answer of any leaf shows that the request crashes none, not only the probe's.
    pub any_answer_clears: bool,
}
