//! Applies published changes and builds the view from them.
//!
//! Invariants: a configuration that was published before never replaces a later one (see
//! [`crate::configuration_order`]); a configuration or a leaf's entry that is unusable affects
//! nothing else.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64;

use crate::change_log::Change;
use crate::change_log::ChangeLog;
use crate::change_log::ChangeSet;
use crate::change_log::Subject;
use crate::cold_limit::ColdAllowance;
use crate::configuration_check;
use crate::configuration_order::ConfigurationMark;
use crate::configuration_order::ConfigurationOrder;
use crate::configuration_order::HOLD_TIME;
use crate::configuration_order::Verdict;
use crate::connection_share::HostCounts;
use crate::events::Event;
use crate::hosts::HostList;
use crate::hosts::LeafRegistry;
use crate::hosts::RawHostList;
use crate::ids::Era;
use crate::ids::HostName;
use crate::ids::IndexVersion;
use crate::ids::LeafKey;
use crate::ids::Position;
use crate::ids::Revision;
use crate::ids::sanitized_name;
use crate::leaf_directory::EXPIRY_GRACE;
use crate::leaf_directory::EntryEffect;
use crate::leaf_directory::LeafDirectory;
use crate::leaf_listing::LeafListing;
use crate::log_event;
use crate::opaque_catalogue::GroupRegistry;
use crate::opaque_catalogue::OpaqueCatalogue;
use crate::opaque_view::OpaqueView;
use crate::placement::Evacuations;
use crate::placement::Places;
use crate::placement::ZoneRegions;
use crate::platform_store::Decoder;
use crate::platform_store::RawConfiguration;

/// Origin of a change, which is logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangeSource {
    /// The change was read from the platform.
    Platform,
    /// The change was received from another host.
    Peer {
        /// Era in which the peer's latest configuration was certainly published.
        configuration_era: Era,
    },
    /// The change was received from a host of an earlier build, which does not know evacuations.
    EarlierPeer {
        /// Era in which the peer's latest configuration was certainly published.
        configuration_era: Era,
    },
}

impl ChangeSource {
    fn name(self) -> &'static str {
        match self {
            Self::Platform => "platform",
            Self::Peer { .. } | Self::EarlierPeer { .. } => "peer",
        }
    }
}

/// Origin of a set of changes.
#[derive(Clone, Copy, Debug)]
struct Origin {
    source: ChangeSource,
    era: Era,
    /// Whether the set is the first one of its era, so that it may be that of an older copy.
    starts_era: bool,
}

impl Origin {
    /// Returns the era in which a configuration of the set was certainly published, if one is known.
    fn configuration_era(self) -> Option<Era> {
        match self.source {
            ChangeSource::Peer { configuration_era }
            | ChangeSource::EarlierPeer { configuration_era } => Some(configuration_era),
            ChangeSource::Platform if self.starts_era => None,
            ChangeSource::Platform => Some(self.era),
        }
    }
}

