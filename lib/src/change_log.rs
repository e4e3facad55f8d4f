//! What the platform has published, by key and revision, so that hosts can tell each other.
//!
//! All changes have a place in one order of revisions. A host that knows everything up to a
//! revision can be brought up to date by the changes after it. Invariant: a change of a lower
//! revision never replaces one of a higher revision of the same key.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::Revision;

/// Removed keys that are remembered; a host that is further behind takes everything anew.
const MAX_REMOVED: usize = 2_048;

/// What a change is about.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Subject {
    /// The configuration.
    Configuration,
    /// The leaf with this instance name.
    Leaf(String),
}

/// One change. Without a value, its subject was removed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// What it is about.
    pub subject: Subject,
    /// Its place in the order of all changes.
    pub revision: Revision,
    /// The value as published.
    pub value: Option<Bytes>,
}

/// Changes that bring a host up to date.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChangeSet {
    /// Everything up to this revision is known after it.
    pub position: Revision,
    /// Whether this is everything, so that what is not named does not exist.
    pub whole: bool,
    /// The changes, in no particular order.
    pub changes: Vec<Change>,
}

#[derive(Clone, Debug)]
struct Held {
    revision: Revision,
    value: Option<Bytes>,
}

/// The last change of each subject.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    held: BTreeMap<Subject, Held>,
    position: Revision,
    forgotten: Revision,
}

impl ChangeLog {
    /// Returns the revision up to which everything is known; 0 before the first list.
    pub fn position(&self) -> Revision {
        self.position
    }

    /// Takes in changes. Returns those that are news, removals of what a whole set does not name
    /// included.
    pub fn apply(&mut self, set: ChangeSet) -> Vec<Change> {
        let mut news = Vec::new();
        if set.whole {
            news = self.missing_from(&set);
        }
        news.extend(set.changes);
        news.retain(|change| self.put(change));
        self.position = self.position.max(set.position);
        self.forget_removed();
        news
    }

    fn missing_from(&self, set: &ChangeSet) -> Vec<Change> {
        let is_missing = |subject: &Subject, held: &Held| {
            held.value.is_some()
                && held.revision <= set.position
                && set.changes.iter().all(|change| change.subject != *subject)
        };
        let missing = self.held.iter().filter(|(subject, held)| is_missing(subject, held));
        let removal = |subject: &Subject| Change {
            subject: subject.clone(),
            revision: set.position,
            value: None,
        };
        missing.map(|(subject, _)| removal(subject)).collect()
    }

    fn put(&mut self, change: &Change) -> bool {
        let known = self.held.get(&change.subject);
        if known.is_some_and(|held| held.revision >= change.revision) {
            return false;
        }
        let held = Held { revision: change.revision, value: change.value.clone() };
        self.held.insert(change.subject.clone(), held);
        true
    }

    fn forget_removed(&mut self) {
        let removed = self.held.iter().filter(|(_, held)| held.value.is_none());
        let mut removed: Vec<_> = removed.map(|(s, held)| (held.revision, s.clone())).collect();
        if removed.len() <= MAX_REMOVED {
            return;
        }
        removed.sort();
        for (revision, subject) in removed.drain(..MAX_REMOVED / 2) {
            self.held.remove(&subject);
            self.forgotten = self.forgotten.max(revision);
        }
    }

    /// Returns the changes after a revision, or everything where some were forgotten.
    pub fn since(&self, revision: Revision) -> ChangeSet {
        let whole = revision < self.forgotten || revision == Revision(0);
        let is_wanted = |held: &Held| {
            if whole { held.value.is_some() } else { held.revision > revision }
        };
        let change = |subject: &Subject, held: &Held| Change {
            subject: subject.clone(),
            revision: held.revision,
            value: held.value.clone(),
        };
        let wanted = self.held.iter().filter(|(_, held)| is_wanted(held));
        let changes = wanted.map(|(subject, held)| change(subject, held)).collect();
        ChangeSet { position: self.position, whole, changes }
    }
}
