//! Decides in which availability zones requests may be served: in the home regions of their entry,
//! and not in zones that the operator has evacuated.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Instant;

use crate::ids::sanitized_name;

/// Region of each zone, by the zone's name.
pub type ZoneRegions = BTreeMap<String, String>;

/// Regions in which the requests of an entry may be served; any region if there are none.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Homes(BTreeSet<String>);

impl Homes {
    /// Creates the homes of an entry that names these regions.
    pub fn new(regions: impl IntoIterator<Item = String>) -> Self {
        Self(regions.into_iter().collect())
    }

    /// Returns whether the requests may be served in any region.
    pub fn is_anywhere(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the names of the regions, in order; none if the requests may be served in any.
    pub fn regions(&self) -> impl Iterator<Item = &str> {
        self.0.iter().map(String::as_str)
    }
}

/// Evacuations that the operator has published, by the zone's name as published.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// End of each evacuation; absent while it is published.
    ends: BTreeMap<String, Option<Instant>>,
}

impl Evacuations {
    /// Records that the evacuation of `zone` is published. Returns whether it is new.
    pub fn start(&mut self, zone: &str) -> bool {
        self.ends.insert(zone.to_owned(), None).is_none()
    }

    /// Records that the evacuation of `zone` is not published any more. It holds until `until`, if
    /// that is given. Returns whether it has ended.
    pub fn end(&mut self, zone: &str, until: Option<Instant>) -> bool {
        match until {
            None => self.ends.remove(zone).is_some(),
            Some(until) => {
                if let Some(end) = self.ends.get_mut(zone) {
                    end.get_or_insert(until);
                }
                false
            }
        }
    }

    /// Ends the evacuations whose time is over, and returns their zones.
    ///
    /// Answers the fault that the platform comes back from an older copy of its data, which may
    /// lack an evacuation that the operator has not withdrawn and publishes again.
    pub fn end_due(&mut self, now: Instant) -> Vec<String> {
        let is_due = |end: &Option<Instant>| end.is_some_and(|end| end <= now);
        let due = self.ends.iter().filter(|(_, end)| is_due(end));
        let due: Vec<String> = due.map(|(zone, _)| zone.clone()).collect();
        self.ends.retain(|_, end| !is_due(end));
        due
    }

    /// Returns the names of the evacuated zones, as leafs and settings use them.
    pub fn zones(&self) -> BTreeSet<String> {
        self.ends.keys().map(|zone| sanitized_name(zone).into_owned()).collect()
    }
}

/// The zones of the deployment, their regions, and which of them are evacuated. Immutable.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Places {
    regions: ZoneRegions,
    evacuated: BTreeSet<String>,
}

impl Places {
    /// Creates the places of a deployment whose zones lie in `regions`.
    pub fn new(regions: ZoneRegions) -> Self {
        Self { regions, evacuated: BTreeSet::new() }
    }

    /// Returns the same zones with other evacuated ones.
    pub fn with_evacuated(&self, evacuated: BTreeSet<String>) -> Self {
        Self { regions: self.regions.clone(), evacuated }
    }

    /// Returns the evacuated zones.
    pub fn evacuated(&self) -> &BTreeSet<String> {
        &self.evacuated
    }

    /// Returns whether the operator has evacuated a zone, so that its leafs get no requests.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated.contains(zone)
    }

    /// Returns whether the deployment has a zone of this name.
    pub fn has_zone(&self, zone: &str) -> bool {
        self.regions.contains_key(zone)
    }

    /// Returns whether a zone lies in one of the homes. A zone whose region is not known lies in
    /// none, as a request must rather be refused than served outside its homes.
    pub fn is_home(&self, homes: &Homes, zone: &str) -> bool {
        homes.is_anywhere() || self.regions.get(zone).is_some_and(|region| homes.0.contains(region))
    }

    /// Returns whether requests with these homes may be served by leafs in a zone.
    ///
    /// Answers evacuations, also of several zones at once: no request is sent to an evacuated zone,
    /// even if no other zone is left.
    pub fn may_serve(&self, homes: &Homes, zone: &str) -> bool {
        self.is_home(homes, zone) && !self.is_evacuated(zone)
    }

    /// Returns the homes that are not a region of any zone.
    pub fn unknown_homes<'a>(&self, homes: &'a Homes) -> Vec<&'a str> {
        let is_known = |home: &str| self.regions.values().any(|region| region == home);
        homes.regions().filter(|home| !is_known(home)).collect()
    }
}
