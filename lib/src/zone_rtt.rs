//! How far availability zones are from this host, as learned from opening connections.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::Zone;

/// Round trip expected within the own zone before one was seen.
const OWN_ZONE: Duration = Duration::from_micros(500);
/// Round trip expected to other zones of the own region before one was seen.
const OWN_REGION: Duration = Duration::from_millis(2);
/// Round trip expected to other regions before one was seen.
const OTHER_REGION: Duration = Duration::from_millis(25);
/// Weight of a longer round trip than the one known; a shorter one counts at once, as queues and
/// lost packets only lengthen it.
const LONGER_WEIGHT: f64 = 0.05;

/// Round trips to all zones heard of. Cheap to clone at the size of a deployment's zones.
#[derive(Clone, Debug)]
pub struct ZoneRtts {
    own: Zone,
    regions: BTreeMap<Zone, String>,
    seen: BTreeMap<Zone, Duration>,
}

impl ZoneRtts {
    /// Starts with the regions of the zones, as far as they are known.
    pub fn new(own: Zone, regions: BTreeMap<Zone, String>) -> Self {
        Self { own, regions, seen: BTreeMap::new() }
    }

    /// Takes in the time that opening a connection into a zone took.
    pub fn record(&mut self, zone: &Zone, took: Duration) {
        match self.seen.get_mut(zone) {
            Some(known) if took > *known => {
                *known = known.mul_f64(1.0 - LONGER_WEIGHT) + took.mul_f64(LONGER_WEIGHT);
            }
            Some(known) => *known = took,
            None => {
                self.seen.insert(zone.clone(), took);
            }
        }
    }

    /// Returns the round trip to a zone.
    pub fn get(&self, zone: &Zone) -> Duration {
        if let Some(&seen) = self.seen.get(zone) {
            return seen;
        }
        if *zone == self.own {
            return OWN_ZONE;
        }
        match (self.regions.get(zone), self.regions.get(&self.own)) {
            (Some(region), Some(own)) if region != own => OTHER_REGION,
            _ => OWN_REGION,
        }
    }
}
