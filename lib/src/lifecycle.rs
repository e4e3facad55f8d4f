//! Whether this process takes queries, and how many it has in progress.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

/// Gap between two beats of the control loop after which the process counts as paused.
pub const MAX_HEARTBEAT_GAP: Duration = Duration::from_secs(2);

/// What a process does with new queries.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Has not got all documents, or has not checked them since a pause.
    Starting,
    /// Takes queries.
    Ready,
    /// Finishes what it has.
    Leaving,
}

impl Phase {
    /// Returns the phase's name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Ready => "ready",
            Self::Leaving => "leaving",
        }
    }
}

#[derive(Debug)]
struct State {
    phase: Phase,
    in_progress: usize,
    beat_at: Instant,
    checking_since: Instant,
}

/// The life of one process.
///
/// Invariants: leaving is final; a request begun is counted until its guard is dropped.
#[derive(Debug)]
pub struct Lifecycle {
    state: Mutex<State>,
}

/// Counts one request in progress until dropped.
#[derive(Debug)]
pub struct InProgress<'a>(&'a Lifecycle);

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        self.0.state.lock().unwrap().in_progress -= 1;
    }
}

impl Lifecycle {
    /// Starts a life.
    pub fn new(now: Instant) -> Self {
        let state =
            State { phase: Phase::Starting, in_progress: 0, beat_at: now, checking_since: now };
        Self { state: Mutex::new(state) }
    }

    /// Begins a request, unless the process takes none. A process that was paused takes none until
    /// its control loop has noticed.
    pub fn begin_request(&self, now: Instant) -> Result<InProgress<'_>, Phase> {
        let mut state = self.state.lock().unwrap();
        if state.phase != Phase::Ready {
            return Err(state.phase);
        }
        if now.saturating_duration_since(state.beat_at) > MAX_HEARTBEAT_GAP {
            return Err(Phase::Starting);
        }
        state.in_progress += 1;
        Ok(InProgress(self))
    }

    /// Marks that the control loop runs. Returns the gap when the process was paused, which makes
    /// it start again.
    pub fn record_heartbeat(&self, now: Instant) -> Option<Duration> {
        let mut state = self.state.lock().unwrap();
        let gap = now.saturating_duration_since(state.beat_at);
        state.beat_at = now;
        if gap <= MAX_HEARTBEAT_GAP {
            return None;
        }
        state.checking_since = now;
        if state.phase == Phase::Ready {
            state.phase = Phase::Starting;
        }
        Some(gap)
    }

    /// Takes queries from now on, because of news asked for at `asked_at`. News asked for before a
    /// pause does not count. Returns whether this is a change.
    pub fn mark_ready(&self, asked_at: Instant) -> bool {
        let mut state = self.state.lock().unwrap();
        let changed = state.phase == Phase::Starting && asked_at >= state.checking_since;
        if changed {
            state.phase = Phase::Ready;
        }
        changed
    }

    /// Takes nothing new from now on.
    pub fn start_leaving(&self) {
        self.state.lock().unwrap().phase = Phase::Leaving;
    }

    /// Returns the present phase.
    pub fn phase(&self) -> Phase {
        self.state.lock().unwrap().phase
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.state.lock().unwrap().in_progress
    }
}
