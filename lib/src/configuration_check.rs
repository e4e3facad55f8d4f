//! Checks a decoded configuration and makes a catalogue of its usable entries.

use crate::events::Event;
use crate::ids::IndexVersion;
use crate::log_event;
use crate::opaque_catalogue::GroupLimits;
use crate::opaque_catalogue::GroupRegistry;
use crate::opaque_catalogue::OpaqueCatalogue;
use crate::opaque_catalogue::OpaqueEntry;
use crate::placement::Places;
use crate::platform_store::RawConfiguration;

/// Returns the catalogue of a configuration. Entries that are invalid are logged and left out.
pub fn check(
    raw: RawConfiguration,
    groups: &mut GroupRegistry,
    places: &Places,
) -> OpaqueCatalogue {
    let log_refusal = |cause: &dyn std::fmt::Display| {
        log_event!(warn, Event::EntryUnusable, version = raw.version, cause = %cause);
    };
    raw.unreadable.iter().for_each(|e| log_refusal(e));
    let mut entries = Vec::with_capacity(raw.entries.len());
    for entry in raw.entries {
        match OpaqueEntry::new(entry, groups) {
            Ok(entry) => {
                log_unknown_homes(&entry, raw.version, places);
                entries.push(entry);
            }
            Err(e) => log_refusal(&e),
        }
    }
    let limits: Vec<_> = raw
        .groups
        .iter()
        .map(|g| GroupLimits {
            group: groups.key(&g.name),
            connections: g.connections,
            cold_phase: g.cold_phase,
        })
        .collect();
    OpaqueCatalogue::new(IndexVersion(raw.version), raw.caller_limits, entries, &limits)
}

/// Logs the homes of an entry that are not known. The entry is used nevertheless: without it, its
/// requests could match another entry and be served outside their homes.
fn log_unknown_homes(opaque_entry: &OpaqueEntry, version: u64, places: &Places) {
    for region in places.unknown_homes(&opaque_entry.homes) {
        let entry = opaque_entry.entry.name.as_str();
        log_event!(warn, Event::HomeUnknown, version, entry, region);
    }
}