/// A configuration that comes into force at a later time.
struct HeldConfiguration {
    raw: RawConfiguration,
    mark: ConfigurationMark,
    revision: Revision,
    until: Instant,
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
    configuration_order: ConfigurationOrder,
    held: Option<HeldConfiguration>,
    /// Era in which the latest known configuration was certainly published.
    configuration_era: Era,
    directory: LeafDirectory,
    groups: GroupRegistry,
    registry: LeafRegistry,
    evacuations: Evacuations,
    places: Arc<Places>,
    cold_allowance: ColdAllowance,
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
            configuration_order: ConfigurationOrder::default(),
            held: None,
            configuration_era: Era::default(),
            directory: LeafDirectory::default(),
            groups: GroupRegistry::default(),
            registry: LeafRegistry::default(),
            evacuations: Evacuations::default(),
            places: Arc::default(),
            cold_allowance: ColdAllowance::default(),
            catalogue: None,
            view: OpaqueView::empty(now),
        }
    }

    /// Sets the regions of the deployment's zones; without them, no home is known.
    pub fn with_zones(mut self, regions: ZoneRegions) -> Self {
        self.places = Arc::new(Places::new(regions));
        self
    }

    /// Sets by how much calls to a cold leaf may exceed what it tolerates.
    pub fn set_cold_allowance(&mut self, allowance: ColdAllowance) {
        self.cold_allowance = allowance;
    }

    /// Returns the position up to which all changes have been applied. Its revision is 0 before the
    /// first full snapshot, from the platform or from a peer, has been applied.
    pub fn position(&self) -> Position {
        self.change_log.position()
    }

    /// Returns whether evacuations may be missing, as other changes came from a host that does not
    /// know them.
    pub fn lacks_evacuations(&self) -> bool {
        self.change_log.lacks_evacuations()
    }

    /// Returns the changes after a position, for a host that has applied all up to it.
    pub fn since(&self, after: Position) -> ChangeSet {
        self.change_log.since(after)
    }

    /// Returns the era in which the latest known configuration was certainly published.
    pub fn configuration_era(&self) -> Era {
        self.configuration_era
    }

    /// Applies changes of `era` and returns whether the view must be rebuilt. `grace_until` is set
    /// during and shortly after an outage of the platform, when entries of live leafs may expire;
    /// until then, a live leaf stays usable although its entry was removed. The same holds for
    /// entries that the first snapshot of a later era lacks.
    pub fn apply(
        &mut self,
        era: Era,
        set: ChangeSet,
        source: ChangeSource,
        grace_until: Option<Instant>,
        now: Instant,
    ) -> bool {
        let before = self.position();
        if !self.change_log.accepts(era, &set) {
            let (era, known) = (era.0, before.era.0);
            log_event!(info, Event::StoreEraIgnored, era, known, source = source.name());
            return false;
        }
        let is_new_era = era > before.era;
        let starts_era = is_new_era || before.revision == Revision(0);
        let new_changes = match source {
            ChangeSource::EarlierPeer { .. } => self.apply_without_evacuations(era, set),
            ChangeSource::Platform | ChangeSource::Peer { .. } => self.change_log.apply(era, set),
        };
        let mut grace_until = grace_until;
        if is_new_era && before.revision != Revision(0) {
            grace_until = grace_until.max(Some(now + EXPIRY_GRACE));
            self.log_new_era(before, new_changes.len(), source);
        }
        let origin = Origin { source, era, starts_era };
        let mut changed = is_new_era;
        for change in new_changes {
            changed |= match &change.subject {
                Subject::Configuration => self.apply_configuration(&change, origin, now),
                Subject::Leaf(instance) => {
                    let instance = instance.clone();
                    self.apply_leaf_change(&instance, &change, origin, grace_until, now)
                }
                Subject::Evacuation(zone) => {
                    let end = is_new_era.then(|| now + HOLD_TIME);
                    self.apply_evacuation(zone, &change, source, end)
                }
            };
        }
        changed
    }

    fn apply_without_evacuations(&mut self, era: Era, set: ChangeSet) -> Vec<Change> {
        let knew = !self.lacks_evacuations();
        let new_changes = self.change_log.apply_without_evacuations(era, set);
        if knew && self.lacks_evacuations() {
            let revision = self.position().revision.0;
            log_event!(info, Event::EvacuationsMissing, era = era.0, revision);
        }
        new_changes
    }

    /// Applies that the evacuation of a zone was published or withdrawn. One that the first snapshot
    /// of an era lacks holds until `end`.
    fn apply_evacuation(
        &mut self,
        zone: &str,
        change: &Change,
        source: ChangeSource,
        end: Option<Instant>,
    ) -> bool {
        let (revision, source) = (change.revision.0, source.name());
        if change.value.is_none() {
            let has_ended = self.evacuations.end(zone, end);
            if has_ended {
                log_event!(info, Event::EvacuationEnded, zone, revision, source);
            }
            return has_ended;
        }
        let is_new = self.evacuations.start(zone);
        if is_new {
            let name = sanitized_name(zone);
            log_event!(warn, Event::ZoneEvacuated, zone, revision, source);
            if !self.places.has_zone(&name) {
                log_event!(warn, Event::EvacuatedZoneUnknown, zone, revision);
            }
        }
        is_new
    }

    fn log_new_era(&self, before: Position, changes: usize, source: ChangeSource) {
        let after = self.position();
        log_event!(
            warn,
            Event::StoreEraChanged,
            era = after.era.0,
            revision = after.revision.0,
            era_before = before.era.0,
            revision_before = before.revision.0,
            changes,
            source = source.name()
        );
    }

    fn apply_configuration(&mut self, change: &Change, origin: Origin, now: Instant) -> bool {
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
        let published_in = origin.configuration_era();
        self.configuration_era = published_in.unwrap_or_default();
        let mark = ConfigurationMark { version, digest: xxh3_64(value), published_in };
        let revision = change.revision;
        match self.configuration_order.judge(mark) {
            Verdict::Apply => {
                self.held = None;
                self.put_in_force(raw, revision, origin.source.name());
                true
            }
            Verdict::Hold => {
                log_event!(
                    info,
                    Event::ConfigurationHeld,
                    version = version.0,
                    revision = revision.0
                );
                let until = now + HOLD_TIME;
                self.held = Some(HeldConfiguration { raw, mark, revision, until });
                false
            }
            Verdict::Confirm => {
                self.held = None;
                false
            }
            Verdict::Stale => {
                let (version, revision) = (version.0, revision.0);
                log_event!(warn, Event::ConfigurationStale, version, revision);
                false
            }
        }
    }

    fn put_in_force(
        &mut self,
        raw: RawConfiguration,
        revision: Revision,
        source_name: &'static str,
    ) {
        let version = raw.version;
        let catalogue = configuration_check::check(raw, &mut self.groups, &self.places);
        log_event!(
            info,
            Event::ConfigurationApplied,
            version,
            revision = revision.0,
            entries = catalogue.len(),
            source = source_name
        );
        self.catalogue = Some(Arc::new(catalogue));
    }

    /// Puts a held configuration in force if its time has come. Returns whether it did.
    fn apply_held(&mut self, now: Instant) -> bool {
        match self.held.take_if(|held| held.until <= now) {
            Some(HeldConfiguration { raw, mark, revision, .. }) => {
                self.configuration_order.apply_held(mark);
                self.put_in_force(raw, revision, "held");
                true
            }
            None => false,
        }
    }

    fn apply_leaf_change(
        &mut self,
        instance: &str,
        change: &Change,
        origin: Origin,
        grace_until: Option<Instant>,
        now: Instant,
    ) -> bool {
        let source = origin.source;
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
        let effect = if origin.starts_era {
            self.directory.apply_copied_entry(leaf, change.revision, now)
        } else {
            self.directory.apply_entry(leaf, change.revision, now)
        };
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

    /// Removes leafs whose entries expired and were not published again within the grace period, and
    /// applies a configuration that was held back until now. Returns whether the view must be
    /// rebuilt.
    pub fn apply_due(&mut self, now: Instant) -> bool {
        let is_applied = self.apply_held(now);
        let ended = self.evacuations.end_due(now);
        for zone in &ended {
            log_event!(info, Event::EvacuationEnded, zone = zone.as_str());
        }
        self.remove_expired(now) || is_applied || !ended.is_empty()
    }

    fn remove_expired(&mut self, now: Instant) -> bool {
        let expired = self.directory.remove_expired(now);
        for leaf in &expired {
            log_event!(info, Event::LeafExpired, leaf = leaf.as_str());
        }
        !expired.is_empty()
    }

    /// Builds the view of the current state. Returns the previous view if the leafs do not make a
    /// valid host list.
    pub fn build_view(&mut self, hosts: &dyn HostCounter, now: Instant) -> OpaqueView {
        self.places = Arc::new(self.places.with_evacuated(self.evacuations.zones()));
        let listing = LeafListing {
            own: &self.own,
            directory: &self.directory,
            catalogue: self.catalogue.as_deref(),
            places: &self.places,
            cold_allowance: self.cold_allowance,
        };
        let leafs = listing.leafs(&mut self.groups, |zone| hosts.count(zone));
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
            places: self.places.clone(),
            position: self.position(),
            made_at: now,
        };
        self.view.clone()
    }
}

/// Interval between two checks for expired leafs whose grace period is over.
pub const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(200);
