//! Decides when an ordinary call gets a slot before urgent ones that wait.
//!
//! Load: urgent calls alone fill a leaf for seconds. Urgent calls go first, but ordinary ones are
//! served at least about a quarter as often as all, so that none of their callers is starved.

use std::time::Duration;
use std::time::Instant;

use crate::catalogue::Class;

/// Smallest rate at which ordinary calls are served, as a part of that of all calls. Slightly above
/// the quarter that callers are promised.
const MIN_RELATIVE_RATE: f64 = 0.3;
/// Time after which a call has lost about two thirds of its weight.
const DECAY_TIME: Duration = Duration::from_secs(5);
/// Shortest interval between two steps of the decay.
const DECAY_STEP: Duration = Duration::from_millis(50);

/// Calls of one class that asked for a slot, and those that got one, with decay.
#[derive(Clone, Copy, Debug, Default)]
struct ClassCount {
    asked: f64,
    served: f64,
}

/// Counts of the calls of both classes at one leaf.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassTurns {
    urgent: ClassCount,
    ordinary: ClassCount,
    decayed_at: Option<Instant>,
}

impl ClassTurns {
    /// Records that a call asks for a slot.
    pub fn record_asked(&mut self, class: Class, now: Instant) {
        self.decay(now);
        self.count(class).asked += 1.0;
    }

    /// Records that a call got a slot.
    pub fn record_served(&mut self, class: Class) {
        self.count(class).served += 1.0;
    }

    /// Returns whether an ordinary call that waits goes before urgent ones.
    pub fn is_ordinary_turn(&self) -> bool {
        let (asked, served) =
            (self.urgent.asked + self.ordinary.asked, self.urgent.served + self.ordinary.served);
        self.ordinary.served * asked < MIN_RELATIVE_RATE * served * self.ordinary.asked
    }

    /// Returns the number of urgent calls, at most, that go before each ordinary one while both
    /// wait.
    pub fn urgent_per_ordinary(&self) -> f64 {
        let asked = self.urgent.asked + self.ordinary.asked;
        (asked / (MIN_RELATIVE_RATE * self.ordinary.asked.max(1.0)) - 1.0).max(0.0)
    }

    fn count(&mut self, class: Class) -> &mut ClassCount {
        match class {
            Class::Urgent => &mut self.urgent,
            Class::Ordinary => &mut self.ordinary,
        }
    }

    fn decay(&mut self, now: Instant) {
        let age = now.saturating_duration_since(*self.decayed_at.get_or_insert(now));
        if age >= DECAY_STEP {
            let factor = (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
            for count in [&mut self.urgent, &mut self.ordinary] {
                count.asked *= factor;
                count.served *= factor;
            }
            self.decayed_at = Some(now);
        }
    }
}
