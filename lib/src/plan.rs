//! What a query machine is told and tells: its plan, its policy, its actions.

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
    /// The first call of a shard.
    First,
    /// A second call beside one that is slow.
    Hedge,
    /// A call after one that failed.
    Retry,
}

/// Why a call is made once more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryCause {
    /// No byte of the failed call was written.
    NotSent,
    /// The leaf refused the failed call before it ran.
    Rejected,
    /// The failed call may have run.
    MayHaveRun,
}

/// A replica picked for a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The leaf.
    pub leaf: LeafKey,
    /// Expected time until the leaf answers, queueing included.
    pub wait: Duration,
    /// Expected time and penalties, by which replicas are compared.
    pub cost: Duration,
}

/// Decisions that depend on knowledge shared by all queries.
pub trait Policy {
    /// Picks a replica. Hedges never go to a tried leaf, and only to a free one.
    fn choose(
        &mut self,
        replicas: &[LeafKey],
        tried: &[LeafKey],
        purpose: Purpose,
        now: Instant,
    ) -> Option<Choice>;

    /// Takes one hedge of a call to `slow` from the budget of extra calls. Without the shard of a
    /// decisive one, the answer is of no use.
    fn take_hedge(&mut self, slow: LeafKey, is_decisive: bool, now: Instant) -> bool;

    /// Takes one retry from the budget of the leaf that failed and, where the failed call has load
    /// behind it, from the budget of extra calls.
    fn take_retry(&mut self, failed: LeafKey, cause: RetryCause, now: Instant) -> bool;

    /// Returns how long a call to a leaf may take, from its write on, before it is hedged.
    fn hedge_delay(&self, leaf: LeafKey) -> Option<Duration>;

    /// Returns when a byte of the call may first have been written.
    fn written_at(&self, attempt: Attempt) -> Option<Instant>;

    /// Takes back a call of which no byte was written; fails if one may have been.
    fn withdraw(&mut self, attempt: Attempt) -> bool;
}

/// A leaf call to make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendCall {
    /// The call's identity.
    pub call: CallId,
    /// The leaf to call.
    pub leaf: LeafKey,
    /// Why the call is made.
    pub purpose: Purpose,
    /// What made the leaf the best choice.
    pub cost: Duration,
}

/// What the caller of the machine has to do next.
#[derive(Debug, Default)]
pub struct Actions {
    /// Calls to make.
    pub sends: Vec<SendCall>,
    /// Calls to cancel, whose answers are no longer wanted.
    pub cancels: Vec<Attempt>,
}

/// How a call ended without a usable answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallLoss {
    /// No byte of the call was written.
    NotSent,
    /// The call's wait for a slot could not end in time; no byte was written.
    NoSlot,
    /// The connection broke after a byte may have been written, before an answer.
    Broken,
    /// The leaf's answer could not be read or belongs to another call.
    Garbled,
}

/// Whether the request is suspected of crashing leafs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Suspicion {
    /// No suspicion.
    Clear,
    /// Suspected; one call at a time runs on trial.
    Suspected,
    /// The trial crashed a leaf too.
    Blocked,
}

/// What a query is about. Immutable.
#[derive(Clone, Debug)]
pub struct QueryPlan {
    /// The query's id.
    pub id: QueryId,
    /// Its entry.
    pub entry: Arc<Entry>,
    /// The pinned version.
    pub snapshot: Arc<IndexSnapshot>,
    /// Number of hits wanted.
    pub hits: usize,
    /// When the answer is due.
    pub deadline: Instant,
    /// When a useful partial answer is better than a later whole one.
    pub goal_at: Option<Instant>,
    /// The first attempt number to use; higher than those of an earlier start of the same query.
    pub first_attempt: Attempt,
    /// Suspicion against the request's fingerprint at the start.
    pub suspicion: Suspicion,
}
