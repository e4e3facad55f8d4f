//! Pool of connections to one leaf, within this host's share of the leaf's connection limit.
//!
//! Invariant: the number of open connections never exceeds the limit that applied when the last one
//! was opened.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::backend::LeafConnection;

/// Interval between two uses of a leaf's connections below which a connection is kept even if the
/// leaf is crowded: opening one for each call would take more of the leaf's connections than
/// keeping one.
pub const BUSY_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct PoolState {
    /// Idle connections; the most recently used one is last.
    idle: Vec<IdleConnection>,
    /// Number of connections that are idle, in use or being opened.
    open: u32,
    limit: u32,
    closes_after_use: bool,
    /// Time at which a connection was last put back.
    used_at: Option<Instant>,
}

struct IdleConnection {
    conn: Box<dyn LeafConnection>,
    since: Instant,
}

impl PoolState {
    fn reserve_slot(&mut self) -> Acquired {
        if self.open >= self.limit {
            return Acquired::Full;
        }
        self.open += 1;
        Acquired::MayOpen
    }
}

impl std::fmt::Debug for IdleConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("IdleConnection")
    }
}

/// Result of requesting a connection from the pool.
pub enum Acquired {
    /// An idle connection, removed from the pool.
    Idle(Box<dyn LeafConnection>),
    /// A reserved slot: the caller may open a connection, and must afterwards call
    /// [`Pool::put_back`] or [`Pool::release_slot`].
    MayOpen,
    /// No connection: none is idle, and the limit is reached.
    Full,
}

/// Pool of connections to one leaf, idle and in use.
#[derive(Debug)]
pub struct Pool {
    state: Mutex<PoolState>,
}

impl Pool {
    /// Creates an empty pool for at most `limit` connections; 0 counts as 1.
    pub fn new(limit: u32) -> Self {
        Self { state: Mutex::new(PoolState { limit: limit.max(1), ..PoolState::default() }) }
    }

    /// Changes the limit, where 0 counts as 1. Idle connections above it are closed at once, those
    /// in use when they are put back.
    pub fn set_limit(&self, limit: u32) {
        let mut state = self.state.lock().unwrap();
        state.limit = limit.max(1);
        while state.open > state.limit && state.idle.pop().is_some() {
            state.open -= 1;
        }
    }

    /// Sets whether connections are closed after each use, unless the previous use ended less than
    /// [`BUSY_INTERVAL`] before.
    pub fn set_closes_after_use(&self, closes_after_use: bool) {
        self.state.lock().unwrap().closes_after_use = closes_after_use;
    }

    /// Returns the most recently used idle connection, or else reserves a slot for opening one.
    /// Closes connections that cannot be used again or were idle for longer than `max_idle`, until
    /// it finds one to return.
    pub fn acquire(&self, max_idle: Duration, now: Instant) -> Acquired {
        let mut state = self.state.lock().unwrap();
        while let Some(IdleConnection { conn, since }) = state.idle.pop() {
            if conn.is_usable(now) && now.saturating_duration_since(since) <= max_idle {
                return Acquired::Idle(conn);
            }
            state.open -= 1;
        }
        state.reserve_slot()
    }

    /// Returns a connection on which nothing was sent yet, or else reserves a slot for opening one.
    /// Closes the connection that was idle for longest if the limit is reached.
    pub fn acquire_unused(&self, max_idle: Duration, now: Instant) -> Acquired {
        let mut state = self.state.lock().unwrap();
        let is_fit = |idle: &IdleConnection| {
            let idle_time = now.saturating_duration_since(idle.since);
            idle.conn.is_unused() && idle.conn.is_usable(now) && idle_time <= max_idle
        };
        if let Some(index) = state.idle.iter().rposition(is_fit) {
            return Acquired::Idle(state.idle.remove(index).conn);
        }
        if state.open >= state.limit && !state.idle.is_empty() {
            state.idle.remove(0);
            state.open -= 1;
        }
        state.reserve_slot()
    }

    /// Puts back a connection whose exchange ended cleanly. Closes it if it is above the limit,
    /// cannot be used again, or is to be closed after use (see [`Self::set_closes_after_use`]).
    pub fn put_back(&self, conn: Box<dyn LeafConnection>, now: Instant) {
        let mut state = self.state.lock().unwrap();
        let used_at = state.used_at.replace(now);
        let is_busy = used_at.is_some_and(|at| now.saturating_duration_since(at) < BUSY_INTERVAL);
        let is_surplus = state.closes_after_use && !is_busy || state.open > state.limit;
        if is_surplus || !conn.is_usable(now) {
            state.open -= 1;
        } else {
            state.idle.push(IdleConnection { conn, since: now });
        }
    }

    /// Closes connections that were idle for longer than `max_idle` or cannot be used again.
    pub fn close_idle(&self, max_idle: Duration, now: Instant) {
        let mut state = self.state.lock().unwrap();
        let before = state.idle.len();
        state.idle.retain(|idle| {
            idle.conn.is_usable(now) && now.saturating_duration_since(idle.since) <= max_idle
        });
        state.open -= (before - state.idle.len()) as u32;
    }

    /// Releases the slot of a connection that was closed or could not be opened.
    pub fn release_slot(&self) {
        self.state.lock().unwrap().open -= 1;
    }

    /// Returns the number of connections that are idle, in use or being opened.
    pub fn open_count(&self) -> u32 {
        self.state.lock().unwrap().open
    }

    /// Returns the number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.state.lock().unwrap().idle.len()
    }

    /// Returns the largest number of connections allowed, at least 1.
    pub fn limit(&self) -> u32 {
        self.state.lock().unwrap().limit
    }
}
