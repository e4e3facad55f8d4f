//! Pins the leafs of opaque requests: picks the group of a traffic split, and leaves out the leafs
//! that lie outside the homes of the entry.

use crate::ids::GroupKey;
use crate::layout::IndexSnapshot;
use crate::opaque::LocalAnswer;
use crate::opaque_answer::with_jitter;
use crate::opaque_catalogue::OpaqueEntry;
use crate::opaque_catalogue::Target;
use crate::opaque_coordinator::EntryPicker;
use crate::opaque_coordinator::OpaqueCoordinator;
use crate::opaque_view::OpaqueView;
use crate::retry_after::NO_PLACE_RETRY;
use crate::weighted_round_robin::WeightedRoundRobin;

impl OpaqueCoordinator {
    /// Returns the leafs to call under the configuration in force: all groups of a scatter-gather
    /// entry as shards, or one picked group of a traffic split as the only shard.
    ///
    /// Refuses a request at once if too few of the groups have a leaf in the entry's homes and
    /// outside the evacuated zones, as no host could serve it.
    pub(crate) fn pin(
        &self,
        opaque_entry: &OpaqueEntry,
        view: &OpaqueView,
    ) -> Result<IndexSnapshot, LocalAnswer> {
        let OpaqueEntry { entry, homes, .. } = opaque_entry;
        let picked;
        let groups: &[GroupKey] = match &opaque_entry.target {
            Target::All(groups) => groups,
            Target::One(_) => {
                picked = self.pick_group(opaque_entry);
                std::slice::from_ref(&picked)
            }
        };
        let without_place = groups.iter().filter(|&&group| view.lacks_place(group, homes)).count();
        if groups.len() - without_place < entry.needed_shards(groups.len()) {
            self.tier.counters.refused_places.increment();
            let message = "No leaf may serve the request in its home regions and open zones";
            return Err(LocalAnswer::refused(with_jitter(NO_PLACE_RETRY), message));
        }
        let version = view.catalogue.as_ref().map(|c| c.version).unwrap_or_default();
        let shards: Vec<_> = groups.iter().map(|&group| view.home_leafs(group, homes)).collect();
        let shards = shards.iter().map(|leafs| &**leafs);
        Ok(IndexSnapshot::from_replicas(entry.index.clone(), version, shards))
    }

    /// Picks the group of a traffic split by weight.
    fn pick_group(&self, opaque_entry: &OpaqueEntry) -> GroupKey {
        let Target::One(weights) = &opaque_entry.target else { return GroupKey::default() };
        if let [only] = weights[..] {
            return only.group;
        }
        let mut pickers = self.pickers.lock().unwrap();
        let new_picker = || EntryPicker {
            target: opaque_entry.target.clone(),
            picker: WeightedRoundRobin::new(
                weights.iter().map(|w| w.weight).collect(),
                rand::random(),
            ),
        };
        let entry_picker =
            pickers.entry(opaque_entry.entry.name.clone()).or_insert_with(new_picker);
        if entry_picker.target != opaque_entry.target {
            *entry_picker = new_picker();
        }
        weights[entry_picker.picker.pick()].group
    }
}
