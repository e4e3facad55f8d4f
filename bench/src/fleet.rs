//! A small fleet of stand-ins: one platform, leafs in zones, and the documents about them.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use jasmineusher_lib::documents::DocumentKind;
use jasmineusher_lib::hosts::DaemonHost;
use jasmineusher_lib::hosts::HostState;
use jasmineusher_lib::hosts::LeafDetail;
use jasmineusher_lib::hosts::LeafHost;
use jasmineusher_lib::hosts::RawHostList;
use jasmineusher_lib::ids::IndexName;
use jasmineusher_lib::ids::IndexVersion;
use jasmineusher_lib::ids::LeafName;
use jasmineusher_lib::ids::ShardNo;
use jasmineusher_lib::ids::Zone;
use jasmineusher_lib::layout::RawIndex;
use jasmineusher_lib::layout::RawLayout;
use jasmineusher_lib::layout::RawVersion;

use crate::leaf::Behaviour;
use crate::leaf::Holding;
use crate::leaf::Holdings;
use crate::leaf::StandInLeaf;
use crate::platform::StandInPlatform;
use crate::work::WorkRecord;

/// What a fleet looks like.
#[derive(Clone, Debug)]
pub struct FleetShape {
    /// The zones; leafs are spread over them in turn.
    pub zones: Vec<Zone>,
    /// The index.
    pub index: IndexName,
    /// The version published first.
    pub version: IndexVersion,
    /// Number of shards.
    pub shards: u16,
    /// Number of leafs.
    pub leafs: u32,
    /// Replicas of each shard.
    pub replicas: u32,
    /// Slots of each leaf.
    pub slots: u32,
    /// Connections that each leaf accepts.
    pub connections: u32,
    /// How each leaf behaves at first.
    pub behaviour: Behaviour,
    /// Seed for the leafs' random numbers.
    pub seed: u64,
}

impl FleetShape {
    /// Makes the shape of Lidwerk's `careline`: 30 leafs with 2 slots and 25 connections.
    pub fn careline() -> Self {
        Self {
            zones: zones(&["muc-a", "nue-a", "aug-a"]),
            index: parse_name("careline"),
            version: IndexVersion(1),
            shards: 30,
            leafs: 30,
            replicas: 3,
            slots: 2,
            connections: 25,
            behaviour: Behaviour::default(),
            seed: 1,
        }
    }

    /// Returns the leafs that hold a shard.
    pub fn holders(&self, shard: u16) -> Vec<usize> {
        let first = u32::from(shard) % self.leafs;
        let stride = (self.leafs / self.replicas).max(1);
        (0..self.replicas.min(self.leafs))
            .map(|n| ((first + n * stride + n) % self.leafs) as usize)
            .collect()
    }
}

/// Parses zone names that are constants.
pub fn zones(names: &[&str]) -> Vec<Zone> {
    names.iter().map(|text| parse_name(text)).collect()
}

/// Parses a name that is a constant.
pub fn parse_name<T: for<'a> TryFrom<&'a str>>(text: &str) -> T {
    T::try_from(text).ok().expect("a constant name is valid")
}

/// A running fleet of stand-ins.
#[derive(Clone)]
pub struct Fleet {
    /// Its shape.
    pub shape: FleetShape,
    /// The platform.
    pub platform: StandInPlatform,
    /// The leafs, in the order of their numbers.
    pub leafs: Vec<StandInLeaf>,
    /// What the leafs did.
    pub record: Arc<WorkRecord>,
    daemons: Arc<Mutex<Vec<DaemonHost>>>,
}

impl Fleet {
    /// Starts the stand-ins in the present runtime and publishes the layout.
    pub async fn start(shape: FleetShape, platform: SocketAddr) -> std::io::Result<Self> {
        let record = Arc::new(WorkRecord::default());
        let mut holdings = vec![Holdings::default(); shape.leafs as usize];
        for shard in 0..shape.shards {
            for holder in shape.holders(shard) {
                holdings[holder].add(holding(&shape, shape.version, shard));
            }
        }
        let mut leafs = Vec::new();
        for (number, holdings) in holdings.into_iter().enumerate() {
            let host = leaf_host(&shape, number);
            let behaviour = shape.behaviour.clone();
            let seed = shape.seed.wrapping_add(number as u64);
            let leaf = StandInLeaf::start(host, behaviour, holdings, record.clone(), seed);
            leafs.push(leaf.await?);
        }
        let platform = StandInPlatform::start(platform).await?;
        let fleet = Self { shape, platform, leafs, record, daemons: Arc::default() };
        fleet.publish_layout(&[fleet.shape.version]);
        Ok(fleet)
    }

    /// Lists a daemon from the next host list on.
    pub fn list_daemon(&self, daemon: DaemonHost) {
        let mut daemons = self.daemons.lock().unwrap();
        daemons.retain(|known| known.name != daemon.name);
        daemons.push(daemon);
    }

    /// Leaves a daemon out of the next host list.
    pub fn unlist_daemon(&self, name: &str) {
        self.daemons.lock().unwrap().retain(|known| known.name.as_str() != name);
    }

    /// Publishes the host list.
    pub fn publish_hosts(&self) -> u64 {
        let list = RawHostList {
            daemons: self.daemons.lock().unwrap().clone(),
            leafs: self.leafs.iter().map(StandInLeaf::host).collect(),
        };
        let body = serde_json::to_vec(&list).expect("a host list serialises");
        self.platform.publish(DocumentKind::Hosts, body)
    }

    /// Publishes a layout in which these versions have the fleet's shape.
    pub fn publish_layout(&self, versions: &[IndexVersion]) -> u64 {
        let shards = |_: &IndexVersion| {
            let leafs = |holder: usize| self.leafs[holder].host().name;
            let holders = |shard| self.shape.holders(shard).into_iter().map(leafs).collect();
            (0..self.shape.shards).map(holders).collect()
        };
        let versions =
            versions.iter().map(|v| RawVersion { version: *v, shards: shards(v) }).collect();
        let index = RawIndex { name: self.shape.index.clone(), versions };
        let layout = RawLayout { indexes: vec![index] };
        let body = serde_json::to_vec(&layout).expect("a layout serialises");
        self.platform.publish(DocumentKind::Layout, body)
    }

    /// Publishes a catalogue.
    pub fn publish_catalogue(&self, text: &str) -> u64 {
        self.platform.publish(DocumentKind::Catalogue, text.to_owned())
    }

    /// Gives a version to the leafs that hold its shards.
    pub fn load_version(&self, version: IndexVersion) {
        for shard in 0..self.shape.shards {
            for holder in self.shape.holders(shard) {
                self.leafs[holder].hold(|h| h.add(holding(&self.shape, version, shard)));
            }
        }
    }

    /// Takes a version from all leafs.
    pub fn unload_version(&self, version: IndexVersion) {
        for leaf in &self.leafs {
            leaf.hold(|holdings| holdings.remove_version(version));
        }
    }
}

fn holding(shape: &FleetShape, version: IndexVersion, shard: u16) -> Holding {
    Holding { index: shape.index.clone(), version, shard: ShardNo(shard) }
}

fn leaf_host(shape: &FleetShape, number: usize) -> LeafHost {
    let name: LeafName = parse_name(&format!("{}-{number}", shape.index));
    LeafHost {
        name,
        addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        zone: shape.zones[number % shape.zones.len()].clone(),
        slots: shape.slots,
        connections: shape.connections,
        state: HostState::Live,
        detail: LeafDetail::default(),
    }
}
