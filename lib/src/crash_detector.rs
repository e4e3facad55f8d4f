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

use crate::fingerprint::Fingerprint;
use crate::ids::LeafHash;
use crate::ids::LeafKey;
use crate::quarantine::Crash;

/// Time after the end of an unanswered call within which the loss of its leaf is attributed to it.
/// It covers the restart of a leaf, the publication of its new entry, and an entry that expires.
const EVIDENCE_WINDOW: Duration = Duration::from_secs(10);
/// Time between the two checks of a leaf after an unanswered call.
const SECOND_CHECK_DELAY: Duration = Duration::from_millis(400);
/// Number of checks of a leaf after an unanswered call.
const CHECKS: u8 = 2;
/// Shortest time between two checks of the same leaf.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Largest number of checks that start together.
const MAX_CHECKS_AT_ONCE: usize = 4;
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

/// Whether to check if the leaf of an unanswered call is lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeafCheck {
    /// Connect to the leaf.
    Connect,
    /// Do not connect, as the leaf may have no connections left.
    None,
}

#[derive(Clone, Copy, Debug)]
struct TrackedCall {
    call: UnansweredCall,
    until: Instant,
    checks_left: u8,
    next_check_at: Instant,
}

/// Unanswered calls and lost leafs of the last seconds, as observed by one process.
#[derive(Debug, Default)]
pub struct CrashDetector {
    calls: Vec<TrackedCall>,
    lost: HashMap<LeafKey, Instant>,
    checked: HashMap<LeafKey, Instant>,
}

impl CrashDetector {
    /// Records a call that ended without an answer or has waited for one for long. Returns a crash
    /// if its leaf was found lost after the call was written.
    pub fn record_unanswered(
        &mut self,
        call: UnansweredCall,
        check: LeafCheck,
        now: Instant,
    ) -> Option<Crash> {
        self.expire(now);
        if self.lost.get(&call.leaf).is_some_and(|&lost_at| lost_at >= call.started_at) {
            self.calls.retain(|tracked| !is_same_run(&tracked.call, &call));
            return Some(crash(&call));
        }
        let until = now + EVIDENCE_WINDOW;
        let checks_left = if check == LeafCheck::Connect { CHECKS } else { 0 };
        let tracked = TrackedCall { call, until, checks_left, next_check_at: now };
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
    /// an unanswered call to it; several calls of one request count once. A call that was written
    /// after the leaf had been found lost cannot have crashed it.
    pub fn record_lost_leaf(&mut self, leaf: LeafKey, now: Instant) -> Vec<Crash> {
        self.expire(now);
        let known_lost_at = self.lost.get(&leaf).copied();
        if self.lost.len() < MAX_RECORDS {
            self.lost.entry(leaf).or_insert(now);
        }
        let is_lost = |tracked: &TrackedCall| tracked.call.leaf == leaf;
        let (lost, others) = self.calls.drain(..).partition(is_lost);
        self.calls = others;
        let lost: Vec<TrackedCall> = lost;
        let calls = lost.iter().map(|tracked| &tracked.call);
        let may_have_crashed =
            |call: &&UnansweredCall| known_lost_at.is_none_or(|lost_at| call.started_at <= lost_at);
        calls.filter(may_have_crashed).map(crash).collect()
    }

    /// Forgets all unanswered calls and lost leafs, as when this host was the one that was cut off.
    pub fn clear(&mut self) {
        self.calls.clear();
        self.lost.clear();
    }

    /// Forgets the unanswered calls to these leafs.
    pub fn forget_leafs(&mut self, is_forgotten: impl Fn(LeafKey) -> bool) {
        self.calls.retain(|tracked| !is_forgotten(tracked.call.leaf));
    }

    /// Records that a leaf accepted a connection, so that it is not lost any more.
    pub fn record_connected(&mut self, leaf: LeafKey) {
        self.lost.remove(&leaf);
    }

    /// Records that a leaf ran the request and answered, which clears its unanswered calls.
    pub fn record_answer(&mut self, fingerprint: Fingerprint) {
        self.calls.retain(|tracked| tracked.call.fingerprint != fingerprint);
    }

    /// Returns the leafs of all unanswered calls, each once.
    pub fn tracked_leafs(&mut self, now: Instant) -> Vec<LeafKey> {
        self.expire(now);
        let mut leafs: Vec<_> = self.calls.iter().map(|tracked| tracked.call.leaf).collect();
        leafs.sort_unstable();
        leafs.dedup();
        leafs
    }

    /// Returns the leafs to which to connect now, as calls to them went unanswered.
    pub fn leafs_to_check(&mut self, now: Instant) -> Vec<LeafKey> {
        let mut leafs = Vec::new();
        for tracked in &mut self.calls {
            let leaf = tracked.call.leaf;
            let is_due = tracked.checks_left > 0 && tracked.next_check_at <= now;
            let was_checked = |at: &Instant| now.saturating_duration_since(*at) < CHECK_INTERVAL;
            if !is_due || leafs.len() >= MAX_CHECKS_AT_ONCE {
                continue;
            }
            if leafs.contains(&leaf) || !self.checked.get(&leaf).is_some_and(was_checked) {
                tracked.checks_left -= 1;
                tracked.next_check_at = now + SECOND_CHECK_DELAY;
                self.checked.insert(leaf, now);
                if !leafs.contains(&leaf) {
                    leafs.push(leaf);
                }
            }
        }
        leafs
    }

    fn expire(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < EVIDENCE_WINDOW;
        self.calls.retain(|tracked| now < tracked.until);
        self.lost.retain(|_, lost_at| is_recent(*lost_at));
        self.checked.retain(|_, checked_at| is_recent(*checked_at));
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
