//! Immutable view of the configuration and the leafs, which determines where opaque requests go.

use std::borrow::Cow;
use std::sync::Arc;
use std::sync::RwLock;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;

use crate::hosts::HostList;
use crate::ids::GroupKey;
use crate::ids::LeafKey;
use crate::ids::Position;
use crate::leaf_table::LeafTable;
use crate::opaque_catalogue::OpaqueCatalogue;
use crate::placement::Homes;
use crate::placement::Places;

/// View of the configuration and the leafs at one time.
#[derive(Clone, Debug)]
pub struct OpaqueView {
    /// Configuration in force, or `None` before the first one is read.
    pub catalogue: Option<Arc<OpaqueCatalogue>>,
    /// Leafs as published.
    pub hosts: Arc<HostList>,
    /// State that this process keeps for each leaf.
    pub leafs: Arc<LeafTable>,
    /// Leafs of each group; the index is the group's [`GroupKey`].
    pub groups: Arc<Vec<Vec<LeafKey>>>,
    /// Zones, their regions, and which of them are evacuated.
    pub places: Arc<Places>,
    /// Position up to which all published changes are included.
    pub position: Position,
    /// Time at which the view was made.
    pub made_at: Instant,
}

impl OpaqueView {
    /// Creates a view without a configuration and leafs.
    pub fn empty(now: Instant) -> Self {
        Self {
            catalogue: None,
            hosts: Arc::default(),
            leafs: Arc::default(),
            groups: Arc::default(),
            places: Arc::default(),
            position: Position::default(),
            made_at: now,
        }
    }

    /// Returns the leafs of a group; none if the view has no such group.
    pub fn group(&self, group: GroupKey) -> &[LeafKey] {
        self.groups.get(group.0 as usize).map_or(&[], Vec::as_slice)
    }

    /// Returns the leafs of a group that lie in the homes of an entry.
    pub fn home_leafs(&self, group: GroupKey, homes: &Homes) -> Cow<'_, [LeafKey]> {
        let leafs = self.group(group);
        if homes.is_anywhere() {
            return Cow::Borrowed(leafs);
        }
        let is_home = |key: &&LeafKey| {
            let leaf = self.hosts.leaf(**key);
            leaf.is_some_and(|leaf| self.places.is_home(homes, leaf.zone.as_str()))
        };
        Cow::Owned(leafs.iter().filter(is_home).copied().collect())
    }

    /// Returns whether a group has leafs, but none where requests with these homes may be served.
    pub fn lacks_place(&self, group: GroupKey, homes: &Homes) -> bool {
        let leafs = self.group(group).iter().filter_map(|key| self.hosts.leaf(*key));
        let mut zones = leafs.map(|leaf| leaf.zone.as_str()).peekable();
        zones.peek().is_some() && !zones.any(|zone| self.places.may_serve(homes, zone))
    }
}

/// Holds the view in force and lets tasks wait for the first configuration.
#[derive(Debug)]
pub struct ViewCell {
    view: RwLock<Arc<OpaqueView>>,
    changed: Notify,
    started_at: Instant,
}

impl ViewCell {
    /// Creates a cell without a configuration and leafs. `now` counts as the start of the process.
    pub fn new(now: Instant) -> Self {
        let view = RwLock::new(Arc::new(OpaqueView::empty(now)));
        Self { view, changed: Notify::new(), started_at: now }
    }

    /// Returns the view in force.
    pub fn get(&self) -> Arc<OpaqueView> {
        self.view.read().unwrap().clone()
    }

    /// Returns the time since the start of the process.
    pub fn uptime(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }

    /// Returns the view in force. While it has no configuration, waits up to `max_wait` for the
    /// first view that has one.
    pub async fn wait_for_catalogue(&self, max_wait: Duration) -> Arc<OpaqueView> {
        let wait = async {
            loop {
                let changed = self.changed.notified();
                if self.get().catalogue.is_some() {
                    return;
                }
                changed.await;
            }
        };
        if self.get().catalogue.is_none() {
            // On a timeout, the view without a configuration is returned, and the caller refuses
            // the request.
            let _ = tokio::time::timeout(max_wait, wait).await;
        }
        self.get()
    }

    /// Replaces the view in force and notifies the tasks that wait for a configuration.
    pub fn set(&self, view: OpaqueView) {
        *self.view.write().unwrap() = Arc::new(view);
        self.changed.notify_waiters();
    }
}
