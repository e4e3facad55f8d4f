//! Turns published changes into the view in force.
//!
//! Invariants: the version of the configuration never goes back within a process; a configuration
//! or a leaf's entry that cannot be used changes nothing else.

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
use crate::leaf_directory::FedLeaf;
use crate::leaf_directory::Heard;
use crate::leaf_directory::LeafFeed;
use crate::log_event;
use crate::opaque_catalogue::GroupLimits;
use crate::opaque_catalogue::GroupRegistry;
use crate::opaque_catalogue::OpaqueCatalogue;
use crate::opaque_catalogue::OpaqueEntry;
use crate::opaque_view::OpaqueView;
use crate::platform_store::Decoder;
use crate::platform_store::RawConfiguration;

/// Connections that a leaf is expected to accept where its group is not configured.
const UNKNOWN_CONNECTIONS: u32 = 16;

/// Where a change came from, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// Read from the platform.
    Platform,
    /// Told by another host.
    Peer,
}

impl Source {
    fn name(self) -> &'static str {
        match self {
            Self::Platform => "platform",
            Self::Peer => "peer",
        }
    }
}

/// How hosts are spread, as seen from each zone's leafs.
pub trait HostCounter {
    /// Counts the hosts near to and far from a zone.
    fn count(&self, zone: &str) -> HostCounts;
}

/// What was published, and the view made of it.
pub struct Subscription {
    decoder: Box<dyn Decoder>,
    own: HostName,
    published: ChangeLog,
    feed: LeafFeed,
    groups: GroupRegistry,
    registry: LeafRegistry,
    catalogue: Option<Arc<OpaqueCatalogue>>,
    view: OpaqueView,
}

impl Subscription {
    /// Starts with nothing known.
    pub fn new(decoder: Box<dyn Decoder>, own: HostName, now: Instant) -> Self {
        Self {
            decoder,
            own,
            published: ChangeLog::default(),
            feed: LeafFeed::default(),
            groups: GroupRegistry::default(),
            registry: LeafRegistry::default(),
            catalogue: None,
            view: OpaqueView::empty(now),
        }
    }

    /// Returns the revision up to which everything is known.
    pub fn position(&self) -> Revision {
        self.published.position()
    }

    /// Returns the changes that bring another host up to date.
    pub fn since(&self, revision: Revision) -> ChangeSet {
        self.published.since(revision)
    }

    /// Takes in changes. Returns whether the view is to be made anew. With `bridged_until`, the
    /// platform was away just before.
    pub fn take(
        &mut self,
        set: ChangeSet,
        source: Source,
        bridged_until: Option<Instant>,
        now: Instant,
    ) -> bool {
        let news = self.published.apply(set);
        let mut changed = false;
        for change in news {
            changed |= match &change.subject {
                Subject::Configuration => self.take_configuration(&change, source),
                Subject::Leaf(instance) => {
                    let instance = instance.clone();
                    self.take_leaf(&instance, &change, source, bridged_until, now)
                }
            };
        }
        changed
    }

