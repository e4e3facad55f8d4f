//! State of the query tier that all workers of one process share.
//!
//! Lock order: `draining`, then `view`, then `entries`, then the locks of one [`EntryState`], then
//! `indexes`, then a leaf's state, then `zone_rtts`, `reach`, `crash_detector`, `call_reports`,
//! `quarantine` and `ledger`, of which no two are held at once. No lock is held across an await.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::RwLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::backend::BackendError;
use crate::backend::LeafBackend;
use crate::budget::ExtraLoadBudget;
use crate::call_reports::CallOutcome;
use crate::call_reports::CallReport;
use crate::call_reports::CallReportQueue;
use crate::caller_shares::CallerShares;
use crate::catalogue::Entry;
use crate::counters::Counters;
use crate::crash_detector::CrashDetector;
use crate::crash_detector::LeafCheck;
use crate::crash_detector::UnansweredCall;
use crate::documents::Document;
use crate::documents::Result;
use crate::documents::View;
use crate::events::Event;
use crate::fingerprint::Fingerprint;
use crate::host_pace::HostPace;
use crate::host_room::OpenCalls;
use crate::hosts::LeafRegistry;
use crate::ids::EntryName;
use crate::ids::HostName;
use crate::ids::Incarnation;
use crate::ids::IndexName;
use crate::ids::LeafHash;
use crate::ids::LeafKey;
use crate::ids::QueryId;
use crate::ids::Zone;
use crate::latency::LatencyTracker;
use crate::leaf::Leaf;
use crate::leaf_reach::LeafReach;
use crate::ledger::Charge;
use crate::ledger::Effort;
use crate::ledger::Ledger;
use crate::limits::EntryLimits;
use crate::limits::HostShare;
use crate::log_event;
use crate::plan::Suspicion;
use crate::quarantine::Change;
use crate::quarantine::Crash;
use crate::quarantine::Quarantine;
use crate::rate_limit::HostRank;
use crate::relay::Router;
use crate::relay_link::RelayLinks;
use crate::shutdown::Shutdown;
use crate::suspect_report::SuspectReport;
use crate::zone_rtt::ZoneRtts;

/// How a leaf was found to be lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LossCause {
    /// It refused a connection.
    Refused,
    /// It did not respond to a connection.
    Unresponsive,
    /// The platform no longer lists this incarnation of it.
    Unlisted,
    /// It broke the call's connection, where that alone counts.
    Broken,
    /// One of these causes, before its unanswered call ended.
    FoundBefore,
}

/// Which host detected a crash.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SuspectSource {
    Own,
    Peer,
}

/// Identifies this process: its host and its incarnation.
#[derive(Clone, Debug, Serialize)]
pub struct Identity {
    /// Name of the host, as in the host list.
    pub host: HostName,
    /// Availability zone of the host.
    pub zone: Zone,
    /// Random number that distinguishes this process from earlier ones of the same host.
    pub incarnation: Incarnation,
}

/// State of one entry that outlives revisions of the catalogue.
#[derive(Debug)]
pub struct EntryState {
    /// This host's share of the entry's limits and how much of it is in use.
    pub limits: Mutex<EntryLimits>,
    /// Credit for hedges and retries.
    pub extra_load: Mutex<ExtraLoadBudget>,
}

/// Computes this host's share of an entry's limits.
pub trait ShareSource: Send + Sync {
    /// Returns the share that applies at `now`.
    fn share(&self, entry: &Entry, now: Instant) -> HostShare;
}

/// Ranks this host among the hosts that may call a leaf.
pub trait HostRanking: Send + Sync {
    /// Returns this host's rank for a leaf at `now`.
    fn rank(&self, leaf: LeafHash, now: Instant) -> HostRank;

    /// Returns this host's rank for a leaf among all hosts that may still call it, in touch or not;
    /// nothing while it is not certain.
    fn lasting_rank(&self, leaf: LeafHash, now: Instant) -> Option<HostRank>;
}

/// A leaf that has announced its shutdown.
pub struct DrainingLeaf {
    /// The leaf, which gets no new calls.
    pub leaf: Arc<Leaf>,
    /// Time since the announcement.
    pub age: Duration,
}

