//! Idle connections to one leaf, within this host's share of its connection limit.
//!
//! Invariant: connections open at once never exceed the limit in force when they were opened.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::backend::LeafConnection;

/// Time between two calls below which a host is busy at a leaf: opening a connection for each call would
/// take more of the leaf's room than keeping one.
pub const BUSY_GAP: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct PoolState {
    idle: Vec<IdleConnection>,
    open: u32,
    limit: u32,
    closes_after_use: bool,
    used_at: Option<Instant>,
}

struct IdleConnection {
    conn: Box<dyn LeafConnection>,
    since: Instant,
}

impl std::fmt::Debug for IdleConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("IdleConnection")
    }
}

/// What a call gets from the pool.
pub enum Acquired {
    /// An idle connection.
    Idle(Box<dyn LeafConnection>),
    /// Leave to open a connection; it must be given back by `put_back` or `closed`.
    MayOpen,
    /// The limit is reached.
    Full,
}

/// The connections to one leaf.
#[derive(Debug)]
pub struct Pool {
    state: Mutex<PoolState>,
}

impl Pool {
    /// Makes an empty pool for at most `limit` connections.
    pub fn new(limit: u32) -> Self {
        Self { state: Mutex::new(PoolState { limit: limit.max(1), ..PoolState::default() }) }
    }

    /// Changes the limit; idle connections above it are closed, busy ones when they come back.
    pub fn set_limit(&self, limit: u32) {
        let mut state = self.state.lock().unwrap();
        state.limit = limit.max(1);
        while state.open > state.limit && state.idle.pop().is_some() {
            state.open -= 1;
        }
    }

    /// Decides whether connections are closed after each use, unless calls follow each other closely.
    pub fn set_closes_after_use(&self, closes_after_use: bool) {
        self.state.lock().unwrap().closes_after_use = closes_after_use;
    }

    /// Takes the connection that was used last, if it was not idle for longer than `max_idle`, or
    /// leave to open one.
    pub fn acquire(&self, max_idle: Duration, now: Instant) -> Acquired {
        let mut state = self.state.lock().unwrap();
        while let Some(IdleConnection { conn, since }) = state.idle.pop() {
            if conn.is_usable(now) && now.saturating_duration_since(since) <= max_idle {
                return Acquired::Idle(conn);
            }
            state.open -= 1;
        }
        if state.open < state.limit {
            state.open += 1;
            Acquired::MayOpen
        } else {
            Acquired::Full
        }
    }

    /// Gives back a connection whose exchange finished cleanly.
    pub fn put_back(&self, conn: Box<dyn LeafConnection>, now: Instant) {
        let mut state = self.state.lock().unwrap();
        let used_at = state.used_at.replace(now);
        let is_busy = used_at.is_some_and(|at| now.saturating_duration_since(at) < BUSY_GAP);
        let is_over = state.closes_after_use && !is_busy || state.open > state.limit;
        if is_over || !conn.is_usable(now) {
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

    /// Records that a connection was closed or could not be opened.
    pub fn closed(&self) {
        self.state.lock().unwrap().open -= 1;
    }

    /// Returns the number of open connections.
    pub fn open_count(&self) -> u32 {
        self.state.lock().unwrap().open
    }

    /// Returns the number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.state.lock().unwrap().idle.len()
    }

    /// Returns the limit.
    pub fn limit(&self) -> u32 {
        self.state.lock().unwrap().limit
    }
}
