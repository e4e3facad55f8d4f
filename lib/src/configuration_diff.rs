//! Differences between the configuration in force and one that is to replace it, by entry and
//! field, with what callers will notice.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Serialize;

use crate::opaque_catalogue::RawOpaqueEntry;
use crate::opaque_catalogue::RawTarget;
use crate::opaque_catalogue::RawWeight;
use crate::platform_store::RawConfiguration;

/// A field that differs, or an entry that only one configuration has.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Difference {
    /// Name of the entry; empty for fields of the whole configuration.
    pub entry: String,
    /// Name of the field in the product's terms; `entry` for a whole entry.
    pub field: &'static str,
    /// Value in force; absent if there is none.
    pub before: Option<String>,
    /// Value that replaces it; absent if there is none.
    pub after: Option<String>,
    /// What callers will notice.
    pub effect: String,
}

/// Returns the differences between the configuration `in_force` and the one that is to replace it.
/// Entries are compared by name.
pub fn differences(in_force: &RawConfiguration, next: &RawConfiguration) -> Vec<Difference> {
    let mut found = whole_differences(in_force, next);
    let (before, after) = (by_name(in_force), by_name(next));
    let names: BTreeSet<_> = before.keys().chain(after.keys()).collect();
    for name in names {
        match (before.get(name), after.get(name)) {
            (Some(old), Some(new)) => found.extend(entry_differences(old, new)),
            (Some(old), None) => found.push(removed(old, next)),
            (None, Some(new)) => found.push(added(new)),
            (None, None) => {}
        }
    }
    found
}

fn by_name(raw: &RawConfiguration) -> BTreeMap<&str, &RawOpaqueEntry> {
    raw.entries.iter().map(|entry| (entry.name.as_str(), entry)).collect()
}

fn place(entry: &RawOpaqueEntry) -> String {
    format!("{}{}", entry.host, entry.prefix)
}

fn added(new: &RawOpaqueEntry) -> Difference {
    let effect = format!("requests to {} are served by it", place(new));
    let after = Some(place(new));
    Difference { entry: new.name.clone(), field: "entry", before: None, after, effect }
}

fn removed(old: &RawOpaqueEntry, next: &RawConfiguration) -> Difference {
    let serves = |entry: &&RawOpaqueEntry| {
        entry.host.eq_ignore_ascii_case(&old.host) && old.prefix.starts_with(&entry.prefix)
    };
    let heir = next.entries.iter().filter(serves).max_by_key(|entry| entry.prefix.len());
    let effect = match heir {
        Some(heir) => format!("requests to {} are served by \"{}\"", place(old), heir.name),
        None => format!("requests to {} get 404", place(old)),
    };
    let before = Some(place(old));
    Difference { entry: old.name.clone(), field: "entry", before, after: None, effect }
}

/// Collects the fields of one entry that differ.
struct Fields<'a> {
    entry: &'a str,
    found: Vec<Difference>,
}

impl Fields<'_> {
    fn compare<T: PartialEq>(
        &mut self,
        field: &'static str,
        (old, new): (&T, &T),
        show: impl Fn(&T) -> String,
        effect: &str,
    ) {
        if old != new {
            let (before, after) = (Some(show(old)), Some(show(new)));
            let (entry, effect) = (self.entry.to_owned(), effect.to_owned());
            self.found.push(Difference { entry, field, before, after, effect });
        }
    }
}

fn whole_differences(in_force: &RawConfiguration, next: &RawConfiguration) -> Vec<Difference> {
    let mut fields = Fields { entry: "", found: Vec::new() };
    let version_effect = if next.version > in_force.version {
        "the daemons put it in force"
    } else {
        "the daemons keep the version in force"
    };
    let versions = (&in_force.version, &next.version);
    fields.compare("version", versions, u64::to_string, version_effect);
    if next.version == in_force.version {
        let (before, after) = (Some(in_force.version.to_string()), Some(next.version.to_string()));
        let (entry, effect) = (String::new(), version_effect.to_owned());
        fields.found.push(Difference { entry, field: "version", before, after, effect });
    }
    let limits = (&in_force.caller_limits, &next.caller_limits);
    let effect = "requests beyond the new limits are refused or cut";
    fields.compare("caller_limits", limits, |limits| format!("{limits:?}"), effect);
    fields.found
}

fn entry_differences(old: &RawOpaqueEntry, new: &RawOpaqueEntry) -> Vec<Difference> {
    let mut fields = Fields { entry: &new.name, found: Vec::new() };
    let show_ms = |ms: &u64| format!("{ms} ms");
    let show_goal = |goal: &Option<u64>| goal.map_or("none".to_owned(), |ms| format!("{ms} ms"));
    let effect = "other requests match";
    fields.compare("host", (&old.host, &new.host), String::clone, effect);
    fields.compare("prefix", (&old.prefix, &new.prefix), String::clone, effect);
    let effect = "requests go to other leafs, also those that are retried";
    fields.compare("target", (&old.target, &new.target), show_target, effect);
    let effect = match new.idempotent {
        true => "requests may be sent to several leafs",
        false => "requests are sent once, and callers see more failures",
    };
    fields.compare("idempotent", (&old.idempotent, &new.idempotent), bool::to_string, effect);
    let effect = match new.timeout_ms < old.timeout_ms {
        true => "slow requests fail that were answered before",
        false => "slow requests are answered later instead of failing",
    };
    fields.compare("timeout_ms", (&old.timeout_ms, &new.timeout_ms), show_ms, effect);
    let effect = "merged answers are sent sooner with fewer shards, or later with more";
    fields.compare("goal_ms", (&old.goal_ms, &new.goal_ms), show_goal, effect);
    let effect = "more or fewer leafs are tried for each shard";
    fields.compare("attempts", (&old.attempts, &new.attempts), u64::to_string, effect);
    let effect = "requests are served before or after those of other entries under load";
    fields.compare("rank", (&old.rank, &new.rank), u64::to_string, effect);
    let effect = "merged answers hold another number of records";
    fields.compare("top", (&old.top, &new.top), usize::to_string, effect);
    let coverages = (&old.minimum_coverage, &new.minimum_coverage);
    let effect = match new.minimum_coverage > old.minimum_coverage {
        true => "answers that lack as many shards as before fail",
        false => "answers may lack more shards than before",
    };
    fields.compare("minimum_coverage", coverages, f64::to_string, effect);
    let effect = "requests are served in other regions, or refused where no leaf is";
    let regions = (&old.regions, &new.regions);
    fields.compare("regions", regions, |regions| show_regions(regions), effect);
    fields.found
}

fn show_regions(regions: &[String]) -> String {
    if regions.is_empty() { "any".to_owned() } else { regions.join(", ") }
}

/// Describes the groups of an entry, long lists by their length and first group.
fn show_target(target: &RawTarget) -> String {
    match target {
        RawTarget::One(weights) => {
            let part = |part: &RawWeight| format!("{} (weight {})", part.group, part.weight);
            weights.iter().map(part).collect::<Vec<_>>().join(", ")
        }
        RawTarget::All(shards) => {
            let first = shards.first().map(String::as_str).unwrap_or_default();
            format!("all of {} shards from \"{first}\"", shards.len())
        }
    }
}
