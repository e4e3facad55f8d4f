//! Phase of this process, which determines whether it takes queries, and its number of requests in
//! progress.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

/// Largest gap between two heartbeats of the control loop; a process with a longer one counts as
/// paused.
pub const MAX_HEARTBEAT_GAP: Duration = Duration::from_secs(2);

/// Phase of a process, which determines what it does with new queries.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Refuses queries, as it does not have all documents yet or has not checked them since a
    /// pause.
    Starting,
    /// Takes queries.
    Ready,
    /// Refuses new queries and finishes those in progress.
    Leaving,
}

impl Phase {
    /// Returns the phase's name in lower case, as in the state dump.
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
    last_heartbeat: Instant,
    unverified_since: Instant,
}

/// Tracks the phase of one process and its requests in progress.
///
/// Invariants: [`Phase::Leaving`] is final. Each request that was begun is counted until its guard
/// is dropped.
#[derive(Debug)]
pub struct Lifecycle {
    state: Mutex<State>,
}

/// Guard that counts one request as in progress until it is dropped.
#[derive(Debug)]
pub struct InProgress<'a>(&'a Lifecycle);

impl Drop for InProgress<'_> {
    fn drop(&mut self) {
        self.0.state.lock().unwrap().in_progress -= 1;
    }
}

impl Lifecycle {
    /// Creates the state of a process that starts at `now`.
    pub fn new(now: Instant) -> Self {
        let state = State {
            phase: Phase::Starting,
            in_progress: 0,
            last_heartbeat: now,
            unverified_since: now,
        };
        Self { state: Mutex::new(state) }
    }

    /// Begins a request and returns the guard that counts it, or the phase for which it is refused.
    ///
    /// A process that was paused refuses requests even before its control loop has detected the
    /// pause.
    pub fn begin_request(&self, now: Instant) -> Result<InProgress<'_>, Phase> {
        let mut state = self.state.lock().unwrap();
        if state.phase != Phase::Ready {
            return Err(state.phase);
        }
        if now.saturating_duration_since(state.last_heartbeat) > MAX_HEARTBEAT_GAP {
            return Err(Phase::Starting);
        }
        state.in_progress += 1;
        Ok(InProgress(self))
    }

    /// Records a heartbeat of the control loop. Returns the time since the last one if it shows
    /// that the process was paused, which takes a ready process back to [`Phase::Starting`].
    pub fn record_heartbeat(&self, now: Instant) -> Option<Duration> {
        let mut state = self.state.lock().unwrap();
        let gap = now.saturating_duration_since(state.last_heartbeat);
        state.last_heartbeat = now;
        if gap <= MAX_HEARTBEAT_GAP {
            return None;
        }
        state.unverified_since = now;
        if state.phase == Phase::Ready {
            state.phase = Phase::Starting;
        }
        Some(gap)
    }

    /// Makes a starting process ready. `requested_at` is the time at which the answer that prompted
    /// this was requested; an answer requested before the last pause does not count, as it may be
    /// outdated. Returns whether the phase changed.
    pub fn mark_ready(&self, requested_at: Instant) -> bool {
        let mut state = self.state.lock().unwrap();
        let changed = state.phase == Phase::Starting && requested_at >= state.unverified_since;
        if changed {
            state.phase = Phase::Ready;
        }
        changed
    }

    /// Refuses new requests from now on.
    pub fn start_leaving(&self) {
        self.state.lock().unwrap().phase = Phase::Leaving;
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.state.lock().unwrap().phase
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.state.lock().unwrap().in_progress
    }
}
