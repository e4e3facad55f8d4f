//! Checks a configuration before it is published: entries that the daemons would refuse, entries
//! that can never match, and limits that contradict each other.
//!
//! Errors are found by the code by which the daemons accept or refuse an entry, so that both agree.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use serde::Serialize;

use crate::opaque_catalogue::CallerLimits;
use crate::opaque_catalogue::GroupRegistry;
use crate::opaque_catalogue::OpaqueEntry;
use crate::opaque_catalogue::RawOpaqueEntry;
use crate::opaque_catalogue::RawTarget;
use crate::platform_store::RawConfiguration;

/// How much a finding matters.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// The daemons refuse the entry, or the whole configuration.
    Error,
    /// The daemons accept the entry, but it does not do what its fields say.
    Warning,
}

/// One thing that is wrong with a configuration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Finding {
    /// How much it matters.
    pub severity: Severity,
    /// Line of the document on which the entry begins, from 1; absent if it is not known.
    pub line: Option<usize>,
    /// Name of the entry; empty if the finding concerns no single entry.
    pub entry: String,
    /// Name of the field in the product's terms.
    pub field: &'static str,
    /// Description of the fault.
    pub message: String,
    /// What to do about it.
    pub hint: &'static str,
}

/// The deployment that a configuration is for, as far as it is known.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// Names of the regions; empty if they are not known.
    pub regions: BTreeSet<String>,
    /// Number of leafs of each group, by its name; absent if the leafs are not known.
    pub leafs: Option<BTreeMap<String, usize>>,
}

/// Returns what is wrong with a configuration, errors first, otherwise in the order of its entries.
pub fn findings(raw: &RawConfiguration, deployment: &Deployment) -> Vec<Finding> {
    let mut found = Findings { raw, found: Vec::new() };
    found.check_readability();
    found.check_acceptance();
    found.check_names_and_matches();
    for (index, entry) in raw.entries.iter().enumerate() {
        found.check_limits(index, entry);
        found.check_target(index, entry, deployment);
        found.check_regions(index, entry, deployment);
    }
    found.check_groups();
    found.check_caller_limits(&raw.caller_limits);
    found.found.sort_by_key(|finding| finding.severity);
    found.found
}

/// Returns how many shards of `shards` the minimum coverage requires.
fn needed_shards(minimum_coverage: f64, shards: usize) -> usize {
    // The tolerance allows for fractions that have no exact binary form.
    (minimum_coverage * shards as f64 - 1e-9).ceil() as usize
}

struct Findings<'a> {
    raw: &'a RawConfiguration,
    found: Vec<Finding>,
}