/// State that all workers of one process share.
pub struct Tier {
    /// Identity of this process.
    pub identity: Identity,
    /// Counters that are exported as metrics and in the state dump.
    pub counters: Counters,
    /// Requests that are suspected of crashing leafs.
    pub quarantine: Mutex<Quarantine>,
    /// Notified when the quarantine has news for other hosts.
    pub suspects_changed: Notify,
    /// Effort of ended calls by owner and entry.
    pub ledger: Mutex<Ledger>,
    /// Measured round-trip times to the zones.
    pub zone_rtts: Mutex<ZoneRtts>,
    /// Unanswered calls, which may turn out to have crashed their leafs.
    pub crash_detector: Mutex<CrashDetector>,
    /// What this host observes of all leafs together.
    pub reach: Mutex<LeafReach>,
    /// What each caller has lately used of this host.
    pub caller_shares: Mutex<CallerShares>,
    /// How long this host takes to send the calls of a query.
    pub pace: Mutex<HostPace>,
    /// Whether this host is cut off from the leafs, as `reach` found.
    pub cut_off: watch::Sender<bool>,
    /// The end of this process.
    pub shutdown: Shutdown,
    /// Notified when the crash detector has recorded an unanswered call.
    pub call_unanswered: Notify,
    /// Reports of this host's leaf calls that are not yet sent to the zone's other hosts. Set only
    /// where hosts share such reports.
    pub call_reports: OnceLock<Mutex<CallReportQueue>>,
    /// Number of shards of the requests in progress on this host.
    pub open_calls: OpenCalls,
    /// Opens connections to leafs.
    pub backend: Box<dyn LeafBackend>,
    /// Notified when this host learned of a change of a leaf's rate limit.
    pub limits_changed: Notify,
    /// Ranks the hosts that may call a leaf. While it is not set, the ranking follows from the host
    /// list.
    pub host_ranking: OnceLock<Box<dyn HostRanking>>,
    /// Calls leafs through other hosts where this host may not open connections to a leaf.
    pub relays: Arc<RelayLinks>,
    /// Computes this host's shares of limits. While it is not set, this process uses the full
    /// limits.
    pub share_source: OnceLock<Box<dyn ShareSource>>,
    view: RwLock<Arc<View>>,
    registry: LeafRegistry,
    entries: Mutex<HashMap<EntryName, Arc<EntryState>>>,
    indexes: Mutex<HashMap<IndexName, Arc<Mutex<LatencyTracker>>>>,
    draining: Mutex<HashSet<LeafKey>>,
    next_query: AtomicU64,
}

impl Tier {
    /// Creates a tier without published documents, entries and leafs.
    pub fn new(identity: Identity, backend: Box<dyn LeafBackend>, relays: Arc<RelayLinks>) -> Self {
        let zone_rtts = ZoneRtts::new(identity.zone.clone(), BTreeMap::new());
        Self {
            zone_rtts: Mutex::new(zone_rtts),
            crash_detector: Mutex::default(),
            reach: Mutex::default(),
            caller_shares: Mutex::default(),
            pace: Mutex::default(),
            cut_off: watch::Sender::new(false),
            shutdown: Shutdown::default(),
            call_unanswered: Notify::new(),
            suspects_changed: Notify::new(),
            call_reports: OnceLock::new(),
            limits_changed: Notify::new(),
            host_ranking: OnceLock::new(),
            identity,
            counters: Counters::default(),
            quarantine: Mutex::default(),
            ledger: Mutex::default(),
            open_calls: OpenCalls::default(),
            backend,
            relays,
            share_source: OnceLock::new(),
            view: RwLock::default(),
            registry: LeafRegistry::default(),
            entries: Mutex::default(),
            indexes: Mutex::default(),
            draining: Mutex::default(),
            next_query: AtomicU64::new(1),
        }
    }

    /// Returns the view made of the documents that are in force now.
    pub fn view(&self) -> Arc<View> {
        self.view.read().unwrap().clone()
    }

    /// Applies a published document and returns the new view.
    ///
    /// Returns an error, and leaves the view unchanged, if the document is invalid or not newer
    /// than the one in force.
    pub fn apply_document(&self, document: Document, now: Instant) -> Result<Arc<View>> {
        let mut view = self.view.write().unwrap();
        let next =
            Arc::new(view.with_document(document, &self.registry, &self.identity.host, now)?);
        *view = next.clone();
        Ok(next)
    }

    /// Queues a report of a call to `leaf` for the zone's other hosts. Does nothing where hosts do
    /// not share such reports.
    pub fn queue_call_report(&self, leaf: &Leaf, seen: CallOutcome) {
        if let Some(call_reports) = self.call_reports.get()
            && !self.is_cut_off()
        {
            call_reports.lock().unwrap().add(CallReport { leaf: leaf.hash, seen });
        }
    }

