//! Finds out whether this host is cut off from the leafs: whether all of those that it calls have
//! fallen silent or refuse it at the same time.
//!
//! Leafs fail one by one or a few at a time, and answers of the others arrive meanwhile. Invariant:
//! an answer or an opened connection of any leaf ends the cut.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::ids::LeafKey;

/// Time without an answer of any leaf after which silent leafs indicate a cut.
const SILENCE_TIME: Duration = Duration::from_millis(250);
/// Number of silent leafs that indicate a cut; fewer if fewer leafs are listed.
const MIN_SILENT_LEAFS: usize = 3;

/// What this host observes of all leafs together.
#[derive(Debug, Default)]
pub struct LeafReach {
    /// Leafs that were called or refused a connection since any leaf answered, with the time of the
    /// first of these calls.
    silent: HashMap<LeafKey, Instant>,
    cut_off_at: Option<Instant>,
}

impl LeafReach {
    /// Records that a call is written to a leaf, or that a connection to it could not be opened.
    pub fn record_attempt(&mut self, leaf: LeafKey, now: Instant) {
        self.silent.entry(leaf).or_insert(now);
    }

    /// Records that a leaf answered or accepted a connection. Returns how long this host was cut
    /// off, if that ends a cut.
    pub fn record_contact(&mut self, now: Instant) -> Option<Duration> {
        self.silent.clear();
        self.cut_off_at.take().map(|at| now.saturating_duration_since(at))
    }

    /// Forgets all attempts, as after a pause of this process, in which answers could not be read.
    pub fn forget_attempts(&mut self) {
        self.silent.clear();
    }

    /// Returns whether a cut is found now that was not known before. `listed` is the number of
    /// leafs.
    pub fn detect_cut(&mut self, listed: usize, now: Instant) -> bool {
        let is_silent = |at: &&Instant| now.saturating_duration_since(**at) >= SILENCE_TIME;
        let silent = self.silent.values().filter(is_silent).count();
        let is_cut_off = silent > 0 && silent >= MIN_SILENT_LEAFS.min(listed);
        let is_new = is_cut_off && self.cut_off_at.is_none();
        if is_new {
            self.cut_off_at = Some(now);
        }
        is_new
    }

    /// Returns whether this host is cut off from the leafs.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off_at.is_some()
    }
}
