//! Compacted log of the platform's changes, by key and revision, which hosts exchange.
//!
//! All changes of an era of the platform are ordered by one sequence of revisions. A host that has
//! applied all changes up to a revision is brought up to date by the changes after it. A later era
//! starts with a full snapshot. Invariants: a change of a lower revision never replaces one of a
//! higher revision of the same key and era; changes of an earlier era change nothing.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::Era;
use crate::ids::Position;
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
    /// The evacuation of the availability zone with this name. Only hosts that ask for evacuations
    /// know this kind.
    Evacuation(String),
}

impl Subject {
    /// Returns whether the change concerns the evacuation of a zone.
    pub fn is_evacuation(&self) -> bool {
        matches!(self, Self::Evacuation(_))
    }
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

impl ChangeSet {
    /// Returns the set as a host gets it that does not know evacuations.
    pub fn without_evacuations(mut self) -> Self {
        self.changes.retain(|change| !change.subject.is_evacuation());
        self
    }

    fn subjects(&self) -> BTreeSet<&Subject> {
        self.changes.iter().map(|change| &change.subject).collect()
    }
}

#[derive(Clone, Debug)]
struct LatestChange {
    revision: Revision,
    value: Option<Bytes>,
}

/// Latest change of each subject in the latest era.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    latest: BTreeMap<Subject, LatestChange>,
    position: Position,
    /// Highest revision of the removals that were dropped.
    dropped_up_to: Revision,
    /// Whether changes of evacuations up to `position` may be missing, as a host that does not know
    /// them has sent the others.
    lacks_evacuations: bool,
}

impl ChangeLog {
    /// Returns the position up to which all changes have been applied; revision 0 before the first
    /// snapshot.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns whether changes of `era` can be applied: they are of the latest era, or start a
    /// later one.
    pub fn accepts(&self, era: Era, set: &ChangeSet) -> bool {
        era == self.position.era || era > self.position.era && set.whole
    }

    /// Returns whether evacuations may be missing, so that a full snapshot with them is needed.
    pub fn lacks_evacuations(&self) -> bool {
        self.lacks_evacuations
    }

    /// Applies changes of a host that does not know evacuations; see [`Self::apply`]. Evacuations
    /// that were applied before stay known.
    pub fn apply_without_evacuations(&mut self, era: Era, mut set: ChangeSet) -> Vec<Change> {
        if !self.accepts(era, &set) {
            return Vec::new();
        }
        let before = self.position;
        if set.whole {
            set.changes.extend(self.known_evacuations(era));
        }
        let lacks_evacuations = self.lacks_evacuations;
        let new_changes = self.apply(era, set);
        self.lacks_evacuations = lacks_evacuations || self.position > before;
        new_changes
    }

    /// Returns the evacuations that are in force, as changes of `era`. In a later era than that of
    /// the log, any change of that era replaces them.
    fn known_evacuations(&self, era: Era) -> Vec<Change> {
        let is_known = |(subject, latest): &(&Subject, &LatestChange)| {
            subject.is_evacuation() && latest.value.is_some()
        };
        let known = self.latest.iter().filter(is_known);
        let revision = |latest: &LatestChange| {
            if era == self.position.era { latest.revision } else { Revision(0) }
        };
        known
            .map(|(s, latest)| Change { revision: revision(latest), ..change(s, latest) })
            .collect()
    }

    /// Applies changes of `era` and returns those that are newer than the recorded ones, including
    /// the removals of subjects that a full snapshot does not contain. Changes that are not accepted
    /// (see [`Self::accepts`]) have no effect.
    pub fn apply(&mut self, era: Era, set: ChangeSet) -> Vec<Change> {
        if !self.accepts(era, &set) {
            return Vec::new();
        }
        self.lacks_evacuations &= !set.whole || set.position < self.position.revision;
        if era > self.position.era {
            self.lacks_evacuations = false;
            return self.start_era(era, set);
        }
        let mut new_changes = Vec::new();
        if set.whole {
            new_changes = self.removals_implied_by(&set);
        }
        new_changes.extend(set.changes);
        new_changes.retain(|change| self.record(change));
        self.position.revision = self.position.revision.max(set.position);
        self.drop_old_removals();
        new_changes
    }

    /// Replaces the log by the full snapshot with which an era starts. Returns the changes to what
    /// was known before.
    fn start_era(&mut self, era: Era, set: ChangeSet) -> Vec<Change> {
        let before = std::mem::take(&mut self.latest);
        self.position = Position { era, revision: set.position };
        self.dropped_up_to = Revision(0);
        let is_known = |change: &Change| {
            before.get(&change.subject).is_some_and(|latest| latest.value == change.value)
        };
        let present = set.subjects();
        let missing = before
            .iter()
            .filter(|(subject, latest)| latest.value.is_some() && !present.contains(subject));
        let removals = missing.map(|(subject, _)| Change {
            subject: subject.clone(),
            revision: set.position,
            value: None,
        });
        let mut new_changes: Vec<Change> = removals.collect();
        new_changes.extend(set.changes.iter().filter(|change| !is_known(change)).cloned());
        for change in set.changes.iter().chain(&new_changes) {
            self.record(change);
        }
        new_changes
    }

    fn removals_implied_by(&self, set: &ChangeSet) -> Vec<Change> {
        let present = set.subjects();
        let is_removed = |subject: &Subject, latest: &LatestChange| {
            latest.value.is_some() && latest.revision <= set.position && !present.contains(subject)
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

    /// Returns the changes after a position. Returns a full snapshot if the position is of an
    /// earlier era, its revision is 0 or removals after it have been dropped; nothing if it is of a
    /// later era.
    pub fn since(&self, after: Position) -> ChangeSet {
        let revision = after.revision;
        if after.era > self.position.era {
            return ChangeSet { position: Revision(0), whole: false, changes: Vec::new() };
        }
        let whole = after.era < self.position.era
            || revision < self.dropped_up_to
            || revision == Revision(0);
        let is_included = |latest: &LatestChange| {
            if whole { latest.value.is_some() } else { latest.revision > revision }
        };
        let included = self.latest.iter().filter(|(_, latest)| is_included(latest));
        let changes = included.map(|(subject, latest)| change(subject, latest)).collect();
        ChangeSet { position: self.position.revision, whole, changes }
    }
}

fn change(subject: &Subject, latest: &LatestChange) -> Change {
    Change { subject: subject.clone(), revision: latest.revision, value: latest.value.clone() }
}