    /// Records a call that was not answered, which becomes evidence against its request if the leaf
    /// is found lost.
    pub fn track_unanswered_call(&self, call: UnansweredCall, check: LeafCheck, now: Instant) {
        if self.is_cut_off() {
            return;
        }
        let crash = self.crash_detector.lock().unwrap().record_unanswered(call, check, now);
        match crash {
            Some(crash) => _ = self.record_crash(crash, LossCause::FoundBefore, now),
            None => self.call_unanswered.notify_one(),
        }
    }

    /// Records that a leaf answered or accepted a connection, which ends a cut from the leafs.
    pub fn record_leaf_contact(&self, now: Instant) {
        let cut_time = self.reach.lock().unwrap().record_contact(now);
        if let Some(cut_time) = cut_time {
            self.cut_off.send_replace(false);
            log_event!(info, Event::LeafsReachable, cut_ms = cut_time.as_millis() as u64);
        }
    }

    /// Records that a connection to a leaf could not be opened, or broke.
    pub fn record_failed_connection(&self, leaf: LeafKey, error: &BackendError, now: Instant) {
        let mut reach = self.reach.lock().unwrap();
        match error {
            BackendError::ConnectTimeout { .. } => reach.record_attempt(leaf, now),
            // The leaf has sent bytes, if not an answer.
            error if error.is_endless() => {}
            _ => reach.record_refusal(leaf, now),
        }
    }

    /// Records that this host is cut off from the leafs. What it has observed of single leafs since
    /// then says nothing about them, and is neither evidence against requests nor reported to other
    /// hosts.
    pub fn record_cut(&self, listed: usize) {
        self.counters.cuts.increment();
        self.crash_detector.lock().unwrap().clear();
        if let Some(call_reports) = self.call_reports.get() {
            call_reports.lock().unwrap().drain_all();
        }
        self.cut_off.send_replace(true);
        log_event!(warn, Event::LeafsUnreachable, leafs = listed);
    }

    /// Returns whether this host is cut off from the leafs.
    pub fn is_cut_off(&self) -> bool {
        *self.cut_off.borrow()
    }

    /// Records that an incarnation of a leaf was found lost, and suspects the requests that ran on
    /// it. While this host is cut off or may be, only the platform's list shows that a leaf is lost.
    pub fn record_lost_leaf(&self, leaf: LeafKey, cause: LossCause, now: Instant) {
        let may_be_cut_off =
            || self.is_cut_off() || self.reach.lock().unwrap().is_refused_by_several();
        if cause != LossCause::Unlisted && may_be_cut_off() {
            return;
        }
        let crashes = self.crash_detector.lock().unwrap().record_lost_leaf(leaf, now);
        crashes.into_iter().for_each(|crash| _ = self.record_crash(crash, cause, now));
    }

    /// Records a crash and logs it unless it was known. Returns whether it makes its request
    /// suspected or blocked.
    pub fn record_crash(&self, crash: Crash, cause: LossCause, now: Instant) -> bool {
        let change = self.quarantine.lock().unwrap().record_crash(crash, now);
        let Some(change) = change else { return false };
        self.counters.leaf_crashes.increment();
        log_event!(
            info,
            Event::LeafCrashed,
            fingerprint = %crash.fingerprint,
            leaf_hash = %format_args!("{:016x}", crash.leaf.0),
            probe = crash.was_probe,
            cause = ?cause,
            crashes = change.crashes
        );
        self.announce_change(change, SuspectSource::Own);
        change.is_transition
    }

    /// Records that a leaf ran a request and answered, which clears the request of all suspicion.
    pub fn record_answered_request(&self, fingerprint: Fingerprint, now: Instant) {
        self.crash_detector.lock().unwrap().record_answer(fingerprint);
        if self.quarantine.lock().unwrap().record_answer(fingerprint, now) {
            log_event!(info, Event::RequestCleared, fingerprint = %fingerprint);
            self.suspects_changed.notify_one();
        }
    }

    /// Merges the suspected requests that another host reports.
    pub fn merge_suspects(&self, reports: &[SuspectReport], now: Instant) {
        for report in reports {
            let change = self.quarantine.lock().unwrap().merge(report, now);
            if let Some(change) = change {
                self.announce_change(change, SuspectSource::Peer);
            }
        }
    }

    /// Logs a change of a request's state and passes it on to other hosts.
    fn announce_change(&self, change: Change, source: SuspectSource) {
        self.suspects_changed.notify_one();
        let Change { fingerprint, suspicion, is_transition, crashes } = change;
        let event = match suspicion {
            Suspicion::Blocked => Event::RequestBlocked,
            Suspicion::Suspected => Event::RequestSuspected,
            Suspicion::Clear => Event::RequestCleared,
        };
        if is_transition {
            log_event!(warn, event, fingerprint = %fingerprint, crashes, source = ?source);
        }
    }

