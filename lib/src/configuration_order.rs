//! Decides which published configuration comes into force when the platform may have come back from
//! an older copy of its data.
//!
//! Within one era of the platform a configuration of a higher version replaces one of a lower
//! version. A copy shows an older version, which is not to come into force again, and lost versions
//! may be published again one by one; the operator may also go on from the older version with lower
//! numbers. Invariant: a configuration that was published before is never put in force over a later
//! one.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::Era;
use crate::ids::IndexVersion;

/// Time for which a lower version is held back, as versions that were lost may be published again
/// one after the other.
pub const HOLD_TIME: Duration = Duration::from_millis(1_500);
/// Number of configurations that are recognised when they are published again.
const MAX_SEEN: usize = 256;

/// A published configuration, as far as its order matters.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConfigurationMark {
    /// Version that the operator gave it.
    pub version: IndexVersion,
    /// Hash of its bytes.
    pub digest: u64,
    /// Era in which it was certainly published; absent if it may stem from a copy of the platform.
    pub published_in: Option<Era>,
}

/// What to do with a published configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It comes into force now.
    Apply,
    /// It comes into force after [`HOLD_TIME`] unless another one is published until then.
    Hold,
    /// It is the one in force, published again.
    Confirm,
    /// It is older than the one in force.
    Stale,
}

#[derive(Clone, Copy, Debug)]
struct InForce {
    version: IndexVersion,
    digest: u64,
    era: Era,
}

/// The configuration in force and those published before it.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationOrder {
    in_force: Option<InForce>,
    /// Digests of the configurations published so far, the latest last.
    seen: VecDeque<u64>,
}

impl ConfigurationOrder {
    /// Judges a configuration. One that is to be applied or confirmed counts as in force from now
    /// on, one that is to be held only after [`Self::apply_held`].
    pub fn judge(&mut self, mark: ConfigurationMark) -> Verdict {
        let was_seen = self.seen.contains(&mark.digest);
        self.remember(mark.digest);
        let verdict = self.verdict(mark, was_seen);
        if matches!(verdict, Verdict::Apply | Verdict::Confirm) {
            self.put_in_force(mark);
        }
        verdict
    }

    fn verdict(&self, mark: ConfigurationMark, was_seen: bool) -> Verdict {
        let Some(in_force) = self.in_force else { return Verdict::Apply };
        let is_later_era = mark.published_in.unwrap_or_default() > in_force.era;
        let is_earlier_era = mark.published_in.unwrap_or_default() < in_force.era;
        if mark.digest == in_force.digest {
            return Verdict::Confirm;
        }
        if mark.version > in_force.version {
            let came_back = was_seen && is_earlier_era;
            return if came_back { Verdict::Stale } else { Verdict::Apply };
        }
        if is_later_era && !was_seen { Verdict::Hold } else { Verdict::Stale }
    }

    /// Records that a configuration that was held comes into force.
    pub fn apply_held(&mut self, mark: ConfigurationMark) {
        self.put_in_force(mark);
    }

    /// Returns the era in which the configuration in force was certainly published.
    pub fn era(&self) -> Era {
        self.in_force.map_or(Era::default(), |in_force| in_force.era)
    }

    fn put_in_force(&mut self, mark: ConfigurationMark) {
        let era = self.era().max(mark.published_in.unwrap_or_default());
        self.in_force = Some(InForce { version: mark.version, digest: mark.digest, era });
    }

    fn remember(&mut self, digest: u64) {
        self.seen.retain(|seen| *seen != digest);
        self.seen.push_back(digest);
        if self.seen.len() > MAX_SEEN {
            self.seen.pop_front();
        }
    }
}
