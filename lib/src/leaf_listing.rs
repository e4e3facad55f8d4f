//! Lists the leafs of the directory with this host's share of their connections.

use std::collections::HashMap;

use crate::cold_limit::ColdAllowance;
use crate::cold_limit::ColdBound;
use crate::connection_share::FarRank;
use crate::connection_share::HostCounts;
use crate::connection_share::preference;
use crate::connection_share::share;
use crate::events::Event;
use crate::hosts::LeafDetail;
use crate::hosts::LeafHost;
use crate::ids::GroupKey;
use crate::ids::HostName;
use crate::ids::LeafName;
use crate::ids::Zone;
use crate::ids::sanitized_name;
use crate::leaf_directory::DirectoryLeaf;
use crate::leaf_directory::LeafDirectory;
use crate::log_event;
use crate::opaque_catalogue::GroupRegistry;
use crate::opaque_catalogue::OpaqueCatalogue;
use crate::placement::Places;

/// Number of connections that a leaf is assumed to accept if its group is not configured.
const DEFAULT_LEAF_CONNECTIONS: u32 = 16;

/// What the list of leafs is made from.
pub(crate) struct LeafListing<'a> {
    /// Name of this host.
    pub(crate) own: &'a HostName,
    /// Published leafs.
    pub(crate) directory: &'a LeafDirectory,
    /// Configuration in force, which sets the connections that leafs accept.
    pub(crate) catalogue: Option<&'a OpaqueCatalogue>,
    /// Zones, and which of them are evacuated.
    pub(crate) places: &'a Places,
    /// By how much calls to a cold leaf may exceed what it tolerates.
    pub(crate) cold_allowance: ColdAllowance,
}

/// Leaf of the directory, with the values from which its share of connections is computed.
struct ListedLeaf<'a> {
    directory_leaf: &'a DirectoryLeaf,
    host: LeafHost,
    group: GroupKey,
    counts: HostCounts,
    preference: f64,
}

impl LeafListing<'_> {
    /// Returns the leafs with this host's share of their connections, which depends on the other
    /// leafs of the same group. `count` counts the hosts near to and far from a zone.
    pub(crate) fn leafs(
        &self,
        groups: &mut GroupRegistry,
        count: impl Fn(&str) -> HostCounts,
    ) -> Vec<LeafHost> {
        let mut listed = Vec::new();
        let mut far_leafs: HashMap<GroupKey, Vec<f64>> = HashMap::new();
        for directory_leaf in self.directory.reached_leafs() {
            let group = groups.key(&directory_leaf.leaf.group);
            let Some(host) = leaf_host(directory_leaf) else { continue };
            let counts = count(&directory_leaf.leaf.zone);
            let preference = preference(self.own, &host.name);
            if !counts.is_near {
                far_leafs.entry(group).or_default().push(preference);
            }
            listed.push(ListedLeaf { directory_leaf, host, group, counts, preference });
        }
        listed.into_iter().map(|leaf| self.complete(leaf, &far_leafs)).collect()
    }

    fn complete(
        &self,
        listed: ListedLeaf<'_>,
        far_leafs: &HashMap<GroupKey, Vec<f64>>,
    ) -> LeafHost {
        let ListedLeaf { directory_leaf, mut host, group, counts, preference } = listed;
        let limit = self.catalogue.and_then(|c| c.connections(group));
        let limit = limit.unwrap_or(DEFAULT_LEAF_CONNECTIONS);
        let far = far_leafs.get(&group).map_or(&[][..], Vec::as_slice);
        let place = far.iter().filter(|&&other| other < preference).count();
        let far_rank = FarRank { place, count: far.len() };
        let share = share(limit, counts, far_rank, self.own, &host.name);
        let cold_phase = self.catalogue.and_then(|c| c.cold_phase(group));
        host.connections = limit;
        host.detail = LeafDetail {
            own_connections: Some(share.connections),
            has_ordinary_turns: true,
            idle_time: Some(share.idle_time),
            keeps_warm: share.keeps_warm,
            cold_until: directory_leaf.cold_until,
            cold_bound: cold_phase.and_then(|phase| ColdBound::new(phase, self.cold_allowance)),
            is_paced: cold_phase.is_some(),
            instance: Some(directory_leaf.leaf.instance.as_str().into()),
            group,
            group_name: directory_leaf.leaf.group.as_str().into(),
            is_evacuated: self.places.is_evacuated(&directory_leaf.leaf.zone),
        };
        host
    }
}

/// Returns the host list's form of a leaf, or nothing if its names are invalid. The name contains
/// the start time of the leaf's process, so that a leaf that restarts under the same instance name
/// is a new leaf and shares no state with the former one.
fn leaf_host(directory_leaf: &DirectoryLeaf) -> Option<LeafHost> {
    let leaf = &directory_leaf.leaf;
    let name = format!("{}.{}", leaf.instance, leaf.entry_version.born_ms);
    let name = LeafName::try_from(&*sanitized_name(&name));
    let zone = Zone::try_from(leaf.zone.as_str());
    match (name, zone) {
        (Ok(name), Ok(zone)) => Some(LeafHost {
            name,
            addr: leaf.addr,
            zone,
            slots: leaf.slots,
            connections: DEFAULT_LEAF_CONNECTIONS,
            state: leaf.state,
            detail: LeafDetail::default(),
        }),
        (name, zone) => {
            let cause = name.err().or(zone.err()).map(|e| e.to_string()).unwrap_or_default();
            log_event!(warn, Event::LeafEntryUnusable, leaf = leaf.instance.as_str(), cause);
            None
        }
    }
}
