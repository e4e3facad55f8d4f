//! Tells requests that crash leafs from connections that merely break.
//!
//! A broken connection alone is no sign of a crash, as connections break for many reasons. It
//! becomes a strike against the request when the leaf refuses a connection shortly after. Three
//! strikes condemn a request: it is refused for a while, on every host that hears of it.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::LeafKey;
use crate::quarantine::Fingerprint;

/// Time after a broken connection in which a refused one shows a crash.
const CRASH_WINDOW: Duration = Duration::from_secs(2);
/// Strikes that condemn a request.
const MAX_STRIKES: u32 = 3;
/// Time without a further strike after which a request is forgotten.
const STRIKE_MEMORY: Duration = Duration::from_secs(120);
/// Requests and breaks kept at once.
const MAX_RECORDS: usize = 4_096;

/// A crash that was laid to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Strike {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Whether the request is condemned now.
    pub is_blocked: bool,
}

/// Strikes against one request, as hosts tell each other.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StrikeCount {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The host's own strikes and those it heard of.
    pub strikes: u32,
}

#[derive(Clone, Copy, Debug)]
struct Break {
    leaf: LeafKey,
    fingerprint: Fingerprint,
    at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    strikes: u32,
    until: Instant,
}

/// Breaks and strikes of one process.
#[derive(Debug, Default)]
pub struct CrashDetector {
    breaks: Vec<Break>,
    records: HashMap<Fingerprint, Record>,
}

impl CrashDetector {
    /// Records that a connection broke while a request ran on it.
    pub fn record_break(&mut self, leaf: LeafKey, fingerprint: Fingerprint, now: Instant) {
        self.breaks.retain(|b| now.saturating_duration_since(b.at) <= CRASH_WINDOW);
        if self.breaks.len() < MAX_RECORDS {
            self.breaks.push(Break { leaf, fingerprint, at: now });
        }
    }

    /// Records that a leaf refused a connection, and returns the strikes that this proves.
    pub fn record_refusal(&mut self, leaf: LeafKey, now: Instant) -> Vec<Strike> {
        let is_recent = |b: &Break| now.saturating_duration_since(b.at) <= CRASH_WINDOW;
        let (crashes, others): (Vec<_>, Vec<_>) =
            self.breaks.drain(..).filter(is_recent).partition(|b| b.leaf == leaf);
        self.breaks = others;
        crashes.into_iter().map(|b| self.strike(b.fingerprint, now)).collect()
    }

    fn strike(&mut self, fingerprint: Fingerprint, now: Instant) -> Strike {
        let strikes = self.strikes(fingerprint, now) + 1;
        self.set(fingerprint, strikes, now);
        Strike { fingerprint, is_blocked: strikes >= MAX_STRIKES }
    }

    fn set(&mut self, fingerprint: Fingerprint, strikes: u32, now: Instant) {
        if self.records.len() >= MAX_RECORDS {
            self.records.retain(|_, record| record.until > now);
        }
        if self.records.len() < MAX_RECORDS || self.records.contains_key(&fingerprint) {
            self.records.insert(fingerprint, Record { strikes, until: now + STRIKE_MEMORY });
        }
    }

    fn strikes(&self, fingerprint: Fingerprint, now: Instant) -> u32 {
        self.records.get(&fingerprint).filter(|r| r.until > now).map_or(0, |r| r.strikes)
    }

    /// Whether a request is condemned.
    pub fn is_blocked(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.strikes(fingerprint, now) >= MAX_STRIKES
    }

    /// Takes in another host's count. Hosts that saw different crashes add theirs to the highest
    /// count that they heard, so that three crashes anywhere condemn a request.
    pub fn merge(&mut self, heard: StrikeCount, now: Instant) {
        if heard.strikes > self.strikes(heard.fingerprint, now) {
            self.set(heard.fingerprint, heard.strikes, now);
        }
    }

    /// Returns the counts that other hosts should hear.
    pub fn counts(&self, now: Instant) -> Vec<StrikeCount> {
        let live = self.records.iter().filter(|(_, record)| record.until > now);
        live.map(|(&fingerprint, record)| StrikeCount { fingerprint, strikes: record.strikes })
            .collect()
    }
}
