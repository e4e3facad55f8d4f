//! Leafs that a platform publishes as single entries, which come, change and lapse one by one.
//!
//! Invariants: an entry of an earlier start of a leaf, or of an earlier moment of the same start,
//! never replaces a later one; an entry that cannot be used changes nothing but itself; a leaf that
//! lapsed while the platform was away stays usable for a short time after its return, and is gone
//! then unless it was published anew.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::hosts::HostState;
use crate::ids::Revision;

/// Time after the platform's return in which lapsed leafs are published anew.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_200);
/// Time for which the last state of a leaf that is gone is remembered, against entries that were
/// written before and arrive late.
const GONE_MEMORY: Duration = Duration::from_secs(120);

/// One moment in the life of a leaf, by which entries are ordered.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct EntryVersion {
    /// Start of the leaf, in milliseconds of its own clock; 0 where it is not published.
    pub born_ms: u64,
    /// Number of the entry since that start.
    pub sequence: u64,
}

/// A leaf as published.
#[derive(Clone, Debug, PartialEq)]
pub struct PublishedLeaf {
    /// What it calls itself.
    pub instance: String,
    /// The group that it belongs to.
    pub group: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Live or leaving.
    pub state: HostState,
    /// How much longer it is slow after its start.
    pub cold_left: Duration,
    /// When this was said.
    pub entry_version: EntryVersion,
}

/// A leaf that may be used.
#[derive(Clone, Debug)]
pub struct FedLeaf {
    /// What it said last.
    pub leaf: PublishedLeaf,
    /// Until when it is slow.
    pub cold_until: Option<Instant>,
    /// Revision of its entry.
    pub revision: Revision,
    lapsed_until: Option<Instant>,
}

/// What an entry did.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Heard {
    /// It is in force.
    Taken,
    /// It is older than what is known, and ignored.
    Stale,
}

#[derive(Clone, Copy, Debug)]
struct Gone {
    entry_version: EntryVersion,
    at: Instant,
}

/// The leafs published, as this process knows them.
#[derive(Debug, Default)]
pub struct LeafFeed {
    leafs: BTreeMap<String, FedLeaf>,
    gone: BTreeMap<String, Gone>,
}

impl LeafFeed {
    /// Takes in an entry.
    pub fn heard(&mut self, leaf: PublishedLeaf, revision: Revision, now: Instant) -> Heard {
        let known = self.leafs.get(&leaf.instance).map(|known| known.leaf.entry_version);
        let buried = self.gone.get(&leaf.instance).map(|gone| gone.entry_version);
        if known.max(buried).is_some_and(|entry_version| leaf.entry_version < entry_version) {
            return Heard::Stale;
        }
        self.gone.remove(&leaf.instance);
        let cold_until = (!leaf.cold_left.is_zero()).then(|| now + leaf.cold_left);
        let fed = FedLeaf { leaf, cold_until, revision, lapsed_until: None };
        self.leafs.insert(fed.leaf.instance.clone(), fed);
        Heard::Taken
    }

    /// Takes in that a leaf's entry was removed. With `bridged_until`, the platform was away just
    /// before, and the entry may have lapsed only because of that. Returns whether the leaf was
    /// known.
    pub fn removed(
        &mut self,
        instance: &str,
        bridged_until: Option<Instant>,
        now: Instant,
    ) -> bool {
        let Some(known) = self.leafs.get_mut(instance) else { return false };
        match bridged_until {
            Some(until) if now < until && known.leaf.state == HostState::Live => {
                known.lapsed_until = Some(known.lapsed_until.map_or(until, |at| at.min(until)));
            }
            _ => self.bury(instance, now),
        }
        true
    }

    /// Removes the leafs whose time after a lapse is over. Returns their instances.
    pub fn expire(&mut self, now: Instant) -> Vec<String> {
        self.gone.retain(|_, gone| now.saturating_duration_since(gone.at) < GONE_MEMORY);
        let is_over = |fed: &FedLeaf| fed.lapsed_until.is_some_and(|until| until <= now);
        let over = self.leafs.iter().filter(|(_, fed)| is_over(fed));
        let over: Vec<String> = over.map(|(instance, _)| instance.clone()).collect();
        over.iter().for_each(|instance| self.bury(instance, now));
        over
    }

    fn bury(&mut self, instance: &str, now: Instant) {
        if let Some(fed) = self.leafs.remove(instance) {
            self.gone.insert(
                instance.to_owned(),
                Gone { entry_version: fed.leaf.entry_version, at: now },
            );
        }
    }

    /// Returns all leafs that may be used, those that are leaving included.
    pub fn leafs(&self) -> impl Iterator<Item = &FedLeaf> {
        self.leafs.values()
    }
}