impl Findings<'_> {
    fn add(
        &mut self,
        severity: Severity,
        entry: Option<usize>,
        field: &'static str,
        message: String,
        hint: &'static str,
    ) {
        let line = entry.and_then(|index| self.raw.entry_lines.get(index).copied());
        let entry = entry.map_or_else(String::new, |index| self.raw.entries[index].name.clone());
        self.found.push(Finding { severity, line, entry, field, message, hint });
    }

    fn warn(&mut self, entry: usize, field: &'static str, message: String, hint: &'static str) {
        self.add(Severity::Warning, Some(entry), field, message, hint);
    }

    /// Finds the parts that could not be decoded.
    fn check_readability(&mut self) {
        for unreadable in &self.raw.unreadable {
            let hint = "correct the document; the daemons leave this part out";
            self.add(Severity::Error, None, "", unreadable.to_string(), hint);
        }
    }

    /// Finds the entries that the daemons refuse.
    fn check_acceptance(&mut self) {
        let mut groups = GroupRegistry::default();
        for (index, entry) in self.raw.entries.iter().enumerate() {
            if let Err(e) = OpaqueEntry::new(entry.clone(), &mut groups) {
                let hint = "correct the field; the daemons leave this entry out";
                self.add(Severity::Error, Some(index), e.field, e.to_string(), hint);
            }
        }
    }

    fn check_names_and_matches(&mut self) {
        let raw = self.raw;
        let mut names: HashMap<&str, usize> = HashMap::new();
        let mut places: HashMap<(String, &str), usize> = HashMap::new();
        for (index, entry) in raw.entries.iter().enumerate() {
            let first = *names.entry(&entry.name).or_insert(index);
            if first != index {
                let message = format!("entry {} has the same name", first + 1);
                self.warn(index, "name", message, "give each entry a name of its own");
            }
            let place = (entry.host.to_ascii_lowercase(), entry.prefix.as_str());
            let first = *places.entry(place).or_insert(index);
            if first != index {
                let message = format!(
                    "entry \"{}\" has the same host and prefix, so that this one never matches",
                    raw.entries[first].name
                );
                self.warn(index, "prefix", message, "remove one of them or change its prefix");
            }
        }
    }

    fn check_limits(&mut self, index: usize, entry: &RawOpaqueEntry) {
        let timeout = entry.timeout_ms;
        if let Some(goal) = entry.goal_ms.filter(|goal| *goal > timeout) {
            let message = format!("the goal of {goal} ms is after the time-out of {timeout} ms");
            self.warn(index, "goal_ms", message, "set a goal below the time-out");
        }
        if entry.goal_ms == Some(0) {
            let hint = "leave the goal out or set one above 0";
            self.warn(index, "goal_ms", "no answer can reach a goal of 0 ms".to_owned(), hint);
        }
        let RawTarget::All(shards) = &entry.target else { return };
        if entry.top == 0 {
            let message = "merged answers hold no record".to_owned();
            self.warn(index, "top", message, "set the number of records above 0");
        }
        let (coverage, count) = (entry.minimum_coverage, shards.len());
        if coverage < 1.0 && count > 1 && needed_shards(coverage, count) == count {
            let message = format!("{coverage} of {count} shards means all of them");
            self.warn(index, "minimum_coverage", message, "lower it, or set 1 if that is meant");
        }
    }

    fn check_target(&mut self, index: usize, entry: &RawOpaqueEntry, deployment: &Deployment) {
        let names: Vec<&String> = match &entry.target {
            RawTarget::One(weights) => {
                for unused in weights.iter().filter(|part| part.weight == 0.0) {
                    let message = format!("group \"{}\" has weight 0", unused.group);
                    self.warn(index, "weight", message, "remove the group or give it a weight");
                }
                weights.iter().map(|part| &part.group).collect()
            }
            RawTarget::All(shards) => shards.iter().collect(),
        };
        let mut seen = BTreeSet::new();
        for name in names {
            if !seen.insert(name) {
                let message = format!("group \"{name}\" is named more than once");
                self.warn(index, "groups", message, "name each group once");
                continue;
            }
            if !self.raw.groups.iter().any(|group| group.name == *name) {
                let message = format!("group \"{name}\" is not declared");
                self.warn(index, "groups", message, "declare it with its connection limit");
            }
            if let Some(leafs) = &deployment.leafs {
                self.check_leafs(index, entry, name, leafs.get(name).copied().unwrap_or_default());
            }
        }
    }

    fn check_leafs(&mut self, index: usize, entry: &RawOpaqueEntry, group: &str, leafs: usize) {
        if leafs == 0 {
            let message = format!("group \"{group}\" has no leaf at present");
            self.warn(index, "groups", message, "start its leafs first");
        } else if entry.attempts > leafs as u64 {
            let attempts = entry.attempts;
            let message = format!("{attempts} attempts, but group \"{group}\" has {leafs} leafs");
            self.warn(index, "attempts", message, "a request is sent to each leaf once at most");
        }
    }

    fn check_regions(&mut self, index: usize, entry: &RawOpaqueEntry, deployment: &Deployment) {
        if deployment.regions.is_empty() {
            return;
        }
        let is_known = |region: &&String| deployment.regions.contains(*region);
        let has_known = entry.regions.iter().any(|region| is_known(&region));
        for region in entry.regions.iter().filter(|region| !is_known(region)) {
            let message = format!("\"{region}\" is not a region of any zone");
            if has_known {
                let hint = "its requests are served in the other regions only";
                self.warn(index, "regions", message, hint);
            } else {
                let hint = "the daemons refuse all its requests until it names a known region";
                self.add(Severity::Error, Some(index), "regions", message, hint);
            }
        }
    }

    fn check_groups(&mut self) {
        let mut seen = BTreeSet::new();
        for group in &self.raw.groups {
            let name = &group.name;
            if !seen.insert(name) {
                let message = format!("group \"{name}\" is declared more than once");
                let hint = "the last declaration holds; remove the others";
                self.add(Severity::Warning, None, "groups", message, hint);
            }
            if group.connections == 0 {
                let message = format!("leafs of group \"{name}\" accept no connections");
                self.add(Severity::Warning, None, "connections", message, "allow at least one");
            }
        }
    }

    fn check_caller_limits(&mut self, limits: &CallerLimits) {
        let none = [
            ("head_bytes", limits.head_bytes == 0),
            ("head_time", limits.head_time.is_zero()),
            ("idle_time", limits.idle_time.is_zero()),
        ];
        for (field, _) in none.into_iter().filter(|(_, is_none)| *is_none) {
            let message = "is 0, so that no caller can send a request".to_owned();
            self.add(Severity::Warning, None, field, message, "set a limit above 0");
        }
    }
}
