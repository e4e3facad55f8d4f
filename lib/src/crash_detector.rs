//! Detects requests that crash leafs, as distinct from connections that break for other reasons.
//!
//! A broken connection alone is no sign of a crash, as connections break for many reasons. It
//! counts as a strike, one crash attributed to the request, when the leaf refuses a connection
//! shortly after. Three strikes block a request: it is refused for some time, on every host that
//! receives the count.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::events::Event;
use crate::ids::LeafKey;
use crate::log_event;
use crate::quarantine::Fingerprint;

/// Time after a broken connection within which a refused one indicates a crash.
const CRASH_WINDOW: Duration = Duration::from_secs(2);
/// Number of strikes that block a request.
const BLOCKING_STRIKES: u32 = 3;
/// Time without a further strike after which a request's record expires.
const STRIKE_LIFETIME: Duration = Duration::from_secs(120);
/// Largest number of requests with strikes, and of broken connections, kept at the same time.
const MAX_RECORDS: usize = 4_096;

/// A crash of a leaf, attributed to the request that was in flight on its broken connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Strike {
    /// Identifies the request.
    pub fingerprint: Fingerprint,
    /// Number of strikes of the request, with this one counted.
    pub strikes: u32,
    /// Whether the request is blocked, with this strike counted.
    pub is_blocked: bool,
}

impl Strike {
    /// Logs the strike. `source` says whether this host (`own`) or another one (`peer`) attributed
    /// it to the request.
    pub fn log(&self, source: &'static str) {
        let event = if self.is_blocked { Event::RequestBlocked } else { Event::RequestSuspected };
        let Self { fingerprint, strikes, .. } = self;
        log_event!(warn, event, fingerprint = %fingerprint, strikes, source);
    }
}

/// Number of strikes of one request, as sent to other hosts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StrikeCount {
    /// Identifies the request.
    pub fingerprint: Fingerprint,
    /// Strikes that the host counted itself, on top of the highest count reported to it.
    pub strikes: u32,
}

/// A connection that broke while a request was in flight on it.
#[derive(Clone, Copy, Debug)]
struct Break {
    leaf: LeafKey,
    fingerprint: Fingerprint,
    at: Instant,
}

/// The strikes of one request, valid until `until`.
#[derive(Clone, Copy, Debug)]
struct Record {
    strikes: u32,
    until: Instant,
}

/// Recently broken connections and the strikes of requests, as recorded by one process.
#[derive(Debug, Default)]
pub struct CrashDetector {
    breaks: Vec<Break>,
    records: HashMap<Fingerprint, Record>,
}

impl CrashDetector {
    /// Records that a connection to a leaf broke while a request was in flight on it.
    pub fn record_break(&mut self, leaf: LeafKey, fingerprint: Fingerprint, now: Instant) {
        self.breaks.retain(|b| now.saturating_duration_since(b.at) <= CRASH_WINDOW);
        if self.breaks.len() < MAX_RECORDS {
            self.breaks.push(Break { leaf, fingerprint, at: now });
        }
    }

    /// Records that a leaf refused a connection. Returns one strike for each connection to the leaf
    /// that broke shortly before.
    pub fn record_refusal(&mut self, leaf: LeafKey, now: Instant) -> Vec<Strike> {
        let is_recent = |b: &Break| now.saturating_duration_since(b.at) <= CRASH_WINDOW;
        let (crashes, others): (Vec<_>, Vec<_>) =
            self.breaks.drain(..).filter(is_recent).partition(|b| b.leaf == leaf);
        self.breaks = others;
        crashes.into_iter().map(|b| self.add_strike(b.fingerprint, now)).collect()
    }

    fn add_strike(&mut self, fingerprint: Fingerprint, now: Instant) -> Strike {
        let strikes = self.strikes(fingerprint, now) + 1;
        self.set_strikes(fingerprint, strikes, now);
        Strike { fingerprint, strikes, is_blocked: strikes >= BLOCKING_STRIKES }
    }

    fn set_strikes(&mut self, fingerprint: Fingerprint, strikes: u32, now: Instant) {
        if self.records.len() >= MAX_RECORDS {
            self.records.retain(|_, record| record.until > now);
        }
        if self.records.len() < MAX_RECORDS || self.records.contains_key(&fingerprint) {
            self.records.insert(fingerprint, Record { strikes, until: now + STRIKE_LIFETIME });
        }
    }

    fn strikes(&self, fingerprint: Fingerprint, now: Instant) -> u32 {
        self.records.get(&fingerprint).filter(|r| r.until > now).map_or(0, |r| r.strikes)
    }

    /// Returns whether a request has enough strikes to be refused.
    pub fn is_blocked(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.strikes(fingerprint, now) >= BLOCKING_STRIKES
    }

    /// Merges another host's count: the higher one applies. Hosts that detect further crashes add
    /// them to the highest count reported to them, so that three crashes anywhere block a request.
    /// Returns the state of the request if the count was higher than this host's.
    pub fn merge(&mut self, reported: StrikeCount, now: Instant) -> Option<Strike> {
        let StrikeCount { fingerprint, strikes } = reported;
        if strikes <= self.strikes(fingerprint, now) {
            return None;
        }
        self.set_strikes(fingerprint, strikes, now);
        Some(Strike { fingerprint, strikes, is_blocked: strikes >= BLOCKING_STRIKES })
    }

    /// Returns the live counts, to be sent to other hosts.
    pub fn counts(&self, now: Instant) -> Vec<StrikeCount> {
        let live = self.records.iter().filter(|(_, record)| record.until > now);
        live.map(|(&fingerprint, record)| StrikeCount { fingerprint, strikes: record.strikes })
            .collect()
    }
}
