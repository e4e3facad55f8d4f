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
/// The same time for leafs that refuse connections, which leave nothing to wait for. It is long
/// enough for a connection to another region.
const REFUSAL_TIME: Duration = Duration::from_millis(60);
/// Time after which connections are tried, which disprove a cut if the leafs are only slow.
const SUSPICION_TIME: Duration = Duration::from_millis(150);
/// Time after the last contact, and after the first call without an answer, in which a cut has begun.
const CONTACT_MARGIN: Duration = Duration::from_millis(100);
/// Number of silent leafs that indicate a cut; fewer if fewer leafs are listed.
const MIN_SILENT_LEAFS: usize = 3;

/// What happened to the calls to one leaf since any leaf answered.
#[derive(Clone, Copy, Debug)]
struct Silence {
    since: Instant,
    /// Whether the leaf refused a connection or broke one, so that no answer is to come.
    is_refused: bool,
}

/// What this host observes of all leafs together.
#[derive(Debug, Default)]
pub struct LeafReach {
    /// Leafs that were called since any leaf answered.
    silent: HashMap<LeafKey, Silence>,
    /// When the first of them was called.
    silent_since: Option<Instant>,
    cut_off_at: Option<Instant>,
    contacted_at: Option<Instant>,
}

impl LeafReach {
    /// Records that a call is written to a leaf, or that a connection to it is not opened in time.
    pub fn record_attempt(&mut self, leaf: LeafKey, now: Instant) {
        self.silent_since.get_or_insert(now);
        self.silent.entry(leaf).or_insert(Silence { since: now, is_refused: false });
    }

    /// Records that a leaf refused a connection or broke one in use.
    pub fn record_refusal(&mut self, leaf: LeafKey, now: Instant) {
        self.silent_since.get_or_insert(now);
        let silence = self.silent.entry(leaf).or_insert(Silence { since: now, is_refused: true });
        if !silence.is_refused {
            *silence = Silence { since: now, is_refused: true };
        }
    }

    /// Records that a leaf answered or accepted a connection. Returns how long this host was cut
    /// off, if that ends a cut.
    pub fn record_contact(&mut self, now: Instant) -> Option<Duration> {
        self.forget_attempts();
        self.contacted_at = Some(now);
        self.cut_off_at.take().map(|at| now.saturating_duration_since(at))
    }

    /// Forgets all attempts, as after a pause of this process, in which answers could not be read.
    pub fn forget_attempts(&mut self) {
        self.silent.clear();
        self.silent_since = None;
    }

    /// Forgets the attempts at leafs that are not to be called any more.
    pub fn forget_leafs(&mut self, is_forgotten: impl Fn(LeafKey) -> bool) {
        self.silent.retain(|&leaf, _| !is_forgotten(leaf));
    }

    /// Returns whether silent leafs make a cut possible, so that a connection should be tried.
    pub fn is_suspected(&self, listed: usize, now: Instant) -> bool {
        self.is_silent(listed, |silence| {
            silence.is_refused || now.saturating_duration_since(silence.since) >= SUSPICION_TIME
        })
    }

    /// Returns whether so many leafs have refused this host since any leaf answered that it may be
    /// cut off, and the loss of one of them is not certain.
    pub fn is_refused_by_several(&self) -> bool {
        self.silent.values().filter(|silence| silence.is_refused).count() >= MIN_SILENT_LEAFS
    }

    /// Returns whether a cut is found now that was not known before. `listed` is the number of
    /// leafs.
    pub fn detect_cut(&mut self, listed: usize, now: Instant) -> bool {
        let is_new = self.cut_off_at.is_none()
            && self.is_silent(listed, |silence| {
                let time = if silence.is_refused { REFUSAL_TIME } else { SILENCE_TIME };
                now.saturating_duration_since(silence.since) >= time
            });
        if is_new {
            self.cut_off_at = Some(now);
        }
        is_new
    }

    /// Returns whether this host is cut off from the leafs.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off_at.is_some()
    }

    /// Returns whether a call that was written at `written_at` may have reached its leaf. While
    /// this host is cut off, one that was written well after the last contact and well after the
    /// first call without an answer did not. Between the two, a host with little traffic calls no
    /// leaf and has no contact although it is not cut off.
    pub fn may_have_arrived(&self, written_at: Instant) -> bool {
        let last = self.contacted_at.max(self.silent_since).map(|at| at + CONTACT_MARGIN);
        !self.is_cut_off() || last.is_some_and(|last| written_at <= last)
    }

    fn is_silent(&self, listed: usize, counts: impl Fn(&Silence) -> bool) -> bool {
        let silent = self.silent.values().filter(|silence| counts(silence)).count();
        silent > 0 && silent >= MIN_SILENT_LEAFS.min(listed)
    }
}