    fn take_configuration(&mut self, change: &Change, source: Source) -> bool {
        // A configuration that was removed says nothing; the last one stays.
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
        let present = self.catalogue.as_ref().map(|catalogue| catalogue.version);
        if present.is_some_and(|present| version <= present) {
            log_event!(
                warn,
                Event::ConfigurationStale,
                version = version.0,
                revision = change.revision.0
            );
            return false;
        }
        let catalogue = self.check_configuration(raw);
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

    fn check_configuration(&mut self, raw: RawConfiguration) -> OpaqueCatalogue {
        let refused = |cause: &dyn std::fmt::Display| {
            log_event!(warn, Event::EntryUnusable, version = raw.version, cause = %cause);
        };
        raw.unreadable.iter().for_each(|e| refused(e));
        let mut entries = Vec::with_capacity(raw.entries.len());
        for entry in raw.entries {
            match OpaqueEntry::new(entry, &mut self.groups) {
                Ok(entry) => entries.push(entry),
                Err(e) => refused(&e),
            }
        }
        let limits: Vec<_> = raw
            .groups
            .iter()
            .map(|g| GroupLimits { group: self.groups.key(&g.name), connections: g.connections })
            .collect();
        OpaqueCatalogue::new(IndexVersion(raw.version), raw.caller_limits, entries, &limits)
    }

    fn take_leaf(
        &mut self,
        instance: &str,
        change: &Change,
        source: Source,
        bridged_until: Option<Instant>,
        now: Instant,
    ) -> bool {
        let Some(value) = &change.value else {
            let known = self.feed.removed(instance, bridged_until, now);
            log_event!(
                info,
                Event::LeafRemoved,
                leaf = instance,
                revision = change.revision.0,
                bridged = bridged_until.is_some(),
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
        let heard = self.feed.heard(leaf, change.revision, now);
        log_event!(
            info,
            Event::LeafUpdated,
            leaf = instance,
            state,
            born_ms = entry_version.born_ms,
            sequence = entry_version.sequence,
            revision = change.revision.0,
            taken = heard == Heard::Taken,
            source = source.name()
        );
        heard == Heard::Taken
    }

    /// Drops leafs that lapsed and did not come back. Returns whether the view is to be made anew.
    pub fn expire(&mut self, now: Instant) -> bool {
        let gone = self.feed.expire(now);
        for leaf in &gone {
            log_event!(info, Event::LeafExpired, leaf = leaf.as_str());
        }
        !gone.is_empty()
    }

    /// Makes the view of what is known now.
    pub fn make_view(&mut self, hosts: &dyn HostCounter, now: Instant) -> OpaqueView {
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
            let place = group.0 as usize;
            if groups.len() <= place {
                groups.resize(place + 1, Vec::new());
            }
            groups[place].extend(list.leaf_key(&name));
        }
        let leafs = Arc::new(self.view.leafs.with_hosts(&self.view.hosts, &list, &self.own));
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

    /// Lists the leafs with this host's share of their connections, which depends on the other leafs of
    /// the same group.
    fn list_leafs(&mut self, hosts: &dyn HostCounter) -> Vec<LeafHost> {
        let mut listed = Vec::new();
        let mut far_leafs: HashMap<GroupKey, Vec<f64>> = HashMap::new();
        for fed in self.feed.leafs() {
            let group = self.groups.key(&fed.leaf.group);
            let Some(host) = leaf_host(fed) else { continue };
            let counts = hosts.count(&fed.leaf.zone);
            let preference = preference(&self.own, &host.name);
            if !counts.is_near {
                far_leafs.entry(group).or_default().push(preference);
            }
            listed.push(ListedLeaf { fed, host, group, counts, preference });
        }
        let complete = |ListedLeaf { fed, mut host, group, counts, preference }: ListedLeaf<'_>| {
            let limit = self.catalogue.as_ref().and_then(|c| c.connections(group));
            let limit = limit.unwrap_or(UNKNOWN_CONNECTIONS);
            let far = far_leafs.get(&group).map_or(&[][..], Vec::as_slice);
            let place = far.iter().filter(|&&other| other < preference).count();
            let far_place = FarRank { place, count: far.len() };
            let share = share(limit, counts, far_place, &self.own, &host.name);
            host.connections = limit;
            host.detail = LeafDetail {
                own_connections: Some(share.connections),
                idle_time: Some(share.idle_time),
                keeps_warm: share.keeps_warm,
                cold_until: fed.cold_until,
                instance: Some(fed.leaf.instance.as_str().into()),
                group,
            };
            host
        };
        listed.into_iter().map(complete).collect()
    }
}

/// A leaf while the view is made.
struct ListedLeaf<'a> {
    fed: &'a FedLeaf,
    host: LeafHost,
    group: GroupKey,
    counts: HostCounts,
    preference: f64,
}

/// Names a start of a leaf. A leaf that starts again under its former name shares nothing with its
/// former self.
fn leaf_host(fed: &FedLeaf) -> Option<LeafHost> {
    let leaf = &fed.leaf;
    let name = format!("{}.{}", leaf.instance, leaf.entry_version.born_ms);
    let name = LeafName::try_from(&*sanitized_name(&name));
    let zone = Zone::try_from(leaf.zone.as_str());
    match (name, zone) {
        (Ok(name), Ok(zone)) => Some(LeafHost {
            name,
            addr: leaf.addr,
            zone,
            slots: leaf.slots,
            connections: UNKNOWN_CONNECTIONS,
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

/// Time between two looks at leafs that lapsed.
pub const EXPIRY_CHECK: Duration = Duration::from_millis(200);
