//! Everything that decides where opaque requests go, at one time. Immutable.

use std::sync::Arc;
use std::sync::RwLock;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;

use crate::hosts::HostList;
use crate::ids::GroupKey;
use crate::ids::LeafKey;
use crate::ids::Revision;
use crate::leaf::LeafTable;
use crate::opaque_catalogue::OpaqueCatalogue;

/// What is in force at one time.
#[derive(Clone, Debug)]
pub struct OpaqueView {
    /// The configuration; nothing before the first one was read.
    pub catalogue: Option<Arc<OpaqueCatalogue>>,
    /// The leafs as published.
    pub hosts: Arc<HostList>,
    /// The leafs as this process knows them.
    pub leafs: Arc<LeafTable>,
    /// The leafs of each group.
    pub groups: Arc<Vec<Vec<LeafKey>>>,
    /// Everything that was published up to this revision is in it.
    pub position: Revision,
    /// When it was made.
    pub made_at: Instant,
}

impl OpaqueView {
    /// Makes a view in which nothing is known.
    pub fn empty(now: Instant) -> Self {
        Self {
            catalogue: None,
            hosts: Arc::default(),
            leafs: Arc::default(),
            groups: Arc::default(),
            position: Revision(0),
            made_at: now,
        }
    }

    /// Returns the leafs of a group.
    pub fn group(&self, group: GroupKey) -> &[LeafKey] {
        self.groups.get(group.0 as usize).map_or(&[], Vec::as_slice)
    }
}

/// Where the view in force is found.
#[derive(Debug)]
pub struct ViewCell {
    view: RwLock<Arc<OpaqueView>>,
    changed: Notify,
    started_at: Instant,
}

impl ViewCell {
    /// Makes a cell in which nothing is known.
    pub fn new(now: Instant) -> Self {
        let view = RwLock::new(Arc::new(OpaqueView::empty(now)));
        Self { view, changed: Notify::new(), started_at: now }
    }

    /// Returns the view in force.
    pub fn get(&self) -> Arc<OpaqueView> {
        self.view.read().unwrap().clone()
    }

    /// Returns how long the process has run.
    pub fn uptime(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }

    /// Returns the view in force, or the first one that has a configuration if it comes within
    /// `limit`.
    pub async fn wait_for_catalogue(&self, limit: Duration) -> Arc<OpaqueView> {
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
            // Without a configuration in time, the request is refused.
            let _ = tokio::time::timeout(limit, wait).await;
        }
        self.get()
    }

    /// Puts a view in force.
    pub fn set(&self, view: OpaqueView) {
        *self.view.write().unwrap() = Arc::new(view);
        self.changed.notify_waiters();
    }
}
