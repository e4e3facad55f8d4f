//! Experiment on the cost of the control plane: one daemon process receives documents and peer
//! messages as in fleets of several sizes, and its processor time, memory and traffic are measured.

use std::time::Duration;
use std::time::Instant;

use jasmineusher_lib::documents::Document;
use jasmineusher_lib::documents::DocumentKind;
use jasmineusher_lib::hosts::DaemonHost;
use jasmineusher_lib::hosts::HostState;
use jasmineusher_lib::hosts::LeafDetail;
use jasmineusher_lib::hosts::LeafHost;
use jasmineusher_lib::hosts::RawHostList;
use jasmineusher_lib::http_client::HttpCall;
use jasmineusher_lib::http_client::HttpClient;
use jasmineusher_lib::ids::HostName;
use jasmineusher_lib::ids::IndexVersion;
use jasmineusher_lib::ids::Revision;
use jasmineusher_lib::ids::Zone;
use jasmineusher_lib::layout::RawIndex;
use jasmineusher_lib::layout::RawLayout;
use jasmineusher_lib::layout::RawVersion;
use jasmineusher_lib::server::QUERY_PATH;
use jasmineusher_lib::server::READY_PATH;
use jasmineusher_lib::server::STATE_PATH;
use serde_json::Value;

use crate::bed::DEFAULT_SHUTDOWN;
use crate::bed::DaemonConfig;
use crate::bed::DaemonProcess;
use crate::bed::free_addr;
use crate::exp_latency::make_record;
use crate::exp_latency::number_at;
use crate::exp_latency::target_result;
use crate::experiment::BenchEnv;
use crate::experiment::EntryConfig;
use crate::experiment::Experiment;
use crate::fit::Sample;
use crate::fit::fit;
use crate::fleet::parse_name;
use crate::measure::processor_time;
use crate::measure::resident_bytes;
use crate::peers::StandInPeers;
use crate::platform::StandInPlatform;
use crate::report::Line;
use crate::report::Point;
use crate::report::Record;
use crate::report::Row;
use crate::report::Titles;
use crate::report::plot;

/// Number of daemons at the design size.
pub const DESIGN_DAEMONS: u32 = 3_300;
/// Number of leafs at the design size.
pub const DESIGN_LEAFS: u32 = 24_000;
/// Number of catalogue entries at the design size, whose catalogue fills the configuration
/// service's limit of one megabyte.
pub const DESIGN_ENTRIES: u32 = 3_000;
/// Number of availability zones at the design size.
const DESIGN_ZONES: u32 = 10;
/// Catalogue changes per second at the design size, from 1,900 a day.
pub const DESIGN_CHANGES_PER_SECOND: f64 = 1_900.0 / 86_400.0;
/// Host list changes per second at the design size, from 57 failures and 8,200 replacements a day.
pub const DESIGN_RESTARTS_PER_SECOND: f64 = (57.0 + 8_200.0) / 86_400.0;
/// Number of shards of each index.
const SHARDS: u32 = 280;
/// Number of replicas of each shard.
const REPLICAS: u32 = 3;
/// Target for the processor time of a daemon's control plane, in % of a core.
pub const MAX_PROCESSOR_PERCENT: f64 = 4.1;
/// Target for the memory of a daemon's control plane, in MB.
pub const MAX_MEMORY_MB: f64 = 64.0;
/// Target for the traffic of a daemon's control plane, in KB per second.
pub const MAX_TRAFFIC_KB_PER_S: f64 = 9.0;
/// Time after which a daemon that is not ready fails the experiment.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between exchanges that peers start with the daemon. The daemon starts exchanges with
/// peers at the same interval.
const INCOMING_INTERVAL: Duration = Duration::from_secs(1);

/// Numbers of daemons, leafs and catalogue entries that the documents list.
#[derive(Clone, Copy, Debug)]
struct FleetSize {
    daemons: u32,
    leafs: u32,
    entries: u32,
}

impl FleetSize {
    /// Returns the design size times `fraction`, which is 1 for the whole.
    fn scaled(fraction: f64) -> Self {
        let scale = |whole: u32| (f64::from(whole) * fraction).round() as u32;
        Self {
            daemons: scale(DESIGN_DAEMONS),
            leafs: scale(DESIGN_LEAFS),
            entries: scale(DESIGN_ENTRIES),
        }
    }

