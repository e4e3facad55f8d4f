//! The queue in front of one leaf: a window of calls in flight, and waiters by class and deadline.
//!
//! Invariants: no more calls are in flight than the window allows; an urgent waiter never stands
//! behind an ordinary one. The window grows by additive increase and shrinks by half on a shed.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use crate::catalogue::Class;

/// Window growth for each call that ends well, in calls; divided by the window.
const WINDOW_STEP: f64 = 0.25;
/// Factor by which a shed shrinks the window.
const WINDOW_CUT: f64 = 0.5;

/// Weight of a new sample in the running mean of the ordinary queue's pace.
const PACE_WEIGHT: f64 = 0.1;

/// How a call that had a slot ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// The leaf answered.
    Answered,
    /// The leaf shed the call.
    Shed,
    /// The call was lost, cancelled or not sent.
    Other,
}

/// The answer to a call that asks for a slot.
#[derive(Debug, Eq, PartialEq)]
pub enum Admission {
    /// The call has a slot now.
    Admitted,
    /// The call waits.
    Queued,
    /// The wait would outlast the deadline.
    Refused,
}

#[derive(Debug)]
struct Waiter<T> {
    deadline: Instant,
    number: u64,
    token: T,
}

impl<T> Eq for Waiter<T> {}

impl<T> Ord for Waiter<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.deadline, self.number).cmp(&(other.deadline, other.number))
    }
}

impl<T> PartialEq for Waiter<T> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl<T> PartialOrd for Waiter<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// The queue in front of one leaf. `T` is the waiting call's token; dropping it refuses the call.
#[derive(Debug)]
pub struct AdmissionQueue<T> {
    window: f64,
    max_window: u32,
    in_flight: u32,
    urgent: BinaryHeap<Reverse<Waiter<T>>>,
    ordinary: BinaryHeap<Reverse<Waiter<T>>>,
    next_number: u64,
    pace: OrdinaryPace,
}

/// Time between two starts from the ordinary queue while it is not empty. It shows what urgent calls
/// leave.
#[derive(Debug, Default)]
struct OrdinaryPace {
    mean: Duration,
    last_start: Option<Instant>,
}

impl OrdinaryPace {
    fn started(&mut self, now: Instant) {
        if let Some(last) = self.last_start.replace(now) {
            let sample = now.saturating_duration_since(last);
            self.mean = self.mean.mul_f64(1.0 - PACE_WEIGHT) + sample.mul_f64(PACE_WEIGHT);
        }
    }

    fn queue_is_empty(&mut self) {
        self.last_start = None;
    }
}

impl<T> AdmissionQueue<T> {
    /// Makes a gate for at most `max_window` calls in flight, starting with a window of 1.
    pub fn new(max_window: u32) -> Self {
        Self {
            window: 1.0,
            max_window: max_window.max(1),
            in_flight: 0,
            urgent: BinaryHeap::new(),
            ordinary: BinaryHeap::new(),
            next_number: 0,
            pace: OrdinaryPace::default(),
        }
    }

    /// Changes the most calls that may be in flight. Calls in progress are left alone.
    pub fn set_max_window(&mut self, max_window: u32) {
        self.max_window = max_window.max(1);
        self.window = self.window.min(f64::from(self.max_window));
    }

    /// Asks for a slot. `service` is the leaf's expected time per call.
    pub fn request_slot(
        &mut self,
        class: Class,
        deadline: Instant,
        service: Duration,
        now: Instant,
        token: T,
    ) -> Admission {
        if self.is_free(class) {
            self.in_flight += 1;
            return Admission::Admitted;
        }
        if now + self.expected_wait(class, service, 0) + service > deadline {
            return Admission::Refused;
        }
        self.next_number += 1;
        let waiter = Reverse(Waiter { deadline, number: self.next_number, token });
        match class {
            Class::Urgent => self.urgent.push(waiter),
            Class::Ordinary => self.ordinary.push(waiter),
        }
        Admission::Queued
    }

    /// Whether a call of this class would get a slot at once.
    pub fn is_free(&self, class: Class) -> bool {
        let nobody_before = match class {
            Class::Urgent => self.urgent.is_empty(),
            Class::Ordinary => self.urgent.is_empty() && self.ordinary.is_empty(),
        };
        nobody_before && self.in_flight < self.window()
    }

    /// Estimates how long a new call of this class waits for a slot, behind `more` calls that are
    /// about to enter.
    pub fn expected_wait(&self, class: Class, service: Duration, more: u32) -> Duration {
        let free = self.window().saturating_sub(self.in_flight);
        if self.is_free(class) && more < free {
            return Duration::ZERO;
        }
        let ahead = match class {
            Class::Urgent => self.urgent.len(),
            Class::Ordinary => self.urgent.len() + self.ordinary.len(),
        };
        let behind = more.saturating_sub(free) as usize;
        let calls_before = (ahead + behind + 1) as f64;
        let by_slots = service.mul_f64(calls_before / f64::from(self.window()));
        match class {
            Class::Urgent => by_slots,
            Class::Ordinary => by_slots.max(self.pace.mean.mul_f64(calls_before)),
        }
    }

    /// Gives a slot back and returns the tokens of the waiters that get one now.
    pub fn release_slot(&mut self, end: CallEnd, now: Instant) -> Vec<T> {
        self.in_flight = self.in_flight.saturating_sub(1);
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

    fn admit_waiters(&mut self, now: Instant) -> Vec<T> {
        let mut admitted = Vec::new();
        while self.in_flight < self.window() {
            let Some(Reverse(waiter)) = self.next_waiter(now) else { break };
            if waiter.deadline > now {
                self.in_flight += 1;
                admitted.push(waiter.token);
            }
        }
        admitted
    }

    fn next_waiter(&mut self, now: Instant) -> Option<Reverse<Waiter<T>>> {
        if let Some(waiter) = self.urgent.pop() {
            return Some(waiter);
        }
        let waiter = self.ordinary.pop()?;
        self.pace.started(now);
        if self.ordinary.is_empty() {
            self.pace.queue_is_empty();
        }
        Some(waiter)
    }

    /// Returns the number of calls in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of waiting calls of both classes.
    pub fn queued(&self) -> usize {
        self.urgent.len() + self.ordinary.len()
    }

    /// Returns the present window, in calls.
    pub fn window(&self) -> u32 {
        (self.window as u32).max(1)
    }
}
