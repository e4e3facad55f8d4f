//! Admission queue of one leaf: a congestion window of calls in flight, and waiting calls in the
//! order of [`crate::waiting_calls`].
//!
//! Invariant: a call is admitted only while fewer calls are in flight than the window allows. The
//! window follows AIMD: it grows additively on a reply and is halved when the leaf sheds a call.

use std::time::Duration;
use std::time::Instant;

use crate::catalogue::Class;
use crate::feasibility;
use crate::waiting_calls::Rank;
use crate::waiting_calls::WaitingCalls;

/// Window growth per answered call, in calls, divided by the current window.
const WINDOW_STEP: f64 = 0.25;
/// Factor by which the window shrinks when the leaf sheds a call.
const WINDOW_CUT: f64 = 0.5;

/// Weight of a new sample in the moving average of the ordinary queue's start interval.
const INTERVAL_WEIGHT: f64 = 0.1;

/// How a call that had a slot ended, as far as it affects the window.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// The leaf processed the call; the window grows.
    Answered,
    /// The leaf shed the call; the window shrinks.
    Shed,
    /// The call was lost, cancelled or not sent; the window stays.
    Other,
}

/// The result of a request for a slot.
#[derive(Debug, Eq, PartialEq)]
pub enum Admission {
    /// The call has a slot now.
    Admitted,
    /// The call waits for a slot; its token is returned by [`AdmissionQueue::release_slot`].
    Queued,
    /// The call is not expected to end before its deadline; its token was dropped.
    Refused,
}

/// The admission queue of one leaf. `T` is the token of a waiting call; dropping it refuses the
/// call.
#[derive(Debug)]
pub struct AdmissionQueue<T> {
    window: f64,
    max_window: u32,
    in_flight: u32,
    waiting: WaitingCalls<T>,
    ordinary_interval: OrdinaryInterval,
    /// When a slot was last taken or released; absent before the first.
    moved_at: Option<Instant>,
}

/// Average time between two starts from the ordinary queue while it is not empty. It reflects the
/// capacity that urgent calls leave to ordinary ones.
#[derive(Debug, Default)]
struct OrdinaryInterval {
    mean: Duration,
    last_start: Option<Instant>,
}

impl OrdinaryInterval {
    fn record_start(&mut self, now: Instant) {
        if let Some(last) = self.last_start.replace(now) {
            let sample = now.saturating_duration_since(last);
            self.mean = self.mean.mul_f64(1.0 - INTERVAL_WEIGHT) + sample.mul_f64(INTERVAL_WEIGHT);
        }
    }

    fn reset(&mut self) {
        self.last_start = None;
    }
}

impl<T> AdmissionQueue<T> {
    /// Creates a queue for at most `max_window` calls in flight, starting with a window of 1 call.
    pub fn new(max_window: u32) -> Self {
        Self {
            window: 1.0,
            max_window: max_window.max(1),
            in_flight: 0,
            waiting: WaitingCalls::default(),
            ordinary_interval: OrdinaryInterval::default(),
            moved_at: None,
        }
    }

    /// Changes the upper bound of the window, at least 1 call. Calls in flight continue.
    pub fn set_max_window(&mut self, max_window: u32) {
        self.max_window = max_window.max(1);
        self.window = self.window.min(f64::from(self.max_window));
    }

    /// Sets whether ordinary calls get a slot before urgent ones while they are served far less often.
    pub fn set_ordinary_turns(&mut self, has_ordinary_turns: bool) {
        self.waiting.set_ordinary_turns(has_ordinary_turns);
    }

    /// Requests a slot for a call. `service` is the leaf's expected time per call.
    pub fn request_slot(
        &mut self,
        rank: impl Into<Rank>,
        deadline: Instant,
        service: Duration,
        now: Instant,
        token: T,
    ) -> Admission {
        let rank = rank.into();
        self.waiting.record_asked(rank.class, now);
        if self.is_free(rank) {
            self.waiting.record_served(rank.class);
            self.in_flight += 1;
            self.moved_at = Some(now);
            return Admission::Admitted;
        }
        if now + self.expected_wait(rank, service, 0) + service > deadline {
            return Admission::Refused;
        }
        self.waiting.push(rank, deadline, token);
        Admission::Queued
    }

