//! Context shared by the calls of one query, and the handle that cancels one of them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;
use tokio::sync::mpsc;

use crate::caller_shares::Standing;
use crate::catalogue::Class;
use crate::catalogue::Entry;
use crate::fingerprint::Fingerprint;
use crate::latency::LatencyTracker;
use crate::leaf_codec::LeafCodec;
use crate::leaf_protocol::CallId;
use crate::leaf_protocol::LeafReply;
use crate::plan::CallLoss;
use crate::search_codec::SearchCodec;
use crate::shutdown::ExpectedWork;
use crate::tier::EntryState;
use crate::tier::Tier;
use crate::waiting_calls::Rank;

const STATE_WAITING: u8 = 0;
const STATE_WRITTEN: u8 = 1;
const STATE_WITHDRAWN: u8 = 2;

/// The effect of a cancellation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cancelled {
    /// No byte of the call was or will be written.
    Withdrawn,
    /// The call may have run or may still run.
    MayHaveRun,
}

/// Handle by which a call's owner cancels it. A call moves once from waiting to either written or
/// withdrawn, so that only one of a concurrent write and withdrawal takes effect.
#[derive(Debug, Default)]
pub struct CallControl {
    state: AtomicU8,
    has_slot_since: OnceLock<Instant>,
    written_at: OnceLock<Instant>,
    cancelled: Notify,
}

impl CallControl {
    /// Cancels the call. Returns whether it may have run.
    pub fn cancel(&self) -> Cancelled {
        let was_withdrawn = self.move_from_waiting(STATE_WITHDRAWN);
        self.cancelled.notify_one();
        if was_withdrawn { Cancelled::Withdrawn } else { Cancelled::MayHaveRun }
    }

    /// Withdraws the call if no byte of it was written. Returns whether it did.
    pub fn withdraw(&self) -> bool {
        let was_withdrawn = self.move_from_waiting(STATE_WITHDRAWN);
        if was_withdrawn {
            self.cancelled.notify_one();
        }
        was_withdrawn
    }

    /// Returns the earliest time at which a byte of the call may have been written, or nothing if
    /// none was written yet.
    pub fn written_at(&self) -> Option<Instant> {
        self.written_at.get().copied()
    }

    /// Records that the call got a slot at `now`.
    pub fn record_slot(&self, now: Instant) {
        self.has_slot_since.get_or_init(|| now);
    }

    /// Returns when the call got a slot, or nothing if it waits for one.
    pub fn has_slot_since(&self) -> Option<Instant> {
        self.has_slot_since.get().copied()
    }

    /// Marks the call as written at `now`. Returns false if it was withdrawn and must not be
    /// written.
    pub fn begin_write(&self, now: Instant) -> bool {
        let has_begun = self.move_from_waiting(STATE_WRITTEN);
        if has_begun {
            self.written_at.get_or_init(|| now);
        }
        has_begun
    }

    /// Completes when the call is cancelled or withdrawn.
    pub async fn cancelled(&self) {
        self.cancelled.notified().await;
    }

    fn move_from_waiting(&self, to: u8) -> bool {
        self.state.compare_exchange(STATE_WAITING, to, Ordering::AcqRel, Ordering::Acquire).is_ok()
    }
}

/// The end of a call, sent to its owner.
#[derive(Debug)]
pub enum CallEvent<P> {
    /// The leaf replied, with any status.
    Answered(CallId, LeafReply<P>),
    /// The call ended without a usable reply.
    Lost(CallId, CallLoss),
}

impl<P> CallContext<P> {
    /// Returns what is expected of a call, by which a process that shuts down decides whether it
    /// still begins it.
    pub fn expected_work(&self) -> ExpectedWork {
        let slow_time = self.latency.lock().unwrap().slow_threshold();
        ExpectedWork { deadline: self.deadline, is_idempotent: self.is_idempotent, slow_time }
    }

    /// Returns the rank of the calls in the admission queues.
    pub fn rank(&self) -> Rank {
        Rank { class: self.class, standing: self.standing }
    }
}

/// The account that a call's effort is charged to.
pub struct ChargeTo {
    /// The catalogue entry of the query.
    pub entry: Arc<Entry>,
    /// The entry's limits and budgets on this host.
    pub entry_state: Arc<EntryState>,
}

/// Context shared by the calls of one query. `P` is the payload of one leaf.
pub struct CallContext<P> {
    /// State shared by all queries of the process.
    pub tier: Arc<Tier>,
    /// Encodes the calls and decodes their replies.
    pub codec: Arc<dyn LeafCodec<P>>,
    /// The entry's class, which decides the priority in the admission queues.
    pub class: Class,
    /// The caller's standing, which decides the order within the class.
    pub standing: Standing,
    /// The codec of the search, from which messages to relays are made. If absent, a call to a leaf
    /// that is reached only through relays ends as not sent.
    pub relayed: Option<Arc<SearchCodec>>,
    /// The caller's id of the request, for the log.
    pub request: Option<Arc<str>>,
    /// Fingerprint of the request, present if a broken connection alone does not indicate that the
    /// request crashed the leaf. The crash detector then records the calls that are not answered
    /// under it. If absent, a broken connection makes the request suspected at once.
    pub crash_detector_fingerprint: Option<Fingerprint>,
    /// Whether a leaf has run the request and answered, so that it is no poison request.
    pub answered: AtomicBool,
    /// Longest idle time of a connection that may carry the calls. It is short for calls that must
    /// not be repeated, as the leaf may be closing a connection that was idle for longer.
    pub max_idle: Duration,
    /// Whether the calls may run more than once.
    pub is_idempotent: bool,
    /// The account to charge; absent for a call made for another host, which charges it itself.
    pub charge: Option<ChargeTo>,
    /// Processing times of all leaf calls to the index, to which those of these calls are added.
    pub latency: Arc<Mutex<LatencyTracker>>,
    /// Time after which a reply is no longer of use.
    pub deadline: Instant,
    /// Channel to the owner of the calls, which receives the end of each call.
    pub events: mpsc::UnboundedSender<CallEvent<P>>,
}

/// Longest idle time of a connection for idempotent calls: no limit in practice.
pub const ANY_IDLE_TIME: Duration = Duration::from_secs(3_600);
/// Longest idle time of a connection for a call that must not run twice. A leaf that has dropped an
/// idle connection resets it on the next request, and this host cannot detect whether the call ran.
/// The platform's documentation names 0.3 s as the shortest time after which leafs drop idle
/// connections.
const NON_IDEMPOTENT_IDLE_TIME: Duration = Duration::from_millis(250);

/// Returns the longest idle time of a connection that may carry a call.
pub fn max_idle(is_idempotent: bool) -> Duration {
    if is_idempotent { ANY_IDLE_TIME } else { NON_IDEMPOTENT_IDLE_TIME }
}
