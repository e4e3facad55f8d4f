//! The tables that all workers of one process share.
//!
//! Lock order: `draining`, then `view`, then `entries`, then one entry's tables, then `indexes`, then a leaf's state,
//! then `zone_rtts`, `crashes`, `call_reports`,
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

use crate::backend::LeafBackend;
use crate::budget::ExtraLoadBudget;
use crate::call_reports::CallOutcome;
use crate::call_reports::CallReport;
use crate::call_reports::CallReportQueue;
use crate::catalogue::Entry;
use crate::counters::Counters;
use crate::crash_detector::CrashDetector;
use crate::documents::Document;
use crate::documents::Result;
use crate::documents::View;
use crate::events::Event;
use crate::hosts::LeafRegistry;
use crate::ids::EntryName;
use crate::ids::HostName;
use crate::ids::Incarnation;
use crate::ids::IndexName;
use crate::ids::LeafKey;
use crate::ids::QueryId;
use crate::ids::Zone;
use crate::latency::LatencyTracker;
use crate::leaf::Leaf;
use crate::ledger::Charge;
use crate::ledger::Effort;
use crate::ledger::Ledger;
use crate::limits::EntryLimits;
use crate::limits::HostShare;
use crate::quarantine::Fingerprint;
use crate::quarantine::Quarantine;
use crate::relay_link::RelayLinks;
use crate::zone_rtt::ZoneRtts;

/// Who this process is.
#[derive(Clone, Debug, Serialize)]
pub struct Identity {
    /// The host's name.
    pub host: HostName,
    /// Its availability zone.
    pub zone: Zone,
    /// This run of the process.
    pub incarnation: Incarnation,
}

/// What this process keeps for one entry, over revisions of the catalogue.
#[derive(Debug)]
pub struct EntryState {
    /// Use of the entry's limits.
    pub limits: Mutex<EntryLimits>,
    /// Credit for hedges and retries.
    pub extra_load: Mutex<ExtraLoadBudget>,
}

/// Decides this host's part of an entry's limits.
pub trait ShareSource: Send + Sync {
    /// Returns the present share.
    fn share(&self, entry: &Entry, now: Instant) -> HostShare;
}

/// A leaf that said that it is leaving.
pub struct DrainingLeaf {
    /// The leaf.
    pub leaf: Arc<Leaf>,
    /// Time since it said so.
    pub age: Duration,
}

/// The shared tables.
pub struct Tier {
    /// Who this process is.
    pub identity: Identity,
    /// Counters.
    pub counters: Counters,
    /// Suspected requests.
    pub quarantine: Mutex<Quarantine>,
    /// Charges.
    pub ledger: Mutex<Ledger>,
    /// Round trips to the zones.
    pub zone_rtts: Mutex<ZoneRtts>,
    /// Broken connections that may have been crashes.
    pub crashes: Mutex<CrashDetector>,
    /// What this host saw of leafs and has not told others yet, where hosts tell each other.
    pub call_reports: OnceLock<Mutex<CallReportQueue>>,
    /// Opens connections to leafs.
    pub backend: Box<dyn LeafBackend>,
    /// Calls leafs through other hosts.
    pub relays: Arc<RelayLinks>,
    /// Decides shares of limits; without it, this process has the whole limits.
    pub share_source: OnceLock<Box<dyn ShareSource>>,
    view: RwLock<Arc<View>>,
    registry: LeafRegistry,
    entries: Mutex<HashMap<EntryName, Arc<EntryState>>>,
    indexes: Mutex<HashMap<IndexName, Arc<Mutex<LatencyTracker>>>>,
    draining: Mutex<HashSet<LeafKey>>,
    next_query: AtomicU64,
}

