//! What the calls of one query have in common, and how one of them is cancelled.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;
use tokio::sync::mpsc;

use crate::catalogue::Class;
use crate::catalogue::Entry;
use crate::latency::LatencyTracker;
use crate::leaf_codec::LeafCodec;
use crate::leaf_protocol::CallId;
use crate::leaf_protocol::LeafReply;
use crate::plan::CallLoss;
use crate::quarantine::Fingerprint;
use crate::search_codec::SearchCodec;
use crate::tier::EntryState;
use crate::tier::Tier;

const WAITING: u8 = 0;
const WRITTEN: u8 = 1;
const WITHDRAWN: u8 = 2;

/// What a cancellation achieved.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cancelled {
    /// No byte of the call was or will be written.
    Withdrawn,
    /// The call may have run or may still run.
    MayHaveRun,
}

/// Lets the owner of a query cancel one call.
#[derive(Debug, Default)]
pub struct CallControl {
    phase: AtomicU8,
    written_at: OnceLock<Instant>,
    cancelled: Notify,
}

impl CallControl {
    /// Cancels the call.
    pub fn cancel(&self) -> Cancelled {
        let withdrawn = self.move_from_waiting(WITHDRAWN);
        self.cancelled.notify_one();
        if withdrawn { Cancelled::Withdrawn } else { Cancelled::MayHaveRun }
    }

    /// Takes the call back if no byte was written.
    pub fn withdraw(&self) -> bool {
        let withdrawn = self.move_from_waiting(WITHDRAWN);
        if withdrawn {
            self.cancelled.notify_one();
        }
        withdrawn
    }

    /// Returns when a byte of the call may first have been written.
    pub fn written_at(&self) -> Option<Instant> {
        self.written_at.get().copied()
    }

    /// Marks the call as written; fails if it was withdrawn.
    pub fn begin_write(&self, now: Instant) -> bool {
        let begun = self.move_from_waiting(WRITTEN);
        if begun {
            self.written_at.get_or_init(|| now);
        }
        begun
    }

    /// Completes when the call is cancelled or withdrawn.
    pub async fn cancelled(&self) {
        self.cancelled.notified().await;
    }

    fn move_from_waiting(&self, to: u8) -> bool {
        self.phase.compare_exchange(WAITING, to, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }
}

/// What a call tells the owner of its query.
#[derive(Debug)]
pub enum CallEvent<P> {
    /// The leaf answered.
    Answered(CallId, LeafReply<P>),
    /// The call ended without a usable answer.
    Lost(CallId, CallLoss),
}

/// Who is charged for a call.
pub struct ChargeTo {
    /// The entry.
    pub entry: Arc<Entry>,
    /// The entry's tables.
    pub entry_state: Arc<EntryState>,
}

/// What the calls of one query have in common. `P` is what a leaf contributes.
pub struct CallContext<P> {
    /// The shared tables.
    pub tier: Arc<Tier>,
    /// Writes the calls and reads their replies.
    pub codec: Arc<dyn LeafCodec<P>>,
    /// The entry's class.
    pub class: Class,
    /// What a call through a relay needs; without it, calls go to the leafs directly.
    pub relayed: Option<Arc<SearchCodec>>,
    /// The caller's id of the request, for the log.
    pub request: Option<Arc<str>>,
    /// The request, where a broken connection alone is no sign that it crashed the leaf.
    pub crash_watch_fingerprint: Option<Fingerprint>,
    /// The oldest idle connection that may carry a call; one that is not repeatable must not meet a
    /// connection that the leaf has just closed.
    pub max_idle: Duration,
    /// Who is charged; nobody for a call that another host made, which charges it itself.
    pub charge: Option<ChargeTo>,
    /// Learned latency of the calls.
    pub latency: Arc<Mutex<LatencyTracker>>,
    /// When the answer is of no more use.
    pub deadline: Instant,
    /// Where the end of each call is told.
    pub events: mpsc::UnboundedSender<CallEvent<P>>,
}

/// Longest idle time of a connection for calls that may be repeated.
pub const ANY_IDLE_TIME: Duration = Duration::from_secs(3_600);
/// Longest idle time of a connection for a call that may not run twice: a leaf that forgets idle
/// connections resets what is sent next, and the call may have run. The users' pages name 0.3 s as the
/// shortest time after which leafs do so.
const FRESH_IDLE_TIME: Duration = Duration::from_millis(250);

/// Returns the longest idle time of a connection for a call.
pub fn max_idle(is_idempotent: bool) -> Duration {
    if is_idempotent { ANY_IDLE_TIME } else { FRESH_IDLE_TIME }
}