    /// Returns a query id that this process has not used before. The incarnation makes it differ
    /// from the ids of all other processes.
    pub fn next_query_id(&self) -> QueryId {
        let number = self.next_query.fetch_add(1, Ordering::Relaxed);
        QueryId { incarnation: self.identity.incarnation, number }
    }

    /// Returns the state of an entry. Creates it on first use, with this host's present share of
    /// the entry's limits.
    pub fn entry_state(&self, entry: &Entry, now: Instant) -> Arc<EntryState> {
        if let Some(state) = self.existing_entry_state(&entry.name) {
            return state;
        }
        // Computed before `entries` is locked, as the source takes locks that precede it in the
        // lock order.
        let share = self.share_source.get().map(|source| source.share(entry, now));
        let share = share.unwrap_or_else(|| HostShare::of(&entry.limits, 1.0));
        let new = || {
            Arc::new(EntryState {
                limits: Mutex::new(EntryLimits::new(entry.limits, share, now)),
                extra_load: Mutex::default(),
            })
        };
        let mut entries = self.entries.lock().unwrap();
        entries.entry(entry.name.clone()).or_insert_with(new).clone()
    }

    /// Returns the state of an entry, or `None` if the entry has not been used yet.
    pub fn existing_entry_state(&self, entry: &EntryName) -> Option<Arc<EntryState>> {
        self.entries.lock().unwrap().get(entry).cloned()
    }

    /// Records that a leaf announced its shutdown, so that [`Tier::draining_leafs`] returns it.
    pub fn mark_leaf_draining(&self, leaf: LeafKey) {
        self.draining.lock().unwrap().insert(leaf);
    }

    /// Returns the leafs that announced their shutdown. Drops the records of those that are no
    /// longer listed or whose announcement has expired.
    pub fn draining_leafs(&self, now: Instant) -> Vec<DrainingLeaf> {
        let mut draining = self.draining.lock().unwrap();
        if draining.is_empty() {
            return Vec::new();
        }
        let view = self.view();
        let draining_leaf = |key: &LeafKey| {
            let leaf = view.leafs.get(*key)?.clone();
            let age = leaf.state().estimates.draining_age(now)?;
            Some(DrainingLeaf { leaf, age })
        };
        let found: Vec<_> = draining.iter().filter_map(draining_leaf).collect();
        draining.retain(|key| found.iter().any(|drain| drain.leaf.key == *key));
        found
    }

    /// Calls `visit` for the state of each entry used so far. `visit` may take the locks of the
    /// [`EntryState`] and those that follow them in the lock order.
    pub fn for_each_entry(&self, mut visit: impl FnMut(&EntryName, &EntryState)) {
        let entries = self.entries.lock().unwrap();
        entries.iter().for_each(|(name, state)| visit(name, state));
    }

    /// Returns the name and state of each entry used so far.
    pub fn entry_states(&self) -> Vec<(EntryName, Arc<EntryState>)> {
        let entries = self.entries.lock().unwrap();
        entries.iter().map(|(name, state)| (name.clone(), state.clone())).collect()
    }

    /// Returns the tracker of the latencies measured for an index. Creates it on first use.
    pub fn latency_tracker(&self, index: &IndexName, now: Instant) -> Arc<Mutex<LatencyTracker>> {
        let mut indexes = self.indexes.lock().unwrap();
        if let Some(tracker) = indexes.get(index) {
            return tracker.clone();
        }
        let tracker = Arc::new(Mutex::new(LatencyTracker::new(now)));
        indexes.insert(index.clone(), tracker.clone());
        tracker
    }

    /// Records the charge for an ended call in the ledger and deducts its effort from the entry's
    /// limit.
    pub fn charge(&self, entry: &Entry, state: &EntryState, charge: Charge, now: Instant) {
        if let Effort::Reported(us) | Effort::Estimated(us) = charge.effort {
            state.limits.lock().unwrap().deduct_effort(us, now);
        }
        self.ledger.lock().unwrap().charge(&entry.owner, &entry.name, charge);
    }

    /// Returns this host's rank among the hosts that may call a leaf.
    pub fn host_rank(&self, leaf: &Leaf, now: Instant) -> HostRank {
        match self.host_ranking.get() {
            Some(ranking) => ranking.rank(leaf.hash, now),
            None => Router::new(&self.identity.host, &self.view().hosts).rank(&leaf.host),
        }
    }

    /// Returns a random incarnation for a process that starts.
    pub fn new_incarnation() -> Incarnation {
        Incarnation(rand::random())
    }
}

/// Longest time that opening a connection to a leaf may take.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
