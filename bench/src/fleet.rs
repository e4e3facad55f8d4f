//! Fleet of stand-ins: one platform, leafs in several zones, and the documents that describe them.

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
use crate::leaf::Replica;
use crate::leaf::Replicas;
use crate::leaf::StandInLeaf;
use crate::platform::StandInPlatform;
use crate::work::WorkRecord;

/// Size of a fleet and the properties of its leafs.
#[derive(Clone, Debug)]
pub struct FleetShape {
    /// Availability zones; leafs are spread over them round-robin.
    pub zones: Vec<Zone>,
    /// Name of the only index.
    pub index: IndexName,
    /// Version of the index that the first layout lists.
    pub version: IndexVersion,
    /// Number of shards of the index.
    pub shards: u16,
    /// Number of leafs.
    pub leafs: u32,
    /// Number of replicas of each shard.
    pub replicas: u32,
    /// Calls that each leaf runs at once.
    pub slots: u32,
    /// Connections that each leaf accepts.
    pub connections: u32,
    /// Behaviour that each leaf starts with.
    pub behaviour: Behaviour,
    /// Seed of the random service times; each leaf adds its number.
    pub seed: u64,
}

impl FleetShape {
    /// Returns the shape of the index `careline` of the organisation Lidwerk: 30 leafs with 2 slots
    /// and 25 connections each, which hold 30 shards in 3 replicas.
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

    /// Returns the numbers of the leafs that hold a shard; the first one holds its first replica.
    /// With few leafs a number can appear twice, as with 3 replicas on 6 leafs.
    pub fn replica_leafs(&self, shard: u16) -> Vec<usize> {
        let first = u32::from(shard) % self.leafs;
        let stride = (self.leafs / self.replicas).max(1);
        (0..self.replicas.min(self.leafs))
            .map(|n| ((first + n * stride + n) % self.leafs) as usize)
            .collect()
    }
}

/// Parses the names of zones. Panics if one is invalid, as with [`parse_name`].
pub fn zones(names: &[&str]) -> Vec<Zone> {
    names.iter().map(|text| parse_name(text)).collect()
}

/// Parses a name that is written in the code. Panics if it is invalid.
pub fn parse_name<T: for<'a> TryFrom<&'a str>>(text: &str) -> T {
    T::try_from(text).ok().expect("a name in the code is valid")
}

/// Running fleet of stand-ins.
#[derive(Clone)]
pub struct Fleet {
    /// Shape that the fleet was started with.
    pub shape: FleetShape,
    /// Platform that publishes the fleet's documents.
    pub platform: StandInPlatform,
    /// Leafs in the order of their numbers, which start at 0.
    pub leafs: Vec<StandInLeaf>,
    /// Totals of the work that all leafs did.
    pub record: Arc<WorkRecord>,
    /// Daemons of the next host list.
    daemons: Arc<Mutex<Vec<DaemonHost>>>,
}

impl Fleet {
    /// Starts the stand-ins in the current runtime, with the platform at the address `platform`,
    /// and publishes the layout. Returns an error if a listener cannot be bound.
    pub async fn start(shape: FleetShape, platform: SocketAddr) -> std::io::Result<Self> {
        let record = Arc::new(WorkRecord::default());
        let mut leaf_replicas = vec![Replicas::default(); shape.leafs as usize];
        for shard in 0..shape.shards {
            for leaf_number in shape.replica_leafs(shard) {
                leaf_replicas[leaf_number].add(replica(&shape, shape.version, shard));
            }
        }
        let mut leafs = Vec::new();
        for (number, leaf_replicas) in leaf_replicas.into_iter().enumerate() {
            let host = leaf_host(&shape, number);
            let behaviour = shape.behaviour.clone();
            let seed = shape.seed.wrapping_add(number as u64);
            let leaf = StandInLeaf::start(host, behaviour, leaf_replicas, record.clone(), seed);
            leafs.push(leaf.await?);
        }
        let platform = StandInPlatform::start(platform).await?;
        let fleet = Self { shape, platform, leafs, record, daemons: Arc::default() };
        fleet.publish_layout(&[fleet.shape.version]);
        Ok(fleet)
    }

    /// Adds a daemon to the next host list, in place of one of the same name.
    pub fn list_daemon(&self, daemon: DaemonHost) {
        let mut daemons = self.daemons.lock().unwrap();
        daemons.retain(|listed| listed.name != daemon.name);
        daemons.push(daemon);
    }

    /// Removes a daemon from the next host list.
    pub fn unlist_daemon(&self, name: &str) {
        self.daemons.lock().unwrap().retain(|listed| listed.name.as_str() != name);
    }

    /// Publishes the host list of the listed daemons and all leafs, and returns its revision.
    pub fn publish_hosts(&self) -> u64 {
        let list = RawHostList {
            daemons: self.daemons.lock().unwrap().clone(),
            leafs: self.leafs.iter().map(StandInLeaf::host).collect(),
        };
        let body = serde_json::to_vec(&list).expect("a host list serialises");
        self.platform.publish(DocumentKind::Hosts, body)
    }

    /// Publishes a layout that lists `versions` of the index, each with the shards and replicas of
    /// the fleet's shape, and returns its revision.
    pub fn publish_layout(&self, versions: &[IndexVersion]) -> u64 {
        let shards = |_: &IndexVersion| {
            let leaf_name = |leaf_number: usize| self.leafs[leaf_number].host().name;
            let leaf_names =
                |shard| self.shape.replica_leafs(shard).into_iter().map(leaf_name).collect();
            (0..self.shape.shards).map(leaf_names).collect()
        };
        let versions =
            versions.iter().map(|v| RawVersion { version: *v, shards: shards(v) }).collect();
        let index = RawIndex { name: self.shape.index.clone(), versions };
        let layout = RawLayout { indexes: vec![index] };
        let body = serde_json::to_vec(&layout).expect("a layout serialises");
        self.platform.publish(DocumentKind::Layout, body)
    }

    /// Publishes a catalogue, written in TOML, and returns its revision.
    pub fn publish_catalogue(&self, text: &str) -> u64 {
        self.platform.publish(DocumentKind::Catalogue, text.to_owned())
    }

    /// Adds the replicas of a version to the leafs that hold its shards.
    pub fn load_version(&self, version: IndexVersion) {
        for shard in 0..self.shape.shards {
            for leaf_number in self.shape.replica_leafs(shard) {
                self.leafs[leaf_number]
                    .change_replicas(|replicas| replicas.add(replica(&self.shape, version, shard)));
            }
        }
    }

    /// Removes the replicas of a version from all leafs.
    pub fn unload_version(&self, version: IndexVersion) {
        for leaf in &self.leafs {
            leaf.change_replicas(|replicas| replicas.remove_version(version));
        }
    }
}

fn replica(shape: &FleetShape, version: IndexVersion, shard: u16) -> Replica {
    Replica { index: shape.index.clone(), version, shard: ShardNo(shard) }
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
