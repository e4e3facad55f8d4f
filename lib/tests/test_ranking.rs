//! Which leaf of a shard a call goes to.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use jasmineusher_lib::catalogue::Class;
use jasmineusher_lib::hosts::HostList;
use jasmineusher_lib::hosts::HostState;
use jasmineusher_lib::hosts::LeafDetail;
use jasmineusher_lib::hosts::LeafHost;
use jasmineusher_lib::hosts::LeafRegistry;
use jasmineusher_lib::hosts::RawHostList;
use jasmineusher_lib::ids::HostName;
use jasmineusher_lib::ids::LeafKey;
use jasmineusher_lib::ids::LeafName;
use jasmineusher_lib::ids::Zone;
use jasmineusher_lib::leaf::Choosing;
use jasmineusher_lib::leaf::LeafTable;
use jasmineusher_lib::leaf::Ranked;
use jasmineusher_lib::plan::Purpose;
use jasmineusher_lib::zone_rtt::ZoneRtts;

const MS: Duration = Duration::from_millis(1);

/// A shard with a leaf in this host's zone and one in another.
struct Bed {
    table: LeafTable,
    near: LeafKey,
    far: LeafKey,
    zone: Zone,
    zone_rtts: ZoneRtts,
}

impl Bed {
    fn new() -> Self {
        let registry = LeafRegistry::default();
        let list = RawHostList { daemons: Vec::new(), leafs: vec![leaf("near"), leaf("far")] };
        let list = Arc::new(HostList::new(list, &registry).expect("the list is sound"));
        let key = |name| list.leaf_key(&LeafName::try_from(name).unwrap()).expect("it is listed");
        let (near, far) = (key("near"), key("far"));
        let own = HostName::try_from("front-1").unwrap();
        let table = LeafTable::default().with_hosts(&HostList::default(), &list, &own);
        let zone = Zone::try_from("near").unwrap();
        let mut zone_rtts = ZoneRtts::new(zone.clone(), Default::default());
        zone_rtts.record(&Zone::try_from("far").unwrap(), 24 * MS);
        Self { table, near, far, zone, zone_rtts }
    }

    fn rank(&self, purpose: Purpose, now: Instant) -> Ranked {
        let choosing = Choosing {
            replicas: &[self.near, self.far],
            tried: &[],
            purpose,
            picked: &HashMap::new(),
            typical_work: 8 * MS,
            zone_rtts: &self.zone_rtts,
            now,
        };
        self.table.rank(&self.zone, Class::Urgent, choosing)
    }
}

fn leaf(zone: &str) -> LeafHost {
    LeafHost {
        name: LeafName::try_from(zone).unwrap(),
        addr: "10.0.0.1:80".parse().unwrap(),
        zone: Zone::try_from(zone).unwrap(),
        slots: 4,
        connections: 74,
        state: HostState::Live,
        detail: LeafDetail { own_connections: Some(1), ..LeafDetail::default() },
    }
}

#[test]
fn near_leaf_is_chosen_while_it_is_sound() {
    let bed = Bed::new();
    let ranked = bed.rank(Purpose::First, Instant::now());
    assert_eq!(ranked.best.map(|choice| choice.leaf), Some(bed.near));
}

/// All hosts come back after a loss of power, and no leaf has room for all of them.
#[test]
fn full_leaf_is_tried_after_all_others_and_gets_no_second_call() {
    let bed = Bed::new();
    let now = Instant::now();
    let overflow =
        |key| bed.table.get(key).unwrap().state().estimates.record_connection_overflow(now);
    overflow(bed.near);
    assert_eq!(bed.rank(Purpose::First, now).best.map(|c| c.leaf), Some(bed.far));
    overflow(bed.far);
    assert_eq!(bed.rank(Purpose::First, now).best.map(|c| c.leaf), Some(bed.near));
    assert_eq!(bed.rank(Purpose::Hedge, now).best, None);
}

/// Leafs of many shards that refuse: the time of the other leaf decides when a second call must start.
#[test]
fn failures_of_the_other_leaf_do_not_hasten_second_calls() {
    let bed = Bed::new();
    let now = Instant::now();
    let calm = bed.rank(Purpose::First, now).other_time.expect("there is another leaf");
    (0..4).for_each(|_| bed.table.get(bed.far).unwrap().state().estimates.record_shed(now));
    let failing = bed.rank(Purpose::First, now).other_time.expect("there is another leaf");
    assert!(failing < calm + 5 * MS, "{calm:?}, then {failing:?}");
    assert_eq!(bed.rank(Purpose::Hedge, now).best.map(|c| c.leaf), Some(bed.near));
}
