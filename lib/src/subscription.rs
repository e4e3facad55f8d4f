//! Applies published changes and builds the view from them.
//!
//! Invariants: the version of the configuration never decreases within a process; a configuration
//! or a leaf's entry that is unusable affects nothing else.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::change_log::Change;
use crate::change_log::ChangeLog;
use crate::change_log::ChangeSet;
use crate::change_log::Subject;
use crate::connection_share::FarRank;
use crate::connection_share::HostCounts;
use crate::connection_share::preference;
use crate::connection_share::share;
use crate::events::Event;
use crate::hosts::HostList;
use crate::hosts::LeafDetail;
use crate::hosts::LeafHost;
use crate::hosts::LeafRegistry;
use crate::hosts::RawHostList;
use crate::ids::GroupKey;
use crate::ids::HostName;
use crate::ids::IndexVersion;
use crate::ids::LeafKey;
use crate::ids::LeafName;
use crate::ids::Revision;
use crate::ids::Zone;
use crate::ids::sanitized_name;
use crate::leaf_directory::DirectoryLeaf;
use crate::leaf_directory::EntryEffect;
use crate::leaf_directory::LeafDirectory;
use crate::log_event;
use crate::opaque_catalogue::GroupLimits;
use crate::opaque_catalogue::GroupRegistry;
use crate::opaque_catalogue::OpaqueCatalogue;
use crate::opaque_catalogue::OpaqueEntry;
use crate::opaque_view::OpaqueView;
use crate::platform_store::Decoder;
use crate::platform_store::RawConfiguration;

/// Number of connections that a leaf is assumed to accept if its group is not configured.
const DEFAULT_LEAF_CONNECTIONS: u32 = 16;

/// Origin of a change, which is logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangeSource {
    /// The change was read from the platform.
    Platform,
    /// The change was received from another host.
    Peer,
}

impl ChangeSource {
    fn name(self) -> &'static str {
        match self {
            Self::Platform => "platform",
            Self::Peer => "peer",
        }
    }
}

/// Counts hosts by their distance to a zone, for the division of the connections to its leafs.
pub trait HostCounter {
    /// Returns the numbers of hosts near to and far from a zone.
    fn count(&self, zone: &str) -> HostCounts;
}

/// Published configuration and leafs, and the view built from them.
pub struct Subscription {
    decoder: Box<dyn Decoder>,
    own: HostName,
    change_log: ChangeLog,
    directory: LeafDirectory,
    groups: GroupRegistry,
    registry: LeafRegistry,
    catalogue: Option<Arc<OpaqueCatalogue>>,
    view: OpaqueView,
}

impl Subscription {
    /// Creates a subscription of the host `own` without any published changes.
    pub fn new(decoder: Box<dyn Decoder>, own: HostName, now: Instant) -> Self {
        Self {
            decoder,
            own,
            change_log: ChangeLog::default(),
            directory: LeafDirectory::default(),
            groups: GroupRegistry::default(),
            registry: LeafRegistry::default(),
            catalogue: None,
            view: OpaqueView::empty(now),
        }
    }

    /// Returns the revision up to which all changes have been applied. It is 0 before the
    /// first full snapshot, from the platform or from a peer, has been applied.
    pub fn position(&self) -> Revision {
        self.change_log.position()
    }

    /// Returns the changes after `revision`, for a host that has applied all up to it.
    pub fn since(&self, revision: Revision) -> ChangeSet {
        self.change_log.since(revision)
    }

    /// Applies changes and returns whether the view must be rebuilt. `grace_until` is set during
    /// and shortly after an outage of the platform, when entries of live leafs may expire; until
    /// then, a live leaf stays usable although its entry was removed.
    pub fn apply(
        &mut self,
        set: ChangeSet,
        source: ChangeSource,
        grace_until: Option<Instant>,
        now: Instant,
    ) -> bool {
        let new_changes = self.change_log.apply(set);
        let mut changed = false;
        for change in new_changes {
            changed |= match &change.subject {
                Subject::Configuration => self.apply_configuration(&change, source),
                Subject::Leaf(instance) => {
                    let instance = instance.clone();
                    self.apply_leaf_change(&instance, &change, source, grace_until, now)
                }
            };
        }
        changed
    }

    fn apply_configuration(&mut self, change: &Change, source: ChangeSource) -> bool {
        // Requests need a configuration, so the last one stays in force when its key is removed.
        let Some(value) = &change.value else { return false };
        let raw = match self.decoder.configuration(value) {
            Ok(raw) => raw,
            Err(e) => {
                log_event!(
                    warn,
                    Event::ConfigurationUnusable,
                    revision = change.revision.0,
                    cause = %e
                );
                return false;
            }
        };
        let version = IndexVersion(raw.version);
        let current = self.catalogue.as_ref().map(|catalogue| catalogue.version);
        if current.is_some_and(|current| version <= current) {
            log_event!(
                warn,
                Event::ConfigurationStale,
                version = version.0,
                revision = change.revision.0
            );
            return false;
        }
        let catalogue = self.validate_configuration(raw);
        log_event!(
            info,
            Event::ConfigurationApplied,
            version = version.0,
            revision = change.revision.0,
            entries = catalogue.len(),
            source = source.name()
        );
        self.catalogue = Some(Arc::new(catalogue));
        true
    }