    fn catalogue(&self, change: u32) -> String {
        let entry = |n: u32| {
            let rate = if n == 0 { 100 + change } else { 100 };
            let text = EntryConfig::unlimited("entry").to_toml();
            // The index does not exist, so that no query reaches a leaf.
            text.replace("\"entry\"", &format!("\"entry-{n}\""))
                .replace("careline", "nowhere")
                .replace("100000.000", &format!("{rate}.0"))
        };
        (0..self.entries).map(entry).collect()
    }

    fn layout(&self) -> RawLayout {
        let indexes = (self.leafs * REPLICAS / SHARDS / REPLICAS).max(1);
        let leaf = |n: u32| parse_name(&format!("leaf-{}", n % self.leafs));
        let index = |i: u32| RawIndex {
            name: if i == 0 { parse_name("careline") } else { parse_name(&format!("index-{i}")) },
            versions: vec![RawVersion {
                version: IndexVersion(1),
                shards: (0..SHARDS)
                    .map(|s| (0..REPLICAS).map(|r| leaf(i * SHARDS + s + r * 7_919)).collect())
                    .collect(),
            }],
        };
        RawLayout { indexes: (0..indexes).map(index).collect() }
    }

    fn hosts(&self, own: &DaemonHost, peers: std::net::SocketAddr, change: u32) -> RawHostList {
        let zone = |n: u32| parse_name::<Zone>(&format!("zone-{}", n % DESIGN_ZONES));
        let mut daemons = vec![own.clone()];
        daemons.extend((1..self.daemons).map(|n| DaemonHost {
            name: parse_name(&format!("host-{n}")),
            addr: peers,
            zone: zone(n),
            state: HostState::Live,
        }));
        let leafs = (0..self.leafs).map(|n| LeafHost {
            name: parse_name(&format!("leaf-{n}")),
            // One leaf changes its address with each change.
            addr: ([127, 0, 0, 1], if n == 1 { 10_000 + change as u16 } else { 9_000 }).into(),
            zone: zone(n),
            slots: 2,
            connections: 25,
            state: HostState::Live,
            detail: LeafDetail::default(),
        });
        RawHostList { daemons, leafs: leafs.collect() }
    }
}

/// One daemon process among stand-in peers, with documents of one size.
struct ControlBed {
    size: FleetSize,
    platform: StandInPlatform,
    peers: StandInPeers,
    daemon: DaemonProcess,
    own: DaemonHost,
    client: HttpClient,
}

impl ControlBed {
    async fn start(bench_env: &BenchEnv, size: FleetSize) -> Self {
        let platform = StandInPlatform::start(free_addr()).await.expect("the platform starts");
        let peers = StandInPeers::start(parse_name("zone-0")).await.expect("the peers start");
        let addr = free_addr();
        let own = DaemonHost {
            name: parse_name("host-0"),
            addr,
            zone: parse_name("zone-0"),
            state: HostState::Live,
        };
        let config = DaemonConfig {
            host: "host-0".to_owned(),
            zone: "zone-0".to_owned(),
            listen: addr,
            addr,
            platform: platform.addr,
            seeds: Vec::new(),
            shutdown: DEFAULT_SHUTDOWN,
        };
        let daemon = DaemonProcess::start(&bench_env.daemon, &config);
        let bed = Self { size, platform, peers, daemon, own, client: HttpClient::default() };
        bed.publish_hosts(0);
        let layout = serde_json::to_vec(&bed.size.layout()).expect("a layout serialises");
        bed.publish(DocumentKind::Layout, layout);
        bed.publish_catalogue(0);
        bed.wait_ready().await;
        bed.query_every_entry().await;
        bed
    }

