//! A host with its link to other hosts, for tests of what hosts tell each other.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use jasmineusher_lib::change_log::Change;
use jasmineusher_lib::change_log::ChangeSet;
use jasmineusher_lib::change_log::Subject;
use jasmineusher_lib::cluster_state::ClusterState;
use jasmineusher_lib::fleet::Fleet;
use jasmineusher_lib::fleet::HostRecord;
use jasmineusher_lib::fleet_budget::FleetLimits;
use jasmineusher_lib::fleet_link::FleetLink;
use jasmineusher_lib::http_client::HttpClient;
use jasmineusher_lib::http_leaf::HttpLeafBackend;
use jasmineusher_lib::ids::Era;
use jasmineusher_lib::ids::Revision;
use jasmineusher_lib::leaf_directory::PublishedLeaf;
use jasmineusher_lib::opaque_view::ViewCell;
use jasmineusher_lib::outage::OutageTracker;
use jasmineusher_lib::pause_detector::SuspensionClock;
use jasmineusher_lib::platform_store::Decoder;
use jasmineusher_lib::platform_store::RawConfiguration;
use jasmineusher_lib::platform_store::Unusable;
use jasmineusher_lib::relay_link::RelayLinks;
use jasmineusher_lib::shared_budget::SharedFleetBudget;
use jasmineusher_lib::signature::KeyRing;
use jasmineusher_lib::subscription::ChangeSource;
use jasmineusher_lib::subscription::Subscription;
use jasmineusher_lib::tier::Identity;
use jasmineusher_lib::tier::Tier;
use tokio::sync::Notify;

struct AnyDecoder;

impl Decoder for AnyDecoder {
    fn configuration(&self, _value: &[u8]) -> Result<RawConfiguration, Unusable> {
        Ok(RawConfiguration { version: 1, ..RawConfiguration::default() })
    }

    fn leaf(&self, _instance: &str, _value: &[u8]) -> Result<PublishedLeaf, Unusable> {
        Err(Unusable("no leaf is usable".to_owned()))
    }
}

pub fn change(subject: Subject, revision: u64) -> Change {
    Change { subject, revision: Revision(revision), value: Some(Bytes::new()) }
}

/// Returns the link of a host that has applied a configuration and an evacuation.
pub fn link() -> (FleetLink, Arc<ClusterState>) {
    let now = Instant::now();
    let identity = Identity {
        host: "front-1".try_into().expect("the name is valid"),
        zone: "muc-a".try_into().expect("the name is valid"),
        incarnation: Tier::new_incarnation(),
    };
    let own = HostRecord {
        name: identity.host.to_string(),
        addr: "127.0.0.1:1".parse().expect("the address is valid"),
        zone: identity.zone.to_string(),
        incarnation: identity.incarnation,
        leaving: false,
        blind: false,
    };
    let backend = Box::new(HttpLeafBackend::with_local_address(None));
    let relays = RelayLinks::new(HttpClient::default(), KeyRing::new(Vec::new()));
    let limits = FleetLimits { ratio: 0.2, slack: 1.0, window: Duration::from_secs(10) };
    let host = identity.host.clone();
    let tier = Arc::new(Tier::new(identity, backend, Arc::new(relays)));
    let cluster_state = Arc::new(ClusterState {
        subscription: Mutex::new(Subscription::new(Box::new(AnyDecoder), host, now)),
        outage: Mutex::new(OutageTracker::new(now)),
        clock: SuspensionClock::new(),
        fleet: Mutex::new(Fleet::new(own, [], now)),
        regions: BTreeMap::new(),
        budget: Arc::new(SharedFleetBudget::new(limits, 1, 0.5)),
        views: Arc::new(ViewCell::new(now)),
        changed: Notify::new(),
    });
    let changes =
        vec![change(Subject::Configuration, 2), change(Subject::Evacuation("muc-a".to_owned()), 3)];
    let set = ChangeSet { position: Revision(3), whole: true, changes };
    cluster_state.record_confirmation(cluster_state.clock.now());
    cluster_state.apply_changes(Era(0), set, ChangeSource::Platform, now);
    let link = FleetLink::new(cluster_state.clone(), tier, HttpClient::default());
    (link, cluster_state)
}