    fn validate_configuration(&mut self, raw: RawConfiguration) -> OpaqueCatalogue {
        let log_refusal = |cause: &dyn std::fmt::Display| {
            log_event!(warn, Event::EntryUnusable, version = raw.version, cause = %cause);
        };
        raw.unreadable.iter().for_each(|e| log_refusal(e));
        let mut entries = Vec::with_capacity(raw.entries.len());
        for entry in raw.entries {
            match OpaqueEntry::new(entry, &mut self.groups) {
                Ok(entry) => entries.push(entry),
                Err(e) => log_refusal(&e),
            }
        }
        let limits: Vec<_> = raw
            .groups
            .iter()
            .map(|g| GroupLimits { group: self.groups.key(&g.name), connections: g.connections })
            .collect();
        OpaqueCatalogue::new(IndexVersion(raw.version), raw.caller_limits, entries, &limits)
    }

    fn apply_leaf_change(
        &mut self,
        instance: &str,
        change: &Change,
        source: ChangeSource,
        grace_until: Option<Instant>,
        now: Instant,
    ) -> bool {
        let Some(value) = &change.value else {
            let known = self.directory.remove_entry(instance, grace_until, now);
            log_event!(
                info,
                Event::LeafRemoved,
                leaf = instance,
                revision = change.revision.0,
                bridged = grace_until.is_some(),
                known,
                source = source.name()
            );
            return known;
        };
        let leaf = match self.decoder.leaf(instance, value) {
            Ok(leaf) => leaf,
            Err(e) => {
                log_event!(
                    warn,
                    Event::LeafEntryUnusable,
                    leaf = instance,
                    revision = change.revision.0,
                    cause = %e
                );
                return false;
            }
        };
        let state = format!("{:?}", leaf.state);
        let entry_version = leaf.entry_version;
        let effect = self.directory.apply_entry(leaf, change.revision, now);
        log_event!(
            info,
            Event::LeafUpdated,
            leaf = instance,
            state,
            born_ms = entry_version.born_ms,
            sequence = entry_version.sequence,
            revision = change.revision.0,
            taken = effect == EntryEffect::Applied,
            source = source.name()
        );
        effect == EntryEffect::Applied
    }

    /// Removes leafs whose entries expired and were not published again within the grace period.
    /// Returns whether the view must be rebuilt.
    pub fn remove_expired(&mut self, now: Instant) -> bool {
        let expired = self.directory.remove_expired(now);
        for leaf in &expired {
            log_event!(info, Event::LeafExpired, leaf = leaf.as_str());
        }
        !expired.is_empty()
    }

    /// Builds the view of the current state. Returns the previous view if the leafs do not make a
    /// valid host list.
    pub fn build_view(&mut self, hosts: &dyn HostCounter, now: Instant) -> OpaqueView {
        let leafs = self.list_leafs(hosts);
        let members: Vec<_> = leafs.iter().map(|h| (h.detail.group, h.name.clone())).collect();
        let list = RawHostList { leafs, ..RawHostList::default() };
        let list = match HostList::new(list, &self.registry) {
            Ok(list) => Arc::new(list),
            Err(e) => {
                log_event!(warn, Event::LeafEntryUnusable, cause = %e);
                return self.view.clone();
            }
        };
        let mut groups: Vec<Vec<LeafKey>> = Vec::new();
        for (group, name) in members {
            let index = group.0 as usize;
            if groups.len() <= index {
                groups.resize(index + 1, Vec::new());
            }
            groups[index].extend(list.leaf_key(&name));
        }
        let leafs = Arc::new(self.view.leafs.with_hosts(&self.view.hosts, &list, &self.own, now));
        self.view = OpaqueView {
            catalogue: self.catalogue.clone(),
            hosts: list,
            leafs,
            groups: Arc::new(groups),
            position: self.position(),
            made_at: now,
        };
        self.view.clone()
    }

    /// Returns the leafs with this host's share of their connections, which depends on the other
    /// leafs of the same group.
    fn list_leafs(&mut self, hosts: &dyn HostCounter) -> Vec<LeafHost> {
        let mut listed = Vec::new();
        let mut far_leafs: HashMap<GroupKey, Vec<f64>> = HashMap::new();
        for directory_leaf in self.directory.leafs() {
            let group = self.groups.key(&directory_leaf.leaf.group);
            let Some(host) = leaf_host(directory_leaf) else { continue };
            let counts = hosts.count(&directory_leaf.leaf.zone);
            let preference = preference(&self.own, &host.name);
            if !counts.is_near {
                far_leafs.entry(group).or_default().push(preference);
            }
            listed.push(ListedLeaf { directory_leaf, host, group, counts, preference });
        }
        let complete =
            |ListedLeaf { directory_leaf, mut host, group, counts, preference }: ListedLeaf<'_>| {
                let limit = self.catalogue.as_ref().and_then(|c| c.connections(group));
                let limit = limit.unwrap_or(DEFAULT_LEAF_CONNECTIONS);
                let far = far_leafs.get(&group).map_or(&[][..], Vec::as_slice);
                let place = far.iter().filter(|&&other| other < preference).count();
                let far_rank = FarRank { place, count: far.len() };
                let share = share(limit, counts, far_rank, &self.own, &host.name);
                host.connections = limit;
                host.detail = LeafDetail {
                    own_connections: Some(share.connections),
                    idle_time: Some(share.idle_time),
                    keeps_warm: share.keeps_warm,
                    cold_until: directory_leaf.cold_until,
                    instance: Some(directory_leaf.leaf.instance.as_str().into()),
                    group,
                };
                host
            };
        listed.into_iter().map(complete).collect()
    }
}

/// Leaf of the directory, with the values from which its share of connections is computed.
struct ListedLeaf<'a> {
    directory_leaf: &'a DirectoryLeaf,
    host: LeafHost,
    group: GroupKey,
    counts: HostCounts,
    preference: f64,
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

/// Interval between two checks for expired leafs whose grace period is over.
pub const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(200);
