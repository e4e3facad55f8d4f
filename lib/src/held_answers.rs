//! Bytes of answers that callers have not read yet, and what is done when they become many.
//!
//! Load: callers read slowly or not at all, and the answers that wait for them fill this host's
//! memory. Callers that hold more than others are refused new requests first; connections that have
//! not read for long are closed, but only while their bytes are needed.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;
use std::time::Instant;

/// Part of the memory from which on callers that hold much are refused new requests, and
/// connections that do not read are closed.
const SHORT_PART: f64 = 0.75;
/// Time without progress after which a connection may be closed. It is longer than a lost packet or
/// a pause of a caller that reads.
const MAX_UNREAD_TIME: Duration = Duration::from_secs(5);
/// Time without progress after which a caller counts as a slow reader.
const SLOW_READ_TIME: Duration = Duration::from_secs(1);
/// Time for which a slow reader is remembered after it was last seen to be one.
const SLOW_READER_MEMORY: Duration = Duration::from_secs(60);
/// Largest number of slow readers that are remembered.
const MAX_SLOW_READERS: usize = 1_024;

/// Identifies a caller's connection.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ConnectionId(pub u64);

/// What one connection holds.
#[derive(Clone, Copy, Debug)]
struct Held {
    addr: Option<IpAddr>,
    bytes: usize,
    /// When the connection last took bytes, or began to hold some.
    progressed_at: Instant,
}

/// A connection to be closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StalledConnection {
    /// The connection.
    pub id: ConnectionId,
    /// The caller's address, if it is known.
    pub addr: Option<IpAddr>,
    /// Bytes that it holds.
    pub bytes: usize,
    /// Time for which it has taken none of them.
    pub unread_for: Duration,
}

/// Answers that this host holds for its callers, by connection.
#[derive(Debug)]
pub struct HeldAnswers {
    capacity: usize,
    used: usize,
    connections: HashMap<ConnectionId, Held>,
    by_addr: HashMap<IpAddr, usize>,
    /// When a caller was last seen to be a slow reader; only while memory was short.
    slow_readers: HashMap<IpAddr, Instant>,
}

impl HeldAnswers {
    /// Creates the record of a host that is to hold at most `capacity` bytes.
    pub fn new(capacity: usize) -> Self {
        let (connections, by_addr, slow_readers) = Default::default();
        Self { capacity, used: 0, connections, by_addr, slow_readers }
    }

    /// Adds an answer of `bytes` that is written to a connection. An answer that is ready is always
    /// held; it is new requests that are refused.
    pub fn add(&mut self, id: ConnectionId, addr: Option<IpAddr>, bytes: usize, now: Instant) {
        let new = Held { addr, bytes: 0, progressed_at: now };
        self.connections.entry(id).or_insert(new).bytes += bytes;
        self.used += bytes;
        if let Some(addr) = addr {
            *self.by_addr.entry(addr).or_default() += bytes;
        }
    }

    /// Records that a connection took bytes.
    pub fn record_progress(&mut self, id: ConnectionId, now: Instant) {
        if let Some(held) = self.connections.get_mut(&id) {
            held.progressed_at = now;
        }
    }

    /// Removes an answer that was written or dropped.
    pub fn remove(&mut self, id: ConnectionId, bytes: usize) {
        let Some(held) = self.connections.get_mut(&id) else { return };
        let removed = bytes.min(held.bytes);
        held.bytes -= removed;
        self.used -= removed;
        if let Some(addr) = held.addr
            && let Some(of_addr) = self.by_addr.get_mut(&addr)
        {
            *of_addr -= removed;
            if *of_addr == 0 {
                self.by_addr.remove(&addr);
            }
        }
        if held.bytes == 0 {
            self.connections.remove(&id);
        }
    }

    /// Returns whether a new request of the caller at `addr` is taken. From half of the memory on, a
    /// caller is refused that holds more than its equal part; while memory is short, a known slow
    /// reader is too; and once it is full, all are.
    pub fn admits(&self, addr: Option<IpAddr>, now: Instant) -> bool {
        let half = self.capacity / 2;
        if self.used <= half {
            return true;
        }
        let holders = self.by_addr.len().max(1);
        let held = addr.and_then(|addr| self.by_addr.get(&addr)).copied().unwrap_or_default();
        let is_shared = holders > 1 || self.is_short();
        if is_shared && held >= half / holders {
            return false;
        }
        let seen_at = addr.and_then(|addr| self.slow_readers.get(&addr));
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < SLOW_READER_MEMORY;
        let is_refused_reader = self.is_short() && seen_at.is_some_and(is_recent);
        self.used < self.capacity && !is_refused_reader
    }

    /// Returns the connections to close so that memory is no longer short: those that have not read
    /// for long, the longest first, and only as many as are needed. Remembers the slow readers.
    pub fn stalled(&mut self, now: Instant) -> Vec<StalledConnection> {
        if !self.is_short() {
            return Vec::new();
        }
        self.remember_slow_readers(now);
        let stalled = self.connections.iter().filter_map(|(&id, held)| {
            let unread_for = now.saturating_duration_since(held.progressed_at);
            let Held { addr, bytes, .. } = *held;
            let connection = StalledConnection { id, addr, bytes, unread_for };
            (unread_for >= MAX_UNREAD_TIME).then_some(connection)
        });
        let mut stalled: Vec<_> = stalled.collect();
        stalled.sort_unstable_by_key(|c| (std::cmp::Reverse(c.unread_for), c.id));
        let mut excess = self.used.saturating_sub(self.short_bytes());
        let is_needed = |c: &StalledConnection| {
            let is_needed = excess > 0;
            excess = excess.saturating_sub(c.bytes);
            is_needed
        };
        stalled.retain(is_needed);
        stalled
    }

    fn remember_slow_readers(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.slow_readers.retain(|_, seen_at| age(*seen_at) < SLOW_READER_MEMORY);
        for held in self.connections.values() {
            if let Some(addr) = held.addr
                && age(held.progressed_at) >= SLOW_READ_TIME
                && self.slow_readers.len() < MAX_SLOW_READERS
            {
                self.slow_readers.insert(addr, now);
            }
        }
    }

    /// Returns the number of bytes that are held.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Returns whether more bytes are held than the part of the memory that is left to all.
    pub fn is_short(&self) -> bool {
        self.used > self.short_bytes()
    }

    fn short_bytes(&self) -> usize {
        (self.capacity as f64 * SHORT_PART) as usize
    }
}