    /// Returns whether a call of this rank would get a slot at once.
    pub fn is_free(&self, rank: impl Into<Rank>) -> bool {
        self.waiting.ahead_of(rank.into()) == 0 && self.in_flight < self.window()
    }

    /// Estimates how long a new call of this rank waits for a slot, behind `upcoming` calls that
    /// will be queued before it.
    pub fn expected_wait(
        &self,
        rank: impl Into<Rank>,
        service: Duration,
        upcoming: u32,
    ) -> Duration {
        let rank = rank.into();
        let free = self.window().saturating_sub(self.in_flight);
        if self.is_free(rank) && upcoming < free {
            return Duration::ZERO;
        }
        let behind = upcoming.saturating_sub(free) as usize;
        self.wait_behind(self.waiting.ahead_of(rank) + behind, rank.class, service)
    }

    /// Estimates how much longer a waiting call with this rank and deadline waits for a slot, also
    /// while the calls in flight are stalled.
    pub fn rest_of_wait(
        &self,
        rank: impl Into<Rank>,
        deadline: Instant,
        service: Duration,
        now: Instant,
    ) -> Duration {
        if self.in_flight < self.window() {
            // The call has not asked for a slot yet.
            return Duration::ZERO;
        }
        let rank = rank.into();
        let ahead = self.waiting.ahead_of_waiting(rank, deadline);
        let usual = self.wait_behind(ahead, rank.class, service);
        let unmoved = self.moved_at.map(|at| now.saturating_duration_since(at)).unwrap_or_default();
        let next_release = feasibility::expected_rest(service, unmoved);
        usual.max(next_release + usual.saturating_sub(service))
    }

    fn wait_behind(&self, ahead: usize, class: Class, service: Duration) -> Duration {
        let calls_before = (ahead + 1) as f64;
        let by_slots = service.mul_f64(calls_before / f64::from(self.window()));
        match class {
            Class::Urgent => by_slots,
            Class::Ordinary => by_slots.max(self.ordinary_interval.mean.mul_f64(calls_before)),
        }
    }

    /// Releases a slot, adjusts the window, and returns the tokens of the waiting calls that get a
    /// slot now. Waiting calls whose deadline has passed are dropped.
    pub fn release_slot(&mut self, end: CallEnd, now: Instant) -> Vec<T> {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.moved_at = Some(now);
        match end {
            CallEnd::Answered => {
                let grown = self.window + WINDOW_STEP / self.window;
                self.window = grown.min(f64::from(self.max_window));
            }
            CallEnd::Shed => self.window = (self.window * WINDOW_CUT).max(1.0),
            CallEnd::Other => {}
        }
        self.admit_waiters(now)
    }

    /// Drops the tokens of all waiting calls, which refuses them.
    pub fn refuse_waiting(&mut self) {
        self.waiting.clear();
        self.ordinary_interval.reset();
    }

    fn admit_waiters(&mut self, now: Instant) -> Vec<T> {
        let mut admitted = Vec::new();
        while self.in_flight < self.window() {
            let Some(next) = self.waiting.pop() else { break };
            if next.class == Class::Ordinary {
                self.ordinary_interval.record_start(now);
                if !self.waiting.has_any_of(Class::Ordinary) {
                    self.ordinary_interval.reset();
                }
            }
            if next.deadline > now {
                self.waiting.record_served(next.class);
                self.in_flight += 1;
                admitted.push(next.token);
            }
        }
        admitted
    }

    /// Returns the number of calls in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of waiting calls of both classes.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the current window in whole calls, at least 1.
    pub fn window(&self) -> u32 {
        (self.window as u32).max(1)
    }
}