    /// Sends one query of each entry, so that the daemon holds the state of all entries in memory.
    async fn query_every_entry(&self) {
        for n in 0..self.size.entries {
            let body = format!(r#"{{"entry":"entry-{n}","params":{{}}}}"#);
            let timeout = Duration::from_secs(5);
            let call = HttpCall::post(self.own.addr, QUERY_PATH, body.into(), timeout);
            let reply = self.client.call(call).await;
            assert!(
                reply.is_ok_and(|reply| reply.status == 503),
                "a query of an index that does not exist gets status 503"
            );
        }
    }

    /// Publishes a document on the platform and applies it on the peers.
    fn publish(&self, kind: DocumentKind, body: Vec<u8>) {
        let body = bytes::Bytes::from(body);
        let revision = Revision(self.platform.publish(kind, body.clone()));
        self.peers.apply_document(Document { kind, revision, body });
    }

    fn publish_hosts(&self, change: u32) {
        let hosts = self.size.hosts(&self.own, self.peers.addr(), change);
        self.publish(
            DocumentKind::Hosts,
            serde_json::to_vec(&hosts).expect("a host list serialises"),
        );
    }

    fn publish_catalogue(&self, change: u32) {
        self.publish(DocumentKind::Catalogue, self.size.catalogue(change).into_bytes());
    }

    async fn wait_ready(&self) {
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            let call = HttpCall::get(self.own.addr, READY_PATH, Duration::from_secs(5));
            if self.client.call(call).await.is_ok_and(|reply| reply.status == 200) {
                return;
            }
            assert!(Instant::now() < deadline, "the daemon is not ready in time");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn state(&self) -> Value {
        let call = HttpCall::get(self.own.addr, STATE_PATH, Duration::from_secs(10));
        let reply = self.client.call(call).await.expect("the state can be read");
        serde_json::from_slice(&reply.body).expect("the state is JSON")
    }

    /// Sends an exchange in the name of one of the peers, taken round-robin by `n`.
    async fn send_exchange(&self, n: u32) {
        let from: HostName = parse_name(&format!("host-{}", 1 + n % (self.size.daemons - 1)));
        self.peers.exchange(&from, &self.own.name, self.own.addr).await;
    }

    /// Measures the daemon's cost during `time`, while peers send exchanges and `change` is called
    /// `changes` times at even intervals. Each change is followed by an exchange.
    async fn measure_cost(&self, time: Duration, changes: u32, change: impl Fn(u32)) -> Cost {
        let before = self.state().await;
        let cpu_before = processor_time(self.daemon.pid()).unwrap_or_default();
        let start_time = Instant::now();
        let mut done = 0;
        for n in 0.. {
            let due = time.mul_f64(f64::from(done) / f64::from(changes.max(1)));
            if done < changes && start_time.elapsed() >= due {
                done += 1;
                change(done);
                self.send_exchange(n).await;
            }
            if start_time.elapsed() >= time {
                break;
            }
            if n % 10 == 0 {
                self.send_exchange(n).await;
            }
            tokio::time::sleep(INCOMING_INTERVAL / 10).await;
        }
        let seconds = start_time.elapsed().as_secs_f64();
        let cpu = processor_time(self.daemon.pid()).unwrap_or_default() - cpu_before;
        let after = self.state().await;
        let bytes =
            number_at(&after, "/counters/peer_bytes") - number_at(&before, "/counters/peer_bytes");
        Cost { processor: cpu.as_secs_f64() / seconds, bytes: bytes / seconds, seconds }
    }
}

/// Cost of the daemon during one measurement: share of a core, bytes of peer traffic per second,
/// and duration in seconds.
#[derive(Clone, Copy, Debug)]
struct Cost {
    processor: f64,
    bytes: f64,
    seconds: f64,
}

/// Measures the cost of the control plane at four fractions of the design size, at the design
/// size's rates of change.
pub async fn control(experiment: &Experiment, bench_env: &BenchEnv) -> Record {
    let mut rows = Vec::new();
    for fraction in [0.1, 0.25, 0.5, 1.0] {
        rows.push(control_row(experiment, bench_env, fraction).await);
    }
    plot_slopes(bench_env, &rows);
    let slopes = slope_row(&rows);
    let full_size = rows.last().expect("four sizes were measured");
    let (processor, memory, traffic) = (
        full_size.get("processor at design rates %").unwrap_or(f64::MAX),
        full_size.get("memory MB").unwrap_or(f64::MAX),
        full_size.get("traffic at design rates KB/s").unwrap_or(f64::MAX),
    );
    let target_results = vec![
        target_result(
            "B9: control <= 4.1% of a core",
            processor <= MAX_PROCESSOR_PERCENT,
            format!("{processor:.2}%"),
        ),
        target_result("B9: memory <= 64 MB", memory <= MAX_MEMORY_MB, format!("{memory:.1} MB")),
        target_result(
            "B9: traffic <= 9 KB/s",
            traffic <= MAX_TRAFFIC_KB_PER_S,
            format!("{traffic:.2} KB/s"),
        ),
    ];
    rows.push(slopes);
    make_record(experiment, rows, target_results)
}

/// Measures one size: idle, with catalogue changes and with host list changes. The cost per change
/// is that above idle; the cost at design rates is that of idle plus the changes at their rates.
async fn control_row(experiment: &Experiment, bench_env: &BenchEnv, fraction: f64) -> Row {
    let size = FleetSize::scaled(fraction);
    let bed = ControlBed::start(bench_env, size).await;
    bed.measure_cost(Duration::from_secs(3), 0, |_| {}).await;
    let idle = bed.measure_cost(experiment.time(), 0, |_| {}).await;
    let changes = experiment.count as u32;
    let catalogue =
        bed.measure_cost(experiment.time(), changes, |n| bed.publish_catalogue(n)).await;
    let hosts = bed.measure_cost(experiment.time(), changes, |n| bed.publish_hosts(n)).await;
    let memory = resident_bytes(bed.daemon.pid()).unwrap_or(0) as f64 / 1e6;
    let cost_per_change = |cost: Cost, value: fn(&Cost) -> f64| {
        (value(&cost) - value(&idle)).max(0.0) * cost.seconds / f64::from(changes)
    };
    let processor_per = |cost| cost_per_change(cost, |c| c.processor);
    let bytes_per = |cost| cost_per_change(cost, |c| c.bytes);
    let at_design = |idle: f64, per_catalogue: f64, per_hosts: f64| {
        idle + per_catalogue * DESIGN_CHANGES_PER_SECOND + per_hosts * DESIGN_RESTARTS_PER_SECOND
    };
    let processor = at_design(idle.processor, processor_per(catalogue), processor_per(hosts));
    let traffic = at_design(idle.bytes, bytes_per(catalogue), bytes_per(hosts));
    Row::new(format!("{} daemons, {} leafs, {} entries", size.daemons, size.leafs, size.entries))
        .with("part of the design size", fraction)
        .with("idle processor %", idle.processor * 100.0)
        .with("ms of processor per catalogue change", processor_per(catalogue) * 1e3)
        .with("ms of processor per host list change", processor_per(hosts) * 1e3)
        .with("idle traffic KB/s", idle.bytes / 1e3)
        .with("KB per catalogue change", bytes_per(catalogue) / 1e3)
        .with("KB per host list change", bytes_per(hosts) / 1e3)
        .with("memory MB", memory)
        .with("processor at design rates %", processor * 100.0)
        .with("traffic at design rates KB/s", traffic / 1e3)
}

fn samples(rows: &[Row], metric: &str) -> Vec<Sample> {
    let sample =
        |row: &Row| Some(Sample { x: row.get("part of the design size")?, y: row.get(metric)? });
    rows.iter().filter_map(sample).collect()
}

fn slope_row(rows: &[Row]) -> Row {
    let names: Vec<_> = rows[0].metrics.iter().map(|metric| metric.name.clone()).collect();
    let mut row = Row::new("slope per design size (fit error below)");
    for metric in &names {
        row = row.with(metric, fit(&samples(rows, metric)).slope);
    }
    row
}

fn plot_slopes(bench_env: &BenchEnv, rows: &[Row]) {
    let line = |metric: &str| Line {
        label: metric.to_owned(),
        points: samples(rows, metric).iter().map(|s| Point { x: s.x, y: s.y }).collect(),
    };
    let titles = Titles {
        plot: "Control of one daemon against the size of the fleet",
        x: "part of the design size",
        y: "",
    };
    let path = bench_env.plots.join("control.svg");
    let lines = [
        line("memory MB"),
        line("processor at design rates %"),
        line("traffic at design rates KB/s"),
    ];
    if let Err(e) = plot(&path, titles, &lines) {
        eprintln!("bench: {e}");
    }
}
