//! Network round-trip times (RTTs) between this host and the availability zones, measured when
//! connections are opened.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::Zone;

/// Assumed round trip within this host's zone until one was measured.
const OWN_ZONE_RTT: Duration = Duration::from_micros(500);
/// Assumed round trip to another zone of this host's region until one was measured.
const OWN_REGION_RTT: Duration = Duration::from_millis(2);
/// Assumed round trip to another region until one was measured.
const OTHER_REGION_RTT: Duration = Duration::from_millis(25);
/// Weight of a sample that is longer than the current estimate. A shorter sample replaces the
/// estimate at once, as queues and lost packets only lengthen a round trip.
const LONGER_WEIGHT: f64 = 0.05;

/// Round-trip estimates by zone. Cheap to clone, as a deployment has few zones.
#[derive(Clone, Debug)]
pub struct ZoneRtts {
    own: Zone,
    regions: BTreeMap<Zone, String>,
    measured: BTreeMap<Zone, Duration>,
}

impl ZoneRtts {
    /// Creates estimates without measurements. `regions` gives the region of each zone that is
    /// configured; a zone without one counts as in the own region.
    pub fn new(own: Zone, regions: BTreeMap<Zone, String>) -> Self {
        Self { own, regions, measured: BTreeMap::new() }
    }

    /// Records how long it took to open a connection to a leaf of the zone, as a round trip.
    pub fn record(&mut self, zone: &Zone, took: Duration) {
        match self.measured.get_mut(zone) {
            Some(estimate) if took > *estimate => {
                *estimate = estimate.mul_f64(1.0 - LONGER_WEIGHT) + took.mul_f64(LONGER_WEIGHT);
            }
            Some(estimate) => *estimate = took,
            None => {
                self.measured.insert(zone.clone(), took);
            }
        }
    }

    /// Returns the measured round trip to a zone, or an assumed one before the first measurement.
    pub fn get(&self, zone: &Zone) -> Duration {
        if let Some(&measured) = self.measured.get(zone) {
            return measured;
        }
        if *zone == self.own {
            return OWN_ZONE_RTT;
        }
        match (self.regions.get(zone), self.regions.get(&self.own)) {
            (Some(region), Some(own)) if region != own => OTHER_REGION_RTT,
            _ => OWN_REGION_RTT,
        }
    }
}