impl Tier {
    /// Makes tables with nothing published yet.
    pub fn new(identity: Identity, backend: Box<dyn LeafBackend>, relays: Arc<RelayLinks>) -> Self {
        let zone_rtts = ZoneRtts::new(identity.zone.clone(), BTreeMap::new());
        Self {
            zone_rtts: Mutex::new(zone_rtts),
            crashes: Mutex::default(),
            call_reports: OnceLock::new(),
            identity,
            counters: Counters::default(),
            quarantine: Mutex::default(),
            ledger: Mutex::default(),
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

    /// Returns what is in force now.
    pub fn view(&self) -> Arc<View> {
        self.view.read().unwrap().clone()
    }

    /// Puts a document in force, or says why not.
    pub fn apply_document(&self, document: Document) -> Result<Arc<View>> {
        let mut view = self.view.write().unwrap();
        let next = Arc::new(view.next(document, &self.registry, &self.identity.host)?);
        *view = next.clone();
        Ok(next)
    }

    /// Notes for other hosts what a leaf did, where hosts tell each other.
    pub fn queue_call_report(&self, leaf: &Leaf, seen: CallOutcome) {
        if let Some(call_reports) = self.call_reports.get() {
            call_reports.lock().unwrap().add(CallReport { leaf: leaf.hash, seen });
        }
    }

    /// Records that a request's connection to a leaf broke.
    pub fn track_broken_connection(&self, leaf: LeafKey, fingerprint: Fingerprint, now: Instant) {
        self.crashes.lock().unwrap().record_break(leaf, fingerprint, now);
    }

    /// Records that a leaf refused a connection: requests that broke there just before are struck.
    pub fn strike_recent_requests(&self, leaf: LeafKey, now: Instant) {
        let struck = self.crashes.lock().unwrap().record_refusal(leaf, now);
        for strike in struck {
            let event =
                if strike.is_blocked { Event::RequestBlocked } else { Event::RequestSuspected };
            event.warn(&format!("request {:016x} leaf key {leaf}", strike.fingerprint.0));
        }
    }

    /// Returns a query id that this process never used before.
    pub fn next_query_id(&self) -> QueryId {
        let number = self.next_query.fetch_add(1, Ordering::Relaxed);
        QueryId { incarnation: self.identity.incarnation, number }
    }

    /// Returns the tables of an entry, made on first use.
    pub fn entry_state(&self, entry: &Entry, now: Instant) -> Arc<EntryState> {
        if let Some(state) = self.existing_entry_state(&entry.name) {
            return state;
        }
        // Asked before the lock is taken, as the source has locks that go before it.
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

    /// Returns the tables of an entry that was used before.
    pub fn existing_entry_state(&self, entry: &EntryName) -> Option<Arc<EntryState>> {
        self.entries.lock().unwrap().get(entry).cloned()
    }

    /// Records that a leaf said that it is leaving.
    pub fn mark_leaf_draining(&self, leaf: LeafKey) {
        self.draining.lock().unwrap().insert(leaf);
    }

    /// Returns the leafs that said so, as long as that is remembered.
    pub fn draining_leafs(&self, now: Instant) -> Vec<DrainingLeaf> {
        let mut draining = self.draining.lock().unwrap();
        if draining.is_empty() {
            return Vec::new();
        }
        let view = self.view();
        let remembered = |key: &LeafKey| {
            let leaf = view.leafs.get(*key)?.clone();
            let age = leaf.state().estimates.draining_age(now)?;
            Some(DrainingLeaf { leaf, age })
        };
        let found: Vec<_> = draining.iter().filter_map(remembered).collect();
        draining.retain(|key| found.iter().any(|drain| drain.leaf.key == *key));
        found
    }

    /// Visits the tables of all entries used so far. The visitor may lock an entry's tables and what
    /// follows them in the lock order.
    pub fn for_each_entry(&self, mut visit: impl FnMut(&EntryName, &EntryState)) {
        let entries = self.entries.lock().unwrap();
        entries.iter().for_each(|(name, state)| visit(name, state));
    }

    /// Returns the tables of all entries used so far.
    pub fn entry_states(&self) -> Vec<(EntryName, Arc<EntryState>)> {
        let entries = self.entries.lock().unwrap();
        entries.iter().map(|(name, state)| (name.clone(), state.clone())).collect()
    }

    /// Returns the learned latency of an index.
    pub fn latency_tracker(&self, index: &IndexName, now: Instant) -> Arc<Mutex<LatencyTracker>> {
        let mut indexes = self.indexes.lock().unwrap();
        if let Some(tracker) = indexes.get(index) {
            return tracker.clone();
        }
        let tracker = Arc::new(Mutex::new(LatencyTracker::new(now)));
        indexes.insert(index.clone(), tracker.clone());
        tracker
    }

    /// Charges an ended call to its entry and takes its effort from the entry's limit.
    pub fn charge(&self, entry: &Entry, state: &EntryState, charge: Charge, now: Instant) {
        if let Effort::Reported(us) | Effort::Estimated(us) = charge.effort {
            state.limits.lock().unwrap().spend(us, now);
        }
        self.ledger.lock().unwrap().charge(&entry.owner, &entry.name, charge);
    }

    /// Returns a fresh incarnation.
    pub fn new_incarnation() -> Incarnation {
        Incarnation(rand::random())
    }
}

/// Longest time to open a connection to a leaf.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
