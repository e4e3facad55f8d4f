//! Attributes the loss of a leaf to the requests that were running on it.
//!
//! A call that breaks, or goes without an answer for long, is no sign of a crash, as connections
//! break and leafs are slow for many reasons. It becomes evidence against its request once the leaf
//! is found to be lost: it refuses connections or does not respond to them, or the platform no
//! longer lists this incarnation of it. Both orders occur: a leaf may be found lost while the call
//! still waits for an answer.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::LeafHash;
use crate::ids::LeafKey;
use crate::quarantine::Crash;
use crate::quarantine::Fingerprint;

/// Time after the end of an unanswered call within which the loss of its leaf is attributed to it.
/// It covers the restart of a leaf, the publication of its new entry, and an entry that expires.
const EVIDENCE_WINDOW: Duration = Duration::from_secs(10);
/// Largest number of unanswered calls, and of lost leafs, that are remembered.
const MAX_RECORDS: usize = 4_096;

/// A call that was written and has not been answered.
#[derive(Clone, Copy, Debug)]
pub struct UnansweredCall {
    /// Identifies the request.
    pub fingerprint: Fingerprint,
    /// The called leaf in this process's tables.
    pub leaf: LeafKey,
    /// The called leaf, as known to other hosts.
    pub leaf_hash: LeafHash,
    /// When the call was written.
    pub started_at: Instant,
    /// Whether the call was a probe of a suspected request.
    pub was_probe: bool,
}

#[derive(Clone, Copy, Debug)]
struct TrackedCall {
    call: UnansweredCall,
    until: Instant,
}

/// Unanswered calls and lost leafs of the last seconds, as observed by one process.
#[derive(Debug, Default)]
pub struct CrashDetector {
    calls: Vec<TrackedCall>,
    lost: HashMap<LeafKey, Instant>,
}

impl CrashDetector {
    /// Records a call that ended without an answer or has waited for one for long. Returns a crash
    /// if its leaf was found lost after the call was written.
    pub fn record_unanswered(&mut self, call: UnansweredCall, now: Instant) -> Option<Crash> {
        self.expire(now);
        if self.lost.get(&call.leaf).is_some_and(|&lost_at| lost_at >= call.started_at) {
            self.calls.retain(|tracked| !is_same_run(&tracked.call, &call));
            return Some(crash(&call));
        }
        let until = now + EVIDENCE_WINDOW;
        let tracked = TrackedCall { call, until };
        let known = self.calls.iter().position(|known| is_same_run(&known.call, &call));
        if let Some(known) = known.map(|index| &mut self.calls[index]) {
            let was_probe = call.was_probe || known.call.was_probe;
            *known = TrackedCall { call: UnansweredCall { was_probe, ..call }, ..tracked };
        } else if self.calls.len() < MAX_RECORDS {
            self.calls.push(tracked);
        }
        None
    }

    /// Records that an incarnation of a leaf was found lost. Returns the crash of each request with
    /// an unanswered call to it; several calls of one request count once.
    pub fn record_lost_leaf(&mut self, leaf: LeafKey, now: Instant) -> Vec<Crash> {
        self.expire(now);
        if self.lost.len() < MAX_RECORDS {
            self.lost.insert(leaf, now);
        }
        let is_lost = |tracked: &TrackedCall| tracked.call.leaf == leaf;
        let (lost, others) = self.calls.drain(..).partition(is_lost);
        self.calls = others;
        let lost: Vec<TrackedCall> = lost;
        lost.iter().map(|tracked| crash(&tracked.call)).collect()
    }

    /// Records that a leaf ran the request and answered, which clears its unanswered calls.
    pub fn record_answer(&mut self, fingerprint: Fingerprint) {
        self.calls.retain(|tracked| tracked.call.fingerprint != fingerprint);
    }

    fn expire(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < EVIDENCE_WINDOW;
        self.calls.retain(|tracked| now < tracked.until);
        self.lost.retain(|_, lost_at| is_recent(*lost_at));
    }
}

/// Returns whether two calls of one request ran on the same leaf.
fn is_same_run(a: &UnansweredCall, b: &UnansweredCall) -> bool {
    (a.fingerprint, a.leaf) == (b.fingerprint, b.leaf)
}

fn crash(call: &UnansweredCall) -> Crash {
    let UnansweredCall { fingerprint, leaf_hash, was_probe, .. } = *call;
    Crash { fingerprint, leaf: leaf_hash, was_probe }
}
