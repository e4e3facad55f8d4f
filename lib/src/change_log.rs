//! Compacted log of the platform's changes, by key and revision, which hosts exchange.
//!
//! All changes are ordered by one sequence of revisions. A host that has applied all changes up to
//! a revision is brought up to date by the changes after it. Invariant: a change of a lower
//! revision never replaces one of a higher revision of the same key.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::Revision;

/// Maximum number of removals that are kept; older ones are dropped. A host that has not applied
/// these gets a full snapshot.
const MAX_REMOVED_KEYS: usize = 2_048;

/// Subject of a change: the published key, decoded.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Subject {
    /// The change concerns the operator's configuration, which the platform publishes under a
    /// single key.
    Configuration,
    /// The leaf with this instance name.
    Leaf(String),
}

/// Change of one key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Subject of the change.
    pub subject: Subject,
    /// Revision at which the change was made.
    pub revision: Revision,
    /// Value as published; absent if the subject was removed.
    pub value: Option<Bytes>,
}

/// Set of changes that brings a host up to date.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeSet {
    /// Revision up to which a host has all changes after it has applied the set.
    pub position: Revision,
    /// Whether the set is a full snapshot, so that subjects that it does not contain do not exist.
    pub whole: bool,
    /// Changes in no particular order.
    pub changes: Vec<Change>,
}

#[derive(Clone, Debug)]
struct LatestChange {
    revision: Revision,
    value: Option<Bytes>,
}

/// Latest change of each subject.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    latest: BTreeMap<Subject, LatestChange>,
    position: Revision,
    /// Highest revision of the removals that were dropped.
    dropped_up_to: Revision,
}

impl ChangeLog {
    /// Returns the revision up to which all changes have been applied; 0 before the first snapshot.
    pub fn position(&self) -> Revision {
        self.position
    }

    /// Applies changes and returns those that are newer than the recorded ones, including the
    /// removals of subjects that a full snapshot does not contain.
    pub fn apply(&mut self, set: ChangeSet) -> Vec<Change> {
        let mut new_changes = Vec::new();
        if set.whole {
            new_changes = self.removals_implied_by(&set);
        }
        new_changes.extend(set.changes);
        new_changes.retain(|change| self.record(change));
        self.position = self.position.max(set.position);
        self.drop_old_removals();
        new_changes
    }

    fn removals_implied_by(&self, set: &ChangeSet) -> Vec<Change> {
        let is_removed = |subject: &Subject, latest: &LatestChange| {
            latest.value.is_some()
                && latest.revision <= set.position
                && set.changes.iter().all(|change| change.subject != *subject)
        };
        let removed_keys =
            self.latest.iter().filter(|(subject, latest)| is_removed(subject, latest));
        let removal = |subject: &Subject| Change {
            subject: subject.clone(),
            revision: set.position,
            value: None,
        };
        removed_keys.map(|(subject, _)| removal(subject)).collect()
    }

    fn record(&mut self, change: &Change) -> bool {
        let previous = self.latest.get(&change.subject);
        if previous.is_some_and(|latest| latest.revision >= change.revision) {
            return false;
        }
        let latest = LatestChange { revision: change.revision, value: change.value.clone() };
        self.latest.insert(change.subject.clone(), latest);
        true
    }

    fn drop_old_removals(&mut self) {
        let removed = self.latest.iter().filter(|(_, latest)| latest.value.is_none());
        let mut removed: Vec<_> = removed.map(|(s, latest)| (latest.revision, s.clone())).collect();
        if removed.len() <= MAX_REMOVED_KEYS {
            return;
        }
        removed.sort();
        for (revision, subject) in removed.drain(..MAX_REMOVED_KEYS / 2) {
            self.latest.remove(&subject);
            self.dropped_up_to = self.dropped_up_to.max(revision);
        }
    }

    /// Returns the changes after a revision, or a full snapshot if the revision is 0 or removals
    /// after it have been dropped.
    pub fn since(&self, revision: Revision) -> ChangeSet {
        let whole = revision < self.dropped_up_to || revision == Revision(0);
        let is_included = |latest: &LatestChange| {
            if whole { latest.value.is_some() } else { latest.revision > revision }
        };
        let change = |subject: &Subject, latest: &LatestChange| Change {
            subject: subject.clone(),
            revision: latest.revision,
            value: latest.value.clone(),
        };
        let included = self.latest.iter().filter(|(_, latest)| is_included(latest));
        let changes = included.map(|(subject, latest)| change(subject, latest)).collect();
        ChangeSet { position: self.position, whole, changes }
    }
}
