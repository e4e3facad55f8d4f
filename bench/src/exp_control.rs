//! Cost of control: one real daemon fed with platform data and peer messages of several sizes.

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

use crate::bed::DaemonConfig;
use crate::bed::DaemonProcess;
use crate::bed::free_addr;
use crate::exp_latency::number;
use crate::exp_latency::record;
use crate::exp_latency::verdict;
use crate::experiment::EntryText;
use crate::experiment::Experiment;
use crate::experiment::Workshop;
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

/// Daemons of the design size.
pub const DESIGN_DAEMONS: u32 = 3_300;
/// Leafs of the design size.
pub const DESIGN_LEAFS: u32 = 24_000;
/// Entries of a catalogue that fills the configuration service's megabyte.
pub const DESIGN_ENTRIES: u32 = 3_000;
/// Zones of the design size.
const DESIGN_ZONES: u32 = 10;
/// Catalogue changes a second at the design size.
pub const DESIGN_CHANGES_PER_SECOND: f64 = 1_900.0 / 86_400.0;
/// Host list changes a second at the design size: failures and replacements.
pub const DESIGN_RESTARTS_PER_SECOND: f64 = (57.0 + 8_200.0) / 86_400.0;
/// Shards of each index.
const SHARDS: u32 = 280;
/// Replicas of each shard.
const REPLICAS: u32 = 3;
/// Control allowed to a daemon, in % of a core.
pub const LIMIT_PROCESSOR: f64 = 4.1;
/// Memory allowed to a daemon for control, in MB.
pub const LIMIT_MEMORY: f64 = 64.0;
/// Traffic allowed to a daemon for control, in KB a second.
pub const LIMIT_TRAFFIC: f64 = 9.0;
/// Time allowed for the daemon to become ready.
const READY_LIMIT: Duration = Duration::from_secs(60);
/// Exchanges that peers begin with the daemon, per second: as many as it begins itself.
const INCOMING_EVERY: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct Size {
    daemons: u32,
    leafs: u32,
    entries: u32,
}

impl Size {
    fn part(part: f64) -> Self {
        let of = |whole: u32| (f64::from(whole) * part).round() as u32;
        Self { daemons: of(DESIGN_DAEMONS), leafs: of(DESIGN_LEAFS), entries: of(DESIGN_ENTRIES) }
    }

