//! Directory of the leafs, whose entries are published, changed and expire one by one.
//!
//! Invariants: an entry of an earlier start of a leaf, or an earlier entry of the same start, never
//! replaces a later one; an invalid entry affects no other entry; a leaf whose entry expired during
//! an outage of the platform stays usable for a short time after the outage, and is removed then
//! unless its entry was published again.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::hosts::HostState;
use crate::ids::Revision;

/// Time after an outage of the platform for which leafs with expired entries stay usable; within
/// it, running leafs publish their entries again.
pub const EXPIRY_GRACE: Duration = Duration::from_millis(2_200);
/// Time for which the version of a removed entry is kept, so that an older entry that arrives late
/// does not add the leaf again.
const TOMBSTONE_LIFETIME: Duration = Duration::from_secs(120);

/// Version of a leaf's entry, which orders the entries of one leaf: by start, then by sequence.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct EntryVersion {
    /// Start of the leaf's process, in milliseconds of its own clock; 0 if not published.
    pub born_ms: u64,
    /// Number of the entry since that start.
    pub sequence: u64,
}

/// Leaf, as published in its entry.
#[derive(Clone, Debug, PartialEq)]
pub struct PublishedLeaf {
    /// Instance name, which stays the same when the leaf restarts.
    pub instance: String,
    /// Name of the group of leafs that it belongs to.
    pub group: String,
    /// Address on which the leaf listens.
    pub addr: SocketAddr,
    /// Name of the leaf's availability zone.
    pub zone: String,
    /// Number of calls that the leaf runs at once.
    pub slots: u32,
    /// Whether the leaf accepts new calls.
    pub state: HostState,
    /// Remaining time of the slow phase after the leaf's start, when the entry was written.
    pub cold_left: Duration,
    /// Version of the entry.
    pub entry_version: EntryVersion,
}

/// Leaf that may be called.
#[derive(Clone, Debug)]
pub struct DirectoryLeaf {
    /// Latest entry of the leaf.
    pub leaf: PublishedLeaf,
    /// End of the slow phase after the leaf's start; absent if the entry announces none.
    pub cold_until: Option<Instant>,
    /// Revision of the entry.
    pub revision: Revision,
    /// End of the grace period after the entry expired in an outage; absent while it is published.
    removal_at: Option<Instant>,
}

/// Effect of a published entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryEffect {
    /// The entry is now the current one of its leaf.
    Applied,
    /// The entry is older than the latest one that was applied or removed, and was ignored.
    Stale,
}

#[derive(Clone, Copy, Debug)]
struct Tombstone {
    entry_version: EntryVersion,
    removed_at: Instant,
}

/// Leafs by instance name, and the versions of recently removed ones.
#[derive(Debug, Default)]
pub struct LeafDirectory {
    leafs: BTreeMap<String, DirectoryLeaf>,
    tombstones: BTreeMap<String, Tombstone>,
}

impl LeafDirectory {
    /// Applies a published entry, unless a later one of the same leaf was applied or removed.
    pub fn apply_entry(
        &mut self,
        leaf: PublishedLeaf,
        revision: Revision,
        now: Instant,
    ) -> EntryEffect {
        let current = self.leafs.get(&leaf.instance).map(|current| current.leaf.entry_version);
        let removed = self.tombstones.get(&leaf.instance).map(|tombstone| tombstone.entry_version);
        if current.max(removed).is_some_and(|entry_version| leaf.entry_version < entry_version) {
            return EntryEffect::Stale;
        }
        self.tombstones.remove(&leaf.instance);
        let cold_until = (!leaf.cold_left.is_zero()).then(|| now + leaf.cold_left);
        let listed = DirectoryLeaf { leaf, cold_until, revision, removal_at: None };
        self.leafs.insert(listed.leaf.instance.clone(), listed);
        EntryEffect::Applied
    }

    /// Applies an entry from an older copy of the platform. Unlike one that a leaf has published
    /// since, it does not bring back a leaf whose removal is known.
    pub fn apply_copied_entry(
        &mut self,
        leaf: PublishedLeaf,
        revision: Revision,
        now: Instant,
    ) -> EntryEffect {
        let removed = self.tombstones.get(&leaf.instance).map(|tombstone| tombstone.entry_version);
        if removed.is_some_and(|entry_version| leaf.entry_version <= entry_version) {
            return EntryEffect::Stale;
        }
        self.apply_entry(leaf, revision, now)
    }

    /// Applies the removal of a leaf's entry. `grace_until` is given during an outage of the
    /// platform and shortly after it, when the entry may have expired only because of the outage: a
    /// live leaf is kept until then. Returns whether the leaf was in the directory.
    pub fn remove_entry(
        &mut self,
        instance: &str,
        grace_until: Option<Instant>,
        now: Instant,
    ) -> bool {
        let Some(current) = self.leafs.get_mut(instance) else { return false };
        match grace_until {
            Some(until) if now < until && current.leaf.state == HostState::Live => {
                current.removal_at = Some(current.removal_at.map_or(until, |at| at.min(until)));
            }
            _ => self.remove_leaf(instance, now),
        }
        true
    }

    /// Removes the leafs whose grace period is over, and old tombstones. Returns the instance names
    /// of the removed leafs.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<String> {
        self.tombstones.retain(|_, tombstone| {
            now.saturating_duration_since(tombstone.removed_at) < TOMBSTONE_LIFETIME
        });
        let is_overdue =
            |listed: &DirectoryLeaf| listed.removal_at.is_some_and(|until| until <= now);
        let overdue = self.leafs.iter().filter(|(_, listed)| is_overdue(listed));
        let overdue: Vec<String> = overdue.map(|(instance, _)| instance.clone()).collect();
        overdue.iter().for_each(|instance| self.remove_leaf(instance, now));
        overdue
    }

    fn remove_leaf(&mut self, instance: &str, now: Instant) {
        if let Some(listed) = self.leafs.remove(instance) {
            self.tombstones.insert(
                instance.to_owned(),
                Tombstone { entry_version: listed.leaf.entry_version, removed_at: now },
            );
        }
    }

    /// Iterates over all leafs, ordered by instance name; includes leaving and expired ones.
    pub fn leafs(&self) -> impl Iterator<Item = &DirectoryLeaf> {
        self.leafs.values()
    }

    /// Returns the leafs that are reached under their address. Of several that are published under
    /// one address, the one that started last has taken it over.
    pub fn reached_leafs(&self) -> impl Iterator<Item = &DirectoryLeaf> {
        let born_ms = |listed: &DirectoryLeaf| listed.leaf.entry_version.born_ms;
        let mut latest_born: HashMap<SocketAddr, u64> = HashMap::new();
        for listed in self.leafs() {
            let latest = latest_born.entry(listed.leaf.addr).or_default();
            *latest = (*latest).max(born_ms(listed));
        }
        self.leafs().filter(move |listed| born_ms(listed) == latest_born[&listed.leaf.addr])
    }
}