    fn catalogue(&self, change: u32) -> String {
        let entry = |n: u32| {
            let rate = if n == 0 { 100 + change } else { 100 };
            let text = EntryText::free("entry").text();
            // No query is meant to reach a leaf: the index does not exist.
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
            // One leaf moves with each change.
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

/// One daemon among stand-in peers, with documents of one size.
struct ControlBed {
    size: Size,
    platform: StandInPlatform,
    peers: StandInPeers,
    daemon: DaemonProcess,
    own: DaemonHost,
    client: HttpClient,
}

impl ControlBed {
    async fn start(workshop: &Workshop, size: Size) -> Self {
        let platform = StandInPlatform::start(free_addr()).await.expect("platform starts");
        let peers = StandInPeers::start(parse_name("zone-0")).await.expect("peers start");
        let addr = free_addr();
        let own = DaemonHost {
            name: parse_name("host-0"),
            addr,
            zone: parse_name("zone-0"),
            state: HostState::Live,
        };
        let place = DaemonConfig {
            host: "host-0".to_owned(),
            zone: "zone-0".to_owned(),
            listen: addr,
            addr,
            platform: platform.addr,
            seeds: Vec::new(),
        };
        let daemon = DaemonProcess::start(&workshop.daemon, &place);
        let bed = Self { size, platform, peers, daemon, own, client: HttpClient::default() };
        bed.publish_hosts(0);
        let layout = serde_json::to_vec(&bed.size.layout()).expect("a layout serialises");
        bed.publish(DocumentKind::Layout, layout);
        bed.publish_catalogue(0);
        bed.wait_ready().await;
        bed.use_entries().await;
        bed
    }

    /// Asks for each entry once, so that the daemon keeps tables for all of them.
    async fn use_entries(&self) {
        for n in 0..self.size.entries {
            let body = format!(r#"{{"entry":"entry-{n}","params":{{}}}}"#);
            let limit = Duration::from_secs(5);
            let call = HttpCall::post(self.own.addr, QUERY_PATH, body.into(), limit);
            let reply = self.client.call(call).await;
            assert!(reply.is_ok_and(|reply| reply.status == 503), "the index does not exist");
        }
    }

    fn publish(&self, kind: DocumentKind, body: Vec<u8>) {
        let body = bytes::Bytes::from(body);
        let revision = Revision(self.platform.publish(kind, body.clone()));
        self.peers.hear(Document { kind, revision, body });
    }

    fn publish_hosts(&self, change: u32) {
        let hosts = self.size.hosts(&self.own, self.peers.addr(), change);
        self.publish(DocumentKind::Hosts, serde_json::to_vec(&hosts).expect("it serialises"));
    }

    fn publish_catalogue(&self, change: u32) {
        self.publish(DocumentKind::Catalogue, self.size.catalogue(change).into_bytes());
    }

    async fn wait_ready(&self) {
        let give_up = Instant::now() + READY_LIMIT;
        loop {
            let call = HttpCall::get(self.own.addr, READY_PATH, Duration::from_secs(5));
            if self.client.call(call).await.is_ok_and(|reply| reply.status == 200) {
                return;
            }
            assert!(Instant::now() < give_up, "the daemon never became ready");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn state(&self) -> Value {
        let call = HttpCall::get(self.own.addr, STATE_PATH, Duration::from_secs(10));
        let reply = self.client.call(call).await.expect("state is read");
        serde_json::from_slice(&reply.body).expect("the state is JSON")
    }

    async fn tell_once(&self, n: u32) {
        let from: HostName = parse_name(&format!("host-{}", 1 + n % (self.size.daemons - 1)));
        self.peers.exchange(&from, &self.own.name, self.own.addr).await;
    }

    /// Lets time pass with the exchanges that peers begin, and with changes at even distances.
    async fn run(&self, time: Duration, changes: u32, change: impl Fn(u32)) -> Cost {
        let before = self.state().await;
        let cpu_before = processor_time(self.daemon.pid()).unwrap_or_default();
        let began = Instant::now();
        let mut done = 0;
        for n in 0.. {
            let due = time.mul_f64(f64::from(done) / f64::from(changes.max(1)));
            if done < changes && began.elapsed() >= due {
                done += 1;
                change(done);
                self.tell_once(n).await;
            }
            if began.elapsed() >= time {
                break;
            }
            if n % 10 == 0 {
                self.tell_once(n).await;
            }
            tokio::time::sleep(INCOMING_EVERY / 10).await;
        }
        let seconds = began.elapsed().as_secs_f64();
        let cpu = processor_time(self.daemon.pid()).unwrap_or_default() - cpu_before;
        let after = self.state().await;
        let bytes =
            number(&after, "/counters/peer_bytes") - number(&before, "/counters/peer_bytes");
        Cost { processor: cpu.as_secs_f64() / seconds, bytes: bytes / seconds, seconds }
    }
}

/// Cost of a stretch of time, per second.
#[derive(Clone, Copy, Debug)]
struct Cost {
    processor: f64,
    bytes: f64,
    seconds: f64,
}

/// Measures control cost at four sizes, and at the design size's rates of change.
pub async fn control(experiment: &Experiment, workshop: &Workshop) -> Record {
    let mut rows = Vec::new();
    for part in [0.1, 0.25, 0.5, 1.0] {
        rows.push(control_row(experiment, workshop, part).await);
    }
    plot_slopes(workshop, &rows);
    let slopes = slope_row(&rows);
    let full = rows.last().expect("four sizes were measured");
    let (processor, memory, traffic) = (
        full.get("processor at design rates %").unwrap_or(f64::MAX),
        full.get("memory MB").unwrap_or(f64::MAX),
        full.get("traffic at design rates KB/s").unwrap_or(f64::MAX),
    );
    let verdicts = vec![
        verdict(
            "B9: control <= 4.1% of a core",
            processor <= LIMIT_PROCESSOR,
            format!("{processor:.2}%"),
        ),
        verdict("B9: memory <= 64 MB", memory <= LIMIT_MEMORY, format!("{memory:.1} MB")),
        verdict("B9: traffic <= 9 KB/s", traffic <= LIMIT_TRAFFIC, format!("{traffic:.2} KB/s")),
    ];
    rows.push(slopes);
    record(experiment, rows, verdicts)
}

async fn control_row(experiment: &Experiment, workshop: &Workshop, part: f64) -> Row {
    let size = Size::part(part);
    let bed = ControlBed::start(workshop, size).await;
    bed.run(Duration::from_secs(3), 0, |_| {}).await;
    let idle = bed.run(experiment.time(), 0, |_| {}).await;
    let changes = experiment.count as u32;
    let catalogue = bed.run(experiment.time(), changes, |n| bed.publish_catalogue(n)).await;
    let hosts = bed.run(experiment.time(), changes, |n| bed.publish_hosts(n)).await;
    let memory = resident_bytes(bed.daemon.pid()).unwrap_or(0) as f64 / 1e6;
    let per_change = |cost: Cost, value: fn(&Cost) -> f64| {
        (value(&cost) - value(&idle)).max(0.0) * cost.seconds / f64::from(changes)
    };
    let processor_per = |cost| per_change(cost, |c| c.processor);
    let bytes_per = |cost| per_change(cost, |c| c.bytes);
    let at_design = |idle: f64, per_catalogue: f64, per_hosts: f64| {
        idle + per_catalogue * DESIGN_CHANGES_PER_SECOND + per_hosts * DESIGN_RESTARTS_PER_SECOND
    };
    let processor = at_design(idle.processor, processor_per(catalogue), processor_per(hosts));
    let traffic = at_design(idle.bytes, bytes_per(catalogue), bytes_per(hosts));
    Row::new(format!("{} daemons, {} leafs, {} entries", size.daemons, size.leafs, size.entries))
        .with("part of the design size", part)
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

fn plot_slopes(workshop: &Workshop, rows: &[Row]) {
    let line = |metric: &str| Line {
        label: metric.to_owned(),
        points: samples(rows, metric).iter().map(|s| Point { x: s.x, y: s.y }).collect(),
    };
    let titles = Titles {
        plot: "Control of one daemon against the size of the fleet",
        x: "part of the design size",
        y: "",
    };
    let path = workshop.plots.join("control.svg");
    let lines = [
        line("memory MB"),
        line("processor at design rates %"),
        line("traffic at design rates KB/s"),
    ];
    if let Err(e) = plot(&path, titles, &lines) {
        eprintln!("bench: {e}");
    }
}
